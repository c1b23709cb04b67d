//! Both sides explored exhaustively: crashes, requests to leave, new files and time-outs at every step, messages as late
//! as they like, one attempt after another.

use ochrewalk_handover::messages::{Chunk, Message};
use ochrewalk_handover::predecessor::{self, AttemptError, Predecessor, StateSummary, TransferredAhead};
use ochrewalk_handover::successor::{self, Capabilities, Successor, SuccessorError};
use stateright::{Checker, Model, Property};

/// A process and what it has written that the other has not read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each says whether one event has happened; they are independent"
)]
struct World {
    predecessor: Option<Predecessor>,
    successor: Option<Successor>,
    to_successor: Vec<Message>,
    to_predecessor: Vec<Message>,
    /// The stream's end was heard.
    successor_heard_end: bool,
    predecessor_heard_end: bool,
    /// Whoever started both ends one of them at the most in one attempt, and only while neither acts: each asks
    /// before it begins or goes on.
    killed_one: bool,
    successor_acted: bool,
    from_the_dead: bool,
    taken_back: bool,
    crashes: u8,
    leave_requests: u8,
    attempts: u8,
    /// Time-outs while nobody could act and nothing was on its way to whoever timed out.
    idle_ticks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    PredecessorReads,
    SuccessorReads { loads: bool },
    PredecessorHearsEnd,
    SuccessorHearsEnd,
    PredecessorCrashes,
    SuccessorCrashes,
    PredecessorTimesOut,
    SuccessorTimesOut,
    PredecessorInterrupted,
    SuccessorToldToLeave,
    AnotherAttempt,
}

#[derive(Default)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each says whether one action was taken; they are independent"
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
enum Broken {
    Nothing,
    /// The predecessor resumes after a time-out, without knowing that the other has ended.
    PredecessorImpatient,
    /// The successor begins as soon as it has everything, without waiting for the release.
    SuccessorImpatient,
}

struct HandOver {
    broken: Broken,
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

fn attempt(world: &mut World) {
    let mut actions = RecordedActions::default();
    let capabilities =
        Capabilities { digest: 7, program: String::new(), known_sections: vec![], bytes: 0, descriptors: 0 };
    world.predecessor = Some(Predecessor::new(0, PREDECESSOR, summary()));
    world.successor = Some(Successor::new(0, SUCCESSOR, capabilities, &mut actions));
    (world.to_predecessor, world.to_successor) = (actions.sent, vec![]);
    (world.successor_heard_end, world.predecessor_heard_end, world.killed_one) = (false, false, false);
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
        let nobody_acts = !self.predecessor_acts() && !self.successor_acts();
        let Some(predecessor) = &mut self.predecessor else { return };
        let released = predecessor.state() == predecessor::State::Released;
        step(predecessor, &mut actions);
        self.to_successor.extend(actions.sent);
        self.taken_back |= actions.resumed && released;
        if actions.exited {
            self.predecessor = None;
        }
        if actions.killed_peer && !self.killed_one && nobody_acts {
            (self.successor, self.killed_one) = (None, true);
        }
    }

    fn act_as_successor(&mut self, loads: bool, step: impl FnOnce(&mut Successor, &mut RecordedActions)) {
        let mut actions = RecordedActions { loads, ..RecordedActions::default() };
        let nobody_acts = !self.predecessor_acts() && !self.successor_acts();
        let Some(successor) = &mut self.successor else { return };
        step(successor, &mut actions);
        self.to_predecessor.extend(actions.sent);
        self.successor_acted |= actions.started;
        self.from_the_dead |= actions.started && self.predecessor.is_none();
        if actions.exited {
            self.successor = None;
        }
        if actions.killed_peer && !self.killed_one && nobody_acts {
            (self.predecessor, self.killed_one) = (None, true);
        }
    }

