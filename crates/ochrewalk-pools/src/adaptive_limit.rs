//! Decides how many calls a pool may have at once, period by period, in one of several ways behind one interface: an
//! integral step on an error, which is what is used, and those that it is measured against.
//!
//! The integral step keeps the spirit of the loop that admits RPCs (docs/design.md): counted per period, u(k) = u(k-1) + INTEGRAL_GAIN e(k).
//! Here u is the logarithm of the limit, and the error how far what is seen below lies from what is meant: calls that take so much
//! longer than where nothing waits, and a share of them turned away.

/// What a period has shown of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeriodSample {
    /// Calls that ended, and those of them that were turned away or not done in time.
    pub ended: u32,
    pub rejected: u32,
    /// The median of the others, over what a call takes where nothing waits; none where none ended.
    pub latency_ratio: Option<f64>,
    /// The most in hand at once, over what was allowed.
    pub utilization: f64,
}

/// Which way, by the name that operators and the laboratory know it by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAlgorithm {
    Integral,
    /// One more each period; half where a call was turned away or took twice as long.
    Aimd,
    /// What was had, times what a call takes where nothing waits over what it takes now, and some more.
    Gradient,
    /// As it was set.
    Fixed,
}

pub const ALGORITHMS: [(&str, LimitAlgorithm); 4] = [
    ("integral", LimitAlgorithm::Integral),
    ("aimd", LimitAlgorithm::Aimd),
    ("gradient", LimitAlgorithm::Gradient),
    ("fixed", LimitAlgorithm::Fixed),
];

/// Calls may take so much longer than where nothing waits: below it what lies there idles now and then.
const TARGET_RATIO: f64 = 1.3;
/// The cheapest give way only where calls take so much longer: by then all others have.
const PRIORITY_TARGET_RATIO: f64 = 2.0;
/// A call turned away weighs like so much more of that.
const REJECTION_WEIGHT: f64 = 4.0;
/// The gain, and the most that one period moves the limit's logarithm: down faster than up, as what lies below is shared.
const INTEGRAL_GAIN: f64 = 0.25;
const MAX_DECREASE: f64 = 0.35;
const MAX_INCREASE: f64 = 0.08;
/// Errors so small move nothing: guards against a limit that never rests.
const DEAD_BAND: f64 = 0.08;
/// A limit rises only where so much of it was used. The guard against wind-up: what was never had in hand was never
/// tried below.
const MIN_UTILIZATION: f64 = 0.75;
/// Fewer calls than this in a period say little: their error counts by their share of it.
const FULL_WEIGHT_CALLS: f64 = 8.0;

/// A pool's limit.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    algorithm: LimitAlgorithm,
    value: f64,
    min: f64,
    max: f64,
    target_ratio: f64,
}

impl AdaptiveLimit {
    pub fn new(algorithm: LimitAlgorithm, initial: u32, min: u32, max: u32) -> AdaptiveLimit {
        let (min, max) = (f64::from(min.max(1)), f64::from(max.max(1)));
        AdaptiveLimit {
            algorithm,
            value: f64::from(initial).clamp(min, max.max(min)),
            min,
            max: max.max(min),
            target_ratio: TARGET_RATIO,
        }
    }

    /// It gives way after all others.
    pub fn with_priority(self) -> AdaptiveLimit {
        AdaptiveLimit { target_ratio: PRIORITY_TARGET_RATIO, ..self }
    }

