//! Decides, for a supervisor, how the requests of a rollout are handled, and when an unconfirmed change is reverted. The
//! supervisor starts and ends the processes.

use super::counter_report::CountersByMethod;
use super::fingerprint::{verify_content, ContentError};
use super::serving_child::{ChildIdentity, ChildSpec, ServingChild};
use super::supervisor::NotReplaceable;
use ochrewalk_rollout::messages::{CommandMessage, NodeStatus, Reply, Request, Target, PROTOCOL_VERSION};
use ochrewalk_rollout::{
    Admission, CommitConfirm, ControllerNumber, Fence, FencingToken, Outcome, RevertAction,
};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The supervisor's response to a request.
pub enum AgentAction {
    /// Sends this reply.
    Reply(Reply),
    /// Replaces the child that serves, and then calls [`RolloutAgent::command_finished`] with the outcome.
    ReplaceChild(ChildSpec, AcceptedCommand),
}

/// A command that is being carried out.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedCommand {
    token: FencingToken,
    /// The time after which an unconfirmed change is reverted; 0 for a change that needs no confirmation.
    lease_us: u64,
    /// Whether the child is replaced by a restart rather than by a hand-over.
    pub restart: bool,
}

/// A revert that is due as a change was not confirmed in time: the child to start, and the method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DueRevert {
    /// The child that serves hands over to a child with this specification.
    HandOver(ChildSpec),
    /// The child that serves is ended, and a child with this specification is started.
    Restart(ChildSpec),
}

/// The rollout state of a supervisor. The state is not persisted: a supervisor that was restarted has forgotten the fencing
/// tokens.
pub struct RolloutAgent {
    fence: Fence,
    commit_confirm: CommitConfirm,
    /// The program and settings that ran before the unconfirmed change.
    revert_to: Option<ChildIdentity>,
    started_at: Instant,
    incarnation: u64,
    /// The counters of all children that served before the present one.
    previous_counters: CountersByMethod,
}

impl Default for RolloutAgent {
    fn default() -> RolloutAgent {
        RolloutAgent {
            fence: Fence::default(),
            commit_confirm: CommitConfirm::default(),
            revert_to: None,
            started_at: Instant::now(),
            incarnation: fastrand::u64(1..),
            previous_counters: CountersByMethod::default(),
        }
    }
}

impl RolloutAgent {
    fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Decides how a request of the socket's owner is handled. `replaceable` states whether the child that serves can be
    /// replaced now. Otherwise no command is begun, and the status is unhealthy.
    pub fn handle_request(
        &mut self,
        request: &Request,
        serving: Option<&ServingChild>,
        replaceable: Result<(), NotReplaceable>,
    ) -> AgentAction {
        if request.protocol_version != PROTOCOL_VERSION {
            let reason = format!("messages of version {PROTOCOL_VERSION} are known here");
            return AgentAction::Reply(Reply::Rejected(reason));
        }
        let controller = ControllerNumber(request.controller);
        self.fence.observe_controller(controller);
        let highest = self.fence.highest().controller;
        self.commit_confirm.renew(self.now_us(), controller, highest);
        match (&request.command, serving) {
            (None, Some(serving)) => {
                AgentAction::Reply(Reply::Status(self.status(serving, replaceable.is_ok())))
            }
            (None, None) => AgentAction::Reply(Reply::Rejected("no program serves".into())),
            (Some(command), serving) => self.handle_command(command, serving, replaceable),
        }
    }

    fn handle_command(
        &mut self,
        command: &CommandMessage,
        serving: Option<&ServingChild>,
        replaceable: Result<(), NotReplaceable>,
    ) -> AgentAction {
        let token = command.token();
        if let Some(reason) = replaceable.err().filter(|_| token > self.fence.highest()) {
            return AgentAction::Reply(Reply::Busy(reason.to_string()));
        }
        let reply = match self.fence.admit(token) {
            Admission::Execute => return self.execute(command, serving),
            Admission::Stale(highest) => Reply::Stale(highest.into()),
            Admission::Repeated(outcome) => Reply::Finished(outcome.into()),
            Admission::InProgress => Reply::Busy("it is being carried out".into()),
        };
        AgentAction::Reply(reply)
    }

