//! Compares changed and unchanged nodes by zone and method, with sequential tests that start at several times.

use super::sample::{CallCounts, NodeSample, Sample, Side};
use super::AnalysisSettings;
use crate::sequential_test::{ContingencyTable, SequentialTest};

/// A stage passes where this share of the harm that has to be found is ruled out: nodes may differ a little for good.
const RULED_OUT_SHARE: f64 = 0.8;
/// A new test starts after so many samples, beside the older ones: a good start must not outweigh harm that comes late.
const SAMPLES_BETWEEN_STARTS: u32 = 60;
/// So many tests run side by side at most, the first one included.
const MAX_STARTS: usize = 16;
/// What is tested of each method: misses, failures, and failures of nodes that warm up.
const MEASURES: usize = 3;
/// How far one sample moves what is known of the differences among unchanged nodes.
const SMOOTHING: f64 = 0.05;
/// Differences among fewer unchanged nodes say nothing.
const MIN_NODES_FOR_DISPERSION: f64 = 3.0;

/// The tests of one method.
#[derive(Clone, Debug)]
struct MethodTests {
    name: String,
    /// By start: calls that miss the latency target, and calls that fail.
    missed: Vec<SequentialTest>,
    failed: Vec<SequentialTest>,
    /// Misses since the stage began: what its verdict needs.
    missed_in_stage: SequentialTest,
    /// Failures of nodes that warm up.
    failed_while_warming_up: SequentialTest,
    /// By how much unchanged nodes differ among themselves beyond chance; 1 where they do not.
    overdispersion: f64,
}

/// Whether what is known since the stage began rules the harm out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StageEvidence {
    /// Harm is ruled out for each method that is called.
    HarmRuledOut,
    /// Too few calls of this method.
    TooFewCalls(String),
    /// No method was called on both sides.
    NoCalls,
}

/// The tests of all methods.
#[derive(Clone, Debug)]
pub(super) struct MethodComparison {
    methods: Vec<MethodTests>,
    samples: u32,
}

impl MethodComparison {
    pub(super) fn new(methods: Vec<String>) -> MethodComparison {
        MethodComparison { methods: methods.into_iter().map(MethodTests::new).collect(), samples: 0 }
    }

    /// The next stage begins: its verdict needs evidence of its own.
    pub(super) fn begin_stage(&mut self) {
        self.methods.iter_mut().for_each(|method| method.missed_in_stage = SequentialTest::default());
    }

    /// A sample was taken, whether it is compared or not: the time of the next start is counted in all of them.
    pub(super) fn count_sample(&mut self) {
        self.samples += 1;
    }

    /// Compares the two sides of the sample that was counted last.
    pub(super) fn add(&mut self, sample: &Sample) {
        if self.samples % SAMPLES_BETWEEN_STARTS == 1 {
            self.methods.iter_mut().for_each(MethodTests::start_tests);
        }
        let mut zones: Vec<u32> = sample.nodes.iter().map(|node| node.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for (index, method) in self.methods.iter_mut().enumerate() {
            method.follow_overdispersion(sample, index);
            for zone in &zones {
                let nodes: Vec<&NodeSample> = sample.nodes.iter().filter(|node| node.zone == *zone).collect();
                method.add(&nodes, index);
            }
        }
    }

    /// Harm that crossed its boundary, in plain words. The chance of a false alarm is shared out among methods, measures
    /// and starts.
    pub(super) fn proven_harm(&self, settings: &AnalysisSettings) -> Option<String> {
        let tests = (self.methods.len() * MEASURES * MAX_STARTS) as f64;
        let boundary = (tests / settings.false_alarm_rate).ln();
        let while_warm = self.methods.iter().find_map(|method| method.proven_harm(boundary));
        let while_warming_up =
            || self.methods.iter().find_map(|method| method.harm_while_warming_up(boundary));
        while_warm.or_else(while_warming_up)
    }

    /// What is known since the stage began. A method that nobody calls says nothing, and is not waited for.
    pub(super) fn stage_evidence(&self, settings: &AnalysisSettings) -> StageEvidence {
        let boundary = (self.methods.len() as f64 / settings.miss_rate).ln();
        let is_open = |method: &&MethodTests| {
            let test = &method.missed_in_stage;
            test.effective_calls() > 0.0 && test.log_ratio_against(settings.harm * RULED_OUT_SHARE) < boundary
        };
        if let Some(method) = self.methods.iter().find(is_open) {
            return StageEvidence::TooFewCalls(method.name.clone());
        }
        if self.methods.iter().any(|method| method.missed_in_stage.effective_calls() > 0.0) {
            return StageEvidence::HarmRuledOut;
        }
        StageEvidence::NoCalls
    }
}

impl MethodTests {
    fn new(name: String) -> MethodTests {
        MethodTests {
            name,
            missed: Vec::new(),
            failed: Vec::new(),
            missed_in_stage: SequentialTest::default(),
            failed_while_warming_up: SequentialTest::default(),
            overdispersion: 1.0,
        }
    }

