//! Decides whether changed nodes do worse than the others at the same moments, by zone and method. Trouble that strikes
//! both sides alike is no harm; a node that says nothing is no good news; too little traffic gives no verdict; harm that
//! comes late is found, as all changed nodes stay under judgement, from several moments on.

use crate::sequential_test::{ContingencyTable, SequentialTest};
use std::collections::BTreeMap;

/// What a node counted of one method in one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    pub calls: u32,
    /// Of those, without a served answer within the latency target.
    pub missed: u32,
    /// Without any served answer: aborted or pushed back.
    pub failed: u32,
}

/// A node in one moment. One that says nothing has no entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeSample {
    pub node: usize,
    pub zone: u32,
    pub is_changed: bool,
    /// It was changed so lately that it is cold: judged apart.
    pub is_warming_up: bool,
    pub methods: Vec<CallCounts>,
    /// Starts that nobody asked for, ever.
    pub restarts: u32,
    pub memory_kb: u64,
}

/// All nodes in one moment, and the changed and unchanged ones that should have spoken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    pub nodes: Vec<NodeSample>,
    pub changed: usize,
    pub others: usize,
}

/// What the judge goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnalysisSettings {
    /// Harm that has to be found, as a share of a method's calls.
    pub harm: f64,
    /// The chance of a stop without harm over a whole change, and of a stage passed with that harm.
    pub false_alarm_rate: f64,
    pub miss_rate: f64,
    /// Moments that a stage lasts at least, and those after which the operator is asked.
    pub min_samples: u32,
    pub max_samples: u32,
    /// Moments of silence of a changed node that are harm.
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

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Not enough is known.
    Pending,
    /// Both sides are ill: this moment tells nothing.
    FleetUnhealthy,
    Pass,
    /// What is worse, in plain words.
    Harm(String),
    /// Too little came in all this time.
    Inconclusive(String),
}

/// To pass, so much of the harm that has to be found is ruled out: nodes differ a little for good.
const SURELY: f64 = 0.8;
/// From so many moments on evidence is gathered anew, beside the older: late harm is not outweighed by a good start.
const ANEW: u32 = 60;
/// So many of those at most, the first included.
const STARTS: usize = 16;
/// Where the others miss by so much more than they did, the fleet is ill.
const ILL: f64 = 0.15;
/// How far a moment moves what the others usually miss, and how uneven nodes are.
const PACE: f64 = 0.05;
/// The others have to have made so many calls in a moment for it to tell of illness.
const TELLING: f64 = 20.0;
/// Memory that grows by this factor over the others', and by so many KB, is harm.
const MEMORY_TIMES: f64 = 1.5;
const MEMORY_KB: u64 = 32 * 1024;

/// A method and what is counted of it.
#[derive(Clone, Debug, Default)]
struct MethodTests {
    /// By start, for the share missed and the share failed.
    missed: Vec<SequentialTest>,
    failed: Vec<SequentialTest>,
    overdispersion: f64,
}

#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    settings: AnalysisSettings,
    methods: Vec<String>,
    method_tests: Vec<MethodTests>,
    /// Since the stage began: what its verdict needs.
    stage: Vec<SequentialTest>,
    warming_up: Vec<SequentialTest>,
    samples: u32,
    stage_samples: u32,
    last_reported: BTreeMap<usize, (u32, bool)>,
    /// By node: on which side it was seen last, and its starts then.
    restarts: BTreeMap<usize, (bool, u32)>,
    /// Starts of the others and of changed nodes that nobody asked for.
    restarted: [u32; 2],
    usual_missed: Option<f64>,
    samples_with_excess_memory: u32,
    call_shares: BTreeMap<usize, CallShare>,
}

/// What a node answers beside the mean of the others: while it was unchanged, and what it then should and did. Sums, as
/// nodes tell their counts at moments of their own: in one moment a node may seem to have none, and twice as many in the
/// next.
#[derive(Clone, Copy, Debug, Default)]
struct CallShare {
    before: f64,
    mean_before: f64,
    expected: f64,
    answered: f64,
}

