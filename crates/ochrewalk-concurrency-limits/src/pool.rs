//! A pool: its limit, its baseline latency, and the samples of the current period.

use crate::adaptive_limit::{AdaptiveLimit, LimitAlgorithm, PeriodSample};
use crate::baseline_latency::BaselineLatency;
use crate::config::PoolConfig;

/// The maximum number of latencies that are stored per period; more would hardly change the median.
const MAX_LATENCIES: usize = 512;
/// The smoothing factor of the latency, for a period with enough calls. Without smoothing, the baseline would be the minimum
/// of many medians of few calls each, which is far below the usual latency.
const SMOOTHING: f64 = 0.3;
/// The number of calls in a period below which the smoothing factor is reduced proportionally.
const FULL_WEIGHT_CALLS: f64 = 20.0;

#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub limit: AdaptiveLimit,
    pub baseline: BaselineLatency,
    pub max_in_flight: u32,
    /// The limit when a change was last reported.
    pub reported_limit: f64,
    smoothed_latency_us: Option<f64>,
    latencies_us: Vec<u64>,
    ended: u32,
    rejected: u32,
}

impl Pool {
    pub fn new(algorithm: LimitAlgorithm, config: &PoolConfig, phase: u32) -> Pool {
        let limit = AdaptiveLimit::new(algorithm, config.initial, config.min, config.max);
        Pool {
            limit: if config.uses_reserve { limit.with_priority() } else { limit },
            baseline: BaselineLatency::new(phase),
            max_in_flight: 0,
            reported_limit: f64::from(config.initial),
            smoothed_latency_us: None,
            latencies_us: Vec::new(),
            ended: 0,
            rejected: 0,
        }
    }

    pub fn call_succeeded(&mut self, took_us: u64) {
        self.ended += 1;
        if self.latencies_us.len() < MAX_LATENCIES {
            self.latencies_us.push(took_us);
        }
    }

    pub fn call_rejected(&mut self) {
        self.ended += 1;
        self.rejected += 1;
    }

    /// Ends a period in which `allowed` calls were allowed in flight, and adjusts the limit by its sample.
    pub fn end_period(&mut self, allowed: f64) -> PeriodSample {
        let latency_us = self.smooth_latency();
        self.baseline.end_period(latency_us);
        let latency_ratio = latency_us
            .zip(self.baseline.us())
            .map(|(latency_us, baseline_us)| latency_us / baseline_us.max(1.0));
        let utilization = f64::from(self.max_in_flight) / allowed.max(1.0);
        let sample = PeriodSample { ended: self.ended, rejected: self.rejected, latency_ratio, utilization };
        self.limit.end_period(&sample);
        self.latencies_us.clear();
        (self.ended, self.rejected) = (0, 0);
        sample
    }

    /// Moves the smoothed latency towards the period's median and returns it; `None` if no call succeeded in the period.
    fn smooth_latency(&mut self) -> Option<f64> {
        self.latencies_us.sort_unstable();
        let count = self.latencies_us.len();
        let median_us = *self.latencies_us.get(count / 2)? as f64;
        let weight = SMOOTHING * (count as f64 / FULL_WEIGHT_CALLS).min(1.0);
        let before_us = self.smoothed_latency_us.unwrap_or(median_us);
        self.smoothed_latency_us = Some(before_us + (median_us - before_us) * weight);
        self.smoothed_latency_us
    }
}
