//! The upstream that is called by AJP. `ochrewalk-connection-pool` decides which connections are opened, written to and
//! closed, and each connection has a state machine of `ochrewalk-ajp`. One lock guards the pool and the connections, and no
//! I/O is performed while it is held.

use super::buffered_connection::{
    close_gracefully, connect, drive_connection, CloseRequest, MessageHandler, SendQueue,
};
use crate::clock::Clock;
use crate::close_reason::{CallResult, CloseReason};
use crate::coordinator::{EventSender, RequestEvent};
use crate::handover::records::UpstreamRecord;
use crate::interfaces::UpstreamClient;
use ochrewalk::host::RpcId;
use ochrewalk_ajp::reply;
use ochrewalk_ajp::request::{self, Attribute, Message, Request, StringAttribute};
use ochrewalk_ajp::web_server::{self, Actions, Limits, Response, StateMachine};
use ochrewalk_connection_pool::{
    CallId, CallResult as PoolCallResult, ConnectionId, ConnectionPool, Disconnect, ReplyOutcome, Transport,
};
use ochrewalk_ingress::request_evaluation::HeaderNames;
use ochrewalk_load_balancer::{EjectionCause, Endpoint};
use ochrewalk_operator_config::{AjpUpstream, UpstreamEndpoint};
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::fmt::Write;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The interval at which waiting calls, idle connections and time limits are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum size of a reply, in bytes, which equals that of the line protocol.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// The client of the upstream's endpoints.
#[derive(Clone)]
pub struct AjpUpstreamClient(Arc<Inner>);

struct Inner {
    clock: Clock,
    settings: AjpUpstream,
    headers: HeaderNames,
    state: Mutex<State>,
    /// The number of connections that are closed, while their peers may not have received the close yet.
    closing: AtomicUsize,
}

struct State {
    pool: ConnectionPool,
    transport: PoolTransport,
    /// The calls that wait for the end of a pause, or `None` while calls are not paused.
    held_calls: Option<Vec<HeldCall>>,
}

/// A call that is to be started, or that waits while calls are paused.
struct HeldCall {
    id: RpcId,
    until_us: u64,
    body: Vec<u8>,
    is_repeatable: bool,
    events: EventSender,
}

/// The connections and their calls, on which the pool's decisions are performed.
struct PoolTransport {
    inner: std::sync::Weak<Inner>,
    /// The address of each endpoint, by its slot in the pool.
    addresses: Vec<SocketAddr>,
    connections: HashMap<ConnectionId, Connection>,
    calls: HashMap<CallId, Call>,
    call_ids: HashMap<RpcId, CallId>,
    last_call_id: CallId,
    /// The reply that is being reported to the pool.
    reply: Option<Response>,
    /// The reason of the close that is being reported to the pool.
    close_reason: Option<CloseReason>,
    now_us: u64,
}

struct Connection {
    send_queue: Arc<SendQueue>,
    state_machine: StateMachine,
    call: Option<CallId>,
    /// The number of bytes of the call's body that are already queued.
    sent: usize,
}

struct Call {
    id: RpcId,
    body: Vec<u8>,
    until_us: u64,
    events: EventSender,
}

impl AjpUpstreamClient {
    /// Returns the client of the endpoints in `settings`.
    pub fn new(settings: AjpUpstream, clock: Clock, seed: u64) -> AjpUpstreamClient {
        let config = ochrewalk_connection_pool::PoolConfig {
            max_connections: settings.max_connections,
            ping_after_idle_us: settings.ping_after_idle_us,
            max_idle_us: settings.max_idle_us,
        };
        let mut pool = ConnectionPool::new(config, settings.balancing, settings.retry_budget, seed);
        AjpUpstreamClient(Arc::new_cyclic(|inner| {
            let mut transport = PoolTransport {
                inner: inner.clone(),
                addresses: Vec::new(),
                connections: HashMap::new(),
                calls: HashMap::new(),
                call_ids: HashMap::new(),
                last_call_id: 0,
                reply: None,
                close_reason: None,
                now_us: clock.now_us(),
            };
            set_pool_endpoints(&mut pool, &mut transport, &settings.endpoints);
            Inner {
                clock,
                settings,
                headers: HeaderNames::default(),
                state: Mutex::new(State { pool, transport, held_calls: None }),
                closing: AtomicUsize::new(0),
            }
        }))
    }

