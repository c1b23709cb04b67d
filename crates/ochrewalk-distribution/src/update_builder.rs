//! Builds the next part of an update. An update in progress is a cursor into the store, so that its memory grows neither
//! with the number of changes nor with the number of resources to send.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::interest::Interest;
use crate::messages::{Position, ResourceKind, ResourceName, Update};
use crate::part_builder::PartBuilder;
use crate::store::{Store, UpdateKind};
use crate::subscription::extend_checksum;

/// The kinds in the order of the store.
const KINDS: [ResourceKind; 4] =
    [ResourceKind::Route, ResourceKind::Quota, ResourceKind::Endpoint, ResourceKind::Limit];

/// The result of building a part.
#[derive(Debug)]
pub(crate) enum Built {
    Part(Update),
    /// No part yet, because many resources were visited that the subscriber does not want. The caller calls again at
    /// once.
    Unfinished,
}

/// The progress of an update.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// Watched names are answered, starting with this one.
    Answers { from: Option<ResourceName> },
    /// The resources of a snapshot in the order of names. Resources that changed after the snapshot began are sent as
    /// changes.
    Names { range: usize, after: Option<ResourceName> },
    /// Changes in the order of revisions, after this name within the cursor's revision.
    Changes { after: Option<ResourceName> },
}

/// An update in progress for one subscriber.
///
/// Changes are sent in rounds. Each round ends at the head that the store had when the round began. A resource that
/// changes during a round moves behind the target of the round, and the next round sends it at its newest revision. The
/// update ends when a round ends at the head, and therefore contains complete batches only. A round contains only what
/// changed during the previous one, so the rounds end as soon as changes arrive more slowly than they can be sent.
#[derive(Clone, Debug)]
pub(crate) struct UpdateProgress {
    base: Option<Position>,
    is_snapshot: bool,
    part: u32,
    checksum: u32,
    stage: Stage,
    /// The revision up to which all changes were sent, except for what `stage` has not sent yet.
    cursor: u64,
    /// The head of the store when the round began.
    target: Position,
    rounds: u32,
    answers: BTreeSet<ResourceName>,
    /// The number of the subscriber's watches that the server had processed when the update began.
    watches: u64,
}

impl UpdateProgress {
    /// Begins an update from `applied` to the head of `store` that answers the names `requested`.
    pub(crate) fn begin(
        store: &Store,
        interest: &Interest,
        applied: Option<Position>,
        mut requested: BTreeSet<ResourceName>,
        watches: u64,
    ) -> Self {
        let target = store.position();
        let start = store.differences_from(applied);
        let (cursor, base) = match start {
            UpdateKind::Differences { after } => (after, applied),
            UpdateKind::Snapshot => (target.revision, None),
        };
        let is_snapshot = start == UpdateKind::Snapshot;
        if is_snapshot {
            requested.extend(interest.names.iter().cloned());
        }
        Self {
            base,
            is_snapshot,
            part: 0,
            checksum: 0,
            stage: Stage::Answers { from: None },
            cursor,
            target,
            rounds: 0,
            answers: requested,
            watches,
        }
    }

    pub(crate) fn is_snapshot(&self) -> bool {
        self.is_snapshot
    }

    /// Returns how many rounds ended behind the head.
    pub(crate) fn rounds(&self) -> u32 {
        self.rounds
    }

    /// Removes and returns the names that the update answers; called when the update ends.
    pub(crate) fn take_answers(&mut self) -> BTreeSet<ResourceName> {
        std::mem::take(&mut self.answers)
    }

    /// Whether the store can still complete this update. The store cannot do so after it has moved to another history or
    /// has dropped the tombstones of deletions that were not sent.
    pub(crate) fn can_continue(&self, store: &Store) -> bool {
        let is_within_revision = matches!(self.stage, Stage::Changes { after: Some(_) });
        let revision = self.cursor - u64::from(is_within_revision);
        let reached = Position { epoch: self.target.epoch, revision };
        store.position() >= self.target && store.differences_from(Some(reached)) != UpdateKind::Snapshot
    }

    /// Builds the next part, of at most `chunk_bytes` unless a single resource is larger.
    pub(crate) fn next_part(&mut self, store: &Store, interest: &Interest, chunk_bytes: usize) -> Built {
        let mut part = PartBuilder::new(chunk_bytes);
        let is_last = self.fill(store, interest, &mut part);
        if !is_last && part.is_empty() {
            return Built::Unfinished;
        }
        for resource in &part.resources {
            self.checksum = extend_checksum(self.checksum, resource);
        }
        let number = self.part;
        self.part += 1;
        let is_first = number == 0;
        Built::Part(Update {
            position: self.target,
            is_snapshot: is_first && self.is_snapshot,
            resources: part.resources,
            absent: part.absent,
            is_last,
            part: number,
            checksum: if is_last { self.checksum } else { 0 },
            base: self.base.filter(|_| is_first),
            horizon: self.horizon(store, interest, is_last),
            watches: if is_last { self.watches } else { 0 },
        })
    }

