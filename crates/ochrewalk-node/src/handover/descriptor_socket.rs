//! Sends and receives bytes, lines and descriptors on Unix streams. All calls block, so that threads make them and never
//! coroutines.

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

/// The maximal number of bytes per read.
pub(super) const READ_BYTES: usize = 64 * 1024;
/// The size of the control-message buffer, enough for the descriptors of one message.
const ANCILLARY_BYTES: usize = rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS));

/// Writes bytes, and passes descriptors with the first byte.
///
/// # Errors
///
/// The message has more than [`MAX_DESCRIPTORS`] descriptors, or the operating system reports an error.
pub fn send(stream: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd]) -> std::io::Result<()> {
    let mut space = [MaybeUninit::uninit(); ANCILLARY_BYTES];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(Error::new(ErrorKind::InvalidInput, "too many descriptors for one message"));
    }
    let sent = rustix::net::sendmsg(stream, &[IoSlice::new(bytes)], &mut ancillary, SendFlags::NOSIGNAL)?;
    let mut stream = stream;
    stream.write_all(&bytes[sent..])
}

/// Reads bytes into `buffer`, and appends the descriptors that were passed with them. Returns the number of bytes, 0 at
/// the end of the stream.
///
/// # Errors
///
/// Descriptors were lost because this process may open no more, or the operating system reports an error.
pub(super) fn receive(
    stream: &UnixStream,
    buffer: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> std::io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); ANCILLARY_BYTES];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut slices = [IoSliceMut::new(buffer)];
    let received = rustix::net::recvmsg(stream, &mut slices, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            descriptors.extend(passed);
        }
    }
    // Guards against descriptors that the system has dropped at the limit: the remaining ones could no longer be matched
    // with their messages.
    if received.flags.contains(rustix::net::ReturnFlags::CTRUNC) {
        return Err(Error::new(
            ErrorKind::OutOfMemory,
            "too few free descriptors for those that were passed",
        ));
    }
    Ok(received.bytes)
}

/// Writes a line, and passes the descriptor, if any, with its first byte.
///
/// # Errors
///
/// The operating system reports an error.
pub fn send_line(stream: &UnixStream, line: &str, descriptor: Option<BorrowedFd>) -> std::io::Result<()> {
    let descriptors: Vec<BorrowedFd> = descriptor.into_iter().collect();
    send(stream, format!("{line}\n").as_bytes(), &descriptors)
}

/// Reads lines until the end of the stream, and passes each to `on_line` without its line feed. Descriptors are assigned
/// to lines in the order in which they arrive.
pub fn read_lines(stream: &UnixStream, mut on_line: impl FnMut(&str, Option<OwnedFd>)) {
    let (mut input, mut descriptors) = (Vec::new(), VecDeque::new());
    let mut buffer = vec![0; READ_BYTES];
    // The number of bytes of `input` known to hold no line feed, so that each byte is searched once, however long a line
    // is.
    let mut searched = 0;
    loop {
        match receive(stream, &mut buffer, &mut descriptors) {
            Ok(0) => return,
            Ok(received) => input.extend_from_slice(&buffer[..received]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
        while let Some(offset) = input[searched..].iter().position(|byte| *byte == b'\n') {
            let end = searched + offset;
            let line = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..=end);
            searched = 0;
            on_line(&line, descriptors.pop_front());
        }
        searched = input.len();
    }
}

/// Returns a copy of a descriptor that stays open in programs that this process starts.
///
/// # Errors
///
/// This process may open no more descriptors.
pub fn inherit(descriptor: impl AsFd) -> std::io::Result<OwnedFd> {
    let copy = rustix::io::dup(descriptor)?;
    rustix::io::fcntl_setfd(&copy, rustix::io::FdFlags::empty())?;
    Ok(copy)
}
