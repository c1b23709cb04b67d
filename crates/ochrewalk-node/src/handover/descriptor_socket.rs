//! Unix streams on which descriptors are passed beside bytes, and lines on them. All calls block: they are made by
//! threads, never by coroutines.

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
///
/// # Errors
///
/// More than [`MAX_DESCRIPTORS`] descriptors, or what the operating system reports.
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

/// Reads bytes into `buffer`, and appends the descriptors that came beside them; gives the number of bytes, 0 at the
/// stream's end.
///
/// # Errors
///
/// Descriptors got lost as this process may open no more, or what the operating system reports.
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
    // Guards against descriptors that the system dropped for lack of room: which belongs to what would not be known.
    if received.flags.contains(rustix::net::ReturnFlags::CTRUNC) {
        return Err(Error::new(ErrorKind::OutOfMemory, "no descriptor is free for what was passed"));
    }
    Ok(received.bytes)
}

/// Writes a line, with a descriptor beside its first byte where there is one.
///
/// # Errors
///
/// What the operating system reports.
pub fn send_line(stream: &UnixStream, line: &str, descriptor: Option<BorrowedFd>) -> std::io::Result<()> {
    let descriptors: Vec<BorrowedFd> = descriptor.into_iter().collect();
    send(stream, format!("{line}\n").as_bytes(), &descriptors)
}

/// Reads lines until the stream's end, and gives each to `on_line` without its line feed. Descriptors go with the lines
/// in the order in which they came.
pub fn read_lines(stream: &UnixStream, mut on_line: impl FnMut(&str, Option<OwnedFd>)) {
    let (mut input, mut descriptors) = (Vec::new(), VecDeque::new());
    let mut buffer = vec![0; READ_BYTES];
    // Bytes of `input` that hold no line feed: each is looked at once, however long a line is.
    let mut searched = 0;
    loop {
        match receive(stream, &mut buffer, &mut descriptors) {
            Ok(0) => return,
            Ok(received) => input.extend_from_slice(&buffer[..received]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
        while let Some(at) = input[searched..].iter().position(|byte| *byte == b'\n') {
            let end = searched + at;
            let line = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..=end);
            searched = 0;
            on_line(&line, descriptors.pop_front());
        }
        searched = input.len();
    }
}

/// A copy of a descriptor that stays open in a program started from here.
///
/// # Errors
///
/// This process may open no more descriptors.
pub fn inherit(descriptor: impl AsFd) -> std::io::Result<OwnedFd> {
    let copy = rustix::io::dup(descriptor)?;
    rustix::io::fcntl_setfd(&copy, rustix::io::FdFlags::empty())?;
    Ok(copy)
}
