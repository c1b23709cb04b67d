//! Decides what a token stands for: which RPC holds it, what became of that, and which repeats wait for it.

use crate::handover::records::IdempotencyKeyRecord;
use ochrewalk::host::RpcId;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::ops::Bound;
use std::sync::Arc;

/// A result as the executor gave it, shared by all that it serves.
pub type SharedResult = Arc<str>;

/// A repeat may be read long after it came, so that an entry outlives its window by this much.
const READ_LATE_MS: u64 = 10_000;
/// Guards against rounding at either end of the window: an outcome shared for too long does no harm.
const MARGIN_MS: u64 = 50;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Held or running.
    Open,
    Served(SharedResult),
    /// It may have run, and there is no result to share.
    Failed,
}

/// Whether a token is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyLookup {
    Unknown,
    /// For the same work, by this RPC.
    SameRequest(RpcId),
    /// For other work, which `ran`, or is still open.
    OtherRequest {
        has_run: bool,
    },
}

#[derive(Debug)]
struct Entry {
    holder: RpcId,
    /// A print of the work: all tries of one RPC carry the same.
    work: u64,
    until_ms: u64,
    state: KeyState,
    waiting: Vec<RpcId>,
}

/// A token by when it lapses, in Unix time.
pub type KeyExpiry = (u64, Arc<str>);

/// Results count against a limit of bytes. Past it the oldest ones are let go, never the fact that their
/// RPC ran.
#[derive(Debug)]
pub struct IdempotencyKeyStore {
    entries: HashMap<Arc<str>, Entry>,
    /// All of them, and those with a result, the next to lapse first: neither a sweep nor a result that is let go
    /// costs a look at all.
    lapses: BTreeSet<KeyExpiry>,
    results: BTreeSet<KeyExpiry>,
    bytes: usize,
    most_bytes: usize,
    /// What has changed since all were begun to be written down ahead of a hand-over, if they were.
    changed: Option<HashSet<Arc<str>>>,
}

impl IdempotencyKeyStore {
    pub fn new(most_bytes: usize) -> IdempotencyKeyStore {
        IdempotencyKeyStore {
            entries: HashMap::new(),
            lapses: BTreeSet::new(),
            results: BTreeSet::new(),
            bytes: 0,
            most_bytes,
            changed: None,
        }
    }

    /// What is known of the token of a try that came at `ts_ms`. Guards against a stranger who has come to know
    /// a token: the result is for those alone who bring the same work.
    pub fn find(&self, token: &str, work: u64, ts_ms: u64) -> KeyLookup {
        match self.entries.get(token).filter(|e| ts_ms <= e.until_ms + MARGIN_MS) {
            None => KeyLookup::Unknown,
            Some(e) if e.work == work => KeyLookup::SameRequest(e.holder.clone()),
            Some(e) => KeyLookup::OtherRequest { has_run: e.state != KeyState::Open },
        }
    }

    /// `holder` has the token for that work until `until_ms`, in Unix time.
    pub fn remember(&mut self, token: Arc<str>, work: u64, holder: RpcId, until_ms: u64) {
        self.put(token, Entry { holder, work, until_ms, state: KeyState::Open, waiting: Vec::new() });
    }

    fn put(&mut self, token: Arc<str>, entry: Entry) {
        self.drop_entry(&token);
        self.lapses.insert((entry.until_ms, token.clone()));
        if size(&entry.state) > 0 {
            self.bytes += size(&entry.state);
            self.results.insert((entry.until_ms, token.clone()));
        }
        self.entries.insert(token.clone(), entry);
        self.touch(&token);
    }

    fn drop_entry(&mut self, token: &str) -> Option<Entry> {
        let (token, entry) = self.entries.remove_entry(token)?;
        self.bytes -= size(&entry.state);
        let lapse = (entry.until_ms, token.clone());
        self.lapses.remove(&lapse);
        self.results.remove(&lapse);
        self.touch(&token);
        Some(entry)
    }

    fn touch(&mut self, token: &Arc<str>) {
        if let Some(changed) = &mut self.changed {
            changed.insert(token.clone());
        }
    }

    /// Lets the token go if this RPC holds it; gives those that waited for it.
    pub fn forget(&mut self, token: &str, holder: &str) -> Vec<RpcId> {
        if self.entries.get(token).is_none_or(|e| &*e.holder != holder) {
            return Vec::new();
        }
        self.drop_entry(token).map_or(Vec::new(), |entry| entry.waiting)
    }

    /// The state of the RPC that this one repeats. While that is open, this one waits for it.
    pub fn share(&mut self, token: &Arc<str>, repeat: &RpcId) -> KeyState {
        let Some(entry) = self.entries.get_mut(token) else { return KeyState::Failed };
        let state = entry.state.clone();
        if state == KeyState::Open {
            entry.waiting.push(repeat.clone());
            self.touch(token);
        }
        state
    }

