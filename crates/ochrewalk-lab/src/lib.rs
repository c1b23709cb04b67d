//! The project's laboratory: stand-ins for a node's executor, for the ledger below it and for its callers by both
//! protocols, and a checker of the rules. All on loopback, bounded in time, from one seed.

pub mod ajp;
pub mod balancing_trial;
pub mod call_log;
pub mod canary_trial;
pub mod capacity;
pub mod changes;
pub mod cold_endpoints;
pub mod control_proxy;
pub mod dependency;
pub mod emulated;
pub mod executor;
pub mod faults;
pub mod faulty_links;
pub mod fleet;
pub mod json;
pub mod limits_trial;
pub mod load;
pub mod node;
pub mod plot;
pub mod rollouts;
pub mod scale;
pub mod slopes;
pub mod upgrades;

use std::time::{SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
