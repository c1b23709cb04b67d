//! The limit on the number of requests that run at the same time. The limit starts at the number of cores and grows
//! while cores idle with work queued. The limit stays below the load that the server survives, which is lower while the
//! server is cold (slow start).

use super::core_usage::CoreUsage;
use crate::host::SurvivableLoad;

/// The share of the survivable number of requests that is used. The rest is a margin, as gauges arrive late.
const USABLE_SHARE: f64 = 0.9;
/// The increase and the decrease of the limit per gauge reading, in requests. The limit falls by only a quarter,
/// because runs that wait for disk cannot be distinguished from others.
const INCREASE: f64 = 1.0;
const DECREASE: f64 = 0.25;

/// The concurrency limit of one server.
pub struct ConcurrencyLimit {
    cores: f64,
    pub(super) survivable: SurvivableLoad,
    pub(super) started_us: u64,
    /// The excess of the limit over the number of cores.
    pub(super) above_cores: f64,
}

impl ConcurrencyLimit {
    /// Creates the limit of a server that started at `started_us`.
    pub fn new(cores: u32, survivable: SurvivableLoad, started_us: u64) -> ConcurrencyLimit {
        ConcurrencyLimit { cores: f64::from(cores), survivable, started_us, above_cores: 0.0 }
    }

    /// Returns the minimum share of its full speed that the server has at this time.
    pub fn warm_share(&self, now_us: u64) -> f64 {
        if !self.survivable.is_cold {
            return 1.0;
        }
        let warm_within_us = self.survivable.warm_within_us.max(1);
        let warmed_part = (now_us - self.started_us) as f64 / warm_within_us as f64;
        self.survivable.min_cold_speed + (1.0 - self.survivable.min_cold_speed) * warmed_part.min(1.0)
    }

    /// Returns the maximum number of requests that may be on the cores or return to them from upstream calls.
    pub fn ceiling(&self, now_us: u64) -> usize {
        let survivable_per_core = 1.0 + (self.survivable.requests_per_core - 1.0) * self.warm_share(now_us);
        ((survivable_per_core * self.cores * USABLE_SHARE) as usize).max(1)
    }

    /// Returns the maximum number of requests that may run at the same time.
    pub fn limit(&self, now_us: u64) -> usize {
        ((self.cores + self.above_cores) as usize).clamp(1, self.ceiling(now_us))
    }

    /// Adjusts the limit to a reading of the cores. `is_binding` is whether requests are queued only because the limit
    /// has been reached.
    pub fn adjust(&mut self, now_us: u64, usage: &CoreUsage, is_binding: bool) {
        if is_binding && usage.has_idle_core() {
            let max_above = self.ceiling(now_us) as f64 - self.cores;
            self.above_cores = (self.above_cores + INCREASE).min(max_above).max(0.0);
        } else if usage.is_oversubscribed() {
            self.above_cores = (self.above_cores - DECREASE).max(0.0);
        }
    }
}
