//! A factor of an endpoint's weight that a node learns from its own few samples of latency and success. An endpoint counts
//! as average until many replies indicate otherwise, and old replies decay, so that an endpoint that was slow gets calls
//! again.

/// The number of replies of average latency that are added to those of an endpoint as a prior, so that a few slow replies,
/// which may be due to chance, change little.
const PRIOR_LATENCIES: f64 = 4.0;
/// The number of calls of average success rate that are added as a prior. The number is lower than for latencies because
/// queueing does not cause failures.
const PRIOR_OUTCOMES: f64 = 2.0;
/// The half-life of learned samples, in microseconds.
const HALF_LIFE_US: f64 = 15_000_000.0;
/// The largest latency, as a multiple of the median, that counts as ordinary: a queue causes such latencies, and has drained
/// before a node could react.
const ORDINARY_RATIO: f64 = 1.5;
/// The success rate, relative to the average of all endpoints, below which an endpoint counts as faulty.
const MIN_RELATIVE_SUCCESS: f64 = 0.8;
/// The maximum of a recorded latency, as a multiple of the median, so that a single reply does not outweigh all others.
const MAX_RATIO: f64 = 20.0;
/// The part of an endpoint's excess latency and failures that one ordinary reply removes.
const RECOVERY_RATE: f64 = 0.3;
/// The minimum factor. With a lower one an endpoint could get too few calls for its recovery to be noticed.
const MIN_FACTOR: f64 = 0.02;
/// The smoothing factor of the averages over all endpoints, by call.
const AVERAGES_SMOOTHING: f64 = 1.0 / 128.0;
/// The lower bound of the average success rate as a divisor.
const MIN_AVERAGE_SUCCESS: f64 = 0.01;

/// The moving averages over the calls to all endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointAverages {
    /// The share of calls that succeed.
    pub success_rate: f64,
    /// The average of latencies divided by their median; at least 1, and more if some calls take very long.
    pub latency_ratio: f64,
}

impl Default for EndpointAverages {
    fn default() -> EndpointAverages {
        EndpointAverages { success_rate: 1.0, latency_ratio: 1.0 }
    }
}

impl EndpointAverages {
    pub fn record_success(&mut self, took_us: u64, median_us: f64) {
        self.success_rate += (1.0 - self.success_rate) * AVERAGES_SMOOTHING;
        let step = (latency_ratio(took_us, median_us) - self.latency_ratio) * AVERAGES_SMOOTHING;
        self.latency_ratio = (self.latency_ratio + step).max(1.0);
    }

    pub fn record_failure(&mut self) {
        self.success_rate += (0.0 - self.success_rate) * AVERAGES_SMOOTHING;
    }
}

fn latency_ratio(took_us: u64, median_us: f64) -> f64 {
    (took_us as f64 / median_us.max(1.0)).min(MAX_RATIO)
}

/// The samples of one endpoint, as sums over its calls that decay with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LearnedWeight {
    calls: f64,
    successes: f64,
    /// The number of calls with a latency.
    timed_calls: f64,
    /// The sum of those latencies, each divided by the median.
    latency_ratio_sum: f64,
    updated_us: u64,
}

impl LearnedWeight {
    fn decay(&mut self, now_us: u64) {
        let decay = 0.5f64.powf(now_us.saturating_sub(self.updated_us) as f64 / HALF_LIFE_US);
        self.updated_us = self.updated_us.max(now_us);
        self.calls *= decay;
        self.successes *= decay;
        self.timed_calls *= decay;
        self.latency_ratio_sum *= decay;
    }

    /// Records a call that succeeded after `took_us`, where `median_us` is the median over all endpoints.
    pub fn succeeded(&mut self, now_us: u64, took_us: u64, median_us: f64) {
        self.decay(now_us);
        self.calls += 1.0;
        self.successes += 1.0;
        self.timed_calls += 1.0;
        let ratio = latency_ratio(took_us, median_us);
        self.latency_ratio_sum += ratio;
        // An ordinary reply outweighs earlier slow ones and failures, so that an endpoint gets its share soon after it has
        // recovered.
        if ratio <= ORDINARY_RATIO {
            self.latency_ratio_sum -= (self.latency_ratio_sum - self.timed_calls).max(0.0) * RECOVERY_RATE;
            self.calls -= (self.calls - self.successes) * RECOVERY_RATE;
        }
    }

    /// Records a failed call. Its latency does not count: an endpoint that fails immediately is not a fast one.
    pub fn failed(&mut self, now_us: u64) {
        self.decay(now_us);
        self.calls += 1.0;
    }

    /// Records a call that timed out: a failure, with the maximum latency that can be recorded.
    pub fn timed_out(&mut self, now_us: u64) {
        self.failed(now_us);
        self.timed_calls += 1.0;
        self.latency_ratio_sum += MAX_RATIO;
    }

    /// The factor of the endpoint's weight, from `MIN_FACTOR` to 1. If all endpoints are equally slow, or fail equally often,
    /// none is reduced.
    pub fn factor(&self, now_us: u64, averages: &EndpointAverages) -> f64 {
        let mut current = *self;
        current.decay(now_us);
        let ratio = (current.latency_ratio_sum + PRIOR_LATENCIES * averages.latency_ratio)
            / (current.timed_calls + PRIOR_LATENCIES)
            / averages.latency_ratio;
        let speed = (ORDINARY_RATIO / ratio).min(1.0);
        let success_rate =
            (current.successes + PRIOR_OUTCOMES * averages.success_rate) / (current.calls + PRIOR_OUTCOMES);
        let relative_success = success_rate / averages.success_rate.max(MIN_AVERAGE_SUCCESS);
        let reliability = (relative_success / MIN_RELATIVE_SUCCESS).min(1.0);
        (speed * speed * reliability * reliability * reliability).max(MIN_FACTOR)
    }
}