/// A changed node that should have answered so many calls and answered less than this share of them serves nobody.
const EXPECTED: f64 = 30.0;
const ANSWERS: f64 = 0.25;
/// What was expected and answered fades so with each moment.
const FLOW_FADES: f64 = 0.97;

impl CanaryAnalysis {
    pub fn new(settings: AnalysisSettings, methods: Vec<String>) -> CanaryAnalysis {
        let count = methods.len();
        CanaryAnalysis {
            settings,
            methods,
            method_tests: vec![MethodTests { overdispersion: 1.0, ..MethodTests::default() }; count],
            stage: vec![SequentialTest::default(); count],
            warming_up: vec![SequentialTest::default(); count],
            samples: 0,
            stage_samples: 0,
            last_reported: BTreeMap::new(),
            restarts: BTreeMap::new(),
            restarted: [0; 2],
            usual_missed: None,
            samples_with_excess_memory: 0,
            call_shares: BTreeMap::new(),
        }
    }

    /// The next stage begins: what was seen before still counts against harm, not for the stage.
    pub fn begin_stage(&mut self) {
        self.stage.iter_mut().for_each(|test| *test = SequentialTest::default());
        self.stage_samples = 0;
    }

    /// Looks at one more moment.
    pub fn add_sample(&mut self, sample: &Sample) -> Verdict {
        self.samples += 1;
        self.stage_samples += 1;
        if let Some(why) = self
            .silent_node(sample)
            .or_else(|| self.unexpected_restarts(sample))
            .or_else(|| self.node_without_calls(sample))
            .or_else(|| self.excess_memory(sample))
        {
            return Verdict::Harm(why);
        }
        if self.is_fleet_unhealthy(sample) {
            // The stage goes on for as long as that lasts.
            self.stage_samples -= 1;
            return Verdict::FleetUnhealthy;
        }
        self.add_to_tests(sample);
        if let Some(why) = self.proven_harm() {
            return Verdict::Harm(why);
        }
        if sample.others == 0 {
            // All are changed: nobody is left to compare with. Silence, restarts and memory still stop it.
            return if self.stage_samples >= self.settings.min_samples {
                Verdict::Pass
            } else {
                Verdict::Pending
            };
        }
        if self.stage_samples < self.settings.min_samples {
            return Verdict::Pending;
        }
        let AnalysisSettings { harm, miss_rate, max_samples, .. } = self.settings;
        // A method that nobody calls says nothing and is not waited for.
        let boundary = (self.methods.len() as f64 / miss_rate).ln();
        let open = |at: &usize| {
            self.stage[*at].effective_calls() > 0.0
                && self.stage[*at].log_ratio_against(harm * SURELY) < boundary
        };
        match (0..self.methods.len()).find(open) {
            None if self.stage.iter().any(|test| test.effective_calls() > 0.0) => Verdict::Pass,
            _ if self.stage_samples < max_samples => Verdict::Pending,
            Some(at) => Verdict::Inconclusive(format!("too few calls of {} to tell", self.methods[at])),
            None => Verdict::Inconclusive("no calls on both sides".into()),
        }
    }

    /// A changed node that does not speak, where others do.
    fn silent_node(&mut self, sample: &Sample) -> Option<String> {
        for node in &sample.nodes {
            self.last_reported.insert(node.node, (self.samples, node.is_changed));
        }
        let spoke = |is_changed: bool| sample.nodes.iter().filter(|n| n.is_changed == is_changed).count();
        // Where as many of the others are silent it is our own sight.
        let lost = |spoke: usize, all: usize| all.saturating_sub(spoke) as f64 / all.max(1) as f64;
        if lost(spoke(true), sample.changed) <= lost(spoke(false), sample.others) {
            return None;
        }
        let late = self.last_reported.iter().find(|(_, (at, is_changed))| {
            *is_changed && self.samples - at >= self.settings.max_silent_samples
        });
        late.map(|(node, _)| {
            format!("node {node} has said nothing for {} moments", self.settings.max_silent_samples)
        })
    }

