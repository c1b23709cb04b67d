//! Decides how much goes to farther zones: nothing while the near one has room, then as much as it takes, the same to each
//! far place. Counted per period; an integral step on the share of near calls that found no room, above a little that is
//! always there.

const PERIOD_US: u64 = 1_000_000;
/// The share without room that is borne without spilling.
const TOLERATED_SHARE: f64 = 0.02;
const STEP: f64 = 0.5;
/// A share of all calls in a period that is too little to act on.
const MIN_CALLS: u32 = 5;

#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneOverflow {
    share: f64,
    calls: u32,
    rejected: u32,
    period_ends_us: u64,
}

impl ZoneOverflow {
    /// A near place answered, or did not take a call.
    pub fn record_local(&mut self, now_us: u64, had_capacity: bool) {
        self.calls += 1;
        self.rejected += u32::from(!had_capacity);
        if now_us < self.period_ends_us || self.calls < MIN_CALLS {
            return;
        }
        // No wind-up: the share is endpoint between its ends, and a step is bounded by the error.
        let error = f64::from(self.rejected) / f64::from(self.calls) - TOLERATED_SHARE;
        self.share = (self.share + STEP * error).clamp(0.0, 1.0);
        (self.calls, self.rejected, self.period_ends_us) = (0, 0, now_us + PERIOD_US);
    }

    /// What a far place gets of a near one's share, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }
}
