//! The size of a fleet, as stored in a file of `deploy/sizes`.

use serde::Deserialize;

const SECONDS_PER_DAY: f64 = 86_400.0;
const HOURS_PER_DAY: f64 = 24.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The resources that a node may use for control.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeControlBudget {
    pub core_share: f64,
    pub memory_mb: f64,
    pub bytes_per_second: f64,
}

impl NodeControlBudget {
    pub fn memory_bytes(&self) -> f64 {
        self.memory_mb * BYTES_PER_MB
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    pub name: String,
    pub nodes: f64,
    pub callers: f64,
    pub services: f64,
    pub rpcs_per_second: f64,
    pub routes: f64,
    pub tenants: f64,
    pub added_latency_p99_ms: f64,
    pub regions: f64,
    pub zones: f64,
    pub changes_per_day: f64,
    pub change_in_force_within_s: f64,
    pub node_control_budget: NodeControlBudget,
    pub control_machines: f64,
    pub machine_failures_per_day: f64,
    pub restarts_per_day: f64,
}

impl FleetSize {
    /// Returns the number of routes and quotas, which a relay that serves all scopes stores.
    pub fn resources(&self) -> f64 {
        self.routes + self.tenants
    }

    /// Returns the number of nodes per region, rounded up: the size of the largest region if nodes are distributed
    /// evenly.
    pub fn nodes_per_region(&self) -> f64 {
        (self.nodes / self.regions).ceil()
    }

    pub fn nodes_per_zone(&self) -> f64 {
        (self.nodes / self.zones).ceil()
    }

    pub fn rpcs_per_node(&self) -> f64 {
        self.rpcs_per_second / self.nodes
    }

    /// Returns the mean rate over a day; the peak rate is not given.
    pub fn changes_per_second(&self) -> f64 {
        self.changes_per_day / SECONDS_PER_DAY
    }

    pub fn changes_per_hour(&self) -> f64 {
        self.changes_per_day / HOURS_PER_DAY
    }
}
