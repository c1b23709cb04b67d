//! Compares changed and unchanged nodes by zone and method, with sequential tests that start at several
//! times.

use super::sample::{CallCounts, NodeSample, Sample, Side};
use super::AnalysisSettings;
use crate::sequential_test::{ContingencyTable, SequentialTest};

/// The share of the harm setting that has to be ruled out for a stage to pass. It is below 1 because nodes
/// may differ slightly at all times.
const RULED_OUT_HARM_SHARE: f64 = 0.8;
/// The number of samples after which a new test starts in parallel to the older ones, so that a good start
/// cannot outweigh harm that appears late.
const SAMPLES_BETWEEN_TEST_STARTS: u32 = 60;
/// The maximum number of tests that run in parallel, including the first one.
const MAX_PARALLEL_TESTS: usize = 16;
/// The measures that are tested for each method: missed calls, failed calls, and failed calls of nodes that
/// are warming up.
const MEASURES_PER_METHOD: usize = 3;
/// The weight of one sample in the estimate of the overdispersion among unchanged nodes.
const SMOOTHING: f64 = 0.05;
/// The number of unchanged nodes below which differences among them are not evaluated.
const MIN_NODES_FOR_DISPERSION: f64 = 3.0;

/// The tests of one method.
#[derive(Clone, Debug)]
struct MethodTests {
    name: String,
    /// Tests of calls that miss the latency target, and of calls that fail, in the order in which they
    /// started.
    missed: Vec<SequentialTest>,
    failed: Vec<SequentialTest>,
    /// The test of missed calls since the stage began, which decides whether the stage passes.
    missed_in_stage: SequentialTest,
    /// The test of failed calls on nodes that are warming up.
    failed_while_warming_up: SequentialTest,
    /// The factor by which unchanged nodes differ from each other beyond chance; 1 if they do not.
    overdispersion: f64,
}

