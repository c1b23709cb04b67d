//! The commands of the control plane. Publisher and relays run in the foreground until SIGTERM; the other commands ask a
//! running publisher. `ochrewalk config ...` runs this program: in the node's own, the publisher's store and these commands
//! would weigh on every node.

use clap::{Args, Parser, Subcommand};
use ochrewalk_control_plane::control::{send_request, ControlError};
use ochrewalk_control_plane::publisher::{Publisher, PublisherError, PublisherSettings};
use ochrewalk_control_plane::relay::{Relay, RelayError, RelaySettings};
use ochrewalk_distribution::messages::{
    Body, Fetch, Position, Publish, RegionStatus, Resource, Rollback, Status, StatusRequest, Value,
};
use ochrewalk_node::logger::{self, Form, Logs};
use ochrewalk_operators::resources::{describe, read_changes};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tracing::level_filters::LevelFilter;

/// Connections that a publisher or relay takes unless told otherwise.
const USUAL_CONNECTIONS: usize = 4_000;

#[derive(Parser)]
#[command(name = "ochrewalk config", version, about = "Publishes configuration to a fleet and relays it")]
struct Line {
    /// The least serious lines that are logged: error, warn, info, debug
    #[arg(long, env = "OCHREWALK_LOG", default_value = "info", value_name = "LEVEL")]
    log: LevelFilter,
    /// How lines are written
    #[arg(long, env = "OCHREWALK_LOG_FORMAT", default_value = "plain", value_enum)]
    log_format: Form,
    #[command(subcommand)]
    command: ConfigCommand,
}

/// What is asked of the control plane.
#[derive(Subcommand, Debug)]
enum ConfigCommand {
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
struct ServeArguments {
    /// Where relays connect to
    #[arg(long, value_name = "ADDRESS:PORT")]
    listen: SocketAddr,
    /// The socket that operators ask at
    #[arg(long, value_name = "PATH")]
    control: PathBuf,
    /// The durable log
    #[arg(long, value_name = "FILE")]
    log_file: PathBuf,
    /// Take over from another publisher, with a copy of its log: it is fenced off
    #[arg(long)]
    take_over: bool,
}

#[derive(Args, Debug)]
struct RelayArguments {
    /// The relay's name, of its own in the fleet
    #[arg(long)]
    name: String,
    #[arg(long)]
    region: String,
    /// Where nodes connect to
    #[arg(long, value_name = "ADDRESS:PORT")]
    listen: SocketAddr,
    /// The publisher, and any that may take over from it
    #[arg(long, value_name = "ADDRESS:PORT", required = true)]
    publisher: Vec<SocketAddr>,
    /// Nodes that are served at a time
    #[arg(long, default_value_t = USUAL_CONNECTIONS)]
    connections: usize,
}

#[derive(Args, Debug)]
struct ChangeArguments {
    /// The publisher's control socket
    #[arg(long, value_name = "PATH")]
    control: PathBuf,
    /// Refuse if anything was published after this, as EPOCH.REVISION
    #[arg(long, value_name = "EPOCH.REVISION", value_parser = parse_position)]
    expect: Option<Position>,
    /// The file of changes
    file: PathBuf,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum ConfigCommandError {
    #[error(transparent)]
    Publisher(#[from] PublisherError),
    #[error(transparent)]
    Relay(#[from] RelayError),
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error("{path}: {source}")]
    File { path: PathBuf, source: std::io::Error },
    #[error("{}", .0.join("\n"))]
    Faults(Vec<String>),
    #[error("refused: {}", .0.join("\n"))]
    Refused(Vec<String>),
    #[error("the publisher answered what was not asked")]
    OtherAnswer,
    #[error("cannot wait for signals: {0}")]
    Signals(std::io::Error),
}

fn parse_position(text: &str) -> Result<Position, String> {
    let parsed = text.split_once('.').and_then(|(epoch, revision)| {
        Some(Position { epoch: epoch.parse().ok()?, revision: revision.parse().ok()? })
    });
    parsed.ok_or_else(|| format!("{text} is no revision; write one such as 1.42"))
}

fn show(position: Position) -> String {
    format!("{}.{}", position.epoch, position.revision)
}

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

/// Set by SIGTERM or SIGINT. `wake` is called after that.
fn stop_on_signal(wake: impl Fn() + Send + 'static) -> Result<Arc<AtomicBool>, ConfigCommandError> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).map_err(ConfigCommandError::Signals)?;
    let told = stop.clone();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            told.store(true, std::sync::atomic::Ordering::Relaxed);
            wake();
        }
    });
    Ok(stop)
}

fn serve(arguments: ServeArguments) -> Result<(), ConfigCommandError> {
    let settings = PublisherSettings {
        listen: arguments.listen,
        control: arguments.control,
        log: arguments.log_file,
        takes_over: arguments.take_over,
        max_connections: USUAL_CONNECTIONS,
    };
    let mut publisher = Publisher::open(&settings)?;
    let waker = publisher.waker();
    let stop = stop_on_signal(move || drop(waker.wake()))?;
    tracing::info!(part = "config", place = %arguments.listen, "publisher listens");
    Ok(publisher.run(&stop)?)
}

