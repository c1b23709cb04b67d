//! Measures the error rates of canary analysis in virtual time: many rollouts of a fleet whose nodes miss latency
//! objectives at random, some rollouts with harm and some during a fault of all nodes. The real analysis is compared
//! with simpler methods.

use ochrewalk_rollout::{AnalysisSettings, CallCounts, CanaryAnalysis, NodeSample, Sample, Verdict};
use plotters::prelude::*;
use std::path::Path;

pub const METHODS: [&str; 2] = ["look", "sale"];

/// A simulated fleet whose nodes miss latency objectives at random. It produces one sample per second.
pub struct SimulatedFleet {
    pub rng: fastrand::Rng,
    pub nodes: usize,
    /// The number of changed nodes, which are the first ones.
    pub changed: usize,
    /// Calls per second of each node, by method.
    pub rates: Vec<f64>,
    /// The mean share of calls that miss their latency objective.
    pub missed: f64,
    /// The factor of `missed` for each node.
    pub node_factors: Vec<f64>,
    /// The additional share of misses on the last method of changed nodes.
    pub harm: f64,
    /// The second from which on `harm` applies.
    pub harm_from: u32,
    /// The additional share of misses on all nodes.
    pub fault_share: f64,
    pub second: u32,
}

impl SimulatedFleet {
    pub fn new(nodes: usize, changed: usize, rate: f64, seed: u64) -> SimulatedFleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let node_factors = (0..nodes).map(|_| 0.8 + 0.4 * rng.f64()).collect();
        SimulatedFleet {
            rng,
            nodes,
            changed,
            rates: vec![rate * 0.7, rate * 0.3],
            missed: 0.05,
            node_factors,
            harm: 0.0,
            harm_from: 0,
            fault_share: 0.0,
            second: 0,
        }
    }

    fn poisson(&mut self, mean: f64) -> u32 {
        let (mut count, mut at, least) = (0, self.rng.f64(), (-mean).exp());
        while at > least && count < 1_000 {
            count += 1;
            at *= self.rng.f64();
        }
        count
    }

    /// Returns the sample of the next second.
    pub fn next_sample(&mut self) -> Sample {
        self.second += 1;
        let mut nodes = Vec::new();
        for node in 0..self.nodes {
            let is_changed = node < self.changed;
            let mut methods = Vec::new();
            for method in 0..self.rates.len() {
                let calls = self.poisson(self.rates[method]);
                let is_harmed = is_changed && method + 1 == self.rates.len() && self.second >= self.harm_from;
                let share = self.missed * self.node_factors[node]
                    + self.fault_share
                    + if is_harmed { self.harm } else { 0.0 };
                let missed = (0..calls).filter(|_| self.rng.f64() < share).count() as u32;
                methods.push(CallCounts { calls, missed, failed: missed / 2 });
            }
            nodes.push(NodeSample {
                node,
                zone: (node % 3) as u32,
                is_changed,
                methods,
                memory_kb: 40_000,
                ..NodeSample::default()
            });
        }
        Sample { nodes, changed: self.changed, unchanged: self.nodes - self.changed }
    }

    /// Passes samples to the analysis until it reaches a verdict. Returns the number of seconds and the verdict,
    /// which is `Pending` after `max_samples` without one.
    pub fn run_until_verdict(&mut self, analysis: &mut CanaryAnalysis, max_samples: u32) -> (u32, Verdict) {
        for second in 1..=max_samples {
            let sample = self.next_sample();
            match analysis.add_sample(&sample) {
                Verdict::Pending | Verdict::FleetUnhealthy => {}
                verdict => return (second, verdict),
            }
        }
        (max_samples, Verdict::Pending)
    }
}

/// A method that decides whether a rollout is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnalysisMethod {
    /// The sequential test of the production code.
    Sequential,
    /// A test of the sums of both groups since the stage started, repeated each second with a fixed error bound of
    /// one in a hundred.
    Fixed,
    /// A comparison of the changed nodes with the complete fleet before the rollout, with a fixed margin.
    BeforeAfter,
}

