//! Messages between a subscriber and the server that it follows.

use prost::Message;

use super::resource::{Position, Resource, ResourceName};

/// The first message of a subscriber.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    /// The version of the messages that it needs; see [`PROTOCOL_VERSION`](super::PROTOCOL_VERSION).
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Its name, unique in the fleet.
    #[prost(string, tag = "2")]
    pub node: String,
    /// The region that it runs in.
    #[prost(string, tag = "3")]
    pub region: String,
    /// What it has applied last; absent where it has nothing.
    #[prost(message, optional, tag = "4")]
    pub applied: Option<Position>,
    /// Scopes of which it wants all resources.
    #[prost(string, repeated, tag = "5")]
    pub scopes: Vec<String>,
    /// Single resources of other scopes.
    #[prost(message, repeated, tag = "6")]
    pub names: Vec<ResourceName>,
    /// It wants all resources of all scopes, as relays do.
    #[prost(bool, tag = "7")]
    pub everything: bool,
    /// The rate at which it may be sent updates, in bytes a second; 0 for no bound.
    #[prost(uint64, tag = "8")]
    pub bytes_per_second: u64,
    /// The highest epoch that it has observed: a publisher of a lower one is fenced.
    #[prost(uint64, tag = "9")]
    pub highest_epoch: u64,
}

/// A subscriber wants further single resources, or no longer wants some.
#[derive(Clone, PartialEq, Message)]
pub struct Watch {
    /// Names that the next update is to answer, and whose changes are sent from then on.
    #[prost(message, repeated, tag = "1")]
    pub add: Vec<ResourceName>,
    /// Names whose changes are no longer sent. A name in both lists is removed first.
    #[prost(message, repeated, tag = "2")]
    pub remove: Vec<ResourceName>,
}

/// A subscriber reports the outcome of an update.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// What is in force there.
    #[prost(message, required, tag = "1")]
    pub applied: Position,
    /// Set where a later one was rejected.
    #[prost(message, optional, tag = "2")]
    pub rejected: Option<Rejection>,
}

/// A subscriber keeps its last good state, because an update is wrong for it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Rejection {
    /// The position of the update that was rejected.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// The subscriber's name.
    #[prost(string, tag = "2")]
    pub node: String,
    /// Why, for people.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// A part of what a subscriber lacks. The subscriber applies all parts together once it has the last one.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The position that all parts lead to; parts of one update may name ever later ones, and the last one's counts.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// Set on the first part of a snapshot: what the subscriber has is to be replaced, not added to.
    #[prost(bool, tag = "2")]
    pub is_snapshot: bool,
    /// Changed resources; those without a value are deleted.
    #[prost(message, repeated, tag = "3")]
    pub resources: Vec<Resource>,
    /// Names requested of which there is nothing: their default holds.
    #[prost(message, repeated, tag = "4")]
    pub absent: Vec<ResourceName>,
    /// Set on the last part.
    #[prost(bool, tag = "5")]
    pub is_last: bool,
    /// The number of this part in its update, from 0 on.
    #[prost(uint32, tag = "6")]
    pub part: u32,
    /// On the last part: CRC-32 over the encoded resources of all parts, in their order.
    #[prost(uint32, tag = "7")]
    pub checksum: u32,
    /// On the first part of differences: the position that they are differences from. A receiver at any other
    /// position must not apply them.
    #[prost(message, optional, tag = "8")]
    pub base: Option<Position>,
    /// On the last part of a snapshot: the oldest revision from which the receiver can in turn serve differences, if it
    /// was sent everything, deletions included.
    #[prost(uint64, tag = "9")]
    pub horizon: u64,
    /// On the last part: how many messages `Watch` of this stream had been taken over when the update began. It answers
    /// the names of all of these.
    #[prost(uint64, tag = "10")]
    pub watches: u64,
}

/// Sent by a server that has no update to send, so that silence means a broken path.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Heartbeat {
    /// The latest position that it knows of.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// The time since its own source last sent anything, in milliseconds: its state may be that old.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Too many subscribers connect at once: this one is to connect again later.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RetryLater {
    /// The time after which it may connect again, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub after_ms: u64,
}

/// How many subscribers of a region have which position in force.
#[derive(Clone, PartialEq, Message)]
pub struct PositionCount {
    /// The position in force; the default one for those that have none.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// How many subscribers have it in force.
    #[prost(uint64, tag = "2")]
    pub nodes: u64,
}

/// A relay reports on its subscribers to its publisher.
#[derive(Clone, PartialEq, Message)]
pub struct RegionStatus {
    /// The relay's name; several, parted by commas, where statuses were merged.
    #[prost(string, tag = "1")]
    pub relay: String,
    /// The region that the relay serves.
    #[prost(string, tag = "2")]
    pub region: String,
    /// How many subscribers have which position in force, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub in_force: Vec<PositionCount>,
    /// The latest rejection of each node, a bounded number of them.
    #[prost(message, repeated, tag = "4")]
    pub rejections: Vec<Rejection>,
    /// The position of the relay itself.
    #[prost(message, required, tag = "5")]
    pub position: Position,
}