    /// What goes on without anybody's doing.
    fn next_events(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(predecessor) = &self.predecessor {
            match self.to_predecessor.is_empty() {
                false => actions.push(Action::PredecessorReads),
                true if self.successor.is_none() && !self.predecessor_heard_end => {
                    actions.push(Action::PredecessorHearsEnd)
                }
                true => {}
            }
            // What has come is read before time is judged.
            let end_waits =
                self.successor.is_none() && self.to_predecessor.is_empty() && !self.predecessor_heard_end;
            if predecessor.deadline_us().is_some() && !end_waits {
                actions.push(Action::PredecessorTimesOut);
            }
        }
        if let Some(successor) = &self.successor {
            match self.to_successor.is_empty() {
                false => actions.extend([
                    Action::SuccessorReads { loads: true },
                    Action::SuccessorReads { loads: false },
                ]),
                true if self.predecessor.is_none() && !self.successor_heard_end => {
                    actions.push(Action::SuccessorHearsEnd)
                }
                true => {}
            }
            let end_waits =
                self.predecessor.is_none() && self.to_successor.is_empty() && !self.successor_heard_end;
            if successor.deadline_us().is_some() && !end_waits {
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
            successor_heard_end: false,
            predecessor_heard_end: false,
            killed_one: false,
            successor_acted: false,
            from_the_dead: false,
            taken_back: false,
            crashes: 0,
            leave_requests: 0,
            attempts: 0,
            idle_ticks: 0,
        };
        attempt(&mut world);
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        actions.extend(world.next_events());
        if world.crashes < self.crashes {
            actions.extend(world.predecessor.is_some().then_some(Action::PredecessorCrashes));
            actions.extend(world.successor.is_some().then_some(Action::SuccessorCrashes));
        }
        if world.leave_requests < 2 {
            actions.extend(world.predecessor.is_some().then_some(Action::PredecessorInterrupted));
            actions.extend(world.successor.is_some().then_some(Action::SuccessorToldToLeave));
        }
        // One at a time: while one goes on, another is not begun.
        let free = world.predecessor.as_ref().is_some_and(Predecessor::is_ended) && world.successor.is_none();
        if free && world.attempts < 2 {
            actions.push(Action::AnotherAttempt);
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        let nobody = !world.predecessor_acts() && !world.successor_acts();
        match action {
            Action::PredecessorReads => {
                let message = next.to_predecessor.remove(0);
                next.act_as_predecessor(|predecessor, actions| predecessor.message(0, &message, actions));
            }
            Action::SuccessorReads { loads } => {
                let message = next.to_successor.remove(0);
                next.act_as_successor(loads, |successor, actions| successor.message(0, &message, actions));
                let state = next.successor.as_ref().map(Successor::state);
                let has_all = state == Some(successor::State::Loaded);
                if self.broken == Broken::SuccessorImpatient && has_all {
                    next.act_as_successor(true, |successor, actions| successor.peer_ended(actions));
                }
            }
            Action::PredecessorHearsEnd => {
                next.predecessor_heard_end = true;
                next.act_as_predecessor(|predecessor, actions| predecessor.peer_ended(actions));
            }
            Action::SuccessorHearsEnd => {
                next.successor_heard_end = true;
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
                if self.broken == Broken::PredecessorImpatient && released {
                    next.act_as_predecessor(|predecessor, actions| predecessor.peer_ended(actions));
                } else {
                    next.act_as_predecessor(|predecessor, actions| predecessor.tick(0, actions));
                }
                next.idle_ticks += u8::from(nobody && world.to_predecessor.is_empty() && next.idle_ticks < 9);
            }
            Action::SuccessorTimesOut => {
                next.act_as_successor(true, |successor, actions| successor.tick(0, actions));
                next.idle_ticks += u8::from(nobody && world.to_successor.is_empty() && next.idle_ticks < 9);
            }
            Action::PredecessorInterrupted => {
                next.leave_requests += 1;
                next.act_as_predecessor(|predecessor, actions| {
                    predecessor.interrupt("told to leave", actions)
                });
            }
            Action::SuccessorToldToLeave => {
                next.leave_requests += 1;
                next.act_as_successor(true, |successor, actions| successor.drain(actions));
            }
            Action::AnotherAttempt => attempt(&mut next),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two act", |_, world: &World| {
                !(world.predecessor_acts() && world.successor_acts())
            }),
            Property::always("what was given and begun is never taken up again", |_, world: &World| {
                !(world.successor_acted && world.predecessor_acts())
            }),
            Property::always(
                "while one lives, somebody acts or something is on its way",
                |_, world: &World| {
                    let lives = world.predecessor.is_some() || world.successor.is_some();
                    !lives
                        || world.predecessor_acts()
                        || world.successor_acts()
                        || !world.next_events().is_empty()
                },
            ),
            Property::always("nobody acts for three limits at the most", |_, world: &World| {
                world.idle_ticks <= 3
            }),
            Property::always("without a crash one of them lives", |_, world: &World| {
                world.crashes > 0 || world.predecessor.is_some() || world.successor.is_some()
            }),
            Property::sometimes("it is handed over", |_, world: &World| {
                world.successor_acts() && world.crashes == 0
            }),
            Property::sometimes("the second attempt succeeds", |_, world: &World| {
                world.successor_acts() && world.attempts == 2
            }),
            Property::sometimes("a dead one is succeeded", |_, world: &World| {
                world.from_the_dead && world.crashes > 0
            }),
            Property::sometimes("what was given is taken back from a dead one", |_, world: &World| {
                world.taken_back
            }),
        ]
    }
}

#[test]
fn no_run_of_events_brings_two_owners_or_none() {
    let checker = HandOver { broken: Broken::Nothing, crashes: 2 }.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
    assert_eq!(checker.unique_state_count(), 6_323, "another protocol than the one that was explored before");
}

#[test]
fn a_rule_broken_on_purpose_gives_a_short_trace() {
    for (broken, rule) in [
        (Broken::PredecessorImpatient, "what was given and begun is never taken up again"),
        (Broken::SuccessorImpatient, "never two act"),
    ] {
        let checker = HandOver { broken, crashes: 0 }.checker().target_max_depth(13).spawn_bfs().join();
        let found = checker.discovery(rule).or_else(|| checker.discovery("never two act")).expect("a trace");
        let trace = found.into_actions();
        assert!(trace.len() <= 14, "{trace:?}");
        println!("{rule}: {trace:?}");
    }
}
