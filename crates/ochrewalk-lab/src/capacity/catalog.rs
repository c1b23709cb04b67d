//! Decides which quantities are estimated for a fleet size, from which slope each is computed, and which mechanism
//! implements it.

use super::estimate::{Demand, Unit};
use super::size::FleetSize;

pub const NODE: &str = "node";
pub const RELAY: &str = "relay";
pub const PUBLISHER: &str = "publisher";
/// The default connection limit of a relay.
pub const RELAY_CONNECTIONS: f64 = 4_000.0;
/// The number of relays per region, of which one may fail.
pub const RELAYS_PER_REGION: f64 = 2.0;

/// The size at which the slopes by percentage of a complete node's files represent all of them.
const WHOLE_PERCENT: f64 = 100.0;

/// The idempotency window in seconds, as in `deploy/node.json`.
const KEY_WINDOW_S: f64 = 20.0;

/// The mechanism that implements a part of the load, or a missing mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    Present { file: &'static str, what: &'static str },
    Missing { what: &'static str },
}

/// A role with its state and its mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Role {
    pub name: &'static str,
    pub state: &'static str,
    pub mechanism: Mechanism,
}

/// The roles and their mechanisms. Missing mechanisms come last: the first of them exceeds a budget by a measured
/// line, while the order of the others is a judgement.
pub const ROLES: [Role; 12] = [
    Role {
        name: NODE,
        state: "methods, routes and tenants of its files; distributed resources of its scopes; connections",
        mechanism: Mechanism::Present {
            file: "crates/ochrewalk-node/src/configuration",
            what: "applies updates while RPCs run",
        },
    },
    Role {
        name: NODE,
        state: "quotas of the tenants that it meets",
        mechanism: Mechanism::Present {
            file: "crates/ochrewalk-distribution/src/demand.rs",
            what: "quotas are fetched on first use, a bounded number",
        },
    },
    Role {
        name: RELAY,
        state: "all resources, one position for each subscriber",
        mechanism: Mechanism::Present {
            file: "crates/ochrewalk-control-plane/src/relay.rs",
            what: "follows the publisher and sends differences",
        },
    },
    Role {
        name: PUBLISHER,
        state: "all resources and a durable log",
        mechanism: Mechanism::Present {
            file: "crates/ochrewalk-control-plane/src/publisher.rs",
            what: "one process that accepts changes",
        },
    },
    Role {
        name: "rollout controller",
        state: "one state for each node",
        mechanism: Mechanism::Present {
            file: "crates/ochrewalk-rollout/src/controller",
            what: "changes nodes in stages",
        },
    },
    Role {
        name: "quotas",
        state: "a bucket for each tenant in debt, 65,536 at most",
        mechanism: Mechanism::Present {
            file: "src/admission/quota.rs",
            what: "a fixed part of each quota at each server",
        },
    },
    Role {
        name: "directory's reports",
        state: "one report of each node in each period",
        mechanism: Mechanism::Present {
            file: "crates/ochrewalk-node/src/net/directory.rs",
            what: "a node reports its value to the directory",
        },
    },
    Role {
        name: "caller's connection table",
        state: "a connection for each node that a caller may choose",
        mechanism: Mechanism::Missing { what: "no subset of nodes is assigned to callers" },
    },
    Role {
        name: PUBLISHER,
        state: "the log",
        mechanism: Mechanism::Missing {
            what: "no replication: the log is on one machine until an operator has another take over",
        },
    },
    Role {
        name: "quotas",
        state: "each tenant's use over the whole fleet",
        mechanism: Mechanism::Missing { what: "quotas are not moved between nodes by use" },
    },
    Role {
        name: "directory's reports",
        state: "reports summed by region",
        mechanism: Mechanism::Missing { what: "no aggregation on the way" },
    },
    Role {
        name: "rollout controller",
        state: "the state of a change",
        mechanism: Mechanism::Missing { what: "no division of one change among controllers of regions" },
    },
];

/// Returns all quantities that are estimated for a size.
pub fn demands(size: &FleetSize) -> Vec<Demand> {
    [node_memory(size), node_work(size), relay(size), publisher(size)].concat()
}

