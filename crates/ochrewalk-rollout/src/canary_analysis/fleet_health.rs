//! Decides whether the whole fleet is unhealthy, so that a sample says nothing about the change.

use super::sample::{Sample, Side};

/// Where unchanged nodes miss the target by so much more than they usually do, the fleet is unhealthy.
const MAX_EXCESS_MISSED: f64 = 0.15;
/// Unchanged nodes have to have made so many calls in a sample for it to say anything.
const MIN_CALLS: f64 = 20.0;
/// How far one sample moves the usual share of misses.
const SMOOTHING: f64 = 0.05;
/// The same while the fleet is unhealthy: a fleet that stays so becomes the usual state only slowly.
const SMOOTHING_WHILE_UNHEALTHY: f64 = SMOOTHING / 10.0;

/// What unchanged nodes usually miss.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetHealth {
    usual_missed: Option<f64>,
}

impl FleetHealth {
    /// Takes the next sample; whether unchanged nodes miss far more in it than usual.
    pub(super) fn is_unhealthy_in(&mut self, sample: &Sample) -> bool {
        let counts = sample.side(Side::Unchanged).flat_map(|node| &node.methods);
        let (calls, missed) = counts.fold((0.0, 0.0), |(calls, missed), counts| {
            (calls + f64::from(counts.calls), missed + f64::from(counts.missed))
        });
        if calls < MIN_CALLS {
            return false;
        }
        let share = missed / calls;
        let usual = *self.usual_missed.get_or_insert(share);
        let is_unhealthy = share > usual + MAX_EXCESS_MISSED;
        let smoothing = if is_unhealthy { SMOOTHING_WHILE_UNHEALTHY } else { SMOOTHING };
        self.usual_missed = Some(usual + (share - usual) * smoothing);
        is_unhealthy
    }
}
