//! How many requests may run at once. The limit starts at the number of cores, grows while these idle with work queued, and
//! stays below what the server survives, which is lower while it is cold (slow start).

use super::core_usage::CoreUsage;
use crate::host::SurvivableLoad;

/// The share of the survivable number that is used: gauges come late.
const SURVIVABLE_USED: f64 = 0.9;
/// The limit grows by one and falls by a quarter a reading: runs that wait for disk cannot be told from others.
const GROWTH: f64 = 1.0;
const FALL: f64 = 0.25;

/// The running limit of one server.
pub struct ConcurrencyLimit {
    cores: f64,
    pub(super) survivable: SurvivableLoad,
    pub(super) started_us: u64,
    /// How far the limit lies above the number of cores.
    pub(super) above_cores: f64,
}

impl ConcurrencyLimit {
    /// Of a server that started at `started_us`.
    pub fn new(cores: u32, survivable: SurvivableLoad, started_us: u64) -> ConcurrencyLimit {
        ConcurrencyLimit { cores: f64::from(cores), survivable, started_us, above_cores: 0.0 }
    }

    /// The least share of its speed that the server can have by now.
    pub fn warm_share(&self, now_us: u64) -> f64 {
        if !self.survivable.is_cold {
            return 1.0;
        }
        let warm_within_us = self.survivable.warm_within_us.max(1);
        let passed = (now_us - self.started_us) as f64 / warm_within_us as f64;
        self.survivable.min_cold_speed + (1.0 - self.survivable.min_cold_speed) * passed.min(1.0)
    }

    /// The most requests that may be on the cores or return to them from upstream calls.
    pub fn ceiling(&self, now_us: u64) -> usize {
        let survived = 1.0 + (self.survivable.requests_per_core - 1.0) * self.warm_share(now_us);
        ((survived * self.cores * SURVIVABLE_USED) as usize).max(1)
    }

    /// The most requests that may run at once.
    pub fn limit(&self, now_us: u64) -> usize {
        ((self.cores + self.above_cores) as usize).clamp(1, self.ceiling(now_us))
    }

    /// Takes a reading of the cores. `is_binding`: requests are queued only because the limit is reached.
    pub fn adjust(&mut self, now_us: u64, usage: &CoreUsage, is_binding: bool) {
        if is_binding && usage.has_idle_core() {
            let max_above = self.ceiling(now_us) as f64 - self.cores;
            self.above_cores = (self.above_cores + GROWTH).min(max_above).max(0.0);
        } else if usage.is_swamped() {
            self.above_cores = (self.above_cores - FALL).max(0.0);
        }
    }
}
