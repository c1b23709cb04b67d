//! A listener that shuts while connections wait with the system.

use may::net::TcpStream;
use ochrewalk_node::net::listener::{close_listener, ConnectionListener};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};

#[derive(Default)]
struct Door {
    listener: Mutex<Option<TcpListener>>,
    came: Mutex<Vec<TcpStream>>,
}

impl ConnectionListener for Door {
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
        self.came.lock().unwrap().push(stream);
    }
}

/// Who connected before the listener shut is served, though nobody had looked at it; who comes after is refused.
#[test]
fn connections_that_wait_when_the_listener_shuts_are_served() {
    let (door, listener) = (Arc::new(Door::default()), TcpListener::bind("127.0.0.1:0").unwrap());
    let at = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    door.store_listener(listener);
    let waiting: Vec<_> = (0..3).map(|_| std::net::TcpStream::connect(at).unwrap()).collect();
    close_listener(&door);
    let came: Vec<_> = door.came.lock().unwrap().iter().map(|s| s.peer_addr().unwrap()).collect();
    assert_eq!(came, waiting.iter().map(|s| s.local_addr().unwrap()).collect::<Vec<_>>());
    assert!(door.is_closed() && std::net::TcpStream::connect(at).is_err());
}
