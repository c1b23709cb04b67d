//! Decides whether calls fail more often on changed nodes than on unchanged ones, by a sequential test: it
//! may be evaluated after each sample without raising the false alarm rate.
//!
//! Without harm, calls of the same sample, zone and method fail with the same probability on both sides. The
//! expected number of failures on the changed side and its variance then follow from the totals (Mantel and
//! Haenszel, 1959), so that the probability of each sample need not be estimated. The sum of failures in
//! excess of the expected number is compared with the boundary of a mixture (Robbins, 1970), whose time scale
//! is the sum of the variances. Without harm the sum ever crosses the boundary with at most the stated
//! probability.

use statrs::distribution::{ContinuousCDF, Normal};

/// The variance at which the mixture is most sensitive, which corresponds to about ten observed failures.
const MOST_SENSITIVE_VARIANCE: f64 = 10.0;

/// Calls and failures of both sides in one sample, zone and method.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ContingencyTable {
    /// Calls on changed nodes.
    pub changed: f64,
    /// Failed calls on changed nodes.
    pub changed_failed: f64,
    /// Calls on unchanged nodes.
    pub unchanged: f64,
    /// Failed calls on unchanged nodes.
    pub unchanged_failed: f64,
}

/// The evidence for and against harm from all samples since the test began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SequentialTest {
    /// Failures on changed nodes in excess of the expected number.
    excess_failures: f64,
    /// The variance of `excess_failures`.
    variance: f64,
    /// The amount by which harm of 1, where all calls fail, would have raised `excess_failures`.
    effective_calls: f64,
}

impl SequentialTest {
    /// Adds a table. `overdispersion` is the factor by which unchanged nodes differ from each other beyond
    /// chance; 1 if they do not.
    pub fn add(&mut self, table: &ContingencyTable, overdispersion: f64) {
        let ContingencyTable { changed, changed_failed, unchanged, unchanged_failed } = *table;
        let all = changed + unchanged;
        if changed <= 0.0 || unchanged <= 0.0 {
            return;
        }
        let failed = changed_failed + unchanged_failed;
        self.excess_failures += changed_failed - changed * failed / all;
        if all > 1.0 {
            let variance = changed * unchanged * failed * (all - failed) / (all * all * (all - 1.0));
            self.variance += variance * overdispersion.max(1.0);
        }
        self.effective_calls += changed * unchanged / all;
    }

    /// Returns the natural logarithm of the likelihood ratio of harm to no harm. Without harm it ever exceeds
    /// ln(1/a) in a share of at most a of all tests.
    pub fn log_likelihood_ratio_of_harm(&self) -> f64 {
        log_mixture_ratio(self.excess_failures, self.variance)
    }

    /// Returns the natural logarithm of the likelihood ratio for the absence of harm of that size, a share of
    /// calls.
    pub fn log_likelihood_ratio_of_no_harm(&self, harm: f64) -> f64 {
        let expected = harm * self.effective_calls;
        // Harmed calls would have added their binomial variance.
        log_mixture_ratio(expected - self.excess_failures, self.variance + expected * (1.0 - harm))
    }

    /// Returns the effective number of calls of one side that were compared with calls of the other.
    pub fn effective_calls(&self) -> f64 {
        self.effective_calls
    }

    /// Returns the observed harm: the share of calls on changed nodes that failed in excess.
    pub fn estimated_harm(&self) -> f64 {
        self.excess_failures / self.effective_calls.max(1.0)
    }
}

/// Returns the logarithm of the mixture's likelihood ratio for a one-sided deviation of the sum.
fn log_mixture_ratio(sum: f64, variance: f64) -> f64 {
    if sum <= 0.0 {
        return 0.0;
    }
    let mixed_variance = variance + MOST_SENSITIVE_VARIANCE;
    let z = sum / mixed_variance.sqrt();
    // The test is one-sided, so twice the upper half of the mixture counts.
    let upper_half = Normal::standard().cdf(z).max(0.5);
    0.5 * (MOST_SENSITIVE_VARIANCE / mixed_variance).ln() + z * z / 2.0 + (2.0 * upper_half).ln()
}
