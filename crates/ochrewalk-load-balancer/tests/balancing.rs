//! Where calls go, by table: each case is a fault of an endpoint, or of what the node knows of it.

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

fn balancer(places: u64) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 7);
    balancer.set_endpoints(0, &(0..places).map(Endpoint::new).collect::<Vec<_>>());
    balancer
}

/// Calls one after the other, each answered as said; returns how many each endpoint got.
fn calls(
    balancer: &mut LoadBalancer,
    from_us: &mut u64,
    count: u64,
    mut answer: impl FnMut(usize) -> (u64, CallOutcome),
) -> Vec<usize> {
    let mut got = vec![0; balancer.state().endpoints.len()];
    for _ in 0..count {
        *from_us += 100 * MS;
        let Some(slot) = balancer.pick(*from_us, Idempotency::Idempotent, None) else { continue };
        got[slot] += 1;
        let call = *from_us;
        balancer.call_started(*from_us, slot, call);
        let (took_us, outcome) = answer(slot);
        *from_us += took_us;
        balancer.call_ended(*from_us, slot, call, outcome);
    }
    got
}

fn succeeds(_: usize) -> (u64, CallOutcome) {
    (20 * MS, CallOutcome::Succeeded)
}

#[test]
fn round_robin_is_even_to_a_call_and_starts_elsewhere_with_each_seed() {
    let mut firsts = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), seed);
        balancer.set_endpoints(0, &(0..10).map(Endpoint::new).collect::<Vec<_>>());
        firsts.insert(balancer.pick(1, Idempotency::Idempotent, None).unwrap());
        let mut now = 0;
        let got = calls(&mut balancer, &mut now, 499, succeeds);
        assert!(got.iter().all(|count| (49..=51).contains(count)), "{got:?}");
    }
    assert!(firsts.len() >= 8, "a herd on {firsts:?}");
}

#[test]
fn an_endpoint_that_fails_at_once_is_not_preferred_and_one_that_fails_like_all_loses_no_calls() {
    let mut balancer = balancer(6);
    let mut now = 0;
    calls(&mut balancer, &mut now, 60, succeeds);
    let got = calls(&mut balancer, &mut now, 300, |slot| {
        if slot == 2 {
            (300, CallOutcome::Failed)
        } else {
            succeeds(slot)
        }
    });
    assert!((1..25).contains(&got[2]), "{got:?}");
    assert_eq!(balancer.state().endpoint(2).health.ejection_cause(), Some(EjectionCause::CallsFailed));
    // All fail: all are called as before.
    let mut balancer = self::balancer(6);
    let mut now = 0;
    calls(&mut balancer, &mut now, 60, |_| (300, CallOutcome::Failed));
    let got = calls(&mut balancer, &mut now, 300, |_| (300, CallOutcome::Failed));
    assert!(got.iter().all(|count| (35..=65).contains(count)), "{got:?}");
}

#[test]
fn three_slow_answers_change_little_but_ten_times_slower_gets_fewer_calls_until_it_recovers() {
    let mut balancer = balancer(6);
    let mut now = 0;
    calls(&mut balancer, &mut now, 60, succeeds);
    let mut left = 3;
    let got = calls(&mut balancer, &mut now, 60, |slot| {
        let slow = slot == 1 && left > 0;
        left -= i32::from(slow);
        (if slow { 40 * MS } else { 20 * MS }, CallOutcome::Succeeded)
    });
    assert!(got[1] >= 8, "{got:?}");
    let slow = |slot| (if slot == 1 { 200 * MS } else { 20 * MS }, CallOutcome::Succeeded);
    let got = calls(&mut balancer, &mut now, 300, slow);
    assert!((2..30).contains(&got[1]), "a fifth of the others at most, and asked again: {got:?}");
    calls(&mut balancer, &mut now, 120, succeeds);
    let got = calls(&mut balancer, &mut now, 120, succeeds);
    assert!(got[1] >= 16, "{got:?}");
}

#[test]
fn an_endpoint_that_does_not_answer_is_suspect_until_it_does() {
    let mut balancer = balancer(6);
    let mut now = 0;
    calls(&mut balancer, &mut now, 60, succeeds);
    // One has stopped: its call is never answered.
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
    let got = calls(&mut balancer, &mut now, 60, succeeds);
    assert_eq!(got[4], 0, "{got:?}");
    balancer.call_ended(now, stopped, 1, CallOutcome::Succeeded);
    assert!(calls(&mut balancer, &mut now, 60, succeeds)[4] >= 4);
}

