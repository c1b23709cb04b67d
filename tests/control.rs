//! Tests of the integral controller, against periods computed by hand, and of size classes, the concurrency limit and
//! the load signal.
mod helper;
use helper::*;
use ochrewalk::admission::concurrency_limit::ConcurrencyLimit;
use ochrewalk::admission::core_usage::GaugeReader;
use ochrewalk::admission::integral_controller::IntegralController;
use ochrewalk::admission::load_signal::IdleTimeout;
use ochrewalk::admission::size_classes::{CallStatistics, SizeClass, SizeClasses};
use ochrewalk::host::*;

const SECOND_US: u64 = 1_000_000;
const SURVIVABLE_LOAD: SurvivableLoad =
    SurvivableLoad { requests_per_core: 2.0, is_cold: false, min_cold_speed: 1.0, warm_within_us: 1 };

fn statistics(observed: &[(f64, f64)]) -> Vec<CallStatistics> {
    observed.iter().map(|(runs, calls)| CallStatistics { runs: *runs, calls: *calls }).collect()
}

/// The parts of a controller that follow the gauges of the cores.
struct GaugeDriven {
    gauges: GaugeReader,
    limit: ConcurrencyLimit,
    idle: IdleTimeout,
}

impl GaugeDriven {
    fn new(cores: u32, max_idle_us: u64) -> GaugeDriven {
        GaugeDriven {
            gauges: GaugeReader::new(cores),
            limit: ConcurrencyLimit::new(cores, SURVIVABLE_LOAD, 0),
            idle: IdleTimeout::new(max_idle_us),
        }
    }

    fn read(&mut self, now_us: u64, gauges: Gauges, callers: u32, is_queueing: bool) {
        if let Some(usage) = self.gauges.read(now_us, gauges) {
            self.limit.adjust(now_us, &usage, is_queueing);
            self.idle.adjust(&usage, callers, is_queueing);
        }
    }
}

#[test]
fn the_integral_controller_follows_its_control_law() {
    // Each period: calls placed, requests started (each predicted to make one call), signs of overload; then r and u at
    // its end.
    let table = [
        (8, 8, 0, 0.0, 0.0),     // no limit before the first sign
        (8, 8, 3, 8.0, 8.0),     // limited to the calls of the period; e = 8 - 8
        (8, 8, 0, 12.0, 12.0),   // near r: r grows by half; u = 8 + (12 - 8)
        (6, 6, 0, 12.0, 18.0),   // not near r; u = 12 + (12 - 6)
        (14, 12, 4, 18.0, 22.0), // four signs among 14 calls are no overload; u = 18 + (18 - 14)
        (12, 12, 4, 18.0, 28.0), // first overloaded period: r stays; u = 22 + (18 - 12)
        (12, 12, 4, 9.0, 25.0),  // second overloaded period in a row: r halves; u = 28 + (9 - 12)
        (0, 0, 0, 9.0, 34.0),
        (0, 0, 0, 9.0, 36.0), // u is bounded by four times r
    ];
    let mut controller = IntegralController::new(0);
    for (k, (calls, started, signs, r, u)) in table.into_iter().enumerate() {
        (0..calls).for_each(|_| controller.call_placed());
        (0..started).for_each(|_| controller.request_started(1.0));
        (0..signs).for_each(|_| controller.upstream_overloaded());
        let ends = (k as u64 + 1) * SECOND_US;
        assert!(!controller.end_period(ends - 1) && controller.end_period(ends));
        assert_eq!((controller.call_setpoint, controller.admission_limit), (r, u), "period {k}");
    }
}

#[test]
fn starts_end_when_the_prediction_reaches_the_setpoint() {
    let mut controller = IntegralController::new(0);
    (0..3).for_each(|_| controller.call_placed());
    (0..9).for_each(|_| controller.request_started(0.5));
    assert!(controller.has_capacity(100.0), "no limit before the first sign");
    controller.upstream_overloaded();
    controller.end_period(SECOND_US); // r 3, u 9
    let started = (0..20)
        .filter(|_| {
            controller.has_capacity(1.0) && {
                controller.request_started(1.0);
                true
            }
        })
        .count();
    assert_eq!(started, 3);
    assert!(controller.has_capacity(0.0), "requests that never call are not held back");
    controller.end_period(2 * SECOND_US); // starts stopped at r, so the period counts as near r: r 4.5
    assert_eq!(controller.call_setpoint, 4.5);
}

