//! The command line of the lab.

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
    about = "Runs nodes on loopback with stand-ins under load, and checks their rules"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// The node's program; by default the one in the same folder
    #[arg(long, global = true, value_name = "FILE")]
    node: Option<PathBuf>,
    /// Also show the node's warnings
    #[arg(long, global = true)]
    warnings: bool,
}

impl Arguments {
    fn node_log_level(&self) -> &'static str {
        if self.warnings {
            "warn"
        } else {
            "error"
        }
    }
}

#[derive(Clone, Subcommand)]
enum Command {
    /// Sends calls over both protocols for ten seconds and prints their outcomes
    Demo,
    /// Sends load over JSON-RPC and AJP together, and measures the CPU time of each alone; the last line is JSON
    Ajp {
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(2..=600))]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Work of all calls divided by the capacity of the cores
        #[arg(long, default_value_t = 1.2)]
        load: f64,
        /// Share of upstream calls whose connection closes at a random byte of the answer
        #[arg(long, default_value_t = 0.0)]
        cut: f64,
    },
    /// Upgrades during steady load, compared with no upgrades and with plain restarts; the last line is JSON
    Upgrade {
        #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(4..=600))]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Interval of the upgrades, in milliseconds
        #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
        every: u64,
        /// Work of all calls divided by the capacity of the cores
        #[arg(long, default_value_t = 0.8)]
        load: f64,
        /// Failure of the new program: crash or hang, at start, greet, ready or commit, as in crash:ready
        #[arg(long)]
        fail: Option<String>,
    },
    /// Rollout to many nodes, of a program with or without a flaw, or of settings; the last line is JSON
    Rollout {
        #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..=300))]
        nodes: u64,
        /// Calls per second of each node
        #[arg(long, default_value_t = 20.0)]
        rate: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Flaw of the new program: crash-at-start, crash-later, crash-on-hand-over, hang-on-hand-over, deaf, slow,
        /// slow-later, leak
        #[arg(long)]
        flaw: Option<String>,
        /// Subject of the rollout: program, settings, harmful-settings, unusable-settings
        #[arg(long, default_value = "program")]
        subject: String,
        /// Fault during the rollout: none, conductor-killed, conductor-gone, two-conductors, links-silent,
        /// links-break, old-replaced, nodes-stopped, all-slow
        #[arg(long, default_value = "none")]
        faults: String,
        /// Longest duration of the rollout, in seconds
        #[arg(long, default_value_t = 300)]
        most: u64,
        /// File to which the controller's log is copied
        #[arg(long, value_name = "FILE")]
        log: Option<std::path::PathBuf>,
    },
    /// Simulates nodes that share one upstream dependency, in virtual time, and prints a table of all limit algorithms
    Fleet {
        #[arg(long, default_value_t = 250, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        nodes: u64,
        /// Rate of calls divided by the capacity of the dependency
        #[arg(long, default_value_t = 1.2)]
        load: f64,
        #[arg(long, default_value_t = 180, value_parser = clap::value_parser!(u64).range(30..=1_200))]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Runs of each combination, with consecutive seeds from --seed on
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=20))]
        runs: u64,
    },
    /// Simulates how often canary analysis stops harmless rollouts and how soon it detects harm, in virtual time, as
    /// a table
    Judge {
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(10..=2_000))]
        nodes: u64,
        /// Rollouts of each kind
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(10..=2_000))]
        changes: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// File for a plot, as SVG
        #[arg(long, value_name = "FILE")]
        plot: Option<std::path::PathBuf>,
    },
    /// Measures the cost of each additional route, tenant, connection, RPC, change or subscriber in the real programs
    Slopes {
        /// File to which the slopes are written, merged with those in it; standard output by default
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Run a single measurement; an unknown name lists all names
        #[arg(long, value_name = "NAME")]
        only: Option<String>,
        /// Use small sizes and short durations, as a functional check
        #[arg(long)]
        quick: bool,
    },
    /// Writes a page with the resources that a fleet of a given size needs, extrapolated from measured slopes
    Capacity {
        #[arg(long, value_name = "FILE")]
        slopes: PathBuf,
        #[arg(long, value_name = "FILE")]
        size: PathBuf,
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Distributes configuration to a fleet of real processes and simulated nodes; the last line is JSON
    Scale(ScaleOptions),
    /// Runs the simulated nodes of one process of `scale`, controlled by lines on standard input
    #[command(hide = true)]
    ScaleHollow(HollowOptions),
    /// Measures how evenly nodes distribute load over endpoints, with real processes and faulty links; the last line
    /// is JSON
    Spread {
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        nodes: u64,
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        places: u64,
        /// Calls per second of each node
        #[arg(long, default_value_t = 3.0)]
        rate: f64,
        /// Mean work of a call at an endpoint with one core, in milliseconds
        #[arg(long, default_value_t = 100)]
        work: u64,
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(3..=600))]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Balancing policy: rounds, shuffled, random, two, least or fastest
        #[arg(long, default_value = "rounds")]
        way: String,
        /// Subset size of each node, with deterministic subsets by its number; rounds and shuffled have a default
        #[arg(long)]
        reach: Option<usize>,
        /// Fault of processes or links; `list` shows all names
        #[arg(long, default_value = "none")]
        faults: String,
        /// Simulate all policies with five seeds in virtual time instead, as one table
        #[arg(long)]
        emulated: bool,
        /// In virtual time, the interval at which all nodes learn all queue lengths, in milliseconds; 0 for never
        #[arg(long, default_value_t = 0)]
        told: u64,
        /// File for a plot, as SVG
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<bool, String> {
    let program = || arguments.node.clone().map_or_else(program, Ok);
    match arguments.command.clone() {
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
            let (nodes, places, log) = (nodes as usize, places as usize, arguments.node_log_level());
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
        Command::Scale(options) => scale::run(&options, &program()?).map_err(|error| error.to_string()),
        Command::ScaleHollow(options) => {
            scale::run_hollow(options).map(|()| true).map_err(|error| error.to_string())
        }
        Command::Upgrade { seconds, seed, every, load, fail } => {
            let every = Duration::from_millis(every);
            upgrades::Options { seconds, seed, every, load, fail, log: arguments.node_log_level() }
                .run(&program()?)
        }
        Command::Rollout { nodes, rate, seed, flaw, subject, faults, most, log } => {
            let subject = rollouts::SUBJECTS.iter().find(|(name, _)| *name == subject);
            let (_, subject) = *subject.ok_or("unknown subject of a rollout")?;
            let fault = rollouts::FAULTS.iter().find(|(name, _)| *name == faults);
            let (_, fault) = *fault.ok_or("unknown fault")?;
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
                log: arguments.node_log_level(),
            };
            let outcome = play(&program, &plan)?;
            print!("{}", outcome.table());
            println!("violated rules: {}", print_violations(&outcome));
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

/// Prints the first violated rules and returns the number of all.
fn print_violations(outcome: &Outcome) -> usize {
    outcome.broken.iter().take(10).for_each(|broken| eprintln!("broken: {broken}"));
    outcome.broken.len()
}
