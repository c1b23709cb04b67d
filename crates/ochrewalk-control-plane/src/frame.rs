//! Envelopes on a byte stream, each behind its length as a varint. No I/O: bytes in, messages out.

use ochrewalk_distribution::messages::{Body, Envelope};
use prost::encoding::decode_varint;
use prost::Message;

/// The longest envelope between servers and subscribers, in bytes: a bound on the memory that a peer can take.
pub const MAX_SUBSCRIBER_FRAME: usize = 1024 * 1024;
/// The longest envelope of an operator, in bytes: enough for the largest batch of changes.
pub const MAX_OPERATOR_FRAME: usize = 16 * 1024 * 1024;
/// A varint of 64 bits has at most so many bytes.
const MAX_VARINT_BYTES: usize = 10;

/// Why nothing more can be read from a stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length of a message is above the bound.
    #[error("a message of {length} bytes, {limit} at most are taken")]
    TooLong {
        /// The length that was announced, in bytes.
        length: u64,
        /// The bound, in bytes.
        limit: usize,
    },
    /// The bytes are no message.
    #[error("a message that cannot be decoded")]
    Malformed,
}

/// Appends a message with its length to `out`.
pub fn encode(body: Body, out: &mut Vec<u8>) {
    let envelope = Envelope { body: Some(body) };
    out.append(&mut envelope.encode_length_delimited_to_vec());
}

/// Joins bytes into messages, however they were split.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// Bytes of `buffer` that were decoded already.
    consumed: usize,
    limit: usize,
}

impl FrameDecoder {
    /// Accepts messages of at most `limit` bytes.
    pub fn new(limit: usize) -> FrameDecoder {
        FrameDecoder { buffer: Vec::new(), consumed: 0, limit }
    }

    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete message; none where more bytes are needed. An envelope whose body is not known to this version is
    /// skipped.
    ///
    /// # Errors
    ///
    /// Where the bytes are no message, or the message is too long. Nothing after it can be read.
    pub fn next_message(&mut self) -> Result<Option<Body>, FrameError> {
        loop {
            let Some((start, end)) = self.next_frame()? else {
                self.compact();
                return Ok(None);
            };
            let decoded = Envelope::decode(&self.buffer[start..end]);
            self.consumed = end;
            match decoded.map_err(|_| FrameError::Malformed)?.body {
                Some(body) => return Ok(Some(body)),
                None => continue,
            }
        }
    }

    /// Where the next message begins and ends in the buffer, once all of it is there.
    fn next_frame(&self) -> Result<Option<(usize, usize)>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let has_length = rest.iter().take(MAX_VARINT_BYTES).any(|byte| byte & 0x80 == 0);
        if !has_length {
            return if rest.len() < MAX_VARINT_BYTES { Ok(None) } else { Err(FrameError::Malformed) };
        }
        let mut after_length = rest;
        let length = decode_varint(&mut after_length).map_err(|_| FrameError::Malformed)?;
        if length > self.limit as u64 {
            return Err(FrameError::TooLong { length, limit: self.limit });
        }
        let start = self.buffer.len() - after_length.len();
        let end = start + length as usize;
        Ok((end <= self.buffer.len()).then_some((start, end)))
    }

    fn compact(&mut self) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        if self.buffer.is_empty() {
            // A large message is seldom followed by another: its memory is released.
            self.buffer = Vec::new();
        }
    }
}
