//! An address that passes connections on to a stand-in, until it moves away.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

pub struct Address {
    pub at: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    is_closed: Arc<AtomicBool>,
    accepted: Arc<AtomicUsize>,
}

impl Address {
    pub fn of(to: SocketAddr) -> Address {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("an address");
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_closed, accepted): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let (all, closed, count) = (open.clone(), is_closed.clone(), accepted.clone());
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if closed.load(Ordering::Relaxed) {
                    return;
                }
                count.fetch_add(1, Ordering::Relaxed);
                pass(&near, to, &all);
            }
        });
        Address { at, open, is_closed, accepted }
    }
    /// The number of connections that came to this address.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }
    /// Takes no new connection from now on: they are refused.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.at);
    }
    /// Ends the connections that are still open.
    pub fn end_connections(&self) {
        for stream in self.open.lock().expect("no panic under it").iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn pass(near: &TcpStream, to: SocketAddr, all: &Arc<Mutex<Vec<TcpStream>>>) {
    let Ok(far) = TcpStream::connect(to) else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    for (from, into) in [(near, &far), (&far, near)] {
        let (Ok(mut from), Ok(mut into)) = (from.try_clone(), into.try_clone()) else { return };
        if let Ok(kept) = from.try_clone() {
            all.lock().expect("no panic under it").push(kept);
        }
        std::thread::spawn(move || {
            let mut bytes = [0; 8192];
            while let Ok(got) = from.read(&mut bytes) {
                if got == 0 || into.write_all(&bytes[..got]).is_err() {
                    break;
                }
            }
            let _ = into.shutdown(Shutdown::Write);
        });
    }
}
