//! The side that serves: it pauses, hands all of its state over, and resumes where the successor does not take over.

use super::hand_over_control::HandOverControl;
use super::hand_over_stream::{HandOverStream, Received};
use super::pending_snapshot::PendingSnapshot;
use super::records::{self, IdempotencyKeyRecords};
use super::snapshot::{resume_node, take_snapshot, SectionState, SnapshotError};
use super::supervisor_link::SupervisorLink;
use super::supervisor_protocol::{AttemptOutcome, ChildLine, Question};
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
use thiserror::Error;

const LIMITS: Limits = Limits { prepare_us: 5_000_000, pause_us: 2_000_000, start_us: 1_000_000 };
/// Idempotency keys in one chunk ahead of the pause: some 200 KB, and a fraction of a millisecond in which no RPC is
/// decided.
const KEYS_PER_CHUNK: usize = 1_000;
/// Bytes of a section in one chunk.
const CHUNK_BYTES: usize = 256 * 1024;
/// How often interruptions are looked at beside messages.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the runtime's worker may take for a snapshot. One that is held by something else runs no coroutine.
const MAX_SNAPSHOT_WAIT: Duration = Duration::from_secs(1);
/// How long the supervisor may take to allow this process to resume. Without its answer another may act in its place.
const MAX_RESUME_WAIT: Duration = Duration::from_secs(60);
/// The status of a process that may not resume.
const EXIT_STATUS_REPLACED: i32 = 71;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;
const MIB: u64 = 1024 * 1024;

/// Why this process cannot pause and hand over.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum PauseError {
    #[error("the supervisor does not allow the pause")]
    NotAllowed,
    #[error("the running program hears nobody")]
    WorkerBlocked,
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Hands over to the successor at the other end of `stream`, or goes on as if nothing had been tried. Where the
/// successor takes over, this process ends here.
pub fn hand_over(node: &Arc<Node>, control: &HandOverControl, link: &SupervisorLink, stream: HandOverStream) {
    let interruptions = control.begin();
    let clock = node.core.clock;
    let limits = LIMITS.with_reading_time(node.reading_us.load(Ordering::Relaxed));
    let mut predecessor = Predecessor::new(clock.now_us(), limits, state_summary(node));
    let mut actions =
        ProcessActions { node, control, link, stream, keys_went_ahead: false, pause_error: None };
    while !predecessor.is_ended() {
        if let Ok(interruption) = interruptions.try_recv() {
            predecessor.interrupt(&interruption.to_string(), &mut actions);
        }
        match actions.stream.receive(POLL_INTERVAL) {
            Ok(Received::Message(message)) => predecessor.message(clock.now_us(), &message, &mut actions),
            Ok(Received::Ended) => predecessor.peer_ended(&mut actions),
            Ok(Received::Unknown | Received::TimedOut) => predecessor.tick(clock.now_us(), &mut actions),
            Err(error) => {
                predecessor.interrupt(&format!("its words cannot be read: {error}"), &mut actions);
                // Where the state is released already only the successor's end counts now.
                actions.kill_peer();
                std::thread::sleep(POLL_INTERVAL);
                predecessor.tick(clock.now_us(), &mut actions);
            }
        }
        if let Some(error) = actions.pause_error.take() {
            predecessor.interrupt(&error.to_string(), &mut actions);
        }
    }
    control.end();
}

/// What there is to hand over, and whether two processes fit the limits.
fn state_summary(node: &Node) -> StateSummary {
    let open_descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count());
    let resident_bytes = resident_bytes();
    let (allowed_bytes, allowed_descriptors) = (node.memory_bytes as u64, node.descriptors);
    let shortage = if 2 * resident_bytes > allowed_bytes {
        Some(Shortage::Memory { in_use_mb: resident_bytes / MIB, allowed_mb: allowed_bytes / MIB })
    } else if 2 * open_descriptors > allowed_descriptors {
        Some(Shortage::Descriptors { in_use: open_descriptors, allowed: allowed_descriptors })
    } else {
        None
    };
    let (sections, ahead_sections) = records::sections();
    StateSummary {
        digest: node.digest,
        sections,
        ahead_sections,
        bytes: resident_bytes,
        descriptors: open_descriptors as u32,
        shortage,
    }
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident_pages = pages.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    resident_pages.unwrap_or(0) * PAGE_BYTES
}

