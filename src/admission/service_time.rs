//! How long requests take here: a histogram of latencies, and an estimator by method.

/// How far one run moves the mean of its method.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// A ratio of a run to its method's mean is counted in thousandths.
const RATIO_UNIT: f64 = 1_000.0;
/// What is taken for any quantile of the ratios before the first few runs.
const UNKNOWN_RATIO: u64 = 1_500;

/// Latencies in bins that grow by half; all are halved when many samples are in, so that late ones count more.
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
    /// All bins are halved at this many samples.
    const MAX_SAMPLES: u16 = 32;
    /// Fewer samples say nothing.
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

    /// The middle of the bin that holds the given quantile; none before the first few samples.
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

/// Estimates run times: for each method a slow mean, over the hint where requests carry one, and for all methods together
/// the ratio of late runs to these means. Guards against a server that gets slow: each method alone is seen too seldom to
/// show that in time. Harms where one method alone gets slow, as all are then taken to be slower.
pub(super) struct ServiceTimeEstimator {
    pub means: Vec<f64>,
    /// In thousandths of the mean.
    pub ratios: LatencyHistogram,
}

impl ServiceTimeEstimator {
    pub fn new(methods: usize) -> ServiceTimeEstimator {
        ServiceTimeEstimator { means: vec![0.0; methods], ratios: LatencyHistogram::default() }
    }

    /// A run took so long; `hint_us` is the work that the request announced.
    pub fn add(&mut self, method: usize, took_us: u64, hint_us: Option<u64>) {
        let took = took_us as f64 / hint_us.map_or(1.0, |hint| hint.max(1) as f64);
        let mean = &mut self.means[method];
        if *mean == 0.0 {
            *mean = took;
        } else {
            self.ratios.add((RATIO_UNIT * took / *mean) as u64);
            *mean += (took - *mean) * MEAN_WEIGHT;
        }
    }

    /// The given quantile of a request's run time; before the method's first run one and a half times the hint, or
    /// `unknown_us` without one.
    pub fn estimate_us(&self, method: usize, quantile: f64, hint_us: Option<u64>, unknown_us: u64) -> u64 {
        let mean = self.means[method];
        if mean == 0.0 {
            return hint_us.map_or(unknown_us, |hint| hint * 3 / 2);
        }
        let usual_us = mean * hint_us.map_or(1.0, |hint| hint as f64);
        let ratio = self.ratios.quantile(quantile).unwrap_or(UNKNOWN_RATIO);
        (usual_us * ratio as f64 / RATIO_UNIT) as u64
    }
}
