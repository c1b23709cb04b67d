//! The upstream that is called by the line protocol. A connection carries one call at a time while descriptors are
//! available, because one corrupted reply makes a connection unusable for all calls on it. Idle connections are
//! retained for a short time, for later calls that may be repeated, and are then closed before the peer would close
//! them.
//!
//! A reply names the run and not the call, and may come a second time. Each connection therefore carries at most one call
//! of a run: a reply to an earlier call of the run arrives on another connection, where it is discarded.

use super::buffered_connection::{
    close_gracefully, connect, drive_connection, stream_from_descriptor, CloseRequest, MessageHandler,
    SendQueue,
};
use crate::clock::Clock;
use crate::close_reason::{CallResult, CloseReason};
use crate::coordinator::{EventSender, RequestEvent};
use crate::handover::records::{UpstreamConnectionRecord, UpstreamRecord};
use crate::interfaces::UpstreamClient;
use crate::wire::calls::{self, Status};
use may::net::TcpStream;
use ochrewalk::host::RpcId;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::os::fd::{OwnedFd, RawFd};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time for which an idle connection may be used again. The peer may close the connection early, or drop its state
/// and reset it at the next call, which cannot be distinguished from a reset that replaces a reply. A new connection
/// costs little.
const MAX_IDLE_US: u64 = 50_000;
/// The number of runs after which a connection is not used again, which bounds the memory for their ids.
const MAX_CARRIED_RUNS: usize = 64;
/// The same, while all connections that may exist are in use.
const MAX_CARRIED_RUNS_WHILE_FULL: usize = 1_024;
/// The interval at which idle connections and overdue replies are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit for a reply, from its first byte to its last. Without the limit, a reply that is shorter than its
/// stated length would delay its call until the call's own timeout.
const REPLY_TIMEOUT_US: u64 = 250_000;

/// The client of the upstream.
#[derive(Clone)]
pub struct LineUpstreamClient(Arc<Connections>);

struct Connections {
    clock: Clock,
    max_connections: usize,
    state: Mutex<State>,
}

struct State {
    /// The address for new calls. Connections to an earlier address only wait for pending replies.
    address: SocketAddr,
    connections: Vec<Arc<Connection>>,
}

/// A connection, from the call that requests it until it is closed.
struct Connection {
    address: SocketAddr,
    send_queue: SendQueue,
    state: Mutex<ConnectionState>,
}

struct ConnectionState {
    calls: HashMap<RpcId, EventSender>,
    /// The runs for which the connection has carried a call.
    carried_runs: HashSet<RpcId>,
    used_us: u64,
    /// The time since which a reply is incomplete.
    partial_since_us: Option<u64>,
    /// Whether the connection no longer takes calls, although the peer may not have received the close yet.
    is_closed: bool,
}

impl LineUpstreamClient {
    /// Returns the client of the upstream at `address`, with up to `max_connections`.
    pub fn new(address: SocketAddr, clock: Clock, max_connections: usize) -> LineUpstreamClient {
        LineUpstreamClient(Arc::new(Connections {
            clock,
            max_connections,
            state: Mutex::new(State { address, connections: Vec::new() }),
        }))
    }

    /// Sets the address for new calls. Connections to the previous address are closed after their last reply.
    pub fn set_address(&self, address: SocketAddr) {
        self.0.lock().address = address;
        self.0.close_idle();
    }

    /// Closes idle connections periodically, forever.
    pub fn maintain(&self) {
        loop {
            may::coroutine::sleep(CHECK_INTERVAL);
            self.0.close_idle();
        }
    }
}

impl UpstreamClient for LineUpstreamClient {
    fn place_call(&self, id: &RpcId, wait_ms: u64, body: &[u8], is_repeatable: bool, events: EventSender) {
        self.0.call(id, wait_ms, body, is_repeatable, events);
    }

    fn cancel_call(&self, id: &str) {
        self.0.cancel_call(id);
    }

