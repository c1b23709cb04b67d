//! Decides the course of a whole change: the stages, their verdicts, the way back, and when an operator is asked. What it is
//! about to do is kept first, so that it may be ended at any moment and begun anew from what was kept: it then takes a
//! higher number than any node knows, asks all of them how they stand, and goes on from there.

use crate::course::{Course, Seen};
use crate::fence::{Mark, Outcome};
use crate::judge::Verdict;
use crate::Program;

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    pub program: Program,
    pub is_well: bool,
    /// The highest mark that it knows.
    pub highest: Mark,
}

/// How a node comes to run what it is ordered to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum How {
    /// The one that runs hands over, and what takes over stays only as long as the node hears of its conductor.
    OnTrial,
    /// The one that runs hands over, where it is not the one that is wanted.
    ForGood,
    /// The one that runs leaves, or is ended where it cannot, and the other is begun anew.
    Anew,
}

/// A node is to run that program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    pub mark: Mark,
    pub to: Program,
    pub how: How,
}

/// What a plan allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Habits {
    /// Changed nodes are on trial until the whole change is done.
    pub on_trial: bool,
    /// A node that cannot hand back what it runs may be begun anew.
    pub begins_anew: bool,
}

/// What came back on an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Word {
    Ended(Outcome),
    /// Another conductor has a higher number.
    Stale(Mark),
    /// Nothing, in the time given: it may have been carried out, or will be.
    Nothing,
}

/// Why it waits for an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    Paused,
    /// The judge cannot tell.
    Unclear(String),
    /// A node cannot go back, or does not answer, and may run the new program.
    LeftBehind {
        node: usize,
        why: String,
    },
    /// A stage cannot be reached, as too many nodes are out of service for their own reasons.
    Ill,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// All nodes are asked how they stand, and told the number.
    Asking,
    Forward {
        stage: usize,
    },
    /// The stage is reached and under judgement.
    Judged {
        stage: usize,
    },
    /// All were found good: each is told that it is for good.
    Confirming,
    Back {
        why: String,
    },
    /// What goes on when the operator says so is in `kept`.
    Waiting(Reason),
    Done,
    /// All that were changed are back.
    IsBack {
        why: String,
    },
    /// Another conductor has taken over.
    Replaced,
}

/// What has to outlive the conductor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Kept {
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
pub trait Acts {
    /// Keeps this where it outlives us, before anything else is done.
    fn keep(&mut self, kept: &Kept);
    fn order(&mut self, node: usize, order: Order);
    /// Begins to judge a stage.
    fn judge(&mut self, stage: usize);
}

/// An order unanswered so many times leaves its node behind.
const TRIES: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    seen: Seen,
    order: Option<Order>,
    tries: u8,
    /// It has answered, or was asked in vain, since this conductor began.
    is_asked: bool,
    /// It has said that what it runs is for good.
    is_confirmed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Conductor {
    course: Course,
    habits: Habits,
    kept: Kept,
    phase: Phase,
    nodes: Vec<Node>,
    next_order: u64,
}

