//! Decides how many multiplier its own few places a node calls: once, unless it has so much in hand that it would overrun them, as
//! one with far more traffic than the others does. By doublings, soon wider and late narrower.

/// How often it is looked at, and how many looks in a row have to agree on less.
const UPDATE_US: u64 = 1_000_000;
const UPDATES_BEFORE_HALVING: u32 = 10;
/// Calls in hand that a place is good for, on the mean.
const CALLS_PER_ENDPOINT: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
pub struct SubsetMultiplier {
    multiplier: usize,
    in_flight: usize,
    /// Calls in hand multiplier microseconds since the last look.
    call_us: f64,
    at_us: u64,
    updated_us: u64,
    updates_below: u32,
}

impl Default for SubsetMultiplier {
    fn default() -> SubsetMultiplier {
        SubsetMultiplier {
            multiplier: 1,
            in_flight: 0,
            call_us: 0.0,
            at_us: 0,
            updated_us: 0,
            updates_below: 0,
        }
    }
}

impl SubsetMultiplier {
    pub fn multiplier(&self) -> usize {
        self.multiplier
    }

    pub fn call_started(&mut self, now_us: u64) {
        self.advance(now_us);
        self.in_flight += 1;
    }

    pub fn call_ended(&mut self, now_us: u64) {
        self.advance(now_us);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn advance(&mut self, now_us: u64) {
        self.call_us += self.in_flight as f64 * now_us.saturating_sub(self.at_us) as f64;
        self.at_us = self.at_us.max(now_us);
    }

    /// Whether it has changed, where a node's own places are so many.
    pub fn update(&mut self, now_us: u64, subset_size: usize) -> bool {
        let passed_us = now_us.saturating_sub(self.updated_us);
        if passed_us < UPDATE_US || subset_size == 0 {
            return false;
        }
        let mean = self.call_us / passed_us as f64;
        (self.call_us, self.updated_us) = (0.0, now_us);
        let needed = (mean / CALLS_PER_ENDPOINT / subset_size as f64).ceil().max(1.0) as usize;
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