fn relay(arguments: RelayArguments) -> Result<(), ConfigCommandError> {
    let settings = RelaySettings {
        name: arguments.name,
        region: arguments.region,
        listen: arguments.listen,
        publishers: arguments.publisher,
        max_connections: arguments.connections,
        seed: fastrand::u64(..),
    };
    let mut relay = Relay::open(&settings)?;
    // A relay looks at it twice a second by itself.
    let stop = stop_on_signal(|| ())?;
    tracing::info!(part = "config", place = %settings.listen, "relay {} listens", settings.name);
    Ok(relay.run(&stop)?)
}

fn changes_of(file: &Path) -> Result<Vec<Resource>, ConfigCommandError> {
    let fault = |source| ConfigCommandError::File { path: file.into(), source };
    let text = std::fs::read_to_string(file).map_err(fault)?;
    let faults = |faults: Vec<ochrewalk_operators::Diagnostic>| {
        ConfigCommandError::Faults(faults.iter().map(|fault| fault.to_string()).collect())
    };
    read_changes(&text, &file.display().to_string()).map_err(faults)
}

fn request(control: &Path, body: Body) -> Result<Body, ConfigCommandError> {
    match send_request(control, body)? {
        Body::Refused(refused) => Err(ConfigCommandError::Refused(refused.reasons)),
        answer => Ok(answer),
    }
}

fn publish(arguments: &ChangeArguments) -> Result<String, ConfigCommandError> {
    let changes = changes_of(&arguments.file)?;
    let count = changes.len();
    let publish = Publish { changes, expected: arguments.expect };
    match request(&arguments.control, Body::Publish(publish))? {
        Body::Published(published) => {
            Ok(format!("published {count} changes as {}\n", show(published.position)))
        }
        _ => Err(ConfigCommandError::OtherAnswer),
    }
}

fn diff(arguments: &ChangeArguments) -> Result<String, ConfigCommandError> {
    let changes = changes_of(&arguments.file)?;
    let names = changes.iter().map(|change| change.name.clone()).collect();
    let Body::Fetched(fetched) = request(&arguments.control, Body::Fetch(Fetch { names }))? else {
        return Err(ConfigCommandError::OtherAnswer);
    };
    let published: HashMap<_, _> =
        fetched.resources.iter().map(|resource| (&resource.name, resource.value.as_ref())).collect();
    let mut text = format!("against {}:\n", show(fetched.position));
    for change in &changes {
        let before = published.get(&change.name).copied().flatten();
        if before != change.value.as_ref() {
            let (before, after) = (show_value(before), show_value(change.value.as_ref()));
            let _ = writeln!(text, "{}: {before} becomes {after}", describe(&change.name));
        }
    }
    Ok(text)
}

fn show_value(value: Option<&Value>) -> String {
    match value {
        None => "nothing".into(),
        Some(Value::Route(route)) => route.method.clone(),
        Some(Value::Quota(quota)) => format!("{} a second", quota.per_second),
        Some(Value::Endpoint(endpoint)) => format!("weight {} in {}", endpoint.weight, endpoint.zone),
        Some(Value::Limit(limit)) => limit.amount.to_string(),
    }
}

fn status(control: &Path) -> Result<String, ConfigCommandError> {
    match request(control, Body::StatusRequest(StatusRequest {}))? {
        Body::Status(status) => Ok(show_status(&status)),
        _ => Err(ConfigCommandError::OtherAnswer),
    }
}

/// The fleet's state as operators read it: a line for each region, then one for each rejection.
fn show_status(status: &Status) -> String {
    let mut text = format!("published: {}, {} resources\n", show(status.position), status.resources);
    for region in &status.regions {
        let _ = writeln!(text, "{}", show_region(region, status.position));
    }
    let rejections = status.regions.iter().flat_map(|region| &region.rejections);
    for rejection in rejections {
        let position = show(rejection.position);
        let _ = writeln!(text, "rejected: {position} by {}: {}", rejection.node, rejection.reason);
    }
    text
}

fn show_region(region: &RegionStatus, published: Position) -> String {
    let nodes: u64 = region.in_force.iter().map(|count| count.nodes).sum();
    let is_behind = |count: &&ochrewalk_distribution::messages::PositionCount| count.position < published;
    let behind = region.in_force.iter().filter(is_behind);
    let (count, oldest) = behind.fold((0, None::<Position>), |(count, oldest), position| {
        let oldest = oldest.map_or(position.position, |known| known.min(position.position));
        (count + position.nodes, Some(oldest))
    });
    let named = if region.region.is_empty() { "relays" } else { region.region.as_str() };
    match oldest {
        None => format!("{named}: {nodes} nodes at {}", show(published)),
        Some(oldest) => format!("{named}: {nodes} nodes, {count} behind, the farthest at {}", show(oldest)),
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
