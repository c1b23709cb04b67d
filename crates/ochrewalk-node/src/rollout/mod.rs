//! The rollout controller as a process: reads a plan, polls nodes, sends commands, persists the record, writes the log and obeys
//! the operator. What is done when is decided by `ochrewalk-rollout`; the side of the nodes is
//! [`crate::handover::rollout_agent`].
//!
//! | module | job |
//! | --- | --- |
//! | `plan` | the operators' plan as stages, policy and thresholds of the analysis |
//! | `fingerprints` | which version a node runs |
//! | `polling` | the status of all nodes |
//! | `readiness`, `settings_changes` | whether a plan may begin |
//! | `status` | how a rollout stands, for operators |
//! | `operator_socket` | what operators tell a running controller |
//! | `record_file`, `log` | what outlives the controller |
//! | `actions`, `command_sender` | what the controller decides is done; commands to nodes, until they are answered |
//! | `sampling` | samples for the analysis |
//! | `run` | the loop that puts these together |

mod actions;
mod command_sender;
mod error;
mod fingerprints;
pub mod log;
pub mod operator_socket;
mod plan;
mod polling;
mod readiness;
pub mod record_file;
mod run;
mod sampling;
mod settings_changes;
mod status;

pub use error::{NodeFault, RolloutError};
pub use plan::read_plan;
pub use polling::PollError;
pub use readiness::check;
pub use run::{run, RolloutEnd, StartMode};
pub use status::status;
