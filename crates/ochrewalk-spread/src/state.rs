//! Decides what a node holds of each place: whether it takes calls now, its share of an even load, and how much trouble
//! a call there would meet by the freshest news.

use crate::health::{EjectionCause, EndpointHealth};
use crate::latency_histogram::LatencyHistogram;
use crate::learned_weight::{EndpointAverages, LearnedWeight};
use crate::probe::ProbeProgress;
use std::collections::BTreeMap;

/// A call unanswered for so many times what one in twenty exceeds makes its place suspect.
const SUSPECT_P95_FACTOR: f64 = 3.0;
/// Bounds of that, in microseconds: guards against a clock that woke late, and against a place that stands for long.
const MIN_SUSPECT_US: f64 = 30_000.0;
const MAX_SUSPECT_US: f64 = 2_000_000.0;
/// What is known while too few answers came.
const UNKNOWN_SUSPECT_US: f64 = 1_000_000.0;
/// A long answer tells of a queue that stands for about as long again: news of it is worth half after this many times
/// what it took. The guard against reacting to news that is no longer true.
const LATENCY_HALF_LIFE: f64 = 0.5;

/// A place as the node holds it.
#[derive(Clone, Debug)]
pub struct EndpointState {
    pub key: u64,
    pub health: EndpointHealth,
    /// By the operators, over the heaviest of the list.
    pub weight: f64,
    pub is_local_zone: bool,
    /// The part of it that is in the node's reach.
    pub subset_fraction: f64,
    pub learned_weight: LearnedWeight,
    /// While it is out: how much of its next probe is earned.
    pub probe: ProbeProgress,
    /// Calls given to it that have not ended, and when each was given.
    pub calls: BTreeMap<u64, u64>,
    /// How long its last answer took, and when it came.
    pub last_latency_us: u64,
    pub last_answered_us: u64,
    /// The mean of answers' times, for the way that goes by it.
    pub mean_latency_us: f64,
    /// Calls given since the start, for operators.
    pub calls_started: u64,
}

impl EndpointState {
    pub fn new(key: u64, health: EndpointHealth) -> EndpointState {
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
            mean_latency_us: 1_000.0,
            calls_started: 0,
        }
    }

    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// How long its oldest call has had no answer.
    pub fn unanswered_us(&self, now_us: u64) -> u64 {
        self.calls.first_key_value().map_or(0, |(_, started_us)| now_us.saturating_sub(*started_us))
    }
}

/// EndpointAverages that ways go by.
#[derive(Clone, Debug, Default)]
pub struct BalancerState {
    /// By slot; none where nothing stands there.
    pub endpoints: Vec<Option<EndpointState>>,
    /// Slots that calls go to, by layout and what is out of it.
    pub subset: Vec<usize>,
    pub latencies: LatencyHistogram,
    pub averages: EndpointAverages,
    /// What a far place gets of a near one's share.
    pub overflow_share: f64,
    /// Most of the reach seems out: what is only suspected or failing is asked as well.
    pub is_in_panic_mode: bool,
    /// Shares go by what was learned of places.
    pub uses_learned_weights: bool,
}

impl BalancerState {
    pub fn at(&self, slot: usize) -> &EndpointState {
        self.endpoints[slot].as_ref().expect("a slot of the reach")
    }

    /// Unanswered for longer than this, a call makes its place suspect.
    pub fn suspect_us(&self) -> f64 {
        let p95_us = self.latencies.p95_us();
        if p95_us == f64::MAX {
            return UNKNOWN_SUSPECT_US;
        }
        (p95_us * SUSPECT_P95_FACTOR).clamp(MIN_SUSPECT_US, MAX_SUSPECT_US)
    }

    /// The call that is still open there is its trial: no more follow while others take them.
    pub fn is_suspect(&self, slot: usize, now_us: u64) -> bool {
        self.at(slot).unanswered_us(now_us) as f64 > self.suspect_us()
    }

    /// Whether a call may go there at all.
    pub fn accepts_calls(&self, slot: usize) -> bool {
        let health = &self.at(slot).health;
        health.accepts_calls()
            || self.is_in_panic_mode && health.ejection_cause() == Some(EjectionCause::CallsFailed)
    }

    /// Its share of what a place wholly in reach, near, warm and well would get.
    pub fn share(&self, slot: usize, now_us: u64) -> f64 {
        let endpoint = self.at(slot);
        let zone = if endpoint.is_local_zone { 1.0 } else { self.overflow_share };
        let learned = if self.uses_learned_weights {
            endpoint.learned_weight.factor(now_us, &self.averages)
        } else {
            1.0
        };
        endpoint.weight
            * endpoint.subset_fraction
            * zone
            * learned
            * endpoint.health.slow_start_factor(now_us)
    }

    /// The trouble that a call would meet, in microseconds: what is unanswered there, and the last answer while it is
    /// still news.
    pub fn expected_wait_us(&self, slot: usize, now_us: u64) -> f64 {
        let endpoint = self.at(slot);
        let age_us = now_us.saturating_sub(endpoint.last_answered_us) as f64;
        let last_latency_us = endpoint.last_latency_us as f64;
        let recent_us =
            last_latency_us * 0.5f64.powf(age_us / (LATENCY_HALF_LIFE * last_latency_us.max(1.0)));
        let unanswered_us = endpoint.unanswered_us(now_us) as f64;
        recent_us.max(unanswered_us) + endpoint.in_flight() as f64 * self.latencies.median_us()
    }
}
