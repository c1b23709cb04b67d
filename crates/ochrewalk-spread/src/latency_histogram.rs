//! Decides how long an answer usually takes here, from all that came lately: a coarse histogram, halved as it fills, so
//! that the old fades by itself.

/// Four buckets to each doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 160;
/// At so many answers all counts are halved.
const HALVING_TOTAL: u32 = 512;
/// Fewer answers than this tell nothing of the rare ones.
const MIN_SAMPLES: u32 = 24;

#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: [u32; BUCKETS],
    total: u32,
    /// Kept at hand: the choice asks for both at each call.
    median_us: f64,
    p95_us: f64,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram { counts: [0; BUCKETS], total: 0, median_us: 1_000.0, p95_us: f64::MAX }
    }
}

impl LatencyHistogram {
    /// ```
    /// use ochrewalk_spread::LatencyHistogram;
    /// let mut latencies = LatencyHistogram::default();
    /// (0..90).for_each(|_| latencies.record(1_000));
    /// (0..10).for_each(|_| latencies.record(80_000));
    /// assert!((800.0..1_300.0).contains(&latencies.median_us()));
    /// assert!((60_000.0..100_000.0).contains(&latencies.p95_us()));
    /// ```
    pub fn record(&mut self, took_us: u64) {
        let bucket = (((took_us.max(1)) as f64).log2() * BUCKETS_PER_DOUBLING) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= HALVING_TOTAL {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        // The marks move little from one answer to the next.
        if self.total < MIN_SAMPLES || self.total.is_multiple_of(8) {
            self.median_us = self.quantile(0.5);
            self.p95_us = if self.total < MIN_SAMPLES { f64::MAX } else { self.quantile(0.95) };
        }
    }

    /// The median.
    pub fn median_us(&self) -> f64 {
        self.median_us
    }

    /// What one in twenty exceeds; endless where too little is known.
    pub fn p95_us(&self) -> f64 {
        self.p95_us
    }

    fn quantile(&self, share: f64) -> f64 {
        let mut left = self.total as f64 * share;
        for (bucket, count) in self.counts.iter().enumerate() {
            left -= f64::from(*count);
            if left < 0.0 {
                return ((bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2();
            }
        }
        (BUCKETS as f64 / BUCKETS_PER_DOUBLING).exp2()
    }
}
