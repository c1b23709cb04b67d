//! Decides what the end of a connection, or of a call, proves. Every way is one value of one type, whoever is at the other side, and
//! what it proves of a call that was under way is said in this file alone.

use ochrewalk::host::Outcome;
use std::fmt;
use std::io::{Error, ErrorKind};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The peer closed it.
    Closed,
    /// It broke: a reset, or any other error on it.
    Broken(ErrorKind),
    /// Nobody listens there.
    Refused,
    /// It could not be made for any other reason.
    Unreachable(ErrorKind),
    /// It was not made, as no descriptor or memory was free for it.
    NoRoom,
    /// We closed it, as it carried nothing.
    Idle,
    /// The peer sent what the protocol does not know.
    Malformed(String),
    /// The peer sent a message longer than any may be.
    TooLong,
    /// The peer did not answer in time.
    Silent,
    /// We closed it, as this server leaves.
    Leaving,
    /// We closed it, as the peer has a new address.
    Moved,
}

impl Ending {
    /// How an attempt to connect failed.
    pub fn of_connect(err: &Error) -> Ending {
        match err.kind() {
            ErrorKind::ConnectionRefused => Ending::Refused,
            _ if out_of_room(err) => Ending::NoRoom,
            kind => Ending::Unreachable(kind),
        }
    }

    /// How an open connection failed.
    pub fn of_use(err: &Error) -> Ending {
        match err.kind() {
            ErrorKind::TimedOut | ErrorKind::WouldBlock => Ending::Silent,
            kind => Ending::Broken(kind),
        }
    }

    /// Whether the end of an open connection was our own, so that its peer is told by shutting our side first.
    /// One that left has been told already.
    pub fn is_ours(&self) -> bool {
        match self {
            Ending::Idle | Ending::Malformed(_) | Ending::TooLong | Ending::Silent | Ending::Moved => true,
            Ending::Closed
            | Ending::Broken(_)
            | Ending::Refused
            | Ending::Unreachable(_)
            | Ending::NoRoom
            | Ending::Leaving => false,
        }
    }

    /// What a call has come to whose connection ended so. A connection that was never made proves that the
    /// call never ran; one that breaks under a call proves nothing.
    pub fn outcome(&self) -> Outcome {
        match self {
            Ending::Refused | Ending::Unreachable(_) | Ending::NoRoom => Outcome::Unreachable,
            Ending::Closed
            | Ending::Broken(_)
            | Ending::Idle
            | Ending::Malformed(_)
            | Ending::TooLong
            | Ending::Silent
            | Ending::Leaving
            | Ending::Moved => Outcome::Interrupted,
        }
    }
}

/// What became of a call below, by any protocol.
#[derive(Debug)]
pub enum CallEnd {
    /// It went well; its reply.
    Good(Vec<u8>),
    /// What lies below said so, whole: it was turned away unseen.
    PushedBack,
    /// It said that the call failed, and it may have had its effect.
    Failed,
    /// It said that the call ran out of time.
    OutOfTime,
    /// It said that nobody waits for the call.
    Moot,
    /// We waited as long as we said we would.
    Late,
    /// The connection that was to carry it ended before a byte of it was written, or no place took it.
    Unsent,
    /// The connection that carried it ended.
    Link(Ending),
}

impl CallEnd {
    /// What a whole answer by AJP means. Only a header of our own kind says that a call never ran; a bare 503 may
    /// come from whoever stands between.
    pub fn of_status(status: u16, never_ran: bool, body: Vec<u8>) -> CallEnd {
        match status {
            200..=299 => CallEnd::Good(body),
            503 if never_ran => CallEnd::PushedBack,
            408 | 504 => CallEnd::OutOfTime,
            _ => CallEnd::Failed,
        }
    }

    /// What it means to the module.
    pub fn outcome(&self) -> Outcome {
        match self {
            CallEnd::Good(_) => Outcome::Ok,
            CallEnd::PushedBack => Outcome::Rejected,
            CallEnd::Failed => Outcome::Error,
            CallEnd::OutOfTime | CallEnd::Late => Outcome::TimedOut,
            CallEnd::Moot => Outcome::NotStarted,
            CallEnd::Unsent => Outcome::Unreachable,
            CallEnd::Link(ending) => ending.outcome(),
        }
    }
}

/// Whether the system had no descriptor or memory left.
pub fn out_of_room(err: &Error) -> bool {
    const EMFILE_ENFILE_ENOBUFS_ENOMEM: [i32; 4] = [24, 23, 105, 12];
    err.raw_os_error().is_some_and(|code| EMFILE_ENFILE_ENOBUFS_ENOMEM.contains(&code))
}

impl fmt::Display for Ending {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Ending::Closed => f.write_str("closed by the peer"),
            Ending::Broken(kind) => write!(f, "broken: {kind}"),
            Ending::Refused => f.write_str("refused: nobody listens"),
            Ending::Unreachable(kind) => write!(f, "not made: {kind}"),
            Ending::NoRoom => f.write_str("not made: no descriptor or memory free"),
            Ending::Idle => f.write_str("closed as idle"),
            Ending::Malformed(why) => write!(f, "closed on a malformed message: {why}"),
            Ending::TooLong => f.write_str("closed on a message too long"),
            Ending::Silent => f.write_str("closed on a peer that did not answer"),
            Ending::Leaving => f.write_str("closed as this server leaves"),
            Ending::Moved => f.write_str("closed for a new address"),
        }
    }
}
