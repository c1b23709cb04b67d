//! Controls how many calls go to other zones: none while the local zone serves its calls, then as many as it rejects, spread
//! evenly over the remote endpoints. Once a second an integral controller compares the fraction of local calls that were not
//! served with a small tolerated fraction.

const PERIOD_US: u64 = 1_000_000;
/// The fraction of unserved local calls up to which no calls go to other zones.
const MAX_UNSERVED_FRACTION: f64 = 0.02;
/// The integral gain.
const GAIN: f64 = 0.5;
/// The minimum number of calls of a period; a period with fewer is extended.
const MIN_CALLS: u32 = 5;

/// The controller of the calls that go to other zones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneOverflow {
    /// The factor of the weight of remote endpoints relative to local ones, from 0 to 1.
    remote_factor: f64,
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
        let error = f64::from(self.unserved) / f64::from(self.calls) - MAX_UNSERVED_FRACTION;
        self.remote_factor = (self.remote_factor + GAIN * error).clamp(0.0, 1.0);
        (self.calls, self.unserved, self.period_ends_us) = (0, 0, now_us + PERIOD_US);
    }

    /// Returns the factor of the weight of remote endpoints relative to local ones, from 0 to 1.
    pub fn remote_factor(&self) -> f64 {
        self.remote_factor
    }
}
