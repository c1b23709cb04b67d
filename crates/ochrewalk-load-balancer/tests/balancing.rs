//! The endpoints that calls go to, by table: each case is a fault of an endpoint, or of the node's information about it.

use ochrewalk_load_balancer::{
    BalancingConfig, BalancingPolicy, CallOutcome, EjectionCause, Endpoint, Idempotency, LoadBalancer,
    OutlierEjection, SubsetMultiplier, Subsetting,
};

const MS: u64 = 1_000;

fn config(policy: BalancingPolicy) -> BalancingConfig {
    let ejection = OutlierEjection {
        consecutive_failures: 3,
        base_ejection_us: 200 * MS,
        max_ejection_us: 3_000 * MS,
        slow_start_us: 2_000 * MS,
    };
    BalancingConfig { policy, subsetting: Subsetting::All, uses_learned_weights: true, ejection }
}

fn balancer(count: u64) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 7);
    balancer.set_endpoints(0, &(0..count).map(Endpoint::new).collect::<Vec<_>>());
    balancer
}

/// Makes calls one after the other, each with the latency and the outcome that `reply` returns for its slot. Returns the
/// number of calls of each endpoint.
fn calls(
    balancer: &mut LoadBalancer,
    now_us: &mut u64,
    count: u64,
    mut reply: impl FnMut(usize) -> (u64, CallOutcome),
) -> Vec<usize> {
    let mut counts = vec![0; balancer.state().endpoints.len()];
    for _ in 0..count {
        *now_us += 100 * MS;
        let Some(slot) = balancer.pick(*now_us, Idempotency::Idempotent, None) else { continue };
        counts[slot] += 1;
        let call = *now_us;
        balancer.call_started(*now_us, slot, call);
        let (took_us, outcome) = reply(slot);
        *now_us += took_us;
        balancer.call_ended(*now_us, slot, call, outcome);
    }
    counts
}

fn succeeds(_: usize) -> (u64, CallOutcome) {
    (20 * MS, CallOutcome::Succeeded)
}

#[test]
fn round_robin_is_even_to_one_call_and_its_first_endpoint_depends_on_the_seed() {
    let mut firsts = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), seed);
        balancer.set_endpoints(0, &(0..10).map(Endpoint::new).collect::<Vec<_>>());
        firsts.insert(balancer.pick(1, Idempotency::Idempotent, None).unwrap());
        let mut now = 0;
        let counts = calls(&mut balancer, &mut now, 499, succeeds);
        assert!(counts.iter().all(|count| (49..=51).contains(count)), "{counts:?}");
    }
    assert!(firsts.len() >= 8, "too many nodes start with the same endpoints: {firsts:?}");
}

#[test]
fn an_endpoint_that_fails_immediately_is_not_preferred_and_one_that_fails_like_all_others_loses_no_calls() {
    let mut balancer = balancer(6);
    let mut now = 0;
    calls(&mut balancer, &mut now, 60, succeeds);
    let counts = calls(&mut balancer, &mut now, 300, |slot| {
        if slot == 2 {
            (300, CallOutcome::Failed)
        } else {
            succeeds(slot)
        }
    });
    assert!((1..25).contains(&counts[2]), "{counts:?}");
    assert_eq!(balancer.state().endpoint(2).health.ejection_cause(), Some(EjectionCause::CallsFailed));
    // If all endpoints fail, all get calls as before.
    let mut balancer = self::balancer(6);
    let mut now = 0;
    calls(&mut balancer, &mut now, 60, |_| (300, CallOutcome::Failed));
    let counts = calls(&mut balancer, &mut now, 300, |_| (300, CallOutcome::Failed));
    assert!(counts.iter().all(|count| (35..=65).contains(count)), "{counts:?}");
}

#[test]
fn three_slow_replies_change_little_but_an_endpoint_ten_times_slower_gets_fewer_calls_until_it_recovers() {
    let mut balancer = balancer(6);
    let mut now = 0;
    calls(&mut balancer, &mut now, 60, succeeds);
    let mut remaining = 3;
    let counts = calls(&mut balancer, &mut now, 60, |slot| {
        let is_slow = slot == 1 && remaining > 0;
        remaining -= i32::from(is_slow);
        (if is_slow { 40 * MS } else { 20 * MS }, CallOutcome::Succeeded)
    });
    assert!(counts[1] >= 8, "{counts:?}");
    let slow = |slot| (if slot == 1 { 200 * MS } else { 20 * MS }, CallOutcome::Succeeded);
    let counts = calls(&mut balancer, &mut now, 300, slow);
    assert!((2..30).contains(&counts[1]), "at most a fifth of the others' calls, but not none: {counts:?}");
    calls(&mut balancer, &mut now, 120, succeeds);
    let counts = calls(&mut balancer, &mut now, 120, succeeds);
    assert!(counts[1] >= 16, "{counts:?}");
}

