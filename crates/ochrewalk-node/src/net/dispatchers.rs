//! Dispatchers' connections: accepted, read, answered and, when they carry nothing or this server leaves,
//! asked to end.

use super::buffered_connection::{
    close_gracefully, drive_connection, stream_from_descriptor, CloseRequest, MessageHandler, SendQueue,
};
use super::listener::{ConnectionListener, MAX_CLOSING};
use crate::close_reason::CloseReason;
use crate::coordinator::HealthState;
use crate::handover::records::{
    ClientAddress, JsonRpcConnectionRecord, JsonRpcConnectionRecords, OpenRpcRecord,
};
use crate::interfaces::{Answer, DownstreamClient};
use crate::shared_state::{ParsedRequest, SharedState};
use crate::wire::jsonrpc::{self, Message, RevokeTarget};
use may::net::TcpStream;
use ochrewalk::host::RpcId;
use ochrewalk_ingress::connection_budget::{self, Standing, Verdict, Worth};
use std::collections::{HashMap, HashSet};
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Answers that wait on one connection before nothing more is read from it.
const UNREAD: usize = 64 * 1024;
/// RPCs that the protocol allows to be open on a connection; more are pushed back unseen.
const MOST_OPEN: usize = 32;
const SWEEP: Duration = Duration::from_millis(100);
/// How long a new connection may say nothing, and how long a line may take from its first byte to its last.
const FIRST_LINE_US: u64 = 2_000_000;
const LINE_US: u64 = 2_000_000;
/// What is no proper RPC is answered so many times on a connection; then it is closed.
const MOST_FAULTS: u32 = 8;
/// Past this share of the table, connections that have carried nothing for a while are asked to end, and ended
/// soon. Guards against callers that ask once and stay: each would cost its stack, and more of them memory that
/// grows all day. Those in use are used far more often.
const CROWDED: f64 = 0.25;
const CROWDED_IDLE_US: u64 = 1_000_000;
const CROWDED_CLOSE_US: u64 = 300_000;
/// How long a dispatcher may take to close a connection that it was asked to end.
const TO_CLOSE_US: u64 = 3_000_000;
/// RPCs of a sender of faults that are still answered, each pushed back unseen: as many as a proper dispatcher
/// may have under way. What comes after them is not read.
const AFTER_FAULTS: u32 = 32;

pub struct Dispatchers {
    core: Arc<SharedState>,
    most: usize,
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
    number: u64,
    pub send_queue: SendQueue,
    state: Mutex<Carried>,
}

#[derive(Default)]
struct Carried {
    /// RPCs that are owed an answer, by the message's id.
    open: HashMap<Box<str>, RpcId>,
    used_us: u64,
    /// It has said a whole line, and one that meant something.
    spoke: bool,
    good: bool,
    faults: u32,
    /// Messages read since the faults were too many.
    after_faults: u32,
    /// It goes to make room for another.
    going: bool,
    /// Since when a line is under way that has no end yet.
    partial_us: Option<u64>,
    /// It has carried an RPC, not health checks alone.
    rpcs: bool,
    /// It was asked to end, and ends by then.
    end_by_us: Option<u64>,
    /// Nothing more is read: a line came that is longer than any may be.
    deaf: bool,
    /// It has ended, and its peer has not seen that yet.
    over: bool,
}

impl Dispatchers {
    /// `most` connections at a time.
    pub fn new(core: Arc<SharedState>, most: usize) -> Dispatchers {
        Dispatchers { core, most, open: Mutex::default() }
    }

    /// A new connection takes its place in the table at once: guards against many that are accepted before the
    /// first of them is looked at.
    fn enter(&self) -> (u64, Arc<Connection>) {
        let now_us = self.core.clock.now_us();
        let state = Mutex::new(Carried { used_us: now_us, ..Carried::default() });
        let mut open = self.lock();
        open.next += 1;
        let number = open.next;
        let connection = Arc::new(Connection { number, send_queue: SendQueue::default(), state });
        open.of.insert(number, connection.clone());
        if open.leaving {
            connection.ask_to_end(now_us, TO_CLOSE_US);
        }
        (number, connection)
    }

