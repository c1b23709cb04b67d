//! The lab's command `scale`: a real publisher and real relays distribute configuration to a fleet of some real nodes
//! and many hollow nodes, which are subscribers without the rest of a node.

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

/// An error that prevents or ends a run.
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
    #[error("the publisher rejected the change: {0}")]
    Rejected(String),
    #[error("the publisher sent an unexpected answer")]
    UnexpectedAnswer,
    #[error("the run needs {processes} processes, at most {max} are allowed")]
    TooManyProcesses { processes: usize, max: usize },
    #[error("timed out after {seconds} s waiting for: {what}")]
    TimedOut { what: String, seconds: u64 },
    #[error("invalid report from hollow nodes: {0}")]
    Report(#[from] serde_json::Error),
}

/// Returns the time of CLOCK_MONOTONIC in microseconds, which all processes of a machine share.
pub(crate) fn monotonic_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
