//! Explores both sides exhaustively: crashes, requests to drain, interruptions and time-outs at every step,
//! messages with arbitrary delay, and two consecutive attempts.

use ochrewalk_handover::messages::{Chunk, Message};
use ochrewalk_handover::predecessor::{self, AttemptError, Predecessor, StateSummary, TransferredAhead};
use ochrewalk_handover::successor::{self, Capabilities, Successor, SuccessorError};
use stateright::{Checker, Model, Property};

/// Both processes, and the messages in transit between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each field records whether one event has happened; they are independent"
)]
struct World {
    predecessor: Option<Predecessor>,
    successor: Option<Successor>,
    to_successor: Vec<Message>,
    to_predecessor: Vec<Message>,
    /// Whether the end of the stream was observed.
    successor_observed_end: bool,
    predecessor_observed_end: bool,
    /// The supervisor kills at most one of the two processes in an attempt, and only while neither acts: each
    /// side requests its permission before it starts or resumes.
    has_killed: bool,
    successor_acted: bool,
    started_after_predecessor_ended: bool,
    resumed_after_release: bool,
    crashes: u8,
    drain_requests: u8,
    attempts: u8,
    /// Time-outs while neither side could act and no message to the side that timed out was in transit.
    idle_ticks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    PredecessorReads,
    SuccessorReads { loads: bool },
    PredecessorObservesEnd,
    SuccessorObservesEnd,
    PredecessorCrashes,
    SuccessorCrashes,
    PredecessorTimesOut,
    SuccessorTimesOut,
    PredecessorInterrupted,
    SuccessorDrains,
    AnotherAttempt,
}

#[derive(Default)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each field records whether one action was taken; they are independent"
)]
struct RecordedActions {
    sent: Vec<Message>,
    loads: bool,
    resumed: bool,
    killed_peer: bool,
    exited: bool,
    started: bool,
    fresh: bool,
}

impl predecessor::Actions for RecordedActions {
    fn send(&mut self, message: Message) {
        self.sent.push(message);
    }
    fn transfer_ahead(&mut self, now_us: u64) -> TransferredAhead {
        TransferredAhead { chunks: 0, finished_us: now_us }
    }
    fn pause_and_transfer(&mut self) -> u64 {
        self.sent.push(Message::Chunk(Chunk::default()));
        1
    }
    fn resume(&mut self) {
        self.resumed = true;
    }
    fn kill_peer(&mut self) {
        self.killed_peer = true;
    }
    fn retire(&mut self) {
        self.exited = true;
    }
    fn report_outcome(&mut self, _outcome: Result<(), &AttemptError>) {}
}

impl successor::Actions for RecordedActions {
    type LoadError = std::io::Error;

    fn send(&mut self, message: Message) {
        self.sent.push(message);
    }
    fn store(&mut self, _section: &str, _bytes: &[u8], _descriptors: u32) {}
    fn load(&mut self) -> Result<(), std::io::Error> {
        self.loads.then_some(()).ok_or_else(|| std::io::Error::other("no"))
    }
    fn start(&mut self) {
        self.started = true;
    }
    fn start_fresh(&mut self) {
        (self.started, self.fresh) = (true, true);
    }
    fn kill_peer(&mut self) {
        self.killed_peer = true;
    }
    fn exit(&mut self, _error: &SuccessorError) {
        self.exited = true;
    }
}

/// The rule that is broken on purpose, if any.
#[derive(Clone, Copy, PartialEq)]
enum BrokenRule {
    None,
    /// The predecessor resumes after a time-out, without knowing that the successor has ended.
    ResumeOnTimeOut,
    /// The successor starts as soon as it has the complete state, without waiting for the release.
    StartBeforeRelease,
}

struct HandOver {
    broken_rule: BrokenRule,
    crashes: u8,
}

const PREDECESSOR: predecessor::Limits = predecessor::Limits { prepare_us: 0, pause_us: 0, start_us: 0 };
const SUCCESSOR: successor::Limits = successor::Limits { answer_us: 0, pause_us: 0 };

fn summary() -> StateSummary {
    StateSummary {
        digest: 7,
        sections: vec![],
        ahead_sections: vec![],
        bytes: 0,
        descriptors: 0,
        shortage: None,
    }
}

fn start_attempt(world: &mut World) {
    let mut actions = RecordedActions::default();
    let capabilities =
        Capabilities { digest: 7, program: String::new(), known_sections: vec![], bytes: 0, descriptors: 0 };
    world.predecessor = Some(Predecessor::new(0, PREDECESSOR, summary()));
    world.successor = Some(Successor::new(0, SUCCESSOR, capabilities, &mut actions));
    (world.to_predecessor, world.to_successor) = (actions.sent, vec![]);
    (world.successor_observed_end, world.predecessor_observed_end, world.has_killed) = (false, false, false);
    world.attempts += 1;
}

