//! Decides which subscribers are caught up now, and when others come back. Those with the least to fetch go first, and the
//! bytes a second that catching up takes are bounded.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::pacing::Pacer;

const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
/// The shortest time until a subscriber comes back.
const MIN_RETRY_MS: u64 = 500;
/// The longest time until a subscriber comes back.
const MAX_RETRY_MS: u64 = 120_000;
/// How long a place in the order is kept for one that does not come back when it should.
const WAITING_GRACE_US: u64 = 10_000_000;

/// Bounds on catching up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CatchUpLimits {
    /// Bytes a second of all catching up together; 0 for no bound.
    pub bytes_per_second: u64,
    /// Updates up to this size are not counted as catching up, and always get in.
    pub small_update_bytes: u64,
    /// The most subscribers caught up at once.
    pub max_at_once: usize,
    /// The time that catching up all those admitted takes at most, if there is more than one, in milliseconds.
    pub max_backlog_ms: u64,
    /// The most subscribers told to come back that are remembered.
    pub max_waiting: usize,
}

impl Default for CatchUpLimits {
    fn default() -> Self {
        Self {
            bytes_per_second: 2_000_000,
            small_update_bytes: 16 << 10,
            max_at_once: 64,
            max_backlog_ms: 10_000,
            max_waiting: 10_000,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    bytes: u64,
    returns_at_us: u64,
}

/// The subscribers that are caught up, and those that wait for it.
#[derive(Clone, Debug)]
pub(crate) struct CatchUp {
    limits: CatchUpLimits,
    pacer: Pacer,
    /// Bytes still to be sent, by number of the subscriber.
    admitted: BTreeMap<u64, u64>,
    /// By hash of the node's name.
    waiting: BTreeMap<u64, Waiting>,
}

impl CatchUp {
    pub(crate) fn new(limits: CatchUpLimits) -> Self {
        let pacer = Pacer::new(limits.bytes_per_second);
        Self { limits, pacer, admitted: BTreeMap::new(), waiting: BTreeMap::new() }
    }

    pub(crate) fn is_small(&self, bytes: u64) -> bool {
        bytes <= self.limits.small_update_bytes
    }

    /// Whether `bytes` may be fetched now by `node`; if not, after how many milliseconds it is to come back.
    pub(crate) fn admit(&mut self, node: &str, bytes: u64, now_us: u64) -> Result<(), u64> {
        self.waiting.retain(|_, waiting| waiting.returns_at_us.saturating_add(WAITING_GRACE_US) > now_us);
        let node_hash = stable_hash(node);
        if self.is_small(bytes) || self.has_capacity_for(bytes) {
            self.waiting.remove(&node_hash);
            return Ok(());
        }
        let after_ms = self.retry_after_ms(node_hash, bytes);
        self.remember(node_hash, bytes, after_ms, now_us);
        Err(after_ms)
    }

    /// After how many milliseconds `node` is to come back, where nobody is admitted.
    pub(crate) fn defer(&mut self, node: &str, now_us: u64) -> u64 {
        let after_ms = self.retry_after_ms(stable_hash(node), u64::MAX);
        self.remember(stable_hash(node), 0, after_ms, now_us);
        after_ms
    }

    fn remember(&mut self, node_hash: u64, bytes: u64, after_ms: u64, now_us: u64) {
        if self.waiting.len() < self.limits.max_waiting || self.waiting.contains_key(&node_hash) {
            let returns_at_us = now_us.saturating_add(after_ms * MICROSECONDS_PER_MILLISECOND);
            self.waiting.insert(node_hash, Waiting { bytes, returns_at_us });
        }
    }

    fn has_capacity_for(&self, bytes: u64) -> bool {
        let backlog_ms = self.duration_ms(self.backlog_bytes().saturating_add(bytes));
        self.admitted.is_empty()
            || (self.admitted.len() < self.limits.max_at_once && backlog_ms <= self.limits.max_backlog_ms)
    }

    fn backlog_bytes(&self) -> u64 {
        self.admitted.values().fold(0, |sum, bytes| sum.saturating_add(*bytes))
    }

    fn duration_ms(&self, bytes: u64) -> u64 {
        self.pacer.cost_us(bytes) / MICROSECONDS_PER_MILLISECOND
    }

    /// The time that those admitted and those waiting with no more to fetch take, and up to a quarter more by the node's
    /// hash so that equal ones do not come back at once.
    fn retry_after_ms(&self, node_hash: u64, bytes: u64) -> u64 {
        let goes_first = |(hash, waiting): &(&u64, &Waiting)| **hash != node_hash && waiting.bytes <= bytes;
        let before = self.waiting.iter().filter(goes_first).map(|(_, waiting)| waiting.bytes);
        let before = before.fold(self.backlog_bytes(), u64::saturating_add);
        let wait_ms = self.duration_ms(before).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        wait_ms + node_hash % (wait_ms / 4)
    }

    /// The subscriber of `number` has `bytes` to fetch.
    pub(crate) fn begin(&mut self, number: u64, bytes: u64) {
        self.admitted.insert(number, bytes);
    }

    /// Whether the subscriber of `number` is being caught up.
    pub(crate) fn is_admitted(&self, number: u64) -> bool {
        self.admitted.contains_key(&number)
    }

    /// From when on a further part may be sent to any of those being caught up.
    pub(crate) fn free_at_us(&self) -> u64 {
        self.pacer.free_at_us()
    }

    /// A part of `bytes` is sent to the subscriber of `number`.
    pub(crate) fn charge(&mut self, number: u64, bytes: usize, now_us: u64) {
        if let Some(left) = self.admitted.get_mut(&number) {
            *left = left.saturating_sub(bytes as u64);
            self.pacer.charge(bytes, now_us);
        }
    }

    /// The subscriber of `number` is caught up, or gone.
    pub(crate) fn end(&mut self, number: u64) {
        self.admitted.remove(&number);
    }
}

/// A hash of `text` that is the same in every program.
pub(crate) fn stable_hash(text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}