    /// Replaces the endpoints. Calls in flight to endpoints that are no longer listed finish there.
    pub fn set_endpoints(&self, endpoints: &[UpstreamEndpoint]) {
        self.0.with(|pool, transport| set_pool_endpoints(pool, transport, endpoints));
    }

    /// Applies time limits and logs changes of the endpoints' states, forever.
    pub fn maintain(&self) {
        let mut state_names: Vec<&str> = Vec::new();
        loop {
            may::coroutine::sleep(CHECK_INTERVAL);
            let now_us = self.0.clock.now_us();
            self.0.with(|pool, transport| {
                pool.tick(now_us, transport);
                for connection in transport.connections.values() {
                    if connection
                        .state_machine
                        .timeout_at_us()
                        .is_some_and(|timeout_at_us| now_us >= timeout_at_us)
                    {
                        connection.send_queue.wake();
                    }
                }
                let balancer = pool.load_balancer();
                state_names.resize(balancer.state().endpoints.len(), "in");
                for (slot, previous) in state_names.iter_mut().enumerate() {
                    let name = balancer.status(slot, now_us).name();
                    if let (true, Some(endpoint)) =
                        (name != *previous, balancer.state().endpoints[slot].as_ref())
                    {
                        let (place, in_hand) = (transport.addresses[slot], endpoint.in_flight());
                        let cause = endpoint.health.ejection_cause().map_or("", EjectionCause::description);
                        match (name, *previous) {
                            ("out", "trying") => {}
                            ("out", _) => {
                                tracing::warn!(part = "below", %place, in_hand, cause, "ejected")
                            }
                            ("back", _) => tracing::warn!(part = "below", %place, in_hand, "readmitted"),
                            _ => {
                                tracing::debug!(part = "below", %place, in_hand, "now {name}, was {previous}")
                            }
                        }
                    }
                    *previous = name;
                }
            });
        }
    }

    /// Returns the table of endpoints for operators, one line per endpoint.
    pub fn endpoint_table(&self) -> String {
        let now_us = self.0.clock.now_us();
        self.0.with(|pool, transport| {
            let balancer = pool.load_balancer().state();
            let total_share: f64 =
                balancer.subset.iter().map(|slot| balancer.effective_weight(*slot, now_us)).sum();
            let mut text = format!(
                "{:<22} {:<8} {:>9} {:>7} {:>7} {:>9} {:>9}  {}\n",
                "place", "state", "for s", "share", "in hand", "last ms", "calls", "cause"
            );
            for (slot, endpoint) in balancer
                .endpoints
                .iter()
                .enumerate()
                .filter_map(|(slot, endpoint)| Some((slot, endpoint.as_ref()?)))
            {
                let share = if balancer.subset.contains(&slot) {
                    balancer.effective_weight(slot, now_us) / total_share.max(1e-9)
                } else {
                    0.0
                };
                let _ = writeln!(
                    text,
                    "{:<22} {:<8} {:>9.1} {:>7.3} {:>7} {:>9.1} {:>9}  {}",
                    transport.addresses[slot].to_string(),
                    pool.load_balancer().status(slot, now_us).name(),
                    now_us.saturating_sub(endpoint.health.since_us()) as f64 / 1e6,
                    share,
                    endpoint.in_flight(),
                    endpoint.last_latency_us as f64 / 1e3,
                    endpoint.calls_started,
                    endpoint.health.ejection_cause().map_or("", EjectionCause::description)
                );
            }
            text
        })
    }
}

/// Returns a hash of an endpoint's address, which is the same in every process.
fn endpoint_key(address: &SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    address.to_string().hash(&mut hasher);
    hasher.finish()
}

