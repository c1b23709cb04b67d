//! The stream between predecessor and successor, which carries messages and descriptors.

use super::descriptor_socket::{receive, send, READ_BYTES};
use ochrewalk_handover::framing::{self, Decoded};
use ochrewalk_handover::messages::Message;
use std::collections::VecDeque;
use std::io::{Error, ErrorKind};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The minimal read time-out: a socket without a time-out would block for ever.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// An end of the stream between predecessor and successor.
pub struct HandOverStream {
    stream: UnixStream,
    /// Bytes that were received and are not a complete message yet.
    input: Vec<u8>,
    /// Descriptors that were received and are not assigned to a chunk yet.
    descriptors: VecDeque<OwnedFd>,
}

/// The result of waiting for the other process.
#[derive(Debug)]
pub enum Received {
    /// A message.
    Message(Message),
    /// A message that a newer program has added.
    Unknown,
    /// No message arrived within the time-out.
    TimedOut,
    /// The end of the stream: the other process has ended.
    Ended,
}

impl HandOverStream {
    /// Returns a hand-over stream on a stream that is connected with the other process.
    pub fn new(stream: UnixStream) -> HandOverStream {
        HandOverStream { stream, input: Vec::new(), descriptors: VecDeque::new() }
    }

    /// Writes a message, and passes descriptors with its first byte.
    ///
    /// # Errors
    ///
    /// The other process has ended, or the operating system reports another error.
    pub fn send(&self, message: Message, descriptors: &[BorrowedFd]) -> std::io::Result<()> {
        send(&self.stream, &framing::encode(message), descriptors)
    }

    /// Waits for the next message, for at least a millisecond.
    ///
    /// # Errors
    ///
    /// The received bytes violate the protocol, or the operating system reports an error. Nothing more can be read then.
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

    /// Takes the descriptors of a chunk, in the order in which they were sent. Returns none if fewer were received.
    pub fn take_descriptors(&mut self, count: usize) -> Option<Vec<OwnedFd>> {
        (self.descriptors.len() >= count).then(|| self.descriptors.drain(..count).collect())
    }

    /// Decodes the next message of the input. Returns none while it is incomplete.
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
