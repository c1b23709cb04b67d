//! Where a rollout is, and why it waits for an operator.

/// Where a rollout is. The crate's page has the transitions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// All nodes are asked for their status, and thereby learn the controller's number.
    Polling,
    /// Nodes are changed, up to the number that the stage asks for.
    Advancing {
        /// The stage, counted from 0.
        stage: usize,
    },
    /// As many nodes as the stage asks for are changed, and compared with the others.
    Analyzing {
        /// The stage, counted from 0.
        stage: usize,
    },
    /// All stages have passed: each node is told to keep its change for good.
    Confirming,
    /// Changed nodes are reverted.
    RollingBack {
        /// Why, in plain words.
        reason: String,
    },
    /// An operator has to decide. The record says where the rollout goes on.
    Waiting(WaitReason),
    /// All nodes run the new version for good.
    Done,
    /// All nodes run the old version again.
    RolledBack {
        /// Why, in plain words.
        reason: String,
    },
    /// A controller with a higher number has taken over.
    Replaced,
}

/// Why a rollout waits for an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// An operator asked for it.
    Paused,
    /// The analysis cannot tell whether the stage does harm; why not, in plain words.
    Inconclusive(String),
    /// A node can neither be changed nor reverted, or does not answer, and may run the new version.
    NodeStuck {
        /// The node's index in the plan.
        node: usize,
        /// What is wrong, in plain words.
        reason: String,
    },
    /// Too many nodes are unhealthy, for reasons of their own, for the next step.
    FleetUnhealthy,
}
