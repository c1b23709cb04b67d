//! How good a judge of changes is, in virtual time: many changes of a fleet whose nodes miss by chance, some of them with
//! harm, some under trouble that strikes all; the real judge beside plainer ways.

use ochrewalk_rollout::{AnalysisSettings, CallCounts, CanaryAnalysis, NodeSample, Sample, Verdict};
use plotters::prelude::*;
use std::path::Path;

pub const METHODS: [&str; 2] = ["look", "sale"];

/// A fleet whose nodes miss by chance: what a judge is told of each second.
pub struct World {
    pub rng: fastrand::Rng,
    pub nodes: usize,
    /// The first of them are changed.
    pub changed: usize,
    /// Calls a second of each node, by method.
    pub rates: Vec<f64>,
    pub missed: f64,
    /// By how much nodes differ among themselves, as a share of `missed`.
    pub differ: Vec<f64>,
    /// More misses of changed nodes on the last method, from that second on.
    pub harm: f64,
    pub harm_from: u32,
    /// More misses of all nodes.
    pub trouble: f64,
    pub second: u32,
}

impl World {
    pub fn new(nodes: usize, changed: usize, rate: f64, seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let differ = (0..nodes).map(|_| 0.8 + 0.4 * rng.f64()).collect();
        World {
            rng,
            nodes,
            changed,
            rates: vec![rate * 0.7, rate * 0.3],
            missed: 0.05,
            differ,
            harm: 0.0,
            harm_from: 0,
            trouble: 0.0,
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

    /// The next second.
    pub fn moment(&mut self) -> Sample {
        self.second += 1;
        let mut nodes = Vec::new();
        for node in 0..self.nodes {
            let is_changed = node < self.changed;
            let mut methods = Vec::new();
            for method in 0..self.rates.len() {
                let calls = self.poisson(self.rates[method]);
                let harmed = is_changed && method + 1 == self.rates.len() && self.second >= self.harm_from;
                let share =
                    self.missed * self.differ[node] + self.trouble + if harmed { self.harm } else { 0.0 };
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

    /// Seconds until the judge says something else than to wait, and what.
    pub fn judged(&mut self, judge: &mut CanaryAnalysis, most: u32) -> (u32, Verdict) {
        for second in 1..=most {
            let moment = self.moment();
            match judge.add_sample(&moment) {
                Verdict::Pending | Verdict::FleetUnhealthy => {}
                said => return (second, said),
            }
        }
        (most, Verdict::Pending)
    }
}

/// A judge of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The program's own.
    Sequential,
    /// Sums of both sides since the stage began, looked at each second against a fixed bound of one in a hundred.
    Fixed,
    /// Changed nodes after the change beside the whole fleet before it, with a fixed margin.
    BeforeAfter,
}

pub const WAYS: [(&str, Way); 3] =
    [("sequential", Way::Sequential), ("fixed bound", Way::Fixed), ("before and after", Way::BeforeAfter)];

/// What befalls a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    Harmless,
    /// Five points more of one method miss on changed nodes.
    Harm,
    /// Twenty points more miss on all nodes, for 20 s of the first stage.
    Trouble,
}

pub const CASES: [(&str, Case); 3] =
    [("no harm", Case::Harmless), ("harm of 5 points", Case::Harm), ("trouble of all", Case::Trouble)];

const HARM: f64 = 0.05;
/// A stage lasts so long at least, and no longer than that.
const LEAST: u32 = 30;
const MOST: u32 = 900;
/// One in a hundred, on one side.
const BOUND: f64 = 2.33;

/// How a change ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ended {
    pub stopped: bool,
    pub seconds: u32,
}

/// Calls and misses of both sides since the stage began, by method.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    changed: [f64; 2],
    others: [f64; 2],
}

fn add(sums: &mut [Sums], moment: &Sample) {
    for node in &moment.nodes {
        for (sum, counts) in sums.iter_mut().zip(&node.methods) {
            let side = if node.is_changed { &mut sum.changed } else { &mut sum.others };
            side[0] += f64::from(counts.calls);
            side[1] += f64::from(counts.missed);
        }
    }
}

/// How much more of the changed side's calls miss, and the spread of that.
fn over(sums: &Sums) -> Option<(f64, f64)> {
    let ([changed, bad], [others, bad_others]) = (sums.changed, sums.others);
    if changed < 1.0 || others < 1.0 {
        return None;
    }
    let share = (bad + bad_others) / (changed + others);
    let spread = (share * (1.0 - share) * (1.0 / changed + 1.0 / others)).sqrt();
    Some((bad / changed - bad_others / others, spread))
}

/// The word of a plain way on what was seen since a stage began.
fn plain_word(way: Way, sums: &[Sums], before: &[f64], second: u32) -> Verdict {
    let harm = |is: bool| if is { Verdict::Harm("more of it misses".into()) } else { Verdict::Pending };
    if way == Way::BeforeAfter {
        if second < LEAST {
            return Verdict::Pending;
        }
        let share = |of: &Sums| of.changed[1] / of.changed[0].max(1.0);
        let worse = sums.iter().zip(before).any(|(of, before)| share(of) > before + HARM / 2.0);
        return if worse { harm(true) } else { Verdict::Pass };
    }
    let seen: Vec<(f64, f64)> = sums.iter().filter_map(over).collect();
    if seen.iter().any(|(over, spread)| *over > BOUND * spread && second >= 5) {
        return harm(true);
    }
    let is_clear = seen.iter().all(|(over, spread)| over + BOUND * spread < HARM);
    if second >= LEAST && is_clear || second >= MOST {
        Verdict::Pass
    } else {
        Verdict::Pending
    }
}

/// Plays a change of a hundredth, a tenth and half of the nodes.
pub fn change(way: Way, case: Case, nodes: usize, rate: f64, seed: u64) -> Ended {
    let mut world = World::new(nodes, 0, rate, seed);
    world.harm = if case == Case::Harm { HARM } else { 0.0 };
    let mut judge = CanaryAnalysis::new(
        AnalysisSettings { harm: HARM, ..AnalysisSettings::default() },
        METHODS.map(String::from).to_vec(),
    );
    let mut before = vec![Sums::default(); METHODS.len()];
    for _ in 0..LEAST {
        let moment = world.moment();
        judge.add_sample(&moment);
        add(&mut before, &moment);
    }
    let before: Vec<f64> = before.iter().map(|sums| sums.others[1] / sums.others[0].max(1.0)).collect();
    let from = world.second;
    for share in [100, 10, 2] {
        world.changed = (nodes / share).max(1);
        judge.begin_stage();
        let mut sums = vec![Sums::default(); METHODS.len()];
        for second in 1..=2 * MOST {
            let struck = case == Case::Trouble && (10..30).contains(&(world.second - from));
            world.trouble = if struck { 0.2 } else { 0.0 };
            let moment = world.moment();
            add(&mut sums, &moment);
            let said = match way {
                Way::Sequential => judge.add_sample(&moment),
                _ => plain_word(way, &sums, &before, second),
            };
            match said {
                Verdict::Harm(_) => return Ended { stopped: true, seconds: world.second - from },
                Verdict::Pass => break,
                // Who is asked for lack of calls passes it, in this table.
                Verdict::Inconclusive(_) => break,
                Verdict::Pending | Verdict::FleetUnhealthy => {}
            }
        }
    }
    Ended { stopped: false, seconds: world.second - from }
}

/// So many changes of a case, with nodes that have 1 to 30 calls a second.
pub fn changes(way: Way, case: Case, nodes: usize, count: u64, seed: u64) -> Vec<Ended> {
    let one = |n: u64| change(way, case, nodes, 1.0 + (n % 30) as f64, seed ^ (n << 8));
    let lanes = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    std::thread::scope(|scope| {
        let lane = |lane: u64| scope.spawn(move || (lane..count).step_by(lanes as usize).map(one).collect());
        let lanes: Vec<std::thread::ScopedJoinHandle<Vec<Ended>>> = (0..lanes).map(lane).collect();
        lanes.into_iter().flat_map(|lane| lane.join().unwrap_or_default()).collect()
    })
}

/// All ways and cases as a table; the share of stopped changes over time as a plot.
pub fn table(nodes: usize, count: u64, seed: u64, plot: Option<&Path>) -> Result<(), String> {
    println!("{:<18}{:<20}{:>10}{:>16}{:>16}", "way", "case", "stopped", "seconds, median", "seconds, 95%");
    let mut curves = Vec::new();
    for (name, way) in WAYS {
        for (told, case) in CASES {
            let ended = changes(way, case, nodes, count, seed);
            let mut seconds: Vec<u32> = ended.iter().map(|e| e.seconds).collect();
            seconds.sort_unstable();
            let at = |share: f64| seconds[((seconds.len() - 1) as f64 * share) as usize];
            let stopped = ended.iter().filter(|e| e.stopped).count();
            println!(
                "{name:<18}{told:<20}{:>10}{:>16}{:>16}",
                format!("{stopped} of {count}"),
                at(0.5),
                at(0.95)
            );
            curves.push((format!("{name}, {told}"), ended));
        }
    }
    plot.map_or(Ok(()), |file| draw(file, &curves).map_err(|err| format!("{}: {err}", file.display())))
}

fn draw(file: &Path, curves: &[(String, Vec<Ended>)]) -> Result<(), Box<dyn std::error::Error>> {
    const SECONDS: u32 = 300;
    let area = SVGBackend::new(file, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(40)
        .caption("share of changes stopped, by seconds from the first stage", ("sans-serif", 14))
        .build_cartesian_2d(0..SECONDS, 0.0..1.02)?;
    chart.configure_mesh().light_line_style(WHITE).draw()?;
    for (number, (name, ended)) in curves.iter().enumerate() {
        let color = HSLColor(number as f64 / curves.len() as f64, 0.7, 0.4);
        let share = |second: u32| {
            let stopped = ended.iter().filter(|e| e.stopped && e.seconds <= second).count();
            (second, stopped as f64 / ended.len().max(1) as f64)
        };
        let line = chart.draw_series(LineSeries::new((0..SECONDS).map(share), color.stroke_width(2)))?;
        line.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
