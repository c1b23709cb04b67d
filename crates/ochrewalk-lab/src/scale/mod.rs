//! The laboratory's `scale`: distribution of configuration by a real publisher, real relays and some real nodes to a fleet
//! whose other nodes are hollow, that is, subscribers without the rest of a node.

mod faults;
mod hollow;
mod load;
mod options;
mod probes;
mod processes;
mod real;
mod report;
mod run;
mod slow;
mod workload;

pub use hollow::run_hollow;
pub use options::{Fault, FleetShape, HollowOptions, ScaleOptions};
pub use run::run;

use std::io;

/// Why a run cannot begin or go on.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    #[error("{what}: {source}")]
    Process { what: String, source: io::Error },
    #[error("{0}")]
    Node(String),
    #[error("the event loop: {0}")]
    EventLoop(#[from] io::Error),
    #[error(transparent)]
    Control(#[from] ochrewalk_control_plane::control::ControlError),
    #[error("the publisher refused: {0}")]
    Refused(String),
    #[error("the publisher answered what was not asked")]
    OtherAnswer,
    #[error("{processes} processes are more than {most}")]
    TooManyProcesses { processes: usize, most: usize },
    #[error("not within {seconds} s: {what}")]
    Overdue { what: String, seconds: u64 },
    #[error("a report of hollow nodes cannot be read: {0}")]
    Report(#[from] serde_json::Error),
}

/// Microseconds of CLOCK_MONOTONIC, which all processes of a machine share.
pub(crate) fn monotonic_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
