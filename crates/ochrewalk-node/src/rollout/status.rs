//! How a rollout stands, as text for operators.

use super::fingerprints::PlanFingerprints;
use super::operator_socket::{send_to_controller, ControllerCommand};
use super::polling::{poll_all, Polled};
use ochrewalk_operator_config::RolloutPlan;
use ochrewalk_rollout::{ControllerNumber, Version};

/// How the rollout stands by the controller, where one runs, and by each node, a line each. It says so, too, where the plan's files
/// or nodes cannot be read.
pub fn status(plan: &RolloutPlan) -> String {
    let fingerprints = PlanFingerprints::of(plan).ok();
    let mut text =
        send_to_controller(plan, ControllerCommand::Status).unwrap_or_else(|_| "no controller runs\n".into());
    for (index, (node, polled)) in
        plan.nodes.iter().zip(poll_all(plan, ControllerNumber::OBSERVER)).enumerate()
    {
        let state = node_state(index, &polled, fingerprints.as_ref());
        text += &format!("{:<16} {:<10} {state}\n", node.name, node.zone);
    }
    text
}

fn node_state(node: usize, polled: &Polled, fingerprints: Option<&PlanFingerprints>) -> String {
    let status = match polled {
        Ok(status) => status,
        Err(error) => return format!("does not answer: {error}"),
    };
    let version = match fingerprints.and_then(|fingerprints| fingerprints.version_of(node, status)) {
        Some(Version::Old) => "old",
        Some(Version::New) => "new",
        None => "another",
    };
    let health = if status.is_healthy { "healthy" } else { "unhealthy" };
    let confirmation = if status.is_unconfirmed { ", unconfirmed" } else { "" };
    format!("{version:<8} {health}{confirmation}")
}
