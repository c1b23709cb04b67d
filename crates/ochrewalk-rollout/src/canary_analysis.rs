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
    pub is_cold: bool,
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
    pub false_stop: f64,
    pub miss: f64,
    /// Moments that a stage lasts at least, and those after which the operator is asked.
    pub least: u32,
    pub most: u32,
    /// Moments of silence of a changed node that are harm.
    pub silent: u32,
}

impl Default for AnalysisSettings {
    fn default() -> AnalysisSettings {
        AnalysisSettings { harm: 0.05, false_stop: 0.01, miss: 0.01, least: 30, most: 900, silent: 10 }
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
    uneven: f64,
}

#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    measures: AnalysisSettings,
    methods: Vec<String>,
    watched: Vec<MethodTests>,
    /// Since the stage began: what its verdict needs.
    stage: Vec<SequentialTest>,
    cold: Vec<SequentialTest>,
    moments: u32,
    stage_moments: u32,
    last_spoke: BTreeMap<usize, (u32, bool)>,
    /// By node: on which side it was seen last, and its starts then.
    restarts: BTreeMap<usize, (bool, u32)>,
    /// Starts of the others and of changed nodes that nobody asked for.
    restarted: [u32; 2],
    usual_missed: Option<f64>,
    heavy: u32,
    flows: BTreeMap<usize, Flow>,
}

