//! How a connection ends. Every way is one value of one type, whoever is at the other side, and what it
//! means for a call that was under way is said in one place.

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
