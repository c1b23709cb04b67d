//! Test lab for nodes: stand-ins for a node's executor, for its upstream dependency and for its callers over both
//! protocols, and a checker of the rules that calls have to obey. Everything runs on loopback, takes a bounded time
//! and derives from one seed.

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
