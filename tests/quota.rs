//! Quota buckets decide as if all of them were refilled at each request, and their cost does not depend on the number
//! of tenants.

mod helper;

use helper::*;
use ochrewalk::admission::quota::QuotaBuckets;
use ochrewalk::host::*;
use proptest::prelude::*;

/// The reference rule: every tenant's bucket is stored, and refilled at each arrival.
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

    /// Returns the tenant's level, which is within the quota if above 0.
    fn arrival(&mut self, tenant: usize, now_us: u64) -> f64 {
        let elapsed_s = (now_us - self.at_us) as f64 / 1e6;
        self.at_us = now_us;
        for (rate, level) in &mut self.rates_and_levels {
            *level = (*level + *rate * elapsed_s).min(*rate * Self::BURST_SECONDS);
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
    fn decisions_equal_those_of_refilling_all_buckets_at_each_arrival(
        per_second in quotas(),
        servers in 1..4u32,
        events in prop::collection::vec(event(), 1..600),
    ) {
        let mut reference = AllRefilled::new(&per_second, servers);
        let mut buckets = QuotaBuckets::new(servers);
        let tenant_of = |tenant: usize| Some(Tenant { id: tenant as u32, per_second: per_second[tenant] });
        let mut now_us = 0;
        for event in events {
            match event {
                Event::Arrival { tenant, after_us } => {
                    now_us += after_us;
                    let level = reference.arrival(tenant, now_us);
                    let is_within = buckets.is_within(tenant_of(tenant), now_us);
                    // Sums in another order differ in their last digits. A tenant with a quota of 0 is always beyond
                    // it.
                    if level.abs() > 1e-9 || per_second[tenant] == 0.0 {
                        prop_assert_eq!(is_within, level > 0.0, "tenant {} at {}: {}", tenant, now_us, level);
                    }
                }
                Event::Start { tenant } => {
                    reference.start(tenant);
                    buckets.charge(tenant_of(tenant));
                }
            }
        }
    }
}

fn tenant(id: usize, per_second: f64) -> Option<Tenant> {
    Some(Tenant { id: id as u32, per_second })
}

/// Returns the number of bucket accesses by each of 1,000 requests of ten tenants, after each of `tenants` tenants has
/// started requests; and the maximum number by any request before those.
fn accesses(tenants: usize) -> (Vec<u64>, u64) {
    let mut buckets = QuotaBuckets::new(1);
    let mut rpc = |id: usize, now_us: u64| {
        let before = buckets.accesses();
        // The buckets of the ten take longer to refill than all others, so they remain cached.
        let tenant = tenant(id, if id < 10 { 0.001 } else { 0.5 });
        buckets.is_within(tenant, now_us);
        buckets.charge(tenant);
        buckets.accesses() - before
    };
    // After a pause without requests, all buckets but those of the ten are full.
    let mut max_accesses = 0;
    for (step, id) in (0..tenants).chain(0..tenants).enumerate() {
        let pause_us = if step < tenants { 0 } else { 60_000_000 };
        max_accesses = max_accesses.max(rpc(id, pause_us + step as u64));
    }
    let each = (0..1_000).map(|step| rpc(step % 10, 61_000_000 + step as u64));
    (each.collect(), max_accesses)
}

#[test]
fn a_request_accesses_as_many_buckets_with_10_tenants_as_with_410_000() {
    let (with_10, max_with_10) = accesses(10);
    let (with_410_000, max_with_410_000) = accesses(410_000);
    // One look-up on arrival; one look-up and one insertion at the start.
    assert!(with_10.iter().all(|count| *count == 3), "{with_10:?}");
    assert_eq!(with_10, with_410_000);
    // A bucket that is not cached is looked up a second time on arrival, and two others may be evicted.
    assert!(max_with_10 <= 6 && max_with_410_000 <= 6, "{max_with_10}, {max_with_410_000}");
}

#[test]
fn cached_buckets_stay_within_the_bound_and_the_nearest_to_full_is_evicted_first() {
    let mut buckets = QuotaBuckets::new(1);
    // The buckets of the first tenants take longest to refill.
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
fn buckets_that_are_full_again_are_evicted() {
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
fn a_changed_quota_applies_from_the_next_request() {
    let mut buckets = QuotaBuckets::new(1);
    let charge = |buckets: &mut QuotaBuckets, of: Option<Tenant>, times: usize| {
        (0..times).for_each(|_| buckets.charge(of));
    };
    // The bucket starts with 80, of which 40 remain. The lower quota caps it at 16.
    let (high, low, zero) = (tenant(1, 10.0), tenant(1, 2.0), tenant(1, 0.0));
    assert!(buckets.is_within(high, 0));
    charge(&mut buckets, high, 40);
    assert!(buckets.is_within(low, 0));
    charge(&mut buckets, low, 15);
    assert!(buckets.is_within(low, 0));
    charge(&mut buckets, low, 1);
    assert!(!buckets.is_within(low, 0));
    // The bucket refills at the rate of the previous quota up to the change, and at that of the new quota after it.
    charge(&mut buckets, low, 3);
    assert!(!buckets.is_within(high, 1_000_000), "-3, and 2 refilled in one second");
    assert!(buckets.is_within(high, 1_200_000), "-1, and 2 refilled in a fifth of a second");
    // With a quota of 0, no request is within it.
    assert!(!buckets.is_within(zero, 1_200_000));
    charge(&mut buckets, zero, 1);
    assert!(!buckets.is_within(zero, 99_000_000));
    assert_eq!(buckets.cached(), 0);
}

#[test]
fn a_server_caches_buckets_only_of_tenants_with_recent_requests() {
    let mut server = TestConfig::default().start();
    let mut start = |id: usize, now_us: u64| {
        server.now = now_us;
        let name = format!("{id}-{now_us}");
        server.arrive_with(Arrival { tenant: tenant(id, 10.0), ..rpc(&name, IDEMPOTENT) });
        server.end_run(&name);
        server.controller.cached_quota_buckets()
    };
    // The rate at this server is one request per second, so each bucket is full again after one second.
    for id in 0..300 {
        assert_eq!(start(id, 1_000), id + 1);
    }
    let cached: Vec<usize> = (0..400).map(|rpc| start(0, 3_000_000 + rpc)).collect();
    assert!(cached.windows(2).all(|pair| pair[1] <= pair[0]));
    assert_eq!(cached[399], 1);
}
