//! Reads and writes packets and the primitives of their payloads. A packet consists of two magic bytes that identify the
//! sender's side, two bytes of length, and the payload.

use crate::codes::{HeaderTable, HEADER_CODES};
use std::fmt;

/// The default size of a packet with its header, in bytes; both sides may be configured for larger packets.
pub const DEFAULT_PACKET_BYTES: usize = 8 * 1024;
/// The largest size of a packet with its header, in bytes.
pub const MAX_PACKET_BYTES: usize = 64 * 1024;
/// The size of a packet's header, in bytes.
pub const HEADER_BYTES: usize = 4;

/// The side that sent a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    WebServer,
    ServletContainer,
}

impl Sender {
    pub fn magic(self) -> [u8; 2] {
        match self {
            Sender::WebServer => [0x12, 0x34],
            Sender::ServletContainer => *b"AB",
        }
    }
}

/// The reason for which input is not valid AJP. Each closes the connection, as the start of the next packet is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// The packet does not begin with the magic bytes of the sender's side.
    InvalidMagic,
    /// The packet is longer than the configured size.
    PacketTooLong,
    /// The packet ends before the end of its message.
    Truncated,
    /// The packet has bytes after its message.
    TrailingBytes,
    /// A string has no terminating zero byte, or has a length that is not valid.
    InvalidString,
    /// The code of a message, method, header or attribute is unknown.
    UnknownCode,
    /// The message has too many headers or attributes.
    TooManyHeaders,
    /// The message is not valid in the state of the connection.
    UnexpectedMessage,
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ProtocolError::InvalidMagic => "a packet without the magic bytes of its sender",
            ProtocolError::PacketTooLong => "a packet longer than the configured size",
            ProtocolError::Truncated => "a packet that ends within its message",
            ProtocolError::TrailingBytes => "a packet with bytes after its message",
            ProtocolError::InvalidString => "a string of invalid length or without its terminating zero",
            ProtocolError::UnknownCode => "an unknown code",
            ProtocolError::TooManyHeaders => "too many headers or attributes",
            ProtocolError::UnexpectedMessage => "a message that is not valid in this state",
        })
    }
}

/// Returns the payload of the first complete packet and the size of that packet; `None` if the packet is incomplete.
/// `max_packet_bytes` bounds a packet with its header.
///
/// # Errors
/// Returns an error as soon as the first invalid byte is present, even if the packet is incomplete.
///
/// ```
/// use ochrewalk_ajp::packet::{split, ProtocolError, Sender, DEFAULT_PACKET_BYTES};
/// let packet = [0x12, 0x34, 0, 1, 10, 99];
/// assert_eq!(split(&packet, Sender::WebServer, DEFAULT_PACKET_BYTES), Ok(Some((&[10][..], 5))));
/// assert_eq!(split(&packet[..4], Sender::WebServer, DEFAULT_PACKET_BYTES), Ok(None));
/// assert_eq!(split(b"GET", Sender::WebServer, DEFAULT_PACKET_BYTES), Err(ProtocolError::InvalidMagic));
/// assert_eq!(split(&[0x12, 0x34, 0x20, 0], Sender::WebServer, DEFAULT_PACKET_BYTES), Err(ProtocolError::PacketTooLong));
/// ```
pub fn split(
    input: &[u8],
    from: Sender,
    max_packet_bytes: usize,
) -> Result<Option<(&[u8], usize)>, ProtocolError> {
    let magic_length = input.len().min(2);
    if input[..magic_length] != from.magic()[..magic_length] {
        return Err(ProtocolError::InvalidMagic);
    }
    let Some(length) = input.get(2..HEADER_BYTES) else { return Ok(None) };
    let packet_bytes = HEADER_BYTES + usize::from(u16::from_be_bytes([length[0], length[1]]));
    if packet_bytes > max_packet_bytes {
        return Err(ProtocolError::PacketTooLong);
    }
    Ok(input.get(HEADER_BYTES..packet_bytes).map(|payload| (payload, packet_bytes)))
}

/// Appends one packet to `out`.
///
/// # Errors
/// Returns an error and leaves `out` unchanged if the payload is invalid or the packet is longer than `max_packet_bytes`.
pub fn write(
    out: &mut Vec<u8>,
    from: Sender,
    max_packet_bytes: usize,
    payload: impl FnOnce(&mut PayloadWriter) -> Result<(), ProtocolError>,
) -> Result<(), ProtocolError> {
    let start = out.len();
    out.extend_from_slice(&from.magic());
    out.extend_from_slice(&[0, 0]);
    let written = payload(&mut PayloadWriter(out));
    let packet_bytes = out.len() - start;
    let length = u16::try_from(packet_bytes - HEADER_BYTES).ok().filter(|_| packet_bytes <= max_packet_bytes);
    match (written, length) {
        (Ok(()), Some(length)) => {
            out[start + 2..start + HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
            Ok(())
        }
        (written, _) => {
            out.truncate(start);
            written.and(Err(ProtocolError::PacketTooLong))
        }
    }
}

/// Writes the primitives of a payload.
pub struct PayloadWriter<'a>(&'a mut Vec<u8>);

