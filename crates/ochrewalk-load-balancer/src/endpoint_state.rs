//! The state that a node keeps for each endpoint.

use crate::health::EndpointHealth;
use crate::learned_weight::LearnedWeight;
use crate::probe::ProbeProgress;
use std::collections::BTreeMap;

/// The mean latency that is assumed before the first reply.
const INITIAL_MEAN_LATENCY_US: f64 = 1_000.0;
/// The smoothing factor of the moving mean of latencies, by reply.
const MEAN_LATENCY_SMOOTHING: f64 = 1.0 / 8.0;

/// The state that a node keeps for one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The hash of the endpoint's address, the same in every process.
    pub key: u64,
    /// The state of ejection and slow start.
    pub health: EndpointHealth,
    /// The configured weight, divided by the largest weight of the list.
    pub weight: f64,
    /// Whether the endpoint is in this node's zone.
    pub is_local_zone: bool,
    /// The fraction of the endpoint that is assigned to this node; 0 outside of the subset.
    pub subset_fraction: f64,
    pub(crate) learned_weight: LearnedWeight,
    pub(crate) probe: ProbeProgress,
    /// The calls in flight, and the time at which each started, in microseconds.
    pub calls: BTreeMap<u64, u64>,
    /// The latency of the last reply, or of the last call that timed out, in microseconds.
    pub last_latency_us: u64,
    /// The time of that reply or timeout, in microseconds.
    pub last_answered_us: u64,
    /// The moving mean of latencies, in microseconds.
    pub mean_latency_us: f64,
    /// The number of calls that have started since the endpoint was added.
    pub calls_started: u64,
}

impl EndpointState {
    pub(crate) fn new(key: u64, health: EndpointHealth) -> EndpointState {
        EndpointState {
            key,
            health,
            weight: 1.0,
            is_local_zone: true,
            subset_fraction: 0.0,
            learned_weight: LearnedWeight::default(),
            probe: ProbeProgress::default(),
            calls: BTreeMap::new(),
            last_latency_us: 0,
            last_answered_us: 0,
            mean_latency_us: INITIAL_MEAN_LATENCY_US,
            calls_started: 0,
        }
    }

    /// The number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// The time for which the oldest call in flight has been unanswered, in microseconds; 0 if no call is in flight.
    pub fn unanswered_us(&self, now_us: u64) -> u64 {
        self.calls.first_key_value().map_or(0, |(_, started_us)| now_us.saturating_sub(*started_us))
    }

    pub(crate) fn record_answer(&mut self, now_us: u64, took_us: u64) {
        self.mean_latency_us += (took_us as f64 - self.mean_latency_us) * MEAN_LATENCY_SMOOTHING;
        self.record_last(now_us, took_us);
    }

    pub(crate) fn record_last(&mut self, now_us: u64, took_us: u64) {
        (self.last_latency_us, self.last_answered_us) = (took_us, now_us);
    }
}
