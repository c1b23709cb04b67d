//! Assembles the parts of a node from its files and from the state of a predecessor, and starts them.

use super::Node;
use crate::clock::Clock;
use crate::close_reason::{CallResult, CloseReason};
use crate::configuration::activation::prepare_configuration;
use crate::configuration::agent::PreparedAgent;
use crate::coordinator::{
    CoordinatorNotifications, EventSender, IdempotencyKey, IncomingRequest, RequestCoordinator, RequestEvent,
    RequestHandle,
};
use crate::handover::received_state::ReceivedState;
use crate::handover::records::{CallRecord, ClientAddress, RpcRecord, UpstreamRecord};
use crate::idempotency_keys::IdempotencyKeyStore;
use crate::interfaces::{Answer, DownstreamClient, UpstreamClient};
use crate::net::ajp_ingress::{self, AjpIngress, ReloadableConfig};
use crate::net::ajp_upstream::AjpUpstreamClient;
use crate::net::dispatchers::{self, Dispatchers};
use crate::net::executor::{gauge_channel, Executor};
use crate::net::line_upstream::LineUpstreamClient;
use crate::net::listener::accept_connections;
use crate::net::{buffered_connection::stream_from_descriptor, directory, status};
use crate::request_state::{PlacedCall, RequestState, UpstreamCall};
use crate::request_task::OpenRequest;
use crate::shared_state::{ProcessLimits, SharedState};
use may::net::TcpListener;
use may::sync::mpsc::{channel, Sender};
use ochrewalk::deployment::Placement;
use ochrewalk::host::{Effect, RpcId, Stopping};
use ochrewalk_operator_config::OperatorConfig;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd};
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

/// The descriptors reserved for anything but connections of dispatchers and of the upstream: the listener, two links
/// and their replacements, the runtime's own descriptors, and the standard streams.
const RESERVED_DESCRIPTORS: usize = 24;
/// The descriptors reserved for the AJP ingress in addition to its connections: its listener, twice, and connections
/// that are closing.
const AJP_RESERVED_DESCRIPTORS: usize = 10;
/// The divisor that gives the share of all descriptors that upstream connections may use. Dispatchers use half of all
/// descriptors at most.
const UPSTREAM_DESCRIPTOR_DIVISOR: usize = 8;
/// The minimal number of dispatcher connections for which a node starts.
const MIN_DISPATCHER_CONNECTIONS: usize = 8;

/// Binds a listener to an address that no other process listens on. The runtime's listeners may share a port between
/// processes; the exclusive bind before guards against two nodes on one address, each with half of the callers.
pub(super) fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let exclusive = std::net::TcpListener::bind(address);
    exclusive
        .and_then(|exclusive| {
            drop(exclusive);
            TcpListener::bind(address)
        })
        .map_err(|err| format!("cannot listen on {address}: {err}"))
}

/// A node that is assembled and not started yet.
pub(super) struct AssembledNode {
    node: Arc<Node>,
    name: String,
    notifications: CoordinatorNotifications,
    listener: TcpListener,
    ajp_listener: Option<TcpListener>,
    status_socket: Option<PathBuf>,
    resumed: ResumedState,
    agent: Option<PreparedAgent>,
}

/// The connections and requests of the predecessor that this process continues.
#[derive(Default)]
pub(super) struct ResumedState {
    json_connections: Vec<(Arc<dispatchers::Connection>, OwnedFd)>,
    ajp_connections: Vec<(Arc<ajp_ingress::Connection>, OwnedFd)>,
    requests: Vec<(Arc<OpenRequest>, RequestHandle)>,
    /// The results of calls that were not handed over, for the requests that wait for them.
    call_results: Vec<(EventSender, CallResult)>,
    executor_link: Option<OwnedFd>,
    upstream: Option<(UpstreamRecord, Vec<OwnedFd>, HashMap<RpcId, EventSender>)>,
}

