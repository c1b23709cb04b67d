//! Decides how many calls may be written a second time: a fraction of the first attempts, accumulated up to a small maximum.
//! The budget prevents retries from adding to an upstream overload.

/// The number of retries that are available at the start, and the maximum that can be accumulated.
const MAX_RETRIES: f64 = 10.0;

/// A retry budget: each first attempt adds a fraction of a retry, and each retry takes a full one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The number of retries that each first attempt adds.
    retry_ratio: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a budget to which each first attempt adds `retry_ratio` retries; with a ratio of 0 no call is retried.
    ///
    /// ```
    /// use ochrewalk_connection_pool::RetryBudget;
    /// let mut budget = RetryBudget::new(0.5);
    /// assert_eq!((0..12).filter(|_| budget.spend()).count(), 10);
    /// (0..4).for_each(|_| budget.earn());
    /// assert_eq!((0..12).filter(|_| budget.spend()).count(), 2);
    /// assert!(!RetryBudget::new(0.0).spend());
    /// ```
    pub fn new(retry_ratio: f64) -> RetryBudget {
        RetryBudget { retry_ratio, available: if retry_ratio > 0.0 { MAX_RETRIES } else { 0.0 } }
    }

    /// Adds the fraction of a retry that one first attempt earns.
    pub fn earn(&mut self) {
        self.available = (self.available + self.retry_ratio).min(MAX_RETRIES);
    }

    /// Takes one retry if one is available, and returns whether it was.
    pub fn spend(&mut self) -> bool {
        let is_available = self.available >= 1.0;
        self.available -= f64::from(u8::from(is_available));
        is_available
    }
}
