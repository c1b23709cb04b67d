//! What the asker sends: requests, their bodies in pieces, and questions whether the other side is there.

use crate::codes::{method, method_code, Headers, STORED_METHOD};
use crate::packet::{header, split, write, Broken, Pairs, Rest, Sender, MOST_HEADERS};

const FORWARD_REQUEST: u8 = 2;
const SHUTDOWN: u8 = 7;
const LOGIN: u8 = 8;
const CPING: u8 = 10;

const REQ_ATTRIBUTE: u8 = 0x0A;
const SSL_KEY_SIZE: u8 = 0x0B;
const ARE_DONE: u8 = 0xFF;

/// A message of the asker's other than a piece of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message<'a> {
    Request(Request<'a>),
    /// It asks to be answered at once.
    CPing,
    /// It asks to log on, the protocol's older ping.
    Login,
    /// It asks this server to end, which it never does.
    Shutdown,
}

/// Strings are the bytes that came; `None` where the protocol's null stood.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request<'a> {
    pub method: &'a [u8],
    pub protocol: &'a [u8],
    pub uri: &'a [u8],
    pub remote_addr: Option<&'a [u8]>,
    pub remote_host: Option<&'a [u8]>,
    pub server_name: Option<&'a [u8]>,
    pub server_port: u16,
    pub ssl: bool,
    pub headers: Pairs<'a>,
    pub attributes: Vec<Attribute<'a>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribute<'a> {
    Text(Which, &'a [u8]),
    Named(&'a [u8], &'a [u8]),
    SslKeySize(u16),
}

/// Attributes that are one string, by their codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Which {
    Context = 0x01,
    ServletPath = 0x02,
    RemoteUser = 0x03,
    AuthType = 0x04,
    QueryString = 0x05,
    Route = 0x06,
    SslCert = 0x07,
    SslCipher = 0x08,
    SslSession = 0x09,
    Secret = 0x0C,
    StoredMethod = 0x0D,
}

impl Which {
    pub const ALL: [Which; 11] = [
        Which::Context,
        Which::ServletPath,
        Which::RemoteUser,
        Which::AuthType,
        Which::QueryString,
        Which::Route,
        Which::SslCert,
        Which::SslCipher,
        Which::SslSession,
        Which::Secret,
        Which::StoredMethod,
    ];
}

/// How a request's body comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    None,
    /// The first piece follows the request unasked.
    Stated(u64),
    /// Each piece has to be asked for; an empty one is the end.
    Unstated,
}