/// Sets the pool's endpoints and records the address of each slot.
fn set_pool_endpoints(
    pool: &mut ConnectionPool,
    transport: &mut PoolTransport,
    endpoints: &[UpstreamEndpoint],
) {
    let listed = |endpoint: &UpstreamEndpoint| Endpoint {
        key: endpoint_key(&endpoint.address),
        weight: endpoint.weight,
        is_local_zone: endpoint.is_in_local_zone,
    };
    let listed: Vec<Endpoint> = endpoints.iter().map(listed).collect();
    let slots = pool.set_endpoints(transport.now_us, &listed, transport);
    for (slot, endpoint) in slots.into_iter().zip(endpoints) {
        if transport.addresses.len() <= slot {
            transport.addresses.resize(slot + 1, endpoint.address);
        }
        transport.addresses[slot] = endpoint.address;
    }
}

impl UpstreamClient for AjpUpstreamClient {
    fn place_call(&self, id: &RpcId, wait_ms: u64, body: &[u8], is_repeatable: bool, events: EventSender) {
        // A second call of an RPC replaces the first.
        self.cancel_call(id);
        let until_us = self.0.clock.now_us() + wait_ms * 1_000;
        let call = HeldCall { id: id.clone(), until_us, body: body.to_vec(), is_repeatable, events };
        if let Some(held_calls) = &mut self.0.lock().held_calls {
            return held_calls.push(call);
        }
        self.0.start_call(call);
    }

    fn unavailable_for_us(&self) -> Option<u64> {
        self.0.with(|pool, transport| pool.unavailable_for_us(transport.now_us))
    }

    /// Holds new calls while paused, and starts them afterwards. AJP connections cannot move to another process while they
    /// carry a call, so the calls in flight have to end first.
    fn set_calls_paused(&self, is_paused: bool) {
        let held_calls = {
            let mut state = self.0.lock();
            let held_calls = state.held_calls.take().unwrap_or_default();
            state.held_calls = is_paused.then(Vec::new);
            held_calls
        };
        held_calls.into_iter().for_each(|call| self.0.start_call(call));
    }

    fn has_unmovable_calls(&self) -> bool {
        self.0.lock().pool.open_calls() > 0
    }

    fn snapshot(&self) -> (UpstreamRecord, Vec<RawFd>) {
        let state = self.0.lock();
        // Calls that still wait for a connection were not written, and are started again.
        let written_call = |connection: &Connection| {
            connection.call.filter(|_| connection.state_machine.may_have_sent_call())
        };
        let lost = state.transport.connections.values().filter_map(written_call);
        let rpc_id = |call: CallId| state.transport.calls.get(&call).map(|call| call.id.to_string());
        (
            UpstreamRecord { connections: Vec::new(), lost_calls: lost.filter_map(rpc_id).collect() },
            Vec::new(),
        )
    }

    fn recheck_connections(&self) {
        self.0.lock().transport.connections.values().for_each(|connection| connection.send_queue.wake());
    }

    fn cancel_call(&self, id: &str) {
        if let Some(held_calls) = &mut self.0.lock().held_calls {
            held_calls.retain(|call| *call.id != *id);
        }
        self.0.with(|pool, transport| {
            let Some(call) = transport.call_ids.remove(id) else { return };
            transport.calls.remove(&call);
            pool.cancel(self.0.clock.now_us(), call, transport);
        });
    }
}

impl Inner {
    fn start_call(&self, new: HeldCall) {
        let HeldCall { id, until_us, body, is_repeatable, events } = new;
        self.with(|pool, transport| {
            transport.last_call_id += 1;
            let call = transport.last_call_id;
            transport.call_ids.insert(id.clone(), call);
            transport.calls.insert(call, Call { id, body, until_us, events });
            pool.start_call(transport.now_us, call, is_repeatable, until_us, transport);
        });
    }

