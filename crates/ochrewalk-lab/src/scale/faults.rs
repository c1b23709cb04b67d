//! Decides which steps a fault consists of, and when in a run each is taken.

use super::options::Fault;
use std::time::Duration;

/// Changes of an hour at the usual rate.
pub const BURST_CHANGES: usize = 2_880;
/// Changes of one batch of the burst.
pub const BURST_BATCH: usize = 10;
const PUBLISHER_PAUSE: Duration = Duration::from_secs(3);
const REGION_PAUSE: Duration = Duration::from_secs(5);
const BEFORE_BURST: Duration = Duration::from_secs(1);
const BAD_CHANGE_STAYS: Duration = Duration::from_secs(4);

/// One step of a fault. Whatever concerns one region concerns the first.
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

/// The steps of a fault, in the order of their times since the run began.
pub fn steps(fault: Fault, seconds: u64) -> Vec<(Duration, FaultStep)> {
    let begins = Duration::from_secs(seconds) / 3;
    match fault {
        Fault::None => vec![],
        Fault::RelayKilled => vec![(begins, FaultStep::KillRelay)],
        Fault::PublisherKilled => {
            vec![(begins, FaultStep::KillPublisher), (begins + PUBLISHER_PAUSE, FaultStep::StartPublisher)]
        }
        Fault::RegionCut => vec![
            (begins, FaultStep::StopRegion),
            (begins + BEFORE_BURST, FaultStep::PublishBurst),
            (begins + REGION_PAUSE, FaultStep::ContinueRegion),
        ],
        Fault::ZoneCold => vec![(begins, FaultStep::RestartCold)],
        Fault::SlowNodes => vec![(begins, FaultStep::ConnectSlowNodes)],
        Fault::BadChange => vec![
            (begins, FaultStep::PublishBadChange),
            (begins + BAD_CHANGE_STAYS, FaultStep::PublishGoodChange),
        ],
    }
}
