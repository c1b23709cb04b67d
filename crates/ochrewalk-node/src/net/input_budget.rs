//! Bounds the memory of messages that clients have begun and not completed. Hundreds of clients may each stop in the middle of
//! a message of the largest size; each of them is within its own limit, and all of them together would exceed that of the
//! process.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory that all connections of clients share for incomplete messages.
#[derive(Debug)]
pub struct InputBudget {
    max_bytes: usize,
    /// The size up to which a connection may always hold an incomplete message.
    share_bytes: usize,
    held_bytes: AtomicUsize,
}

/// The size of the incomplete message of one connection, as counted against the budget.
#[derive(Debug, Default)]
pub struct HeldInput(usize);

impl InputBudget {
    /// Returns a budget of `max_bytes` for up to `max_connections`.
    pub fn new(max_bytes: usize, max_connections: usize) -> InputBudget {
        let share_bytes = max_bytes / max_connections.max(1);
        InputBudget { max_bytes, share_bytes, held_bytes: AtomicUsize::new(0) }
    }

    /// Counts the incomplete message of a connection, which now has this many bytes. Returns false where the connection must
    /// not hold it: the budget is exceeded, and the message is larger than the connection's share.
    #[must_use]
    pub fn hold(&self, held: &mut HeldInput, bytes: usize) -> bool {
        let previous = std::mem::replace(&mut held.0, bytes);
        // Adds before it subtracts, so that the sum is never below zero.
        let total = self.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes - previous;
        self.held_bytes.fetch_sub(previous, Ordering::Relaxed);
        total <= self.max_bytes || bytes <= self.share_bytes
    }

    /// Releases what a connection holds, at its end.
    pub fn release(&self, held: &mut HeldInput) {
        self.held_bytes.fetch_sub(std::mem::take(&mut held.0), Ordering::Relaxed);
    }
}