    /// Runs `operation` under the lock, with the time set to now.
    fn with<T>(&self, operation: impl FnOnce(&mut ConnectionPool, &mut PoolTransport) -> T) -> T {
        let mut state = self.lock();
        let State { pool, transport, .. } = &mut *state;
        transport.now_us = self.clock.now_us();
        operation(pool, transport)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Opens one connection and drives it until it is closed.
    fn drive(&self, id: ConnectionId, address: SocketAddr, send_queue: &SendQueue) {
        let reason = match connect(&address, Duration::from_micros(self.settings.connect_timeout_us)) {
            Ok(stream) => {
                let now_us = self.clock.now_us();
                self.with(|pool, transport| {
                    if let Some(connection) = transport.connections.get_mut(&id) {
                        // The connection's time limits count from here.
                        connection.state_machine = self.state_machine(now_us);
                    }
                    pool.connected(now_us, id, transport);
                });
                let reason = drive_connection(
                    &stream,
                    send_queue,
                    None,
                    self.settings.max_packet_bytes,
                    &mut ReplyHandler { inner: self, send_queue, id },
                );
                self.report_close(id, &reason);
                self.closing.fetch_add(1, Ordering::Relaxed);
                let is_crowded = || {
                    self.lock().transport.connections.len() + self.closing.load(Ordering::Relaxed)
                        > self.settings.max_connections
                };
                close_gracefully(&stream, &reason, is_crowded);
                self.closing.fetch_sub(1, Ordering::Relaxed);
                reason
            }
            Err(reason) => {
                self.with(|pool, transport| {
                    transport.connections.remove(&id);
                    transport.close_reason = Some(reason.clone());
                    pool.disconnected(self.clock.now_us(), id, Disconnect::ConnectFailed, transport);
                });
                reason
            }
        };
        match reason {
            CloseReason::Idle => {
                tracing::debug!(part = "below", place = %address, "connection closed: {reason}")
            }
            _ => tracing::warn!(part = "below", place = %address, "connection failed: {reason}"),
        }
    }

    /// Reports the close of a connection to the pool, unless the pool has closed it.
    fn report_close(&self, id: ConnectionId, reason: &CloseReason) {
        self.with(|pool, transport| {
            let Some(connection) = transport.connections.remove(&id) else { return };
            let disconnect = match (connection.state_machine.may_have_sent_call(), reason) {
                (true, _) => Disconnect::AfterWrite,
                (false, CloseReason::TimedOut) => Disconnect::PingTimedOut,
                (false, _) => Disconnect::BeforeWrite,
            };
            transport.close_reason = Some(reason.clone());
            pool.disconnected(self.clock.now_us(), id, disconnect, transport);
        });
    }

    /// Returns the state machine of a connection that opens now.
    fn state_machine(&self, now_us: u64) -> StateMachine {
        let limits = Limits {
            cpong_timeout_us: self.settings.ping_timeout_us,
            response_timeout_us: self.settings.reply_timeout_us,
            max_response_bytes: MAX_REPLY_BYTES,
        };
        StateMachine::new(now_us, limits, super::ajp_ingress::NEVER_RAN)
    }

    /// Returns the call's first packets, which hold its head and the first piece of its body, and the size of that piece.
    /// `None` where the head does not fit a packet.
    fn packets(&self, call: &Call, now_us: u64) -> Option<(Vec<u8>, usize)> {
        let length = call.body.len().to_string();
        let time_left = call.until_us.saturating_sub(now_us).div_ceil(1_000).max(1).to_string();
        let mut headers: Vec<(&[u8], &[u8])> = vec![
            (b"content-type", b"application/octet-stream"),
            (b"content-length", length.as_bytes()),
            (b"host", self.settings.server_name.as_bytes()),
        ];
        headers.push((self.headers.id.as_bytes(), call.id.as_bytes()));
        headers.push((self.headers.time_left.as_bytes(), time_left.as_bytes()));
        let secret =
            self.settings.secret.as_ref().map(|secret| Attribute::String(StringAttribute::Secret, secret));
        let request = Request {
            method: b"POST",
            protocol: b"HTTP/1.1",
            uri: self.settings.uri.as_bytes(),
            remote_addr: Some(b"127.0.0.1"),
            remote_host: None,
            server_name: Some(self.settings.server_name.as_bytes()),
            server_port: 80,
            is_ssl: false,
            headers,
            attributes: secret.into_iter().collect(),
        };
        let mut out = Vec::with_capacity(256 + call.body.len());
        request.write(&mut out, self.settings.max_packet_bytes).ok()?;
        let first = call.body.len().min(request::max_chunk_bytes(self.settings.max_packet_bytes));
        if first > 0 {
            request::write_body_chunk(&mut out, self.settings.max_packet_bytes, &call.body[..first]).ok()?;
        }
        Some((out, first))
    }
}

impl Transport for PoolTransport {
    fn connect(&mut self, id: ConnectionId, slot: usize) {
        let Some(inner) = self.inner.upgrade() else { return };
        let send_queue = Arc::new(SendQueue::default());
        let state_machine = inner.state_machine(self.now_us);
        self.connections
            .insert(id, Connection { send_queue: send_queue.clone(), state_machine, call: None, sent: 0 });
        let address = self.addresses[slot];
        may::go!(move || inner.drive(id, address, &send_queue));
    }

