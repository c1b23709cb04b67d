//! Tests a listener that is closed while connections wait in the system's backlog.

use may::net::TcpStream;
use ochrewalk_node::net::listener::{close_listener, ConnectionListener};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};

#[derive(Default)]
struct TestListener {
    listener: Mutex<Option<TcpListener>>,
    accepted: Mutex<Vec<TcpStream>>,
}

impl ConnectionListener for TestListener {
    const PART: &'static str = "door";

    fn store_listener(&self, listener: TcpListener) {
        *self.listener.lock().unwrap() = Some(listener);
    }

    fn take_listener(&self) -> Option<TcpListener> {
        self.listener.lock().unwrap().take()
    }

    fn is_closed(&self) -> bool {
        self.listener.lock().unwrap().is_none()
    }

    fn max_connections(&self) -> usize {
        5
    }

    fn ensure_capacity(&self) -> bool {
        true
    }

    fn serve_connection(self: &Arc<Self>, stream: TcpStream) {
        self.accepted.lock().unwrap().push(stream);
    }
}

/// A connection that was made before the listener closes is served, although it had not been accepted; a later one is refused.
#[test]
fn connections_in_the_backlog_of_a_closed_listener_are_served() {
    let (test_listener, listener) =
        (Arc::new(TestListener::default()), TcpListener::bind("127.0.0.1:0").unwrap());
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    test_listener.store_listener(listener);
    let waiting: Vec<_> = (0..3).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    close_listener(&test_listener);
    let accepted: Vec<_> =
        test_listener.accepted.lock().unwrap().iter().map(|s| s.peer_addr().unwrap()).collect();
    assert_eq!(accepted, waiting.iter().map(|s| s.local_addr().unwrap()).collect::<Vec<_>>());
    assert!(test_listener.is_closed() && std::net::TcpStream::connect(address).is_err());
}
