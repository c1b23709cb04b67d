//! Both sides explored exhaustively: crashes, notices to leave, new files and time-outs at every step, messages as late
//! as they like, one attempt after another.

use ochrewalk_handover::giver::{self, Giver, Holding};
use ochrewalk_handover::messages::{Message, Part};
use ochrewalk_handover::taker::{self, Room, Taker};
use stateright::{Checker, Model, Property};

/// A process and what it has written that the other has not read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    giver: Option<Giver>,
    taker: Option<Taker>,
    to_taker: Vec<Message>,
    to_giver: Vec<Message>,
    /// The stream's end was heard.
    taker_heard_end: bool,
    giver_heard_end: bool,
    /// Whoever started both ends one of them at the most in one attempt, and only while neither acts: each asks
    /// before it begins or goes on.
    ended_one: bool,
    taker_acted: bool,
    from_the_dead: bool,
    took_back: bool,
    crashes: u8,
    notices: u8,
    attempts: u8,
    /// Time-outs while nobody could act and nothing was on its way to whoever timed out.
    idle_ticks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    GiverReads,
    TakerReads { loads: bool },
    GiverHearsEnd,
    TakerHearsEnd,
    GiverCrashes,
    TakerCrashes,
    GiverTimesOut,
    TakerTimesOut,
    GiverInterrupted,
    TakerToldToLeave,
    AnotherAttempt,
}

#[derive(Default)]
struct Deeds {
    sent: Vec<Message>,
    loads: bool,
    thawed: bool,
    ended_peer: bool,
    over: bool,
    began: bool,
    anew: bool,
}

impl giver::Acts for Deeds {
    fn send(&mut self, message: Message) {
        self.sent.push(message);
    }
    fn send_ahead(&mut self, now_us: u64) -> (u64, u64) {
        (0, now_us)
    }
    fn freeze(&mut self) -> u64 {
        self.sent.push(Message::Part(Part::default()));
        1
    }
    fn thaw(&mut self) {
        self.thawed = true;
    }
    fn end_peer(&mut self) {
        self.ended_peer = true;
    }
    fn retire(&mut self) {
        self.over = true;
    }
    fn tell(&mut self, _how: &str) {}
}

impl taker::Acts for Deeds {
    fn send(&mut self, message: Message) {
        self.sent.push(message);
    }
    fn keep(&mut self, _section: &str, _bytes: &[u8], _descriptors: u32) {}
    fn load(&mut self) -> Result<(), String> {
        self.loads.then_some(()).ok_or_else(|| "no".into())
    }
    fn begin(&mut self) {
        self.began = true;
    }
    fn begin_anew(&mut self) {
        (self.began, self.anew) = (true, true);
    }
    fn end_peer(&mut self) {
        self.ended_peer = true;
    }
    fn end(&mut self, _why: &str) {
        self.over = true;
    }
}

/// The rule that is broken on purpose, if any.
#[derive(Clone, Copy, PartialEq)]
enum Broken {
    Nothing,
    /// The giver takes up again after a time-out, without knowing that the other has ended.
    GiverImpatient,
    /// The taker begins as soon as it has everything, without waiting for the word.
    TakerImpatient,
}

struct Handover {
    broken: Broken,
    crashes: u8,
}

const GIVER: giver::Limits = giver::Limits { prepare_us: 0, freeze_us: 0, begin_us: 0 };
const TAKER: taker::Limits = taker::Limits { answer_us: 0, frozen_us: 0 };

fn holding() -> Holding {
    Holding { digest: 7, sections: vec![], ahead: vec![], bytes: 0, descriptors: 0, unfit: None }
}

fn attempt(world: &mut World) {
    let mut deeds = Deeds::default();
    let room = Room { digest: 7, program: String::new(), knows: vec![], bytes: 0, descriptors: 0 };
    world.giver = Some(Giver::new(0, GIVER, holding()));
    world.taker = Some(Taker::start(0, TAKER, room, &mut deeds));
    (world.to_giver, world.to_taker) = (deeds.sent, vec![]);
    (world.taker_heard_end, world.giver_heard_end, world.ended_one) = (false, false, false);
    world.attempts += 1;
}

