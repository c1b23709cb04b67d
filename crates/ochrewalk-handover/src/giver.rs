//! Decides, on the side of the node that serves, how far a hand-over goes: whether it is taken up, when the node stands
//! still, when it lets go, and when it takes up again what it had given.

use crate::messages::{Count, Greet, Message, Nothing, Offer, Refuse, Section};
use crate::{AHEAD, NEWEST, OLDEST};

/// What is asked of the node that serves.
pub trait Acts {
    fn send(&mut self, message: Message);
    /// Sends what seldom changes, in parts, and says how many, and what time it is then; the node serves on, however
    /// long it takes.
    fn send_ahead(&mut self, now_us: u64) -> (u64, u64);
    /// Stands still, sends all the rest in parts, and says how many. From here on nothing is read, started, answered
    /// or called.
    fn freeze(&mut self) -> u64;
    /// Goes on as if nothing had been tried.
    fn thaw(&mut self);
    /// Has the other process ended, so that its end can be heard.
    fn end_peer(&mut self);
    /// All is the other's: this process ends.
    fn retire(&mut self);
    /// How the attempt ended, for whoever asked for it and the log.
    fn tell(&mut self, how: &str);
}

/// How long each step may take, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// From the taker's start to its `Ready`.
    pub prepare_us: u64,
    /// From the standstill to `Commit`: this long nobody is answered.
    pub freeze_us: u64,
    /// From `Go` to `Done`.
    pub begin_us: u64,
}

/// A successor may take so many times as long to read its files as this program took: it has them read beside a program that
/// serves, and on a machine that may be busier than at this one's start.
const READING_FACTOR: u64 = 8;
/// However long the files took: whoever asked for the upgrade waits for twice that.
const LONGEST_PREPARE_US: u64 = 30_000_000;

