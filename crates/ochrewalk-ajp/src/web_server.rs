//! Decides the state of an AJP connection on the web server's side: when a call may be written, the effect of each
//! message of the servlet container, and when the connection cannot carry another call. The state machine uses no
//! sockets and no clock.
//!
//! A failed call is classified by its progress: a call of which no byte was written has not run; a call that was
//! written may have run, unless a complete response states otherwise.

use crate::packet::ProtocolError;
use crate::reply::{Message, ResponseHead};

/// The actions that the state machine requests from its caller.
pub trait Actions {
    /// Sends a CPing.
    fn send_cping(&mut self);
    /// Sends the call and the first chunk of its body.
    fn send_request(&mut self);
    /// Sends the next chunk of the body, of this size at most; an empty chunk if the body is complete.
    fn send_body_chunk(&mut self, max_bytes: u16);
    /// Reports that a CPong has proved the connection to work and that it can carry a call.
    fn ready(&mut self);
    /// Passes on the complete response to the call.
    fn response_received(&mut self, response: Response);
    /// Closes the connection. `may_have_sent_call` is whether a byte of an unanswered call may have been written, in
    /// which case the call may have run.
    fn close(&mut self, reason: CloseReason, may_have_sent_call: bool);
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// Whether a header states that the call never ran.
    pub never_ran: bool,
    pub body: Vec<u8>,
}

/// The reason for which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The servlet container closed the connection.
    ClosedByPeer,
    /// The connection failed, such as by a reset.
    Failed,
    /// The input is not valid AJP, or not valid in the state of the connection.
    Malformed(ProtocolError),
    /// The response is longer than allowed, or than its stated length.
    ResponseTooLong,
    /// The response is shorter than its stated length.
    ResponseTooShort,
    /// A CPong, or the rest of a response, did not arrive within the time allowed.
    TimedOut,
    /// The servlet container accepts no further request on the connection.
    NotReusable,
    /// The connection is closed because it is not needed.
    Idle,
    /// The call was abandoned, so that its response could be taken for the response to the next call.
    Abandoned,
}

/// The state of a connection; `since_us` is the time at which the state began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connection carries no call.
    Idle { since_us: u64 },
    /// A CPing was written; `has_call` is whether a call waits for the CPong.
    AwaitingCPong { since_us: u64, has_call: bool },
    /// The call is written and no byte of the response has been received.
    AwaitingResponse,
    /// A part of the response has been received.
    ReadingResponse { since_us: u64 },
    /// The connection is closed.
    Closed,
}

/// The timeouts, in microseconds, and the limit on the size of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum time from a CPing to its CPong.
    pub cpong_timeout_us: u64,
    /// The maximum time from a response's first byte to its last.
    pub response_timeout_us: u64,
    /// The maximum size of a response's body, in bytes.
    pub max_response_bytes: usize,
}

#[derive(Debug)]
pub struct StateMachine {
    state: State,
    limits: Limits,
    /// The name of the header by which the servlet container states that a call never ran.
    never_ran_header: &'static str,
    response: Response,
    stated_length: Option<usize>,
}

