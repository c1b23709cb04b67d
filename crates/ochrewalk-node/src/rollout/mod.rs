//! Runs the rollout controller as a process: reads a plan, polls nodes, sends commands, persists the record, writes the log and
//! carries out commands of operators. `ochrewalk-rollout` decides on all actions; [`crate::handover::rollout_agent`] is the
//! nodes' side.
//!
//! | module | purpose |
//! | --- | --- |
//! | `plan` | the operators' plan as stages, policy and analysis thresholds |
//! | `fingerprints` | the version that a node runs |
//! | `polling` | the status of all nodes |
//! | `readiness`, `settings_changes` | checks whether a plan may begin |
//! | `status` | the status of a rollout, for operators |
//! | `operator_socket` | commands of operators to a running controller |
//! | `record_file`, `log` | files that outlive the controller |
//! | `actions`, `command_sender` | the controller's actions; commands to nodes, until they are answered |
//! | `sampling` | samples for the analysis |
//! | `run` | the loop that connects these modules |

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
