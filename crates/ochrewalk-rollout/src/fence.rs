//! Decides, at a node, whose commands are obeyed. Each controller has a number that no other has, higher than any before it, and
//! numbers its commands in rising order. A node remembers the highest token and rejects what is lower: so of two
//! controllers only the later one acts, a late command does nothing, and a command that arrives twice acts once.

/// The number of a controller. The higher one replaces the lower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ControllerNumber(pub u64);

impl ControllerNumber {
    /// What stands for the number of one who only asks for the status, and is no controller.
    pub const OBSERVER: ControllerNumber = ControllerNumber(0);

    /// The next higher number.
    pub fn next(self) -> ControllerNumber {
        ControllerNumber(self.0 + 1)
    }
}

/// A command's place among all: compared by the controller's number first, then by the command's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken {
    /// The controller's number.
    pub controller: ControllerNumber,
    /// The command's number among the controller's, counted from 1.
    pub command: u64,
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The node runs what it was told to.
    Done,
    /// Why not, in plain words; the node runs what it ran before.
    Failed(String),
}

/// What a node is to do with a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Carry it out.
    Execute,
    /// Nothing: it is being carried out.
    InProgress,
    /// Nothing: it was carried out before, with this outcome.
    Repeated(Outcome),
    /// Nothing: this higher token was seen.
    Stale(FencingToken),
}

/// What a node remembers of commands.
///
/// | state | command with a lower token | the same token | a higher token |
/// | --- | --- | --- | --- |
/// | no outcome yet | `Stale` | `InProgress` | `Execute`, the outcome is forgotten |
/// | outcome known | `Stale` | `Repeated` | `Execute`, the outcome is forgotten |
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: FencingToken,
    outcome: Option<Outcome>,
}

impl Fence {
    /// Decides on a command that has arrived, and remembers its token.
    ///
    /// ```
    /// use ochrewalk_rollout::{Admission, ControllerNumber, Fence, FencingToken, Outcome};
    /// let mut fence = Fence::default();
    /// let token = |controller, command| FencingToken { controller: ControllerNumber(controller), command };
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

    /// A controller has polled the node: commands of earlier controllers that are still on their way come too late.
    ///
    /// ```
    /// use ochrewalk_rollout::{Admission, ControllerNumber, Fence, FencingToken};
    /// let mut fence = Fence::default();
    /// fence.observe_controller(ControllerNumber(4));
    /// let token = |controller, command| FencingToken { controller: ControllerNumber(controller), command };
    /// assert!(matches!(fence.admit(token(3, 9)), Admission::Stale(_)));
    /// assert_eq!(fence.admit(token(4, 1)), Admission::Execute);
    /// ```
    pub fn observe_controller(&mut self, controller: ControllerNumber) {
        if controller > self.highest.controller {
            (self.highest, self.outcome) = (FencingToken { controller, command: 0 }, None);
        }
    }

    /// A command that was admitted has been carried out, or could not be. Where a later one was admitted meanwhile, nothing is
    /// remembered of it.
    pub fn command_finished(&mut self, token: FencingToken, outcome: Outcome) {
        if token == self.highest {
            self.outcome = Some(outcome);
        }
    }

    /// The highest token seen.
    pub fn highest(&self) -> FencingToken {
        self.highest
    }
}
