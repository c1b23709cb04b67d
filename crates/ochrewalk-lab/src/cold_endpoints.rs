//! Simulated fleets whose endpoints become cold at a given time, and the number of calls that slow start allows all
//! nodes together to send them. Used by the tests of slow start and by the example `cold_endpoints`.

use crate::emulated::{EndpointListUpdate, Fault, FaultKind, Fleet, RunResult, SECOND};
use ochrewalk_load_balancer::{BalancingConfig, EndpointHealth};

const ENDPOINTS: usize = 12;
const COLD_ENDPOINTS: usize = 2;
const WARM_ENDPOINTS: usize = ENDPOINTS - COLD_ENDPOINTS;
/// The time before the first event, in which nodes learn the usual latency of calls.
const WARM_UP_US: u64 = 5 * SECOND;
/// The mean work of a call at one call per second of each node. Higher rates use less work, so that queues stay short.
const WORK_US: f64 = 20_000.0;
/// The number of calls that each node sends to an endpoint during an outage that all nodes detect.
const CALLS_TO_NOTICE: f64 = 8.0;
/// The step size for the integration of the budget.
const STEP_US: u64 = 1_000;
/// The windows that start when endpoints become cold, up to the complete slow start.
pub const WINDOWS_US: [u64; 5] = [SECOND / 2, SECOND, 3 * SECOND / 2, 2 * SECOND, 3 * SECOND];

/// The reason why endpoints are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ColdStart {
    /// The endpoints are new on a list that each node reads within this time.
    Joins { within_us: u64 },
    /// The endpoints return after an outage of this length.
    Returns { outage_us: u64 },
    /// The endpoints return after an outage in which each node has sent them enough calls to detect it.
    ReturnsNoticed,
}

/// Returns the time in which one node sends this number of calls to one endpoint.
pub fn time_of_calls_us(rate: f64, calls: f64) -> u64 {
    (calls * ENDPOINTS as f64 / rate * SECOND as f64) as u64
}

/// A fleet, and the time from which some of its endpoints accept calls while cold.
pub struct ColdScene {
    pub fleet: Fleet,
    pub cold_from_us: u64,
}

impl ColdScene {
    /// Returns a fleet of nodes that each send `rate` calls per second to ten warm endpoints and two cold ones, for
    /// `after_us` after the latter have become cold.
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

    /// Returns the number of calls that arrived at a cold endpoint within this time after it became cold.
    pub fn arrived(&self, result: &RunResult, endpoint: usize, window_us: u64) -> usize {
        result.arrived_between(endpoint, self.cold_from_us, self.cold_from_us + window_us)
    }

    /// Returns the number of calls that slow start allows for one cold endpoint within this time: the rate of a warm
    /// endpoint times the slow start factor of an endpoint that has just joined, integrated over time.
    pub fn budget(&self, window_us: u64) -> f64 {
        let health = EndpointHealth::added(self.fleet.config.ejection, 0);
        let calls_per_step = self.fleet.rate * self.fleet.nodes as f64 * STEP_US as f64 / SECOND as f64;
        let allowed = |at_us: u64| {
            let factor = health.slow_start_factor(at_us);
            calls_per_step * factor / (WARM_ENDPOINTS as f64 + COLD_ENDPOINTS as f64 * factor)
        };
        (0..window_us).step_by(STEP_US as usize).map(allowed).sum()
    }
}

/// Returns the largest count that is attributed to chance in a window with this budget: two standard deviations above
/// it, plus 2.
pub fn chance_bound(budget: f64) -> f64 {
    budget + 2.0 * budget.sqrt() + 2.0
}

/// Returns the probability that a Poisson count with this mean exceeds a bound.
pub fn poisson_above(mean: f64, bound: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut cumulative = term;
    for count in 1..=bound.floor() as u64 {
        term *= mean / count as f64;
        cumulative += term;
    }
    (1.0 - cumulative).max(0.0)
}

/// Returns the smallest count that a Poisson count with this mean exceeds with at most this probability.
pub fn poisson_bound(mean: f64, probability: f64) -> usize {
    (0..).find(|count| poisson_above(mean, *count as f64) <= probability).expect("the tail falls to nothing")
}
