//! Decides, at a node, which controller's commands are executed. Each controller has a unique number, higher
//! than that of any controller before it, and numbers its commands in ascending order. A node stores the
//! highest token and rejects lower ones: of two controllers only the later one acts, a late command has no
//! effect, and a command that arrives twice is executed once.

/// The number of a controller. A controller replaces those with lower numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ControllerNumber(pub u64);

impl ControllerNumber {
    /// The number in requests of a client that only requests the status and is not a controller.
    pub const OBSERVER: ControllerNumber = ControllerNumber(0);

    /// Returns the next higher number.
    pub fn next(self) -> ControllerNumber {
        ControllerNumber(self.0 + 1)
    }
}

/// The position of a command in the order of all commands. Tokens are compared by controller number first,
/// then by command number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken {
    /// The controller's number.
    pub controller: ControllerNumber,
    /// The command's number among the commands of its controller, counted from 1.
    pub command: u64,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The node runs the commanded version.
    Done,
    /// The command failed and the node runs its previous version. Contains the reason, as text for operators.
    Failed(String),
}

/// The decision of a node on a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// The command is executed.
    Execute,
    /// The command is being executed already.
    InProgress,
    /// The command was executed before, with this outcome.
    Repeated(Outcome),
    /// The command is not executed, because the node has seen this higher token.
    Stale(FencingToken),
}

/// The highest token that a node has seen, and the outcome of its command.
///
/// | state | command with a lower token | the same token | a higher token |
/// | --- | --- | --- | --- |
/// | no outcome yet | `Stale` | `InProgress` | `Execute`, the outcome is discarded |
/// | outcome known | `Stale` | `Repeated` | `Execute`, the outcome is discarded |
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: FencingToken,
    outcome: Option<Outcome>,
}

impl Fence {
    /// Decides on a command that has arrived, and stores its token.
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

    /// Records that a controller has polled the node, so that commands of earlier controllers that are still
    /// in transit are rejected.
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

    /// Records the outcome of an admitted command. The outcome is discarded if a later command was admitted
    /// in the meantime.
    pub fn command_finished(&mut self, token: FencingToken, outcome: Outcome) {
        if token == self.highest {
            self.outcome = Some(outcome);
        }
    }

    /// Returns the highest token that was seen.
    pub fn highest(&self) -> FencingToken {
        self.highest
    }
}
