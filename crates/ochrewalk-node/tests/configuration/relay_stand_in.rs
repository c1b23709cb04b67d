//! A stand-in for a relay, which a test controls message by message.

use crate::control_plane::{CHECK_INTERVAL, MAX_CHECKS};
use crate::node::TIMEOUT;
use ochrewalk_control_plane::frame::{encode, FrameDecoder};
use ochrewalk_distribution::messages::{Body, Subscribe, Watch};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// The connection of a stand-in for a relay to one node.
pub struct RelayStandIn {
    stream: TcpStream,
    decoder: FrameDecoder,
}

impl RelayStandIn {
    pub fn send(&mut self, body: Body) {
        let mut bytes = Vec::new();
        encode(body, &mut bytes);
        self.stream.write_all(&bytes).unwrap();
    }

    pub fn receive(&mut self) -> Body {
        let mut chunk = [0; 4096];
        loop {
            if let Some(body) = self.decoder.next_message().unwrap() {
                return body;
            }
            let count = self.stream.read(&mut chunk).unwrap();
            assert!(count > 0, "the node closed the connection");
            self.decoder.push(&chunk[..count]);
        }
    }

    pub fn receive_subscribe(&mut self) -> Subscribe {
        match self.receive() {
            Body::Subscribe(subscribe) => subscribe,
            other => panic!("{other:?}"),
        }
    }

    /// Receives the next watch, and skips reports before it.
    pub fn receive_watch(&mut self) -> Watch {
        loop {
            match self.receive() {
                Body::Watch(watch) => return watch,
                Body::Report(_) => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

/// Accepts the node's connection, which goes to one of two relays.
pub fn accept_from_either(first: &TcpListener, second: &TcpListener) -> RelayStandIn {
    first.set_nonblocking(true).unwrap();
    second.set_nonblocking(true).unwrap();
    for _ in 0..MAX_CHECKS {
        for listener in [first, second] {
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                return RelayStandIn { stream, decoder: FrameDecoder::new(1024 * 1024) };
            }
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    panic!("the node connects to no relay");
}
