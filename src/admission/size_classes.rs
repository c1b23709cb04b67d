//! Size classes (paper 2.2 and 2.3): methods are divided into small and large by their observed mean number of upstream
//! calls. Small requests start first. A large request that has waited longer starts before them with the release
//! probability (the paper's Prob_l), which adapts so that large requests do not starve.

/// The minimum of the release probability, the factor by which it falls, and its increase, both per period.
const MIN_RELEASE_PROBABILITY: f64 = 0.05;
const RELEASE_PROBABILITY_FALL: f64 = 0.7;
const RELEASE_PROBABILITY_RISE: f64 = 0.15;
/// The time for which a random draw is valid for the same request, before the next draw.
const DRAW_VALID_US: u64 = 100_000;
/// The smallest ratio of the highest to the lowest mean number of calls at which methods are divided into two classes.
/// Smaller differences are chance.
const MIN_CLASS_RATIO: f64 = 1.4;
/// The number of runs at which the statistics of a method are halved, so that recent runs have more weight.
const MAX_RUNS: f64 = 64.0;

/// The observed runs of a method, and the upstream calls that they made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallStatistics {
    /// The number of runs, which decays with age.
    pub runs: f64,
    /// The number of calls made by these runs.
    pub calls: f64,
}

impl CallStatistics {
    /// Creates the statistics of a method before its first run: a method that makes calls is assumed to make one.
    pub(super) fn before_any_run(makes_calls: bool) -> CallStatistics {
        CallStatistics { runs: 1.0, calls: f64::from(u8::from(makes_calls)) }
    }

    pub(super) fn add_run(&mut self, calls: u32) {
        self.runs += 1.0;
        self.calls += f64::from(calls);
        if self.runs >= MAX_RUNS {
            self.runs /= 2.0;
            self.calls /= 2.0;
        }
    }

    fn mean_calls(&self) -> f64 {
        self.calls / self.runs.max(0.01)
    }
}

/// The size class of a request, by its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeClass {
    /// Few upstream calls.
    Small,
    /// Many upstream calls.
    Large,
}

/// The random draw on whether a large request may start before small ones, valid for [`DRAW_VALID_US`].
pub(super) struct ReleaseDraw {
    /// The sequence number of the request that the draw is for.
    pub sequence: u64,
    pub drawn_us: u64,
    pub may_start: bool,
}

impl Default for ReleaseDraw {
    fn default() -> ReleaseDraw {
        ReleaseDraw { sequence: u64::MAX, drawn_us: 0, may_start: true }
    }
}

/// The division of methods into size classes, and the release of large requests.
pub struct SizeClasses {
    pub(super) is_large: Vec<bool>,
    /// The mean number of calls of a small and of a large request.
    pub mean_calls: [f64; 2],
    /// The probability that a large request starts before a small one that has waited less.
    pub release_probability: f64,
    pub(super) draw: ReleaseDraw,
    /// Whether a small request was held back in this period because the integral controller had no capacity.
    pub has_held_back_small: bool,
}

impl SizeClasses {
    /// Divides the methods by their statistics, which are in the deployment's order.
    pub fn new(statistics: &[CallStatistics]) -> SizeClasses {
        let mut classes = SizeClasses {
            is_large: vec![false; statistics.len()],
            mean_calls: [0.0; 2],
            release_probability: 1.0,
            draw: ReleaseDraw::default(),
            has_held_back_small: false,
        };
        classes.divide(statistics);
        classes
    }

    /// Returns the size class of a method.
    pub fn class_of(&self, method: usize) -> SizeClass {
        if self.is_large[method] {
            SizeClass::Large
        } else {
            SizeClass::Small
        }
    }

    /// Returns the mean number of calls of a method's class.
    pub(super) fn class_mean_calls(&self, method: usize) -> f64 {
        self.mean_calls[usize::from(self.is_large[method])]
    }

    /// Divides the methods at the midpoint between the lowest and the highest mean number of calls. This replaces the
    /// paper's offline k-means. All methods are small if their means hardly differ.
    pub fn divide(&mut self, statistics: &[CallStatistics]) {
        let max_mean = statistics.iter().map(CallStatistics::mean_calls).fold(0.0, f64::max);
        let min_mean = statistics.iter().map(CallStatistics::mean_calls).fold(f64::MAX, f64::min);
        let has_two_classes = max_mean >= MIN_CLASS_RATIO * min_mean.max(0.1);
        let mut sums = [CallStatistics { runs: 0.0, calls: 0.0 }; 2];
        for (method, method_statistics) in statistics.iter().enumerate() {
            let is_large = has_two_classes && method_statistics.mean_calls() > (max_mean + min_mean) / 2.0;
            self.is_large[method] = is_large;
            let sum = &mut sums[usize::from(is_large)];
            sum.runs += method_statistics.runs;
            sum.calls += method_statistics.calls;
        }
        self.mean_calls = sums.map(|sum| if sum.runs > 0.0 { sum.calls / sum.runs } else { 0.0 });
    }

    /// Whether the large request with this sequence number may start before small ones.
    pub(super) fn may_release(&mut self, sequence: u64, now_us: u64, rng: &mut fastrand::Rng) -> bool {
        if self.draw.sequence != sequence || now_us >= self.draw.drawn_us + DRAW_VALID_US {
            let may_start = rng.f64() < self.release_probability;
            self.draw = ReleaseDraw { sequence, drawn_us: now_us, may_start };
        }
        self.draw.may_start
    }

    /// Adapts the release probability at the end of a period to the waiting times of the first request of each class,
    /// in microseconds. The probability rises if the large request has waited longer than the small one, and also if no
    /// small request was held back in the period. Otherwise it falls.
    pub fn adapt(&mut self, small_wait_us: Option<u64>, large_wait_us: Option<u64>) {
        if self.has_held_back_small && small_wait_us >= large_wait_us {
            let decreased = self.release_probability * RELEASE_PROBABILITY_FALL;
            self.release_probability = decreased.max(MIN_RELEASE_PROBABILITY);
        } else {
            let increased = self.release_probability + RELEASE_PROBABILITY_RISE;
            self.release_probability = increased.min(1.0);
        }
        self.has_held_back_small = false;
    }
}
