//! Tests each step of both sides, with the faults that can occur in it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_handover::messages::{
    Chunk, ChunkCount, Empty, Hello, Message, Offer, Prepare, Refusal, Section,
};
use ochrewalk_handover::predecessor::{
    self, AttemptError, Predecessor, Shortage, StateSummary, TransferredAhead,
};
use ochrewalk_handover::successor::{self, Capabilities, Successor, SuccessorError};

#[derive(Default)]
struct RecordedActions(Vec<String>);

impl RecordedActions {
    fn take(&mut self) -> String {
        std::mem::take(&mut self.0).join(", ")
    }

    fn sent(&mut self, message: Message) {
        self.0.push(match message {
            Message::Refuse(r) => format!("refuse: {}", r.reason),
            Message::Abort(r) => format!("abort: {}", r.reason),
            Message::Offer(o) => format!("offer {}", o.version),
            other => format!("{other:?}").split(['(', ' ']).next().unwrap().to_lowercase(),
        });
    }
}

impl predecessor::Actions for RecordedActions {
    fn send(&mut self, message: Message) {
        self.sent(message);
    }
    fn transfer_ahead(&mut self, now_us: u64) -> TransferredAhead {
        TransferredAhead { chunks: 0, finished_us: now_us }
    }
    fn pause_and_transfer(&mut self) -> u64 {
        self.0.push("paused".into());
        0
    }
    fn resume(&mut self) {
        self.0.push("resumed".into());
    }
    fn kill_peer(&mut self) {
        self.0.push("kill peer".into());
    }
    fn retire(&mut self) {
        self.0.push("retired".into());
    }
    fn report_outcome(&mut self, outcome: Result<(), &AttemptError>) {
        let outcome = outcome.map_or_else(|error| error.to_string(), |()| "handed over".into());
        self.0.push(format!("outcome: {outcome}"));
    }
}

impl successor::Actions for RecordedActions {
    type LoadError = std::io::Error;

    fn send(&mut self, message: Message) {
        self.sent(message);
    }
    fn store(&mut self, section: &str, bytes: &[u8], descriptors: u32) {
        self.0.push(format!("store {section} {} {descriptors}", bytes.len()));
    }
    fn load(&mut self) -> Result<(), std::io::Error> {
        if self.0.iter().any(|d| d.starts_with("store spoilt")) {
            return Err(std::io::Error::other("a spoilt section"));
        }
        Ok(())
    }
    fn start(&mut self) {
        self.0.push("serving".into());
    }
    fn start_fresh(&mut self) {
        self.0.push("serving fresh".into());
    }
    fn kill_peer(&mut self) {
        self.0.push("kill peer".into());
    }
    fn exit(&mut self, error: &SuccessorError) {
        self.0.push(format!("exit: {error}"));
    }
}

fn section(name: &str, version: u32) -> Section {
    Section { name: name.into(), version }
}

fn predecessor(shortage: Option<Shortage>) -> Predecessor {
    let limits = predecessor::Limits { prepare_us: 100, pause_us: 10, start_us: 10 };
    let summary = StateSummary {
        digest: 7,
        sections: vec![section("rpcs", 1)],
        ahead_sections: vec![section("tokens", 1)],
        bytes: 50,
        descriptors: 5,
        shortage,
    };
    Predecessor::new(0, limits, summary)
}

fn hello(oldest: u32, newest: u32, digest: u64) -> Message {
    Message::Hello(Hello { oldest, newest, program: "1".into(), digest })
}

const READY: Message = Message::Ready(Empty {});
const LOADED: Message = Message::Loaded(Empty {});
const RELEASE: Message = Message::Release(Empty {});
const STARTED: Message = Message::Started(Empty {});
const PREPARE: Message = Message::Prepare(Prepare {});

/// Returns each message of a successful hand-over, with the actions of the predecessor on it.
fn predecessor_steps() -> [(Message, &'static str); 5] {
    [
        (hello(1, 9, 7), "offer 2"),
        (PREPARE, "aheadcomplete"),
        (READY, "paused, transfercomplete"),
        (LOADED, "release"),
        (STARTED, "outcome: handed over, retired"),
    ]
}

/// Creates a predecessor that has done this number of its steps.
fn predecessor_after(steps_done: usize) -> (Predecessor, RecordedActions) {
    let (mut predecessor, mut actions) = (predecessor(None), RecordedActions::default());
    for (message, expected) in &predecessor_steps()[..steps_done] {
        predecessor.message(5, message, &mut actions);
        assert_eq!(actions.take(), *expected);
    }
    (predecessor, actions)
}

/// Returns the first action of a predecessor whose attempt fails after this number of steps.
fn resumes_after(steps_done: usize) -> &'static str {
    if steps_done == 3 {
        "resumed, "
    } else {
        ""
    }
}

