//! Decides which node is changed next: up to the stage's number, spread over zones, never more out of service at once than
//! the plan allows, whoever is out for reasons of its own included; and back newest first, under the same bound.

use crate::Variant;
use std::collections::BTreeMap;

/// What the conductor knows of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeState {
    /// None where it has not said so yet.
    pub program: Option<Variant>,
    /// It answers, and serves.
    pub is_well: bool,
    /// It says how it stands.
    pub answers: bool,
    /// An order is on its way, or being carried out.
    pub is_ordered: bool,
    /// When it was changed among the others; 0 where it was not.
    pub changed: u32,
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
    most_out: usize,
}

impl StagePlan {
    /// Nodes by their zone; stages by how many nodes are changed at their end. With one node, one may be out.
    pub fn new(zones: Vec<u32>, stages: Vec<usize>, most_out: usize) -> Result<StagePlan, StagePlanError> {
        if zones.is_empty() {
            return Err(StagePlanError::NoNodes);
        }
        let rises = stages.first().is_some_and(|first| *first > 0) && stages.windows(2).all(|w| w[0] < w[1]);
        if !rises || stages.last() != Some(&zones.len()) {
            return Err(StagePlanError::Stages);
        }
        if most_out == 0 || most_out >= zones.len().max(2) {
            return Err(StagePlanError::MaxUnavailable);
        }
        Ok(StagePlan { zones, stages, most_out })
    }

    pub fn nodes(&self) -> usize {
        self.zones.len()
    }

    pub fn zone(&self, node: usize) -> u32 {
        self.zones[node]
    }

    pub fn stages(&self) -> usize {
        self.stages.len()
    }

    /// How many nodes are changed at the end of that stage.
    pub fn target(&self, stage: usize) -> usize {
        self.stages[stage.min(self.stages.len() - 1)]
    }

    /// How many more may be taken out of service.
    fn room(&self, seen: &[NodeState]) -> usize {
        let out = seen.iter().filter(|node| !node.is_well || node.is_ordered).count();
        self.most_out.saturating_sub(out)
    }

    /// The next node to change in that stage, if one may be changed now.
    pub fn next(&self, seen: &[NodeState], stage: usize) -> Option<usize> {
        // One that is ordered counts: its answer may be lost.
        let is_new = |node: &NodeState| node.program == Some(Variant::New) || node.is_ordered;
        if self.room(seen) == 0 || seen.iter().filter(|node| is_new(node)).count() >= self.target(stage) {
            return None;
        }
        let mut shares: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
        for (zone, node) in self.zones.iter().zip(seen) {
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
            let of = &seen[*node];
            of.is_well && !of.is_ordered && of.program == Some(Variant::Old)
        };
        (0..seen.len()).filter(may).min_by_key(|node| (share(*node), *node))
    }

    /// The next node to change back, if one may be now. One that answers and is not well goes first: it is out of service
    /// already, and may be so by what it runs.
    pub fn back(&self, seen: &[NodeState]) -> Option<usize> {
        let newest = |is_well: bool| {
            let may = |node: &usize| {
                let of = &seen[*node];
                of.answers && of.is_well == is_well && !of.is_ordered && of.program == Some(Variant::New)
            };
            (0..seen.len()).filter(may).max_by_key(|node| (seen[*node].changed, *node))
        };
        let ordered = seen.iter().filter(|node| node.is_ordered).count();
        let ill = newest(false).filter(|_| ordered < self.most_out);
        ill.or_else(|| newest(true).filter(|_| self.room(seen) > 0))
    }

    /// The next node to be told that what it runs is for good, of those that were not told yet.
    pub fn confirm(&self, seen: &[NodeState], is_told: impl Fn(usize) -> bool) -> Option<usize> {
        let may = |node: &usize| seen[*node].is_well && !seen[*node].is_ordered && !is_told(*node);
        (0..seen.len()).find(may).filter(|_| self.room(seen) > 0)
    }

    /// Whether fewer run the new program than the stage asks for: some have gone back by themselves, or were started anew.
    pub fn has_shrunk(&self, seen: &[NodeState], stage: usize) -> bool {
        let is_old = |node: &&NodeState| node.program == Some(Variant::Old) && node.is_well;
        self.zones.len() - seen.iter().filter(is_old).count() < self.target(stage)
    }

    /// Whether all that the stage asks for are changed, and well.
    pub fn is_there(&self, seen: &[NodeState], stage: usize) -> bool {
        let there =
            |node: &&NodeState| node.program == Some(Variant::New) && node.is_well && !node.is_ordered;
        seen.iter().filter(there).count() >= self.target(stage)
    }
}
