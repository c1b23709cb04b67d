//! Fleets in virtual time with endpoints that are cold from one moment on, and what their ramp allows all nodes together
//! to send them. Serves the tests of the ramp and the table of the example `cold_endpoints`.

use crate::emulated::{EndpointListUpdate, Fault, FaultKind, Fleet, RunResult, SECOND};
use ochrewalk_load_balancer::{BalancingConfig, EndpointHealth};

const ENDPOINTS: usize = 12;
const COLD_ENDPOINTS: usize = 2;
const WARM_ENDPOINTS: usize = ENDPOINTS - COLD_ENDPOINTS;
/// Runs before anything happens, so that nodes know what calls usually take.
const WARM_UP_US: u64 = 5 * SECOND;
/// Mean work of a call at one call a second of a node; less at higher rates, so that queues stay short.
const WORK_US: f64 = 20_000.0;
/// Calls of each node to an endpoint in an outage that all of them notice.
const CALLS_TO_NOTICE: f64 = 8.0;
/// Step in which the budget is summed up.
const STEP_US: u64 = 1_000;
/// Windows from the first cold moment on, up to the whole ramp.
pub const WINDOWS_US: [u64; 5] = [SECOND / 2, SECOND, 3 * SECOND / 2, 2 * SECOND, 3 * SECOND];

/// Why endpoints are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdStart {
    /// They are new on a list that each node reads within that time.
    Joins { within_us: u64 },
    /// They return after an outage of that length.
    Returns { outage_us: u64 },
    /// They return after so long that each node has sent them calls enough to notice.
    ReturnsNoticed,
}

/// How long one node takes to send one endpoint so many calls.
pub fn time_of_calls_us(rate: f64, calls: f64) -> u64 {
    (calls * ENDPOINTS as f64 / rate * SECOND as f64) as u64
}

/// A fleet, and the moment at which some of its endpoints begin to take calls, cold.
pub struct ColdScene {
    pub fleet: Fleet,
    pub cold_from_us: u64,
}

impl ColdScene {
    /// Nodes that each send `rate` calls a second to ten warm endpoints and two cold ones, for `after_us` after those
    /// are cold.
    pub fn new(nodes: usize, rate: f64, start: ColdStart, after_us: u64, seed: u64) -> ColdScene {
        let mut fleet = Fleet::plain(nodes, ENDPOINTS, BalancingConfig::default(), seed);
        (fleet.rate, fleet.first_rate) = (rate, rate);
        fleet.work_us = WORK_US / rate;
        let outage_us = match start {
            ColdStart::Joins { .. } => 0,
            ColdStart::Returns { outage_us } => outage_us,
            ColdStart::ReturnsNoticed => time_of_calls_us(rate, CALLS_TO_NOTICE),
        };
        let cold_from_us = WARM_UP_US + outage_us;
        if let ColdStart::Joins { within_us } = start {
            fleet.listed = (0..WARM_ENDPOINTS).collect();
            let endpoints = (0..ENDPOINTS).collect();
            fleet.list_updates.push(EndpointListUpdate { at_us: WARM_UP_US, takes_us: within_us, endpoints });
        } else {
            let (from_us, until_us) = (WARM_UP_US, cold_from_us);
            let endpoints = (WARM_ENDPOINTS, ENDPOINTS);
            fleet.faults.push(Fault { endpoints, from_us, until_us, kind: FaultKind::Dead });
        }
        fleet.seconds = (cold_from_us + after_us).div_ceil(SECOND);
        ColdScene { fleet, cold_from_us }
    }

    pub fn cold_endpoints(&self) -> std::ops::Range<usize> {
        WARM_ENDPOINTS..ENDPOINTS
    }

    /// The calls that arrived at a cold endpoint within that time from its first cold moment on.
    pub fn arrived(&self, result: &RunResult, endpoint: usize, window_us: u64) -> usize {
        result.arrived_between(endpoint, self.cold_from_us, self.cold_from_us + window_us)
    }

    /// The calls that the ramp allows one cold endpoint within that time: at each moment what a warm endpoint takes,
    /// times the warmth of one that has just joined.
    pub fn budget(&self, window_us: u64) -> f64 {
        let health = EndpointHealth::added(self.fleet.config.ejection, 0);
        let calls_a_step = self.fleet.rate * self.fleet.nodes as f64 * STEP_US as f64 / SECOND as f64;
        let allowed = |at_us: u64| {
            let warmth = health.slow_start_factor(at_us);
            calls_a_step * warmth / (WARM_ENDPOINTS as f64 + COLD_ENDPOINTS as f64 * warmth)
        };
        (0..window_us).step_by(STEP_US as usize).map(allowed).sum()
    }
}

/// The most that is put down to chance in a window with that budget.
pub fn chance_bound(budget: f64) -> f64 {
    budget + 2.0 * budget.sqrt() + 2.0
}

/// How likely a Poisson count of that mean is above a bound.
pub fn poisson_above(mean: f64, bound: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut up_to = term;
    for count in 1..=bound.floor() as u64 {
        term *= mean / count as f64;
        up_to += term;
    }
    (1.0 - up_to).max(0.0)
}

/// The least count that a Poisson count of that mean exceeds with at most that probability.
pub fn poisson_bound(mean: f64, probability: f64) -> usize {
    (0..).find(|count| poisson_above(mean, *count as f64) <= probability).expect("the tail falls to nothing")
}
