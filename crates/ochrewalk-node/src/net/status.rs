//! The status socket: a table of upstream endpoints for operators, on a Unix socket of the node's owner.

use super::ajp_upstream::AjpUpstreamClient;
use ochrewalk_control_plane::control::{bind, is_owner};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// The time limit for a read or a write, which bounds the wait for a client that sends a request and does not read.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the table on a separate thread. Logs an error and returns where the socket cannot be created.
pub fn serve(path: &Path, upstream: AjpUpstreamClient) {
    let listener = match bind(path) {
        Ok(listener) => listener,
        Err(err) => {
            return tracing::error!(part = "status", place = %path.display(), "failed to create the status socket: {err}")
        }
    };
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let table =
                if is_owner(&stream) { upstream.endpoint_table() } else { "refused: another user\n".into() };
            let _ = stream.set_write_timeout(Some(TIMEOUT));
            let _ = stream.write_all(table.as_bytes());
        }
    });
}

/// Requests the table of a running node.
///
/// # Errors
///
/// The socket cannot be used, or the node has refused the request; the text states the reason.
pub fn query(path: &Path) -> Result<String, String> {
    let io_error = |err: std::io::Error| format!("{}: {err}", path.display());
    let mut stream = UnixStream::connect(path).map_err(io_error)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(io_error)?;
    let mut table = String::new();
    stream.read_to_string(&mut table).map_err(io_error)?;
    match table.strip_prefix("refused: ") {
        Some(reason) => Err(format!("refused: {}", reason.trim_end())),
        None => Ok(table),
    }
}
