//! How this process hands all that it holds to its successor, and takes it from the one before: what is written down
//! (`records`), the pause, the Unix socket that descriptors go over (`descriptor_socket`), the two sides (`predecessor`, `successor`) and
//! the supervisor that starts both and says who may act; `rollout_agent` is its part in a rollout. A program speaks to its supervisor
//! by `supervisor_link`; `counter_report` is what it reports there.

pub mod counter_report;
pub mod descriptor_socket;
mod failure_injection;
pub mod hand_over_control;
pub mod hand_over_stream;
pub mod pause;
mod pending_snapshot;
pub mod predecessor;
pub mod process_guard;
pub mod received_state;
pub mod records;
pub mod rollout_agent;
mod snapshot;
pub mod successor;
pub mod supervisor;
pub mod supervisor_link;
pub mod supervisor_protocol;
