//! Tests that a connection whose input never ends does not keep others from being served.

use may::net::{TcpListener, TcpStream};
use ochrewalk_node::close_reason::CloseReason;
use ochrewalk_node::net::buffered_connection::{drive_connection, MessageHandler, PeerKind, SendQueue};
use ochrewalk_node::net::flood_control::client_sleep;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The work for one message of the flood, longer than it takes to write one.
const WORK: Duration = Duration::from_micros(20);
/// The number of messages of the flood by which the other connection must be served.
const MAX_FLOOD_MESSAGES: u64 = 20_000;

/// Handles each line of a flood slowly, and fails once there are too many.
struct Flooded {
    peer_kind: PeerKind,
    handled: Arc<AtomicU64>,
}

impl MessageHandler for Flooded {
    fn peer_kind(&self) -> PeerKind {
        self.peer_kind
    }

    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((_, taken)) = ochrewalk_node::wire::line(input) else { return Ok(0) };
        let from = Instant::now();
        while from.elapsed() < WORK {}
        if self.handled.fetch_add(1, Ordering::Relaxed) >= MAX_FLOOD_MESSAGES {
            return Err(CloseReason::Malformed("too many".into()));
        }
        Ok(taken)
    }
}

/// Reports each line.
struct Reporter(Sender<()>);

impl MessageHandler for Reporter {
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((_, taken)) = ochrewalk_node::wire::line(input) else { return Ok(0) };
        let _ = self.0.send(());
        Ok(taken)
    }
}

/// Serves one connection with this handler, and returns its address.
fn serve(handler: impl MessageHandler + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    may::go!(move || {
        let (stream, _): (TcpStream, _) = listener.accept().unwrap();
        let mut handler = handler;
        drive_connection(&stream, &SendQueue::default(), None, 1_024, &mut handler);
    });
    address
}

/// Guards against a client at full speed that keeps every other connection waiting for seconds: the runtime's worker polled for
/// I/O only once the flood had paused. Of a trusted peer, too, the others must not wait for the end.
#[test]
fn a_connection_whose_input_never_ends_lets_others_be_served() {
    may::config().set_workers(1);
    for peer_kind in [PeerKind::Client, PeerKind::Trusted] {
        let handled = Arc::new(AtomicU64::new(0));
        let flooded = serve(Flooded { peer_kind, handled: handled.clone() });
        let is_served = Arc::new(AtomicBool::new(false));
        let stop = is_served.clone();
        let flood = std::thread::spawn(move || {
            let mut stream = std::net::TcpStream::connect(flooded).unwrap();
            let lines = format!("{}\n", "x".repeat(63)).repeat(1_024);
            while !stop.load(Ordering::Relaxed) && stream.write_all(lines.as_bytes()).is_ok() {}
        });
        while handled.load(Ordering::Relaxed) < MAX_FLOOD_MESSAGES / 10 {
            std::thread::yield_now();
        }
        let (sender, served) = channel();
        let mut other = std::net::TcpStream::connect(serve(Reporter(sender))).unwrap();
        other.write_all(b"x\n").unwrap();
        served.recv().unwrap();
        let before = handled.load(Ordering::Relaxed);
        is_served.store(true, Ordering::Relaxed);
        assert!(before < MAX_FLOOD_MESSAGES, "{peer_kind:?}: served after {before} messages of the flood");
        flood.join().unwrap();
    }
}

/// All connections that have used up their turn take no more of the worker together than one of them does.
#[test]
fn the_sleep_grows_with_the_messages_and_with_the_connections_that_sleep() {
    let ms = |messages, sleeping| client_sleep(messages, sleeping).as_millis();
    assert_eq!([ms(0, 1), ms(64, 1), ms(128, 1), ms(64, 4)], [1, 16, 32, 64]);
    assert_eq!(ms(64, 400), 1_984);
}
