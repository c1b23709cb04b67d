//! Remembers the ids of requests that must not run twice and whose runs were started, for as long as they may come again. An id
//! is new with every attempt, so one that comes again is a fault of its client, which must not cost a second effect.

use ochrewalk::host::RpcId;
use std::collections::{BTreeSet, HashMap};

/// The ids of recent runs, each until its expiry. Beyond the maximum number those that expire first are forgotten.
#[derive(Debug)]
pub struct RecentRuns {
    max_ids: usize,
    /// The expiry of each id, in Unix milliseconds.
    until_ms: HashMap<RpcId, u64>,
    /// The same, by expiry.
    by_expiry: BTreeSet<(u64, RpcId)>,
}

impl RecentRuns {
    /// Returns an empty store for up to `max_ids`.
    pub fn new(max_ids: usize) -> RecentRuns {
        RecentRuns { max_ids, until_ms: HashMap::new(), by_expiry: BTreeSet::new() }
    }

    /// Remembers the id of a run that has been started.
    pub fn insert(&mut self, id: RpcId, until_ms: u64) {
        self.remove(&id);
        self.until_ms.insert(id.clone(), until_ms);
        self.by_expiry.insert((until_ms, id));
        self.forget_excess();
    }

    /// Forgets an id whose run turned out not to have begun.
    pub fn remove(&mut self, id: &str) {
        if let Some((id, until_ms)) = self.until_ms.remove_entry(id) {
            self.by_expiry.remove(&(until_ms, id));
        }
    }

    /// Whether a run with this id was started.
    pub fn contains(&self, id: &str) -> bool {
        self.until_ms.contains_key(id)
    }

    /// Forgets the ids that have expired.
    pub fn remove_expired(&mut self, unix_ms: u64) {
        while self.by_expiry.first().is_some_and(|(until_ms, _)| *until_ms < unix_ms) {
            self.forget_first();
        }
    }

    /// Returns the ids with their expiry, in its order.
    pub fn iter(&self) -> impl Iterator<Item = &(u64, RpcId)> {
        self.by_expiry.iter()
    }

    fn forget_excess(&mut self) {
        while self.by_expiry.len() > self.max_ids {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.by_expiry.pop_first() {
            self.until_ms.remove(&id);
        }
    }
}