impl Limits {
    /// The same with time for a taker to read files that took this program `reading_us`.
    ///
    /// ```
    /// use ochrewalk_handover::giver::Limits;
    /// let limits = Limits { prepare_us: 5_000_000, freeze_us: 2_000_000, begin_us: 1_000_000 };
    /// assert_eq!(limits.for_reading(1_000), limits, "small files change nothing");
    /// assert_eq!(limits.for_reading(1_500_000), Limits { prepare_us: 12_000_000, ..limits });
    /// assert_eq!(limits.for_reading(60_000_000), Limits { prepare_us: 30_000_000, ..limits });
    /// ```
    pub fn for_reading(self, reading_us: u64) -> Limits {
        let reading_us = reading_us.saturating_mul(READING_FACTOR).min(LONGEST_PREPARE_US);
        Limits { prepare_us: self.prepare_us.max(reading_us), ..self }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The stream is up; the taker has not spoken yet.
    Waiting {
        until_us: u64,
    },
    Offered {
        until_us: u64,
    },
    /// What seldom changes is on its way.
    Preparing {
        until_us: u64,
    },
    /// Standing still.
    Frozen {
        until_us: u64,
    },
    /// `Go` is out: only the stream's end can bring it back.
    Given {
        until_us: u64,
    },
    /// The taker has begun, or this attempt is over and the node goes on.
    Retired,
    Over,
}

/// What the node has to hand over, as far as the offer needs it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holding {
    pub digest: u64,
    pub sections: Vec<Section>,
    /// Those that go ahead, to takers that know how to.
    pub ahead: Vec<Section>,
    pub bytes: u64,
    pub descriptors: u32,
    /// Why it cannot be taken now, with the figures.
    pub unfit: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Giver {
    state: State,
    limits: Limits,
    holding: Holding,
    /// The taker knows what goes ahead.
    goes_ahead: bool,
}

impl Giver {
    /// A taker was started.
    pub fn new(now_us: u64, limits: Limits, holding: Holding) -> Giver {
        let state = State::Waiting { until_us: now_us + limits.prepare_us };
        Giver { state, limits, holding, goes_ahead: false }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the node may read, start, answer and call.
    pub fn may_act(&self) -> bool {
        !matches!(self.state, State::Frozen { .. } | State::Given { .. } | State::Retired)
    }

    /// Whether another attempt may begin.
    pub fn is_over(&self) -> bool {
        self.state == State::Over
    }

    pub fn message(&mut self, now_us: u64, message: &Message, acts: &mut impl Acts) {
        match (self.state, message) {
            (State::Over | State::Retired, _) => {}
            (State::Waiting { until_us }, Message::Greet(greet)) => match self.judge(greet) {
                Err(why) => {
                    acts.send(Message::Refuse(Refuse { why: why.clone() }));
                    self.over(&why, acts);
                }
                Ok(version) => {
                    let Holding { mut sections, ahead, bytes, descriptors, .. } = self.holding.clone();
                    self.goes_ahead = version >= AHEAD && !ahead.is_empty();
                    sections.extend(ahead.into_iter().filter(|_| self.goes_ahead));
                    acts.send(Message::Offer(Offer { version, sections, bytes, descriptors }));
                    self.state = State::Offered { until_us };
                }
            },
            (State::Offered { until_us }, Message::Prepare(_)) => {
                let (parts, now_us) = if self.goes_ahead { acts.send_ahead(now_us) } else { (0, now_us) };
                // What is still on its way there is read before the answer: the taker has its time from here on.
                self.state = State::Preparing { until_us: until_us.max(now_us + self.limits.prepare_us) };
                acts.send(Message::Ahead(Count { parts }));
            }
            (State::Preparing { .. }, Message::Ready(_)) => {
                self.state = State::Frozen { until_us: now_us + self.limits.freeze_us };
                let parts = acts.freeze();
                acts.send(Message::Last(Count { parts }));
            }
            (State::Frozen { .. }, Message::Commit(_)) => {
                // From here on this side never acts again unless the other is known to have ended.
                self.state = State::Given { until_us: now_us + self.limits.begin_us };
                acts.send(Message::Go(Nothing {}));
            }
            (State::Given { .. }, Message::Done(_)) => {
                self.state = State::Retired;
                acts.tell("handed over");
                acts.retire();
            }
            // After `Go` the other side may not change its mind; only its end counts.
            (State::Given { .. }, _) => {}
            (_, Message::Refuse(refuse) | Message::Abort(refuse)) => {
                let why = format!("the new program refused: {}", refuse.why);
                self.over(&why, acts);
            }
            (_, _) => self.abort("a message out of turn", acts),
        }
    }

    /// The stream has ended, which only the other process's end brings about.
    pub fn peer_ended(&mut self, acts: &mut impl Acts) {
        match self.state {
            State::Over | State::Retired => {}
            // It ended before its first act: nothing was done with what it had been given.
            State::Given { .. } => self.over("the new program ended before it began", acts),
            _ => self.over("the new program ended", acts),
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now_us: u64, acts: &mut impl Acts) {
        if self.due_us().is_none_or(|until_us| now_us < until_us) {
            return;
        }
        match self.state {
            State::Given { .. } => {
                // It may hold all that was given and wake at any moment: it has to be gone first.
                acts.end_peer();
                self.state = State::Given { until_us: now_us + self.limits.begin_us };
            }
            _ => self.abort("the new program took too long", acts),
        }
    }

    /// Until when something has to come.
    pub fn due_us(&self) -> Option<u64> {
        match self.state {
            State::Waiting { until_us }
            | State::Offered { until_us }
            | State::Preparing { until_us }
            | State::Frozen { until_us }
            | State::Given { until_us } => Some(until_us),
            State::Retired | State::Over => None,
        }
    }

    /// This node is to leave, or its files were read again: what was offered is not so any more.
    pub fn interrupt(&mut self, why: &str, acts: &mut impl Acts) {
        if !matches!(self.state, State::Given { .. } | State::Retired | State::Over) {
            self.abort(why, acts);
        }
    }

    fn judge(&self, greet: &Greet) -> Result<u32, String> {
        if greet.newest < OLDEST || greet.oldest > NEWEST {
            let (oldest, newest) = (greet.oldest, greet.newest);
            return Err(format!(
                "it speaks versions {oldest} to {newest}, this program {OLDEST} to {NEWEST}"
            ));
        }
        if greet.digest != self.holding.digest {
            return Err("its files set what only a start can change".into());
        }
        match &self.holding.unfit {
            Some(why) => Err(why.clone()),
            None => Ok(greet.newest.min(NEWEST)),
        }
    }

    fn abort(&mut self, why: &str, acts: &mut impl Acts) {
        acts.send(Message::Abort(Refuse { why: why.into() }));
        self.over(why, acts);
    }

    fn over(&mut self, why: &str, acts: &mut impl Acts) {
        let frozen = !self.may_act();
        self.state = State::Over;
        if frozen {
            acts.thaw();
        }
        acts.tell(why);
    }
}
