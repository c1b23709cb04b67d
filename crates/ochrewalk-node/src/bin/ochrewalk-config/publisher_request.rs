//! Sends requests to a running publisher at its control socket.

use crate::error::ConfigCommandError;
use ochrewalk_control_plane::control::send_request;
use ochrewalk_distribution::messages::{Body, Position};
use std::path::Path;

/// Sends a request and returns the reply. A refusal is an error.
pub(crate) fn request(control: &Path, body: Body) -> Result<Body, ConfigCommandError> {
    match send_request(control, body)? {
        Body::Refused(refused) => Err(ConfigCommandError::Refused { reasons: refused.reasons }),
        reply => Ok(reply),
    }
}

/// Sends a request that changes the configuration. Returns the position that the change was published as.
pub(crate) fn request_change(control: &Path, body: Body) -> Result<Position, ConfigCommandError> {
    match request(control, body)? {
        Body::Published(published) => Ok(published.position),
        _ => Err(ConfigCommandError::UnexpectedReply),
    }
}

/// Formats a position as `EPOCH.REVISION`.
pub(crate) fn format_position(position: Position) -> String {
    format!("{}.{}", position.epoch, position.revision)
}
