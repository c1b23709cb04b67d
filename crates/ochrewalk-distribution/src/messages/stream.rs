//! Messages between a subscriber and the server that it follows.

use prost::Message;

use super::resource::{Position, Resource, ResourceName};

/// The first message of a subscriber.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub node: String,
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
    /// The bytes a second that it may be sent; 0 for no bound.
    #[prost(uint64, tag = "8")]
    pub bytes_per_second: u64,
    /// The highest epoch that it has heard of: a publisher of a lower one is fenced off.
    #[prost(uint64, tag = "9")]
    pub highest_epoch: u64,
}

/// A subscriber wants further single resources, or no longer wants some.
#[derive(Clone, PartialEq, Message)]
pub struct Watch {
    #[prost(message, repeated, tag = "1")]
    pub add: Vec<ResourceName>,
    #[prost(message, repeated, tag = "2")]
    pub remove: Vec<ResourceName>,
}

/// What became of an update at a subscriber.
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
    #[prost(message, required, tag = "1")]
    pub position: Position,
    #[prost(string, tag = "2")]
    pub node: String,
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// A part of what a subscriber lacks. It applies all parts together once it has the last one.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The position that all parts lead to; parts of one update may name ever later ones, and the last one's counts.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// Set on the first part of a snapshot: what the subscriber has is to be replaced, not added to.
    #[prost(bool, tag = "2")]
    pub is_snapshot: bool,
    #[prost(message, repeated, tag = "3")]
    pub resources: Vec<Resource>,
    /// Names asked for of which there is nothing: their default holds.
    #[prost(message, repeated, tag = "4")]
    pub absent: Vec<ResourceName>,
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

/// What a server of updates says while it has nothing to send, so that silence means a broken path.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Heartbeat {
    /// The latest position that it knows of.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// How long ago it heard from its own source, in milliseconds: what it has may be so old.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Too many come at once: this one comes back after a while.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RetryLater {
    #[prost(uint64, tag = "1")]
    pub after_ms: u64,
}

/// How many subscribers of a region have which position in force.
#[derive(Clone, PartialEq, Message)]
pub struct PositionCount {
    #[prost(message, required, tag = "1")]
    pub position: Position,
    #[prost(uint64, tag = "2")]
    pub nodes: u64,
}

/// What a relay tells its publisher of those that it serves.
#[derive(Clone, PartialEq, Message)]
pub struct RegionStatus {
    #[prost(string, tag = "1")]
    pub relay: String,
    #[prost(string, tag = "2")]
    pub region: String,
    #[prost(message, repeated, tag = "3")]
    pub in_force: Vec<PositionCount>,
    /// The latest rejection of each node, a bounded number of them.
    #[prost(message, repeated, tag = "4")]
    pub rejections: Vec<Rejection>,
    /// The position of the relay itself.
    #[prost(message, required, tag = "5")]
    pub position: Position,
}
