//! Takes a snapshot of the state of a paused process, for its successor.

use super::pause::{pause, resume};
use super::pending_snapshot::{PendingSnapshot, SnapshotResult};
use super::records::{AjpConnectionRecords, CallRecord, JsonRpcConnectionRecords, NodeRecord};
use super::records::{RpcRecord, RpcRecords};
use crate::node::Node;
use crate::request_state::UpstreamCall;
use crate::request_task::OpenRequest;
use prost::Message;
use std::os::fd::RawFd;
use std::time::Duration;
use thiserror::Error;

/// The time limit for calls to end on connections that cannot be handed over.
const MAX_UNMOVABLE_WAIT: Duration = Duration::from_millis(150);
/// The time limit for the node to process everything that it has read.
const MAX_QUIESCENCE_WAIT: Duration = Duration::from_millis(250);
/// The interval at which both are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The reason why no snapshot can be taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum SnapshotError {
    /// Input that was read was not processed in time.
    #[error("the running program did not become quiescent in time")]
    NotQuiescent,
}

/// A section of the state, as it is handed over.
pub(super) struct SectionState {
    pub(super) name: &'static str,
    pub(super) bytes: Vec<u8>,
    /// The descriptors to pass, valid as long as this process is paused.
    pub(super) descriptors: Vec<RawFd>,
}

impl SectionState {
    fn new(name: &'static str, record: &impl Message, descriptors: Vec<RawFd>) -> SectionState {
        SectionState { name, bytes: record.encode_to_vec(), descriptors }
    }
}

/// The connections of one protocol, and their descriptors in the same order.
type Connections<R> = (R, Vec<RawFd>);

/// Ends the pause, and has every connection checked for work.
pub(super) fn resume_node(node: &Node) {
    resume();
    if let Some(upstream) = &node.shared.upstream {
        upstream.set_calls_paused(false);
        upstream.recheck_connections();
    }
    node.shared.executor.recheck_connection();
    node.dispatchers.recheck_connections();
    if let Some(ingress) = &node.ajp_ingress {
        ingress.recheck_connections();
    }
}

/// Pauses this process and takes a snapshot of its complete state. Must run in a coroutine, as no other coroutine runs
/// while the state is checked and written. Where `keys_sent_ahead` is set, only the idempotency keys that have changed
/// since are written. Returns none, and lets the node continue, where the thread no longer waits for the result.
///
/// The thread that waits may give up at any time. The thread then resumes the node, and may begin another attempt, whose
/// coroutine runs only while this one sleeps. Therefore everything that this function has set after the thread gave up is
/// reverted before the next sleep, and nothing is changed after a sleep in which the thread gave up.
pub(super) fn take_snapshot(
    node: &Node,
    keys_sent_ahead: bool,
    pending: &PendingSnapshot,
) -> Option<SnapshotResult> {
    if !pending.is_awaited() {
        return None;
    }
    let clock = node.shared.clock;
    let deadline_us = |wait: Duration| clock.now_us() + wait.as_micros() as u64;
    if let Some(upstream) = &node.shared.upstream {
        upstream.set_calls_paused(true);
        let deadline_us = deadline_us(MAX_UNMOVABLE_WAIT);
        while upstream.has_unmovable_calls() && clock.now_us() < deadline_us {
            sleep_while_awaited(node, pending)?;
        }
    }
    pause();
    let deadline_us = deadline_us(MAX_QUIESCENCE_WAIT);
    loop {
        if let Some(sections) = sections_if_quiescent(node, keys_sent_ahead) {
            return Some(Ok(sections));
        }
        if clock.now_us() >= deadline_us {
            return Some(Err(SnapshotError::NotQuiescent));
        }
        sleep_while_awaited(node, pending)?;
    }
}