#[test]
fn setpoint_and_limit_recover_within_a_few_periods() {
    let mut controller = IntegralController::new(0);
    controller.upstream_overloaded();
    for k in 1..=30u64 {
        controller.upstream_overloaded();
        controller.end_period(k * SECOND_US);
    }
    assert_eq!((controller.call_setpoint, controller.admission_limit), (1.0, 4.0));
    let mut k = 30;
    while controller.call_setpoint < 20.0 && k < 99 {
        k += 1;
        while controller.has_capacity(1.0) {
            controller.call_placed();
            controller.request_started(1.0);
        }
        controller.end_period(k * SECOND_US);
    }
    assert!(k - 30 <= 9, "{} periods", k - 30);
}

#[test]
fn methods_are_divided_by_their_observed_calls() {
    for (observed, large) in [
        (vec![(10.0, 10.0), (10.0, 11.0)], vec![false, false]),
        (vec![(10.0, 0.0), (10.0, 10.0)], vec![false, true]),
        (vec![(10.0, 10.0), (10.0, 20.0), (10.0, 19.0)], vec![false, true, true]),
    ] {
        let mut classes = SizeClasses::new(&statistics(&vec![(1.0, 1.0); observed.len()]));
        classes.divide(&statistics(&observed));
        assert_eq!(
            (0..observed.len()).map(|m| classes.class_of(m) == SizeClass::Large).collect::<Vec<_>>(),
            large,
            "{observed:?}"
        );
    }
    let mut classes = SizeClasses::new(&statistics(&[(1.0, 1.0); 3]));
    classes.divide(&statistics(&[(10.0, 10.0), (10.0, 20.0), (30.0, 60.0)]));
    assert_eq!(classes.mean_calls, [1.0, 2.0]);
}

#[test]
fn the_release_probability_falls_while_small_wait_and_rises_while_large_wait_longer() {
    let mut classes = SizeClasses::new(&statistics(&[(1.0, 0.0), (1.0, 1.0)]));
    assert_eq!(classes.release_probability, 1.0);
    classes.has_held_back_small = true;
    classes.adapt(Some(900), Some(100));
    let decreased = classes.release_probability;
    assert!(decreased < 1.0);
    classes.has_held_back_small = true;
    classes.adapt(Some(100), Some(900));
    assert!(classes.release_probability > decreased, "large requests that wait longer do not starve");
    (0..20).for_each(|_| classes.adapt(None, None));
    assert_eq!(classes.release_probability, 1.0, "recovers to 1 when no small request is held back");
}

#[test]
fn a_large_request_is_not_starved_by_small_ones() {
    let mut config = TestConfig::default();
    config.methods[IDEMPOTENT].makes_calls = false;
    let mut server = config.start();
    server.fill_cores();
    server.arrive_with(Arrival { time_left_us: Some(60 * SECOND_US), ..rpc("big", NON_IDEMPOTENT) });
    let mut has_started = false;
    for i in 0..30 {
        server.now += 100_000;
        server.arrive(&format!("small{i}"), IDEMPOTENT);
        let done = if i < 6 { format!("r{i}") } else { format!("small{}", i - 6) };
        has_started |= server.end_run(&done).contains(&"run big".into());
    }
    assert!(has_started);
}

#[test]
fn small_requests_start_first_while_the_controller_limits() {
    // Small requests make one call, large ones two; r is 2 after the sign.
    let mut classes = SizeClasses::new(&statistics(&[(1.0, 1.0); 2]));
    classes.divide(&statistics(&[(10.0, 10.0), (10.0, 20.0)]));
    let mut controller = IntegralController::new(0);
    (0..2).for_each(|_| controller.call_placed());
    (0..2).for_each(|_| controller.request_started(1.0));
    controller.upstream_overloaded();
    controller.end_period(SECOND_US);
    assert!(controller.has_capacity(classes.mean_calls[0]) && controller.has_capacity(classes.mean_calls[1]));
    controller.request_started(classes.mean_calls[0]);
    assert!(
        controller.has_capacity(classes.mean_calls[0]) && !controller.has_capacity(classes.mean_calls[1]),
        "capacity is left for a small request only"
    );
}

