//! Decides what a token stands for: which RPC holds it, what became of that, and which repeats wait for it.

use crate::moving::records::KeptToken;
use ochrewalk::host::RpcId;
use std::collections::HashMap;
use std::sync::Arc;

/// A result as the executor gave it, shared by all that it serves.
pub type Served = Arc<str>;

/// A repeat may be read long after it came, so that an entry outlives its window by this much.
const READ_LATE_MS: u64 = 10_000;
/// Guards against rounding at either end of the window: an outcome shared for too long does no harm.
const MARGIN_MS: u64 = 50;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Held or running.
    Open,
    Served(Served),
    /// It may have run, and there is no result to share.
    Failed,
}

/// Whether a token is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    No,
    /// For the same work, by this RPC.
    Same(RpcId),
    /// For other work, which `ran`, or is still open.
    Other {
        ran: bool,
    },
}

#[derive(Debug)]
struct Entry {
    holder: RpcId,
    /// A print of the work: all tries of one RPC carry the same.
    work: u64,
    until_ms: u64,
    state: State,
    waiting: Vec<RpcId>,
}

/// Results count against a limit of bytes. Past it the oldest ones are let go, never the fact that their
/// RPC ran.
#[derive(Debug)]
pub struct Keys {
    entries: HashMap<Arc<str>, Entry>,
    bytes: usize,
    most_bytes: usize,
}

impl Keys {
    pub fn new(most_bytes: usize) -> Keys {
        Keys { entries: HashMap::new(), bytes: 0, most_bytes }
    }

    /// What is known of the token of a try that came at `ts_ms`. Guards against a stranger who has come to know
    /// a token: the result is for those alone who bring the same work.
    pub fn find(&self, token: &str, work: u64, ts_ms: u64) -> Known {
        match self.entries.get(token).filter(|e| ts_ms <= e.until_ms + MARGIN_MS) {
            None => Known::No,
            Some(e) if e.work == work => Known::Same(e.holder.clone()),
            Some(e) => Known::Other { ran: e.state != State::Open },
        }
    }

    /// `holder` has the token for that work until `until_ms`, in Unix time.
    pub fn remember(&mut self, token: Arc<str>, work: u64, holder: RpcId, until_ms: u64) {
        let entry = Entry { holder, work, until_ms, state: State::Open, waiting: Vec::new() };
        if let Some(old) = self.entries.insert(token, entry) {
            self.bytes -= size(&old.state);
        }
    }

    /// Lets the token go if this RPC holds it; gives those that waited for it.
    pub fn forget(&mut self, token: &str, holder: &str) -> Vec<RpcId> {
        if self.entries.get(token).is_none_or(|e| &*e.holder != holder) {
            return Vec::new();
        }
        let old = self.entries.remove(token).expect("just seen");
        self.bytes -= size(&old.state);
        old.waiting
    }

    /// The state of the RPC that this one repeats. While that is open, this one waits for it.
    pub fn share(&mut self, token: &str, repeat: &RpcId) -> State {
        let Some(entry) = self.entries.get_mut(token) else { return State::Failed };
        if entry.state == State::Open {
            entry.waiting.push(repeat.clone());
        }
        entry.state.clone()
    }

    /// What became of the RPC that holds the token; gives those that waited for it.
    pub fn settle(&mut self, token: &str, holder: &str, state: State) -> Vec<RpcId> {
        let Some(entry) = self.entries.get_mut(token).filter(|e| &*e.holder == holder) else {
            return Vec::new();
        };
        self.bytes += size(&state);
        self.bytes -= size(&entry.state);
        entry.state = state;
        let waiting = std::mem::take(&mut entry.waiting);
        while self.bytes > self.most_bytes {
            let kept = self.entries.values_mut().filter(|e| size(&e.state) > 0);
            let Some(oldest) = kept.min_by_key(|e| e.until_ms) else { break };
            self.bytes -= size(&oldest.state);
            oldest.state = State::Failed;
        }
        waiting
    }

    /// Writes all of it down.
    pub fn keep(&self) -> Vec<KeptToken> {
        let token = |(key, entry): (&Arc<str>, &Entry)| {
            let (state, result) = match &entry.state {
                State::Open => (0, String::new()),
                State::Served(body) => (1, body.to_string()),
                State::Failed => (2, String::new()),
            };
            KeptToken {
                key: key.to_string(),
                holder: entry.holder.to_string(),
                work: entry.work,
                until_ms: entry.until_ms,
                state,
                result,
                waiting: entry.waiting.iter().map(|id| id.to_string()).collect(),
            }
        };
        self.entries.iter().map(token).collect()
    }

    /// Goes on with what another process wrote down.
    pub fn resume(most_bytes: usize, kept: Vec<KeptToken>) -> Keys {
        let mut keys = Keys::new(most_bytes);
        for token in kept {
            let state = match token.state {
                0 => State::Open,
                1 => State::Served(token.result.into()),
                _ => State::Failed,
            };
            keys.bytes += size(&state);
            let waiting = token.waiting.into_iter().map(RpcId::from).collect();
            let entry = Entry {
                holder: token.holder.into(),
                work: token.work,
                until_ms: token.until_ms,
                state,
                waiting,
            };
            keys.entries.insert(token.key.into(), entry);
        }
        keys
    }

    /// Drops what has lapsed.
    pub fn sweep(&mut self, unix_ms: u64) {
        let bytes = &mut self.bytes;
        self.entries.retain(|_, e| {
            let keep = e.state == State::Open || unix_ms <= e.until_ms + READ_LATE_MS;
            *bytes -= if keep { 0 } else { size(&e.state) };
            keep
        });
    }
}

fn size(state: &State) -> usize {
    match state {
        State::Served(body) => body.len(),
        _ => 0,
    }
}