    /// How many may be in hand at once.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Other bounds from now on; what was learned stays as far as they allow it.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        let bounds = AdaptiveLimit::new(self.algorithm, 0, min, max);
        (self.min, self.max) = (bounds.min, bounds.max);
        self.value = self.value.clamp(self.min, self.max);
    }

    /// A period is over.
    pub fn period(&mut self, seen: &PeriodSample) {
        if seen.ended == 0 {
            return;
        }
        let rejected = f64::from(seen.rejected) / f64::from(seen.ended);
        let latency_ratio = seen.latency_ratio.unwrap_or(1.0);
        let next = match self.algorithm {
            LimitAlgorithm::Fixed => self.value,
            LimitAlgorithm::Integral => self.integral(latency_ratio, rejected, seen),
            LimitAlgorithm::Aimd if seen.rejected > 0 || latency_ratio > 2.0 => self.value / 2.0,
            LimitAlgorithm::Aimd if seen.utilization >= MIN_UTILIZATION => self.value + 1.0,
            LimitAlgorithm::Aimd => self.value,
            LimitAlgorithm::Gradient => {
                let gradient = (1.0 / latency_ratio).clamp(0.5, 1.0);
                let meant = self.value * gradient * (1.0 - rejected) + self.value.sqrt();
                let rises = meant > self.value && seen.utilization < MIN_UTILIZATION;
                if rises {
                    self.value
                } else {
                    0.8 * self.value + 0.2 * meant
                }
            }
        };
        self.value = next.clamp(self.min, self.max);
    }

    fn integral(&self, latency_ratio: f64, rejected: f64, seen: &PeriodSample) -> f64 {
        let e = (self.target_ratio - latency_ratio - REJECTION_WEIGHT * rejected) / self.target_ratio;
        let known = (f64::from(seen.ended) / FULL_WEIGHT_CALLS).min(1.0);
        let step = if e.abs() < DEAD_BAND {
            0.0
        } else {
            (INTEGRAL_GAIN * e * known).clamp(-MAX_DECREASE, MAX_INCREASE)
        };
        if step > 0.0 && seen.utilization < MIN_UTILIZATION {
            return self.value;
        }
        self.value * step.exp()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: PeriodSample =
        PeriodSample { ended: 100, rejected: 0, latency_ratio: Some(1.0), utilization: 1.0 };

    #[test]
    fn each_way_moves_as_it_says() {
        let slow = PeriodSample { latency_ratio: Some(3.0), ..GOOD };
        let rejected = PeriodSample { rejected: 50, ..GOOD };
        let unused = PeriodSample { utilization: 0.2, ..GOOD };
        let few = PeriodSample { ended: 1, ..GOOD };
        let as_meant = PeriodSample { latency_ratio: Some(TARGET_RATIO), ..GOOD };
        for (algorithm, seen, wanted) in [
            (LimitAlgorithm::Integral, GOOD, 1.0..1.1),
            (LimitAlgorithm::Integral, slow, 0.7..0.8),
            (LimitAlgorithm::Integral, rejected, 0.7..0.75),
            (LimitAlgorithm::Integral, unused, -0.001..0.001),
            (LimitAlgorithm::Integral, few, 0.0..0.02),
            (LimitAlgorithm::Integral, as_meant, -0.001..0.001),
            (LimitAlgorithm::Aimd, GOOD, 1.0..1.06),
            (LimitAlgorithm::Aimd, slow, 0.5..0.51),
            (LimitAlgorithm::Aimd, unused, -0.001..0.001),
            (LimitAlgorithm::Gradient, GOOD, 1.0..1.1),
            (LimitAlgorithm::Gradient, slow, 0.85..0.96),
            (LimitAlgorithm::Fixed, rejected, -0.001..0.001),
        ] {
            let mut limit = AdaptiveLimit::new(algorithm, 20, 1, 100);
            limit.period(&seen);
            let moved = limit.value() / 20.0;
            // A range from 0 on is of what it rose by.
            let moved = if wanted.start <= 0.0 { moved - 1.0 } else { moved };
            assert!(wanted.contains(&moved), "{algorithm:?} {seen:?}: {moved}");
        }
    }

    #[test]
    fn the_cheapest_give_way_after_all_others() {
        let slow = PeriodSample { latency_ratio: Some(1.7), ..GOOD };
        let (mut other, mut cheapest) = (
            AdaptiveLimit::new(LimitAlgorithm::Integral, 20, 1, 100),
            AdaptiveLimit::new(LimitAlgorithm::Integral, 20, 1, 100).with_priority(),
        );
        other.period(&slow);
        cheapest.period(&slow);
        assert!(other.value() < 20.0 && cheapest.value() > 20.0);
        cheapest.period(&PeriodSample { latency_ratio: Some(3.0), ..GOOD });
        assert!(cheapest.value() < 20.0);
    }

    #[test]
    fn a_limit_stays_within_its_bounds_and_comes_back_from_its_floor() {
        let mut limit = AdaptiveLimit::new(LimitAlgorithm::Integral, 50, 2, 60);
        (0..100).for_each(|_| limit.period(&PeriodSample { rejected: 100, ..GOOD }));
        assert_eq!(limit.value(), 2.0);
        (0..60).for_each(|_| limit.period(&GOOD));
        assert_eq!(limit.value(), 60.0);
        limit.set_bounds(1, 10);
        assert_eq!(limit.value(), 10.0);
        let quiet = PeriodSample { ended: 0, ..GOOD };
        limit.period(&quiet);
        assert_eq!(limit.value(), 10.0, "no call, no news");
    }
}
