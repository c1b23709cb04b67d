//! The publisher's control socket: operators of the same user send requests there, one a connection. A thread of its own
//! waits for them, so that a client that connects and sends nothing does not delay the event loop.

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

/// How long a client may take to write its request or to read the reply.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The most requests at a time: each has a thread while it lasts.
const MAX_REQUESTS: usize = 16;
const READ_CHUNK: usize = 64 * 1024;

/// A request of an operator.
#[derive(Debug)]
pub struct Request {
    /// The request.
    pub body: Body,
    /// Takes the reply; only one is read.
    pub reply: Sender<Body>,
}

/// Why a request got no reply.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The socket cannot be used.
    #[error("{path}: {source}")]
    Io {
        /// The socket.
        path: PathBuf,
        /// What the operating system reports.
        source: io::Error,
    },
    /// The publisher closed the connection without a reply.
    #[error("{0}: no answer that can be read")]
    NoReply(PathBuf),
}

/// Listens at `path`, in place of a socket that a killed publisher left. Requests arrive at the receiver, and the event loop
/// is woken for each.
///
/// # Errors
///
/// Where the socket or its thread cannot be made.
pub fn listen(path: &Path, waker: Arc<Waker>) -> io::Result<Receiver<Request>> {
    let listener = bind(path)?;
    let (sender, receiver) = channel();
    std::thread::Builder::new().name("control".into()).spawn(move || {
        let slots = Arc::new(());
        for stream in listener.incoming().flatten() {
            if Arc::strong_count(&slots) > MAX_REQUESTS {
                continue;
            }
            let (sender, waker, slot) = (sender.clone(), waker.clone(), slots.clone());
            let served = std::thread::Builder::new().spawn(move || {
                let _ = serve(stream, &sender, &waker);
                drop(slot);
            });
            if served.is_err() {
                tracing::warn!(part = "config", "no thread for a request of an operator");
            }
        }
    })?;
    Ok(receiver)
}

/// A socket for this user alone, in the place of one that may still be there from a process that was killed or has handed
/// over.
///
/// # Errors
///
/// Where the socket cannot be made at `path`.
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
        let not_running = io::Error::from(io::ErrorKind::BrokenPipe);
        requests.send(Request { body, reply }).map_err(|_| not_running)?;
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

/// Whether the other side is a process of this user, or of root.
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
/// Where the socket cannot be used, or no reply arrives in time.
pub fn send_request(path: &Path, body: Body) -> Result<Body, ControlError> {
    let fault = |source| ControlError::Io { path: path.into(), source };
    let mut stream = UnixStream::connect(path).map_err(fault)?;
    stream.set_read_timeout(Some(2 * TIMEOUT)).map_err(fault)?;
    stream.set_write_timeout(Some(TIMEOUT)).map_err(fault)?;
    let mut out = Vec::new();
    frame::encode(body, &mut out);
    stream.write_all(&out).map_err(fault)?;
    read_message(&mut stream).map_err(fault)?.ok_or_else(|| ControlError::NoReply(path.into()))
}
