//! Requests to a running publisher, at its control socket.

use crate::error::ConfigCommandError;
use ochrewalk_control_plane::control::send_request;
use ochrewalk_distribution::messages::{Body, Position};
use std::path::Path;

pub(crate) fn request(control: &Path, body: Body) -> Result<Body, ConfigCommandError> {
    match send_request(control, body)? {
        Body::Refused(refused) => Err(ConfigCommandError::Refused(refused.reasons)),
        answer => Ok(answer),
    }
}

pub(crate) fn show(position: Position) -> String {
    format!("{}.{}", position.epoch, position.revision)
}
