//! What operators set of load balancing, and the endpoints that they list.

use crate::health::OutlierEjection;
use crate::policy::BalancingPolicy;
use crate::subset::Subsetting;

/// One endpoint of a list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// A hash of its address, the same in every process.
    pub key: u64,
    /// Its capacity relative to the others; above 0.
    pub weight: f64,
    /// Whether it is in this node's zone; true for all where zones are not set.
    pub is_local_zone: bool,
}

impl Endpoint {
    /// An endpoint of weight 1 in this node's zone.
    pub fn new(key: u64) -> Endpoint {
        Endpoint { key, weight: 1.0, is_local_zone: true }
    }
}

/// How calls are balanced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancingConfig {
    /// How one endpoint of the subset is chosen.
    pub policy: BalancingPolicy,
    /// Which of the endpoints the node calls.
    pub subsetting: Subsetting,
    /// Whether shares follow the endpoints' latencies and failures.
    pub uses_learned_weights: bool,
    /// Ejection and slow start.
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
