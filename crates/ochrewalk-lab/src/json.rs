//! JSON-RPC caller: one connection that carries many concurrent calls.

use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

type PendingCalls = Arc<Mutex<HashMap<u64, Sender<Value>>>>;

pub struct Caller {
    stream: Mutex<TcpStream>,
    pending: PendingCalls,
    is_closed: Arc<AtomicBool>,
}

impl Caller {
    pub fn connect(to: SocketAddr) -> std::io::Result<Caller> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let pending: PendingCalls = Arc::default();
        let is_closed = Arc::new(AtomicBool::new(false));
        let closed_flag = is_closed.clone();
        let (pending_calls, reads) = (pending.clone(), stream.try_clone()?);
        std::thread::spawn(move || {
            for line in BufReader::new(reads).lines().map_while(Result::ok) {
                let Ok(value) = serde_json::from_str::<Value>(&line) else { continue };
                let Some(id) = value["id"].as_u64() else { continue };
                // Every answer is passed on, so that a duplicate is detected.
                if let Some(to) = pending_calls.lock().expect("no panic under it").get(&id) {
                    let _ = to.send(value);
                }
            }
            closed_flag.store(true, Ordering::Relaxed);
            pending_calls.lock().expect("no panic under it").clear();
        });
        Ok(Caller { stream: Mutex::new(stream), pending, is_closed })
    }

    /// Whether the node has not closed the connection.
    pub fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::Relaxed)
    }

    /// Sends a call and returns the receiver of its answers. `params` holds the members of a JSON object without its
    /// braces.
    pub fn call(&self, id: u64, method: &str, params: &str) -> Receiver<Value> {
        let (to, answers) = channel();
        self.pending.lock().expect("no panic under it").insert(id, to);
        let line =
            format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{{{params}}}}}\n");
        let written = self.stream.lock().expect("no panic under it").write_all(line.as_bytes());
        if written.is_err() {
            self.forget(id);
        }
        answers
    }

    pub fn forget(&self, id: u64) {
        self.pending.lock().expect("no panic under it").remove(&id);
    }
}
