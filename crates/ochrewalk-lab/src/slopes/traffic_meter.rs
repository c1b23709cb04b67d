//! Proxy on loopback that counts the bytes between a node and its relay in both directions.

use super::SlopeError;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

const CHUNK: usize = 16 * 1024;

/// Listen addresses of proxies to one target, and the number of bytes that they forwarded.
pub struct TrafficMeter {
    pub addresses: Vec<SocketAddr>,
    bytes: Arc<AtomicU64>,
}

impl TrafficMeter {
    pub fn start(target: SocketAddr, address_count: usize) -> Result<Self, SlopeError> {
        let bytes = Arc::new(AtomicU64::new(0));
        let mut addresses = Vec::new();
        for _ in 0..address_count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let counted = bytes.clone();
            std::thread::spawn(move || serve(&listener, target, &counted));
        }
        Ok(Self { addresses, bytes })
    }

    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

fn serve(listener: &TcpListener, target: SocketAddr, bytes: &Arc<AtomicU64>) {
    for client in listener.incoming().flatten() {
        let Ok(server) = TcpStream::connect(target) else { continue };
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else { continue };
        let (inward, outward) = (bytes.clone(), bytes.clone());
        std::thread::spawn(move || copy(client, server, &inward));
        std::thread::spawn(move || copy(server_copy, client_copy, &outward));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, bytes: &AtomicU64) {
    let mut chunk = [0; CHUNK];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
