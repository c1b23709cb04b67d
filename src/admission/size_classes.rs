//! Small and large requests (paper 2.2 and 2.3): methods are divided by the mean upstream calls seen of them. Small ones
//! start first; a large one that has waited longer starts with the release probability (the paper's Prob_l), which adapts
//! so that large requests cannot starve.

/// The release probability: its floor, its fall and its rise per period.
const MIN_RELEASE_PROBABILITY: f64 = 0.05;
const RELEASE_PROBABILITY_FALL: f64 = 0.7;
const RELEASE_PROBABILITY_RISE: f64 = 0.15;
/// A draw stands this long for the same request; then it is drawn again.
const DRAW_VALID_US: u64 = 100_000;
/// There are two classes only where the most mean calls are this multiple of the fewest: less is chance.
const MIN_CLASS_RATIO: f64 = 1.4;
/// Runs after which the statistics of a method are halved, so that late runs count more.
const MAX_RUNS: f64 = 64.0;

/// Runs seen of a method, and the upstream calls that they made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallStatistics {
    /// Runs, less as they age.
    pub runs: f64,
    /// Calls of those.
    pub calls: f64,
}

impl CallStatistics {
    /// A method that calls is taken to call once until it is seen.
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

/// The class of a request, by its method.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeClass {
    /// Few upstream calls.
    Small,
    /// Many upstream calls.
    Large,
}

/// Whether a large request may start before small ones: drawn once, then valid for a while.
pub(super) struct ReleaseDraw {
    /// The sequence number of the request that it was drawn for.
    pub sequence: u64,
    pub drawn_us: u64,
    pub may_start: bool,
}

impl Default for ReleaseDraw {
    fn default() -> ReleaseDraw {
        ReleaseDraw { sequence: u64::MAX, drawn_us: 0, may_start: true }
    }
}

/// Which methods are small and large, and how large requests are released.
pub struct SizeClasses {
    pub(super) is_large: Vec<bool>,
    /// Mean calls of a small and of a large request.
    pub mean_calls: [f64; 2],
    /// The chance of a large request to start before a small one that has waited less.
    pub release_probability: f64,
    pub(super) draw: ReleaseDraw,
    /// A small request was held back in this period because the integral controller had no capacity.
    pub has_held_back_small: bool,
}

impl SizeClasses {
    /// Divides the methods by these statistics, in the deployment's order.
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

    /// The class of a method.
    pub fn class_of(&self, method: usize) -> SizeClass {
        if self.is_large[method] {
            SizeClass::Large
        } else {
            SizeClass::Small
        }
    }

    /// Mean calls of the class of a method.
    pub(super) fn class_mean_calls(&self, method: usize) -> f64 {
        self.mean_calls[usize::from(self.is_large[method])]
    }

    /// Divides the methods at the middle between the fewest and the most mean calls. In place of the paper's offline
    /// k-means; one class where they hardly differ.
    pub fn divide(&mut self, statistics: &[CallStatistics]) {
        let most = statistics.iter().map(CallStatistics::mean_calls).fold(0.0, f64::max);
        let fewest = statistics.iter().map(CallStatistics::mean_calls).fold(f64::MAX, f64::min);
        let differ = most >= MIN_CLASS_RATIO * fewest.max(0.1);
        let mut sums = [CallStatistics { runs: 0.0, calls: 0.0 }; 2];
        for (method, of_method) in statistics.iter().enumerate() {
            let is_large = differ && of_method.mean_calls() > (most + fewest) / 2.0;
            self.is_large[method] = is_large;
            let sum = &mut sums[usize::from(is_large)];
            sum.runs += of_method.runs;
            sum.calls += of_method.calls;
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

    /// Adapts the release probability at the end of a period, from how long the first request of each class has waited, in
    /// microseconds. Large requests that wait longer than small ones raise it; so does a period that held no small one
    /// back.
    pub fn adapt(&mut self, small_wait_us: Option<u64>, large_wait_us: Option<u64>) {
        if self.has_held_back_small && small_wait_us >= large_wait_us {
            let fallen = self.release_probability * RELEASE_PROBABILITY_FALL;
            self.release_probability = fallen.max(MIN_RELEASE_PROBABILITY);
        } else {
            let risen = self.release_probability + RELEASE_PROBABILITY_RISE;
            self.release_probability = risen.min(1.0);
        }
        self.has_held_back_small = false;
    }
}
