//! Quota buckets decide as if all of them were refilled at each RPC, and cost the same however many tenants there are.

mod helper;

use helper::*;
use ochrewalk::admission::quota::QuotaBuckets;
use ochrewalk::host::*;
use proptest::prelude::*;

/// The old rule: every tenant's bucket is held and refilled at each arrival.
struct AllRefilled {
    rates_and_levels: Vec<(f64, f64)>,
    at_us: u64,
}

impl AllRefilled {
    const BURST_SECONDS: f64 = 8.0;

    fn new(per_second: &[f64], servers: u32) -> AllRefilled {
        let rates = per_second.iter().map(|per_second| per_second / f64::from(servers));
        let rates_and_levels = rates.map(|rate| (rate, rate * Self::BURST_SECONDS)).collect();
        AllRefilled { rates_and_levels, at_us: 0 }
    }

    /// The level that decides: above 0 is within.
    fn arrival(&mut self, tenant: usize, now_us: u64) -> f64 {
        let passed = (now_us - self.at_us) as f64 / 1e6;
        self.at_us = now_us;
        for (rate, level) in &mut self.rates_and_levels {
            *level = (*level + *rate * passed).min(*rate * Self::BURST_SECONDS);
        }
        self.rates_and_levels[tenant].1
    }

    fn start(&mut self, tenant: usize) {
        self.rates_and_levels[tenant].1 -= 1.0;
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrival { tenant: usize, after_us: u64 },
    Start { tenant: usize },
}

const TENANTS: usize = 12;

fn quotas() -> impl Strategy<Value = Vec<f64>> {
    let quota = prop_oneof![Just(0.0), 0.01..1.0, 1.0..20.0, 20.0..3_000.0];
    prop::collection::vec(quota, TENANTS)
}

fn event() -> impl Strategy<Value = Event> {
    let after_us = prop_oneof![8 => 0..20_000u64, 2 => 0..2_000_000u64, 1 => 0..200_000_000u64];
    prop_oneof![
        (0..TENANTS, after_us).prop_map(|(tenant, after_us)| Event::Arrival { tenant, after_us }),
        (0..TENANTS).prop_map(|tenant| Event::Start { tenant }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decisions_are_those_of_refilling_all_at_each_rpc(
        per_second in quotas(),
        servers in 1..4u32,
        events in prop::collection::vec(event(), 1..600),
    ) {
        let mut old = AllRefilled::new(&per_second, servers);
        let mut new = QuotaBuckets::new(servers);
        let rpc_of = |tenant: usize| Some(Tenant { id: tenant as u32, per_second: per_second[tenant] });
        let mut now_us = 0;
        for event in events {
            match event {
                Event::Arrival { tenant, after_us } => {
                    now_us += after_us;
                    let level = old.arrival(tenant, now_us);
                    let within = new.is_within(rpc_of(tenant), now_us);
                    // Sums in another order differ in their last digits. A tenant without a quota is always beyond it.
                    if level.abs() > 1e-9 || per_second[tenant] == 0.0 {
                        prop_assert_eq!(within, level > 0.0, "tenant {} at {}: {}", tenant, now_us, level);
                    }
                }
                Event::Start { tenant } => {
                    old.start(tenant);
                    new.charge(rpc_of(tenant));
                }
            }
        }
    }
}

fn tenant(id: usize, per_second: f64) -> Option<Tenant> {
    Some(Tenant { id: id as u32, per_second })
}

/// Buckets touched by each of 1,000 RPCs of ten tenants, after each of so many tenants has started one; and the most that
/// any RPC touched until then.
fn touched(tenants: usize) -> (Vec<u64>, u64) {
    let mut buckets = QuotaBuckets::new(1);
    let mut rpc = |id: usize, now_us: u64| {
        let before = buckets.touched();
        // The ten are in debt for longer than all others, so that theirs are held.
        let tenant = tenant(id, if id < 10 { 0.001 } else { 0.5 });
        buckets.is_within(tenant, now_us);
        buckets.charge(tenant);
        buckets.touched() - before
    };
    // With a quiet spell, after which all but the ten are full at once.
    let mut most = 0;
    for (step, id) in (0..tenants).chain(0..tenants).enumerate() {
        let quiet_us = if step < tenants { 0 } else { 60_000_000 };
        most = most.max(rpc(id, quiet_us + step as u64));
    }
    let each = (0..1_000).map(|step| rpc(step % 10, 61_000_000 + step as u64));
    (each.collect(), most)
}

#[test]
fn an_rpc_touches_as_many_buckets_at_10_tenants_as_at_410_000() {
    let (at_10, most_at_10) = touched(10);
    let (at_410_000, most_at_410_000) = touched(410_000);
    // Looked up on arrival; looked up and held again at its start.
    assert!(at_10.iter().all(|touched| *touched == 3), "{at_10:?}");
    assert_eq!(at_10, at_410_000);
    // One that isn't held is looked up once more, and two others may be let go of.
    assert!(most_at_10 <= 6 && most_at_410_000 <= 6, "{most_at_10}, {most_at_410_000}");
}

#[test]
fn cached_buckets_stay_within_the_bound_and_the_nearest_to_full_is_evicted_first() {
    let mut buckets = QuotaBuckets::new(1);
    // The first tenants are in debt for longest.
    buckets.is_within(None, 1_000_000);
    for id in 0..QuotaBuckets::MAX_CACHED {
        buckets.charge(tenant(id, 0.001 + id as f64 * 1e-6));
    }
    assert_eq!(buckets.cached(), QuotaBuckets::MAX_CACHED);
    let (longest, shortest) = (0, QuotaBuckets::MAX_CACHED - 1);
    let quota = |id: usize| 0.001 + id as f64 * 1e-6;
    assert!(!buckets.is_within(tenant(longest, quota(longest)), 1_000_000));
    assert!(!buckets.is_within(tenant(shortest, quota(shortest)), 1_000_000));
    for id in QuotaBuckets::MAX_CACHED..QuotaBuckets::MAX_CACHED + 1_000 {
        buckets.charge(tenant(id, 0.001));
        assert!(buckets.cached() <= QuotaBuckets::MAX_CACHED);
    }
    assert!(!buckets.is_within(tenant(longest, quota(longest)), 1_000_000));
    assert!(buckets.is_within(tenant(shortest, quota(shortest)), 1_000_000), "evicted: full again");
}

#[test]
fn buckets_that_are_full_again_are_let_go() {
    let mut buckets = QuotaBuckets::new(1);
    for id in 0..1_000 {
        buckets.charge(tenant(id, 1.0));
    }
    assert_eq!(buckets.cached(), 1_000);
    for rpc in 0..2_000 {
        let one = tenant(5_000, 1_000.0);
        buckets.is_within(one, 2_000_000 + rpc * 10);
        buckets.charge(one);
    }
    assert_eq!(buckets.cached(), 1);
}

#[test]
fn a_changed_quota_holds_from_the_next_rpc() {
    let mut buckets = QuotaBuckets::new(1);
    let charge = |buckets: &mut QuotaBuckets, of: Option<Tenant>, times: usize| {
        (0..times).for_each(|_| buckets.charge(of));
    };
    // 80 saved up, 40 left. Less quota: 16 at most.
    let (much, little, none) = (tenant(1, 10.0), tenant(1, 2.0), tenant(1, 0.0));
    assert!(buckets.is_within(much, 0));
    charge(&mut buckets, much, 40);
    assert!(buckets.is_within(little, 0));
    charge(&mut buckets, little, 15);
    assert!(buckets.is_within(little, 0));
    charge(&mut buckets, little, 1);
    assert!(!buckets.is_within(little, 0));
    // Refilled by the quota that held until now, then by the new one.
    charge(&mut buckets, little, 3);
    assert!(!buckets.is_within(much, 1_000_000), "-3 and 2 of a second");
    assert!(buckets.is_within(much, 1_200_000), "-1 and 2 of a fifth of one");
    // And none at all.
    assert!(!buckets.is_within(none, 1_200_000));
    charge(&mut buckets, none, 1);
    assert!(!buckets.is_within(none, 99_000_000));
    assert_eq!(buckets.cached(), 0);
}

#[test]
fn a_server_holds_buckets_only_of_tenants_seen_of_late() {
    let mut server = Given::default().start();
    let mut start = |id: usize, now_us: u64| {
        server.now = now_us;
        let name = format!("{id}-{now_us}");
        server.arrives(Arrival { tenant: tenant(id, 10.0), ..rpc(&name, IDEM) });
        server.settle(&name);
        server.it.cached_quota_buckets()
    };
    // One RPC a second here: each bucket is full again after one second.
    for id in 0..300 {
        assert_eq!(start(id, 1_000), id + 1);
    }
    let held: Vec<usize> = (0..400).map(|rpc| start(0, 3_000_000 + rpc)).collect();
    assert!(held.windows(2).all(|pair| pair[1] <= pair[0]));
    assert_eq!(held[399], 1);
}
