//! The publisher's control socket: operators of the same user send requests to it, one per connection. A separate thread
//! accepts the connections, so that a client that connects and sends nothing does not delay the event loop.

use crate::frame::{self, FrameDecoder, MAX_OPERATOR_FRAME};
use mio::Waker;
use ochrewalk_distribution::messages::{Body, Refused};
use rustix::net::sockopt::socket_peercred;
use std::io::{self, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

/// The time within which a client has to write its request or to read the reply.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The most concurrent requests; each one uses a thread.
const MAX_REQUESTS: usize = 16;
const READ_CHUNK: usize = 64 * 1024;

/// A request of an operator.
#[derive(Debug)]
pub struct Request {
    /// The content of the request.
    pub body: Body,
    /// The channel for the reply; only one reply is read.
    pub reply: Sender<Body>,
}

/// The reason why a request got no reply.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The socket cannot be used.
    #[error("{path}: {source}")]
    Io {
        /// The path of the socket.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The publisher closed the connection without a reply.
    #[error("{0}: no answer that can be read")]
    NoReply(PathBuf),
}

/// Listens at `path`, and replaces a socket that a killed publisher left behind. Requests are sent to the returned
/// receiver, and the event loop is woken for each of them.
///
/// # Errors
///
/// Returns an error if the socket or its thread cannot be created.
pub fn listen(path: &Path, waker: Arc<Waker>) -> io::Result<Receiver<Request>> {
    let listener = bind(path)?;
    let (sender, receiver) = channel();
    std::thread::Builder::new().name("control".into()).spawn(move || {
        let active_requests = Arc::new(());
        for stream in listener.incoming().flatten() {
            if Arc::strong_count(&active_requests) > MAX_REQUESTS {
                continue;
            }
            let (sender, waker, slot) = (sender.clone(), waker.clone(), active_requests.clone());
            let served = std::thread::Builder::new().spawn(move || {
                let _ = serve(stream, &sender, &waker);
                drop(slot);
            });
            if served.is_err() {
                tracing::warn!(part = "config", "cannot start a thread for an operator's request");
            }
        }
    })?;
    Ok(receiver)
}

/// Binds a socket that only this user may use, and replaces one that was left behind by a process that was killed or has
/// handed over.
///
/// # Errors
///
/// Returns an error if the socket cannot be created at `path`.
pub fn bind(path: &Path) -> io::Result<UnixListener> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}

fn serve(mut stream: UnixStream, requests: &Sender<Request>, waker: &Waker) -> io::Result<()> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let reply = if is_owner(&stream) {
        let Some(body) = read_message(&mut stream)? else { return Ok(()) };
        let (reply, reply_receiver) = channel();
        let broken_pipe = io::Error::from(io::ErrorKind::BrokenPipe);
        requests.send(Request { body, reply }).map_err(|_| broken_pipe)?;
        waker.wake()?;
        match reply_receiver.recv_timeout(TIMEOUT) {
            Ok(reply) => reply,
            Err(_) => Body::Refused(Refused { reasons: vec!["no answer in time".into()] }),
        }
    } else {
        Body::Refused(Refused { reasons: vec!["another user".into()] })
    };
    let mut out = Vec::new();
    frame::encode(reply, &mut out);
    stream.write_all(&out)
}

/// Whether the peer is a process of this user, or of root.
pub fn is_owner(stream: &UnixStream) -> bool {
    let own = rustix::process::geteuid();
    socket_peercred(stream).is_ok_and(|peer| peer.uid == own || peer.uid.is_root())
}

fn read_message(stream: &mut UnixStream) -> io::Result<Option<Body>> {
    let mut decoder = FrameDecoder::new(MAX_OPERATOR_FRAME);
    let mut chunk = vec![0; READ_CHUNK];
    loop {
        match decoder.next_message() {
            Ok(Some(body)) => return Ok(Some(body)),
            Ok(None) => {}
            Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error)),
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => decoder.push(&chunk[..count]),
        }
    }
}

/// Sends a request to the publisher whose control socket is at `path`, and waits for the reply.
///
/// # Errors
///
/// Returns an error if the socket cannot be used, or no reply arrives in time.
pub fn send_request(path: &Path, body: Body) -> Result<Body, ControlError> {
    let io_error = |source| ControlError::Io { path: path.into(), source };
    let mut stream = UnixStream::connect(path).map_err(io_error)?;
    stream.set_read_timeout(Some(2 * TIMEOUT)).map_err(io_error)?;
    stream.set_write_timeout(Some(TIMEOUT)).map_err(io_error)?;
    let mut out = Vec::new();
    frame::encode(body, &mut out);
    stream.write_all(&out).map_err(io_error)?;
    read_message(&mut stream).map_err(io_error)?.ok_or_else(|| ControlError::NoReply(path.into()))
}
