//! Decides whether a pool may have one more call in hand: its own room first; more than that only of what others leave idle
//! and do not ask for; never of the reserve, which is for the cheapest alone. What was lent comes back as calls end, and no
//! pool waits for ever: each may have one call now and then, however full it is.

/// A pool that had no call for so long may have one beyond all capacity: a probe of what lies below, so that no pool is shut
/// for good.
const IDLE_PROBE_US: u64 = 1_000_000;
/// For how long a pool that was turned down counts as asking.
const DEMAND_US: u64 = 200_000;

/// What a pool holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolUsage {
    pub limit: f64,
    pub in_flight: u32,
    /// The reserve is for it.
    pub uses_reserve: bool,
    /// When it last had a call begun, and was last turned down.
    pub last_acquired_us: u64,
    pub last_refused_us: Option<u64>,
}

/// All pools beside one another.
#[derive(Clone, Debug, Default)]
pub struct SharedCapacity {
    pub pools: Vec<PoolUsage>,
    /// Calls that only reserved pools may have in hand.
    pub reserve: u32,
}

impl SharedCapacity {
    /// What all may have in hand together.
    pub fn total(&self) -> f64 {
        self.pools.iter().map(|pool| pool.limit).sum::<f64>().max(f64::from(self.reserve))
    }

    pub fn in_flight(&self) -> u32 {
        self.pools.iter().map(|pool| pool.in_flight).sum()
    }

    /// What of the reserve is not in use by those that it is for.
    fn unused_reserve(&self) -> u32 {
        let utilization: u32 =
            self.pools.iter().filter(|pool| pool.uses_reserve).map(|pool| pool.in_flight).sum();
        self.reserve.saturating_sub(utilization)
    }

    /// Whether it may have one more now; it then has it. One that may not counts as asking for a while.
    pub fn try_acquire(&mut self, now_us: u64, pool: usize) -> bool {
        let may = self.may_acquire(now_us, pool);
        let of = &mut self.pools[pool];
        if may {
            (of.in_flight, of.last_acquired_us, of.last_refused_us) = (of.in_flight + 1, now_us, None);
        } else {
            of.last_refused_us = Some(now_us);
        }
        may
    }

    fn may_acquire(&self, now_us: u64, pool: usize) -> bool {
        let of = &self.pools[pool];
        let probes = of.in_flight == 0 && now_us >= of.last_acquired_us + IDLE_PROBE_US;
        let kept = if of.uses_reserve { 0 } else { self.unused_reserve() };
        let is_full = f64::from(self.in_flight() + kept) + 1.0 > self.total();
        // Its own room is its own also where others have borrowed it: that is then beyond the total, until they are done.
        let own = f64::from(of.in_flight) + 1.0 <= of.limit.max(1.0);
        let reserved = of.uses_reserve && self.unused_reserve() > 0;
        probes || own || reserved || !is_full && !self.others_demand(now_us, pool)
    }

    /// Another pool was turned down a moment ago, or has less in hand than its room and asks: what is idle is its.
    fn others_demand(&self, now_us: u64, pool: usize) -> bool {
        let asks = |of: &PoolUsage| of.last_refused_us.is_some_and(|at| now_us < at + DEMAND_US);
        self.pools.iter().enumerate().any(|(at, of)| at != pool && asks(of))
    }

    /// A call has ended.
    pub fn release(&mut self, pool: usize) {
        let of = &mut self.pools[pool];
        of.in_flight = of.in_flight.saturating_sub(1);
    }
}
