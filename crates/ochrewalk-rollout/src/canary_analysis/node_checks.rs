//! Finds harm that call counts do not show: changed nodes that stop reporting, restart, receive no calls, or
//! need far more memory.

use super::sample::{NodeSample, Sample, Side};
use super::AnalysisSettings;
use std::collections::BTreeMap;

/// A changed node is found to receive no traffic if it should have answered at least this many calls...
const MIN_EXPECTED_CALLS: f64 = 30.0;
/// ...and has answered less than this share of them.
const MIN_ANSWERED_SHARE: f64 = 0.25;
/// The factor by which expected and answered calls decay with each sample.
const CALL_SHARE_DECAY: f64 = 0.97;
/// Memory use is harm if it exceeds that of the unchanged nodes by this factor...
const MEMORY_FACTOR: f64 = 1.5;
/// ...and by this amount.
const MEMORY_MARGIN_KB: u64 = 32 * 1024;
/// Restarts of changed nodes are harm from this number on if unchanged nodes have not restarted...
const MIN_RESTARTS: f64 = 2.0;
/// ...and beyond this multiple of the unchanged nodes' restarts if they have.
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
    /// Adds a sample, and returns a description of the first harm found, as text for operators.
    pub(super) fn add(&mut self, sample: &Sample, settings: &AnalysisSettings) -> Option<String> {
        self.samples += 1;
        self.silence
            .add(sample, self.samples, settings.max_silent_samples)
            .or_else(|| self.restarts.add(sample))
            .or_else(|| self.calls.add(sample))
            .or_else(|| self.memory.add(sample, settings.min_samples))
    }
}

/// The last sample in which a node reported, and its version then.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    sample: u32,
    is_changed: bool,
}

/// Finds a changed node that stops reporting while others report.
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
        // If at least as large a share of the unchanged nodes is silent, the controller cannot receive the
        // reports.
        if silent_share(Side::Changed, sample.changed) <= silent_share(Side::Unchanged, sample.unchanged) {
            return None;
        }
        let is_silent =
            |report: &LastReport| report.is_changed && number - report.sample >= max_silent_samples;
        let (node, _) = self.last_reports.iter().find(|(_, report)| is_silent(report))?;
        Some(format!("node {node} has not reported for {max_silent_samples} samples"))
    }
}

/// The version that a node ran in the previous sample, and its restarts until then.
#[derive(Clone, Copy, Debug)]
struct LastStart {
    is_changed: bool,
    restarts: u32,
}

/// Finds changed nodes that restart without a command more often than unchanged ones do.
#[derive(Clone, Debug, Default)]
struct RestartCheck {
    last_starts: BTreeMap<usize, LastStart>,
    changed_restarts: u32,
    unchanged_restarts: u32,
}

impl RestartCheck {
    fn add(&mut self, sample: &Sample) -> Option<String> {
        for node in &sample.nodes {
            let now = LastStart { is_changed: node.is_changed, restarts: node.restarts };
            let before = self.last_starts.insert(node.node, now).unwrap_or(now);
            // A restart counts against the version that ended, because the node may have started with the
            // other one.
            let count =
                if before.is_changed { &mut self.changed_restarts } else { &mut self.unchanged_restarts };
            *count += node.restarts.saturating_sub(before.restarts);
        }
        let expected =
            f64::from(self.unchanged_restarts) * sample.changed as f64 / sample.unchanged.max(1) as f64;
        let is_harm = f64::from(self.changed_restarts) >= MIN_RESTARTS + RESTART_FACTOR * expected;
        is_harm.then(|| format!("{} restarts of changed nodes without a command", self.changed_restarts))
    }
}

/// The calls that a node answers, relative to the mean of the unchanged nodes. The sums cover many samples,
/// because nodes report their counts at different times: a node may seem to have no calls in one sample, and
/// twice as many in the next.
#[derive(Clone, Copy, Debug, Default)]
struct CallShare {
    /// Calls of the node, and the mean calls of all unchanged nodes, while the node was unchanged.
    calls_while_unchanged: f64,
    mean_calls_while_unchanged: f64,
    /// Calls that the node should have answered since it was changed, and those that it has answered.
    expected: f64,
    answered: f64,
}

/// Finds a changed node that reports itself healthy and answers hardly any calls, although it had its share
/// of them before.
#[derive(Clone, Debug, Default)]
struct CallShareCheck {
    shares: BTreeMap<usize, CallShare>,
}

impl CallShareCheck {
    fn add(&mut self, sample: &Sample) -> Option<String> {
        let unchanged: Vec<f64> = sample.side(Side::Unchanged).map(total_calls).collect();
        if unchanged.is_empty() {
            return None;
        }
        let mean = unchanged.iter().sum::<f64>() / unchanged.len() as f64;
        for node in &sample.nodes {
            let share = self.shares.entry(node.node).or_default();
            if !node.is_changed {
                share.add_unchanged(total_calls(node), mean);
            } else if share.mean_calls_while_unchanged > 0.0 && !node.is_warming_up {
                share.add_changed(total_calls(node), mean);
                if share.is_too_small() {
                    return Some(format!("node {} answers hardly any calls", node.node));
                }
            }
        }
        None
    }
}

fn total_calls(node: &NodeSample) -> f64 {
    node.methods.iter().map(|counts| f64::from(counts.calls)).sum()
}

impl CallShare {
    fn add_unchanged(&mut self, calls: f64, mean: f64) {
        self.calls_while_unchanged = self.calls_while_unchanged * CALL_SHARE_DECAY + calls;
        self.mean_calls_while_unchanged = self.mean_calls_while_unchanged * CALL_SHARE_DECAY + mean;
        (self.expected, self.answered) = (0.0, 0.0);
    }

    fn add_changed(&mut self, calls: f64, mean: f64) {
        let usual = self.calls_while_unchanged / self.mean_calls_while_unchanged;
        self.expected = self.expected * CALL_SHARE_DECAY + usual * mean;
        self.answered = self.answered * CALL_SHARE_DECAY + calls;
    }

    fn is_too_small(&self) -> bool {
        self.expected >= MIN_EXPECTED_CALLS && self.answered < self.expected * MIN_ANSWERED_SHARE
    }
}

/// Finds memory use of changed nodes that stays far above that of unchanged ones.
#[derive(Clone, Debug, Default)]
struct MemoryCheck {
    samples_in_excess: u32,
}

impl MemoryCheck {
    fn add(&mut self, sample: &Sample, min_samples: u32) -> Option<String> {
        let is_in_excess =
            match (median_memory(sample, Side::Changed), median_memory(sample, Side::Unchanged)) {
                (Some(changed), Some(unchanged)) => {
                    changed as f64 > unchanged as f64 * MEMORY_FACTOR
                        && changed > unchanged + MEMORY_MARGIN_KB
                }
                _ => false,
            };
        self.samples_in_excess = if is_in_excess { self.samples_in_excess + 1 } else { 0 };
        (self.samples_in_excess >= min_samples)
            .then(|| "memory use of changed nodes is far above that of unchanged nodes".into())
    }
}

/// Returns the median over nodes that are not warming up.
fn median_memory(sample: &Sample, side: Side) -> Option<u64> {
    let warm = sample.side(side).filter(|node| !node.is_warming_up);
    let mut all: Vec<u64> = warm.map(|node| node.memory_kb).collect();
    all.sort_unstable();
    all.get(all.len() / 2).copied()
}
