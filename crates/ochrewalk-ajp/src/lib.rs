//! Implements AJP/1.3 without sockets and clocks. As in the description of the protocol, the web server sends requests
//! and the servlet container responds to them.
//!
//! * [`packet`] splits the stream into packets, and reads and writes their primitives.
//! * [`request`] has the messages of the web server, [`reply`] those of the servlet container.
//! * [`servlet_container`] is the state machine of a connection on the servlet container's side, [`web_server`] that of a
//!   connection on the web server's side.
//!
//! Every bound applies to bytes that have been received, never to a length that is only stated, so that an untrusted
//! peer cannot cause allocations by a stated length.

mod codes;
pub mod packet;
pub mod reply;
pub mod request;
pub mod servlet_container;
pub mod web_server;

pub use packet::ProtocolError;