    fn horizon(&self, store: &Store, interest: &Interest, is_last: bool) -> u64 {
        match (is_last && self.is_snapshot, interest.everything) {
            (false, _) => 0,
            (true, true) => store.horizon(),
            // The snapshot contained no deletions.
            (true, false) => self.target.revision,
        }
    }

    /// Adds resources until the part is full. Returns whether the update is then complete.
    fn fill(&mut self, store: &Store, interest: &Interest, part: &mut PartBuilder) -> bool {
        loop {
            let is_stage_done = match self.stage.clone() {
                Stage::Answers { from } => self.fill_answers(store, from.as_ref(), part),
                Stage::Names { range, after } => self.fill_names(store, interest, range, after, part),
                Stage::Changes { after } => self.fill_changes(store, interest, after.as_ref(), part),
            };
            if !is_stage_done {
                return false;
            }
            if self.next_stage(store) {
                return true;
            }
        }
    }

    /// Moves to the next stage after one is done. Returns whether that was the last one.
    fn next_stage(&mut self, store: &Store) -> bool {
        match self.stage {
            Stage::Answers { .. } if self.is_snapshot => self.stage = Stage::Names { range: 0, after: None },
            Stage::Answers { .. } | Stage::Names { .. } => self.stage = Stage::Changes { after: None },
            Stage::Changes { .. } => {
                self.cursor = self.target.revision;
                if self.target == store.position() {
                    return true;
                }
                self.target = store.position();
                self.rounds += 1;
                self.stage = Stage::Changes { after: None };
            }
        }
        false
    }

    fn fill_answers(&mut self, store: &Store, from: Option<&ResourceName>, part: &mut PartBuilder) -> bool {
        let start = from.map_or(Bound::Unbounded, Bound::Included);
        for name in self.answers.range::<ResourceName, _>((start, Bound::Unbounded)) {
            let fits = match store.newest(name) {
                // The resource is sent with the changes.
                Some(resource) if resource.revision > self.cursor => true,
                Some(resource) if resource.value.is_some() => part.add_resource(resource),
                _ => part.add_absent(name),
            };
            if !fits {
                self.stage = Stage::Answers { from: Some(name.clone()) };
                return false;
            }
        }
        true
    }

    fn fill_names(
        &mut self,
        store: &Store,
        interest: &Interest,
        first_range: usize,
        mut after: Option<ResourceName>,
        part: &mut PartBuilder,
    ) -> bool {
        for (range, (kind, scope)) in snapshot_ranges(interest).into_iter().enumerate().skip(first_range) {
            let begin = ResourceName::new(kind, scope.unwrap_or_default(), "");
            let start = after.as_ref().map_or(Bound::Included(&begin), Bound::Excluded);
            let mut last = None;
            let is_in_range =
                |name: &ResourceName| scope.is_none_or(|scope| name.kind() == kind && name.scope == scope);
            for resource in store.names_from(start).take_while(|resource| is_in_range(&resource.name)) {
                let is_included = resource.revision <= self.cursor
                    && (resource.value.is_some() || interest.everything)
                    && !self.answers.contains(&resource.name);
                if !part.try_visit() || (is_included && !part.add_resource(resource)) {
                    self.stage = Stage::Names { range, after: last.or(after.as_ref()).cloned() };
                    return false;
                }
                last = Some(&resource.name);
            }
            after = None;
        }
        true
    }

    fn fill_changes(
        &mut self,
        store: &Store,
        interest: &Interest,
        after: Option<&ResourceName>,
        part: &mut PartBuilder,
    ) -> bool {
        let from = self.cursor;
        let mut last = after;
        for resource in store.changes_after(from, after) {
            if resource.revision > self.target.revision {
                break;
            }
            let is_included = interest.matches(&resource.name);
            if !part.try_visit() || (is_included && !part.add_resource(resource)) {
                self.stage = Stage::Changes { after: last.cloned() };
                return false;
            }
            self.cursor = resource.revision;
            last = Some(&resource.name);
        }
        true
    }
}

/// Returns the ranges of names that a snapshot visits, in order. A range without a scope covers all kinds and scopes.
fn snapshot_ranges(interest: &Interest) -> Vec<(ResourceKind, Option<&str>)> {
    if interest.everything {
        return vec![(ResourceKind::Unknown, None)];
    }
    let of_kind = |kind| interest.scopes.iter().map(move |scope| (kind, Some(scope.as_str())));
    KINDS.into_iter().flat_map(of_kind).collect()
}