pub const ANALYSIS_METHODS: [(&str, AnalysisMethod); 3] = [
    ("sequential", AnalysisMethod::Sequential),
    ("fixed bound", AnalysisMethod::Fixed),
    ("before and after", AnalysisMethod::BeforeAfter),
];

/// The conditions during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    Harmless,
    /// On changed nodes, five percentage points more calls of one method miss their objective.
    Harm,
    /// On all nodes, twenty percentage points more calls miss their objective for 20 s of the first stage.
    FleetFault,
}

pub const CASES: [(&str, Case); 3] =
    [("no harm", Case::Harmless), ("harm of 5 points", Case::Harm), ("fault on all nodes", Case::FleetFault)];

const HARM: f64 = 0.05;
/// The shortest duration of a stage, in seconds.
const MIN_STAGE_S: u32 = 30;
/// The longest duration of a stage, in seconds.
const MAX_STAGE_S: u32 = 900;
/// The quantile of the normal distribution for a one-sided error of one in a hundred.
const BOUND: f64 = 2.33;

/// The result of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolloutResult {
    pub stopped: bool,
    pub seconds: u32,
}

/// Calls and misses of changed and unchanged nodes since the stage started, for one method.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    changed: [f64; 2],
    others: [f64; 2],
}

fn add(sums: &mut [Sums], sample: &Sample) {
    for node in &sample.nodes {
        for (sum, counts) in sums.iter_mut().zip(&node.methods) {
            let side = if node.is_changed { &mut sum.changed } else { &mut sum.others };
            side[0] += f64::from(counts.calls);
            side[1] += f64::from(counts.missed);
        }
    }
}

/// Returns how much the share of misses on changed nodes exceeds that on the others, and the standard deviation of
/// this difference.
fn excess_and_deviation(sums: &Sums) -> Option<(f64, f64)> {
    let ([changed, misses], [others, other_misses]) = (sums.changed, sums.others);
    if changed < 1.0 || others < 1.0 {
        return None;
    }
    let share = (misses + other_misses) / (changed + others);
    let deviation = (share * (1.0 - share) * (1.0 / changed + 1.0 / others)).sqrt();
    Some((misses / changed - other_misses / others, deviation))
}

/// Returns the verdict of one of the simpler methods on the sums since the stage started.
fn simple_verdict(analysis_method: AnalysisMethod, sums: &[Sums], before: &[f64], second: u32) -> Verdict {
    let harm = |is: bool| if is { Verdict::Harm("more of it misses".into()) } else { Verdict::Pending };
    if analysis_method == AnalysisMethod::BeforeAfter {
        if second < MIN_STAGE_S {
            return Verdict::Pending;
        }
        let share = |of: &Sums| of.changed[1] / of.changed[0].max(1.0);
        let is_worse = sums.iter().zip(before).any(|(of, before)| share(of) > before + HARM / 2.0);
        return if is_worse { harm(true) } else { Verdict::Pass };
    }
    let excesses: Vec<(f64, f64)> = sums.iter().filter_map(excess_and_deviation).collect();
    if excesses.iter().any(|(excess, deviation)| *excess > BOUND * deviation && second >= 5) {
        return harm(true);
    }
    let is_clear = excesses.iter().all(|(excess, deviation)| excess + BOUND * deviation < HARM);
    if second >= MIN_STAGE_S && is_clear || second >= MAX_STAGE_S {
        Verdict::Pass
    } else {
        Verdict::Pending
    }
}

