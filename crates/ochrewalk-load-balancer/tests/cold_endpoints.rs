//! The load of all nodes together on a cold endpoint stays within what its slow start allows. Each node runs the production
//! load balancer, in virtual time.
//!
//! The bounds allow for random variation only: over many runs the mean is at most the budget plus three standard errors, and
//! no single count exceeds the bound that a Poisson count with the budget as its mean exceeds with a probability of 1 in
//! 10,000.

use ochrewalk_lab::cold_endpoints::{poisson_bound, time_of_calls_us, ColdScene, ColdStart, WINDOWS_US};
use ochrewalk_lab::emulated::{play, Seen, SECOND};

const NODES: usize = 30;
/// Calls per second of each node: from one call in twelve seconds to each endpoint up to several per second.
const RATES: [f64; 3] = [1.0, 4.0, 40.0];
const SEEDS: std::ops::RangeInclusive<u64> = 2_001..=2_020;
const STANDARD_ERRORS: f64 = 3.0;
const PROBABILITY_OF_ONE_COUNT: f64 = 1e-4;
/// Calls of each node to each endpoint after the cold endpoints start to accept calls: enough to warm them up.
const CALLS_AFTER: f64 = 12.0;

/// Simulates many runs and compares the number of calls in each window with its budget.
fn assert_within_budget(start: ColdStart, rate: f64) {
    let after_us = 6 * SECOND + time_of_calls_us(rate, CALLS_AFTER);
    let mut arrived = vec![Vec::new(); WINDOWS_US.len()];
    let mut budgets = [0.0; WINDOWS_US.len()];
    for seed in SEEDS {
        let scene = ColdScene::new(NODES, rate, start, after_us, seed);
        let seen = play(&scene.fleet);
        for (window, window_us) in WINDOWS_US.into_iter().enumerate() {
            budgets[window] = scene.budget(window_us);
            let counts = scene.cold_endpoints().map(|endpoint| scene.arrived(&seen, endpoint, window_us));
            arrived[window].extend(counts);
        }
        for endpoint in scene.cold_endpoints() {
            assert!(
                has_warmed_up(&scene, &seen, endpoint),
                "{start:?}, {rate} calls per second, seed {seed}"
            );
        }
    }
    for (window, counts) in arrived.iter().enumerate() {
        let budget = budgets[window];
        let count = counts.len() as f64;
        let mean = counts.iter().sum::<usize>() as f64 / count;
        let context = format!(
            "{start:?}, {rate} calls per second of a node, {} us: budget {budget:.2}, mean {mean:.2}, {counts:?}",
            WINDOWS_US[window]
        );
        assert!(mean <= budget + STANDARD_ERRORS * (budget / count).sqrt(), "{context}");
        let max_count = poisson_bound(budget, PROBABILITY_OF_ONE_COUNT);
        assert!(counts.iter().all(|count| *count <= max_count), "at most {max_count}: {context}");
    }
}

/// Whether an endpoint gets at least half as many calls as a warm one, at the end of the run.
fn has_warmed_up(scene: &ColdScene, seen: &Seen, endpoint: usize) -> bool {
    let until_us = scene.fleet.seconds * SECOND;
    let from_us = until_us - time_of_calls_us(scene.fleet.rate, 2.0);
    2 * seen.arrived_between(endpoint, from_us, until_us) >= seen.arrived_between(0, from_us, until_us)
}

#[test]
fn new_endpoints_get_at_most_their_budget_from_all_nodes_together() {
    RATES.into_iter().for_each(|rate| assert_within_budget(ColdStart::Joins { within_us: 3 * SECOND }, rate));
}

#[test]
fn recovered_endpoints_get_at_most_their_budget_from_all_nodes_together() {
    RATES.into_iter().for_each(|rate| assert_within_budget(ColdStart::ReturnsNoticed, rate));
}
