//! Balancing policies, which choose an endpoint of the node's subset for each call. All implement the same trait;
//! [`BalancingPolicy::LatencyAwareRoundRobin`] is the default, the others serve for comparison.

mod least;
mod power_of_two;
mod random;
mod round_robin;

use crate::state::BalancerState;
use least::{LeastLatency, LeastRequests};
use power_of_two::PowerOfTwoChoices;
use random::Random;
use round_robin::{RoundRobin, LOOKAHEAD};

/// The input of a choice: the current state of the endpoints, and the endpoint to avoid.
pub(crate) struct Pick<'a> {
    pub state: &'a BalancerState,
    pub now_us: u64,
    /// The endpoint that the previous attempt at the same request used.
    pub avoid: Option<usize>,
}

impl Pick<'_> {
    /// Returns the slots of the subset that accept calls, without the one to avoid unless it is the only one.
    fn candidates(&self) -> Vec<usize> {
        let all: Vec<usize> =
            self.state.subset.iter().copied().filter(|slot| self.state.accepts_calls(*slot)).collect();
        let others: Vec<usize> = all.iter().copied().filter(|slot| Some(*slot) != self.avoid).collect();
        if others.is_empty() {
            all
        } else {
            others
        }
    }

    /// Chooses one of these slots at random, with probabilities proportional to their shares.
    fn weighted_random(&self, among: &[usize], rng: &mut fastrand::Rng) -> Option<usize> {
        let total: f64 = among.iter().map(|slot| self.share(*slot)).sum();
        let mut remaining = rng.f64() * total;
        let chosen = among.iter().find(|slot| {
            remaining -= self.share(**slot);
            remaining < 0.0
        });
        // Rounding errors may leave a small remainder after the last slot.
        chosen.or(among.last()).copied()
    }

    fn share(&self, slot: usize) -> f64 {
        self.state.share(slot, self.now_us)
    }

    fn in_flight(&self, slot: usize) -> usize {
        self.state.endpoint(slot).in_flight()
    }
}

/// A policy that chooses among the endpoints of the subset.
pub(crate) trait Policy {
    /// Chooses the slot for a call, if possible another than the one to avoid. Returns `None` if no endpoint accepts calls.
    fn choose(&mut self, pick: &Pick<'_>, rng: &mut fastrand::Rng) -> Option<usize>;

    /// Notifies the policy that the subset has changed since the last choice.
    fn subset_changed(&mut self) {}
}

/// The policy that chooses an endpoint of the subset for each call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// Weighted round robin that looks a few turns ahead and calls the endpoint with the shortest expected wait first.
    LatencyAwareRoundRobin,
    /// Weighted round robin in a random order, independent of the endpoints' latencies.
    RoundRobin,
    /// A weighted random choice.
    Random,
    /// The endpoint with fewer calls in flight, out of two weighted random choices.
    PowerOfTwoChoices,
    /// The endpoint with the fewest calls in flight; a weighted random choice among equals.
    LeastRequests,
    /// The endpoint with the smallest product of mean latency and calls in flight, the new call included.
    LeastLatency,
}

impl BalancingPolicy {
    /// All policies, in the order in which they are displayed.
    pub const ALL: [BalancingPolicy; 6] = [
        BalancingPolicy::LatencyAwareRoundRobin,
        BalancingPolicy::RoundRobin,
        BalancingPolicy::Random,
        BalancingPolicy::PowerOfTwoChoices,
        BalancingPolicy::LeastRequests,
        BalancingPolicy::LeastLatency,
    ];

    /// Returns the name by which operators and the test lab select the policy.
    pub fn name(self) -> &'static str {
        match self {
            BalancingPolicy::LatencyAwareRoundRobin => "rounds",
            BalancingPolicy::RoundRobin => "shuffled",
            BalancingPolicy::Random => "random",
            BalancingPolicy::PowerOfTwoChoices => "two",
            BalancingPolicy::LeastRequests => "least",
            BalancingPolicy::LeastLatency => "fastest",
        }
    }

    /// Returns the policy with that name, if any.
    pub fn from_name(name: &str) -> Option<BalancingPolicy> {
        BalancingPolicy::ALL.into_iter().find(|policy| policy.name() == name)
    }

    pub(crate) fn start(self) -> Box<dyn Policy + Send> {
        match self {
            BalancingPolicy::LatencyAwareRoundRobin => Box::new(RoundRobin::new(LOOKAHEAD)),
            BalancingPolicy::RoundRobin => Box::new(RoundRobin::new(1)),
            BalancingPolicy::Random => Box::new(Random),
            BalancingPolicy::PowerOfTwoChoices => Box::new(PowerOfTwoChoices),
            BalancingPolicy::LeastRequests => Box::new(LeastRequests),
            BalancingPolicy::LeastLatency => Box::new(LeastLatency),
        }
    }
}
