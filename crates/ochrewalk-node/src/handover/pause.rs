//! The pause of this process, which everything that reads, writes, accepts or calls checks first.

use std::sync::atomic::{AtomicBool, Ordering};

/// Set while this process is paused. Nothing is read, written, accepted or called then, so that a snapshot stays valid
/// until the successor continues from it.
static PAUSED: AtomicBool = AtomicBool::new(false);

/// Whether this process is paused.
pub fn is_paused() -> bool {
    PAUSED.load(Ordering::Relaxed)
}

/// Pauses this process.
pub fn pause() {
    PAUSED.store(true, Ordering::Relaxed);
}

/// Ends the pause. The caller has to have all connections checked again, as none was served during the pause.
pub fn resume() {
    PAUSED.store(false, Ordering::Relaxed);
}
