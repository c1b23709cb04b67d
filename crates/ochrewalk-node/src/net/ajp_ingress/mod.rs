//! The AJP ingress: accepts client connections, reads requests, answers them and closes the connections. The state machine
//! in `ochrewalk-ajp` defines the messages that are allowed in each state, and `ochrewalk-ingress` maps a request to an
//! RPC. From there on the RPC is treated as one from any other protocol.

mod answers;
mod handover;
mod inbound;

pub use answers::NEVER_RAN;

use super::buffered_connection::{close_gracefully, drive_connection, CloseRequest, SendQueue};
use super::listener::{ConnectionListener, MAX_CLOSING};
use crate::close_reason::CloseReason;
use crate::configuration::cached_quotas::CachedQuotas;
use crate::configuration::handle::ConfigurationHandle;
use crate::handover::records::ClientAddress;
use crate::interfaces::{Answer, DownstreamClient};
use crate::shared_state::SharedState;
use inbound::{RequestHandler, RequestedActions, MAX_BODY_BYTES};
use may::net::TcpStream;
use ochrewalk::host::{RpcId, Tenant};
use ochrewalk_ajp::servlet_container::{Limits, StateMachine};
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::connection_budget::{self, BudgetDecision, ConnectionUsage, RetentionPriority};
use ochrewalk_ingress::request_evaluation::{RequestTarget, Rules};
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

/// The time limit for the first complete packet on a connection.
const FIRST_PACKET_TIMEOUT_US: u64 = 5_000_000;
/// The time limit for a packet, from its first byte to its last.
const PACKET_TIMEOUT_US: u64 = 2_000_000;
/// The time limit for a request's body, from the end of its head.
const BODY_TIMEOUT_US: u64 = 3_000_000;
/// The time within which the client must close the connection after the last answer.
const CLOSE_TIMEOUT_US: u64 = 1_000_000;
/// The number of consecutive refused requests after which a connection is closed.
const MAX_FAULTS: u32 = 8;
/// The interval at which the connections' time limits are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The configuration that may change while the node runs.
pub struct ReloadableConfig {
    pub allowed_peers: AllowedPeers,
    pub rules: Rules,
    /// The tenants' quotas that the control plane has distributed.
    pub quotas: Arc<CachedQuotas>,
}

/// The AJP ingress of a node.
pub struct AjpIngress {
    core: Arc<SharedState>,
    max_packet_bytes: usize,
    max_connections: usize,
    idle_timeout_us: u64,
    config: Mutex<Arc<ReloadableConfig>>,
    /// Generates ids for requests without one.
    id_generator: Mutex<fastrand::Rng>,
    table: Mutex<ConnectionTable>,
    /// The source of tenants' quotas, where a control plane is configured.
    configuration: OnceLock<ConfigurationHandle>,
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
    send_queue: SendQueue,
    state: Mutex<ConnectionState>,
}

struct ConnectionState {
    state_machine: StateMachine,
    /// The current request, or the one whose body is being received.
    request: Option<PendingRequest>,
    body: Vec<u8>,
    /// The RPC whose answer is pending.
    rpc: Option<RpcId>,
    /// The number of requests that this connection has started.
    serial: u64,
    used_us: u64,
    /// Whether an RPC from this connection has run.
    is_proven: bool,
    /// Whether the connection is to be closed to release its capacity.
    is_evicted: bool,
    /// Whether the connection is closed, although the peer may not have received the close yet.
    is_closed: bool,
}

/// A request whose head has been read.
struct PendingRequest {
    target: RequestTarget,
    /// The Unix time at which the head was read.
    read_ms: u64,
    /// The quota that the request counts against, as in force at that time.
    tenant: Option<Tenant>,
}

