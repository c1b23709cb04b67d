//! Decides the state of an AJP connection on the servlet container's side: which messages are valid in each state, when a
//! request is complete, whether a response is due, whether the connection may carry another request, and when the connection
//! is closed. The state machine uses no sockets and no clock: the caller passes each event, with its time in microseconds.
//!
//! A request starts when its last byte has been read. Until then nothing has run and no response is due, although a refusal is
//! sent if the web server still reads. From then on exactly one response is sent, unless the web server has closed the
//! connection.

use crate::packet::ProtocolError;
use crate::request::BodyLength;

/// The limits of one connection; all times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum time from the start of the connection to its first complete packet.
    pub first_us: u64,
    /// The maximum time from a packet's first byte to its last.
    pub packet_us: u64,
    /// The maximum time from a request's head to the end of its body.
    pub body_us: u64,
    /// The maximum time without a request after the last response.
    pub idle_us: u64,
    /// The maximum time for the web server to close the connection after the last response.
    pub close_us: u64,
    /// The maximum size of a request's body, in bytes.
    pub most_body: u64,
    /// The number of consecutive faulty requests after which the connection carries no further request.
    pub most_faults: u32,
}

/// The response to a request that is refused before it starts.
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

/// The actions that the state machine requests from its caller.
pub trait Acts {
    /// Passes the request on to admission, as the request and its body are complete.
    fn start(&mut self);
    /// Requests the next chunk of the body, of this size at most.
    fn ask_body(&mut self, most: u64);
    /// Sends a CPong.
    fn pong(&mut self);
    /// Sends a refusal, either for a request that has not started or before the connection is closed.
    fn refuse(&mut self, refusal: Refusal, reuse: bool);
    /// Reports that the web server has closed the connection, so that no response is due.
    fn gone(&mut self);
    /// Closes the connection for this reason after all pending output is written.
    fn end(&mut self, why: End);
}

/// The reason for which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The input is not valid AJP.
    Broken(ProtocolError),
    /// No input arrived within the time allowed.
    Silent,
    /// The connection was idle for too long, or was evicted while idle.
    Idle,
    /// The web server did not close the connection after the response that was marked as the last.
    Unclosed,
    /// The servlet container is draining.
    Leaving,
}

/// The state of a connection; `since_us` is the time at which the state began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connection carries no request.
    Idle { since_us: u64 },
    /// The first bytes of a packet have been received.
    Head { since_us: u64 },
    /// A request's head has been received, and `got` bytes of its body.
    Body { since_us: u64, got: u64, of: BodyLength },
    /// The request is with admission or runs. `spoilt` if the web server has sent anything that is not valid before the response.
    InHand { spoilt: bool },
    /// The response is being written.
    Answering { reuse: bool },
    /// The last response is written and the web server has to close the connection. Further input is discarded.
    Closing { since_us: u64 },
    /// The connection is closed.
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
    /// Whether a complete packet has been received.
    has_received_packet: bool,
    consecutive_faults: u32,
    is_draining: bool,
}

impl Life {
    pub fn new(now_us: u64, bounds: Bounds) -> Life {
        Life {
            state: State::Idle { since_us: now_us },
            bounds,
            has_received_packet: false,
            consecutive_faults: 0,
            is_draining: false,
        }
    }

    /// Returns the state, whether a packet was received, and the number of consecutive faults, for a hand-over to another
    /// process.
    pub fn keep(&self) -> (State, bool, u32) {
        (self.state, self.has_received_packet, self.consecutive_faults)
    }

