//! The four rules at their edges, and what is held, started and turned away.
mod helper;
use helper::*;
use ochrewalk::admission::concurrency_limit::ConcurrencyLimit;
use ochrewalk::host::*;

const TENANT: Tenant = Tenant { id: 0, per_second: 10.0 };

#[test]
fn a_run_is_aborted_and_stopped_just_before_it_is_due() {
    for (stopping, effect, want) in [
        (Stopping::Pause, IDEM, vec!["abort a", "stop a"]),
        (Stopping::Drop, ONCE, vec!["abort a", "stop a"]),
        (Stopping::Never, TOKEN, vec!["abort a"]),
    ] {
        let mut given = Given::default();
        given.machine.stopping = stopping;
        let mut s = given.start();
        s.arrives(Arrival { time_left_us: Some(1_000_000), ..rpc("a", effect) });
        assert_eq!(s.at(974_999), [""; 0]);
        assert_eq!(s.at(975_000), want);
        assert_eq!(s.at(990_000), [""; 0], "answered once");
    }
}

#[test]
fn due_counts_the_time_already_queued() {
    for (left, queued, due) in
        [(None, 0, 10_000_000), (None, 4_000_000, 6_000_000), (Some(700_000), 9, 700_000)]
    {
        let mut s = Given::default().start();
        s.arrives(Arrival { time_left_us: left, queued_us: queued, ..rpc("a", ONCE) });
        s.at(due - 25_001);
        assert_eq!(s.at(due - 25_000), ["abort a", "stop a"], "{left:?} {queued}");
    }
}

#[test]
fn no_time_left_is_pushed_back_unrun() {
    let mut s = Given::default().start();
    assert_eq!(s.arrives(Arrival { time_left_us: Some(0), ..rpc("a", ONCE) }), ["push a"]);
}

#[test]
fn a_held_rpc_goes_when_it_cannot_start_in_time() {
    // Hinted 0.1 s, so 0.15 s are allowed for the run before any is seen: 3.85 s is the last moment.
    let mut s = Given::default().start();
    s.fill();
    assert_eq!(s.arrive("a", IDEM), [""; 0]);
    assert_eq!(s.at(3_850_000), [""; 0]);
    assert_eq!(s.at(3_850_001), ["push a"]);
}

#[test]
fn a_caller_that_has_gone_is_neither_started_nor_answered() {
    let mut s = Given::default().start();
    s.fill();
    s.arrive("a", IDEM);
    s.it.caller_left("a");
    s.it.caller_left("r0");
    assert_eq!(s.turn(), ["stop r0"]);
    s.it.run_ended(0, "r0", Outcome::Stopped);
    assert_eq!(s.turn(), [""; 0], "a was not started in its place");
    s.it.caller_left("r0");
    s.it.call_needed(0, "nobody");
    s.it.call_ended(0, "nobody", Outcome::Ok, 1);
    assert_eq!(s.turn(), [""; 0], "events about what is over are harmless");
}

#[test]
fn a_run_given_up_holds_its_core_until_it_settles() {
    let mut s = Given::default().start();
    for i in 0..6 {
        s.arrives(Arrival { time_left_us: Some(1_000_000), ..rpc(&format!("r{i}"), IDEM) });
    }
    s.at(975_000);
    assert_eq!(s.arrive("a", IDEM), [""; 0]);
    s.it.run_ended(s.now, "r0", Outcome::Stopped);
    assert_eq!(s.turn(), ["run a"]);
}

#[test]
fn a_call_is_repeated_only_where_no_effect_can_double() {
    use Outcome::*;
    for (method, outcome, want) in [
        (IDEM, Error, "call a"),
        (IDEM, TimedOut, "call a"),
        (IDEM, Rejected, "call a"),
        (ONCE, Rejected, "call a"),
        (ONCE, Unreachable, "call a"),
        (ONCE, NotStarted, "call a"),
        (TOKEN, Rejected, "call a"),
        (ONCE, Error, "abort a"),
        (ONCE, TimedOut, "abort a"),
        (ONCE, Interrupted, "abort a"),
        (TOKEN, TimedOut, "abort a"),
        (SKIP, TimedOut, "skip a"),
        (SKIP, Rejected, "skip a"),
        (SKIP, Unreachable, "skip a"),
        (SKIP, Interrupted, "call a"),
    ] {
        let mut s = Given::default().start();
        s.arrive("a", method);
        assert_eq!(s.needs("a"), ["call a"]);
        let mut did = s.called("a", outcome);
        did.extend(s.at(200_000));
        assert_eq!(did, [want], "{method} {outcome:?}");
    }
}

