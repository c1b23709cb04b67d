//! The settings of an agent, and its counters.

use ochrewalk_distribution::{Interest, RelayChoiceLimits, SubscriptionLimits};
use std::net::SocketAddr;

/// The identity of an agent, and the resources that it wants.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The name of the subscriber, unique in the fleet.
    pub node: String,
    /// The region of the subscriber.
    pub region: String,
    /// The servers that it may follow.
    pub relays: Vec<SocketAddr>,
    /// The resources that the agent wants from the start.
    pub interest: Interest,
    /// The bounds on updates that the agent is sent.
    pub limits: SubscriptionLimits,
    /// The times of attempts, probes and returns.
    pub choice: RelayChoiceLimits,
    /// The most single names watched at a time.
    pub max_names: usize,
    /// The seed of the random times between attempts.
    pub seed: u64,
}

/// The counters of an agent, for measurements and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounters {
    /// The number of connections begun.
    pub connections: u64,
    /// The number of complete updates applied.
    pub updates: u64,
    /// The number of complete updates rejected.
    pub rejected: u64,
    /// The number of bytes received.
    pub bytes_in: u64,
    /// The number of bytes sent.
    pub bytes_out: u64,
}
