//! The program `ochrewalk`: serves as a node, and has the commands by which operators check, upgrade and roll out.

use clap::{Parser, Subcommand, ValueEnum};
use ochrewalk_node::handover::supervisor::request_upgrade;
use ochrewalk_node::handover::supervisor_protocol::AttemptOutcome;
use ochrewalk_node::logger::{Form, LogSettings};
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
#[command(
    name = "ochrewalk",
    version,
    about = "Decides which requests a server of a fleet admits, runs and rejects"
)]
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
        /// The operators' file: AJP listener, AJP upstream, upgrades and distributed configuration
        #[arg(long, env = "OCHREWALK_OPERATORS", value_name = "FILE")]
        operators: Option<PathBuf>,
        /// The least serious lines that are logged: error, warn, info, debug
        #[arg(long, env = "OCHREWALK_LOG", default_value = "info", value_name = "LEVEL")]
        log: LevelFilter,
        /// The format of log lines
        #[arg(long, env = "OCHREWALK_LOG_FORMAT", default_value = "plain", value_enum)]
        log_format: Form,
    },
    /// Check a node's file and the operators' file, and print each key or line at fault
    Check {
        /// The node's file, JSON
        #[arg(env = "PROXY_CONFIG", value_name = "FILE")]
        config: PathBuf,
        /// The operators' file
        #[arg(long, env = "OCHREWALK_OPERATORS", value_name = "FILE")]
        operators: Option<PathBuf>,
        /// The operators' file in force: print each difference, and what puts it into force
        #[arg(long, value_name = "FILE", requires = "operators")]
        against: Option<PathBuf>,
    },
    /// Have a new program take over the state and connections of the running one
    Upgrade {
        /// The socket that the operators' file names
        #[arg(long, value_name = "PATH")]
        control: PathBuf,
        /// The program that takes over
        #[arg(long, value_name = "FILE")]
        program: PathBuf,
    },
    /// Change the program or the settings of many nodes in stages, and revert where canary analysis finds harm
    Rollout {
        #[arg(value_enum)]
        what: Rollout,
        /// The file of the rollout plan
        plan: PathBuf,
    },
    /// Print the state of the upstream endpoints of a running node
    Places {
        /// The socket that `below status` in the operators' file names
        #[arg(long, value_name = "PATH")]
        control: PathBuf,
    },
    /// Publish configuration to a fleet, relay it, and show which revision is in force
    #[command(disable_help_flag = true)]
    Config {
        /// The arguments of the program ochrewalk-config in the same directory
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<OsString>,
    },
    /// Print the version
    Version,
}

#[derive(Clone, Copy, ValueEnum)]
enum Rollout {
    /// Read the plan, and check that all nodes are ready for it
    Check,
    /// Begin the rollout, or continue it
    Run,
    /// Print the status of the rollout
    Status,
    /// Have the running controller pause at the current stage
    Pause,
    /// Continue a waiting rollout; a stage whose analysis was inconclusive passes
    GoOn,
    /// Revert all changed nodes
    Back,
}

/// The exit status of a rollout that waits for the operator.
const WAITING: u8 = 3;
/// The exit status of a rollout that was rolled back.
const ROLLED_BACK: u8 = 4;

/// Runs a subcommand of `rollout`, prints its result, and returns the exit status.
fn rollout(what: Rollout, plan: &Path) -> Result<ExitCode, RolloutError> {
    let plan = rollout::read_plan(plan)?;
    let text = match what {
        Rollout::Check => rollout::check(&plan)?,
        Rollout::Status => rollout::status(&plan),
        Rollout::Pause => send_to_controller(&plan, ControllerCommand::Pause)?,
        Rollout::Run => return run_rollout(&plan, StartMode::Run),
        Rollout::GoOn => return run_rollout(&plan, StartMode::PassStage),
        // Sent to the running controller; where none runs, this process becomes the controller.
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
        RolloutEnd::RolledBack(reason) => (format!("rolled back: {reason}"), ExitCode::from(ROLLED_BACK)),
        RolloutEnd::Waiting(reason) => (format!("waits for the operator: {reason}"), ExitCode::from(WAITING)),
        RolloutEnd::Replaced => return Err(RolloutError::Replaced),
    };
    println!("{text}");
    Ok(status)
}

/// Returns the differences between two operators' files, one line each.
fn differences(before: &Path, after: &Path) -> Result<String, String> {
    let read =
        |file: &Path| std::fs::read_to_string(file).map_err(|err| format!("{}: {err}", file.display()));
    let changes = ochrewalk_operator_config::changes(&read(before)?, &read(after)?);
    Ok(changes.iter().map(|change| format!("{change}\n")).collect())
}

/// Replaces this process by the control plane's program in the same directory. Returns only if that fails, with the
/// reason.
fn exec_config_program(arguments: &[OsString]) -> String {
    let program = match std::env::current_exe() {
        Ok(own) => own.with_file_name("ochrewalk-config"),
        Err(error) => return format!("the path of the running program is unknown: {error}"),
    };
    let error = std::process::Command::new(&program).args(arguments).exec();
    format!("{}: {error}", program.display())
}

fn main() -> ExitCode {
    let outcome = match Line::parse().command {
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
        Command::Config { words } => Err(exec_config_program(&words)),
        Command::Check { config, operators, against } => {
            let files = Files { node: config, operators };
            files.read().and_then(|(placement, operators)| {
                let (name, listen) = (&placement.name, placement.listen);
                println!("{}: valid: node {name} would listen on {listen}", files.node.display());
                if let Some(file) = &files.operators {
                    let listener = operators
                        .ajp_listener
                        .map_or("no AJP listener".into(), |listener| format!("AJP on {}", listener.listen));
                    let endpoints = operators.ajp_upstream.map_or(0, |upstream| upstream.endpoints.len());
                    println!("{}: valid: {listener}, {endpoints} places below by AJP", file.display());
                    if let Some(in_force) = &against {
                        print!("{}", differences(in_force, file)?);
                    }
                }
                Ok(())
            })
        }
        Command::Serve { config, operators, log, log_format } => {
            let log_settings = LogSettings { level: log, format: log_format };
            ochrewalk_node::node::serve(&Files { node: config, operators }, log_settings)
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
