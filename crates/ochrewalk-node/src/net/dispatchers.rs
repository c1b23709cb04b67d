//! The JSON-RPC ingress for dispatchers: accepts their connections, reads and answers requests, and requests that a
//! dispatcher closes its connection when the connection is idle or the node drains.

use super::buffered_connection::{
    close_gracefully, drive_connection, stream_from_descriptor, CloseRequest, MessageHandler, PeerKind,
    SendQueue,
};
use super::input_budget::InputBudget;
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
use ochrewalk_ingress::connection_budget::{self, BudgetDecision, ConnectionUsage, RetentionPriority};
use std::collections::{HashMap, HashSet};
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The number of queued answer bytes from which on nothing more is read from the connection.
const MAX_QUEUED_BYTES: usize = 64 * 1024;
/// The number of RPCs that the protocol allows to be open on a connection. Any further RPC is rejected without
/// evaluation.
const MAX_OPEN_RPCS: usize = 32;
/// The interval at which idle connections and time limits are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit for the first line on a new connection.
const FIRST_LINE_TIMEOUT_US: u64 = 2_000_000;
/// The time limit for a line, from its first byte to its last.
const LINE_TIMEOUT_US: u64 = 2_000_000;
/// The number of invalid messages that are answered on a connection before it is closed.
const MAX_FAULTS: u32 = 8;
/// The share of the maximum number of connections beyond which idle connections are closed early. Without this limit,
/// callers that send one request and stay connected would each use the memory of a coroutine's stack, and the total would
/// grow all day. Connections in use are used far more often than the idle time below.
const CROWDED_SHARE: f64 = 0.25;
/// The idle time after which a connection is closed early beyond that share.
const CROWDED_IDLE_US: u64 = 1_000_000;
/// The time within which the dispatcher must then close the connection.
const CROWDED_CLOSE_TIMEOUT_US: u64 = 300_000;
/// The time within which a dispatcher must close a connection that it was requested to close.
const CLOSE_TIMEOUT_US: u64 = 3_000_000;
/// The number of messages that are still read after too many invalid ones. RPCs among them are rejected without
/// evaluation. The number equals the number of RPCs that a correct dispatcher may have in flight.
const MAX_MESSAGES_AFTER_FAULTS: u32 = 32;

/// The JSON-RPC ingress.
pub struct Dispatchers {
    core: Arc<SharedState>,
    max_connections: usize,
    table: Mutex<ConnectionTable>,
}

#[derive(Default)]
struct ConnectionTable {
    next_number: u64,
    connections: HashMap<u64, Arc<Connection>>,
    is_draining: bool,
    /// A second descriptor of the listener, for `close_listener`; the accept loop ends after it has been taken.
    listener: Option<std::net::TcpListener>,
}

/// A connection, as shared between its own coroutine and others.
pub struct Connection {
    number: u64,
    pub send_queue: SendQueue,
    state: Mutex<ConnectionState>,
}

#[derive(Default)]
struct ConnectionState {
    /// The RPCs whose answers are pending, by the message's id.
    open_rpcs: HashMap<Box<str>, RpcId>,
    used_us: u64,
    /// Whether a complete line has been received.
    has_line: bool,
    /// Whether a valid message has been received.
    has_valid_message: bool,
    faults: u32,
    /// The number of messages that were read after the faults had become too many.
    messages_after_faults: u32,
    /// Whether the connection is to be closed to release its capacity.
    is_evicted: bool,
    /// The time since which a line is incomplete.
    partial_since_us: Option<u64>,
    /// Whether the connection has carried an RPC, and not only health checks.
    has_carried_rpc: bool,
    /// The time by which the connection is closed, where the dispatcher was requested to close it.
    close_by_us: Option<u64>,
    /// Whether nothing more is read, because a line exceeded the size limit.
    is_read_closed: bool,
    /// Whether the connection is closed, although the peer may not have received the close yet.
    is_closed: bool,
}

impl Dispatchers {
    /// Returns an ingress for up to `max_connections`.
    pub fn new(core: Arc<SharedState>, max_connections: usize) -> Dispatchers {
        Dispatchers { core, max_connections, table: Mutex::default() }
    }