impl World {
    fn predecessor_acts(&self) -> bool {
        self.predecessor.as_ref().is_some_and(Predecessor::may_act)
    }

    fn successor_acts(&self) -> bool {
        self.successor.as_ref().is_some_and(Successor::may_act)
    }

    fn act_as_predecessor(&mut self, step: impl FnOnce(&mut Predecessor, &mut RecordedActions)) {
        let mut actions = RecordedActions::default();
        let neither_acts = !self.predecessor_acts() && !self.successor_acts();
        let Some(predecessor) = &mut self.predecessor else { return };
        let released = predecessor.state() == predecessor::State::Released;
        step(predecessor, &mut actions);
        self.to_successor.extend(actions.sent);
        self.resumed_after_release |= actions.resumed && released;
        if actions.exited {
            self.predecessor = None;
        }
        if actions.killed_peer && !self.has_killed && neither_acts {
            (self.successor, self.has_killed) = (None, true);
        }
    }

    fn act_as_successor(&mut self, loads: bool, step: impl FnOnce(&mut Successor, &mut RecordedActions)) {
        let mut actions = RecordedActions { loads, ..RecordedActions::default() };
        let neither_acts = !self.predecessor_acts() && !self.successor_acts();
        let Some(successor) = &mut self.successor else { return };
        step(successor, &mut actions);
        self.to_predecessor.extend(actions.sent);
        self.successor_acted |= actions.started;
        self.started_after_predecessor_ended |= actions.started && self.predecessor.is_none();
        if actions.exited {
            self.successor = None;
        }
        if actions.killed_peer && !self.has_killed && neither_acts {
            (self.predecessor, self.has_killed) = (None, true);
        }
    }

    /// Returns the events that can occur without a fault or an external request.
    fn next_events(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(predecessor) = &self.predecessor {
            match self.to_predecessor.is_empty() {
                false => actions.push(Action::PredecessorReads),
                true if self.successor.is_none() && !self.predecessor_observed_end => {
                    actions.push(Action::PredecessorObservesEnd)
                }
                true => {}
            }
            // Messages that have arrived are read before a time-out is handled.
            let is_end_unobserved =
                self.successor.is_none() && self.to_predecessor.is_empty() && !self.predecessor_observed_end;
            if predecessor.deadline_us().is_some() && !is_end_unobserved {
                actions.push(Action::PredecessorTimesOut);
            }
        }
        if let Some(successor) = &self.successor {
            match self.to_successor.is_empty() {
                false => actions.extend([
                    Action::SuccessorReads { loads: true },
                    Action::SuccessorReads { loads: false },
                ]),
                true if self.predecessor.is_none() && !self.successor_observed_end => {
                    actions.push(Action::SuccessorObservesEnd)
                }
                true => {}
            }
            let is_end_unobserved =
                self.predecessor.is_none() && self.to_successor.is_empty() && !self.successor_observed_end;
            if successor.deadline_us().is_some() && !is_end_unobserved {
                actions.push(Action::SuccessorTimesOut);
            }
        }
        actions
    }
}

