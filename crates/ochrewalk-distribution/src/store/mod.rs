//! The versioned state: the newest change of each name, the order of all changes, and the positions from which
//! differences are complete. Publishers, relays and nodes use the same store.

mod batch;
mod index;

use std::collections::BTreeSet;
use std::ops::Bound;
use std::sync::Arc;

use crate::epochs::EpochHistory;
use crate::interest::Interest;
use crate::messages::{Position, Resource, ResourceKind, ResourceName};
use crate::subscription::CompleteUpdate;
use crate::validation::{change_problems, ChangeProblem, PublishError, RefusalReason};
use crate::validation::{MAX_BATCH_CHANGES, MAX_REASONS};

pub use batch::{ApplyError, Batch, ChangeOrder};
use index::ResourceIndex;

/// The bounds of a [`Store`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreLimits {
    /// The most tombstones. A subscriber that lacks a deletion whose tombstone was dropped is sent a snapshot.
    pub tombstones: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self { tombstones: 20_000 }
    }
}

/// The kind of update that a subscriber needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The newest changes after a revision to the resources that the subscriber wants.
    Differences {
        /// The revision after which changes are sent.
        after: u64,
    },
    /// All resources that the subscriber wants.
    Snapshot,
}

/// The newest value of each name, and the positions from which differences are complete.
#[derive(Clone, Debug)]
pub struct Store {
    limits: StoreLimits,
    epochs: EpochHistory,
    highest_epoch: u64,
    revision: u64,
    /// The revision from which differences are complete; tombstones before it may have been dropped.
    horizon: u64,
    index: ResourceIndex,
}

impl Store {
    /// Creates an empty store. A relay or node without state begins at epoch 0, a publisher at 1 or above.
    pub fn new(epoch: u64, limits: StoreLimits) -> Self {
        Self {
            limits,
            epochs: EpochHistory::new(epoch),
            highest_epoch: epoch,
            revision: 0,
            horizon: 0,
            index: ResourceIndex::default(),
        }
    }

    /// Returns the position of the last change.
    pub fn position(&self) -> Position {
        Position { epoch: self.epochs.current(), revision: self.revision }
    }

    /// Returns the highest epoch observed, whether that of this store or of a peer.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Whether another publisher has taken over, so that this store accepts no changes.
    pub fn is_fenced(&self) -> bool {
        self.highest_epoch > self.epochs.current()
    }

    /// Returns the oldest revision from which differences are complete.
    pub fn horizon(&self) -> u64 {
        self.horizon
    }

    /// Returns the resource of `name` unless it does not exist or is deleted.
    pub fn get(&self, name: &ResourceName) -> Option<&Resource> {
        self.newest(name).map(Arc::as_ref).filter(|resource| resource.value.is_some())
    }

    /// Returns the newest change of `name`, which may be its deletion.
    pub fn newest(&self, name: &ResourceName) -> Option<&Arc<Resource>> {
        self.index.newest(name)
    }

    /// Returns the number of resources, without deleted ones.
    pub fn len(&self) -> usize {
        self.index.len() - self.index.tombstone_count()
    }

    /// Whether the store has no resources; deleted ones do not count.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of tombstones.
    pub fn tombstone_count(&self) -> usize {
        self.index.tombstone_count()
    }