    /// Changed nodes that start anew, where the others do not as often.
    fn unexpected_restarts(&mut self, sample: &Sample) -> Option<String> {
        for node in &sample.nodes {
            let (was_changed, before) =
                *self.restarts.get(&node.node).unwrap_or(&(node.is_changed, node.restarts));
            // It is the program that ended that is to blame: a node may come back with the other one.
            self.restarted[usize::from(was_changed)] += node.restarts.saturating_sub(before);
            self.restarts.insert(node.node, (node.is_changed, node.restarts));
        }
        let [others, changed] = self.restarted;
        let fair = f64::from(others) * sample.changed as f64 / sample.others.max(1) as f64;
        (f64::from(changed) >= 2.0 + 3.0 * fair)
            .then(|| format!("{changed} starts of changed nodes that nobody asked for"))
    }

    /// A changed node that says it is well and answers hardly any calls, where it had its part of them before.
    fn node_without_calls(&mut self, sample: &Sample) -> Option<String> {
        let calls = |node: &NodeSample| node.methods.iter().map(|c| f64::from(c.calls)).sum::<f64>();
        let others: Vec<f64> = sample.nodes.iter().filter(|n| !n.is_changed).map(calls).collect();
        if others.is_empty() {
            return None;
        }
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        for node in &sample.nodes {
            let share = self.call_shares.entry(node.node).or_default();
            if !node.is_changed {
                share.before = share.before * FLOW_FADES + calls(node);
                share.mean_before = share.mean_before * FLOW_FADES + mean;
                (share.expected, share.answered) = (0.0, 0.0);
            } else if share.mean_before > 0.0 && !node.is_warming_up {
                let usual = share.before / share.mean_before;
                share.expected = share.expected * FLOW_FADES + usual * mean;
                share.answered = share.answered * FLOW_FADES + calls(node);
                if share.expected >= EXPECTED && share.answered < share.expected * ANSWERS {
                    return Some(format!("node {} answers hardly any calls", node.node));
                }
            }
        }
        None
    }

    /// Memory of changed nodes that stays far over the others'.
    fn excess_memory(&mut self, sample: &Sample) -> Option<String> {
        let median = |is_changed: bool| {
            let of = sample.nodes.iter().filter(|n| n.is_changed == is_changed && !n.is_warming_up);
            let mut all: Vec<u64> = of.map(|n| n.memory_kb).collect();
            all.sort_unstable();
            all.get(all.len() / 2).copied()
        };
        let samples_with_excess_memory = matches!((median(true), median(false)), (Some(changed), Some(others))
            if changed as f64 > others as f64 * MEMORY_TIMES && changed > others + MEMORY_KB);
        self.samples_with_excess_memory =
            if samples_with_excess_memory { self.samples_with_excess_memory + 1 } else { 0 };
        (self.samples_with_excess_memory >= self.settings.min_samples)
            .then(|| "memory of changed nodes is far over the others'".into())
    }

    fn is_fleet_unhealthy(&mut self, sample: &Sample) -> bool {
        let others = sample.nodes.iter().filter(|node| !node.is_changed).flat_map(|node| &node.methods);
        let (calls, missed) = others.fold((0.0, 0.0), |(calls, missed), counts| {
            (calls + f64::from(counts.calls), missed + f64::from(counts.missed))
        });
        if calls < TELLING {
            return false;
        }
        let share = missed / calls;
        let usual = *self.usual_missed.get_or_insert(share);
        let ill = share > usual + ILL;
        // A fleet that has got used to it is well again, slowly.
        let pace = if ill { PACE / 10.0 } else { PACE };
        self.usual_missed = Some(usual + (share - usual) * pace);
        ill
    }

