//! Each step with what may go wrong in it, and the messages over any split.

use ochrewalk_handover::giver::{self, Giver, Holding};
use ochrewalk_handover::messages::{
    self, Count, Greet, Message, Nothing, Offer, Part, Prepare, Refuse, Section,
};
use ochrewalk_handover::taker::{self, Room, Taker};

#[derive(Default)]
struct Deeds(Vec<String>);

impl Deeds {
    fn take(&mut self) -> String {
        std::mem::take(&mut self.0).join(", ")
    }

    fn sent(&mut self, message: Message) {
        self.0.push(match message {
            Message::Refuse(r) => format!("refuse: {}", r.why),
            Message::Abort(r) => format!("abort: {}", r.why),
            Message::Offer(o) => format!("offer {}", o.version),
            other => format!("{other:?}").split(['(', ' ']).next().unwrap().to_lowercase(),
        });
    }
}

impl giver::Acts for Deeds {
    fn send(&mut self, message: Message) {
        self.sent(message);
    }
    fn send_ahead(&mut self, now_us: u64) -> (u64, u64) {
        (0, now_us)
    }
    fn freeze(&mut self) -> u64 {
        self.0.push("frozen".into());
        0
    }
    fn thaw(&mut self) {
        self.0.push("thawed".into());
    }
    fn end_peer(&mut self) {
        self.0.push("end peer".into());
    }
    fn retire(&mut self) {
        self.0.push("retired".into());
    }
    fn tell(&mut self, how: &str) {
        self.0.push(format!("told: {how}"));
    }
}

impl taker::Acts for Deeds {
    fn send(&mut self, message: Message) {
        self.sent(message);
    }
    fn keep(&mut self, section: &str, bytes: &[u8], descriptors: u32) {
        self.0.push(format!("keep {section} {} {descriptors}", bytes.len()));
    }
    fn load(&mut self) -> Result<(), String> {
        if self.0.iter().any(|d| d.starts_with("keep spoilt")) {
            return Err("a spoilt section".into());
        }
        Ok(())
    }
    fn begin(&mut self) {
        self.0.push("begun".into());
    }
    fn begin_anew(&mut self) {
        self.0.push("begun anew".into());
    }
    fn end_peer(&mut self) {
        self.0.push("end peer".into());
    }
    fn end(&mut self, why: &str) {
        self.0.push(format!("ended: {why}"));
    }
}

fn section(name: &str, version: u32) -> Section {
    Section { name: name.into(), version }
}

fn giver(unfit: Option<&str>) -> Giver {
    let limits = giver::Limits { prepare_us: 100, freeze_us: 10, begin_us: 10 };
    let holding = Holding {
        digest: 7,
        sections: vec![section("rpcs", 1)],
        ahead: vec![section("tokens", 1)],
        bytes: 50,
        descriptors: 5,
        unfit: unfit.map(String::from),
    };
    Giver::new(0, limits, holding)
}

fn greet(oldest: u32, newest: u32, digest: u64) -> Message {
    Message::Greet(Greet { oldest, newest, program: "1".into(), digest })
}

const READY: Message = Message::Ready(Nothing {});
const COMMIT: Message = Message::Commit(Nothing {});
const GO: Message = Message::Go(Nothing {});
const DONE: Message = Message::Done(Nothing {});
const PREPARE: Message = Message::Prepare(Prepare {});

