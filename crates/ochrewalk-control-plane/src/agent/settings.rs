//! Settings of an agent, and its counters.

use ochrewalk_distribution::{Interest, RelayChoiceLimits, SubscriptionLimits};
use std::net::SocketAddr;

/// The identity of an agent, and what it wants.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The name of the subscriber, unique in the fleet.
    pub node: String,
    /// The region that it runs in.
    pub region: String,
    /// The servers that it may follow.
    pub relays: Vec<SocketAddr>,
    /// What it wants from the start.
    pub interest: Interest,
    /// Bounds on what it is sent.
    pub limits: SubscriptionLimits,
    /// Times of attempts, probes and returns.
    pub choice: RelayChoiceLimits,
    /// The most single names watched at a time.
    pub max_names: usize,
    /// The seed of the random times between attempts.
    pub seed: u64,
}

/// What an agent has done, for measurements and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// Connections begun.
    pub connections: u64,
    /// Complete updates applied.
    pub updates: u64,
    /// Complete updates rejected.
    pub rejected: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}
