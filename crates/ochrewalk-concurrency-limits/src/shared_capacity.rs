//! Capacity shared among pools: decides whether a pool may have another call in flight. A pool may always use its own limit,
//! and beyond it the capacity that other pools leave idle and have no demand for, but never the reserve, which only some pools
//! may use. Lent capacity returns to its owner as calls end. No pool waits indefinitely: each may start a call at intervals,
//! however full all pools are.

/// The time, in microseconds, after which a pool that has no call in flight and acquired none may start one beyond all
/// capacity: a probe of the upstream, so that no pool is blocked permanently.
const IDLE_PROBE_US: u64 = 1_000_000;
/// The time for which a pool that was refused a call has demand, in microseconds.
const DEMAND_US: u64 = 200_000;

/// The usage of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolUsage {
    /// The number of calls that the pool may always have in flight.
    pub limit: f64,
    /// The number of calls that the pool has in flight.
    pub in_flight: u32,
    /// Whether the pool may use the reserve.
    pub uses_reserve: bool,
    /// The time at which the pool last acquired a call, in microseconds.
    pub last_acquired_us: u64,
    /// The time at which the pool was last refused a call, in microseconds; `None` if the pool has acquired one since.
    pub last_refused_us: Option<u64>,
}

/// The capacity of all pools.
#[derive(Clone, Debug, Default)]
pub struct SharedCapacity {
    /// The usage of each pool.
    pub pools: Vec<PoolUsage>,
    /// The number of calls that are reserved for the pools that may use the reserve.
    pub reserve: u32,
}

impl SharedCapacity {
    /// The number of calls that all pools together may have in flight.
    pub fn total(&self) -> f64 {
        self.pools.iter().map(|pool| pool.limit).sum::<f64>().max(f64::from(self.reserve))
    }

    /// The number of calls that all pools together have in flight.
    pub fn in_flight(&self) -> u32 {
        self.pools.iter().map(|pool| pool.in_flight).sum()
    }

    /// The part of the reserve that the pools with access to it leave unused.
    fn unused_reserve(&self) -> u32 {
        let used: u32 = self.pools.iter().filter(|pool| pool.uses_reserve).map(|pool| pool.in_flight).sum();
        self.reserve.saturating_sub(used)
    }

    /// Acquires another call for the pool and returns whether the pool may start it. A pool that is refused has demand for
    /// 200 ms.
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
        // A pool may use its own limit even while others borrow from it: the total is then exceeded until their calls end.
        let is_within_limit = f64::from(usage.in_flight) + 1.0 <= usage.limit.max(1.0);
        let is_within_reserve = usage.uses_reserve && self.unused_reserve() > 0;
        is_probe || is_within_limit || is_within_reserve || self.may_borrow(now_us, pool)
    }

    fn may_borrow(&self, now_us: u64, pool: usize) -> bool {
        let reserved = if self.pools[pool].uses_reserve { 0 } else { self.unused_reserve() };
        let is_full = f64::from(self.in_flight() + reserved) + 1.0 > self.total();
        !is_full && !self.others_have_demand(now_us, pool)
    }

    /// Whether another pool was refused a call recently: idle capacity is then left to that pool.
    fn others_have_demand(&self, now_us: u64, pool: usize) -> bool {
        let has_demand =
            |usage: &PoolUsage| usage.last_refused_us.is_some_and(|at_us| now_us < at_us + DEMAND_US);
        self.pools.iter().enumerate().any(|(other, usage)| other != pool && has_demand(usage))
    }

    /// Records the end of a call of the pool.
    pub fn release(&mut self, pool: usize) {
        let usage = &mut self.pools[pool];
        usage.in_flight = usage.in_flight.saturating_sub(1);
    }
}
