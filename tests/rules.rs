//! Tests of due times, retries of calls, memory and draining at their bounds, and of the requests that are queued,
//! started and rejected.
mod helper;
use helper::*;
use ochrewalk::admission::concurrency_limit::ConcurrencyLimit;
use ochrewalk::host::*;

const TENANT: Tenant = Tenant { id: 0, per_second: 10.0 };

#[test]
fn a_run_is_aborted_and_stopped_just_before_it_is_due() {
    for (stopping, effect, want) in [
        (Stopping::Pause, IDEMPOTENT, vec!["abort a", "stop a"]),
        (Stopping::Drop, NON_IDEMPOTENT, vec!["abort a", "stop a"]),
        (Stopping::Never, WITH_KEY, vec!["abort a"]),
    ] {
        let mut config = TestConfig::default();
        config.machine.stopping = stopping;
        let mut server = config.start();
        server.arrive_with(Arrival { time_left_us: Some(1_000_000), ..rpc("a", effect) });
        assert_eq!(server.decide_at(974_999), [""; 0]);
        assert_eq!(server.decide_at(975_000), want);
        assert_eq!(server.decide_at(990_000), [""; 0], "answered once");
    }
}

#[test]
fn the_due_time_counts_the_time_already_queued() {
    for (time_left_us, queued_us, due_us) in
        [(None, 0, 10_000_000), (None, 4_000_000, 6_000_000), (Some(700_000), 9, 700_000)]
    {
        let mut server = TestConfig::default().start();
        server.arrive_with(Arrival { time_left_us, queued_us, ..rpc("a", NON_IDEMPOTENT) });
        server.decide_at(due_us - 25_001);
        assert_eq!(server.decide_at(due_us - 25_000), ["abort a", "stop a"], "{time_left_us:?} {queued_us}");
    }
}

#[test]
fn a_request_without_time_left_is_rejected_before_it_runs() {
    let mut server = TestConfig::default().start();
    assert_eq!(
        server.arrive_with(Arrival { time_left_us: Some(0), ..rpc("a", NON_IDEMPOTENT) }),
        ["reject a"]
    );
}

#[test]
fn a_queued_request_is_rejected_when_it_cannot_start_in_time() {
    // The hint is 0.1 s, so before the first run 0.15 s are assumed for the run: the latest start is at 3.85 s.
    let mut server = TestConfig::default().start();
    server.fill_cores();
    assert_eq!(server.arrive("a", IDEMPOTENT), [""; 0]);
    assert_eq!(server.decide_at(3_850_000), [""; 0]);
    assert_eq!(server.decide_at(3_850_001), ["reject a"]);
}

#[test]
fn a_request_whose_caller_has_disconnected_is_neither_started_nor_answered() {
    let mut server = TestConfig::default().start();
    server.fill_cores();
    server.arrive("a", IDEMPOTENT);
    server.controller.caller_left("a");
    server.controller.caller_left("r0");
    assert_eq!(server.decide(), ["stop r0"]);
    server.controller.run_ended(0, "r0", Outcome::Stopped);
    assert_eq!(server.decide(), [""; 0], "a is not started on the core that is free");
    server.controller.caller_left("r0");
    server.controller.call_needed(0, "unknown");
    server.controller.call_ended(0, "unknown", Outcome::Ok, 1);
    assert_eq!(server.decide(), [""; 0], "events of requests that have ended are harmless");
}

#[test]
fn a_run_that_is_given_up_occupies_its_core_until_its_end() {
    let mut server = TestConfig::default().start();
    for i in 0..6 {
        server.arrive_with(Arrival { time_left_us: Some(1_000_000), ..rpc(&format!("r{i}"), IDEMPOTENT) });
    }
    server.decide_at(975_000);
    assert_eq!(server.arrive("a", IDEMPOTENT), [""; 0]);
    server.controller.run_ended(server.now, "r0", Outcome::Stopped);
    assert_eq!(server.decide(), ["run a"]);
}

