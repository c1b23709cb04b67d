//! Whether this process is paused.

use std::sync::atomic::{AtomicBool, Ordering};

/// While it is set nothing is read, written, accepted or told: the state that was written down stays as it is.
static PAUSED: AtomicBool = AtomicBool::new(false);

/// Whether this process is paused.
pub fn is_paused() -> bool {
    PAUSED.load(Ordering::Relaxed)
}

/// From here on nothing is read, written, accepted or told.
pub fn pause() {
    PAUSED.store(true, Ordering::Relaxed);
}

/// The pause is over.
pub fn resume() {
    PAUSED.store(false, Ordering::Relaxed);
}
