//! The policies that choose the endpoint with the fewest calls in flight, or with the smallest product of calls in flight and
//! mean latency.

use super::{Pick, Policy};

pub(super) struct LeastRequests;

impl Policy for LeastRequests {
    fn choose(&mut self, pick: &Pick<'_>, rng: &mut fastrand::Rng) -> Option<usize> {
        let candidates = pick.candidates();
        let fewest = candidates.iter().map(|slot| pick.in_flight(*slot)).min()?;
        let least_loaded: Vec<usize> =
            candidates.into_iter().filter(|slot| pick.in_flight(*slot) == fewest).collect();
        pick.weighted_random(&least_loaded, rng)
    }
}

pub(super) struct LeastLatency;

impl Policy for LeastLatency {
    fn choose(&mut self, pick: &Pick<'_>, _rng: &mut fastrand::Rng) -> Option<usize> {
        let cost =
            |slot: &usize| (pick.in_flight(*slot) + 1) as f64 * pick.state.endpoint(*slot).mean_latency_us;
        pick.candidates().into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }
}
