//! Decides which single names a node watches: those that it used. The least recently used names are evicted when the set
//! is full.

use std::collections::{BTreeMap, BTreeSet};

use crate::messages::{ResourceName, Watch};
use crate::subscription::CompleteUpdate;

/// The known state of a name that was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DemandState {
    /// The name was requested, and no answer has been applied: the caller's default applies.
    Requested,
    /// The store has a value of this name.
    Present,
    /// The publisher has no resource of this name: the caller's default applies.
    Absent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    state: DemandState,
    used_us: u64,
}

/// The names that a node watches because it used them; at most `limit` of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DemandSet {
    limit: usize,
    entries: BTreeMap<ResourceName, Entry>,
    /// The same names, the least recently used first.
    by_use: BTreeSet<(u64, ResourceName)>,
}

impl DemandSet {
    /// Creates an empty set of up to `limit` names, at least one.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), entries: BTreeMap::new(), by_use: BTreeSet::new() }
    }

    /// Returns the number of watched names.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no names are watched.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the watched names in their order.
    pub fn names(&self) -> impl Iterator<Item = &ResourceName> {
        self.entries.keys()
    }

    /// Returns the state of `name`, or `None` if it is not watched.
    pub fn state(&self, name: &ResourceName) -> Option<DemandState> {
        self.entries.get(name).map(|entry| entry.state)
    }

    /// Records that `name` is used. If it was not watched before, the caller sends the returned watch and has the store
    /// forget the names that the watch removes.
    pub fn request(&mut self, name: &ResourceName, now_us: u64) -> Option<Watch> {
        if let Some(entry) = self.entries.get_mut(name) {
            let last_us = std::mem::replace(&mut entry.used_us, now_us);
            self.move_in_order(name, last_us, now_us);
            return None;
        }
        let remove = self.evict_least_recently_used();
        self.add(name, DemandState::Requested, now_us);
        Some(Watch { add: vec![name.clone()], remove })
    }

    /// Adds `name`, which was watched before a restart and has a value in the persisted state. Ignored if the set is
    /// full.
    pub fn restore_present(&mut self, name: &ResourceName, now_us: u64) {
        self.restore(name, DemandState::Present, now_us);
    }

    /// Adds `name`, which was watched before a restart and had no resource. Ignored if the set is full.
    pub fn restore_absent(&mut self, name: &ResourceName, now_us: u64) {
        self.restore(name, DemandState::Absent, now_us);
    }

    fn restore(&mut self, name: &ResourceName, state: DemandState, now_us: u64) {
        let has_capacity = self.entries.len() < self.limit;
        if has_capacity && !self.entries.contains_key(name) {
            self.add(name, state, now_us);
        }
    }

    fn add(&mut self, name: &ResourceName, state: DemandState, now_us: u64) {
        self.entries.insert(name.clone(), Entry { state, used_us: now_us });
        self.by_use.insert((now_us, name.clone()));
    }

    fn move_in_order(&mut self, name: &ResourceName, last_us: u64, now_us: u64) {
        if last_us == now_us {
            return;
        }
        self.by_use.remove(&(last_us, name.clone()));
        self.by_use.insert((now_us, name.clone()));
    }

    fn evict_least_recently_used(&mut self) -> Vec<ResourceName> {
        let mut removed = Vec::new();
        while self.entries.len() >= self.limit {
            let Some((_, name)) = self.by_use.pop_first() else { break };
            self.entries.remove(&name);
            removed.push(name);
        }
        removed
    }

    /// Records the names that an applied update answers or changes.
    pub fn applied(&mut self, update: &CompleteUpdate) {
        for name in &update.absent {
            self.set_state(name, DemandState::Absent);
        }
        for resource in &update.resources {
            let is_present = resource.value.is_some();
            let state = if is_present { DemandState::Present } else { DemandState::Absent };
            self.set_state(&resource.name, state);
        }
    }

    fn set_state(&mut self, name: &ResourceName, state: DemandState) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.state = state;
        }
    }
}