#[test]
fn calls_go_on_when_all_endpoints_seem_to_have_stopped_answering() {
    for policy in BalancingPolicy::ALL {
        let mut balancer = LoadBalancer::new(config(policy), 7);
        balancer.set_endpoints(0, &(0..6).map(Endpoint::new).collect::<Vec<_>>());
        let mut now = 0;
        calls(&mut balancer, &mut now, 60, succeeds);
        for call in 0..12 {
            let slot = balancer.pick(now, Idempotency::Idempotent, None).unwrap();
            balancer.call_started(now, slot, call);
        }
        // The node did not run for five seconds.
        now += 5_000 * MS;
        for _ in 0..6 {
            assert!(balancer.pick(now, Idempotency::NotIdempotent, None).is_some(), "{policy:?}");
        }
    }
}

/// Ejects an endpoint for that cause.
fn eject(balancer: &mut LoadBalancer, now_us: u64, slot: usize, cause: EjectionCause) {
    (0..3).for_each(|_| balancer.record_failure(now_us, slot, cause));
    assert_eq!(balancer.status(slot, now_us).name(), "out");
}

#[test]
fn panic_mode_uses_endpoints_ejected_for_failed_calls_but_not_unreachable_ones() {
    for (cause, doubted) in [(EjectionCause::CallsFailed, true), (EjectionCause::ConnectFailed, false)] {
        let mut balancer = balancer(8);
        let mut now = 0;
        calls(&mut balancer, &mut now, 80, succeeds);
        (0..6).for_each(|slot| eject(&mut balancer, now, slot, cause));
        assert!(balancer.state().is_in_panic_mode);
        let mut got = [0; 8];
        (0..80).for_each(|_| got[balancer.pick(now, Idempotency::NotIdempotent, None).unwrap()] += 1);
        let most = *got.iter().max().unwrap();
        assert_eq!(most < 30, doubted, "{cause:?}: {got:?}");
    }
}

#[test]
fn with_all_endpoints_ejected_no_slot_is_picked_until_the_first_may_be_probed() {
    let mut balancer = balancer(3);
    (0..3).for_each(|slot| eject(&mut balancer, 0, slot, EjectionCause::ConnectFailed));
    assert_eq!(balancer.pick(1, Idempotency::Idempotent, None), None);
    let at = balancer.next_probe_us().unwrap();
    assert!((150 * MS..=250 * MS).contains(&at), "{at}");
    let slot = balancer.pick(at, Idempotency::Idempotent, None).expect("one is due");
    balancer.call_started(at, slot, 1);
    assert_eq!(
        (balancer.status(slot, at).name(), balancer.pick(at, Idempotency::Idempotent, None)),
        ("trying", None),
        "one probe at a time"
    );
    balancer.call_ended(at + MS, slot, 1, CallOutcome::Succeeded);
    assert_eq!(balancer.pick(at + MS, Idempotency::NotIdempotent, None), Some(slot));
    // Without any endpoint.
    let mut nothing = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 1);
    assert_eq!((nothing.pick(0, Idempotency::Idempotent, None), nothing.next_probe_us()), (None, None));
    nothing.set_endpoints(5, &[]);
    assert_eq!(nothing.pick(6, Idempotency::Idempotent, None), None);
}

#[test]
fn probes_are_idempotent_calls_and_one_call_in_five_at_most() {
    let mut balancer = balancer(10);
    let mut now = 0;
    calls(&mut balancer, &mut now, 100, succeeds);
    (0..4).for_each(|slot| eject(&mut balancer, now, slot, EjectionCause::ConnectFailed));
    now += 400 * MS;
    // Each of four earns a tenth of a sixth of each call: after 60 calls all have earned a whole probe.
    assert!(
        (0..60).all(|_| balancer.pick(now, Idempotency::NotIdempotent, None).unwrap() >= 4),
        "no probe by a call that is not idempotent"
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
    assert_eq!(probed, [0, 1, 2, 3], "each once");
    let pause_us = balancer.next_probe_us().unwrap() - now;
    assert!((300 * MS..=500 * MS).contains(&pause_us), "twice the first: {pause_us}");
}

#[test]
fn an_endpoint_is_probed_by_a_tenth_of_its_share_of_the_calls_from_a_random_point_on() {
    // One of ten is ejected, so that each of nine takes a ninth of the calls, and a tenth of that is one call in 90.
    const CALLS_TO_PROBE: u64 = 90;
    let mut firsts = Vec::new();
    for seed in 0..40 {
        let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), seed);
        balancer.set_endpoints(0, &(0..10).map(Endpoint::new).collect::<Vec<_>>());
        let mut now = 0;
        calls(&mut balancer, &mut now, 100, succeeds);
        eject(&mut balancer, now, 3, EjectionCause::ConnectFailed);
        now += 400 * MS;
        // Time between two calls counts as well; it does not pass from here on.
        balancer.pick(now, Idempotency::NotIdempotent, None).unwrap();
        let mut probes = Vec::new();
        for call in 1..=3 * CALLS_TO_PROBE {
            let slot = balancer.pick(now, Idempotency::Idempotent, None).unwrap();
            balancer.call_started(now, slot, call);
            if slot == 3 {
                probes.push(call);
                assert!(
                    (0..200).all(|_| balancer.pick(now, Idempotency::Idempotent, None) != Some(3)),
                    "not while one is under way, and nothing is earned meanwhile"
                );
            }
            balancer.call_ended(
                now,
                slot,
                call,
                if slot == 3 { CallOutcome::Inconclusive } else { CallOutcome::Succeeded },
            );
        }
        let apart: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(
            apart.iter().all(|calls| (CALLS_TO_PROBE..=CALLS_TO_PROBE + 1).contains(calls)),
            "seed {seed}: {probes:?}"
        );
        assert!(probes[0] <= CALLS_TO_PROBE && probes.len() >= 2, "seed {seed}: {probes:?}");
        firsts.push(probes[0]);
    }
    let mean = firsts.iter().sum::<u64>() as f64 / firsts.len() as f64;
    assert!(
        (33.0..=58.0).contains(&mean),
        "45 and three standard errors of 40 drawn points: {mean} of {firsts:?}"
    );
}

