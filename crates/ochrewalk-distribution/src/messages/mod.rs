//! The messages between publisher, relays, nodes and operators, as Protocol Buffers. On a stream each is an [`Envelope`]
//! behind its length as a varint. Numbers and types of fields never change, and fields are only ever added: an older
//! program ignores those that it does not know.

use prost::{Message, Oneof};

mod operator;
mod resource;
mod stream;

pub use operator::{Fetch, Fetched, Publish, Published, Refused, Rollback, Status, StatusRequest};
pub use resource::{Endpoint, Limit, Position, Quota, Resource, ResourceKind, ResourceName, Route, Value};
pub use stream::{
    Heartbeat, PositionCount, RegionStatus, Rejection, Report, RetryLater, Subscribe, Update, Watch,
};

/// The version of this set of messages; a subscriber that needs a newer one is refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// One message on a stream.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// None where it is of a later version.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

/// What an [`Envelope`] contains. A receiver ignores one that it does not know.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// The first message of a subscriber.
    #[prost(message, tag = "1")]
    Subscribe(Subscribe),
    /// A subscriber changes which single names it wants.
    #[prost(message, tag = "2")]
    Watch(Watch),
    /// A subscriber reports the outcome of an update.
    #[prost(message, tag = "3")]
    Report(Report),
    /// A server sends a part of an update.
    #[prost(message, tag = "4")]
    Update(Update),
    /// A server shows that it is alive.
    #[prost(message, tag = "5")]
    Heartbeat(Heartbeat),
    /// A server asks a subscriber to connect again later.
    #[prost(message, tag = "6")]
    RetryLater(RetryLater),
    /// A relay reports on its subscribers.
    #[prost(message, tag = "7")]
    RegionStatus(RegionStatus),
    /// An operator publishes changes.
    #[prost(message, tag = "8")]
    Publish(Publish),
    /// The publisher has accepted changes.
    #[prost(message, tag = "9")]
    Published(Published),
    /// A request or a subscriber is refused.
    #[prost(message, tag = "10")]
    Refused(Refused),
    /// An operator asks for the status of the fleet.
    #[prost(message, tag = "11")]
    StatusRequest(StatusRequest),
    /// The status of the fleet.
    #[prost(message, tag = "12")]
    Status(Status),
    /// An operator wants changes undone.
    #[prost(message, tag = "13")]
    Rollback(Rollback),
    /// An operator asks for resources.
    #[prost(message, tag = "14")]
    Fetch(Fetch),
    /// The resources asked for.
    #[prost(message, tag = "15")]
    Fetched(Fetched),
}
