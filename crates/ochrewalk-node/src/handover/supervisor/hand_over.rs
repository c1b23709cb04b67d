//! Attempts to replace the child that serves by a hand-over.

use super::error::UpgradeFailure;
use super::requester::Requester;
use super::signals::ChildSignal;
use super::Supervisor;
use crate::handover::process_guard::ChildId;
use crate::handover::serving_child::ChildSpec;
use crate::handover::supervisor_protocol::{AttemptOutcome, SupervisorLine};
use std::io::ErrorKind;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;

/// An attempt that failed, and whose requester hears of it once the successor has ended.
pub(super) struct FailedAttempt {
    successor: ChildId,
    requester: Requester,
    failure: UpgradeFailure,
}

impl Supervisor {
    /// The child that could be replaced now; none while another upgrade is under way.
    pub(super) fn available_predecessor(&self) -> Option<ChildId> {
        self.process_guard.available_predecessor().filter(|_| self.pending_restart.is_none())
    }

    /// Starts a successor, and has the predecessor hand over to it.
    pub(super) fn begin_hand_over(
        &mut self,
        predecessor: ChildId,
        spec: &ChildSpec,
        requester: Requester,
    ) -> std::io::Result<()> {
        let (predecessors_end, successors_end) = UnixStream::pair()?;
        let successor = self.children.start(spec, Some(&successors_end))?;
        // From here on only the two of them hold an end, so that each sees the stream's end once the other has ended.
        drop(successors_end);
        self.process_guard.begin_attempt(predecessor, successor);
        self.requester = Some(requester);
        let predecessor = self.children.get(predecessor).ok_or(ErrorKind::NotFound)?;
        predecessor.send(SupervisorLine::HandOver, Some(predecessors_end.as_fd()))
    }

    /// An attempt has ended. A successor that has not taken over is killed, as it may hang; an operator hears of the
    /// failure once it has ended.
    pub(super) fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        let replaced = self.children.get(self.reported_child).map(|child| child.serving.identity());
        let outcome = match outcome {
            AttemptOutcome::HandedOver => Ok(()),
            AttemptOutcome::Failed(reason) => Err(UpgradeFailure::HandOver { reason }),
        };
        let unreported = match (self.requester.take(), outcome) {
            (Some(requester @ Requester::Operator(_)), Err(failure)) => Some((requester, failure)),
            (Some(requester), outcome) => {
                self.report_outcome(requester, replaced, outcome);
                None
            }
            (None, _) => None,
        };
        self.report_counters_of_acting();
        let left = self.process_guard.end_attempt();
        match (left.filter(|successor| self.children.get(*successor).is_some()), unreported) {
            (Some(successor), unreported) => {
                self.children.signal(successor, ChildSignal::Kill);
                let failed = |(requester, failure)| FailedAttempt { successor, requester, failure };
                self.failed_attempts.extend(unreported.map(failed));
            }
            (None, Some((requester, failure))) => self.report_outcome(requester, None, Err(failure)),
            (None, None) => {}
        }
    }

    /// A successor has ended: the failure of its attempt is reported.
    pub(super) fn report_failed_attempts_of(&mut self, child: ChildId) {
        while let Some(at) = self.failed_attempts.iter().position(|failed| failed.successor == child) {
            let FailedAttempt { requester, failure, .. } = self.failed_attempts.swap_remove(at);
            self.report_outcome(requester, None, Err(failure));
        }
    }

    /// A child has ended. Where it was the predecessor of an attempt, the successor takes over by itself; that a
    /// successor has ended is reported by the predecessor.
    pub(super) fn predecessor_may_have_ended(&mut self, child: ChildId) {
        if self.process_guard.is_predecessor(child) {
            let reason = "the running program ended in the middle; the new one takes over";
            self.attempt_ended(AttemptOutcome::Failed(reason.into()));
        }
    }

    /// From here on the counters of the child that acts are reported, on top of what the child before has counted.
    pub(super) fn report_counters_of_acting(&mut self) {
        let acting = self.process_guard.acting().filter(|acting| *acting != self.reported_child);
        let Some(acting) = acting else { return };
        if let Some(before) = self.children.get(self.reported_child) {
            self.rollout_agent.child_replaced(&before.serving);
        }
        self.reported_child = acting;
    }
}
