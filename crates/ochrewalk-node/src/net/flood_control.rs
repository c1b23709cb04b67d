//! Limits the share of the worker that connections may take whose input never ends.
//!
//! The runtime's worker polls for I/O only once no coroutine is ready. A coroutine that yields stays ready, so a connection
//! with ever more input would keep every other connection from being read and written. A connection that has used up its
//! turn therefore sleeps. The more connections sleep for that reason, the longer each of them does, so that all of them
//! together take a bounded share.

use crate::clock::channel_timeout;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The number of a client's messages that are handled in one turn: twice the RPCs that a client may have open, so that all of
/// them may be revoked.
pub const MAX_CLIENT_MESSAGES_PER_TURN: usize = 64;
/// The number of a trusted peer's messages that are handled in one turn.
pub const MAX_TRUSTED_MESSAGES_PER_TURN: usize = 1_024;
/// The time for which a connection sleeps for each message of a turn that it has used up, in microseconds.
const SLEEP_PER_MESSAGE_US: u64 = 250;
/// The longest sleep, in microseconds.
const MAX_SLEEP_US: u64 = 2_000_000;
/// The sleep of a connection to a trusted peer, in which the worker polls for I/O.
const POLL_SLEEP: Duration = Duration::from_millis(1);

/// The number of client connections that have used up their turn and sleep.
static SLEEPING_CLIENTS: AtomicU32 = AtomicU32::new(0);

/// Counts a connection as sleeping until it is dropped.
struct Sleeping;

impl Sleeping {
    /// Returns the guard and the number of connections that sleep, with this one.
    fn begin() -> (Sleeping, u32) {
        (Sleeping, SLEEPING_CLIENTS.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

impl Drop for Sleeping {
    fn drop(&mut self) {
        SLEEPING_CLIENTS.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Lets a client's connection, which has handled this many messages in its turn, sleep until its next turn.
pub fn sleep_after_client_turn(messages: usize) {
    let (_guard, sleeping) = Sleeping::begin();
    may::coroutine::sleep(client_sleep(messages, sleeping));
}

/// Lets the worker poll for I/O before the connection of a trusted peer continues.
pub fn sleep_after_trusted_turn() {
    may::coroutine::sleep(POLL_SLEEP);
}

/// Returns the sleep after a turn of this many messages, while `sleeping` connections sleep for the same reason.
pub fn client_sleep(messages: usize, sleeping: u32) -> Duration {
    let messages = u64::try_from(messages).unwrap_or(u64::MAX).max(1);
    let sleep_us = SLEEP_PER_MESSAGE_US.saturating_mul(messages).saturating_mul(u64::from(sleeping));
    channel_timeout(sleep_us.min(MAX_SLEEP_US))
}