#[test]
fn a_call_is_left_out_when_its_latency_target_is_near() {
    let mut s = Given::default().start();
    s.arrive("a", SKIP);
    s.arrive("b", IDEM);
    s.now = 3_000_000;
    s.it.call_needed(s.now, "b");
    assert_eq!(s.needs("a"), ["skip a", "call b"], "half its work is still to come");
}

#[test]
fn a_repeat_of_a_tokened_rpc_never_runs() {
    // The first is held, running, at its call, or finished.
    for state in ["held", "running", "called", "finished"] {
        let mut s = Given::default().start();
        s.now = 1_000_000;
        if state == "held" {
            s.fill();
        }
        let first = s.arrives(Arrival { queued_us: 500_000, ..rpc("a", TOKEN) });
        assert_eq!(first[0], "key a 19501000", "its window counts from its arrival");
        match state {
            "called" => assert_eq!(s.needs("a"), ["call a"]),
            "finished" => assert_eq!(s.settle("a"), [""; 0]),
            _ => {}
        }
        let repeat = Arrival { repeats: Some("a".into()), time_left_us: Some(1_000_000), ..rpc("b", TOKEN) };
        assert_eq!(s.arrives(repeat), ["share b"], "{state}");
        s.it.caller_left("nobody");
        let late = s.at(1_975_000);
        assert!(late.contains(&"abort b".into()) && !late.contains(&"run b".into()), "{state} {late:?}");
    }
}

#[test]
fn a_tokened_rpc_pushed_back_unrun_frees_its_key() {
    let mut s = Given::default().start();
    s.fill();
    s.arrive("a", TOKEN);
    s.arrive("b", TOKEN);
    s.it.caller_left("b");
    assert_eq!(s.turn(), ["drop b"]);
    assert_eq!(s.at(3_850_001), ["push a", "drop a"]);
}

#[test]
fn memory_holds_to_the_last_kilobyte() {
    // 95 of 100 kB are used: held 1, running 10, a key 5.
    for (kb, arrivals, runs, pushes) in [(100.0, 6, 6, 0), (60.0, 6, 5, 0), (63.1, 6, 5, 0), (63.2, 6, 6, 0)]
    {
        let mut given = Given::default();
        given.machine.memory_kb = kb;
        let mut s = given.start();
        let did: Vec<String> = (0..arrivals).flat_map(|i| s.arrive(&format!("a{i}"), IDEM)).collect();
        let count = |what: &str| did.iter().filter(|d| d.starts_with(what)).count();
        assert_eq!((count("run"), count("push")), (runs, pushes), "{kb}");
    }
    // No room for the key: no run, and the key is forgotten with it.
    let mut given = Given::default();
    given.machine.memory_kb = 6.0;
    assert_eq!(given.start().arrive("a", TOKEN), ["key a 20001000", "push a", "drop a"]);
    // A flood is pushed back, least valuable first, until the rest fits at the end of the turn.
    let mut given = Given::default();
    given.machine.memory_kb = 80.0;
    given.methods[1].criticality = 3.0;
    given.machine.key_kb = 0.0;
    let mut s = given.start();
    s.fill();
    (0..10).for_each(|i| s.it.request_arrived(0, rpc(&format!("low{i}"), IDEM)));
    (0..10).for_each(|i| s.it.request_arrived(0, rpc(&format!("high{i}"), TOKEN)));
    let pushed: Vec<String> = s.turn().into_iter().filter(|d| d.starts_with("push")).collect();
    assert_eq!(pushed, ["push low0", "push low1", "push low2", "push low3"]);
}

