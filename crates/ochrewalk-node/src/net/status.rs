//! How places below stand, for operators: a table on a Unix socket of the node's owner.

use super::ajp_below::AjpBelow;
use ochrewalk_control_plane::control::{bind, is_owner};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Guards against one who asks and does not read.
const PATIENCE: Duration = Duration::from_secs(2);

/// Answers there by a thread of its own. Where the socket cannot be made the log says so and nothing else changes.
pub fn serve(path: &Path, by_ajp: AjpBelow) {
    let listener = match bind(path) {
        Ok(listener) => listener,
        Err(err) => return tracing::error!(part = "status", place = %path.display(), "not there: {err}"),
    };
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let table = if is_owner(&stream) { by_ajp.table() } else { "refused: another user\n".into() };
            let _ = stream.set_write_timeout(Some(PATIENCE));
            let _ = stream.write_all(table.as_bytes());
        }
    });
}

/// Asks a running node.
pub fn ask(path: &Path) -> Result<String, String> {
    let fault = |err: std::io::Error| format!("{}: {err}", path.display());
    let mut stream = UnixStream::connect(path).map_err(fault)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(fault)?;
    let mut table = String::new();
    stream.read_to_string(&mut table).map_err(fault)?;
    match table.strip_prefix("refused: ") {
        Some(why) => Err(format!("refused: {}", why.trim_end())),
        None => Ok(table),
    }
}
