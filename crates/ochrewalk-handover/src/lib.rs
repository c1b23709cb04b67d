//! How a running node hands all that it holds to its successor, without sockets and clocks.
//!
//! The giver serves; the taker was started beside it, over a stream that ends only when the other process ends:
//!
//! | step | message | who may act |
//! | --- | --- | --- |
//! | the taker has read its files | `Greet` | giver |
//! | the giver names what there is to take, or refuses | `Offer`, `Refuse` | giver |
//! | the taker knows every section and has room | `Prepare` | giver |
//! | what seldom changes goes ahead | `Part` ..., `Ahead` | giver |
//! | the taker has it | `Ready` | giver |
//! | the giver stands still and sends the rest | `Part` ..., `Last` | nobody; the giver can go on at any moment |
//! | the taker has all of it, and every descriptor | `Commit` | nobody |
//! | the giver lets go for good | `Go` | nobody |
//! | the taker tells that it begins, and begins | `Done` | taker |
//!
//! At every moment one side at the most may read, start, answer or call. A side that stops hearing from the other has
//! it ended and hears the stream's end, which alone proves that the other does nothing more. So the giver takes up
//! again what it gave away if the taker ended before `Done`, and the taker takes over from a giver that died. Whoever
//! started both processes ends one of them only while neither acts, and one at the most; so each asks it before it
//! begins or goes on. Without that a late time-out would end a side that has just begun: exploring all orders of
//! events showed it.

pub mod giver;
pub mod messages;
pub mod taker;

/// The protocol's versions that this code speaks. From the second on something goes ahead of the standstill.
pub const OLDEST: u32 = 1;
pub const NEWEST: u32 = 2;
const AHEAD: u32 = 2;
