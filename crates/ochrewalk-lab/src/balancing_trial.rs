//! The lab's command `spread`: measures how evenly load is distributed over endpoints, with real processes or in
//! virtual time, and prints tables and JSON.

use crate::emulated::{self, Evenness, RunResult, SECOND};
use crate::fleet::{self, Outcome, Plan};
use crate::plot;
use ochrewalk_load_balancer::{BalancingConfig, BalancingPolicy, Subsetting};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The options of the command line.
#[derive(Clone, Debug)]
pub struct Options {
    pub nodes: usize,
    pub endpoints: usize,
    pub rate: f64,
    pub work_ms: u64,
    pub seconds: u64,
    pub seed: u64,
    pub policy: String,
    pub subset_size: Option<usize>,
    pub faults: String,
    pub log: &'static str,
    pub plot: Option<PathBuf>,
    /// In virtual time, the interval at which all nodes learn all queue lengths; 0 for never.
    pub queue_broadcast_ms: u64,
}

/// The default subset size of a node, for policies with deterministic subsets.
const SUBSET_SIZE: usize = 5;

impl Options {
    /// Returns the load balancing lines of the operators' file. Only `rounds` and `shuffled` use deterministic
    /// subsets by default; the other policies select among all endpoints.
    fn lines(&self) -> String {
        let subset_size =
            self.subset_size.or(matches!(&*self.policy, "rounds" | "shuffled").then_some(SUBSET_SIZE));
        let reach = subset_size
            .map_or(String::new(), |endpoints| format!("below reach {endpoints}\nbelow number N OF\n"));
        format!("below way {}\n{reach}", self.policy)
    }

    /// Runs real processes and prints the result, whose last line is JSON. Returns whether no rule was violated.
    pub fn real(&self, program: &Path) -> Result<bool, String> {
        let plan = Plan {
            nodes: self.nodes,
            endpoints: self.endpoints,
            rate: self.rate,
            work_us: self.work_ms * 1_000,
            seconds: self.seconds,
            seed: self.seed,
            window: Duration::from_secs(10),
            instance: 0,
            balancing: self.lines(),
            fault: self.faults.clone(),
            log: self.log,
            progress: true,
        };
        let outcome = fleet::play(program, &plan)?;
        outcome.broken.iter().take(10).for_each(|broken| eprintln!("broken: {broken}"));
        println!("{}", line(&outcome));
        Ok(outcome.broken.is_empty())
    }

    /// Simulates all policies with five seeds in virtual time, and prints the range of each measure. Optionally draws
    /// a plot of three combinations of policy and subset.
    pub fn emulated(&self) -> Result<bool, String> {
        let endpoints: Vec<usize> = (0..self.endpoints).collect();
        println!(
            "{:<10}{:<7}{:>12}{:>16}{:>16}{:>8}{:>16}{:>16}{:>18}",
            "policy",
            "subset",
            "idle",
            "max over mean",
            "dispersion",
            "burst",
            "median ms",
            "99% ms",
            "served"
        );
        let mut plots = Vec::new();
        for kind in BalancingPolicy::ALL {
            let name = kind.name();
            let deterministic = Subsetting::Deterministic {
                size: self.subset_size.unwrap_or(SUBSET_SIZE),
                node: 0,
                node_count: 1,
            };
            let random = Subsetting::Random { size: self.subset_size.unwrap_or(SUBSET_SIZE) };
            for (subset_name, subsetting) in
                [("all", Subsetting::All), ("arc", deterministic), ("drawn", random)]
            {
                let runs: Vec<RunResult> =
                    (0..5).map(|more| self.emulate(kind, subsetting, self.seed + more)).collect();
                let even: Vec<Evenness> = runs.iter().map(|result| result.evenness(&endpoints, 1)).collect();
                let figure = |of: &dyn Fn(usize) -> f64, digits: usize| {
                    let all: Vec<f64> = (0..runs.len()).map(of).collect();
                    let (least, most) =
                        all.iter().fold((f64::MAX, 0.0f64), |(l, m), x| (l.min(*x), m.max(*x)));
                    format!("{least:.digits$} to {most:.digits$}")
                };
                println!(
                    "{name:<10}{subset_name:<7}{:>12}{:>16}{:>16}{:>8}{:>16}{:>16}{:>18}",
                    figure(&|at| even[at].idle as f64, 0),
                    figure(&|at| even[at].max_over_mean, 2),
                    figure(&|at| even[at].dispersion, 2),
                    runs.iter().map(|result| result.burst).max().unwrap_or(0),
                    figure(&|at| runs[at].quantile_ms(0.5), 0),
                    figure(&|at| runs[at].quantile_ms(0.99), 0),
                    figure(&|at| runs[at].served_share(), 4),
                );
                if matches!((name, subset_name), ("fastest" | "random", "all") | ("rounds", "arc")) {
                    plots.push((format!("{name}, {subset_name}"), runs.into_iter().next().expect("five")));
                }
            }
        }
        if let Some(file) = &self.plot {
            plots.reverse();
            plot::by_endpoint(file, &plots, &endpoints)?;
            println!("plot: {}", file.display());
        }
        Ok(true)
    }

    fn emulate(&self, policy: BalancingPolicy, subsetting: Subsetting, seed: u64) -> RunResult {
        let plan = BalancingConfig {
            policy,
            subsetting,
            uses_learned_weights: policy != BalancingPolicy::LeastLatency,
            ..BalancingConfig::default()
        };
        let mut fleet = emulated::Fleet::plain(self.nodes, self.endpoints, plan, seed);
        (fleet.rate, fleet.first_rate, fleet.seconds) = (self.rate, self.rate, self.seconds);
        fleet.work_us = self.work_ms as f64 * 1_000.0;
        fleet.deadline_us = 20 * SECOND;
        fleet.queue_broadcast_us = self.queue_broadcast_ms * 1_000;
        emulated::play(&fleet)
    }
}

fn line(outcome: &Outcome) -> serde_json::Value {
    let round = |x: f64| (x * 10_000.0).round() / 10_000.0;
    json!({
        "broken": outcome.broken.len(), "processes": outcome.processes, "calls": outcome.calls,
        "idle": outcome.even.idle, "max_over_mean": round(outcome.even.max_over_mean),
        "dispersion": round(outcome.even.dispersion), "windows": outcome.windows,
        "burst_100ms": outcome.burst, "p50_ms": outcome.p50_ms, "p99_ms": outcome.p99_ms,
        "served_share": round(outcome.served_share), "served_during": round(outcome.served_during),
        "memory_mb": outcome.memory_mb, "cpu_s": outcome.cpu_us / 1_000_000
    })
}
