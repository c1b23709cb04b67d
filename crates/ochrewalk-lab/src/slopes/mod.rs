//! Measures the cost of each additional route, tenant, connection, RPC, change or subscriber in the real programs:
//! each quantity is measured at several sizes, and a line is fitted. The command `capacity` extrapolates from these
//! lines.

mod control_plane;
pub mod fit;
mod idempotency_keys;
pub mod model;
mod node_state;
mod node_under_test;
mod process;
pub mod report;
mod rpc_load;
mod subscribers;
mod traffic_meter;

use model::{Machine, Point, Slope, SlopeSet};
use std::path::Path;

const LOAD_NOTE: &str =
    "What else uses the machine shows in these. Memory and bytes are little disturbed by it, CPU seconds \
     somewhat, latencies much. Each point is one run, unless its slope says otherwise.";

/// An error of a measurement.
#[derive(Debug, thiserror::Error)]
pub enum SlopeError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Lab(String),
    #[error("the measured program has ended")]
    Ended,
    #[error("timed out waiting for: {0}")]
    TimedOut(String),
    #[error("the control plane: {0}")]
    Control(#[from] ochrewalk_control_plane::control::ControlError),
    #[error("invalid message from the control plane: {0}")]
    Frame(#[from] ochrewalk_control_plane::frame::FrameError),
    #[error("refused: {0}")]
    Refused(String),
    #[error(transparent)]
    Fit(#[from] fit::FitError),
    #[error("unknown measurement {0}; known measurements: {1}")]
    UnknownName(String, String),
}

/// The parameters of a run of measurements.
pub struct Context<'a> {
    /// The program of the node, which also contains the control plane.
    pub program: &'a Path,
    /// Whether to use smaller sizes and shorter durations, as a functional check.
    pub is_quick: bool,
}

/// The measured values of one quantity at several sizes.
pub struct Series {
    pub name: &'static str,
    pub size_unit: &'static str,
    pub value_unit: &'static str,
    pub points: Vec<Point>,
    pub note: String,
}

type Measure = fn(&Context) -> Result<Vec<Series>, SlopeError>;

/// A measurement and its name on the command line.
struct Measurement {
    name: &'static str,
    measure: Measure,
}

const MEASUREMENTS: [Measurement; 12] = [
    Measurement { name: "routes", measure: node_state::routes },
    Measurement { name: "methods", measure: node_state::methods },
    Measurement { name: "tenants", measure: node_state::tenants },
    Measurement { name: "endpoints", measure: node_state::endpoints },
    Measurement { name: "whole", measure: node_state::whole },
    Measurement { name: "connections", measure: node_state::connections },
    Measurement { name: "rpcs", measure: rpc_load::rpcs },
    Measurement { name: "keys", measure: idempotency_keys::keys },
    Measurement { name: "resources", measure: control_plane::resources },
    Measurement { name: "subscribers", measure: control_plane::subscribers },
    Measurement { name: "node-changes", measure: control_plane::node_changes },
    Measurement { name: "node-routes", measure: control_plane::node_routes },
];

/// Runs all measurements, or only the named one. The result lists failed measurements, which do not stop the others.
pub fn run(context: &Context, only: Option<&str>) -> Result<SlopeSet, SlopeError> {
    let selected: Vec<&Measurement> =
        MEASUREMENTS.iter().filter(|measurement| only.is_none_or(|name| name == measurement.name)).collect();
    if selected.is_empty() {
        let names: Vec<&str> = MEASUREMENTS.iter().map(|measurement| measurement.name).collect();
        return Err(SlopeError::UnknownName(only.unwrap_or_default().into(), names.join(", ")));
    }
    let load_before = load_averages();
    let mut slopes = Vec::new();
    let mut failed = Vec::new();
    for measurement in selected {
        eprintln!("measuring {}", measurement.name);
        match measure(context, measurement) {
            Ok(measured) => slopes.extend(measured),
            Err(error) => failed.push(format!("{}: {error}", measurement.name)),
        }
    }
    let cores = std::thread::available_parallelism().map_or(0, |cores| cores.get());
    let load_after = load_averages();
    let machine = Machine { cores, load_before, load_after, note: LOAD_NOTE.into() };
    Ok(SlopeSet { machine, slopes, failed })
}

fn measure(context: &Context, measurement: &Measurement) -> Result<Vec<Slope>, SlopeError> {
    let quick = if context.is_quick { " --quick" } else { "" };
    let command = format!("ochrewalk-lab slopes --only {}{quick}", measurement.name);
    let all = (measurement.measure)(context)?;
    all.into_iter().map(|series| slope_of(series, &command)).collect()
}

fn slope_of(series: Series, command: &str) -> Result<Slope, SlopeError> {
    let fit = fit::fit(&series.points)?;
    let largest_size = series.points.iter().map(|point| point.size).fold(0.0, f64::max);
    Ok(Slope {
        name: series.name.into(),
        size_unit: series.size_unit.into(),
        value_unit: series.value_unit.into(),
        points: series.points,
        fit,
        largest_size,
        command: command.into(),
        note: series.note,
    })
}

fn load_averages() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}

/// Replaces the slopes of an earlier set that were measured again, so that measurements may run one at a time. A
/// failure remains in the set until its measurement succeeds.
pub fn merge(earlier: SlopeSet, newer: SlopeSet) -> SlopeSet {
    let is_replaced = |name: &str| newer.slopes.iter().any(|slope| slope.name == name);
    let mut slopes: Vec<Slope> =
        earlier.slopes.into_iter().filter(|slope| !is_replaced(&slope.name)).collect();
    let newer_commands: Vec<String> = newer.slopes.iter().map(|slope| slope.command.clone()).collect();
    slopes.extend(newer.slopes);
    let machine = Machine { load_before: earlier.machine.load_before, ..newer.machine };
    let is_measured_now = |failed: &String| {
        let name = failed.split(':').next().unwrap_or_default();
        let option = format!("--only {name}");
        newer_commands
            .iter()
            .any(|command| command.ends_with(&option) || command.contains(&format!("{option} ")))
    };
    let mut failed: Vec<String> =
        earlier.failed.into_iter().filter(|failed| !is_measured_now(failed)).collect();
    failed.extend(newer.failed);
    SlopeSet { machine, slopes, failed }
}
