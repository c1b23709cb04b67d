//! The reasons why a rollout cannot begin or continue.

use super::polling::PollError;
use ochrewalk_operator_config::Diagnostic;
use ochrewalk_rollout::{RecordError, StagePlanError};
use std::path::PathBuf;

/// The reason why a rollout cannot begin or continue. The text is for operators.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// A file or socket cannot be read, written or created.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or socket.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The plan has faults; the text has a line for each.
    #[error("{}", lines(.0))]
    Plan(Vec<Diagnostic>),
    /// The plan's nodes, stages and maximal number of unavailable nodes are not consistent.
    #[error("the plan cannot be carried out: {0}")]
    Stages(#[from] StagePlanError),
    /// The plan's two files have the same content for this node, so that nothing would change.
    #[error("both files of the plan hold the same for {node}")]
    SameContent {
        /// The node's name.
        node: String,
    },
    /// The two files of settings have no difference in effect.
    #[error("both files of the plan mean the same")]
    SameMeaning,
    /// These changes of settings need a restart, so that no running node can apply them; the text has a line for each.
    #[error("{}", lines(.0))]
    NeedsRestart(Vec<String>),
    /// Nodes are not ready for a rollout; the text has a line for each.
    #[error("{}", lines(.0))]
    NotReady(Vec<NodeFault>),
    /// Another controller holds the lock of the record.
    #[error("{}: another controller runs: {source}", lock.display())]
    AnotherController {
        /// The lock's file.
        lock: PathBuf,
        /// The reason why the lock cannot be taken.
        source: rustix::io::Errno,
    },
    /// The record cannot be decoded.
    #[error("{}: {source}", path.display())]
    Record {
        /// The record's file.
        path: PathBuf,
        /// The error of the decoder.
        source: RecordError,
    },
    /// The record could not be written during the rollout.
    #[error("{0}; no further command was sent")]
    NotPersisted(Box<RolloutError>),
    /// Another controller with a higher number has taken over.
    #[error("another controller has taken over")]
    Replaced,
    /// The channel of replies and operators' commands is closed.
    #[error("the channel of replies and operators' commands is closed")]
    ChannelClosed,
}

/// The reason why a node is not ready for a rollout.
#[derive(Debug, thiserror::Error)]
pub enum NodeFault {
    /// The node's status is not known.
    #[error("{node}: {source}")]
    Unknown {
        /// The node's name.
        node: String,
        /// The reason why the status is not known.
        source: PollError,
    },
    /// The node runs neither program of the plan.
    #[error("{node}: it runs {program}, which is neither program of the plan")]
    OtherProgram {
        /// The node's name.
        node: String,
        /// The path of the program that the node runs.
        program: String,
    },
    /// The node uses neither file of settings of the plan.
    #[error("{node}: it uses neither file of the plan")]
    OtherSettings {
        /// The node's name.
        node: String,
    },
    /// The node is unhealthy.
    #[error("{node}: it is unhealthy")]
    Unhealthy {
        /// The node's name.
        node: String,
    },
}

fn lines<T: std::fmt::Display>(items: &[T]) -> String {
    items.iter().map(T::to_string).collect::<Vec<_>>().join("\n")
}
