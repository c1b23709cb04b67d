//! Decides what the end of a connection, or of a call, proves. Every way is one value of one type, whoever is at the other side, and
//! what it proves of a call that was under way is said in this file alone.

use ochrewalk::host::Outcome;
use std::fmt;
use std::io::{Error, ErrorKind};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it.
    ClosedByPeer,
    /// It broke: a reset, or any other error on it.
    Broken(ErrorKind),
    /// Nobody listens there.
    Refused,
    /// It could not be made for any other reason.
    Unreachable(ErrorKind),
    /// It was not made, as no descriptor or memory was free for it.
    OutOfResources,
    /// We closed it, as it carried nothing.
    Idle,
    /// The peer sent what the protocol does not know.
    Malformed(String),
    /// The peer sent a message longer than any may be.
    MessageTooLong,
    /// The peer did not answer in time.
    TimedOut,
    /// We closed it, as this server leaves.
    Draining,
    /// We closed it, as the peer has a new address.
    Moved,
}

impl CloseReason {
    /// How an attempt to connect failed.
    pub fn from_connect_error(err: &Error) -> CloseReason {
        match err.kind() {
            ErrorKind::ConnectionRefused => CloseReason::Refused,
            _ if is_out_of_resources(err) => CloseReason::OutOfResources,
            kind => CloseReason::Unreachable(kind),
        }
    }

    /// How an open connection failed.
    pub fn from_io_error(err: &Error) -> CloseReason {
        match err.kind() {
            ErrorKind::TimedOut | ErrorKind::WouldBlock => CloseReason::TimedOut,
            kind => CloseReason::Broken(kind),
        }
    }

    /// Whether the end of an open connection was our own, so that its peer is told by shutting our side first.
    /// One that left has been told already.
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

    /// What a call has come to whose connection ended so. A connection that was never made proves that the
    /// call never ran; one that breaks under a call proves nothing.
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

/// What became of a call below, by any protocol.
#[derive(Debug)]
pub enum CallResult {
    /// It went well; its reply.
    Succeeded(Vec<u8>),
    /// What lies below said so, whole: it was turned away unseen.
    Rejected,
    /// It said that the call failed, and it may have had its effect.
    Failed,
    /// It said that the call ran out of time.
    DeadlineExceeded,
    /// It said that nobody waits for the call.
    NoLongerNeeded,
    /// We waited as long as we said we would.
    TimedOut,
    /// The connection that was to carry it ended before a byte of it was written, or no place took it.
    Unsent,
    /// The connection that carried it ended.
    ConnectionClosed(CloseReason),
}

impl CallResult {
    /// What a whole answer by AJP means. Only a header of our own kind says that a call never ran; a bare 503 may
    /// come from whoever stands between.
    pub fn from_status(status: u16, never_ran: bool, body: Vec<u8>) -> CallResult {
        match status {
            200..=299 => CallResult::Succeeded(body),
            503 if never_ran => CallResult::Rejected,
            408 | 504 => CallResult::DeadlineExceeded,
            _ => CallResult::Failed,
        }
    }

    /// What it means to the module.
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

/// Whether the system had no descriptor or memory left.
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
