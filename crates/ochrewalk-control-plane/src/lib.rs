//! Distribution of configuration over sockets and disk: the publisher with its durable log, the relays, and the agent in
//! each node. The state machines of `ochrewalk-distribution` decide which updates are sent, applied and refused; this
//! crate transfers bytes between them, TCP connections, a control socket and files.
//!
//! # Guarantees
//!
//! * A batch is acknowledged, and sent to subscribers, only once it is durable ([`publisher_log`]). A publisher that was
//!   killed at any time recovers all batches that it acknowledged.
//! * A publisher that has observed a later epoch accepts no further changes, even after a restart.
//! * A node's state file ([`state_file`]) is always read as a state that was in force, whichever part of the file was
//!   lost or damaged.
//! * A peer that sends malformed input, sends nothing or does not read affects only its own connection
//!   ([`subscriber_server`]).
//! * The control socket ([`control`]) serves only processes of the same user and of root.
//!
//! # States
//!
//! The module [`agent`] documents the states of its connection, and [`subscriber_server`] the roles of its peers. The
//! states of a publisher:
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | starting | its log is empty, or it takes over | serving, in an epoch above all observed ones |
//! | starting | its log has a state | serving, in the epoch of that state; fenced if it had observed a later one |
//! | serving | a subscriber has observed a later epoch | fenced: it serves its state, and refuses changes |
//! | serving | a write to the log fails | it serves its state, and refuses changes until it is restarted |
//!
//! # Responsibilities of the caller
//!
//! A node drives its [`agent::Agent`] on its own event loop, applies updates as a [`agent::ConfigurationSink`], and
//! writes its state file. Programs set up logging, and stop a [`publisher::Publisher`] or [`relay::Relay`] with its flag.

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
