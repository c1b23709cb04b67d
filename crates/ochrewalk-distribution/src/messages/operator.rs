//! Requests of operators, and the replies of the publisher.

use prost::Message;

use super::resource::{Position, Resource, ResourceName};
use super::stream::RegionStatus;

/// One change of a batch: a new value, or a deletion. The revision of `resource` is passed over.
#[derive(Clone, PartialEq, Message)]
pub struct Publish {
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<Resource>,
    /// Refused where the state has moved on from here; not looked at where absent.
    #[prost(message, optional, tag = "2")]
    pub expected: Option<Position>,
}

/// A batch was accepted, and is durable.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Published {
    #[prost(message, required, tag = "1")]
    pub position: Position,
}

/// A request was refused whole, for these reasons.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    #[prost(string, repeated, tag = "1")]
    pub reasons: Vec<String>,
}

/// An operator asks how the fleet stands.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct StatusRequest {}

/// How the fleet stands, as far as relays have told.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    #[prost(message, required, tag = "1")]
    pub position: Position,
    #[prost(uint64, tag = "2")]
    pub resources: u64,
    #[prost(message, repeated, tag = "3")]
    pub regions: Vec<RegionStatus>,
}

/// An operator wants the changes of all batches after a revision undone, by a new batch.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Rollback {
    #[prost(message, required, tag = "1")]
    pub to: Position,
}

/// An operator asks what is published under these names.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    #[prost(message, repeated, tag = "1")]
    pub names: Vec<ResourceName>,
}

/// What there is under the names asked for.
#[derive(Clone, PartialEq, Message)]
pub struct Fetched {
    #[prost(message, required, tag = "1")]
    pub position: Position,
    #[prost(message, repeated, tag = "2")]
    pub resources: Vec<Resource>,
}
