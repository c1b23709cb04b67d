//! Decides which node is changed next. Nodes are changed up to the stage's target number, spread over zones;
//! reverts start with the node changed last. In both directions the number of nodes out of service never
//! exceeds the plan's limit, and nodes that are out of service for unrelated causes count towards it.

use crate::version::Version;
use std::collections::BTreeMap;

/// The state of a node as the controller has observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeState {
    /// The version that the node runs; `None` if it is unknown.
    pub version: Option<Version>,
    /// Whether the node responds and is serving.
    pub is_healthy: bool,
    /// Whether the node answers polls.
    pub responds: bool,
    /// Whether a command was sent to the node and has not been answered.
    pub is_command_pending: bool,
    /// The node's position in the order of changes, counted from 1; 0 if the node was not changed.
    pub change_number: u32,
}

/// The reason for which a plan is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StagePlanError {
    /// The plan has no nodes.
    #[error("it has no nodes")]
    NoNodes,
    /// The plan has no stages, a stage is not larger than the one before, or the last one does not include
    /// all nodes.
    #[error("its stages do not increase up to the number of all nodes")]
    Stages,
    /// The limit allows no node to be out of service, or allows all.
    #[error("it allows no node to be out of service, or all nodes")]
    MaxUnavailable,
}

/// The number of nodes that each stage changes, and the number that may be out of service at once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StagePlan {
    zones: Vec<u32>,
    /// The number of changed nodes at the end of each stage.
    stages: Vec<usize>,
    max_unavailable: usize,
}

/// The number of changed nodes in a zone.
#[derive(Clone, Copy, Default)]
struct ZoneProgress {
    changed: usize,
    nodes: usize,
}

impl ZoneProgress {
    /// Returns the sort key of the zone; the zone with the lowest key is next. Zones are ordered by their
    /// changed share, in thousandths. Among zones with the same share the larger one is first, because one
    /// more node out of service is a smaller part of its capacity.
    fn rank(self) -> (usize, usize) {
        (self.changed * 1_000 / self.nodes, usize::MAX - self.nodes)
    }
}

impl StagePlan {
    /// Creates a plan. `zones` has the zone of each node; `stages` has the number of changed nodes at the end
    /// of each stage; `max_unavailable` is the number of nodes that may be out of service at once. In a fleet
    /// of one node, that node may be out of service.
    ///
    /// # Errors
    ///
    /// Returns an error if there are no nodes, if the stages do not increase up to the number of all nodes,
    /// or if the limit allows no node to be out of service, or all.
    pub fn new(
        zones: Vec<u32>,
        stages: Vec<usize>,
        max_unavailable: usize,
    ) -> Result<StagePlan, StagePlanError> {
        if zones.is_empty() {
            return Err(StagePlanError::NoNodes);
        }
        let is_ascending =
            stages.first().is_some_and(|first| *first > 0) && stages.windows(2).all(|pair| pair[0] < pair[1]);
        if !is_ascending || stages.last() != Some(&zones.len()) {
            return Err(StagePlanError::Stages);
        }
        if max_unavailable == 0 || max_unavailable >= zones.len().max(2) {
            return Err(StagePlanError::MaxUnavailable);
        }
        Ok(StagePlan { zones, stages, max_unavailable })
    }

    /// Returns the number of nodes in the plan.
    pub fn node_count(&self) -> usize {
        self.zones.len()
    }

    /// Returns the zone of a node.
    pub fn zone(&self, node: usize) -> u32 {
        self.zones[node]
    }

    /// Returns the number of stages in the plan.
    pub fn stage_count(&self) -> usize {
        self.stages.len()
    }

    /// Returns the number of changed nodes at the end of a stage; beyond the last stage, the number of all
    /// nodes.
    pub fn target_count(&self, stage: usize) -> usize {
        self.stages[stage.min(self.stages.len() - 1)]
    }

    /// Returns the number of further nodes that may be taken out of service.
    fn remaining_unavailable(&self, states: &[NodeState]) -> usize {
        let unavailable = states.iter().filter(|node| !node.is_healthy || node.is_command_pending).count();
        self.max_unavailable.saturating_sub(unavailable)
    }

    /// Returns the next node to change in a stage, or `None` if no node may be changed now.
    pub fn next_to_change(&self, states: &[NodeState], stage: usize) -> Option<usize> {
        let changed = states.iter().filter(|node| counts_as_changed(node)).count();
        if self.remaining_unavailable(states) == 0 || changed >= self.target_count(stage) {
            return None;
        }
        let progress = self.progress_by_zone(states);
        let may_be_changed = |node: &usize| {
            let state = &states[*node];
            state.is_healthy && !state.is_command_pending && state.version == Some(Version::Old)
        };
        (0..states.len())
            .filter(may_be_changed)
            .min_by_key(|node| (progress[&self.zones[*node]].rank(), *node))
    }

    fn progress_by_zone(&self, states: &[NodeState]) -> BTreeMap<u32, ZoneProgress> {
        let mut zones: BTreeMap<u32, ZoneProgress> = BTreeMap::new();
        for (zone, node) in self.zones.iter().zip(states) {
            let progress = zones.entry(*zone).or_default();
            progress.changed += usize::from(counts_as_changed(node));
            progress.nodes += 1;
        }
        zones
    }

    /// Returns the next node to revert, or `None` if no node may be reverted now. A node that responds and is
    /// unhealthy is first, because it is out of service already and the new version may be the cause. A node
    /// that does not respond is not selected until it responds.
    pub fn next_to_revert(&self, states: &[NodeState]) -> Option<usize> {
        let newest = |is_healthy: bool| {
            let may_be_reverted = |node: &usize| {
                let state = &states[*node];
                state.responds
                    && state.is_healthy == is_healthy
                    && !state.is_command_pending
                    && state.version == Some(Version::New)
            };
            (0..states.len()).filter(may_be_reverted).max_by_key(|node| (states[*node].change_number, *node))
        };
        let pending = states.iter().filter(|node| node.is_command_pending).count();
        let unhealthy = newest(false).filter(|_| pending < self.max_unavailable);
        unhealthy.or_else(|| newest(true).filter(|_| self.remaining_unavailable(states) > 0))
    }

    /// Returns the next node whose change has to be made permanent, among those that have not confirmed it.
    pub fn next_to_confirm(
        &self,
        states: &[NodeState],
        is_confirmed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let may_be_confirmed = |node: &usize| {
            states[*node].is_healthy && !states[*node].is_command_pending && !is_confirmed(*node)
        };
        (0..states.len()).find(may_be_confirmed).filter(|_| self.remaining_unavailable(states) > 0)
    }

    /// Whether fewer nodes than the stage's target are changed, because some have reverted automatically or
    /// were restarted.
    pub fn is_below_target(&self, states: &[NodeState], stage: usize) -> bool {
        let is_old = |node: &&NodeState| node.version == Some(Version::Old) && node.is_healthy;
        self.zones.len() - states.iter().filter(is_old).count() < self.target_count(stage)
    }

    /// Whether the stage's target number of nodes is changed and healthy.
    pub fn has_reached_target(&self, states: &[NodeState], stage: usize) -> bool {
        let is_changed = |node: &&NodeState| {
            node.version == Some(Version::New) && node.is_healthy && !node.is_command_pending
        };
        states.iter().filter(is_changed).count() >= self.target_count(stage)
    }
}

/// Whether a node counts as changed. A node with a pending command does, because its reply may have been
/// lost.
fn counts_as_changed(node: &NodeState) -> bool {
    node.version == Some(Version::New) || node.is_command_pending
}
