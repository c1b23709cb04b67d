//! A web server's side of AJP/1.3: one connection, kept open, one request after the other.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MAGIC_TO_CONTAINER: [u8; 2] = [0x12, 0x34];
const FORWARD_REQUEST: u8 = 2;
const POST: u8 = 4;
const SEND_BODY_CHUNK: u8 = 3;
const SEND_HEADERS: u8 = 4;
const END_RESPONSE: u8 = 5;

pub struct WebServer {
    at: SocketAddr,
    stream: Option<TcpStream>,
}

/// A complete answer.
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

fn string(out: &mut Vec<u8>, text: &str) {
    out.extend((text.len() as u16).to_be_bytes());
    out.extend(text.as_bytes());
    out.push(0);
}

fn packet(payload: &[u8]) -> Vec<u8> {
    let mut out = MAGIC_TO_CONTAINER.to_vec();
    out.extend((payload.len() as u16).to_be_bytes());
    out.extend(payload);
    out
}

impl WebServer {
    pub fn new(at: SocketAddr) -> WebServer {
        WebServer { at, stream: None }
    }
    /// Sends a POST without an id of its own, and reads the answer. Nothing where the connection ends before.
    pub fn post(&mut self, path: &str, body: &[u8]) -> Option<Reply> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.at, Duration::from_secs(1)).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
            self.stream = Some(stream);
        }
        let reply = self.exchange(path, body);
        if !matches!(reply, Some((_, true))) {
            self.stream = None;
        }
        reply.map(|(reply, _)| reply)
    }
    fn exchange(&mut self, path: &str, body: &[u8]) -> Option<(Reply, bool)> {
        let stream = self.stream.as_mut()?;
        let mut head = vec![FORWARD_REQUEST, POST];
        for text in ["HTTP/1.1", path, "127.0.0.1", "127.0.0.1", "localhost"] {
            string(&mut head, text);
        }
        head.extend(80u16.to_be_bytes());
        head.push(0);
        head.extend(2u16.to_be_bytes());
        string(&mut head, "host");
        string(&mut head, "localhost");
        string(&mut head, "content-length");
        string(&mut head, &body.len().to_string());
        head.push(0xff);
        let mut chunk = (body.len() as u16).to_be_bytes().to_vec();
        chunk.extend(body);
        let mut out = packet(&head);
        out.extend(packet(&chunk));
        stream.write_all(&out).ok()?;
        let mut reply = Reply { status: 0, body: Vec::new() };
        loop {
            let mut start = [0; 4];
            stream.read_exact(&mut start).ok()?;
            let mut payload = vec![0; usize::from(u16::from_be_bytes([start[2], start[3]]))];
            stream.read_exact(&mut payload).ok()?;
            match payload.first()? {
                &SEND_HEADERS => reply.status = u16::from_be_bytes([*payload.get(1)?, *payload.get(2)?]),
                &SEND_BODY_CHUNK => {
                    let length = usize::from(u16::from_be_bytes([*payload.get(1)?, *payload.get(2)?]));
                    reply.body.extend(payload.get(3..3 + length)?);
                }
                &END_RESPONSE => return Some((reply, payload.get(1) == Some(&1))),
                _ => {}
            }
        }
    }
}