#[test]
fn the_giver_goes_step_by_step_and_goes_on_whatever_fails() {
    let steps = [
        (greet(1, 9, 7), "offer 2"),
        (PREPARE, "ahead"),
        (READY, "frozen, last"),
        (COMMIT, "go"),
        (DONE, "told: handed over, retired"),
    ];
    for upto in 0..=steps.len() {
        let begun = || {
            let (mut giver, mut deeds) = (giver(None), Deeds::default());
            for (message, wanted) in &steps[..upto] {
                giver.message(5, message, &mut deeds);
                assert_eq!(deeds.take(), *wanted);
            }
            (giver, deeds)
        };
        assert_eq!(begun().0.may_act(), upto < 3, "{upto}");
        let thaws = if upto == 3 { "thawed, " } else { "" };
        // The other ends.
        let (mut giver, mut deeds) = begun();
        giver.peer_ended(&mut deeds);
        let wanted = match upto {
            0..=3 => format!("{thaws}told: the new program ended"),
            4 => "thawed, told: the new program ended before it began".into(),
            _ => String::new(),
        };
        assert_eq!(deeds.take(), wanted, "{upto}");
        assert_eq!(giver.may_act(), upto < 5);
        // It takes too long.
        let (mut giver, mut deeds) = begun();
        let due = giver.due_us();
        assert_eq!(due.is_none(), upto == 5);
        if let Some(due) = due {
            giver.tick(due - 1, &mut deeds);
            assert_eq!(deeds.take(), "");
            giver.tick(due, &mut deeds);
            let why = "the new program took too long";
            let wanted = match upto {
                4 => "end peer".into(),
                _ => format!("abort: {why}, {thaws}told: {why}"),
            };
            assert_eq!(deeds.take(), wanted, "{upto}");
        }
        // It is interrupted, or hears what has no place here; after `Go` neither counts.
        let (mut giver, mut deeds) = begun();
        giver.interrupt("told to leave", &mut deeds);
        let wanted = if upto < 4 {
            format!("abort: told to leave, {thaws}told: told to leave")
        } else {
            String::new()
        };
        assert_eq!(deeds.take(), wanted, "{upto}");
        let (mut giver, mut deeds) = begun();
        giver.message(6, &GO, &mut deeds);
        let why = "a message out of turn";
        let wanted = if upto < 4 { format!("abort: {why}, {thaws}told: {why}") } else { String::new() };
        assert_eq!(deeds.take(), wanted, "{upto}");
        let (mut giver, mut deeds) = begun();
        giver.message(6, &Message::Abort(Refuse { why: "x".into() }), &mut deeds);
        let wanted =
            if upto < 4 { format!("{thaws}told: the new program refused: x") } else { String::new() };
        assert_eq!(deeds.take(), wanted, "{upto}");
        assert_eq!(giver.is_over(), upto < 4);
    }
}

#[test]
fn what_goes_ahead_is_offered_to_takers_that_know_how_and_to_no_others() {
    for (newest, sections) in [(1, 1), (2, 2)] {
        let (mut giver, mut told) = (giver(None), Offers::default());
        giver.message(0, &greet(1, newest, 7), &mut told);
        giver.message(1, &PREPARE, &mut told);
        assert_eq!((told.sections, told.ahead), (sections, newest == 2));
        // The taker has its time once all is sent, and no longer.
        let sent_us = if newest == 2 { 1_001 } else { 1 };
        giver.tick(sent_us + 99, &mut told);
        assert!(!giver.is_over());
        giver.tick(sent_us + 100, &mut told);
        assert!(giver.is_over());
    }
}

/// What is offered, and whether anything was sent ahead.
#[derive(Default)]
struct Offers {
    sections: usize,
    ahead: bool,
}

impl giver::Acts for Offers {
    fn send(&mut self, message: Message) {
        if let Message::Offer(offer) = message {
            self.sections = offer.sections.len();
        }
    }
    /// Sending takes ten times as long as any other step may.
    fn send_ahead(&mut self, now_us: u64) -> (u64, u64) {
        self.ahead = true;
        (0, now_us + 1_000)
    }
    fn freeze(&mut self) -> u64 {
        0
    }
    fn thaw(&mut self) {}
    fn end_peer(&mut self) {}
    fn retire(&mut self) {}
    fn tell(&mut self, _how: &str) {}
}

#[test]
fn what_cannot_be_taken_is_refused_before_anything_stops() {
    for (message, unfit, why) in [
        (greet(3, 4, 7), None, "it speaks versions 3 to 4, this program 1 to 2"),
        (greet(0, 0, 7), None, "it speaks versions 0 to 0, this program 1 to 2"),
        (greet(1, 1, 8), None, "its files set what only a start can change"),
        (greet(1, 1, 7), Some("70 MB in use, 96 allowed"), "70 MB in use, 96 allowed"),
    ] {
        let (mut giver, mut deeds) = (giver(unfit), Deeds::default());
        giver.message(0, &message, &mut deeds);
        assert_eq!(deeds.take(), format!("refuse: {why}, told: {why}"));
        assert!(giver.may_act() && giver.is_over());
    }
}

fn taker(deeds: &mut Deeds) -> Taker {
    let limits = taker::Limits { answer_us: 100, frozen_us: 10 };
    let knows = vec![section("rpcs", 2), section("tokens", 1)];
    let room = Room { digest: 7, program: "2".into(), knows, bytes: 100, descriptors: 10 };
    Taker::start(0, limits, room, deeds)
}

fn offer(sections: Vec<Section>, bytes: u64, descriptors: u32) -> Message {
    Message::Offer(Offer { version: 1, sections, bytes, descriptors })
}

