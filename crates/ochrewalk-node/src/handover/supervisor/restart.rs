//! Replaces the child that serves by a restart, where it cannot hand over: the child ends before the next one is started.

use super::error::UpgradeFailure;
use super::requester::Requester;
use super::signals::ChildSignal;
use super::{Event, Supervisor};
use crate::handover::process_guard::ChildId;
use crate::handover::serving_child::{ChildIdentity, ChildSpec};
use crate::signals::NodeSignal;
use std::io::ErrorKind;

/// A restart that waits for the previous child to end.
pub(super) struct PendingRestart {
    spec: ChildSpec,
    replaced: ChildIdentity,
    requester: Requester,
}

impl Supervisor {
    /// Begins a restart: signals the child that serves to drain. The next child is started once that child has ended.
    pub(super) fn begin_restart(
        &mut self,
        child: ChildId,
        spec: ChildSpec,
        requester: Requester,
    ) -> std::io::Result<()> {
        let running = self.children.get(child).ok_or(ErrorKind::NotFound)?;
        let replaced = running.serving.identity();
        self.children.signal(child, ChildSignal::Node(NodeSignal::Terminate));
        self.pending_restart = Some(PendingRestart { spec, replaced, requester });
        // Guards against a child that does not respond to signals, as it may hang.
        let (events, drain_timeout) = (self.events.clone(), self.drain_timeout);
        std::thread::spawn(move || {
            std::thread::sleep(drain_timeout);
            let _ = events.send(Event::DrainOverdue(child));
        });
        Ok(())
    }

    /// Starts the next child, after the previous one has ended.
    pub(super) fn finish_restart(&mut self, restart: PendingRestart) {
        let PendingRestart { spec, replaced, requester } = restart;
        let outcome = match self.children.start(&spec, None) {
            Ok(child) => {
                self.process_guard.started_alone(child);
                self.report_counters_of_acting();
                Ok(())
            }
            Err(error) => Err(UpgradeFailure::Start { program: spec.program, error }),
        };
        self.report_outcome(requester, Some(replaced), outcome);
    }

    /// Cancels a pending restart as the node drains: no child is started in place of the one that ends.
    pub(super) fn cancel_restart(&mut self) {
        if let Some(PendingRestart { replaced, requester, .. }) = self.pending_restart.take() {
            self.report_outcome(requester, Some(replaced), Err(UpgradeFailure::Draining));
        }
    }
}