#[test]
fn the_idle_timeout_falls_at_moderate_load_and_rises_while_cores_are_oversubscribed() {
    for (callers, connections, busy, is_queueing, runnable, idle_us) in [
        (900, 60.0, 0.7, false, 2.0, 1_000_000),
        (900, 60.0, 0.2, false, 1.0, 30_000_000), // a full table costs idle cores nothing
        (900, 60.0, 0.95, false, 3.0, 30_000_000), // handshakes cost busy cores too much
        (900, 60.0, 0.7, true, 2.0, 30_000_000),  // requests are queued
        (100, 60.0, 0.7, false, 2.0, 30_000_000), // most callers are connected, and send further requests
    ] {
        let mut cores = GaugeDriven::new(2, 30_000_000);
        let gauges = Gauges { busy: Some(busy), runnable: Some(runnable), connections: Some(connections) };
        (1..50).for_each(|k| cores.read(k * 250_000, gauges, callers, is_queueing));
        assert_eq!(cores.idle.timeout_us(), idle_us, "{callers} {busy} {is_queueing}");
        let oversubscribed = Gauges { busy: Some(1.0), runnable: Some(9.0), ..gauges };
        (50..99).for_each(|k| cores.read(k * 250_000, oversubscribed, callers, true));
        assert_eq!(cores.idle.timeout_us(), 30_000_000, "the connection table may fill again");
        let mut short_limit = GaugeDriven::new(2, 500_000);
        (1..50).for_each(|k| short_limit.read(k * 250_000, gauges, callers, is_queueing));
        assert_eq!(short_limit.idle.timeout_us(), 500_000, "never above the idle limit of callers");
    }
}

#[test]
fn the_concurrency_limit_grows_while_cores_idle_with_work_queued() {
    let mut cores = GaugeDriven::new(6, 30_000_000);
    let gauges = |busy, runnable| Gauges { busy: Some(busy), runnable: Some(runnable), connections: None };
    assert_eq!(cores.limit.limit(0), 6);
    let mut at = 0;
    for (busy, runnable, is_queueing, want) in [
        (0.5, 3.0, false, 6), // no requests are queued
        (0.99, 6.0, true, 6), // the cores are busy
        (0.5, 3.0, true, 7),
        (0.5, 3.0, true, 8),
        (0.5, 3.0, true, 9),
        (0.5, 3.0, true, 10),
        (0.5, 3.0, true, 10),   // nine tenths of the survivable load
        (0.99, 12.0, true, 10), // not more than twice the cores are runnable
        (0.99, 20.0, true, 9),  // falls by a quarter per reading
        (0.99, 20.0, true, 9),
        (0.5, 3.0, true, 10), // rises again as soon as the cores idle
    ] {
        at += 250_000;
        cores.read(at, gauges(busy, runnable), 4, is_queueing);
        assert_eq!(cores.limit.limit(at), want, "at {at}");
    }
}

#[test]
fn the_load_signal_falls_under_pressure_and_recovers() {
    for (signal, threshold, unloaded) in
        [(SignalKind::Weight, 0.5, 1.0), (SignalKind::Level, 0.45, 0.0), (SignalKind::Credit, 3.0, 6.0)]
    {
        let mut server = TestConfig { signal, ..TestConfig::default() }.start();
        server.fill_cores();
        for i in 0..10 {
            server
                .arrive_with(Arrival { work_hint_us: Some(1_200_000), ..rpc(&format!("a{i}"), IDEMPOTENT) });
        }
        let last_signal = |actions: Vec<String>| {
            actions.iter().rev().find_map(|action| action.strip_prefix("signal ")?.parse::<f64>().ok())
        };
        let loaded =
            (1..60).filter_map(|k| last_signal(server.fire_timer(k * 50_000, 1.0, 9.0))).last().unwrap();
        (0..10).for_each(|i| server.controller.caller_left(&format!("a{i}")));
        let recovered =
            (60..400).filter_map(|k| last_signal(server.fire_timer(k * 50_000, 1.0, 9.0))).last().unwrap();
        assert!(
            if unloaded > threshold { loaded < threshold } else { loaded > threshold },
            "{signal:?} {loaded}"
        );
        assert_eq!(recovered, unloaded, "{signal:?}");
    }
}

