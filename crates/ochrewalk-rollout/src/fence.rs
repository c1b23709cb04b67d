//! Decides, at a node, whose orders count. Each conductor has a number that no other has, higher than any before it, and each
//! of its orders one that rises; a node remembers the highest of both, and refuses what is lower. So of two conductors
//! only the later one acts, a late order does nothing, and one that comes twice acts once.

/// An order's place among all: the conductor's number, then the order's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Mark {
    pub conductor: u64,
    pub order: u64,
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    Done,
    /// Why not, in plain words; all is as it was.
    Failed(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Admitted {
    /// It is to be carried out.
    Act,
    /// It is being carried out.
    UnderWay,
    /// It came before.
    Again(Outcome),
    /// Another has a higher number.
    Stale(Mark),
}

/// What a node remembers of orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: Mark,
    outcome: Option<Outcome>,
}

impl Fence {
    /// ```
    /// use ochrewalk_rollout::{Admitted, Fence, Mark, Outcome};
    /// let mut fence = Fence::default();
    /// let mark = |conductor, order| Mark { conductor, order };
    /// assert_eq!(fence.admit(mark(3, 1)), Admitted::Act);
    /// assert_eq!(fence.admit(mark(3, 1)), Admitted::UnderWay);
    /// fence.ended(mark(3, 1), Outcome::Done);
    /// assert_eq!(fence.admit(mark(3, 1)), Admitted::Again(Outcome::Done));
    /// assert_eq!(fence.admit(mark(2, 9)), Admitted::Stale(mark(3, 1)));
    /// assert_eq!(fence.admit(mark(4, 0)), Admitted::Act);
    /// ```
    pub fn admit(&mut self, mark: Mark) -> Admitted {
        if mark < self.highest {
            return Admitted::Stale(self.highest);
        }
        if mark > self.highest {
            (self.highest, self.outcome) = (mark, None);
            return Admitted::Act;
        }
        match &self.outcome {
            Some(outcome) => Admitted::Again(outcome.clone()),
            None => Admitted::UnderWay,
        }
    }

    /// A conductor has asked how the node stands: orders of earlier ones that are still on their way come too late.
    ///
    /// ```
    /// use ochrewalk_rollout::{Admitted, Fence, Mark};
    /// let mut fence = Fence::default();
    /// fence.heard(4);
    /// assert!(matches!(fence.admit(Mark { conductor: 3, order: 9 }), Admitted::Stale(_)));
    /// assert_eq!(fence.admit(Mark { conductor: 4, order: 1 }), Admitted::Act);
    /// ```
    pub fn heard(&mut self, conductor: u64) {
        if conductor > self.highest.conductor {
            (self.highest, self.outcome) = (Mark { conductor, order: 0 }, None);
        }
    }

    /// An order that was admitted has come to its end; late ones are passed over.
    pub fn ended(&mut self, mark: Mark, outcome: Outcome) {
        if mark == self.highest {
            self.outcome = Some(outcome);
        }
    }

    pub fn highest(&self) -> Mark {
        self.highest
    }
}