fn part(section: &str) -> Message {
    Message::Part(Part { section: section.into(), bytes: vec![1, 2], descriptors: 1 })
}

#[test]
fn the_taker_begins_only_at_the_word_or_when_the_other_is_dead() {
    let steps = [
        (offer(vec![section("rpcs", 1)], 50, 5), "prepare"),
        (part("tokens"), "keep tokens 2 1"),
        (Message::Ahead(Count { parts: 1 }), "ready"),
        (part("rpcs"), "keep rpcs 2 1"),
        (Message::Last(Count { parts: 1 }), "commit"),
        (GO, "done, begun"),
    ];
    for upto in 0..=steps.len() {
        let begun = || {
            let mut deeds = Deeds::default();
            let mut taker = taker(&mut deeds);
            assert_eq!(deeds.take(), "greet");
            for (message, wanted) in &steps[..upto] {
                taker.message(5, message, &mut deeds);
                assert_eq!(deeds.take(), *wanted);
            }
            (taker, deeds)
        };
        assert_eq!(begun().0.may_act(), upto == 6, "{upto}");
        let (mut taker, mut deeds) = begun();
        taker.peer_ended(&mut deeds);
        assert_eq!(
            deeds.take(),
            ["begun anew", "begun anew", "begun anew", "begun anew", "begun anew", "done, begun", ""][upto]
        );
        assert!(taker.may_act());
        let (mut taker, mut deeds) = begun();
        if let Some(due) = taker.due_us() {
            taker.tick(due - 1, &mut deeds);
            taker.tick(due, &mut deeds);
            let why = "the running program took too long";
            let wanted = if upto == 5 { "end peer".into() } else { format!("abort: {why}, ended: {why}") };
            assert_eq!(deeds.take(), wanted, "{upto}");
        }
        let (mut taker, mut deeds) = begun();
        taker.leave(&mut deeds);
        assert_eq!(deeds.take(), if upto < 5 { "abort: told to leave, ended: told to leave" } else { "" });
        let (mut taker, mut deeds) = begun();
        taker.message(6, &Message::Abort(Refuse { why: "x".into() }), &mut deeds);
        assert_eq!(deeds.take(), if upto < 6 { "ended: x" } else { "" });
    }
}

#[test]
fn the_taker_refuses_what_it_does_not_know_or_has_no_room_for() {
    for (message, why) in [
        (offer(vec![section("rpcs", 3)], 1, 1), "it does not know rpcs of version 3"),
        (offer(vec![section("pools", 1)], 1, 1), "it does not know pools of version 1"),
        (offer(vec![], 101, 1), "101 bytes of state, room for 100"),
        (offer(vec![], 1, 11), "11 descriptors, room for 10"),
        (READY, "a message out of turn"),
    ] {
        let mut deeds = Deeds::default();
        let mut taker = taker(&mut deeds);
        deeds.take();
        taker.message(0, &message, &mut deeds);
        assert_eq!(deeds.take(), format!("abort: {why}, ended: {why}"));
    }
    // A part that got lost, and one that cannot be put together.
    for (section, parts, why) in [("rpcs", 2, "a message out of turn"), ("spoilt", 1, "a spoilt section")] {
        let mut deeds = Deeds::default();
        let mut taker = taker(&mut deeds);
        for message in [offer(vec![], 1, 1), Message::Ahead(Count { parts: 0 })] {
            taker.message(0, &message, &mut deeds);
        }
        deeds.take();
        taker.message(0, &part(section), &mut deeds);
        taker.message(0, &Message::Last(Count { parts }), &mut deeds);
        assert!(deeds.take().ends_with(&format!("abort: {why}, ended: {why}")));
    }
}

#[test]
fn messages_are_read_back_over_any_split_and_new_ones_are_passed_over() {
    for message in [greet(1, 2, 3), offer(vec![section("a", 1)], 1, 2), part("x"), PREPARE, GO] {
        let bytes = messages::write(message.clone());
        for cut in 0..bytes.len() {
            assert_eq!(messages::read(&bytes[..cut]), Ok((None, 0)));
        }
        assert_eq!(messages::read(&bytes), Ok((Some(message), bytes.len())));
    }
    // Field 99, a message of a newer program: read, and passed over.
    let newer = [0, 0, 0, 4, 0x9a, 0x06, 0x01, 0x00];
    assert_eq!(messages::read(&newer), Ok((None, 8)));
    assert!(messages::read(&[0x7f, 0, 0, 0]).is_err());
    assert!(messages::read(&[0, 0, 0, 1, 0xff]).is_err());
}