#[test]
fn the_predecessor_continues_to_serve_whichever_step_fails() {
    for steps_done in 0..=predecessor_steps().len() {
        assert_eq!(predecessor_after(steps_done).0.may_act(), steps_done < 3, "{steps_done}");
        let resumes = resumes_after(steps_done);
        // The successor ends.
        let (mut predecessor, mut actions) = predecessor_after(steps_done);
        predecessor.peer_ended(&mut actions);
        let expected = match steps_done {
            0..=3 => format!("{resumes}outcome: the new program ended"),
            4 => "resumed, outcome: the new program ended before it began".into(),
            _ => String::new(),
        };
        assert_eq!(actions.take(), expected, "{steps_done}");
        assert_eq!(predecessor.may_act(), steps_done < 5);
        // The deadline passes.
        let (mut predecessor, mut actions) = predecessor_after(steps_done);
        let deadline = predecessor.deadline_us();
        assert_eq!(deadline.is_none(), steps_done == 5);
        if let Some(deadline) = deadline {
            predecessor.tick(deadline - 1, &mut actions);
            assert_eq!(actions.take(), "");
            predecessor.tick(deadline, &mut actions);
            let reason = "the new program took too long";
            let expected = match steps_done {
                4 => "kill peer".into(),
                _ => format!("abort: {reason}, {resumes}outcome: {reason}"),
            };
            assert_eq!(actions.take(), expected, "{steps_done}");
        }
    }
}

#[test]
fn before_the_release_the_predecessor_ends_on_interruptions_refusals_and_unexpected_messages() {
    for steps_done in 0..=predecessor_steps().len() {
        let resumes = resumes_after(steps_done);
        let before_release = |expected: String| if steps_done < 4 { expected } else { String::new() };
        let (mut predecessor, mut actions) = predecessor_after(steps_done);
        predecessor.interrupt("told to leave", &mut actions);
        let expected = before_release(format!("abort: told to leave, {resumes}outcome: told to leave"));
        assert_eq!(actions.take(), expected, "{steps_done}");
        let (mut predecessor, mut actions) = predecessor_after(steps_done);
        predecessor.message(6, &RELEASE, &mut actions);
        let reason = "a message out of turn";
        let expected = before_release(format!("abort: {reason}, {resumes}outcome: {reason}"));
        assert_eq!(actions.take(), expected, "{steps_done}");
        let (mut predecessor, mut actions) = predecessor_after(steps_done);
        predecessor.message(6, &Message::Abort(Refusal { reason: "x".into() }), &mut actions);
        let expected = before_release(format!("{resumes}outcome: the new program refused: x"));
        assert_eq!(actions.take(), expected, "{steps_done}");
        assert_eq!(predecessor.is_ended(), steps_done < 4);
    }
}

#[test]
fn sections_sent_ahead_are_offered_only_to_successors_that_can_receive_them() {
    for (newest, sections) in [(1, 1), (2, 2)] {
        let (mut predecessor, mut actions) = (predecessor(None), Offers::default());
        predecessor.message(0, &hello(1, newest, 7), &mut actions);
        predecessor.message(1, &PREPARE, &mut actions);
        assert_eq!((actions.sections, actions.ahead), (sections, newest == 2));
        // The successor's time limit starts once all chunks have been sent.
        let sent_us = if newest == 2 { 1_001 } else { 1 };
        predecessor.tick(sent_us + 99, &mut actions);
        assert!(!predecessor.is_ended());
        predecessor.tick(sent_us + 100, &mut actions);
        assert!(predecessor.is_ended());
    }
}

/// Records the offered sections, and whether any were sent ahead.
#[derive(Default)]
struct Offers {
    sections: usize,
    ahead: bool,
}

impl predecessor::Actions for Offers {
    fn send(&mut self, message: Message) {
        if let Message::Offer(offer) = message {
            self.sections = offer.sections.len();
        }
    }
    /// Simulates a transfer that takes ten times as long as any other step may.
    fn transfer_ahead(&mut self, now_us: u64) -> TransferredAhead {
        self.ahead = true;
        TransferredAhead { chunks: 0, finished_us: now_us + 1_000 }
    }
    fn pause_and_transfer(&mut self) -> u64 {
        0
    }
    fn resume(&mut self) {}
    fn kill_peer(&mut self) {}
    fn retire(&mut self) {}
    fn report_outcome(&mut self, _outcome: Result<(), &AttemptError>) {}
}

#[test]
fn a_hand_over_that_cannot_succeed_is_refused_before_the_pause() {
    for (message, shortage, reason) in [
        (hello(3, 4, 7), None, "it speaks versions 3 to 4, this program 1 to 2"),
        (hello(0, 0, 7), None, "it speaks versions 0 to 0, this program 1 to 2"),
        (hello(1, 1, 8), None, "its files set what only a start can change"),
        (
            hello(1, 1, 7),
            Some(Shortage::Memory { in_use_mb: 70, allowed_mb: 96 }),
            "70 MB in use, twice that is more than the 96 MB allowed",
        ),
        (
            hello(1, 1, 7),
            Some(Shortage::Descriptors { in_use: 600, allowed: 1024 }),
            "600 descriptors in use, twice that is more than the 1024 allowed",
        ),
    ] {
        let (mut predecessor, mut actions) = (predecessor(shortage), RecordedActions::default());
        predecessor.message(0, &message, &mut actions);
        assert_eq!(actions.take(), format!("refuse: {reason}, outcome: {reason}"));
        assert!(predecessor.may_act() && predecessor.is_ended());
    }
}

