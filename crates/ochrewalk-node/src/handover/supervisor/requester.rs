//! Reports the outcome of an upgrade to its requester.

use super::error::UpgradeFailure;
use super::Supervisor;
use crate::handover::rollout_agent::AcceptedCommand;
use crate::handover::rollout_socket;
use crate::handover::serving_child::ChildIdentity;
use crate::handover::supervisor_protocol::AttemptOutcome;
use ochrewalk_rollout::Outcome;
use std::io::Write;
use std::os::unix::net::UnixStream;

/// The requester of an upgrade, which waits for the outcome.
pub(super) enum Requester {
    /// An operator, on a connection to the control socket.
    Operator(UnixStream),
    /// A rollout, on a connection to the control socket.
    Rollout(UnixStream, AcceptedCommand),
    /// The supervisor itself, as a commit-confirmed change was not confirmed in time.
    Revert,
}

impl Supervisor {
    /// Reports the outcome of an upgrade. `replaced` is the identity of the child that served before.
    pub(super) fn report_outcome(
        &mut self,
        requester: Requester,
        replaced: Option<ChildIdentity>,
        outcome: Result<(), UpgradeFailure>,
    ) {
        match (requester, outcome) {
            (Requester::Operator(mut stream), Ok(())) => {
                // An operator's upgrade needs no confirmation, and confirms a change of a rollout, too.
                self.rollout_agent.confirm();
                let _ = writeln!(stream, "{}", AttemptOutcome::HandedOver);
            }
            (Requester::Operator(mut stream), Err(failure)) => {
                let _ = writeln!(stream, "{failure}");
            }
            (Requester::Rollout(mut stream, accepted), outcome) => {
                let outcome = match outcome {
                    Ok(()) => Outcome::Done,
                    Err(failure) => Outcome::Failed(failure.to_string()),
                };
                let reply = self.rollout_agent.command_finished(accepted, replaced, outcome);
                rollout_socket::send_reply(&mut stream, reply);
            }
            (Requester::Revert, Ok(())) => self.rollout_agent.revert_succeeded(),
            (Requester::Revert, Err(_)) => self.rollout_agent.revert_failed(),
        }
    }
}
