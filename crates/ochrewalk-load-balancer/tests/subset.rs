//! Subsetting: each endpoint is called by as many nodes as any other, and little moves when the list changes.

use ochrewalk_load_balancer::{assign_subset, Candidate, SubsetAssignment, Subsetting};
use std::collections::BTreeSet;

fn candidates(keys: impl Iterator<Item = u64>) -> Vec<Candidate> {
    keys.enumerate().map(|(slot, key)| Candidate { key, weight: 1.0, slot }).collect()
}

fn deterministic(places: usize, number: usize, of: usize) -> Subsetting {
    Subsetting::Deterministic { size: places, node: number, node_count: of }
}

/// What each endpoint gets of all nodes' calls, where all make as many.
fn loads(candidates: &[Candidate], nodes: usize, few: usize) -> Vec<f64> {
    let mut loads = vec![0.0; candidates.len()];
    for node in 0..nodes {
        let assignment = assign_subset(deterministic(few, node, nodes), candidates, 0);
        let all: f64 =
            assignment.own.iter().map(|assigned| assigned.fraction * candidates[assigned.slot].weight).sum();
        assignment.own.iter().for_each(|assigned| {
            loads[assigned.slot] += assigned.fraction * candidates[assigned.slot].weight / all
        });
    }
    loads
}

#[test]
fn deterministic_subsets_load_all_endpoints_alike_however_many_nodes_there_are() {
    for (nodes, places, few) in
        [(200, 100, 5), (300, 300, 5), (7, 100, 5), (1_000, 33, 4), (50, 500, 10), (9, 8, 5), (1, 50, 5)]
    {
        let candidates = candidates(0..places);
        let loads = loads(&candidates, nodes, few);
        let wanted = nodes as f64 / places as f64;
        assert!(
            loads.iter().all(|load| (load / wanted - 1.0).abs() < 1e-6),
            "{nodes} over {places}: {loads:?}"
        );
    }
}

#[test]
fn an_endpoint_gets_calls_by_its_weight() {
    let mut candidates = candidates(0..60);
    candidates.iter_mut().for_each(|candidate| candidate.weight = 1.0 + (candidate.slot % 4) as f64);
    let all: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    for (candidate, load) in candidates.iter().zip(loads(&candidates, 96, 5)) {
        assert!((load / (96.0 * candidate.weight / all) - 1.0).abs() < 1e-6, "{candidate:?} {load}");
    }
}

#[test]
fn a_subset_has_its_size_and_all_others_are_spares_once() {
    for (subsetting, least, most) in [
        (deterministic(5, 3, 200), 5, 12),
        (Subsetting::Random { size: 7 }, 7, 7),
        (Subsetting::All, 100, 100),
    ] {
        let SubsetAssignment { own, spare } = assign_subset(subsetting, &candidates(0..100), 9);
        assert!((least..=most).contains(&own.len()), "{subsetting:?}: {}", own.len());
        let all: BTreeSet<usize> = own.iter().map(|assigned| assigned.slot).chain(spare).collect();
        assert_eq!(all.len(), 100, "{subsetting:?}");
    }
    // A node number past the node count is a wrong setting, and must not panic.
    assert!(!assign_subset(deterministic(5, 9_999, 3), &candidates(0..100), 0).own.is_empty());
    assert!(assign_subset(deterministic(5, 0, 3), &[], 0).own.is_empty());
}

#[test]
fn one_endpoint_more_causes_little_churn() {
    let names = |assignment: &SubsetAssignment, candidates: &[Candidate]| -> BTreeSet<u64> {
        assignment.own.iter().map(|assigned| candidates[assigned.slot].key).collect()
    };
    let (before, after) = (candidates(0..100), candidates((0..101).rev()));
    let mut moved = 0;
    for node in 0..200 {
        let (old, new) = (
            assign_subset(deterministic(5, node, 200), &before, 0),
            assign_subset(deterministic(5, node, 200), &after, 0),
        );
        let (old, new) = (names(&old, &before), names(&new, &after));
        moved += new.difference(&old).count();
        assert!(new.difference(&old).count() <= 4, "{old:?} {new:?}");
    }
    assert!(moved <= 240, "{moved} connections moved by 200 nodes; 1,440 are endpoint");
}
