//! The input of the analysis: the counts of all nodes over one sampling interval.

/// The counts of one node and method in one sampling interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Calls that were answered, whatever the answer.
    pub calls: u32,
    /// The number of those calls without a served answer within the latency target.
    pub missed: u32,
    /// The number of those calls without any served answer: aborted or rejected.
    pub failed: u32,
}

/// The part of a sample that one node has reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeSample {
    /// The node's index in the plan.
    pub node: usize,
    /// The number of the node's zone. Methods are compared within a zone.
    pub zone: u32,
    /// Whether the node runs the new version.
    pub is_changed: bool,
    /// Whether the node was changed so recently that its caches and connections are cold. Such a node is
    /// compared separately.
    pub is_warming_up: bool,
    /// Counts by method, in the order of the methods that the analysis was created with.
    pub methods: Vec<CallCounts>,
    /// The number of starts of the node without a command, since the controller began.
    pub restarts: u32,
    /// Resident memory of the process that is serving, in KB.
    pub memory_kb: u64,
}

/// All nodes over one sampling interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Nodes that reported; a node that did not report has no entry.
    pub nodes: Vec<NodeSample>,
    /// The number of changed nodes that should have reported.
    pub changed: usize,
    /// The number of unchanged nodes that should have reported.
    pub unchanged: usize,
}

impl Sample {
    /// Returns the nodes of one side that reported.
    pub(super) fn side(&self, side: Side) -> impl Iterator<Item = &NodeSample> {
        self.nodes.iter().filter(move |node| Side::of(node) == side)
    }
}

/// The side of the comparison that a node is on.
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
