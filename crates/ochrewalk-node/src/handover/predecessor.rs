//! The side that serves: it pauses, writes down all that it holds, and goes on where the other does not take it.

use super::descriptor_socket::{HandOverStream, Received};
use super::records::{self, CallRecord, IdempotencyKeyRecords, NodeRecord, RpcRecord, RpcRecords};
use super::supervisor_link::{Question, SupervisorLink};
use super::{pause, resume};
use crate::node::Node;
use ochrewalk_handover::messages::{Chunk, Message, MAX_DESCRIPTORS};
use ochrewalk_handover::predecessor::{
    Actions, AttemptError, Limits, Predecessor, Shortage, StateSummary, TransferredAhead,
};
use prost::Message as _;
use std::os::fd::{BorrowedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const LIMITS: Limits = Limits { prepare_us: 5_000_000, pause_us: 2_000_000, start_us: 1_000_000 };
/// Tokens that go ahead in one piece: some 200 KB of them, and a fraction of a millisecond in which nothing else is told.
const TOKENS_PER_CHUNK: usize = 1_000;
/// How often signals are looked at beside messages.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long calls on connections that cannot move are waited for, and all to come to rest.
const MAX_UNMOVABLE_WAIT: Duration = Duration::from_millis(150);
const MAX_REST_WAIT: Duration = Duration::from_millis(250);
/// How long the runtime's worker may take for all of that. One that is held by something else hears nobody.
const MAX_WORKER_WAIT: Duration = Duration::from_secs(1);
/// How long the supervisor may take to let this program go on. Without its word another may act in this node's place.
const MAX_RESUME_WAIT: Duration = Duration::from_secs(60);
/// How a hand-over that came about is reported.
const HANDED_OVER: &str = "handed over";
/// Bytes of one chunk.
const CHUNK_BYTES: usize = 256 * 1024;

/// One section of what is handed over, and its descriptors.
type Section = (&'static str, Vec<u8>, Vec<RawFd>);

/// What the thread that waits for signals needs of an attempt.
#[derive(Default)]
pub struct HandOverControl {
    state: Mutex<Option<Sender<String>>>,
    over: Condvar,
    /// Somebody waits for the attempt's end.
    is_interrupted: AtomicBool,
}

impl HandOverControl {
    /// Ends an attempt that is under way and comes back once this process serves again; not at all where it has given
    /// everything away.
    pub fn interrupt(&self, why: &str) {
        self.is_interrupted.store(true, Ordering::Relaxed);
        let mut state = self.state.lock().unwrap_or_else(|broken| broken.into_inner());
        while let Some(to) = &*state {
            let _ = to.send(why.to_string());
            state =
                self.over.wait_timeout(state, POLL_INTERVAL).unwrap_or_else(|broken| broken.into_inner()).0;
        }
    }

    fn begin(&self) -> Receiver<String> {
        let (to, interrupts) = channel();
        self.is_interrupted.store(false, Ordering::Relaxed);
        *self.state.lock().unwrap_or_else(|broken| broken.into_inner()) = Some(to);
        interrupts
    }

    fn end(&self) {
        *self.state.lock().unwrap_or_else(|broken| broken.into_inner()) = None;
        self.over.notify_all();
    }
}

/// Hands over, or goes on as if nothing had been tried.
pub fn hand_over(node: &Arc<Node>, control: &HandOverControl, link: &SupervisorLink, stream: HandOverStream) {
    let interrupts = control.begin();
    let clock = node.core.clock;
    let limits = LIMITS.for_reading(node.reading_us.load(Ordering::Relaxed));
    let mut predecessor = Predecessor::new(clock.now_us(), limits, state_summary(node));
    let mut actions = ProcessActions { node, control, link, stream, ahead: false, failed: None };
    while !predecessor.is_ended() {
        if let Ok(why) = interrupts.try_recv() {
            predecessor.interrupt(&why, &mut actions);
        }
        match actions.stream.receive(POLL_INTERVAL) {
            Ok(Received::Message(message)) => predecessor.message(clock.now_us(), &message, &mut actions),
            Ok(Received::Ended) => predecessor.peer_ended(&mut actions),
            Ok(Received::Unknown | Received::TimedOut) => predecessor.tick(clock.now_us(), &mut actions),
            Err(err) => {
                predecessor.interrupt(&format!("its words cannot be read: {err}"), &mut actions);
                // Given away already: only its end counts now.
                actions.link.report("end other");
                std::thread::sleep(POLL_INTERVAL);
                predecessor.tick(clock.now_us(), &mut actions);
            }
        }
        if let Some(why) = actions.failed.take() {
            predecessor.interrupt(&why, &mut actions);
        }
    }
    control.end();
}

/// What there is, and whether two of us fit the limits.
fn state_summary(node: &Node) -> StateSummary {
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |all| all.count());
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = pages.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 4_096;
    let (memory, most) = (node.memory_bytes as u64, node.descriptors);
    let mb = |bytes: u64| bytes / 1024 / 1024;
    let shortage = if 2 * resident > memory {
        Some(Shortage::Memory { in_use_mb: mb(resident), allowed_mb: mb(memory) })
    } else if 2 * descriptors > most {
        Some(Shortage::Descriptors { in_use: descriptors, allowed: most })
    } else {
        None
    };
    let (digest, (sections, ahead)) = (node.digest, records::sections());
    StateSummary { digest, sections, ahead, bytes: resident, descriptors: descriptors as u32, shortage }
}

type SnapshotResult = Result<Vec<Section>, &'static str>;

/// What passes between the thread that hands over and the coroutine that writes all of it down: whoever is first, a
/// state written down or the end of the wait, decides for both.
#[derive(Default)]
struct PendingSnapshot {
    state: Mutex<(bool, Option<SnapshotResult>)>,
    changed: Condvar,
}

impl PendingSnapshot {
    fn lock(&self) -> std::sync::MutexGuard<'_, (bool, Option<SnapshotResult>)> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    fn is_wanted(&self) -> bool {
        !self.lock().0
    }

    /// Whether somebody still waited for it.
    fn deliver(&self, snapshot: SnapshotResult) -> bool {
        let mut state = self.lock();
        state.1 = Some(snapshot);
        self.changed.notify_one();
        !state.0
    }

    /// None where nothing has come in that time: nothing is wanted from then on.
    fn wait(&self, timeout: Duration) -> Option<SnapshotResult> {
        let waited = self.changed.wait_timeout_while(self.lock(), timeout, |state| state.1.is_none());
        let mut state = waited.unwrap_or_else(|broken| broken.into_inner()).0;
        state.0 = true;
        state.1.take()
    }
}

