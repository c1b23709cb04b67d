//! Handles requests of rollouts, and reverts commit-confirmed changes that were not confirmed in time.

use super::requester::Requester;
use super::Supervisor;
use crate::handover::rollout_agent::{AcceptedCommand, AgentAction, DueRevert};
use crate::handover::rollout_socket;
use crate::handover::serving_child::ChildSpec;
use ochrewalk_rollout::messages::Request;
use ochrewalk_rollout::Outcome;
use std::io::ErrorKind;
use std::os::unix::net::UnixStream;

impl Supervisor {
    /// Handles the request of a rollout on a connection to the control socket.
    pub(super) fn handle_rollout_request(&mut self, mut stream: UnixStream, request: &Request) {
        if self.children.get(self.reported_child).is_none() {
            self.report_counters_of_acting();
        }
        let serving = self.children.get(self.reported_child).map(|child| &child.serving);
        let replaceable = self.available_predecessor().map(|_| ());
        match self.rollout_agent.handle_request(request, serving, replaceable) {
            AgentAction::Reply(reply) => rollout_socket::send_reply(&mut stream, reply),
            AgentAction::ReplaceChild(spec, accepted) => self.replace_child(stream, spec, accepted),
        }
    }

    /// Carries out a command to replace the child that serves. The reply is sent once the replacement has ended.
    fn replace_child(&mut self, mut stream: UnixStream, spec: ChildSpec, accepted: AcceptedCommand) {
        let program = spec.program.clone();
        let begun = match (self.available_predecessor(), stream.try_clone()) {
            (Ok(child), Ok(connection)) if accepted.restart => {
                self.begin_restart(child, spec, Requester::Rollout(connection, accepted))
            }
            (Ok(child), Ok(connection)) => {
                self.begin_hand_over(child, &spec, Requester::Rollout(connection, accepted))
            }
            _ => Err(ErrorKind::ResourceBusy.into()),
        };
        if let Err(error) = begun {
            let outcome = Outcome::Failed(format!("{}: {error}", program.display()));
            let reply = self.rollout_agent.command_finished(accepted, None, outcome);
            rollout_socket::send_reply(&mut stream, reply);
        }
    }

    /// Reverts a change that its controller has not confirmed in time.
    pub(super) fn revert_if_due(&mut self) {
        let Some(revert) = self.rollout_agent.due_revert() else { return };
        let begun = match (self.available_predecessor(), revert) {
            (Ok(child), DueRevert::Restart(spec)) => self.begin_restart(child, spec, Requester::Revert),
            (Ok(child), DueRevert::HandOver(spec)) => self.begin_hand_over(child, &spec, Requester::Revert),
            (Err(_), _) => Err(ErrorKind::ResourceBusy.into()),
        };
        if begun.is_err() {
            self.rollout_agent.revert_failed();
        }
    }
}
