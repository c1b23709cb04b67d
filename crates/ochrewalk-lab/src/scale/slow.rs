//! Subscribers that ask a relay for much and never read.

use super::options::{region_name, FleetShape};
use super::report::SlowNodes;
use super::ScaleError;
use ochrewalk_control_plane::frame::{encode, FrameDecoder, MAX_SUBSCRIBER_FRAME};
use ochrewalk_distribution::messages::{Body, Subscribe, PROTOCOL_VERSION};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// How many there are.
const SUBSCRIBERS: usize = 50;
/// Scopes that each asks for.
const SCOPES: u64 = 400;
/// The receive buffer of each, so that the relay's writes are refused soon.
const RECEIVE_BYTES: usize = 4_096;
const CHUNK_BYTES: usize = 64 * 1024;

/// Connections that nobody reads.
#[derive(Default)]
pub struct SlowSubscribers {
    streams: Vec<TcpStream>,
}

impl SlowSubscribers {
    /// Connects all of them to that relay.
    pub fn connect(shape: &FleetShape, relay: SocketAddr) -> Result<SlowSubscribers, ScaleError> {
        let streams =
            (0..SUBSCRIBERS).map(|number| subscribe(shape, relay, number)).collect::<Result<_, _>>()?;
        Ok(SlowSubscribers { streams })
    }

    /// How they stand now; none where there are none.
    pub fn count(&self) -> Option<SlowNodes> {
        let ends: Vec<End> = self.streams.iter().map(end_of).collect();
        let count = |wanted: End| ends.iter().filter(|end| **end == wanted).count();
        (!ends.is_empty()).then(|| SlowNodes {
            connected: ends.len(),
            closed: count(End::Closed),
            unfinished: count(End::Unfinished),
        })
    }
}

fn subscribe(shape: &FleetShape, relay: SocketAddr, number: usize) -> Result<TcpStream, ScaleError> {
    let mut stream = connect_with_little_room(relay)?;
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

/// A connection on which the system takes little that nobody reads.
fn connect_with_little_room(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.connect(&address.into())?;
    Ok(socket.into())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The relay has closed it.
    Closed,
    /// It is open, and its first update has not come whole.
    Unfinished,
    Finished,
}

/// Reads once what lies there, which makes room for no more than that.
fn end_of(mut stream: &TcpStream) -> End {
    let mut chunk = vec![0; CHUNK_BYTES];
    if stream.set_nonblocking(true).is_err() {
        return End::Closed;
    }
    match stream.read(&mut chunk) {
        Ok(0) => End::Closed,
        Ok(length) if has_last_part(&chunk[..length]) => End::Finished,
        Ok(_) => End::Unfinished,
        Err(error) if error.kind() == ErrorKind::WouldBlock => End::Unfinished,
        Err(_) => End::Closed,
    }
}

fn has_last_part(bytes: &[u8]) -> bool {
    let mut decoder = FrameDecoder::new(MAX_SUBSCRIBER_FRAME);
    decoder.push(bytes);
    let messages = std::iter::from_fn(|| decoder.next_message().ok().flatten());
    messages.into_iter().any(|body| matches!(body, Body::Update(update) if update.is_last))
}
