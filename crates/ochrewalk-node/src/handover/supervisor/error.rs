//! Why a supervisor cannot run, and why an upgrade does not come about.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a supervisor does not run.
#[derive(Debug, Error)]
pub enum SupervisorError {
    /// Signals cannot be received.
    #[error("cannot wait for signals: {0}")]
    Signals(#[source] io::Error),
    /// The control socket cannot be made.
    #[error("{}: {error}", path.display())]
    ControlSocket {
        /// The socket's path.
        path: PathBuf,
        /// What the operating system reports.
        error: io::Error,
    },
    /// The control socket is that of a supervisor that runs.
    #[error("{}: another supervisor listens there", path.display())]
    AlreadyRunning {
        /// The socket's path.
        path: PathBuf,
    },
    /// The program that this process runs cannot be found.
    #[error(transparent)]
    OwnProgram(io::Error),
    /// The first child cannot be started.
    #[error("{}: {error}", program.display())]
    Start {
        /// The child's program.
        program: PathBuf,
        /// What the operating system reports.
        error: io::Error,
    },
    /// The status of the child that acted last could not be learnt.
    #[error("the program that served cannot be waited for")]
    UnknownStatus,
}

/// Why an upgrade that was asked for has not come about.
#[derive(Debug, Error)]
pub enum UpgradeError {
    /// The new program cannot be found.
    #[error("{}: {error}", path.display())]
    Program {
        /// The program's path.
        path: PathBuf,
        /// What the operating system reports.
        error: io::Error,
    },
    /// The supervisor cannot be reached, or does not answer.
    #[error("{}: {error}", path.display())]
    ControlSocket {
        /// The socket's path.
        path: PathBuf,
        /// What the operating system reports.
        error: io::Error,
    },
    /// The supervisor closed the connection without an answer.
    #[error("the supervisor ended without a word")]
    NoAnswer,
    /// The supervisor refused, or the hand-over failed.
    #[error("{reason}")]
    Failed {
        /// The supervisor's answer.
        reason: String,
    },
}

/// Why an upgrade that had begun failed.
#[derive(Debug, Error)]
pub(super) enum UpgradeFailure {
    /// The hand-over failed.
    #[error("{reason}")]
    HandOver { reason: String },
    /// The child that was to follow on a restart cannot be started.
    #[error("{}: {error}", program.display())]
    Start { program: PathBuf, error: io::Error },
    /// The node drains.
    #[error("the node was told to leave")]
    Draining,
}

/// Why a request at the control socket is refused.
#[derive(Debug, Error)]
pub(super) enum RequestError {
    #[error("refused: another user")]
    AnotherUser,
    #[error("refused: nothing was asked for")]
    NoRequest,
    #[error("refused: write upgrade PROGRAM")]
    UnknownRequest,
    #[error("refused: another upgrade is under way")]
    Busy,
    #[error("refused: {program}: {error}")]
    Start { program: String, error: io::Error },
}
