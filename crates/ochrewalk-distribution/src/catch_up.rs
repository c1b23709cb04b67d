//! Decides which subscribers are sent their missing updates now, and when others have to retry. Subscribers with the
//! least to fetch are served first, and the bytes per second used for catching up are bounded.

use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::pacing::{Pacer, MICROSECONDS_PER_MILLISECOND};
use crate::server::SubscriberId;

/// The shortest time until a subscriber retries.
const MIN_RETRY_MS: u64 = 500;
/// The longest time until a subscriber retries, without the jitter.
const MAX_RETRY_MS: u64 = 120_000;
/// The time for which a subscriber that does not retry when it should still counts as waiting.
const WAITING_GRACE_US: u64 = 10_000_000;

/// The bounds on catching up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CatchUpLimits {
    /// The rate at which all subscribers together are caught up, in bytes per second; 0 for no bound.
    pub bytes_per_second: u64,
    /// The size up to which an update does not count as catching up and is always admitted, in bytes.
    pub small_update_bytes: u64,
    /// The most subscribers that catch up at once.
    pub max_concurrent: usize,
    /// The longest time that catching up all admitted subscribers may take if more than one is admitted, in milliseconds.
    pub max_backlog_ms: u64,
    /// The most waiting subscribers that are recorded.
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

/// The time after which a subscriber that is not admitted may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RetryAfter {
    pub(crate) milliseconds: u64,
}

/// A hash of a node's name that is the same in every process.
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
    retry_at_us: u64,
}

/// The subscribers that are catching up, and those that wait to do so.
#[derive(Clone, Debug)]
pub(crate) struct CatchUp {
    limits: CatchUpLimits,
    pacer: Pacer,
    /// The bytes still to be sent to each admitted subscriber.
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

    /// Admits `node`, which has `bytes` to fetch, or returns the time after which it may retry.
    pub(crate) fn admit(&mut self, node: &str, bytes: u64, now_us: u64) -> Result<(), RetryAfter> {
        self.waiting.retain(|_, waiting| waiting.retry_at_us.saturating_add(WAITING_GRACE_US) > now_us);
        let node_hash = NodeHash::of(node);
        if self.is_small(bytes) || self.has_capacity_for(bytes) {
            self.waiting.remove(&node_hash);
            return Ok(());
        }
        let after_ms = self.retry_after_ms(node_hash, bytes);
        self.record_waiting(node_hash, bytes, after_ms, now_us);
        Err(RetryAfter { milliseconds: after_ms })
    }

    /// Returns the time after which `node` may retry while no subscriber is admitted.
    pub(crate) fn defer(&mut self, node: &str, now_us: u64) -> RetryAfter {
        let after_ms = self.retry_after_ms(NodeHash::of(node), u64::MAX);
        self.record_waiting(NodeHash::of(node), 0, after_ms, now_us);
        RetryAfter { milliseconds: after_ms }
    }

    fn record_waiting(&mut self, node_hash: NodeHash, bytes: u64, after_ms: u64, now_us: u64) {
        if self.waiting.len() < self.limits.max_waiting || self.waiting.contains_key(&node_hash) {
            let retry_at_us = now_us.saturating_add(after_ms * MICROSECONDS_PER_MILLISECOND);
            self.waiting.insert(node_hash, Waiting { bytes, retry_at_us });
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

    /// Returns the time that catching up takes for the admitted subscribers and for the waiting ones that have no more to
    /// fetch than this node. The node's hash adds up to a quarter of that time, so that nodes with equally much to fetch
    /// do not retry at once.
    fn retry_after_ms(&self, node_hash: NodeHash, bytes: u64) -> u64 {
        let is_served_before =
            |(hash, waiting): &(&NodeHash, &Waiting)| **hash != node_hash && waiting.bytes <= bytes;
        let before = self.waiting.iter().filter(is_served_before).map(|(_, waiting)| waiting.bytes);
        let before = before.fold(self.backlog_bytes(), u64::saturating_add);
        let wait_ms = self.duration_ms(before).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        wait_ms + node_hash.0 % (wait_ms / 4)
    }

    /// Begins to catch up `subscriber`, which has `bytes` to fetch.
    pub(crate) fn begin(&mut self, subscriber: SubscriberId, bytes: u64) {
        self.admitted.insert(subscriber, bytes);
    }

    /// Whether `subscriber` is catching up.
    pub(crate) fn is_admitted(&self, subscriber: SubscriberId) -> bool {
        self.admitted.contains_key(&subscriber)
    }

    /// Returns the time from which a further part may be sent to a subscriber that is catching up.
    pub(crate) fn free_at_us(&self) -> u64 {
        self.pacer.free_at_us()
    }

    /// Records that a part of `bytes` is sent to `subscriber`.
    pub(crate) fn charge(&mut self, subscriber: SubscriberId, bytes: usize, now_us: u64) {
        if let Some(left) = self.admitted.get_mut(&subscriber) {
            *left = left.saturating_sub(bytes as u64);
            self.pacer.charge(bytes, now_us);
        }
    }

    /// Ends the catching up of `subscriber`, which has all changes or has disconnected.
    pub(crate) fn end(&mut self, subscriber: SubscriberId) {
        self.admitted.remove(&subscriber);
    }
}
