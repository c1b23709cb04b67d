//! What an agent is told at its start, and what it has counted since.

use ochrewalk_distribution::{Interest, RelayChoiceLimits, SubscriptionLimits};
use std::net::SocketAddr;

/// Who an agent is and what it wants.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    pub node: String,
    pub region: String,
    pub relays: Vec<SocketAddr>,
    pub interest: Interest,
    pub limits: SubscriptionLimits,
    pub choice: RelayChoiceLimits,
    /// Single names held at a time.
    pub max_names: usize,
    /// What the jitter of reconnections is drawn from.
    pub seed: u64,
}

/// What an agent has done, for measurements and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    pub connections: u64,
    pub updates: u64,
    pub rejected: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}
