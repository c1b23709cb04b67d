//! The state machine of a rollout: stages, analysis, rollback, and waiting for an operator.

mod node;
mod steps;

use crate::canary_analysis::Verdict;
use crate::command::{ChangeMethod, Command, CommandReply};
use crate::fence::{ControllerNumber, FencingToken, Outcome};
use crate::phase::{Phase, WaitReason};
use crate::record::RolloutRecord;
use crate::stage_plan::{NodeState, StagePlan};
use crate::version::Version;
use node::Node;

/// The part of a node's status that the controller uses.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeReport {
    /// The version that the node runs.
    pub version: Version,
    /// Whether the node is serving and no hand-over is in progress.
    pub is_healthy: bool,
    /// The highest token that the node has seen.
    pub highest: FencingToken,
}

/// The options of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RolloutPolicy {
    /// Whether changed nodes revert automatically unless they keep receiving requests from their controller,
    /// until the whole rollout is done.
    pub commit_confirmed: bool,
    /// Whether a node that cannot hand over to the old version is restarted with it.
    pub restart_stuck_nodes: bool,
}

/// The actions that the controller requests, in the order of the calls.
pub trait ControllerActions {
    /// Persists the record where it outlives the controller, before any further action. If that fails, no
    /// later command may be sent.
    fn persist(&mut self, record: &RolloutRecord);
    /// Sends a command to a node; the reply is passed to [`RolloutController::command_answered`].
    fn send_command(&mut self, node: usize, command: Command);
    /// Begins the analysis of a stage; its verdicts are passed to [`RolloutController::analysis_concluded`].
    fn begin_analysis(&mut self, stage: usize);
}

/// The number of times that a command without a reply is sent before the controller gives up.
const MAX_ATTEMPTS: u8 = 3;

