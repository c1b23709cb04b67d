//! Decides, at a node, whose orders count. Each conductor has a number that no other has, higher than any before it, and each
//! of its orders one that rises; a node remembers the highest of both, and refuses what is lower. So of two conductors
//! only the later one acts, a late order does nothing, and one that comes twice acts once.

/// An order's place among all: the conductor's number, then the order's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken {
    pub controller: u64,
    pub command: u64,
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    Done,
    /// Why not, in plain words; all is as it was.
    Failed(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// It is to be carried out.
    Execute,
    /// It is being carried out.
    InProgress,
    /// It came before.
    Repeated(Outcome),
    /// Another has a higher number.
    Stale(FencingToken),
}

/// What a node remembers of orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: FencingToken,
    outcome: Option<Outcome>,
}

impl Fence {
    /// ```
    /// use ochrewalk_rollout::{Admission, Fence, FencingToken, Outcome};
    /// let mut fence = Fence::default();
    /// let token = |controller, command| FencingToken { controller, command };
    /// assert_eq!(fence.admit(token(3, 1)), Admission::Execute);
    /// assert_eq!(fence.admit(token(3, 1)), Admission::InProgress);
    /// fence.command_finished(token(3, 1), Outcome::Done);
    /// assert_eq!(fence.admit(token(3, 1)), Admission::Repeated(Outcome::Done));
    /// assert_eq!(fence.admit(token(2, 9)), Admission::Stale(token(3, 1)));
    /// assert_eq!(fence.admit(token(4, 0)), Admission::Execute);
    /// ```
    pub fn admit(&mut self, token: FencingToken) -> Admission {
        if token < self.highest {
            return Admission::Stale(self.highest);
        }
        if token > self.highest {
            (self.highest, self.outcome) = (token, None);
            return Admission::Execute;
        }
        match &self.outcome {
            Some(outcome) => Admission::Repeated(outcome.clone()),
            None => Admission::InProgress,
        }
    }

    /// A conductor has asked how the node stands: orders of earlier ones that are still on their way come too late.
    ///
    /// ```
    /// use ochrewalk_rollout::{Admission, Fence, FencingToken};
    /// let mut fence = Fence::default();
    /// fence.observe_controller(4);
    /// assert!(matches!(fence.admit(FencingToken { controller: 3, command: 9 }), Admission::Stale(_)));
    /// assert_eq!(fence.admit(FencingToken { controller: 4, command: 1 }), Admission::Execute);
    /// ```
    pub fn observe_controller(&mut self, controller: u64) {
        if controller > self.highest.controller {
            (self.highest, self.outcome) = (FencingToken { controller, command: 0 }, None);
        }
    }

    /// An order that was admitted has come to its end; late ones are passed over.
    pub fn command_finished(&mut self, token: FencingToken, outcome: Outcome) {
        if token == self.highest {
            self.outcome = Some(outcome);
        }
    }

    pub fn highest(&self) -> FencingToken {
        self.highest
    }
}