#[test]
fn an_endpoint_that_does_not_reply_is_suspect_until_it_does() {
    let mut balancer = balancer(6);
    let mut now = 0;
    calls(&mut balancer, &mut now, 60, succeeds);
    // The endpoint has stopped: its call is not answered.
    let stopped = loop {
        let slot = balancer.pick(now, Idempotency::Idempotent, None).unwrap();
        balancer.call_started(now, slot, 1);
        if slot == 4 {
            break slot;
        }
        balancer.call_ended(now + 20 * MS, slot, 1, CallOutcome::Succeeded);
    };
    now += 200 * MS;
    assert_eq!(balancer.status(stopped, now).name(), "suspect");
    let counts = calls(&mut balancer, &mut now, 60, succeeds);
    assert_eq!(counts[4], 0, "{counts:?}");
    balancer.call_ended(now, stopped, 1, CallOutcome::Succeeded);
    assert!(calls(&mut balancer, &mut now, 60, succeeds)[4] >= 4);
}

#[test]
fn calls_continue_when_all_endpoints_seem_to_have_stopped_replying() {
    for policy in BalancingPolicy::ALL {
        let mut balancer = LoadBalancer::new(config(policy), 7);
        balancer.set_endpoints(0, &(0..6).map(Endpoint::new).collect::<Vec<_>>());
        let mut now = 0;
        calls(&mut balancer, &mut now, 60, succeeds);
        for call in 0..12 {
            let slot = balancer.pick(now, Idempotency::Idempotent, None).unwrap();
            balancer.call_started(now, slot, call);
        }
        // The node was suspended for five seconds.
        now += 5_000 * MS;
        for _ in 0..6 {
            assert!(balancer.pick(now, Idempotency::NotIdempotent, None).is_some(), "{policy:?}");
        }
    }
}

/// Ejects the endpoint for that cause.
fn eject(balancer: &mut LoadBalancer, now_us: u64, slot: usize, cause: EjectionCause) {
    (0..3).for_each(|_| balancer.record_failure(now_us, slot, cause));
    assert_eq!(balancer.status(slot, now_us).name(), "out");
}

#[test]
fn panic_mode_uses_endpoints_ejected_for_failed_calls_but_not_unreachable_ones() {
    for (cause, is_used) in [(EjectionCause::CallsFailed, true), (EjectionCause::ConnectFailed, false)] {
        let mut balancer = balancer(8);
        let mut now = 0;
        calls(&mut balancer, &mut now, 80, succeeds);
        (0..6).for_each(|slot| eject(&mut balancer, now, slot, cause));
        assert!(balancer.state().is_in_panic_mode);
        let mut counts = [0; 8];
        (0..80).for_each(|_| counts[balancer.pick(now, Idempotency::NotIdempotent, None).unwrap()] += 1);
        let max_count = *counts.iter().max().unwrap();
        assert_eq!(max_count < 30, is_used, "{cause:?}: {counts:?}");
    }
}

#[test]
fn with_all_endpoints_ejected_no_slot_is_chosen_until_the_first_may_be_probed() {
    let mut balancer = balancer(3);
    (0..3).for_each(|slot| eject(&mut balancer, 0, slot, EjectionCause::ConnectFailed));
    assert_eq!(balancer.pick(1, Idempotency::Idempotent, None), None);
    let probe_us = balancer.next_probe_us().unwrap();
    assert!((150 * MS..=250 * MS).contains(&probe_us), "{probe_us}");
    let slot = balancer.pick(probe_us, Idempotency::Idempotent, None).expect("an endpoint may be probed");
    balancer.call_started(probe_us, slot, 1);
    assert_eq!(
        (balancer.status(slot, probe_us).name(), balancer.pick(probe_us, Idempotency::Idempotent, None)),
        ("trying", None),
        "one probe at a time"
    );
    balancer.call_ended(probe_us + MS, slot, 1, CallOutcome::Succeeded);
    assert_eq!(balancer.pick(probe_us + MS, Idempotency::NotIdempotent, None), Some(slot));
    // Without endpoints.
    let mut empty = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 1);
    assert_eq!((empty.pick(0, Idempotency::Idempotent, None), empty.next_probe_us()), (None, None));
    empty.set_endpoints(5, &[]);
    assert_eq!(empty.pick(6, Idempotency::Idempotent, None), None);
}