    fn write(&mut self, id: ConnectionId, call: CallId, ping_first: bool) {
        let (Some(inner), Some(connection)) = (self.inner.upgrade(), self.connections.get_mut(&id)) else {
            return;
        };
        (connection.call, connection.sent) = (Some(call), 0);
        let mut actions = RequestedActions::default();
        connection.state_machine.start_call(self.now_us, ping_first, &mut actions);
        self.queue_packets(&inner, id, &actions);
    }

    fn complete(&mut self, call: CallId, result: PoolCallResult) {
        let Some(Call { id, events, .. }) = self.calls.remove(&call) else { return };
        self.call_ids.remove(&id);
        let result = match result {
            PoolCallResult::Unsent => CallResult::Unsent,
            PoolCallResult::Broken => {
                CallResult::ConnectionClosed(self.close_reason.clone().unwrap_or(CloseReason::ClosedByPeer))
            }
            PoolCallResult::Replied => match self.reply.take() {
                Some(reply) => CallResult::from_status(reply.status, reply.never_ran, reply.body),
                None => CallResult::Failed,
            },
        };
        events.send(RequestEvent::CallEnded(result));
    }

    fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            connection.send_queue.request_close(CloseRequest::Faulty);
        }
    }
}

impl PoolTransport {
    /// Queues the packets that a state machine has requested.
    fn queue_packets(&mut self, inner: &Inner, id: ConnectionId, actions: &RequestedActions) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let call = connection.call.and_then(|call| self.calls.get(&call));
        let mut out = Vec::new();
        if actions.ping {
            request::write_message(&mut out, &Message::CPing, inner.settings.max_packet_bytes).expect("fits");
        }
        if let (true, Some(call)) = (actions.call, call) {
            match inner.packets(call, self.now_us) {
                Some((packets, sent)) => {
                    out.extend(packets);
                    connection.sent = sent;
                }
                // The call cannot be encoded and nothing of it is written, so the connection is closed.
                None => connection.send_queue.request_close(CloseRequest::Faulty),
            }
        }
        if let (Some(most), Some(call)) = (actions.piece, call) {
            let most = usize::from(most).min(request::max_chunk_bytes(inner.settings.max_packet_bytes));
            let piece = &call.body[connection.sent..(connection.sent + most).min(call.body.len())];
            connection.sent += piece.len();
            request::write_body_chunk(&mut out, inner.settings.max_packet_bytes, piece).expect("fits");
        }
        if !out.is_empty() {
            connection.send_queue.push(out);
        }
    }
}

/// The actions that a state machine has requested.
#[derive(Default)]
struct RequestedActions {
    ping: bool,
    call: bool,
    /// The maximum size of the next piece of the body, where one is requested.
    piece: Option<u16>,
    reply: Option<Response>,
    /// The reason of the close, and whether the call may have been written.
    close_reason: Option<(web_server::CloseReason, bool)>,
}

impl Actions for RequestedActions {
    fn send_cping(&mut self) {
        self.ping = true;
    }
    fn send_request(&mut self) {
        self.call = true;
    }
    fn send_body_chunk(&mut self, max_bytes: u16) {
        self.piece = Some(max_bytes);
    }
    fn ready(&mut self) {}
    fn response_received(&mut self, response: Response) {
        self.reply = Some(response);
    }
    fn close(&mut self, reason: web_server::CloseReason, may_have_sent_call: bool) {
        self.close_reason = Some((reason, may_have_sent_call));
    }
}

