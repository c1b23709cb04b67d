//! The reasons why a command fails.

use ochrewalk_control_plane::control::ControlError;
use ochrewalk_control_plane::publisher::PublisherError;
use ochrewalk_control_plane::relay::RelayError;
use ochrewalk_operator_config::Diagnostic;
use std::path::PathBuf;

/// The reason why a command failed. The text is printed to standard error for the operator.
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
        /// The error that the operating system reports.
        source: std::io::Error,
    },
    /// The file has invalid lines; each diagnostic names one.
    #[error("{}", lines(.0))]
    InvalidChanges(Vec<Diagnostic>),
    /// The publisher refuses the request.
    #[error("refused: {}", .reasons.join("\n"))]
    Refused {
        /// The reasons that the publisher gives.
        reasons: Vec<String>,
    },
    /// The publisher's reply does not match the request.
    #[error("the publisher's reply does not match the request")]
    UnexpectedReply,
    /// The handlers of SIGTERM and SIGINT cannot be installed.
    #[error("cannot wait for signals: {0}")]
    Signals(std::io::Error),
}

fn lines(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    lines.join("\n")
}
