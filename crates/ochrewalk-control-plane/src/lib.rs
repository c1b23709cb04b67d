//! Distribution of configuration on sockets and disk: the publisher with its durable log, relays, and the agent in each
//! node. What is sent, applied and refused is decided in `ochrewalk-distribution`; this crate moves bytes.

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
