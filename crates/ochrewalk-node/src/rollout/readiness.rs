//! Whether all nodes of a plan are ready for a rollout.

use super::error::{NodeFault, RolloutError};
use super::fingerprints::PlanFingerprints;
use super::polling::{poll_all, Polled};
use super::settings_changes::settings_changes;
use ochrewalk_operator_config::{RolloutPlan, Subject};
use ochrewalk_rollout::ControllerNumber;

/// What the rollout will change, and that all nodes are ready for it, as text for operators.
///
/// # Errors
/// The plan's files cannot be used, or nodes stand in the way; all of them are named.
pub fn check(plan: &RolloutPlan) -> Result<String, RolloutError> {
    let fingerprints = PlanFingerprints::of(plan)?;
    let changes = settings_changes(plan)?;
    let polled = poll_all(plan, ControllerNumber::OBSERVER);
    let faults: Vec<NodeFault> = polled
        .into_iter()
        .enumerate()
        .filter_map(|(node, polled)| fault(plan, &fingerprints, node, polled))
        .collect();
    if !faults.is_empty() {
        return Err(RolloutError::NotReady(faults));
    }
    let (nodes, stages) = (plan.nodes.len(), plan.stages.len());
    Ok(format!("{changes}{nodes} nodes, {stages} stages: all answer and are healthy"))
}

fn fault(
    plan: &RolloutPlan,
    fingerprints: &PlanFingerprints,
    node: usize,
    polled: Polled,
) -> Option<NodeFault> {
    let name = plan.nodes[node].name.clone();
    let status = match polled {
        Ok(status) => status,
        Err(source) => return Some(NodeFault::Unknown { node: name, source }),
    };
    if fingerprints.version_of(node, &status).is_none() {
        return Some(match plan.subject {
            Subject::Program => NodeFault::OtherProgram { node: name, program: status.path },
            Subject::Settings => NodeFault::OtherSettings { node: name },
        });
    }
    (!status.is_healthy).then_some(NodeFault::Unhealthy { node: name })
}
