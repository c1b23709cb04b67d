//! Bounds the memory of messages that clients have begun and not completed. Hundreds of clients may each stop in the middle of
//! a message of the largest size; each of them is within its own limit, and all of them together would exceed that of the
//! process.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory of all clients' connections for incomplete messages.
#[derive(Debug)]
pub struct InputBudget {
    max_bytes: usize,
    /// The size up to which a connection may always keep an incomplete message, in bytes.
    quota_bytes: usize,
    reserved_bytes: AtomicUsize,
}

/// The size of the incomplete message of one connection, as counted against the budget.
#[derive(Debug, Default)]
pub struct ReservedInput(usize);

impl InputBudget {
    /// Returns a budget of `max_bytes` for up to `max_connections`.
    pub fn new(max_bytes: usize, max_connections: usize) -> InputBudget {
        let quota_bytes = max_bytes / max_connections.max(1);
        InputBudget { max_bytes, quota_bytes, reserved_bytes: AtomicUsize::new(0) }
    }

    /// Counts the incomplete message of a connection, which now has this many bytes. Returns false where the connection must
    /// not keep it: the budget is exceeded, and the message is larger than the connection's quota.
    #[must_use]
    pub fn reserve(&self, reserved: &mut ReservedInput, bytes: usize) -> bool {
        let previous = std::mem::replace(&mut reserved.0, bytes);
        // Adds before it subtracts, so that the sum is never below zero.
        let total = self.reserved_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes - previous;
        self.reserved_bytes.fetch_sub(previous, Ordering::Relaxed);
        total <= self.max_bytes || bytes <= self.quota_bytes
    }

    /// Releases what a connection has reserved, at its end.
    pub fn release(&self, reserved: &mut ReservedInput) {
        self.reserved_bytes.fetch_sub(std::mem::take(&mut reserved.0), Ordering::Relaxed);
    }
}
