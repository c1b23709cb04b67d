//! Framing of messages on the stream: a length of four bytes, big endian, then the protobuf envelope.

use crate::messages::{Envelope, Message};
use prost::Message as _;
use thiserror::Error;

/// The length in bytes of the prefix before each message.
pub const LENGTH_PREFIX_BYTES: usize = 4;
/// The maximum length of a message in bytes, without its prefix.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// The result of decoding the first bytes of an input.
#[derive(Clone, Debug, PartialEq)]
pub enum Decoded {
    /// The input holds no complete message yet.
    Incomplete,
    /// A message that a newer program has added; it can be skipped.
    Unknown {
        /// Bytes that the message takes, including its prefix.
        length: usize,
    },
    /// A message that this program knows.
    Message {
        /// The message.
        message: Message,
        /// Bytes that the message takes, including its prefix.
        length: usize,
    },
}

/// The reason for which an input does not follow this protocol. No later message on the stream can be read
/// either.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The length exceeds [`MAX_MESSAGE_BYTES`].
    #[error("a message longer than any")]
    TooLong {
        /// The announced length in bytes.
        length: usize,
    },
    /// The bytes are not a protobuf envelope.
    #[error("bytes that are no message")]
    Malformed(#[source] prost::DecodeError),
}

/// Returns a message as it is written to the stream, with its length prefix.
pub fn encode(message: Message) -> Vec<u8> {
    let envelope = Envelope { message: Some(message) }.encode_to_vec();
    let mut bytes = (envelope.len() as u32).to_be_bytes().to_vec();
    bytes.extend(envelope);
    bytes
}

/// Decodes the first message of an input, and returns it with the number of bytes that it takes there.
///
/// # Errors
///
/// Returns an error if the input does not begin with a message of this protocol.
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
