//! Subsetting: which endpoints a node calls at all. Few enough to keep connections to, enough to lose some of them, and each
//! endpoint called by as many nodes as any other.
//!
//! Deterministic subsetting (*Site Reliability Engineering*, chapter 20) groups nodes so that the nodes of a group have all
//! endpoints between them. Each group orders the endpoints on a ring of its own, and its nodes share the ring out in arcs
//! of equal weight, to fractions of an endpoint. All endpoints are thus loaded exactly alike, also by the last group, which
//! may have fewer nodes with longer arcs. The order is by hashes, so that one endpoint more or less moves each arc's ends
//! a little and causes little churn. A node without a number draws a random subset by the same hashes; the load then
//! varies by chance.

use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Smaller fractions of an endpoint are rounding errors.
const MIN_FRACTION: f64 = 1e-9;

/// Which of the endpoints a node calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subsetting {
    /// All of them.
    All,
    /// An arc of a ring that the node's group shares.
    Deterministic {
        /// How many endpoints at least; up to twice as many.
        size: usize,
        /// The node's number, from 0.
        node: usize,
        /// How many nodes there are.
        node_count: usize,
    },
    /// A random choice.
    Random {
        /// How many endpoints.
        size: usize,
    },
}

/// An endpoint that may be assigned to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The hash of its address.
    pub key: u64,
    /// Its capacity relative to the others; above 0.
    pub weight: f64,
    /// The slot that it is known by.
    pub slot: usize,
}

/// An endpoint that is assigned to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AssignedEndpoint {
    /// The slot that it is known by.
    pub slot: usize,
    /// Which fraction of it is the node's; above 0, up to 1.
    pub fraction: f64,
}

/// All endpoints in one node's order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubsetAssignment {
    /// The endpoints of the node's subset.
    pub own: Vec<AssignedEndpoint>,
    /// The slots of all others, in the order in which they stand in for own ones that are ejected.
    pub spare: Vec<usize>,
}

impl SubsetAssignment {
    fn all(candidates: &[Candidate]) -> SubsetAssignment {
        SubsetAssignment { own: candidates.iter().map(whole).collect(), spare: Vec::new() }
    }

    fn first(size: usize, order: &[Candidate]) -> SubsetAssignment {
        let (own, spare) = order.split_at(size);
        SubsetAssignment {
            own: own.iter().map(whole).collect(),
            spare: spare.iter().map(|candidate| candidate.slot).collect(),
        }
    }

    /// One of `arcs` arcs of equal weight; the spares are all other endpoints, from the arc's end on.
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

fn whole(candidate: &Candidate) -> AssignedEndpoint {
    AssignedEndpoint { slot: candidate.slot, fraction: 1.0 }
}

/// Assigns a node its subset of the candidates. The seed decides a random subset and nothing else.
pub fn assign_subset(subsetting: Subsetting, candidates: &[Candidate], seed: u64) -> SubsetAssignment {
    let count = candidates.len();
    match subsetting {
        Subsetting::Random { size } if size < count => {
            SubsetAssignment::first(size, &ordered(candidates, seed))
        }
        Subsetting::Deterministic { size, node, node_count } if count >= 2 * size.max(1) => {
            // A power of two, so that a list that grows a little keeps its arcs.
            let group_size = 1 << (count / size.max(1)).ilog2();
            let group = node / group_size;
            let nodes_from_group_on = node_count.max(node + 1) - group * group_size;
            let order = ordered(candidates, group as u64);
            SubsetAssignment::arc(&order, node % group_size, group_size.min(nodes_from_group_on))
        }
        Subsetting::All | Subsetting::Random { .. } | Subsetting::Deterministic { .. } => {
            SubsetAssignment::all(candidates)
        }
    }
}

/// The candidates in the order of their hashes with that salt.
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