#[test]
fn the_crowd_survived_rises_from_cold_to_warm() {
    for (cold, at, ceiling) in
        [(false, 0, 27), (true, 0, 10), (true, 5_000_000, 18), (true, 10_000_000, 27), (true, 99_000_000, 27)]
    {
        let survivable_load = SurvivableLoad {
            requests_per_core: 5.0,
            is_cold: cold,
            min_cold_speed: 0.25,
            warm_within_us: 10_000_000,
        };
        assert_eq!(ConcurrencyLimit::new(6, survivable_load, 0).ceiling(at), ceiling, "{cold} {at}");
    }
    // Those at their calls come back to the cores: they count, so that a stall below cannot pile them up.
    let mut s = Given::default().start();
    for i in 0..40 {
        s.arrive(&format!("a{i}"), IDEM);
        s.needs(&format!("a{i}"));
    }
    assert_eq!(s.arrive("b", IDEM), [""; 0]);
    s.called("a0", Outcome::Ok);
    assert_eq!(s.settle("a0").len(), 1);
}

#[test]
fn calls_in_hand_stay_within_the_told_share() {
    // Below one: one at a time, then none until the mean has room. An abandoned call stays in hand a while.
    for (share, second, later) in [(5.0, vec!["call b"], vec!["call c"]), (0.5, vec![], vec![])] {
        let upstream =
            Upstream::Shared { max_calls_in_flight: share, window_us: 5_000_000, linger_us: 200_000 };
        let mut s = Given { upstream, ..Given::default() }.start();
        for (id, want) in [("a", vec!["call a"]), ("b", second), ("c", vec![])] {
            s.arrive(id, IDEM);
            assert_eq!(s.needs(id), want);
        }
        s.called("a", Outcome::TimedOut);
        assert_eq!(s.at(199_999), [""; 0]);
        assert_eq!(s.at(200_001), ["call a"]);
        s.now = 5_000_000;
        assert_eq!(s.called("a", Outcome::Ok), later, "{share}");
    }
}

#[test]
fn a_drain_runs_only_what_came_within_the_grace() {
    for (came, want) in [(2_000_000, "run a"), (2_000_001, "push a")] {
        let mut s = Given::default().start();
        s.it.drain(0, 6_000_000);
        assert_eq!(s.turn(), ["ready false", "signal 0.00"]);
        s.now = 2_500_000;
        assert_eq!(s.arrives(Arrival { queued_us: s.now - came, ..rpc("a", IDEM) }), [want]);
    }
    let mut s = Given::default().start();
    s.fill();
    s.arrive("a", IDEM);
    s.it.drain(0, 1_000_000);
    s.turn();
    let did = s.at(975_000);
    assert_eq!(did.iter().filter(|d| d.starts_with("abort")).count(), 6, "all answered before the stop");
    assert!(s.took().is_empty());
}

#[test]
fn held_rpcs_start_oldest_first_and_newest_first_once_full_a_while() {
    // Long RPCs that keep coming stand past what the last of them can wait; a few short ones do not.
    for (effort, want) in [(50_000, "run a0"), (1_500_000, "run a44")] {
        let mut s = Given::default().start();
        s.fill();
        for i in 0..45 {
            s.now = i * 80_000;
            s.arrives(Arrival { work_hint_us: Some(effort), ..rpc(&format!("a{i}"), IDEM) });
        }
        s.it.run_ended(s.now, "r0", Outcome::Stopped);
        assert_eq!(s.turn(), [want]);
    }
}

#[test]
fn the_least_valuable_before_one_too_late_is_turned_away() {
    let mut given = Given::default();
    given.methods[ONCE].criticality = 4.0;
    let mut s = given.start();
    s.fill();
    // Two long ones take 4 s of the cores before the third, which must start by 3.85 s.
    s.arrives(Arrival { work_hint_us: Some(1_500_000), ..rpc("a", IDEM) });
    let mut did = vec![];
    for i in 0..8 {
        did.extend(s.arrives(Arrival { work_hint_us: Some(1_500_000), ..rpc(&format!("b{i}"), IDEM) }));
    }
    assert_eq!(did, [""; 0]);
    for i in 0..4 {
        did.extend(s.arrives(Arrival { work_hint_us: Some(1_500_000), ..rpc(&format!("c{i}"), ONCE) }));
    }
    assert_eq!(did.first().map(String::as_str), Some("push a"), "{did:?}");
    assert!(!did.iter().any(|d| d.contains('c')), "none of the valuable ones went: {did:?}");
}