    fn add_to_tests(&mut self, sample: &Sample) {
        if self.samples % ANEW == 1 {
            for method_tests in &mut self.method_tests {
                for tests_by_start in [&mut method_tests.missed, &mut method_tests.failed] {
                    if tests_by_start.len() < STARTS {
                        tests_by_start.push(SequentialTest::default());
                    } else {
                        // The first is kept: it knows the most. Of the others the oldest goes.
                        tests_by_start.remove(1);
                        tests_by_start.push(SequentialTest::default());
                    }
                }
            }
        }
        let mut zones: Vec<u32> = sample.nodes.iter().map(|node| node.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for method in 0..self.methods.len() {
            let overdispersion = self.overdispersion(sample, method);
            for zone in &zones {
                let table = |is_warming_up: bool, of: fn(&CallCounts) -> u32| {
                    let mut table = ContingencyTable::default();
                    for node in sample.nodes.iter().filter(|node| node.zone == *zone) {
                        let Some(counts) = node.methods.get(method) else { continue };
                        let (calls, failed) = (f64::from(counts.calls), f64::from(of(counts)));
                        if !node.is_changed {
                            table.others += calls;
                            table.others_failed += failed;
                        } else if node.is_warming_up == is_warming_up {
                            table.changed += calls;
                            table.changed_failed += failed;
                        }
                    }
                    table
                };
                let (missed, failed) = (table(false, |c| c.missed), table(false, |c| c.failed));
                let method_tests = &mut self.method_tests[method];
                method_tests.missed.iter_mut().for_each(|test| test.add(&missed, overdispersion));
                method_tests.failed.iter_mut().for_each(|test| test.add(&failed, overdispersion));
                self.stage[method].add(&missed, overdispersion);
                self.warming_up[method].add(&table(true, |c| c.failed), overdispersion);
            }
        }
    }

    /// By how much the others differ among themselves beyond chance, slowly followed.
    fn overdispersion(&mut self, sample: &Sample, method: usize) -> f64 {
        let of = || {
            let others = sample.nodes.iter().filter(|node| !node.is_changed);
            others.filter_map(|node| node.methods.get(method)).filter(|counts| counts.calls > 0)
        };
        let (calls, missed) = of()
            .fold((0.0, 0.0), |(c, m), counts| (c + f64::from(counts.calls), m + f64::from(counts.missed)));
        let (count, share) = (of().count() as f64, missed / f64::max(calls, 1.0));
        let method_tests = &mut self.method_tests[method];
        // Fewer failures than nodes tell nothing of how they differ.
        if count >= 3.0 && missed >= count && share < 1.0 {
            let chi: f64 = of()
                .map(|counts| {
                    let expected = f64::from(counts.calls) * share;
                    (f64::from(counts.missed) - expected).powi(2) / (expected * (1.0 - share))
                })
                .sum();
            method_tests.overdispersion += (chi / (count - 1.0) - method_tests.overdispersion) * PACE;
        }
        method_tests.overdispersion.max(1.0)
    }

    /// What crossed its boundary. The chance of a false stop is shared out among methods, measures and starts.
    fn proven_harm(&self) -> Option<String> {
        let tests = (self.methods.len() * 3 * STARTS) as f64;
        let boundary = (tests / self.settings.false_alarm_rate).ln();
        for (method, method_tests) in self.methods.iter().zip(&self.method_tests) {
            for (tests_by_start, word) in
                [(&method_tests.failed, "fail"), (&method_tests.missed, "miss the target")]
            {
                if let Some(test) = tests_by_start.iter().find(|test| test.log_ratio_of_harm() > boundary) {
                    return Some(format!("{:.3} more of {method} {word}", test.estimated_harm()));
                }
            }
        }
        let warming_up =
            self.methods.iter().zip(&self.warming_up).find(|(_, test)| test.log_ratio_of_harm() > boundary);
        warming_up.map(|(method, test)| {
            format!("{:.3} more of {method} fail on nodes just changed", test.estimated_harm())
        })
    }
}