/// Assembles all parts of a node, from the state of a predecessor where there is one.
pub(super) fn assemble(
    placement: &Placement,
    operators: OperatorConfig,
    digest: u64,
    mut received: Option<ReceivedState>,
) -> Result<AssembledNode, String> {
    let mut listeners = received
        .as_mut()
        .map(|received| std::mem::take(&mut received.listeners))
        .unwrap_or_default()
        .into_iter();
    let mut listener = |address: SocketAddr| match listeners.next() {
        // SAFETY: the predecessor passed this descriptor for this listener only, and nothing else owns it.
        Some(passed) => Ok(unsafe { TcpListener::from_raw_fd(passed.into_raw_fd()) }),
        None => listen(address),
    };
    let json_listener = listener(placement.listen)?;
    let ajp_listener =
        operators.ajp_listener.as_ref().map(|settings| listener(settings.listen)).transpose()?;
    let clock =
        received.as_ref().map_or_else(Clock::start, |received| Clock::resume(received.node.clock_base_ns));
    let memory_bytes = placement.memory_mb as usize * 1024 * 1024;
    let deployment = placement.deployment.clone();
    let can_pause = deployment.machine.stopping == Stopping::Pause;
    let fingerprint_key = received.as_ref().map_or_else(
        || (fastrand::u64(..), fastrand::u64(..)),
        |received| (received.node.fingerprint_key, received.node.fingerprint_key_second_half),
    );
    let rpcs = received.as_mut().map(|received| std::mem::take(&mut received.rpcs.rpcs)).unwrap_or_default();
    let method_count = deployment.methods.len();
    if rpcs.iter().any(|rpc| rpc.method as usize >= method_count) {
        return Err("an RPC of an unknown method".into());
    }
    let incoming: Vec<IncomingRequest> = rpcs.iter().map(incoming_request).collect();
    let ids: HashSet<RpcId> = incoming.iter().map(|rpc| rpc.id.clone()).collect();
    let (coordinator, notifications, handles) = match &mut received {
        Some(received) => {
            let keys_sent_ahead = std::mem::replace(&mut received.keys, IdempotencyKeyStore::new(0));
            RequestCoordinator::resume(
                clock,
                deployment.clone(),
                placement.seed,
                memory_bytes / 8,
                &mut received.node,
                keys_sent_ahead,
                &incoming,
            )?
        }
        None => {
            let (coordinator, notifications) =
                RequestCoordinator::new(clock, deployment.clone(), placement.seed, memory_bytes / 8);
            (coordinator, notifications, Vec::new())
        }
    };
    let max_upstream_connections = operators
        .ajp_upstream
        .as_ref()
        .map_or(placement.descriptors / UPSTREAM_DESCRIPTOR_DIVISOR, |upstream| upstream.max_connections);
    let runs = incoming.iter().zip(&rpcs).zip(&handles).filter(|((_, rpc), _)| rpc.is_running);
    let may_repeat = |rpc: &IncomingRequest| deployment.methods[rpc.method].effect == Effect::Idempotent;
    let runs =
        runs.map(|((rpc, _), handle)| (rpc.id.clone(), may_repeat(rpc), handle.event_sender())).collect();
    let (executor, executor_link) = match &mut received {
        Some(received) => {
            let (record, link) = (std::mem::take(&mut received.executor), received.executor_link.take());
            (Executor::resume(placement.executor, can_pause, record, runs), link)
        }
        None => (Executor::new(placement.executor, can_pause), None),
    };
    let status_socket = operators.ajp_upstream.as_ref().and_then(|upstream| upstream.status_socket.clone());
    let ajp_upstream = operators
        .ajp_upstream
        .clone()
        .map(|settings| AjpUpstreamClient::new(settings, clock, placement.seed));
    let line_upstream = placement
        .upstream
        .filter(|_| ajp_upstream.is_none())
        .map(|address| LineUpstreamClient::new(address, clock, max_upstream_connections));
    let upstream: Option<Arc<dyn UpstreamClient>> = match (&ajp_upstream, &line_upstream) {
        (Some(ajp_upstream), _) => Some(Arc::new(ajp_upstream.clone())),
        (None, Some(line_upstream)) => Some(Arc::new(line_upstream.clone())),
        (None, None) => None,
    };
    let shared = Arc::new(SharedState::new(
        clock,
        coordinator,
        deployment,
        executor,
        upstream,
        ProcessLimits { memory_bytes, descriptors: placement.descriptors },
        fingerprint_key,
    ));
    // Each ingress has descriptors of its own, so that neither can use up those of the other: its connections, a few
    // that are closing, and its listener.
    let ajp_descriptors = operators
        .ajp_listener
        .as_ref()
        .map_or(0, |listener| listener.max_connections + AJP_RESERVED_DESCRIPTORS);
    let max_dispatchers = placement
        .descriptors
        .saturating_sub(RESERVED_DESCRIPTORS + max_upstream_connections + ajp_descriptors);
    if max_dispatchers < MIN_DISPATCHER_CONNECTIONS {
        return Err(format!(
            "{max_dispatchers} descriptors are left for dispatchers, {MIN_DISPATCHER_CONNECTIONS} are needed"
        ));
    }
    let dispatchers = Arc::new(Dispatchers::new(shared.clone(), max_dispatchers));
    let directory_address = Mutex::new(placement.directory);
    let ajp_ingress = operators.ajp_listener.clone().map(|settings| {
        let config = ReloadableConfig {
            allowed_peers: settings.allowed_peers,
            rules: settings.rules,
            quotas: Arc::default(),
        };
        let (max_packet_bytes, idle_us) = (settings.max_packet_bytes, settings.idle_timeout_us);
        AjpIngress::new(
            shared.clone(),
            config,
            max_packet_bytes,
            settings.max_connections,
            idle_us,
            fastrand::u64(..),
        )
    });
    let agent = prepare_configuration(placement, &operators, ajp_ingress.as_ref(), ajp_upstream.as_ref())
        .map_err(|error| error.to_string())?;
    let configuration = agent.as_ref().map(|agent| agent.handle().clone());
    let mut resumed = ResumedState { executor_link, ..ResumedState::default() };
    if let Some(received) = received {
        resumed.json_connections = dispatchers.resume(received.json.record, received.json.descriptors, &ids);
        if let Some(ingress) = &ajp_ingress {
            resumed.ajp_connections = ingress.resume(received.ajp.record, received.ajp.descriptors, &ids);
        }
        let moved_calls: HashSet<&String> =
            received.upstream.record.connections.iter().flat_map(|connection| &connection.calls).collect();
        for ((rpc, record), handle) in incoming.into_iter().zip(rpcs).zip(handles) {
            let is_placed = record.call.as_ref().is_some_and(|call| call.is_placed);
            if is_placed && !moved_calls.contains(&record.id) {
                let is_lost = received.upstream.record.lost_calls.contains(&record.id);
                let result = if is_lost {
                    CallResult::ConnectionClosed(CloseReason::Moved)
                } else {
                    CallResult::Unsent
                };
                resumed.call_results.push((handle.event_sender(), result));
            }
            let client = record.client.as_ref().and_then(|address| match (&ajp_ingress, address.is_ajp) {
                (Some(ingress), true) => ingress.client_at(address),
                (None, true) => None,
                (_, false) => dispatchers.client_at(address),
            });
            let state = RequestState {
                awaits_answer: record.awaits_answer && client.is_some(),
                is_running: record.is_running,
                call: record.call.map(upstream_call),
            };
            let request = OpenRequest::new(
                &shared,
                rpc,
                &record.body,
                client.unwrap_or_else(|| Box::new(DisconnectedClient)),
                state,
            );
            resumed.requests.push((Arc::new(request), handle));
        }
        let event_senders = resumed
            .requests
            .iter()
            .map(|(request, handle)| (request.rpc.id.clone(), handle.event_sender()))
            .collect();
        resumed.upstream = Some((received.upstream.record, received.upstream.descriptors, event_senders));
    }
    let descriptors = placement.descriptors;
    let node = Arc::new(Node {
        shared,
        line_upstream,
        ajp_upstream,
        ajp_ingress,
        directory_address,
        dispatchers,
        memory_bytes,
        descriptors,
        digest,
        settings_fingerprint: AtomicU64::new(0),
        reading_us: AtomicU64::new(0),
        configuration,
    });
    let name = placement.name.clone();
    Ok(AssembledNode {
        node,
        name,
        notifications,
        listener: json_listener,
        ajp_listener,
        status_socket,
        resumed,
        agent,
    })
}

