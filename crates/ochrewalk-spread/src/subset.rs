//! Decides which places a node calls at all: few enough to keep connections to, enough to lose some, each place by as many
//! nodes as any other.
//!
//! A lap is as many nodes as have all places between them. In each lap the places stand in an order of the lap's own,
//! and the nodes share it out in arcs of equal length, to fractions of a place; so laps load all places exactly alike,
//! also the last one, which has fewer nodes with longer arcs. Orders are by prints, so that one place more or less
//! moves each arc's ends a little. A node that has no number draws its own few by the same prints, and is uneven by chance.

use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// How many places a node calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subsetting {
    All,
    /// About so many, laid out by the node's number among so many.
    Deterministic {
        size: usize,
        node: usize,
        node_count: usize,
    },
    /// So many, drawn by prints.
    Random {
        size: usize,
    },
}

/// Places in the node's order: those of its reach first, each with how much of it is the node's, then the others, in
/// the order in which they stand in for some that are out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubsetAssignment {
    pub own: Vec<(usize, f64)>,
    pub spare: Vec<usize>,
}

fn hash(key: u64, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, !salt);
    key.hash(&mut hasher);
    hasher.finish()
}

/// A place to lay out: the print of its name, what it can do over the others, and the slot that it is known by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub key: u64,
    pub weight: f64,
    pub slot: usize,
}

/// Lays out places.
pub fn assign_subset(subsetting: Subsetting, candidates: &[Candidate], seed: u64) -> SubsetAssignment {
    let ordered = |salt: u64| {
        let mut order: Vec<(u64, Candidate)> =
            candidates.iter().map(|candidate| (hash(candidate.key, salt), *candidate)).collect();
        order.sort_unstable_by_key(|(hash, candidate)| (*hash, candidate.slot));
        order.into_iter().map(|(_, candidate)| candidate).collect::<Vec<_>>()
    };
    let count = candidates.len();
    match subsetting {
        Subsetting::Random { size } if size < count => {
            let order = ordered(seed);
            let (own, spare) = order.split_at(size);
            let spare = spare.iter().map(|candidate| candidate.slot).collect();
            SubsetAssignment { own: own.iter().map(|candidate| (candidate.slot, 1.0)).collect(), spare }
        }
        Subsetting::Deterministic { size, node, node_count } if count >= 2 * size.max(1) => {
            // Twice as many arcs at a time, so that a list that grows a little keeps its arcs.
            let ring_size = 1 << (count / size.max(1)).ilog2();
            let arcs = ring_size.min(node_count.max(node + 1) - node / ring_size * ring_size);
            arc(&ordered((node / ring_size) as u64), node % ring_size, arcs)
        }
        _ => SubsetAssignment {
            own: candidates.iter().map(|candidate| (candidate.slot, 1.0)).collect(),
            spare: Vec::new(),
        },
    }
}

/// One of so many arcs of equal weight, and from its end on all other places.
fn arc(order: &[Candidate], at: usize, arcs: usize) -> SubsetAssignment {
    let all: f64 = order.iter().map(|candidate| candidate.weight).sum();
    let (from, to) = (at as f64 * all / arcs as f64, (at + 1) as f64 * all / arcs as f64);
    let (mut assignment, mut before, mut passed) = (SubsetAssignment::default(), Vec::new(), 0.0);
    for candidate in order {
        let fraction = (to.min(passed + candidate.weight) - from.max(passed)) / candidate.weight;
        passed += candidate.weight;
        if fraction > 1e-9 {
            assignment.own.push((candidate.slot, fraction.min(1.0)));
        } else if assignment.own.is_empty() {
            before.push(candidate.slot);
        } else {
            assignment.spare.push(candidate.slot);
        }
    }
    assignment.spare.extend(before);
    assignment
}
