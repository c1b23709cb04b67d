//! The schedule of a node's probes: ejected endpoints are probed in the order in which their ejection times end, each after
//! it has earned its probe, with at most one call in five.

use crate::probe::AcceptingWeight;
use crate::state::BalancerState;
use std::collections::BTreeSet;

/// The minimum number of calls per probe, so that most calls of a node with little traffic and many ejected endpoints are
/// still served.
const CALLS_PER_PROBE: f64 = 5.0;

/// The ejected endpoints of a node, and the times from which they may be probed.
pub(crate) struct ProbeSchedule {
    /// The end of each ejection time, in microseconds, and the slot of the endpoint.
    ejected: BTreeSet<(u64, usize)>,
    /// The part of the next probe that the node's calls allow, up to 1.
    allowance: f64,
    accepting_weight: AcceptingWeight,
    last_call_us: u64,
}

impl Default for ProbeSchedule {
    fn default() -> ProbeSchedule {
        ProbeSchedule {
            ejected: BTreeSet::new(),
            allowance: 1.0,
            accepting_weight: AcceptingWeight::default(),
            last_call_us: 0,
        }
    }
}

impl ProbeSchedule {
    /// The time at which the first ejection time ends, in microseconds; `None` if no endpoint is ejected.
    pub fn next_probe_us(&self) -> Option<u64> {
        self.ejected.first().map(|(until_us, _)| *until_us)
    }

    pub fn insert(&mut self, until_us: u64, slot: usize) {
        self.ejected.insert((until_us, slot));
    }

    pub fn remove(&mut self, until_us: u64, slot: usize) {
        self.ejected.remove(&(until_us, slot));
    }

    /// Removes endpoints that are no longer listed.
    pub fn remove_unlisted(&mut self, state: &BalancerState) {
        let is_listed = |slot: usize| {
            state.endpoints[slot].as_ref().is_some_and(|endpoint| !endpoint.health.is_removed())
        };
        self.ejected.retain(|(_, slot)| is_listed(*slot));
    }

    /// Sets the total weight after the endpoints that accept calls have changed.
    pub fn set_accepting_weight(&mut self, weight: AcceptingWeight) {
        self.accepting_weight = weight;
    }

    /// Records another call of the node: each ejected endpoint earns its part of a probe.
    pub fn earn(&mut self, state: &mut BalancerState, now_us: u64) {
        self.allowance = (self.allowance + 1.0 / CALLS_PER_PROBE).min(1.0);
        let last_call_us = std::mem::replace(&mut self.last_call_us, now_us);
        let since_last_call_us = now_us.saturating_sub(last_call_us);
        let overflow_share = state.overflow_share;
        for (until_us, slot) in &self.ejected {
            let endpoint = state.endpoint_mut(*slot);
            let weight = endpoint.weight * endpoint.subset_fraction;
            let load_share = self.accepting_weight.load_share(weight, overflow_share);
            if now_us < *until_us {
                endpoint.probe.earn_while_ejected(load_share, since_last_call_us);
            } else {
                endpoint.probe.wait(now_us.saturating_sub(last_call_us.max(*until_us)));
                endpoint.probe.earn(load_share, since_last_call_us);
            }
        }
    }

    /// Returns the slot of the endpoint that this call probes, if an endpoint has earned a probe and the node's calls allow
    /// one.
    pub fn take_probe(
        &mut self,
        state: &mut BalancerState,
        now_us: u64,
        avoid: Option<usize>,
    ) -> Option<usize> {
        if self.allowance < 1.0 {
            return None;
        }
        let is_earned = |slot: &usize| Some(*slot) != avoid && state.endpoint(*slot).probe.is_earned();
        let slot = self.probeable(now_us).find(is_earned)?;
        self.allowance = 0.0;
        state.endpoint_mut(slot).probe.record_sent();
        Some(slot)
    }

    /// The slots of endpoints whose ejection time is over, in the order in which those times ended.
    pub fn probeable(&self, now_us: u64) -> impl Iterator<Item = usize> + '_ {
        self.ejected.iter().take_while(move |(until_us, _)| now_us >= *until_us).map(|(_, slot)| *slot)
    }
}
