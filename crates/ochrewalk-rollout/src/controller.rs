//! Decides the course of a whole change: the stages, their verdicts, the way back, and when an operator is asked. What it is
//! about to do is kept first, so that it may be ended at any moment and begun anew from what was kept: it then takes a
//! higher number than any node knows, asks all of them how they stand, and goes on from there.

use crate::canary_analysis::Verdict;
use crate::fence::{FencingToken, Outcome};
use crate::stage_plan::{NodeState, StagePlan};
use crate::Variant;

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeReport {
    pub program: Variant,
    pub is_well: bool,
    /// The highest mark that it knows.
    pub highest: FencingToken,
}

/// How a node comes to run what it is ordered to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeMethod {
    /// The one that runs hands over, and what takes over stays only as long as the node hears of its conductor.
    CommitConfirmed,
    /// The one that runs hands over, where it is not the one that is wanted.
    HandOver,
    /// The one that runs leaves, or is ended where it cannot, and the other is begun anew.
    Restart,
}

/// A node is to run that program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Command {
    pub mark: FencingToken,
    pub to: Variant,
    pub how: ChangeMethod,
}

/// What a plan allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutPolicy {
    /// Changed nodes are on trial until the whole change is done.
    pub on_trial: bool,
    /// A node that cannot hand back what it runs may be begun anew.
    pub begins_anew: bool,
}

/// What came back on an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommandReply {
    Finished(Outcome),
    /// Another conductor has a higher number.
    Stale(FencingToken),
    /// Nothing, in the time given: it may have been carried out, or will be.
    NoReply,
}

/// Why it waits for an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    Paused,
    /// The judge cannot tell.
    Inconclusive(String),
    /// A node cannot go back, or does not answer, and may run the new program.
    NodeStuck {
        node: usize,
        why: String,
    },
    /// A stage cannot be reached, as too many nodes are out of service for their own reasons.
    FleetUnhealthy,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// All nodes are asked how they stand, and told the number.
    Polling,
    Advancing {
        stage: usize,
    },
    /// The stage is reached and under judgement.
    Analyzing {
        stage: usize,
    },
    /// All were found good: each is told that it is for good.
    Confirming,
    RollingBack {
        why: String,
    },
    /// What goes on when the operator says so is in `kept`.
    Waiting(WaitReason),
    Done,
    /// All that were changed are back.
    RolledBack {
        why: String,
    },
    /// Another conductor has taken over.
    Replaced,
}

/// What has to outlive the conductor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutRecord {
    pub conductor: u64,
    /// One past the last where all were found good.
    pub stage: usize,
    /// Why it goes back, if it does.
    pub back: Option<String>,
    /// Nodes in the order in which they were changed, or were about to be.
    pub changed: Vec<usize>,
    pub is_over: bool,
}

/// What the conductor does.
pub trait ControllerActions {
    /// Keeps this where it outlives us, before anything else is done.
    fn keep(&mut self, kept: &RolloutRecord);
    fn order(&mut self, node: usize, order: Command);
    /// Begins to judge a stage.
    fn judge(&mut self, stage: usize);
}

/// An order unanswered so many times leaves its node behind.
const MAX_ATTEMPTS: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    seen: NodeState,
    order: Option<Command>,
    tries: u8,
    /// It has answered, or was asked in vain, since this conductor began.
    is_asked: bool,
    /// It has said that what it runs is for good.
    is_confirmed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutController {
    course: StagePlan,
    habits: RolloutPolicy,
    kept: RolloutRecord,
    phase: Phase,
    nodes: Vec<Node>,
    next_order: u64,
}

