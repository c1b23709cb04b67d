//! Calls to what lies below: one connection for all of them, made when a call needs it and closed by us
//! before the other side would.

use super::link::{carry, connect, Finish, Outbox, Reader};
use crate::clock::Clock;
use crate::ending::Ending;
use crate::gate::{CallEnd, Next};
use crate::wire::calls;
use may::sync::mpsc::{channel, Receiver, Sender};
use may::sync::{Mutex, MutexGuard};
use ochrewalk::host::RpcId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT: Duration = Duration::from_millis(500);
/// The other side closes after 10 s. Guards against a call that crosses that close and is left without proof.
const IDLE_US: u64 = 8_000_000;

pub struct Below {
    at: SocketAddr,
    clock: Clock,
    outbox: Outbox,
    state: Mutex<State>,
    /// Tells the keeper that a call wants a connection.
    wanted: Sender<()>,
}

#[derive(Default)]
struct State {
    calls: HashMap<RpcId, Sender<Next>>,
    connected: bool,
    used_us: u64,
}

impl Below {
    /// The receiver is for [`Below::keep`].
    pub fn new(at: SocketAddr, clock: Clock) -> (Below, Receiver<()>) {
        let (wanted, wants) = channel();
        (Below { at, clock, outbox: Outbox::default(), state: Mutex::default(), wanted }, wants)
    }

    /// Places a call; what becomes of it goes to `post`.
    pub fn call(&self, id: &RpcId, wait_ms: u64, body: &[u8], post: Sender<Next>) {
        let connected = {
            let mut state = self.lock();
            state.calls.insert(id.clone(), post);
            state.used_us = self.clock.now_us();
            state.connected
        };
        self.outbox.push(calls::call(id, wait_ms, body));
        if !connected {
            let _ = self.wanted.send(());
        }
    }

    /// Gives a call up; nothing more is heard of it.
    pub fn give_up(&self, id: &str) {
        if self.lock().calls.remove(id).is_some() {
            self.outbox.push(calls::give_up(id));
        }
    }

    /// Connects whenever there are calls and none is connected.
    pub fn keep(&self, wants: &Receiver<()>) {
        while wants.recv().is_ok() {
            while !self.lock().calls.is_empty() {
                self.lock().connected = true;
                let ending = match connect(&self.at, CONNECT) {
                    Ok(stream) => {
                        self.lock().used_us = self.clock.now_us();
                        carry(&stream, &self.outbox, None, calls::LONGEST, &mut Link { below: self })
                    }
                    Err(ending) => ending,
                };
                self.ended(&ending);
            }
        }
    }

    /// The connection ended, or was never made: so did every call on it.
    fn ended(&self, ending: &Ending) {
        let calls = {
            let mut state = self.lock();
            state.connected = false;
            // We close only with no call open, so that one that has come since is not written yet.
            if *ending == Ending::Idle {
                return;
            }
            std::mem::take(&mut state.calls)
        };
        let unwritten = self.outbox.take_unwritten();
        let never_written = |id: &str| {
            let start = format!("CALL {id} ");
            unwritten.iter().any(|line| line.starts_with(start.as_bytes()))
        };
        if *ending != Ending::Closed || !calls.is_empty() {
            log::warn!("below {}: {ending}; {} calls under way", self.at, calls.len());
        }
        for (id, post) in calls {
            // What was never written whole never ran, however the connection ended.
            let end = if never_written(&id) { CallEnd::Unsent } else { CallEnd::Link(ending.clone()) };
            let _ = post.send(Next::CallEnded(end));
        }
    }

    /// Closes the connection once it has carried nothing for a while.
    pub fn watch(&self) {
        loop {
            may::coroutine::sleep(Duration::from_millis(500));
            let state = self.lock();
            let idle_us = self.clock.now_us().saturating_sub(state.used_us);
            if state.connected && state.calls.is_empty() && idle_us >= IDLE_US {
                self.outbox.finish(Finish::Idle);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

struct Link<'a> {
    below: &'a Below,
}

impl Reader for Link<'_> {
    fn take(&mut self, input: &[u8]) -> Result<usize, Ending> {
        let Some((reply, taken)) = calls::read(input).map_err(Ending::Malformed)? else { return Ok(0) };
        let post = {
            let mut state = self.below.lock();
            state.used_us = self.below.clock.now_us();
            state.calls.remove(reply.id)
        };
        // One that was given up may still be answered.
        if let Some(post) = post {
            let _ = post.send(Next::CallEnded(CallEnd::Reply(reply.word, reply.body.to_vec())));
        }
        Ok(taken)
    }
}
