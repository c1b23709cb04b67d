//! What a node's own few samples say of an endpoint, as a factor of its weight. An endpoint counts as an ordinary one until
//! many answers say otherwise, and old answers count less and less, so that one that was slow gets calls again.

/// So many answers of an average latency are added to those of an endpoint: a few slow ones do not outweigh chance.
const PRIOR_LATENCIES: f64 = 4.0;
/// So many calls of the average success rate are added. Fewer than for latencies, as a failure is not a matter of queueing.
const PRIOR_OUTCOMES: f64 = 2.0;
/// What was learned counts half after this time.
const HALF_LIFE_US: f64 = 15_000_000.0;
/// Up to this many times the median, a latency is ordinary: a queue causes that, and it has gone before a node could react.
const ORDINARY_RATIO: f64 = 1.5;
/// Below this success rate, over the average of all endpoints, an endpoint is at fault.
const MIN_SUCCESS: f64 = 0.8;
/// One answer counts as this many times the median at most, so that it does not outweigh all others.
const MAX_RATIO: f64 = 20.0;
/// Which part of what counts against an endpoint one ordinary answer takes away.
const FORGIVENESS: f64 = 0.3;
/// No endpoint gets less for what was learned, or its recovery would never be seen.
const MIN_FACTOR: f64 = 0.02;
/// How far one call moves the averages of all endpoints.
const AVERAGES_STEP: f64 = 1.0 / 128.0;
/// Bounds the division by the average success rate.
const MIN_AVERAGE_SUCCESS: f64 = 0.01;

/// Moving averages over the calls to all endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointAverages {
    /// The share of calls that succeed.
    pub success_rate: f64,
    /// Latencies over their median; at least 1, and more where some calls take very long.
    pub latency_ratio: f64,
}

impl Default for EndpointAverages {
    fn default() -> EndpointAverages {
        EndpointAverages { success_rate: 1.0, latency_ratio: 1.0 }
    }
}

impl EndpointAverages {
    pub fn record_success(&mut self, took_us: u64, median_us: f64) {
        self.success_rate += (1.0 - self.success_rate) * AVERAGES_STEP;
        let step = (latency_ratio(took_us, median_us) - self.latency_ratio) * AVERAGES_STEP;
        self.latency_ratio = (self.latency_ratio + step).max(1.0);
    }

    pub fn record_failure(&mut self) {
        self.success_rate += (0.0 - self.success_rate) * AVERAGES_STEP;
    }
}

fn latency_ratio(took_us: u64, median_us: f64) -> f64 {
    (took_us as f64 / median_us.max(1.0)).min(MAX_RATIO)
}

/// What was learned of one endpoint: sums over its calls that decay with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LearnedWeight {
    calls: f64,
    successes: f64,
    /// Calls with a latency, and the sum of those over the median.
    timed_calls: f64,
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

    /// A call succeeded after `took_us`, where `median_us` is the median over all endpoints.
    pub fn succeeded(&mut self, now_us: u64, took_us: u64, median_us: f64) {
        self.decay(now_us);
        self.calls += 1.0;
        self.successes += 1.0;
        self.timed_calls += 1.0;
        let ratio = latency_ratio(took_us, median_us);
        self.latency_ratio_sum += ratio;
        // A good answer outweighs earlier bad ones, so that an endpoint gets its share soon after it has recovered.
        if ratio <= ORDINARY_RATIO {
            self.latency_ratio_sum -= (self.latency_ratio_sum - self.timed_calls).max(0.0) * FORGIVENESS;
            self.calls -= (self.calls - self.successes) * FORGIVENESS;
        }
    }

    /// A call failed. Its latency does not count: an endpoint that fails at once is not a fast one.
    pub fn failed(&mut self, now_us: u64) {
        self.decay(now_us);
        self.calls += 1.0;
    }

    /// A call timed out: a failure, and as slow as can be recorded.
    pub fn timed_out(&mut self, now_us: u64) {
        self.failed(now_us);
        self.timed_calls += 1.0;
        self.latency_ratio_sum += MAX_RATIO;
    }

    /// The factor of the endpoint's weight, from `MIN_FACTOR` to 1. Where all endpoints are equally slow, or fail equally
    /// often, none gets less.
    pub fn factor(&self, now_us: u64, averages: &EndpointAverages) -> f64 {
        let mut now = *self;
        now.decay(now_us);
        let ratio = (now.latency_ratio_sum + PRIOR_LATENCIES * averages.latency_ratio)
            / (now.timed_calls + PRIOR_LATENCIES)
            / averages.latency_ratio;
        let speed = (ORDINARY_RATIO / ratio).min(1.0);
        let success_rate =
            (now.successes + PRIOR_OUTCOMES * averages.success_rate) / (now.calls + PRIOR_OUTCOMES);
        let relative_success = success_rate / averages.success_rate.max(MIN_AVERAGE_SUCCESS);
        let reliability = (relative_success / MIN_SUCCESS).min(1.0);
        (speed * speed * reliability * reliability * reliability).max(MIN_FACTOR)
    }
}
