//! Decides whether the whole fleet is unhealthy, so that a sample is no evidence about the change.

use super::sample::{Sample, Side};

/// The fleet is unhealthy if the share of calls on unchanged nodes that miss the latency target exceeds the
/// usual share by this much.
const MAX_EXCESS_MISSED_SHARE: f64 = 0.15;
/// The number of calls on unchanged nodes below which a sample is not evaluated.
const MIN_CALLS: f64 = 20.0;
/// The weight of one sample in the usual share of missed calls.
const SMOOTHING: f64 = 0.05;
/// The weight of one sample while the fleet is unhealthy, so that a persistent fault becomes the usual state
/// only slowly.
const SMOOTHING_WHILE_UNHEALTHY: f64 = SMOOTHING / 10.0;

/// The usual share of calls on unchanged nodes that miss the latency target.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetHealth {
    usual_missed_share: Option<f64>,
}

impl FleetHealth {
    /// Adds a sample, and returns whether unchanged nodes miss the target far more often in it than usual.
    pub(super) fn is_unhealthy_in(&mut self, sample: &Sample) -> bool {
        let counts = sample.side(Side::Unchanged).flat_map(|node| &node.methods);
        let (calls, missed) = counts.fold((0.0, 0.0), |(calls, missed), counts| {
            (calls + f64::from(counts.calls), missed + f64::from(counts.missed))
        });
        if calls < MIN_CALLS {
            return false;
        }
        let missed_share = missed / calls;
        let usual = *self.usual_missed_share.get_or_insert(missed_share);
        let is_unhealthy = missed_share > usual + MAX_EXCESS_MISSED_SHARE;
        let smoothing = if is_unhealthy { SMOOTHING_WHILE_UNHEALTHY } else { SMOOTHING };
        self.usual_missed_share = Some(usual + (missed_share - usual) * smoothing);
        is_unhealthy
    }
}
