//! Decides what an idempotency key refers to: the request that holds it, that request's outcome, and the repeats that
//! wait for this outcome.

use crate::handover::records::IdempotencyKeyRecord;
use ochrewalk::host::RpcId;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::ops::Bound;
use std::sync::Arc;

/// A result as received from the executor, shared by all requests that it answers.
pub type SharedResult = Arc<str>;

/// The time for which an entry outlives its window, as a repeat may be read long after it arrived.
const MAX_READ_DELAY_MS: u64 = 10_000;
/// The margin that guards against rounding at either end of the window. An outcome that is shared for a little too long
/// does no harm.
const ROUNDING_MARGIN_MS: u64 = 50;

/// The state of the request that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Queued or running.
    Open,
    /// Complete, with this result.
    Served(SharedResult),
    /// The request may have run, and there is no result to share.
    Failed,
}

/// The result of looking up a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    /// The key is unknown.
    Unknown,
    /// The key is held by this request, with the same fingerprint.
    SameRequest(RpcId),
    /// The key is held by a request with another fingerprint.
    OtherRequest {
        /// Whether that request may have run; otherwise it is still open.
        has_run: bool,
    },
}

#[derive(Debug)]
struct Entry {
    holder: RpcId,
    /// The fingerprint of the request; all attempts of one request have the same.
    fingerprint: u64,
    /// The end of the window, in Unix time.
    until_ms: u64,
    state: KeyState,
    /// The repeats that wait for the outcome.
    waiting: Vec<RpcId>,
}

/// A key, preceded by its time of expiry in Unix milliseconds, by which keys are sorted.
pub type KeyExpiry = (u64, Arc<str>);

/// Stores idempotency keys and the results of their requests. Results count against a limit in bytes. Beyond it the
/// results that expire first are evicted, while the fact that their requests may have run is retained.
#[derive(Debug)]
pub struct IdempotencyKeyStore {
    entries: HashMap<Arc<str>, Entry>,
    /// All keys, by expiry. Removing expired keys and evicting results must not scan the whole store.
    expiries: BTreeSet<KeyExpiry>,
    /// The keys that have a result, by expiry.
    results: BTreeSet<KeyExpiry>,
    result_bytes: usize,
    max_result_bytes: usize,
    /// The keys that have changed since the first batch was exported ahead of a hand-over; none while no export is
    /// under way.
    changed: Option<HashSet<Arc<str>>>,
}

impl IdempotencyKeyStore {
    /// Returns an empty store that retains results of up to this many bytes.
    pub fn new(max_result_bytes: usize) -> IdempotencyKeyStore {
        IdempotencyKeyStore {
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            results: BTreeSet::new(),
            result_bytes: 0,
            max_result_bytes,
            changed: None,
        }
    }

    /// Looks up the key of an attempt that arrived at `arrived_unix_ms`. The fingerprint guards against an untrusted
    /// client that has learnt a key: only a request with the same fingerprint gets the result.
    pub fn find(&self, key: &str, fingerprint: u64, arrived_unix_ms: u64) -> KeyLookup {
        match self.entries.get(key).filter(|e| arrived_unix_ms <= e.until_ms + ROUNDING_MARGIN_MS) {
            None => KeyLookup::Unknown,
            Some(e) if e.fingerprint == fingerprint => KeyLookup::SameRequest(e.holder.clone()),
            Some(e) => KeyLookup::OtherRequest { has_run: e.state != KeyState::Open },
        }
    }

    /// Stores the key for `holder`, whose request has this fingerprint, until `until_ms` in Unix time.
    pub fn remember(&mut self, key: Arc<str>, fingerprint: u64, holder: RpcId, until_ms: u64) {
        self.insert(key, Entry { holder, fingerprint, until_ms, state: KeyState::Open, waiting: Vec::new() });
    }

    fn insert(&mut self, key: Arc<str>, entry: Entry) {
        self.remove(&key);
        self.expiries.insert((entry.until_ms, key.clone()));
        if result_size(&entry.state) > 0 {
            self.result_bytes += result_size(&entry.state);
            self.results.insert((entry.until_ms, key.clone()));
        }
        self.entries.insert(key.clone(), entry);
        self.mark_changed(&key);
    }

    fn remove(&mut self, key: &str) -> Option<Entry> {
        let (key, entry) = self.entries.remove_entry(key)?;
        self.result_bytes -= result_size(&entry.state);
        let expiry = (entry.until_ms, key.clone());
        self.expiries.remove(&expiry);
        self.results.remove(&expiry);
        self.mark_changed(&key);
        Some(entry)
    }

    fn mark_changed(&mut self, key: &Arc<str>) {
        if let Some(changed) = &mut self.changed {
            changed.insert(key.clone());
        }
    }

    /// Removes the key if this request holds it, and returns the repeats that waited for its outcome.
    pub fn forget(&mut self, key: &str, holder: &str) -> Vec<RpcId> {
        if self.entries.get(key).is_none_or(|e| &*e.holder != holder) {
            return Vec::new();
        }
        self.remove(key).map_or(Vec::new(), |entry| entry.waiting)
    }

