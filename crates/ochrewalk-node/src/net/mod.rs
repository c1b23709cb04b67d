//! The sockets: who is connected to whom, and the bytes that pass.

pub mod below;
pub mod directory;
pub mod dispatchers;
pub mod executor;
pub mod link;
