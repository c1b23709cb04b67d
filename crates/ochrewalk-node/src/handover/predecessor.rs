//! The side that serves: it pauses, writes down all that it holds, and goes on where the other does not take it.

use super::hand_over_control::HandOverControl;
use super::hand_over_stream::{HandOverStream, Received};
use super::pending_snapshot::PendingSnapshot;
use super::records::{self, IdempotencyKeyRecords};
use super::snapshot::{resume_node, take_snapshot};
use super::supervisor_link::{Question, SupervisorLink};
use crate::node::Node;
use ochrewalk_handover::messages::{Chunk, Message, MAX_DESCRIPTORS};
use ochrewalk_handover::predecessor::{
    Actions, AttemptError, Limits, Predecessor, Shortage, StateSummary, TransferredAhead,
};
use prost::Message as _;
use std::os::fd::BorrowedFd;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const LIMITS: Limits = Limits { prepare_us: 5_000_000, pause_us: 2_000_000, start_us: 1_000_000 };
/// Tokens that go ahead in one piece: some 200 KB of them, and a fraction of a millisecond in which nothing else is told.
const TOKENS_PER_CHUNK: usize = 1_000;
/// How often signals are looked at beside messages.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the runtime's worker may take for all of that. One that is held by something else hears nobody.
const MAX_WORKER_WAIT: Duration = Duration::from_secs(1);
/// How long the supervisor may take to let this program go on. Without its word another may act in this node's place.
const MAX_RESUME_WAIT: Duration = Duration::from_secs(60);
/// How a hand-over that came about is reported.
const HANDED_OVER: &str = "handed over";
/// Bytes of one chunk.
const CHUNK_BYTES: usize = 256 * 1024;

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