    /// Ends connections that say nothing, asks those to end that have carried nothing for as long as the module
    /// says, and, where the table fills, those longest unused.
    pub fn sweep(&self) {
        loop {
            may::coroutine::sleep(SWEEP);
            let HealthState { max_idle_us: idle_us, .. } = self.core.coordinator.health_state();
            let bounded = idle_us < self.core.deployment.machine.max_connection_idle_us;
            let idle_us = if bounded { idle_us } else { u64::MAX };
            let now_us = self.core.clock.now_us();
            let all = self.all();
            all.iter().for_each(|connection| connection.end_if_idle(now_us, idle_us));
            let staying = all.iter().filter(|c| c.lock().stays()).count();
            let over = staying.saturating_sub((self.most as f64 * CROWDED) as usize);
            if over > 0 {
                let mut idle: Vec<_> = all.iter().filter_map(|c| Some((c.idle_since_us()?, c))).collect();
                idle.sort_unstable_by_key(|(since_us, _)| *since_us);
                idle.retain(|(since_us, _)| now_us >= since_us + CROWDED_IDLE_US);
                for (_, connection) in idle.into_iter().take(over) {
                    connection.ask_to_end(now_us, CROWDED_CLOSE_US);
                }
            }
        }
    }

    /// This server leaves: no RPC comes on these connections any more.
    pub fn drain(&self) {
        let now_us = self.core.clock.now_us();
        self.lock().leaving = true;
        self.all().iter().for_each(|connection| connection.ask_to_end(now_us, TO_CLOSE_US));
    }

    /// Nothing more is written once what waits is written.
    pub fn request_close(&self) {
        self.all().iter().for_each(|connection| connection.send_queue.request_close(CloseRequest::Draining));
    }

    pub fn count(&self) -> usize {
        self.lock().of.len()
    }

    /// Has every connection looked at again, as a pause is over.
    pub fn recheck_connections(&self) {
        self.all().iter().for_each(|connection| connection.send_queue.wake());
    }

    /// The listener's descriptor.
    pub fn listener_descriptor(&self) -> Option<RawFd> {
        self.lock().listener.as_ref().map(|listener| listener.as_raw_fd())
    }

    /// Every connection with its descriptor, for another process to go on with. None where one is only just coming
    /// or going.
    pub fn snapshot(&self) -> Option<(JsonRpcConnectionRecords, Vec<RawFd>)> {
        let open = self.lock();
        let (mut connections, mut descriptors) = (Vec::new(), Vec::new());
        for (number, connection) in open.of.iter().filter(|(_, connection)| !connection.lock().over) {
            let (fd, stream) = connection.send_queue.snapshot()?;
            let state = connection.lock();
            connections.push(JsonRpcConnectionRecord {
                number: *number,
                stream,
                open: state
                    .open
                    .iter()
                    .map(|(name, rpc)| OpenRpcRecord { message_id: name.to_string(), rpc: rpc.to_string() })
                    .collect(),
                used_us: state.used_us,
                spoke: state.spoke,
                good: state.good,
                faults: state.faults,
                after_faults: state.after_faults,
                partial_us: state.partial_us,
                rpcs: state.rpcs,
                end_by_us: state.end_by_us,
            });
            descriptors.push(fd);
        }
        Some((JsonRpcConnectionRecords { connections, next_number: open.next }, descriptors))
    }

    /// Goes on with connections of another process. `ids` are those of the RPCs that are open.
    pub fn resume(
        self: &Arc<Self>,
        kept: JsonRpcConnectionRecords,
        descriptors: Vec<OwnedFd>,
        ids: &HashSet<RpcId>,
    ) -> Vec<(Arc<Connection>, OwnedFd)> {
        let mut open = self.lock();
        open.next = kept.next_number;
        let id = |rpc: String| ids.get(rpc.as_str()).cloned().unwrap_or_else(|| rpc.into());
        let mut resumed = Vec::new();
        for (kept, descriptor) in kept.connections.into_iter().zip(descriptors) {
            let owed = kept.open.into_iter().map(|o| (o.message_id.into(), id(o.rpc)));
            let state = Carried {
                open: owed.collect(),
                used_us: kept.used_us,
                spoke: kept.spoke,
                good: kept.good,
                faults: kept.faults,
                after_faults: kept.after_faults,
                going: false,
                partial_us: kept.partial_us,
                rpcs: kept.rpcs,
                end_by_us: kept.end_by_us,
                deaf: false,
                over: false,
            };
            let send_queue = SendQueue::resume(kept.stream, false);
            let connection =
                Arc::new(Connection { number: kept.number, send_queue, state: Mutex::new(state) });
            open.of.insert(kept.number, connection.clone());
            resumed.push((connection, descriptor));
        }
        resumed
    }

    /// Carries connections that [`Dispatchers::resume`] gave.
    pub fn serve_resumed(self: &Arc<Self>, resumed: Vec<(Arc<Connection>, OwnedFd)>) {
        for (connection, descriptor) in resumed {
            let all = self.clone();
            may::go!(move || all.serve(&stream_from_descriptor(descriptor), connection.number, &connection));
        }
    }

