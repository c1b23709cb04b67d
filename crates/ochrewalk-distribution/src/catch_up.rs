//! Decides which subscribers are sent what they lack now, and when others are to retry. Those that lack the least go first,
//! and the bytes a second that catching up takes are bounded.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::pacing::{Pacer, MICROSECONDS_PER_MILLISECOND};
use crate::server::SubscriberId;

/// The shortest time until a subscriber retries.
const MIN_RETRY_MS: u64 = 500;
/// The longest time until a subscriber retries.
const MAX_RETRY_MS: u64 = 120_000;
/// How long a subscriber that does not retry when it should is still remembered as waiting.
const WAITING_GRACE_US: u64 = 10_000_000;

/// Bounds on catching up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CatchUpLimits {
    /// Bytes a second of all catching up together; 0 for no bound.
    pub bytes_per_second: u64,
    /// Updates up to this size, in bytes, are not counted as catching up, and always admitted.
    pub small_update_bytes: u64,
    /// The most subscribers caught up at once.
    pub max_concurrent: usize,
    /// The time that catching up all those admitted takes at most, if there is more than one, in milliseconds.
    pub max_backlog_ms: u64,
    /// The most subscribers remembered of those that are to retry.
    pub max_waiting: usize,
}

impl Default for CatchUpLimits {
    fn default() -> Self {
        Self {
            bytes_per_second: 2_000_000,
            small_update_bytes: 16 << 10,
            max_concurrent: 64,
            max_backlog_ms: 10_000,
            max_waiting: 10_000,
        }
    }
}

/// When a subscriber that is not admitted is to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RetryAfter {
    pub(crate) milliseconds: u64,
}

/// A hash of a node's name that is the same in every program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct NodeHash(u64);

impl NodeHash {
    fn of(node: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(node.as_bytes());
        Self(hasher.finish())
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
    /// Bytes still to be sent to each.
    admitted: BTreeMap<SubscriberId, u64>,
    waiting: BTreeMap<NodeHash, Waiting>,
}

impl CatchUp {
    pub(crate) fn new(limits: CatchUpLimits) -> Self {
        let pacer = Pacer::new(limits.bytes_per_second);
        Self { limits, pacer, admitted: BTreeMap::new(), waiting: BTreeMap::new() }
    }

    pub(crate) fn is_small(&self, bytes: u64) -> bool {
        bytes <= self.limits.small_update_bytes
    }

    /// Admits `node`, which has `bytes` to fetch, or says when it is to retry.
    pub(crate) fn admit(&mut self, node: &str, bytes: u64, now_us: u64) -> Result<(), RetryAfter> {
        self.waiting.retain(|_, waiting| waiting.returns_at_us.saturating_add(WAITING_GRACE_US) > now_us);
        let node_hash = NodeHash::of(node);
        if self.is_small(bytes) || self.has_capacity_for(bytes) {
            self.waiting.remove(&node_hash);
            return Ok(());
        }
        let after_ms = self.retry_after_ms(node_hash, bytes);
        self.remember(node_hash, bytes, after_ms, now_us);
        Err(RetryAfter { milliseconds: after_ms })
    }

    /// When `node` is to retry, where no subscriber is admitted.
    pub(crate) fn defer(&mut self, node: &str, now_us: u64) -> RetryAfter {
        let after_ms = self.retry_after_ms(NodeHash::of(node), u64::MAX);
        self.remember(NodeHash::of(node), 0, after_ms, now_us);
        RetryAfter { milliseconds: after_ms }
    }

    fn remember(&mut self, node_hash: NodeHash, bytes: u64, after_ms: u64, now_us: u64) {
        if self.waiting.len() < self.limits.max_waiting || self.waiting.contains_key(&node_hash) {
            let returns_at_us = now_us.saturating_add(after_ms * MICROSECONDS_PER_MILLISECOND);
            self.waiting.insert(node_hash, Waiting { bytes, returns_at_us });
        }
    }

    fn has_capacity_for(&self, bytes: u64) -> bool {
        let backlog_ms = self.duration_ms(self.backlog_bytes().saturating_add(bytes));
        self.admitted.is_empty()
            || (self.admitted.len() < self.limits.max_concurrent && backlog_ms <= self.limits.max_backlog_ms)
    }

    fn backlog_bytes(&self) -> u64 {
        self.admitted.values().fold(0, |sum, bytes| sum.saturating_add(*bytes))
    }

    fn duration_ms(&self, bytes: u64) -> u64 {
        self.pacer.cost_us(bytes) / MICROSECONDS_PER_MILLISECOND
    }

    /// The time that those admitted and those waiting with no more to fetch take, and up to a quarter more by the node's
    /// hash so that equal ones do not retry at once.
    fn retry_after_ms(&self, node_hash: NodeHash, bytes: u64) -> u64 {
        let goes_first =
            |(hash, waiting): &(&NodeHash, &Waiting)| **hash != node_hash && waiting.bytes <= bytes;
        let before = self.waiting.iter().filter(goes_first).map(|(_, waiting)| waiting.bytes);
        let before = before.fold(self.backlog_bytes(), u64::saturating_add);
        let wait_ms = self.duration_ms(before).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        wait_ms + node_hash.0 % (wait_ms / 4)
    }

    /// `subscriber` has `bytes` to fetch.
    pub(crate) fn begin(&mut self, subscriber: SubscriberId, bytes: u64) {
        self.admitted.insert(subscriber, bytes);
    }

    /// Whether `subscriber` is being caught up.
    pub(crate) fn is_admitted(&self, subscriber: SubscriberId) -> bool {
        self.admitted.contains_key(&subscriber)
    }

    /// From when on a further part may be sent to any of those being caught up.
    pub(crate) fn free_at_us(&self) -> u64 {
        self.pacer.free_at_us()
    }

    /// A part of `bytes` is sent to `subscriber`.
    pub(crate) fn charge(&mut self, subscriber: SubscriberId, bytes: usize, now_us: u64) {
        if let Some(left) = self.admitted.get_mut(&subscriber) {
            *left = left.saturating_sub(bytes as u64);
            self.pacer.charge(bytes, now_us);
        }
    }

    /// `subscriber` is caught up, or disconnected.
    pub(crate) fn end(&mut self, subscriber: SubscriberId) {
        self.admitted.remove(&subscriber);
    }
}
