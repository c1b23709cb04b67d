//! The stream between predecessor and successor: messages with descriptors beside them.

use super::descriptor_socket::{receive, send, READ_BYTES};
use ochrewalk_handover::framing::{self, Decoded};
use ochrewalk_handover::messages::Message;
use std::collections::VecDeque;
use std::io::{Error, ErrorKind};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The shortest time-out that a socket takes: none at all would block for ever.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// One side's end of the stream.
pub struct HandOverStream {
    stream: UnixStream,
    /// Bytes that make up no complete message yet.
    input: Vec<u8>,
    /// Descriptors that no message has taken yet.
    descriptors: VecDeque<OwnedFd>,
}

/// What came from the other side.
#[derive(Debug)]
pub enum Received {
    /// A message.
    Message(Message),
    /// A message that a newer program has added.
    Unknown,
    /// Nothing, within the time-out.
    TimedOut,
    /// The stream's end: the other process has ended.
    Ended,
}

impl HandOverStream {
    /// Over a stream that is connected with the other process.
    pub fn new(stream: UnixStream) -> HandOverStream {
        HandOverStream { stream, input: Vec::new(), descriptors: VecDeque::new() }
    }

    /// Writes a message, with descriptors beside its first byte.
    ///
    /// # Errors
    ///
    /// The other process has ended, or what the operating system reports.
    pub fn send(&self, message: Message, descriptors: &[BorrowedFd]) -> std::io::Result<()> {
        send(&self.stream, &framing::encode(message), descriptors)
    }

    /// The next message, within a time of at least a millisecond.
    ///
    /// # Errors
    ///
    /// What came is not of the protocol, or what the operating system reports. Nothing more can be read then.
    pub fn receive(&mut self, timeout: Duration) -> std::io::Result<Received> {
        self.stream.set_read_timeout(Some(timeout.max(MIN_TIMEOUT)))?;
        loop {
            if let Some(received) = self.next_decoded()? {
                return Ok(received);
            }
            let mut buffer = vec![0; READ_BYTES];
            match receive(&self.stream, &mut buffer, &mut self.descriptors) {
                Ok(0) => return Ok(Received::Ended),
                Ok(received) => self.input.extend_from_slice(&buffer[..received]),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock | ErrorKind::TimedOut => return Ok(Received::TimedOut),
                    ErrorKind::Interrupted => {}
                    ErrorKind::ConnectionReset => return Ok(Received::Ended),
                    _ => return Err(error),
                },
            }
        }
    }

    /// Takes the descriptors that came with a chunk, in the order in which they were sent; none if fewer have come.
    pub fn take_descriptors(&mut self, count: usize) -> Option<Vec<OwnedFd>> {
        (self.descriptors.len() >= count).then(|| self.descriptors.drain(..count).collect())
    }

    /// The next message of the input, where it is complete.
    fn next_decoded(&mut self) -> std::io::Result<Option<Received>> {
        let decoded = framing::decode(&self.input);
        let (received, length) = match decoded.map_err(|error| Error::new(ErrorKind::InvalidData, error))? {
            Decoded::Message { message, length } => (Received::Message(message), length),
            Decoded::Unknown { length } => (Received::Unknown, length),
            Decoded::Incomplete => return Ok(None),
        };
        self.input.drain(..length);
        Ok(Some(received))
    }
}