impl RolloutController {
    /// Begins, or goes on from what was kept. `number` is higher than any that this conductor's file knows.
    pub fn new(
        course: StagePlan,
        habits: RolloutPolicy,
        kept: Option<RolloutRecord>,
        number: u64,
    ) -> RolloutController {
        let kept = RolloutRecord { conductor: number, ..kept.unwrap_or_default() };
        let place = |node: usize| kept.changed.iter().position(|n| *n == node).map_or(0, |at| at as u32 + 1);
        let seen = |node| NodeState {
            program: None,
            is_well: false,
            answers: false,
            is_ordered: false,
            changed: place(node),
        };
        let node =
            |node| Node { seen: seen(node), order: None, tries: 0, is_asked: false, is_confirmed: false };
        let nodes = (0..course.nodes()).map(node).collect();
        RolloutController { course, habits, kept, phase: Phase::Polling, nodes, next_order: 0 }
    }

    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    pub fn kept(&self) -> &RolloutRecord {
        &self.kept
    }

    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::RolledBack { .. } | Phase::Waiting(_) | Phase::Replaced)
    }

    pub fn seen(&self) -> Vec<NodeState> {
        self.nodes.iter().map(|node| node.seen).collect()
    }

    /// What is ordered and not answered.
    pub fn orders(&self) -> impl Iterator<Item = (usize, Command)> + '_ {
        self.nodes.iter().enumerate().filter_map(|(at, node)| Some((at, node.order?)))
    }

    /// A node was asked how it stands; none where it did not answer.
    pub fn report(&mut self, node: usize, report: Option<&NodeReport>, acts: &mut impl ControllerActions) {
        if matches!(self.phase, Phase::Done | Phase::RolledBack { .. } | Phase::Replaced) {
            return;
        }
        if let Some(report) = report {
            let highest = report.highest.conductor;
            if self.phase == Phase::Polling {
                // Nothing has been ordered yet: a number above all others is ours to take.
                if highest > self.kept.conductor {
                    self.kept.conductor = highest + 1;
                }
            } else if highest > self.kept.conductor {
                return self.phase = Phase::Replaced;
            }
        }
        let of = &mut self.nodes[node];
        of.is_asked = true;
        (of.seen.answers, of.seen.is_well) = (report.is_some(), report.is_some_and(|report| report.is_well));
        if let (Some(report), None) = (report, of.order) {
            of.seen.program = Some(report.program);
        }
        if self.phase == Phase::Polling && self.nodes.iter().all(|node| node.is_asked) {
            acts.keep(&self.kept);
            self.phase = match (&self.kept.back, self.kept.is_over) {
                (None, true) => Phase::Done,
                (Some(why), true) => Phase::RolledBack { why: why.clone() },
                (Some(why), false) => Phase::RollingBack { why: why.clone() },
                (None, false) => self.forward(),
            };
        }
        if let Phase::Analyzing { stage } = self.phase {
            if self.course.has_shrunk(&self.seen(), stage) {
                self.phase = Phase::Advancing { stage };
            }
        }
        self.go_on(acts);
    }

    /// Where the way forward goes on.
    fn forward(&self) -> Phase {
        match self.kept.stage {
            stage if stage < self.course.stages() => Phase::Advancing { stage },
            _ => Phase::Confirming,
        }
    }

    /// What came back on an order.
    pub fn answered(
        &mut self,
        node: usize,
        mark: FencingToken,
        word: CommandReply,
        acts: &mut impl ControllerActions,
    ) {
        let of = &mut self.nodes[node];
        let Some(order) = of.order.filter(|order| order.mark == mark) else { return };
        match word {
            CommandReply::Stale(_) => return self.phase = Phase::Replaced,
            CommandReply::NoReply if of.tries + 1 < MAX_ATTEMPTS => {
                of.tries += 1;
                return acts.order(node, order);
            }
            CommandReply::NoReply => {
                // What it runs is not known: it counts as out of service until it says so.
                (of.order, of.seen.is_ordered, of.seen.is_well, of.seen.program) = (None, false, false, None);
                of.seen.answers = false;
                if self.phase == Phase::Confirming {
                    let why = "it was not told that what it runs is for good".into();
                    return self.phase = Phase::Waiting(WaitReason::NodeStuck { node, why });
                }
                return self.go_back(format!("node {node} has not answered"), acts);
            }
            CommandReply::Finished(Outcome::Done) => {
                (of.order, of.seen.is_ordered, of.seen.program) = (None, false, Some(order.to));
                of.is_confirmed = order.how != ChangeMethod::CommitConfirmed;
            }
            CommandReply::Finished(Outcome::Failed(why)) => {
                (of.order, of.seen.is_ordered) = (None, false);
                if order.to == Variant::Old && order.how == ChangeMethod::HandOver && self.habits.begins_anew
                {
                    return self.order(node, Variant::Old, ChangeMethod::Restart, acts);
                }
                if order.to == Variant::Old || self.phase == Phase::Confirming {
                    return self.phase = Phase::Waiting(WaitReason::NodeStuck { node, why });
                }
                of.seen.program = Some(Variant::Old);
                return self.go_back(format!("node {node}: {why}"), acts);
            }
        }
        self.go_on(acts);
    }

    /// The judge's word on the stage that is judged, or on all changed nodes while more are.
    pub fn verdict(&mut self, verdict: Verdict, acts: &mut impl ControllerActions) {
        match (&self.phase, verdict) {
            (Phase::Analyzing { .. } | Phase::Advancing { .. } | Phase::Confirming, Verdict::Harm(why)) => {
                self.go_back(why, acts)
            }
            (Phase::Analyzing { stage }, Verdict::Pass) => {
                self.kept.stage = stage + 1;
                let is_last = self.kept.stage == self.course.stages();
                // What was never on trial is for good already.
                self.kept.is_over = is_last && !self.habits.on_trial;
                acts.keep(&self.kept);
                self.phase = if self.kept.is_over { Phase::Done } else { self.forward() };
                self.go_on(acts);
            }
            (Phase::Analyzing { .. }, Verdict::Inconclusive(why)) => {
                self.phase = Phase::Waiting(WaitReason::Inconclusive(why))
            }
            _ => {}
        }
    }

    /// The operator has it stop where it is. What is ordered already comes to its end.
    pub fn pause(&mut self) {
        let may = matches!(
            self.phase,
            Phase::Advancing { .. } | Phase::Analyzing { .. } | Phase::Confirming | Phase::RollingBack { .. }
        );
        if may {
            self.phase = Phase::Waiting(WaitReason::Paused);
        }
    }

    /// The operator has it go on from where it waits; what was unclear is taken for good.
    pub fn resume(&mut self, acts: &mut impl ControllerActions) {
        let Phase::Waiting(reason) = &self.phase else { return };
        let passes = matches!(reason, WaitReason::Inconclusive(_));
        self.phase = match &self.kept.back {
            Some(why) => Phase::RollingBack { why: why.clone() },
            None => self.forward(),
        };
        if passes {
            self.phase = Phase::Analyzing { stage: self.kept.stage };
            return self.verdict(Verdict::Pass, acts);
        }
        self.go_on(acts);
    }

    /// The operator has it go back.
    pub fn back(&mut self, acts: &mut impl ControllerActions) {
        if !matches!(self.phase, Phase::Polling | Phase::RolledBack { .. } | Phase::Replaced) {
            self.kept.is_over = false;
            self.go_back("the operator said so".into(), acts);
        }
    }

    /// The fleet has been too ill for the next step for too long.
    pub fn stuck(&mut self) {
        if let Phase::Advancing { .. } | Phase::RollingBack { .. } | Phase::Confirming = self.phase {
            let may_be_new = |node: &Node| {
                let is_old = node.seen.program == Some(Variant::Old);
                !node.seen.is_well && (!is_old || node.seen.changed > 0 && !node.is_confirmed)
            };
            self.phase = match self.nodes.iter().position(may_be_new) {
                Some(node) if self.kept.back.is_some() || self.phase == Phase::Confirming => {
                    Phase::Waiting(WaitReason::NodeStuck { node, why: "it does not answer".into() })
                }
                _ => Phase::Waiting(WaitReason::FleetUnhealthy),
            };
        }
    }

    fn go_back(&mut self, why: String, acts: &mut impl ControllerActions) {
        // The first reason is the one that counts.
        let why = self.kept.back.get_or_insert(why).clone();
        acts.keep(&self.kept);
        self.phase = Phase::RollingBack { why };
        self.go_on(acts);
    }

    /// Orders whatever may be ordered now, and sees whether the stage, or the way back, is at its end.
    fn go_on(&mut self, acts: &mut impl ControllerActions) {
        loop {
            let seen = self.seen();
            let is_on = |seen: &NodeState, program| seen.program == Some(program) && !seen.is_ordered;
            let forward =
                if self.habits.on_trial { ChangeMethod::CommitConfirmed } else { ChangeMethod::HandOver };
            let (next, to, how) = match &self.phase {
                Phase::Advancing { stage } if self.course.is_there(&seen, *stage) => {
                    let stage = *stage;
                    acts.judge(stage);
                    return self.phase = Phase::Analyzing { stage };
                }
                Phase::Advancing { stage } => (self.course.next(&seen, *stage), Variant::New, forward),
                Phase::Confirming => {
                    if self.nodes.iter().all(|node| node.is_confirmed && is_on(&node.seen, Variant::New)) {
                        self.kept.is_over = true;
                        acts.keep(&self.kept);
                        return self.phase = Phase::Done;
                    }
                    // One that was started anew meanwhile, and runs the old program, is told again.
                    let is_told = |node: usize| {
                        self.nodes[node].is_confirmed && seen[node].program == Some(Variant::New)
                    };
                    (self.course.confirm(&seen, is_told), Variant::New, ChangeMethod::HandOver)
                }
                Phase::RollingBack { why } => {
                    // One that was changed may be in the middle of an order of an earlier conductor's.
                    let is_known =
                        |node: &Node| node.seen.is_well || node.is_confirmed || node.seen.changed == 0;
                    if self.nodes.iter().all(|node| is_on(&node.seen, Variant::Old) && is_known(node)) {
                        self.kept.is_over = true;
                        let why = why.clone();
                        acts.keep(&self.kept);
                        return self.phase = Phase::RolledBack { why };
                    }
                    (self.course.back(&seen), Variant::Old, ChangeMethod::HandOver)
                }
                _ => return,
            };
            let Some(node) = next else { return };
            if to == Variant::New && !self.kept.changed.contains(&node) {
                self.kept.changed.push(node);
                // Before it is ordered: whoever goes on from here has to know that it may be changed.
                acts.keep(&self.kept);
            }
            self.order(node, to, how, acts);
        }
    }

    fn order(&mut self, node: usize, to: Variant, how: ChangeMethod, acts: &mut impl ControllerActions) {
        self.next_order += 1;
        let mark = FencingToken { conductor: self.kept.conductor, order: self.next_order };
        let place = self.kept.changed.iter().position(|n| *n == node).map_or(0, |at| at as u32 + 1);
        let of = &mut self.nodes[node];
        let order = Command { mark, to, how };
        (of.order, of.tries, of.seen.is_ordered, of.seen.changed) = (Some(order), 0, true, place);
        acts.order(node, order);
    }
}
