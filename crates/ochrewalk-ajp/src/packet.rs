//! Packets: two bytes that name the sender's side, two of length, the payload. And the primitives inside.

use crate::codes::{Headers, CODED};
use std::fmt;

/// The protocol's packet size, header included; both sides may agree on more.
pub const USUAL_PACKET: usize = 8 * 1024;
pub const LARGEST_PACKET: usize = 64 * 1024;
pub const HEADER: usize = 4;

/// Who sent a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    Asker,
    Answerer,
}

impl Sender {
    pub fn magic(self) -> [u8; 2] {
        match self {
            Sender::Asker => [0x12, 0x34],
            Sender::Answerer => *b"AB",
        }
    }
}

/// Why bytes are no AJP. Each ends the connection: where the next packet begins is not known any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Magic,
    /// A packet longer than both sides agreed on.
    TooLong,
    /// A packet ends before what it should hold.
    Short,
    /// A packet goes on after what it should hold.
    Trailing,
    /// A string without its end mark, or a length that no string has.
    Text,
    /// A message, method, header or attribute that is not known.
    Code,
    /// Too many headers or attributes.
    TooMany,
    /// A message that may not come in this state.
    OutOfTurn,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Broken::Magic => "a packet that begins with no known mark",
            Broken::TooLong => "a packet longer than agreed on",
            Broken::Short => "a packet that ends too early",
            Broken::Trailing => "a packet with more than its message",
            Broken::Text => "a string without its end",
            Broken::Code => "a code that is not known",
            Broken::TooMany => "too many headers or attributes",
            Broken::OutOfTurn => "a message out of turn",
        })
    }
}

/// The payload of the first whole packet and how many bytes it takes. `most` bounds a packet with its header. What
/// is wrong shows with the first byte that is wrong.
///
/// ```
/// use ochrewalk_ajp::packet::{split, Broken, Sender, USUAL_PACKET};
/// let packet = [0x12, 0x34, 0, 1, 10, 99];
/// assert_eq!(split(&packet, Sender::Asker, USUAL_PACKET), Ok(Some((&[10][..], 5))));
/// assert_eq!(split(&packet[..4], Sender::Asker, USUAL_PACKET), Ok(None));
/// assert_eq!(split(b"GET", Sender::Asker, USUAL_PACKET), Err(Broken::Magic));
/// assert_eq!(split(&[0x12, 0x34, 0x20, 0], Sender::Asker, USUAL_PACKET), Err(Broken::TooLong));
/// ```
pub fn split(input: &[u8], from: Sender, most: usize) -> Result<Option<(&[u8], usize)>, Broken> {
    let seen = input.len().min(2);
    if input[..seen] != from.magic()[..seen] {
        return Err(Broken::Magic);
    }
    let Some(length) = input.get(2..HEADER) else { return Ok(None) };
    let whole = HEADER + usize::from(u16::from_be_bytes([length[0], length[1]]));
    if whole > most {
        return Err(Broken::TooLong);
    }
    Ok(input.get(HEADER..whole).map(|payload| (payload, whole)))
}

/// Writes one packet at the end of `out`; nothing of it stays there where it would be longer than `most`.
pub fn write(
    out: &mut Vec<u8>,
    from: Sender,
    most: usize,
    payload: impl FnOnce(&mut Payload) -> Result<(), Broken>,
) -> Result<(), Broken> {
    let start = out.len();
    out.extend_from_slice(&from.magic());
    out.extend_from_slice(&[0, 0]);
    let written = payload(&mut Payload(out));
    let whole = out.len() - start;
    let length = u16::try_from(whole - HEADER).ok().filter(|_| whole <= most);
    match (written, length) {
        (Ok(()), Some(length)) => {
            out[start + 2..start + HEADER].copy_from_slice(&length.to_be_bytes());
            Ok(())
        }
        (written, _) => {
            out.truncate(start);
            written.and(Err(Broken::TooLong))
        }
    }
}

