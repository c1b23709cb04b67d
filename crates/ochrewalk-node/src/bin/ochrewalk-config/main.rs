//! The commands of the control plane. Publisher and relays run in the foreground until SIGTERM; the other commands send one
//! request to a running publisher. `ochrewalk config ...` runs this program: the publisher's store and these commands would
//! add to the memory of every node if they were part of the node's own program.
//!
//! | exit code | meaning |
//! | --- | --- |
//! | 0 | done; the result is on standard output |
//! | 1 | failed or refused; the reason is on standard error |
//! | 2 | the command line is wrong |

// Those of the workspace, until all of this crate takes them.
#![warn(
    missing_docs,
    clippy::unwrap_used,
    clippy::missing_errors_doc,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::fn_params_excessive_bools,
    clippy::struct_excessive_bools,
    clippy::too_many_lines
)]

mod arguments;
mod changes;
mod error;
mod processes;
mod publisher_request;
mod status;

use arguments::{CommandLine, ConfigCommand};
use clap::Parser;
use error::ConfigCommandError;
use ochrewalk_node::logger::{self, LogSettings};
use std::process::ExitCode;

/// Runs a command and returns what is to be printed.
fn run(command: ConfigCommand) -> Result<String, ConfigCommandError> {
    match command {
        ConfigCommand::Serve(arguments) => processes::serve(arguments).map(|()| String::new()),
        ConfigCommand::Relay(arguments) => processes::relay(arguments).map(|()| String::new()),
        ConfigCommand::Publish(arguments) => changes::publish(&arguments),
        ConfigCommand::Diff(arguments) => changes::diff(&arguments),
        ConfigCommand::Status { control } => status::status(&control),
        ConfigCommand::Rollback { control, to } => changes::rollback(&control, to),
    }
}

fn main() -> ExitCode {
    let line = CommandLine::parse();
    logger::start(LogSettings { level: line.log, format: line.log_format });
    let outcome = run(line.command);
    logger::flush();
    match outcome {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
