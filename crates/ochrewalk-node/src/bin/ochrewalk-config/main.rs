//! The commands of the control plane. Publisher and relays run in the foreground until SIGTERM; the other commands ask a
//! running publisher. `ochrewalk config ...` runs this program: in the node's own, the publisher's store and these commands
//! would weigh on every node.

mod arguments;
mod changes;
mod error;
mod processes;
mod publisher_request;
mod status;

use arguments::{ConfigCommand, Line};
use changes::{diff, publish};
use clap::Parser;
use error::ConfigCommandError;
use ochrewalk_distribution::messages::{Body, Rollback};
use ochrewalk_node::logger::{self, Logs};
use processes::{relay, serve};
use publisher_request::{request, show};
use status::status;
use std::process::ExitCode;

/// Runs a command and gives what is to be printed.
fn run(command: ConfigCommand) -> Result<String, ConfigCommandError> {
    match command {
        ConfigCommand::Serve(arguments) => serve(arguments).map(|()| String::new()),
        ConfigCommand::Relay(arguments) => relay(arguments).map(|()| String::new()),
        ConfigCommand::Publish(arguments) => publish(&arguments),
        ConfigCommand::Diff(arguments) => diff(&arguments),
        ConfigCommand::Status { control } => status(&control),
        ConfigCommand::Rollback { control, to } => {
            match request(&control, Body::Rollback(Rollback { to }))? {
                Body::Published(published) => Ok(format!("published as {}\n", show(published.position))),
                _ => Err(ConfigCommandError::OtherAnswer),
            }
        }
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    logger::start(Logs { level: line.log, form: line.log_format });
    let done = run(line.command);
    logger::flush();
    match done {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
