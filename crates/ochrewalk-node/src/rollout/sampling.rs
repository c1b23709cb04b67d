//! Makes samples for the analysis out of what nodes report when they are polled.

use super::polling::Polled;
use ochrewalk_operator_config::RolloutPlan;
use ochrewalk_rollout::messages::{MethodCounters, NodeStatus, ServingCounters};
use ochrewalk_rollout::{CallCounts, NodeSample, NodeState, Sample, Version};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What is remembered of a node from one sample to the next.
#[derive(Default)]
struct NodeHistory {
    last_status: Option<NodeStatus>,
    restarts: u32,
    changed_at: Option<Instant>,
}

/// Takes samples: what nodes have counted since the sample before.
pub(super) struct Sampler {
    /// A number for each node's zone.
    zones: Vec<u32>,
    warm_up: Duration,
    nodes: Vec<NodeHistory>,
}

impl Sampler {
    pub(super) fn new(plan: &RolloutPlan) -> Sampler {
        let names: Vec<&String> = plan.nodes.iter().map(|node| &node.zone).collect();
        let first_with = |name: &String| names.iter().position(|other| *other == name).unwrap_or(0) as u32;
        Sampler {
            zones: names.iter().map(|name| first_with(name)).collect(),
            warm_up: Duration::from_micros(plan.warm_up_us),
            nodes: plan.nodes.iter().map(|_| NodeHistory::default()).collect(),
        }
    }

    /// A node has just changed what it runs: it warms up from now on.
    pub(super) fn node_changed(&mut self, node: usize) {
        self.nodes[node].changed_at = Some(Instant::now());
    }

    /// The next sample. `states` is what the controller knows of the nodes, `polled` what they have just reported, `methods` the
    /// names to count by. A node is part of it from its second report on.
    pub(super) fn sample(&mut self, states: &[NodeState], polled: &[Polled], methods: &[String]) -> Sample {
        let count = |version| states.iter().filter(|state| state.version == Some(version)).count();
        let mut sample =
            Sample { changed: count(Version::New), unchanged: count(Version::Old), nodes: Vec::new() };
        for (node, status) in polled.iter().enumerate() {
            let Ok(status) = status else { continue };
            sample.nodes.extend(self.node_sample(node, &states[node], status, methods));
        }
        sample
    }

    /// None for the first report of a node, which there is nothing to compare with.
    fn node_sample(
        &mut self,
        node: usize,
        state: &NodeState,
        status: &NodeStatus,
        methods: &[String],
    ) -> Option<NodeSample> {
        let history = &mut self.nodes[node];
        let earlier = history.last_status.replace(status.clone())?;
        history.restarts += u32::from(earlier.incarnation != status.incarnation);
        let now = status.counters.clone().unwrap_or_default();
        Some(NodeSample {
            node,
            zone: self.zones[node],
            is_changed: state.version == Some(Version::New),
            is_warming_up: history.changed_at.is_some_and(|at| at.elapsed() < self.warm_up),
            methods: increases(&now, &earlier.counters.unwrap_or_default(), methods),
            restarts: history.restarts,
            memory_kb: now.memory_kb,
        })
    }
}

/// The names of all methods that nodes have counted, in order.
pub(super) fn method_names(polled: &[Polled]) -> Vec<String> {
    let counters = polled.iter().flatten().filter_map(|status| status.counters.as_ref());
    let methods = counters.flat_map(|counters| &counters.methods);
    let mut names: Vec<String> = methods.map(|method| method.name.clone()).collect();
    names.sort();
    names.dedup();
    names
}

/// What was counted between two reports, by method.
fn increases(now: &ServingCounters, earlier: &ServingCounters, methods: &[String]) -> Vec<CallCounts> {
    let (now, earlier) = (by_name(now), by_name(earlier));
    let increase = |name: &String| {
        let earlier = earlier.get(name.as_str()).copied();
        now.get(name.as_str()).map(|method| method.since(earlier)).unwrap_or_default()
    };
    methods.iter().map(increase).collect()
}

fn by_name(counters: &ServingCounters) -> HashMap<&str, &MethodCounters> {
    counters.methods.iter().map(|method| (method.name.as_str(), method)).collect()
}