#[test]
fn beyond_its_quota_a_tenant_counts_less() {
    // One RPC a second here, eight saved up; only what is started counts.
    for (started, want) in [(7, "push b"), (8, "push a")] {
        let mut given = Given::default();
        given.machine.memory_kb = 66.0;
        let mut s = given.start();
        for i in 0..started {
            s.arrives(Arrival { tenant: Some(TENANT), ..rpc(&format!("x{i}"), IDEM) });
            s.settle(&format!("x{i}"));
        }
        s.fill();
        s.arrive("b", IDEM);
        s.arrives(Arrival { tenant: Some(TENANT), ..rpc("a", IDEM) });
        assert_eq!(s.arrive("other", IDEM), [want], "{started} started");
    }
}

#[test]
fn a_first_try_is_asked_to_be_the_last_while_further_ones_are_pushed_back_here() {
    for (mark_retries, is_retry, pushed, want) in [
        (true, true, 20, "push a last"),
        (true, true, 5, "push a"),
        (true, false, 20, "push a"),
        (false, false, 20, "push a last"),
    ] {
        let mut s = Given { mark_retries, ..Given::default() }.start();
        for i in 0..pushed {
            s.arrives(Arrival { time_left_us: Some(0), is_retry, ..rpc(&format!("x{i}"), IDEM) });
        }
        let got = s.arrives(Arrival { time_left_us: Some(0), ..rpc("a", IDEM) });
        assert_eq!(got, [want], "{mark_retries} {is_retry} {pushed}");
        let again = s.arrives(Arrival { time_left_us: Some(0), is_retry: true, ..rpc("b", IDEM) });
        assert_eq!(again, ["push b last"], "a further try always");
    }
}

#[test]
fn a_further_try_is_as_old_as_its_caller_has_waited() {
    // Wanted by 4 s of 10: with 5 s left five have passed, but for a first try whose caller is in a hurry.
    for (is_retry, want) in [(false, vec![]), (true, vec!["push a last"])] {
        let mut s = Given::default().start();
        s.arrives(Arrival { time_left_us: Some(10_000_000), ..rpc("x", IDEM) });
        s.settle("x");
        s.fill();
        s.arrives(Arrival { time_left_us: Some(5_000_000), is_retry, ..rpc("a", IDEM) });
        assert_eq!(s.at(510_000), want);
    }
}

#[test]
fn slow_runs_of_one_method_are_a_warning_for_all() {
    // Hinted 0.1 s; after usual runs it may start until 3.9 s of 4, not so once others take six times that.
    for (late_us, want) in [(100_000, vec![]), (600_000, vec!["push a"])] {
        let mut s = Given::default().start();
        for i in 0..40 {
            s.arrive(&format!("x{i}"), if i < 2 { ONCE } else { IDEM });
            s.now += if i < 16 { 100_000 } else { late_us };
            s.settle(&format!("x{i}"));
        }
        s.fill();
        assert_eq!(s.arrive("a", ONCE), [""; 0]);
        assert_eq!(s.at(s.now + 3_870_000), want);
    }
}

#[test]
fn a_call_into_silence_ends_near_the_latency_target() {
    // Due at 10 s, wanted by 4 s; past that, four times the usual time, or 4 s before any was seen.
    for (at, method, until) in [(0, ONCE, 4_000_000), (3_000_000, ONCE, 7_000_000), (0, SKIP, 4_000_000)] {
        let mut s = Given::default().start();
        s.arrive("a", method);
        s.now = at;
        s.needs("a");
        assert_eq!(s.it.host().2, until, "{at} {method}");
    }
}

#[test]
fn an_rpc_too_long_for_its_target_runs_on_an_idle_server_and_crowds_nobody_out() {
    let mut s = Given::default().start();
    let long = || Arrival { work_hint_us: Some(9_000_000), ..rpc("long", ONCE) };
    assert_eq!(s.arrives(long()), ["run long"]);
    let mut given = Given::default();
    given.methods[ONCE].criticality = 9.0;
    let mut s = given.start();
    s.fill();
    (0..8).for_each(|i| drop(s.arrive(&format!("a{i}"), IDEM)));
    assert_eq!(s.arrives(long()), [""; 0]);
    assert_eq!(s.at(500_001), ["push long"], "it had an eighth of its target to start in");
}