fn successor(actions: &mut RecordedActions) -> Successor {
    let limits = successor::Limits { answer_us: 100, pause_us: 10 };
    let known_sections = vec![section("rpcs", 2), section("tokens", 1)];
    let capabilities =
        Capabilities { digest: 7, program: "2".into(), known_sections, bytes: 100, descriptors: 10 };
    Successor::new(0, limits, capabilities, actions)
}

fn offer(sections: Vec<Section>, bytes: u64, descriptors: u32) -> Message {
    Message::Offer(Offer { version: 1, sections, bytes, descriptors })
}

fn chunk(section: &str) -> Message {
    Message::Chunk(Chunk { section: section.into(), bytes: vec![1, 2], descriptors: 1 })
}

#[test]
fn the_successor_starts_only_on_the_release_or_once_the_predecessor_has_ended() {
    let steps = [
        (offer(vec![section("rpcs", 1)], 50, 5), "prepare"),
        (chunk("tokens"), "store tokens 2 1"),
        (Message::AheadComplete(ChunkCount { chunks: 1 }), "ready"),
        (chunk("rpcs"), "store rpcs 2 1"),
        (Message::TransferComplete(ChunkCount { chunks: 1 }), "loaded"),
        (RELEASE, "started, serving"),
    ];
    for steps_done in 0..=steps.len() {
        let after_steps = || {
            let mut actions = RecordedActions::default();
            let mut successor = successor(&mut actions);
            assert_eq!(actions.take(), "hello");
            for (message, expected) in &steps[..steps_done] {
                successor.message(5, message, &mut actions);
                assert_eq!(actions.take(), *expected);
            }
            (successor, actions)
        };
        assert_eq!(after_steps().0.may_act(), steps_done == 6, "{steps_done}");
        let (mut successor, mut actions) = after_steps();
        successor.peer_ended(&mut actions);
        assert_eq!(
            actions.take(),
            [
                "serving fresh",
                "serving fresh",
                "serving fresh",
                "serving fresh",
                "serving fresh",
                "started, serving",
                ""
            ][steps_done]
        );
        assert!(successor.may_act());
        let (mut successor, mut actions) = after_steps();
        if let Some(deadline) = successor.deadline_us() {
            successor.tick(deadline - 1, &mut actions);
            successor.tick(deadline, &mut actions);
            let reason = "the running program took too long";
            let expected =
                if steps_done == 5 { "kill peer".into() } else { format!("abort: {reason}, exit: {reason}") };
            assert_eq!(actions.take(), expected, "{steps_done}");
        }
        let (mut successor, mut actions) = after_steps();
        successor.drain(&mut actions);
        assert_eq!(
            actions.take(),
            if steps_done < 5 { "abort: told to leave, exit: told to leave" } else { "" }
        );
        let (mut successor, mut actions) = after_steps();
        successor.message(6, &Message::Abort(Refusal { reason: "x".into() }), &mut actions);
        assert_eq!(actions.take(), if steps_done < 6 { "exit: x" } else { "" });
    }
}

#[test]
fn the_successor_refuses_unknown_sections_and_state_beyond_its_limits() {
    for (message, reason) in [
        (offer(vec![section("rpcs", 3)], 1, 1), "it does not know rpcs of version 3"),
        (offer(vec![section("pools", 1)], 1, 1), "it does not know pools of version 1"),
        (offer(vec![], 101, 1), "101 bytes of state, room for 100"),
        (offer(vec![], 1, 11), "11 descriptors, room for 10"),
        (READY, "a message out of turn"),
    ] {
        let mut actions = RecordedActions::default();
        let mut successor = successor(&mut actions);
        actions.take();
        successor.message(0, &message, &mut actions);
        assert_eq!(actions.take(), format!("abort: {reason}, exit: {reason}"));
    }
    // A chunk is lost, or a section cannot be restored.
    for (section, chunks, reason) in [("rpcs", 2, "a message out of turn"), ("spoilt", 1, "a spoilt section")]
    {
        let mut actions = RecordedActions::default();
        let mut successor = successor(&mut actions);
        for message in [offer(vec![], 1, 1), Message::AheadComplete(ChunkCount { chunks: 0 })] {
            successor.message(0, &message, &mut actions);
        }
        actions.take();
        successor.message(0, &chunk(section), &mut actions);
        successor.message(0, &Message::TransferComplete(ChunkCount { chunks }), &mut actions);
        assert!(actions.take().ends_with(&format!("abort: {reason}, exit: {reason}")));
    }
}
