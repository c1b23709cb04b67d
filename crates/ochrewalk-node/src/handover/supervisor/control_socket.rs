//! The control socket: the server side for requests of operators and rollouts, and the operators' client side.

use super::error::RequestError;
use super::requester::Requester;
use super::{Event, Supervisor, SupervisorError, UpgradeError};
use crate::handover::rollout_socket;
use crate::handover::serving_child::ChildSpec;
use crate::handover::supervisor_protocol::AttemptOutcome;
use ochrewalk_control_plane::control::is_owner;
use ochrewalk_rollout::framing::read_message;
use ochrewalk_rollout::messages::Request;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;

/// The prefix of a request for an upgrade; the program's path follows.
const UPGRADE: &str = "upgrade ";
/// The time limit for a client to send its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of requests that are read at the same time.
const MAX_READERS: usize = 32;
/// The maximal length of a request in bytes.
const MAX_REQUEST_BYTES: u64 = 4096;
/// The time for which a client waits for the outcome of an upgrade.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(60);
/// The umask while the socket is created: no access for group and others.
const UMASK: u32 = 0o177;
/// The mode of the socket: access for its owner only.
const SOCKET_MODE: u32 = 0o600;

/// Listens at the control socket, and starts a thread that reports requests. Each request is read by a thread of its own, as
/// its client may be slow or send nothing: the supervisor waits for no client.
pub(super) fn report_requests(control: &Path, events: Sender<Event>) -> Result<(), SupervisorError> {
    // A socket without a listener was left by a supervisor that was killed, and is replaced.
    if UnixStream::connect(control).is_ok() {
        return Err(SupervisorError::AlreadyRunning { path: control.into() });
    }
    let listener =
        listen(control).map_err(|error| SupervisorError::ControlSocket { path: control.into(), error })?;
    std::thread::spawn(move || {
        let readers = Arc::new(());
        for stream in listener.incoming().flatten() {
            // A connection beyond the limit is closed without an answer; its client requests again.
            if Arc::strong_count(&readers) > MAX_READERS {
                continue;
            }
            let (events, reader) = (events.clone(), readers.clone());
            std::thread::spawn(move || {
                if let Some(request) = read_request(&stream).transpose() {
                    let _ = events.send(Event::Request { stream, request });
                }
                drop(reader);
            });
        }
    });
    Ok(())
}

/// Creates a socket that only its owner can connect to. The socket is created under a temporary name and renamed, so that
/// other users can connect at no time.
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

/// A request at the control socket.
pub(super) enum ControlRequest {
    /// An operator's request to run another program.
    Upgrade { program: String },
    /// A request of a rollout.
    Rollout(Request),
}

/// Reads a request. Returns none where the connection cannot be read for lack of descriptors, or the message of a rollout is
/// missing or invalid.
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
        return Ok(read_message(&mut input).ok().map(ControlRequest::Rollout));
    }
    let program = line.strip_prefix(UPGRADE).ok_or(RequestError::UnknownRequest)?;
    Ok(Some(ControlRequest::Upgrade { program: program.trim_end().into() }))
}

impl Supervisor {
    /// Handles a request at the control socket.
    pub(super) fn handle_request(
        &mut self,
        mut stream: UnixStream,
        request: Result<ControlRequest, RequestError>,
    ) {
        let handled = match request {
            Ok(ControlRequest::Rollout(request)) => return self.handle_rollout_request(stream, &request),
            Ok(ControlRequest::Upgrade { program }) => self.begin_upgrade(&stream, program),
            Err(error) => Err(error),
        };
        if let Err(error) = handled {
            let _ = writeln!(stream, "{error}");
        }
    }

    /// Begins an upgrade that an operator has requested. The new child uses the same operators' file as the present one.
    fn begin_upgrade(&mut self, stream: &UnixStream, program: String) -> Result<(), RequestError> {
        let child = self.available_predecessor()?;
        let operators = self.children.get(child).and_then(|child| child.serving.spec.operators.clone());
        let spec = ChildSpec { program: PathBuf::from(&program), operators };
        let requester = stream.try_clone().map(Requester::Operator);
        requester
            .and_then(|requester| self.begin_hand_over(child, &spec, requester))
            .map_err(|error| RequestError::Start { program, error })
    }
}

/// Requests an upgrade to a program from the supervisor at a control socket, and waits until the new program serves.
///
/// # Errors
///
/// The upgrade failed; the previous program continues to serve.
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

/// Sends a request for an upgrade, and returns the line that answers it.
fn exchange(control: &Path, program: &Path) -> io::Result<String> {
    let mut stream = UnixStream::connect(control)?;
    stream.set_read_timeout(Some(OUTCOME_TIMEOUT))?;
    writeln!(stream, "{UPGRADE}{}", program.display())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line)
}
