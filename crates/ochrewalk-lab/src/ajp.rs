//! Blocking AJP caller: one connection with one call at a time.

use ochrewalk_ajp::packet::DEFAULT_PACKET_BYTES;
use ochrewalk_ajp::reply::{self, Message};
use ochrewalk_ajp::request::{self, Attribute, Request, StringAttribute};
use std::io::{Error, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

pub struct Peer {
    pub stream: TcpStream,
    input: Vec<u8>,
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub reuse: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim_end().to_string()
    }
}

/// A call to be sent.
#[derive(Clone, Debug, Default)]
pub struct Call<'a> {
    pub method: &'a str,
    pub uri: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub secret: Option<&'a str>,
    pub body: &'a [u8],
}

impl Call<'_> {
    /// Encodes the head as a packet, with the length of the body unless a header states it.
    pub fn head(&self) -> Vec<u8> {
        let length = self.body.len().to_string();
        let stated = |n: &str| self.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case(n));
        let mut headers: Vec<(&[u8], &[u8])> =
            self.headers.iter().map(|(n, v)| (n.as_bytes(), v.as_bytes())).collect();
        if !stated("content-length") && !stated("transfer-encoding") {
            headers.push((b"content-length", length.as_bytes()));
        }
        let request = Request {
            method: self.method.as_bytes(),
            protocol: b"HTTP/1.1",
            uri: self.uri.as_bytes(),
            remote_addr: Some(b"127.0.0.1"),
            remote_host: None,
            server_name: Some(b"ledger.example.org"),
            server_port: 80,
            is_ssl: false,
            headers,
            attributes: self
                .secret
                .map(|s| Attribute::String(StringAttribute::Secret, s.as_bytes()))
                .into_iter()
                .collect(),
        };
        let mut out = Vec::new();
        request.write(&mut out, DEFAULT_PACKET_BYTES).expect("a head that fits");
        out
    }

    /// Encodes the head and the body.
    pub fn whole(&self) -> Vec<u8> {
        let mut out = self.head();
        if !self.body.is_empty() {
            out.extend(piece(self.body));
        }
        out
    }
}

pub fn piece(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    request::write_body_chunk(&mut out, DEFAULT_PACKET_BYTES, bytes).expect("a piece that fits");
    out
}

pub fn plain(message: &request::Message) -> Vec<u8> {
    let mut out = Vec::new();
    request::write_message(&mut out, message, DEFAULT_PACKET_BYTES).expect("fits");
    out
}

impl Peer {
    pub fn connect(to: SocketAddr, timeout: Duration) -> std::io::Result<Peer> {
        Peer::from_stream(TcpStream::connect_timeout(&to, timeout)?, timeout)
    }

    /// Uses an established stream, with `timeout` for reads and writes.
    pub fn from_stream(stream: TcpStream, timeout: Duration) -> std::io::Result<Peer> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Peer { stream, input: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn call(&mut self, call: &Call) -> std::io::Result<Answer> {
        self.send(&call.whole())?;
        self.answer()
    }

    /// Reads the next complete answer.
    pub fn answer(&mut self) -> std::io::Result<Answer> {
        let mut answer = Answer { status: 0, headers: Vec::new(), body: Vec::new(), reuse: false };
        loop {
            let is_complete = self.message(|message| match message {
                Message::SendHeaders(head) => {
                    answer.status = head.status;
                    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                    answer.headers = head.headers.iter().map(|(n, v)| (text(n), text(v))).collect();
                    false
                }
                Message::SendBodyChunk(piece) => {
                    answer.body.extend_from_slice(piece);
                    false
                }
                Message::EndResponse { reuse } => {
                    answer.reuse = *reuse;
                    true
                }
                Message::GetBodyChunk(_) | Message::CPong => false,
            })?;
            if is_complete {
                return Ok(answer);
            }
        }
    }

    /// Waits for the next message and passes it to `read`.
    pub fn message<T>(&mut self, read: impl FnOnce(&Message) -> T) -> std::io::Result<T> {
        loop {
            let decoded = reply::read(&self.input, DEFAULT_PACKET_BYTES);
            match decoded.map_err(|why| Error::new(ErrorKind::InvalidData, why.to_string()))? {
                Some((message, taken)) => {
                    let got = read(&message);
                    self.input.drain(..taken);
                    return Ok(got);
                }
                None => {
                    let mut chunk = [0; 4096];
                    match self.stream.read(&mut chunk)? {
                        0 => return Err(ErrorKind::UnexpectedEof.into()),
                        got => self.input.extend_from_slice(&chunk[..got]),
                    }
                }
            }
        }
    }

    /// Whether the node has closed the connection and nothing is left to read.
    pub fn is_ended(&mut self) -> bool {
        match self.message(|_| ()) {
            Ok(()) => false,
            Err(err) => matches!(err.kind(), ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset),
        }
    }

    /// Whether the node answers a ping.
    pub fn is_alive(&mut self) -> bool {
        let sent = self.send(&plain(&request::Message::CPing));
        sent.is_ok() && self.message(|m| matches!(m, Message::CPong)).unwrap_or(false)
    }

    pub fn end(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