#[test]
fn a_cold_server_announces_no_more_than_its_share_of_speed() {
    let mut config = TestConfig::default();
    config.survivable_load.is_cold = true;
    let mut server = config.start();
    assert_eq!(server.fire_timer(50_000, 0.0, 0.0), ["signal 0.25"]);
}

#[test]
fn a_time_out_limits_starts_unless_this_server_cut_the_call_short() {
    for (took_us, is_limiting) in [(400_000, true), (150_000, false)] {
        let mut server = TestConfig::default().start();
        for i in 0..5 {
            server.arrive(&format!("a{i}"), IDEMPOTENT);
            server.need_call(&format!("a{i}"));
            server.controller.call_ended(server.now, &format!("a{i}"), Outcome::Ok, 100_000);
            server.end_run(&format!("a{i}"));
        }
        (1..=80).for_each(|k| drop(server.decide_at(k * SECOND_US)));
        server.arrive("b", IDEMPOTENT);
        server.need_call("b");
        server.controller.call_ended(server.now, "b", Outcome::TimedOut, took_us);
        server.decide();
        // Once limiting, r and u are the counts of this period: one request, so that the next one is queued.
        assert_eq!(server.arrive("c", IDEMPOTENT).is_empty(), is_limiting, "took {took_us}");
    }
}

#[test]
fn one_timer_remains_set_and_stops_are_requested_again() {
    let mut server = TestConfig::default().start();
    server.arrive_with(Arrival { time_left_us: Some(200_000), ..rpc("a", IDEMPOTENT) });
    server.decide_at(175_000);
    assert_eq!(
        server.fire_timer(200_000, 1.0, 6.0).first().map(String::as_str),
        Some("stop a"),
        "the stop is still pending"
    );
    // A timer that an earlier one has replaced does not cause another timer: its token is not that of the timer set
    // last.
    server.controller.timer_fired(250_000, 1, Gauges::default());
    server.controller.decide(250_000);
    server.take_actions();
    let timers = server.controller.host().1;
    server.controller.timer_fired(250_001, 1, Gauges::default());
    server.controller.decide(250_001);
    assert_eq!(server.controller.host().1, timers);
}

#[test]
fn a_request_that_may_skip_its_call_starts_while_the_controller_has_no_capacity() {
    // A rejection limits starts to one request in this second, with idle cores. The next request can wait until its
    // target less 0.15 s, and half of that wait passes before the period ends.
    for (method, want) in [(SKIPPABLE, vec!["run b", "skip b"]), (IDEMPOTENT, vec![])] {
        let mut config = TestConfig::default();
        config.methods[SKIPPABLE].latency_target_us = 1_000_000;
        let mut server = config.start();
        server.arrive("a", SKIPPABLE);
        server.need_call("a");
        server.end_call("a", Outcome::Rejected);
        assert_eq!(server.arrive("b", method), [""; 0], "no capacity in this period");
        assert_eq!(server.decide_at(400_000), [""; 0]);
        let mut actions = server.decide_at(430_000);
        actions.extend(server.need_call("b"));
        assert_eq!(actions, want);
    }
}

#[test]
fn the_setpoint_starts_at_the_decayed_maximum_of_recent_periods() {
    let mut controller = IntegralController::new(0);
    (0..20).for_each(|_| controller.call_placed());
    controller.end_period(SECOND_US);
    controller.end_period(2 * SECOND_US);
    controller.upstream_overloaded();
    assert_eq!(
        controller.call_setpoint, 18.0,
        "calls that hang become time-outs when few calls succeed any more"
    );
}