impl StateMachine {
    /// Returns the state machine of a connection that was just established.
    pub fn new(now_us: u64, limits: Limits, never_ran_header: &'static str) -> StateMachine {
        let response = Response { status: 0, never_ran: false, body: Vec::new() };
        StateMachine {
            state: State::Idle { since_us: now_us },
            limits,
            never_ran_header,
            response,
            stated_length: None,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Starts a call, after a CPong if `needs_check` requires a check of the connection.
    pub fn start_call(&mut self, now_us: u64, needs_check: bool, actions: &mut impl Actions) {
        debug_assert!(matches!(self.state, State::Idle { .. }), "one call at a time");
        if needs_check {
            self.state = State::AwaitingCPong { since_us: now_us, has_call: true };
            actions.send_cping();
        } else {
            self.state = State::AwaitingResponse;
            actions.send_request();
        }
    }

    /// Sends a CPing to check the connection, without a call.
    pub fn probe(&mut self, now_us: u64, actions: &mut impl Actions) {
        self.state = State::AwaitingCPong { since_us: now_us, has_call: false };
        actions.send_cping();
    }

    /// Handles input that is not a complete message yet.
    pub fn partial_input(&mut self, now_us: u64) {
        if self.state == State::AwaitingResponse {
            self.state = State::ReadingResponse { since_us: now_us };
        }
    }

    pub fn message(&mut self, now_us: u64, message: &Message, actions: &mut impl Actions) {
        match (self.state, message) {
            (State::Closed, _) => {}
            (State::AwaitingCPong { has_call, .. }, Message::CPong) => {
                if has_call {
                    self.state = State::AwaitingResponse;
                    actions.send_request();
                } else {
                    self.state = State::Idle { since_us: now_us };
                    actions.ready();
                }
            }
            // The caller sends the next chunk of the body, or an empty one if the complete body was sent with the call.
            (State::AwaitingResponse, Message::GetBodyChunk(max_bytes)) => {
                actions.send_body_chunk(*max_bytes)
            }
            (State::ReadingResponse { .. }, Message::GetBodyChunk(max_bytes))
                if self.response.status == 0 =>
            {
                actions.send_body_chunk(*max_bytes)
            }
            (State::AwaitingResponse | State::ReadingResponse { .. }, Message::SendHeaders(head))
                if self.response.status == 0 =>
            {
                self.partial_input(now_us);
                self.head(head, actions);
            }
            (State::ReadingResponse { .. }, Message::SendBodyChunk(chunk)) if self.response.status != 0 => {
                let max_bytes = self.stated_length.unwrap_or(self.limits.max_response_bytes);
                if self.response.body.len() + chunk.len() > max_bytes {
                    return self.close(CloseReason::ResponseTooLong, actions);
                }
                self.response.body.extend_from_slice(chunk);
            }
            (State::ReadingResponse { .. }, Message::EndResponse { reuse }) if self.response.status != 0 => {
                if self.stated_length.is_some_and(|stated| stated != self.response.body.len()) {
                    return self.close(CloseReason::ResponseTooShort, actions);
                }
                let empty = Response { status: 0, never_ran: false, body: Vec::new() };
                let response = std::mem::replace(&mut self.response, empty);
                self.stated_length = None;
                self.state = State::Idle { since_us: now_us };
                actions.response_received(response);
                if !reuse {
                    self.close(CloseReason::NotReusable, actions);
                }
            }
            // This includes a response without a call: the call of the next response would be unknown.
            _ => self.close(CloseReason::Malformed(ProtocolError::UnexpectedMessage), actions),
        }
    }

    fn head(&mut self, head: &ResponseHead, actions: &mut impl Actions) {
        if !(100..600).contains(&head.status) {
            return self.close(CloseReason::Malformed(ProtocolError::UnknownCode), actions);
        }
        self.response.status = head.status;
        self.response.never_ran = head.header(self.never_ran_header).is_some_and(|value| value == b"1");
        if let Some(value) = head.header("content-length") {
            let length = std::str::from_utf8(value).ok().and_then(|text| text.parse::<usize>().ok());
            match length.filter(|length| *length <= self.limits.max_response_bytes) {
                Some(length) => self.stated_length = Some(length),
                None => self.close(CloseReason::ResponseTooLong, actions),
            }
        }
    }

    /// Handles invalid input.
    pub fn malformed_input(&mut self, error: ProtocolError, actions: &mut impl Actions) {
        self.close(CloseReason::Malformed(error), actions);
    }

    /// Handles the end of the connection: the servlet container closed it, it failed, or it could not be written.
    pub fn disconnected(&mut self, reason: CloseReason, actions: &mut impl Actions) {
        self.close(reason, actions);
    }

    /// Abandons the call. The connection is closed if the call was written, as its response could be taken for the
    /// response to the next call.
    pub fn abandon_call(&mut self, actions: &mut impl Actions) {
        match self.state {
            State::AwaitingCPong { since_us, .. } => {
                self.state = State::AwaitingCPong { since_us, has_call: false }
            }
            State::AwaitingResponse | State::ReadingResponse { .. } => {
                self.close(CloseReason::Abandoned, actions)
            }
            State::Idle { .. } | State::Closed => {}
        }
    }

    /// Checks the timeouts when the connection has no more input at this time.
    pub fn check_timeouts(&mut self, now_us: u64, actions: &mut impl Actions) {
        if self.timeout_at_us().is_some_and(|timeout_at_us| now_us >= timeout_at_us) {
            self.close(CloseReason::TimedOut, actions);
        }
    }

    /// Returns the time at which the current state times out; [`StateMachine::check_timeouts`] applies the timeout.
    pub fn timeout_at_us(&self) -> Option<u64> {
        match self.state {
            State::AwaitingCPong { since_us, .. } => Some(since_us + self.limits.cpong_timeout_us),
            State::ReadingResponse { since_us } => Some(since_us + self.limits.response_timeout_us),
            State::Idle { .. } | State::AwaitingResponse | State::Closed => None,
        }
    }

    /// Whether a byte of a call may have been written whose response is not complete.
    pub fn may_have_sent_call(&self) -> bool {
        matches!(self.state, State::AwaitingResponse | State::ReadingResponse { .. })
    }

    fn close(&mut self, reason: CloseReason, actions: &mut impl Actions) {
        if self.state != State::Closed {
            let may_have_sent_call = self.may_have_sent_call();
            self.state = State::Closed;
            actions.close(reason, may_have_sent_call);
        }
    }
}