/// What a node answers beside the mean of the others: while it was unchanged, and what it then should and did. Sums, as
/// nodes tell their counts at moments of their own: in one moment a node may seem to have none, and twice as many in the
/// next.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
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
    pub fn new(measures: AnalysisSettings, methods: Vec<String>) -> CanaryAnalysis {
        let count = methods.len();
        CanaryAnalysis {
            measures,
            methods,
            watched: vec![MethodTests { uneven: 1.0, ..MethodTests::default() }; count],
            stage: vec![SequentialTest::default(); count],
            cold: vec![SequentialTest::default(); count],
            moments: 0,
            stage_moments: 0,
            last_spoke: BTreeMap::new(),
            restarts: BTreeMap::new(),
            restarted: [0; 2],
            usual_missed: None,
            heavy: 0,
            flows: BTreeMap::new(),
        }
    }

    /// The next stage begins: what was seen before still counts against harm, not for the stage.
    pub fn stage(&mut self) {
        self.stage.iter_mut().for_each(|evidence| *evidence = SequentialTest::default());
        self.stage_moments = 0;
    }

    /// Looks at one more moment.
    pub fn look(&mut self, moment: &Sample) -> Verdict {
        self.moments += 1;
        self.stage_moments += 1;
        if let Some(why) = self
            .silence(moment)
            .or_else(|| self.restarted(moment))
            .or_else(|| self.deaf(moment))
            .or_else(|| self.heavier(moment))
        {
            return Verdict::Harm(why);
        }
        if self.is_ill(moment) {
            // The stage goes on for as long as that lasts.
            self.stage_moments -= 1;
            return Verdict::FleetUnhealthy;
        }
        self.add(moment);
        if let Some(why) = self.harm() {
            return Verdict::Harm(why);
        }
        if moment.others == 0 {
            // All are changed: nobody is left to compare with. Silence, restarts and memory still stop it.
            return if self.stage_moments >= self.measures.least { Verdict::Pass } else { Verdict::Pending };
        }
        if self.stage_moments < self.measures.least {
            return Verdict::Pending;
        }
        let AnalysisSettings { harm, miss, most, .. } = self.measures;
        // A method that nobody calls says nothing and is not waited for.
        let boundary = (self.methods.len() as f64 / miss).ln();
        let open =
            |at: &usize| self.stage[*at].reach() > 0.0 && self.stage[*at].against(harm * SURELY) < boundary;
        match (0..self.methods.len()).find(open) {
            None if self.stage.iter().any(|evidence| evidence.reach() > 0.0) => Verdict::Pass,
            _ if self.stage_moments < most => Verdict::Pending,
            Some(at) => Verdict::Inconclusive(format!("too few calls of {} to tell", self.methods[at])),
            None => Verdict::Inconclusive("no calls on both sides".into()),
        }
    }

    /// A changed node that does not speak, where others do.
    fn silence(&mut self, moment: &Sample) -> Option<String> {
        for node in &moment.nodes {
            self.last_spoke.insert(node.node, (self.moments, node.is_changed));
        }
        let spoke = |is_changed: bool| moment.nodes.iter().filter(|n| n.is_changed == is_changed).count();
        // Where as many of the others are silent it is our own sight.
        let lost = |spoke: usize, all: usize| all.saturating_sub(spoke) as f64 / all.max(1) as f64;
        if lost(spoke(true), moment.changed) <= lost(spoke(false), moment.others) {
            return None;
        }
        let late = self
            .last_spoke
            .iter()
            .find(|(_, (at, is_changed))| *is_changed && self.moments - at >= self.measures.silent);
        late.map(|(node, _)| format!("node {node} has said nothing for {} moments", self.measures.silent))
    }

    /// Changed nodes that start anew, where the others do not as often.
    fn restarted(&mut self, moment: &Sample) -> Option<String> {
        for node in &moment.nodes {
            let (was_changed, before) =
                *self.restarts.get(&node.node).unwrap_or(&(node.is_changed, node.restarts));
            // It is the program that ended that is to blame: a node may come back with the other one.
            self.restarted[usize::from(was_changed)] += node.restarts.saturating_sub(before);
            self.restarts.insert(node.node, (node.is_changed, node.restarts));
        }
        let [others, changed] = self.restarted;
        let fair = f64::from(others) * moment.changed as f64 / moment.others.max(1) as f64;
        (f64::from(changed) >= 2.0 + 3.0 * fair)
            .then(|| format!("{changed} starts of changed nodes that nobody asked for"))
    }

    /// A changed node that says it is well and answers hardly any calls, where it had its part of them before.
    fn deaf(&mut self, moment: &Sample) -> Option<String> {
        let calls = |node: &NodeSample| node.methods.iter().map(|c| f64::from(c.calls)).sum::<f64>();
        let others: Vec<f64> = moment.nodes.iter().filter(|n| !n.is_changed).map(calls).collect();
        if others.is_empty() {
            return None;
        }
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        for node in &moment.nodes {
            let flow = self.flows.entry(node.node).or_default();
            if !node.is_changed {
                flow.before = flow.before * FLOW_FADES + calls(node);
                flow.mean_before = flow.mean_before * FLOW_FADES + mean;
                (flow.expected, flow.answered) = (0.0, 0.0);
            } else if flow.mean_before > 0.0 && !node.is_cold {
                let usual = flow.before / flow.mean_before;
                flow.expected = flow.expected * FLOW_FADES + usual * mean;
                flow.answered = flow.answered * FLOW_FADES + calls(node);
                if flow.expected >= EXPECTED && flow.answered < flow.expected * ANSWERS {
                    return Some(format!("node {} answers hardly any calls", node.node));
                }
            }
        }
        None
    }

    /// Memory of changed nodes that stays far over the others'.
    fn heavier(&mut self, moment: &Sample) -> Option<String> {
        let median = |is_changed: bool| {
            let of = moment.nodes.iter().filter(|n| n.is_changed == is_changed && !n.is_cold);
            let mut all: Vec<u64> = of.map(|n| n.memory_kb).collect();
            all.sort_unstable();
            all.get(all.len() / 2).copied()
        };
        let heavy = matches!((median(true), median(false)), (Some(changed), Some(others))
            if changed as f64 > others as f64 * MEMORY_TIMES && changed > others + MEMORY_KB);
        self.heavy = if heavy { self.heavy + 1 } else { 0 };
        (self.heavy >= self.measures.least).then(|| "memory of changed nodes is far over the others'".into())
    }

    fn is_ill(&mut self, moment: &Sample) -> bool {
        let others = moment.nodes.iter().filter(|node| !node.is_changed).flat_map(|node| &node.methods);
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

    fn add(&mut self, moment: &Sample) {
        if self.moments % ANEW == 1 {
            for watched in &mut self.watched {
                for starts in [&mut watched.missed, &mut watched.failed] {
                    if starts.len() < STARTS {
                        starts.push(SequentialTest::default());
                    } else {
                        // The first is kept: it knows the most. Of the others the oldest goes.
                        starts.remove(1);
                        starts.push(SequentialTest::default());
                    }
                }
            }
        }
        let mut zones: Vec<u32> = moment.nodes.iter().map(|node| node.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for method in 0..self.methods.len() {
            let uneven = self.unevenness(moment, method);
            for zone in &zones {
                let table = |is_cold: bool, of: fn(&CallCounts) -> u32| {
                    let mut table = ContingencyTable::default();
                    for node in moment.nodes.iter().filter(|node| node.zone == *zone) {
                        let Some(counts) = node.methods.get(method) else { continue };
                        let (calls, failed) = (f64::from(counts.calls), f64::from(of(counts)));
                        if !node.is_changed {
                            table.others += calls;
                            table.others_failed += failed;
                        } else if node.is_cold == is_cold {
                            table.changed += calls;
                            table.changed_failed += failed;
                        }
                    }
                    table
                };
                let (missed, failed) = (table(false, |c| c.missed), table(false, |c| c.failed));
                let watched = &mut self.watched[method];
                watched.missed.iter_mut().for_each(|evidence| evidence.add(&missed, uneven));
                watched.failed.iter_mut().for_each(|evidence| evidence.add(&failed, uneven));
                self.stage[method].add(&missed, uneven);
                self.cold[method].add(&table(true, |c| c.failed), uneven);
            }
        }
    }

    /// By how much the others differ among themselves beyond chance, slowly followed.
    fn unevenness(&mut self, moment: &Sample, method: usize) -> f64 {
        let of = || {
            let others = moment.nodes.iter().filter(|node| !node.is_changed);
            others.filter_map(|node| node.methods.get(method)).filter(|counts| counts.calls > 0)
        };
        let (calls, missed) = of()
            .fold((0.0, 0.0), |(c, m), counts| (c + f64::from(counts.calls), m + f64::from(counts.missed)));
        let (count, share) = (of().count() as f64, missed / f64::max(calls, 1.0));
        let watched = &mut self.watched[method];
        // Fewer failures than nodes tell nothing of how they differ.
        if count >= 3.0 && missed >= count && share < 1.0 {
            let chi: f64 = of()
                .map(|counts| {
                    let expected = f64::from(counts.calls) * share;
                    (f64::from(counts.missed) - expected).powi(2) / (expected * (1.0 - share))
                })
                .sum();
            watched.uneven += (chi / (count - 1.0) - watched.uneven) * PACE;
        }
        watched.uneven.max(1.0)
    }

    /// What crossed its boundary. The chance of a false stop is shared out among methods, measures and starts.
    fn harm(&self) -> Option<String> {
        let tests = (self.methods.len() * 3 * STARTS) as f64;
        let boundary = (tests / self.measures.false_stop).ln();
        for (method, watched) in self.methods.iter().zip(&self.watched) {
            for (starts, word) in [(&watched.failed, "fail"), (&watched.missed, "miss the target")] {
                if let Some(evidence) = starts.iter().find(|evidence| evidence.of_harm() > boundary) {
                    return Some(format!("{:.3} more of {method} {word}", evidence.harm()));
                }
            }
        }
        let cold = self.methods.iter().zip(&self.cold).find(|(_, evidence)| evidence.of_harm() > boundary);
        cold.map(|(method, evidence)| {
            format!("{:.3} more of {method} fail on nodes just changed", evidence.harm())
        })
    }
}
