//! The command line of the real node.

use clap::{Parser, Subcommand, ValueEnum};
use ochrewalk_node::handover::supervisor::request_upgrade;
use ochrewalk_node::handover::supervisor_protocol::AttemptOutcome;
use ochrewalk_node::logger::{LogFormat, LogSettings};
use ochrewalk_node::node::Files;
use ochrewalk_node::rollout::operator_socket::{send_to_controller, ControllerCommand};
use ochrewalk_node::rollout::{self, RolloutEnd, RolloutError, StartMode};
use ochrewalk_operator_config::RolloutPlan;
use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

#[derive(Parser)]
#[command(name = "ochrewalk", version, about = "Decides what a server of a fleet takes, runs and turns away")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as one node of the fleet until SIGTERM
    Serve {
        /// The node's file, JSON
        #[arg(long, env = "PROXY_CONFIG", value_name = "FILE")]
        config: PathBuf,
        /// The operators' own file: AJP in front and below
        #[arg(long, env = "OCHREWALK_OPERATORS", value_name = "FILE")]
        operators: Option<PathBuf>,
        /// The least serious lines that are logged: error, warn, info, debug
        #[arg(long, env = "OCHREWALK_LOG", default_value = "info", value_name = "LEVEL")]
        log: LevelFilter,
        /// How lines are written
        #[arg(long, env = "OCHREWALK_LOG_FORMAT", default_value = "plain", value_enum)]
        log_format: LogFormat,
    },
    /// Check a node's file and the operators' own, and say which key or line is at fault
    Check {
        /// The node's file, JSON
        #[arg(env = "PROXY_CONFIG", value_name = "FILE")]
        config: PathBuf,
        /// The operators' own file
        #[arg(long, env = "OCHREWALK_OPERATORS", value_name = "FILE")]
        operators: Option<PathBuf>,
        /// The operators' own file that is in force: what differs, and what it takes to bring it into force
        #[arg(long, value_name = "FILE", requires = "operators")]
        against: Option<PathBuf>,
    },
    /// Have another program take over from the running one, with all that it holds
    Upgrade {
        /// The socket that the operators' file names
        #[arg(long, value_name = "PATH")]
        control: PathBuf,
        /// The program that takes over
        #[arg(long, value_name = "FILE")]
        program: PathBuf,
    },
    /// Change the program of many nodes in stages, and stop where a stage does worse
    Rollout {
        #[arg(value_enum)]
        what: Rollout,
        /// The plan of the change
        plan: PathBuf,
    },
    /// Show how the places below stand, by a running node
    Places {
        /// The socket that `below status` in the operators' file names
        #[arg(long, value_name = "PATH")]
        control: PathBuf,
    },
    /// Publish configuration to a fleet, relay it, and see what is in force where
    #[command(disable_help_flag = true)]
    Config {
        /// What the program ochrewalk-config beside this one is given
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<OsString>,
    },
    /// Say which version this is
    Version,
}

#[derive(Clone, Copy, ValueEnum)]
enum Rollout {
    /// Read the plan, and ask all nodes whether they are ready for it
    Check,
    /// Begin the rollout, or go on with it
    Run,
    /// Say how it stands
    Status,
    /// Have the running controller stop where it is
    Pause,
    /// Go on from where it waits; a stage whose analysis was inconclusive passes
    GoOn,
    /// Revert all changed nodes
    Back,
}

/// The statuses of a rollout that waits for the operator, and of one that was rolled back.
const WAITING: u8 = 3;
const ROLLED_BACK: u8 = 4;

fn rollout(what: Rollout, plan: &Path) -> Result<ExitCode, RolloutError> {
    let plan = rollout::read_plan(plan)?;
    let text = match what {
        Rollout::Check => rollout::check(&plan)?,
        Rollout::Status => rollout::status(&plan),
        Rollout::Pause => send_to_controller(&plan, ControllerCommand::Pause)?,
        Rollout::Run => return run_rollout(&plan, StartMode::Run),
        Rollout::GoOn => return run_rollout(&plan, StartMode::PassStage),
        // A controller that runs is told; where none does, one is begun.
        Rollout::Back => match send_to_controller(&plan, ControllerCommand::RollBack) {
            Ok(text) => text,
            Err(_) => return run_rollout(&plan, StartMode::RollBack),
        },
    };
    println!("{}", text.trim_end());
    Ok(ExitCode::SUCCESS)
}

fn run_rollout(plan: &RolloutPlan, mode: StartMode) -> Result<ExitCode, RolloutError> {
    let (text, status) = match rollout::run(plan, mode)? {
        RolloutEnd::Done => ("done".to_string(), ExitCode::SUCCESS),
        RolloutEnd::RolledBack(reason) => (format!("changed back: {reason}"), ExitCode::from(ROLLED_BACK)),
        RolloutEnd::Waiting(reason) => (format!("waits for you: {reason}"), ExitCode::from(WAITING)),
        RolloutEnd::Replaced => return Err(RolloutError::Replaced),
    };
    println!("{text}");
    Ok(status)
}

/// What differs between two operators' files, a line each.
fn differences(before: &Path, after: &Path) -> Result<String, String> {
    let read =
        |file: &Path| std::fs::read_to_string(file).map_err(|err| format!("{}: {err}", file.display()));
    let found = ochrewalk_operator_config::changes(&read(before)?, &read(after)?);
    Ok(found.iter().map(|change| format!("{change}\n")).collect())
}

/// Puts the program of the control plane in the place of this one; what comes back is why not.
fn become_config(words: &[OsString]) -> String {
    let beside = match std::env::current_exe() {
        Ok(program) => program.with_file_name("ochrewalk-config"),
        Err(why) => return format!("where this program stands cannot be told: {why}"),
    };
    let why = std::process::Command::new(&beside).args(words).exec();
    format!("{}: {why}", beside.display())
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Version => {
            println!("ochrewalk {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Upgrade { control, program } => request_upgrade(&control, &program)
            .map(|()| println!("{}", AttemptOutcome::HandedOver))
            .map_err(|error| error.to_string()),
        Command::Rollout { what, plan } => match rollout(what, &plan) {
            Ok(status) => return status,
            Err(error) => Err(error.to_string()),
        },
        Command::Places { control } => {
            ochrewalk_node::net::status::query(&control).map(|table| print!("{table}"))
        }
        Command::Config { words } => Err(become_config(&words)),
        Command::Check { config, operators, against } => {
            let files = Files { node: config, operators };
            files.read().and_then(|(placement, operators)| {
                let (name, listen) = (&placement.name, placement.listen);
                println!("{}: good: node {name} would listen on {listen}", files.node.display());
                if let Some(file) = &files.operators {
                    let front = operators
                        .ajp_listener
                        .map_or("no AJP in front".into(), |f| format!("AJP on {}", f.listen));
                    let places = operators.ajp_upstream.map_or(0, |upstream| upstream.endpoints.len());
                    println!("{}: good: {front}, {places} places below by AJP", file.display());
                    if let Some(before) = &against {
                        print!("{}", differences(before, file)?);
                    }
                }
                Ok(())
            })
        }
        Command::Serve { config, operators, log, log_format } => {
            let logs = LogSettings { level: log, format: log_format };
            ochrewalk_node::node::serve(&Files { node: config, operators }, logs)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
