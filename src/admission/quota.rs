//! Quotas of tenants, as token buckets. A request beyond its tenant's quota has a lower value in every decision.

use crate::host::Tenant;
use std::collections::{BTreeSet, HashMap};

/// The token bucket of a tenant at this server. The level is the number of requests that may still start within the
/// quota, and is refilled whenever the bucket is accessed.
pub(super) struct QuotaBucket {
    /// The refill rate at this server, in requests per second.
    pub rate: f64,
    /// The level at `refilled_us`; below 0 if more requests were started than the quota allows.
    pub level: f64,
    pub refilled_us: u64,
    /// The time at which the bucket is full if nothing more is charged, which is its key in
    /// `QuotaBuckets::by_full_time`.
    full_at_us: u64,
}

impl QuotaBucket {
    /// The capacity of a bucket, in seconds of its rate. Bursts are allowed because traffic reaches servers unevenly.
    const BURST_SECONDS: f64 = 8.0;

    pub fn new(rate: f64, level: f64, refilled_us: u64) -> QuotaBucket {
        let capacity = rate * Self::BURST_SECONDS;
        let level = level.min(capacity);
        let missing_us = ((capacity - level) / rate * 1e6).ceil() as u64;
        QuotaBucket { rate, level, refilled_us, full_at_us: refilled_us.saturating_add(missing_us) }
    }

    fn full(rate: f64, now_us: u64) -> QuotaBucket {
        QuotaBucket::new(rate, f64::INFINITY, now_us)
    }

    fn level_at(&self, now_us: u64) -> f64 {
        let elapsed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        (self.level + self.rate * elapsed_s).min(self.rate * Self::BURST_SECONDS)
    }
}

/// The buckets of tenants that have started requests recently. A tenant without a cached bucket has a full one, so a
/// bucket that is full again need not be cached. The quota arrives with each request, so a changed quota applies from
/// the tenant's next request.
///
/// Each request accesses a few buckets, independently of the number of tenants. At most [`Self::MAX_CACHED`] buckets
/// are cached; beyond that, the bucket that will be full soonest is evicted first. The cost of this bound: if more
/// tenants than that exceed their quotas for a long time, those whose buckets refill fast are not limited.
pub struct QuotaBuckets {
    /// The number of servers that a quota is divided between.
    servers: f64,
    pub(super) cached: HashMap<u32, QuotaBucket>,
    /// The times at which cached buckets are full, with their tenants.
    pub(super) by_full_time: BTreeSet<(u64, u32)>,
    /// The time of the last arrival, which is the time at which charges are made.
    pub(super) now_us: u64,
    accesses: u64,
}

impl QuotaBuckets {
    /// The maximum number of cached buckets, which take 7 MB of memory.
    pub const MAX_CACHED: usize = 65_536;
    /// The maximum number of buckets evicted per charge. A charge adds at most one bucket, so evicting up to two
    /// reduces the number of full ones.
    const EVICTED_AT_ONCE: usize = 2;

    /// Creates an empty cache for quotas that are divided between this number of servers.
    pub fn new(servers: u32) -> QuotaBuckets {
        QuotaBuckets {
            servers: f64::from(servers.max(1)),
            cached: HashMap::new(),
            by_full_time: BTreeSet::new(),
            now_us: 0,
            accesses: 0,
        }
    }

    /// Whether a request that arrives now is within its tenant's quota. A request without a tenant always is.
    pub fn is_within(&mut self, tenant: Option<Tenant>, now_us: u64) -> bool {
        self.now_us = self.now_us.max(now_us);
        let Some(Tenant { id, per_second }) = tenant else { return true };
        let rate = per_second / self.servers;
        self.accesses += 1;
        if let Some(bucket) = self.cached.get(&id).filter(|bucket| bucket.rate == rate) {
            return bucket.level_at(self.now_us) > 0.0;
        }
        let previous_level = self.remove(id).map(|bucket| bucket.level_at(self.now_us));
        // A tenant with a quota of 0 can accumulate nothing and needs no bucket.
        if rate <= 0.0 {
            return false;
        }
        let Some(level) = previous_level else { return true };
        self.insert(id, QuotaBucket::new(rate, level, self.now_us));
        level > 0.0
    }

    /// Charges a tenant for a request that is started. Rejected requests are not charged, as their retries would use up
    /// the quota without any work done.
    pub fn charge(&mut self, tenant: Option<Tenant>) {
        let Some(Tenant { id, per_second }) = tenant else { return };
        let rate = per_second / self.servers;
        let bucket = self.remove(id).or_else(|| (rate > 0.0).then(|| QuotaBucket::full(rate, self.now_us)));
        let Some(bucket) = bucket else { return };
        let level = bucket.level_at(self.now_us) - 1.0;
        self.insert(id, QuotaBucket::new(bucket.rate, level, self.now_us));
        self.evict();
    }

    /// Returns the number of cached buckets.
    pub fn cached(&self) -> usize {
        self.cached.len()
    }

    /// Returns the number of bucket look-ups, changes, insertions and evictions since the start.
    pub fn accesses(&self) -> u64 {
        self.accesses
    }

    fn remove(&mut self, id: u32) -> Option<QuotaBucket> {
        self.accesses += 1;
        let bucket = self.cached.remove(&id)?;
        self.by_full_time.remove(&(bucket.full_at_us, id));
        Some(bucket)
    }

    pub(super) fn insert(&mut self, id: u32, bucket: QuotaBucket) {
        self.accesses += 1;
        self.by_full_time.insert((bucket.full_at_us, id));
        self.cached.insert(id, bucket);
    }

    pub(super) fn evict(&mut self) {
        for _ in 0..Self::EVICTED_AT_ONCE {
            let Some(&(full_at_us, id)) = self.by_full_time.first() else { return };
            if full_at_us > self.now_us && self.cached.len() <= Self::MAX_CACHED {
                return;
            }
            self.remove(id);
        }
    }
}
