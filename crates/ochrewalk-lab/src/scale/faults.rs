//! Decides which steps a fault consists of, and at which time of a run each is taken.

use super::options::Fault;
use std::time::Duration;

/// The number of changes in an hour at the usual rate.
pub const BURST_CHANGES: usize = 2_880;
/// The number of changes in a batch of the burst.
pub const BURST_BATCH: usize = 10;
const PUBLISHER_DOWNTIME: Duration = Duration::from_secs(3);
const REGION_CUT_TIME: Duration = Duration::from_secs(5);
const BURST_DELAY: Duration = Duration::from_secs(1);
const BAD_CHANGE_TIME: Duration = Duration::from_secs(4);

/// A step of a fault. Faults of a region affect the first region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultStep {
    KillRelay,
    KillPublisher,
    StartPublisher,
    StopRegion,
    PublishBurst,
    ContinueRegion,
    RestartCold,
    ConnectSlowNodes,
    PublishBadChange,
    PublishGoodChange,
}

/// Returns the steps of a fault, in the order of their times since the start of the run.
pub fn steps(fault: Fault, seconds: u64) -> Vec<(Duration, FaultStep)> {
    let start = Duration::from_secs(seconds) / 3;
    match fault {
        Fault::None => vec![],
        Fault::RelayKilled => vec![(start, FaultStep::KillRelay)],
        Fault::PublisherKilled => {
            vec![(start, FaultStep::KillPublisher), (start + PUBLISHER_DOWNTIME, FaultStep::StartPublisher)]
        }
        Fault::RegionCut => vec![
            (start, FaultStep::StopRegion),
            (start + BURST_DELAY, FaultStep::PublishBurst),
            (start + REGION_CUT_TIME, FaultStep::ContinueRegion),
        ],
        Fault::ZoneCold => vec![(start, FaultStep::RestartCold)],
        Fault::SlowNodes => vec![(start, FaultStep::ConnectSlowNodes)],
        Fault::BadChange => vec![
            (start, FaultStep::PublishBadChange),
            (start + BAD_CHANGE_TIME, FaultStep::PublishGoodChange),
        ],
    }
}
