//! How this process hands all that it holds to its successor, and takes it from the one before: what is written down
//! (`records`), the standstill, the Unix socket that descriptors go over (`wire`), the two sides (`give`, `take`) and
//! the keeper that starts both and says who may act; `orders` is its part in a rolling change. A program speaks to its keeper
//! by `supervisor_link`; `counter_report` is what it reports there.

pub mod counter_report;
pub mod give;
pub mod keeper;
pub mod orders;
pub mod records;
pub mod supervisor_link;
pub mod take;
pub mod warden;
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
