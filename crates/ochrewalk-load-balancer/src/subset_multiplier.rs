//! Enlarges the subset of a node with far more traffic than the others, whose calls in flight would otherwise overload its
//! endpoints. The multiplier is 1 for other nodes; it doubles quickly and halves slowly.

/// The interval at which the multiplier is computed, in microseconds.
const UPDATE_US: u64 = 1_000_000;
/// The number of consecutive updates that must need at most half the multiplier before it is halved.
const UPDATES_BEFORE_HALVING: u32 = 10;
/// The mean number of calls in flight that a node may have at one endpoint.
const CALLS_PER_ENDPOINT: f64 = 0.5;

/// The factor by which a node enlarges its subset.
#[derive(Clone, Copy, Debug)]
pub struct SubsetMultiplier {
    multiplier: usize,
    in_flight: usize,
    /// The integral of the calls in flight over the time since the last update, in microseconds.
    in_flight_us: f64,
    /// The time up to which `in_flight_us` is summed.
    summed_until_us: u64,
    updated_us: u64,
    updates_below: u32,
}

impl Default for SubsetMultiplier {
    fn default() -> SubsetMultiplier {
        SubsetMultiplier {
            multiplier: 1,
            in_flight: 0,
            in_flight_us: 0.0,
            summed_until_us: 0,
            updated_us: 0,
            updates_below: 0,
        }
    }
}

impl SubsetMultiplier {
    /// The current multiplier; at least 1.
    pub fn multiplier(&self) -> usize {
        self.multiplier
    }

    /// Records the start of a call at any endpoint.
    pub fn call_started(&mut self, now_us: u64) {
        self.advance(now_us);
        self.in_flight += 1;
    }

    /// Records the end of a call.
    pub fn call_ended(&mut self, now_us: u64) {
        self.advance(now_us);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn advance(&mut self, now_us: u64) {
        self.in_flight_us += self.in_flight as f64 * now_us.saturating_sub(self.summed_until_us) as f64;
        self.summed_until_us = self.summed_until_us.max(now_us);
    }

    /// Computes the multiplier once a second, for a node to which `subset_size` endpoints are assigned. Returns whether the
    /// multiplier changed.
    pub fn update(&mut self, now_us: u64, subset_size: usize) -> bool {
        let passed_us = now_us.saturating_sub(self.updated_us);
        if passed_us < UPDATE_US || subset_size == 0 {
            return false;
        }
        let mean_in_flight = self.in_flight_us / passed_us as f64;
        (self.in_flight_us, self.updated_us) = (0.0, now_us);
        let needed = (mean_in_flight / CALLS_PER_ENDPOINT / subset_size as f64).ceil().max(1.0) as usize;
        let before = self.multiplier;
        self.updates_below = if needed * 2 <= self.multiplier { self.updates_below + 1 } else { 0 };
        if needed > self.multiplier {
            self.multiplier *= 2;
        } else if self.updates_below >= UPDATES_BEFORE_HALVING {
            (self.multiplier, self.updates_below) = (self.multiplier / 2, 0);
        }
        self.multiplier != before
    }
}
