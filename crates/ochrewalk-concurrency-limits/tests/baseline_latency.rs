//! The baseline latency of a pool: the window over which the minimum is taken, and the periods with fewer calls.

use ochrewalk_concurrency_limits::BaselineLatency;

const HALF_WINDOW: u32 = BaselineLatency::HALF_WINDOW_PERIODS;

#[test]
fn a_single_low_latency_expires_and_a_lower_one_counts_immediately() {
    let mut baseline = BaselineLatency::new(0);
    assert_eq!(baseline.us(), None);
    baseline.end_period(Some(10.0));
    (0..2 * HALF_WINDOW).for_each(|_| baseline.end_period(Some(100.0)));
    assert_eq!(baseline.us(), Some(100.0));
    baseline.end_period(Some(40.0));
    assert_eq!(baseline.us(), Some(40.0));
    // A pool without calls keeps its baseline.
    (0..9 * HALF_WINDOW).for_each(|_| baseline.end_period(None));
    assert_eq!(baseline.us(), Some(40.0));
}

#[test]
fn remeasuring_is_short_and_periodic_and_depends_on_the_phase() {
    let remeasured = |phase: u32| -> Vec<u32> {
        let mut baseline = BaselineLatency::new(phase);
        let mut periods = Vec::new();
        for period in 0..2 * HALF_WINDOW {
            if baseline.limit_factor() < 1.0 {
                periods.push(period);
            }
            baseline.end_period(Some(1.0));
        }
        periods
    };
    assert_eq!(remeasured(0), [16, 17, 18, 19, 36, 37, 38, 39]);
    assert_eq!(remeasured(5), [11, 12, 13, 14, 31, 32, 33, 34]);
}