/// A payload being written.
pub struct Payload<'a>(&'a mut Vec<u8>);

impl Payload<'_> {
    pub fn byte(&mut self, byte: u8) {
        self.0.push(byte);
    }

    pub fn number(&mut self, number: u16) {
        self.0.extend_from_slice(&number.to_be_bytes());
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// A count or length that has to fit two bytes.
    pub fn count(&mut self, count: usize) -> Result<(), Broken> {
        self.number(u16::try_from(count).map_err(|_| Broken::TooMany)?);
        Ok(())
    }

    pub fn text(&mut self, text: Option<&[u8]>) -> Result<(), Broken> {
        let Some(text) = text else {
            self.number(NO_TEXT);
            return Ok(());
        };
        let length = u16::try_from(text.len()).ok().filter(|l| *l != NO_TEXT && !CODED.contains(l));
        self.number(length.ok_or(Broken::Text)?);
        self.bytes(text);
        self.byte(0);
        Ok(())
    }

    pub fn headers(&mut self, of: Headers, headers: &[(&[u8], &[u8])]) -> Result<(), Broken> {
        self.count(headers.len())?;
        for (name, value) in headers {
            match of.code(name) {
                Some(code) => self.number(code),
                None => self.text(Some(name))?,
            }
            self.text(Some(value))?;
        }
        Ok(())
    }
}

/// Headers: names and values as they came.
pub type Pairs<'a> = Vec<(&'a [u8], &'a [u8])>;

/// The length that stands for no string at all.
const NO_TEXT: u16 = 0xFFFF;
/// Headers and attributes of one message.
pub const MOST_HEADERS: usize = 100;

/// A payload being read.
pub struct Rest<'a>(pub &'a [u8]);

impl<'a> Rest<'a> {
    pub fn bytes(&mut self, length: usize) -> Result<&'a [u8], Broken> {
        let (first, rest) = self.0.split_at_checked(length).ok_or(Broken::Short)?;
        self.0 = rest;
        Ok(first)
    }

    pub fn byte(&mut self) -> Result<u8, Broken> {
        Ok(self.bytes(1)?[0])
    }

    pub fn number(&mut self) -> Result<u16, Broken> {
        let bytes = self.bytes(2)?;
        Ok(u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    pub fn flag(&mut self) -> Result<bool, Broken> {
        Ok(self.byte()? != 0)
    }

    pub fn maybe_text(&mut self) -> Result<Option<&'a [u8]>, Broken> {
        let length = self.number()?;
        if length == NO_TEXT {
            return Ok(None);
        }
        if CODED.contains(&length) {
            return Err(Broken::Text);
        }
        let text = self.bytes(usize::from(length))?;
        if self.byte()? != 0 {
            return Err(Broken::Text);
        }
        Ok(Some(text))
    }

    /// A string; none at all counts as an empty one.
    pub fn text(&mut self) -> Result<&'a [u8], Broken> {
        Ok(self.maybe_text()?.unwrap_or_default())
    }

    pub fn headers(&mut self, of: Headers) -> Result<Pairs<'a>, Broken> {
        let count = usize::from(self.number()?);
        if count > MOST_HEADERS {
            return Err(Broken::TooMany);
        }
        let mut headers = Vec::with_capacity(count);
        for _ in 0..count {
            let mut ahead = Rest(self.0);
            let code = ahead.number()?;
            let name = if CODED.contains(&code) {
                *self = ahead;
                of.name(code).ok_or(Broken::Code)?.as_bytes()
            } else {
                self.text()?
            };
            headers.push((name, self.text()?));
        }
        Ok(headers)
    }

    pub fn end(&self) -> Result<(), Broken> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(Broken::Trailing)
        }
    }
}

/// The value of a header, by its name in any case.
pub fn header<'a>(headers: &[(&[u8], &'a [u8])], name: &str) -> Option<&'a [u8]> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
    found.map(|(_, value)| *value)
}
