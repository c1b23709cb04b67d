//! Distribution of configuration on sockets and disk: the publisher with its durable log, relays, and the agent in each
//! node. What is sent, applied and refused is decided by the state machines of `ochrewalk-distribution`; this crate moves
//! bytes between them, TCP connections, a control socket and files.
//!
//! # Guarantees
//!
//! * A batch is acknowledged, and sent to subscribers, only once it is durable ([`publisher_log`]). A publisher that was killed
//!   at any instant recovers all that it acknowledged.
//! * A publisher that has observed a later epoch accepts nothing more, also after a restart.
//! * A node's state file ([`state_file`]) is read as a state that was in force, whatever part of it was lost or damaged.
//! * A peer that sends noise, sends nothing or does not read costs its own connection alone ([`subscriber_server`]).
//! * The control socket ([`control`]) serves processes of the same user and of root only.
//!
//! # States
//!
//! The connection of an [`agent`] and the peers of a [`subscriber_server`] have their tables on those pages. A publisher:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | starting | its log is empty, or it is to take over | serving, in an epoch above all that it has observed |
//! | starting | its log has a state | serving, in the epoch of that state; fenced if it had observed a later one |
//! | serving | a subscriber has observed a later epoch | fenced: it serves what it has, and refuses changes |
//! | serving | a write to the log fails | it serves what it has, and refuses changes until it is started again |
//!
//! # What is left to the caller
//!
//! A node drives its [`agent::Agent`] on an event loop of its own, applies updates as a [`agent::ConfigurationSink`], and writes
//! its state file. Programs set up logging, and stop a [`publisher::Publisher`] or [`relay::Relay`] by its flag.

#![warn(missing_docs)]

pub mod agent;
pub mod clock;
pub mod connection;
pub mod control;
pub mod frame;
pub mod publisher;
pub mod publisher_log;
pub mod records;
pub mod relay;
pub mod state_file;
pub mod subscriber_server;
