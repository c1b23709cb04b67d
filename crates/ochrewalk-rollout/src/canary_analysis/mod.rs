//! Decides whether changed nodes do worse than unchanged ones over the same samples, by zone and method.
//!
//! A fault that affects both sides alike is not harm. A node that does not report is never taken as a sign of
//! health. Too little traffic gives no verdict. Harm that appears late is found, because all changed nodes
//! stay under analysis until the rollout has ended.

mod fleet_health;
mod method_comparison;
mod node_checks;
mod sample;

use fleet_health::FleetHealth;
use method_comparison::{MethodComparison, StageEvidence};
use node_checks::NodeChecks;
pub use sample::{CallCounts, NodeSample, Sample};

/// The thresholds of the analysis.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnalysisSettings {
    /// The harm that has to be found: the increase, on changed nodes, of the share of a method's calls that
    /// miss the latency target.
    pub harm: f64,
    /// The probability that a rollout without harm is stopped, over all its stages.
    pub false_alarm_rate: f64,
    /// The probability that a stage with `harm` passes.
    pub miss_rate: f64,
    /// The minimum number of samples in a stage.
    pub min_samples: u32,
    /// The number of samples after which a stage without a verdict is left to an operator.
    pub max_samples: u32,
    /// The number of samples without a report after which the silence of a changed node is harm, while others
    /// report.
    pub max_silent_samples: u32,
}

impl Default for AnalysisSettings {
    fn default() -> AnalysisSettings {
        AnalysisSettings {
            harm: 0.05,
            false_alarm_rate: 0.01,
            miss_rate: 0.01,
            min_samples: 30,
            max_samples: 900,
            max_silent_samples: 10,
        }
    }
}

/// The result of the analysis after a sample.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The samples do not suffice for a verdict yet.
    Pending,
    /// Both sides do badly, so this sample is no evidence about the change.
    FleetUnhealthy,
    /// The stage passes.
    Pass,
    /// Changed nodes do worse. Contains a description of the harm, as text for operators.
    Harm(String),
    /// The stage had too few calls in its maximum number of samples, so that an operator has to decide.
    /// Contains the cause, as text for operators.
    Inconclusive(String),
}

/// Compares changed and unchanged nodes over a whole rollout, stage by stage.
///
/// Each sample has to be added once, in order, starting before the first node is changed: the usual behaviour
/// of each node is learned from those samples. The analysis uses neither sockets nor clocks.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    settings: AnalysisSettings,
    node_checks: NodeChecks,
    fleet_health: FleetHealth,
    methods: MethodComparison,
    stage_samples: u32,
}

impl CanaryAnalysis {
    /// Creates an analysis. `methods` names the methods in the order in which samples count them.
    pub fn new(settings: AnalysisSettings, methods: Vec<String>) -> CanaryAnalysis {
        CanaryAnalysis {
            settings,
            node_checks: NodeChecks::default(),
            fleet_health: FleetHealth::default(),
            methods: MethodComparison::new(methods),
            stage_samples: 0,
        }
    }

    /// Begins the next stage. Earlier samples still count as evidence of harm, but not towards passing this
    /// stage.
    pub fn begin_stage(&mut self) {
        self.methods.begin_stage();
        self.stage_samples = 0;
    }

    /// Adds a sample, and returns the verdict after it.
    pub fn add_sample(&mut self, sample: &Sample) -> Verdict {
        self.methods.count_sample();
        self.stage_samples += 1;
        if let Some(reason) = self.node_checks.add(sample, &self.settings) {
            return Verdict::Harm(reason);
        }
        if self.fleet_health.is_unhealthy_in(sample) {
            // Samples of an unhealthy fleet do not count towards the length of the stage.
            self.stage_samples -= 1;
            return Verdict::FleetUnhealthy;
        }
        self.methods.add(sample);
        if let Some(reason) = self.methods.proven_harm(&self.settings) {
            return Verdict::Harm(reason);
        }
        if self.stage_samples < self.settings.min_samples {
            return Verdict::Pending;
        }
        if sample.unchanged == 0 {
            // With all nodes changed, no node is left to compare with. Silence, restarts and memory still
            // stop the rollout.
            return Verdict::Pass;
        }
        self.stage_verdict()
    }

    fn stage_verdict(&self) -> Verdict {
        match self.methods.stage_evidence(&self.settings) {
            StageEvidence::HarmRuledOut => Verdict::Pass,
            _ if self.stage_samples < self.settings.max_samples => Verdict::Pending,
            StageEvidence::TooFewCalls(method) => {
                Verdict::Inconclusive(format!("too few calls of {method} for a verdict"))
            }
            StageEvidence::NoCalls => Verdict::Inconclusive("no calls on both sides".into()),
        }
    }
}
