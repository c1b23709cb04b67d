//! Restarts: the child that serves ends, then another is started in its place, as it cannot hand over.

use super::error::UpgradeFailure;
use super::requester::Requester;
use super::signals::{ChildSignal, NodeSignal};
use super::{Event, Supervisor};
use crate::handover::process_guard::ChildId;
use crate::handover::serving_child::{ChildIdentity, ChildSpec};
use std::io::ErrorKind;

/// A restart that waits for the child before to end.
pub(super) struct PendingRestart {
    spec: ChildSpec,
    replaced: ChildIdentity,
    requester: Requester,
}

impl Supervisor {
    /// Has the child that serves drain; the next one is started once it has ended.
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
        // Guards against a child that does not act on signals either.
        let (events, drain_timeout) = (self.events.clone(), self.drain_timeout);
        std::thread::spawn(move || {
            std::thread::sleep(drain_timeout);
            let _ = events.send(Event::DrainOverdue(child));
        });
        Ok(())
    }

    /// The child before has ended: the next one is started.
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

    /// The node drains: nothing is started in the place of the child that ends.
    pub(super) fn cancel_restart(&mut self) {
        if let Some(PendingRestart { replaced, requester, .. }) = self.pending_restart.take() {
            self.report_outcome(requester, Some(replaced), Err(UpgradeFailure::Draining));
        }
    }
}
