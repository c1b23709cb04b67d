//! Capacity shared among pools: by table, and in any state.

use ochrewalk_concurrency_limits::{
    ConcurrencyLimits, LimitAlgorithm, LimitsConfig, PoolConfig, PoolUsage, SharedCapacity,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LONG_AGO: u64 = 10_000_000;

fn usage(limit: f64, in_flight: u32, uses_reserve: bool) -> PoolUsage {
    PoolUsage { limit, in_flight, uses_reserve, last_acquired_us: LONG_AGO, last_refused_us: None }
}

#[test]
fn a_pool_gets_its_own_limit_lent_capacity_its_reserve_and_a_probe() {
    let asks = |of: PoolUsage| PoolUsage { last_refused_us: Some(LONG_AGO), ..of };
    for (what, of, reserve, pool, wanted) in [
        ("its own", vec![usage(2.0, 1, false), usage(2.0, 2, false)], 0, 0, true),
        ("all in use", vec![usage(2.0, 2, false), usage(2.0, 2, false)], 0, 0, false),
        ("lent", vec![usage(2.0, 2, false), usage(2.0, 0, false)], 0, 0, true),
        ("asked for by its owner", vec![usage(2.0, 2, false), asks(usage(2.0, 0, false))], 0, 0, false),
        ("lent out, its own all the same", vec![usage(2.0, 4, false), usage(2.0, 0, false)], 0, 1, true),
        ("the reserve is not lent", vec![usage(2.0, 0, true), usage(2.0, 2, false)], 2, 1, false),
        ("the reserve for whom it is", vec![usage(1.0, 1, true), usage(9.0, 9, false)], 2, 0, true),
        ("the reserve once", vec![usage(1.0, 2, true), usage(9.0, 9, false)], 2, 0, false),
    ] {
        let mut capacity = SharedCapacity { pools: of, reserve };
        assert_eq!(capacity.try_acquire(LONG_AGO + 1, pool), wanted, "{what}");
    }
    // A pool without capacity for a second gets one call.
    let mut capacity = SharedCapacity { pools: vec![usage(0.5, 0, false), usage(2.0, 8, false)], reserve: 0 };
    capacity.pools[0].limit = 0.0;
    assert!(capacity.try_acquire(LONG_AGO + 1_000_000, 0) && !capacity.try_acquire(LONG_AGO + 1_000_001, 0));
}

#[test]
fn lent_capacity_comes_back_to_its_owner() {
    let pool = |initial| PoolConfig { initial, min: 1, max: 100, uses_reserve: false };
    let mut pools = ConcurrencyLimits::new(
        0,
        &LimitsConfig { algorithm: LimitAlgorithm::Fixed, pools: vec![pool(4), pool(4)], reserve: 0 },
    );
    assert_eq!((0..20).filter(|_| pools.try_acquire(0, 0)).count(), 8, "all, while nobody else asks");
    assert!((0..4).all(|_| pools.try_acquire(1, 1)), "its own, at once");
    assert!(!pools.try_acquire(2, 1));
    for ended in 0..4 {
        pools.call_succeeded(0, 1_000);
        assert!(!pools.try_acquire(3, 0), "{ended}: not before it is back to its own");
    }
    pools.call_succeeded(0, 1_000);
    assert!(pools.try_acquire(4, 0));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begins(usize),
    Ends(usize, bool),
    Passes(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3).prop_map(Step::Begins),
        3 => (0usize..3, any::<bool>()).prop_map(|(pool, good)| Step::Ends(pool, good)),
        1 => (0u64..700_000).prop_map(Step::Passes),
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
        let plan = LimitsConfig { algorithm: LimitAlgorithm::Integral, pools: vec![pool(true), pool(false), pool(false)], reserve };
        let mut pools = ConcurrencyLimits::new(0, &plan);
        let (mut now_us, mut last_acquired_us) = (0, [0u64; 3]);
        for step in steps {
            match step {
                Step::Begins(at) => {
                    let before = pools.capacity().clone();
                    let may = pools.try_acquire(now_us, at);
                    let own = f64::from(before.pools[at].in_flight) + 1.0 <= before.pools[at].limit.max(1.0);
                    let probes = before.pools[at].in_flight == 0 && now_us >= last_acquired_us[at] + 1_000_000;
                    prop_assert!(may || !own && !probes);
                    let in_reserve = at == 0 && before.pools[0].in_flight < reserve;
                    prop_assert!(may || !in_reserve);
                    if may && !own && !probes && !in_reserve {
                        // Lent: within what all have, less what of the reserve is kept.
                        let kept = if at == 0 { 0 } else { reserve.saturating_sub(before.pools[0].in_flight) };
                        prop_assert!(f64::from(before.in_flight() + 1 + kept) <= before.total());
                    }
                    if may {
                        last_acquired_us[at] = now_us;
                    }
                }
                Step::Ends(at, good) if pools.capacity().pools[at].in_flight > 0 => match good {
                    true => pools.call_succeeded(at, 1_000 + now_us % 3_000),
                    false => pools.call_rejected(at),
                },
                Step::Ends(..) => {}
                Step::Passes(us) => {
                    now_us += us;
                    pools.tick(now_us);
                }
            }
            for at in 0..3 {
                prop_assert!((1.0..=12.0).contains(&pools.limit(at)));
            }
        }
    }
}
