//! The control socket: requests of operators and rollouts, and the operators' side of a request.

use super::error::RequestError;
use super::requester::Requester;
use super::{Event, Supervisor, SupervisorError, UpgradeError};
use crate::handover::rollout_socket;
use crate::handover::serving_child::ChildSpec;
use crate::handover::supervisor_protocol::AttemptOutcome;
use ochrewalk_control_plane::control::is_owner;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::time::Duration;

/// What begins a request for an upgrade; the program's path follows.
const UPGRADE: &str = "upgrade ";
/// How long whoever connects may take to say what for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest request, in bytes.
const MAX_REQUEST_BYTES: u64 = 4096;
/// How long whoever asks for an upgrade waits for its outcome.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(60);
/// Mode bits that the socket is made without.
const UMASK: u32 = 0o177;
/// The socket is its owner's alone.
const SOCKET_MODE: u32 = 0o600;

/// Listens at the control socket, and reports connections from here on by a thread of its own.
pub(super) fn report_connections(control: &Path, events: Sender<Event>) -> Result<(), SupervisorError> {
    // A socket that nobody listens at was left by a supervisor that was killed.
    if UnixStream::connect(control).is_ok() {
        return Err(SupervisorError::AlreadyRunning { path: control.into() });
    }
    let listener =
        listen(control).map_err(|error| SupervisorError::ControlSocket { path: control.into(), error })?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = events.send(Event::Connected(stream));
        }
    });
    Ok(())
}

/// A socket for its owner alone. It is made under another name and renamed, so that at no moment others can connect.
fn listen(control: &Path) -> io::Result<UnixListener> {
    let _ = std::fs::remove_file(control);
    let temporary = PathBuf::from(format!("{}.{}", control.display(), std::process::id()));
    let _ = std::fs::remove_file(&temporary);
    let umask_before = rustix::process::umask(rustix::fs::Mode::from_raw_mode(UMASK));
    let listener = UnixListener::bind(&temporary);
    rustix::process::umask(umask_before);
    let listener = listener?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    std::fs::rename(&temporary, control)?;
    Ok(listener)
}

/// What is asked for at the control socket.
enum ControlRequest {
    /// An operator asks for another program.
    Upgrade { program: String },
    /// A rollout's message follows.
    Rollout { input: BufReader<io::Take<UnixStream>> },
}

/// Reads what is asked for; none where the connection cannot be read for lack of descriptors.
fn read_request(stream: &UnixStream) -> Result<Option<ControlRequest>, RequestError> {
    if !is_owner(stream) {
        return Err(RequestError::AnotherUser);
    }
    let _ = stream.set_read_timeout(Some(REQUEST_TIMEOUT));
    let Ok(input) = stream.try_clone() else { return Ok(None) };
    let mut input = BufReader::new(input.take(MAX_REQUEST_BYTES));
    let mut line = String::new();
    input.read_line(&mut line).map_err(|_| RequestError::NoRequest)?;
    if line.trim_end() == rollout_socket::REQUEST_LINE {
        return Ok(Some(ControlRequest::Rollout { input }));
    }
    let program = line.strip_prefix(UPGRADE).ok_or(RequestError::UnknownRequest)?;
    Ok(Some(ControlRequest::Upgrade { program: program.trim_end().into() }))
}

impl Supervisor {
    /// Somebody has connected to the control socket.
    pub(super) fn handle_request(&mut self, mut stream: UnixStream) {
        let handled = match read_request(&stream) {
            Ok(None) => Ok(()),
            Ok(Some(ControlRequest::Rollout { mut input })) => {
                return self.handle_rollout_request(stream, &mut input);
            }
            Ok(Some(ControlRequest::Upgrade { program })) => self.begin_upgrade(&stream, program),
            Err(error) => Err(error),
        };
        if let Err(error) = handled {
            let _ = writeln!(stream, "{error}");
        }
    }

    /// An operator asks for another program; the operators' file stays the one of the child that serves.
    fn begin_upgrade(&mut self, stream: &UnixStream, program: String) -> Result<(), RequestError> {
        let child = self.available_predecessor().ok_or(RequestError::Busy)?;
        let operators = self.children.get(child).and_then(|child| child.serving.spec.operators.clone());
        let spec = ChildSpec { program: PathBuf::from(&program), operators };
        let requester = stream.try_clone().map(Requester::Operator);
        requester
            .and_then(|requester| self.begin_hand_over(child, &spec, requester))
            .map_err(|error| RequestError::Start { program, error })
    }
}

/// Asks the supervisor at a control socket for an upgrade to a program, and waits until it has handed over.
///
/// # Errors
///
/// The upgrade has not come about; the program before serves on.
pub fn request_upgrade(control: &Path, program: &Path) -> Result<(), UpgradeError> {
    let program = std::fs::canonicalize(program)
        .map_err(|error| UpgradeError::Program { path: program.into(), error })?;
    let answer = exchange(control, &program)
        .map_err(|error| UpgradeError::ControlSocket { path: control.into(), error })?;
    match answer.trim_end() {
        "" => Err(UpgradeError::NoAnswer),
        answer => match AttemptOutcome::from(answer) {
            AttemptOutcome::HandedOver => Ok(()),
            AttemptOutcome::Failed(reason) => Err(UpgradeError::Failed { reason }),
        },
    }
}

/// Sends a request for an upgrade; gives the line that answers it.
fn exchange(control: &Path, program: &Path) -> io::Result<String> {
    let mut stream = UnixStream::connect(control)?;
    stream.set_read_timeout(Some(OUTCOME_TIMEOUT))?;
    writeln!(stream, "{UPGRADE}{}", program.display())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line)
}
