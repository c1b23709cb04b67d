//! Decides what the end of a connection or of an upstream call proves. Every way in which either can end is a variant
//! of one type, and this file alone defines whether a call that was in flight may have run.

use ochrewalk::host::Outcome;
use std::fmt;
use std::io::{Error, ErrorKind};

/// The reason why a connection closed or could not be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed the connection.
    ClosedByPeer,
    /// The connection was reset, or failed with another error.
    Broken(ErrorKind),
    /// The peer refused the connection, as no process listens at the address.
    Refused,
    /// The connection could not be made for any other reason.
    Unreachable(ErrorKind),
    /// The connection was not made, as the system had no descriptor or memory left.
    OutOfResources,
    /// This node closed the connection, as it was idle.
    Idle,
    /// The peer sent a message that violates the protocol.
    Malformed(String),
    /// The peer sent a message above the maximal length.
    MessageTooLong,
    /// The peer did not answer in time.
    TimedOut,
    /// This node closed the connection, as it drains.
    Draining,
    /// This node closed the connection, as the peer has a new address.
    Moved,
}

impl CloseReason {
    /// Returns the reason why an attempt to connect failed.
    pub fn from_connect_error(err: &Error) -> CloseReason {
        match err.kind() {
            ErrorKind::ConnectionRefused => CloseReason::Refused,
            _ if is_out_of_resources(err) => CloseReason::OutOfResources,
            kind => CloseReason::Unreachable(kind),
        }
    }

    /// Returns the reason why an open connection failed.
    pub fn from_io_error(err: &Error) -> CloseReason {
        match err.kind() {
            ErrorKind::TimedOut | ErrorKind::WouldBlock => CloseReason::TimedOut,
            kind => CloseReason::Broken(kind),
        }
    }

    /// Whether this node closed an open connection, so that it must notify the peer by shutting down its own side
    /// first. For a draining connection that has been done already.
    pub fn is_closed_locally(&self) -> bool {
        match self {
            CloseReason::Idle
            | CloseReason::Malformed(_)
            | CloseReason::MessageTooLong
            | CloseReason::TimedOut
            | CloseReason::Moved => true,
            CloseReason::ClosedByPeer
            | CloseReason::Broken(_)
            | CloseReason::Refused
            | CloseReason::Unreachable(_)
            | CloseReason::OutOfResources
            | CloseReason::Draining => false,
        }
    }

    /// Returns the outcome of a call whose connection closed for this reason. A connection that was never made proves
    /// that the call never ran; a connection that closes during a call proves nothing.
    pub fn outcome(&self) -> Outcome {
        match self {
            CloseReason::Refused | CloseReason::Unreachable(_) | CloseReason::OutOfResources => {
                Outcome::Unreachable
            }
            CloseReason::ClosedByPeer
            | CloseReason::Broken(_)
            | CloseReason::Idle
            | CloseReason::Malformed(_)
            | CloseReason::MessageTooLong
            | CloseReason::TimedOut
            | CloseReason::Draining
            | CloseReason::Moved => Outcome::Interrupted,
        }
    }
}

/// The result of an upstream call, by any protocol.
#[derive(Debug)]
pub enum CallResult {
    /// The call succeeded, with this reply.
    Succeeded(Vec<u8>),
    /// The upstream answered completely that it rejected the call, which never ran.
    Rejected,
    /// The upstream answered that the call failed; the call may have had its effect.
    Failed,
    /// The upstream answered that the call exceeded its deadline.
    DeadlineExceeded,
    /// The upstream answered that no client waits for the call any more.
    NoLongerNeeded,
    /// No answer arrived within the time that the call was given.
    TimedOut,
    /// The connection closed before a byte of the call was written, or no endpoint was available.
    Unsent,
    /// The connection that carried the call closed.
    ConnectionClosed(CloseReason),
}

impl CallResult {
    /// Returns the result that a complete AJP answer stands for. Only the header of this project proves that a call
    /// never ran: a bare 503 may come from an intermediary.
    pub fn from_status(status: u16, never_ran: bool, body: Vec<u8>) -> CallResult {
        match status {
            200..=299 => CallResult::Succeeded(body),
            503 if never_ran => CallResult::Rejected,
            408 | 504 => CallResult::DeadlineExceeded,
            _ => CallResult::Failed,
        }
    }

    /// Returns the outcome that is reported to the admission controller.
    pub fn outcome(&self) -> Outcome {
        match self {
            CallResult::Succeeded(_) => Outcome::Ok,
            CallResult::Rejected => Outcome::Rejected,
            CallResult::Failed => Outcome::Error,
            CallResult::DeadlineExceeded | CallResult::TimedOut => Outcome::TimedOut,
            CallResult::NoLongerNeeded => Outcome::NotStarted,
            CallResult::Unsent => Outcome::Unreachable,
            CallResult::ConnectionClosed(reason) => reason.outcome(),
        }
    }
}

/// Whether the error says that the system has no descriptor or memory left.
pub fn is_out_of_resources(err: &Error) -> bool {
    const EMFILE_ENFILE_ENOBUFS_ENOMEM: [i32; 4] = [24, 23, 105, 12];
    err.raw_os_error().is_some_and(|code| EMFILE_ENFILE_ENOBUFS_ENOMEM.contains(&code))
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CloseReason::ClosedByPeer => f.write_str("closed by the peer"),
            CloseReason::Broken(kind) => write!(f, "broken: {kind}"),
            CloseReason::Refused => f.write_str("refused: nobody listens"),
            CloseReason::Unreachable(kind) => write!(f, "not made: {kind}"),
            CloseReason::OutOfResources => f.write_str("not made: no descriptor or memory free"),
            CloseReason::Idle => f.write_str("closed as idle"),
            CloseReason::Malformed(why) => write!(f, "closed on a malformed message: {why}"),
            CloseReason::MessageTooLong => f.write_str("closed on a message too long"),
            CloseReason::TimedOut => f.write_str("closed on a peer that did not answer"),
            CloseReason::Draining => f.write_str("closed as this server leaves"),
            CloseReason::Moved => f.write_str("closed for a new address"),
        }
    }
}
