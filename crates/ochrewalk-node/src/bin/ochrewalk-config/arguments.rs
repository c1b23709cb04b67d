//! The command line.

use clap::{Args, Parser, Subcommand};
use ochrewalk_distribution::messages::Position;
use ochrewalk_node::logger::LogFormat;
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::level_filters::LevelFilter;

/// Connections that a publisher or relay takes unless told otherwise.
pub(crate) const DEFAULT_CONNECTIONS: usize = 4_000;

#[derive(Parser)]
#[command(name = "ochrewalk config", version, about = "Publishes configuration to a fleet and relays it")]
pub(crate) struct CommandLine {
    /// The least serious lines that are logged: error, warn, info, debug
    #[arg(long, env = "OCHREWALK_LOG", default_value = "info", value_name = "LEVEL")]
    pub(crate) log: LevelFilter,
    /// How lines are written
    #[arg(long, env = "OCHREWALK_LOG_FORMAT", default_value = "plain", value_enum)]
    pub(crate) log_format: LogFormat,
    #[command(subcommand)]
    pub(crate) command: ConfigCommand,
}

/// The commands of the control plane.
#[derive(Subcommand, Debug)]
pub(crate) enum ConfigCommand {
    /// Run the publisher: it accepts changes and serves relays
    Serve(ServeArguments),
    /// Run a relay: it follows the publisher and serves the nodes of a region
    Relay(RelayArguments),
    /// Publish the changes of a file, all of them or none
    Publish(ChangeArguments),
    /// Say what the changes of a file would change
    Diff(ChangeArguments),
    /// Say which revision is in force where, and who rejected one
    Status {
        /// The publisher's control socket
        #[arg(long, value_name = "PATH")]
        control: PathBuf,
    },
    /// Undo all changes after a revision, by a new one
    Rollback {
        /// The publisher's control socket
        #[arg(long, value_name = "PATH")]
        control: PathBuf,
        /// The revision to go back to, as EPOCH.REVISION
        #[arg(long, value_name = "EPOCH.REVISION", value_parser = parse_position)]
        to: Position,
    },
}

#[derive(Args, Debug)]
pub(crate) struct ServeArguments {
    /// Where relays connect to
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub(crate) listen: SocketAddr,
    /// The socket that operators ask at
    #[arg(long, value_name = "PATH")]
    pub(crate) control: PathBuf,
    /// The durable log
    #[arg(long, value_name = "FILE")]
    pub(crate) log_file: PathBuf,
    /// Take over from another publisher, with a copy of its log: it is fenced off
    #[arg(long)]
    pub(crate) take_over: bool,
}

#[derive(Args, Debug)]
pub(crate) struct RelayArguments {
    /// The relay's name, of its own in the fleet
    #[arg(long)]
    pub(crate) name: String,
    #[arg(long)]
    pub(crate) region: String,
    /// Where nodes connect to
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub(crate) listen: SocketAddr,
    /// The publisher, and any that may take over from it
    #[arg(long, value_name = "ADDRESS:PORT", required = true)]
    pub(crate) publisher: Vec<SocketAddr>,
    /// Nodes that are served at a time
    #[arg(long, default_value_t = DEFAULT_CONNECTIONS)]
    pub(crate) connections: usize,
}

#[derive(Args, Debug)]
pub(crate) struct ChangeArguments {
    /// The publisher's control socket
    #[arg(long, value_name = "PATH")]
    pub(crate) control: PathBuf,
    /// Refuse if anything was published after this, as EPOCH.REVISION
    #[arg(long, value_name = "EPOCH.REVISION", value_parser = parse_position)]
    pub(crate) expect: Option<Position>,
    /// The file of changes
    pub(crate) file: PathBuf,
}

/// A text that is no revision.
#[derive(Debug, thiserror::Error)]
#[error("{0} is no revision; write one such as 1.42")]
pub(crate) struct InvalidRevision(String);

/// Reads `EPOCH.REVISION`.
fn parse_position(text: &str) -> Result<Position, InvalidRevision> {
    let parsed = text.split_once('.').and_then(|(epoch, revision)| {
        Some(Position { epoch: epoch.parse().ok()?, revision: revision.parse().ok()? })
    });
    parsed.ok_or_else(|| InvalidRevision(text.to_string()))
}
