//! A concurrency limit that is adjusted once per period by one of several algorithms: an integral controller, which is the
//! default, and others for comparison.
//!
//! The integral controller is that of admission (docs/design.md), applied once per period: u(k) = u(k-1) + K_I e(k). Here u is
//! the logarithm of the limit, and the error e is the distance of the period from the target, computed from latencies relative
//! to their baseline and from the share of rejected calls.

/// The sample of a pool's calls in one period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeriodSample {
    /// The number of calls that ended.
    pub ended: u32,
    /// The number of these calls that were rejected or timed out.
    pub rejected: u32,
    /// The smoothed latency of the other calls, divided by its baseline; `None` without other calls.
    pub latency_ratio: Option<f64>,
    /// The maximum number of calls in flight, divided by the number allowed.
    pub utilization: f64,
}

/// The algorithm that adjusts a limit after each period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAlgorithm {
    /// An integral controller of the limit's logarithm.
    Integral,
    /// Additive increase, multiplicative decrease: plus 1 per period, or half if a call was rejected or latencies doubled.
    Aimd,
    /// The limit times the baseline divided by the latency, plus its square root.
    Gradient,
    /// No adjustment: the initial limit stays.
    Fixed,
}

impl LimitAlgorithm {
    /// All algorithms, in the order in which they are displayed.
    pub const ALL: [LimitAlgorithm; 4] =
        [LimitAlgorithm::Integral, LimitAlgorithm::Aimd, LimitAlgorithm::Gradient, LimitAlgorithm::Fixed];

    /// Returns the name by which the test lab displays the algorithm.
    pub fn name(self) -> &'static str {
        match self {
            LimitAlgorithm::Integral => "integral",
            LimitAlgorithm::Aimd => "aimd",
            LimitAlgorithm::Gradient => "gradient",
            LimitAlgorithm::Fixed => "fixed",
        }
    }
}

/// The target latency ratio of a pool that uses the reserve: its limit falls only after those of all other pools.
const PRIORITY_TARGET_RATIO: f64 = 2.0;
/// The weight of the share of rejected calls in the error, relative to that of the latency ratio.
const REJECTION_WEIGHT: f64 = 4.0;
/// The integral gain.
const INTEGRAL_GAIN: f64 = 0.25;
/// The maximum changes of the limit's logarithm in one period. Decreases are faster than increases because the upstream is
/// shared.
const MAX_DECREASE: f64 = 0.35;
const MAX_INCREASE: f64 = 0.08;
/// The error below which the limit stays, so that it settles.
const DEAD_BAND: f64 = 0.08;
/// The utilization below which a limit does not rise. An anti-windup: unused concurrency gives no evidence about the
/// upstream.
const MIN_UTILIZATION: f64 = 0.75;
/// The number of calls in a period below which the error is reduced proportionally.
const FULL_WEIGHT_CALLS: f64 = 8.0;
/// The latency ratio above which AIMD halves the limit.
const AIMD_MAX_RATIO: f64 = 2.0;
/// The minimum gradient of one period.
const MIN_GRADIENT: f64 = 0.5;
/// The smoothing factor with which one period moves the limit towards the target of the gradient.
const GRADIENT_SMOOTHING: f64 = 0.2;

/// An adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    algorithm: LimitAlgorithm,
    value: f64,
    min: f64,
    max: f64,
    target_ratio: f64,
}

impl AdaptiveLimit {
    /// The target latency ratio of the integral controller: with a lower one the upstream is idle at times.
    pub const TARGET_RATIO: f64 = 1.3;

    /// Creates a limit with an initial value and bounds, which are at least 1.
    pub fn new(algorithm: LimitAlgorithm, initial: u32, min: u32, max: u32) -> AdaptiveLimit {
        let min = f64::from(min.max(1));
        let max = f64::from(max.max(1)).max(min);
        let value = f64::from(initial).clamp(min, max);
        AdaptiveLimit { algorithm, value, min, max, target_ratio: AdaptiveLimit::TARGET_RATIO }
    }

    /// Returns the limit with priority: the limit falls only after all those without priority.
    pub fn with_priority(self) -> AdaptiveLimit {
        AdaptiveLimit { target_ratio: PRIORITY_TARGET_RATIO, ..self }
    }

    /// The number of calls that may be in flight at the same time.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Replaces the bounds. The current value is kept as far as they allow.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        let bounds = AdaptiveLimit::new(self.algorithm, 0, min, max);
        (self.min, self.max) = (bounds.min, bounds.max);
        self.value = self.value.clamp(self.min, self.max);
    }

    /// Adjusts the limit at the end of a period. Without a call the limit stays.
    pub fn end_period(&mut self, sample: &PeriodSample) {
        if sample.ended == 0 {
            return;
        }
        let next = match self.algorithm {
            LimitAlgorithm::Fixed => self.value,
            LimitAlgorithm::Integral => self.integral(sample),
            LimitAlgorithm::Aimd => self.aimd(sample),
            LimitAlgorithm::Gradient => self.gradient(sample),
        };
        self.value = next.clamp(self.min, self.max);
    }

    fn integral(&self, sample: &PeriodSample) -> f64 {
        let target = self.target_ratio;
        let error =
            (target - sample.ratio_or_baseline() - REJECTION_WEIGHT * sample.rejected_share()) / target;
        let weight = (f64::from(sample.ended) / FULL_WEIGHT_CALLS).min(1.0);
        let step = if error.abs() < DEAD_BAND {
            0.0
        } else {
            (INTEGRAL_GAIN * error * weight).clamp(-MAX_DECREASE, MAX_INCREASE)
        };
        if step > 0.0 && !sample.is_utilized() {
            return self.value;
        }
        self.value * step.exp()
    }

    fn aimd(&self, sample: &PeriodSample) -> f64 {
        if sample.rejected > 0 || sample.ratio_or_baseline() > AIMD_MAX_RATIO {
            self.value / 2.0
        } else if sample.is_utilized() {
            self.value + 1.0
        } else {
            self.value
        }
    }

    fn gradient(&self, sample: &PeriodSample) -> f64 {
        let gradient = (1.0 / sample.ratio_or_baseline()).clamp(MIN_GRADIENT, 1.0);
        let target = self.value * gradient * (1.0 - sample.rejected_share()) + self.value.sqrt();
        if target > self.value && !sample.is_utilized() {
            return self.value;
        }
        (1.0 - GRADIENT_SMOOTHING) * self.value + GRADIENT_SMOOTHING * target
    }
}

impl PeriodSample {
    /// The latency ratio, or 1 (that of the baseline) if no call succeeded.
    fn ratio_or_baseline(&self) -> f64 {
        self.latency_ratio.unwrap_or(1.0)
    }

    fn rejected_share(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.ended)
    }

    fn is_utilized(&self) -> bool {
        self.utilization >= MIN_UTILIZATION
    }
}
