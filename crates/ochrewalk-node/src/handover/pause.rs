//! Whether this process is paused, for everything that reads, writes, accepts or calls.

use std::sync::atomic::{AtomicBool, Ordering};

/// While it is set nothing is read, written, accepted or called, so that a snapshot stays true until the successor goes
/// on from it.
static PAUSED: AtomicBool = AtomicBool::new(false);

/// Whether this process is paused.
pub fn is_paused() -> bool {
    PAUSED.load(Ordering::Relaxed)
}

/// Pauses this process.
pub fn pause() {
    PAUSED.store(true, Ordering::Relaxed);
}

/// Ends the pause. Connections that were left alone meanwhile have to be looked at again.
pub fn resume() {
    PAUSED.store(false, Ordering::Relaxed);
}
