//! Decides how many calls may be written a second time: a share of the first attempts, accumulated up to a small maximum.
//! Keeps retries from adding to an upstream overload.

/// The number of retries that are available at the start, and the most that can be accumulated.
const MAX_RETRIES: f64 = 10.0;

/// A retry budget: each first attempt adds a share of a retry, and each retry takes a full one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a budget to which each first attempt adds `share` retries; with a share of 0 no call is retried.
    ///
    /// ```
    /// use ochrewalk_connection_pool::RetryBudget;
    /// let mut budget = RetryBudget::new(0.5);
    /// assert_eq!((0..12).filter(|_| budget.spend()).count(), 10);
    /// (0..4).for_each(|_| budget.earn());
    /// assert_eq!((0..12).filter(|_| budget.spend()).count(), 2);
    /// assert!(!RetryBudget::new(0.0).spend());
    /// ```
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget { share, available: if share > 0.0 { MAX_RETRIES } else { 0.0 } }
    }

    /// Adds the share of one first attempt.
    pub fn earn(&mut self) {
        self.available = (self.available + self.share).min(MAX_RETRIES);
    }

    /// Takes one retry if one is available, and returns whether it was.
    pub fn spend(&mut self) -> bool {
        let is_available = self.available >= 1.0;
        self.available -= f64::from(u8::from(is_available));
        is_available
    }
}
