//! The limits of all pools: admits calls, counts what became of them, and moves the limits once a period.

use crate::adaptive_limit::PeriodSample;
use crate::config::{LimitsConfig, PoolConfig};
use crate::pool::Pool;
use crate::shared_capacity::{PoolUsage, SharedCapacity};

/// How often limits move, in microseconds.
pub const PERIOD_US: u64 = 1_000_000;
/// By how many periods the windows of two neighbouring pools are apart.
const PHASE_BETWEEN_POOLS: u32 = 4;
/// A limit is reported again once its logarithm has moved this far since it was last reported.
const REPORTED_CHANGE: f64 = 0.2;

/// A limit that has moved, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The pool's index.
    pub pool: usize,
    /// The limit when it was last reported.
    pub from: f64,
    /// The limit now.
    pub to: f64,
    /// What the last period showed.
    pub sample: PeriodSample,
}

/// The limits of all pools.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimits {
    pools: Vec<Pool>,
    capacity: SharedCapacity,
    period_ends_us: u64,
}

impl ConcurrencyLimits {
    /// Limits whose baselines are measured in phase with those of every other node.
    pub fn new(now_us: u64, config: &LimitsConfig) -> ConcurrencyLimits {
        ConcurrencyLimits::with_phase(now_us, config, 0)
    }

    /// Limits whose baselines are measured that many periods earlier: different from node to node, so that not all measure
    /// at once.
    pub fn with_phase(now_us: u64, config: &LimitsConfig, phase: u32) -> ConcurrencyLimits {
        let pool = |(index, pool): (usize, &PoolConfig)| {
            Pool::new(config.algorithm, pool, phase + PHASE_BETWEEN_POOLS * index as u32)
        };
        let pools: Vec<Pool> = config.pools.iter().enumerate().map(pool).collect();
        let usage = |(config, pool): (&PoolConfig, &Pool)| PoolUsage {
            limit: pool.limit.value(),
            uses_reserve: config.uses_reserve,
            last_acquired_us: now_us,
            ..PoolUsage::default()
        };
        let usages = config.pools.iter().zip(&pools).map(usage).collect();
        let capacity = SharedCapacity { pools: usages, reserve: config.reserve };
        ConcurrencyLimits { pools, capacity, period_ends_us: now_us + PERIOD_US }
    }

    /// Whether the pool may start a call now; the call then counts as in flight.
    pub fn try_acquire(&mut self, now_us: u64, pool: usize) -> bool {
        let is_admitted = self.capacity.try_acquire(now_us, pool);
        let in_flight = self.capacity.pools[pool].in_flight;
        let pool = &mut self.pools[pool];
        pool.max_in_flight = pool.max_in_flight.max(in_flight);
        is_admitted
    }

    /// A call succeeded after that many microseconds.
    pub fn call_succeeded(&mut self, pool: usize, took_us: u64) {
        self.capacity.release(pool);
        self.pools[pool].call_succeeded(took_us);
    }

    /// A call was rejected upstream, or timed out.
    pub fn call_rejected(&mut self, pool: usize) {
        self.capacity.release(pool);
        self.pools[pool].call_rejected();
    }

    /// A call ended in a way that says nothing of what lies upstream.
    pub fn call_ignored(&mut self, pool: usize) {
        self.capacity.release(pool);
    }

    /// Moves the limits if a period has ended. Returns those that have moved far enough to be logged. A clock that woke late
    /// makes one long period, not many.
    pub fn tick(&mut self, now_us: u64) -> Vec<LimitChange> {
        if now_us < self.period_ends_us {
            return Vec::new();
        }
        self.period_ends_us = now_us + PERIOD_US;
        let mut changes = Vec::new();
        for (index, (pool, usage)) in self.pools.iter_mut().zip(&mut self.capacity.pools).enumerate() {
            let sample = pool.end_period(usage.limit);
            let (from, to) = (pool.reported_limit, pool.limit.value());
            usage.limit = to * pool.baseline.limit_factor();
            if (to / from).ln().abs() > REPORTED_CHANGE {
                changes.push(LimitChange { pool: index, from, to, sample });
                pool.reported_limit = to;
            }
            pool.max_in_flight = usage.in_flight;
        }
        changes
    }

    /// The pool's limit.
    pub fn limit(&self, pool: usize) -> f64 {
        self.pools[pool].limit.value()
    }

    /// The pool's baseline latency in microseconds; none before a call has succeeded.
    pub fn baseline_us(&self, pool: usize) -> Option<f64> {
        self.pools[pool].baseline.us()
    }

    /// What the pools use.
    pub fn capacity(&self) -> &SharedCapacity {
        &self.capacity
    }
}
