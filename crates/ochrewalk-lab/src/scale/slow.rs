//! Subscribers that request many scopes from a relay and never read the updates.

use super::options::{region_name, FleetShape};
use super::report::SlowNodes;
use super::ScaleError;
use ochrewalk_control_plane::frame::{encode, FrameDecoder, MAX_SUBSCRIBER_FRAME};
use ochrewalk_distribution::messages::{Body, Subscribe, PROTOCOL_VERSION};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// The number of slow subscribers.
const SUBSCRIBERS: usize = 50;
/// The number of scopes that each subscribes to.
const SCOPES: u64 = 400;
/// The size of each receive buffer, which is small so that the relay's writes soon block.
const RECEIVE_BYTES: usize = 4_096;
const CHUNK_BYTES: usize = 64 * 1024;

/// Connections whose received bytes are not read.
#[derive(Default)]
pub struct SlowSubscribers {
    streams: Vec<TcpStream>,
}

impl SlowSubscribers {
    /// Connects all slow subscribers to a relay.
    pub fn connect(shape: &FleetShape, relay: SocketAddr) -> Result<SlowSubscribers, ScaleError> {
        let streams =
            (0..SUBSCRIBERS).map(|number| subscribe(shape, relay, number)).collect::<Result<_, _>>()?;
        Ok(SlowSubscribers { streams })
    }

    /// Counts the subscribers by the state of their connection, or returns `None` if there are no slow subscribers.
    pub fn count(&self) -> Option<SlowNodes> {
        let states: Vec<ConnectionState> = self.streams.iter().map(state_of).collect();
        let count = |expected: ConnectionState| states.iter().filter(|state| **state == expected).count();
        (!states.is_empty()).then(|| SlowNodes {
            connected: states.len(),
            closed: count(ConnectionState::Closed),
            unfinished: count(ConnectionState::Unfinished),
        })
    }
}

fn subscribe(shape: &FleetShape, relay: SocketAddr, number: usize) -> Result<TcpStream, ScaleError> {
    let mut stream = connect_with_small_buffer(relay)?;
    let subscribe = Subscribe {
        version: PROTOCOL_VERSION,
        node: format!("slow-{number}"),
        region: region_name(0),
        scopes: (0..SCOPES).map(|scope| shape.scope(scope)).collect(),
        ..Subscribe::default()
    };
    let mut bytes = Vec::new();
    encode(Body::Subscribe(subscribe), &mut bytes);
    stream.write_all(&bytes)?;
    Ok(stream)
}

/// Connects with a small receive buffer, so that the system stores few unread bytes.
fn connect_with_small_buffer(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.connect(&address.into())?;
    Ok(socket.into())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// The relay has closed the connection.
    Closed,
    /// The connection is open, and its first update has not arrived completely.
    Unfinished,
    Finished,
}

/// Returns the state of a connection, after a single read of the buffered bytes that lets the relay send only as much
/// again.
fn state_of(mut stream: &TcpStream) -> ConnectionState {
    let mut chunk = vec![0; CHUNK_BYTES];
    if stream.set_nonblocking(true).is_err() {
        return ConnectionState::Closed;
    }
    match stream.read(&mut chunk) {
        Ok(0) => ConnectionState::Closed,
        Ok(length) if has_last_part(&chunk[..length]) => ConnectionState::Finished,
        Ok(_) => ConnectionState::Unfinished,
        Err(error) if error.kind() == ErrorKind::WouldBlock => ConnectionState::Unfinished,
        Err(_) => ConnectionState::Closed,
    }
}

fn has_last_part(bytes: &[u8]) -> bool {
    let mut decoder = FrameDecoder::new(MAX_SUBSCRIBER_FRAME);
    decoder.push(bytes);
    let messages = std::iter::from_fn(|| decoder.next_message().ok().flatten());
    messages.into_iter().any(|body| matches!(body, Body::Update(update) if update.is_last))
}
