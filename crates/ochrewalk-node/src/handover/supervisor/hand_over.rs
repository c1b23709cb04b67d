//! Replaces the child that serves by a hand-over to a successor.

use super::error::{NotReplaceable, UpgradeFailure};
use super::requester::Requester;
use super::signals::ChildSignal;
use super::Supervisor;
use crate::handover::process_guard::ChildId;
use crate::handover::serving_child::ChildSpec;
use crate::handover::supervisor_protocol::{AttemptOutcome, SupervisorLine};
use std::io::ErrorKind;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;

/// A failed attempt that is reported to its requester once the successor has ended.
pub(super) struct FailedAttempt {
    successor: ChildId,
    requester: Requester,
    failure: UpgradeFailure,
}

impl Supervisor {
    /// Returns the child that can be replaced now.
    ///
    /// # Errors
    ///
    /// The node drains, or another upgrade is under way.
    pub(super) fn available_predecessor(&self) -> Result<ChildId, NotReplaceable> {
        if self.is_draining {
            return Err(NotReplaceable::Draining);
        }
        let predecessor = self.process_guard.available_predecessor();
        predecessor.filter(|_| self.pending_restart.is_none()).ok_or(NotReplaceable::InProgress)
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
        // From here on only the two children have an end open, so that each sees the end of the stream once the other has
        // ended.
        drop(successors_end);
        self.process_guard.begin_attempt(predecessor, successor);
        self.requester = Some(requester);
        let predecessor = self.children.get(predecessor).ok_or(ErrorKind::NotFound)?;
        predecessor.send(SupervisorLine::HandOver, Some(predecessors_end.as_fd()))
    }

    /// Handles the end of an attempt. A successor that has not taken over is killed, as it may hang; the failure is reported
    /// to an operator once the successor has ended.
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
        let remaining = self.process_guard.end_attempt();
        match (remaining.filter(|successor| self.children.get(*successor).is_some()), unreported) {
            (Some(successor), unreported) => {
                self.children.signal(successor, ChildSignal::Kill);
                let failed = |(requester, failure)| FailedAttempt { successor, requester, failure };
                self.failed_attempts.extend(unreported.map(failed));
            }
            (None, Some((requester, failure))) => self.report_outcome(requester, None, Err(failure)),
            (None, None) => {}
        }
    }

    /// Reports the failed attempts whose successor was this child, which has ended.
    pub(super) fn report_failed_attempts_of(&mut self, child: ChildId) {
        while let Some(index) = self.failed_attempts.iter().position(|failed| failed.successor == child) {
            let FailedAttempt { requester, failure, .. } = self.failed_attempts.swap_remove(index);
            self.report_outcome(requester, None, Err(failure));
        }
    }

    /// Ends the attempt whose predecessor was this child, which has ended; the successor then starts by itself.
    /// The end of a successor is reported by its predecessor.
    pub(super) fn predecessor_may_have_ended(&mut self, child: ChildId) {
        if self.process_guard.is_predecessor(child) {
            let reason = "the running program ended during the hand-over; the new one takes over";
            self.attempt_ended(AttemptOutcome::Failed(reason.into()));
        }
    }

    /// Reports the counters of the child that acts from here on, added to those of the previous child.
    pub(super) fn report_counters_of_acting(&mut self) {
        let acting = self.process_guard.acting().filter(|acting| *acting != self.reported_child);
        let Some(acting) = acting else { return };
        if let Some(previous) = self.children.get(self.reported_child) {
            self.rollout_agent.child_replaced(&previous.serving);
        }
        self.reported_child = acting;
    }
}
