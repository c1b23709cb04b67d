//! How this process hands all that it holds to its successor, and takes it from the one before: what is written down
//! (`records`), the pause, the Unix socket that descriptors go over (`descriptor_socket`), the two sides (`predecessor`, `successor`) and
//! the supervisor that starts both and says who may act; `orders` is its part in a rolling change. A program speaks to its supervisor
//! by `supervisor_link`; `counter_report` is what it reports there.

pub mod counter_report;
pub mod descriptor_socket;
pub mod orders;
pub mod predecessor;
pub mod process_guard;
pub mod records;
pub mod successor;
pub mod supervisor;
pub mod supervisor_link;

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
