//! What the analysis is given: the counts of all nodes over one sampling interval.

/// What a node counted of one method in one sampling interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Calls that were answered, in whatever way.
    pub calls: u32,
    /// Of those, calls without a served answer within the latency target.
    pub missed: u32,
    /// Of those, calls without any served answer: aborted or rejected.
    pub failed: u32,
}

/// One node's part of a sample.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeSample {
    /// The node's index in the plan.
    pub node: usize,
    /// The number of the node's zone: methods are compared within a zone.
    pub zone: u32,
    /// Whether the node runs the new version.
    pub is_changed: bool,
    /// The node was changed so recently that its caches and connections are cold; it is compared apart.
    pub is_warming_up: bool,
    /// Counts by method, in the order of the methods that the analysis was created with.
    pub methods: Vec<CallCounts>,
    /// How often the node was started without a command, since the controller began.
    pub restarts: u32,
    /// Resident memory of the process that serves, in KB.
    pub memory_kb: u64,
}

/// All nodes over one sampling interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Nodes that reported; a node that did not has no entry.
    pub nodes: Vec<NodeSample>,
    /// How many changed nodes should have reported.
    pub changed: usize,
    /// How many unchanged nodes should have reported.
    pub unchanged: usize,
}

impl Sample {
    /// The changed nodes that reported, or the unchanged ones.
    pub(super) fn side(&self, side: Side) -> impl Iterator<Item = &NodeSample> {
        self.nodes.iter().filter(move |node| Side::of(node) == side)
    }
}

/// Which of the two sides of the comparison a node is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Changed,
    Unchanged,
}

impl Side {
    pub(super) fn of(node: &NodeSample) -> Side {
        if node.is_changed {
            Side::Changed
        } else {
            Side::Unchanged
        }
    }
}
