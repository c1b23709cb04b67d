//! Ejection and slow start of one endpoint, by table.

use ochrewalk_load_balancer::{EjectionCause, EndpointHealth, OutlierEjection};

const EJECTION: OutlierEjection = OutlierEjection {
    consecutive_failures: 2,
    base_ejection_us: 1_000,
    max_ejection_us: 4_000,
    slow_start_us: 500,
};

#[test]
fn ejection_times_double_up_to_the_maximum_and_an_answered_probe_ends_an_ejection() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut health = EndpointHealth::initial(EJECTION, 0);
    health.failed(0, EjectionCause::CallsFailed, &mut rng);
    assert!(health.accepts_calls());
    health.failed(0, EjectionCause::ConnectFailed, &mut rng);
    assert_eq!(
        (health.status(0).name(), health.ejection_cause()),
        ("out", Some(EjectionCause::ConnectFailed))
    );
    let mut now = 0;
    for expected_us in [1_000.0, 2_000.0, 4_000.0, 4_000.0] {
        let until = health.ejected_until_us().unwrap();
        let duration_us = (until - now) as f64;
        assert!(
            (0.74..=1.26).contains(&(duration_us / expected_us)),
            "{duration_us} us where {expected_us} us is expected"
        );
        health.failed(until - 1, EjectionCause::CallsFailed, &mut rng);
        assert_eq!(health.ejected_until_us(), Some(until), "the failure of an earlier call changes nothing");
        health.call_started(9, until - 1);
        assert_eq!(health.status(until).name(), "out", "the ejection time is not over");
        health.call_started(9, until);
        assert_eq!(
            (health.status(until).name(), health.accepts_calls(), health.ejected_until_us()),
            ("trying", false, None)
        );
        now = until;
        health.failed(now, EjectionCause::CallsFailed, &mut rng);
    }
    now += 9_000;
    health.call_started(9, now);
    // After a probe that ended inconclusively the endpoint may be probed again immediately.
    health.probe_ended(8, now);
    assert_eq!(health.status(now).name(), "trying");
    health.probe_ended(9, now);
    assert_eq!(health.ejected_until_us(), Some(now));
    health.call_started(10, now);
    health.succeeded(now);
    assert!(health.accepts_calls());
}

#[test]
fn new_and_readmitted_endpoints_start_slowly_and_a_flapping_one_keeps_its_long_ejection_times() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut health = EndpointHealth::added(EJECTION, 100);
    assert_eq!(health.status(100).name(), "joining");
    let factors = [100, 350, 599, 600].map(|at| health.slow_start_factor(at));
    assert!(
        factors[0] < 0.11 && (0.5..0.6).contains(&factors[1]) && factors[2] < 1.0 && factors[3] == 1.0,
        "{factors:?}"
    );
    assert_eq!(health.status(600).name(), "in");
    assert_eq!(
        EndpointHealth::initial(EJECTION, 0).slow_start_factor(0),
        1.0,
        "no other endpoint could take its load"
    );
    let mut now = 10_000;
    let mut eject = |health: &mut EndpointHealth, now: &mut u64| {
        health.failed(*now, EjectionCause::CallsFailed, &mut rng);
        health.failed(*now, EjectionCause::CallsFailed, &mut rng);
        let ejection_us = health.ejected_until_us().unwrap() - *now;
        *now += ejection_us;
        health.call_started(1, *now);
        health.succeeded(*now);
        assert_eq!(health.status(*now).name(), "back");
        ejection_us as f64
    };
    assert!(eject(&mut health, &mut now) < 1_251.0);
    assert!(
        eject(&mut health, &mut now) > 1_499.0,
        "the endpoint failed immediately after it was readmitted"
    );
    assert!(eject(&mut health, &mut now) > 2_999.0);
    // The endpoint accepts calls for the maximum ejection time.
    now += EJECTION.max_ejection_us;
    health.succeeded(now);
    assert!(eject(&mut health, &mut now) < 1_251.0);
}

#[test]
fn a_removed_endpoint_accepts_no_calls_whatever_the_outcome_of_its_last_calls_and_may_be_added_again() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut health = EndpointHealth::initial(EJECTION, 0);
    health.remove(5);
    health.succeeded(6);
    health.failed(6, EjectionCause::ConnectFailed, &mut rng);
    health.call_started(1, 6);
    health.remove(9);
    assert_eq!((health.status(9).name(), health.accepts_calls(), health.since_us()), ("leaving", false, 5));
    health.added_again(10);
    assert_eq!((health.status(10).name(), health.accepts_calls()), ("joining", true));
    health.added_again(11);
    assert_eq!(health.since_us(), 10, "the endpoint was already listed");
}