#[test]
fn probes_are_idempotent_calls_and_at_most_one_call_in_five() {
    let mut balancer = balancer(10);
    let mut now = 0;
    calls(&mut balancer, &mut now, 100, succeeds);
    (0..4).for_each(|slot| eject(&mut balancer, now, slot, EjectionCause::ConnectFailed));
    now += 400 * MS;
    // Each of the four endpoints earns a tenth of a sixth of each call: after 60 calls all have earned a complete probe.
    assert!(
        (0..60).all(|_| balancer.pick(now, Idempotency::NotIdempotent, None).unwrap() >= 4),
        "a call that is not idempotent is no probe"
    );
    let mut probes = Vec::new();
    for call in 1_000..1_020 {
        let slot = balancer.pick(now, Idempotency::Idempotent, None).unwrap();
        balancer.call_started(now, slot, call);
        let is_probe = slot < 4;
        if is_probe {
            probes.push((call, slot));
            assert_eq!(balancer.status(slot, now).name(), "trying");
        }
        balancer.call_ended(
            now,
            slot,
            call,
            if is_probe { CallOutcome::ConnectFailed } else { CallOutcome::Succeeded },
        );
    }
    let probed_at: Vec<u64> = probes.iter().map(|(call, _)| *call).collect();
    assert_eq!(probed_at, [1_000, 1_005, 1_010, 1_015], "one in five calls");
    let mut probed: Vec<usize> = probes.iter().map(|(_, slot)| *slot).collect();
    probed.sort_unstable();
    assert_eq!(probed, [0, 1, 2, 3], "each endpoint once");
    let ejection_us = balancer.next_probe_us().unwrap() - now;
    assert!((300 * MS..=500 * MS).contains(&ejection_us), "twice the first ejection time: {ejection_us}");
}

#[test]
fn probes_are_a_tenth_of_the_calls_that_an_endpoint_would_get_and_begin_at_a_random_point() {
    // One endpoint of ten is ejected: each of the other nine gets a ninth of the calls, and a tenth of that is one call in 90.
    const CALLS_TO_PROBE: u64 = 90;
    let mut firsts = Vec::new();
    for seed in 0..40 {
        let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), seed);
        balancer.set_endpoints(0, &(0..10).map(Endpoint::new).collect::<Vec<_>>());
        let mut now = 0;
        calls(&mut balancer, &mut now, 100, succeeds);
        eject(&mut balancer, now, 3, EjectionCause::ConnectFailed);
        now += 400 * MS;
        // Time between two calls also earns probes; from here on no time passes.
        balancer.pick(now, Idempotency::NotIdempotent, None).unwrap();
        let mut probes = Vec::new();
        for call in 1..=3 * CALLS_TO_PROBE {
            let slot = balancer.pick(now, Idempotency::Idempotent, None).unwrap();
            balancer.call_started(now, slot, call);
            if slot == 3 {
                probes.push(call);
                assert!(
                    (0..200).all(|_| balancer.pick(now, Idempotency::Idempotent, None) != Some(3)),
                    "no second probe is sent or earned while one is in flight"
                );
            }
            balancer.call_ended(
                now,
                slot,
                call,
                if slot == 3 { CallOutcome::Inconclusive } else { CallOutcome::Succeeded },
            );
        }
        let distances: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(
            distances.iter().all(|calls| (CALLS_TO_PROBE..=CALLS_TO_PROBE + 1).contains(calls)),
            "seed {seed}: {probes:?}"
        );
        assert!(probes[0] <= CALLS_TO_PROBE && probes.len() >= 2, "seed {seed}: {probes:?}");
        firsts.push(probes[0]);
    }
    let mean = firsts.iter().sum::<u64>() as f64 / firsts.len() as f64;
    assert!(
        (33.0..=58.0).contains(&mean),
        "45 with three standard errors of 40 random points: {mean} of {firsts:?}"
    );
}