    fn start_tests(&mut self) {
        for tests in [&mut self.missed, &mut self.failed] {
            if tests.len() == MAX_STARTS {
                // The first test is kept, as it knows the most; of the others the oldest makes room.
                tests.remove(1);
            }
            tests.push(SequentialTest::default());
        }
    }

    /// Adds the nodes of one zone.
    fn add(&mut self, nodes: &[&NodeSample], index: usize) {
        let overdispersion = self.overdispersion.max(1.0);
        let missed = table(nodes, index, Warmth::Warm, |counts| counts.missed);
        let failed = table(nodes, index, Warmth::Warm, |counts| counts.failed);
        let failed_cold = table(nodes, index, Warmth::WarmingUp, |counts| counts.failed);
        self.missed.iter_mut().for_each(|test| test.add(&missed, overdispersion));
        self.failed.iter_mut().for_each(|test| test.add(&failed, overdispersion));
        self.missed_in_stage.add(&missed, overdispersion);
        self.failed_while_warming_up.add(&failed_cold, overdispersion);
    }

    /// Follows by how much unchanged nodes differ among themselves beyond chance: Pearson's chi-squared over its degrees of
    /// freedom, smoothed.
    fn follow_overdispersion(&mut self, sample: &Sample, index: usize) {
        let counts = || {
            let all = sample.side(Side::Unchanged).filter_map(|node| node.methods.get(index));
            all.filter(|counts| counts.calls > 0)
        };
        let (calls, missed) = counts().fold((0.0, 0.0), |(calls, missed), counts| {
            (calls + f64::from(counts.calls), missed + f64::from(counts.missed))
        });
        let (nodes, share) = (counts().count() as f64, missed / f64::max(calls, 1.0));
        // Fewer misses than nodes say nothing of how nodes differ.
        if nodes < MIN_NODES_FOR_DISPERSION || missed < nodes || share >= 1.0 {
            return;
        }
        let chi_squared: f64 = counts()
            .map(|counts| {
                let expected = f64::from(counts.calls) * share;
                (f64::from(counts.missed) - expected).powi(2) / (expected * (1.0 - share))
            })
            .sum();
        self.overdispersion += (chi_squared / (nodes - 1.0) - self.overdispersion) * SMOOTHING;
    }

    fn proven_harm(&self, boundary: f64) -> Option<String> {
        let proof = |tests: &[SequentialTest]| {
            tests.iter().find(|test| test.log_ratio_of_harm() > boundary).map(SequentialTest::estimated_harm)
        };
        let failing = proof(&self.failed).map(|harm| format!("{harm:.3} more of {} fail", self.name));
        let missing =
            || proof(&self.missed).map(|harm| format!("{harm:.3} more of {} miss the target", self.name));
        failing.or_else(missing)
    }

    fn harm_while_warming_up(&self, boundary: f64) -> Option<String> {
        let test = &self.failed_while_warming_up;
        let is_proven = test.log_ratio_of_harm() > boundary;
        is_proven
            .then(|| format!("{:.3} more of {} fail on nodes just changed", test.estimated_harm(), self.name))
    }
}

/// Which changed nodes a table takes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Warmth {
    Warm,
    WarmingUp,
}

/// Calls and failures of both sides, of one method.
fn table(
    nodes: &[&NodeSample],
    method: usize,
    warmth: Warmth,
    failures: fn(&CallCounts) -> u32,
) -> ContingencyTable {
    let mut table = ContingencyTable::default();
    for node in nodes {
        let Some(counts) = node.methods.get(method) else { continue };
        let (calls, failed) = (f64::from(counts.calls), f64::from(failures(counts)));
        if !node.is_changed {
            table.unchanged += calls;
            table.unchanged_failed += failed;
        } else if node.is_warming_up == (warmth == Warmth::WarmingUp) {
            table.changed += calls;
            table.changed_failed += failed;
        }
    }
    table
}