/// Whether the evidence since the stage began rules the harm out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StageEvidence {
    /// Harm is ruled out for each method that is called.
    HarmRuledOut,
    /// This method had too few calls.
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

    /// Begins the next stage, whose verdict uses only samples of that stage.
    pub(super) fn begin_stage(&mut self) {
        self.methods.iter_mut().for_each(|method| method.missed_in_stage = SequentialTest::default());
    }

    /// Counts a sample, whether it is compared or not. The times at which tests start are counted in all
    /// samples.
    pub(super) fn count_sample(&mut self) {
        self.samples += 1;
    }

    /// Compares the two sides of the sample that was counted last.
    pub(super) fn add(&mut self, sample: &Sample) {
        if self.samples % SAMPLES_BETWEEN_TEST_STARTS == 1 {
            self.methods.iter_mut().for_each(MethodTests::start_tests);
        }
        let mut zones: Vec<u32> = sample.nodes.iter().map(|node| node.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for (index, method) in self.methods.iter_mut().enumerate() {
            method.update_overdispersion(sample, index);
            for zone in &zones {
                let nodes: Vec<&NodeSample> = sample.nodes.iter().filter(|node| node.zone == *zone).collect();
                method.add(&nodes, index);
            }
        }
    }

    /// Returns a description of harm whose test crossed its boundary, as text for operators. The false alarm
    /// rate is divided among methods, measures and parallel tests.
    pub(super) fn proven_harm(&self, settings: &AnalysisSettings) -> Option<String> {
        let tests = (self.methods.len() * MEASURES_PER_METHOD * MAX_PARALLEL_TESTS) as f64;
        let boundary = (tests / settings.false_alarm_rate).ln();
        let while_warm = self.methods.iter().find_map(|method| method.proven_harm(boundary));
        let while_warming_up =
            || self.methods.iter().find_map(|method| method.harm_while_warming_up(boundary));
        while_warm.or_else(while_warming_up)
    }

    /// Returns the evidence since the stage began. A method that is not called on both sides is no evidence,
    /// and the stage does not wait for it.
    pub(super) fn stage_evidence(&self, settings: &AnalysisSettings) -> StageEvidence {
        let boundary = (self.methods.len() as f64 / settings.miss_rate).ln();
        let is_undecided = |method: &&MethodTests| {
            let test = &method.missed_in_stage;
            test.effective_calls() > 0.0
                && test.log_likelihood_ratio_of_no_harm(settings.harm * RULED_OUT_HARM_SHARE) < boundary
        };
        if let Some(method) = self.methods.iter().find(is_undecided) {
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
            if tests.len() == MAX_PARALLEL_TESTS {
                // The first test is retained, because it has the most evidence; the oldest of the remaining
                // tests is removed.
                tests.remove(1);
            }
            tests.push(SequentialTest::default());
        }
    }

    /// Adds the nodes of one zone.
    fn add(&mut self, nodes: &[&NodeSample], index: usize) {
        let overdispersion = self.overdispersion.max(1.0);
        let missed = table(nodes, index, WarmUpState::Warm, |counts| counts.missed);
        let failed = table(nodes, index, WarmUpState::Warm, |counts| counts.failed);
        let failed_while_warming_up = table(nodes, index, WarmUpState::WarmingUp, |counts| counts.failed);
        self.missed.iter_mut().for_each(|test| test.add(&missed, overdispersion));
        self.failed.iter_mut().for_each(|test| test.add(&failed, overdispersion));
        self.missed_in_stage.add(&missed, overdispersion);
        self.failed_while_warming_up.add(&failed_while_warming_up, overdispersion);
    }

    /// Updates the factor by which unchanged nodes differ from each other beyond chance: Pearson's
    /// chi-squared divided by its degrees of freedom, smoothed.
    fn update_overdispersion(&mut self, sample: &Sample, index: usize) {
        let counts = || {
            let all = sample.side(Side::Unchanged).filter_map(|node| node.methods.get(index));
            all.filter(|counts| counts.calls > 0)
        };
        let (calls, missed) = counts().fold((0.0, 0.0), |(calls, missed), counts| {
            (calls + f64::from(counts.calls), missed + f64::from(counts.missed))
        });
        let (nodes, share) = (counts().count() as f64, missed / f64::max(calls, 1.0));
        // With fewer missed calls than nodes the differences among nodes cannot be estimated.
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
            tests
                .iter()
                .find(|test| test.log_likelihood_ratio_of_harm() > boundary)
                .map(SequentialTest::estimated_harm)
        };
        let failing = proof(&self.failed).map(|harm| {
            format!("share of {} calls that fail is {harm:.3} higher on changed nodes", self.name)
        });
        let missing = || {
            proof(&self.missed).map(|harm| {
                format!(
                    "share of {} calls that miss the latency target is {harm:.3} higher on changed nodes",
                    self.name
                )
            })
        };
        failing.or_else(missing)
    }

    fn harm_while_warming_up(&self, boundary: f64) -> Option<String> {
        let test = &self.failed_while_warming_up;
        let is_proven = test.log_likelihood_ratio_of_harm() > boundary;
        is_proven.then(|| {
            format!(
                "share of {} calls that fail is {:.3} higher on nodes that are warming up after their change",
                self.name,
                test.estimated_harm()
            )
        })
    }
}

/// The changed nodes that are counted in a table.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WarmUpState {
    Warm,
    WarmingUp,
}

/// Returns the calls and failures of one method on both sides.
fn table(
    nodes: &[&NodeSample],
    method: usize,
    warm_up_state: WarmUpState,
    failures: fn(&CallCounts) -> u32,
) -> ContingencyTable {
    let mut table = ContingencyTable::default();
    for node in nodes {
        let Some(counts) = node.methods.get(method) else { continue };
        let (calls, failed) = (f64::from(counts.calls), f64::from(failures(counts)));
        if !node.is_changed {
            table.unchanged += calls;
            table.unchanged_failed += failed;
        } else if node.is_warming_up == (warm_up_state == WarmUpState::WarmingUp) {
            table.changed += calls;
            table.changed_failed += failed;
        }
    }
    table
}