    /// Adds a new connection to the table, at once, so that the limit holds even where many connections are accepted
    /// before the first of them is served.
    fn register(&self) -> (u64, Arc<Connection>) {
        let now_us = self.core.clock.now_us();
        let state = Mutex::new(ConnectionState { used_us: now_us, ..ConnectionState::default() });
        let mut table = self.lock();
        table.next_number += 1;
        let number = table.next_number;
        let connection = Arc::new(Connection { number, send_queue: SendQueue::default(), state });
        table.connections.insert(number, connection.clone());
        if table.is_draining {
            connection.request_peer_close(now_us, CLOSE_TIMEOUT_US);
        }
        (number, connection)
    }

    /// Closes connections that exceed a time limit, and requests the close of those that have been idle for the time that
    /// the admission controller sets, forever. Where the table fills up, the connections that have been unused for the
    /// longest time are included.
    pub fn sweep(&self) {
        loop {
            may::coroutine::sleep(CHECK_INTERVAL);
            let HealthState { max_idle_us: idle_us, .. } = self.core.coordinator.health_state();
            let is_limited = idle_us < self.core.deployment.machine.max_connection_idle_us;
            let idle_us = if is_limited { idle_us } else { u64::MAX };
            let now_us = self.core.clock.now_us();
            let all = self.all();
            all.iter().for_each(|connection| connection.close_if_idle(now_us, idle_us));
            let staying = all.iter().filter(|c| c.lock().stays_open()).count();
            let excess = staying.saturating_sub((self.max_connections as f64 * CROWDED_SHARE) as usize);
            if excess > 0 {
                let mut idle: Vec<_> = all.iter().filter_map(|c| Some((c.idle_since_us()?, c))).collect();
                idle.sort_unstable_by_key(|(since_us, _)| *since_us);
                idle.retain(|(since_us, _)| now_us >= since_us + CROWDED_IDLE_US);
                for (_, connection) in idle.into_iter().take(excess) {
                    connection.request_peer_close(now_us, CROWDED_CLOSE_TIMEOUT_US);
                }
            }
        }
    }

    /// Starts to drain: requests that dispatchers send no new RPC and close their connections.
    pub fn drain(&self) {
        let now_us = self.core.clock.now_us();
        self.lock().is_draining = true;
        self.all().iter().for_each(|connection| connection.request_peer_close(now_us, CLOSE_TIMEOUT_US));
    }

    /// Shuts the write side of each connection once its queue is written.
    pub fn request_close(&self) {
        self.all().iter().for_each(|connection| connection.send_queue.request_close(CloseRequest::Draining));
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.lock().connections.len()
    }

    /// Wakes every connection after a pause.
    pub fn recheck_connections(&self) {
        self.all().iter().for_each(|connection| connection.send_queue.wake());
    }

    /// Returns the listener's descriptor, or `None` once the listener is closed.
    pub fn listener_descriptor(&self) -> Option<RawFd> {
        self.lock().listener.as_ref().map(|listener| listener.as_raw_fd())
    }

    /// Returns each connection with its descriptor, for another process to resume. `None` while a connection is being
    /// opened or closed.
    pub fn snapshot(&self) -> Option<(JsonRpcConnectionRecords, Vec<RawFd>)> {
        let table = self.lock();
        let (mut connections, mut descriptors) = (Vec::new(), Vec::new());
        for (number, connection) in
            table.connections.iter().filter(|(_, connection)| !connection.lock().is_closed)
        {
            let (fd, stream) = connection.send_queue.snapshot()?;
            let state = connection.lock();
            connections.push(JsonRpcConnectionRecord {
                number: *number,
                stream,
                open_rpcs: state
                    .open_rpcs
                    .iter()
                    .map(|(id, rpc)| OpenRpcRecord { message_id: id.to_string(), rpc: rpc.to_string() })
                    .collect(),
                used_us: state.used_us,
                has_line: state.has_line,
                has_valid_message: state.has_valid_message,
                faults: state.faults,
                messages_after_faults: state.messages_after_faults,
                partial_since_us: state.partial_since_us,
                has_carried_rpc: state.has_carried_rpc,
                close_deadline_us: state.close_by_us,
            });
            descriptors.push(fd);
        }
        Some((JsonRpcConnectionRecords { connections, next_number: table.next_number }, descriptors))
    }

