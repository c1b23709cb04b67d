//! Power of two choices: the endpoint with fewer calls in flight, out of two random ones.

use super::{Pick, Policy};

pub(super) struct PowerOfTwoChoices;

impl Policy for PowerOfTwoChoices {
    fn choose(&mut self, pick: &Pick<'_>, rng: &mut fastrand::Rng) -> Option<usize> {
        let candidates = pick.candidates();
        let first = pick.weighted_random(&candidates, rng)?;
        let second = pick.weighted_random(&candidates, rng)?;
        Some(if pick.in_flight(second) < pick.in_flight(first) { second } else { first })
    }
}
