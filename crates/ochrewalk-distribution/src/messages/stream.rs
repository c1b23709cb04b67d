//! Messages between a subscriber and the server that it follows.

use prost::Message;

use super::resource::{Position, Resource, ResourceName};

/// The first message of a subscriber.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    /// The version of the messages that the subscriber needs; see [`PROTOCOL_VERSION`](super::PROTOCOL_VERSION).
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The name of the subscriber, unique in the fleet.
    #[prost(string, tag = "2")]
    pub node: String,
    /// The region of the subscriber.
    #[prost(string, tag = "3")]
    pub region: String,
    /// The position that the subscriber applied last; absent if it has no state.
    #[prost(message, optional, tag = "4")]
    pub applied: Option<Position>,
    /// The scopes of which the subscriber wants all resources.
    #[prost(string, repeated, tag = "5")]
    pub scopes: Vec<String>,
    /// The single resources of other scopes that the subscriber wants.
    #[prost(message, repeated, tag = "6")]
    pub names: Vec<ResourceName>,
    /// Whether the subscriber wants all resources of all scopes, as relays do.
    #[prost(bool, tag = "7")]
    pub everything: bool,
    /// The highest rate at which the subscriber may be sent updates, in bytes per second; 0 for no bound.
    #[prost(uint64, tag = "8")]
    pub bytes_per_second: u64,
    /// The highest epoch that the subscriber has observed. A publisher of a lower epoch is fenced.
    #[prost(uint64, tag = "9")]
    pub highest_epoch: u64,
}

/// Changes the single resources that a subscriber wants.
#[derive(Clone, PartialEq, Message)]
pub struct Watch {
    /// The names that the next update has to answer, and whose changes are sent from then on.
    #[prost(message, repeated, tag = "1")]
    pub add: Vec<ResourceName>,
    /// The names whose changes are no longer sent. A name in both lists is removed first.
    #[prost(message, repeated, tag = "2")]
    pub remove: Vec<ResourceName>,
}

/// Reports the outcome of an update at a subscriber.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// The position in force at the subscriber.
    #[prost(message, required, tag = "1")]
    pub applied: Position,
    /// The rejection of a later update, if the subscriber rejected one.
    #[prost(message, optional, tag = "2")]
    pub rejected: Option<Rejection>,
}

/// Reports that a subscriber retains its last valid state, because it cannot apply an update.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Rejection {
    /// The position of the update that was rejected.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// The name of the subscriber.
    #[prost(string, tag = "2")]
    pub node: String,
    /// The reason, as text for operators.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// A part of the changes that a subscriber lacks. The subscriber applies all parts atomically once it has the last one.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The position after the update. Later parts of one update may have later positions; the position of the last part
    /// counts.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// Whether the update replaces the subscriber's state instead of adding to it; set on the first part of a snapshot.
    #[prost(bool, tag = "2")]
    pub is_snapshot: bool,
    /// The changed resources; a resource without a value is deleted.
    #[prost(message, repeated, tag = "3")]
    pub resources: Vec<Resource>,
    /// The requested names that have no resource: the subscriber's default applies to them.
    #[prost(message, repeated, tag = "4")]
    pub absent: Vec<ResourceName>,
    /// Whether this is the last part.
    #[prost(bool, tag = "5")]
    pub is_last: bool,
    /// The number of this part in its update, starting at 0.
    #[prost(uint32, tag = "6")]
    pub part: u32,
    /// The CRC-32 over the encoded resources of all parts, in their order; set on the last part.
    #[prost(uint32, tag = "7")]
    pub checksum: u32,
    /// The position from which the differences start; set on the first part of differences. A receiver at any other
    /// position must not apply them.
    #[prost(message, optional, tag = "8")]
    pub base: Option<Position>,
    /// The oldest revision from which the receiver can in turn serve differences, if it was sent all resources, deletions
    /// included; set on the last part of a snapshot.
    #[prost(uint64, tag = "9")]
    pub horizon: u64,
    /// The number of `Watch` messages of this stream that the server had processed when the update began, and whose names
    /// the update answers; set on the last part.
    #[prost(uint64, tag = "10")]
    pub watches: u64,
}

/// Confirms that a server without an update to send is running, so that silence indicates a broken path.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Heartbeat {
    /// The latest position that the server knows.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// The time since the server's own source last sent a message, in milliseconds: the server's state may be that old.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Asks a subscriber to connect again later, because too many subscribers connect at once.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RetryLater {
    /// The time after which the subscriber may connect again, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub after_ms: u64,
}

/// The number of subscribers of a region with the same position in force.
#[derive(Clone, PartialEq, Message)]
pub struct PositionCount {
    /// The position in force; the default position for subscribers without state.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// The number of subscribers.
    #[prost(uint64, tag = "2")]
    pub nodes: u64,
}

/// The report of a relay on its subscribers to its publisher.
#[derive(Clone, PartialEq, Message)]
pub struct RegionStatus {
    /// The name of the relay; several names separated by commas if statuses were merged.
    #[prost(string, tag = "1")]
    pub relay: String,
    /// The region that the relay serves.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The number of subscribers per position in force, oldest position first.
    #[prost(message, repeated, tag = "3")]
    pub in_force: Vec<PositionCount>,
    /// The latest rejection of each node, a bounded number of them.
    #[prost(message, repeated, tag = "4")]
    pub rejections: Vec<Rejection>,
    /// The position of the relay itself.
    #[prost(message, required, tag = "5")]
    pub position: Position,
}