    /// Restores the connections of another process. `ids` are those of the open RPCs.
    pub fn resume(
        self: &Arc<Self>,
        records: JsonRpcConnectionRecords,
        descriptors: Vec<OwnedFd>,
        ids: &HashSet<RpcId>,
    ) -> Vec<(Arc<Connection>, OwnedFd)> {
        let mut table = self.lock();
        table.next_number = records.next_number;
        let id = |rpc: String| ids.get(rpc.as_str()).cloned().unwrap_or_else(|| rpc.into());
        let mut resumed = Vec::new();
        for (record, descriptor) in records.connections.into_iter().zip(descriptors) {
            let open_rpcs = record.open_rpcs.into_iter().map(|o| (o.message_id.into(), id(o.rpc)));
            let state = ConnectionState {
                open_rpcs: open_rpcs.collect(),
                used_us: record.used_us,
                has_line: record.has_line,
                has_valid_message: record.has_valid_message,
                faults: record.faults,
                messages_after_faults: record.messages_after_faults,
                is_evicted: false,
                partial_since_us: record.partial_since_us,
                has_carried_rpc: record.has_carried_rpc,
                close_by_us: record.close_deadline_us,
                is_read_closed: false,
                is_closed: false,
            };
            let send_queue = SendQueue::resume(record.stream, false);
            let connection =
                Arc::new(Connection { number: record.number, send_queue, state: Mutex::new(state) });
            table.connections.insert(record.number, connection.clone());
            resumed.push((connection, descriptor));
        }
        resumed
    }

    /// Serves the connections that [`Dispatchers::resume`] has returned.
    pub fn serve_resumed(self: &Arc<Self>, resumed: Vec<(Arc<Connection>, OwnedFd)>) {
        for (connection, descriptor) in resumed {
            let ingress = self.clone();
            may::go!(move || ingress.serve(
                &stream_from_descriptor(descriptor),
                connection.number,
                &connection
            ));
        }
    }

    /// Returns the client that waits for an answer at the address that [`DownstreamClient::address`] gave.
    pub fn client_at(&self, at: &ClientAddress) -> Option<Box<dyn DownstreamClient>> {
        let connection = self.lock().connections.get(&at.connection)?.clone();
        Some(Box::new(JsonRpcClient {
            core: self.core.clone(),
            connection,
            id: at.message_id.as_str().into(),
        }))
    }

    fn all(&self) -> Vec<Arc<Connection>> {
        self.lock().connections.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
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
        self.max_connections
    }

    /// Closes an idle connection where the table is full. Without this, connections that send nothing, or one request, and
    /// stay open would keep other callers out.
    fn ensure_capacity(&self) -> bool {
        let table = self.lock();
        let usage = |(number, connection): (&u64, &Arc<Connection>)| {
            let state = connection.lock();
            let priority =
                RetentionPriority { is_proven: state.has_valid_message, last_used_us: state.used_us };
            let priority = state.open_rpcs.is_empty().then_some(priority);
            ConnectionUsage { number: *number, is_closing: state.is_evicted || state.is_closed, priority }
        };
        // In most cases no connection has to be examined.
        if table.connections.len() < self.max_connections {
            return true;
        }
        let all: Vec<ConnectionUsage> = table.connections.iter().map(usage).collect();
        let (number, has_capacity) = match connection_budget::decide(self.max_connections, MAX_CLOSING, &all)
        {
            BudgetDecision::Accept => return true,
            BudgetDecision::Reject => return false,
            BudgetDecision::AcceptAndClose(number) => (number, true),
            BudgetDecision::CloseFirst(number) => (number, false),
        };
        let evicted = table.connections[&number].clone();
        drop(table);
        evicted.lock().is_evicted = true;
        evicted.send_queue.request_close(CloseRequest::TimedOut);
        has_capacity
    }

    fn serve_connection(self: &Arc<Self>, stream: TcpStream) {
        let (number, connection) = self.register();
        let ingress = self.clone();
        may::go!(move || ingress.serve(&stream, number, &connection));
    }
}

/// The client that waits for the answer to one RPC, by JSON-RPC.
struct JsonRpcClient {
    core: Arc<SharedState>,
    connection: Arc<Connection>,
    /// The message's id.
    id: Box<str>,
}

