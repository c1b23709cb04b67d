//! The command line of the real node.

use clap::{Parser, Subcommand, ValueEnum};
use ochrewalk_node::handover::supervisor::request_upgrade;
use ochrewalk_node::handover::supervisor_protocol::AttemptOutcome;
use ochrewalk_node::logger::{Form, Logs};
use ochrewalk_node::node::Files;
use ochrewalk_node::rollout::{self, ConductorCommand, End};
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
        log_format: Form,
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
    /// Conduct the change, or go on with it
    Run,
    /// How it stands
    Status,
    /// Have the conductor stop where it is
    Pause,
    /// Go on from where it waits; what was unclear is taken for good
    GoOn,
    /// Change all nodes back
    Back,
}

/// A change that waits for the operator, and one that went back, have a status of their own.
const WAITS: u8 = 3;
const IS_BACK: u8 = 4;

fn rollout(what: Rollout, plan: &Path) -> Result<ExitCode, String> {
    let plan = rollout::read(plan)?;
    let run = |command| match rollout::run(&plan, command)? {
        End::Done => Ok(("done".to_string(), ExitCode::SUCCESS)),
        End::Back(why) => Ok((format!("changed back: {why}"), ExitCode::from(IS_BACK))),
        End::Waiting(why) => Ok((format!("waits for you: {why}"), ExitCode::from(WAITS))),
        End::Replaced => Err("another conductor has taken over".to_string()),
    };
    let said =
        |text: Result<String, String>| text.map(|text| (text.trim_end().to_string(), ExitCode::SUCCESS));
    let (text, status) = match what {
        Rollout::Check => said(rollout::check(&plan)),
        Rollout::Status => said(rollout::status(&plan)),
        Rollout::Pause => said(rollout::tell(&plan, "pause")),
        Rollout::Run => run(ConductorCommand::Run),
        Rollout::GoOn => run(ConductorCommand::GoOn),
        // One that runs is told; else this is the one.
        Rollout::Back => {
            rollout::tell(&plan, "back").map_or_else(|_| run(ConductorCommand::Back), |text| said(Ok(text)))
        }
    }?;
    println!("{text}");
    Ok(status)
}

/// What differs between two operators' files, a line each.
fn differences(before: &Path, after: &Path) -> Result<String, String> {
    let read =
        |file: &Path| std::fs::read_to_string(file).map_err(|err| format!("{}: {err}", file.display()));
    let found = ochrewalk_operators::changes(&read(before)?, &read(after)?);
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
            Err(why) => Err(why),
        },
        Command::Places { control } => {
            ochrewalk_node::net::status::ask(&control).map(|table| print!("{table}"))
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
            let logs = Logs { level: log, form: log_format };
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
