//! The distribution of recent latencies as a coarse histogram. All counts are halved when a maximum total is reached, so
//! that old latencies decay.

/// The number of buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 160;
/// The total at which all counts are halved.
const HALVING_TOTAL: u32 = 512;
/// The minimum number of latencies for an estimate of the 95th percentile.
const MIN_SAMPLES: u32 = 24;
/// The number of latencies after which quantiles are computed again, once there are enough: a single latency changes them
/// little.
const QUANTILES_EVERY: u32 = 8;
/// The median before any latency has been recorded.
const INITIAL_MEDIAN_US: f64 = 1_000.0;

/// The distribution of recent latencies.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: [u32; BUCKETS],
    total: u32,
    /// The quantiles, cached because each choice of an endpoint reads both.
    median_us: f64,
    p95_us: f64,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram { counts: [0; BUCKETS], total: 0, median_us: INITIAL_MEDIAN_US, p95_us: f64::MAX }
    }
}

impl LatencyHistogram {
    /// Records a latency in microseconds.
    ///
    /// ```
    /// use ochrewalk_load_balancer::LatencyHistogram;
    /// let mut latencies = LatencyHistogram::default();
    /// (0..90).for_each(|_| latencies.record(1_000));
    /// (0..10).for_each(|_| latencies.record(80_000));
    /// assert!((800.0..1_300.0).contains(&latencies.median_us()));
    /// assert!((60_000.0..100_000.0).contains(&latencies.p95_us()));
    /// ```
    pub fn record(&mut self, took_us: u64) {
        let bucket = ((took_us.max(1) as f64).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= HALVING_TOTAL {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        if self.total < MIN_SAMPLES || self.total.is_multiple_of(QUANTILES_EVERY) {
            self.median_us = self.quantile(0.5);
            self.p95_us = if self.total < MIN_SAMPLES { f64::MAX } else { self.quantile(0.95) };
        }
    }

    /// The median in microseconds; 1,000 before any latency has been recorded.
    pub fn median_us(&self) -> f64 {
        self.median_us
    }

    /// The 95th percentile in microseconds; `f64::MAX` while too few latencies have been recorded.
    pub fn p95_us(&self) -> f64 {
        self.p95_us
    }

    fn quantile(&self, share: f64) -> f64 {
        let mut remaining = self.total as f64 * share;
        for (bucket, count) in self.counts.iter().enumerate() {
            remaining -= f64::from(*count);
            if remaining < 0.0 {
                return ((bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2();
            }
        }
        (BUCKETS as f64 / BUCKETS_PER_DOUBLING).exp2()
    }
}
