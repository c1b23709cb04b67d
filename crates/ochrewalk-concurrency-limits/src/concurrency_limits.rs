//! The limits of all pools: admits calls, counts their outcomes, and adjusts the limits once per period.

use crate::adaptive_limit::PeriodSample;
use crate::config::{LimitsConfig, PoolConfig};
use crate::pool::Pool;
use crate::shared_capacity::{PoolUsage, SharedCapacity};

/// The period after which limits are adjusted, in microseconds.
pub const PERIOD_US: u64 = 1_000_000;
/// The offset between the baseline windows of two consecutive pools, in periods.
const PHASE_BETWEEN_POOLS: u32 = 4;
/// The change in the logarithm of a limit, since it was last reported, above which the limit is reported again.
const REPORTED_CHANGE: f64 = 0.2;

/// A change of a limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The pool's index.
    pub pool: usize,
    /// The limit when it was last reported.
    pub from: f64,
    /// The limit now.
    pub to: f64,
    /// The sample of the last period.
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
    /// Creates limits whose baselines are measured at the same time as those of all other nodes.
    pub fn new(now_us: u64, config: &LimitsConfig) -> ConcurrencyLimits {
        ConcurrencyLimits::with_phase(now_us, config, 0)
    }

    /// Creates limits whose baselines are measured `phase` periods earlier. Nodes use different phases, so that they do not
    /// all measure at the same time.
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

    /// Whether the pool may start a call now. An admitted call counts as in flight.
    pub fn try_acquire(&mut self, now_us: u64, pool: usize) -> bool {
        let is_admitted = self.capacity.try_acquire(now_us, pool);
        let in_flight = self.capacity.pools[pool].in_flight;
        let pool = &mut self.pools[pool];
        pool.max_in_flight = pool.max_in_flight.max(in_flight);
        is_admitted
    }

    /// Records a call that succeeded after `took_us` microseconds.
    pub fn call_succeeded(&mut self, pool: usize, took_us: u64) {
        self.capacity.release(pool);
        self.pools[pool].call_succeeded(took_us);
    }

    /// Records a call that the upstream rejected, or that timed out.
    pub fn call_rejected(&mut self, pool: usize) {
        self.capacity.release(pool);
        self.pools[pool].call_rejected();
    }

    /// Records a call whose end is no evidence about the upstream.
    pub fn call_ignored(&mut self, pool: usize) {
        self.capacity.release(pool);
    }

    /// Adjusts the limits if a period has ended. Returns those that have changed enough to be logged. A timer that fires late
    /// causes a single long period and not several.
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

    /// The current limit of the pool.
    pub fn limit(&self, pool: usize) -> f64 {
        self.pools[pool].limit.value()
    }

    /// The baseline latency of the pool in microseconds; `None` before a call has succeeded.
    pub fn baseline_us(&self, pool: usize) -> Option<f64> {
        self.pools[pool].baseline.us()
    }

    /// The capacity that the pools share, and their usage of it.
    pub fn capacity(&self) -> &SharedCapacity {
        &self.capacity
    }
}