fn close_reason(reason: web_server::CloseReason) -> CloseReason {
    match reason {
        web_server::CloseReason::ClosedByPeer | web_server::CloseReason::NotReusable => {
            CloseReason::ClosedByPeer
        }
        web_server::CloseReason::Failed => CloseReason::Broken(std::io::ErrorKind::Other),
        web_server::CloseReason::Malformed(error) => CloseReason::Malformed(error.to_string()),
        web_server::CloseReason::ResponseTooLong => CloseReason::MessageTooLong,
        web_server::CloseReason::ResponseTooShort => {
            CloseReason::Malformed("a reply shorter than its stated length".into())
        }
        web_server::CloseReason::TimedOut => CloseReason::TimedOut,
        web_server::CloseReason::Idle | web_server::CloseReason::Abandoned => CloseReason::Idle,
    }
}

/// The handler of the replies on one connection.
struct ReplyHandler<'a> {
    inner: &'a Inner,
    send_queue: &'a SendQueue,
    id: ConnectionId,
}

impl ReplyHandler<'_> {
    /// Advances the state machine, performs the actions that it requests, and reports replies and closes to the pool.
    ///
    /// # Errors
    ///
    /// The connection is to be closed for the returned reason.
    fn advance(
        &self,
        step: impl FnOnce(&mut StateMachine, u64, &mut RequestedActions),
    ) -> Result<(), CloseReason> {
        let (inner, id) = (self.inner, self.id);
        inner.with(|pool, transport| {
            let now_us = transport.now_us;
            // The pool has closed the connection, so later input belongs to no call.
            let Some(connection) = transport.connections.get_mut(&id) else { return Err(CloseReason::Idle) };
            let mut actions = RequestedActions::default();
            step(&mut connection.state_machine, now_us, &mut actions);
            transport.queue_packets(inner, id, &actions);
            let is_spent = matches!(actions.close_reason, Some((web_server::CloseReason::NotReusable, _)));
            if let Some(reply) = actions.reply.take() {
                if let Some(connection) = transport.connections.get_mut(&id) {
                    connection.call = None;
                }
                let outcome = match CallResult::from_status(reply.status, reply.never_ran, Vec::new()) {
                    CallResult::Succeeded(_) => ReplyOutcome::Succeeded,
                    CallResult::Rejected => ReplyOutcome::Rejected,
                    CallResult::DeadlineExceeded => ReplyOutcome::TimedOut,
                    _ => ReplyOutcome::Failed,
                };
                transport.reply = Some(reply);
                pool.replied(now_us, id, outcome, !is_spent, transport);
                transport.reply = None;
            }
            let Some((end, was_written)) = actions.close_reason else { return Ok(()) };
            let reason = close_reason(end);
            if transport.connections.remove(&id).is_some() {
                let disconnect = match (was_written, &reason) {
                    (true, _) => Disconnect::AfterWrite,
                    (false, CloseReason::TimedOut) => Disconnect::PingTimedOut,
                    (false, _) => Disconnect::BeforeWrite,
                };
                transport.close_reason = Some(reason.clone());
                pool.disconnected(now_us, id, disconnect, transport);
            }
            Err(reason)
        })
    }
}

impl MessageHandler for ReplyHandler<'_> {
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        match reply::read(input, self.inner.settings.max_packet_bytes) {
            Ok(Some((message, taken))) => {
                self.advance(|machine, now_us, actions| machine.message(now_us, &message, actions))?;
                Ok(taken)
            }
            Ok(None) => {
                self.advance(|machine, now_us, _| machine.partial_input(now_us))?;
                Ok(0)
            }
            Err(error) => {
                self.advance(|machine, _, actions| machine.malformed_input(error, actions))?;
                Err(CloseReason::Malformed(error.to_string()))
            }
        }
    }

    fn on_drained(&mut self, _is_flushed: bool) {
        if self.advance(|machine, now_us, actions| machine.check_timeouts(now_us, actions)).is_err() {
            // The pool no longer uses the connection, so the stream is closed as well.
            self.send_queue.request_close_once(CloseRequest::Faulty);
        }
    }
}
