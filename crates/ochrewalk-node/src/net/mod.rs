//! Network connections: to dispatchers, to AJP clients, to the executor, to the directory and to upstreams.

pub mod ajp_ingress;
pub mod ajp_upstream;
pub mod buffered_connection;
pub mod directory;
pub mod dispatchers;
pub mod executor;
pub mod flood_control;
pub mod input_budget;
pub mod line_upstream;
pub mod listener;
pub mod send_queue;
pub mod status;
pub mod unconfirmed_commands;
