//! The weighted random policy.

use super::{Pick, Policy};

pub(super) struct Random;

impl Policy for Random {
    fn choose(&mut self, pick: &Pick<'_>, rng: &mut fastrand::Rng) -> Option<usize> {
        pick.weighted_random(&pick.candidates(), rng)
    }
}
