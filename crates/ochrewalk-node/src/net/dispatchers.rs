//! Dispatchers' connections: accepted, read, answered and, when they carry nothing or this server leaves,
//! asked to end.

use super::link::{carry, Finish, Outbox, Reader};
use crate::ending::{out_of_room, Ending};
use crate::gate::{Incoming, Posture};
use crate::life::Caller;
use crate::node::Node;
use crate::wire::jsonrpc::{self, Message, Which};
use may::net::{TcpListener, TcpStream};
use may::sync::{Mutex, MutexGuard};
use ochrewalk::host::{Effect, RpcId};
use socket2::SockRef;
use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Answers that wait on one connection before nothing more is read from it.
const UNREAD: usize = 64 * 1024;
/// The protocol allows 32 RPCs open on a connection.
const MOST_OPEN: usize = 64;
const SWEEP: Duration = Duration::from_millis(250);
/// How long a dispatcher may take to close a connection that it was asked to end.
const TO_CLOSE_US: u64 = 3_000_000;
/// No descriptor is free: others may be soon.
const NO_ROOM: Duration = Duration::from_millis(50);

#[derive(Default)]
pub struct Dispatchers {
    open: Mutex<Connections>,
}

#[derive(Default)]
struct Connections {
    next: u64,
    of: HashMap<u64, Arc<Connection>>,
    leaving: bool,
    /// A second descriptor of the listener, for `shut`; accepting ends when it is taken.
    listener: Option<std::net::TcpListener>,
}

/// What others need of a connection that one coroutine carries.
pub struct Connection {
    pub outbox: Outbox,
    state: Mutex<Carried>,
}

#[derive(Default)]
struct Carried {
    /// RPCs that are owed an answer, by the message's id.
    open: HashMap<Box<str>, RpcId>,
    used_us: u64,
    /// It has carried an RPC, not health checks alone.
    rpcs: bool,
    /// When it was asked to end.
    asked_us: Option<u64>,
}

impl Dispatchers {
    /// Accepts until [`Dispatchers::shut`], `most` connections at a time.
    pub fn accept(node: &Arc<Node>, listener: &TcpListener, most: usize) {
        match listener.inner().try_clone() {
            Ok(second) => node.dispatchers.lock().listener = Some(second),
            Err(err) => log::error!("cannot clone the listener: {err}"),
        }
        loop {
            if node.dispatchers.lock().of.len() >= most {
                log::warn!("{most} connections open: no more are accepted for a while");
                may::coroutine::sleep(NO_ROOM);
                continue;
            }
            let accepted = listener.accept();
            if accepted.is_err() && node.dispatchers.lock().listener.is_none() {
                return;
            }
            match accepted {
                Ok((stream, _)) => {
                    let node = node.clone();
                    may::go!(move || serve(&node, &stream));
                }
                Err(err) => {
                    log::warn!("cannot accept: {err}");
                    let pause = if out_of_room(&err) { NO_ROOM } else { Duration::from_millis(1) };
                    may::coroutine::sleep(pause);
                }
            }
        }
    }

    /// Asks connections to end that have carried nothing for as long as the module says.
    pub fn sweep(node: &Node) {
        loop {
            may::coroutine::sleep(SWEEP);
            let Posture { idle_us, .. } = node.gate.posture();
            let idle_us = if idle_us < node.idle_most_us { idle_us } else { u64::MAX };
            let now_us = node.clock.now_us();
            node.dispatchers.all().iter().for_each(|connection| connection.end_if_idle(now_us, idle_us));
        }
    }

    /// This server leaves: no RPC comes on these connections any more.
    pub fn leave(&self, now_us: u64) {
        self.lock().leaving = true;
        self.all().iter().for_each(|connection| connection.ask_to_end(now_us));
    }

    /// Nothing more is accepted: who comes now is refused, which proves that nothing ran.
    pub fn shut(&self) {
        if let Some(listener) = self.lock().listener.take() {
            let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
        }
    }

    /// Nothing more is written once what waits is written.
    pub fn finish(&self) {
        self.all().iter().for_each(|connection| connection.outbox.finish(Finish::Leaving));
    }

    pub fn count(&self) -> usize {
        self.lock().of.len()
    }

