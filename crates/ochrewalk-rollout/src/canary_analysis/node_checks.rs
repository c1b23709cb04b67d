//! Finds harm that counts of calls do not show: changed nodes that are silent, restart, get no calls, or need far more memory.

use super::sample::{NodeSample, Sample, Side};
use super::AnalysisSettings;
use std::collections::BTreeMap;

/// A changed node gets no traffic where it should have answered at least this many calls...
const MIN_EXPECTED_CALLS: f64 = 30.0;
/// ...and answered less than this share of them.
const MIN_ANSWERED_SHARE: f64 = 0.25;
/// What was expected and answered decays by this factor with each sample.
const CALL_SHARE_DECAY: f64 = 0.97;
/// Memory is harm where it is over the unchanged nodes' by this factor...
const MEMORY_FACTOR: f64 = 1.5;
/// ...and by this much.
const MEMORY_MARGIN_KB: u64 = 32 * 1024;
/// Restarts of changed nodes are harm from this number on, where unchanged nodes have none...
const MIN_RESTARTS: f64 = 2.0;
/// ...and beyond this multiple of the unchanged nodes' restarts, where they have some.
const RESTART_FACTOR: f64 = 3.0;

/// Checks of single nodes, over all samples of a rollout.
#[derive(Clone, Debug, Default)]
pub(super) struct NodeChecks {
    samples: u32,
    silence: SilenceCheck,
    restarts: RestartCheck,
    calls: CallShareCheck,
    memory: MemoryCheck,
}

impl NodeChecks {
    /// Takes the next sample; the first harm found, in plain words.
    pub(super) fn add(&mut self, sample: &Sample, settings: &AnalysisSettings) -> Option<String> {
        self.samples += 1;
        self.silence
            .add(sample, self.samples, settings.max_silent_samples)
            .or_else(|| self.restarts.add(sample))
            .or_else(|| self.calls.add(sample))
            .or_else(|| self.memory.add(sample, settings.min_samples))
    }
}

/// When a node reported last.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    sample: u32,
    is_changed: bool,
}

/// Finds a changed node that does not report while others do.
#[derive(Clone, Debug, Default)]
struct SilenceCheck {
    last_reports: BTreeMap<usize, LastReport>,
}

impl SilenceCheck {
    fn add(&mut self, sample: &Sample, number: u32, max_silent_samples: u32) -> Option<String> {
        for node in &sample.nodes {
            let report = LastReport { sample: number, is_changed: node.is_changed };
            self.last_reports.insert(node.node, report);
        }
        let silent_share = |side: Side, expected: usize| {
            expected.saturating_sub(sample.side(side).count()) as f64 / expected.max(1) as f64
        };
        // Where as many unchanged nodes are silent, it is the controller that does not hear them.
        if silent_share(Side::Changed, sample.changed) <= silent_share(Side::Unchanged, sample.unchanged) {
            return None;
        }
        let is_silent =
            |report: &LastReport| report.is_changed && number - report.sample >= max_silent_samples;
        let (node, _) = self.last_reports.iter().find(|(_, report)| is_silent(report))?;
        Some(format!("node {node} has said nothing for {max_silent_samples} moments"))
    }
}

/// What a node ran in the sample before, and its restarts until then.
#[derive(Clone, Copy, Debug)]
struct LastStart {
    is_changed: bool,
    restarts: u32,
}

/// Finds changed nodes that restart without a command, where unchanged ones do not as often.
#[derive(Clone, Debug, Default)]
struct RestartCheck {
    last_starts: BTreeMap<usize, LastStart>,
    of_changed: u32,
    of_unchanged: u32,
}

