//! Subsetting: selects the endpoints that a node calls. A subset is small enough to hold connections to all its endpoints and
//! large enough to tolerate the loss of some, and all endpoints are called by equally many nodes.
//!
//! Deterministic subsetting (*Site Reliability Engineering*, chapter 20) divides the nodes into groups that each cover all
//! endpoints. Each group orders the endpoints on a ring of its own, and its nodes divide the ring into arcs of equal weight,
//! fractions of an endpoint included. All endpoints therefore get exactly the same load, even from the last group, which may
//! have fewer nodes with longer arcs. The order follows from hashes, so that an added or removed endpoint moves the ends of
//! each arc only slightly and causes little churn. A node without a number selects a random subset by the same hashes; the
//! load then varies at random.

use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// The fraction of an endpoint up to which an overlap counts as a rounding error.
const MIN_FRACTION: f64 = 1e-9;

/// The selection of the endpoints that a node calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subsetting {
    /// All endpoints.
    All,
    /// The endpoints of an arc of the ring that the node's group divides.
    Deterministic {
        /// The minimum number of endpoints; a subset has up to twice as many.
        size: usize,
        /// The node's number, from 0.
        node: usize,
        /// The number of nodes.
        node_count: usize,
    },
    /// A random selection of the endpoints.
    Random {
        /// The number of endpoints.
        size: usize,
    },
}

/// An endpoint that may be assigned to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The hash of the endpoint's address.
    pub key: u64,
    /// The endpoint's capacity relative to that of the others; above 0.
    pub weight: f64,
    /// The endpoint's slot.
    pub slot: usize,
}

/// An endpoint that is assigned to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AssignedEndpoint {
    /// The endpoint's slot.
    pub slot: usize,
    /// The fraction of the endpoint that is assigned to the node; above 0, up to 1.
    pub fraction: f64,
}

/// The division of all endpoints into a node's subset and its spares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubsetAssignment {
    /// The endpoints of the node's subset.
    pub own: Vec<AssignedEndpoint>,
    /// The slots of all other endpoints, in the order in which they replace ejected endpoints of the subset.
    pub spare: Vec<usize>,
}

impl SubsetAssignment {
    fn all(candidates: &[Candidate]) -> SubsetAssignment {
        SubsetAssignment { own: candidates.iter().map(fully_assigned).collect(), spare: Vec::new() }
    }

    fn first(size: usize, order: &[Candidate]) -> SubsetAssignment {
        let (own, spare) = order.split_at(size);
        SubsetAssignment {
            own: own.iter().map(fully_assigned).collect(),
            spare: spare.iter().map(|candidate| candidate.slot).collect(),
        }
    }

    /// Assigns one of `arcs` arcs of equal weight; the spares are all other endpoints, from the end of the arc on.
    fn arc(order: &[Candidate], arc: usize, arcs: usize) -> SubsetAssignment {
        let total: f64 = order.iter().map(|candidate| candidate.weight).sum();
        let start = arc as f64 * total / arcs as f64;
        let end = (arc + 1) as f64 * total / arcs as f64;
        let mut assignment = SubsetAssignment::default();
        let mut before_arc = Vec::new();
        let mut position = 0.0;
        for candidate in order {
            let overlap = end.min(position + candidate.weight) - start.max(position);
            let fraction = overlap / candidate.weight;
            position += candidate.weight;
            if fraction > MIN_FRACTION {
                assignment.own.push(AssignedEndpoint { slot: candidate.slot, fraction: fraction.min(1.0) });
            } else if assignment.own.is_empty() {
                before_arc.push(candidate.slot);
            } else {
                assignment.spare.push(candidate.slot);
            }
        }
        assignment.spare.extend(before_arc);
        assignment
    }
}

fn fully_assigned(candidate: &Candidate) -> AssignedEndpoint {
    AssignedEndpoint { slot: candidate.slot, fraction: 1.0 }
}

/// Assigns a node its subset of the candidates. The seed affects a random subset only.
pub fn assign_subset(subsetting: Subsetting, candidates: &[Candidate], seed: u64) -> SubsetAssignment {
    let count = candidates.len();
    match subsetting {
        Subsetting::Random { size } if size < count => {
            SubsetAssignment::first(size, &ordered(candidates, seed))
        }
        Subsetting::Deterministic { size, node, node_count } if count >= 2 * size.max(1) => {
            // A power of two, so that the arcs stay when the list grows slightly.
            let group_size = 1 << (count / size.max(1)).ilog2();
            let group = node / group_size;
            let nodes_from_group_start = node_count.max(node + 1) - group * group_size;
            let order = ordered(candidates, group as u64);
            SubsetAssignment::arc(&order, node % group_size, group_size.min(nodes_from_group_start))
        }
        Subsetting::All | Subsetting::Random { .. } | Subsetting::Deterministic { .. } => {
            SubsetAssignment::all(candidates)
        }
    }
}

/// Returns the candidates in the order of their hashes with that salt.
fn ordered(candidates: &[Candidate], salt: u64) -> Vec<Candidate> {
    let mut order: Vec<(u64, Candidate)> =
        candidates.iter().map(|candidate| (salted_hash(candidate.key, salt), *candidate)).collect();
    order.sort_unstable_by_key(|(hash, candidate)| (*hash, candidate.slot));
    order.into_iter().map(|(_, candidate)| candidate).collect()
}

fn salted_hash(key: u64, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, !salt);
    key.hash(&mut hasher);
    hasher.finish()
}
