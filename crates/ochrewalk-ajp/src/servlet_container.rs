//! Decides the state of an AJP connection on the servlet container's side: which messages are valid in each state, when
//! a request is complete, whether a response is due, whether the connection may carry another request, and when the
//! connection is closed. The state machine uses no sockets and no clock: the caller passes each event, with its time in
//! microseconds.
//!
//! A request starts when its last byte has been read. Until then nothing has run and no response is due, although a
//! refusal is sent if the web server still reads. From then on exactly one response is sent, unless the web server has
//! closed the connection.

use crate::packet::ProtocolError;
use crate::request::BodyLength;

/// The limits of one connection; all times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum time from the start of the connection to its first complete packet.
    pub first_packet_timeout_us: u64,
    /// The maximum time from a packet's first byte to its last.
    pub packet_timeout_us: u64,
    /// The maximum time from a request's head to the end of its body.
    pub body_timeout_us: u64,
    /// The maximum time without a request after the last response.
    pub idle_timeout_us: u64,
    /// The maximum time for the web server to close the connection after the last response.
    pub close_timeout_us: u64,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// The number of consecutive faulty requests after which the connection carries no further request.
    pub max_consecutive_faults: u32,
}

/// The response to a request that is refused before it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub status: u16,
    pub reason: &'static str,
}

pub const BODY_SHORT: Refusal = Refusal { status: 400, reason: "the body ends before its stated length" };
pub const BODY_LONG: Refusal = Refusal { status: 400, reason: "the body is longer than its stated length" };
pub const BODY_LATE: Refusal = Refusal { status: 408, reason: "the body did not come in time" };
pub const BODY_TOO_LARGE: Refusal = Refusal { status: 413, reason: "the body is larger than any may be" };
pub const NO_LOGIN: Refusal = Refusal { status: 403, reason: "nobody logs on here" };
pub const NO_SHUTDOWN: Refusal = Refusal { status: 403, reason: "nobody ends this server by a message" };

/// The actions that the state machine requests from its caller.
pub trait Actions {
    /// Passes the request on to admission, as the request and its body are complete.
    fn start_request(&mut self);
    /// Requests the next chunk of the body, of this size at most.
    fn request_body_chunk(&mut self, max_bytes: u64);
    /// Sends a CPong.
    fn send_cpong(&mut self);
    /// Sends a refusal, either for a request that has not started or before the connection is closed. `reuse` is
    /// whether the connection may carry another request.
    fn send_refusal(&mut self, refusal: Refusal, reuse: bool);
    /// Reports that the web server has closed the connection, so that no response is due.
    fn client_disconnected(&mut self);
    /// Closes the connection for this reason after all pending output is written.
    fn close(&mut self, reason: CloseReason);
}

/// The reason for which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The input is not valid AJP.
    Malformed(ProtocolError),
    /// No input arrived within the time allowed.
    TimedOut,
    /// The connection was idle for too long, or was evicted while idle.
    Idle,
    /// The web server did not close the connection after the response that was marked as the last.
    NotClosedByPeer,
    /// The servlet container is draining.
    Draining,
}

/// The state of a connection; `since_us` is the time at which the state began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connection carries no request.
    Idle { since_us: u64 },
    /// The first bytes of a packet have been received.
    PartialPacket { since_us: u64 },
    /// A request's head has been received, and `received_bytes` bytes of its body.
    Body { since_us: u64, received_bytes: u64, length: BodyLength },
    /// The request is queued for admission or runs. `is_corrupted` is whether the web server has sent input that is not
    /// valid before the response.
    InFlight { is_corrupted: bool },
    /// The response is being written.
    Responding { reuse: bool },
    /// The last response is written and the web server has to close the connection. Further input is discarded.
    Closing { since_us: u64 },
    /// The connection is closed.
    Closed,
}

/// A message without fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlMessage {
    CPing,
    Login,
    Shutdown,
}

#[derive(Clone, Copy, Debug)]
pub struct StateMachine {
    state: State,
    limits: Limits,
    /// Whether a complete packet has been received.
    has_received_packet: bool,
    consecutive_faults: u32,
    is_draining: bool,
}

impl StateMachine {
    pub fn new(now_us: u64, limits: Limits) -> StateMachine {
        StateMachine {
            state: State::Idle { since_us: now_us },
            limits,
            has_received_packet: false,
            consecutive_faults: 0,
            is_draining: false,
        }
    }

    /// Returns the state, whether a packet was received, and the number of consecutive faults, for a hand-over to another
    /// process.
    pub fn snapshot(&self) -> (State, bool, u32) {
        (self.state, self.has_received_packet, self.consecutive_faults)
    }

