//! QuotaSettings of tenants, as token buckets. What a tenant sends beyond its quota counts for little, whatever is done with it.

use crate::host::Tenant;
use std::collections::{BTreeSet, HashMap};

/// What a tenant has left of its quota at this server: requests that may start, refilled when it is touched.
pub(super) struct QuotaBucket {
    /// Requests a second that it fills by, here.
    pub rate: f64,
    /// What was left at `refilled_us`; below 0 where more were started.
    pub level: f64,
    pub refilled_us: u64,
    /// When it is full, if nothing more is charged: its key in `QuotaBuckets::by_full_time`.
    full_at_us: u64,
}

impl QuotaBucket {
    /// Seconds of its rate that a tenant may save up, as traffic reaches servers unevenly.
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
        let passed = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        (self.level + self.rate * passed).min(self.rate * Self::BURST_SECONDS)
    }
}

/// The buckets of tenants that started requests of late. A tenant without one has a full bucket, so that one that is full
/// again need not be cached. The quota comes with each request: a changed one holds from the tenant's next request.
///
/// Each request touches a few buckets, however many tenants there are. At most [`Self::MAX_CACHED`] are cached; beyond
/// that, the one that is full soonest is evicted first. Harms where more tenants than that are in debt for long: those
/// whose buckets fill fast are not limited then.
pub struct QuotaBuckets {
    /// Servers that a quota is divided between.
    servers: f64,
    pub(super) cached: HashMap<u32, QuotaBucket>,
    /// When each is full, and its tenant.
    pub(super) by_full_time: BTreeSet<(u64, u32)>,
    /// The time of the last arrival; charges count from it.
    pub(super) now_us: u64,
    touched: u64,
}

impl QuotaBuckets {
    /// Takes 7 MB of memory.
    pub const MAX_CACHED: usize = 65_536;
    /// Evicted at a charge, which adds one at most: more than one, so that full ones become fewer.
    const EVICTED_AT_ONCE: usize = 2;

    /// For quotas that are divided between so many servers.
    pub fn new(servers: u32) -> QuotaBuckets {
        QuotaBuckets {
            servers: f64::from(servers.max(1)),
            cached: HashMap::new(),
            by_full_time: BTreeSet::new(),
            now_us: 0,
            touched: 0,
        }
    }

    /// Whether a request that arrives now is within its tenant's quota. One without a tenant always is.
    pub fn is_within(&mut self, tenant: Option<Tenant>, now_us: u64) -> bool {
        self.now_us = self.now_us.max(now_us);
        let Some(Tenant { id, per_second }) = tenant else { return true };
        let rate = per_second / self.servers;
        self.touched += 1;
        if let Some(bucket) = self.cached.get(&id).filter(|bucket| bucket.rate == rate) {
            return bucket.level_at(self.now_us) > 0.0;
        }
        let changed = self.remove(id).map(|bucket| bucket.level_at(self.now_us));
        // Without any quota it has nothing to save up, and needs no bucket.
        if rate <= 0.0 {
            return false;
        }
        let Some(level) = changed else { return true };
        self.insert(id, QuotaBucket::new(rate, level, self.now_us));
        level > 0.0
    }

    /// Only what is started counts: retries of what was rejected would use up a quota for nothing.
    pub fn charge(&mut self, tenant: Option<Tenant>) {
        let Some(Tenant { id, per_second }) = tenant else { return };
        let rate = per_second / self.servers;
        let bucket = self.remove(id).or_else(|| (rate > 0.0).then(|| QuotaBucket::full(rate, self.now_us)));
        let Some(bucket) = bucket else { return };
        let level = bucket.level_at(self.now_us) - 1.0;
        self.insert(id, QuotaBucket::new(bucket.rate, level, self.now_us));
        self.evict();
    }

    /// Buckets cached now.
    pub fn cached(&self) -> usize {
        self.cached.len()
    }

    /// Buckets looked up, changed, cached or evicted since the start.
    pub fn touched(&self) -> u64 {
        self.touched
    }

    fn remove(&mut self, id: u32) -> Option<QuotaBucket> {
        self.touched += 1;
        let bucket = self.cached.remove(&id)?;
        self.by_full_time.remove(&(bucket.full_at_us, id));
        Some(bucket)
    }

    pub(super) fn insert(&mut self, id: u32, bucket: QuotaBucket) {
        self.touched += 1;
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
