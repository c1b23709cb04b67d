//! Decides the state of an AJP connection on the web server's side: when a call may be written, the effect of each message of
//! the servlet container, and when the connection cannot carry another call. The state machine uses no sockets and no clock.
//!
//! A failed call is classified by its progress: a call of which no byte was written has not run; a call that was written may
//! have run, unless a complete response states otherwise.

use crate::packet::ProtocolError;
use crate::reply::{Message, ResponseHead};

/// The actions that the state machine requests from its caller.
pub trait Acts {
    /// Sends a CPing.
    fn ping(&mut self);
    /// Sends the call and the first chunk of its body.
    fn write_call(&mut self);
    /// Sends the next chunk of the body, of this size at most; an empty chunk if the body is complete.
    fn write_piece(&mut self, most: u16);
    /// Reports that a CPong has proved the connection to work and that it can carry a call.
    fn ready(&mut self);
    /// Passes on the complete response to the call.
    fn replied(&mut self, reply: Reply);
    /// Closes the connection. `wrote` is whether a byte of an unanswered call may have been written, in which case the call may
    /// have run.
    fn end(&mut self, why: End, wrote: bool);
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    /// Whether a header states that the call never ran.
    pub never_ran: bool,
    pub body: Vec<u8>,
}

/// The reason for which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The servlet container closed the connection.
    Closed,
    /// The connection failed, such as by a reset.
    Failed,
    /// The input is not valid AJP, or not valid in the state of the connection.
    Broken(ProtocolError),
    /// The response is longer than allowed, or than its stated length.
    TooLong,
    /// The response is shorter than its stated length.
    TooShort,
    /// A CPong, or the rest of a response, did not arrive within the time allowed.
    Silent,
    /// The servlet container accepts no further request on the connection.
    Spent,
    /// The connection is closed because it is not needed.
    Idle,
    /// The call was abandoned, so that its response could be taken for the response to the next call.
    GivenUp,
}

/// The state of a connection; `since_us` is the time at which the state began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connection carries no call.
    Idle { since_us: u64 },
    /// A CPing was written; `call` is whether a call waits for the CPong.
    Proving { since_us: u64, call: bool },
    /// The call is written and no byte of the response has been received.
    Waiting,
    /// A part of the response has been received.
    Reading { since_us: u64 },
    /// The connection is closed.
    Over,
}

/// The timeouts, in microseconds, and the limit on the size of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum time from a CPing to its CPong.
    pub pong_us: u64,
    /// The maximum time from a response's first byte to its last.
    pub reply_us: u64,
    /// The maximum size of a response's body, in bytes.
    pub most_reply: usize,
}

#[derive(Debug)]
pub struct Life {
    state: State,
    bounds: Bounds,
    /// The name of the header by which the servlet container states that a call never ran.
    never_ran_header: &'static str,
    reply: Reply,
    stated_length: Option<usize>,
}

