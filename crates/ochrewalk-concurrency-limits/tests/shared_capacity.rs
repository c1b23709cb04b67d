//! Capacity shared among pools: by table, and in random sequences of events.

use ochrewalk_concurrency_limits::{
    ConcurrencyLimits, LimitAlgorithm, LimitsConfig, PoolConfig, PoolUsage, SharedCapacity,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START_US: u64 = 10_000_000;

fn usage(limit: f64, in_flight: u32, uses_reserve: bool) -> PoolUsage {
    PoolUsage { limit, in_flight, uses_reserve, last_acquired_us: START_US, last_refused_us: None }
}

#[test]
fn a_pool_gets_its_own_limit_lent_capacity_the_reserve_and_a_probe() {
    let with_demand = |usage: PoolUsage| PoolUsage { last_refused_us: Some(START_US), ..usage };
    for (name, pools, reserve, pool, expected) in [
        ("within its own limit", vec![usage(2.0, 1, false), usage(2.0, 2, false)], 0, 0, true),
        ("all capacity in use", vec![usage(2.0, 2, false), usage(2.0, 2, false)], 0, 0, false),
        ("lent capacity", vec![usage(2.0, 2, false), usage(2.0, 0, false)], 0, 0, true),
        ("the owner has demand", vec![usage(2.0, 2, false), with_demand(usage(2.0, 0, false))], 0, 0, false),
        ("its own limit, although lent", vec![usage(2.0, 4, false), usage(2.0, 0, false)], 0, 1, true),
        ("the reserve is not lent", vec![usage(2.0, 0, true), usage(2.0, 2, false)], 2, 1, false),
        (
            "the reserve for a pool that may use it",
            vec![usage(1.0, 1, true), usage(9.0, 9, false)],
            2,
            0,
            true,
        ),
        ("the reserve already in use", vec![usage(1.0, 2, true), usage(9.0, 9, false)], 2, 0, false),
    ] {
        let mut capacity = SharedCapacity { pools, reserve };
        assert_eq!(capacity.try_acquire(START_US + 1, pool), expected, "{name}");
    }
    // A pool without capacity for a second gets one call.
    let mut capacity = SharedCapacity { pools: vec![usage(0.5, 0, false), usage(2.0, 8, false)], reserve: 0 };
    capacity.pools[0].limit = 0.0;
    assert!(capacity.try_acquire(START_US + 1_000_000, 0) && !capacity.try_acquire(START_US + 1_000_001, 0));
}

#[test]
fn lent_capacity_returns_to_its_owner() {
    let pool = |initial| PoolConfig { initial, min: 1, max: 100, uses_reserve: false };
    let mut limits = ConcurrencyLimits::new(
        0,
        &LimitsConfig { algorithm: LimitAlgorithm::Fixed, pools: vec![pool(4), pool(4)], reserve: 0 },
    );
    assert_eq!(
        (0..20).filter(|_| limits.try_acquire(0, 0)).count(),
        8,
        "all capacity, while no other pool has demand"
    );
    assert!((0..4).all(|_| limits.try_acquire(1, 1)), "its own limit, immediately");
    assert!(!limits.try_acquire(2, 1));
    for ended in 0..4 {
        limits.call_succeeded(0, 1_000);
        assert!(!limits.try_acquire(3, 0), "{ended}: not until the pool is back within its own limit");
    }
    limits.call_succeeded(0, 1_000);
    assert!(limits.try_acquire(4, 0));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    StartCall(usize),
    EndCall(usize, bool),
    AdvanceTime(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3).prop_map(Step::StartCall),
        3 => (0usize..3, any::<bool>()).prop_map(|(pool, is_success)| Step::EndCall(pool, is_success)),
        1 => (0u64..700_000).prop_map(Step::AdvanceTime),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..ProptestConfig::default()
    })]

    #[test]
    fn capacity_is_bounded_the_reserve_is_not_lent_and_no_pool_starves(
        steps in prop::collection::vec(step(), 1..400),
        reserve in 0u32..4,
    ) {
        let pool = |uses_reserve| PoolConfig { initial: 4, min: 1, max: 12, uses_reserve };
        let config = LimitsConfig { algorithm: LimitAlgorithm::Integral, pools: vec![pool(true), pool(false), pool(false)], reserve };
        let mut limits = ConcurrencyLimits::new(0, &config);
        let (mut now_us, mut last_acquired_us) = (0, [0u64; 3]);
        for step in steps {
            match step {
                Step::StartCall(index) => {
                    let before = limits.capacity().clone();
                    let is_admitted = limits.try_acquire(now_us, index);
                    let within_limit = f64::from(before.pools[index].in_flight) + 1.0 <= before.pools[index].limit.max(1.0);
                    let is_probe = before.pools[index].in_flight == 0 && now_us >= last_acquired_us[index] + 1_000_000;
                    prop_assert!(is_admitted || !within_limit && !is_probe);
                    let in_reserve = index == 0 && before.pools[0].in_flight < reserve;
                    prop_assert!(is_admitted || !in_reserve);
                    if is_admitted && !within_limit && !is_probe && !in_reserve {
                        // Lent capacity: within the sum of all limits less the unused reserve.
                        let reserved = if index == 0 { 0 } else { reserve.saturating_sub(before.pools[0].in_flight) };
                        prop_assert!(f64::from(before.in_flight() + 1 + reserved) <= before.total());
                    }
                    if is_admitted {
                        last_acquired_us[index] = now_us;
                    }
                }
                Step::EndCall(index, is_success) if limits.capacity().pools[index].in_flight > 0 => match is_success {
                    true => limits.call_succeeded(index, 1_000 + now_us % 3_000),
                    false => limits.call_rejected(index),
                },
                Step::EndCall(..) => {}
                Step::AdvanceTime(us) => {
                    now_us += us;
                    limits.tick(now_us);
                }
            }
            for index in 0..3 {
                prop_assert!((1.0..=12.0).contains(&limits.limit(index)));
            }
        }
    }
}
