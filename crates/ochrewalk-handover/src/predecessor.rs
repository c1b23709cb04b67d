//! Decides, on the side of the node that serves, how far a hand-over goes: whether it is taken up, when the node stands
//! still, when it lets go, and when it takes up again what it had given.

use crate::messages::{ChunkCount, Empty, Hello, Message, Offer, Refusal, Section};
use crate::{FIRST_VERSION_WITH_AHEAD, NEWEST_VERSION, OLDEST_VERSION};

/// What is asked of the node that serves.
pub trait Actions {
    fn send(&mut self, message: Message);
    /// Sends what seldom changes, in chunks, and says how many, and what time it is then; the node serves on, however
    /// long it takes.
    fn transfer_ahead(&mut self, now_us: u64) -> (u64, u64);
    /// Stands still, sends all the rest in chunks, and says how many. From here on nothing is read, started, answered
    /// or called.
    fn pause(&mut self) -> u64;
    /// Goes on as if nothing had been tried.
    fn resume(&mut self);
    /// Has the other process ended, so that its end can be heard.
    fn kill_peer(&mut self);
    /// All is the other's: this process ends.
    fn retire(&mut self);
    /// How the attempt ended, for whoever asked for it and the log.
    fn report_outcome(&mut self, how: &str);
}

/// How long each step may take, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// From the successor's start to its `Ready`.
    pub prepare_us: u64,
    /// From the standstill to `Commit`: this long nobody is answered.
    pub pause_us: u64,
    /// From `Go` to `Done`.
    pub start_us: u64,
}

/// A successor may take so many times as long to read its files as this program took: it has them read beside a program that
/// serves, and on a machine that may be busier than at this one's start.
const READING_FACTOR: u64 = 8;
/// However long the files took: whoever asked for the upgrade waits for twice that.
const LONGEST_PREPARE_US: u64 = 30_000_000;

impl Limits {
    /// The same with time for a successor to read files that took this program `reading_us`.
    ///
    /// ```
    /// use ochrewalk_handover::predecessor::Limits;
    /// let limits = Limits { prepare_us: 5_000_000, pause_us: 2_000_000, start_us: 1_000_000 };
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
    /// The stream is up; the successor has not spoken yet.
    AwaitingHello {
        deadline_us: u64,
    },
    Offered {
        deadline_us: u64,
    },
    /// What seldom changes is on its way.
    Preparing {
        deadline_us: u64,
    },
    /// Standing still.
    Paused {
        deadline_us: u64,
    },
    /// `Go` is out: only the stream's end can bring it back.
    Released {
        deadline_us: u64,
    },
    /// The successor has begun, or this attempt is over and the node goes on.
    Retired,
    Ended,
}

/// What the node has to hand over, as far as the offer needs it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StateSummary {
    pub digest: u64,
    pub sections: Vec<Section>,
    /// Those that go ahead, to successors that know how to.
    pub ahead: Vec<Section>,
    pub bytes: u64,
    pub descriptors: u32,
    /// Why it cannot be taken now, with the figures.
    pub shortage: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Predecessor {
    state: State,
    limits: Limits,
    summary: StateSummary,
    /// The successor knows what goes ahead.
    transfers_ahead: bool,
}