impl DownstreamClient for JsonRpcClient {
    fn awaits_answer(&self) -> bool {
        self.connection.lock().open_rpcs.contains_key(&self.id)
    }

    fn answer(&self, answer: Answer, signal: Option<f64>) {
        let line = match answer {
            Answer::Served(body) => jsonrpc::served(&self.id, body, signal),
            Answer::Rejected { do_not_retry, retry_after_us } => {
                jsonrpc::rejected(&self.id, do_not_retry, retry_after_us.div_ceil(1_000), signal)
            }
            Answer::Aborted => jsonrpc::failed(&self.id, signal),
            Answer::InvalidRequest(cause) => {
                tracing::warn!(part = "json-rpc", "{cause}");
                self.connection.record_fault();
                jsonrpc::error(&self.id, jsonrpc::INVALID_PARAMS, cause, "")
            }
        };
        self.connection.answer(&self.id, self.core.clock.now_us(), line);
    }

    fn address(&self) -> ClientAddress {
        let (connection, message_id) = (self.connection.number, self.id.to_string());
        ClientAddress { is_ajp: false, connection, message_id, serial: 0 }
    }

    fn record_fault(&self) {
        self.connection.record_fault();
    }

    fn mark_trusted(&self) {
        let mut state = self.connection.lock();
        // Too many faults are final, because the connection is no longer read.
        if state.faults < MAX_FAULTS {
            state.faults = 0;
        }
    }
}

impl Connection {
    /// Queues the answer to an RPC, if one is still pending.
    fn answer(&self, id: &str, now_us: u64, line: Vec<u8>) {
        let is_pending = {
            let mut state = self.lock();
            state.used_us = now_us;
            state.open_rpcs.remove(id).is_some()
        };
        if is_pending {
            self.send_queue.push(line);
        }
    }

    /// Counts an invalid message. After [`MAX_FAULTS`] of them the connection is closed once its answers are written, to
    /// bound the load of messages that cost their sender nothing.
    fn record_fault(&self) {
        let mut state = self.lock();
        state.faults += 1;
        if state.faults >= MAX_FAULTS {
            drop(state);
            self.send_queue.request_close(CloseRequest::Faulty);
        }
    }

    /// Requests the close after input that is not a message at all, without waiting for further faults.
    fn record_malformed_input(&self) {
        self.lock().faults = MAX_FAULTS;
        self.send_queue.request_close(CloseRequest::Faulty);
    }

    /// Whether the connection has had too many faults, so that its RPCs are no longer accepted.
    fn is_faulty(&self) -> bool {
        self.lock().faults >= MAX_FAULTS
    }

    /// Requests that the dispatcher closes the connection after it has been idle for `idle_us`, and closes it if the
    /// dispatcher does not. A connection that never sent a complete line is closed without a request.
    fn close_if_idle(&self, now_us: u64, idle_us: u64) {
        let state = self.lock();
        let unused_us = now_us.saturating_sub(state.used_us);
        let is_idle =
            !state.is_evicted && state.close_by_us.is_none() && state.has_carried_rpc && unused_us >= idle_us;
        // The request is repeated at each check, because a peer that reads no answers never wakes its coroutine.
        let request = if state.faults >= MAX_FAULTS {
            CloseRequest::Faulty
        } else if state.may_close(CloseRequest::TimedOut, now_us) {
            CloseRequest::TimedOut
        } else if state.may_close(CloseRequest::Idle, now_us) {
            CloseRequest::Idle
        } else {
            let has_no_open_rpc = state.open_rpcs.is_empty();
            drop(state);
            if is_idle && has_no_open_rpc {
                self.request_peer_close(now_us, CLOSE_TIMEOUT_US);
            }
            return;
        };
        drop(state);
        self.send_queue.request_close(request);
    }

    /// Returns the time since which the connection is unused, where no answer is pending and no close is requested.
    fn idle_since_us(&self) -> Option<u64> {
        let state = self.lock();
        (state.open_rpcs.is_empty() && state.stays_open()).then_some(state.used_us)
    }

