//! How this process hands all that it holds to its successor, and takes it from the one before: what is written down
//! (`records`), the standstill, the Unix socket that descriptors go over (`wire`), the two sides (`give`, `take`) and
//! the supervisor that starts both and says who may act; `orders` is its part in a rolling change. A program speaks to its supervisor
//! by `supervisor_link`; `counter_report` is what it reports there.

pub mod counter_report;
pub mod give;
pub mod orders;
pub mod process_guard;
pub mod records;
pub mod supervisor;
pub mod supervisor_link;
pub mod take;
pub mod wire;

use std::sync::atomic::{AtomicBool, Ordering};

/// While it is set nothing is read, written, accepted or told: the state that was written down stays as it is.
static STILL: AtomicBool = AtomicBool::new(false);

pub fn stands_still() -> bool {
    STILL.load(Ordering::Relaxed)
}

pub fn stand_still(still: bool) {
    STILL.store(still, Ordering::Relaxed);
}
