//! Commands of operators to a running controller, on a socket in the record's folder: one line per command, and lines of
//! text as the reply.

use super::error::RolloutError;
use super::plan::operator_socket_path;
use ochrewalk_control_plane::control::is_owner;
use ochrewalk_operator_config::RolloutPlan;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::Duration;

/// The time limit for the controller to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// The time limit for an operator's program to send its line.
const LINE_TIMEOUT: Duration = Duration::from_secs(2);

/// A command of an operator to a running controller. The reply to each command is the status of the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerCommand {
    /// Requests only the status of the rollout.
    Status,
    /// Pauses the rollout at the current stage.
    Pause,
    /// Reverts all changed nodes.
    RollBack,
}

impl ControllerCommand {
    /// Returns the line on the socket.
    pub fn line(self) -> &'static str {
        match self {
            ControllerCommand::Status => "status",
            ControllerCommand::Pause => "pause",
            ControllerCommand::RollBack => "back",
        }
    }

    /// Parses a line. An unknown line changes nothing, like `status`.
    pub fn of_line(line: &str) -> ControllerCommand {
        match line {
            "pause" => ControllerCommand::Pause,
            "back" => ControllerCommand::RollBack,
            _ => ControllerCommand::Status,
        }
    }
}

/// Sends a command to the controller of a plan, and returns the reply.
///
/// # Errors
/// No controller runs, or it does not reply in time.
pub fn send_to_controller(plan: &RolloutPlan, command: ControllerCommand) -> Result<String, RolloutError> {
    let path = operator_socket_path(plan);
    let exchange = || -> std::io::Result<String> {
        let mut stream = UnixStream::connect(&path)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        writeln!(stream, "{}", command.line())?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply)?;
        Ok(reply)
    };
    exchange().map_err(|source| RolloutError::File { path: path.clone(), source })
}

/// Listens on a separate thread. `handle` is called with each command and the stream for the reply.
///
/// # Errors
/// The socket cannot be created.
pub(super) fn listen(
    socket: &Path,
    mut handle: impl FnMut(ControllerCommand, UnixStream) + Send + 'static,
) -> Result<(), RolloutError> {
    // The caller has locked the record, so that an existing socket was left by a controller that was killed.
    let _ = std::fs::remove_file(socket);
    let listener =
        UnixListener::bind(socket).map_err(|source| RolloutError::File { path: socket.into(), source })?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten().filter(is_owner) {
            if let Ok(command) = read_command(&stream) {
                handle(command, stream);
            }
        }
    });
    Ok(())
}

fn read_command(stream: &UnixStream) -> std::io::Result<ControllerCommand> {
    let _ = stream.set_read_timeout(Some(LINE_TIMEOUT));
    let mut line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut line)?;
    Ok(ControllerCommand::of_line(line.trim_end()))
}