    /// Returns the state of the key's holder. While the holder is open, `repeat` is added to the waiting repeats.
    pub fn share(&mut self, key: &Arc<str>, repeat: &RpcId) -> KeyState {
        let Some(entry) = self.entries.get_mut(key) else { return KeyState::Failed };
        let state = entry.state.clone();
        if state == KeyState::Open {
            entry.waiting.push(repeat.clone());
            self.mark_changed(key);
        }
        state
    }

    /// Stores the outcome of the key's holder, and returns the repeats that waited for it.
    pub fn record_outcome(&mut self, key: &Arc<str>, holder: &str, state: KeyState) -> Vec<RpcId> {
        if self.entries.get(key).is_none_or(|e| &*e.holder != holder) {
            return Vec::new();
        }
        let Some(mut entry) = self.remove(key) else { return Vec::new() };
        let waiting = std::mem::take(&mut entry.waiting);
        self.insert(key.clone(), Entry { state, ..entry });
        self.evict_results();
        waiting
    }

    /// Evicts the results that expire first while they exceed the limit in bytes.
    fn evict_results(&mut self) {
        while self.result_bytes > self.max_result_bytes {
            let Some((_, key)) = self.results.pop_first() else { break };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.result_bytes -= result_size(&entry.state);
                entry.state = KeyState::Failed;
            }
            self.mark_changed(&key);
        }
    }

    /// Returns a record of every key.
    pub fn export_all(&self) -> Vec<IdempotencyKeyRecord> {
        self.entries.iter().map(key_record).collect()
    }

    /// Returns records of up to `max_keys` keys that expire next after `after`, and the last of them. Requests continue
    /// between the batches; changes after the first batch are returned by [`IdempotencyKeyStore::export_changed`].
    /// Returns none once all keys have been exported.
    pub fn export_batch(
        &mut self,
        after: Option<&KeyExpiry>,
        max_keys: usize,
    ) -> Option<(Vec<IdempotencyKeyRecord>, KeyExpiry)> {
        let from = match after {
            None => {
                self.changed = Some(HashSet::new());
                Bound::Unbounded
            }
            Some(after) => Bound::Excluded(after.clone()),
        };
        let next: Vec<&KeyExpiry> = self.expiries.range((from, Bound::Unbounded)).take(max_keys).collect();
        let last = (*next.last()?).clone();
        let record = |expiry: &&KeyExpiry| self.entries.get_key_value(&expiry.1).map(key_record);
        Some((next.iter().filter_map(record).collect(), last))
    }

    /// Returns records of the keys that have changed since the first [`IdempotencyKeyStore::export_batch`], and the
    /// keys that have been removed since.
    pub fn export_changed(&self) -> (Vec<IdempotencyKeyRecord>, Vec<String>) {
        let (mut records, mut removed) = (Vec::new(), Vec::new());
        for key in self.changed.iter().flatten() {
            match self.entries.get_key_value(key) {
                Some(entry) => records.push(key_record(entry)),
                None => removed.push(key.to_string()),
            }
        }
        (records, removed)
    }

    /// Stops tracking changes, as no export is under way any more.
    pub fn stop_tracking_changes(&mut self) {
        self.changed = None;
    }

    /// Imports the records of another process, then removes the keys in `removed`. A later record replaces an earlier
    /// one.
    pub fn import(&mut self, records: Vec<IdempotencyKeyRecord>, removed: &[String]) {
        for record in records {
            let state = match record.state {
                0 => KeyState::Open,
                1 => KeyState::Served(record.result.into()),
                _ => KeyState::Failed,
            };
            let waiting = record.waiting.into_iter().map(RpcId::from).collect();
            let IdempotencyKeyRecord { work: fingerprint, until_ms, .. } = record;
            self.insert(
                record.key.into(),
                Entry { holder: record.holder.into(), fingerprint, until_ms, state, waiting },
            );
        }
        for key in removed {
            self.remove(key);
        }
    }

    /// Sets the limit of results in bytes, and evicts what exceeds it.
    pub fn set_max_result_bytes(&mut self, max_result_bytes: usize) {
        self.max_result_bytes = max_result_bytes;
        self.evict_results();
    }

    /// Removes expired keys whose requests are not open. A successor process removes the same keys independently.
    pub fn remove_expired(&mut self, unix_ms: u64) {
        let is_expired = |expiry: &&KeyExpiry| unix_ms > expiry.0 + MAX_READ_DELAY_MS;
        let is_open =
            |expiry: &&KeyExpiry| self.entries.get(&expiry.1).is_some_and(|e| e.state == KeyState::Open);
        let expired: Vec<KeyExpiry> =
            self.expiries.iter().take_while(is_expired).filter(|expiry| !is_open(expiry)).cloned().collect();
        for (_, key) in expired {
            self.remove(&key);
        }
    }
}

fn key_record((key, entry): (&Arc<str>, &Entry)) -> IdempotencyKeyRecord {
    let (state, result) = match &entry.state {
        KeyState::Open => (0, String::new()),
        KeyState::Served(body) => (1, body.to_string()),
        KeyState::Failed => (2, String::new()),
    };
    IdempotencyKeyRecord {
        key: key.to_string(),
        holder: entry.holder.to_string(),
        work: entry.fingerprint,
        until_ms: entry.until_ms,
        state,
        result,
        waiting: entry.waiting.iter().map(|id| id.to_string()).collect(),
    }
}

fn result_size(state: &KeyState) -> usize {
    match state {
        KeyState::Served(body) => body.len(),
        _ => 0,
    }
}