/// Lets other coroutines run. Returns none where the thread no longer waits for the snapshot.
fn sleep_while_awaited(node: &Node, pending: &PendingSnapshot) -> Option<()> {
    if !pending.is_awaited() {
        resume_node(node);
        return None;
    }
    may::coroutine::sleep(POLL_INTERVAL);
    pending.is_awaited().then_some(())
}

/// Returns all sections; none while input that was read is still being processed, or a connection is opening or closing.
fn sections_if_quiescent(node: &Node, keys_sent_ahead: bool) -> Option<Vec<SectionState>> {
    let json = node.dispatchers.snapshot()?;
    let ajp = match &node.ajp_ingress {
        Some(ingress) => Some(ingress.snapshot()?),
        None => None,
    };
    node.shared.coordinator.is_quiescent().then(|| sections(node, keys_sent_ahead, json, ajp))
}

fn sections(
    node: &Node,
    keys_sent_ahead: bool,
    (json, json_descriptors): Connections<JsonRpcConnectionRecords>,
    ajp: Option<Connections<AjpConnectionRecords>>,
) -> Vec<SectionState> {
    let shared = &node.shared;
    let node_record = node_record(node, keys_sent_ahead);
    let rpcs = RpcRecords { rpcs: shared.open_requests().values().map(|rpc| rpc_record(rpc)).collect() };
    let (executor, executor_link) = shared.executor.snapshot();
    let (upstream, upstream_descriptors) =
        shared.upstream.as_ref().map(|upstream| upstream.snapshot()).unwrap_or_default();
    let listeners = [
        node.dispatchers.listener_descriptor(),
        node.ajp_ingress.as_ref().and_then(|ingress| ingress.listener_descriptor()),
    ];
    let listeners = listeners.into_iter().flatten().collect();
    let mut sections = vec![
        SectionState::new("node", &node_record, Vec::new()),
        SectionState { name: "listeners", bytes: Vec::new(), descriptors: listeners },
        SectionState::new("rpcs", &rpcs, Vec::new()),
        SectionState::new("json", &json, json_descriptors),
        SectionState::new("executor", &executor, executor_link.into_iter().collect()),
        SectionState::new("below", &upstream, upstream_descriptors),
    ];
    if let Some((ajp, descriptors)) = ajp {
        sections.push(SectionState::new("ajp", &ajp, descriptors));
    }
    sections
}

fn node_record(node: &Node, keys_sent_ahead: bool) -> NodeRecord {
    let (fingerprint_key, fingerprint_key_more) = node.shared.fingerprint_key();
    let clock_base_ns = node.shared.clock.base_ns();
    let mut record = NodeRecord {
        clock_base_ns,
        fingerprint_key,
        fingerprint_key_second_half: fingerprint_key_more,
        ..NodeRecord::default()
    };
    node.shared.coordinator.snapshot(&mut record, keys_sent_ahead);
    record
}

fn rpc_record(request: &OpenRequest) -> RpcRecord {
    let state = request.lock();
    let idempotency_key = request.rpc.idempotency_key.as_ref();
    RpcRecord {
        id: request.rpc.id.to_string(),
        method: request.rpc.method as u32,
        memory_kb: request.rpc.memory_kb,
        arrived_unix_ms: request.rpc.arrived_unix_ms,
        time_left_us: request.rpc.time_left_us,
        idempotency_key: idempotency_key.map(|key| key.key.to_string()),
        fingerprint: idempotency_key.map_or(0, |key| key.fingerprint),
        body: request.body.to_string(),
        awaits_answer: state.awaits_answer,
        is_running: state.is_running,
        call: state.call.as_ref().map(call_record),
        client: state.awaits_answer.then(|| request.client.address()),
    }
}

fn call_record(call: &UpstreamCall) -> CallRecord {
    let placed = call.placed.unwrap_or_default();
    CallRecord {
        pos: call.pos,
        body: call.body.clone(),
        is_placed: call.placed.is_some(),
        placed_at_us: placed.placed_at_us,
        until_us: placed.until_us,
    }
}
