//! How one limit follows what its periods show, by table.

use ochrewalk_concurrency_limits::{AdaptiveLimit, LimitAlgorithm, PeriodSample};

const GOOD: PeriodSample =
    PeriodSample { ended: 100, rejected: 0, latency_ratio: Some(1.0), utilization: 1.0 };

#[test]
fn each_algorithm_moves_the_limit_as_it_says() {
    let slow = PeriodSample { latency_ratio: Some(3.0), ..GOOD };
    let rejected = PeriodSample { rejected: 50, ..GOOD };
    let unused = PeriodSample { utilization: 0.2, ..GOOD };
    let few = PeriodSample { ended: 1, ..GOOD };
    let on_target = PeriodSample { latency_ratio: Some(AdaptiveLimit::TARGET_RATIO), ..GOOD };
    for (algorithm, sample, expected) in [
        (LimitAlgorithm::Integral, GOOD, 1.0..1.1),
        (LimitAlgorithm::Integral, slow, 0.7..0.8),
        (LimitAlgorithm::Integral, rejected, 0.7..0.75),
        (LimitAlgorithm::Integral, unused, -0.001..0.001),
        (LimitAlgorithm::Integral, few, 0.0..0.02),
        (LimitAlgorithm::Integral, on_target, -0.001..0.001),
        (LimitAlgorithm::Aimd, GOOD, 1.0..1.06),
        (LimitAlgorithm::Aimd, slow, 0.5..0.51),
        (LimitAlgorithm::Aimd, unused, -0.001..0.001),
        (LimitAlgorithm::Gradient, GOOD, 1.0..1.1),
        (LimitAlgorithm::Gradient, slow, 0.85..0.96),
        (LimitAlgorithm::Fixed, rejected, -0.001..0.001),
    ] {
        let mut limit = AdaptiveLimit::new(algorithm, 20, 1, 100);
        limit.end_period(&sample);
        let moved = limit.value() / 20.0;
        // A range from 0 on is of what it rose by.
        let moved = if expected.start <= 0.0 { moved - 1.0 } else { moved };
        assert!(expected.contains(&moved), "{algorithm:?} {sample:?}: {moved}");
    }
}

#[test]
fn a_limit_with_priority_falls_after_all_others() {
    let slow = PeriodSample { latency_ratio: Some(1.7), ..GOOD };
    let mut other = AdaptiveLimit::new(LimitAlgorithm::Integral, 20, 1, 100);
    let mut priority = AdaptiveLimit::new(LimitAlgorithm::Integral, 20, 1, 100).with_priority();
    other.end_period(&slow);
    priority.end_period(&slow);
    assert!(other.value() < 20.0 && priority.value() > 20.0);
    priority.end_period(&PeriodSample { latency_ratio: Some(3.0), ..GOOD });
    assert!(priority.value() < 20.0);
}

#[test]
fn a_limit_stays_within_its_bounds_and_recovers_from_the_lower_one() {
    let mut limit = AdaptiveLimit::new(LimitAlgorithm::Integral, 50, 2, 60);
    (0..100).for_each(|_| limit.end_period(&PeriodSample { rejected: 100, ..GOOD }));
    assert_eq!(limit.value(), 2.0);
    (0..60).for_each(|_| limit.end_period(&GOOD));
    assert_eq!(limit.value(), 60.0);
    limit.set_bounds(1, 10);
    assert_eq!(limit.value(), 10.0);
    let quiet = PeriodSample { ended: 0, ..GOOD };
    limit.end_period(&quiet);
    assert_eq!(limit.value(), 10.0, "without a call the limit stays");
}
