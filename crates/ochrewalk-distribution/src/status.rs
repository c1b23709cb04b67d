//! Aggregates the states of many subscribers for operators.

use std::collections::{BTreeMap, VecDeque};

use crate::messages::{Position, PositionCount, RegionStatus, Rejection};

/// The longest reason of a rejection that is stored, in bytes.
const MAX_REASON_BYTES: usize = 512;

/// The latest rejection of each node, a bounded number of them, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct Rejections {
    limit: usize,
    latest: VecDeque<Rejection>,
}

impl Rejections {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, latest: VecDeque::new() }
    }

    pub(crate) fn add(&mut self, mut rejection: Rejection) {
        self.remove(&rejection.node);
        truncate(&mut rejection.reason, MAX_REASON_BYTES);
        self.latest.push_back(rejection);
        if self.latest.len() > self.limit {
            self.latest.pop_front();
        }
    }

    /// Removes the rejection of `node`, which has applied a newer update.
    pub(crate) fn remove(&mut self, node: &str) {
        self.latest.retain(|rejection| rejection.node != node);
    }

    pub(crate) fn to_vec(&self) -> Vec<Rejection> {
        self.latest.iter().cloned().collect()
    }
}

fn truncate(text: &mut String, limit: usize) {
    let end = (0..=limit.min(text.len())).rev().find(|end| text.is_char_boundary(*end));
    text.truncate(end.unwrap_or(0));
}

/// Counts equal `positions`, in their order.
pub(crate) fn count_positions(positions: impl Iterator<Item = (Position, u64)>) -> Vec<PositionCount> {
    let mut counts: BTreeMap<Position, u64> = BTreeMap::new();
    for (position, nodes) in positions {
        *counts.entry(position).or_default() += nodes;
    }
    counts.into_iter().map(|(position, nodes)| PositionCount { position, nodes }).collect()
}

/// Merges `statuses` into one for each region, in the order of the regions' names. A merged status has the sums of the
/// counts, at most `max_rejections` rejections (the latest positions first), and the position of the relay that is
/// furthest behind.
pub fn merge_region_statuses(
    statuses: impl IntoIterator<Item = RegionStatus>,
    max_rejections: usize,
) -> Vec<RegionStatus> {
    let mut regions: BTreeMap<String, Vec<RegionStatus>> = BTreeMap::new();
    for status in statuses {
        regions.entry(status.region.clone()).or_default().push(status);
    }
    regions.into_iter().map(|(region, relays)| merge_region(region, &relays, max_rejections)).collect()
}

fn merge_region(region: String, relays: &[RegionStatus], max_rejections: usize) -> RegionStatus {
    let mut names: Vec<&str> = relays.iter().map(|status| status.relay.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let counts = relays.iter().flat_map(|status| &status.in_force);
    RegionStatus {
        relay: names.join(", "),
        region,
        in_force: count_positions(counts.map(|count| (count.position, count.nodes))),
        rejections: merge_rejections(relays, max_rejections),
        position: relays.iter().map(|status| status.position).min().unwrap_or_default(),
    }
}

fn merge_rejections(relays: &[RegionStatus], limit: usize) -> Vec<Rejection> {
    let mut latest: BTreeMap<&str, &Rejection> = BTreeMap::new();
    for rejection in relays.iter().flat_map(|status| &status.rejections) {
        let known = latest.entry(&rejection.node).or_insert(rejection);
        if known.position < rejection.position {
            *known = rejection;
        }
    }
    let mut rejections: Vec<Rejection> = latest.into_values().cloned().collect();
    rejections.sort_by_key(|rejection| std::cmp::Reverse(rejection.position));
    rejections.truncate(limit);
    rejections
}
