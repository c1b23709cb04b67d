//! What operators tell a running controller, by a socket beside the record: one line there, some lines of text back.

use super::error::RolloutError;
use super::plan::operator_socket_path;
use ochrewalk_control_plane::control::is_owner;
use ochrewalk_operator_config::RolloutPlan;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::Duration;

/// How long the controller may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an operator's program may take to send its line.
const LINE_TIMEOUT: Duration = Duration::from_secs(2);

/// What an operator tells a running controller. Each is replied to by how the rollout stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerCommand {
    /// Only to say how the rollout stands.
    Status,
    /// To stop where it is.
    Pause,
    /// To revert all changed nodes.
    RollBack,
}

impl ControllerCommand {
    /// The line on the socket.
    pub fn line(self) -> &'static str {
        match self {
            ControllerCommand::Status => "status",
            ControllerCommand::Pause => "pause",
            ControllerCommand::RollBack => "back",
        }
    }

    /// The command of that line. A line that is not known here changes nothing, as `status` does.
    pub fn of_line(line: &str) -> ControllerCommand {
        match line {
            "pause" => ControllerCommand::Pause,
            "back" => ControllerCommand::RollBack,
            _ => ControllerCommand::Status,
        }
    }
}

/// Tells the controller of that plan, and returns its reply.
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

/// Listens on a thread of its own. `take` is given each command, and the stream to reply on.
///
/// # Errors
/// The socket cannot be created.
pub(super) fn listen(
    socket: &Path,
    mut take: impl FnMut(ControllerCommand, UnixStream) + Send + 'static,
) -> Result<(), RolloutError> {
    // The record's lock is held, so that a socket that is there was left by a controller that was killed.
    let _ = std::fs::remove_file(socket);
    let listener =
        UnixListener::bind(socket).map_err(|source| RolloutError::File { path: socket.into(), source })?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten().filter(is_owner) {
            if let Ok(command) = read_command(&stream) {
                take(command, stream);
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
