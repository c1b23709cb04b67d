//! The record of one subscriber of a server: the resources that it wants, the state that it has, and the progress of the
//! current update.

use std::collections::BTreeSet;

use crate::interest::Interest;
use crate::messages::{Position, ResourceName};
use crate::pacing::Pacer;
use crate::store::Store;
use crate::update_builder::UpdateProgress;

/// The current activity of a subscriber.
#[derive(Clone, Debug)]
pub(super) enum Activity {
    /// The subscriber has reported on everything that it was sent.
    Ready,
    Receiving(UpdateProgress),
    /// The subscriber was sent a complete update and has not reported on it.
    Applying {
        position: Position,
        answers: BTreeSet<ResourceName>,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    pub(super) node: String,
    pub(super) interest: Interest,
    pub(super) pacer: Pacer,
    pub(super) applied: Option<Position>,
    pub(super) rejected: Option<Position>,
    /// The watched names that the next update has to answer.
    pub(super) requested: BTreeSet<ResourceName>,
    /// The number of watches that the server has processed.
    pub(super) watches: u64,
    pub(super) activity: Activity,
}

impl Subscriber {
    pub(super) fn needs_update(&self, store: &Store) -> bool {
        let head = store.position();
        let is_rejected = self.rejected.is_some_and(|rejected| head <= rejected);
        // A relay may be behind the state that the subscriber has from another relay, or have no state yet.
        let is_behind = head.epoch == 0 || self.applied.is_some_and(|applied| applied > head);
        let is_current = self.applied == Some(head) && self.requested.is_empty();
        !is_rejected && !is_behind && !is_current
    }

    pub(super) fn finish_receiving(&mut self, position: Position) {
        let answers = match &mut self.activity {
            Activity::Receiving(progress) => progress.take_answers(),
            _ => BTreeSet::new(),
        };
        self.activity = Activity::Applying { position, answers };
    }

    /// Records that the subscriber applied the update that was sent last, if that update leads to `in_force`. Returns
    /// whether it does.
    pub(super) fn finish_applying(&mut self, in_force: Position) -> bool {
        let is_awaited =
            matches!(&self.activity, Activity::Applying { position, .. } if *position == in_force);
        if is_awaited {
            self.applied = Some(in_force);
            self.rejected = None;
            self.activity = Activity::Ready;
        }
        is_awaited
    }

    /// Records that the subscriber rejected the update of `position` and stays at `in_force`. The server sends no update
    /// until a position later than `position` exists.
    pub(super) fn reject(&mut self, position: Position, in_force: Option<Position>) {
        self.applied = in_force;
        self.rejected = self.rejected.max(Some(position));
        match std::mem::replace(&mut self.activity, Activity::Ready) {
            Activity::Ready => {}
            Activity::Receiving(mut progress) => self.requested.extend(progress.take_answers()),
            Activity::Applying { answers, .. } => self.requested.extend(answers),
        }
    }
}
