//! Decides the next steps of a rollout: which command may be sent now, and whether a phase is complete.

use super::{ControllerActions, RolloutController};
use crate::command::{ChangeMethod, Command};
use crate::fence::FencingToken;
use crate::phase::Phase;
use crate::stage_plan::NodeState;
use crate::version::Version;

/// The next step of the controller.
enum Step {
    /// Commands a node to run a version.
    Command { node: usize, version: Version, method: ChangeMethod },
    /// Begins the analysis of a stage whose target number of nodes is changed.
    BeginAnalysis { stage: usize },
    /// Completes the rollout or its rollback.
    Finish(Phase),
    /// Waits until a node reports, a command is answered or the analysis concludes.
    Wait,
}

impl RolloutController {
    /// Sends all commands that may be sent now, or leaves a phase that is complete.
    pub(super) fn advance(&mut self, actions: &mut impl ControllerActions) {
        loop {
            match self.next_step() {
                Step::Wait => return,
                Step::Command { node, version, method } => {
                    self.persist_change(node, version, actions);
                    self.send_command(node, version, method, actions);
                }
                Step::BeginAnalysis { stage } => {
                    actions.begin_analysis(stage);
                    self.phase = Phase::Analyzing { stage };
                    return;
                }
                Step::Finish(phase) => {
                    self.record.is_finished = true;
                    actions.persist(&self.record);
                    self.phase = phase;
                    return;
                }
            }
        }
    }

    fn next_step(&self) -> Step {
        let states = self.node_states();
        match &self.phase {
            Phase::Advancing { stage } => self.next_advancing_step(&states, *stage),
            Phase::Confirming => self.next_confirming_step(&states),
            Phase::RollingBack { reason } => self.next_rollback_step(&states, reason),
            _ => Step::Wait,
        }
    }

    fn next_advancing_step(&self, states: &[NodeState], stage: usize) -> Step {
        if self.stage_plan.has_reached_target(states, stage) {
            return Step::BeginAnalysis { stage };
        }
        let method =
            if self.policy.commit_confirmed { ChangeMethod::CommitConfirmed } else { ChangeMethod::HandOver };
        command(self.stage_plan.next_to_change(states, stage), Version::New, method)
    }

    fn next_confirming_step(&self, states: &[NodeState]) -> Step {
        if self.nodes.iter().all(|node| node.is_confirmed && node.is_settled_on(Version::New)) {
            return Step::Finish(Phase::Done);
        }
        // A node that was restarted after it had confirmed, and runs the old version, receives the command
        // again.
        let is_confirmed =
            |node: usize| self.nodes[node].is_confirmed && states[node].version == Some(Version::New);
        command(self.stage_plan.next_to_confirm(states, is_confirmed), Version::New, ChangeMethod::HandOver)
    }

    fn next_rollback_step(&self, states: &[NodeState], reason: &str) -> Step {
        // A changed node may still be executing a command of an earlier controller.
        if self.nodes.iter().all(|node| node.is_settled_on(Version::Old) && node.is_version_certain()) {
            return Step::Finish(Phase::RolledBack { reason: reason.into() });
        }
        command(self.stage_plan.next_to_revert(states), Version::Old, ChangeMethod::HandOver)
    }

    /// Persists that the node may be changed before the command is sent, so that a controller that continues
    /// from the record knows of the change.
    fn persist_change(&mut self, node: usize, version: Version, actions: &mut impl ControllerActions) {
        if version == Version::New && !self.record.changed_nodes.contains(&node) {
            self.record.changed_nodes.push(node);
            actions.persist(&self.record);
        }
    }

    pub(super) fn send_command(
        &mut self,
        node: usize,
        version: Version,
        method: ChangeMethod,
        actions: &mut impl ControllerActions,
    ) {
        self.next_command += 1;
        let token = FencingToken { controller: self.record.controller, command: self.next_command };
        let command = Command { token, version, method };
        self.nodes[node].command_sent(command, self.record.change_number(node));
        actions.send_command(node, command);
    }
}

fn command(node: Option<usize>, version: Version, method: ChangeMethod) -> Step {
    node.map_or(Step::Wait, |node| Step::Command { node, version, method })
}
