//! AJP/1.3 without sockets and clocks. The names follow the public description of the protocol only where its
//! fields are read and written; everywhere else the one that sends requests is the asker, and the other side the
//! answerer.
//!
//! * [`packet`] cuts the stream into packets and reads and writes their primitives.
//! * [`request`] holds what the asker sends, [`reply`] what the answerer sends.
//! * [`answerer`] decides the life of a connection on which we are asked, [`asker`] of one on which we ask.
//!
//! Every bound is on bytes that have come, never on a length that is only stated, so that nothing is allocated for
//! what a stranger merely promises.

pub mod answerer;
pub mod asker;
mod codes;
pub mod packet;
pub mod reply;
pub mod request;

pub use packet::Broken;
