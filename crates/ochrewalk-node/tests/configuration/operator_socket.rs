//! A stand-in for a publisher's control socket, which accepts one request and sends the reply that a test specifies.

use crate::helper::file;
use ochrewalk_control_plane::frame::{encode, FrameDecoder};
use ochrewalk_distribution::messages::Body;
use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::thread::JoinHandle;

const MAX_REQUEST: usize = 1024 * 1024;

/// The socket, and the thread that returns the request.
pub struct OperatorSocket {
    path: PathBuf,
    request: JoinHandle<Body>,
}

impl OperatorSocket {
    pub fn path(&self) -> &str {
        self.path.to_str().unwrap()
    }

    /// Waits for the request.
    pub fn request(self) -> Body {
        self.request.join().unwrap()
    }
}

/// Listens for one request and replies to it, or closes the connection without a reply.
pub fn reply_once(reply: Option<Body>) -> OperatorSocket {
    let path = file("");
    std::fs::remove_file(&path).unwrap();
    let listener = UnixListener::bind(&path).unwrap();
    let bound = path.clone();
    let request = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let request = read_request(&mut stream);
        let mut bytes = Vec::new();
        if let Some(reply) = reply {
            encode(reply, &mut bytes);
        }
        stream.write_all(&bytes).unwrap();
        std::fs::remove_file(bound).unwrap();
        request
    });
    OperatorSocket { path, request }
}

fn read_request(stream: &mut UnixStream) -> Body {
    let mut decoder = FrameDecoder::new(MAX_REQUEST);
    let mut chunk = [0; 4096];
    loop {
        if let Some(body) = decoder.next_message().unwrap() {
            return body;
        }
        let count = stream.read(&mut chunk).unwrap();
        assert!(count > 0, "the request is truncated");
        decoder.push(&chunk[..count]);
    }
}
