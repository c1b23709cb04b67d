//! Framing of messages on a stream: the length of each in bytes as a big-endian `u32`, then the message in
//! protobuf.

use std::io::Read;

/// The maximum length of a message that is read, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// The reason for which no message could be read from a stream.
#[derive(Debug, thiserror::Error)]
pub enum FramingError {
    /// The stream failed, or ended inside a message.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The announced length exceeds [`MAX_MESSAGE_BYTES`].
    #[error("message of {length} bytes exceeds the maximum of {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// The announced length, in bytes.
        length: usize,
    },
    /// The bytes are not a message of the expected type.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
}

/// Returns the message with its length prefix.
pub fn encode_message(message: &impl prost::Message) -> Vec<u8> {
    let length = u32::try_from(message.encoded_len()).expect("a message is far shorter than 4 GB");
    let mut bytes = length.to_be_bytes().to_vec();
    message.encode(&mut bytes).expect("a vector grows as needed");
    bytes
}

/// Reads one complete message, and no bytes after it.
///
/// # Errors
///
/// Returns an error if the stream fails or ends first, if the message is too long, or if its bytes cannot be
/// decoded.
pub fn read_message<M: prost::Message + Default>(stream: &mut impl Read) -> Result<M, FramingError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FramingError::TooLong { length });
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes)?;
    Ok(M::decode(&bytes[..])?)
}