impl PayloadWriter<'_> {
    pub fn byte(&mut self, byte: u8) {
        self.0.push(byte);
    }

    pub fn integer(&mut self, integer: u16) {
        self.0.extend_from_slice(&integer.to_be_bytes());
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// Writes a count or length.
    ///
    /// # Errors
    /// Returns an error if the value does not fit two bytes.
    pub fn count(&mut self, count: usize) -> Result<(), ProtocolError> {
        self.integer(u16::try_from(count).map_err(|_| ProtocolError::TooManyHeaders)?);
        Ok(())
    }

    /// Writes a string; `None` is the protocol's null string.
    pub fn string(&mut self, string: Option<&[u8]>) -> Result<(), ProtocolError> {
        let Some(string) = string else {
            self.integer(NULL_STRING);
            return Ok(());
        };
        let length = u16::try_from(string.len())
            .ok()
            .filter(|length| *length != NULL_STRING && !HEADER_CODES.contains(length));
        self.integer(length.ok_or(ProtocolError::InvalidString)?);
        self.bytes(string);
        self.byte(0);
        Ok(())
    }

    pub fn headers(&mut self, table: HeaderTable, headers: &[(&[u8], &[u8])]) -> Result<(), ProtocolError> {
        self.count(headers.len())?;
        for (name, value) in headers {
            match table.code(name) {
                Some(code) => self.integer(code),
                None => self.string(Some(name))?,
            }
            self.string(Some(value))?;
        }
        Ok(())
    }
}

/// Headers as pairs of name and value, in the order of the message.
pub type HeaderList<'a> = Vec<(&'a [u8], &'a [u8])>;

/// The length that marks a null string.
const NULL_STRING: u16 = 0xFFFF;
/// The maximum number of headers, and of attributes, of one message.
pub const MAX_HEADERS: usize = 100;

/// Reads the primitives of a payload; the field is the part that is still unread.
pub struct PayloadReader<'a>(pub &'a [u8]);

impl<'a> PayloadReader<'a> {
    pub fn bytes(&mut self, length: usize) -> Result<&'a [u8], ProtocolError> {
        let (first, rest) = self.0.split_at_checked(length).ok_or(ProtocolError::Truncated)?;
        self.0 = rest;
        Ok(first)
    }

    pub fn byte(&mut self) -> Result<u8, ProtocolError> {
        Ok(self.bytes(1)?[0])
    }

    pub fn integer(&mut self) -> Result<u16, ProtocolError> {
        let bytes = self.bytes(2)?;
        Ok(u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    pub fn boolean(&mut self) -> Result<bool, ProtocolError> {
        Ok(self.byte()? != 0)
    }

    /// Reads a string; `None` is the protocol's null string.
    pub fn optional_string(&mut self) -> Result<Option<&'a [u8]>, ProtocolError> {
        let length = self.integer()?;
        if length == NULL_STRING {
            return Ok(None);
        }
        if HEADER_CODES.contains(&length) {
            return Err(ProtocolError::InvalidString);
        }
        let string = self.bytes(usize::from(length))?;
        if self.byte()? != 0 {
            return Err(ProtocolError::InvalidString);
        }
        Ok(Some(string))
    }

    /// Reads a string; a null string counts as an empty one.
    pub fn string(&mut self) -> Result<&'a [u8], ProtocolError> {
        Ok(self.optional_string()?.unwrap_or_default())
    }

    pub fn headers(&mut self, table: HeaderTable) -> Result<HeaderList<'a>, ProtocolError> {
        let count = usize::from(self.integer()?);
        if count > MAX_HEADERS {
            return Err(ProtocolError::TooManyHeaders);
        }
        let mut headers = Vec::with_capacity(count);
        for _ in 0..count {
            let mut lookahead = PayloadReader(self.0);
            let code = lookahead.integer()?;
            let name = if HEADER_CODES.contains(&code) {
                *self = lookahead;
                table.name(code).ok_or(ProtocolError::UnknownCode)?.as_bytes()
            } else {
                self.string()?
            };
            headers.push((name, self.string()?));
        }
        Ok(headers)
    }

    /// Checks that the payload is read completely.
    pub fn end(&self) -> Result<(), ProtocolError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(ProtocolError::TrailingBytes)
        }
    }
}

/// Returns the value of the first header with this name, which is compared without regard to case.
pub fn header<'a>(headers: &[(&[u8], &'a [u8])], name: &str) -> Option<&'a [u8]> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()));
    found.map(|(_, value)| *value)
}
