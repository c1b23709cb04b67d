//! Decides the life of an AJP connection on which we ask: when a call may be written, what each message of the other
//! side means for it, and when the connection is of no further use. No sockets, no clock.
//!
//! What ends badly is told apart by how far the call had got: a call of which no byte was written has not run; one
//! that was written may have, unless a whole answer says otherwise.

use crate::packet::Broken;
use crate::reply::{Head, Message};

/// What a link asks of whoever carries it.
pub trait Acts {
    /// Writes a ping.
    fn ping(&mut self);
    /// Writes the call and the first piece of its body.
    fn write_call(&mut self);
    /// Writes the next piece of its body, so long at most; an empty one where nothing is left.
    fn write_piece(&mut self, most: u16);
    /// The link is up and proven by a pong, or just made.
    fn ready(&mut self);
    /// The call has its whole answer.
    fn replied(&mut self, reply: Reply);
    /// The link ends; what that means for the call on it, if there is one, follows from `wrote`.
    fn end(&mut self, why: End, wrote: bool);
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    /// A header said that the call never ran.
    pub never_ran: bool,
    pub body: Vec<u8>,
}

/// Why a link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The other side closed it.
    Closed,
    /// The carrier's own word, as for a reset.
    Failed,
    /// Something came that may not come now, or is no AJP.
    Broken(Broken),
    /// An answer longer than any may be, or than it said.
    TooLong,
    /// An answer shorter than it said.
    TooShort,
    /// No pong, or an answer begun and not ended in its time.
    Silent,
    /// The other side takes no more on it.
    Spent,
    /// We let it go.
    Idle,
    /// We gave the call up: what is still to come would be taken for another's answer.
    GivenUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing is on it since then.
    Idle {
        since_us: u64,
    },
    /// A ping was written then; `call` waits for the pong.
    Proving {
        since_us: u64,
        call: bool,
    },
    /// The call is written, no byte of the answer is here.
    Waiting,
    /// The answer began then.
    Reading {
        since_us: u64,
    },
    Over,
}

/// How long things may take, in microseconds, and how large they may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub pong_us: u64,
    /// From an answer's first byte to its last.
    pub reply_us: u64,
    pub most_reply: usize,
}

#[derive(Debug)]
pub struct Life {
    state: State,
    bounds: Bounds,
    /// The name of the header by which the other side says that a call never ran.
    never_ran_header: &'static str,
    reply: Reply,
    stated: Option<usize>,
}

