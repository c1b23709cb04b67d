//! The parts of a node: put together from its files, and from what a predecessor held, then started.

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
use crate::shared_state::SharedState;
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

/// Descriptors that are not dispatchers' connections, nor below: the listener, two links and their successors,
/// the runtime's own, the standard streams.
const OWN_DESCRIPTORS: usize = 24;
/// Beside its connections: the AJP front's listener, twice, and those that are ending.
const AJP_DESCRIPTORS: usize = 10;
/// One in so many descriptors may be a connection below; dispatchers take half of them at most.
const OF_BELOW: usize = 8;
/// Fewer connections than this make no front.
const LEAST_DISPATCHERS: usize = 8;

/// May lets processes share a port. Guards against two nodes on one address, each with half of the callers.
pub(super) fn listen(at: SocketAddr) -> Result<TcpListener, String> {
    let alone = std::net::TcpListener::bind(at);
    alone
        .and_then(|alone| {
            drop(alone);
            TcpListener::bind(at)
        })
        .map_err(|err| format!("cannot listen on {at}: {err}"))
}

/// A node that is put together and does nothing yet.
pub(super) struct Built {
    node: Arc<Node>,
    name: String,
    stirred: CoordinatorNotifications,
    listener: TcpListener,
    ajp_listener: Option<TcpListener>,
    status: Option<PathBuf>,
    resumed: Resumed,
    agent: Option<PreparedAgent>,
}

/// What goes on from the process before.
#[derive(Default)]
pub(super) struct Resumed {
    json: Vec<(Arc<dispatchers::Connection>, OwnedFd)>,
    ajp: Vec<(Arc<ajp_ingress::Connection>, OwnedFd)>,
    lives: Vec<(Arc<OpenRequest>, RequestHandle)>,
    /// News for lives whose calls did not come along.
    ends: Vec<(EventSender, CallResult)>,
    link: Option<OwnedFd>,
    below: Option<(UpstreamRecord, Vec<OwnedFd>, HashMap<RpcId, EventSender>)>,
}

