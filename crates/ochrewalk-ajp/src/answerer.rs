//! Decides the life of an AJP connection on which we are asked: what may come when, when a request is whole, who is
//! still owed an answer, whether the connection may carry another request, and when it ends. No sockets, no clock:
//! whoever carries the connection tells it what came and when, in microseconds.
//!
//! A request counts as here once its last byte was read; up to then nothing has run and none is owed an answer, though
//! one is given where the asker still listens. From then on exactly one answer is given, unless the asker is gone.

use crate::packet::Broken;
use crate::request::BodyLength;

/// What the one connection is allowed; all times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// From the connection's start to its first whole packet.
    pub first_us: u64,
    /// From a packet's first byte to its last.
    pub packet_us: u64,
    /// From a request's head to the end of its body.
    pub body_us: u64,
    /// Without a request, from the last answer on.
    pub idle_us: u64,
    /// For the asker to close after the last answer.
    pub close_us: u64,
    pub most_body: u64,
    /// Requests in a row that are turned down for what is wrong with them.
    pub most_faults: u32,
}

/// What is said to a request that is turned down before anybody hears of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub status: u16,
    pub why: &'static str,
}

pub const BODY_SHORT: Refusal = Refusal { status: 400, why: "the body ends before its stated length" };
pub const BODY_LONG: Refusal = Refusal { status: 400, why: "the body is longer than its stated length" };
pub const BODY_LATE: Refusal = Refusal { status: 408, why: "the body did not come in time" };
pub const BODY_TOO_LARGE: Refusal = Refusal { status: 413, why: "the body is larger than any may be" };
pub const NO_LOGIN: Refusal = Refusal { status: 403, why: "nobody logs on here" };
pub const NO_SHUTDOWN: Refusal = Refusal { status: 403, why: "nobody ends this server by a message" };

/// What a life asks of whoever carries it.
pub trait Acts {
    /// The request and its body are whole: it goes on to be decided on.
    fn start(&mut self);
    /// Asks for the next piece of the body, so long at most.
    fn ask_body(&mut self, most: u64);
    /// Answers a ping.
    fn pong(&mut self);
    /// Answers a request that nobody else has heard of, or tells what was wrong before the end.
    fn refuse(&mut self, refusal: Refusal, reuse: bool);
    /// Whoever waits for the answer has gone: none is owed.
    fn gone(&mut self);
    /// Ends the connection for this reason once all is written.
    fn end(&mut self, why: End);
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Broken(Broken),
    /// Nothing came in time.
    Silent,
    /// It carried nothing for long.
    Idle,
    /// The asker does not close it, though it was told that no more is answered.
    Unclosed,
    Leaving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Carries nothing since then.
    Idle { since_us: u64 },
    /// A packet's first bytes are here since then.
    Head { since_us: u64 },
    /// A request's head is here since then, and so much of its body.
    Body { since_us: u64, got: u64, of: BodyLength },
    /// The request is decided on and run. `spoilt` where more came than belongs to it.
    InHand { spoilt: bool },
    /// The answer is on its way.
    Answering { reuse: bool },
    /// The last answer is out; the asker is to close. What still comes is dropped.
    Closing { since_us: u64 },
    /// Nothing more comes or goes.
    Over,
}

/// A message without fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plain {
    CPing,
    Login,
    Shutdown,
}

#[derive(Clone, Copy, Debug)]
pub struct Life {
    state: State,
    bounds: Bounds,
    /// A whole packet has come.
    spoke: bool,
    faults: u32,
    leaving: bool,
}

impl Life {
    pub fn new(now_us: u64, bounds: Bounds) -> Life {
        Life { state: State::Idle { since_us: now_us }, bounds, spoke: false, faults: 0, leaving: false }
    }

    /// Its state, whether it spoke, and its faults, for whoever goes on with it in another process.
    pub fn keep(&self) -> (State, bool, u32) {
        (self.state, self.spoke, self.faults)
    }

