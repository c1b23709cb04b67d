//! Controls how many calls go to other zones: none while the local zone serves its calls, then as many as it rejects, spread
//! evenly over the remote endpoints. Once a second an integral controller compares the share of local calls that were not
//! served with a small tolerated share.

const PERIOD_US: u64 = 1_000_000;
/// The share of unserved local calls up to which no calls go to other zones.
const TOLERATED_SHARE: f64 = 0.02;
/// The integral gain.
const GAIN: f64 = 0.5;
/// The minimum number of calls of a period; a period with fewer is extended.
const MIN_CALLS: u32 = 5;

/// The controller of the calls that go to other zones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneOverflow {
    share: f64,
    calls: u32,
    unserved: u32,
    period_ends_us: u64,
}

impl ZoneOverflow {
    /// Records a call that a local endpoint served.
    pub fn record_served(&mut self, now_us: u64) {
        self.calls += 1;
        self.end_period_if_over(now_us);
    }

    /// Records a call that a local endpoint did not serve.
    pub fn record_unserved(&mut self, now_us: u64) {
        self.calls += 1;
        self.unserved += 1;
        self.end_period_if_over(now_us);
    }

    fn end_period_if_over(&mut self, now_us: u64) {
        if now_us < self.period_ends_us || self.calls < MIN_CALLS {
            return;
        }
        // The clamp prevents integral windup; the error bounds each step.
        let error = f64::from(self.unserved) / f64::from(self.calls) - TOLERATED_SHARE;
        self.share = (self.share + GAIN * error).clamp(0.0, 1.0);
        (self.calls, self.unserved, self.period_ends_us) = (0, 0, now_us + PERIOD_US);
    }

    /// The share of a remote endpoint relative to that of a local one, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }
}
