//! Errors of a supervisor, and reasons why an upgrade fails.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why a supervisor cannot run.
#[derive(Debug, Error)]
pub enum SupervisorError {
    /// The control socket cannot be created.
    #[error("{}: {error}", path.display())]
    ControlSocket {
        /// The socket's path.
        path: PathBuf,
        /// The error that the operating system reports.
        error: io::Error,
    },
    /// Another running supervisor listens at the control socket.
    #[error("{}: another supervisor listens there", path.display())]
    AlreadyRunning {
        /// The socket's path.
        path: PathBuf,
    },
    /// The path of this process's program cannot be determined.
    #[error(transparent)]
    OwnProgram(io::Error),
    /// The first child cannot be started.
    #[error("{}: {error}", program.display())]
    Start {
        /// The child's program.
        program: PathBuf,
        /// The error that the operating system reports.
        error: io::Error,
    },
    /// The exit status of the child that acted last is not known.
    #[error("the exit status of the program that served is not known")]
    UnknownStatus,
}

/// The reason why the child that serves cannot be replaced now.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NotReplaceable {
    /// The node has been notified to drain. This is final: the node ends.
    #[error("the node is draining")]
    Draining,
    /// The child is being replaced already.
    #[error("another upgrade is under way")]
    InProgress,
}

/// The reason why a requested upgrade failed.
#[derive(Debug, Error)]
pub enum UpgradeError {
    /// The new program cannot be found.
    #[error("{}: {error}", path.display())]
    Program {
        /// The program's path.
        path: PathBuf,
        /// The error that the operating system reports.
        error: io::Error,
    },
    /// The supervisor cannot be reached, or does not answer.
    #[error("{}: {error}", path.display())]
    ControlSocket {
        /// The socket's path.
        path: PathBuf,
        /// The error that the operating system reports.
        error: io::Error,
    },
    /// The supervisor closed the connection without an answer.
    #[error("the supervisor closed the connection without an answer")]
    NoAnswer,
    /// The supervisor refused, or the hand-over failed.
    #[error("{reason}")]
    Failed {
        /// The supervisor's answer.
        reason: String,
    },
}

/// The reason why an upgrade failed after it had begun.
#[derive(Debug, Error)]
pub(super) enum UpgradeFailure {
    /// The hand-over failed.
    #[error("{reason}")]
    HandOver { reason: String },
    /// The new child of a restart cannot be started.
    #[error("{}: {error}", program.display())]
    Start { program: PathBuf, error: io::Error },
    /// The node drains.
    #[error("the node is draining")]
    Draining,
}

/// The reason why a request at the control socket is refused.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    #[error("refused: another user")]
    AnotherUser,
    #[error("refused: nothing was asked for")]
    NoRequest,
    #[error("refused: write upgrade PROGRAM")]
    UnknownRequest,
    #[error("refused: {0}")]
    NotReplaceable(#[from] NotReplaceable),
    #[error("refused: {program}: {error}")]
    Start { program: String, error: io::Error },
}
