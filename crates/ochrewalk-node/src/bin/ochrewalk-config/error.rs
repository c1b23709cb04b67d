//! Why a command fails.

use ochrewalk_control_plane::control::ControlError;
use ochrewalk_control_plane::publisher::PublisherError;
use ochrewalk_control_plane::relay::RelayError;
use ochrewalk_operator_config::Diagnostic;
use std::path::PathBuf;

/// Why a command failed. Its text is what the operator reads on standard error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigCommandError {
    /// The publisher cannot start, or its event loop fails.
    #[error(transparent)]
    Publisher(#[from] PublisherError),
    /// A relay cannot start, or its event loop fails.
    #[error(transparent)]
    Relay(#[from] RelayError),
    /// The publisher's control socket cannot be used.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The file of changes cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system reports.
        source: std::io::Error,
    },
    /// The file has invalid lines; each diagnostic names one.
    #[error("{}", lines(.0))]
    InvalidChanges(Vec<Diagnostic>),
    /// The publisher refuses the request.
    #[error("refused: {}", .reasons.join("\n"))]
    Refused {
        /// The reasons that it gives.
        reasons: Vec<String>,
    },
    /// The publisher's reply is not one to this request.
    #[error("the publisher answered what was not asked")]
    UnexpectedReply,
    /// SIGTERM and SIGINT cannot be waited for.
    #[error("cannot wait for signals: {0}")]
    Signals(std::io::Error),
}

fn lines(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    lines.join("\n")
}
