//! The integral controller (paper 2.1, docs/design.md). Upstream calls are counted per period, and the difference
//! between their setpoint and the count determines how many requests may start in the next period. The controller does
//! not limit anything before the first sign of upstream overload: a time-out, a rejection, or more calls than this
//! server's share of the number that the upstream survives.
//!
//! | here | paper | meaning |
//! | --- | --- | --- |
//! | `call_setpoint` | r | the target number of upstream calls per period |
//! | `admission_limit` | u | the number of requests that may start per period |
//! | `observed_calls` | y | the number of upstream calls placed in this period |
//! | `INTEGRAL_GAIN` | K_I | the change of u per unit of the error e = r - y |

/// The controller's period. The project's design page says to start with 1 s.
pub(super) const PERIOD_US: u64 = 1_000_000;
/// The paper's K_I (2.1).
const INTEGRAL_GAIN: f64 = 1.0;
/// The share of the setpoint that the calls of a period must reach for the setpoint to grow.
const NEAR_SETPOINT_SHARE: f64 = 0.9;
/// The factor by which the setpoint grows, and the divisor that reduces it after overload. The setpoint grows by half
/// and is halved, so that it recovers within a few periods.
const SETPOINT_GROWTH: f64 = 1.5;
const SETPOINT_DIVISOR: f64 = 2.0;
/// The number of consecutive overloaded periods after which the setpoint is halved. A single one may be chance.
const OVERLOADED_PERIODS: u32 = 2;
/// The ratio of overload signs to calls from which a period counts as overloaded. A lower ratio is normal, as an
/// upstream fleet always has one hot server.
const OVERLOAD_SIGN_RATIO: f64 = 0.3;
/// The factor per period by which the maxima of past periods decay.
const MAXIMA_DECAY: f64 = 0.9;
/// The upper bound of the admission limit, as a multiple of the setpoint. The bound prevents integral wind-up in
/// periods with little traffic.
const MAX_LIMIT_OVER_SETPOINT: f64 = 4.0;

/// The integral loop of one server.
#[derive(Default)]
pub struct IntegralController {
    /// Whether a sign of overload has been seen. Setpoint and limit apply from then on.
    pub is_limiting: bool,
    /// The target number of upstream calls per period.
    pub call_setpoint: f64,
    /// The number of requests that may start per period.
    pub admission_limit: f64,
    pub(super) observed_calls: f64,
    /// The decaying maximum of calls in a past period.
    pub(super) max_calls: f64,
    /// Requests started in this period whose class makes calls.
    pub(super) started: f64,
    /// The decaying maximum of requests started in a past period.
    pub(super) max_started: f64,
    /// The number of calls that the requests started in this period are expected to make.
    pub(super) predicted_calls: f64,
    /// Whether a start was held back in this period because the predicted calls reached the setpoint. Such a period
    /// counts as near the setpoint, even though the number of calls placed is a whole number and may be lower.
    pub(super) has_reached_setpoint: bool,
    pub(super) overload_signs: f64,
    pub(super) overloaded_periods: u32,
    pub(super) period_ends_us: u64,
}

impl IntegralController {
    /// Creates a controller whose first period begins now.
    pub fn new(now_us: u64) -> IntegralController {
        IntegralController { period_ends_us: now_us + PERIOD_US, ..IntegralController::default() }
    }

    /// Counts an upstream call that was placed.
    pub fn call_placed(&mut self) {
        self.observed_calls += 1.0;
    }

    /// Counts a started request, whose class makes `mean_calls` calls on average. Classes that never call do not count
    /// against the limit (ours): the paper notes that such requests were delayed for nothing.
    pub fn request_started(&mut self, mean_calls: f64) {
        self.predicted_calls += mean_calls;
        if mean_calls > 0.0 {
            self.started += 1.0;
        }
    }

    /// Counts a sign of upstream overload. The first sign sets the setpoint and the limit to the maxima of recent
    /// periods, because calls that hang become signs only seconds later, when few calls succeed any more.
    pub fn upstream_overloaded(&mut self) {
        self.overload_signs += 1.0;
        if self.is_limiting {
            return;
        }
        self.is_limiting = true;
        self.call_setpoint = self.observed_calls.max(self.max_calls).max(1.0);
        self.admission_limit = self.started.max(self.max_started).max(1.0);
    }

    /// Whether one more request may start in this period, if its class makes `mean_calls` calls on average.
    pub fn has_capacity(&mut self, mean_calls: f64) -> bool {
        if !self.is_limiting || mean_calls <= 0.0 {
            return true;
        }
        let is_below_setpoint = self.predicted_calls + mean_calls <= self.call_setpoint.max(mean_calls);
        self.has_reached_setpoint |= !is_below_setpoint;
        is_below_setpoint && self.started < self.admission_limit
    }

    /// Returns the interval at which the controller lets requests of such a class start, in microseconds.
    pub(super) fn start_interval_us(&self, mean_calls: f64) -> u64 {
        if !self.is_limiting || mean_calls <= 0.0 {
            return 0;
        }
        let periods = (mean_calls / self.call_setpoint).max(1.0 / self.admission_limit);
        (PERIOD_US as f64 * periods) as u64
    }

    /// Ends the period if its end has been reached, and returns whether it did.
    pub fn end_period(&mut self, now_us: u64) -> bool {
        if now_us < self.period_ends_us {
            return false;
        }
        if self.is_limiting {
            self.adjust_setpoint();
            let error = self.call_setpoint - self.observed_calls;
            let max_limit = MAX_LIMIT_OVER_SETPOINT * self.call_setpoint;
            self.admission_limit = (self.admission_limit + INTEGRAL_GAIN * error).clamp(1.0, max_limit);
        }
        self.begin_period(now_us);
        true
    }

    fn adjust_setpoint(&mut self) {
        let is_overloaded =
            self.overload_signs >= 1.0 && self.overload_signs >= OVERLOAD_SIGN_RATIO * self.observed_calls;
        self.overloaded_periods = if is_overloaded { self.overloaded_periods + 1 } else { 0 };
        let is_near_setpoint =
            self.has_reached_setpoint || self.observed_calls >= NEAR_SETPOINT_SHARE * self.call_setpoint;
        if self.overloaded_periods >= OVERLOADED_PERIODS {
            self.overloaded_periods = 0;
            self.call_setpoint = (self.call_setpoint / SETPOINT_DIVISOR).max(1.0);
        } else if !is_overloaded && is_near_setpoint {
            self.call_setpoint *= SETPOINT_GROWTH;
        }
    }

    fn begin_period(&mut self, now_us: u64) {
        self.max_calls = self.observed_calls.max(MAXIMA_DECAY * self.max_calls);
        self.max_started = self.started.max(MAXIMA_DECAY * self.max_started);
        self.observed_calls = 0.0;
        self.started = 0.0;
        self.predicted_calls = 0.0;
        self.overload_signs = 0.0;
        self.has_reached_setpoint = false;
        self.period_ends_us = now_us + PERIOD_US;
    }
}