/// Puts every part together, from what another process held where there is something.
pub(super) fn build(
    placement: &Placement,
    operators: OperatorConfig,
    digest: u64,
    mut taken: Option<ReceivedState>,
) -> Result<Built, String> {
    let mut listeners =
        taken.as_mut().map(|taken| std::mem::take(&mut taken.listeners)).unwrap_or_default().into_iter();
    let mut listener = |at: SocketAddr| match listeners.next() {
        // SAFETY: the descriptor came for this use alone.
        Some(passed) => Ok(unsafe { TcpListener::from_raw_fd(passed.into_raw_fd()) }),
        None => listen(at),
    };
    let json_listener = listener(placement.listen)?;
    let ajp_listener =
        operators.ajp_listener.as_ref().map(|settings| listener(settings.listen)).transpose()?;
    let clock = taken.as_ref().map_or_else(Clock::start, |taken| Clock::resume(taken.node.clock_base_ns));
    let bytes = placement.memory_mb as usize * 1024 * 1024;
    let deployment = placement.deployment.clone();
    let pauses = deployment.machine.stopping == Stopping::Pause;
    let print_key = taken.as_ref().map_or_else(
        || (fastrand::u64(..), fastrand::u64(..)),
        |t| (t.node.fingerprint_key, t.node.fingerprint_key_more),
    );
    let rpcs = taken.as_mut().map(|taken| std::mem::take(&mut taken.rpcs.rpcs)).unwrap_or_default();
    let known = deployment.methods.len();
    if rpcs.iter().any(|rpc| rpc.method as usize >= known) {
        return Err("an RPC of an unknown method".into());
    }
    let incoming: Vec<IncomingRequest> = rpcs.iter().map(incoming).collect();
    let ids: HashSet<RpcId> = incoming.iter().map(|rpc| rpc.id.clone()).collect();
    let (gate, stirred, tickets) = match &mut taken {
        Some(taken) => {
            let ahead = std::mem::replace(&mut taken.keys, IdempotencyKeyStore::new(0));
            RequestCoordinator::resume(
                clock,
                deployment.clone(),
                placement.seed,
                bytes / 8,
                &mut taken.node,
                ahead,
                &incoming,
            )?
        }
        None => {
            let (gate, stirred) =
                RequestCoordinator::new(clock, deployment.clone(), placement.seed, bytes / 8);
            (gate, stirred, Vec::new())
        }
    };
    let most_links = operators
        .ajp_upstream
        .as_ref()
        .map_or(placement.descriptors / OF_BELOW, |upstream| upstream.max_connections);
    let runs = incoming.iter().zip(&rpcs).zip(&tickets).filter(|((_, rpc), _)| rpc.running);
    let again = |rpc: &IncomingRequest| deployment.methods[rpc.method].effect == Effect::Idempotent;
    let runs = runs.map(|((rpc, _), ticket)| (rpc.id.clone(), again(rpc), ticket.event_sender())).collect();
    let (executor, link) = match &mut taken {
        Some(taken) => {
            let (kept, link) = (std::mem::take(&mut taken.executor), taken.executor_link.take());
            (Executor::resume(placement.executor, pauses, kept, runs), link)
        }
        None => (Executor::new(placement.executor, pauses), None),
    };
    let status = operators.ajp_upstream.as_ref().and_then(|upstream| upstream.status_socket.clone());
    let by_ajp = operators
        .ajp_upstream
        .clone()
        .map(|settings| AjpUpstreamClient::new(settings, clock, placement.seed));
    let store = placement
        .upstream
        .filter(|_| by_ajp.is_none())
        .map(|at| LineUpstreamClient::new(at, clock, most_links));
    let below: Option<Arc<dyn UpstreamClient>> = match (&by_ajp, &store) {
        (Some(by_ajp), _) => Some(Arc::new(by_ajp.clone())),
        (None, Some(store)) => Some(Arc::new(store.clone())),
        (None, None) => None,
    };
    let core = Arc::new(SharedState::new(clock, gate, deployment, executor, below, bytes, print_key));
    // Each front has descriptors of its own, so that neither can take the other's: its connections, a few that
    // are ending, its listener.
    let of_ajp =
        operators.ajp_listener.as_ref().map_or(0, |listener| listener.max_connections + AJP_DESCRIPTORS);
    let most = placement.descriptors.saturating_sub(OWN_DESCRIPTORS + most_links + of_ajp);
    if most < LEAST_DISPATCHERS {
        return Err(format!("{most} descriptors are left for dispatchers, {LEAST_DISPATCHERS} are needed"));
    }
    let dispatchers = Arc::new(Dispatchers::new(core.clone(), most));
    let directory = Mutex::new(placement.directory);
    let ajp = operators.ajp_listener.clone().map(|settings| {
        let open = ReloadableConfig {
            allowed_peers: settings.allowed_peers,
            rules: settings.rules,
            quotas: Arc::default(),
        };
        let (packet, idle_us) = (settings.max_packet_bytes, settings.idle_timeout_us);
        AjpIngress::new(core.clone(), open, packet, settings.max_connections, idle_us, placement.seed)
    });
    let agent = prepare_configuration(placement, &operators, ajp.as_ref(), by_ajp.as_ref())
        .map_err(|error| error.to_string())?;
    let configuration = agent.as_ref().map(|agent| agent.handle().clone());
    let mut resumed = Resumed { link, ..Resumed::default() };
    if let Some(taken) = taken {
        resumed.json = dispatchers.resume(taken.json.record, taken.json.descriptors, &ids);
        if let Some(front) = &ajp {
            resumed.ajp = front.resume(taken.ajp.record, taken.ajp.descriptors, &ids);
        }
        let moved: HashSet<&String> =
            taken.upstream.record.links.iter().flat_map(|link| &link.calls).collect();
        for ((rpc, kept), ticket) in incoming.into_iter().zip(rpcs).zip(tickets) {
            let placed = kept.call.as_ref().is_some_and(|call| call.placed);
            if placed && !moved.contains(&kept.id) {
                let lost = taken.upstream.record.lost.contains(&kept.id);
                let end =
                    if lost { CallResult::ConnectionClosed(CloseReason::Moved) } else { CallResult::Unsent };
                resumed.ends.push((ticket.event_sender(), end));
            }
            let asker = kept.client.as_ref().and_then(|at| match (&ajp, at.by_ajp) {
                (Some(front), true) => front.client_at(at),
                (None, true) => None,
                (_, false) => dispatchers.client_at(at),
            });
            let life = RequestState {
                awaits_answer: kept.owed && asker.is_some(),
                is_running: kept.running,
                call: kept.call.map(call),
            };
            let living =
                OpenRequest::new(&core, rpc, &kept.body, asker.unwrap_or_else(|| Box::new(Nobody)), life);
            resumed.lives.push((Arc::new(living), ticket));
        }
        let posts = resumed
            .lives
            .iter()
            .map(|(living, ticket)| (living.rpc.id.clone(), ticket.event_sender()))
            .collect();
        resumed.below = Some((taken.upstream.record, taken.upstream.descriptors, posts));
    }
    let (memory_bytes, descriptors) = (bytes, placement.descriptors);
    let node = Arc::new(Node {
        core,
        store,
        by_ajp,
        ajp,
        directory,
        dispatchers,
        memory_bytes,
        descriptors,
        digest,
        settings: AtomicU64::new(0),
        reading_us: AtomicU64::new(0),
        configuration,
    });
    let name = placement.name.clone();
    Ok(Built { node, name, stirred, listener: json_listener, ajp_listener, status, resumed, agent })
}

