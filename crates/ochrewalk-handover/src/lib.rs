//! How a running process passes its state and its open descriptors to a process that was started beside it: the
//! messages and the state machines of both sides, without sockets and clocks.
//!
//! The [`Predecessor`](predecessor::Predecessor) serves; the [`Successor`](successor::Successor) is started beside it,
//! on a stream that ends only when the other process ends:
//!
//! | step | message | who may act |
//! | --- | --- | --- |
//! | the successor has read its files | `Hello` | predecessor |
//! | the predecessor names what there is to take over, or refuses | `Offer`, `Refuse` | predecessor |
//! | the successor knows every section and has room | `Prepare` | predecessor |
//! | sections that seldom change are transferred ahead | `Chunk` ..., `AheadComplete` | predecessor |
//! | the successor has them | `Ready` | predecessor |
//! | the predecessor pauses and sends the other sections | `Chunk` ..., `TransferComplete` | nobody; the predecessor can resume at any moment |
//! | the successor has restored all of the state, with every descriptor | `Loaded` | nobody |
//! | the predecessor gives up its right to act | `Release` | nobody |
//! | the successor says that it starts, and starts | `Started` | successor |
//!
//! # Guarantees
//!
//! * At most one side at a time may read, start, answer or call. Both state machines say so by `may_act`.
//! * While one of the processes lives, one may act, or a message or deadline is due that leads there.
//! * A predecessor resumes what it released only if the successor ended before `Started`; a successor takes over from
//!   a predecessor that ended.
//!
//! `tests/explore.rs` explores all orders of events, with crashes and time-outs, and finds these to hold.
//!
//! # What is left to the caller
//!
//! * A stream that ends only with the other process. Its end alone proves that the other side does nothing more.
//! * A supervisor that kills one of the two processes only while neither acts, and at most one in an attempt; each side
//!   asks it before it pauses, resumes or starts. Without it a late time-out would end a side that has just started.
//! * The time, in microseconds of a clock of the caller's own that never goes back.
//!
//! [`messages`] has what passes, [`framing`] how it is written to the stream.

#![warn(missing_docs)]

pub mod framing;
pub mod messages;
pub mod predecessor;
pub mod successor;

/// The oldest version of the protocol that this code speaks.
pub const OLDEST_VERSION: u32 = 1;
/// The newest version of the protocol that this code speaks.
pub const NEWEST_VERSION: u32 = 2;
/// The first version in which sections are transferred ahead of the pause.
const FIRST_VERSION_WITH_AHEAD: u32 = 2;