/// Converts the record of an open RPC to the request that is resumed at the coordinator.
pub(super) fn incoming_request(record: &RpcRecord) -> IncomingRequest {
    let idempotency_key = record
        .idempotency_key
        .as_ref()
        .map(|key| IdempotencyKey { key: key.as_str().into(), fingerprint: record.fingerprint });
    let (method, time_left_us) = (record.method as usize, record.time_left_us);
    // The tenant is left out: the admission controller has charged the RPC to its quota already.
    let (id, tenant) = (record.id.as_str().into(), None);
    IncomingRequest {
        id,
        method,
        memory_kb: record.memory_kb,
        arrived_unix_ms: record.arrived_unix_ms,
        time_left_us,
        idempotency_key,
        tenant,
    }
}

/// Converts the record of an upstream call to the call that the request's state machine continues.
pub(super) fn upstream_call(record: CallRecord) -> UpstreamCall {
    let placed = PlacedCall { placed_at_us: record.placed_at_us, until_us: record.until_us };
    UpstreamCall { pos: record.pos, body: record.body, placed: record.is_placed.then_some(placed) }
}

/// The client of a request whose connection is closed.
pub(super) struct DisconnectedClient;

impl DownstreamClient for DisconnectedClient {
    fn awaits_answer(&self) -> bool {
        false
    }
    fn answer(&self, _answer: Answer, _load_signal: Option<f64>) {}
    fn address(&self) -> ClientAddress {
        ClientAddress::default()
    }
    fn record_fault(&self) {}
    fn mark_trusted(&self) {}
}