impl Conductor {
    /// Begins, or goes on from what was kept. `number` is higher than any that this conductor's file knows.
    pub fn new(course: Course, habits: Habits, kept: Option<Kept>, number: u64) -> Conductor {
        let kept = Kept { conductor: number, ..kept.unwrap_or_default() };
        let place = |node: usize| kept.changed.iter().position(|n| *n == node).map_or(0, |at| at as u32 + 1);
        let seen = |node| Seen {
            program: None,
            is_well: false,
            answers: false,
            is_ordered: false,
            changed: place(node),
        };
        let node =
            |node| Node { seen: seen(node), order: None, tries: 0, is_asked: false, is_confirmed: false };
        let nodes = (0..course.nodes()).map(node).collect();
        Conductor { course, habits, kept, phase: Phase::Asking, nodes, next_order: 0 }
    }

    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::IsBack { .. } | Phase::Waiting(_) | Phase::Replaced)
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.nodes.iter().map(|node| node.seen).collect()
    }

    /// What is ordered and not answered.
    pub fn orders(&self) -> impl Iterator<Item = (usize, Order)> + '_ {
        self.nodes.iter().enumerate().filter_map(|(at, node)| Some((at, node.order?)))
    }

    /// A node was asked how it stands; none where it did not answer.
    pub fn report(&mut self, node: usize, report: Option<&Report>, acts: &mut impl Acts) {
        if matches!(self.phase, Phase::Done | Phase::IsBack { .. } | Phase::Replaced) {
            return;
        }
        if let Some(report) = report {
            let highest = report.highest.conductor;
            if self.phase == Phase::Asking {
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
        if self.phase == Phase::Asking && self.nodes.iter().all(|node| node.is_asked) {
            acts.keep(&self.kept);
            self.phase = match (&self.kept.back, self.kept.is_over) {
                (None, true) => Phase::Done,
                (Some(why), true) => Phase::IsBack { why: why.clone() },
                (Some(why), false) => Phase::Back { why: why.clone() },
                (None, false) => self.forward(),
            };
        }
        if let Phase::Judged { stage } = self.phase {
            if self.course.has_shrunk(&self.seen(), stage) {
                self.phase = Phase::Forward { stage };
            }
        }
        self.go_on(acts);
    }

    /// Where the way forward goes on.
    fn forward(&self) -> Phase {
        match self.kept.stage {
            stage if stage < self.course.stages() => Phase::Forward { stage },
            _ => Phase::Confirming,
        }
    }

    /// What came back on an order.
    pub fn answered(&mut self, node: usize, mark: Mark, word: Word, acts: &mut impl Acts) {
        let of = &mut self.nodes[node];
        let Some(order) = of.order.filter(|order| order.mark == mark) else { return };
        match word {
            Word::Stale(_) => return self.phase = Phase::Replaced,
            Word::Nothing if of.tries + 1 < TRIES => {
                of.tries += 1;
                return acts.order(node, order);
            }
            Word::Nothing => {
                // What it runs is not known: it counts as out of service until it says so.
                (of.order, of.seen.is_ordered, of.seen.is_well, of.seen.program) = (None, false, false, None);
                of.seen.answers = false;
                if self.phase == Phase::Confirming {
                    let why = "it was not told that what it runs is for good".into();
                    return self.phase = Phase::Waiting(Reason::LeftBehind { node, why });
                }
                return self.go_back(format!("node {node} has not answered"), acts);
            }
            Word::Ended(Outcome::Done) => {
                (of.order, of.seen.is_ordered, of.seen.program) = (None, false, Some(order.to));
                of.is_confirmed = order.how != How::OnTrial;
            }
            Word::Ended(Outcome::Failed(why)) => {
                (of.order, of.seen.is_ordered) = (None, false);
                if order.to == Program::Old && order.how == How::ForGood && self.habits.begins_anew {
                    return self.order(node, Program::Old, How::Anew, acts);
                }
                if order.to == Program::Old || self.phase == Phase::Confirming {
                    return self.phase = Phase::Waiting(Reason::LeftBehind { node, why });
                }
                of.seen.program = Some(Program::Old);
                return self.go_back(format!("node {node}: {why}"), acts);
            }
        }
        self.go_on(acts);
    }

    /// The judge's word on the stage that is judged, or on all changed nodes while more are.
    pub fn verdict(&mut self, verdict: Verdict, acts: &mut impl Acts) {
        match (&self.phase, verdict) {
            (Phase::Judged { .. } | Phase::Forward { .. } | Phase::Confirming, Verdict::Harm(why)) => {
                self.go_back(why, acts)
            }
            (Phase::Judged { stage }, Verdict::Good) => {
                self.kept.stage = stage + 1;
                let is_last = self.kept.stage == self.course.stages();
                // What was never on trial is for good already.
                self.kept.is_over = is_last && !self.habits.on_trial;
                acts.keep(&self.kept);
                self.phase = if self.kept.is_over { Phase::Done } else { self.forward() };
                self.go_on(acts);
            }
            (Phase::Judged { .. }, Verdict::Ask(why)) => self.phase = Phase::Waiting(Reason::Unclear(why)),
            _ => {}
        }
    }

    /// The operator has it stop where it is. What is ordered already comes to its end.
    pub fn pause(&mut self) {
        let may = matches!(
            self.phase,
            Phase::Forward { .. } | Phase::Judged { .. } | Phase::Confirming | Phase::Back { .. }
        );
        if may {
            self.phase = Phase::Waiting(Reason::Paused);
        }
    }

    /// The operator has it go on from where it waits; what was unclear is taken for good.
    pub fn resume(&mut self, acts: &mut impl Acts) {
        let Phase::Waiting(reason) = &self.phase else { return };
        let passes = matches!(reason, Reason::Unclear(_));
        self.phase = match &self.kept.back {
            Some(why) => Phase::Back { why: why.clone() },
            None => self.forward(),
        };
        if passes {
            self.phase = Phase::Judged { stage: self.kept.stage };
            return self.verdict(Verdict::Good, acts);
        }
        self.go_on(acts);
    }

    /// The operator has it go back.
    pub fn back(&mut self, acts: &mut impl Acts) {
        if !matches!(self.phase, Phase::Asking | Phase::IsBack { .. } | Phase::Replaced) {
            self.kept.is_over = false;
            self.go_back("the operator said so".into(), acts);
        }
    }

    /// The fleet has been too ill for the next step for too long.
    pub fn stuck(&mut self) {
        if let Phase::Forward { .. } | Phase::Back { .. } | Phase::Confirming = self.phase {
            let may_be_new = |node: &Node| {
                let is_old = node.seen.program == Some(Program::Old);
                !node.seen.is_well && (!is_old || node.seen.changed > 0 && !node.is_confirmed)
            };
            self.phase = match self.nodes.iter().position(may_be_new) {
                Some(node) if self.kept.back.is_some() || self.phase == Phase::Confirming => {
                    Phase::Waiting(Reason::LeftBehind { node, why: "it does not answer".into() })
                }
                _ => Phase::Waiting(Reason::Ill),
            };
        }
    }

    fn go_back(&mut self, why: String, acts: &mut impl Acts) {
        // The first reason is the one that counts.
        let why = self.kept.back.get_or_insert(why).clone();
        acts.keep(&self.kept);
        self.phase = Phase::Back { why };
        self.go_on(acts);
    }

    /// Orders whatever may be ordered now, and sees whether the stage, or the way back, is at its end.
    fn go_on(&mut self, acts: &mut impl Acts) {
        loop {
            let seen = self.seen();
            let is_on = |seen: &Seen, program| seen.program == Some(program) && !seen.is_ordered;
            let forward = if self.habits.on_trial { How::OnTrial } else { How::ForGood };
            let (next, to, how) = match &self.phase {
                Phase::Forward { stage } if self.course.is_there(&seen, *stage) => {
                    let stage = *stage;
                    acts.judge(stage);
                    return self.phase = Phase::Judged { stage };
                }
                Phase::Forward { stage } => (self.course.next(&seen, *stage), Program::New, forward),
                Phase::Confirming => {
                    if self.nodes.iter().all(|node| node.is_confirmed && is_on(&node.seen, Program::New)) {
                        self.kept.is_over = true;
                        acts.keep(&self.kept);
                        return self.phase = Phase::Done;
                    }
                    // One that was started anew meanwhile, and runs the old program, is told again.
                    let is_told = |node: usize| {
                        self.nodes[node].is_confirmed && seen[node].program == Some(Program::New)
                    };
                    (self.course.confirm(&seen, is_told), Program::New, How::ForGood)
                }
                Phase::Back { why } => {
                    // One that was changed may be in the middle of an order of an earlier conductor's.
                    let is_known =
                        |node: &Node| node.seen.is_well || node.is_confirmed || node.seen.changed == 0;
                    if self.nodes.iter().all(|node| is_on(&node.seen, Program::Old) && is_known(node)) {
                        self.kept.is_over = true;
                        let why = why.clone();
                        acts.keep(&self.kept);
                        return self.phase = Phase::IsBack { why };
                    }
                    (self.course.back(&seen), Program::Old, How::ForGood)
                }
                _ => return,
            };
            let Some(node) = next else { return };
            if to == Program::New && !self.kept.changed.contains(&node) {
                self.kept.changed.push(node);
                // Before it is ordered: whoever goes on from here has to know that it may be changed.
                acts.keep(&self.kept);
            }
            self.order(node, to, how, acts);
        }
    }

    fn order(&mut self, node: usize, to: Program, how: How, acts: &mut impl Acts) {
        self.next_order += 1;
        let mark = Mark { conductor: self.kept.conductor, order: self.next_order };
        let place = self.kept.changed.iter().position(|n| *n == node).map_or(0, |at| at as u32 + 1);
        let of = &mut self.nodes[node];
        let order = Order { mark, to, how };
        (of.order, of.tries, of.seen.is_ordered, of.seen.changed) = (Some(order), 0, true, place);
        acts.order(node, order);
    }
}
