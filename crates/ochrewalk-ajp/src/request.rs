//! Messages of the web server: requests, the chunks of their bodies, and CPing.

use crate::codes::{method, method_code, HeaderTable, STORED_METHOD};
use crate::packet::{header, split, write, HeaderList, PayloadReader, ProtocolError, Sender, MAX_HEADERS};

const FORWARD_REQUEST: u8 = 2;
const SHUTDOWN: u8 = 7;
const LOGIN: u8 = 8;
const CPING: u8 = 10;

const REQ_ATTRIBUTE: u8 = 0x0A;
const SSL_KEY_SIZE: u8 = 0x0B;
const ARE_DONE: u8 = 0xFF;

/// A message of the web server other than a body chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message<'a> {
    /// Forward Request: the head of a request.
    ForwardRequest(Request<'a>),
    /// CPing: requests a CPong at once, as proof that the connection works.
    CPing,
    /// A login, which an older version of the protocol used as its ping.
    Login,
    /// Shutdown: asks the servlet container to exit, which this implementation always refuses.
    Shutdown,
}

/// The head of a request. Strings are the bytes received; `None` is the protocol's null string.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request<'a> {
    pub method: &'a [u8],
    pub protocol: &'a [u8],
    pub uri: &'a [u8],
    pub remote_addr: Option<&'a [u8]>,
    pub remote_host: Option<&'a [u8]>,
    pub server_name: Option<&'a [u8]>,
    pub server_port: u16,
    pub is_ssl: bool,
    pub headers: HeaderList<'a>,
    pub attributes: Vec<Attribute<'a>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribute<'a> {
    String(StringAttribute, &'a [u8]),
    Named(&'a [u8], &'a [u8]),
    SslKeySize(u16),
}

/// The attributes whose value is one string, with their codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum StringAttribute {
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

impl StringAttribute {
    pub const ALL: [StringAttribute; 11] = [
        StringAttribute::Context,
        StringAttribute::ServletPath,
        StringAttribute::RemoteUser,
        StringAttribute::AuthType,
        StringAttribute::QueryString,
        StringAttribute::Route,
        StringAttribute::SslCert,
        StringAttribute::SslCipher,
        StringAttribute::SslSession,
        StringAttribute::Secret,
        StringAttribute::StoredMethod,
    ];
}

/// The length of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    None,
    /// The length in bytes. The first chunk follows the request without a Get Body Chunk.
    Stated(u64),
    /// The length is not stated. Each chunk is sent on a Get Body Chunk, and an empty one ends the body.
    Unstated,
}

impl<'a> Request<'a> {
    pub fn header(&self, name: &str) -> Option<&'a [u8]> {
        header(&self.headers, name)
    }

    pub fn attribute(&self, which: StringAttribute) -> Option<&'a [u8]> {
        self.attributes.iter().find_map(|attribute| match attribute {
            Attribute::String(known, text) if *known == which => Some(*text),
            _ => None,
        })
    }

    /// Returns the length of the body that the headers state; `None` if they are invalid. Headers with two different
    /// lengths are invalid, as two programs could split the stream at different positions.
    pub fn body_length(&self) -> Option<BodyLength> {
        let mut lengths =
            self.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(b"content-length"));
        let stated = lengths.next().map(|(_, value)| *value);
        if lengths.any(|(_, other)| Some(*other) != stated) {
            return None;
        }
        let Some(stated) = stated else {
            let is_chunked =
                self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case(b"chunked"));
            return Some(if is_chunked { BodyLength::Unstated } else { BodyLength::None });
        };
        if stated.is_empty() || !stated.iter().all(u8::is_ascii_digit) {
            return None;
        }
        let length = std::str::from_utf8(stated).ok()?.parse().unwrap_or(u64::MAX);
        Some(if length == 0 { BodyLength::None } else { BodyLength::Stated(length) })
    }

    /// Appends the request to `out` as one packet.
    ///
    /// # Errors
    /// Returns an error if the packet is longer than `max_packet_bytes` or a string cannot be encoded.
    pub fn write(&self, out: &mut Vec<u8>, max_packet_bytes: usize) -> Result<(), ProtocolError> {
        write(out, Sender::WebServer, max_packet_bytes, |payload| {
            payload.byte(FORWARD_REQUEST);
            let code = method_code(self.method);
            payload.byte(code.unwrap_or(STORED_METHOD));
            payload.string(Some(self.protocol))?;
            payload.string(Some(self.uri))?;
            payload.string(self.remote_addr)?;
            payload.string(self.remote_host)?;
            payload.string(self.server_name)?;
            payload.integer(self.server_port);
            payload.byte(u8::from(self.is_ssl));
            payload.headers(HeaderTable::Request, &self.headers)?;
            if code.is_none() {
                payload.byte(StringAttribute::StoredMethod as u8);
                payload.string(Some(self.method))?;
            }
            for attribute in &self.attributes {
                match attribute {
                    Attribute::String(StringAttribute::StoredMethod, _) => {}
                    Attribute::String(which, text) => {
                        payload.byte(*which as u8);
                        payload.string(Some(text))?;
                    }
                    Attribute::Named(name, value) => {
                        payload.byte(REQ_ATTRIBUTE);
                        payload.string(Some(name))?;
                        payload.string(Some(value))?;
                    }
                    Attribute::SslKeySize(size) => {
                        payload.byte(SSL_KEY_SIZE);
                        payload.integer(*size);
                    }
                }
            }
            payload.byte(ARE_DONE);
            Ok(())
        })
    }

    fn read(mut reader: PayloadReader<'a>) -> Result<Request<'a>, ProtocolError> {
        let code = reader.byte()?;
        let mut request = Request {
            method: if code == STORED_METHOD {
                b""
            } else {
                method(code).ok_or(ProtocolError::UnknownCode)?.as_bytes()
            },
            protocol: reader.string()?,
            uri: reader.string()?,
            remote_addr: reader.optional_string()?,
            remote_host: reader.optional_string()?,
            server_name: reader.optional_string()?,
            server_port: reader.integer()?,
            is_ssl: reader.boolean()?,
            headers: reader.headers(HeaderTable::Request)?,
            attributes: Vec::new(),
        };
        let is_stored = code == STORED_METHOD;
        loop {
            let attribute = match reader.byte()? {
                ARE_DONE => break,
                REQ_ATTRIBUTE => Attribute::Named(reader.string()?, reader.string()?),
                SSL_KEY_SIZE => Attribute::SslKeySize(reader.integer()?),
                code => {
                    let which = StringAttribute::ALL
                        .into_iter()
                        .find(|known| *known as u8 == code)
                        .ok_or(ProtocolError::UnknownCode)?;
                    Attribute::String(which, reader.string()?)
                }
            };
            match attribute {
                // A stored method beside a method with a code is rejected, as the two could differ.
                Attribute::String(StringAttribute::StoredMethod, name) if is_stored => request.method = name,
                Attribute::String(StringAttribute::StoredMethod, _) => {
                    return Err(ProtocolError::UnknownCode)
                }
                other => request.attributes.push(other),
            }
            if request.attributes.len() > MAX_HEADERS {
                return Err(ProtocolError::TooManyHeaders);
            }
        }
        if request.method.is_empty() {
            return Err(ProtocolError::UnknownCode);
        }
        reader.end()?;
        Ok(request)
    }
}