#[test]
fn a_call_is_retried_only_if_no_effect_can_happen_twice() {
    use Outcome::*;
    for (method, outcome, want) in [
        (IDEMPOTENT, Error, "call a"),
        (IDEMPOTENT, TimedOut, "call a"),
        (IDEMPOTENT, Rejected, "call a"),
        (NON_IDEMPOTENT, Rejected, "call a"),
        (NON_IDEMPOTENT, Unreachable, "call a"),
        (NON_IDEMPOTENT, NotStarted, "call a"),
        (WITH_KEY, Rejected, "call a"),
        (NON_IDEMPOTENT, Error, "abort a"),
        (NON_IDEMPOTENT, TimedOut, "abort a"),
        (NON_IDEMPOTENT, Interrupted, "abort a"),
        (WITH_KEY, TimedOut, "abort a"),
        (SKIPPABLE, TimedOut, "skip a"),
        (SKIPPABLE, Rejected, "skip a"),
        (SKIPPABLE, Unreachable, "skip a"),
        (SKIPPABLE, Interrupted, "call a"),
    ] {
        let mut server = TestConfig::default().start();
        server.arrive("a", method);
        assert_eq!(server.need_call("a"), ["call a"]);
        let mut actions = server.end_call("a", outcome);
        actions.extend(server.decide_at(200_000));
        assert_eq!(actions, [want], "{method} {outcome:?}");
    }
}

#[test]
fn a_call_is_skipped_when_the_latency_target_is_near() {
    let mut server = TestConfig::default().start();
    server.arrive("a", SKIPPABLE);
    server.arrive("b", IDEMPOTENT);
    server.now = 3_000_000;
    server.controller.call_needed(server.now, "b");
    assert_eq!(server.need_call("a"), ["skip a", "call b"], "half of the work of a is still ahead");
}

#[test]
fn a_repeat_of_a_request_with_a_key_never_runs() {
    // The first request is queued, running, waiting for its call, or finished.
    for state in ["queued", "running", "calling", "finished"] {
        let mut server = TestConfig::default().start();
        server.now = 1_000_000;
        if state == "queued" {
            server.fill_cores();
        }
        let first = server.arrive_with(Arrival { queued_us: 500_000, ..rpc("a", WITH_KEY) });
        assert_eq!(first[0], "remember a 19501000", "the key's window begins at the arrival");
        match state {
            "calling" => assert_eq!(server.need_call("a"), ["call a"]),
            "finished" => assert_eq!(server.end_run("a"), [""; 0]),
            _ => {}
        }
        let repeat =
            Arrival { repeats: Some("a".into()), time_left_us: Some(1_000_000), ..rpc("b", WITH_KEY) };
        assert_eq!(server.arrive_with(repeat), ["share b"], "{state}");
        server.controller.caller_left("unknown");
        let actions = server.decide_at(1_975_000);
        assert!(
            actions.contains(&"abort b".into()) && !actions.contains(&"run b".into()),
            "{state} {actions:?}"
        );
    }
}

#[test]
fn the_key_of_a_request_rejected_before_it_runs_is_forgotten() {
    let mut server = TestConfig::default().start();
    server.fill_cores();
    server.arrive("a", WITH_KEY);
    server.arrive("b", WITH_KEY);
    server.controller.caller_left("b");
    assert_eq!(server.decide(), ["forget b"]);
    assert_eq!(server.decide_at(3_850_001), ["reject a", "forget a"]);
}