    /// Restores a state machine from the values that were handed over. A restored connection is not draining.
    pub fn resume(bounds: Bounds, state: State, has_received_packet: bool, consecutive_faults: u32) -> Life {
        Life { state, bounds, has_received_packet, consecutive_faults, is_draining: false }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the next packet has to be a body chunk.
    pub fn awaits_piece(&self) -> bool {
        matches!(self.state, State::Body { .. })
    }

    /// Whether input is discarded without being parsed.
    pub fn drops(&self) -> bool {
        matches!(self.state, State::Answering { reuse: false } | State::Closing { .. } | State::Over)
    }

    /// Whether input is read at all. After invalid input, no more is read until the response to the current request is sent.
    pub fn reads(&self) -> bool {
        !matches!(self.state, State::InHand { spoilt: true } | State::Over)
    }

    /// Whether a request is in flight whose response is due.
    pub fn owes(&self) -> bool {
        matches!(self.state, State::InHand { .. })
    }

    /// Returns the time since which the connection carries no request, for the eviction of idle connections.
    pub fn idle_since_us(&self) -> Option<u64> {
        match self.state {
            State::Idle { since_us } | State::Head { since_us } | State::Closing { since_us } => {
                Some(since_us)
            }
            _ => None,
        }
    }

    /// Handles input that is not a complete packet yet.
    pub fn partial(&mut self, now_us: u64) {
        if let State::Idle { .. } = self.state {
            self.state = State::Head { since_us: now_us };
        }
    }

    /// Handles a request's head, with the result of its evaluation: the length of its body, or the refusal.
    pub fn request(&mut self, now_us: u64, evaluated: Result<BodyLength, Refusal>, acts: &mut impl Acts) {
        self.has_received_packet = true;
        match self.state {
            State::Idle { .. } | State::Head { .. } | State::Answering { reuse: true } => {}
            State::InHand { .. } => return self.state = State::InHand { spoilt: true },
            State::Answering { reuse: false } | State::Closing { .. } | State::Over => return,
            State::Body { .. } => return self.broken(ProtocolError::UnexpectedMessage, acts),
        }
        match evaluated {
            Err(refusal) => self.refuse(now_us, refusal, true, acts),
            Ok(BodyLength::Stated(length)) if length > self.bounds.most_body => {
                self.refuse(now_us, BODY_TOO_LARGE, false, acts);
            }
            Ok(BodyLength::None) => self.start(acts),
            Ok(of) => {
                self.state = State::Body { since_us: now_us, got: 0, of };
                if of == BodyLength::Unstated {
                    acts.ask_body(self.bounds.most_body + 1);
                }
            }
        }
    }

    /// Handles a refused request whose body is sent without a Get Body Chunk. The position of the next request is unknown, so
    /// the connection carries no further request.
    pub fn request_with_body(&mut self, now_us: u64, refusal: Refusal, acts: &mut impl Acts) {
        match self.state {
            State::Idle { .. } | State::Head { .. } | State::Answering { reuse: true } => {
                self.has_received_packet = true;
                self.refuse(now_us, refusal, false, acts);
            }
            _ => self.request(now_us, Err(refusal), acts),
        }
    }

    /// Handles a body chunk of this length; 0 ends the body.
    pub fn piece(&mut self, now_us: u64, length: u64, acts: &mut impl Acts) {
        let State::Body { since_us, got, of } = self.state else {
            return match self.state {
                State::InHand { .. } => self.state = State::InHand { spoilt: true },
                State::Answering { reuse: false } | State::Closing { .. } | State::Over => {}
                _ => self.broken(ProtocolError::UnexpectedMessage, acts),
            };
        };
        let got = got + length;
        let is_complete = match of {
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
        if is_complete {
            return self.start(acts);
        }
        self.state = State::Body { since_us, got, of };
        let remaining = match of {
            BodyLength::Stated(stated) => stated - got,
            _ => self.bounds.most_body + 1 - got,
        };
        acts.ask_body(remaining);
    }

    /// Handles a message without fields.
    pub fn plain(&mut self, now_us: u64, message: Plain, acts: &mut impl Acts) {
        self.has_received_packet = true;
        match (self.state, message) {
            (State::Idle { .. } | State::Head { .. }, Plain::CPing) => {
                acts.pong();
                self.state = State::Idle { since_us: now_us };
            }
            (State::Answering { reuse: true }, Plain::CPing) => acts.pong(),
            (State::InHand { .. }, _) => self.state = State::InHand { spoilt: true },
            (State::Answering { reuse: false } | State::Closing { .. } | State::Over, _) => {}
            (State::Body { .. }, _) => self.broken(ProtocolError::UnexpectedMessage, acts),
            (_, Plain::Login) => self.refuse(now_us, NO_LOGIN, false, acts),
            (_, Plain::Shutdown) => self.refuse(now_us, NO_SHUTDOWN, false, acts),
        }
    }

    /// Handles invalid input. A response that is due is still sent.
    pub fn broken(&mut self, why: ProtocolError, acts: &mut impl Acts) {
        match self.state {
            State::InHand { .. } => self.state = State::InHand { spoilt: true },
            State::Answering { reuse: false } | State::Closing { .. } | State::Over => {}
            _ => self.close(End::Broken(why), acts),
        }
    }

    /// Handles the response of the request in flight. Returns whether the connection may carry another request after it; `None`
    /// if no response is due. `fault` counts the request as faulty.
    pub fn answered(&mut self, fault: bool) -> Option<bool> {
        let State::InHand { spoilt } = self.state else { return None };
        self.consecutive_faults = if fault { self.consecutive_faults + 1 } else { self.consecutive_faults };
        let reuse = !spoilt && !self.is_draining && self.consecutive_faults < self.bounds.most_faults;
        self.state = State::Answering { reuse };
        Some(reuse)
    }

    /// Resets the number of consecutive faults, as a request of this web server has started a run.
    pub fn proven(&mut self) {
        self.consecutive_faults = 0;
    }

    /// Handles the completion of all pending output.
    pub fn written(&mut self, now_us: u64) {
        self.state = match self.state {
            State::Answering { reuse: true } => State::Idle { since_us: now_us },
            State::Answering { reuse: false } => State::Closing { since_us: now_us },
            other => other,
        }
    }

    /// Handles the loss of the connection, closed by the web server or failed. A request with an incomplete body is discarded, as
    /// it has not started.
    pub fn closed(&mut self, acts: &mut impl Acts) {
        if self.owes() {
            acts.gone();
        }
        self.state = State::Over;
    }

    /// Starts draining: requests are still answered, and each response is the last one of the connection.
    pub fn leave(&mut self) {
        self.is_draining = true;
    }

    /// Checks the timeouts when the connection has no more input at this time. Timeouts are checked only here, so that a server
    /// that is slow to read does not time out a peer whose input is waiting.
    pub fn empty(&mut self, now_us: u64, acts: &mut impl Acts) {
        if self.due_us().is_none_or(|due_us| now_us < due_us) {
            return;
        }
        match self.state {
            State::Idle { .. } if self.has_received_packet => self.close(End::Idle, acts),
            State::Body { .. } => self.refuse(now_us, BODY_LATE, false, acts),
            State::Closing { .. } => self.close(End::Unclosed, acts),
            _ => self.close(End::Silent, acts),
        }
    }

    /// Returns the time at which the current state times out; [`Life::empty`] applies the timeout.
    pub fn due_us(&self) -> Option<u64> {
        let bounds = self.bounds;
        match self.state {
            State::Idle { since_us } if !self.has_received_packet => Some(since_us + bounds.first_us),
            State::Idle { since_us } => Some(since_us + bounds.idle_us),
            State::Head { since_us } => Some(since_us + bounds.packet_us),
            State::Body { since_us, .. } => Some(since_us + bounds.body_us),
            State::Closing { since_us } => Some(since_us + bounds.close_us),
            State::InHand { .. } | State::Answering { .. } | State::Over => None,
        }
    }

    /// Closes the connection if it is idle and has no unread input, as another connection needs its capacity.
    pub fn make_room(&mut self, acts: &mut impl Acts) {
        if self.idle_since_us().is_some() {
            self.close(End::Idle, acts);
        }
    }

    fn start(&mut self, acts: &mut impl Acts) {
        self.state = State::InHand { spoilt: false };
        acts.start();
    }

    /// Refuses a request. `is_in_sync` is whether the position of the next request in the input is known.
    fn refuse(&mut self, now_us: u64, refusal: Refusal, is_in_sync: bool, acts: &mut impl Acts) {
        self.consecutive_faults += 1;
        let reuse = is_in_sync && !self.is_draining && self.consecutive_faults < self.bounds.most_faults;
        self.state = if reuse { State::Answering { reuse } } else { State::Closing { since_us: now_us } };
        acts.refuse(refusal, reuse);
    }

    fn close(&mut self, why: End, acts: &mut impl Acts) {
        self.state = State::Over;
        acts.end(why);
    }
}
