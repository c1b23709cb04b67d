//! Decides the course of a whole change: the stages, their verdicts, the way back, and when an operator is asked. What it is
//! about to do is kept first, so that it may be ended at any moment and begun anew from what was kept: it then takes a
//! higher number than any node knows, asks all of them how they stand, and goes on from there.

use crate::canary_analysis::Verdict;
use crate::fence::{FencingToken, Outcome};
use crate::stage_plan::{NodeState, StagePlan};
use crate::Version;

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeReport {
    pub version: Version,
    pub is_healthy: bool,
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
    pub token: FencingToken,
    pub version: Version,
    pub method: ChangeMethod,
}

/// What a plan allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutPolicy {
    /// Changed nodes are on trial until the whole change is done.
    pub commit_confirmed: bool,
    /// A node that cannot hand back what it runs may be begun anew.
    pub restart_stuck_nodes: bool,
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
        reason: String,
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
        reason: String,
    },
    /// What goes on when the operator says so is in `kept`.
    Waiting(WaitReason),
    Done,
    /// All that were changed are back.
    RolledBack {
        reason: String,
    },
    /// Another conductor has taken over.
    Replaced,
}

/// What has to outlive the conductor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutRecord {
    pub controller: u64,
    /// One past the last where all were found good.
    pub stage: usize,
    /// Why it goes back, if it does.
    pub rollback_reason: Option<String>,
    /// Nodes in the order in which they were changed, or were about to be.
    pub changed_nodes: Vec<usize>,
    pub is_finished: bool,
}

/// What the conductor does.
pub trait ControllerActions {
    /// Keeps this where it outlives us, before anything else is done.
    fn persist(&mut self, record: &RolloutRecord);
    fn send_command(&mut self, node: usize, command: Command);
    /// Begins to judge a stage.
    fn begin_analysis(&mut self, stage: usize);
}

/// An order unanswered so many times leaves its node behind.
const MAX_ATTEMPTS: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    state: NodeState,
    command: Option<Command>,
    attempts: u8,
    /// It has answered, or was asked in vain, since this conductor began.
    is_polled: bool,
    /// It has said that what it runs is for good.
    is_confirmed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutController {
    stage_plan: StagePlan,
    policy: RolloutPolicy,
    record: RolloutRecord,
    phase: Phase,
    nodes: Vec<Node>,
    next_command: u64,
}

impl RolloutController {
    /// Begins, or goes on from what was kept. `number` is higher than any that this conductor's file knows.
    pub fn new(
        stage_plan: StagePlan,
        policy: RolloutPolicy,
        record: Option<RolloutRecord>,
        number: u64,
    ) -> RolloutController {
        let record = RolloutRecord { controller: number, ..record.unwrap_or_default() };
        let position =
            |node: usize| record.changed_nodes.iter().position(|n| *n == node).map_or(0, |at| at as u32 + 1);
        let state = |node| NodeState {
            version: None,
            is_healthy: false,
            responds: false,
            is_command_pending: false,
            change_number: position(node),
        };
        let node = |node| Node {
            state: state(node),
            command: None,
            attempts: 0,
            is_polled: false,
            is_confirmed: false,
        };
        let nodes = (0..stage_plan.node_count()).map(node).collect();
        RolloutController { stage_plan, policy, record, phase: Phase::Polling, nodes, next_command: 0 }
    }

    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    pub fn record(&self) -> &RolloutRecord {
        &self.record
    }

