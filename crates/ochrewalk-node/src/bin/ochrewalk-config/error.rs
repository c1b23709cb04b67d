//! Why a command fails.

use ochrewalk_control_plane::control::ControlError;
use ochrewalk_control_plane::publisher::PublisherError;
use ochrewalk_control_plane::relay::RelayError;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigCommandError {
    #[error(transparent)]
    Publisher(#[from] PublisherError),
    #[error(transparent)]
    Relay(#[from] RelayError),
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error("{path}: {source}")]
    File { path: PathBuf, source: std::io::Error },
    #[error("{}", .0.join("\n"))]
    Faults(Vec<String>),
    #[error("refused: {}", .0.join("\n"))]
    Refused(Vec<String>),
    #[error("the publisher answered what was not asked")]
    OtherAnswer,
    #[error("cannot wait for signals: {0}")]
    Signals(std::io::Error),
}