    /// Returns all resources in the order of their names, without deleted ones.
    pub fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.index.iter()
    }

    /// Returns the resources of a kind, without deleted ones.
    pub fn of_kind(&self, kind: ResourceKind) -> impl Iterator<Item = &Resource> {
        self.index.of_kind(kind)
    }

    /// Returns the newest changes of the names from `from` on, in the order of names, deletions included.
    pub(crate) fn names_from(&self, from: Bound<&ResourceName>) -> impl Iterator<Item = &Arc<Resource>> {
        self.index.names_from(from)
    }

    /// Returns the changes after `revision`, or after `name` within it, in the order of revisions.
    pub(crate) fn changes_after(
        &self,
        revision: u64,
        name: Option<&ResourceName>,
    ) -> impl Iterator<Item = &Arc<Resource>> {
        self.index.changes_after(revision, name)
    }

    /// Returns the encoded size of all resources that `interest` matches, deletions included.
    pub(crate) fn snapshot_bytes(&self, interest: &Interest) -> u64 {
        self.index.snapshot_bytes(interest)
    }

    /// Applies `changes` together at a new revision. `expected` is the position at which the caller assumes the state to
    /// be.
    ///
    /// # Errors
    ///
    /// Returns all reasons for which the batch is refused; none of its changes is applied then.
    pub fn publish(
        &mut self,
        changes: &[Resource],
        expected: Option<Position>,
    ) -> Result<Batch, PublishError> {
        let batch = self.prepare(changes, expected)?;
        self.apply_batch(&batch);
        Ok(batch)
    }

    /// Returns the batch that `changes` would become. The state does not change until the caller passes the batch to
    /// [`replay`](Self::replay) once it is durable.
    ///
    /// # Errors
    ///
    /// Returns all reasons for which the batch is refused.
    pub fn prepare(&self, changes: &[Resource], expected: Option<Position>) -> Result<Batch, PublishError> {
        let reasons = self.refusal_reasons(changes, expected);
        if !reasons.is_empty() {
            return Err(PublishError { reasons });
        }
        let position = Position { epoch: self.epochs.current(), revision: self.revision + 1 };
        let previous =
            changes.iter().map(|change| self.get(&change.name).and_then(|entry| entry.value.clone()));
        let previous = previous.collect();
        let at_revision = |change: &Resource| Resource { revision: position.revision, ..change.clone() };
        Ok(Batch { position, resources: changes.iter().map(at_revision).collect(), previous })
    }

    /// Returns the order of all changes, to be persisted together with the resources.
    pub fn order(&self) -> ChangeOrder {
        ChangeOrder {
            revision: self.revision,
            epochs: self.epochs.starts(),
            horizon: self.horizon,
            highest_epoch: self.highest_epoch,
        }
    }

    /// Restores the persisted state: the newest change of each name, deletions included, and their order. Tombstones
    /// beyond the bound are dropped.
    pub fn restore(
        order: &ChangeOrder,
        resources: impl IntoIterator<Item = Resource>,
        limits: StoreLimits,
    ) -> Self {
        let mut store = Self::new(order.epochs.first().map_or(0, |start| start.epoch), limits);
        for start in order.epochs.iter().skip(1) {
            store.epochs.begin(start.epoch, start.after_revision);
        }
        store.revision = order.revision;
        store.horizon = order.horizon;
        store.highest_epoch = order.highest_epoch.max(store.epochs.current());
        for resource in resources {
            store.index.insert(Arc::new(resource));
        }
        store.drop_excess_tombstones();
        store
    }

    fn refusal_reasons(&self, changes: &[Resource], expected: Option<Position>) -> Vec<RefusalReason> {
        let mut reasons = Vec::new();
        let actual = self.position();
        if self.is_fenced() {
            reasons.push(RefusalReason::Fenced { own: actual.epoch, observed: self.highest_epoch });
        }
        if let Some(expected) = expected.filter(|expected| *expected != actual) {
            reasons.push(RefusalReason::UnexpectedPosition { expected, actual });
        }
        if changes.is_empty() {
            reasons.push(RefusalReason::EmptyBatch);
        }
        if changes.len() > MAX_BATCH_CHANGES {
            reasons.push(RefusalReason::TooManyChanges { changes: changes.len() });
        }
        self.check_changes(changes, &mut reasons);
        reasons
    }

    fn check_changes(&self, changes: &[Resource], reasons: &mut Vec<RefusalReason>) {
        let mut names = BTreeSet::new();
        for (index, change) in changes.iter().enumerate() {
            let mut problems = change_problems(change);
            if !names.insert(&change.name) {
                problems.push(ChangeProblem::DuplicateName);
            }
            if change.value.is_none() && self.get(&change.name).is_none() {
                problems.push(ChangeProblem::DeletesMissing);
            }
            reasons
                .extend(problems.into_iter().map(|problem| RefusalReason::InvalidChange { index, problem }));
            if reasons.len() >= MAX_REASONS {
                reasons.truncate(MAX_REASONS);
                return;
            }
        }
    }

    fn apply_batch(&mut self, batch: &Batch) {
        self.revision = batch.position.revision;
        for resource in &batch.resources {
            self.index.insert(Arc::new(resource.clone()));
        }
        self.drop_excess_tombstones();
    }

    /// Applies a recorded batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the batch does not directly follow the position of the store.
    pub fn replay(&mut self, batch: &Batch) -> Result<(), ApplyError> {
        let applied = self.position();
        let begins_epoch = batch.position.epoch > applied.epoch;
        let follows = match batch.resources.is_empty() {
            true => begins_epoch && batch.position.revision == self.revision,
            false => batch.position.epoch >= applied.epoch && batch.position.revision == self.revision + 1,
        };
        if !follows {
            return Err(ApplyError::OutOfOrder { applied, batch: batch.position });
        }
        if begins_epoch {
            self.epochs.begin(batch.position.epoch, self.revision);
            self.observe_epoch(batch.position.epoch);
        }
        self.apply_batch(batch);
        Ok(())
    }

    /// Begins an epoch above all observed ones, for a publisher that takes over. The returned batch has no changes; the
    /// caller records it before it publishes anything, so that the epoch is not reused after a restart.
    pub fn new_epoch(&mut self) -> Batch {
        let epoch = self.highest_epoch.saturating_add(1);
        self.epochs.begin(epoch, self.revision);
        self.highest_epoch = epoch;
        Batch { position: self.position(), resources: Vec::new(), previous: Vec::new() }
    }

    /// Records that a publisher of `epoch` exists. If that epoch is higher than this store's, [`publish`](Self::publish)
    /// refuses all changes from now on.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Applies a complete update atomically. Names in `absent` are removed before `resources` are added, and a snapshot
    /// replaces all resources.
    ///
    /// # Errors
    ///
    /// Returns an error if the update leads to an older position.
    pub fn apply(&mut self, update: &CompleteUpdate) -> Result<(), ApplyError> {
        let applied = self.position();
        if update.position < applied {
            return Err(ApplyError::OlderPosition { applied, update: update.position });
        }
        if update.is_snapshot {
            self.clear_for_snapshot(update);
        } else if update.position.epoch > applied.epoch {
            // The exact revision at which the epoch began is unknown here. The revision before the update is a safe lower
            // bound.
            self.epochs.begin(update.position.epoch, applied.revision);
        }
        self.observe_epoch(update.position.epoch);
        self.revision = update.position.revision;
        for name in &update.absent {
            self.forget(name);
        }
        for resource in &update.resources {
            self.index.insert(Arc::clone(resource));
        }
        self.drop_excess_tombstones();
        Ok(())
    }

    fn clear_for_snapshot(&mut self, update: &CompleteUpdate) {
        let highest_epoch = self.highest_epoch;
        *self = Self::new(update.position.epoch, self.limits);
        self.highest_epoch = highest_epoch.max(update.position.epoch);
        self.horizon = update.horizon;
    }

    /// Removes `name` without a tombstone, because it is no longer watched and its value would become stale.
    pub fn forget(&mut self, name: &ResourceName) {
        self.index.remove(name);
    }

    fn drop_excess_tombstones(&mut self) {
        while self.index.tombstone_count() > self.limits.tombstones {
            let Some(oldest) = self.index.oldest_tombstone() else { return };
            self.horizon = self.horizon.max(oldest.revision);
            self.forget(&oldest.name);
        }
    }

    /// Returns the kind of update that a subscriber at `applied` needs. Differences are complete only from positions in
    /// this store's own history that are neither before its horizon nor after its revision.
    pub fn differences_from(&self, applied: Option<Position>) -> UpdateKind {
        match applied {
            Some(position)
                if self.epochs.contains(position)
                    && position.revision >= self.horizon
                    && position.revision <= self.revision =>
            {
                UpdateKind::Differences { after: position.revision }
            }
            _ => UpdateKind::Snapshot,
        }
    }
}