impl Model for HandOver {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            predecessor: None,
            successor: None,
            to_successor: vec![],
            to_predecessor: vec![],
            successor_observed_end: false,
            predecessor_observed_end: false,
            has_killed: false,
            successor_acted: false,
            started_after_predecessor_ended: false,
            resumed_after_release: false,
            crashes: 0,
            drain_requests: 0,
            attempts: 0,
            idle_ticks: 0,
        };
        start_attempt(&mut world);
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        actions.extend(world.next_events());
        if world.crashes < self.crashes {
            actions.extend(world.predecessor.is_some().then_some(Action::PredecessorCrashes));
            actions.extend(world.successor.is_some().then_some(Action::SuccessorCrashes));
        }
        if world.drain_requests < 2 {
            actions.extend(world.predecessor.is_some().then_some(Action::PredecessorInterrupted));
            actions.extend(world.successor.is_some().then_some(Action::SuccessorDrains));
        }
        // The next attempt begins only after the previous one has ended.
        let may_start_attempt =
            world.predecessor.as_ref().is_some_and(Predecessor::is_ended) && world.successor.is_none();
        if may_start_attempt && world.attempts < 2 {
            actions.push(Action::AnotherAttempt);
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        let neither_acts = !world.predecessor_acts() && !world.successor_acts();
        match action {
            Action::PredecessorReads => {
                let message = next.to_predecessor.remove(0);
                next.act_as_predecessor(|predecessor, actions| predecessor.message(0, &message, actions));
            }
            Action::SuccessorReads { loads } => {
                let message = next.to_successor.remove(0);
                next.act_as_successor(loads, |successor, actions| successor.message(0, &message, actions));
                let state = next.successor.as_ref().map(Successor::state);
                let is_loaded = state == Some(successor::State::Loaded);
                if self.broken_rule == BrokenRule::StartBeforeRelease && is_loaded {
                    next.act_as_successor(true, |successor, actions| successor.peer_ended(actions));
                }
            }
            Action::PredecessorObservesEnd => {
                next.predecessor_observed_end = true;
                next.act_as_predecessor(|predecessor, actions| predecessor.peer_ended(actions));
            }
            Action::SuccessorObservesEnd => {
                next.successor_observed_end = true;
                next.act_as_successor(true, |successor, actions| successor.peer_ended(actions));
            }
            Action::PredecessorCrashes => {
                next.predecessor = None;
                next.crashes += 1;
            }
            Action::SuccessorCrashes => {
                next.successor = None;
                next.crashes += 1;
            }
            Action::PredecessorTimesOut => {
                let released = next.predecessor.as_ref()?.state() == predecessor::State::Released;
                if self.broken_rule == BrokenRule::ResumeOnTimeOut && released {
                    next.act_as_predecessor(|predecessor, actions| predecessor.peer_ended(actions));
                } else {
                    next.act_as_predecessor(|predecessor, actions| predecessor.tick(0, actions));
                }
                next.idle_ticks +=
                    u8::from(neither_acts && world.to_predecessor.is_empty() && next.idle_ticks < 9);
            }
            Action::SuccessorTimesOut => {
                next.act_as_successor(true, |successor, actions| successor.tick(0, actions));
                next.idle_ticks +=
                    u8::from(neither_acts && world.to_successor.is_empty() && next.idle_ticks < 9);
            }
            Action::PredecessorInterrupted => {
                next.drain_requests += 1;
                next.act_as_predecessor(|predecessor, actions| {
                    predecessor.interrupt("told to leave", actions)
                });
            }
            Action::SuccessorDrains => {
                next.drain_requests += 1;
                next.act_as_successor(true, |successor, actions| successor.drain(actions));
            }
            Action::AnotherAttempt => start_attempt(&mut next),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("both sides never act at once", |_, world: &World| {
                !(world.predecessor_acts() && world.successor_acts())
            }),
            Property::always(
                "the predecessor never acts after the successor has started",
                |_, world: &World| !(world.successor_acted && world.predecessor_acts()),
            ),
            Property::always(
                "while a process is running, one side acts or an event is pending",
                |_, world: &World| {
                    let is_running = world.predecessor.is_some() || world.successor.is_some();
                    !is_running
                        || world.predecessor_acts()
                        || world.successor_acts()
                        || !world.next_events().is_empty()
                },
            ),
            Property::always("neither side acts for at most three time limits", |_, world: &World| {
                world.idle_ticks <= 3
            }),
            Property::always("without a crash one process is running", |_, world: &World| {
                world.crashes > 0 || world.predecessor.is_some() || world.successor.is_some()
            }),
            Property::sometimes("a hand-over succeeds", |_, world: &World| {
                world.successor_acts() && world.crashes == 0
            }),
            Property::sometimes("the second attempt succeeds", |_, world: &World| {
                world.successor_acts() && world.attempts == 2
            }),
            Property::sometimes(
                "the successor starts after a crash of the predecessor",
                |_, world: &World| world.started_after_predecessor_ended && world.crashes > 0,
            ),
            Property::sometimes("the predecessor resumes after the release", |_, world: &World| {
                world.resumed_after_release
            }),
        ]
    }
}

#[test]
fn no_order_of_events_leads_to_two_acting_sides_or_none() {
    let checker = HandOver { broken_rule: BrokenRule::None, crashes: 2 }.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
    assert_eq!(
        checker.unique_state_count(),
        6_323,
        "the protocol differs from the one that was explored before"
    );
}

#[test]
fn a_rule_that_is_broken_on_purpose_has_a_short_trace() {
    for (broken_rule, property) in [
        (BrokenRule::ResumeOnTimeOut, "the predecessor never acts after the successor has started"),
        (BrokenRule::StartBeforeRelease, "both sides never act at once"),
    ] {
        let checker = HandOver { broken_rule, crashes: 0 }.checker().target_max_depth(13).spawn_bfs().join();
        let found = checker
            .discovery(property)
            .or_else(|| checker.discovery("both sides never act at once"))
            .expect("a property is violated");
        let trace = found.into_actions();
        assert!(trace.len() <= 14, "{trace:?}");
        println!("{property}: {trace:?}");
    }
}