    /// Requests that the dispatcher sends no new RPC and closes the connection within `timeout_us`.
    fn request_peer_close(&self, now_us: u64, timeout_us: u64) {
        let mut state = self.lock();
        if state.close_by_us.is_none() {
            state.close_by_us = Some(now_us + timeout_us);
            self.send_queue.push(jsonrpc::no_more());
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl ConnectionState {
    /// Whether the connection is open and its close has not been requested.
    fn stays_open(&self) -> bool {
        self.close_by_us.is_none() && !self.is_closed
    }

    /// Whether the connection may be closed as requested. It stays open while an answer is pending.
    fn may_close(&self, request: CloseRequest, now_us: u64) -> bool {
        let is_overdue = self.partial_since_us.is_some_and(|from_us| now_us >= from_us + LINE_TIMEOUT_US)
            || !self.has_line && now_us >= self.used_us + FIRST_LINE_TIMEOUT_US;
        self.open_rpcs.is_empty()
            && match request {
                CloseRequest::Faulty => self.faults >= MAX_FAULTS,
                CloseRequest::TimedOut => is_overdue || self.is_evicted,
                // The rest of an incomplete line may still arrive; the exit of the process does not wait for it.
                CloseRequest::Draining => self.partial_since_us.is_none(),
                _ => self.partial_since_us.is_none() && self.close_by_us.is_some_and(|by_us| now_us >= by_us),
            }
    }
}

impl Dispatchers {
    fn serve(&self, stream: &TcpStream, number: u64, connection: &Arc<Connection>) {
        let mut handler = RequestHandler { core: &self.core, connection, has_client_departed: false };
        let reason = match stream.set_nodelay(true) {
            Ok(()) => {
                drive_connection(stream, &connection.send_queue, None, jsonrpc::MAX_LINE_BYTES, &mut handler)
            }
            Err(err) => CloseReason::from_io_error(&err),
        };
        let open_rpcs = {
            let mut state = connection.lock();
            state.is_closed = true;
            std::mem::take(&mut state.open_rpcs)
        };
        match &reason {
            CloseReason::Malformed(_) | CloseReason::MessageTooLong => {
                tracing::warn!(part = "json-rpc", "connection closed: {reason}")
            }
            _ => tracing::debug!(
                part = "json-rpc",
                "connection closed: {reason}; {} RPCs open",
                open_rpcs.len()
            ),
        }
        // The callers of the open RPCs can no longer be answered.
        open_rpcs.values().for_each(|id| self.core.coordinator.caller_left(id));
        close_gracefully(stream, &reason, || self.count() >= self.max_connections);
        self.lock().connections.remove(&number);
    }
}

/// The handler of the messages on one connection.
struct RequestHandler<'a> {
    core: &'a Arc<SharedState>,
    connection: &'a Arc<Connection>,
    /// Whether the client has closed the connection, so that no further request of it is started.
    has_client_departed: bool,
}

impl MessageHandler for RequestHandler<'_> {
    fn peer_kind(&self) -> PeerKind {
        PeerKind::Client
    }

    fn input_budget(&self) -> Option<&InputBudget> {
        Some(&self.core.input_budget)
    }

    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((line, taken)) = crate::wire::line(input) else {
            let now_us = self.core.clock.now_us();
            self.connection.lock().partial_since_us.get_or_insert(now_us);
            return Ok(0);
        };
        if !line.trim_ascii().is_empty() {
            self.handle(jsonrpc::read(line))?;
        }
        Ok(taken)
    }

    fn may_read(&self) -> bool {
        let state = self.connection.lock();
        !state.is_read_closed
            && state.messages_after_faults < MAX_MESSAGES_AFTER_FAULTS
            && self.connection.send_queue.queued_bytes() < MAX_QUEUED_BYTES
    }

    fn on_client_departed(&mut self) {
        self.has_client_departed = true;
    }

    fn on_oversized_message(&mut self) -> Result<(), CloseReason> {
        tracing::warn!(part = "json-rpc", "{}", CloseReason::MessageTooLong);
        {
            let mut state = self.connection.lock();
            (state.is_read_closed, state.partial_since_us) = (true, None);
        }
        self.connection.record_malformed_input();
        Ok(())
    }

    fn may_close(&self, request: CloseRequest) -> bool {
        let mut state = self.connection.lock();
        let may_close = state.may_close(request, self.core.clock.now_us());
        state.is_evicted &= may_close;
        may_close
    }
}

