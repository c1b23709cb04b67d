//! Decides which node is changed next: up to the stage's number, spread over zones, with never more nodes out of service at once
//! than the plan allows, those that are out for reasons of their own included; and reverts newest first, under the same bound.

use crate::version::Version;
use std::collections::BTreeMap;

/// What the controller has observed of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeState {
    /// What the node runs; none where that is not known.
    pub version: Option<Version>,
    /// The node responds, and serves.
    pub is_healthy: bool,
    /// The node answers when it is polled.
    pub responds: bool,
    /// A command is on its way, or being carried out.
    pub is_command_pending: bool,
    /// When the node was changed among the others, counted from 1; 0 where it was not.
    pub change_number: u32,
}

/// Why a plan cannot be carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StagePlanError {
    /// The plan has no nodes.
    #[error("it has no nodes")]
    NoNodes,
    /// No stage, one that is not larger than the one before, or a last one that is not all nodes.
    #[error("its stages do not rise up to all nodes")]
    Stages,
    /// No node may be out of service, or all may be.
    #[error("no node may be out of service, or all may be")]
    MaxUnavailable,
}

/// Which nodes each stage changes, and how many may be out of service at once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StagePlan {
    zones: Vec<u32>,
    /// How many nodes are changed at the end of each stage.
    stages: Vec<usize>,
    max_unavailable: usize,
}

/// How far a zone is changed.
#[derive(Clone, Copy, Default)]
struct ZoneProgress {
    changed: usize,
    nodes: usize,
}

impl ZoneProgress {
    /// The zone with the lowest rank is next: the least changed, in thousandths; of zones that are as far, the larger one, as it
    /// loses the smaller part by one node more.
    fn rank(self) -> (usize, usize) {
        (self.changed * 1_000 / self.nodes, usize::MAX - self.nodes)
    }
}

impl StagePlan {
    /// `zones` has the zone of each node; `stages`, how many nodes are changed at the end of each stage; `max_unavailable`,
    /// how many may be out of service at once. A fleet of one node may have that one out.
    ///
    /// # Errors
    ///
    /// Where there are no nodes, the stages do not rise up to all nodes, or the bound allows no node to be out, or all.
    pub fn new(
        zones: Vec<u32>,
        stages: Vec<usize>,
        max_unavailable: usize,
    ) -> Result<StagePlan, StagePlanError> {
        if zones.is_empty() {
            return Err(StagePlanError::NoNodes);
        }
        let rises = stages.first().is_some_and(|first| *first > 0)
            && stages.windows(2).all(|neighbours| neighbours[0] < neighbours[1]);
        if !rises || stages.last() != Some(&zones.len()) {
            return Err(StagePlanError::Stages);
        }
        if max_unavailable == 0 || max_unavailable >= zones.len().max(2) {
            return Err(StagePlanError::MaxUnavailable);
        }
        Ok(StagePlan { zones, stages, max_unavailable })
    }

    /// How many nodes the plan has.
    pub fn node_count(&self) -> usize {
        self.zones.len()
    }

    /// The zone of a node.
    pub fn zone(&self, node: usize) -> u32 {
        self.zones[node]
    }

    /// How many stages the plan has.
    pub fn stage_count(&self) -> usize {
        self.stages.len()
    }

    /// How many nodes are changed at the end of that stage; beyond the last stage, all.
    pub fn target_count(&self, stage: usize) -> usize {
        self.stages[stage.min(self.stages.len() - 1)]
    }

    /// How many more nodes may be taken out of service.
    fn remaining_unavailable(&self, states: &[NodeState]) -> usize {
        let out = states.iter().filter(|node| !node.is_healthy || node.is_command_pending).count();
        self.max_unavailable.saturating_sub(out)
    }

    /// The next node to change in that stage, if one may be changed now.
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

    /// The next node to revert, if one may be now. A node that responds and is unhealthy goes first: it is out of service
    /// already, and may be so by what it runs. A node that does not respond is waited for.
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

    /// The next node to be told to keep its change for good, of those that have not confirmed it.
    pub fn next_to_confirm(
        &self,
        states: &[NodeState],
        is_confirmed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let may_be_told = |node: &usize| {
            states[*node].is_healthy && !states[*node].is_command_pending && !is_confirmed(*node)
        };
        (0..states.len()).find(may_be_told).filter(|_| self.remaining_unavailable(states) > 0)
    }

    /// Whether fewer nodes are changed than the stage asks for: some have reverted by themselves, or were restarted.
    pub fn is_below_target(&self, states: &[NodeState], stage: usize) -> bool {
        let is_old = |node: &&NodeState| node.version == Some(Version::Old) && node.is_healthy;
        self.zones.len() - states.iter().filter(is_old).count() < self.target_count(stage)
    }

    /// Whether as many nodes as the stage asks for are changed and healthy.
    pub fn is_reached(&self, states: &[NodeState], stage: usize) -> bool {
        let is_changed = |node: &&NodeState| {
            node.version == Some(Version::New) && node.is_healthy && !node.is_command_pending
        };
        states.iter().filter(is_changed).count() >= self.target_count(stage)
    }
}

/// A node with a pending command counts as changed: the reply may be lost.
fn counts_as_changed(node: &NodeState) -> bool {
    node.version == Some(Version::New) || node.is_command_pending
}
