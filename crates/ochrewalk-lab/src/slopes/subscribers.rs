//! Stand-ins for subscribers of a relay: each receives all updates over a separate connection and reports them as
//! applied.

use super::SlopeError;
use ochrewalk_control_plane::frame::{encode, FrameDecoder, MAX_SUBSCRIBER_FRAME};
use ochrewalk_distribution::messages::{Body, Position, Report, Subscribe, PROTOCOL_VERSION};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);
const CHUNK: usize = 64 * 1024;
/// The interval of reports, which is shorter than the silence after which a relay considers a path broken.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The updates that a subscriber has received.
#[derive(Debug, Default)]
pub struct Received {
    pub bytes: AtomicU64,
    pub complete_updates: AtomicU64,
    /// The revision of the last complete update.
    pub revision: AtomicU64,
}

pub struct SubscriberStandIn {
    stream: TcpStream,
    pub received: Arc<Received>,
}

impl SubscriberStandIn {
    /// Subscribes to scopes, or to everything if `scopes` is empty.
    pub fn connect(
        relay: SocketAddr,
        name: &str,
        region: &str,
        scopes: &[String],
    ) -> Result<Self, SlopeError> {
        let mut stream = TcpStream::connect_timeout(&relay, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REPORT_INTERVAL))?;
        let subscribe = Subscribe {
            version: PROTOCOL_VERSION,
            node: name.into(),
            region: region.into(),
            scopes: scopes.to_vec(),
            everything: scopes.is_empty(),
            ..Subscribe::default()
        };
        send(&mut stream, Body::Subscribe(subscribe))?;
        let received = Arc::new(Received::default());
        let (reader, counters) = (stream.try_clone()?, received.clone());
        std::thread::spawn(move || {
            let _ = receive_updates(reader, &counters);
        });
        Ok(Self { stream, received })
    }

    pub fn revision(&self) -> u64 {
        self.received.revision.load(Ordering::Relaxed)
    }

    pub fn bytes(&self) -> u64 {
        self.received.bytes.load(Ordering::Relaxed)
    }

    pub fn complete_updates(&self) -> u64 {
        self.received.complete_updates.load(Ordering::Relaxed)
    }
}

impl Drop for SubscriberStandIn {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn send(stream: &mut TcpStream, body: Body) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    encode(body, &mut bytes);
    stream.write_all(&bytes)
}

fn receive_updates(mut stream: TcpStream, received: &Received) -> Result<(), SlopeError> {
    let mut decoder = FrameDecoder::new(MAX_SUBSCRIBER_FRAME);
    let mut chunk = vec![0; CHUNK];
    let mut applied: Option<Position> = None;
    loop {
        while let Some(body) = decoder.next_message()? {
            if let Body::Update(update) = body {
                if update.is_last {
                    applied = Some(update.position);
                    received.revision.store(update.position.revision, Ordering::Relaxed);
                    received.complete_updates.fetch_add(1, Ordering::Relaxed);
                    send(&mut stream, Body::Report(Report { applied: update.position, rejected: None }))?;
                }
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(count) => {
                received.bytes.fetch_add(count as u64, Ordering::Relaxed);
                decoder.push(&chunk[..count]);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if let Some(applied) = applied {
                    send(&mut stream, Body::Report(Report { applied, rejected: None }))?;
                }
            }
            Err(error) => return Err(error.into()),
        }
    }
}