#[test]
fn a_node_that_waited_long_for_its_probe_starts_slow_start_in_the_middle_of_the_wait() {
    // Slow start takes 2 s. Calls come in steps of that many milliseconds after the ejection time. The first probe fails, so that a
    // whole one is earned until the second, which is answered.
    for (step_ms, wanted) in [(10, "back"), (200, "in")] {
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
        let warmth = 0.1 + 0.9 * (waited_us as f64 / 2.0 / 2e6).min(1.0);
        let got = balancer.state().endpoint(3).health.slow_start_factor(now);
        assert!((got - warmth).abs() < 1e-6, "{got} where {warmth} is wanted: waited {waited_us} us");
        assert_eq!(balancer.status(3, now).name(), wanted, "waited {waited_us} us");
    }
    // A node that was idle has not waited, whatever time has passed.
    let mut balancer = balancer(1);
    eject(&mut balancer, 0, 0, EjectionCause::ConnectFailed);
    let hour_us = 3_600_000 * MS;
    assert_eq!(balancer.pick(hour_us, Idempotency::Idempotent, None), Some(0));
    balancer.call_started(hour_us, 0, 1);
    balancer.call_ended(hour_us, 0, 1, CallOutcome::Succeeded);
    assert!(
        balancer.state().endpoint(0).health.slow_start_factor(hour_us) <= 0.1 + 0.9 * 0.25 + 1e-9,
        "a second at most, halved"
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
    let mut one = self::balancer(1);
    assert_eq!(calls(&mut one, &mut 0, 10, succeeds), [10]);
    assert_eq!(one.pick(0, Idempotency::Idempotent, Some(0)), Some(0), "there is only the one to avoid");
}

#[test]
fn a_slot_stays_with_its_endpoint_until_no_call_is_in_flight_there() {
    let mut balancer = balancer(3);
    balancer.call_started(0, 1, 77);
    let slots = balancer.set_endpoints(1, &[Endpoint::new(0), Endpoint::new(2), Endpoint::new(50)]);
    assert_eq!(slots, [0, 2, 3], "not 1: a call is under way there");
    assert_eq!((balancer.status(1, 1).name(), balancer.is_listed(1)), ("leaving", false));
    assert!((0..30).all(|_| balancer.pick(2, Idempotency::Idempotent, None) != Some(1)));
    balancer.call_ended(3, 1, 77, CallOutcome::Succeeded);
    assert_eq!(balancer.status(1, 3).name(), "gone");
    let slots = balancer.set_endpoints(4, &[Endpoint::new(0), Endpoint::new(60), Endpoint::new(50)]);
    assert_eq!(slots, [0, 1, 3]);
    // It was removed and added again before its call ended, and keeps the call.
    balancer.call_started(5, 1, 78);
    balancer.set_endpoints(6, &[Endpoint::new(0), Endpoint::new(50)]);
    assert_eq!(balancer.set_endpoints(7, &[Endpoint::new(60), Endpoint::new(0)]), [1, 0]);
    assert_eq!((balancer.state().endpoint(1).in_flight(), balancer.status(1, 7).name()), (1, "joining"));
}

#[test]
fn remote_endpoints_are_called_only_as_far_as_local_ones_reject_calls() {
    let local = |key| Endpoint::new(key);
    let remote = |key| Endpoint { is_local_zone: false, ..Endpoint::new(key) };
    let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 7);
    balancer.set_endpoints(0, &[local(0), local(1), local(2), remote(3), remote(4), remote(5)]);
    let mut now = 0;
    let got = calls(&mut balancer, &mut now, 90, succeeds);
    assert_eq!(got[3..], [0, 0, 0], "{got:?}");
    let full = |slot| if slot < 3 { (MS, CallOutcome::Rejected) } else { succeeds(slot) };
    calls(&mut balancer, &mut now, 200, full);
    let got = calls(&mut balancer, &mut now, 120, full);
    assert!(got[3..].iter().all(|count| *count >= 18), "evenly: {got:?}");
    calls(&mut balancer, &mut now, 3_000, succeeds);
    let got = calls(&mut balancer, &mut now, 90, succeeds);
    assert!(got[3..].iter().sum::<usize>() <= 9, "back home: {got:?}");
    // The local endpoints are ejected: the remote ones get all calls.
    (0..3).for_each(|slot| eject(&mut balancer, now, slot, EjectionCause::ConnectFailed));
    assert!(balancer.pick(now, Idempotency::NotIdempotent, None).unwrap() >= 3);
}

