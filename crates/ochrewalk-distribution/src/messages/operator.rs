//! The requests of operators, and the replies of the publisher.

use prost::Message;

use super::resource::{Position, Resource, ResourceName};
use super::stream::RegionStatus;

/// Requests that the publisher apply a batch of changes atomically.
#[derive(Clone, PartialEq, Message)]
pub struct Publish {
    /// The changes: new values, and deletions as resources without a value. Their revisions are ignored.
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<Resource>,
    /// The expected position of the state. The batch is refused if the state is at another position; any position is
    /// accepted if the field is absent.
    #[prost(message, optional, tag = "2")]
    pub expected: Option<Position>,
}

/// Confirms that a batch was accepted and is durable.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Published {
    /// The position of the batch.
    #[prost(message, required, tag = "1")]
    pub position: Position,
}

/// Reports that a request was refused and that none of its changes was applied.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// The reasons for the refusal, as text for operators.
    #[prost(string, repeated, tag = "1")]
    pub reasons: Vec<String>,
}

/// Requests the status of the fleet.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StatusRequest {}

/// The status of the fleet, as reported by the relays.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    /// The position of the last accepted batch.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// The number of resources, without deleted ones.
    #[prost(uint64, tag = "2")]
    pub resources: u64,
    /// The status of each region; the publisher's own subscribers are in the region with an empty name.
    #[prost(message, repeated, tag = "3")]
    pub regions: Vec<RegionStatus>,
}

/// Requests that a new batch undo the changes of all batches after a revision.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Rollback {
    /// The last position whose changes are preserved.
    #[prost(message, required, tag = "1")]
    pub to: Position,
}

/// Requests the published resources of the given names.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// The requested names.
    #[prost(message, repeated, tag = "1")]
    pub names: Vec<ResourceName>,
}

/// The published resources of the requested names.
#[derive(Clone, PartialEq, Message)]
pub struct Fetched {
    /// The position of the state that was read.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// The resources that exist, in the order of the request; others are omitted.
    #[prost(message, repeated, tag = "2")]
    pub resources: Vec<Resource>,
}
