//! How a running node hands all that it holds to its successor, without sockets and clocks.
//!
//! The predecessor serves; the successor was started beside it, over a stream that ends only when the other process ends:
//!
//! | step | message | who may act |
//! | --- | --- | --- |
//! | the successor has read its files | `Hello` | predecessor |
//! | the predecessor names what there is to take, or refuses | `Offer`, `Refuse` | predecessor |
//! | the successor knows every section and has room | `Prepare` | predecessor |
//! | what seldom changes goes ahead | `Chunk` ..., `AheadComplete` | predecessor |
//! | the successor has it | `Ready` | predecessor |
//! | the predecessor stands still and sends the rest | `Chunk` ..., `TransferComplete` | nobody; the predecessor can go on at any moment |
//! | the successor has all of it, and every descriptor | `Loaded` | nobody |
//! | the predecessor lets go for good | `Release` | nobody |
//! | the successor tells that it begins, and begins | `Started` | successor |
//!
//! At every moment one side at the most may read, start, answer or call. A side that stops hearing from the other has
//! it ended and hears the stream's end, which alone proves that the other does nothing more. So the predecessor takes up
//! again what it gave away if the successor ended before `Started`, and the successor takes over from a predecessor that died. Whoever
//! started both processes ends one of them only while neither acts, and one at the most; so each asks it before it
//! begins or goes on. Without that a late time-out would end a side that has just begun: exploring all orders of
//! events showed it.

pub mod messages;
pub mod predecessor;
pub mod successor;

/// The protocol's versions that this code speaks. From the second on something goes ahead of the standstill.
pub const OLDEST_VERSION: u32 = 1;
pub const NEWEST_VERSION: u32 = 2;
const FIRST_VERSION_WITH_AHEAD: u32 = 2;
