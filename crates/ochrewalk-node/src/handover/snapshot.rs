//! What a paused process writes down for its successor.

use super::pause::{pause, resume};
use super::pending_snapshot::PendingSnapshot;
use super::records::{self, CallRecord, NodeRecord, RpcRecord, RpcRecords};
use crate::node::Node;
use prost::Message as _;
use std::os::fd::RawFd;
use std::time::Duration;

/// How long calls on connections that cannot move are waited for, and all to come to rest.
const MAX_UNMOVABLE_WAIT: Duration = Duration::from_millis(150);
const MAX_REST_WAIT: Duration = Duration::from_millis(250);

/// One section of what is handed over, and its descriptors.
pub(super) type Section = (&'static str, Vec<u8>, Vec<RawFd>);

pub(super) type SnapshotResult = Result<Vec<Section>, &'static str>;

/// Ends the pause, and has every connection looked at again.
pub(super) fn resume_node(node: &Node) {
    resume();
    if let Some(below) = &node.core.below {
        below.hold(false);
        below.nudge();
    }
    node.core.executor.nudge();
    node.dispatchers.nudge();
    if let Some(front) = &node.ajp {
        front.nudge();
    }
}

/// Pauses and writes all of it down, in a coroutine: nothing else runs between the first and the last look. None
/// where nobody waits for it any more, and all goes on.
///
/// The thread that waits may give up at any moment, has all go on then, and may come again with another attempt, whose
/// coroutine runs only while this one sleeps. So what is set here after it gave up is taken back before the next sleep,
/// and nothing is touched after a sleep in which it gave up.
pub(super) fn take_snapshot(node: &Node, ahead: bool, pending: &PendingSnapshot) -> Option<SnapshotResult> {
    let core = &node.core;
    let clock = core.clock;
    let until = |wait: Duration| clock.now_us() + wait.as_micros() as u64;
    let sleep = || {
        if !pending.is_wanted() {
            resume_node(node);
            return None;
        }
        may::coroutine::sleep(Duration::from_millis(1));
        pending.is_wanted().then_some(())
    };
    if !pending.is_wanted() {
        return None;
    }
    if let Some(below) = &core.below {
        below.hold(true);
        let by_us = until(MAX_UNMOVABLE_WAIT);
        while below.is_unmovable() && clock.now_us() < by_us {
            sleep()?;
        }
    }
    pause();
    let by_us = until(MAX_REST_WAIT);
    loop {
        let json = node.dispatchers.keep();
        let ajp = node.ajp.as_ref().map(|front| front.keep());
        if let (true, Some(json), Some(ajp)) =
            (core.gate.is_at_rest(), json, ajp.map_or(Some(None), |kept| kept.map(Some)))
        {
            return Some(Ok(sections(node, ahead, json, ajp)));
        }
        if clock.now_us() >= by_us {
            return Some(Err("it does not come to rest"));
        }
        sleep()?;
    }
}

fn sections(
    node: &Node,
    ahead: bool,
    json: (records::JsonRpcConnectionRecords, Vec<RawFd>),
    ajp: Option<(records::AjpConnectionRecords, Vec<RawFd>)>,
) -> Vec<Section> {
    let core = &node.core;
    let (fingerprint_key, fingerprint_key_more) = core.print_key();
    let mut kept = NodeRecord {
        clock_base_ns: core.clock.base_ns(),
        fingerprint_key,
        fingerprint_key_more,
        ..NodeRecord::default()
    };
    core.gate.keep(&mut kept, ahead);
    let living = core.living();
    let rpcs = living.values().map(|living| {
        let life = living.lock();
        let call = life.call.as_ref().map(|call| CallRecord {
            pos: call.pos,
            body: call.body.clone(),
            placed: call.placed.is_some(),
            at_us: call.placed.map_or(0, |placed| placed.at_us),
            until_us: call.placed.map_or(0, |placed| placed.until_us),
        });
        let token = living.rpc.token.as_ref();
        RpcRecord {
            id: living.rpc.id.to_string(),
            method: living.rpc.method as u32,
            kb: living.rpc.kb,
            ts_ms: living.rpc.ts_ms,
            left_us: living.rpc.left_us,
            token: token.map(|t| t.key.to_string()),
            work: token.map_or(0, |t| t.work),
            body: living.body.to_string(),
            owed: life.owed,
            running: life.running,
            call,
            client: life.owed.then(|| living.asker.address()),
        }
    });
    let rpcs = RpcRecords { rpcs: rpcs.collect() };
    let (executor, link) = core.executor.keep();
    let (below, links) = core.below.as_ref().map(|below| below.keep()).unwrap_or_default();
    let listeners = [node.dispatchers.listener(), node.ajp.as_ref().and_then(|front| front.listener())];
    let mut all = vec![
        ("node", kept.encode_to_vec(), Vec::new()),
        ("listeners", Vec::new(), listeners.into_iter().flatten().collect()),
        ("rpcs", rpcs.encode_to_vec(), Vec::new()),
        ("json", json.0.encode_to_vec(), json.1),
        ("executor", executor.encode_to_vec(), link.into_iter().collect()),
        ("below", below.encode_to_vec(), links),
    ];
    if let Some((kept, descriptors)) = ajp {
        all.push(("ajp", kept.encode_to_vec(), descriptors));
    }
    all
}
