//! Service times at this server: a latency histogram, and an estimator of run times by method.

/// The weight of one run in the moving mean of its method.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// The unit of the ratio of a run time to its method's mean: the histogram counts thousandths.
const RATIO_UNIT: f64 = 1_000.0;
/// The assumed ratio for any quantile, in thousandths, before the first few runs.
const UNKNOWN_RATIO: u64 = 1_500;

/// A histogram of latencies with bins that grow by half. All counts are halved when the histogram holds many samples,
/// so that recent samples have more weight.
#[derive(Default)]
pub(super) struct LatencyHistogram {
    pub bins: [u16; LatencyHistogram::BINS],
    pub total: u16,
}

impl LatencyHistogram {
    pub const BINS: usize = 28;
    /// The upper bound of the first bin.
    const FIRST_BIN: f64 = 500.0;
    const BIN_GROWTH: f64 = 1.5;
    /// The number of samples at which all counts are halved.
    const MAX_SAMPLES: u16 = 32;
    /// The number of samples below which quantiles are unknown.
    const MIN_SAMPLES: u16 = 4;

    pub fn add(&mut self, value: u64) {
        let bin = (value as f64 / Self::FIRST_BIN).max(1.0).log(Self::BIN_GROWTH) as usize;
        self.bins[bin.min(Self::BINS - 1)] += 1;
        self.total += 1;
        if self.total >= Self::MAX_SAMPLES {
            self.bins.iter_mut().for_each(|samples| *samples /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    /// Returns the middle of the bin that contains the given quantile, or `None` before the first few samples.
    pub fn quantile(&self, quantile: f64) -> Option<u64> {
        let mut samples_before = (f64::from(self.total) * quantile) as u16;
        for (bin, samples) in self.bins.iter().enumerate() {
            if *samples > samples_before {
                let middle = Self::FIRST_BIN * Self::BIN_GROWTH.powf(bin as f64 + 0.5);
                return (self.total >= Self::MIN_SAMPLES).then_some(middle as u64);
            }
            samples_before -= *samples;
        }
        None
    }
}

/// Estimates run times from a slow moving mean per method, relative to the work hint if requests have one, and from the
/// ratio of recent runs to these means over all methods together. The common ratio detects a server that becomes slow:
/// each method alone runs too rarely to show that in time. The cost is that a slowdown of a single method raises the
/// estimates of all.
pub(super) struct ServiceTimeEstimator {
    pub means: Vec<f64>,
    /// Recent run times relative to the mean of their method, in thousandths.
    pub ratios: LatencyHistogram,
}

impl ServiceTimeEstimator {
    pub fn new(methods: usize) -> ServiceTimeEstimator {
        ServiceTimeEstimator { means: vec![0.0; methods], ratios: LatencyHistogram::default() }
    }

    /// Records a run time. `hint_us` is the work hint of the request.
    pub fn add(&mut self, method: usize, took_us: u64, hint_us: Option<u64>) {
        let relative_time = took_us as f64 / hint_us.map_or(1.0, |hint| hint.max(1) as f64);
        let mean = &mut self.means[method];
        if *mean == 0.0 {
            *mean = relative_time;
        } else {
            self.ratios.add((RATIO_UNIT * relative_time / *mean) as u64);
            *mean += (relative_time - *mean) * MEAN_WEIGHT;
        }
    }

    /// Returns the given quantile of a request's run time. Before the method's first run, returns one and a half times
    /// the hint, or `unknown_us` without a hint.
    pub fn estimate_us(&self, method: usize, quantile: f64, hint_us: Option<u64>, unknown_us: u64) -> u64 {
        let mean = self.means[method];
        if mean == 0.0 {
            return hint_us.map_or(unknown_us, |hint| hint * 3 / 2);
        }
        let mean_us = mean * hint_us.map_or(1.0, |hint| hint as f64);
        let ratio = self.ratios.quantile(quantile).unwrap_or(UNKNOWN_RATIO);
        (mean_us * ratio as f64 / RATIO_UNIT) as u64
    }
}
