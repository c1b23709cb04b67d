//! Polls the status of nodes at their control sockets.

use super::fingerprints::PlanFingerprints;
use crate::handover::rollout_socket::send_request;
use ochrewalk_operator_config::RolloutPlan;
use ochrewalk_rollout::framing::FramingError;
use ochrewalk_rollout::messages::{NodeStatus, Reply, Request, Response};
use ochrewalk_rollout::{ControllerNumber, FencingToken, NodeReport};
use std::path::Path;
use std::time::Duration;

/// The time limit for a node to reply to a status request.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// The reason why a node's status is not known.
#[derive(Debug, thiserror::Error)]
pub enum PollError {
    /// The node cannot be reached, or does not reply in time.
    #[error(transparent)]
    Exchange(#[from] FramingError),
    /// The node rejected the request.
    #[error("{0}")]
    Rejected(String),
    /// The node sent a reply of an unknown kind.
    #[error("unknown reply of protocol version {protocol_version}")]
    UnknownReply {
        /// The node's protocol version.
        protocol_version: u32,
    },
    /// The thread that polled the node has panicked.
    #[error("polling has panicked")]
    Panicked,
}

/// The result of polling one node.
pub(super) type Polled = Result<NodeStatus, PollError>;

/// Polls all nodes at the same time, and returns their status in the order of the plan. `controller` is the number of the
/// controller that polls, or that of an observer.
pub(super) fn poll_all(plan: &RolloutPlan, controller: ControllerNumber) -> Vec<Polled> {
    std::thread::scope(|scope| {
        let polls: Vec<_> =
            plan.nodes.iter().map(|node| scope.spawn(move || poll(&node.control, controller))).collect();
        polls.into_iter().map(|poll| poll.join().unwrap_or(Err(PollError::Panicked))).collect()
    })
}

fn poll(control: &Path, controller: ControllerNumber) -> Polled {
    let Response { reply, protocol_version } =
        send_request(control, &Request::status(controller), POLL_TIMEOUT)?;
    match reply {
        Some(Reply::Status(status)) => Ok(status),
        Some(Reply::Rejected(reason)) => Err(PollError::Rejected(reason)),
        _ => Err(PollError::UnknownReply { protocol_version }),
    }
}

/// Converts a node's status to the controller's report. Returns none where the node runs neither version of the plan.
pub(super) fn report(
    node: usize,
    status: &NodeStatus,
    fingerprints: &PlanFingerprints,
) -> Option<NodeReport> {
    let version = fingerprints.version_of(node, status)?;
    let highest = status.highest.map(FencingToken::from).unwrap_or_default();
    Some(NodeReport { version, is_healthy: status.is_healthy, highest })
}