#[test]
fn the_memory_limit_is_exact_to_the_last_kilobyte() {
    // 95 of 100 kB are used: a queued request takes 1 kB, a running one 10 kB and a key 5 kB.
    for (memory_kb, arrivals, starts, rejections) in
        [(100.0, 6, 6, 0), (60.0, 6, 5, 0), (63.1, 6, 5, 0), (63.2, 6, 6, 0)]
    {
        let mut config = TestConfig::default();
        config.machine.memory_kb = memory_kb;
        let mut server = config.start();
        let actions: Vec<String> =
            (0..arrivals).flat_map(|i| server.arrive(&format!("a{i}"), IDEMPOTENT)).collect();
        let count = |prefix: &str| actions.iter().filter(|action| action.starts_with(prefix)).count();
        assert_eq!((count("run"), count("reject")), (starts, rejections), "{memory_kb}");
    }
    // Without memory for the key, the request is rejected and its key is forgotten.
    let mut config = TestConfig::default();
    config.machine.memory_kb = 6.0;
    assert_eq!(config.start().arrive("a", WITH_KEY), ["remember a 20001000", "reject a", "forget a"]);
    // Under a flood, requests are rejected in order of increasing value until the rest fits at the end of the decision.
    let mut config = TestConfig::default();
    config.machine.memory_kb = 80.0;
    config.methods[1].criticality = 3.0;
    config.machine.key_kb = 0.0;
    let mut server = config.start();
    server.fill_cores();
    (0..10).for_each(|i| server.controller.request_arrived(0, rpc(&format!("low{i}"), IDEMPOTENT)));
    (0..10).for_each(|i| server.controller.request_arrived(0, rpc(&format!("high{i}"), WITH_KEY)));
    let rejected: Vec<String> =
        server.decide().into_iter().filter(|action| action.starts_with("reject")).collect();
    assert_eq!(rejected, ["reject low0", "reject low1", "reject low2", "reject low3"]);
}

#[test]
fn the_survivable_number_of_requests_rises_from_cold_to_warm() {
    for (is_cold, at_us, ceiling) in
        [(false, 0, 27), (true, 0, 10), (true, 5_000_000, 18), (true, 10_000_000, 27), (true, 99_000_000, 27)]
    {
        let survivable_load = SurvivableLoad {
            requests_per_core: 5.0,
            is_cold,
            min_cold_speed: 0.25,
            warm_within_us: 10_000_000,
        };
        assert_eq!(ConcurrencyLimit::new(6, survivable_load, 0).ceiling(at_us), ceiling, "{is_cold} {at_us}");
    }
    // Requests in upstream calls will return to the cores. They count against the ceiling, so that they cannot
    // accumulate while the upstream is stalled.
    let mut server = TestConfig::default().start();
    for i in 0..40 {
        server.arrive(&format!("a{i}"), IDEMPOTENT);
        server.need_call(&format!("a{i}"));
    }
    assert_eq!(server.arrive("b", IDEMPOTENT), [""; 0]);
    server.end_call("a0", Outcome::Ok);
    assert_eq!(server.end_run("a0").len(), 1);
}

#[test]
fn calls_in_flight_stay_within_the_configured_share() {
    // With a share below one, one call at a time is placed, and then none until the mean has capacity. An abandoned
    // call stays in flight for the linger time.
    for (share, second, after_window) in [(5.0, vec!["call b"], vec!["call c"]), (0.5, vec![], vec![])] {
        let upstream =
            Upstream::Shared { max_calls_in_flight: share, window_us: 5_000_000, linger_us: 200_000 };
        let mut server = TestConfig { upstream, ..TestConfig::default() }.start();
        for (id, want) in [("a", vec!["call a"]), ("b", second), ("c", vec![])] {
            server.arrive(id, IDEMPOTENT);
            assert_eq!(server.need_call(id), want);
        }
        server.end_call("a", Outcome::TimedOut);
        assert_eq!(server.decide_at(199_999), [""; 0]);
        assert_eq!(server.decide_at(200_001), ["call a"]);
        server.now = 5_000_000;
        assert_eq!(server.end_call("a", Outcome::Ok), after_window, "{share}");
    }
}

