//! Subsetting: all endpoints are called by equally many nodes, and few assignments change when the list changes.

use ochrewalk_load_balancer::{assign_subset, Candidate, SubsetAssignment, Subsetting};
use std::collections::BTreeSet;

fn candidates(keys: impl Iterator<Item = u64>) -> Vec<Candidate> {
    keys.enumerate().map(|(slot, key)| Candidate { key, weight: 1.0, slot }).collect()
}

fn deterministic(size: usize, node: usize, node_count: usize) -> Subsetting {
    Subsetting::Deterministic { size, node, node_count }
}

/// Returns the load of each endpoint, if all nodes make equally many calls.
fn loads(candidates: &[Candidate], nodes: usize, size: usize) -> Vec<f64> {
    let mut loads = vec![0.0; candidates.len()];
    for node in 0..nodes {
        let assignment = assign_subset(deterministic(size, node, nodes), candidates, 0);
        let total: f64 =
            assignment.own.iter().map(|assigned| assigned.fraction * candidates[assigned.slot].weight).sum();
        assignment.own.iter().for_each(|assigned| {
            loads[assigned.slot] += assigned.fraction * candidates[assigned.slot].weight / total
        });
    }
    loads
}

#[test]
fn deterministic_subsets_load_all_endpoints_equally_for_any_number_of_nodes() {
    for (nodes, endpoints, size) in
        [(200, 100, 5), (300, 300, 5), (7, 100, 5), (1_000, 33, 4), (50, 500, 10), (9, 8, 5), (1, 50, 5)]
    {
        let candidates = candidates(0..endpoints);
        let loads = loads(&candidates, nodes, size);
        let expected = nodes as f64 / endpoints as f64;
        assert!(
            loads.iter().all(|load| (load / expected - 1.0).abs() < 1e-6),
            "{nodes} nodes, {endpoints} endpoints: {loads:?}"
        );
    }
}

#[test]
fn endpoints_get_calls_in_proportion_to_their_weights() {
    let mut candidates = candidates(0..60);
    candidates.iter_mut().for_each(|candidate| candidate.weight = 1.0 + (candidate.slot % 4) as f64);
    let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    for (candidate, load) in candidates.iter().zip(loads(&candidates, 96, 5)) {
        assert!((load / (96.0 * candidate.weight / total) - 1.0).abs() < 1e-6, "{candidate:?} {load}");
    }
}

#[test]
fn a_subset_has_its_size_and_each_other_endpoint_is_a_spare_once() {
    for (subsetting, min, max) in [
        (deterministic(5, 3, 200), 5, 12),
        (Subsetting::Random { size: 7 }, 7, 7),
        (Subsetting::All, 100, 100),
    ] {
        let SubsetAssignment { own, spare } = assign_subset(subsetting, &candidates(0..100), 9);
        assert!((min..=max).contains(&own.len()), "{subsetting:?}: {}", own.len());
        let all: BTreeSet<usize> = own.iter().map(|assigned| assigned.slot).chain(spare).collect();
        assert_eq!(all.len(), 100, "{subsetting:?}");
    }
    // A node number beyond the node count is an invalid setting, and must not cause a panic.
    assert!(!assign_subset(deterministic(5, 9_999, 3), &candidates(0..100), 0).own.is_empty());
    assert!(assign_subset(deterministic(5, 0, 3), &[], 0).own.is_empty());
}

#[test]
fn an_added_endpoint_causes_little_churn() {
    let keys = |assignment: &SubsetAssignment, candidates: &[Candidate]| -> BTreeSet<u64> {
        assignment.own.iter().map(|assigned| candidates[assigned.slot].key).collect()
    };
    let (before, after) = (candidates(0..100), candidates((0..101).rev()));
    let mut moved = 0;
    for node in 0..200 {
        let (old, new) = (
            assign_subset(deterministic(5, node, 200), &before, 0),
            assign_subset(deterministic(5, node, 200), &after, 0),
        );
        let (old, new) = (keys(&old, &before), keys(&new, &after));
        moved += new.difference(&old).count();
        assert!(new.difference(&old).count() <= 4, "{old:?} {new:?}");
    }
    assert!(moved <= 240, "{moved} of 1,440 connections change on 200 nodes");
}