/// Starts all parts of a node. A message to the returned sender has the present health reported to the directory at
/// once.
pub(super) fn start(assembled: AssembledNode, placement: &Placement) -> (Arc<Node>, Sender<()>) {
    let AssembledNode { node, name, notifications, listener, ajp_listener, status_socket, resumed, agent } =
        assembled;
    if let Some(Err(error)) = agent.map(PreparedAgent::start) {
        tracing::error!(
            part = "config",
            "configuration agent not started, no updates will be received: {error}"
        );
    }
    tracing::info!(part = "json-rpc", place = %placement.listen, "node {name} listens");
    if let (Some(ingress), Some(listener)) = (node.ajp_ingress.clone(), ajp_listener) {
        tracing::info!(part = "ajp", "node {name} listens");
        let swept = ingress.clone();
        may::go!(move || swept.sweep());
        may::go!(move || accept_connections(&ingress, &listener));
    }
    if let Some(ajp_upstream) = node.ajp_upstream.clone() {
        if let Some(status_socket) = status_socket {
            status::serve(&status_socket, ajp_upstream.clone());
        }
        may::go!(move || ajp_upstream.maintain());
    }
    let shared = node.shared.clone();
    let (report_now, report_requests) = channel();
    let (for_executor, health_changed) = (shared.clone(), report_now.clone());
    let executor_link = resumed.executor_link.map(stream_from_descriptor);
    may::go!(move || for_executor.executor.maintain_connection(
        &for_executor.coordinator,
        &health_changed,
        executor_link
    ));
    if let Some(line_upstream) = node.line_upstream.clone() {
        if let Some((record, descriptors, event_senders)) = resumed.upstream {
            line_upstream.resume(record, descriptors, &event_senders);
        }
        may::go!(move || line_upstream.maintain());
    }
    for (request, handle) in resumed.requests {
        shared.resume_request(request, handle);
    }
    resumed
        .call_results
        .into_iter()
        .for_each(|(events, result)| events.send(RequestEvent::CallEnded(result)));
    node.dispatchers.serve_resumed(resumed.json_connections);
    if let Some(ingress) = &node.ajp_ingress {
        ingress.serve_resumed(resumed.ajp_connections);
    }
    let for_decisions = shared.clone();
    may::go!(move || loop {
        for_decisions.coordinator.decide_when_notified(&notifications.state_changed);
    });
    let for_timer = shared;
    may::go!(move || {
        let gauge_replies = gauge_channel();
        loop {
            for_timer.coordinator.wait_for_timer(&notifications.timer_moved);
            let gauges = for_timer.executor.gauges(&gauge_replies).unwrap_or_default();
            for_timer.coordinator.tick(for_timer.deployment.gauges(|index| gauges.get(index).copied()));
        }
    });
    let reported = node.clone();
    may::go!(move || {
        let address = || *reported.directory_address.lock().expect("no panic occurs under this lock");
        let is_healthy = || reported.shared.coordinator.health_state().is_healthy;
        directory::report_periodically(address, &name, is_healthy, &report_requests);
    });
    let swept = node.dispatchers.clone();
    may::go!(move || swept.sweep());
    let dispatchers = node.dispatchers.clone();
    may::go!(move || accept_connections(&dispatchers, &listener));
    (node, report_now)
}