impl RequestHandler<'_> {
    fn handle(&self, message: Message) -> Result<(), CloseReason> {
        let now_us = self.core.clock.now_us();
        {
            let mut state = self.connection.lock();
            (state.used_us, state.partial_since_us, state.has_line) = (now_us, None, true);
            state.has_valid_message |= matches!(message, Message::Rpc(_) | Message::Heartbeat { .. });
        }
        if self.connection.is_faulty() {
            self.connection.lock().messages_after_faults += 1;
            if let Message::Rpc(rpc) = &message {
                let is_open = self.connection.lock().open_rpcs.contains_key(rpc.id);
                if !is_open {
                    self.connection.send_queue.push(jsonrpc::rejected(rpc.id, false, 0, None));
                }
                return Ok(());
            }
        }
        match message {
            Message::Rpc(_) if self.has_client_departed => {}
            Message::Rpc(rpc) => {
                let Some(method) = self.core.deployment.method(&rpc.method) else {
                    return self.reply_with_error(rpc.id, jsonrpc::METHOD_NOT_FOUND, "unknown method");
                };
                let request = ParsedRequest {
                    id: &rpc.req,
                    method,
                    memory_kb: rpc.kb,
                    arrived_unix_ms: rpc.ts_ms,
                    time_left_us: None,
                    idempotency_key: rpc.opkey.as_deref(),
                    tenant: None,
                    body: rpc.body.get(),
                };
                let incoming = match self.core.validate(&request) {
                    Ok(incoming) => incoming,
                    Err(cause) => return self.reply_with_error(rpc.id, jsonrpc::INVALID_PARAMS, cause),
                };
                let open_count = {
                    let mut state = self.connection.lock();
                    if state.open_rpcs.contains_key(rpc.id) {
                        drop(state);
                        return self.reply_with_error(
                            rpc.id,
                            jsonrpc::INVALID_REQUEST,
                            "an id that is open already",
                        );
                    }
                    state.has_carried_rpc = true;
                    state.open_rpcs.insert(rpc.id.into(), incoming.id.clone());
                    state.open_rpcs.len()
                };
                let connection = self.connection.clone();
                let client = JsonRpcClient { core: self.core.clone(), connection, id: rpc.id.into() };
                if open_count > MAX_OPEN_RPCS {
                    client.answer(
                        Answer::REJECTED_WITHOUT_ADVICE,
                        self.core.coordinator.health_state().load_signal,
                    );
                } else {
                    self.core.start_request(incoming, rpc.body.get(), client);
                }
            }
            Message::Revoke(target) => {
                let revoked = {
                    let mut state = self.connection.lock();
                    let id = match target {
                        RevokeTarget::Id(id) => Some(Box::from(id)),
                        RevokeTarget::Req(req) => {
                            state.open_rpcs.iter().find(|(_, rpc)| ***rpc == *req).map(|(id, _)| id.clone())
                        }
                    };
                    id.and_then(|id| state.open_rpcs.remove_entry(&id))
                };
                if let Some((message_id, rpc)) = revoked {
                    self.core.coordinator.caller_left(&rpc);
                    self.connection.send_queue.push(jsonrpc::revoked(&message_id));
                }
            }
            Message::Heartbeat { id } => {
                let HealthState { is_healthy, load_signal, .. } = self.core.coordinator.health_state();
                let pass = is_healthy.unwrap_or(false);
                self.connection.send_queue.push(jsonrpc::heartbeat(id, pass, load_signal));
            }
            Message::Invalid { id, code, reason } => return self.reply_with_error(id, code, reason),
            Message::Malformed => {
                tracing::warn!(part = "json-rpc", "input is not JSON-RPC");
                self.connection.record_malformed_input();
            }
        }
        Ok(())
    }

    /// Answers an invalid message with an error and counts the fault. The connection stays open until the faults are too
    /// many.
    fn reply_with_error(&self, id: &str, code: i32, cause: &'static str) -> Result<(), CloseReason> {
        tracing::warn!(part = "json-rpc", "{cause}");
        self.connection.send_queue.push(jsonrpc::error(id, code, cause, ""));
        self.connection.record_fault();
        Ok(())
    }
}
