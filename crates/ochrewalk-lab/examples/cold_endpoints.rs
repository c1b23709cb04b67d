//! Prints the number of calls that complete fleets send to cold endpoints, together with the number that slow start
//! allows.
//!
//! `cargo run --release -p ochrewalk-lab --example cold_endpoints -- FIRST_SEED SEEDS`

use ochrewalk_lab::cold_endpoints::{chance_bound, poisson_above, ColdScene, ColdStart, WINDOWS_US};
use ochrewalk_lab::emulated::{play, SECOND};

const RATES: [f64; 4] = [0.5, 1.0, 4.0, 40.0];
const FLEETS: [usize; 3] = [5, 20, 30];
const STARTS: [ColdStart; 7] = [
    ColdStart::Joins { within_us: 0 },
    ColdStart::Joins { within_us: 3 * SECOND },
    ColdStart::Returns { outage_us: SECOND },
    ColdStart::Returns { outage_us: 3 * SECOND },
    ColdStart::Returns { outage_us: 6 * SECOND },
    ColdStart::Returns { outage_us: 15 * SECOND },
    ColdStart::ReturnsNoticed,
];

fn name(start: ColdStart) -> String {
    match start {
        ColdStart::Joins { within_us } => format!("joins/{}s", within_us / SECOND),
        ColdStart::ReturnsNoticed => "noticed".to_string(),
        ColdStart::Returns { outage_us } => format!("returns/{}s", outage_us / SECOND),
    }
}

/// Prints one line per window: the budget, the mean count, the number of counts above the bound, and the number
/// expected if counts were Poisson distributed with the budget as mean.
fn print_windows(start: ColdStart, nodes: usize, rate: f64, seeds: std::ops::Range<u64>) {
    let mut arrived = vec![Vec::new(); WINDOWS_US.len()];
    let mut budgets = [0.0; WINDOWS_US.len()];
    for seed in seeds {
        let scene = ColdScene::new(nodes, rate, start, WINDOWS_US[WINDOWS_US.len() - 1], seed);
        let result = play(&scene.fleet);
        for (window, window_us) in WINDOWS_US.into_iter().enumerate() {
            budgets[window] = scene.budget(window_us);
            let counts = scene.cold_endpoints().map(|endpoint| scene.arrived(&result, endpoint, window_us));
            arrived[window].extend(counts);
        }
    }
    for (window, counts) in arrived.iter().enumerate() {
        let budget = budgets[window];
        let above = counts.iter().filter(|count| **count as f64 > chance_bound(budget)).count();
        let expected = poisson_above(budget, chance_bound(budget)) * counts.len() as f64;
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        let standard_error = (budget / counts.len() as f64).sqrt();
        let verdict = if mean > budget + 3.0 * standard_error { "MEAN" } else { "" };
        println!(
            "{:<11} {nodes:>3} {rate:>5} {:>4.1} {budget:>8.2} {mean:>8.2} {above:>5} {expected:>6.1} {:>5} {verdict}",
            name(start),
            WINDOWS_US[window] as f64 / SECOND as f64,
            counts.len()
        );
    }
}

fn main() {
    let arguments: Vec<u64> = std::env::args().skip(1).map(|text| text.parse().expect("a number")).collect();
    let [first, count] = arguments[..] else { panic!("usage: cold_endpoints FIRST_SEED SEEDS") };
    println!("start     nodes  rate    s   budget     mean above chance    of");
    for start in STARTS {
        for nodes in FLEETS {
            for rate in RATES {
                print_windows(start, nodes, rate, first..first + count);
            }
        }
    }
}
