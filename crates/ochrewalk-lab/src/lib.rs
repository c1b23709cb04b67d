//! The project's laboratory: stand-ins for a node's executor, for the ledger below it and for its callers by both
//! protocols, and a checker of the rules. All on loopback, bounded in time, from one seed.

pub mod ajp;
pub mod book;
pub mod capacity;
pub mod changes;
pub mod cold_endpoints;
pub mod emulated;
pub mod executor;
pub mod faults;
pub mod fleet;
pub mod json;
pub mod judged;
pub mod ledger;
pub mod load;
pub mod node;
pub mod plot;
pub mod pooled;
pub mod relays;
pub mod rollouts;
pub mod scale;
pub mod slopes;
pub mod spreads;
pub mod upgrades;
pub mod wires;

use std::time::{SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
