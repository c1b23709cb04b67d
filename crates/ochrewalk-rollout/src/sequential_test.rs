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
    over: f64,
    /// The spread of that.
    spread: f64,
    /// By how much each point of harm would have raised it.
    reach: f64,
}

/// The log of the mixture's ratio for a sum that is so far to the one side.
fn beyond(sum: f64, spread: f64) -> f64 {
    if sum <= 0.0 {
        return 0.0;
    }
    let wide = spread + AWAKE;
    let z = sum / wide.sqrt();
    // Only one side counts: twice the upper half of the mixture.
    let above = Normal::standard().cdf(z).max(0.5);
    0.5 * (AWAKE / wide).ln() + z * z / 2.0 + (2.0 * above).ln()
}

/// The mixture is widest awake at about this spread: some ten failures seen.
const AWAKE: f64 = 10.0;

impl SequentialTest {
    /// Adds a moment. `uneven` is by how much nodes differ among themselves beyond chance, 1 or more.
    pub fn add(&mut self, table: &ContingencyTable, uneven: f64) {
        let ContingencyTable { changed, changed_failed, others, others_failed } = *table;
        let all = changed + others;
        if changed <= 0.0 || others <= 0.0 {
            return;
        }
        let failed = changed_failed + others_failed;
        self.over += changed_failed - changed * failed / all;
        if all > 1.0 {
            let spread = changed * others * failed * (all - failed) / (all * all * (all - 1.0));
            self.spread += spread * uneven.max(1.0);
        }
        self.reach += changed * others / all;
    }

    /// The log of how much likelier this is under harm than without: beyond ln(1/a) it comes by chance, at any time,
    /// in one case of 1/a at most.
    pub fn of_harm(&self) -> f64 {
        beyond(self.over, self.spread)
    }

    /// The same of harm of that size, as a share of calls, being absent.
    pub fn against(&self, harm: f64) -> f64 {
        let expected = harm * self.reach;
        // Harmed calls would have had a spread of their own.
        beyond(expected - self.over, self.spread + expected * (1.0 - harm))
    }

    /// Calls of either side that stand against calls of the other.
    pub fn reach(&self) -> f64 {
        self.reach
    }

    /// The harm seen, as a share of calls.
    pub fn harm(&self) -> f64 {
        self.over / self.reach.max(1.0)
    }
}
