//! Idempotency keys that the server remembers, as far as memory is counted for them: a repeat of a request that must not run
//! twice shares the outcome of the first in place of running.

use crate::host::RpcId;
use std::collections::BTreeSet;

/// The server counts its time to live from its own clock; keys are counted a little longer than they may live there.
const EXPIRY_MARGIN_US: u64 = 1_000;

/// Remembered keys: when they expire, and whose they are.
#[derive(Default)]
pub(super) struct IdempotencyKeys(pub BTreeSet<(u64, RpcId)>);

impl IdempotencyKeys {
    pub fn insert(&mut self, now_us: u64, time_to_live_us: u64, id: RpcId) {
        self.0.insert((now_us + time_to_live_us + EXPIRY_MARGIN_US, id));
    }

    /// Forgets the key of a request that never ran, and says whether there was one.
    pub fn remove(&mut self, id: &RpcId) -> bool {
        let before = self.0.len();
        self.0.retain(|(_, key)| key != id);
        self.0.len() < before
    }

    pub fn expire(&mut self, now_us: u64) {
        while self.0.first().is_some_and(|(expires_us, _)| *expires_us <= now_us) {
            self.0.pop_first();
        }
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// How long a repeat of a request may come, counted from now: its window begins with its arrival.
pub(super) fn time_to_live_us(arrived_us: u64, window_us: u64, now_us: u64) -> u64 {
    (arrived_us + window_us).saturating_sub(now_us) + EXPIRY_MARGIN_US
}
