//! Why a rollout cannot begin or go on.

use super::polling::PollError;
use ochrewalk_operator_config::Diagnostic;
use ochrewalk_rollout::{RecordError, StagePlanError};
use std::path::PathBuf;

/// Why a rollout cannot begin or go on. The text is for operators.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// A file or socket cannot be read, written or created.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or socket.
        path: PathBuf,
        /// What is wrong with it.
        source: std::io::Error,
    },
    /// The plan has faults; a line each.
    #[error("{}", lines(.0))]
    Plan(Vec<Diagnostic>),
    /// The plan's nodes, stages and bound do not fit together.
    #[error("the plan cannot be carried out: {0}")]
    Stages(#[from] StagePlanError),
    /// Nothing would change on this node.
    #[error("both files of the plan hold the same for {node}")]
    SameContent {
        /// The node's name.
        node: String,
    },
    /// The two files of settings differ in nothing that counts.
    #[error("both files of the plan mean the same")]
    SameMeaning,
    /// These changes of settings need a restart, so that no running node can take them over; a line each.
    #[error("{}", lines(.0))]
    NeedsRestart(Vec<String>),
    /// Nodes stand in the way of a rollout; a line each.
    #[error("{}", lines(.0))]
    NotReady(Vec<NodeFault>),
    /// The lock beside the record is held.
    #[error("{}: another controller runs: {source}", lock.display())]
    AnotherController {
        /// The lock's file.
        lock: PathBuf,
        /// Why it cannot be taken.
        source: rustix::io::Errno,
    },
    /// The record cannot be used.
    #[error("{}: {source}", path.display())]
    Record {
        /// The record's file.
        path: PathBuf,
        /// What is wrong with it.
        source: RecordError,
    },
    /// The record could not be written in the middle of the rollout.
    #[error("{0}; no further command was sent")]
    NotPersisted(Box<RolloutError>),
    /// Another controller has a higher number, and acts.
    #[error("another controller has taken over")]
    Replaced,
    /// No thread is left that could hear of replies or operators.
    #[error("replies and operators cannot be heard any more")]
    ChannelClosed,
}

/// A node that stands in the way of a rollout.
#[derive(Debug, thiserror::Error)]
pub enum NodeFault {
    /// The node's status is not known.
    #[error("{node}: {source}")]
    Unknown {
        /// The node's name.
        node: String,
        /// Why not.
        source: PollError,
    },
    /// The node runs another program than the two of the plan.
    #[error("{node}: it runs {program}, which is neither program of the plan")]
    OtherProgram {
        /// The node's name.
        node: String,
        /// The path of what it runs.
        program: String,
    },
    /// The node uses other settings than the two of the plan.
    #[error("{node}: it uses neither file of the plan")]
    OtherSettings {
        /// The node's name.
        node: String,
    },
    /// The node does not serve.
    #[error("{node}: it is unhealthy")]
    Unhealthy {
        /// The node's name.
        node: String,
    },
}

fn lines<T: std::fmt::Display>(items: &[T]) -> String {
    items.iter().map(T::to_string).collect::<Vec<_>>().join("\n")
}
