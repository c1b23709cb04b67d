//! Decides the course of a rollout: a fleet's program or settings are changed node by node, in stages, and
//! the change is rolled back if changed nodes do worse. This crate uses no sockets, clocks or files: the
//! caller performs the actions that are decided here and reports their results.
//!
//! # Parts
//!
//! * [`RolloutController`] leads one rollout through its stages or its rollback, and waits for an operator
//!   when it cannot decide.
//! * [`StagePlan`] selects the node that is changed, reverted or confirmed next.
//! * [`CanaryAnalysis`] compares changed with unchanged nodes over the same samples.
//! * [`Fence`], at each node, decides which controller's commands are executed.
//! * [`CommitConfirm`], at each node, decides when an unconfirmed change is reverted.
//! * [`RolloutRecord`] is the state that a controller persists; [`messages`] and [`framing`] define the
//!   protocol of the control socket.
//!
//! # Guarantees
//!
//! * Of two controllers only the one with the higher number acts, and no command takes effect after a later
//!   one has.
//! * A controller never has more nodes out of service at once than the plan allows.
//! * A controller may be killed at any step; the next one continues from the record.
//! * A completed rollout has changed every node permanently; a rolled-back one has left no node changed.
//! * The probability that a harmless rollout is stopped is at most [`AnalysisSettings::false_alarm_rate`].
//!
//! `tests/exploration/` checks all guarantees except the last in every state that is reachable in about
//! twenty steps, with a controller killed, a message lost, a node out of service and a change failed at any
//! of them; `tests/canary_analysis.rs` measures the last.
//!
//! # Phases of a rollout
//!
//! | phase | event | next phase |
//! | --- | --- | --- |
//! | `Polling` | all nodes have been polled | the phase that follows from the record |
//! | `Advancing` | the stage's number of nodes is changed and healthy | `Analyzing` |
//! | `Analyzing` | the analysis passes the stage | `Advancing` the next stage; after the last one `Confirming`, or `Done` |
//! | `Analyzing` | nodes have reverted automatically or were restarted | `Advancing` the same stage |
//! | `Analyzing` | the analysis is inconclusive | `Waiting` |
//! | `Confirming` | all nodes have confirmed | `Done` |
//! | `Advancing`, `Analyzing`, `Confirming` | harm is found, or a change fails | `RollingBack` |
//! | any but `Polling`, `RolledBack` and `Replaced` | an operator requests a rollback | `RollingBack` |
//! | `RollingBack` | all nodes run the old version | `RolledBack` |
//! | `Advancing`, `Analyzing`, `Confirming`, `RollingBack` | an operator pauses, a node is stuck, or no progress is made for too long | `Waiting` |
//! | `Waiting` | an operator resumes | the phase that follows from the record; a stage whose analysis was inconclusive passes |
//! | any but `Polling` and the final phases | a node reports a higher controller number | `Replaced` |
//!
//! # Responsibilities of the caller
//!
//! * Persist the record before any further action, and stop if that fails.
//! * Give each controller a number that no other controller ever has.
//! * Poll all nodes in every sampling interval.
//! * Call [`RolloutController::no_progress`] if nothing has changed for longer than the plan allows.
//! * Use a monotonic clock.

#![warn(missing_docs)]

mod canary_analysis;
mod command;
mod commit_confirm;
mod controller;
mod fence;
pub mod framing;
mod log_text;
pub mod messages;
mod phase;
mod record;
mod sequential_test;
mod stage_plan;
mod version;

pub use canary_analysis::{AnalysisSettings, CallCounts, CanaryAnalysis, NodeSample, Sample, Verdict};
pub use command::{ChangeMethod, Command, CommandReply};
pub use commit_confirm::{CommitConfirm, RevertAction};
pub use controller::{ControllerActions, NodeReport, RolloutController, RolloutPolicy};
pub use fence::{Admission, ControllerNumber, Fence, FencingToken, Outcome};
pub use phase::{Phase, WaitReason};
pub use record::{RecordError, RolloutRecord};
pub use sequential_test::{ContingencyTable, SequentialTest};
pub use stage_plan::{NodeState, StagePlan, StagePlanError};
pub use version::{Version, VersionFingerprints};
