//! Decides whether calls fail more on changed nodes than on unchanged ones, by a test that may be looked at after each sample
//! without raising the rate of false alarms.
//!
//! In each sample, zone and method, calls fail on either side with the same probability where the change does nothing. How
//! many of the failures fall to the changed side is then known but for its variance (Mantel and Haenszel, 1959, without a
//! table of their own for each sample's probability). The sum of failures in excess of that is held, with the sum of variances
//! as its clock, against the boundary of a mixture (Robbins, 1970), which a fair sum crosses at any time with at most the
//! stated probability.

use statrs::distribution::{ContinuousCDF, Normal};

/// The mixture is most sensitive at about this variance: some ten failures seen.
const MOST_SENSITIVE_VARIANCE: f64 = 10.0;

/// Calls and failures of both sides in one sample, zone and method.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ContingencyTable {
    /// Calls of changed nodes.
    pub changed: f64,
    /// Of those, the ones that failed.
    pub changed_failed: f64,
    /// Calls of unchanged nodes.
    pub unchanged: f64,
    /// Of those, the ones that failed.
    pub unchanged_failed: f64,
}

/// What is known from one sample on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SequentialTest {
    /// Failures of changed nodes in excess of what was to be expected.
    excess_failures: f64,
    /// The variance of `excess_failures`.
    variance: f64,
    /// By how much harm of 1, all calls failing, would have raised `excess_failures`.
    effective_calls: f64,
}

impl SequentialTest {
    /// Adds a table. `overdispersion` is by how much nodes differ among themselves beyond chance: 1 where they do not.
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

    /// The natural logarithm of how much likelier the excess is under harm than without. Without harm it is over ln(1/a) at any
    /// time in a share of at most a of all tests.
    pub fn log_ratio_of_harm(&self) -> f64 {
        log_mixture_ratio(self.excess_failures, self.variance)
    }

    /// The same for the absence of harm of that size, a share of calls.
    pub fn log_ratio_against(&self, harm: f64) -> f64 {
        let expected = harm * self.effective_calls;
        // Calls that were harmed would have had a variance of their own.
        log_mixture_ratio(expected - self.excess_failures, self.variance + expected * (1.0 - harm))
    }

    /// How many calls of one side were compared with calls of the other.
    pub fn effective_calls(&self) -> f64 {
        self.effective_calls
    }

    /// The harm seen: the share of calls of changed nodes that fail in excess.
    pub fn estimated_harm(&self) -> f64 {
        self.excess_failures / self.effective_calls.max(1.0)
    }
}

/// The logarithm of the mixture's likelihood ratio for a sum that deviates to one side.
fn log_mixture_ratio(sum: f64, variance: f64) -> f64 {
    if sum <= 0.0 {
        return 0.0;
    }
    let mixed_variance = variance + MOST_SENSITIVE_VARIANCE;
    let z = sum / mixed_variance.sqrt();
    // Only one side counts: twice the upper half of the mixture.
    let upper_half = Normal::standard().cdf(z).max(0.5);
    0.5 * (MOST_SENSITIVE_VARIANCE / mixed_variance).ln() + z * z / 2.0 + (2.0 * upper_half).ln()
}
