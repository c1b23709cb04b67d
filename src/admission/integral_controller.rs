//! The integral controller (paper 2.1, docs/design.md). Upstream calls are counted per period; the difference between the
//! setpoint and the count sets how many requests may start in the next period. Nothing is limited until a sign of overload
//! upstream: a time-out, a rejection, or calls above this server's part of what upstream survives.
//!
//! | here | paper | meaning |
//! | --- | --- | --- |
//! | `call_setpoint` | r | upstream calls a period that are aimed at |
//! | `admission_limit` | u | requests that may start in a period |
//! | `observed_calls` | y | upstream calls placed in this period |
//! | `INTEGRAL_GAIN` | K_I | how much of the difference e = r - y moves u |

/// The controller's period (the project's design page: start with 1 s).
pub(super) const PERIOD_US: u64 = 1_000_000;
/// The paper's K_I (2.1).
const INTEGRAL_GAIN: f64 = 1.0;
/// The setpoint grows when the calls of a period came this near to it.
const NEAR_SETPOINT: f64 = 0.9;
/// It grows by half, and halves after overload: it recovers within a few periods.
const SETPOINT_GROWTH: f64 = 1.5;
const SETPOINT_DIVISOR: f64 = 2.0;
/// The setpoint halves after so many overloaded periods in a row: one may be chance.
const OVERLOADED_PERIODS: u32 = 2;
/// A period is overloaded when signs of overload are this share of its calls: a fleet upstream always has one hot server.
const SIGN_SHARE: f64 = 0.3;
/// The maxima of past periods decay by this factor per period.
const MAX_DECAY: f64 = 0.9;
/// The admission limit stays below this multiple of the setpoint, so that quiet periods do not wind it up.
const MAX_LIMIT_OVER_SETPOINT: f64 = 4.0;

/// The integral loop of one server.
#[derive(Default)]
pub struct IntegralController {
    /// A sign of overload was seen: setpoint and limit hold from then on.
    pub is_limiting: bool,
    /// Upstream calls a period that are aimed at.
    pub call_setpoint: f64,
    /// Requests that may start in a period.
    pub admission_limit: f64,
    pub(super) observed_calls: f64,
    /// The most calls of a period of late.
    pub(super) max_calls: f64,
    /// Requests started in this period whose class makes calls.
    pub(super) started: f64,
    /// The most started in a period of late.
    pub(super) max_started: f64,
    /// Calls that the requests started in this period are expected to make.
    pub(super) predicted_calls: f64,
    /// The prediction reached the setpoint in this period: calls came near to it, though fewer whole ones may be placed.
    pub(super) has_reached_setpoint: bool,
    pub(super) overload_signs: f64,
    pub(super) overloaded_periods: u32,
    pub(super) period_ends_us: u64,
}

impl IntegralController {
    /// Begins its first period.
    pub fn new(now_us: u64) -> IntegralController {
        IntegralController { period_ends_us: now_us + PERIOD_US, ..IntegralController::default() }
    }

    /// An upstream call was placed.
    pub fn call_placed(&mut self) {
        self.observed_calls += 1.0;
    }

    /// A request was started whose class makes so many calls in the mean. Classes that never call are not counted against
    /// the limit (ours): the paper notes that such requests were delayed for nothing.
    pub fn request_started(&mut self, mean_calls: f64) {
        self.predicted_calls += mean_calls;
        if mean_calls > 0.0 {
            self.started += 1.0;
        }
    }

    /// Upstream showed overload. The first sign sets setpoint and limit to the most that was carried of late: calls that
    /// hang show as signs only seconds later, when little is carried any more.
    pub fn upstream_overloaded(&mut self) {
        self.overload_signs += 1.0;
        if self.is_limiting {
            return;
        }
        self.is_limiting = true;
        self.call_setpoint = self.observed_calls.max(self.max_calls).max(1.0);
        self.admission_limit = self.started.max(self.max_started).max(1.0);
    }

    /// Whether one more request of a class that makes so many calls in the mean may start in this period.
    pub fn has_capacity(&mut self, mean_calls: f64) -> bool {
        if !self.is_limiting || mean_calls <= 0.0 {
            return true;
        }
        let is_below_setpoint = self.predicted_calls + mean_calls <= self.call_setpoint.max(mean_calls);
        self.has_reached_setpoint |= !is_below_setpoint;
        is_below_setpoint && self.started < self.admission_limit
    }

    /// How long the controller takes to let one request of such a class start, in microseconds.
    pub(super) fn start_interval_us(&self, mean_calls: f64) -> u64 {
        if !self.is_limiting || mean_calls <= 0.0 {
            return 0;
        }
        let periods = (mean_calls / self.call_setpoint).max(1.0 / self.admission_limit);
        (PERIOD_US as f64 * periods) as u64
    }

    /// Ends the period when its time has come, and says whether it did.
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
            self.overload_signs >= 1.0 && self.overload_signs >= SIGN_SHARE * self.observed_calls;
        self.overloaded_periods = if is_overloaded { self.overloaded_periods + 1 } else { 0 };
        let is_near_setpoint =
            self.has_reached_setpoint || self.observed_calls >= NEAR_SETPOINT * self.call_setpoint;
        if self.overloaded_periods >= OVERLOADED_PERIODS {
            self.overloaded_periods = 0;
            self.call_setpoint = (self.call_setpoint / SETPOINT_DIVISOR).max(1.0);
        } else if !is_overloaded && is_near_setpoint {
            self.call_setpoint *= SETPOINT_GROWTH;
        }
    }

    fn begin_period(&mut self, now_us: u64) {
        self.max_calls = self.observed_calls.max(MAX_DECAY * self.max_calls);
        self.max_started = self.started.max(MAX_DECAY * self.max_started);
        self.observed_calls = 0.0;
        self.started = 0.0;
        self.predicted_calls = 0.0;
        self.overload_signs = 0.0;
        self.has_reached_setpoint = false;
        self.period_ends_us = now_us + PERIOD_US;
    }
}
