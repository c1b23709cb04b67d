//! The protocol by which a running process passes its state and its open descriptors to a successor process:
//! the messages and the state machines of both sides, without sockets and clocks.
//!
//! The [`Predecessor`](predecessor::Predecessor) is serving; the [`Successor`](successor::Successor) is
//! started in parallel, on a stream that ends only when the other process ends:
//!
//! | step | message | who may act |
//! | --- | --- | --- |
//! | the successor has read its files | `Hello` | predecessor |
//! | the predecessor lists the sections that it will transfer, or refuses | `Offer`, `Refuse` | predecessor |
//! | the successor knows every section and has enough memory and descriptors | `Prepare` | predecessor |
//! | sections that seldom change are transferred ahead of the pause | `Chunk` ..., `AheadComplete` | predecessor |
//! | the successor has received them | `Ready` | predecessor |
//! | the predecessor pauses and sends the other sections | `Chunk` ..., `TransferComplete` | neither; the predecessor can resume at any time |
//! | the successor has restored the complete state, with every descriptor | `Loaded` | neither |
//! | the predecessor gives up its right to act | `Release` | neither |
//! | the successor announces that it starts, and starts | `Started` | successor |
//!
//! # Guarantees
//!
//! * At most one side at a time may read, start, answer or call. `may_act` of both state machines reports
//!   which one.
//! * While one of the processes is running, either one of them may act, or a message or deadline is pending
//!   that leads to that state.
//! * A predecessor resumes after `Release` only if the successor ended before `Started`; a successor takes
//!   over from a predecessor that has ended.
//!
//! `tests/explore.rs` checks these guarantees for all orders of events, with crashes and time-outs.
//!
//! # Responsibilities of the caller
//!
//! * Provide a stream that ends only with the other process. The end of the stream is the only proof that the
//!   other side takes no further action.
//! * Run a supervisor that kills one of the two processes only while neither acts, and at most one per
//!   attempt; each side requests its permission before it pauses, resumes or starts. Without the supervisor,
//!   a late time-out would end a side that has just started.
//! * Pass the time in microseconds of a monotonic clock.
//!
//! [`messages`] defines the messages, [`framing`] their encoding on the stream.

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
const FIRST_VERSION_WITH_TRANSFER_AHEAD: u32 = 2;