    fn snapshot(&self) -> (UpstreamRecord, Vec<RawFd>) {
        let state = self.0.lock();
        let (mut connections, mut descriptors) = (Vec::new(), Vec::new());
        // A connection that is not established yet has written nothing; its calls are started again.
        for (connection, (fd, stream)) in state
            .connections
            .iter()
            .filter_map(|connection| Some((connection, connection.send_queue.snapshot()?)))
        {
            let inner = connection.lock();
            connections.push(UpstreamConnectionRecord {
                endpoint: connection.address.to_string(),
                stream,
                calls: inner.calls.keys().map(|id| id.to_string()).collect(),
                carried_runs: inner.carried_runs.iter().map(|id| id.to_string()).collect(),
                used_us: inner.used_us,
                partial_since_us: inner.partial_since_us,
            });
            descriptors.push(fd);
        }
        (UpstreamRecord { connections, lost_calls: Vec::new() }, descriptors)
    }

    fn recheck_connections(&self) {
        self.0.lock().connections.iter().for_each(|connection| connection.send_queue.wake());
    }
}

impl LineUpstreamClient {
    /// Resumes the connections of another process. `event_senders` are those of the RPCs whose calls the connections carry.
    pub fn resume(
        &self,
        record: UpstreamRecord,
        descriptors: Vec<OwnedFd>,
        event_senders: &HashMap<RpcId, EventSender>,
    ) {
        let mut state = self.0.lock();
        for (record, descriptor) in record.connections.into_iter().zip(descriptors) {
            let call = |id: String| {
                event_senders.get_key_value(id.as_str()).map(|(id, events)| (id.clone(), events.clone()))
            };
            // An older program records the calls in flight alone.
            let carried_runs = record.carried_runs.into_iter().chain(record.calls.iter().cloned());
            let carried_runs = carried_runs.map(RpcId::from).collect();
            let calls = record.calls.into_iter().filter_map(call).collect();
            let connection_state = ConnectionState {
                calls,
                carried_runs,
                used_us: record.used_us,
                partial_since_us: record.partial_since_us,
                is_closed: false,
            };
            let address = record.endpoint.parse().unwrap_or(state.address);
            let send_queue = SendQueue::resume(record.stream, false);
            let connection =
                Arc::new(Connection { address, send_queue, state: Mutex::new(connection_state) });
            state.connections.push(connection.clone());
            let connections = self.0.clone();
            may::go!(move || connections.drive(&connection, Some(stream_from_descriptor(descriptor))));
        }
    }
}

impl Connections {
    /// Starts a call. A call that is not `is_repeatable` gets a new connection, because the upstream may have dropped the
    /// state of an idle one, which would leave it unknown whether the call ran.
    fn call(
        self: &Arc<Self>,
        id: &RpcId,
        wait_ms: u64,
        body: &[u8],
        is_repeatable: bool,
        events: EventSender,
    ) {
        let mut state = self.lock();
        let now_us = self.clock.now_us();
        let has_capacity = state.connections.len() < self.max_connections;
        let is_usable = |connection: &Connection| {
            let inner = connection.lock();
            let may_reuse = is_repeatable && inner.calls.is_empty() && now_us < inner.used_us + MAX_IDLE_US;
            let max_runs = if has_capacity { MAX_CARRIED_RUNS } else { MAX_CARRIED_RUNS_WHILE_FULL };
            let may_carry = inner.carried_runs.len() < max_runs && !inner.carried_runs.contains(id);
            !inner.is_closed && may_carry && (!has_capacity || may_reuse)
        };
        // The connection that was used last is used first, so that the others are closed as idle.
        let least_used = state
            .connections
            .iter()
            .filter(|connection| connection.address == state.address && is_usable(connection))
            .min_by_key(|connection| {
                let inner = connection.lock();
                (inner.calls.len(), u64::MAX - inner.used_us)
            });
        let connection = match least_used.cloned() {
            Some(connection) => connection,
            None => {
                let connection_state = Mutex::new(ConnectionState {
                    calls: HashMap::new(),
                    carried_runs: HashSet::new(),
                    used_us: now_us,
                    partial_since_us: None,
                    is_closed: false,
                });
                let connection = Arc::new(Connection {
                    address: state.address,
                    send_queue: SendQueue::default(),
                    state: connection_state,
                });
                state.connections.push(connection.clone());
                let (connections, new) = (self.clone(), connection.clone());
                may::go!(move || connections.drive(&new, None));
                connection
            }
        };
        {
            let mut inner = connection.lock();
            inner.calls.insert(id.clone(), events);
            inner.carried_runs.insert(id.clone());
            inner.used_us = now_us;
        }
        connection.send_queue.push(calls::call(id, wait_ms, body));
    }

