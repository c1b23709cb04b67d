//! The adjustment of a limit by the samples of its periods, by table.

use ochrewalk_concurrency_limits::{AdaptiveLimit, LimitAlgorithm, PeriodSample};

const HEALTHY: PeriodSample =
    PeriodSample { ended: 100, rejected: 0, latency_ratio: Some(1.0), utilization: 1.0 };

#[test]
fn each_algorithm_adjusts_the_limit_within_the_expected_range() {
    let slow = PeriodSample { latency_ratio: Some(3.0), ..HEALTHY };
    let rejected = PeriodSample { rejected: 50, ..HEALTHY };
    let unused = PeriodSample { utilization: 0.2, ..HEALTHY };
    let few = PeriodSample { ended: 1, ..HEALTHY };
    let on_target = PeriodSample { latency_ratio: Some(AdaptiveLimit::TARGET_RATIO), ..HEALTHY };
    for (algorithm, sample, expected) in [
        (LimitAlgorithm::Integral, HEALTHY, 1.0..1.1),
        (LimitAlgorithm::Integral, slow, 0.7..0.8),
        (LimitAlgorithm::Integral, rejected, 0.7..0.75),
        (LimitAlgorithm::Integral, unused, -0.001..0.001),
        (LimitAlgorithm::Integral, few, 0.0..0.02),
        (LimitAlgorithm::Integral, on_target, -0.001..0.001),
        (LimitAlgorithm::Aimd, HEALTHY, 1.0..1.06),
        (LimitAlgorithm::Aimd, slow, 0.5..0.51),
        (LimitAlgorithm::Aimd, unused, -0.001..0.001),
        (LimitAlgorithm::Gradient, HEALTHY, 1.0..1.1),
        (LimitAlgorithm::Gradient, slow, 0.85..0.96),
        (LimitAlgorithm::Fixed, rejected, -0.001..0.001),
    ] {
        let mut limit = AdaptiveLimit::new(algorithm, 20, 1, 100);
        limit.end_period(&sample);
        let ratio = limit.value() / 20.0;
        // A range that begins at 0 or below is compared with the relative change and not with the ratio.
        let ratio = if expected.start <= 0.0 { ratio - 1.0 } else { ratio };
        assert!(expected.contains(&ratio), "{algorithm:?} {sample:?}: {ratio}");
    }
}

#[test]
fn a_limit_with_priority_falls_after_those_without() {
    let slow = PeriodSample { latency_ratio: Some(1.7), ..HEALTHY };
    let mut other = AdaptiveLimit::new(LimitAlgorithm::Integral, 20, 1, 100);
    let mut priority = AdaptiveLimit::new(LimitAlgorithm::Integral, 20, 1, 100).with_priority();
    other.end_period(&slow);
    priority.end_period(&slow);
    assert!(other.value() < 20.0 && priority.value() > 20.0);
    priority.end_period(&PeriodSample { latency_ratio: Some(3.0), ..HEALTHY });
    assert!(priority.value() < 20.0);
}

#[test]
fn a_limit_stays_within_its_bounds_and_recovers_from_the_lower_one() {
    let mut limit = AdaptiveLimit::new(LimitAlgorithm::Integral, 50, 2, 60);
    (0..100).for_each(|_| limit.end_period(&PeriodSample { rejected: 100, ..HEALTHY }));
    assert_eq!(limit.value(), 2.0);
    (0..60).for_each(|_| limit.end_period(&HEALTHY));
    assert_eq!(limit.value(), 60.0);
    limit.set_bounds(1, 10);
    assert_eq!(limit.value(), 10.0);
    let without_calls = PeriodSample { ended: 0, ..HEALTHY };
    limit.end_period(&without_calls);
    assert_eq!(limit.value(), 10.0, "without a call the limit stays");
}
