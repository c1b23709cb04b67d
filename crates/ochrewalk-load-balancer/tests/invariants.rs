//! The invariants that hold in any sequence of events.

use ochrewalk_load_balancer::{
    BalancingConfig, BalancingPolicy, CallOutcome, Endpoint, Idempotency, LoadBalancer, OutlierEjection,
    Subsetting,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Event {
    Pick { idempotency: Idempotency, avoid: Option<usize> },
    EndCall { index: usize, outcome: usize },
    SetEndpoints(Vec<u64>),
    AdvanceTime(u64),
}

const OUTCOMES: [CallOutcome; 7] = [
    CallOutcome::Succeeded,
    CallOutcome::Rejected,
    CallOutcome::Failed,
    CallOutcome::TimedOut,
    CallOutcome::ConnectionBroken,
    CallOutcome::ConnectFailed,
    CallOutcome::Inconclusive,
];

fn pick(is_idempotent: bool, avoid: Option<usize>) -> Event {
    let idempotency = if is_idempotent { Idempotency::Idempotent } else { Idempotency::NotIdempotent };
    Event::Pick { idempotency, avoid }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (any::<bool>(), prop::option::of(0usize..12)).prop_map(|(is_idempotent, avoid)| pick(is_idempotent, avoid)),
        5 => (any::<usize>(), 0usize..7).prop_map(|(index, outcome)| Event::EndCall { index, outcome }),
        1 => prop::collection::btree_set(0u64..20, 0..12).prop_map(|keys| Event::SetEndpoints(keys.into_iter().collect())),
        2 => (0u64..3_000_000).prop_map(Event::AdvanceTime),
    ]
}

fn subsetting() -> impl Strategy<Value = Subsetting> {
    prop_oneof![
        Just(Subsetting::All),
        (1usize..4).prop_map(|size| Subsetting::Random { size }),
        (1usize..4, 0usize..9, 1usize..9).prop_map(|(size, node, node_count)| Subsetting::Deterministic {
            size,
            node,
            node_count
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn calls_go_to_listed_endpoints_and_no_call_stays_in_flight(
        policy in 0usize..BalancingPolicy::ALL.len(),
        subsetting in subsetting(),
        seed in any::<u64>(),
        events in prop::collection::vec(event(), 1..200),
    ) {
        let ejection = OutlierEjection { consecutive_failures: 2, base_ejection_us: 200_000, max_ejection_us: 1_000_000, slow_start_us: 500_000 };
        let policy: BalancingPolicy = BalancingPolicy::ALL[policy];
        let mut balancer = LoadBalancer::new(BalancingConfig { policy, subsetting, uses_learned_weights: seed % 2 == 0, ejection }, seed);
        let mut now = 0;
        let mut keys = Vec::new();
        // The calls in flight, with the slot and the key of the endpoint.
        let mut in_flight: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
        let mut last_call = 0;
        for event in events {
            match event {
                Event::Pick { idempotency, avoid } => {
                    match balancer.pick(now, idempotency, avoid) {
                        Some(slot) => {
                            prop_assert!(balancer.is_listed(slot));
                            let key = balancer.state().endpoint(slot).key;
                            prop_assert!(keys.contains(&key));
                            last_call += 1;
                            balancer.call_started(now, slot, last_call);
                            in_flight.insert(last_call, (slot, key));
                        }
                        None => {
                            let has_accepting = balancer.state().subset.iter().any(|slot| balancer.state().accepts_calls(*slot));
                            prop_assert!(!has_accepting, "an endpoint accepts calls");
                        }
                    }
                }
                Event::EndCall { index, outcome } if !in_flight.is_empty() => {
                    let call = *in_flight.keys().nth(index % in_flight.len()).unwrap();
                    let (slot, key) = in_flight.remove(&call).unwrap();
                    prop_assert_eq!(balancer.state().endpoint(slot).key, key, "the slot was given to another endpoint during the call");
                    balancer.call_ended(now, slot, call, OUTCOMES[outcome]);
                }
                Event::EndCall { .. } => {}
                Event::SetEndpoints(listed) => {
                    let endpoints: Vec<Endpoint> = listed.iter().map(|key| Endpoint::new(*key)).collect();
                    let slots = balancer.set_endpoints(now, &endpoints);
                    for (slot, key) in slots.iter().zip(&listed) {
                        prop_assert_eq!(balancer.state().endpoint(*slot).key, *key);
                    }
                    keys = listed;
                }
                Event::AdvanceTime(us) => now += us,
            }
            let shares = balancer.state().subset.iter().map(|slot| balancer.state().share(*slot, now));
            prop_assert!(shares.into_iter().all(|share| (0.0..=1.0).contains(&share)));
        }
        for (call, (slot, _)) in in_flight {
            balancer.call_ended(now, slot, call, CallOutcome::Inconclusive);
        }
        prop_assert!(balancer.state().endpoints.iter().flatten().all(|endpoint| endpoint.in_flight() == 0));
        let slots_in_use = balancer.state().endpoints.iter().flatten().count();
        prop_assert_eq!(slots_in_use, keys.len(), "a removed endpoint's slot is free once no call is in flight there");
    }
}