#[test]
fn a_spare_stands_in_for_each_ejected_endpoint_of_a_small_subset() {
    let mut config = config(BalancingPolicy::LatencyAwareRoundRobin);
    config.subsetting = Subsetting::Random { size: 4 };
    let mut balancer = LoadBalancer::new(config, 7);
    balancer.set_endpoints(0, &(0..20).map(Endpoint::new).collect::<Vec<_>>());
    let own = balancer.state().subset.clone();
    assert_eq!(own.len(), 4);
    eject(&mut balancer, 0, own[0], EjectionCause::ConnectFailed);
    eject(&mut balancer, 0, own[1], EjectionCause::ConnectFailed);
    let mut now = 100 * MS;
    let got = calls(&mut balancer, &mut now, 1, succeeds);
    assert_eq!(got.iter().sum::<usize>(), 1);
    assert_eq!(
        balancer.state().subset.iter().filter(|slot| balancer.state().accepts_calls(**slot)).count(),
        4
    );
    assert!(!balancer.state().is_in_panic_mode);
}

#[test]
fn a_node_with_many_calls_in_flight_uses_more_endpoints_and_late_fewer_again() {
    let mut multiplier = SubsetMultiplier::default();
    let mut now = 0;
    let mut seconds = |multiplier: &mut SubsetMultiplier, count: u64, in_hand: u64| {
        for _ in 0..count {
            (0..in_hand).for_each(|_| multiplier.call_started(now));
            now += 1_000_000;
            (0..in_hand).for_each(|_| multiplier.call_ended(now));
            multiplier.update(now, 6);
        }
        multiplier.multiplier()
    };
    assert_eq!(seconds(&mut multiplier, 10, 2), 1);
    assert_eq!(seconds(&mut multiplier, 1, 24), 2, "by doublings");
    assert_eq!(seconds(&mut multiplier, 8, 24), 8);
    assert_eq!(seconds(&mut multiplier, 9, 2), 8, "late");
    assert_eq!(seconds(&mut multiplier, 1, 2), 4);
    assert_eq!(seconds(&mut multiplier, 9, 12), 4, "what is wanted is near enough");
    assert_eq!(seconds(&mut multiplier, 40, 0), 1);
}

#[test]
fn with_all_endpoints_ejected_callers_get_different_times_after_the_first_probe() {
    let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 7);
    balancer.set_endpoints(0, &(0..3).map(Endpoint::new).collect::<Vec<_>>());
    assert_eq!(balancer.unavailable_for_us(0), None);
    for slot in 0..2 {
        eject(&mut balancer, 0, slot, EjectionCause::ConnectFailed);
    }
    assert_eq!(balancer.unavailable_for_us(0), None, "one takes calls");
    eject(&mut balancer, 0, 2, EjectionCause::ConnectFailed);
    let first_us = balancer.next_probe_us().unwrap().max(200 * MS);
    let waits_us: Vec<u64> = (0..100).map(|_| balancer.unavailable_for_us(0).unwrap()).collect();
    assert!(waits_us.iter().all(|us| (first_us..=first_us * 3 / 2).contains(us)), "{first_us}: {waits_us:?}");
    let mut distinct = waits_us.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 50, "{distinct:?}");
    // Even if a probe may come at any moment, callers wait for the base ejection time.
    assert!(balancer.unavailable_for_us(first_us + 1).unwrap() >= 200 * MS);
    // In panic mode endpoints that only failed calls are used all the same.
    let mut balancer = LoadBalancer::new(config(BalancingPolicy::LatencyAwareRoundRobin), 7);
    balancer.set_endpoints(0, &[Endpoint::new(1)]);
    eject(&mut balancer, 0, 0, EjectionCause::CallsFailed);
    assert_eq!(balancer.unavailable_for_us(0), None);
}
