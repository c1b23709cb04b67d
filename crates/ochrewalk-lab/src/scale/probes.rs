//! Probes of changes at real nodes: the scope of each real node has an additional route, which is published and
//! deleted alternately, and requests are sent until the node's answers show the change.

use super::monotonic_us;
use super::options::FleetShape;
use crate::ajp::{Call, Peer};
use ochrewalk_distribution::messages::Resource;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

const REQUEST_INTERVAL: Duration = Duration::from_millis(2);
/// The time after which a change that no answer shows counts as never in force.
const MAX_WAIT_US: u64 = 30_000_000;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const NO_ROUTE: u16 = 404;

/// A change that is probed at a real node.
pub struct Probe {
    node: usize,
    is_routed: bool,
    pub change: Resource,
}

/// The times until changes were in force at real nodes.
#[derive(Debug, Default)]
pub struct ProbeTimes {
    pub in_force_us: Vec<u64>,
    pub never: u64,
}

struct ProbedNode {
    address: SocketAddr,
    /// Whether the last published change set the route.
    is_routed: bool,
    pending: Option<JoinHandle<Option<u64>>>,
}

/// The probes of all real nodes, which are probed in turn.
pub struct RouteProbes {
    nodes: Vec<ProbedNode>,
    next: usize,
    times: ProbeTimes,
}

impl RouteProbes {
    /// Creates probes for nodes with these AJP addresses.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> RouteProbes {
        let node = |address| ProbedNode { address, is_routed: false, pending: None };
        let nodes = addresses.into_iter().map(node).collect();
        RouteProbes { nodes, next: 0, times: ProbeTimes::default() }
    }

    /// Returns the next change to publish, or `None` if the next node may not be probed now or its last change is
    /// still pending.
    pub fn next(&mut self, shape: &FleetShape, may_probe: impl Fn(u64) -> bool) -> Option<Probe> {
        if self.nodes.is_empty() {
            return None;
        }
        let node = self.next;
        self.next = (node + 1) % self.nodes.len();
        if !may_probe(node as u64) {
            return None;
        }
        let probed = &mut self.nodes[node];
        match probed.pending.take() {
            Some(pending) if !pending.is_finished() => {
                probed.pending = Some(pending);
                return None;
            }
            Some(pending) => self.times.add(pending),
            None => {}
        }
        let is_routed = !probed.is_routed;
        let scope = node as u64;
        let change = if is_routed {
            shape.probe_set(scope)
        } else {
            Resource { name: shape.probe(scope), revision: 0, value: None }
        };
        Some(Probe { node, is_routed, change })
    }

    /// Starts to probe a change that was published by a request sent at `sent_us`.
    pub fn published(&mut self, probe: &Probe, sent_us: u64) {
        let probed = &mut self.nodes[probe.node];
        probed.is_routed = probe.is_routed;
        let (address, is_routed, path) = (probed.address, probe.is_routed, FleetShape::probe_path());
        probed.pending =
            Some(std::thread::spawn(move || probe_until_in_force(address, path, is_routed, sent_us)));
    }

    /// Waits for pending changes and returns all times.
    pub fn finish(&mut self) -> ProbeTimes {
        for pending in self.nodes.iter_mut().filter_map(|node| node.pending.take()) {
            self.times.add(pending);
        }
        std::mem::take(&mut self.times)
    }
}

impl ProbeTimes {
    fn add(&mut self, pending: JoinHandle<Option<u64>>) {
        match pending.join().ok().flatten() {
            Some(us) => self.in_force_us.push(us),
            None => self.never += 1,
        }
    }
}

/// Sends requests until the answers show a change, and returns the microseconds since its publication.
fn probe_until_in_force(
    address: SocketAddr,
    path: &'static str,
    is_routed: bool,
    sent_us: u64,
) -> Option<u64> {
    let mut peer: Option<Peer> = None;
    let mut number = 0u64;
    while monotonic_us() < sent_us + MAX_WAIT_US {
        number += 1;
        let id = format!("{:08x}{number:08x}", sent_us as u32);
        let call = Call {
            method: "POST",
            uri: path,
            headers: vec![("x-request-id", id)],
            secret: None,
            body: &sent_us.to_be_bytes(),
        };
        let answer = peer.as_mut().and_then(|peer| peer.call(&call).ok());
        match answer {
            Some(answer) if (answer.status != NO_ROUTE) == is_routed => {
                return Some(monotonic_us().saturating_sub(sent_us).max(1));
            }
            Some(_) => {}
            None => peer = Peer::connect(address, REQUEST_TIMEOUT).ok(),
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    None
}
