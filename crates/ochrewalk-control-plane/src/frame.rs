//! Framing of envelopes on a byte stream, each prefixed with its length as a varint. The decoder does no I/O: it takes
//! bytes and returns messages.

use ochrewalk_distribution::messages::{Body, Envelope};
use prost::encoding::decode_varint;
use prost::Message;

/// The longest envelope between servers and subscribers, in bytes. The limit bounds the memory that a peer can use.
pub const MAX_SUBSCRIBER_FRAME: usize = 1024 * 1024;
/// The longest envelope of an operator, in bytes, which is enough for the largest batch of changes.
pub const MAX_OPERATOR_FRAME: usize = 16 * 1024 * 1024;
/// The longest encoding of a varint of 64 bits.
const MAX_VARINT_BYTES: usize = 10;

/// The reason why no more messages can be read from a stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A message is longer than the limit.
    #[error("a message of {length} bytes exceeds the limit of {limit} bytes")]
    TooLong {
        /// The announced length, in bytes.
        length: u64,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The bytes are not a valid message.
    #[error("malformed message")]
    Malformed,
}

/// Appends a message, prefixed with its length, to `out`.
pub fn encode(body: Body, out: &mut Vec<u8>) {
    let envelope = Envelope { body: Some(body) };
    out.append(&mut envelope.encode_length_delimited_to_vec());
}

/// Assembles messages from received bytes, regardless of how the bytes were split.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// The number of bytes of `buffer` that were already decoded.
    consumed: usize,
    limit: usize,
}

impl FrameDecoder {
    /// Creates a decoder that accepts messages of at most `limit` bytes.
    pub fn new(limit: usize) -> FrameDecoder {
        FrameDecoder { buffer: Vec::new(), consumed: 0, limit }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, or `None` if more bytes are needed. An envelope whose body this version does
    /// not know is skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid message, or the message is too long. No later message can be read
    /// then.
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

    /// Returns the start and end of the next message in the buffer, or `None` until the message is complete.
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
            // Large messages rarely follow one another, so that the memory of the buffer is released.
            self.buffer = Vec::new();
        }
    }
}
