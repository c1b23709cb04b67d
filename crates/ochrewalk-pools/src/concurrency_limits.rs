//! Decides for all pools together: counts each period, moves limits, and says what was changed and why.

use crate::adaptive_limit::{AdaptiveLimit, LimitAlgorithm, PeriodSample};
use crate::baseline_latency::BaselineLatency;
use crate::shared_capacity::{PoolUsage, SharedCapacity};

/// How often limits move.
pub const PERIOD_US: u64 = 1_000_000;
/// Times that are kept of a period: more say nothing new.
const MAX_LATENCIES: usize = 512;
/// How far a period with enough calls moves what calls are held to take. Guards against the few of one period, whose least
/// over many periods would be far under the usual.
const SMOOTHING: f64 = 0.3;
const FULL_WEIGHT_CALLS: f64 = 20.0;
/// A limit that moved by this share since it was last told is told again.
const REPORT_CHANGE: f64 = 0.2;

/// A pool as operators set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolConfig {
    /// Its limit at first, and the bounds of it.
    pub initial: u32,
    pub min: u32,
    pub max: u32,
    /// The reserve is for it.
    pub uses_reserve: bool,
}

/// All pools, and the way that limits go by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitsConfig {
    pub algorithm: LimitAlgorithm,
    pub pools: Vec<PoolConfig>,
    pub reserve: u32,
}

/// A limit has moved, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    pub pool: usize,
    pub from: f64,
    pub to: f64,
    /// What the last period showed.
    pub seen: PeriodSample,
}

#[derive(Clone, Debug)]
struct Pool {
    limit: AdaptiveLimit,
    base: BaselineLatency,
    /// What calls are held to take now.
    latency_us: Option<f64>,
    /// Of the period under way.
    latencies_us: Vec<u64>,
    ended: u32,
    rejected: u32,
    max_in_flight: u32,
    reported: f64,
}

#[derive(Clone, Debug)]
pub struct ConcurrencyLimits {
    pools: Vec<Pool>,
    capacity: SharedCapacity,
    period_ends_us: u64,
}

impl ConcurrencyLimits {
    /// `turn` differs from node to node, so that not all look for what is usual at once.
    pub fn with_phase(now_us: u64, plan: LimitsConfig, phase: u32) -> ConcurrencyLimits {
        let limit = |of: &PoolConfig| {
            let limit = AdaptiveLimit::new(plan.algorithm, of.initial, of.min, of.max);
            if of.uses_reserve {
                limit.with_priority()
            } else {
                limit
            }
        };
        let pool = |(at, of): (usize, &PoolConfig)| Pool {
            limit: limit(of),
            base: BaselineLatency::new(phase + 4 * at as u32),
            latency_us: None,
            latencies_us: Vec::new(),
            ended: 0,
            rejected: 0,
            max_in_flight: 0,
            reported: f64::from(of.initial),
        };
        let pools: Vec<Pool> = plan.pools.iter().enumerate().map(pool).collect();
        let holds = |(of, pool): (&PoolConfig, &Pool)| PoolUsage {
            limit: pool.limit.value(),
            uses_reserve: of.uses_reserve,
            last_acquired_us: now_us,
            ..PoolUsage::default()
        };
        let of = plan.pools.iter().zip(&pools).map(holds).collect();
        ConcurrencyLimits {
            pools,
            capacity: SharedCapacity { pools: of, reserve: plan.reserve },
            period_ends_us: now_us + PERIOD_US,
        }
    }

    pub fn new(now_us: u64, plan: LimitsConfig) -> ConcurrencyLimits {
        ConcurrencyLimits::with_phase(now_us, plan, 0)
    }

    /// Whether a call of that pool may be placed now; it then counts as in hand.
    pub fn try_acquire(&mut self, now_us: u64, pool: usize) -> bool {
        let may = self.capacity.try_acquire(now_us, pool);
        let of = &mut self.pools[pool];
        of.max_in_flight = of.max_in_flight.max(self.capacity.pools[pool].in_flight);
        may
    }

    /// A call was done, and took so long.
    pub fn call_succeeded(&mut self, pool: usize, took_us: u64) {
        self.capacity.release(pool);
        let of = &mut self.pools[pool];
        of.ended += 1;
        if of.latencies_us.len() < MAX_LATENCIES {
            of.latencies_us.push(took_us);
        }
    }

    /// A call was turned away below, or not done in time.
    pub fn call_rejected(&mut self, pool: usize) {
        self.capacity.release(pool);
        let of = &mut self.pools[pool];
        (of.ended, of.rejected) = (of.ended + 1, of.rejected + 1);
    }

    /// A call ended in a way that says nothing of what lies below.
    pub fn call_ignored(&mut self, pool: usize) {
        self.capacity.release(pool);
    }

    /// Time has passed: limits move once a period is over. What has moved far enough to be told of comes back. A clock
    /// that woke late makes one long period, not many.
    pub fn tick(&mut self, now_us: u64) -> Vec<LimitChange> {
        if now_us < self.period_ends_us {
            return Vec::new();
        }
        self.period_ends_us = now_us + PERIOD_US;
        let mut changes = Vec::new();
        for (at, pool) in self.pools.iter_mut().enumerate() {
            let holds = &mut self.capacity.pools[at];
            let seen = pool.period(holds.limit);
            holds.limit = pool.limit.value() * pool.base.limit_factor();
            let to = pool.limit.value();
            if (to / pool.reported).ln().abs() > REPORT_CHANGE {
                changes.push(LimitChange { pool: at, from: pool.reported, to, seen });
                pool.reported = to;
            }
            pool.max_in_flight = holds.in_flight;
        }
        changes
    }

    pub fn limit(&self, pool: usize) -> f64 {
        self.pools[pool].limit.value()
    }

    /// What a call of that pool takes where nothing waits, in microseconds.
    pub fn baseline_us(&self, pool: usize) -> Option<f64> {
        self.pools[pool].base.us()
    }

    pub fn capacity(&self) -> &SharedCapacity {
        &self.capacity
    }
}

impl Pool {
    /// A period with that limit is over.
    fn period(&mut self, limit: f64) -> PeriodSample {
        self.latencies_us.sort_unstable();
        if let Some(median) = self.latencies_us.get(self.latencies_us.len() / 2).map(|us| *us as f64) {
            let pace = SMOOTHING * (self.latencies_us.len() as f64 / FULL_WEIGHT_CALLS).min(1.0);
            let before = self.latency_us.unwrap_or(median);
            self.latency_us = Some(before + (median - before) * pace);
        }
        let spoke = self.latency_us.filter(|_| !self.latencies_us.is_empty());
        self.base.period(spoke);
        let latency_ratio = spoke.zip(self.base.us()).map(|(take, base)| take / base.max(1.0));
        let utilization = f64::from(self.max_in_flight) / limit.max(1.0);
        let seen = PeriodSample { ended: self.ended, rejected: self.rejected, latency_ratio, utilization };
        self.limit.period(&seen);
        self.latencies_us.clear();
        (self.ended, self.rejected) = (0, 0);
        seen
    }
}