/// Leads one rollout from its first stage to completion or rollback.
///
/// Each step is persisted before it is taken. A controller may therefore be killed at any time: the next one
/// receives the record and a higher number, polls all nodes, and continues.
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
    /// Begins a rollout, or continues the one that `record` belongs to. `number` must be higher than the
    /// record's, and no other controller may ever have it. If nodes report a higher number during the first
    /// poll, the controller takes the next number above it.
    pub fn new(
        stage_plan: StagePlan,
        policy: RolloutPolicy,
        record: Option<RolloutRecord>,
        number: ControllerNumber,
    ) -> RolloutController {
        let record = RolloutRecord { controller: number, ..record.unwrap_or_default() };
        let nodes = (0..stage_plan.node_count()).map(|node| Node::new(record.change_number(node))).collect();
        RolloutController { stage_plan, policy, record, phase: Phase::Polling, nodes, next_command: 0 }
    }

    /// Returns the phase of the rollout.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the record that was persisted last, or that the next step will persist.
    pub fn record(&self) -> &RolloutRecord {
        &self.record
    }

    /// Whether the rollout stays in its phase until an operator or another controller acts.
    pub fn has_stopped(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::RolledBack { .. } | Phase::Waiting(_) | Phase::Replaced)
    }

    /// Returns the observed state of each node, in the order of the plan.
    pub fn node_states(&self) -> Vec<NodeState> {
        self.nodes.iter().map(|node| node.state).collect()
    }

    /// Returns the commands without a reply, with the index of their node.
    pub fn pending_commands(&self) -> impl Iterator<Item = (usize, Command)> + '_ {
        self.nodes.iter().enumerate().filter_map(|(node, state)| Some((node, state.command?)))
    }

    /// Handles the result of polling a node; `report` is `None` if the node did not answer.
    pub fn node_reported(
        &mut self,
        node: usize,
        report: Option<&NodeReport>,
        actions: &mut impl ControllerActions,
    ) {
        if matches!(self.phase, Phase::Done | Phase::RolledBack { .. } | Phase::Replaced) {
            return;
        }
        if report.is_some_and(|report| self.is_replaced_by(report.highest.controller)) {
            self.phase = Phase::Replaced;
            return;
        }
        self.nodes[node].reported(report);
        if self.phase == Phase::Polling && self.nodes.iter().all(|node| node.is_polled) {
            actions.persist(&self.record);
            self.phase = self.first_phase();
        }
        if let Phase::Analyzing { stage } = self.phase {
            if self.stage_plan.is_below_target(&self.node_states(), stage) {
                self.phase = Phase::Advancing { stage };
            }
        }
        self.advance(actions);
    }

    /// Whether a node knows a controller with a higher number. While nothing was sent yet, this controller
    /// takes the next number above it instead of being replaced.
    fn is_replaced_by(&mut self, controller: ControllerNumber) -> bool {
        if controller <= self.record.controller {
            return false;
        }
        if self.phase == Phase::Polling {
            self.record.controller = controller.next();
            return false;
        }
        true
    }

    /// Returns the phase that follows from the record once all nodes have been polled.
    fn first_phase(&self) -> Phase {
        match (&self.record.rollback_reason, self.record.is_finished) {
            (None, true) => Phase::Done,
            (None, false) => self.next_phase_forward(),
            (Some(reason), true) => Phase::RolledBack { reason: reason.clone() },
            (Some(reason), false) => Phase::RollingBack { reason: reason.clone() },
        }
    }

    fn next_phase_forward(&self) -> Phase {
        match self.record.stage {
            stage if stage < self.stage_plan.stage_count() => Phase::Advancing { stage },
            _ => Phase::Confirming,
        }
    }

    /// Handles the reply to a command. A reply to a command that is not pending, such as a late one, is
    /// ignored.
    pub fn command_answered(
        &mut self,
        node: usize,
        token: FencingToken,
        reply: CommandReply,
        actions: &mut impl ControllerActions,
    ) {
        let Some(command) = self.nodes[node].command.filter(|command| command.token == token) else { return };
        match reply {
            CommandReply::Stale(_) => self.phase = Phase::Replaced,
            CommandReply::NoReply => self.command_unanswered(node, command, actions),
            CommandReply::Finished(Outcome::Done) => {
                self.nodes[node].command_done(command);
                self.advance(actions);
            }
            CommandReply::Finished(Outcome::Failed(reason)) => {
                self.command_failed(node, command, reason, actions);
            }
        }
    }

    fn command_unanswered(&mut self, node: usize, command: Command, actions: &mut impl ControllerActions) {
        let state = &mut self.nodes[node];
        if state.retries + 1 < MAX_ATTEMPTS {
            state.retries += 1;
            // The token stays the same, so that the node executes the command once.
            return actions.send_command(node, command);
        }
        state.command_unanswered();
        if self.phase == Phase::Confirming {
            let reason = "it did not answer the command to confirm its version".into();
            self.phase = Phase::Waiting(WaitReason::NodeStuck { node, reason });
        } else {
            self.begin_rollback(format!("node {node} has not answered"), actions);
        }
    }

    fn command_failed(
        &mut self,
        node: usize,
        command: Command,
        reason: String,
        actions: &mut impl ControllerActions,
    ) {
        self.nodes[node].command_failed();
        let is_revert = command.version == Version::Old;
        if is_revert && command.method == ChangeMethod::HandOver && self.policy.restart_stuck_nodes {
            self.send_command(node, Version::Old, ChangeMethod::Restart, actions);
        } else if is_revert || self.phase == Phase::Confirming {
            self.phase = Phase::Waiting(WaitReason::NodeStuck { node, reason });
        } else {
            self.nodes[node].state.version = Some(Version::Old);
            self.begin_rollback(format!("node {node}: {reason}"), actions);
        }
    }

    /// Handles a verdict of the analysis on the stage, or on all changed nodes while more are changed or
    /// confirmed. Harm starts a rollback at any time before the end; other verdicts count only while a stage
    /// is analysed.
    pub fn analysis_concluded(&mut self, verdict: Verdict, actions: &mut impl ControllerActions) {
        match (&self.phase, verdict) {
            (
                Phase::Analyzing { .. } | Phase::Advancing { .. } | Phase::Confirming,
                Verdict::Harm(reason),
            ) => self.begin_rollback(reason, actions),
            (Phase::Analyzing { stage }, Verdict::Pass) => self.stage_passed(*stage, actions),
            (Phase::Analyzing { .. }, Verdict::Inconclusive(reason)) => {
                self.phase = Phase::Waiting(WaitReason::Inconclusive(reason));
            }
            _ => {}
        }
    }

    fn stage_passed(&mut self, stage: usize, actions: &mut impl ControllerActions) {
        self.record.stage = stage + 1;
        let is_last = self.record.stage == self.stage_plan.stage_count();
        // Changes that were not commit-confirmed are permanent already.
        self.record.is_finished = is_last && !self.policy.commit_confirmed;
        actions.persist(&self.record);
        self.phase = if self.record.is_finished { Phase::Done } else { self.next_phase_forward() };
        self.advance(actions);
    }

    /// Pauses the rollout at an operator's request. Commands that were sent are still executed.
    pub fn pause(&mut self) {
        if let Phase::Advancing { .. }
        | Phase::Analyzing { .. }
        | Phase::Confirming
        | Phase::RollingBack { .. } = self.phase
        {
            self.phase = Phase::Waiting(WaitReason::Paused);
        }
    }

    /// Resumes a waiting rollout at an operator's request. A stage whose analysis was inconclusive passes.
    pub fn resume(&mut self, actions: &mut impl ControllerActions) {
        let Phase::Waiting(reason) = &self.phase else { return };
        if let WaitReason::Inconclusive(_) = reason {
            return self.stage_passed(self.record.stage, actions);
        }
        self.phase = match &self.record.rollback_reason {
            Some(reason) => Phase::RollingBack { reason: reason.clone() },
            None => self.next_phase_forward(),
        };
        self.advance(actions);
    }

    /// Reverts all changed nodes at an operator's request, also after the rollout was done.
    pub fn roll_back(&mut self, actions: &mut impl ControllerActions) {
        if !matches!(self.phase, Phase::Polling | Phase::RolledBack { .. } | Phase::Replaced) {
            self.record.is_finished = false;
            self.begin_rollback("the operator said so".into(), actions);
        }
    }

    /// Makes the rollout wait for an operator, with a reason, because nothing has changed for longer than the
    /// plan allows.
    pub fn no_progress(&mut self) {
        if !matches!(self.phase, Phase::Advancing { .. } | Phase::RollingBack { .. } | Phase::Confirming) {
            return;
        }
        let needs_every_node = self.record.rollback_reason.is_some() || self.phase == Phase::Confirming;
        let reason = match self.nodes.iter().position(Node::is_unavailable_and_may_be_changed) {
            Some(node) if needs_every_node => {
                WaitReason::NodeStuck { node, reason: "it does not answer".into() }
            }
            _ => WaitReason::FleetUnhealthy,
        };
        self.phase = Phase::Waiting(reason);
    }

    fn begin_rollback(&mut self, reason: String, actions: &mut impl ControllerActions) {
        // A rollback that has begun retains its first reason.
        let reason = self.record.rollback_reason.get_or_insert(reason).clone();
        actions.persist(&self.record);
        self.phase = Phase::RollingBack { reason };
        self.advance(actions);
    }
}
