//! The real nodes of a run: the node's program with stand-ins for its executor and directory.

use super::options::{region_name, FleetShape};
use super::workload::METHODS;
use super::ScaleError;
use crate::executor::{Executor, Work};
use crate::node::{config, directory, Node};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The first value of the third byte of real nodes' addresses, which is above those of relays.
const FIRST_NETWORK: u8 = 200;
const CALL_PORT: u16 = 7001;
const AJP_PORT: u16 = 8009;

/// The path of the route that all real nodes have from the start.
pub const OWN_PATH: &str = "/own";

/// Real nodes, and the stand-ins to which they connect.
pub struct RealNodes {
    pub nodes: Vec<Node>,
    /// The AJP listen address of each node.
    pub ajp_addresses: Vec<SocketAddr>,
    _executors: Vec<Executor>,
}

impl RealNodes {
    /// Starts `count` nodes, each of which subscribes to a separate scope at the relays of its region.
    pub fn start(
        program: &Path,
        shape: &FleetShape,
        count: u64,
        network: u8,
        folder: &Path,
    ) -> Result<RealNodes, ScaleError> {
        let directory = directory()?;
        let (mut nodes, mut executors) = (Vec::new(), Vec::new());
        for number in 0..count {
            let executor = Executor::start(1.0, works())?;
            let call_address = address(network, number, CALL_PORT);
            let mut config = config(call_address, executor.at, directory, settings());
            config["name"] = node_name(number).into();
            let operators = operators(shape, number, network, folder);
            nodes.push(Node::spawn(program, &config, &operators, "error").map_err(ScaleError::Node)?);
            executors.push(executor);
        }
        nodes.iter_mut().try_for_each(Node::wait).map_err(ScaleError::Node)?;
        let ajp_addresses = (0..count).map(|number| address(network, number, AJP_PORT)).collect();
        Ok(RealNodes { nodes, ajp_addresses, _executors: executors })
    }
}

/// Returns the name of a real node in the publisher's status.
pub fn node_name(number: u64) -> String {
    format!("real-{number}")
}

fn address(network: u8, number: u64, port: u16) -> SocketAddr {
    let (third, fourth) = (FIRST_NETWORK + (number / 200) as u8, 1 + (number % 200) as u8);
    SocketAddr::from(([127, network, third, fourth], port))
}

fn works() -> HashMap<String, Work> {
    let work =
        Work { core_us: 1_000, calls: false, is_exponential: false, max_wait: Duration::from_secs(10) };
    METHODS.map(|method| (method.to_string(), work)).into()
}

fn settings() -> Value {
    let method = |name: &str| {
        json!({"name": name, "idempotency": "free", "worth": 1.0, "on-time-ns": 4_000_000_000u64,
               "deadline-ns": 8_000_000_000u64, "window-ns": 20_000_000_000u64})
    };
    json!({
        "categories": METHODS.map(method),
        "extra": {"below": "silent", "cores": 1, "memory-kb": 400_000.0, "run-mem-factor": 2.0, "key-kb": 0.1,
                  "signal": "weight", "stop-mode": "drop", "gauges": ["cpu_busy", "runnable"],
                  "calls-by-class": [false, false], "callers": 8, "keepalive-max-ns": 30_000_000_000u64},
        "policy-limits": {"retry-after": true, "max-retry-after-ns": 1_000_000_000}, "servers": 1,
        "rules": {"cold-from": 0.3, "drain-grace-ns": 300_000_000, "fall-multiple": 8.0,
                  "warm-within-ns": 60_000_000_000u64}
    })
}

fn operators(shape: &FleetShape, number: u64, network: u8, folder: &Path) -> String {
    let region = shape.region_of(number);
    let relays = shape.relay_addresses(network, region);
    let relays: String = relays.iter().map(|relay| format!("config relay {relay}\n")).collect();
    format!(
        "ajp listen {}\najp allow 127.0.0.0/8\najp memory 20.5\najp header tenant X-Tenant\n\
         ajp route POST {OWN_PATH} {}\n{relays}config region {}\nconfig scope {}\nconfig snapshot {}\n",
        address(network, number, AJP_PORT),
        METHODS[0],
        region_name(region),
        shape.scope(number),
        folder.join(node_name(number)).display()
    )
}
