//! Decides which node is changed next: up to the stage's number, spread over zones, never more out of service at once than
//! the plan allows, whoever is out for reasons of its own included; and back newest first, under the same bound.

use crate::Version;
use std::collections::BTreeMap;

/// What the conductor knows of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeState {
    /// None where it has not said so yet.
    pub version: Option<Version>,
    /// It answers, and serves.
    pub is_healthy: bool,
    /// It says how it stands.
    pub responds: bool,
    /// An order is on its way, or being carried out.
    pub is_command_pending: bool,
    /// When it was changed among the others; 0 where it was not.
    pub change_number: u32,
}

/// A plan that cannot be gone through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StagePlanError {
    NoNodes,
    /// No stage, one that is not larger than the one before, or a last one that is not all nodes.
    Stages,
    /// None may be out of service, or all.
    MaxUnavailable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StagePlan {
    zones: Vec<u32>,
    /// How many nodes are changed at the end of each stage.
    stages: Vec<usize>,
    max_unavailable: usize,
}

impl StagePlan {
    /// Nodes by their zone; stages by how many nodes are changed at their end. With one node, one may be out.
    pub fn new(
        zones: Vec<u32>,
        stages: Vec<usize>,
        max_unavailable: usize,
    ) -> Result<StagePlan, StagePlanError> {
        if zones.is_empty() {
            return Err(StagePlanError::NoNodes);
        }
        let rises = stages.first().is_some_and(|first| *first > 0) && stages.windows(2).all(|w| w[0] < w[1]);
        if !rises || stages.last() != Some(&zones.len()) {
            return Err(StagePlanError::Stages);
        }
        if max_unavailable == 0 || max_unavailable >= zones.len().max(2) {
            return Err(StagePlanError::MaxUnavailable);
        }
        Ok(StagePlan { zones, stages, max_unavailable })
    }

    pub fn node_count(&self) -> usize {
        self.zones.len()
    }

    pub fn zone(&self, node: usize) -> u32 {
        self.zones[node]
    }

    pub fn stage_count(&self) -> usize {
        self.stages.len()
    }

    /// How many nodes are changed at the end of that stage.
    pub fn target_count(&self, stage: usize) -> usize {
        self.stages[stage.min(self.stages.len() - 1)]
    }

    /// How many more may be taken out of service.
    fn remaining_unavailable(&self, states: &[NodeState]) -> usize {
        let out = states.iter().filter(|node| !node.is_healthy || node.is_command_pending).count();
        self.max_unavailable.saturating_sub(out)
    }

    /// The next node to change in that stage, if one may be changed now.
    pub fn next_to_change(&self, states: &[NodeState], stage: usize) -> Option<usize> {
        // One that is ordered counts: its answer may be lost.
        let is_new = |node: &NodeState| node.version == Some(Version::New) || node.is_command_pending;
        if self.remaining_unavailable(states) == 0
            || states.iter().filter(|node| is_new(node)).count() >= self.target_count(stage)
        {
            return None;
        }
        let mut shares: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
        for (zone, node) in self.zones.iter().zip(states) {
            let share = shares.entry(*zone).or_default();
            share.0 += usize::from(is_new(node));
            share.1 += 1;
        }
        let share = |node: usize| {
            let (changed, all) = shares[&self.zones[node]];
            // Of zones that are as far, the larger one loses less.
            (changed * 1_000 / all, usize::MAX - all)
        };
        let may = |node: &usize| {
            let of = &states[*node];
            of.is_healthy && !of.is_command_pending && of.version == Some(Version::Old)
        };
        (0..states.len()).filter(may).min_by_key(|node| (share(*node), *node))
    }

    /// The next node to change back, if one may be now. One that answers and is not well goes first: it is out of service
    /// already, and may be so by what it runs.
    pub fn next_to_revert(&self, states: &[NodeState]) -> Option<usize> {
        let newest = |is_healthy: bool| {
            let may = |node: &usize| {
                let of = &states[*node];
                of.responds
                    && of.is_healthy == is_healthy
                    && !of.is_command_pending
                    && of.version == Some(Version::New)
            };
            (0..states.len()).filter(may).max_by_key(|node| (states[*node].change_number, *node))
        };
        let ordered = states.iter().filter(|node| node.is_command_pending).count();
        let ill = newest(false).filter(|_| ordered < self.max_unavailable);
        ill.or_else(|| newest(true).filter(|_| self.remaining_unavailable(states) > 0))
    }

    /// The next node to be told that what it runs is for good, of those that were not told yet.
    pub fn next_to_confirm(
        &self,
        states: &[NodeState],
        is_confirmed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let may = |node: &usize| {
            states[*node].is_healthy && !states[*node].is_command_pending && !is_confirmed(*node)
        };
        (0..states.len()).find(may).filter(|_| self.remaining_unavailable(states) > 0)
    }

    /// Whether fewer run the new program than the stage asks for: some have gone back by themselves, or were started anew.
    pub fn is_below_target(&self, states: &[NodeState], stage: usize) -> bool {
        let is_old = |node: &&NodeState| node.version == Some(Version::Old) && node.is_healthy;
        self.zones.len() - states.iter().filter(is_old).count() < self.target_count(stage)
    }

    /// Whether all that the stage asks for are changed, and well.
    pub fn is_reached(&self, states: &[NodeState], stage: usize) -> bool {
        let there = |node: &&NodeState| {
            node.version == Some(Version::New) && node.is_healthy && !node.is_command_pending
        };
        states.iter().filter(there).count() >= self.target_count(stage)
    }
}
