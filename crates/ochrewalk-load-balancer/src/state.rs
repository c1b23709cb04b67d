//! The state that a node keeps for all endpoints, as policies read it: the slots in use, those in the subset, the share of
//! calls of each endpoint, and the expected wait of a call there.

use crate::endpoint_state::EndpointState;
use crate::health::{EjectionCause, EndpointHealth};
use crate::latency_histogram::LatencyHistogram;
use crate::learned_weight::EndpointAverages;

/// A call that is unanswered for this many times the 95th percentile makes its endpoint suspect.
const SUSPECT_P95_FACTOR: f64 = 3.0;
/// The bounds of that time, in microseconds. The lower one tolerates a timer that fires late, the upper one limits the time
/// for which calls still go to an endpoint that has stopped.
const MIN_SUSPECT_US: f64 = 30_000.0;
const MAX_SUSPECT_US: f64 = 2_000_000.0;
/// The same time, in microseconds, while there are too few replies for a 95th percentile.
const UNKNOWN_SUSPECT_US: f64 = 1_000_000.0;
/// The half-life of a latency in the expected wait, as a multiple of that latency. A high latency indicates a queue that
/// lasts for about as long again; the decay keeps a node from acting on a queue that no longer exists.
const LATENCY_HALF_LIFE: f64 = 0.5;

/// The state that a node keeps for all endpoints.
#[derive(Clone, Debug, Default)]
pub struct BalancerState {
    /// The endpoints by slot; `None` if a slot is free.
    pub endpoints: Vec<Option<EndpointState>>,
    /// The slots that calls go to: those assigned to the node, and spares that replace ejected ones.
    pub subset: Vec<usize>,
    pub(crate) latencies: LatencyHistogram,
    pub(crate) averages: EndpointAverages,
    /// The share of a remote endpoint relative to that of a local one, from 0 to 1.
    pub overflow_share: f64,
    /// Whether more than half of the subset is ejected. A fault of this node is then more likely than a fault of all those
    /// endpoints, so that endpoints that were ejected because calls failed are used nevertheless.
    pub is_in_panic_mode: bool,
    /// Whether shares are adapted to the endpoints' latencies and failures.
    pub uses_learned_weights: bool,
}

impl BalancerState {
    /// Returns the endpoint in that slot.
    ///
    /// # Panics
    /// Panics if the slot is free; a slot of the subset never is.
    pub fn endpoint(&self, slot: usize) -> &EndpointState {
        self.endpoints[slot].as_ref().expect("slots of the subset are in use")
    }

    pub(crate) fn endpoint_mut(&mut self, slot: usize) -> &mut EndpointState {
        self.endpoints[slot].as_mut().expect("slots of the subset and of ejected endpoints are in use")
    }

    /// The time for which a call may be unanswered before its endpoint is suspect, in microseconds.
    pub fn suspect_us(&self) -> f64 {
        let p95_us = self.latencies.p95_us();
        if p95_us == f64::MAX {
            return UNKNOWN_SUSPECT_US;
        }
        (p95_us * SUSPECT_P95_FACTOR).clamp(MIN_SUSPECT_US, MAX_SUSPECT_US)
    }

    /// Whether a call to the endpoint has been unanswered for too long. That call serves as a probe: the endpoint gets no
    /// further calls while other endpoints accept them.
    pub fn is_suspect(&self, slot: usize, now_us: u64) -> bool {
        self.endpoint(slot).unanswered_us(now_us) as f64 > self.suspect_us()
    }

    /// Whether calls may go to the endpoint, panic mode taken into account.
    pub fn accepts_calls(&self, slot: usize) -> bool {
        let health = &self.endpoint(slot).health;
        let is_used_in_panic = health.ejection_cause() == Some(EjectionCause::CallsFailed);
        health.accepts_calls() || self.is_in_panic_mode && is_used_in_panic
    }

    /// The endpoint's share of calls, from 0 to 1. The share is 1 for the endpoint of the largest weight if it is local,
    /// healthy, past its slow start and completely assigned to this node.
    pub fn share(&self, slot: usize, now_us: u64) -> f64 {
        let endpoint = self.endpoint(slot);
        let zone_factor = if endpoint.is_local_zone { 1.0 } else { self.overflow_share };
        let learned_factor = if self.uses_learned_weights {
            endpoint.learned_weight.factor(now_us, &self.averages)
        } else {
            1.0
        };
        let slow_start_factor = endpoint.health.slow_start_factor(now_us);
        endpoint.weight * endpoint.subset_fraction * zone_factor * learned_factor * slow_start_factor
    }

    /// The expected wait of a call at the endpoint, in microseconds, estimated from the oldest unanswered call, from the
    /// last latency while it is recent, and from the number of calls in flight.
    pub fn expected_wait_us(&self, slot: usize, now_us: u64) -> f64 {
        let endpoint = self.endpoint(slot);
        let age_us = now_us.saturating_sub(endpoint.last_answered_us) as f64;
        let last_latency_us = endpoint.last_latency_us as f64;
        let half_lives = age_us / (LATENCY_HALF_LIFE * last_latency_us.max(1.0));
        let recent_us = last_latency_us * 0.5f64.powf(half_lives);
        let unanswered_us = endpoint.unanswered_us(now_us) as f64;
        recent_us.max(unanswered_us) + endpoint.in_flight() as f64 * self.latencies.median_us()
    }

    /// Whether no slot is in use.
    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.iter().flatten().next().is_none()
    }

    /// Returns the slot of the endpoint with that key. A new endpoint gets a free slot and the given health.
    pub(crate) fn slot_of(&mut self, key: u64, new_health: EndpointHealth) -> usize {
        let is_same = |slot: &Option<EndpointState>| slot.as_ref().is_some_and(|known| known.key == key);
        if let Some(slot) = self.endpoints.iter().position(is_same) {
            return slot;
        }
        let new = Some(EndpointState::new(key, new_health));
        match self.endpoints.iter().position(Option::is_none) {
            Some(free) => {
                self.endpoints[free] = new;
                free
            }
            None => {
                self.endpoints.push(new);
                self.endpoints.len() - 1
            }
        }
    }

    /// Frees the slot if its endpoint is removed and no call is in flight there.
    pub(crate) fn free_if_done(&mut self, slot: usize) {
        let is_done = |known: &EndpointState| known.health.is_removed() && known.calls.is_empty();
        if self.endpoints[slot].as_ref().is_some_and(is_done) {
            self.endpoints[slot] = None;
        }
    }
}