impl Life {
    /// A link that was just made.
    pub fn new(now_us: u64, bounds: Bounds, never_ran_header: &'static str) -> Life {
        let reply = Reply { status: 0, never_ran: false, body: Vec::new() };
        Life { state: State::Idle { since_us: now_us }, bounds, never_ran_header, reply, stated: None }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Puts a call on the link, after a pong where it is to be proven.
    pub fn call(&mut self, now_us: u64, prove: bool, acts: &mut impl Acts) {
        debug_assert!(matches!(self.state, State::Idle { .. }), "one call at a time");
        if prove {
            self.state = State::Proving { since_us: now_us, call: true };
            acts.ping();
        } else {
            self.state = State::Waiting;
            acts.write_call();
        }
    }

    /// Asks whether the other side is there, with no call to come.
    pub fn probe(&mut self, now_us: u64, acts: &mut impl Acts) {
        self.state = State::Proving { since_us: now_us, call: false };
        acts.ping();
    }

    /// The first bytes of a message came.
    pub fn partial(&mut self, now_us: u64) {
        if self.state == State::Waiting {
            self.state = State::Reading { since_us: now_us };
        }
    }

    pub fn message(&mut self, now_us: u64, message: &Message, acts: &mut impl Acts) {
        match (self.state, message) {
            (State::Over, _) => {}
            (State::Proving { call, .. }, Message::CPong) => {
                if call {
                    self.state = State::Waiting;
                    acts.write_call();
                } else {
                    self.state = State::Idle { since_us: now_us };
                    acts.ready();
                }
            }
            // The whole body went with the call, or the next piece of it goes now.
            (State::Waiting, Message::GetBody(most)) => acts.write_piece(*most),
            (State::Reading { .. }, Message::GetBody(most)) if self.reply.status == 0 => {
                acts.write_piece(*most)
            }
            (State::Waiting | State::Reading { .. }, Message::Head(head)) if self.reply.status == 0 => {
                self.partial(now_us);
                self.head(head, acts);
            }
            (State::Reading { .. }, Message::Piece(piece)) if self.reply.status != 0 => {
                let most = self.stated.unwrap_or(self.bounds.most_reply);
                if self.reply.body.len() + piece.len() > most {
                    return self.over(End::TooLong, acts);
                }
                self.reply.body.extend_from_slice(piece);
            }
            (State::Reading { .. }, Message::End { reuse }) if self.reply.status != 0 => {
                if self.stated.is_some_and(|stated| stated != self.reply.body.len()) {
                    return self.over(End::TooShort, acts);
                }
                let empty = Reply { status: 0, never_ran: false, body: Vec::new() };
                let reply = std::mem::replace(&mut self.reply, empty);
                self.stated = None;
                self.state = State::Idle { since_us: now_us };
                acts.replied(reply);
                if !reuse {
                    self.over(End::Spent, acts);
                }
            }
            // Also an answer that nobody asked for: whose the next one is would not be known.
            _ => self.over(End::Broken(Broken::OutOfTurn), acts),
        }
    }

    fn head(&mut self, head: &Head, acts: &mut impl Acts) {
        if !(100..600).contains(&head.status) {
            return self.over(End::Broken(Broken::Code), acts);
        }
        self.reply.status = head.status;
        self.reply.never_ran = head.header(self.never_ran_header).is_some_and(|v| v == b"1");
        if let Some(stated) = head.header("content-length") {
            let length = std::str::from_utf8(stated).ok().and_then(|text| text.parse::<usize>().ok());
            match length.filter(|length| *length <= self.bounds.most_reply) {
                Some(length) => self.stated = Some(length),
                None => self.over(End::TooLong, acts),
            }
        }
    }

    /// What came is no AJP.
    pub fn broken(&mut self, why: Broken, acts: &mut impl Acts) {
        self.over(End::Broken(why), acts);
    }

    /// The other side closed it, or it broke, or it could not be written.
    pub fn closed(&mut self, why: End, acts: &mut impl Acts) {
        self.over(why, acts);
    }

    /// The call on it is given up. An answer that is still to come would be taken for another's.
    pub fn give_up(&mut self, acts: &mut impl Acts) {
        match self.state {
            State::Proving { since_us, .. } => self.state = State::Proving { since_us, call: false },
            State::Waiting | State::Reading { .. } => self.over(End::GivenUp, acts),
            State::Idle { .. } | State::Over => {}
        }
    }

    /// It was found empty at that time, all that had come being read.
    pub fn empty(&mut self, now_us: u64, acts: &mut impl Acts) {
        if self.due_us().is_some_and(|due_us| now_us >= due_us) {
            self.over(End::Silent, acts);
        }
    }

    /// From when on silence would mean something; only [`Life::empty`] says what.
    pub fn due_us(&self) -> Option<u64> {
        match self.state {
            State::Proving { since_us, .. } => Some(since_us + self.bounds.pong_us),
            State::Reading { since_us } => Some(since_us + self.bounds.reply_us),
            State::Idle { .. } | State::Waiting | State::Over => None,
        }
    }

    /// Whether a byte of a call may have been written whose answer is not whole.
    pub fn wrote(&self) -> bool {
        matches!(self.state, State::Waiting | State::Reading { .. })
    }

    fn over(&mut self, why: End, acts: &mut impl Acts) {
        if self.state != State::Over {
            let wrote = self.wrote();
            self.state = State::Over;
            acts.end(why, wrote);
        }
    }
}