pub(super) fn incoming(kept: &RpcRecord) -> IncomingRequest {
    let token =
        kept.token.as_ref().map(|key| IdempotencyKey { key: key.as_str().into(), fingerprint: kept.work });
    let (method, left_us) = (kept.method as usize, kept.left_us);
    // The module has counted it already.
    let (id, tenant) = (kept.id.as_str().into(), None);
    IncomingRequest {
        id,
        method,
        memory_kb: kept.kb,
        arrived_unix_ms: kept.ts_ms,
        time_left_us: left_us,
        idempotency_key: token,
        tenant,
    }
}

pub(super) fn call(kept: CallRecord) -> UpstreamCall {
    let placed = PlacedCall { placed_at_us: kept.at_us, until_us: kept.until_us };
    UpstreamCall { pos: kept.pos, body: kept.body, placed: kept.placed.then_some(placed) }
}

/// Whoever asked is not there any more.
pub(super) struct Nobody;

impl DownstreamClient for Nobody {
    fn awaits_answer(&self) -> bool {
        false
    }
    fn answer(&self, _answer: Answer, _signal: Option<f64>) {}
    fn address(&self) -> ClientAddress {
        ClientAddress::default()
    }
    fn record_fault(&self) {}
    fn mark_trusted(&self) {}
}

/// Starts every part. What is sent to the sender makes the directory hear of the present health at once.
pub(super) fn begin(built: Built, placement: &Placement) -> (Arc<Node>, Sender<()>) {
    let Built { node, name, stirred, listener, ajp_listener, status, resumed, agent } = built;
    if let Some(Err(why)) = agent.map(PreparedAgent::start) {
        tracing::error!(part = "config", "no changes come: {why}");
    }
    tracing::info!(part = "json-rpc", place = %placement.listen, "node {name} listens");
    if let (Some(front), Some(listener)) = (node.ajp.clone(), ajp_listener) {
        tracing::info!(part = "ajp", "node {name} listens");
        let of = front.clone();
        may::go!(move || of.sweep());
        may::go!(move || accept_connections(&front, &listener));
    }
    if let Some(by_ajp) = node.by_ajp.clone() {
        if let Some(status) = status {
            status::serve(&status, by_ajp.clone());
        }
        may::go!(move || by_ajp.maintain());
    }
    let core = node.core.clone();
    let (report_now, changed) = channel();
    let (of, report) = (core.clone(), report_now.clone());
    let link = resumed.link.map(stream_from_descriptor);
    may::go!(move || of.executor.maintain_connection(&of.coordinator, &report, link));
    if let Some(store) = node.store.clone() {
        if let Some((kept, descriptors, posts)) = resumed.below {
            store.resume(kept, descriptors, &posts);
        }
        may::go!(move || store.maintain());
    }
    for (living, ticket) in resumed.lives {
        core.resume_request(living, ticket);
    }
    resumed.ends.into_iter().for_each(|(post, end)| post.send(RequestEvent::CallEnded(end)));
    node.dispatchers.serve_resumed(resumed.json);
    if let Some(front) = &node.ajp {
        front.serve_resumed(resumed.ajp);
    }
    let of = core.clone();
    may::go!(move || loop {
        of.coordinator.decide_when_notified(&stirred.state_changed);
    });
    let of = core;
    may::go!(move || {
        let rows = gauge_channel();
        loop {
            of.coordinator.wait_for_timer(&stirred.timer_moved);
            let row = of.executor.gauges(&rows).unwrap_or_default();
            of.coordinator.tick(of.deployment.gauges(|at| row.get(at).copied()));
        }
    });
    let of = node.clone();
    may::go!(move || {
        let at = || *of.directory.lock().expect("never held over a panic");
        let healthy = || of.core.coordinator.health_state().is_healthy;
        directory::report_periodically(at, &name, healthy, &changed);
    });
    let of = node.dispatchers.clone();
    may::go!(move || of.sweep());
    let of = node.dispatchers.clone();
    may::go!(move || accept_connections(&of, &listener));
    (node, report_now)
}
