//! What a whole fleet sends to a cold endpoint: the sum over all nodes stays within what its ramp allows. The real load
//! balancing of each node, in virtual time.
//!
//! The verdict is that of chance alone: over many runs the mean is at most the budget and three standard errors, and no
//! single count exceeds what a Poisson count of the budget exceeds once in ten thousand times.

use ochrewalk_lab::cold_endpoints::{poisson_bound, time_of_calls_us, ColdScene, ColdStart, WINDOWS_US};
use ochrewalk_lab::emulated::{play, Seen, SECOND};

const NODES: usize = 30;
/// Calls a second of each node: from one call in twelve seconds to each endpoint to several a second.
const RATES: [f64; 3] = [1.0, 4.0, 40.0];
const SEEDS: std::ops::RangeInclusive<u64> = 2_001..=2_020;
const STANDARD_ERRORS: f64 = 3.0;
const CHANCE_OF_ONE_COUNT: f64 = 1e-4;
/// Calls of each node to each endpoint after those are cold: enough to take them in.
const CALLS_AFTER: f64 = 12.0;

/// Plays many scenes and judges the sums of each window.
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
            assert!(is_taken_in(&scene, &seen, endpoint), "{start:?}, {rate} calls a second, seed {seed}");
        }
    }
    for (window, counts) in arrived.iter().enumerate() {
        let budget = budgets[window];
        let count = counts.len() as f64;
        let mean = counts.iter().sum::<usize>() as f64 / count;
        let context = format!(
            "{start:?}, {rate} calls a second of a node, {} us: budget {budget:.2}, mean {mean:.2}, {counts:?}",
            WINDOWS_US[window]
        );
        assert!(mean <= budget + STANDARD_ERRORS * (budget / count).sqrt(), "{context}");
        let most = poisson_bound(budget, CHANCE_OF_ONE_COUNT);
        assert!(counts.iter().all(|count| *count <= most), "at most {most}: {context}");
    }
}

/// Whether an endpoint takes at least half of what a warm one does, at the end.
fn is_taken_in(scene: &ColdScene, seen: &Seen, endpoint: usize) -> bool {
    let until_us = scene.fleet.seconds * SECOND;
    let from_us = until_us - time_of_calls_us(scene.fleet.rate, 2.0);
    2 * seen.arrived_between(endpoint, from_us, until_us) >= seen.arrived_between(0, from_us, until_us)
}

#[test]
fn endpoints_that_join_get_no_more_than_their_budget_from_all_nodes_together() {
    RATES.into_iter().for_each(|rate| assert_within_budget(ColdStart::Joins { within_us: 3 * SECOND }, rate));
}

#[test]
fn endpoints_that_return_get_no_more_than_their_budget_from_all_nodes_together() {
    RATES.into_iter().for_each(|rate| assert_within_budget(ColdStart::ReturnsNoticed, rate));
}
