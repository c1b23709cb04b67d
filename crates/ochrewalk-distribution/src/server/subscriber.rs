//! One subscriber of a server: what it wants, what it has, and how far the update under way has got.

use std::collections::BTreeSet;

use crate::interest::Interest;
use crate::messages::{Position, ResourceName};
use crate::pacing::Pacer;
use crate::store::Store;
use crate::update_builder::UpdateProgress;

/// What a subscriber is doing.
#[derive(Clone, Debug)]
pub(super) enum Activity {
    /// It has what it was sent.
    Ready,
    Receiving(UpdateProgress),
    /// It was sent a complete update and has not reported on it.
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
    /// Watched names that the next update is to answer.
    pub(super) requested: BTreeSet<ResourceName>,
    /// How many watches were taken over.
    pub(super) watches: u64,
    pub(super) activity: Activity,
}

impl Subscriber {
    pub(super) fn lacks_something(&self, store: &Store) -> bool {
        let head = store.position();
        let is_rejected = self.rejected.is_some_and(|rejected| head <= rejected);
        // A relay may be behind what the subscriber has from another one, or have no state yet.
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

    /// Whether the update that was sent is the one in force now.
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

    /// The subscriber keeps what is `in_force`. It is sent nothing until there is something later than `position`.
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