impl Predecessor {
    /// A successor was started.
    pub fn new(now_us: u64, limits: Limits, summary: StateSummary) -> Predecessor {
        let state = State::AwaitingHello { deadline_us: now_us + limits.prepare_us };
        Predecessor { state, limits, summary, transfers_ahead: false }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the node may read, start, answer and call.
    pub fn may_act(&self) -> bool {
        !matches!(self.state, State::Paused { .. } | State::Released { .. } | State::Retired)
    }

    /// Whether another attempt may begin.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    pub fn message(&mut self, now_us: u64, message: &Message, actions: &mut impl Actions) {
        match (self.state, message) {
            (State::Ended | State::Retired, _) => {}
            (State::AwaitingHello { deadline_us }, Message::Hello(hello)) => match self.check(hello) {
                Err(why) => {
                    actions.send(Message::Refuse(Refusal { reason: why.clone() }));
                    self.end(&why, actions);
                }
                Ok(version) => {
                    let StateSummary { mut sections, ahead, bytes, descriptors, .. } = self.summary.clone();
                    self.transfers_ahead = version >= FIRST_VERSION_WITH_AHEAD && !ahead.is_empty();
                    sections.extend(ahead.into_iter().filter(|_| self.transfers_ahead));
                    actions.send(Message::Offer(Offer { version, sections, bytes, descriptors }));
                    self.state = State::Offered { deadline_us };
                }
            },
            (State::Offered { deadline_us }, Message::Prepare(_)) => {
                let (chunks, now_us) =
                    if self.transfers_ahead { actions.transfer_ahead(now_us) } else { (0, now_us) };
                // What is still on its way there is read before the answer: the successor has its time from here on.
                self.state =
                    State::Preparing { deadline_us: deadline_us.max(now_us + self.limits.prepare_us) };
                actions.send(Message::AheadComplete(ChunkCount { chunks }));
            }
            (State::Preparing { .. }, Message::Ready(_)) => {
                self.state = State::Paused { deadline_us: now_us + self.limits.pause_us };
                let chunks = actions.pause();
                actions.send(Message::TransferComplete(ChunkCount { chunks }));
            }
            (State::Paused { .. }, Message::Loaded(_)) => {
                // From here on this side never acts again unless the other is known to have ended.
                self.state = State::Released { deadline_us: now_us + self.limits.start_us };
                actions.send(Message::Release(Empty {}));
            }
            (State::Released { .. }, Message::Started(_)) => {
                self.state = State::Retired;
                actions.report_outcome("handed over");
                actions.retire();
            }
            // After `Go` the other side may not change its mind; only its end counts.
            (State::Released { .. }, _) => {}
            (_, Message::Refuse(refuse) | Message::Abort(refuse)) => {
                let why = format!("the new program refused: {}", refuse.reason);
                self.end(&why, actions);
            }
            (_, _) => self.abort("a message out of turn", actions),
        }
    }

    /// The stream has ended, which only the other process's end brings about.
    pub fn peer_ended(&mut self, actions: &mut impl Actions) {
        match self.state {
            State::Ended | State::Retired => {}
            // It ended before its first act: nothing was done with what it had been given.
            State::Released { .. } => self.end("the new program ended before it began", actions),
            _ => self.end("the new program ended", actions),
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now_us: u64, actions: &mut impl Actions) {
        if self.deadline_us().is_none_or(|deadline_us| now_us < deadline_us) {
            return;
        }
        match self.state {
            State::Released { .. } => {
                // It may hold all that was given and wake at any moment: it has to be gone first.
                actions.kill_peer();
                self.state = State::Released { deadline_us: now_us + self.limits.start_us };
            }
            _ => self.abort("the new program took too long", actions),
        }
    }

    /// Until when something has to come.
    pub fn deadline_us(&self) -> Option<u64> {
        match self.state {
            State::AwaitingHello { deadline_us }
            | State::Offered { deadline_us }
            | State::Preparing { deadline_us }
            | State::Paused { deadline_us }
            | State::Released { deadline_us } => Some(deadline_us),
            State::Retired | State::Ended => None,
        }
    }

    /// This node is to leave, or its files were read again: what was offered is not so any more.
    pub fn interrupt(&mut self, why: &str, actions: &mut impl Actions) {
        if !matches!(self.state, State::Released { .. } | State::Retired | State::Ended) {
            self.abort(why, actions);
        }
    }

    fn check(&self, hello: &Hello) -> Result<u32, String> {
        if hello.newest < OLDEST_VERSION || hello.oldest > NEWEST_VERSION {
            let (oldest, newest) = (hello.oldest, hello.newest);
            return Err(format!(
                "it speaks versions {oldest} to {newest}, this program {OLDEST_VERSION} to {NEWEST_VERSION}"
            ));
        }
        if hello.digest != self.summary.digest {
            return Err("its files set what only a start can change".into());
        }
        match &self.summary.shortage {
            Some(why) => Err(why.clone()),
            None => Ok(hello.newest.min(NEWEST_VERSION)),
        }
    }

    fn abort(&mut self, why: &str, actions: &mut impl Actions) {
        actions.send(Message::Abort(Refusal { reason: why.into() }));
        self.end(why, actions);
    }

    fn end(&mut self, why: &str, actions: &mut impl Actions) {
        let paused = !self.may_act();
        self.state = State::Ended;
        if paused {
            actions.resume();
        }
        actions.report_outcome(why);
    }
}
