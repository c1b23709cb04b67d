//! The plan of a rollout: the same lines and units as the operators' file, each fault named by its line.

mod parser;
mod stages;

use crate::diagnostic::Diagnostic;
use std::path::PathBuf;

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedNode {
    /// The name that operators know it by.
    pub name: String,
    /// Its supervisor's control socket.
    pub control: PathBuf,
    /// Nodes are compared within their zone.
    pub zone: String,
}

/// What a rollout changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The program that nodes run.
    Program,
    /// The operators' file that nodes go by.
    Settings,
}

/// Which of the two files of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The one that nodes have before the rollout.
    Old,
    /// The one that they are to have after it.
    New,
}

/// A rollout of a program or of settings, never of both. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPlan {
    /// What it changes.
    pub subject: Subject,
    /// The file before; `{node}` in it stands for a node's name.
    pub old: PathBuf,
    /// The file after; `{node}` in it stands for a node's name.
    pub new: PathBuf,
    /// A changed node reverts after this time without a word of its controller, until the rollout is confirmed; 0 where
    /// changes need no confirmation.
    pub confirm_timeout_us: u64,
    /// A node that cannot hand back what it runs is restarted.
    pub restarts_stuck_nodes: bool,
    /// All nodes of the fleet.
    pub nodes: Vec<PlannedNode>,
    /// How many nodes are changed at the end of each stage; the last one has all.
    pub stages: Vec<usize>,
    /// So many nodes may be out of service at once.
    pub max_unavailable: usize,
    /// Where the progress is persisted; the operator's control socket stands beside it.
    pub record: PathBuf,
    /// How often nodes are polled.
    pub sample_interval_us: u64,
    /// Harm that has to be found, as a share of a method's calls.
    pub harm: f64,
    /// How long a stage lasts at least.
    pub min_stage_us: u64,
    /// After this time in a stage without a verdict the operator is asked.
    pub max_stage_us: u64,
    /// A changed node that does not report for this long counts as harmed.
    pub max_silence_us: u64,
    /// How long a changed node is warming up.
    pub warm_up_us: u64,
    /// How long a fleet that is too unhealthy for the next step is waited for.
    pub recovery_timeout_us: u64,
}

impl RolloutPlan {
    /// Reads a plan's text. `file` names it in diagnostics.
    ///
    /// # Errors
    /// All lines that are wrong by themselves, in their order; where there are none, what is first wrong between lines.
    pub fn parse(text: &str, file: &str) -> Result<RolloutPlan, Vec<Diagnostic>> {
        parser::parse(text, file)
    }

    /// The path of a version on a node.
    pub fn file(&self, node: &PlannedNode, version: Version) -> PathBuf {
        let path = match version {
            Version::Old => &self.old,
            Version::New => &self.new,
        };
        PathBuf::from(path.to_string_lossy().replace("{node}", &node.name))
    }
}