    pub fn has_stopped(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::RolledBack { .. } | Phase::Waiting(_) | Phase::Replaced)
    }

    pub fn node_states(&self) -> Vec<NodeState> {
        self.nodes.iter().map(|node| node.state).collect()
    }

    /// What is ordered and not answered.
    pub fn pending_commands(&self) -> impl Iterator<Item = (usize, Command)> + '_ {
        self.nodes.iter().enumerate().filter_map(|(at, node)| Some((at, node.command?)))
    }

    /// A node was asked how it stands; none where it did not answer.
    pub fn node_reported(
        &mut self,
        node: usize,
        report: Option<&NodeReport>,
        actions: &mut impl ControllerActions,
    ) {
        if matches!(self.phase, Phase::Done | Phase::RolledBack { .. } | Phase::Replaced) {
            return;
        }
        if let Some(report) = report {
            let highest = report.highest.controller;
            if self.phase == Phase::Polling {
                // Nothing has been ordered yet: a number above all others is ours to take.
                if highest > self.record.controller {
                    self.record.controller = highest + 1;
                }
            } else if highest > self.record.controller {
                return self.phase = Phase::Replaced;
            }
        }
        let of = &mut self.nodes[node];
        of.is_polled = true;
        (of.state.responds, of.state.is_healthy) =
            (report.is_some(), report.is_some_and(|report| report.is_healthy));
        if let (Some(report), None) = (report, of.command) {
            of.state.version = Some(report.version);
        }
        if self.phase == Phase::Polling && self.nodes.iter().all(|node| node.is_polled) {
            actions.persist(&self.record);
            self.phase = match (&self.record.rollback_reason, self.record.is_finished) {
                (None, true) => Phase::Done,
                (Some(reason), true) => Phase::RolledBack { reason: reason.clone() },
                (Some(reason), false) => Phase::RollingBack { reason: reason.clone() },
                (None, false) => self.next_phase_forward(),
            };
        }
        if let Phase::Analyzing { stage } = self.phase {
            if self.stage_plan.is_below_target(&self.node_states(), stage) {
                self.phase = Phase::Advancing { stage };
            }
        }
        self.advance(actions);
    }

    /// Where the way forward goes on.
    fn next_phase_forward(&self) -> Phase {
        match self.record.stage {
            stage if stage < self.stage_plan.stage_count() => Phase::Advancing { stage },
            _ => Phase::Confirming,
        }
    }

    /// What came back on an order.
    pub fn command_answered(
        &mut self,
        node: usize,
        token: FencingToken,
        reply: CommandReply,
        actions: &mut impl ControllerActions,
    ) {
        let of = &mut self.nodes[node];
        let Some(command) = of.command.filter(|command| command.token == token) else { return };
        match reply {
            CommandReply::Stale(_) => return self.phase = Phase::Replaced,
            CommandReply::NoReply if of.attempts + 1 < MAX_ATTEMPTS => {
                of.attempts += 1;
                return actions.send_command(node, command);
            }
            CommandReply::NoReply => {
                // What it runs is not known: it counts as out of service until it says so.
                (of.command, of.state.is_command_pending, of.state.is_healthy, of.state.version) =
                    (None, false, false, None);
                of.state.responds = false;
                if self.phase == Phase::Confirming {
                    let reason = "it was not told that what it runs is for good".into();
                    return self.phase = Phase::Waiting(WaitReason::NodeStuck { node, reason });
                }
                return self.begin_rollback(format!("node {node} has not answered"), actions);
            }
            CommandReply::Finished(Outcome::Done) => {
                (of.command, of.state.is_command_pending, of.state.version) =
                    (None, false, Some(command.version));
                of.is_confirmed = command.method != ChangeMethod::CommitConfirmed;
            }
            CommandReply::Finished(Outcome::Failed(reason)) => {
                (of.command, of.state.is_command_pending) = (None, false);
                if command.version == Version::Old
                    && command.method == ChangeMethod::HandOver
                    && self.policy.restart_stuck_nodes
                {
                    return self.command_node(node, Version::Old, ChangeMethod::Restart, actions);
                }
                if command.version == Version::Old || self.phase == Phase::Confirming {
                    return self.phase = Phase::Waiting(WaitReason::NodeStuck { node, reason });
                }
                of.state.version = Some(Version::Old);
                return self.begin_rollback(format!("node {node}: {reason}"), actions);
            }
        }
        self.advance(actions);
    }

    /// The judge's word on the stage that is judged, or on all changed nodes while more are.
    pub fn analysis_concluded(&mut self, verdict: Verdict, actions: &mut impl ControllerActions) {
        match (&self.phase, verdict) {
            (
                Phase::Analyzing { .. } | Phase::Advancing { .. } | Phase::Confirming,
                Verdict::Harm(reason),
            ) => self.begin_rollback(reason, actions),
            (Phase::Analyzing { stage }, Verdict::Pass) => {
                self.record.stage = stage + 1;
                let is_last = self.record.stage == self.stage_plan.stage_count();
                // What was never on trial is for good already.
                self.record.is_finished = is_last && !self.policy.commit_confirmed;
                actions.persist(&self.record);
                self.phase = if self.record.is_finished { Phase::Done } else { self.next_phase_forward() };
                self.advance(actions);
            }
            (Phase::Analyzing { .. }, Verdict::Inconclusive(reason)) => {
                self.phase = Phase::Waiting(WaitReason::Inconclusive(reason))
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
    pub fn resume(&mut self, actions: &mut impl ControllerActions) {
        let Phase::Waiting(reason) = &self.phase else { return };
        let passes = matches!(reason, WaitReason::Inconclusive(_));
        self.phase = match &self.record.rollback_reason {
            Some(reason) => Phase::RollingBack { reason: reason.clone() },
            None => self.next_phase_forward(),
        };
        if passes {
            self.phase = Phase::Analyzing { stage: self.record.stage };
            return self.analysis_concluded(Verdict::Pass, actions);
        }
        self.advance(actions);
    }

    /// The operator has it go back.
    pub fn roll_back(&mut self, actions: &mut impl ControllerActions) {
        if !matches!(self.phase, Phase::Polling | Phase::RolledBack { .. } | Phase::Replaced) {
            self.record.is_finished = false;
            self.begin_rollback("the operator said so".into(), actions);
        }
    }

    /// The fleet has been too ill for the next step for too long.
    pub fn no_progress(&mut self) {
        if let Phase::Advancing { .. } | Phase::RollingBack { .. } | Phase::Confirming = self.phase {
            let may_be_new = |node: &Node| {
                let is_old = node.state.version == Some(Version::Old);
                !node.state.is_healthy && (!is_old || node.state.change_number > 0 && !node.is_confirmed)
            };
            self.phase = match self.nodes.iter().position(may_be_new) {
                Some(node) if self.record.rollback_reason.is_some() || self.phase == Phase::Confirming => {
                    Phase::Waiting(WaitReason::NodeStuck { node, reason: "it does not answer".into() })
                }
                _ => Phase::Waiting(WaitReason::FleetUnhealthy),
            };
        }
    }

    fn begin_rollback(&mut self, reason: String, actions: &mut impl ControllerActions) {
        // The first reason is the one that counts.
        let reason = self.record.rollback_reason.get_or_insert(reason).clone();
        actions.persist(&self.record);
        self.phase = Phase::RollingBack { reason };
        self.advance(actions);
    }

    /// Orders whatever may be ordered now, and sees whether the stage, or the way back, is at its end.
    fn advance(&mut self, actions: &mut impl ControllerActions) {
        loop {
            let states = self.node_states();
            let is_on =
                |state: &NodeState, version| state.version == Some(version) && !state.is_command_pending;
            let forward = if self.policy.commit_confirmed {
                ChangeMethod::CommitConfirmed
            } else {
                ChangeMethod::HandOver
            };
            let (next, version, method) = match &self.phase {
                Phase::Advancing { stage } if self.stage_plan.is_reached(&states, *stage) => {
                    let stage = *stage;
                    actions.begin_analysis(stage);
                    return self.phase = Phase::Analyzing { stage };
                }
                Phase::Advancing { stage } => {
                    (self.stage_plan.next_to_change(&states, *stage), Version::New, forward)
                }
                Phase::Confirming => {
                    if self.nodes.iter().all(|node| node.is_confirmed && is_on(&node.state, Version::New)) {
                        self.record.is_finished = true;
                        actions.persist(&self.record);
                        return self.phase = Phase::Done;
                    }
                    // One that was started anew meanwhile, and runs the old program, is told again.
                    let is_confirmed = |node: usize| {
                        self.nodes[node].is_confirmed && states[node].version == Some(Version::New)
                    };
                    (
                        self.stage_plan.next_to_confirm(&states, is_confirmed),
                        Version::New,
                        ChangeMethod::HandOver,
                    )
                }
                Phase::RollingBack { reason } => {
                    // One that was changed may be in the middle of an order of an earlier conductor's.
                    let is_known = |node: &Node| {
                        node.state.is_healthy || node.is_confirmed || node.state.change_number == 0
                    };
                    if self.nodes.iter().all(|node| is_on(&node.state, Version::Old) && is_known(node)) {
                        self.record.is_finished = true;
                        let reason = reason.clone();
                        actions.persist(&self.record);
                        return self.phase = Phase::RolledBack { reason };
                    }
                    (self.stage_plan.next_to_revert(&states), Version::Old, ChangeMethod::HandOver)
                }
                _ => return,
            };
            let Some(node) = next else { return };
            if version == Version::New && !self.record.changed_nodes.contains(&node) {
                self.record.changed_nodes.push(node);
                // Before it is ordered: whoever goes on from here has to know that it may be changed.
                actions.persist(&self.record);
            }
            self.command_node(node, version, method, actions);
        }
    }

    fn command_node(
        &mut self,
        node: usize,
        version: Version,
        method: ChangeMethod,
        actions: &mut impl ControllerActions,
    ) {
        self.next_command += 1;
        let token = FencingToken { controller: self.record.controller, command: self.next_command };
        let position =
            self.record.changed_nodes.iter().position(|n| *n == node).map_or(0, |at| at as u32 + 1);
        let of = &mut self.nodes[node];
        let command = Command { token, version, method };
        (of.command, of.attempts, of.state.is_command_pending, of.state.change_number) =
            (Some(command), 0, true, position);
        actions.send_command(node, command);
    }
}