    /// What became of the RPC that holds the token; gives those that waited for it.
    pub fn record_outcome(&mut self, token: &Arc<str>, holder: &str, state: KeyState) -> Vec<RpcId> {
        if self.entries.get(token).is_none_or(|e| &*e.holder != holder) {
            return Vec::new();
        }
        let Some(mut entry) = self.drop_entry(token) else { return Vec::new() };
        let waiting = std::mem::take(&mut entry.waiting);
        self.put(token.clone(), Entry { state, ..entry });
        self.let_go();
        waiting
    }

    /// The oldest results go where there are too many bytes of them.
    fn let_go(&mut self) {
        while self.bytes > self.most_bytes {
            let Some((_, token)) = self.results.pop_first() else { break };
            if let Some(entry) = self.entries.get_mut(&token) {
                self.bytes -= size(&entry.state);
                entry.state = KeyState::Failed;
            }
            self.touch(&token);
        }
    }

    /// Writes all of it down.
    pub fn export_all(&self) -> Vec<IdempotencyKeyRecord> {
        self.entries.iter().map(written).collect()
    }

    /// Writes the next ones down while all goes on, from `after` on, so many at most; what changes from the first of them
    /// on is for [`IdempotencyKeyStore::export_changed`]. None once all are written.
    pub fn export_batch(
        &mut self,
        after: Option<&KeyExpiry>,
        most: usize,
    ) -> Option<(Vec<IdempotencyKeyRecord>, KeyExpiry)> {
        let from = match after {
            None => {
                self.changed = Some(HashSet::new());
                Bound::Unbounded
            }
            Some(after) => Bound::Excluded(after.clone()),
        };
        let next: Vec<&KeyExpiry> = self.lapses.range((from, Bound::Unbounded)).take(most).collect();
        let last = (*next.last()?).clone();
        let entry = |lapse: &&KeyExpiry| self.entries.get_key_value(&lapse.1).map(written);
        Some((next.iter().filter_map(entry).collect(), last))
    }

    /// Those that have changed since the first of [`IdempotencyKeyStore::export_batch`], and those that are gone.
    pub fn export_changed(&self) -> (Vec<IdempotencyKeyRecord>, Vec<String>) {
        let (mut kept, mut gone) = (Vec::new(), Vec::new());
        for token in self.changed.iter().flatten() {
            match self.entries.get_key_value(token) {
                Some(entry) => kept.push(written(entry)),
                None => gone.push(token.to_string()),
            }
        }
        (kept, gone)
    }

    /// Nothing that changes needs to be known any more.
    pub fn stop_tracking_changes(&mut self) {
        self.changed = None;
    }

    /// Takes over what another process wrote down, later words over earlier ones.
    pub fn import(&mut self, kept: Vec<IdempotencyKeyRecord>, gone: &[String]) {
        for token in kept {
            let state = match token.state {
                0 => KeyState::Open,
                1 => KeyState::Served(token.result.into()),
                _ => KeyState::Failed,
            };
            let waiting = token.waiting.into_iter().map(RpcId::from).collect();
            let IdempotencyKeyRecord { work, until_ms, .. } = token;
            self.put(token.key.into(), Entry { holder: token.holder.into(), work, until_ms, state, waiting });
        }
        for token in gone {
            self.drop_entry(token);
        }
    }

    /// From here on results of so many bytes are kept at most.
    pub fn set_max_result_bytes(&mut self, most_bytes: usize) {
        self.most_bytes = most_bytes;
        self.let_go();
    }

    /// Drops what has lapsed. A successor drops the same by itself.
    pub fn remove_expired(&mut self, unix_ms: u64) {
        let lapsed = |lapse: &&KeyExpiry| unix_ms > lapse.0 + READ_LATE_MS;
        let is_open =
            |lapse: &&KeyExpiry| self.entries.get(&lapse.1).is_some_and(|e| e.state == KeyState::Open);
        let over: Vec<KeyExpiry> =
            self.lapses.iter().take_while(lapsed).filter(|l| !is_open(l)).cloned().collect();
        for (_, token) in over {
            self.drop_entry(&token);
        }
    }
}

fn written((key, entry): (&Arc<str>, &Entry)) -> IdempotencyKeyRecord {
    let (state, result) = match &entry.state {
        KeyState::Open => (0, String::new()),
        KeyState::Served(body) => (1, body.to_string()),
        KeyState::Failed => (2, String::new()),
    };
    IdempotencyKeyRecord {
        key: key.to_string(),
        holder: entry.holder.to_string(),
        work: entry.work,
        until_ms: entry.until_ms,
        state,
        result,
        waiting: entry.waiting.iter().map(|id| id.to_string()).collect(),
    }
}

fn size(state: &KeyState) -> usize {
    match state {
        KeyState::Served(body) => body.len(),
        _ => 0,
    }
}
