//! Hands the state of this process over to a successor, takes it over from a predecessor, and supervises both processes.
//!
//! The state machines of both sides are in `ochrewalk-handover`. This module connects them with sockets, a clock and the node:
//! [`predecessor`] pauses the node and sends a snapshot of all [`records`]; [`successor`] collects them as a
//! [`received_state`] and starts from it. Both communicate on a [`hand_over_stream`], which also passes descriptors.
//!
//! The [`supervisor`] is the process that the platform started. The supervisor starts, ends and replaces its children, and
//! decides with its [`process_guard`] which of them may act. [`supervisor_protocol`] defines the lines between supervisor and
//! child, [`supervisor_link`] is the child's end of the stream, and [`counter_report`] defines a child's reports.
//! [`rollout_agent`] is the supervisor's side of a rollout.

// The workspace's lints, enabled here until the whole crate satisfies them.
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
