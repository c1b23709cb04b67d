//! A concurrency limit that moves once a period, by one of several algorithms: an integral controller, which is the default,
//! and those that it is compared with.
//!
//! The integral controller is that of admission (docs/design.md), counted per period: u(k) = u(k-1) + K_I e(k). Here u is the
//! logarithm of the limit, and the error e is how far the period is from the target: latencies over their baseline, and the
//! share of rejected calls.

/// What a period showed of a pool's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeriodSample {
    /// Calls that ended.
    pub ended: u32,
    /// Those of them that were rejected or timed out.
    pub rejected: u32,
    /// The smoothed latency of the others over its baseline; none if there were no others.
    pub latency_ratio: Option<f64>,
    /// The most calls in flight at once over what was allowed.
    pub utilization: f64,
}

/// How a limit follows its samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAlgorithm {
    /// An integral step on the error, of the limit's logarithm.
    Integral,
    /// Additive increase, multiplicative decrease: one more each period; half if a call was rejected or took twice as long.
    Aimd,
    /// The limit times baseline over latency, and some more.
    Gradient,
    /// The initial limit.
    Fixed,
}

impl LimitAlgorithm {
    /// All algorithms, in the order in which they are shown.
    pub const ALL: [LimitAlgorithm; 4] =
        [LimitAlgorithm::Integral, LimitAlgorithm::Aimd, LimitAlgorithm::Gradient, LimitAlgorithm::Fixed];

    /// The name by which the laboratory shows the algorithm.
    pub fn name(self) -> &'static str {
        match self {
            LimitAlgorithm::Integral => "integral",
            LimitAlgorithm::Aimd => "aimd",
            LimitAlgorithm::Gradient => "gradient",
            LimitAlgorithm::Fixed => "fixed",
        }
    }
}

/// The latency ratio of a pool that uses the reserve: it gives way only once all others have.
const PRIORITY_TARGET_RATIO: f64 = 2.0;
/// The share of rejected calls counts this many times as much as the latency ratio.
const REJECTION_WEIGHT: f64 = 4.0;
/// The integral gain, and the most that one period moves the limit's logarithm: down faster than up, as what lies upstream
/// is shared.
const INTEGRAL_GAIN: f64 = 0.25;
const MAX_DECREASE: f64 = 0.35;
const MAX_INCREASE: f64 = 0.08;
/// A smaller error moves nothing, so that the limit comes to rest.
const DEAD_BAND: f64 = 0.08;
/// A limit rises only if at least this part of it was used: an anti-windup, as concurrency that was never used says nothing
/// of what lies upstream.
const MIN_UTILIZATION: f64 = 0.75;
/// The error of a period with fewer calls counts proportionally less.
const FULL_WEIGHT_CALLS: f64 = 8.0;
/// AIMD halves the limit above this latency ratio.
const AIMD_MAX_RATIO: f64 = 2.0;
/// The least that one period's gradient leaves of the limit.
const MIN_GRADIENT: f64 = 0.5;
/// How far one period moves the limit towards the gradient's.
const GRADIENT_SMOOTHING: f64 = 0.2;

/// A concurrency limit.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    algorithm: LimitAlgorithm,
    value: f64,
    min: f64,
    max: f64,
    target_ratio: f64,
}

impl AdaptiveLimit {
    /// The latency ratio that the integral controller aims at: below it what lies upstream idles now and then.
    pub const TARGET_RATIO: f64 = 1.3;

    /// A limit with its initial value and its bounds, which are at least 1.
    pub fn new(algorithm: LimitAlgorithm, initial: u32, min: u32, max: u32) -> AdaptiveLimit {
        let min = f64::from(min.max(1));
        let max = f64::from(max.max(1)).max(min);
        let value = f64::from(initial).clamp(min, max);
        AdaptiveLimit { algorithm, value, min, max, target_ratio: AdaptiveLimit::TARGET_RATIO }
    }

    /// The same limit with priority: it falls only once all others have.
    pub fn with_priority(self) -> AdaptiveLimit {
        AdaptiveLimit { target_ratio: PRIORITY_TARGET_RATIO, ..self }
    }

    /// How many calls may be in flight at once.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Replaces the bounds. What was learned stays as far as they allow.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        let bounds = AdaptiveLimit::new(self.algorithm, 0, min, max);
        (self.min, self.max) = (bounds.min, bounds.max);
        self.value = self.value.clamp(self.min, self.max);
    }

    /// A period has ended. Without a call the limit stays.
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
    /// The latency ratio; that of the baseline if no call succeeded.
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
