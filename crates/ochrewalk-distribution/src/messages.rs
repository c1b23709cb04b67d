//! The messages between publisher, relays, nodes and operators, as Protocol Buffers. On a stream each stands behind its
//! length as a varint. Fields are only ever added: an older program passes over those that it does not know.

use prost::{Enumeration, Message, Oneof};

/// The version of this set of messages; a peer that needs a newer one is refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// What a resource configures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ResourceKind {
    Unknown = 0,
    /// An HTTP method and path of the AJP front, and the method that they stand for.
    Route = 1,
    /// What a tenant may send over the whole fleet.
    Quota = 2,
    /// A place that calls to the upstream go to.
    Endpoint = 3,
    /// A limit that a running node takes over.
    Limit = 4,
}

/// The identity of a resource. `scope` groups resources that the same nodes need, such as those of one service.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct ResourceName {
    #[prost(enumeration = "ResourceKind", tag = "1")]
    pub kind: i32,
    #[prost(string, tag = "2")]
    pub scope: String,
    #[prost(string, tag = "3")]
    pub name: String,
}

/// A route: requests of `http_method` to `path` are RPCs of `method`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Route {
    #[prost(string, tag = "1")]
    pub http_method: String,
    #[prost(string, tag = "2")]
    pub path: String,
    #[prost(string, tag = "3")]
    pub method: String,
}

/// RPCs a second that a tenant may send over the whole fleet.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Quota {
    #[prost(double, tag = "1")]
    pub per_second: f64,
}

/// An endpoint of the upstream; its name is its address.
#[derive(Clone, PartialEq, Message)]
pub struct Endpoint {
    #[prost(double, tag = "1")]
    pub weight: f64,
    #[prost(string, tag = "2")]
    pub zone: String,
}

/// A limit's amount, in the unit that its name states.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Limit {
    #[prost(double, tag = "1")]
    pub amount: f64,
}

/// What a resource says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Value {
    #[prost(message, tag = "3")]
    Route(Route),
    #[prost(message, tag = "4")]
    Quota(Quota),
    #[prost(message, tag = "5")]
    Endpoint(Endpoint),
    #[prost(message, tag = "6")]
    Limit(Limit),
}

/// A resource at the revision that last changed it. One without a value is deleted.
#[derive(Clone, PartialEq, Message)]
pub struct Resource {
    #[prost(message, required, tag = "1")]
    pub name: ResourceName,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(oneof = "Value", tags = "3, 4, 5, 6")]
    pub value: Option<Value>,
}

/// A place in the order of all changes. A later epoch is later whatever the revisions are.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct Position {
    /// Which publisher's order this is: raised whenever another one takes over.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

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

/// One message on a stream.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

/// What an [`Envelope`] holds. One that is not known is passed over by its receiver.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    #[prost(message, tag = "1")]
    Subscribe(Subscribe),
    #[prost(message, tag = "2")]
    Watch(Watch),
    #[prost(message, tag = "3")]
    Report(Report),
    #[prost(message, tag = "4")]
    Update(Update),
    #[prost(message, tag = "5")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "6")]
    RetryLater(RetryLater),
    #[prost(message, tag = "7")]
    RegionStatus(RegionStatus),
    #[prost(message, tag = "8")]
    Publish(Publish),
    #[prost(message, tag = "9")]
    Published(Published),
    #[prost(message, tag = "10")]
    Refused(Refused),
    #[prost(message, tag = "11")]
    StatusRequest(StatusRequest),
    #[prost(message, tag = "12")]
    Status(Status),
    #[prost(message, tag = "13")]
    Rollback(Rollback),
    #[prost(message, tag = "14")]
    Fetch(Fetch),
    #[prost(message, tag = "15")]
    Fetched(Fetched),
}
