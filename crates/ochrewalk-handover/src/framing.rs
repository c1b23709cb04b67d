//! Messages as bytes of the stream: a length of four bytes, big endian, then the protobuf envelope.

use crate::messages::{Envelope, Message};
use prost::Message as _;
use thiserror::Error;

/// Bytes of the length that precedes each message.
pub const LENGTH_PREFIX_BYTES: usize = 4;
/// The longest message, without its length.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// What the first bytes of an input hold.
#[derive(Clone, Debug, PartialEq)]
pub enum Decoded {
    /// No complete message yet.
    Incomplete,
    /// A message that a newer program has added; it can be skipped.
    Unknown {
        /// Bytes that the message takes, with its length.
        length: usize,
    },
    /// A message.
    Message {
        /// The message.
        message: Message,
        /// Bytes that the message takes, with its length.
        length: usize,
    },
}

/// Why an input is not of this protocol. Nothing that follows on the stream can be read either.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The length exceeds [`MAX_MESSAGE_BYTES`].
    #[error("a message longer than any")]
    TooLong {
        /// The stated length in bytes.
        length: usize,
    },
    /// The bytes are no protobuf envelope.
    #[error("bytes that are no message")]
    Malformed(#[source] prost::DecodeError),
}

/// A message as it is written to the stream, with its length.
pub fn encode(message: Message) -> Vec<u8> {
    let envelope = Envelope { message: Some(message) }.encode_to_vec();
    let mut bytes = (envelope.len() as u32).to_be_bytes().to_vec();
    bytes.extend(envelope);
    bytes
}

/// The first message of an input, and how many bytes it takes there.
///
/// # Errors
///
/// The input does not begin with a message of this protocol.
pub fn decode(input: &[u8]) -> Result<Decoded, DecodeError> {
    let Some((prefix, rest)) = input.split_first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(Decoded::Incomplete);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong { length });
    }
    let Some(bytes) = rest.get(..length) else { return Ok(Decoded::Incomplete) };
    let envelope = Envelope::decode(bytes).map_err(DecodeError::Malformed)?;
    let length = LENGTH_PREFIX_BYTES + length;
    Ok(match envelope.message {
        Some(message) => Decoded::Message { message, length },
        None => Decoded::Unknown { length },
    })
}
