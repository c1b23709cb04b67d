//! The publisher's control socket: operators of the same user ask there, one request a connection. A thread of its own
//! waits for them, so that nobody who connects and says nothing holds up the event loop.

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

/// Guards against one who asks and neither writes nor reads.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Requests under way at a time: each has a thread while it lasts.
const MAX_REQUESTS: usize = 16;
const READ_CHUNK: usize = 64 * 1024;

/// What an operator asked, and where the reply goes.
#[derive(Debug)]
pub struct Request {
    pub body: Body,
    pub reply: Sender<Body>,
}

/// Why a request got no reply.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: io::Error },
    #[error("{0}: no answer that can be read")]
    NoAnswer(PathBuf),
}

/// Listens at `path`, in place of a socket that a killed publisher left. Each request comes out of the receiver, and the
/// event loop is woken for it.
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

/// A socket for this user alone, in the place of one that may still be there: of a program that was killed or has handed
/// over.
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
            Err(why) => return Err(io::Error::new(io::ErrorKind::InvalidData, why)),
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => decoder.push(&chunk[..count]),
        }
    }
}

/// Asks the publisher at `path`, as an operator.
pub fn send_request(path: &Path, body: Body) -> Result<Body, ControlError> {
    let fault = |source| ControlError::Io { path: path.into(), source };
    let mut stream = UnixStream::connect(path).map_err(fault)?;
    stream.set_read_timeout(Some(2 * TIMEOUT)).map_err(fault)?;
    stream.set_write_timeout(Some(TIMEOUT)).map_err(fault)?;
    let mut out = Vec::new();
    frame::encode(body, &mut out);
    stream.write_all(&out).map_err(fault)?;
    read_message(&mut stream).map_err(fault)?.ok_or_else(|| ControlError::NoAnswer(path.into()))
}