#[test]
fn a_drain_starts_only_requests_that_arrived_within_the_grace_time() {
    for (arrived_us, want) in [(2_000_000, "run a"), (2_000_001, "reject a")] {
        let mut server = TestConfig::default().start();
        server.controller.drain(0, 6_000_000);
        assert_eq!(server.decide(), ["ready false", "signal 0.00"]);
        server.now = 2_500_000;
        assert_eq!(
            server.arrive_with(Arrival { queued_us: server.now - arrived_us, ..rpc("a", IDEMPOTENT) }),
            [want]
        );
    }
    let mut server = TestConfig::default().start();
    server.fill_cores();
    server.arrive("a", IDEMPOTENT);
    server.controller.drain(0, 1_000_000);
    server.decide();
    let actions = server.decide_at(975_000);
    assert_eq!(
        actions.iter().filter(|action| action.starts_with("abort")).count(),
        6,
        "all requests are answered before the process ends"
    );
    assert!(server.take_actions().is_empty());
}

#[test]
fn queued_requests_start_oldest_first_and_newest_first_after_the_queue_was_full_for_a_time() {
    // A stream of long requests makes the queue longer than its newest request can wait; short requests do not.
    for (work_us, want) in [(50_000, "run a0"), (1_500_000, "run a44")] {
        let mut server = TestConfig::default().start();
        server.fill_cores();
        for i in 0..45 {
            server.now = i * 80_000;
            server.arrive_with(Arrival { work_hint_us: Some(work_us), ..rpc(&format!("a{i}"), IDEMPOTENT) });
        }
        server.controller.run_ended(server.now, "r0", Outcome::Stopped);
        assert_eq!(server.decide(), [want]);
    }
}

#[test]
fn the_least_valuable_request_before_one_that_would_start_too_late_is_rejected() {
    let mut config = TestConfig::default();
    config.methods[NON_IDEMPOTENT].criticality = 4.0;
    let mut server = config.start();
    server.fill_cores();
    // Two long requests take 4 s of the cores before the third, which must start by 3.85 s.
    server.arrive_with(Arrival { work_hint_us: Some(1_500_000), ..rpc("a", IDEMPOTENT) });
    let mut actions = vec![];
    for i in 0..8 {
        actions.extend(
            server
                .arrive_with(Arrival { work_hint_us: Some(1_500_000), ..rpc(&format!("b{i}"), IDEMPOTENT) }),
        );
    }
    assert_eq!(actions, [""; 0]);
    for i in 0..4 {
        actions.extend(
            server.arrive_with(Arrival {
                work_hint_us: Some(1_500_000),
                ..rpc(&format!("c{i}"), NON_IDEMPOTENT)
            }),
        );
    }
    assert_eq!(actions.first().map(String::as_str), Some("reject a"), "{actions:?}");
    assert!(
        !actions.iter().any(|action| action.trim_start_matches("reject").contains('c')),
        "no valuable request is rejected: {actions:?}"
    );
}

#[test]
fn a_request_beyond_its_tenant_s_quota_has_a_lower_value() {
    // The bucket refills by one request per second at this server and holds eight; only started requests are charged.
    for (started, want) in [(7, "reject b"), (8, "reject a")] {
        let mut config = TestConfig::default();
        config.machine.memory_kb = 66.0;
        let mut server = config.start();
        for i in 0..started {
            server.arrive_with(Arrival { tenant: Some(TENANT), ..rpc(&format!("x{i}"), IDEMPOTENT) });
            server.end_run(&format!("x{i}"));
        }
        server.fill_cores();
        server.arrive("b", IDEMPOTENT);
        server.arrive_with(Arrival { tenant: Some(TENANT), ..rpc("a", IDEMPOTENT) });
        assert_eq!(server.arrive("other", IDEMPOTENT), [want], "{started} started");
    }
}

