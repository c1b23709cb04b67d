//! The laboratory's command line.

use clap::{Parser, Subcommand};
use ochrewalk_lab::balancing_trial::Options;
use ochrewalk_lab::call_log::AnswerKind;
use ochrewalk_lab::faults::FAULTS;
use ochrewalk_lab::limits_trial::Fleet;
use ochrewalk_lab::load::{play, Outcome, Plan, Protocols, METHODS};
use ochrewalk_lab::node::program;
use ochrewalk_lab::scale::{self, HollowOptions, ScaleOptions};
use ochrewalk_lab::{capacity, rollouts, slopes, upgrades};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "ochrewalk-lab",
    version,
    about = "A node on loopback among stand-ins, under load, its rules checked"
)]
struct Line {
    #[command(subcommand)]
    command: Command,
    /// The node's program, if not the one beside this
    #[arg(long, global = true, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Show the node's warnings too
    #[arg(long, global = true)]
    warnings: bool,
}

impl Line {
    fn log_of_node(&self) -> &'static str {
        if self.warnings {
            "warn"
        } else {
            "error"
        }
    }
}

#[derive(Clone, Subcommand)]
enum Command {
    /// Ten seconds of calls by both protocols, and what became of them
    Demo,
    /// Load by JSON-RPC and AJP at once, and the CPU that each takes alone; the last line is JSON
    Ajp {
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(2..=600))]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Work asked for over what the cores can do
        #[arg(long, default_value_t = 1.2)]
        load: f64,
        /// The share of ledger calls whose connection closes at a random byte of the answer
        #[arg(long, default_value_t = 0.0)]
        cut: f64,
    },
    /// Upgrades during steady load, beside the load left alone and plain restarts; the last line is JSON
    Upgrade {
        #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(4..=600))]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Milliseconds between two upgrades
        #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
        every: u64,
        /// Work asked for over what the cores can do
        #[arg(long, default_value_t = 0.8)]
        load: f64,
        /// What the new program does wrong: crash or hang, at start, greet, ready, commit, as in crash:ready
        #[arg(long)]
        fail: Option<String>,
    },
    /// A rolling change of many nodes, to a program with a flaw or without one; the last line is JSON
    Rollout {
        #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..=300))]
        nodes: u64,
        /// Calls a second of each node
        #[arg(long, default_value_t = 20.0)]
        rate: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// crash-at-start, crash-later, crash-on-hand-over, hang-on-hand-over, deaf, slow, slow-later, leak
        #[arg(long)]
        flaw: Option<String>,
        /// What is changed: program, settings, harmful-settings, unusable-settings
        #[arg(long, default_value = "program")]
        subject: String,
        /// none, conductor-killed, conductor-gone, two-conductors, links-silent, links-break, old-replaced, nodes-stopped,
        /// all-slow
        #[arg(long, default_value = "none")]
        faults: String,
        /// Seconds that it may take
        #[arg(long, default_value_t = 300)]
        most: u64,
        /// Where the conductor's log is left
        #[arg(long, value_name = "FILE")]
        log: Option<std::path::PathBuf>,
    },
    /// Nodes with pools before one ledger that they share, in virtual time: all ways of limits as a table
    Fleet {
        #[arg(long, default_value_t = 250, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        nodes: u64,
        /// Calls over what the ledger can do
        #[arg(long, default_value_t = 1.2)]
        load: f64,
        #[arg(long, default_value_t = 180, value_parser = clap::value_parser!(u64).range(30..=1_200))]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Runs of each, with seeds from that one on
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=20))]
        runs: u64,
    },
    /// How often judges of changes stop what does no harm, and how soon they find harm, in virtual time, as a table
    Judge {
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(10..=2_000))]
        nodes: u64,
        /// Changes of each kind
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(10..=2_000))]
        changes: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where a plot is left
        #[arg(long, value_name = "FILE")]
        plot: Option<std::path::PathBuf>,
    },
    /// What one more route, tenant, connection, RPC, change or subscriber costs, measured at the real programs
    Slopes {
        /// Where the slopes are written, or added to those that stand there; to the terminal if it is not named
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// One measurement; a name that there is not lists all
        #[arg(long, value_name = "NAME")]
        only: Option<String>,
        /// Small sizes and short spans, to see that it works
        #[arg(long)]
        quick: bool,
    },
    /// What a fleet of a size takes, extrapolated from measured slopes, as a page
    Capacity {
        #[arg(long, value_name = "FILE")]
        slopes: PathBuf,
        #[arg(long, value_name = "FILE")]
        size: PathBuf,
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Distribution of configuration to a fleet of real processes and simulated nodes; the last line is JSON
    Scale(ScaleOptions),
    /// The simulated nodes of one process of `scale`, driven by lines on standard input
    #[command(hide = true)]
    ScaleHollow(HollowOptions),
    /// How evenly nodes load places, on real processes with links between them; the last line is JSON
    Spread {
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        nodes: u64,
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        places: u64,
        /// Calls a second of each node
        #[arg(long, default_value_t = 3.0)]
        rate: f64,
        /// Mean work of a call at a place of one core, in milliseconds
        #[arg(long, default_value_t = 100)]
        work: u64,
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(3..=600))]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// rounds, shuffled, random, two, least or fastest
        #[arg(long, default_value = "rounds")]
        way: String,
        /// Places of each node's own, laid out by its number; rounds and shuffled have some of their own accord
        #[arg(long)]
        reach: Option<usize>,
        /// What goes wrong; `list` names all
        #[arg(long, default_value = "none")]
        faults: String,
        /// In virtual time instead: all ways, five seeds, in one table
        #[arg(long)]
        emulated: bool,
        /// In virtual time, let all nodes know of all queues every so many milliseconds
        #[arg(long, default_value_t = 0)]
        told: u64,
        /// Where a plot of it goes, as SVG
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let line = Line::parse();
    match run(&line) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn run(line: &Line) -> Result<bool, String> {
    let program = || line.node.clone().map_or_else(program, Ok);
    match line.command.clone() {
        Command::Spread { faults, .. } if faults == "list" => {
            FAULTS.iter().for_each(|(name, what)| println!("{name:<12} {what}"));
            Ok(true)
        }
        Command::Spread {
            nodes,
            places,
            rate,
            work,
            seconds,
            seed,
            way,
            reach,
            faults,
            emulated,
            told,
            plot,
        } => {
            let (nodes, places, log) = (nodes as usize, places as usize, line.log_of_node());
            let options = Options {
                nodes,
                endpoints: places,
                rate,
                work_ms: work,
                seconds,
                seed,
                policy: way,
                subset_size: reach,
                faults,
                log,
                plot,
                queue_broadcast_ms: told,
            };
            if emulated {
                options.emulated()
            } else {
                options.real(&program()?)
            }
        }
        Command::Scale(options) => scale::run(&options, &program()?).map_err(|why| why.to_string()),
        Command::ScaleHollow(options) => {
            scale::run_hollow(options).map(|()| true).map_err(|why| why.to_string())
        }
        Command::Upgrade { seconds, seed, every, load, fail } => {
            let every = Duration::from_millis(every);
            upgrades::Options { seconds, seed, every, load, fail, log: line.log_of_node() }.run(&program()?)
        }
        Command::Rollout { nodes, rate, seed, flaw, subject, faults, most, log } => {
            let subject = rollouts::SUBJECTS.iter().find(|(name, _)| *name == subject);
            let (_, subject) = *subject.ok_or("nothing to change is known by that name")?;
            let fault = rollouts::FAULTS.iter().find(|(name, _)| *name == faults);
            let (_, fault) = *fault.ok_or("no fault is known by that name")?;
            let (nodes, most) = (nodes as usize, Duration::from_secs(most));
            rollouts::Options { nodes, rate, seed, flaw, subject, fault, time_limit: most, log }
                .run(&program()?)
        }
        Command::Fleet { nodes, load, seconds, seed, runs } => {
            let nodes = nodes as usize;
            let fleet = Fleet { nodes, slots: 8 * nodes, work_us: 100_000.0, load, seconds, seed };
            ochrewalk_lab::limits_trial::table(&fleet, runs);
            Ok(true)
        }
        Command::Judge { nodes, changes, seed, plot } => {
            ochrewalk_lab::canary_trial::table(nodes as usize, changes, seed, plot.as_deref()).map(|()| true)
        }
        Command::Slopes { out, only, quick } => {
            slopes::report::measure(&program()?, only.as_deref(), quick, out.as_deref())
        }
        Command::Capacity { slopes, size, out } => {
            capacity::files::write_page(&slopes, &size, &out).map_err(|error| error.to_string())?;
            Ok(true)
        }
        Command::Demo => {
            let program = program()?;
            let plan = Plan {
                seconds: 10,
                seed: 1,
                load: 0.9,
                protocols: Protocols::Both,
                cut: 0.0,
                progress: true,
                log: line.log_of_node(),
            };
            let outcome = play(&program, &plan)?;
            print!("{}", outcome.table());
            println!("rules broken: {}", print_violations(&outcome));
            Ok(outcome.broken.is_empty())
        }
        Command::Ajp { seconds, seed, load, cut } => {
            let program = program()?;
            let plan =
                Plan { seconds, seed, load, protocols: Protocols::Both, cut, progress: true, log: "warn" };
            let both = play(&program, &plan)?;
            print!("{}", both.table());
            print_violations(&both);
            let alone = |protocols| {
                let plan = Plan { seconds: (seconds / 4).max(2), load: 0.8, protocols, cut: 0.0, ..plan };
                play(&program, &plan)
            };
            let (json_alone, ajp_alone) = (alone(Protocols::JsonOnly)?, alone(Protocols::AjpOnly)?);
            let broken = both.broken.len() + print_violations(&json_alone) + print_violations(&ajp_alone);
            let cpu =
                |outcome: &Outcome| outcome.cpu_us as f64 / outcome.call_log.entries.len().max(1) as f64;
            let round = |x: f64| (x * 1_000.0).round() / 1_000.0;
            let aborted: usize =
                (0..METHODS.len()).map(|m| both.call_log.count(m, AnswerKind::Aborted)).sum();
            let last = json!({
                "broken": broken, "calls": both.call_log.entries.len(),
                "served_share_json": round(both.served_share(false)),
                "served_share_ajp": round(both.served_share(true)),
                "cpu_us_json": round(cpu(&json_alone)), "cpu_us_ajp": round(cpu(&ajp_alone)),
                "aborted": aborted, "replies_cut": both.cut, "ran_below": both.upstream_runs
            });
            println!("{last}");
            Ok(broken == 0)
        }
    }
}

/// Names the first broken rules, and gives their number.
fn print_violations(outcome: &Outcome) -> usize {
    outcome.broken.iter().take(10).for_each(|broken| eprintln!("broken: {broken}"));
    outcome.broken.len()
}
