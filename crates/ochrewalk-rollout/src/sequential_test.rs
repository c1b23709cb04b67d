//! Decides what counts of two sides say together: whether changed nodes fail more, looked at again and again without
//! raising the rate of false stops.
//!
//! In each moment, zone and method calls fail on either side by the same chance where the change does nothing; how many of
//! the failures fall to the changed side is then known but for its spread (Mantel and Haenszel, 1959, without a table of
//! their own for each moment's chance). The sum of what is over that, with the sum of spreads as its time, is held against
//! the boundary of a mixture (Robbins, 1970), which a fair sum crosses at any time with at most the stated chance.

use statrs::distribution::{ContinuousCDF, Normal};

/// Calls and failures of both sides in one moment, zone and method.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ContingencyTable {
    pub changed: f64,
    pub changed_failed: f64,
    pub others: f64,
    pub others_failed: f64,
}

/// What has been seen from one moment on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SequentialTest {
    /// Failures of changed nodes over what was to be expected.
    excess_failures: f64,
    /// The spread of that.
    variance: f64,
    /// By how much each point of harm would have raised it.
    effective_calls: f64,
}

/// The log of the mixture's ratio for a sum that is so far to the one side.
fn log_mixture_ratio(sum: f64, variance: f64) -> f64 {
    if sum <= 0.0 {
        return 0.0;
    }
    let wide = variance + AWAKE;
    let z = sum / wide.sqrt();
    // Only one side counts: twice the upper half of the mixture.
    let above = Normal::standard().cdf(z).max(0.5);
    0.5 * (AWAKE / wide).ln() + z * z / 2.0 + (2.0 * above).ln()
}

/// The mixture is widest awake at about this spread: some ten failures seen.
const AWAKE: f64 = 10.0;

impl SequentialTest {
    /// Adds a moment. `uneven` is by how much nodes differ among themselves beyond chance, 1 or more.
    pub fn add(&mut self, table: &ContingencyTable, overdispersion: f64) {
        let ContingencyTable { changed, changed_failed, others, others_failed } = *table;
        let all = changed + others;
        if changed <= 0.0 || others <= 0.0 {
            return;
        }
        let failed = changed_failed + others_failed;
        self.excess_failures += changed_failed - changed * failed / all;
        if all > 1.0 {
            let variance = changed * others * failed * (all - failed) / (all * all * (all - 1.0));
            self.variance += variance * overdispersion.max(1.0);
        }
        self.effective_calls += changed * others / all;
    }

    /// The log of how much likelier this is under harm than without: beyond ln(1/a) it comes by chance, at any time,
    /// in one case of 1/a at most.
    pub fn log_ratio_of_harm(&self) -> f64 {
        log_mixture_ratio(self.excess_failures, self.variance)
    }

    /// The same of harm of that size, as a share of calls, being absent.
    pub fn log_ratio_against(&self, harm: f64) -> f64 {
        let expected = harm * self.effective_calls;
        // Harmed calls would have had a spread of their own.
        log_mixture_ratio(expected - self.excess_failures, self.variance + expected * (1.0 - harm))
    }

    /// Calls of either side that stand against calls of the other.
    pub fn effective_calls(&self) -> f64 {
        self.effective_calls
    }

    /// The harm seen, as a share of calls.
    pub fn estimated_harm(&self) -> f64 {
        self.excess_failures / self.effective_calls.max(1.0)
    }
}
