//! Decides a rollout: a change of the program or of the settings of a fleet, node by node in stages, rolled back where changed
//! nodes do worse. No sockets, no clocks, no files: the caller does what is decided here, and says what came of it.
//!
//! # Parts
//!
//! * [`RolloutController`] leads one rollout through its stages, or back, and waits for an operator where it has to.
//! * [`StagePlan`] says which node is changed, reverted or confirmed next.
//! * [`CanaryAnalysis`] compares changed with unchanged nodes over the same samples.
//! * [`Fence`], at each node, says whose commands are obeyed.
//! * [`CommitConfirm`], at each node, says when an unconfirmed change is reverted.
//! * [`RolloutRecord`] is what a controller persists; [`messages`] and [`framing`] are what goes over a control socket.
//!
//! # What is guaranteed
//!
//! * Of two controllers only the one with the higher number acts, and no command acts after a later one has.
//! * A controller never has more nodes out of service at once than the plan allows.
//! * A controller may be killed at any step; the next one goes on from the record.
//! * A rollout that is done has changed every node for good; one that is rolled back has left none changed.
//! * A rollout without harm is stopped with at most the chance that [`AnalysisSettings`] says.
//!
//! `tests/exploration/` checks all but the last in every state that can be reached in some twenty steps, with a kill, a loss, an
//! outage and a failure at any of them; `tests/canary_analysis.rs` measures the last.
//!
//! # Phases of a rollout
//!
//! | phase | event | next phase |
//! | --- | --- | --- |
//! | `Polling` | all nodes were polled | where the record says |
//! | `Advancing` | the stage's number of nodes is changed and healthy | `Analyzing` |
//! | `Analyzing` | the analysis passes the stage | `Advancing` the next stage; after the last one `Confirming`, or `Done` |
//! | `Analyzing` | nodes reverted by themselves, or were restarted | `Advancing` the same stage |
//! | `Analyzing` | the analysis cannot tell | `Waiting` |
//! | `Confirming` | all nodes have confirmed | `Done` |
//! | `Advancing`, `Analyzing`, `Confirming` | harm, or a change that fails | `RollingBack` |
//! | any but `Polling`, `RolledBack` and `Replaced` | an operator has it rolled back | `RollingBack` |
//! | `RollingBack` | all nodes run the old version | `RolledBack` |
//! | `Advancing`, `Analyzing`, `Confirming`, `RollingBack` | an operator pauses, a node is stuck, or nothing moves for too long | `Waiting` |
//! | `Waiting` | an operator resumes | where the record says; a stage whose analysis was inconclusive passes |
//! | any but `Polling` and the ends | a node knows a higher controller number | `Replaced` |
//!
//! # What is left to the caller
//!
//! To persist the record before anything else is done, and to stop where that fails; a controller number that no other
//! controller ever has; to poll all nodes in every sampling interval; to call [`RolloutController::no_progress`]
//! where nothing has moved for too long; and monotonic time.

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