    fn cancel_call(&self, id: &str) {
        let Some(connection) = self.connection_of(id) else { return };
        if connection.lock().calls.remove(id).is_some() {
            connection.send_queue.push(calls::cancel(id));
        }
    }

    fn close_idle(&self) {
        let state = self.lock();
        for connection in &state.connections {
            let inner = connection.lock();
            let now_us = self.clock.now_us();
            let idle_us = now_us.saturating_sub(inner.used_us);
            if inner.partial_since_us.is_some_and(|from_us| now_us >= from_us + REPLY_TIMEOUT_US) {
                connection.send_queue.request_close(CloseRequest::TimedOut);
            } else if inner.calls.is_empty()
                && (idle_us >= MAX_IDLE_US || connection.address != state.address)
            {
                connection.send_queue.request_close(CloseRequest::Idle);
            }
        }
    }

    /// Drives one connection until it is closed, and reports the calls that it still carries.
    fn drive(&self, connection: &Arc<Connection>, adopted: Option<TcpStream>) {
        let stream = adopted.map_or_else(|| connect(&connection.address, CONNECT_TIMEOUT), Ok);
        let reason = match &stream {
            Ok(stream) => drive_connection(
                stream,
                &connection.send_queue,
                None,
                calls::MAX_REPLY_BYTES,
                &mut ReplyHandler { connections: self, connection },
            ),
            Err(reason) => reason.clone(),
        };
        // From here on no call can select the connection, so that none is lost while it closes as idle.
        let calls = {
            let _no_call_starts = self.lock();
            let mut inner = connection.lock();
            inner.is_closed = true;
            std::mem::take(&mut inner.calls)
        };
        let unwritten = connection.send_queue.take_unwritten();
        let was_never_written = |id: &str| {
            let start = format!("CALL {id} ");
            unwritten.iter().any(|line| line.starts_with(start.as_bytes()))
        };
        if !calls.is_empty() {
            tracing::warn!(part = "below", place = %connection.address, "connection failed: {reason}; {} calls were in flight", calls.len());
        }
        for (id, events) in calls {
            // A call that was not written completely never ran, for whatever reason the connection closed.
            let end = if was_never_written(&id) {
                CallResult::Unsent
            } else {
                CallResult::ConnectionClosed(reason.clone())
            };
            events.send(RequestEvent::CallEnded(end));
        }
        if let Ok(stream) = stream {
            close_gracefully(&stream, &reason, || self.lock().connections.len() >= self.max_connections);
        }
        self.lock().connections.retain(|other| !Arc::ptr_eq(other, connection));
    }

    fn connection_of(&self, id: &str) -> Option<Arc<Connection>> {
        self.lock().connections.iter().find(|connection| connection.lock().calls.contains_key(id)).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

struct ReplyHandler<'a> {
    connections: &'a Connections,
    connection: &'a Connection,
}

impl MessageHandler for ReplyHandler<'_> {
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let now_us = self.connections.clock.now_us();
        let Some((reply, taken)) = calls::read(input).map_err(CloseReason::Malformed)? else {
            self.connection.lock().partial_since_us.get_or_insert(now_us);
            return Ok(0);
        };
        let events = {
            let mut inner = self.connection.lock();
            (inner.used_us, inner.partial_since_us) = (now_us, None);
            inner.calls.remove(reply.id)
        };
        // A call that was cancelled may still be answered.
        if let Some(events) = events {
            events.send(RequestEvent::CallEnded(match reply.status {
                Status::Ok => CallResult::Succeeded(reply.body.to_vec()),
                Status::Busy => CallResult::Rejected,
                Status::Err => CallResult::Failed,
                Status::Late => CallResult::DeadlineExceeded,
                Status::Void => CallResult::NoLongerNeeded,
            }));
        }
        Ok(taken)
    }

    fn may_close(&self, request: CloseRequest) -> bool {
        let inner = self.connection.lock();
        let now_us = self.connections.clock.now_us();
        match request {
            CloseRequest::TimedOut => {
                inner.partial_since_us.is_some_and(|from_us| now_us >= from_us + REPLY_TIMEOUT_US)
            }
            _ => inner.calls.is_empty() && inner.partial_since_us.is_none(),
        }
    }
}
