//! A rolling change of the program in stages: old and new nodes side by side, stopped when the new ones do worse.
//!
//! Three parts that know nothing of sockets, and one that puts them together: the [`StagePlan`] says which node is changed
//! next, the [`CanaryAnalysis`] whether changed nodes do worse than the others at the same moments, the [`Fence`] at each node
//! who may still order it; the [`RolloutController`] goes through the stages, and back. What is changed may be on [`CommitConfirm`] until
//! the change is done.

mod canary_analysis;
mod commit_confirm;
mod controller;
mod fence;
mod log_text;
pub mod messages;
mod sequential_test;
mod stage_plan;

pub use canary_analysis::{AnalysisSettings, CallCounts, CanaryAnalysis, NodeSample, Sample, Verdict};
pub use commit_confirm::{CommitConfirm, RevertAction};
pub use controller::{
    ChangeMethod, Command, CommandReply, ControllerActions, NodeReport, Phase, RolloutController,
    RolloutPolicy, RolloutRecord, WaitReason,
};
pub use fence::{Admission, Fence, FencingToken, Outcome};
pub use sequential_test::{ContingencyTable, SequentialTest};
pub use stage_plan::{NodeState, StagePlan, StagePlanError};

/// Which of the two a node runs: of two programs, or of two files of settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Version {
    Old,
    New,
}
