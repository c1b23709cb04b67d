//! What a paused process writes down for its successor.

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

/// How long calls on connections that cannot be handed over may take to end.
const MAX_UNMOVABLE_WAIT: Duration = Duration::from_millis(150);
/// How long everything that was read may take to be dealt with.
const MAX_REST_WAIT: Duration = Duration::from_millis(250);
/// How often these are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Why no snapshot can be taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum SnapshotError {
    /// Something that was read was not dealt with in time.
    #[error("it does not come to rest")]
    NotAtRest,
}

/// One section as it is handed over.
pub(super) struct SectionState {
    pub(super) name: &'static str,
    pub(super) bytes: Vec<u8>,
    /// Valid as long as this process is paused.
    pub(super) descriptors: Vec<RawFd>,
}

impl SectionState {
    fn new(name: &'static str, record: &impl Message, descriptors: Vec<RawFd>) -> SectionState {
        SectionState { name, bytes: record.encode_to_vec(), descriptors }
    }
}

/// Connections of one protocol, and their descriptors in the same order.
type Connections<R> = (R, Vec<RawFd>);

/// Ends the pause, and has every connection looked at again.
pub(super) fn resume_node(node: &Node) {
    resume();
    if let Some(below) = &node.core.upstream {
        below.set_calls_paused(false);
        below.recheck_connections();
    }
    node.core.executor.recheck_connection();
    node.dispatchers.recheck_connections();
    if let Some(front) = &node.ajp {
        front.recheck_connections();
    }
}

/// Pauses and writes all of the state down, in a coroutine: no other one runs between the first look and the last.
/// `keys_went_ahead` says that only idempotency keys that changed since are to be written. None where nobody waits for
/// the result any more; then the node goes on.
///
/// The thread that waits may give up at any moment. It resumes the node then, and may come again with another attempt,
/// whose coroutine runs only while this one sleeps. So what is set here after that thread gave up is taken back before
/// the next sleep, and nothing is touched after a sleep in which it gave up.
pub(super) fn take_snapshot(
    node: &Node,
    keys_went_ahead: bool,
    pending: &PendingSnapshot,
) -> Option<SnapshotResult> {
    if !pending.is_awaited() {
        return None;
    }
    let clock = node.core.clock;
    let deadline_us = |wait: Duration| clock.now_us() + wait.as_micros() as u64;
    if let Some(below) = &node.core.upstream {
        below.set_calls_paused(true);
        let deadline_us = deadline_us(MAX_UNMOVABLE_WAIT);
        while below.has_unmovable_calls() && clock.now_us() < deadline_us {
            sleep_while_awaited(node, pending)?;
        }
    }
    pause();
    let deadline_us = deadline_us(MAX_REST_WAIT);
    loop {
        if let Some(sections) = sections_at_rest(node, keys_went_ahead) {
            return Some(Ok(sections));
        }
        if clock.now_us() >= deadline_us {
            return Some(Err(SnapshotError::NotAtRest));
        }
        sleep_while_awaited(node, pending)?;
    }
}

/// Lets other coroutines run. None where nobody waits for the snapshot any more.
fn sleep_while_awaited(node: &Node, pending: &PendingSnapshot) -> Option<()> {
    if !pending.is_awaited() {
        resume_node(node);
        return None;
    }
    may::coroutine::sleep(POLL_INTERVAL);
    pending.is_awaited().then_some(())
}

/// All sections; none while something that was read is still being dealt with, or a connection is coming or going.
fn sections_at_rest(node: &Node, keys_went_ahead: bool) -> Option<Vec<SectionState>> {
    let json = node.dispatchers.snapshot()?;
    let ajp = match &node.ajp {
        Some(front) => Some(front.snapshot()?),
        None => None,
    };
    node.core.coordinator.is_quiescent().then(|| sections(node, keys_went_ahead, json, ajp))
}

fn sections(
    node: &Node,
    keys_went_ahead: bool,
    (json, json_descriptors): Connections<JsonRpcConnectionRecords>,
    ajp: Option<Connections<AjpConnectionRecords>>,
) -> Vec<SectionState> {
    let core = &node.core;
    let node_record = node_record(node, keys_went_ahead);
    let rpcs = RpcRecords { rpcs: core.open_requests().values().map(|rpc| rpc_record(rpc)).collect() };
    let (executor, link) = core.executor.snapshot();
    let (below, links) = core.upstream.as_ref().map(|below| below.snapshot()).unwrap_or_default();
    let listeners = [
        node.dispatchers.listener_descriptor(),
        node.ajp.as_ref().and_then(|front| front.listener_descriptor()),
    ];
    let listeners = listeners.into_iter().flatten().collect();
    let mut sections = vec![
        SectionState::new("node", &node_record, Vec::new()),
        SectionState { name: "listeners", bytes: Vec::new(), descriptors: listeners },
        SectionState::new("rpcs", &rpcs, Vec::new()),
        SectionState::new("json", &json, json_descriptors),
        SectionState::new("executor", &executor, link.into_iter().collect()),
        SectionState::new("below", &below, links),
    ];
    if let Some((ajp, descriptors)) = ajp {
        sections.push(SectionState::new("ajp", &ajp, descriptors));
    }
    sections
}

fn node_record(node: &Node, keys_went_ahead: bool) -> NodeRecord {
    let (fingerprint_key, fingerprint_key_more) = node.core.fingerprint_key();
    let clock_base_ns = node.core.clock.base_ns();
    let mut record =
        NodeRecord { clock_base_ns, fingerprint_key, fingerprint_key_more, ..NodeRecord::default() };
    node.core.coordinator.snapshot(&mut record, keys_went_ahead);
    record
}

fn rpc_record(living: &OpenRequest) -> RpcRecord {
    let life = living.lock();
    let token = living.rpc.idempotency_key.as_ref();
    RpcRecord {
        id: living.rpc.id.to_string(),
        method: living.rpc.method as u32,
        kb: living.rpc.memory_kb,
        ts_ms: living.rpc.arrived_unix_ms,
        left_us: living.rpc.time_left_us,
        token: token.map(|token| token.key.to_string()),
        work: token.map_or(0, |token| token.fingerprint),
        body: living.body.to_string(),
        owed: life.awaits_answer,
        running: life.is_running,
        call: life.call.as_ref().map(call_record),
        client: life.awaits_answer.then(|| living.client.address()),
    }
}

fn call_record(call: &UpstreamCall) -> CallRecord {
    let placed = call.placed.unwrap_or_default();
    CallRecord {
        pos: call.pos,
        body: call.body.clone(),
        placed: call.placed.is_some(),
        at_us: placed.placed_at_us,
        until_us: placed.until_us,
    }
}
