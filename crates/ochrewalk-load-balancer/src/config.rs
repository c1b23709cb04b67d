//! The operators' load-balancing settings, and the endpoints that they list.

use crate::health::OutlierEjection;
use crate::policy::BalancingPolicy;
use crate::subset::Subsetting;

/// An endpoint of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// A hash of the endpoint's address, the same in every process.
    pub key: u64,
    /// The endpoint's capacity relative to that of the others; above 0.
    pub weight: f64,
    /// Whether the endpoint is in this node's zone; true for all endpoints if zones are not configured.
    pub is_local_zone: bool,
}

impl Endpoint {
    /// Creates an endpoint of weight 1 in this node's zone.
    pub fn new(key: u64) -> Endpoint {
        Endpoint { key, weight: 1.0, is_local_zone: true }
    }
}

/// The load-balancing settings of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancingConfig {
    /// The policy that chooses an endpoint of the subset for each call.
    pub policy: BalancingPolicy,
    /// The selection of the endpoints that the node calls.
    pub subsetting: Subsetting,
    /// Whether shares are adapted to the endpoints' latencies and failures.
    pub uses_learned_weights: bool,
    /// The settings of ejection and slow start.
    pub ejection: OutlierEjection,
}

impl Default for BalancingConfig {
    fn default() -> BalancingConfig {
        let ejection = OutlierEjection {
            consecutive_failures: 3,
            base_ejection_us: 200_000,
            max_ejection_us: 3_000_000,
            slow_start_us: 3_000_000,
        };
        BalancingConfig {
            policy: BalancingPolicy::LatencyAwareRoundRobin,
            subsetting: Subsetting::All,
            uses_learned_weights: true,
            ejection,
        }
    }
}