/// Simulates a rollout in stages of a hundredth, a tenth and half of the nodes.
pub fn roll_out(
    analysis_method: AnalysisMethod,
    case: Case,
    nodes: usize,
    rate: f64,
    seed: u64,
) -> RolloutResult {
    let mut fleet = SimulatedFleet::new(nodes, 0, rate, seed);
    fleet.harm = if case == Case::Harm { HARM } else { 0.0 };
    let mut analysis = CanaryAnalysis::new(
        AnalysisSettings { harm: HARM, ..AnalysisSettings::default() },
        METHODS.map(String::from).to_vec(),
    );
    let mut before = vec![Sums::default(); METHODS.len()];
    for _ in 0..MIN_STAGE_S {
        let sample = fleet.next_sample();
        analysis.add_sample(&sample);
        add(&mut before, &sample);
    }
    let before: Vec<f64> = before.iter().map(|sums| sums.others[1] / sums.others[0].max(1.0)).collect();
    let from = fleet.second;
    for share in [100, 10, 2] {
        fleet.changed = (nodes / share).max(1);
        analysis.begin_stage();
        let mut sums = vec![Sums::default(); METHODS.len()];
        for second in 1..=2 * MAX_STAGE_S {
            let has_fleet_fault = case == Case::FleetFault && (10..30).contains(&(fleet.second - from));
            fleet.fault_share = if has_fleet_fault { 0.2 } else { 0.0 };
            let sample = fleet.next_sample();
            add(&mut sums, &sample);
            let verdict = match analysis_method {
                AnalysisMethod::Sequential => analysis.add_sample(&sample),
                _ => simple_verdict(analysis_method, &sums, &before, second),
            };
            match verdict {
                Verdict::Harm(_) => return RolloutResult { stopped: true, seconds: fleet.second - from },
                Verdict::Pass => break,
                // An operator who is asked because of too few calls continues the rollout, in this simulation.
                Verdict::Inconclusive(_) => break,
                Verdict::Pending | Verdict::FleetUnhealthy => {}
            }
        }
    }
    RolloutResult { stopped: false, seconds: fleet.second - from }
}

/// Simulates `count` rollouts of a case, with nodes that have 1 to 30 calls per second.
pub fn changes(
    analysis_method: AnalysisMethod,
    case: Case,
    nodes: usize,
    count: u64,
    seed: u64,
) -> Vec<RolloutResult> {
    let one = |n: u64| roll_out(analysis_method, case, nodes, 1.0 + (n % 30) as f64, seed ^ (n << 8));
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    std::thread::scope(|scope| {
        let thread =
            |thread: u64| scope.spawn(move || (thread..count).step_by(threads as usize).map(one).collect());
        let threads: Vec<std::thread::ScopedJoinHandle<Vec<RolloutResult>>> =
            (0..threads).map(thread).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    })
}

/// Prints a table of all methods and cases, and draws a plot of the share of stopped rollouts over time.
pub fn table(nodes: usize, count: u64, seed: u64, plot: Option<&Path>) -> Result<(), String> {
    println!(
        "{:<18}{:<20}{:>10}{:>16}{:>16}",
        "analysis", "case", "stopped", "seconds, median", "seconds, 95%"
    );
    let mut curves = Vec::new();
    for (name, analysis_method) in ANALYSIS_METHODS {
        for (case_name, case) in CASES {
            let results = changes(analysis_method, case, nodes, count, seed);
            let mut seconds: Vec<u32> = results.iter().map(|e| e.seconds).collect();
            seconds.sort_unstable();
            let at = |share: f64| seconds[((seconds.len() - 1) as f64 * share) as usize];
            let stopped = results.iter().filter(|e| e.stopped).count();
            println!(
                "{name:<18}{case_name:<20}{:>10}{:>16}{:>16}",
                format!("{stopped} of {count}"),
                at(0.5),
                at(0.95)
            );
            curves.push((format!("{name}, {case_name}"), results));
        }
    }
    plot.map_or(Ok(()), |file| draw(file, &curves).map_err(|err| format!("{}: {err}", file.display())))
}

fn draw(file: &Path, curves: &[(String, Vec<RolloutResult>)]) -> Result<(), Box<dyn std::error::Error>> {
    const SECONDS: u32 = 300;
    let area = SVGBackend::new(file, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(40)
        .caption("share of rollouts stopped, by seconds from the first stage", ("sans-serif", 14))
        .build_cartesian_2d(0..SECONDS, 0.0..1.02)?;
    chart.configure_mesh().light_line_style(WHITE).draw()?;
    for (number, (name, results)) in curves.iter().enumerate() {
        let color = HSLColor(number as f64 / curves.len() as f64, 0.7, 0.4);
        let share = |second: u32| {
            let stopped = results.iter().filter(|e| e.stopped && e.seconds <= second).count();
            (second, stopped as f64 / results.len().max(1) as f64)
        };
        let line = chart.draw_series(LineSeries::new((0..SECONDS).map(share), color.stroke_width(2)))?;
        line.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