#[test]
fn after_a_long_wait_for_a_probe_slow_start_begins_in_the_middle_of_the_wait() {
    // Slow start takes 2 s. After the ejection time a call starts every `step_ms` milliseconds. The first probe fails, so
    // that a complete probe is earned before the second, which is answered.
    for (step_ms, expected_status) in [(10, "back"), (200, "in")] {
        let mut balancer = balancer(10);
        let mut now = 0;
        calls(&mut balancer, &mut now, 100, succeeds);
        eject(&mut balancer, now, 3, EjectionCause::ConnectFailed);
        let mut waited_us = 0;
        for outcome in [CallOutcome::ConnectFailed, CallOutcome::Succeeded] {
            let from_us = balancer.next_probe_us().unwrap();
            now = from_us;
            while balancer.status(3, now).name() == "out" {
                now += step_ms * MS;
                let slot = balancer.pick(now, Idempotency::Idempotent, None).unwrap();
                balancer.call_started(now, slot, now);
                if slot == 3 {
                    break;
                }
                balancer.call_ended(now, slot, now, CallOutcome::Succeeded);
            }
            waited_us = now - from_us;
            balancer.call_ended(now, 3, now, outcome);
        }
        let expected = 0.1 + 0.9 * (waited_us as f64 / 2.0 / 2e6).min(1.0);
        let factor = balancer.state().endpoint(3).health.slow_start_factor(now);
        assert!(
            (factor - expected).abs() < 1e-6,
            "{factor} where {expected} is expected: waited {waited_us} us"
        );
        assert_eq!(balancer.status(3, now).name(), expected_status, "waited {waited_us} us");
    }
    // Of the time for which a node was idle, at most one second counts as waiting.
    let mut balancer = balancer(1);
    eject(&mut balancer, 0, 0, EjectionCause::ConnectFailed);
    let hour_us = 3_600_000 * MS;
    assert_eq!(balancer.pick(hour_us, Idempotency::Idempotent, None), Some(0));
    balancer.call_started(hour_us, 0, 1);
    balancer.call_ended(hour_us, 0, 1, CallOutcome::Succeeded);
    assert!(
        balancer.state().endpoint(0).health.slow_start_factor(hour_us) <= 0.1 + 0.9 * 0.25 + 1e-9,
        "slow start begins at most half a second earlier"
    );
}

#[test]
fn a_new_endpoint_starts_slowly_and_a_single_endpoint_gets_all_calls() {
    let mut balancer = balancer(9);
    let mut now = 0;
    calls(&mut balancer, &mut now, 90, succeeds);
    balancer.set_endpoints(now, &(0..10).map(Endpoint::new).collect::<Vec<_>>());
    assert_eq!(balancer.status(9, now).name(), "joining");
    let first = calls(&mut balancer, &mut now, 8, |_| (0, CallOutcome::Succeeded))[9];
    let cold = calls(&mut balancer, &mut now, 20, |_| (0, CallOutcome::Succeeded));
    let warm = calls(&mut balancer, &mut now, 100, |_| (0, CallOutcome::Succeeded));
    assert!(first <= 1 && cold[9] <= 2 && (9..=11).contains(&warm[9]), "{first} {cold:?} {warm:?}");
    let mut single = self::balancer(1);
    assert_eq!(calls(&mut single, &mut 0, 10, succeeds), [10]);
    assert_eq!(
        single.pick(0, Idempotency::Idempotent, Some(0)),
        Some(0),
        "the endpoint to avoid is the only one"
    );
}

#[test]
fn a_slot_stays_with_its_endpoint_until_no_call_is_in_flight_there() {
    let mut balancer = balancer(3);
    balancer.call_started(0, 1, 77);
    let slots = balancer.set_endpoints(1, &[Endpoint::new(0), Endpoint::new(2), Endpoint::new(50)]);
    assert_eq!(slots, [0, 2, 3], "not 1: a call is in flight there");
    assert_eq!((balancer.status(1, 1).name(), balancer.is_listed(1)), ("leaving", false));
    assert!((0..30).all(|_| balancer.pick(2, Idempotency::Idempotent, None) != Some(1)));
    balancer.call_ended(3, 1, 77, CallOutcome::Succeeded);
    assert_eq!(balancer.status(1, 3).name(), "gone");
    let slots = balancer.set_endpoints(4, &[Endpoint::new(0), Endpoint::new(60), Endpoint::new(50)]);
    assert_eq!(slots, [0, 1, 3]);
    // An endpoint that was removed and added again before its call ended keeps the call.
    balancer.call_started(5, 1, 78);
    balancer.set_endpoints(6, &[Endpoint::new(0), Endpoint::new(50)]);
    assert_eq!(balancer.set_endpoints(7, &[Endpoint::new(60), Endpoint::new(0)]), [1, 0]);
    assert_eq!((balancer.state().endpoint(1).in_flight(), balancer.status(1, 7).name()), (1, "joining"));
}