impl RestartCheck {
    fn add(&mut self, sample: &Sample) -> Option<String> {
        for node in &sample.nodes {
            let now = LastStart { is_changed: node.is_changed, restarts: node.restarts };
            let before = self.last_starts.insert(node.node, now).unwrap_or(now);
            // The version that ended is to blame: the node may have come back with the other one.
            let count = if before.is_changed { &mut self.of_changed } else { &mut self.of_unchanged };
            *count += node.restarts.saturating_sub(before.restarts);
        }
        let expected = f64::from(self.of_unchanged) * sample.changed as f64 / sample.unchanged.max(1) as f64;
        let is_harm = f64::from(self.of_changed) >= MIN_RESTARTS + RESTART_FACTOR * expected;
        is_harm.then(|| format!("{} starts of changed nodes that nobody asked for", self.of_changed))
    }
}

/// The calls that a node answers, beside the mean of the unchanged nodes. Sums over many samples, as nodes report their counts
/// at times of their own: a node may seem to have none in one sample, and twice as many in the next.
#[derive(Clone, Copy, Debug, Default)]
struct CallShare {
    /// Calls of the node, and the mean of all unchanged nodes, while it was unchanged itself.
    while_unchanged: f64,
    mean_while_unchanged: f64,
    /// What it should have answered since it was changed, and what it did.
    expected: f64,
    answered: f64,
}

/// Finds a changed node that says it is healthy and answers hardly any calls, where it had its part of them before.
#[derive(Clone, Debug, Default)]
struct CallShareCheck {
    shares: BTreeMap<usize, CallShare>,
}

impl CallShareCheck {
    fn add(&mut self, sample: &Sample) -> Option<String> {
        let others: Vec<f64> = sample.side(Side::Unchanged).map(calls_of).collect();
        if others.is_empty() {
            return None;
        }
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        for node in &sample.nodes {
            let share = self.shares.entry(node.node).or_default();
            if !node.is_changed {
                share.add_unchanged(calls_of(node), mean);
            } else if share.mean_while_unchanged > 0.0 && !node.is_warming_up {
                share.add_changed(calls_of(node), mean);
                if share.is_too_small() {
                    return Some(format!("node {} answers hardly any calls", node.node));
                }
            }
        }
        None
    }
}

fn calls_of(node: &NodeSample) -> f64 {
    node.methods.iter().map(|counts| f64::from(counts.calls)).sum()
}

impl CallShare {
    fn add_unchanged(&mut self, calls: f64, mean: f64) {
        self.while_unchanged = self.while_unchanged * CALL_SHARE_DECAY + calls;
        self.mean_while_unchanged = self.mean_while_unchanged * CALL_SHARE_DECAY + mean;
        (self.expected, self.answered) = (0.0, 0.0);
    }

    fn add_changed(&mut self, calls: f64, mean: f64) {
        let usual = self.while_unchanged / self.mean_while_unchanged;
        self.expected = self.expected * CALL_SHARE_DECAY + usual * mean;
        self.answered = self.answered * CALL_SHARE_DECAY + calls;
    }

    fn is_too_small(&self) -> bool {
        self.expected >= MIN_EXPECTED_CALLS && self.answered < self.expected * MIN_ANSWERED_SHARE
    }
}

/// Finds memory of changed nodes that stays far over the unchanged ones'.
#[derive(Clone, Debug, Default)]
struct MemoryCheck {
    samples_in_excess: u32,
}

impl MemoryCheck {
    fn add(&mut self, sample: &Sample, min_samples: u32) -> Option<String> {
        let is_in_excess =
            match (median_memory(sample, Side::Changed), median_memory(sample, Side::Unchanged)) {
                (Some(changed), Some(others)) => {
                    changed as f64 > others as f64 * MEMORY_FACTOR && changed > others + MEMORY_MARGIN_KB
                }
                _ => false,
            };
        self.samples_in_excess = if is_in_excess { self.samples_in_excess + 1 } else { 0 };
        (self.samples_in_excess >= min_samples)
            .then(|| "memory of changed nodes is far over the others'".into())
    }
}

/// The median over nodes that are not warming up.
fn median_memory(sample: &Sample, side: Side) -> Option<u64> {
    let warm = sample.side(side).filter(|node| !node.is_warming_up);
    let mut all: Vec<u64> = warm.map(|node| node.memory_kb).collect();
    all.sort_unstable();
    all.get(all.len() / 2).copied()
}