impl<'a> Request<'a> {
    pub fn header(&self, name: &str) -> Option<&'a [u8]> {
        header(&self.headers, name)
    }

    pub fn attribute(&self, which: Which) -> Option<&'a [u8]> {
        self.attributes.iter().find_map(|a| match a {
            Attribute::Text(w, text) if *w == which => Some(*text),
            _ => None,
        })
    }

    /// What the headers say of the body; `None` where they can't be right: guards against two lengths, by which
    /// two readers would part the stream differently.
    pub fn body_length(&self) -> Option<BodyLength> {
        let mut lengths = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(b"content-length"));
        let stated = lengths.next().map(|(_, value)| *value);
        if lengths.any(|(_, other)| Some(*other) != stated) {
            return None;
        }
        let Some(stated) = stated else {
            let pieces = self.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case(b"chunked"));
            return Some(if pieces { BodyLength::Unstated } else { BodyLength::None });
        };
        if stated.is_empty() || !stated.iter().all(u8::is_ascii_digit) {
            return None;
        }
        let length = std::str::from_utf8(stated).ok()?.parse().unwrap_or(u64::MAX);
        Some(if length == 0 { BodyLength::None } else { BodyLength::Stated(length) })
    }

    /// Writes it as one packet of `most` bytes at most.
    pub fn write(&self, out: &mut Vec<u8>, most: usize) -> Result<(), Broken> {
        write(out, Sender::Asker, most, |to| {
            to.byte(FORWARD_REQUEST);
            let code = method_code(self.method);
            to.byte(code.unwrap_or(STORED_METHOD));
            to.text(Some(self.protocol))?;
            to.text(Some(self.uri))?;
            to.text(self.remote_addr)?;
            to.text(self.remote_host)?;
            to.text(self.server_name)?;
            to.number(self.server_port);
            to.byte(u8::from(self.ssl));
            to.headers(Headers::Request, &self.headers)?;
            if code.is_none() {
                to.byte(Which::StoredMethod as u8);
                to.text(Some(self.method))?;
            }
            for attribute in &self.attributes {
                match attribute {
                    Attribute::Text(Which::StoredMethod, _) => {}
                    Attribute::Text(which, text) => {
                        to.byte(*which as u8);
                        to.text(Some(text))?;
                    }
                    Attribute::Named(name, value) => {
                        to.byte(REQ_ATTRIBUTE);
                        to.text(Some(name))?;
                        to.text(Some(value))?;
                    }
                    Attribute::SslKeySize(size) => {
                        to.byte(SSL_KEY_SIZE);
                        to.number(*size);
                    }
                }
            }
            to.byte(ARE_DONE);
            Ok(())
        })
    }

    fn read(mut rest: Rest<'a>) -> Result<Request<'a>, Broken> {
        let code = rest.byte()?;
        let mut request = Request {
            method: if code == STORED_METHOD { b"" } else { method(code).ok_or(Broken::Code)?.as_bytes() },
            protocol: rest.text()?,
            uri: rest.text()?,
            remote_addr: rest.maybe_text()?,
            remote_host: rest.maybe_text()?,
            server_name: rest.maybe_text()?,
            server_port: rest.number()?,
            ssl: rest.flag()?,
            headers: rest.headers(Headers::Request)?,
            attributes: Vec::new(),
        };
        let stored = code == STORED_METHOD;
        loop {
            let attribute = match rest.byte()? {
                ARE_DONE => break,
                REQ_ATTRIBUTE => Attribute::Named(rest.text()?, rest.text()?),
                SSL_KEY_SIZE => Attribute::SslKeySize(rest.number()?),
                code => {
                    let which = Which::ALL.into_iter().find(|w| *w as u8 == code).ok_or(Broken::Code)?;
                    Attribute::Text(which, rest.text()?)
                }
            };
            match attribute {
                // Guards against a method that says one thing by its code and another beside it.
                Attribute::Text(Which::StoredMethod, name) if stored => request.method = name,
                Attribute::Text(Which::StoredMethod, _) => return Err(Broken::Code),
                other => request.attributes.push(other),
            }
            if request.attributes.len() > MOST_HEADERS {
                return Err(Broken::TooMany);
            }
        }
        if request.method.is_empty() {
            return Err(Broken::Code);
        }
        rest.end()?;
        Ok(request)
    }
}

/// The first whole message, where no piece of a body is due, and how many bytes it takes.
pub fn read(input: &[u8], most: usize) -> Result<Option<(Message<'_>, usize)>, Broken> {
    let Some((payload, taken)) = split(input, Sender::Asker, most)? else { return Ok(None) };
    let mut rest = Rest(payload);
    let message = match rest.byte()? {
        FORWARD_REQUEST => return Ok(Some((Message::Request(Request::read(rest)?), taken))),
        SHUTDOWN => Message::Shutdown,
        LOGIN => Message::Login,
        CPING => Message::CPing,
        _ => return Err(Broken::Code),
    };
    rest.end()?;
    Ok(Some((message, taken)))
}

/// The first whole piece of a body, where one is due; an empty one is the end.
pub fn read_piece(input: &[u8], most: usize) -> Result<Option<(&[u8], usize)>, Broken> {
    let Some((payload, taken)) = split(input, Sender::Asker, most)? else { return Ok(None) };
    if payload.is_empty() {
        return Ok(Some((payload, taken)));
    }
    let mut rest = Rest(payload);
    let length = usize::from(rest.number()?);
    let piece = rest.bytes(length)?;
    rest.end()?;
    Ok(Some((piece, taken)))
}

/// The longest piece of a body that fits a packet.
pub fn longest_piece(most: usize) -> usize {
    most - crate::packet::HEADER - 2
}

pub fn write_piece(out: &mut Vec<u8>, most: usize, piece: &[u8]) -> Result<(), Broken> {
    write(out, Sender::Asker, most, |to| {
        if !piece.is_empty() {
            to.count(piece.len())?;
            to.bytes(piece);
        }
        Ok(())
    })
}

/// One of the messages without fields.
pub fn write_plain(out: &mut Vec<u8>, message: &Message, most: usize) -> Result<(), Broken> {
    let code = match message {
        Message::Request(request) => return request.write(out, most),
        Message::CPing => CPING,
        Message::Login => LOGIN,
        Message::Shutdown => SHUTDOWN,
    };
    write(out, Sender::Asker, most, |to| {
        to.byte(code);
        Ok(())
    })
}
