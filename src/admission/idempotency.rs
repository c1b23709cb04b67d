//! Idempotency keys that the server remembers, tracked to account for their memory. A repeat of a request that must not
//! run twice shares the outcome of the first request instead of running.

use crate::host::RpcId;
use std::collections::BTreeSet;

/// The margin by which keys are counted beyond their time to live, as the server measures the time to live by its own
/// clock.
const EXPIRY_MARGIN_US: u64 = 1_000;

/// Remembered keys: the expiry time and the request of each.
#[derive(Default)]
pub(super) struct IdempotencyKeys(pub BTreeSet<(u64, RpcId)>);

impl IdempotencyKeys {
    pub fn insert(&mut self, now_us: u64, time_to_live_us: u64, id: RpcId) {
        self.0.insert((now_us + time_to_live_us + EXPIRY_MARGIN_US, id));
    }

    /// Removes the key of a request that never ran, and returns whether a key was removed.
    pub fn remove(&mut self, id: &RpcId) -> bool {
        let previous_len = self.0.len();
        self.0.retain(|(_, key)| key != id);
        self.0.len() < previous_len
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

/// Returns the time from now during which repeats of a request may arrive. The window begins at the request's arrival.
pub(super) fn time_to_live_us(arrived_us: u64, window_us: u64, now_us: u64) -> u64 {
    (arrived_us + window_us).saturating_sub(now_us) + EXPIRY_MARGIN_US
}
