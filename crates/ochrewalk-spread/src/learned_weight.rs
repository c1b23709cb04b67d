//! Decides what a node's own few samples of a place are worth: its share of an even load. Each place is endpoint for an
//! ordinary one until many answers say otherwise, and what they said fades, so that one endpoint for slow is calls again.

/// So many answers in an ordinary time are added in thought: guards against a mean from three calls.
const PRIOR_LATENCIES: f64 = 4.0;
/// So many calls that fared as all do are added in thought. Fewer, as a failure is not of a queue's making.
const PRIOR_OUTCOMES: f64 = 2.0;
/// What was learned halves in this time.
const HALF_LIFE_US: f64 = 15_000_000.0;
/// Up to so many times the usual is nothing unusual: a queue does that, and it will be gone before we act.
const ORDINARY_RATIO: f64 = 1.5;
/// A place answers less than so much of what it is calls only where something is wrong with it.
const MIN_SUCCESS: f64 = 0.8;
/// One single answer counts for this many times the usual at most: guards against one that outweighs all others.
const MAX_RATIO: f64 = 20.0;
/// The part of all that was endpoint against a place that one ordinary answer takes off.
const FORGIVENESS: f64 = 0.3;
/// Nothing is ever shut out by what was learned: it could not be found well again.
const MIN_FACTOR: f64 = 0.02;

/// What all places do together, each answer weighing a little.
#[derive(Clone, Copy, Debug)]
pub struct EndpointAverages {
    /// The share of calls that are served.
    pub success_rate: f64,
    /// How long answers take over what is usual: more than 1 where some take very long.
    pub latency_ratio: f64,
}

impl Default for EndpointAverages {
    fn default() -> EndpointAverages {
        EndpointAverages { success_rate: 1.0, latency_ratio: 1.0 }
    }
}

/// How far one answer moves what is known of all.
const AVERAGES_STEP: f64 = 1.0 / 128.0;

impl EndpointAverages {
    pub fn record_outcome(&mut self, succeeded: bool) {
        self.success_rate += (f64::from(u8::from(succeeded)) - self.success_rate) * AVERAGES_STEP;
    }

    pub fn record_latency(&mut self, took_us: u64, median_us: f64) {
        self.latency_ratio = (self.latency_ratio
            + (latency_ratio(took_us, median_us) - self.latency_ratio) * AVERAGES_STEP)
            .max(1.0);
    }
}

fn latency_ratio(took_us: u64, median_us: f64) -> f64 {
    (took_us as f64 / median_us.max(1.0)).min(MAX_RATIO)
}

#[derive(Clone, Copy, Debug, Default)]
pub struct LearnedWeight {
    /// Sums over answers, faded: their number, times over the usual, those that were served, those with a time.
    calls: f64,
    timed_calls: f64,
    latency_ratio_sum: f64,
    successes: f64,
    updated_us: u64,
}

impl LearnedWeight {
    fn decay(&mut self, now_us: u64) {
        let decay = 0.5f64.powf(now_us.saturating_sub(self.updated_us) as f64 / HALF_LIFE_US);
        self.updated_us = self.updated_us.max(now_us);
        for sum in [&mut self.calls, &mut self.timed_calls, &mut self.latency_ratio_sum, &mut self.successes]
        {
            *sum *= decay;
        }
    }

    /// It served a call in this time, where the median of all is `median_us`.
    pub fn succeeded(&mut self, now_us: u64, took_us: u64, median_us: f64) {
        self.decay(now_us);
        self.calls += 1.0;
        self.successes += 1.0;
        self.timed_calls += 1.0;
        let ratio = latency_ratio(took_us, median_us);
        self.latency_ratio_sum += ratio;
        // Good news outweighs old bad news, so that a place that is well again has its share soon.
        if ratio <= ORDINARY_RATIO {
            self.latency_ratio_sum -= (self.latency_ratio_sum - self.timed_calls).max(0.0) * FORGIVENESS;
            self.calls -= (self.calls - self.successes) * FORGIVENESS;
        }
    }

    /// It failed one. However soon: that says nothing of how fast it is.
    pub fn failed(&mut self, now_us: u64) {
        self.decay(now_us);
        self.calls += 1.0;
    }

    /// It had one for so long that nobody waits any more: slow as can be told.
    pub fn timed_out(&mut self, now_us: u64) {
        self.failed(now_us);
        self.timed_calls += 1.0;
        self.latency_ratio_sum += MAX_RATIO;
    }

    /// From `MIN_FACTOR` to 1, beside what all places do: where all are slow, or fail, alike none is worse.
    pub fn factor(&self, now_us: u64, averages: &EndpointAverages) -> f64 {
        let mut now = *self;
        now.decay(now_us);
        let ratio = (now.latency_ratio_sum + PRIOR_LATENCIES * averages.latency_ratio)
            / (now.timed_calls + PRIOR_LATENCIES)
            / averages.latency_ratio;
        let speed = (ORDINARY_RATIO / ratio).min(1.0);
        let success = (now.successes + PRIOR_OUTCOMES * averages.success_rate) / (now.calls + PRIOR_OUTCOMES);
        let success = success / averages.success_rate.max(0.01);
        let reliability = (success / MIN_SUCCESS).min(1.0);
        (speed * speed * reliability * reliability * reliability).max(MIN_FACTOR)
    }
}
