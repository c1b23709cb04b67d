//! Determines which of a plan's two versions a node runs, by the fingerprints of the plan's files.

use super::error::RolloutError;
use crate::handover::fingerprint::fingerprint_of_file;
use ochrewalk_operator_config::{PlannedNode, RolloutPlan, Subject, Version as PlanVersion};
use ochrewalk_rollout::messages::NodeStatus;
use ochrewalk_rollout::{Version, VersionFingerprints};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The fingerprints of the plan's two files, by node.
#[derive(Clone, Debug)]
pub(super) struct PlanFingerprints {
    subject: Subject,
    nodes: Vec<VersionFingerprints>,
}

impl PlanFingerprints {
    /// Computes the fingerprints of the plan's files.
    ///
    /// # Errors
    /// A file cannot be read, or both files of a node have the same content.
    pub(super) fn of(plan: &RolloutPlan) -> Result<PlanFingerprints, RolloutError> {
        let mut files = FileFingerprints::default();
        let nodes = plan.nodes.iter().map(|node| files.of_node(plan, node)).collect::<Result<_, _>>()?;
        Ok(PlanFingerprints { subject: plan.subject, nodes })
    }

    /// Returns the version that a node runs; none where the node runs neither version of the plan.
    pub(super) fn version_of(&self, node: usize, status: &NodeStatus) -> Option<Version> {
        let fingerprint = match self.subject {
            Subject::Program => status.fingerprint,
            Subject::Settings => status.settings_fingerprint(),
        };
        self.nodes[node].version_of(fingerprint)
    }

    /// Returns the fingerprint that a node's file of this version must have.
    pub(super) fn expected(&self, node: usize, version: Version) -> u64 {
        self.nodes[node].of(version)
    }
}

/// A cache of fingerprints by path, as most plans have the same files for all nodes.
#[derive(Default)]
struct FileFingerprints(BTreeMap<PathBuf, u64>);

impl FileFingerprints {
    fn of_node(
        &mut self,
        plan: &RolloutPlan,
        node: &PlannedNode,
    ) -> Result<VersionFingerprints, RolloutError> {
        let old = self.of_file(plan.file(node, PlanVersion::Old))?;
        let new = self.of_file(plan.file(node, PlanVersion::New))?;
        if old == new {
            return Err(RolloutError::SameContent { node: node.name.clone() });
        }
        Ok(VersionFingerprints { old, new })
    }

    fn of_file(&mut self, path: PathBuf) -> Result<u64, RolloutError> {
        if let Some(fingerprint) = self.0.get(&path) {
            return Ok(*fingerprint);
        }
        match fingerprint_of_file(&path) {
            Ok(fingerprint) => {
                self.0.insert(path, fingerprint);
                Ok(fingerprint)
            }
            Err(source) => Err(RolloutError::File { path, source }),
        }
    }
}
