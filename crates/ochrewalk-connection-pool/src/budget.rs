//! Decides how many calls may be written a second time: a share of the first ones, saved up to a few. Guards against
//! repeats that feed an overload below.

/// So many repeats are there at the start, and can be saved at most.
const SAVED: f64 = 10.0;

#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    level: f64,
}

impl RetryBudget {
    /// ```
    /// use ochrewalk_connection_pool::RetryBudget;
    /// let mut budget = RetryBudget::new(0.5);
    /// assert_eq!((0..12).filter(|_| budget.spend()).count(), 10);
    /// (0..4).for_each(|_| budget.earn());
    /// assert_eq!((0..12).filter(|_| budget.spend()).count(), 2);
    /// assert!(!RetryBudget::new(0.0).spend());
    /// ```
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget { share, level: if share > 0.0 { SAVED } else { 0.0 } }
    }

    /// A first call was made.
    pub fn earn(&mut self) {
        self.level = (self.level + self.share).min(SAVED);
    }

    /// Takes one repeat, if there is one.
    pub fn spend(&mut self) -> bool {
        let there = self.level >= 1.0;
        self.level -= f64::from(u8::from(there));
        there
    }
}