impl World {
    fn giver_acts(&self) -> bool {
        self.giver.as_ref().is_some_and(Giver::may_act)
    }

    fn taker_acts(&self) -> bool {
        self.taker.as_ref().is_some_and(Taker::may_act)
    }

    fn by_giver(&mut self, what: impl FnOnce(&mut Giver, &mut Deeds)) {
        let mut deeds = Deeds::default();
        let nobody_acts = !self.giver_acts() && !self.taker_acts();
        let Some(giver) = &mut self.giver else { return };
        let given = matches!(giver.state(), giver::State::Given { .. });
        what(giver, &mut deeds);
        self.to_taker.extend(deeds.sent);
        self.took_back |= deeds.thawed && given;
        if deeds.over {
            self.giver = None;
        }
        if deeds.ended_peer && !self.ended_one && nobody_acts {
            (self.taker, self.ended_one) = (None, true);
        }
    }

    fn by_taker(&mut self, loads: bool, what: impl FnOnce(&mut Taker, &mut Deeds)) {
        let mut deeds = Deeds { loads, ..Deeds::default() };
        let nobody_acts = !self.giver_acts() && !self.taker_acts();
        let Some(taker) = &mut self.taker else { return };
        what(taker, &mut deeds);
        self.to_giver.extend(deeds.sent);
        self.taker_acted |= deeds.began;
        self.from_the_dead |= deeds.began && self.giver.is_none();
        if deeds.over {
            self.taker = None;
        }
        if deeds.ended_peer && !self.ended_one && nobody_acts {
            (self.giver, self.ended_one) = (None, true);
        }
    }

    /// What goes on without anybody's doing.
    fn in_course(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(giver) = &self.giver {
            match self.to_giver.is_empty() {
                false => actions.push(Action::GiverReads),
                true if self.taker.is_none() && !self.giver_heard_end => actions.push(Action::GiverHearsEnd),
                true => {}
            }
            // What has come is read before time is judged.
            let end_waits = self.taker.is_none() && self.to_giver.is_empty() && !self.giver_heard_end;
            if giver.due_us().is_some() && !end_waits {
                actions.push(Action::GiverTimesOut);
            }
        }
        if let Some(taker) = &self.taker {
            match self.to_taker.is_empty() {
                false => {
                    actions.extend([Action::TakerReads { loads: true }, Action::TakerReads { loads: false }])
                }
                true if self.giver.is_none() && !self.taker_heard_end => actions.push(Action::TakerHearsEnd),
                true => {}
            }
            let end_waits = self.giver.is_none() && self.to_taker.is_empty() && !self.taker_heard_end;
            if taker.due_us().is_some() && !end_waits {
                actions.push(Action::TakerTimesOut);
            }
        }
        actions
    }
}

