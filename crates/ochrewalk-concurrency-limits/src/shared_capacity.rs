//! Whether a pool may have one more call in flight: up to its own limit always; beyond it only what other pools leave idle and
//! have no demand for; never of the reserve, which is for some pools alone. What was lent comes back as calls end. No pool
//! waits for ever: each may have one call now and then, however full all are.

/// A pool that has no call in flight and acquired none for so long may have one beyond all capacity: a probe of what lies
/// upstream, so that no pool is shut out for good.
const IDLE_PROBE_US: u64 = 1_000_000;
/// For how long a pool that was refused a call counts as one with demand.
const DEMAND_US: u64 = 200_000;

/// What one pool uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolUsage {
    /// How many calls it may always have in flight.
    pub limit: f64,
    /// How many it has.
    pub in_flight: u32,
    /// Whether it may use the reserve.
    pub uses_reserve: bool,
    /// When it last acquired a call, in microseconds.
    pub last_acquired_us: u64,
    /// When it was last refused one, in microseconds; none if it has acquired one since.
    pub last_refused_us: Option<u64>,
}

/// All pools beside one another.
#[derive(Clone, Debug, Default)]
pub struct SharedCapacity {
    /// What each pool uses.
    pub pools: Vec<PoolUsage>,
    /// How many calls are kept free for the pools that may use the reserve.
    pub reserve: u32,
}

impl SharedCapacity {
    /// How many calls all pools together may have in flight.
    pub fn total(&self) -> f64 {
        self.pools.iter().map(|pool| pool.limit).sum::<f64>().max(f64::from(self.reserve))
    }

    /// How many calls all pools together have in flight.
    pub fn in_flight(&self) -> u32 {
        self.pools.iter().map(|pool| pool.in_flight).sum()
    }

    /// What the pools with access to the reserve leave unused of it.
    fn unused_reserve(&self) -> u32 {
        let used: u32 = self.pools.iter().filter(|pool| pool.uses_reserve).map(|pool| pool.in_flight).sum();
        self.reserve.saturating_sub(used)
    }

    /// Acquires one more call for the pool, if it may have one. A pool that is refused has demand for a while.
    pub fn try_acquire(&mut self, now_us: u64, pool: usize) -> bool {
        let is_admitted = self.may_acquire(now_us, pool);
        let usage = &mut self.pools[pool];
        if is_admitted {
            usage.in_flight += 1;
            usage.last_acquired_us = now_us;
            usage.last_refused_us = None;
        } else {
            usage.last_refused_us = Some(now_us);
        }
        is_admitted
    }

    fn may_acquire(&self, now_us: u64, pool: usize) -> bool {
        let usage = &self.pools[pool];
        let is_probe = usage.in_flight == 0 && now_us >= usage.last_acquired_us + IDLE_PROBE_US;
        // A pool's own limit is its own also while others have borrowed of it: the total is then exceeded until they end.
        let is_within_limit = f64::from(usage.in_flight) + 1.0 <= usage.limit.max(1.0);
        let is_within_reserve = usage.uses_reserve && self.unused_reserve() > 0;
        is_probe || is_within_limit || is_within_reserve || self.may_borrow(now_us, pool)
    }

    fn may_borrow(&self, now_us: u64, pool: usize) -> bool {
        let kept_free = if self.pools[pool].uses_reserve { 0 } else { self.unused_reserve() };
        let is_full = f64::from(self.in_flight() + kept_free) + 1.0 > self.total();
        !is_full && !self.others_have_demand(now_us, pool)
    }

    /// Whether another pool was refused a call a moment ago: what is idle is for that one.
    fn others_have_demand(&self, now_us: u64, pool: usize) -> bool {
        let has_demand =
            |usage: &PoolUsage| usage.last_refused_us.is_some_and(|at_us| now_us < at_us + DEMAND_US);
        self.pools.iter().enumerate().any(|(other, usage)| other != pool && has_demand(usage))
    }

    /// A call of the pool has ended.
    pub fn release(&mut self, pool: usize) {
        let usage = &mut self.pools[pool];
        usage.in_flight = usage.in_flight.saturating_sub(1);
    }
}