/// What the state machine has this process do.
struct ProcessActions<'a> {
    node: &'a Arc<Node>,
    control: &'a HandOverControl,
    link: &'a SupervisorLink,
    stream: HandOverStream,
    keys_went_ahead: bool,
    /// Why the pause came to nothing, until the state machine has been told.
    pause_error: Option<PauseError>,
}

impl ProcessActions<'_> {
    /// Pauses, and takes a snapshot of all sections in a coroutine.
    fn pause_and_take_snapshot(&self) -> Result<Vec<SectionState>, PauseError> {
        let timeout = Duration::from_micros(LIMITS.pause_us);
        if self.link.ask(Question::MayPause, timeout) != Some(true) {
            return Err(PauseError::NotAllowed);
        }
        let pending = Arc::new(PendingSnapshot::default());
        let (node, delivery, keys_went_ahead) = (self.node.clone(), pending.clone(), self.keys_went_ahead);
        may::go!(move || {
            let Some(result) = take_snapshot(&node, keys_went_ahead, &delivery) else { return };
            let is_awaited = delivery.deliver(result);
            if !is_awaited {
                resume_node(&node);
            }
        });
        let result = pending.wait(MAX_SNAPSHOT_WAIT).ok_or(PauseError::WorkerBlocked)?;
        Ok(result?)
    }

    /// Sends one section in chunks, and counts them.
    fn send_section(&self, section: &SectionState, chunks: &mut u64) -> std::io::Result<()> {
        let (mut bytes, mut descriptors) = (section.bytes.as_slice(), section.descriptors.as_slice());
        loop {
            let (chunk_bytes, later_bytes) = bytes.split_at(bytes.len().min(CHUNK_BYTES));
            let (passed, later_descriptors) = descriptors.split_at(descriptors.len().min(MAX_DESCRIPTORS));
            // SAFETY: this process is paused, so that none of its streams is closed before this is over.
            let borrowed: Vec<BorrowedFd> =
                passed.iter().map(|fd| unsafe { BorrowedFd::borrow_raw(*fd) }).collect();
            let chunk = Chunk {
                section: section.name.into(),
                bytes: chunk_bytes.to_vec(),
                descriptors: passed.len() as u32,
            };
            self.stream.send(Message::Chunk(chunk), &borrowed)?;
            *chunks += 1;
            (bytes, descriptors) = (later_bytes, later_descriptors);
            if bytes.is_empty() && descriptors.is_empty() {
                return Ok(());
            }
        }
    }
}

impl Actions for ProcessActions<'_> {
    fn send(&mut self, message: Message) {
        // Where it cannot be written the successor has ended, which is reported next.
        let _ = self.stream.send(message, &[]);
    }

    /// Sends idempotency keys: they stay as they are for most of their time, while all else changes with every RPC.
    fn transfer_ahead(&mut self, _now_us: u64) -> TransferredAhead {
        let gate = &self.node.core.coordinator;
        let (mut chunks, mut after) = (0, None);
        self.keys_went_ahead = true;
        // An interruption ends the attempt anyway.
        while !self.control.is_interrupted() {
            let Some((keys, last)) = gate.export_keys(after.as_ref(), KEYS_PER_CHUNK) else { break };
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
        let sections = match self.pause_and_take_snapshot() {
            Ok(sections) => sections,
            Err(error) => {
                self.pause_error = Some(error);
                return 0;
            }
        };
        let mut chunks = 0;
        for section in &sections {
            // Where it cannot be written the successor has ended, which is reported next.
            if self.send_section(section, &mut chunks).is_err() {
                break;
            }
        }
        chunks
    }

    fn resume(&mut self) {
        if self.link.ask(Question::MayResume, MAX_RESUME_WAIT) != Some(true) {
            tracing::error!(part = "upgrade", "another acts in this node's place; this process ends");
            crate::logger::flush();
            std::process::exit(EXIT_STATUS_REPLACED);
        }
        resume_node(self.node);
    }

    fn kill_peer(&mut self) {
        self.link.send(&ChildLine::KillPeer);
    }

    fn retire(&mut self) {
        tracing::info!(part = "upgrade", "handed over; this process ends");
        crate::logger::flush();
        std::process::exit(0);
    }

    fn report_outcome(&mut self, outcome: Result<(), &AttemptError>) {
        let outcome = match outcome {
            Ok(()) => AttemptOutcome::HandedOver,
            Err(error) => AttemptOutcome::Failed(error.to_string()),
        };
        tracing::warn!(part = "upgrade", "{outcome}");
        self.node.core.coordinator.stop_tracking_keys();
        self.link.send(&ChildLine::AttemptEnded(outcome));
    }
}
