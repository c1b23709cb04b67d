//! Decides, for a supervisor, what is done with the requests of a rollout, and when an unconfirmed change is reverted. It starts
//! and ends nothing itself: that is the supervisor's.

use super::counter_report::CountersByMethod;
use super::fingerprint::{verify_content, ContentError};
use super::serving_child::{ChildIdentity, ChildSpec, ServingChild};
use ochrewalk_rollout::messages::{CommandMessage, NodeStatus, Reply, Request, Target, PROTOCOL_VERSION};
use ochrewalk_rollout::{
    Admission, CommitConfirm, ControllerNumber, Fence, FencingToken, Outcome, RevertAction,
};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Whether a child is being replaced, by whomever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replacement {
    /// None is.
    Idle,
    /// One is: no command may begin another.
    InProgress,
}

/// What the supervisor is to do with a request.
pub enum AgentAction {
    /// To send this reply.
    Reply(Reply),
    /// To replace the child that serves, and to call [`RolloutAgent::command_finished`] with what came of it.
    ReplaceChild(ChildSpec, AcceptedCommand),
}

/// A command that is being carried out.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedCommand {
    token: FencingToken,
    /// How long the change stays unconfirmed; 0 for good.
    lease_us: u64,
    /// Whether the child that serves has to end before the next one is started, in place of a hand-over.
    pub restart: bool,
}

/// What has to run again, as a change was not confirmed in time, and how it comes to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DueRevert {
    /// The child that serves hands over to one of this kind.
    HandOver(ChildSpec),
    /// The child that serves is ended, and one of this kind is started.
    Restart(ChildSpec),
}

/// What a supervisor remembers of rollouts. It starts with nothing: a supervisor that was restarted has forgotten the tokens.
pub struct RolloutAgent {
    fence: Fence,
    commit_confirm: CommitConfirm,
    /// What ran before the unconfirmed change.
    revert_to: Option<ChildIdentity>,
    started_at: Instant,
    incarnation: u64,
    /// Counters of the children that served before the one that does.
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

    /// Decides what is done with a request of the socket's owner. While a child is being replaced no command is
    /// begun, and the status is unhealthy.
    pub fn handle_request(
        &mut self,
        request: &Request,
        serving: Option<&ServingChild>,
        replacement: Replacement,
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
            (None, Some(serving)) => AgentAction::Reply(Reply::Status(self.status(serving, replacement))),
            (None, None) => AgentAction::Reply(Reply::Rejected("no program serves".into())),
            (Some(command), serving) => self.handle_command(command, serving, replacement),
        }
    }

    fn handle_command(
        &mut self,
        command: &CommandMessage,
        serving: Option<&ServingChild>,
        replacement: Replacement,
    ) -> AgentAction {
        let token = command.token();
        if replacement == Replacement::InProgress && token > self.fence.highest() {
            return AgentAction::Reply(Reply::Busy("another upgrade is under way".into()));
        }
        let reply = match self.fence.admit(token) {
            Admission::Execute => return self.execute(command, serving),
            Admission::Stale(highest) => Reply::Stale(highest.into()),
            Admission::Repeated(outcome) => Reply::Finished(outcome.into()),
            Admission::InProgress => Reply::Busy("it is being carried out".into()),
        };
        AgentAction::Reply(reply)
    }

    /// Carries out a command that was admitted, as far as that can be done without the supervisor.
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
        // What runs already stays, for good or under the same lease.
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

    /// A command has been carried out, or could not be: the reply to it. `previous` is what ran until then, where the child was
    /// replaced.
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
            // What ran before the first unconfirmed change is what a revert goes back to.
            self.revert_to = self.revert_to.take().or(previous);
            self.commit_confirm.start(self.now_us(), lease_us);
        }
        // Else the child runs what was asked for, and for good already: it is not made unconfirmed by being asked for again.
    }

    /// What runs now stays for good.
    pub fn confirm(&mut self) {
        self.commit_confirm.confirm();
        self.revert_to = None;
    }

    /// What an unconfirmed change needs now. A revert that is due is under way from then on, until [`RolloutAgent::revert_succeeded`]
    /// or [`RolloutAgent::revert_failed`].
    pub fn due_revert(&mut self) -> Option<DueRevert> {
        let action = self.commit_confirm.next_action(self.now_us());
        let ChildIdentity { spec, fingerprint } = self.revert_to.clone()?;
        match action {
            RevertAction::None => None,
            RevertAction::HandOver => Some(DueRevert::HandOver(spec)),
            // The unconfirmed child still serves: it is not ended where what ran before is not there any more.
            RevertAction::Restart if verify_content(&spec.program, fingerprint).is_err() => {
                self.revert_failed();
                None
            }
            RevertAction::Restart => Some(DueRevert::Restart(spec)),
        }
    }

    /// What was due is done: the node runs again what it ran before the change.
    pub fn revert_succeeded(&mut self) {
        self.commit_confirm.revert_succeeded();
        self.revert_to = None;
    }

    /// What was due failed, or could not be begun.
    pub fn revert_failed(&mut self) {
        self.commit_confirm.revert_failed(self.now_us());
    }

    /// For how long nothing is due; none where nothing will be until the next request.
    pub fn time_to_next_action(&self) -> Option<Duration> {
        let next_us = self.commit_confirm.next_us()?;
        Some(Duration::from_micros(next_us.saturating_sub(self.now_us())))
    }

    /// The child that served is followed by another, whose counters begin at nothing.
    pub fn child_replaced(&mut self, previous: &ServingChild) {
        if let Some(counters) = previous.counters_by_method() {
            self.previous_counters.add(counters);
        }
    }

    fn status(&self, serving: &ServingChild, replacement: Replacement) -> NodeStatus {
        NodeStatus {
            fingerprint: serving.fingerprint,
            path: serving.spec.program.display().to_string(),
            highest: Some(self.fence.highest().into()),
            is_healthy: serving.is_healthy() && replacement == Replacement::Idle,
            incarnation: self.incarnation,
            counters: serving.counters_on_top_of(&self.previous_counters),
            is_unconfirmed: self.commit_confirm.is_pending(),
        }
    }
}

/// What runs the target beside what the node has. Both the target and the program have to be what they were when the plan was made,
/// and when the program was started.
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
