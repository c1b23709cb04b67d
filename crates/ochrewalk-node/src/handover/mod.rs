//! How this process hands its state over to a successor, takes it over from a predecessor, and is supervised meanwhile.
//!
//! The state machines of both sides are in `ochrewalk-handover`. Here they get sockets, a clock and the node:
//! [`predecessor`] pauses the node and sends a snapshot of all [`records`]; [`successor`] collects them as a
//! [`received_state`] and starts from it. Both speak over a [`hand_over_stream`] with descriptors beside the messages.
//!
//! The [`supervisor`] is the process that the platform started: it starts, ends and replaces its children, and says by its
//! [`process_guard`] which of them may act. [`supervisor_protocol`] has the lines between the two, [`supervisor_link`] a
//! child's end of them, [`counter_report`] what a child reports. [`rollout_agent`] is the supervisor's side of a rollout.

// Those of the workspace, until all of this crate takes them.
#![warn(
    missing_docs,
    clippy::unwrap_used,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::fn_params_excessive_bools,
    clippy::struct_excessive_bools,
    clippy::too_many_lines
)]

pub mod counter_report;
pub mod descriptor_socket;
mod failure_injection;
pub mod fingerprint;
pub mod hand_over_control;
pub mod hand_over_stream;
pub mod pause;
mod pending_snapshot;
pub mod predecessor;
pub mod process_guard;
pub mod received_state;
pub mod records;
pub mod rollout_agent;
pub mod rollout_socket;
pub mod serving_child;
mod snapshot;
pub mod successor;
pub mod supervisor;
pub mod supervisor_link;
pub mod supervisor_protocol;
