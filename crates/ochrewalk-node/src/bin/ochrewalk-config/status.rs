//! Formats the status of the fleet for operators.

use crate::error::ConfigCommandError;
use crate::publisher_request::{format_position, request};
use ochrewalk_distribution::messages::{Body, Position, RegionStatus, Rejection, Status, StatusRequest};
use std::path::Path;

/// Requests the status of the fleet: the revisions in force in each region, and the nodes that rejected one.
pub(crate) fn status(control: &Path) -> Result<String, ConfigCommandError> {
    match request(control, Body::StatusRequest(StatusRequest {}))? {
        Body::Status(status) => Ok(format_status(&status)),
        _ => Err(ConfigCommandError::UnexpectedReply),
    }
}

/// Formats a line for each region, then one for each rejection.
fn format_status(status: &Status) -> String {
    let position = format_position(status.position);
    let published = format!("published: {position}, {} resources\n", status.resources);
    let regions = status.regions.iter().map(|region| format_region(region, status.position));
    let rejections = status.regions.iter().flat_map(|region| &region.rejections).map(format_rejection);
    std::iter::once(published).chain(regions).chain(rejections).collect()
}

fn format_region(region: &RegionStatus, published: Position) -> String {
    // The publisher's own subscribers are relays, which report no region.
    let name = if region.region.is_empty() { "relays" } else { region.region.as_str() };
    let nodes: u64 = region.in_force.iter().map(|count| count.nodes).sum();
    let behind = || region.in_force.iter().filter(|count| count.position < published);
    let nodes_behind: u64 = behind().map(|count| count.nodes).sum();
    match behind().map(|count| count.position).min() {
        None => format!("{name}: {nodes} nodes at {}\n", format_position(published)),
        Some(oldest) => {
            let oldest = format_position(oldest);
            format!("{name}: {nodes} nodes, {nodes_behind} behind, the farthest at {oldest}\n")
        }
    }
}

fn format_rejection(rejection: &Rejection) -> String {
    let position = format_position(rejection.position);
    format!("rejected: {position} by {}: {}\n", rejection.node, rejection.reason)
}