impl AjpIngress {
    /// Returns an ingress for up to `max_connections`, with packets of up to `max_packet_bytes`. `seed` is that of generated
    /// ids. It must differ between processes: an id that an earlier process has given stands for a request that is over.
    pub fn new(
        core: Arc<SharedState>,
        config: ReloadableConfig,
        max_packet_bytes: usize,
        max_connections: usize,
        idle_timeout_us: u64,
        seed: u64,
    ) -> Arc<AjpIngress> {
        let id_generator = Mutex::new(fastrand::Rng::with_seed(seed ^ 0x616a_7031_332f_6964));
        let (config, table) = (Mutex::new(Arc::new(config)), Mutex::default());
        let configuration = OnceLock::new();
        Arc::new(AjpIngress {
            core,
            max_packet_bytes,
            max_connections,
            idle_timeout_us,
            config,
            id_generator,
            table,
            configuration,
        })
    }

    /// Sets the source from which tenants' quotas are requested.
    pub fn set_configuration(&self, configuration: ConfigurationHandle) {
        let _ = self.configuration.set(configuration);
    }

    /// Returns the quota that an RPC of this tenant counts against: the distributed quota, or else the one in the node's
    /// file. A tenant whose quota is still being fetched counts as within the quota.
    fn quota(&self, config: &ReloadableConfig, tenant: &str) -> Option<Tenant> {
        let Some(configuration) = self.configuration.get() else {
            return self.core.deployment.tenant(tenant);
        };
        if let Some((tenant, cached)) = config.quotas.get_key_value(tenant) {
            configuration.record_quota_use(tenant.clone());
            return cached.quota();
        }
        configuration.request_quota(tenant.into());
        self.core.deployment.tenant(tenant)
    }

    /// Replaces the configuration and returns the previous one. The caller keeps it until no request uses it, because
    /// freeing a configuration with many routes takes time, which must not delay a request.
    pub fn replace_config(&self, config: ReloadableConfig) -> Arc<ReloadableConfig> {
        let config = Arc::new(config);
        std::mem::replace(&mut *self.config.lock().unwrap_or_else(|poisoned| poisoned.into_inner()), config)
    }

    /// Wakes connections that have reached a time limit, forever.
    pub fn sweep(&self) {
        loop {
            may::coroutine::sleep(CHECK_INTERVAL);
            let now_us = self.core.clock.now_us();
            for connection in self.all() {
                if connection
                    .lock()
                    .state_machine
                    .timeout_at_us()
                    .is_some_and(|timeout_at_us| now_us >= timeout_at_us)
                {
                    connection.send_queue.wake();
                }
            }
        }
    }

    /// Starts to drain: requests are still answered, and each connection is closed after its next answer.
    pub fn drain(&self) {
        self.lock().is_draining = true;
        self.all().iter().for_each(|connection| connection.lock().state_machine.drain());
    }

    /// Shuts the write side of each connection once its queue is written.
    pub fn request_close(&self) {
        self.all().iter().for_each(|connection| connection.send_queue.request_close(CloseRequest::Draining));
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.lock().connections.len()
    }

    fn all(&self) -> Vec<Arc<Connection>> {
        self.lock().connections.values().cloned().collect()
    }