    /// Who waits for an answer on a connection, as [`DownstreamClient::address`] said.
    pub fn client_at(&self, at: &ClientAddress) -> Option<Box<dyn DownstreamClient>> {
        let connection = self.lock().of.get(&at.connection)?.clone();
        Some(Box::new(Caller { core: self.core.clone(), connection, id: at.message_id.as_str().into() }))
    }

    fn all(&self) -> Vec<Arc<Connection>> {
        self.lock().of.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.open.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

impl ConnectionListener for Dispatchers {
    const PART: &'static str = "json-rpc";

    fn store_listener(&self, listener: std::net::TcpListener) {
        self.lock().listener = Some(listener);
    }

    fn take_listener(&self) -> Option<std::net::TcpListener> {
        self.lock().listener.take()
    }

    fn is_closed(&self) -> bool {
        self.lock().listener.is_none()
    }

    fn max_connections(&self) -> usize {
        self.most
    }

    /// Guards against a table full of those that say nothing, or asked once and stay, which would keep callers out.
    fn ensure_capacity(&self) -> bool {
        let open = self.lock();
        let standing = |(number, connection): (&u64, &Arc<Connection>)| {
            let state = connection.lock();
            let worth = Worth { good: state.good, used_us: state.used_us };
            let worth = state.open.is_empty().then_some(worth);
            Standing { number: *number, going: state.going || state.over, worth }
        };
        // Most of the time nobody has to be looked at.
        if open.of.len() < self.most {
            return true;
        }
        let all: Vec<Standing> = open.of.iter().map(standing).collect();
        let (number, room) = match connection_budget::look(self.most, MAX_CLOSING, &all) {
            Verdict::Room => return true,
            Verdict::Full => return false,
            Verdict::RoomFor(number) => (number, true),
            Verdict::Ask(number) => (number, false),
        };
        let goes = open.of[&number].clone();
        drop(open);
        goes.lock().going = true;
        goes.send_queue.request_close(CloseRequest::TimedOut);
        room
    }

    fn serve_connection(self: &Arc<Self>, stream: TcpStream) {
        let (number, connection) = self.enter();
        let front = self.clone();
        may::go!(move || front.serve(&stream, number, &connection));
    }
}

/// Who asked, by JSON-RPC.
struct Caller {
    core: Arc<SharedState>,
    connection: Arc<Connection>,
    /// The message's id.
    id: Box<str>,
}

impl DownstreamClient for Caller {
    fn awaits_answer(&self) -> bool {
        self.connection.lock().open.contains_key(&self.id)
    }

    fn answer(&self, answer: Answer, signal: Option<f64>) {
        let line = match answer {
            Answer::Served(body) => jsonrpc::served(&self.id, body, signal),
            Answer::Rejected { do_not_retry, retry_after_us } => {
                jsonrpc::rejected(&self.id, do_not_retry, retry_after_us.div_ceil(1_000), signal)
            }
            Answer::Aborted => jsonrpc::failed(&self.id, signal),
            Answer::InvalidRequest(why) => {
                tracing::warn!(part = "json-rpc", "{why}");
                self.connection.record_fault();
                jsonrpc::error(&self.id, jsonrpc::INVALID_PARAMS, why, "")
            }
        };
        self.connection.answer(&self.id, self.core.clock.now_us(), line);
    }

    fn address(&self) -> ClientAddress {
        let (connection, message_id) = (self.connection.number, self.id.to_string());
        ClientAddress { by_ajp: false, connection, message_id, serial: 0 }
    }

    fn record_fault(&self) {
        self.connection.record_fault();
    }

    fn mark_trusted(&self) {
        let mut state = self.connection.lock();
        // Guards against a sender whose faults were too many, and who is no longer read: that is final.
        if state.faults < MOST_FAULTS {
            state.faults = 0;
        }
    }
}

impl Connection {
    /// Writes the answer to an RPC, if one is still owed.
    fn answer(&self, id: &str, now_us: u64, line: Vec<u8>) {
        let owed = {
            let mut state = self.lock();
            state.used_us = now_us;
            state.open.remove(id).is_some()
        };
        if owed {
            self.send_queue.push(line);
        }
    }

    /// What came was no proper RPC. Past a few of them the connection ends once its answers are written: guards
    /// against a flood of what costs its sender nothing.
    fn record_fault(&self) {
        let mut state = self.lock();
        state.faults += 1;
        if state.faults >= MOST_FAULTS {
            drop(state);
            self.send_queue.request_close(CloseRequest::Faulty);
        }
    }

    /// It says what is no message at all: no other fault is waited for.
    fn spoilt(&self) {
        self.lock().faults = MOST_FAULTS;
        self.send_queue.request_close(CloseRequest::Faulty);
    }

    /// Whether its faults are too many for anything more to be taken from it.
    fn is_faulty(&self) -> bool {
        self.lock().faults >= MOST_FAULTS
    }

    /// Asks for the end of a connection that has carried nothing for so long, and ends it if that is not done.
    /// One that never said a whole line ends without a word.
    fn end_if_idle(&self, now_us: u64, idle_us: u64) {
        let state = self.lock();
        let unused_us = now_us.saturating_sub(state.used_us);
        let ask = !state.going && state.end_by_us.is_none() && state.rpcs && unused_us >= idle_us;
        // Again and again: guards against a peer that takes no answers, and so never wakes its coroutine.
        let finish = if state.faults >= MOST_FAULTS {
            CloseRequest::Faulty
        } else if state.may_close(CloseRequest::TimedOut, now_us) {
            CloseRequest::TimedOut
        } else if state.may_close(CloseRequest::Idle, now_us) {
            CloseRequest::Idle
        } else {
            let quiet = state.open.is_empty();
            drop(state);
            if ask && quiet {
                self.ask_to_end(now_us, TO_CLOSE_US);
            }
            return;
        };
        drop(state);
        self.send_queue.request_close(finish);
    }

    /// Since when it is owed no answer and has not been asked to end.
    fn idle_since_us(&self) -> Option<u64> {
        let state = self.lock();
        (state.open.is_empty() && state.stays()).then_some(state.used_us)
    }

    fn ask_to_end(&self, now_us: u64, within_us: u64) {
        let mut state = self.lock();
        if state.end_by_us.is_none() {
            state.end_by_us = Some(now_us + within_us);
            self.send_queue.push(jsonrpc::no_more());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Carried> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

impl Carried {
    /// It was not asked to end.
    fn stays(&self) -> bool {
        self.end_by_us.is_none() && !self.over
    }

    /// Whether it may end so. It never may while an answer is owed.
    fn may_close(&self, request: CloseRequest, now_us: u64) -> bool {
        let unsaid = self.partial_us.is_some_and(|from_us| now_us >= from_us + LINE_US)
            || !self.spoke && now_us >= self.used_us + FIRST_LINE_US;
        self.open.is_empty()
            && match request {
                CloseRequest::Faulty => self.faults >= MOST_FAULTS,
                CloseRequest::TimedOut => unsaid || self.going,
                // The rest of a line may still be on its way; the process's end does not wait for it.
                CloseRequest::Draining => self.partial_us.is_none(),
                _ => self.partial_us.is_none() && self.end_by_us.is_some_and(|by_us| now_us >= by_us),
            }
    }
}

impl Dispatchers {
    fn serve(&self, stream: &TcpStream, number: u64, connection: &Arc<Connection>) {
        let mut reader = Inbound { core: &self.core, connection };
        let ending = match stream.set_nodelay(true) {
            Ok(()) => {
                drive_connection(stream, &connection.send_queue, None, jsonrpc::MAX_LINE_BYTES, &mut reader)
            }
            Err(err) => CloseReason::from_io_error(&err),
        };
        let open = {
            let mut state = connection.lock();
            state.over = true;
            std::mem::take(&mut state.open)
        };
        match &ending {
            CloseReason::Malformed(_) | CloseReason::MessageTooLong => {
                tracing::warn!(part = "json-rpc", "{ending}")
            }
            _ => tracing::debug!(part = "json-rpc", "{ending}; {} RPCs open", open.len()),
        }
        // Nobody can be answered there any more.
        open.values().for_each(|id| self.core.coordinator.caller_left(id));
        close_gracefully(stream, &ending, || self.count() >= self.most);
        self.lock().of.remove(&number);
    }
}

struct Inbound<'a> {
    core: &'a Arc<SharedState>,
    connection: &'a Arc<Connection>,
}

impl MessageHandler for Inbound<'_> {
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((line, taken)) = crate::wire::line(input) else {
            let now_us = self.core.clock.now_us();
            self.connection.lock().partial_us.get_or_insert(now_us);
            return Ok(0);
        };
        if !line.trim_ascii().is_empty() {
            self.message(jsonrpc::read(line))?;
        }
        Ok(taken)
    }

    fn may_read(&self) -> bool {
        let state = self.connection.lock();
        !state.deaf && state.after_faults < AFTER_FAULTS && self.connection.send_queue.queued_bytes() < UNREAD
    }

    fn on_oversized_message(&mut self) -> Result<(), CloseReason> {
        tracing::warn!(part = "json-rpc", "{}", CloseReason::MessageTooLong);
        {
            let mut state = self.connection.lock();
            (state.deaf, state.partial_us) = (true, None);
        }
        self.connection.spoilt();
        Ok(())
    }

    fn may_close(&self, request: CloseRequest) -> bool {
        let mut state = self.connection.lock();
        let may = state.may_close(request, self.core.clock.now_us());
        state.going &= may;
        may
    }
}

impl Inbound<'_> {
    fn message(&self, message: Message) -> Result<(), CloseReason> {
        let now_us = self.core.clock.now_us();
        {
            let mut state = self.connection.lock();
            (state.used_us, state.partial_us, state.spoke) = (now_us, None, true);
            state.good |= matches!(message, Message::Rpc(_) | Message::Heartbeat { .. });
        }
        if self.connection.is_faulty() {
            self.connection.lock().after_faults += 1;
            if let Message::Rpc(rpc) = &message {
                let owed = self.connection.lock().open.contains_key(rpc.id);
                if !owed {
                    self.connection.send_queue.push(jsonrpc::rejected(rpc.id, false, 0, None));
                }
                return Ok(());
            }
        }
        match message {
            Message::Rpc(rpc) => {
                let Some(method) = self.core.deployment.method(&rpc.method) else {
                    return self.faulty(rpc.id, jsonrpc::METHOD_NOT_FOUND, "unknown method");
                };
                let asked = ParsedRequest {
                    id: &rpc.req,
                    method,
                    memory_kb: rpc.kb,
                    arrived_unix_ms: rpc.ts_ms,
                    time_left_us: None,
                    idempotency_key: rpc.opkey.as_deref(),
                    tenant: None,
                    body: rpc.body.get(),
                };
                let incoming = match self.core.validate(&asked) {
                    Ok(incoming) => incoming,
                    Err(why) => return self.faulty(rpc.id, jsonrpc::INVALID_PARAMS, why),
                };
                let open = {
                    let mut state = self.connection.lock();
                    if state.open.contains_key(rpc.id) {
                        drop(state);
                        return self.faulty(rpc.id, jsonrpc::INVALID_REQUEST, "an id that is open already");
                    }
                    state.rpcs = true;
                    state.open.insert(rpc.id.into(), incoming.id.clone());
                    state.open.len()
                };
                let connection = self.connection.clone();
                let caller = Caller { core: self.core.clone(), connection, id: rpc.id.into() };
                if open > MOST_OPEN {
                    caller.answer(
                        Answer::REJECTED_WITHOUT_ADVICE,
                        self.core.coordinator.health_state().load_signal,
                    );
                } else {
                    self.core.start_request(incoming, rpc.body.get(), caller);
                }
            }
            Message::Revoke(which) => {
                let gone = {
                    let mut state = self.connection.lock();
                    let id = match which {
                        RevokeTarget::Id(id) => Some(Box::from(id)),
                        RevokeTarget::Req(req) => {
                            state.open.iter().find(|(_, open)| ***open == *req).map(|(id, _)| id.clone())
                        }
                    };
                    id.and_then(|id| state.open.remove_entry(&id))
                };
                if let Some((number, id)) = gone {
                    self.core.coordinator.caller_left(&id);
                    self.connection.send_queue.push(jsonrpc::revoked(&number));
                }
            }
            Message::Heartbeat { id } => {
                let HealthState { is_healthy: healthy, load_signal: signal, .. } =
                    self.core.coordinator.health_state();
                let pass = healthy.unwrap_or(false);
                self.connection.send_queue.push(jsonrpc::heartbeat(id, pass, signal));
            }
            Message::Invalid { id, code, reason } => return self.faulty(id, code, reason),
            Message::Malformed => {
                tracing::warn!(part = "json-rpc", "no JSON-RPC");
                self.connection.spoilt();
            }
        }
        Ok(())
    }

    /// Tells a sender what was wrong; the connection goes on for a while.
    fn faulty(&self, id: &str, code: i32, why: &'static str) -> Result<(), CloseReason> {
        tracing::warn!(part = "json-rpc", "{why}");
        self.connection.send_queue.push(jsonrpc::error(id, code, why, ""));
        self.connection.record_fault();
        Ok(())
    }
}
