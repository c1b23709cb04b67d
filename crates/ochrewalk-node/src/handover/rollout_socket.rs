//! Requests and replies of a rollout on a supervisor's control socket.

use ochrewalk_rollout::framing::{encode_message, read_message, FramingError};
use ochrewalk_rollout::messages::{Reply, Request, Response, PROTOCOL_VERSION};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// The line before a request, which tells it from what operators ask on the same socket.
pub const REQUEST_LINE: &str = "rollout";

/// Replies to a request. A controller that does not wait any more hears nothing, and asks again.
pub fn send_reply(stream: &mut UnixStream, reply: Reply) {
    let response = Response { protocol_version: PROTOCOL_VERSION, reply: Some(reply) };
    let _ = stream.write_all(&encode_message(&response));
}

/// Sends a request to a node, and waits for its response. `timeout` bounds each read and write.
///
/// # Errors
/// The node cannot be reached, does not respond in time, or responds with something else.
pub fn send_request(control: &Path, request: &Request, timeout: Duration) -> Result<Response, FramingError> {
    let mut stream = UnixStream::connect(control)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(format!("{REQUEST_LINE}\n").as_bytes())?;
    stream.write_all(&encode_message(request))?;
    read_message(&mut stream)
}
