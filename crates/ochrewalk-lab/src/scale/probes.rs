//! Changes whose effect at real nodes is seen by requests: each real node's scope has one route more, which is published and
//! deleted in turn, and requests are sent until the node answers by it.

use super::monotonic_us;
use super::options::FleetShape;
use crate::ajp::{Call, Peer};
use ochrewalk_distribution::messages::Resource;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

const BETWEEN_REQUESTS: Duration = Duration::from_millis(2);
/// A change that no request goes by after so long counts as never in force.
const LONGEST_WAIT_US: u64 = 30_000_000;
const PATIENCE: Duration = Duration::from_secs(5);
const NO_ROUTE: u16 = 404;

/// A change that will be watched for at a real node.
pub struct Probe {
    node: usize,
    is_routed: bool,
    pub change: Resource,
}

/// Times until changes were in force at real nodes.
#[derive(Debug, Default)]
pub struct ProbeTimes {
    pub in_force_us: Vec<u64>,
    pub never: u64,
}

struct ProbedNode {
    address: SocketAddr,
    /// What was published last.
    is_routed: bool,
    watch: Option<JoinHandle<Option<u64>>>,
}

/// The probes of all real nodes, one after another.
pub struct RouteProbes {
    nodes: Vec<ProbedNode>,
    next: usize,
    times: ProbeTimes,
}

impl RouteProbes {
    /// For nodes whose AJP fronts are there.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> RouteProbes {
        let node = |address| ProbedNode { address, is_routed: false, watch: None };
        let nodes = addresses.into_iter().map(node).collect();
        RouteProbes { nodes, next: 0, times: ProbeTimes::default() }
    }

    /// The next change to publish; none where the next node may not be probed now, or its last change is still watched for.
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
        match probed.watch.take() {
            Some(watch) if !watch.is_finished() => {
                probed.watch = Some(watch);
                return None;
            }
            Some(watch) => self.times.add(watch),
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

    /// It was published, by a request sent at that time.
    pub fn published(&mut self, probe: &Probe, sent_us: u64) {
        let probed = &mut self.nodes[probe.node];
        probed.is_routed = probe.is_routed;
        let (address, is_routed, path) = (probed.address, probe.is_routed, FleetShape::probe_path());
        probed.watch = Some(std::thread::spawn(move || watch(address, path, is_routed, sent_us)));
    }

    /// Waits for what is still watched for, and gives all times.
    pub fn finish(&mut self) -> ProbeTimes {
        for watch in self.nodes.iter_mut().filter_map(|node| node.watch.take()) {
            self.times.add(watch);
        }
        std::mem::take(&mut self.times)
    }
}

impl ProbeTimes {
    fn add(&mut self, watch: JoinHandle<Option<u64>>) {
        match watch.join().ok().flatten() {
            Some(us) => self.in_force_us.push(us),
            None => self.never += 1,
        }
    }
}

/// Sends requests until they go by a change, and gives the microseconds that this took from its publication.
fn watch(address: SocketAddr, path: &'static str, is_routed: bool, sent_us: u64) -> Option<u64> {
    let mut peer: Option<Peer> = None;
    let mut number = 0u64;
    while monotonic_us() < sent_us + LONGEST_WAIT_US {
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
            None => peer = Peer::connect(address, PATIENCE).ok(),
        }
        std::thread::sleep(BETWEEN_REQUESTS);
    }
    None
}
