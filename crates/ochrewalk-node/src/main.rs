//! The command line of the real node.

use clap::{Parser, Subcommand};
use log::LevelFilter;
use ochrewalk::deployment::Placement;
use std::path::PathBuf;
use std::process::ExitCode;

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
        /// The least serious lines that are logged: error, warn, info, debug
        #[arg(long, env = "OCHREWALK_LOG", default_value = "info", value_name = "LEVEL")]
        log: LevelFilter,
    },
    /// Check a node's file and say which key is at fault
    Check {
        /// The node's file, JSON
        #[arg(env = "PROXY_CONFIG", value_name = "FILE")]
        config: PathBuf,
    },
    /// Say which version this is
    Version,
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Version => {
            println!("ochrewalk {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check { config } => Placement::read_file(&config).map(|placement| {
            let (name, listen) = (&placement.name, placement.listen);
            println!("{}: good: node {name} would listen on {listen}", config.display());
        }),
        Command::Serve { config, log } => ochrewalk_node::node::serve(&config, log),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