impl Model for Handover {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            giver: None,
            taker: None,
            to_taker: vec![],
            to_giver: vec![],
            taker_heard_end: false,
            giver_heard_end: false,
            ended_one: false,
            taker_acted: false,
            from_the_dead: false,
            took_back: false,
            crashes: 0,
            notices: 0,
            attempts: 0,
            idle_ticks: 0,
        };
        attempt(&mut world);
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        actions.extend(world.in_course());
        if world.crashes < self.crashes {
            actions.extend(world.giver.is_some().then_some(Action::GiverCrashes));
            actions.extend(world.taker.is_some().then_some(Action::TakerCrashes));
        }
        if world.notices < 2 {
            actions.extend(world.giver.is_some().then_some(Action::GiverInterrupted));
            actions.extend(world.taker.is_some().then_some(Action::TakerToldToLeave));
        }
        // One at a time: while one goes on, another is not begun.
        let free = world.giver.as_ref().is_some_and(Giver::is_over) && world.taker.is_none();
        if free && world.attempts < 2 {
            actions.push(Action::AnotherAttempt);
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        let nobody = !world.giver_acts() && !world.taker_acts();
        match action {
            Action::GiverReads => {
                let message = next.to_giver.remove(0);
                next.by_giver(|giver, deeds| giver.message(0, &message, deeds));
            }
            Action::TakerReads { loads } => {
                let message = next.to_taker.remove(0);
                next.by_taker(loads, |taker, deeds| taker.message(0, &message, deeds));
                let has_all =
                    next.taker.as_ref().is_some_and(|t| matches!(t.state(), taker::State::Committed { .. }));
                if self.broken == Broken::TakerImpatient && has_all {
                    next.by_taker(true, |taker, deeds| taker.peer_ended(deeds));
                }
            }
            Action::GiverHearsEnd => {
                next.giver_heard_end = true;
                next.by_giver(|giver, deeds| giver.peer_ended(deeds));
            }
            Action::TakerHearsEnd => {
                next.taker_heard_end = true;
                next.by_taker(true, |taker, deeds| taker.peer_ended(deeds));
            }
            Action::GiverCrashes => {
                next.giver = None;
                next.crashes += 1;
            }
            Action::TakerCrashes => {
                next.taker = None;
                next.crashes += 1;
            }
            Action::GiverTimesOut => {
                let given = matches!(next.giver.as_ref()?.state(), giver::State::Given { .. });
                if self.broken == Broken::GiverImpatient && given {
                    next.by_giver(|giver, deeds| giver.peer_ended(deeds));
                } else {
                    next.by_giver(|giver, deeds| giver.tick(0, deeds));
                }
                next.idle_ticks += u8::from(nobody && world.to_giver.is_empty() && next.idle_ticks < 9);
            }
            Action::TakerTimesOut => {
                next.by_taker(true, |taker, deeds| taker.tick(0, deeds));
                next.idle_ticks += u8::from(nobody && world.to_taker.is_empty() && next.idle_ticks < 9);
            }
            Action::GiverInterrupted => {
                next.notices += 1;
                next.by_giver(|giver, deeds| giver.interrupt("told to leave", deeds));
            }
            Action::TakerToldToLeave => {
                next.notices += 1;
                next.by_taker(true, |taker, deeds| taker.leave(deeds));
            }
            Action::AnotherAttempt => attempt(&mut next),
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never two act", |_, w: &World| !(w.giver_acts() && w.taker_acts())),
            Property::always("what was given and begun is never taken up again", |_, w: &World| {
                !(w.taker_acted && w.giver_acts())
            }),
            Property::always("while one lives, somebody acts or something is on its way", |_, w: &World| {
                let lives = w.giver.is_some() || w.taker.is_some();
                !lives || w.giver_acts() || w.taker_acts() || !w.in_course().is_empty()
            }),
            Property::always("nobody acts for three limits at the most", |_, w: &World| w.idle_ticks <= 3),
            Property::always("without a crash one of them lives", |_, w: &World| {
                w.crashes > 0 || w.giver.is_some() || w.taker.is_some()
            }),
            Property::sometimes("it is handed over", |_, w: &World| w.taker_acts() && w.crashes == 0),
            Property::sometimes("the second attempt succeeds", |_, w: &World| {
                w.taker_acts() && w.attempts == 2
            }),
            Property::sometimes("a dead one is succeeded", |_, w: &World| w.from_the_dead && w.crashes > 0),
            Property::sometimes("what was given is taken back from a dead one", |_, w: &World| w.took_back),
        ]
    }
}

#[test]
fn no_run_of_events_brings_two_owners_or_none() {
    let checker = Handover { broken: Broken::Nothing, crashes: 2 }.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
    assert_eq!(checker.unique_state_count(), 6_323, "another protocol than the one that was explored before");
}

#[test]
fn a_rule_broken_on_purpose_gives_a_short_trace() {
    for (broken, rule) in [
        (Broken::GiverImpatient, "what was given and begun is never taken up again"),
        (Broken::TakerImpatient, "never two act"),
    ] {
        let checker = Handover { broken, crashes: 0 }.checker().target_max_depth(13).spawn_bfs().join();
        let found = checker.discovery(rule).or_else(|| checker.discovery("never two act")).expect("a trace");
        let trace = found.into_actions();
        assert!(trace.len() <= 14, "{trace:?}");
        println!("{rule}: {trace:?}");
    }
}
