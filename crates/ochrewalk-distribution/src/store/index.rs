//! The newest change of each name, indexed by name and by revision, with the encoded sizes.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Bound;
use std::sync::Arc;

use prost::Message;

use crate::interest::Interest;
use crate::messages::{Resource, ResourceKind, ResourceName};

/// A resource, ordered by name.
#[derive(Clone, Debug)]
struct ByName(Arc<Resource>);

impl Borrow<ResourceName> for ByName {
    fn borrow(&self) -> &ResourceName {
        &self.0.name
    }
}

impl PartialEq for ByName {
    fn eq(&self, other: &Self) -> bool {
        self.0.name == other.0.name
    }
}

impl Eq for ByName {}

impl PartialOrd for ByName {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ByName {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.name.cmp(&other.0.name)
    }
}

/// A resource, ordered by revision, and by name within a revision.
#[derive(Clone)]
struct ByRevision(Arc<Resource>);

/// Formats the key alone, because the resource is formatted in the index by name.
impl fmt::Debug for ByRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.0.revision, self.0.name.name)
    }
}

impl ByRevision {
    /// Returns a key that compares like a resource of `name` at `revision`.
    fn search_key(revision: u64, name: ResourceName) -> Self {
        Self(Arc::new(Resource { name, revision, value: None }))
    }
}

impl PartialEq for ByRevision {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ByRevision {}

impl PartialOrd for ByRevision {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ByRevision {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_revision = self.0.revision.cmp(&other.0.revision);
        by_revision.then_with(|| self.0.name.cmp(&other.0.name))
    }
}

/// The indexes of a store. Each resource is in memory once, shared by the indexes and by updates in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct ResourceIndex {
    names: BTreeSet<ByName>,
    changes: BTreeSet<ByRevision>,
    tombstones: BTreeSet<ByRevision>,
    scope_bytes: BTreeMap<String, u64>,
    total_bytes: u64,
}

impl ResourceIndex {
    /// Returns the newest change of `name`, which may be its deletion.
    pub(super) fn newest(&self, name: &ResourceName) -> Option<&Arc<Resource>> {
        self.names.get(name).map(|entry| &entry.0)
    }

    /// Returns the number of names, deleted ones included.
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    pub(super) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns the deletion with the lowest revision.
    pub(super) fn oldest_tombstone(&self) -> Option<Arc<Resource>> {
        self.tombstones.first().map(|oldest| Arc::clone(&oldest.0))
    }

    /// Returns all resources in the order of their names, without deleted ones.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.names.iter().map(|entry| entry.0.as_ref()).filter(|resource| resource.value.is_some())
    }

    /// Returns the resources of a kind, without deleted ones.
    pub(super) fn of_kind(&self, kind: ResourceKind) -> impl Iterator<Item = &Resource> {
        // Names are ordered by their kinds first.
        let first = ResourceName { kind: kind as i32, scope: String::new(), name: String::new() };
        let of_kind = move |entry: &&ByName| entry.0.name.kind == kind as i32;
        let entries = self.names.range::<ResourceName, _>(first..).take_while(of_kind);
        entries.map(|entry| entry.0.as_ref()).filter(|resource| resource.value.is_some())
    }

    /// Returns the newest changes of the names from `from` on, in the order of names, deletions included.
    pub(super) fn names_from(&self, from: Bound<&ResourceName>) -> impl Iterator<Item = &Arc<Resource>> {
        self.names.range::<ResourceName, _>((from, Bound::Unbounded)).map(|entry| &entry.0)
    }

    /// Returns the changes after `revision`, or after `name` within it, in the order of revisions.
    pub(super) fn changes_after(
        &self,
        revision: u64,
        name: Option<&ResourceName>,
    ) -> impl Iterator<Item = &Arc<Resource>> {
        let from = match name {
            Some(name) => Bound::Excluded(ByRevision::search_key(revision, name.clone())),
            None => {
                Bound::Included(ByRevision::search_key(revision.saturating_add(1), ResourceName::default()))
            }
        };
        self.changes.range((from, Bound::Unbounded)).map(|entry| &entry.0)
    }

    /// Returns the encoded size of all resources that `interest` matches, deletions included.
    pub(super) fn snapshot_bytes(&self, interest: &Interest) -> u64 {
        if interest.everything {
            return self.total_bytes;
        }
        let of_scopes = interest.scopes.iter().filter_map(|scope| self.scope_bytes.get(scope)).sum::<u64>();
        let names = interest.names.iter().filter_map(|name| self.newest(name));
        of_scopes + names.map(|resource| resource.encoded_len() as u64).sum::<u64>()
    }

    /// Sets the newest change of a name, which may be its deletion.
    pub(super) fn insert(&mut self, resource: Arc<Resource>) {
        if let Some(entry) = self.names.replace(ByName(Arc::clone(&resource))) {
            self.unlink(&entry.0);
        }
        let bytes = resource.encoded_len() as u64;
        self.total_bytes += bytes;
        match self.scope_bytes.get_mut(&resource.name.scope) {
            Some(sum) => *sum += bytes,
            None => drop(self.scope_bytes.insert(resource.name.scope.clone(), bytes)),
        }
        if resource.value.is_none() {
            self.tombstones.insert(ByRevision(Arc::clone(&resource)));
        }
        self.changes.insert(ByRevision(resource));
    }

    /// Removes a resource that is no longer in `names` from the other indexes.
    fn unlink(&mut self, resource: &Arc<Resource>) {
        let key = ByRevision(Arc::clone(resource));
        self.changes.remove(&key);
        if resource.value.is_none() {
            self.tombstones.remove(&key);
        }
        let bytes = resource.encoded_len() as u64;
        self.total_bytes -= bytes;
        if let Some(sum) = self.scope_bytes.get_mut(&resource.name.scope) {
            *sum -= bytes;
            if *sum == 0 {
                self.scope_bytes.remove(&resource.name.scope);
            }
        }
    }

    /// Removes `name` without adding a tombstone.
    pub(super) fn remove(&mut self, name: &ResourceName) {
        if let Some(entry) = self.names.take(name) {
            self.unlink(&entry.0);
        }
    }
}