    /// Goes on with a life that was kept; it does not leave.
    pub fn resume(bounds: Bounds, state: State, spoke: bool, faults: u32) -> Life {
        Life { state, bounds, spoke, faults, leaving: false }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the next packet has to be a piece of a body.
    pub fn awaits_piece(&self) -> bool {
        matches!(self.state, State::Body { .. })
    }

    /// Whether what comes is to be dropped unread.
    pub fn drops(&self) -> bool {
        matches!(self.state, State::Answering { reuse: false } | State::Closing { .. } | State::Over)
    }

    /// Whether more is to be read at all: nothing more from one that speaks out of turn, until it has its answer.
    pub fn reads(&self) -> bool {
        !matches!(self.state, State::InHand { spoilt: true } | State::Over)
    }

    /// Whether a request is in hand whose answer is owed.
    pub fn owes(&self) -> bool {
        matches!(self.state, State::InHand { .. })
    }

    /// Since when it carries nothing, for whoever needs room for another.
    pub fn idle_since_us(&self) -> Option<u64> {
        match self.state {
            State::Idle { since_us } | State::Head { since_us } | State::Closing { since_us } => {
                Some(since_us)
            }
            _ => None,
        }
    }

    /// Bytes came that are no whole packet yet.
    pub fn partial(&mut self, now_us: u64) {
        if let State::Idle { .. } = self.state {
            self.state = State::Head { since_us: now_us };
        }
    }

    /// A request's head came, with what was made of it: how its body comes, or why it is turned down.
    pub fn request(&mut self, now_us: u64, judged: Result<BodyLength, Refusal>, acts: &mut impl Acts) {
        self.spoke = true;
        match self.state {
            State::Idle { .. } | State::Head { .. } | State::Answering { reuse: true } => {}
            State::InHand { .. } => return self.state = State::InHand { spoilt: true },
            State::Answering { reuse: false } | State::Closing { .. } | State::Over => return,
            State::Body { .. } => return self.broken(Broken::OutOfTurn, acts),
        }
        match judged {
            Err(refusal) => self.refuse(now_us, refusal, true, acts),
            Ok(BodyLength::Stated(length)) if length > self.bounds.most_body => {
                self.refuse(now_us, BODY_TOO_LARGE, false, acts);
            }
            Ok(BodyLength::None) => self.begin(acts),
            Ok(of) => {
                self.state = State::Body { since_us: now_us, got: 0, of };
                if of == BodyLength::Unstated {
                    acts.ask_body(self.bounds.most_body + 1);
                }
            }
        }
    }

    /// A request was turned down whose body is on its way unasked: where the next request begins is not known.
    pub fn request_with_body(&mut self, now_us: u64, refusal: Refusal, acts: &mut impl Acts) {
        match self.state {
            State::Idle { .. } | State::Head { .. } | State::Answering { reuse: true } => {
                self.spoke = true;
                self.refuse(now_us, refusal, false, acts);
            }
            _ => self.request(now_us, Err(refusal), acts),
        }
    }

    /// A piece of a body came, so long; 0 is the end of the body.
    pub fn piece(&mut self, now_us: u64, length: u64, acts: &mut impl Acts) {
        let State::Body { since_us, got, of } = self.state else {
            return match self.state {
                State::InHand { .. } => self.state = State::InHand { spoilt: true },
                State::Answering { reuse: false } | State::Closing { .. } | State::Over => {}
                _ => self.broken(Broken::OutOfTurn, acts),
            };
        };
        let got = got + length;
        let whole = match of {
            BodyLength::Stated(stated) if got > stated => {
                return self.refuse(now_us, BODY_LONG, false, acts);
            }
            BodyLength::Stated(stated) if length == 0 && got < stated => {
                return self.refuse(now_us, BODY_SHORT, true, acts);
            }
            BodyLength::Stated(stated) => got == stated,
            BodyLength::Unstated | BodyLength::None => length == 0,
        };
        if got > self.bounds.most_body {
            return self.refuse(now_us, BODY_TOO_LARGE, false, acts);
        }
        if whole {
            return self.begin(acts);
        }
        self.state = State::Body { since_us, got, of };
        let left = match of {
            BodyLength::Stated(stated) => stated - got,
            _ => self.bounds.most_body + 1 - got,
        };
        acts.ask_body(left);
    }

    /// A message without fields came.
    pub fn plain(&mut self, now_us: u64, message: Plain, acts: &mut impl Acts) {
        self.spoke = true;
        match (self.state, message) {
            (State::Idle { .. } | State::Head { .. }, Plain::CPing) => {
                acts.pong();
                self.state = State::Idle { since_us: now_us };
            }
            (State::Answering { reuse: true }, Plain::CPing) => acts.pong(),
            (State::InHand { .. }, _) => self.state = State::InHand { spoilt: true },
            (State::Answering { reuse: false } | State::Closing { .. } | State::Over, _) => {}
            (State::Body { .. }, _) => self.broken(Broken::OutOfTurn, acts),
            (_, Plain::Login) => self.refuse(now_us, NO_LOGIN, false, acts),
            (_, Plain::Shutdown) => self.refuse(now_us, NO_SHUTDOWN, false, acts),
        }
    }

    /// What came is no AJP. An answer that is owed is still given.
    pub fn broken(&mut self, why: Broken, acts: &mut impl Acts) {
        match self.state {
            State::InHand { .. } => self.state = State::InHand { spoilt: true },
            State::Answering { reuse: false } | State::Closing { .. } | State::Over => {}
            _ => self.over(End::Broken(why), acts),
        }
    }

    /// The answer is there: whether it is owed, and then whether the connection may carry another request.
    pub fn answered(&mut self, fault: bool) -> Option<bool> {
        let State::InHand { spoilt } = self.state else { return None };
        self.faults = if fault { self.faults + 1 } else { self.faults };
        let reuse = !spoilt && !self.leaving && self.faults < self.bounds.most_faults;
        self.state = State::Answering { reuse };
        Some(reuse)
    }

    /// A run came of a request here: its sender is no stranger.
    pub fn proven(&mut self) {
        self.faults = 0;
    }

    /// All that was to be written is written.
    pub fn written(&mut self, now_us: u64) {
        self.state = match self.state {
            State::Answering { reuse: true } => State::Idle { since_us: now_us },
            State::Answering { reuse: false } => State::Closing { since_us: now_us },
            other => other,
        }
    }

    /// The asker has closed, or the connection broke. A body that is not whole goes with it; nobody heard of it.
    pub fn closed(&mut self, acts: &mut impl Acts) {
        if self.owes() {
            acts.gone();
        }
        self.state = State::Over;
    }

    /// This server leaves: what comes from here on is answered, and each answer is the connection's last.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The connection was found empty at that time, all that had come being read. Only this tells silence: a server
    /// that is slow to read does not take its own slowness for its peer's.
    pub fn empty(&mut self, now_us: u64, acts: &mut impl Acts) {
        if self.due_us().is_none_or(|due_us| now_us < due_us) {
            return;
        }
        match self.state {
            State::Idle { .. } if self.spoke => self.over(End::Idle, acts),
            State::Body { .. } => self.refuse(now_us, BODY_LATE, false, acts),
            State::Closing { .. } => self.over(End::Unclosed, acts),
            _ => self.over(End::Silent, acts),
        }
    }

    /// From when on silence would mean something; only [`Life::empty`] says what.
    pub fn due_us(&self) -> Option<u64> {
        let b = self.bounds;
        match self.state {
            State::Idle { since_us } if !self.spoke => Some(since_us + b.first_us),
            State::Idle { since_us } => Some(since_us + b.idle_us),
            State::Head { since_us } => Some(since_us + b.packet_us),
            State::Body { since_us, .. } => Some(since_us + b.body_us),
            State::Closing { since_us } => Some(since_us + b.close_us),
            State::InHand { .. } | State::Answering { .. } | State::Over => None,
        }
    }

    /// Another connection needs the room of this one, which was found empty.
    pub fn make_room(&mut self, acts: &mut impl Acts) {
        if self.idle_since_us().is_some() {
            self.over(End::Idle, acts);
        }
    }

    fn begin(&mut self, acts: &mut impl Acts) {
        self.state = State::InHand { spoilt: false };
        acts.start();
    }

    /// `in_step`: where the next request begins is known.
    fn refuse(&mut self, now_us: u64, refusal: Refusal, in_step: bool, acts: &mut impl Acts) {
        self.faults += 1;
        let reuse = in_step && !self.leaving && self.faults < self.bounds.most_faults;
        self.state = if reuse { State::Answering { reuse } } else { State::Closing { since_us: now_us } };
        acts.refuse(refusal, reuse);
    }

    fn over(&mut self, why: End, acts: &mut impl Acts) {
        self.state = State::Over;
        acts.end(why);
    }
}