#[test]
fn remote_endpoints_get_only_the_calls_that_local_ones_reject() {
    let local = |key| Endpoint::new(key);
    let remote = |key| Endpoint { is_local_zone: false, ..Endpoint::new(key) };
    let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 7);
    balancer.set_endpoints(0, &[local(0), local(1), local(2), remote(3), remote(4), remote(5)]);
    let mut now = 0;
    let counts = calls(&mut balancer, &mut now, 90, succeeds);
    assert_eq!(counts[3..], [0, 0, 0], "{counts:?}");
    let full = |slot| if slot < 3 { (MS, CallOutcome::Rejected) } else { succeeds(slot) };
    calls(&mut balancer, &mut now, 200, full);
    let counts = calls(&mut balancer, &mut now, 120, full);
    assert!(counts[3..].iter().all(|count| *count >= 18), "evenly spread: {counts:?}");
    calls(&mut balancer, &mut now, 3_000, succeeds);
    let counts = calls(&mut balancer, &mut now, 90, succeeds);
    assert!(counts[3..].iter().sum::<usize>() <= 9, "calls return to the local zone: {counts:?}");
    // The local endpoints are ejected: the remote ones get all calls.
    (0..3).for_each(|slot| eject(&mut balancer, now, slot, EjectionCause::ConnectFailed));
    assert!(balancer.pick(now, Idempotency::NotIdempotent, None).unwrap() >= 3);
}

#[test]
fn a_spare_replaces_each_ejected_endpoint_of_a_small_subset() {
    let mut config = config(BalancingPolicy::LatencyAwareRoundRobin);
    config.subsetting = Subsetting::Random { size: 4 };
    let mut balancer = LoadBalancer::new(config, 7);
    balancer.set_endpoints(0, &(0..20).map(Endpoint::new).collect::<Vec<_>>());
    let own = balancer.state().subset.clone();
    assert_eq!(own.len(), 4);
    eject(&mut balancer, 0, own[0], EjectionCause::ConnectFailed);
    eject(&mut balancer, 0, own[1], EjectionCause::ConnectFailed);
    let mut now = 100 * MS;
    let counts = calls(&mut balancer, &mut now, 1, succeeds);
    assert_eq!(counts.iter().sum::<usize>(), 1);
    assert_eq!(
        balancer.state().subset.iter().filter(|slot| balancer.state().accepts_calls(**slot)).count(),
        4
    );
    assert!(!balancer.state().is_in_panic_mode);
}

#[test]
fn a_node_with_many_calls_in_flight_uses_more_endpoints_and_slowly_returns_to_fewer() {
    let mut multiplier = SubsetMultiplier::default();
    let mut now = 0;
    let mut seconds = |multiplier: &mut SubsetMultiplier, count: u64, in_flight: u64| {
        for _ in 0..count {
            (0..in_flight).for_each(|_| multiplier.call_started(now));
            now += 1_000_000;
            (0..in_flight).for_each(|_| multiplier.call_ended(now));
            multiplier.update(now, 6);
        }
        multiplier.multiplier()
    };
    assert_eq!(seconds(&mut multiplier, 10, 2), 1);
    assert_eq!(seconds(&mut multiplier, 1, 24), 2, "by doubling");
    assert_eq!(seconds(&mut multiplier, 8, 24), 8);
    assert_eq!(seconds(&mut multiplier, 9, 2), 8, "only after ten updates");
    assert_eq!(seconds(&mut multiplier, 1, 2), 4);
    assert_eq!(seconds(&mut multiplier, 9, 12), 4, "needs more than half of the multiplier");
    assert_eq!(seconds(&mut multiplier, 40, 0), 1);
}

#[test]
fn with_all_endpoints_ejected_callers_get_different_retry_times_after_the_first_probe() {
    let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 7);
    balancer.set_endpoints(0, &(0..3).map(Endpoint::new).collect::<Vec<_>>());
    assert_eq!(balancer.unavailable_for_us(0), None);
    for slot in 0..2 {
        eject(&mut balancer, 0, slot, EjectionCause::ConnectFailed);
    }
    assert_eq!(balancer.unavailable_for_us(0), None, "one endpoint accepts calls");
    eject(&mut balancer, 0, 2, EjectionCause::ConnectFailed);
    let first_us = balancer.next_probe_us().unwrap().max(200 * MS);
    let waits_us: Vec<u64> = (0..100).map(|_| balancer.unavailable_for_us(0).unwrap()).collect();
    assert!(waits_us.iter().all(|us| (first_us..=first_us * 3 / 2).contains(us)), "{first_us}: {waits_us:?}");
    let mut distinct = waits_us.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 50, "{distinct:?}");
    // Even if a probe may be sent immediately, callers wait for the base ejection time.
    assert!(balancer.unavailable_for_us(first_us + 1).unwrap() >= 200 * MS);
    // In panic mode endpoints that were ejected because calls failed are used.
    let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 7);
    balancer.set_endpoints(0, &[Endpoint::new(1)]);
    eject(&mut balancer, 0, 0, EjectionCause::CallsFailed);
    assert_eq!(balancer.unavailable_for_us(0), None);
}
