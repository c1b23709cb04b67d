//! The phases of a rollout, and the reasons for which it waits for an operator.

/// The phase of a rollout. The crate's documentation lists the transitions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The controller polls the status of all nodes, which thereby learn the controller's number.
    Polling,
    /// Nodes are changed until the stage's target number is reached.
    Advancing {
        /// The stage, counted from 0.
        stage: usize,
    },
    /// The stage's target number of nodes is changed; they are compared with the unchanged ones.
    Analyzing {
        /// The stage, counted from 0.
        stage: usize,
    },
    /// All stages have passed; each node receives a command that makes its change permanent.
    Confirming,
    /// Changed nodes are reverted.
    RollingBack {
        /// The reason, as text for operators.
        reason: String,
    },
    /// An operator has to decide. The record determines the phase in which the rollout resumes.
    Waiting(WaitReason),
    /// All nodes run the new version permanently.
    Done,
    /// All nodes run the old version again.
    RolledBack {
        /// The reason, as text for operators.
        reason: String,
    },
    /// A controller with a higher number has taken over.
    Replaced,
}

/// The reason for which a rollout waits for an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// An operator paused the rollout.
    Paused,
    /// The analysis cannot decide whether the stage does harm. Contains the cause, as text for operators.
    Inconclusive(String),
    /// A node can neither be changed nor reverted, or does not respond, and may run the new version.
    NodeStuck {
        /// The node's index in the plan.
        node: usize,
        /// The fault, as text for operators.
        reason: String,
    },
    /// Too many nodes are unhealthy for causes unrelated to the rollout, so the next step is not allowed.
    FleetUnhealthy,
}
