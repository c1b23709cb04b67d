//! The stream between predecessor and successor: messages with descriptors beside them.

use super::descriptor_socket::{receive, send, READ_BYTES};
use ochrewalk_handover::framing::{self, Decoded};
use ochrewalk_handover::messages::Message;
use std::collections::VecDeque;
use std::io::{Error, ErrorKind};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::Duration;

pub struct HandOverStream {
    stream: UnixStream,
    input: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

/// What was heard.
#[derive(Debug)]
pub enum Received {
    Message(Message),
    /// A message that a newer program has added.
    Unknown,
    TimedOut,
    /// The other process has ended.
    Ended,
}

impl HandOverStream {
    pub fn new(stream: UnixStream) -> HandOverStream {
        HandOverStream { stream, input: Vec::new(), descriptors: VecDeque::new() }
    }

    pub fn stream(&self) -> &UnixStream {
        &self.stream
    }

    /// Writes a message, with descriptors beside its first byte.
    pub fn send(&self, message: Message, descriptors: &[BorrowedFd]) -> std::io::Result<()> {
        send(&self.stream, &framing::encode(message), descriptors)
    }

    /// The next message, within that time.
    pub fn receive(&mut self, within: Duration) -> std::io::Result<Received> {
        self.stream.set_read_timeout(Some(within.max(Duration::from_millis(1))))?;
        loop {
            match framing::decode(&self.input).map_err(|why| Error::new(ErrorKind::InvalidData, why))? {
                Decoded::Message { message, length } => {
                    self.input.drain(..length);
                    return Ok(Received::Message(message));
                }
                Decoded::Unknown { length } => {
                    self.input.drain(..length);
                    return Ok(Received::Unknown);
                }
                Decoded::Incomplete => {}
            }
            let mut chunk = vec![0; READ_BYTES];
            match receive(&self.stream, &mut chunk, &mut self.descriptors) {
                Ok(0) => return Ok(Received::Ended),
                Ok(got) => self.input.extend_from_slice(&chunk[..got]),
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Ok(Received::TimedOut)
                }
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) if err.kind() == ErrorKind::ConnectionReset => return Ok(Received::Ended),
                Err(err) => return Err(err),
            }
        }
    }

    /// Takes the descriptors that came with a part, in the order in which they were sent.
    pub fn take_descriptors(&mut self, count: usize) -> Option<Vec<OwnedFd>> {
        (self.descriptors.len() >= count).then(|| self.descriptors.drain(..count).collect())
    }
}