impl Life {
    /// Returns the state machine of a connection that was just established.
    pub fn new(now_us: u64, bounds: Bounds, never_ran_header: &'static str) -> Life {
        let reply = Reply { status: 0, never_ran: false, body: Vec::new() };
        Life { state: State::Idle { since_us: now_us }, bounds, never_ran_header, reply, stated_length: None }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Starts a call, after a CPong if `prove` requires a check of the connection.
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

    /// Sends a CPing to check the connection, without a call.
    pub fn probe(&mut self, now_us: u64, acts: &mut impl Acts) {
        self.state = State::Proving { since_us: now_us, call: false };
        acts.ping();
    }

    /// Handles input that is not a complete message yet.
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
            // The caller sends the next chunk of the body, or an empty one if the complete body was sent with the call.
            (State::Waiting, Message::GetBodyChunk(max_bytes)) => acts.write_piece(*max_bytes),
            (State::Reading { .. }, Message::GetBodyChunk(max_bytes)) if self.reply.status == 0 => {
                acts.write_piece(*max_bytes)
            }
            (State::Waiting | State::Reading { .. }, Message::SendHeaders(head))
                if self.reply.status == 0 =>
            {
                self.partial(now_us);
                self.head(head, acts);
            }
            (State::Reading { .. }, Message::SendBodyChunk(chunk)) if self.reply.status != 0 => {
                let max_bytes = self.stated_length.unwrap_or(self.bounds.most_reply);
                if self.reply.body.len() + chunk.len() > max_bytes {
                    return self.close(End::TooLong, acts);
                }
                self.reply.body.extend_from_slice(chunk);
            }
            (State::Reading { .. }, Message::EndResponse { reuse }) if self.reply.status != 0 => {
                if self.stated_length.is_some_and(|stated| stated != self.reply.body.len()) {
                    return self.close(End::TooShort, acts);
                }
                let empty = Reply { status: 0, never_ran: false, body: Vec::new() };
                let reply = std::mem::replace(&mut self.reply, empty);
                self.stated_length = None;
                self.state = State::Idle { since_us: now_us };
                acts.replied(reply);
                if !reuse {
                    self.close(End::Spent, acts);
                }
            }
            // This includes a response without a call: the call of the next response would be unknown.
            _ => self.close(End::Broken(ProtocolError::UnexpectedMessage), acts),
        }
    }

    fn head(&mut self, head: &ResponseHead, acts: &mut impl Acts) {
        if !(100..600).contains(&head.status) {
            return self.close(End::Broken(ProtocolError::UnknownCode), acts);
        }
        self.reply.status = head.status;
        self.reply.never_ran = head.header(self.never_ran_header).is_some_and(|value| value == b"1");
        if let Some(value) = head.header("content-length") {
            let length = std::str::from_utf8(value).ok().and_then(|text| text.parse::<usize>().ok());
            match length.filter(|length| *length <= self.bounds.most_reply) {
                Some(length) => self.stated_length = Some(length),
                None => self.close(End::TooLong, acts),
            }
        }
    }

    /// Handles invalid input.
    pub fn broken(&mut self, why: ProtocolError, acts: &mut impl Acts) {
        self.close(End::Broken(why), acts);
    }

    /// Handles the end of the connection: the servlet container closed it, it failed, or it could not be written.
    pub fn closed(&mut self, why: End, acts: &mut impl Acts) {
        self.close(why, acts);
    }

    /// Abandons the call. The connection is closed if the call was written, as its response could be taken for the response to
    /// the next call.
    pub fn give_up(&mut self, acts: &mut impl Acts) {
        match self.state {
            State::Proving { since_us, .. } => self.state = State::Proving { since_us, call: false },
            State::Waiting | State::Reading { .. } => self.close(End::GivenUp, acts),
            State::Idle { .. } | State::Over => {}
        }
    }

    /// Checks the timeouts when the connection has no more input at this time.
    pub fn empty(&mut self, now_us: u64, acts: &mut impl Acts) {
        if self.due_us().is_some_and(|due_us| now_us >= due_us) {
            self.close(End::Silent, acts);
        }
    }

    /// Returns the time at which the current state times out; [`Life::empty`] applies the timeout.
    pub fn due_us(&self) -> Option<u64> {
        match self.state {
            State::Proving { since_us, .. } => Some(since_us + self.bounds.pong_us),
            State::Reading { since_us } => Some(since_us + self.bounds.reply_us),
            State::Idle { .. } | State::Waiting | State::Over => None,
        }
    }

    /// Whether a byte of a call may have been written whose response is not complete.
    pub fn wrote(&self) -> bool {
        matches!(self.state, State::Waiting | State::Reading { .. })
    }

    fn close(&mut self, why: End, acts: &mut impl Acts) {
        if self.state != State::Over {
            let wrote = self.wrote();
            self.state = State::Over;
            acts.end(why, wrote);
        }
    }
}
