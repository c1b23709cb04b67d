//! Decides, on the side of the program that is to take over, how far a hand-over goes: whether it takes what is
//! offered, when it may begin, and when it ends instead.

use crate::messages::{Greet, Message, Nothing, Offer, Prepare, Refuse, Section};
use crate::{NEWEST, OLDEST};

/// What is asked of the program that is to take over.
pub trait Acts {
    fn send(&mut self, message: Message);
    /// Keeps a part of the other's state.
    fn keep(&mut self, section: &str, bytes: &[u8], descriptors: u32);
    /// Puts together all that was kept. An error says what is wrong with it; nothing may be done with it yet.
    fn load(&mut self) -> Result<(), String>;
    /// Serves from here on, with what was taken.
    fn begin(&mut self);
    /// Serves from here on as after a start: the other died before it had given all of it.
    fn begin_anew(&mut self);
    /// Has the other process ended, so that its end can be heard.
    fn end_peer(&mut self);
    /// Ends, as nothing is to be taken over.
    fn end(&mut self, why: &str);
}

/// How long each step may take, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// For the other side's next word before it stands still.
    pub answer_us: u64,
    /// For its word once it stands still.
    pub frozen_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    Greeted {
        until_us: u64,
    },
    Prepared {
        until_us: u64,
    },
    /// What went ahead is here; the other stands still, or will.
    Ready {
        until_us: u64,
    },
    /// All of it is here.
    Committed {
        until_us: u64,
    },
    Serving,
    Ended,
}

/// What this program can take.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Room {
    pub digest: u64,
    pub program: String,
    /// The newest version of each section that it knows.
    pub knows: Vec<Section>,
    pub bytes: u64,
    pub descriptors: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Taker {
    state: State,
    limits: Limits,
    room: Room,
    parts: u64,
}

impl Taker {
    /// Its files are read and good: the first word goes out.
    pub fn start(now_us: u64, limits: Limits, room: Room, acts: &mut impl Acts) -> Taker {
        let (digest, program) = (room.digest, room.program.clone());
        acts.send(Message::Greet(Greet { oldest: OLDEST, newest: NEWEST, program, digest }));
        Taker { state: State::Greeted { until_us: now_us + limits.answer_us }, limits, room, parts: 0 }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether it may read, start, answer and call.
    pub fn may_act(&self) -> bool {
        self.state == State::Serving
    }

    pub fn message(&mut self, now_us: u64, message: &Message, acts: &mut impl Acts) {
        match (self.state, message) {
            (State::Serving | State::Ended, _) => {}
            (State::Greeted { .. }, Message::Offer(offer)) => match self.judge(offer) {
                Err(why) => self.refuse(&why, acts),
                Ok(()) => {
                    acts.send(Message::Prepare(Prepare {}));
                    self.state = State::Prepared { until_us: now_us + self.limits.answer_us };
                }
            },
            (State::Prepared { .. } | State::Ready { .. }, Message::Part(part)) => {
                self.parts += 1;
                // What goes ahead may take long as a whole; the running program serves meanwhile.
                if let State::Prepared { until_us } = &mut self.state {
                    *until_us = (*until_us).max(now_us + self.limits.answer_us);
                }
                acts.keep(&part.section, &part.bytes, part.descriptors);
            }
            (State::Prepared { .. }, Message::Ahead(count)) if count.parts == self.parts => {
                self.parts = 0;
                acts.send(Message::Ready(Nothing {}));
                self.state = State::Ready { until_us: now_us + self.limits.frozen_us };
            }
            (State::Ready { .. }, Message::Last(count)) if count.parts == self.parts => match acts.load() {
                Err(why) => self.refuse(&why, acts),
                Ok(()) => {
                    acts.send(Message::Commit(Nothing {}));
                    self.state = State::Committed { until_us: now_us + self.limits.frozen_us };
                }
            },
            (State::Committed { .. }, Message::Go(_)) => self.serve(acts),
            (_, Message::Refuse(refuse) | Message::Abort(refuse)) => self.over(&refuse.why, acts),
            (_, _) => self.refuse("a message out of turn", acts),
        }
    }

    /// The stream has ended, which only the other process's end brings about: nobody serves.
    pub fn peer_ended(&mut self, acts: &mut impl Acts) {
        match self.state {
            State::Serving | State::Ended => {}
            // It stood still when it died, and all that it held is here.
            State::Committed { .. } => self.serve(acts),
            State::Greeted { .. } | State::Prepared { .. } | State::Ready { .. } => {
                self.state = State::Serving;
                acts.begin_anew();
            }
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now_us: u64, acts: &mut impl Acts) {
        if self.due_us().is_none_or(|until_us| now_us < until_us) {
            return;
        }
        match self.state {
            // The other stands still, or has let go: it answers in its time, or it hangs and has to be ended.
            State::Committed { .. } => {
                acts.end_peer();
                self.state = State::Committed { until_us: now_us + self.limits.frozen_us };
            }
            _ => self.refuse("the running program took too long", acts),
        }
    }

    /// Until when something has to come.
    pub fn due_us(&self) -> Option<u64> {
        match self.state {
            State::Greeted { until_us }
            | State::Prepared { until_us }
            | State::Ready { until_us }
            | State::Committed { until_us } => Some(until_us),
            State::Serving | State::Ended => None,
        }
    }

    /// It is told to leave. Once it holds everything it may be the last one alive: then it serves first, and is told
    /// again.
    pub fn leave(&mut self, acts: &mut impl Acts) {
        if matches!(self.state, State::Greeted { .. } | State::Prepared { .. } | State::Ready { .. }) {
            self.refuse("told to leave", acts);
        }
    }

    fn judge(&self, offer: &Offer) -> Result<(), String> {
        for section in &offer.sections {
            let knows = self.room.knows.iter().find(|known| known.name == section.name);
            if knows.is_none_or(|known| known.version < section.version) {
                return Err(format!("it does not know {} of version {}", section.name, section.version));
            }
        }
        let Room { bytes, descriptors, .. } = self.room;
        if offer.bytes > bytes {
            return Err(format!("{} bytes of state, room for {bytes}", offer.bytes));
        }
        if offer.descriptors > descriptors {
            return Err(format!("{} descriptors, room for {descriptors}", offer.descriptors));
        }
        Ok(())
    }

    /// The word comes before the first act: a giver that has not heard it may take all of it up again.
    fn serve(&mut self, acts: &mut impl Acts) {
        self.state = State::Serving;
        acts.send(Message::Done(Nothing {}));
        acts.begin();
    }

    fn refuse(&mut self, why: &str, acts: &mut impl Acts) {
        acts.send(Message::Abort(Refuse { why: why.into() }));
        self.over(why, acts);
    }

    fn over(&mut self, why: &str, acts: &mut impl Acts) {
        self.state = State::Ended;
        acts.end(why);
    }
}