    fn all(&self) -> Vec<Arc<Connection>> {
        self.lock().of.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.open.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

impl Connection {
    /// Writes the answer to an RPC, if one is still owed.
    pub fn answer(&self, id: &str, now_us: u64, line: Vec<u8>) {
        let owed = {
            let mut state = self.lock();
            state.used_us = now_us;
            state.open.remove(id).is_some()
        };
        if owed {
            self.outbox.push(line);
        }
    }

    /// Whether an answer to that message is still owed.
    pub fn owes(&self, id: &str) -> bool {
        self.lock().open.contains_key(id)
    }

    /// Asks for the end of a connection that has carried nothing for so long, and ends it if that is not done.
    fn end_if_idle(&self, now_us: u64, idle_us: u64) {
        let state = self.lock();
        if !state.open.is_empty() {
            return;
        }
        match state.asked_us {
            Some(at_us) if now_us >= at_us + TO_CLOSE_US => self.outbox.finish(Finish::Idle),
            None if state.rpcs && now_us.saturating_sub(state.used_us) >= idle_us => {
                drop(state);
                self.ask_to_end(now_us);
            }
            _ => {}
        }
    }

    fn ask_to_end(&self, now_us: u64) {
        let before = self.lock().asked_us.replace(now_us);
        if before.is_none() {
            self.outbox.push(jsonrpc::no_more());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Carried> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

fn serve(node: &Arc<Node>, stream: &TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("dispatcher: {}", Ending::of_use(&err));
        return;
    }
    let now_us = node.clock.now_us();
    let state = Mutex::new(Carried { used_us: now_us, ..Carried::default() });
    let connection = Arc::new(Connection { outbox: Outbox::default(), state });
    let (number, leaving) = {
        let mut open = node.dispatchers.lock();
        open.next += 1;
        let number = open.next;
        open.of.insert(number, connection.clone());
        (number, open.leaving)
    };
    if leaving {
        connection.ask_to_end(now_us);
    }
    let mut reader = Inbound { node, connection: &connection };
    let ending = carry(stream, &connection.outbox, None, jsonrpc::LONGEST, &mut reader);
    node.dispatchers.lock().of.remove(&number);
    let open = std::mem::take(&mut connection.lock().open);
    match &ending {
        Ending::Malformed(_) | Ending::TooLong => log::warn!("dispatcher: {ending}"),
        _ => log::debug!("dispatcher: {ending}; {} RPCs open", open.len()),
    }
    // Nobody can be answered there any more.
    open.values().for_each(|id| node.gate.gone(id));
}

struct Inbound<'a> {
    node: &'a Arc<Node>,
    connection: &'a Arc<Connection>,
}

impl Reader for Inbound<'_> {
    fn take(&mut self, input: &[u8]) -> Result<usize, Ending> {
        let Some((line, taken)) = crate::wire::line(input) else { return Ok(0) };
        if !line.trim_ascii().is_empty() {
            self.message(jsonrpc::read(line))?;
        }
        Ok(taken)
    }

    fn ready(&self) -> bool {
        self.connection.outbox.bytes() < UNREAD && self.connection.lock().open.len() < MOST_OPEN
    }
}

impl Inbound<'_> {
    fn message(&self, message: Message) -> Result<(), Ending> {
        let now_us = self.node.clock.now_us();
        self.connection.lock().used_us = now_us;
        match message {
            Message::Rpc(rpc) => {
                let Some(method) = self.node.deployment.method(&rpc.method) else {
                    return self.faulty(rpc.id, -32601, "unknown method");
                };
                let tokened = self.node.deployment.methods[method].effect == Effect::Tokened;
                if tokened && rpc.opkey.is_none() {
                    return self.faulty(rpc.id, -32602, "no opkey");
                }
                let incoming = Incoming {
                    id: (&*rpc.req).into(),
                    method,
                    kb: rpc.kb,
                    ts_ms: rpc.ts_ms,
                    token: rpc.opkey.filter(|_| tokened).map(|key| (&*key).into()),
                };
                {
                    let mut state = self.connection.lock();
                    if state.open.contains_key(rpc.id) {
                        drop(state);
                        return self.faulty(rpc.id, -32600, "an id that is open already");
                    }
                    state.rpcs = true;
                    state.open.insert(rpc.id.into(), incoming.id.clone());
                }
                // Guards the program's own memory against a flood: long before this many RPCs are open, the
                // module's hold is full.
                if self.node.lives.fetch_add(1, Ordering::Relaxed) >= self.node.most_lives {
                    self.node.lives.fetch_sub(1, Ordering::Relaxed);
                    let signal = self.node.gate.posture().signal;
                    self.connection.answer(rpc.id, now_us, jsonrpc::refused(rpc.id, false, 0, signal));
                    return Ok(());
                }
                let caller = Caller { connection: self.connection.clone(), id: rpc.id.into() };
                let (node, body) = (self.node.clone(), rpc.body.get().to_string());
                may::go!(move || {
                    crate::life::live(&node, &incoming, &body, caller);
                    node.lives.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Message::Revoke(which) => {
                let gone = {
                    let mut state = self.connection.lock();
                    let id = match which {
                        Which::Id(id) => Some(Box::from(id)),
                        Which::Req(req) => {
                            state.open.iter().find(|(_, open)| ***open == *req).map(|(id, _)| id.clone())
                        }
                    };
                    id.and_then(|id| state.open.remove(&id))
                };
                if let Some(id) = gone {
                    self.node.gate.gone(&id);
                }
            }
            Message::Heartbeat { id } => {
                let Posture { healthy, signal, .. } = self.node.gate.posture();
                let pass = healthy.unwrap_or(false);
                self.connection.outbox.push(jsonrpc::heartbeat(id, pass, signal));
            }
            Message::Faulty { id, code, why } => return self.faulty(id, code, why),
            Message::Nothing { method } => {
                log::warn!("dispatcher: a notification {method:.20?} with no meaning here");
            }
            Message::NoRpc => return Err(Ending::Malformed("no JSON-RPC".into())),
        }
        Ok(())
    }

    /// Tells a sender what was wrong; the connection goes on.
    fn faulty(&self, id: &str, code: i32, why: &'static str) -> Result<(), Ending> {
        log::warn!("dispatcher: {why}");
        self.connection.outbox.push(jsonrpc::error(id, code, why, ""));
        Ok(())
    }
}