    /// Restores a state machine from the values that were handed over. A restored connection is not draining.
    pub fn restore(
        limits: Limits,
        state: State,
        has_received_packet: bool,
        consecutive_faults: u32,
    ) -> StateMachine {
        StateMachine { state, limits, has_received_packet, consecutive_faults, is_draining: false }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the next packet has to be a body chunk.
    pub fn awaits_body_chunk(&self) -> bool {
        matches!(self.state, State::Body { .. })
    }

    /// Whether input is discarded without being parsed.
    pub fn discards_input(&self) -> bool {
        matches!(self.state, State::Responding { reuse: false } | State::Closing { .. } | State::Closed)
    }

    /// Whether input is read at all. After invalid input, no more is read until the response to the current request is
    /// sent.
    pub fn reads_input(&self) -> bool {
        !matches!(self.state, State::InFlight { is_corrupted: true } | State::Closed)
    }

    /// Whether a request is in flight whose response is due.
    pub fn has_request_in_flight(&self) -> bool {
        matches!(self.state, State::InFlight { .. })
    }

    /// Returns the time since which the connection carries no request, for the eviction of idle connections.
    pub fn idle_since_us(&self) -> Option<u64> {
        match self.state {
            State::Idle { since_us } | State::PartialPacket { since_us } | State::Closing { since_us } => {
                Some(since_us)
            }
            _ => None,
        }
    }

    /// Handles input that is not a complete packet yet.
    pub fn partial_input(&mut self, now_us: u64) {
        if let State::Idle { .. } = self.state {
            self.state = State::PartialPacket { since_us: now_us };
        }
    }

    /// Handles a request's head, with the result of its evaluation: the length of its body, or the refusal.
    pub fn request_head(
        &mut self,
        now_us: u64,
        evaluated: Result<BodyLength, Refusal>,
        actions: &mut impl Actions,
    ) {
        self.has_received_packet = true;
        match self.state {
            State::Idle { .. } | State::PartialPacket { .. } | State::Responding { reuse: true } => {}
            State::InFlight { .. } => return self.state = State::InFlight { is_corrupted: true },
            State::Responding { reuse: false } | State::Closing { .. } | State::Closed => return,
            State::Body { .. } => return self.malformed_input(ProtocolError::UnexpectedMessage, actions),
        }
        match evaluated {
            Err(refusal) => self.refuse(now_us, refusal, true, actions),
            Ok(BodyLength::Stated(length)) if length > self.limits.max_body_bytes => {
                self.refuse(now_us, BODY_TOO_LARGE, false, actions);
            }
            Ok(BodyLength::None) => self.start(actions),
            Ok(length) => {
                self.state = State::Body { since_us: now_us, received_bytes: 0, length };
                if length == BodyLength::Unstated {
                    actions.request_body_chunk(self.limits.max_body_bytes + 1);
                }
            }
        }
    }

    /// Handles a refused request whose body is sent without a Get Body Chunk. The position of the next request is
    /// unknown, so the connection carries no further request.
    pub fn refused_request_with_body(&mut self, now_us: u64, refusal: Refusal, actions: &mut impl Actions) {
        match self.state {
            State::Idle { .. } | State::PartialPacket { .. } | State::Responding { reuse: true } => {
                self.has_received_packet = true;
                self.refuse(now_us, refusal, false, actions);
            }
            _ => self.request_head(now_us, Err(refusal), actions),
        }
    }

    /// Handles a body chunk of this length; 0 ends the body.
    pub fn body_chunk(&mut self, now_us: u64, chunk_bytes: u64, actions: &mut impl Actions) {
        let State::Body { since_us, received_bytes, length } = self.state else {
            return match self.state {
                State::InFlight { .. } => self.state = State::InFlight { is_corrupted: true },
                State::Responding { reuse: false } | State::Closing { .. } | State::Closed => {}
                _ => self.malformed_input(ProtocolError::UnexpectedMessage, actions),
            };
        };
        let received_bytes = received_bytes + chunk_bytes;
        let is_complete = match length {
            BodyLength::Stated(stated) if received_bytes > stated => {
                return self.refuse(now_us, BODY_LONG, false, actions);
            }
            BodyLength::Stated(stated) if chunk_bytes == 0 && received_bytes < stated => {
                return self.refuse(now_us, BODY_SHORT, true, actions);
            }
            BodyLength::Stated(stated) => received_bytes == stated,
            BodyLength::Unstated | BodyLength::None => chunk_bytes == 0,
        };
        if received_bytes > self.limits.max_body_bytes {
            return self.refuse(now_us, BODY_TOO_LARGE, false, actions);
        }
        if is_complete {
            return self.start(actions);
        }
        self.state = State::Body { since_us, received_bytes, length };
        let remaining = match length {
            BodyLength::Stated(stated) => stated - received_bytes,
            _ => self.limits.max_body_bytes + 1 - received_bytes,
        };
        actions.request_body_chunk(remaining);
    }

    /// Handles a message without fields.
    pub fn control_message(&mut self, now_us: u64, message: ControlMessage, actions: &mut impl Actions) {
        self.has_received_packet = true;
        match (self.state, message) {
            (State::Idle { .. } | State::PartialPacket { .. }, ControlMessage::CPing) => {
                actions.send_cpong();
                self.state = State::Idle { since_us: now_us };
            }
            (State::Responding { reuse: true }, ControlMessage::CPing) => actions.send_cpong(),
            (State::InFlight { .. }, _) => self.state = State::InFlight { is_corrupted: true },
            (State::Responding { reuse: false } | State::Closing { .. } | State::Closed, _) => {}
            (State::Body { .. }, _) => self.malformed_input(ProtocolError::UnexpectedMessage, actions),
            (_, ControlMessage::Login) => self.refuse(now_us, NO_LOGIN, false, actions),
            (_, ControlMessage::Shutdown) => self.refuse(now_us, NO_SHUTDOWN, false, actions),
        }
    }

    /// Handles invalid input. A response that is due is still sent.
    pub fn malformed_input(&mut self, error: ProtocolError, actions: &mut impl Actions) {
        match self.state {
            State::InFlight { .. } => self.state = State::InFlight { is_corrupted: true },
            State::Responding { reuse: false } | State::Closing { .. } | State::Closed => {}
            _ => self.close(CloseReason::Malformed(error), actions),
        }
    }

    /// Handles the response of the request in flight. Returns whether the connection may carry another request after
    /// it; `None` if no response is due. `is_fault` counts the request as faulty.
    pub fn response_ready(&mut self, is_fault: bool) -> Option<bool> {
        let State::InFlight { is_corrupted } = self.state else { return None };
        self.consecutive_faults =
            if is_fault { self.consecutive_faults + 1 } else { self.consecutive_faults };
        let reuse = !is_corrupted
            && !self.is_draining
            && self.consecutive_faults < self.limits.max_consecutive_faults;
        self.state = State::Responding { reuse };
        Some(reuse)
    }

    /// Resets the number of consecutive faults, as a request of this web server has started a run.
    pub fn reset_faults(&mut self) {
        self.consecutive_faults = 0;
    }

    /// Handles the completion of all pending output.
    pub fn output_written(&mut self, now_us: u64) {
        self.state = match self.state {
            State::Responding { reuse: true } => State::Idle { since_us: now_us },
            State::Responding { reuse: false } => State::Closing { since_us: now_us },
            other => other,
        }
    }

    /// Handles the loss of the connection, closed by the web server or failed. A request with an incomplete body is
    /// discarded, as it has not started.
    pub fn disconnected(&mut self, actions: &mut impl Actions) {
        if self.has_request_in_flight() {
            actions.client_disconnected();
        }
        self.state = State::Closed;
    }

    /// Starts draining: requests are still answered, and each response is the last one of the connection.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Checks the timeouts when the connection has no more input at this time. Timeouts are checked only here, so that
    /// a server that is slow to read does not time out a peer whose input is waiting.
    pub fn check_timeouts(&mut self, now_us: u64, actions: &mut impl Actions) {
        if self.timeout_at_us().is_none_or(|timeout_at_us| now_us < timeout_at_us) {
            return;
        }
        match self.state {
            State::Idle { .. } if self.has_received_packet => self.close(CloseReason::Idle, actions),
            State::Body { .. } => self.refuse(now_us, BODY_LATE, false, actions),
            State::Closing { .. } => self.close(CloseReason::NotClosedByPeer, actions),
            _ => self.close(CloseReason::TimedOut, actions),
        }
    }

    /// Returns the time at which the current state times out; [`StateMachine::check_timeouts`] applies the timeout.
    pub fn timeout_at_us(&self) -> Option<u64> {
        let limits = self.limits;
        match self.state {
            State::Idle { since_us } if !self.has_received_packet => {
                Some(since_us + limits.first_packet_timeout_us)
            }
            State::Idle { since_us } => Some(since_us + limits.idle_timeout_us),
            State::PartialPacket { since_us } => Some(since_us + limits.packet_timeout_us),
            State::Body { since_us, .. } => Some(since_us + limits.body_timeout_us),
            State::Closing { since_us } => Some(since_us + limits.close_timeout_us),
            State::InFlight { .. } | State::Responding { .. } | State::Closed => None,
        }
    }

    /// Closes the connection if it is idle and has no unread input, as another connection needs its capacity.
    pub fn evict(&mut self, actions: &mut impl Actions) {
        if self.idle_since_us().is_some() {
            self.close(CloseReason::Idle, actions);
        }
    }

    fn start(&mut self, actions: &mut impl Actions) {
        self.state = State::InFlight { is_corrupted: false };
        actions.start_request();
    }

    /// Refuses a request. `is_in_sync` is whether the position of the next request in the input is known.
    fn refuse(&mut self, now_us: u64, refusal: Refusal, is_in_sync: bool, actions: &mut impl Actions) {
        self.consecutive_faults += 1;
        let reuse =
            is_in_sync && !self.is_draining && self.consecutive_faults < self.limits.max_consecutive_faults;
        self.state = if reuse { State::Responding { reuse } } else { State::Closing { since_us: now_us } };
        actions.send_refusal(refusal, reuse);
    }

    fn close(&mut self, reason: CloseReason, actions: &mut impl Actions) {
        self.state = State::Closed;
        actions.close(reason);
    }
}