    fn config(&self) -> Arc<ReloadableConfig> {
        self.config.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn limits(&self) -> Limits {
        Limits {
            first_packet_timeout_us: FIRST_PACKET_TIMEOUT_US,
            packet_timeout_us: PACKET_TIMEOUT_US,
            body_timeout_us: BODY_TIMEOUT_US,
            idle_timeout_us: self.idle_timeout_us,
            close_timeout_us: CLOSE_TIMEOUT_US,
            max_body_bytes: MAX_BODY_BYTES,
            max_consecutive_faults: MAX_FAULTS,
        }
    }

    /// Wakes every connection after a pause.
    pub fn recheck_connections(&self) {
        self.all().iter().for_each(|connection| connection.send_queue.wake());
    }

    /// Adds a new connection to the table.
    fn register(&self) -> (u64, Arc<Connection>) {
        let now_us = self.core.clock.now_us();
        let mut table = self.lock();
        let mut state_machine = StateMachine::new(now_us, self.limits());
        if table.is_draining {
            state_machine.drain();
        }
        let state = ConnectionState {
            state_machine,
            request: None,
            body: Vec::new(),
            rpc: None,
            serial: 0,
            used_us: now_us,
            is_proven: false,
            is_evicted: false,
            is_closed: false,
        };
        table.next_number += 1;
        let number = table.next_number;
        let connection =
            Arc::new(Connection { number, send_queue: SendQueue::default(), state: Mutex::new(state) });
        table.connections.insert(number, connection.clone());
        (number, connection)
    }

    fn serve(self: &Arc<Self>, stream: &TcpStream, number: u64, connection: &Arc<Connection>) {
        let mut handler = RequestHandler { ingress: self, connection, has_client_departed: false };
        let reason = match stream.set_nodelay(true) {
            Ok(()) => {
                drive_connection(stream, &connection.send_queue, None, self.max_packet_bytes, &mut handler)
            }
            Err(err) => CloseReason::from_io_error(&err),
        };
        let mut actions = RequestedActions::default();
        {
            let mut state = connection.lock();
            state.is_closed = true;
            state.state_machine.disconnected(&mut actions);
        }
        match &reason {
            CloseReason::Malformed(_) | CloseReason::MessageTooLong => {
                tracing::warn!(part = "ajp", "connection closed: {reason}")
            }
            _ => tracing::debug!(
                part = "ajp",
                "connection closed: {reason}; {} RPCs open",
                u8::from(actions.gone)
            ),
        }
        let rpc = connection.lock().rpc.take();
        if let Some(id) = rpc.filter(|_| actions.gone) {
            self.core.coordinator.caller_left(&id);
        }
        close_gracefully(stream, &reason, || self.count() >= self.max_connections);
        self.lock().connections.remove(&number);
    }
}

impl ConnectionListener for AjpIngress {
    const PART: &'static str = "ajp";

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

    fn may_connect(&self, from: IpAddr) -> bool {
        self.config().allowed_peers.may_connect(from)
    }

    /// Closes an idle connection where the table is full. Without this, connections that send nothing, or one request, and
    /// stay open would keep other clients out.
    fn ensure_capacity(&self) -> bool {
        let table = self.lock();
        if table.connections.len() < self.max_connections {
            return true;
        }
        let usage = |(number, connection): (&u64, &Arc<Connection>)| {
            let state = connection.lock();
            let priority = RetentionPriority { is_proven: state.is_proven, last_used_us: state.used_us };
            let priority = state.state_machine.idle_since_us().map(|_| priority);
            ConnectionUsage { number: *number, is_closing: state.is_evicted || state.is_closed, priority }
        };
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
        evicted.send_queue.wake();
        has_capacity
    }

    fn serve_connection(self: &Arc<Self>, stream: TcpStream) {
        let (number, connection) = self.register();
        let ingress = self.clone();
        may::go!(move || ingress.serve(&stream, number, &connection));
    }
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// The client that waits for the answer to one RPC, by AJP.
struct AjpClient {
    ingress: Arc<AjpIngress>,
    connection: Arc<Connection>,
    /// The value of the connection's serial for the request.
    serial: u64,
}

impl DownstreamClient for AjpClient {
    fn awaits_answer(&self) -> bool {
        let state = self.connection.lock();
        state.serial == self.serial && state.state_machine.has_request_in_flight()
    }

    fn answer(&self, answer: Answer, signal: Option<f64>) {
        let may_reuse = {
            let mut state = self.connection.lock();
            if state.serial != self.serial {
                return;
            }
            let Some(may_reuse) =
                state.state_machine.response_ready(matches!(answer, Answer::InvalidRequest(_)))
            else {
                return;
            };
            (state.rpc, state.used_us) = (None, self.ingress.core.clock.now_us());
            may_reuse
        };
        self.connection.send_queue.push(self.ingress.packets(answer, signal, may_reuse));
    }

    fn address(&self) -> ClientAddress {
        ClientAddress {
            is_ajp: true,
            connection: self.connection.number,
            message_id: String::new(),
            serial: self.serial,
        }
    }

    /// Has no effect here: [`DownstreamClient::answer`] counts the fault, as a connection has one RPC in flight at a time.
    fn record_fault(&self) {}

    fn mark_trusted(&self) {
        let mut state = self.connection.lock();
        state.state_machine.reset_faults();
        state.is_proven = true;
    }
}
