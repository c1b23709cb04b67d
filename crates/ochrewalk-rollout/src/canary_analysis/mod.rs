//! Decides whether changed nodes do worse than unchanged ones over the same samples, by zone and method.
//!
//! A fault that strikes both sides alike is no harm; a node that does not report is no good news; too little traffic gives no
//! verdict; harm that comes late is found, as all changed nodes stay under analysis until the rollout has ended.

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
    /// Harm that has to be found: this share of a method's calls more miss the latency target on changed nodes.
    pub harm: f64,
    /// The chance that a rollout without harm is stopped, over all its stages.
    pub false_alarm_rate: f64,
    /// The chance that a stage with `harm` passes.
    pub miss_rate: f64,
    /// Samples that a stage lasts at least.
    pub min_samples: u32,
    /// Samples after which an operator is asked, where the analysis still cannot tell.
    pub max_samples: u32,
    /// A changed node that does not report for so many samples, while others do, is harm.
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
    /// Not enough is known yet.
    Pending,
    /// Both sides do badly: this sample says nothing about the change.
    FleetUnhealthy,
    /// The stage passes.
    Pass,
    /// Changed nodes do worse; what is worse, in plain words.
    Harm(String),
    /// Too few calls in all the time that a stage may last; an operator has to decide. Why, in plain words.
    Inconclusive(String),
}

/// Compares changed and unchanged nodes over a whole rollout, stage by stage.
///
/// It has to be given each sample once, in order, from before the first node is changed: what a node usually does is learned
/// then. Neither sockets nor clocks are used here.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    settings: AnalysisSettings,
    node_checks: NodeChecks,
    fleet_health: FleetHealth,
    methods: MethodComparison,
    stage_samples: u32,
}

impl CanaryAnalysis {
    /// `methods` names the methods in the order in which samples count them.
    pub fn new(settings: AnalysisSettings, methods: Vec<String>) -> CanaryAnalysis {
        CanaryAnalysis {
            settings,
            node_checks: NodeChecks::default(),
            fleet_health: FleetHealth::default(),
            methods: MethodComparison::new(methods),
            stage_samples: 0,
        }
    }

    /// The next stage begins. Earlier samples still count as evidence of harm, but not towards passing this stage.
    pub fn begin_stage(&mut self) {
        self.methods.begin_stage();
        self.stage_samples = 0;
    }

    /// Takes one more sample, and says what is known after it.
    pub fn add_sample(&mut self, sample: &Sample) -> Verdict {
        self.methods.count_sample();
        self.stage_samples += 1;
        if let Some(reason) = self.node_checks.add(sample, &self.settings) {
            return Verdict::Harm(reason);
        }
        if self.fleet_health.is_unhealthy_in(sample) {
            // The stage lasts longer by as many samples.
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
            // All nodes are changed: none is left to compare with. Silence, restarts and memory still stop the rollout.
            return Verdict::Pass;
        }
        self.stage_verdict()
    }

    fn stage_verdict(&self) -> Verdict {
        match self.methods.stage_evidence(&self.settings) {
            StageEvidence::HarmRuledOut => Verdict::Pass,
            _ if self.stage_samples < self.settings.max_samples => Verdict::Pending,
            StageEvidence::TooFewCalls(method) => {
                Verdict::Inconclusive(format!("too few calls of {method} to tell"))
            }
            StageEvidence::NoCalls => Verdict::Inconclusive("no calls on both sides".into()),
        }
    }
}
