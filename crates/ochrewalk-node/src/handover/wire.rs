//! The Unix streams that a hand-over goes over: messages with descriptors beside them, blocking, each step with its
//! limit of time. Used by threads, never by coroutines.

use ochrewalk_handover::framing::{self, Decoded};
use ochrewalk_handover::messages::{Message, MAX_DESCRIPTORS};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use std::collections::VecDeque;
use std::io::{Error, ErrorKind, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::Duration;

const CHUNK: usize = 64 * 1024;
/// Room for the descriptors of one message.
const ROOM: usize = rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS));

pub struct Wire {
    stream: UnixStream,
    input: Vec<u8>,
    came: VecDeque<OwnedFd>,
}

/// What was heard.
#[derive(Debug)]
pub enum Heard {
    Message(Message),
    /// A message that a newer program has added.
    Unknown,
    Nothing,
    /// The other process has ended.
    Ended,
}

impl Wire {
    pub fn new(stream: UnixStream) -> Wire {
        Wire { stream, input: Vec::new(), came: VecDeque::new() }
    }

    pub fn stream(&self) -> &UnixStream {
        &self.stream
    }

    /// Writes a message, with descriptors beside its first byte.
    pub fn send(&self, message: Message, descriptors: &[BorrowedFd]) -> std::io::Result<()> {
        send(&self.stream, &framing::encode(message), descriptors)
    }

    /// The next message, within that time.
    pub fn hear(&mut self, within: Duration) -> std::io::Result<Heard> {
        self.stream.set_read_timeout(Some(within.max(Duration::from_millis(1))))?;
        loop {
            match framing::decode(&self.input).map_err(|why| Error::new(ErrorKind::InvalidData, why))? {
                Decoded::Message { message, length } => {
                    self.input.drain(..length);
                    return Ok(Heard::Message(message));
                }
                Decoded::Unknown { length } => {
                    self.input.drain(..length);
                    return Ok(Heard::Unknown);
                }
                Decoded::Incomplete => {}
            }
            let mut chunk = vec![0; CHUNK];
            match receive(&self.stream, &mut chunk, &mut self.came) {
                Ok(0) => return Ok(Heard::Ended),
                Ok(got) => self.input.extend_from_slice(&chunk[..got]),
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Ok(Heard::Nothing)
                }
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) if err.kind() == ErrorKind::ConnectionReset => return Ok(Heard::Ended),
                Err(err) => return Err(err),
            }
        }
    }

    /// Takes the descriptors that came with a part, in the order in which they were sent.
    pub fn take(&mut self, count: usize) -> Option<Vec<OwnedFd>> {
        (self.came.len() >= count).then(|| self.came.drain(..count).collect())
    }
}

/// Writes bytes, with descriptors beside the first.
pub fn send(stream: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd]) -> std::io::Result<()> {
    let mut space = [MaybeUninit::uninit(); ROOM];
    let mut beside = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !beside.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(Error::new(ErrorKind::InvalidInput, "too many descriptors for one message"));
    }
    let sent = rustix::net::sendmsg(stream, &[IoSlice::new(bytes)], &mut beside, SendFlags::NOSIGNAL)?;
    let mut rest = stream;
    rest.write_all(&bytes[sent..])
}

fn receive(stream: &UnixStream, chunk: &mut [u8], came: &mut VecDeque<OwnedFd>) -> std::io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); ROOM];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(chunk)];
    let got = rustix::net::recvmsg(stream, &mut parts, &mut beside, RecvFlags::CMSG_CLOEXEC)?;
    for message in beside.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            came.extend(descriptors);
        }
    }
    // Guards against descriptors that the system dropped for lack of room: what belongs to which would not be known.
    if got.flags.contains(rustix::net::ReturnFlags::CTRUNC) {
        return Err(Error::new(ErrorKind::OutOfMemory, "no descriptor is free for what was passed"));
    }
    Ok(got.bytes)
}

/// Passes one descriptor after another `line`, and reads such a line with what came beside it.
pub fn send_line(stream: &UnixStream, line: &str, descriptor: Option<BorrowedFd>) -> std::io::Result<()> {
    let beside: Vec<BorrowedFd> = descriptor.into_iter().collect();
    send(stream, format!("{line}\n").as_bytes(), &beside)
}

/// Lines with descriptors, for ever; ends with the stream.
pub fn lines(stream: &UnixStream, mut each: impl FnMut(&str, Option<OwnedFd>)) {
    let (mut input, mut came) = (Vec::new(), VecDeque::new());
    let mut chunk = vec![0; CHUNK];
    // Bytes of `input` that hold no end of a line: each is looked at once, however long a line is.
    let mut searched = 0;
    loop {
        match receive(stream, &mut chunk, &mut came) {
            Ok(0) => return,
            Ok(got) => input.extend_from_slice(&chunk[..got]),
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
        while let Some(at) = input[searched..].iter().position(|b| *b == b'\n') {
            let end = searched + at;
            let line = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..=end);
            searched = 0;
            each(&line, came.pop_front());
        }
        searched = input.len();
    }
}

/// A descriptor that stays open in a program started from here.
pub fn inherit(descriptor: impl AsFd) -> std::io::Result<OwnedFd> {
    let copy = rustix::io::dup(descriptor)?;
    rustix::io::fcntl_setfd(&copy, rustix::io::FdFlags::empty())?;
    Ok(copy)
}