/// Returns the first complete message and the size of its packet; `None` if the packet is incomplete. To be called
/// where no body chunk is due.
pub fn read(input: &[u8], max_packet_bytes: usize) -> Result<Option<(Message<'_>, usize)>, ProtocolError> {
    let Some((payload, packet_bytes)) = split(input, Sender::WebServer, max_packet_bytes)? else {
        return Ok(None);
    };
    let mut reader = PayloadReader(payload);
    let message = match reader.byte()? {
        FORWARD_REQUEST => return Ok(Some((Message::ForwardRequest(Request::read(reader)?), packet_bytes))),
        SHUTDOWN => Message::Shutdown,
        LOGIN => Message::Login,
        CPING => Message::CPing,
        _ => return Err(ProtocolError::UnknownCode),
    };
    reader.end()?;
    Ok(Some((message, packet_bytes)))
}

/// Returns the first complete body chunk and the size of its packet; `None` if the packet is incomplete. An empty chunk
/// ends the body. To be called where a body chunk is due.
pub fn read_body_chunk(
    input: &[u8],
    max_packet_bytes: usize,
) -> Result<Option<(&[u8], usize)>, ProtocolError> {
    let Some((payload, packet_bytes)) = split(input, Sender::WebServer, max_packet_bytes)? else {
        return Ok(None);
    };
    if payload.is_empty() {
        return Ok(Some((payload, packet_bytes)));
    }
    let mut reader = PayloadReader(payload);
    let length = usize::from(reader.integer()?);
    let chunk = reader.bytes(length)?;
    reader.end()?;
    Ok(Some((chunk, packet_bytes)))
}

/// Returns the maximum size of a body chunk that fits a packet of this size, in bytes.
pub fn max_chunk_bytes(max_packet_bytes: usize) -> usize {
    max_packet_bytes - crate::packet::HEADER_BYTES - 2
}

/// Appends a body chunk to `out` as one packet; an empty chunk ends the body.
///
/// # Errors
/// Returns an error if the packet is longer than `max_packet_bytes`.
pub fn write_body_chunk(
    out: &mut Vec<u8>,
    max_packet_bytes: usize,
    chunk: &[u8],
) -> Result<(), ProtocolError> {
    write(out, Sender::WebServer, max_packet_bytes, |payload| {
        if !chunk.is_empty() {
            payload.count(chunk.len())?;
            payload.bytes(chunk);
        }
        Ok(())
    })
}

/// Appends any message of the web server to `out`.
pub fn write_message(
    out: &mut Vec<u8>,
    message: &Message,
    max_packet_bytes: usize,
) -> Result<(), ProtocolError> {
    let code = match message {
        Message::ForwardRequest(request) => return request.write(out, max_packet_bytes),
        Message::CPing => CPING,
        Message::Login => LOGIN,
        Message::Shutdown => SHUTDOWN,
    };
    write(out, Sender::WebServer, max_packet_bytes, |payload| {
        payload.byte(code);
        Ok(())
    })
}
