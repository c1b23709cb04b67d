//! Decides when the next bytes may be sent under a rate limit.

pub(crate) const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
const MICROSECONDS_PER_SECOND: u128 = 1_000_000;

/// Spaces messages out in time: each message may be sent once the time that the earlier messages take at the rate has
/// passed. In any time span at most the bytes that the rate allows are sent, plus one message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Pacer {
    /// The rate; 0 for no bound.
    bytes_per_second: u64,
    free_at_us: u64,
}

impl Pacer {
    pub(crate) fn new(bytes_per_second: u64) -> Self {
        Self { bytes_per_second, free_at_us: 0 }
    }

    /// Returns the time from which the next message may be sent; a time in the past if it may be sent now.
    pub(crate) fn free_at_us(&self) -> u64 {
        self.free_at_us
    }

    /// Records that a message of `bytes` is sent now.
    pub(crate) fn charge(&mut self, bytes: usize, now_us: u64) {
        let cost_us = self.cost_us(bytes as u64);
        self.free_at_us = self.free_at_us.max(now_us).saturating_add(cost_us);
    }

    /// Returns the time that `bytes` take at the rate.
    pub(crate) fn cost_us(&self, bytes: u64) -> u64 {
        if self.bytes_per_second == 0 {
            return 0;
        }
        let cost_us = u128::from(bytes) * MICROSECONDS_PER_SECOND / u128::from(self.bytes_per_second);
        u64::try_from(cost_us).unwrap_or(u64::MAX)
    }
}
