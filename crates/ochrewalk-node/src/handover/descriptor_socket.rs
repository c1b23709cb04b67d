//! The Unix streams that a hand-over goes over: messages with descriptors beside them, blocking, each step with its
//! limit of time. Used by threads, never by coroutines.

use ochrewalk_handover::messages::MAX_DESCRIPTORS;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use std::collections::VecDeque;
use std::io::{Error, ErrorKind, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;

/// Bytes that are read at once.
pub(super) const READ_BYTES: usize = 64 * 1024;
/// Room for the descriptors of one message.
const ANCILLARY_BYTES: usize = rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS));

/// Writes bytes, with descriptors beside the first.
pub fn send(stream: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd]) -> std::io::Result<()> {
    let mut space = [MaybeUninit::uninit(); ANCILLARY_BYTES];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(Error::new(ErrorKind::InvalidInput, "too many descriptors for one message"));
    }
    let sent = rustix::net::sendmsg(stream, &[IoSlice::new(bytes)], &mut ancillary, SendFlags::NOSIGNAL)?;
    let mut rest = stream;
    rest.write_all(&bytes[sent..])
}

/// Reads bytes, and the descriptors that came beside them.
pub(super) fn receive(
    stream: &UnixStream,
    chunk: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> std::io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); ANCILLARY_BYTES];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(chunk)];
    let got = rustix::net::recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            descriptors.extend(passed);
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
    let ancillary: Vec<BorrowedFd> = descriptor.into_iter().collect();
    send(stream, format!("{line}\n").as_bytes(), &ancillary)
}

/// Lines with descriptors, for ever; ends with the stream.
pub fn read_lines(stream: &UnixStream, mut each: impl FnMut(&str, Option<OwnedFd>)) {
    let (mut input, mut descriptors) = (Vec::new(), VecDeque::new());
    let mut chunk = vec![0; READ_BYTES];
    // Bytes of `input` that hold no end of a line: each is looked at once, however long a line is.
    let mut searched = 0;
    loop {
        match receive(stream, &mut chunk, &mut descriptors) {
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
            each(&line, descriptors.pop_front());
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
