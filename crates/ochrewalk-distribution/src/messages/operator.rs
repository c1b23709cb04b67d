//! Requests of operators, and the replies of the publisher.

use prost::Message;

use super::resource::{Position, Resource, ResourceName};
use super::stream::RegionStatus;

/// Asks the publisher to apply a batch of changes together.
#[derive(Clone, PartialEq, Message)]
pub struct Publish {
    /// New values, and deletions as resources without one. Their revisions are ignored.
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<Resource>,
    /// Refused where the state is at another position; not compared where absent.
    #[prost(message, optional, tag = "2")]
    pub expected: Option<Position>,
}

/// A batch was accepted, and is durable.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Published {
    /// The position of the batch.
    #[prost(message, required, tag = "1")]
    pub position: Position,
}

/// A request was refused; nothing of it was applied.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// Every reason that was found, for people.
    #[prost(string, repeated, tag = "1")]
    pub reasons: Vec<String>,
}

/// An operator asks for the status of the fleet.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StatusRequest {}

/// The status of the fleet, as far as relays have reported it.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    /// The position of the last accepted batch.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// How many resources there are, without deleted ones.
    #[prost(uint64, tag = "2")]
    pub resources: u64,
    /// One entry for each region; the publisher's own subscribers are in the one with an empty name.
    #[prost(message, repeated, tag = "3")]
    pub regions: Vec<RegionStatus>,
}

/// An operator wants the changes of all batches after a revision undone, by a new batch.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Rollback {
    /// The last position whose changes are to stay.
    #[prost(message, required, tag = "1")]
    pub to: Position,
}

/// An operator asks what is published under these names.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// The names asked for.
    #[prost(message, repeated, tag = "1")]
    pub names: Vec<ResourceName>,
}

/// What there is under the names asked for.
#[derive(Clone, PartialEq, Message)]
pub struct Fetched {
    /// The position of the state that was looked at.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// Those that there are, in the order of the request; others are left out.
    #[prost(message, repeated, tag = "2")]
    pub resources: Vec<Resource>,
}
