//! The integral controller against periods worked by hand, size classes, the concurrency limit and the load signal.
mod helper;
use helper::*;
use ochrewalk::admission::concurrency_limit::ConcurrencyLimit;
use ochrewalk::admission::core_usage::GaugeReader;
use ochrewalk::admission::integral_controller::IntegralController;
use ochrewalk::admission::load_signal::IdleTimeout;
use ochrewalk::admission::size_classes::{CallStatistics, SizeClass, SizeClasses};
use ochrewalk::host::*;

const S: u64 = 1_000_000;
const CROWD: SurvivableLoad =
    SurvivableLoad { requests_per_core: 2.0, is_cold: false, min_cold_speed: 1.0, warm_within_us: 1 };

fn statistics(seen: &[(f64, f64)]) -> Vec<CallStatistics> {
    seen.iter().map(|(runs, calls)| CallStatistics { runs: *runs, calls: *calls }).collect()
}

/// What of a controller goes by the gauges of the cores.
struct GaugedParts {
    gauges: GaugeReader,
    limit: ConcurrencyLimit,
    idle: IdleTimeout,
}

impl GaugedParts {
    fn new(cores: u32, max_idle_us: u64) -> GaugedParts {
        GaugedParts {
            gauges: GaugeReader::new(cores),
            limit: ConcurrencyLimit::new(cores, CROWD, 0),
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
fn the_integral_controller_follows_its_law() {
    // Each period: calls placed, RPCs released (each predicted to call once), a sign; then r and u after it.
    let table = [
        (8, 8, 0, 0.0, 0.0),     // free: nothing binds before a sign
        (8, 8, 3, 8.0, 8.0),     // bound to what was carried; e = 8 - 8
        (8, 8, 0, 12.0, 12.0),   // neared r: r grows by half; u = 8 + (12 - 8)
        (6, 6, 0, 12.0, 18.0),   // not neared; u = 12 + (12 - 6)
        (14, 12, 4, 18.0, 22.0), // four stray signs among 14 calls are none; u = 18 + (18 - 14)
        (12, 12, 4, 18.0, 28.0), // signs, but not yet a run; u = 22 + (18 - 12)
        (12, 12, 4, 9.0, 25.0),  // the second period in a row halves r; u = 28 + (9 - 12)
        (0, 0, 0, 9.0, 34.0),
        (0, 0, 0, 9.0, 36.0), // u stays within four times r
    ];
    let mut it = IntegralController::new(0);
    for (k, (calls, released, signs, r, u)) in table.into_iter().enumerate() {
        (0..calls).for_each(|_| it.call_placed());
        (0..released).for_each(|_| it.request_started(1.0));
        (0..signs).for_each(|_| it.upstream_overloaded());
        let ends = (k as u64 + 1) * S;
        assert!(!it.end_period(ends - 1) && it.end_period(ends));
        assert_eq!((it.call_setpoint, it.admission_limit), (r, u), "period {k}");
    }
}

#[test]
fn starts_end_when_the_prediction_reaches_the_setpoint() {
    let mut it = IntegralController::new(0);
    (0..3).for_each(|_| it.call_placed());
    (0..9).for_each(|_| it.request_started(0.5));
    assert!(it.has_capacity(100.0), "free before any sign");
    it.upstream_overloaded();
    it.end_period(S); // r 3, u 9
    let started = (0..20)
        .filter(|_| {
            it.has_capacity(1.0) && {
                it.request_started(1.0);
                true
            }
        })
        .count();
    assert_eq!(started, 3);
    assert!(it.has_capacity(0.0), "RPCs that never call are not held back");
    it.end_period(2 * S); // stopped at r, so that calls neared it: r 4.5
    assert_eq!(it.call_setpoint, 4.5);
}

#[test]
fn setpoint_and_limit_recover_within_a_few_periods() {
    let mut it = IntegralController::new(0);
    it.upstream_overloaded();
    for k in 1..=30u64 {
        it.upstream_overloaded();
        it.end_period(k * S);
    }
    assert_eq!((it.call_setpoint, it.admission_limit), (1.0, 4.0));
    let mut k = 30;
    while it.call_setpoint < 20.0 && k < 99 {
        k += 1;
        while it.has_capacity(1.0) {
            it.call_placed();
            it.request_started(1.0);
        }
        it.end_period(k * S);
    }
    assert!(k - 30 <= 9, "{} periods", k - 30);
}

#[test]
fn methods_are_divided_by_the_calls_seen() {
    for (seen, large) in [
        (vec![(10.0, 10.0), (10.0, 11.0)], vec![false, false]),
        (vec![(10.0, 0.0), (10.0, 10.0)], vec![false, true]),
        (vec![(10.0, 10.0), (10.0, 20.0), (10.0, 19.0)], vec![false, true, true]),
    ] {
        let mut classes = SizeClasses::new(&statistics(&vec![(1.0, 1.0); seen.len()]));
        classes.divide(&statistics(&seen));
        assert_eq!(
            (0..seen.len()).map(|m| classes.class_of(m) == SizeClass::Large).collect::<Vec<_>>(),
            large,
            "{seen:?}"
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
    let low = classes.release_probability;
    assert!(low < 1.0);
    classes.has_held_back_small = true;
    classes.adapt(Some(100), Some(900));
    assert!(classes.release_probability > low, "no starvation: large ones wait longer");
    (0..20).for_each(|_| classes.adapt(None, None));
    assert_eq!(classes.release_probability, 1.0, "back to one when nothing is held back");
}

#[test]
fn a_large_request_is_not_starved_by_small_ones() {
    let mut given = Given::default();
    given.methods[IDEM].makes_calls = false;
    let mut s = given.start();
    s.fill();
    s.arrives(Arrival { time_left_us: Some(60 * S), ..rpc("big", ONCE) });
    let mut ran = false;
    for i in 0..30 {
        s.now += 100_000;
        s.arrive(&format!("small{i}"), IDEM);
        let done = if i < 6 { format!("r{i}") } else { format!("small{}", i - 6) };
        ran |= s.settle(&done).contains(&"run big".into());
    }
    assert!(ran);
}

#[test]
fn small_requests_lead_while_the_controller_limits() {
    // One lane calls once, the other twice; r is 2 after the sign.
    let mut classes = SizeClasses::new(&statistics(&[(1.0, 1.0); 2]));
    classes.divide(&statistics(&[(10.0, 10.0), (10.0, 20.0)]));
    let mut it = IntegralController::new(0);
    (0..2).for_each(|_| it.call_placed());
    (0..2).for_each(|_| it.request_started(1.0));
    it.upstream_overloaded();
    it.end_period(S);
    assert!(it.has_capacity(classes.mean_calls[0]) && it.has_capacity(classes.mean_calls[1]));
    it.request_started(classes.mean_calls[0]);
    assert!(
        it.has_capacity(classes.mean_calls[0]) && !it.has_capacity(classes.mean_calls[1]),
        "room is left for a small one only"
    );
}

#[test]
fn connections_idle_shorter_at_good_use_and_longer_again_while_swamped() {
    for (callers, open, busy, waiting, runnable, idle_us) in [
        (900, 60.0, 0.7, false, 2.0, 1_000_000),
        (900, 60.0, 0.2, false, 1.0, 30_000_000), // a table costs idle cores nothing
        (900, 60.0, 0.95, false, 3.0, 30_000_000), // a handshake costs busy ones too much
        (900, 60.0, 0.7, true, 2.0, 30_000_000),  // work is held
        (100, 60.0, 0.7, false, 2.0, 30_000_000), // most callers are connected, and come back
    ] {
        let mut cores = GaugedParts::new(2, 30_000_000);
        let gauges = Gauges { busy: Some(busy), runnable: Some(runnable), connections: Some(open) };
        (1..50).for_each(|k| cores.read(k * 250_000, gauges, callers, waiting));
        assert_eq!(cores.idle.timeout_us(), idle_us, "{callers} {busy} {waiting}");
        let swamped = Gauges { busy: Some(1.0), runnable: Some(9.0), ..gauges };
        (50..99).for_each(|k| cores.read(k * 250_000, swamped, callers, true));
        assert_eq!(cores.idle.timeout_us(), 30_000_000, "the table may fill again");
        let mut brief = GaugedParts::new(2, 500_000);
        (1..50).for_each(|k| brief.read(k * 250_000, gauges, callers, waiting));
        assert_eq!(brief.idle.timeout_us(), 500_000, "never longer than callers keep one");
    }
}

#[test]
fn the_concurrency_limit_grows_while_cores_idle_with_work_queued() {
    let mut cores = GaugedParts::new(6, 30_000_000);
    let gauges = |busy, runnable| Gauges { busy: Some(busy), runnable: Some(runnable), connections: None };
    assert_eq!(cores.limit.limit(0), 6);
    let mut at = 0;
    for (busy, runnable, waiting, want) in [
        (0.5, 3.0, false, 6), // nothing is held
        (0.99, 6.0, true, 6), // the cores are busy
        (0.5, 3.0, true, 7),
        (0.5, 3.0, true, 8),
        (0.5, 3.0, true, 9),
        (0.5, 3.0, true, 10),
        (0.5, 3.0, true, 10),   // nine tenths of the survivable_load that it survives
        (0.99, 12.0, true, 10), // no more than twice the cores are wanted
        (0.99, 20.0, true, 9),  // falls by a quarter each time
        (0.99, 20.0, true, 9),
        (0.5, 3.0, true, 10), // and is back as soon as the cores idle again
    ] {
        at += 250_000;
        cores.read(at, gauges(busy, runnable), 4, waiting);
        assert_eq!(cores.limit.limit(at), want, "at {at}");
    }
}

#[test]
fn the_load_signal_falls_under_pressure_and_recovers() {
    for (sent_back, beyond, rest) in
        [(SignalKind::Weight, 0.5, 1.0), (SignalKind::Level, 0.45, 0.0), (SignalKind::Credit, 3.0, 6.0)]
    {
        let mut s = Given { signal: sent_back, ..Given::default() }.start();
        s.fill();
        for i in 0..10 {
            s.arrives(Arrival { work_hint_us: Some(1_200_000), ..rpc(&format!("a{i}"), IDEM) });
        }
        let last =
            |did: Vec<String>| did.iter().rev().find_map(|d| d.strip_prefix("signal ")?.parse::<f64>().ok());
        let low = (1..60).filter_map(|k| last(s.pulse(k * 50_000, 1.0, 9.0))).last().unwrap();
        (0..10).for_each(|i| s.it.caller_left(&format!("a{i}")));
        let high = (60..400).filter_map(|k| last(s.pulse(k * 50_000, 1.0, 9.0))).last().unwrap();
        assert!(if rest > beyond { low < beyond } else { low > beyond }, "{sent_back:?} {low}");
        assert_eq!(high, rest, "{sent_back:?}");
    }
}

#[test]
fn a_cold_server_wants_no_more_than_its_speed() {
    let mut given = Given::default();
    given.survivable_load.is_cold = true;
    let mut s = given.start();
    assert_eq!(s.pulse(50_000, 0.0, 0.0), ["signal 0.25"]);
}

#[test]
fn a_time_out_binds_unless_we_cut_the_call_short() {
    for (took, pushes) in [(400_000, true), (150_000, false)] {
        let mut s = Given::default().start();
        for i in 0..5 {
            s.arrive(&format!("a{i}"), IDEM);
            s.needs(&format!("a{i}"));
            s.it.call_ended(s.now, &format!("a{i}"), Outcome::Ok, 100_000);
            s.settle(&format!("a{i}"));
        }
        (1..=80).for_each(|k| drop(s.at(k * S)));
        s.arrive("b", IDEM);
        s.needs("b");
        s.it.call_ended(s.now, "b", Outcome::TimedOut, took);
        s.turn();
        // Once bound, r and u are what this period carried: one RPC, so that the next is held.
        assert_eq!(s.arrive("c", IDEM).is_empty(), pushes, "took {took}");
    }
}

#[test]
fn one_timer_stays_armed_and_stops_are_asked_for_again() {
    let mut s = Given::default().start();
    s.arrives(Arrival { time_left_us: Some(200_000), ..rpc("a", IDEM) });
    s.at(175_000);
    assert_eq!(s.pulse(200_000, 1.0, 6.0).first().map(String::as_str), Some("stop a"), "it still stands");
    // A timer that was overtaken by an earlier one arms nothing more: its token is not the last armed.
    s.it.timer_fired(250_000, 1, Gauges::default());
    s.it.decide(250_000);
    s.took();
    let armed = s.it.host().1;
    s.it.timer_fired(250_001, 1, Gauges::default());
    s.it.decide(250_001);
    assert_eq!(s.it.host().1, armed);
}

#[test]
fn what_may_skip_its_call_starts_while_the_controller_has_no_capacity() {
    // Bound to one RPC in this second by a push-back, with idle cores. The next can wait until its target
    // less 0.15 s, and half of that wait is over before the period is.
    for (method, want) in [(SKIP, vec!["run b", "skip b"]), (IDEM, vec![])] {
        let mut given = Given::default();
        given.methods[SKIP].latency_target_us = 1_000_000;
        let mut s = given.start();
        s.arrive("a", SKIP);
        s.needs("a");
        s.called("a", Outcome::Rejected);
        assert_eq!(s.arrive("b", method), [""; 0], "no room in this period");
        assert_eq!(s.at(400_000), [""; 0]);
        let mut did = s.at(430_000);
        did.extend(s.needs("b"));
        assert_eq!(did, want);
    }
}

#[test]
fn the_setpoint_begins_at_the_most_carried_of_late() {
    let mut it = IntegralController::new(0);
    (0..20).for_each(|_| it.call_placed());
    it.end_period(S);
    it.end_period(2 * S);
    it.upstream_overloaded();
    assert_eq!(it.call_setpoint, 18.0, "hung calls show as time-outs when nothing is carried any more");
}