struct ProcessActions<'a> {
    node: &'a Arc<Node>,
    control: &'a HandOverControl,
    link: &'a SupervisorLink,
    stream: HandOverStream,
    /// Tokens have gone ahead.
    ahead: bool,
    /// Why it cannot be handed over after all.
    failed: Option<String>,
}

impl Actions for ProcessActions<'_> {
    fn send(&mut self, message: Message) {
        // Where it cannot be written the other has ended, which is heard next.
        let _ = self.stream.send(message, &[]);
    }

    /// Tokens stay as they are for most of their time. All else changes with every RPC.
    fn transfer_ahead(&mut self, _now_us: u64) -> TransferredAhead {
        let gate = &self.node.core.gate;
        let (mut chunks, mut after) = (0, None);
        self.ahead = true;
        // A signal ends the attempt anyway.
        while !self.control.is_interrupted.load(Ordering::Relaxed) {
            let Some((keys, last)) = gate.keep_ahead(after.as_ref(), TOKENS_PER_CHUNK) else { break };
            let bytes = IdempotencyKeyRecords { keys }.encode_to_vec();
            let chunk = Chunk { section: records::AHEAD.0.into(), bytes, descriptors: 0 };
            if self.stream.send(Message::Chunk(chunk), &[]).is_err() {
                break;
            }
            (chunks, after) = (chunks + 1, Some(last));
        }
        TransferredAhead { chunks, finished_us: self.node.core.clock.now_us() }
    }

    fn pause_and_transfer(&mut self) -> u64 {
        let timeout = Duration::from_micros(LIMITS.pause_us);
        if self.link.ask(Question::MayPause, timeout) != Some(true) {
            self.failed = Some("the supervisor does not allow the pause".into());
            return 0;
        }
        let pending = Arc::new(PendingSnapshot::default());
        let (node, for_coroutine, ahead) = (self.node.clone(), pending.clone(), self.ahead);
        may::go!(move || {
            if let Some(snapshot) = take_snapshot(&node, ahead, &for_coroutine) {
                if !for_coroutine.deliver(snapshot) {
                    resume_node(&node);
                }
            }
        });
        let sections = match pending.wait(MAX_WORKER_WAIT) {
            Some(Ok(sections)) => sections,
            Some(Err(why)) => {
                self.failed = Some(why.into());
                return 0;
            }
            None => {
                self.failed = Some("the running program hears nobody".into());
                return 0;
            }
        };
        let mut chunks = 0;
        for (section, bytes, descriptors) in sections {
            let (mut bytes, mut descriptors) = (bytes.as_slice(), descriptors.as_slice());
            loop {
                let (now, later) = bytes.split_at(bytes.len().min(CHUNK_BYTES));
                let (beside, others) = descriptors.split_at(descriptors.len().min(MAX_DESCRIPTORS));
                // SAFETY: this process is paused, so that none of its streams is closed before this is over.
                let borrowed: Vec<BorrowedFd> =
                    beside.iter().map(|fd| unsafe { BorrowedFd::borrow_raw(*fd) }).collect();
                let count = beside.len() as u32;
                let chunk = Chunk { section: section.into(), bytes: now.to_vec(), descriptors: count };
                // Where it cannot be written the other has ended, which is heard next.
                if self.stream.send(Message::Chunk(chunk), &borrowed).is_err() {
                    return chunks;
                }
                chunks += 1;
                (bytes, descriptors) = (later, others);
                if bytes.is_empty() && descriptors.is_empty() {
                    break;
                }
            }
        }
        chunks
    }

    fn resume(&mut self) {
        if self.link.ask(Question::MayResume, MAX_RESUME_WAIT) != Some(true) {
            tracing::error!(part = "upgrade", "another acts in this node's place; this process ends");
            crate::logger::flush();
            std::process::exit(71);
        }
        resume_node(self.node);
    }

    fn kill_peer(&mut self) {
        self.link.report("end other");
    }

    fn retire(&mut self) {
        tracing::info!(part = "upgrade", "handed over; this process ends");
        crate::logger::flush();
        std::process::exit(0);
    }

    fn report_outcome(&mut self, outcome: Result<(), &AttemptError>) {
        let how = outcome.map_or_else(|error| error.to_string(), |()| HANDED_OVER.into());
        tracing::warn!(part = "upgrade", "{how}");
        self.node.core.gate.end_ahead();
        self.link.report(&format!("told {how}"));
    }
}

fn resume_node(node: &Node) {
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
fn take_snapshot(node: &Node, ahead: bool, pending: &PendingSnapshot) -> Option<SnapshotResult> {
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