    /// Carries out an admitted command, as far as that is possible without the supervisor.
    fn execute(&mut self, command: &CommandMessage, serving: Option<&ServingChild>) -> AgentAction {
        let accepted = AcceptedCommand {
            token: command.token(),
            lease_us: command.lease_ms * 1_000,
            restart: command.restart,
        };
        let (Some(target), Some(serving)) = (&command.target, serving) else {
            let reason = "nothing is wanted, or no program serves";
            return AgentAction::Reply(self.command_finished(accepted, None, Outcome::Failed(reason.into())));
        };
        // A target that runs already is not replaced; the lease of the command applies to it.
        if serving.runs(target) {
            return AgentAction::Reply(self.command_finished(accepted, None, Outcome::Done));
        }
        match next_child(target, serving) {
            Ok(spec) => AgentAction::ReplaceChild(spec, accepted),
            Err(error) => {
                let outcome = Outcome::Failed(error.to_string());
                AgentAction::Reply(self.command_finished(accepted, None, outcome))
            }
        }
    }

    /// Records the outcome of a command, and returns the reply to it. `previous` is the identity of the replaced child, where
    /// the child was replaced.
    pub fn command_finished(
        &mut self,
        accepted: AcceptedCommand,
        previous: Option<ChildIdentity>,
        outcome: Outcome,
    ) -> Reply {
        if outcome == Outcome::Done {
            self.change_done(accepted.lease_us, previous);
        }
        self.fence.command_finished(accepted.token, outcome.clone());
        Reply::Finished(outcome.into())
    }

    fn change_done(&mut self, lease_us: u64, previous: Option<ChildIdentity>) {
        if lease_us == 0 {
            self.confirm();
        } else if previous.is_some() || self.commit_confirm.is_pending() {
            // A revert restores the program and settings from before the first unconfirmed change.
            self.revert_to = self.revert_to.take().or(previous);
            self.commit_confirm.start(self.now_us(), lease_us);
        }
        // Otherwise the child runs the target already, and confirmed: a repeated command does not make it unconfirmed.
    }

    /// Confirms the program and settings that run now: they are not reverted any more.
    pub fn confirm(&mut self) {
        self.commit_confirm.confirm();
        self.revert_to = None;
    }

    /// Returns the revert that is due now, if any. The revert counts as under way until [`RolloutAgent::revert_succeeded`] or
    /// [`RolloutAgent::revert_failed`] is called.
    pub fn due_revert(&mut self) -> Option<DueRevert> {
        let action = self.commit_confirm.next_action(self.now_us());
        let ChildIdentity { spec, fingerprint } = self.revert_to.clone()?;
        match action {
            RevertAction::None => None,
            RevertAction::HandOver => Some(DueRevert::HandOver(spec)),
            // The unconfirmed child still serves, and is not ended where the previous program is no longer available.
            RevertAction::Restart if verify_content(&spec.program, fingerprint).is_err() => {
                self.revert_failed();
                None
            }
            RevertAction::Restart => Some(DueRevert::Restart(spec)),
        }
    }

    /// Records that the revert succeeded: the node runs the program and settings from before the change.
    pub fn revert_succeeded(&mut self) {
        self.commit_confirm.revert_succeeded();
        self.revert_to = None;
    }

    /// Records that the revert failed, or could not be begun.
    pub fn revert_failed(&mut self) {
        self.commit_confirm.revert_failed(self.now_us());
    }

    /// Returns the time until the next action is due; none where no action is due before the next request.
    pub fn time_to_next_action(&self) -> Option<Duration> {
        let next_us = self.commit_confirm.next_us()?;
        Some(Duration::from_micros(next_us.saturating_sub(self.now_us())))
    }

    /// Retains the counters of a child that was replaced, as those of its successor begin at zero.
    pub fn child_replaced(&mut self, previous: &ServingChild) {
        if let Some(counters) = previous.counters_by_method() {
            self.previous_counters.add(counters);
        }
    }

    fn status(&self, serving: &ServingChild, is_replaceable: bool) -> NodeStatus {
        NodeStatus {
            fingerprint: serving.fingerprint,
            path: serving.spec.program.display().to_string(),
            highest: Some(self.fence.highest().into()),
            is_healthy: serving.is_healthy() && is_replaceable,
            incarnation: self.incarnation,
            counters: serving.counters_on_top_of(&self.previous_counters),
            is_unconfirmed: self.commit_confirm.is_pending(),
        }
    }
}

/// Returns the specification of a child that runs the target, together with the present program or settings. The target must
/// have the fingerprint from the plan, and a program that is started again must have the one of the running process.
fn next_child(target: &Target, serving: &ServingChild) -> Result<ChildSpec, ContentError> {
    let path = PathBuf::from(&target.path);
    verify_content(&path, target.fingerprint)?;
    if !target.is_settings {
        return Ok(ChildSpec { program: path, operators: serving.spec.operators.clone() });
    }
    let program: &Path = &serving.spec.program;
    verify_content(program, serving.fingerprint)?;
    Ok(ChildSpec { program: program.into(), operators: Some(path) })
}