/// Returns the slopes and sizes of a node's files and connections, which are summed for a node that stores all
/// resources.
pub fn node_contents(size: &FleetSize) -> [(&'static str, f64); 5] {
    [
        ("node-memory-by-routes", size.routes),
        ("node-memory-by-methods", size.routes),
        ("node-memory-by-tenants", size.tenants),
        ("node-memory-by-endpoints", size.nodes),
        ("node-memory-by-connections", (size.callers / size.nodes).ceil()),
    ]
}

fn demand(role: &'static str, what: &str, unit: Unit, slope: &'static str, size: f64) -> Demand {
    Demand { role, what: what.into(), unit, slope, size, factor: 1.0, has_intercept: true, budget: None }
}

fn node_memory(size: &FleetSize) -> Vec<Demand> {
    let budget = Some(size.node_control_budget.memory_bytes());
    let memory =
        |what: &str, slope, amount| Demand { budget, ..demand(NODE, what, Unit::Bytes, slope, amount) };
    vec![
        memory("memory with all routes in the operators' file", "node-memory-by-routes", size.routes),
        memory("memory with as many methods in its file", "node-memory-by-methods", size.routes),
        memory("memory with all tenants in its file", "node-memory-by-tenants", size.tenants),
        memory("memory with all routes distributed to it", "node-memory-by-distributed-routes", size.routes),
        memory("memory with all nodes as endpoints upstream", "node-memory-by-endpoints", size.nodes),
        memory("memory with all of its files at once, settled", "node-memory-whole", WHOLE_PERCENT),
        memory(
            "the most memory with all of its files at once, at the start",
            "node-peak-memory-whole-at-start",
            WHOLE_PERCENT,
        ),
        memory(
            "the most memory with all of its files at once, once they were read again",
            "node-peak-memory-whole-at-reload",
            WHOLE_PERCENT,
        ),
        memory(
            "memory with one connection of each caller, callers spread evenly",
            "node-memory-by-connections",
            (size.callers / size.nodes).ceil(),
        ),
        memory(
            "memory if each RPC at the peak had an idempotency key, remembered for 20 s",
            "node-memory-by-idempotency-keys",
            size.rpcs_per_node() * KEY_WINDOW_S,
        ),
        memory("memory with a connection of every caller", "node-memory-by-connections", size.callers),
        demand(
            NODE,
            "descriptors with a connection of every caller",
            Unit::Descriptors,
            "node-descriptors-by-connections",
            size.callers,
        ),
    ]
}

fn node_work(size: &FleetSize) -> Vec<Demand> {
    let budget = size.node_control_budget;
    let rate = size.changes_per_second();
    vec![
        demand(
            NODE,
            "processor for RPCs at the peak (no part of control)",
            Unit::CoreShare,
            "node-cpu-by-rpc-rate",
            size.rpcs_per_node(),
        ),
        Demand {
            budget: Some(budget.core_share),
            ..demand(
                NODE,
                "processor at rest and with the mean rate of all changes, few routes held",
                Unit::CoreShare,
                "node-cpu-by-change-rate",
                rate,
            )
        },
        Demand {
            factor: rate,
            budget: Some(budget.core_share),
            ..demand(
                NODE,
                "processor for the mean rate of all changes alone, all routes held",
                Unit::CoreShare,
                "node-cpu-per-change-by-distributed-routes",
                size.routes,
            )
        },
        Demand {
            budget: Some(size.change_in_force_within_s),
            ..demand(
                NODE,
                "longest time until a change is in force, all routes held, on loopback",
                Unit::Seconds,
                "change-in-force-by-distributed-routes",
                size.routes,
            )
        },
        Demand {
            budget: Some(budget.bytes_per_second),
            ..demand(
                NODE,
                "bytes at the mean rate of all changes",
                Unit::BytesPerSecond,
                "node-bytes-by-change-rate",
                rate,
            )
        },
    ]
}

fn relay(size: &FleetSize) -> Vec<Demand> {
    let nodes = size.nodes_per_region();
    let rate = size.changes_per_second();
    vec![
        demand(
            RELAY,
            "memory for all routes and quotas",
            Unit::Bytes,
            "relay-memory-by-resources",
            size.resources(),
        ),
        demand(
            RELAY,
            "memory for a region's nodes, the other relay lost, few resources",
            Unit::Bytes,
            "relay-memory-by-subscribers",
            nodes,
        ),
        Demand {
            factor: rate,
            budget: Some(1.0),
            ..demand(
                RELAY,
                "processor for the mean rate of changes to a region's nodes that want everything, the other relay lost",
                Unit::CoreShare,
                "relay-cpu-per-change-by-subscribers",
                nodes,
            )
        },
        Demand {
            factor: rate,
            ..demand(
                RELAY,
                "bytes sent at the mean rate of changes to the same",
                Unit::BytesPerSecond,
                "relay-bytes-per-change-by-subscribers",
                nodes,
            )
        },
    ]
}

fn publisher(size: &FleetSize) -> Vec<Demand> {
    vec![demand(
        PUBLISHER,
        "memory for all routes and quotas",
        Unit::Bytes,
        "publisher-memory-by-resources",
        size.resources(),
    )]
}