#[test]
fn a_first_attempt_is_advised_not_to_retry_while_retries_are_rejected_here() {
    for (mark_retries, is_retry, rejections, want) in [
        (true, true, 20, "reject a last"),
        (true, true, 5, "reject a"),
        (true, false, 20, "reject a"),
        (false, false, 20, "reject a last"),
    ] {
        let mut server = TestConfig { mark_retries, ..TestConfig::default() }.start();
        for i in 0..rejections {
            server.arrive_with(Arrival {
                time_left_us: Some(0),
                is_retry,
                ..rpc(&format!("x{i}"), IDEMPOTENT)
            });
        }
        let first = server.arrive_with(Arrival { time_left_us: Some(0), ..rpc("a", IDEMPOTENT) });
        assert_eq!(first, [want], "{mark_retries} {is_retry} {rejections}");
        let retry =
            server.arrive_with(Arrival { time_left_us: Some(0), is_retry: true, ..rpc("b", IDEMPOTENT) });
        assert_eq!(retry, ["reject b last"], "a retry is always advised not to retry");
    }
}

#[test]
fn the_age_of_a_retry_includes_the_time_that_its_caller_has_waited() {
    // The latency target is 4 s and callers wait for 10 s. A retry with 5 s left has waited for 5 s already; a first
    // attempt with 5 s left has a caller with a shorter deadline.
    for (is_retry, want) in [(false, vec![]), (true, vec!["reject a last"])] {
        let mut server = TestConfig::default().start();
        server.arrive_with(Arrival { time_left_us: Some(10_000_000), ..rpc("x", IDEMPOTENT) });
        server.end_run("x");
        server.fill_cores();
        server.arrive_with(Arrival { time_left_us: Some(5_000_000), is_retry, ..rpc("a", IDEMPOTENT) });
        assert_eq!(server.decide_at(510_000), want);
    }
}

#[test]
fn slow_runs_of_one_method_raise_the_estimates_of_all_methods() {
    // The hint is 0.1 s. After runs of this length the request may start until 3.9 s of its target of 4 s, but not
    // after other methods' runs have taken six times as long.
    for (recent_us, want) in [(100_000, vec![]), (600_000, vec!["reject a"])] {
        let mut server = TestConfig::default().start();
        for i in 0..40 {
            server.arrive(&format!("x{i}"), if i < 2 { NON_IDEMPOTENT } else { IDEMPOTENT });
            server.now += if i < 16 { 100_000 } else { recent_us };
            server.end_run(&format!("x{i}"));
        }
        server.fill_cores();
        assert_eq!(server.arrive("a", NON_IDEMPOTENT), [""; 0]);
        assert_eq!(server.decide_at(server.now + 3_870_000), want);
    }
}

#[test]
fn a_call_without_a_reply_is_abandoned_near_the_latency_target() {
    // The request is due at 10 s, with a latency target of 4 s. Past the target a call gets four times the usual call
    // time, or 4 s before the first call has succeeded.
    for (at_us, method, until_us) in
        [(0, NON_IDEMPOTENT, 4_000_000), (3_000_000, NON_IDEMPOTENT, 7_000_000), (0, SKIPPABLE, 4_000_000)]
    {
        let mut server = TestConfig::default().start();
        server.arrive("a", method);
        server.now = at_us;
        server.need_call("a");
        assert_eq!(server.controller.host().2, until_us, "{at_us} {method}");
    }
}

#[test]
fn a_request_too_long_for_its_target_runs_on_an_idle_server_and_evicts_no_other() {
    let mut server = TestConfig::default().start();
    let long = || Arrival { work_hint_us: Some(9_000_000), ..rpc("long", NON_IDEMPOTENT) };
    assert_eq!(server.arrive_with(long()), ["run long"]);
    let mut config = TestConfig::default();
    config.methods[NON_IDEMPOTENT].criticality = 9.0;
    let mut server = config.start();
    server.fill_cores();
    (0..8).for_each(|i| drop(server.arrive(&format!("a{i}"), IDEMPOTENT)));
    assert_eq!(server.arrive_with(long()), [""; 0]);
    assert_eq!(
        server.decide_at(500_001),
        ["reject long"],
        "the request had an eighth of its target to start in"
    );
}
