//! Parses the plan of a rollout, which has the line format and the units of the operators' file; each error names its
//! line.

mod parser;
mod stages;

use crate::diagnostic::Diagnostic;
use std::path::PathBuf;

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedNode {
    /// The node's name for operators.
    pub name: String,
    /// The control socket of the node's supervisor.
    pub control: PathBuf,
    /// The node's zone; nodes are compared within their zone.
    pub zone: String,
}

/// The subject that a rollout changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The program that nodes run.
    Program,
    /// The operators' file that nodes use.
    Settings,
}

/// A version of a plan, with one of its two files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The file that nodes use before the rollout.
    Old,
    /// The file that nodes use after the rollout.
    New,
}

/// The plan of a rollout of a program or of settings, never of both. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPlan {
    /// The subject of the change.
    pub subject: Subject,
    /// The file before the rollout; `{node}` in the path is replaced by a node's name.
    pub old: PathBuf,
    /// The file after the rollout; `{node}` in the path is replaced by a node's name.
    pub new: PathBuf,
    /// The time without a request from the controller after which a changed node reverts, as long as the rollout is not
    /// confirmed; 0 if changes need no confirmation.
    pub confirm_timeout_us: u64,
    /// Whether a node that cannot hand back its requests is restarted.
    pub restarts_stuck_nodes: bool,
    /// All nodes of the fleet.
    pub nodes: Vec<PlannedNode>,
    /// The number of changed nodes at the end of each stage; the last stage has all nodes.
    pub stages: Vec<usize>,
    /// The maximum number of nodes that may be out of service at once.
    pub max_unavailable: usize,
    /// The path at which the progress is persisted; the operator's control socket is in the same directory.
    pub record: PathBuf,
    /// The interval at which nodes are polled.
    pub sample_interval_us: u64,
    /// The size of the harm that the canary analysis has to detect, as a share of a method's calls.
    pub harm: f64,
    /// The minimum duration of a stage.
    pub min_stage_us: u64,
    /// The time in a stage without a verdict after which the operator has to decide.
    pub max_stage_us: u64,
    /// The time without a report after which a changed node counts as harmed.
    pub max_silence_us: u64,
    /// The time for which a changed node is warming up.
    pub warm_up_us: u64,
    /// The time to wait for the recovery of a fleet that is too unhealthy for the next step.
    pub recovery_timeout_us: u64,
}

impl RolloutPlan {
    /// Parses the text of a plan. `file` is its name in diagnostics.
    ///
    /// # Errors
    /// Returns the errors of all invalid lines, in the order of the lines; if every line is valid, the first error
    /// between lines.
    pub fn parse(text: &str, file: &str) -> Result<RolloutPlan, Vec<Diagnostic>> {
        parser::parse(text, file)
    }

    /// Returns the path of a version on a node.
    pub fn file(&self, node: &PlannedNode, version: Version) -> PathBuf {
        let path = match version {
            Version::Old => &self.old,
            Version::New => &self.new,
        };
        PathBuf::from(path.to_string_lossy().replace("{node}", &node.name))
    }
}
