//! The state of the fleet as operators read it.

use crate::error::ConfigCommandError;
use crate::publisher_request::{request, show};
use ochrewalk_distribution::messages::{Body, Position, RegionStatus, Status, StatusRequest};
use std::fmt::Write;
use std::path::Path;

pub(crate) fn status(control: &Path) -> Result<String, ConfigCommandError> {
    match request(control, Body::StatusRequest(StatusRequest {}))? {
        Body::Status(status) => Ok(show_status(&status)),
        _ => Err(ConfigCommandError::OtherAnswer),
    }
}

/// The fleet's state as operators read it: a line for each region, then one for each rejection.
fn show_status(status: &Status) -> String {
    let mut text = format!("published: {}, {} resources\n", show(status.position), status.resources);
    for region in &status.regions {
        let _ = writeln!(text, "{}", show_region(region, status.position));
    }
    let rejections = status.regions.iter().flat_map(|region| &region.rejections);
    for rejection in rejections {
        let position = show(rejection.position);
        let _ = writeln!(text, "rejected: {position} by {}: {}", rejection.node, rejection.reason);
    }
    text
}

fn show_region(region: &RegionStatus, published: Position) -> String {
    let nodes: u64 = region.in_force.iter().map(|count| count.nodes).sum();
    let is_behind = |count: &&ochrewalk_distribution::messages::PositionCount| count.position < published;
    let behind = region.in_force.iter().filter(is_behind);
    let (count, oldest) = behind.fold((0, None::<Position>), |(count, oldest), position| {
        let oldest = oldest.map_or(position.position, |known| known.min(position.position));
        (count + position.nodes, Some(oldest))
    });
    let named = if region.region.is_empty() { "relays" } else { region.region.as_str() };
    match oldest {
        None => format!("{named}: {nodes} nodes at {}", show(published)),
        Some(oldest) => format!("{named}: {nodes} nodes, {count} behind, the farthest at {}", show(oldest)),
    }
}
