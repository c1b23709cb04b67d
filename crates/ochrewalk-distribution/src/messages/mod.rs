//! The messages between publisher, relays, nodes and operators, as Protocol Buffers. On a stream each message is an
//! [`Envelope`] prefixed with its length as a varint. Numbers and types of fields never change, and fields are only ever
//! added: an older program ignores the fields that it does not know.

use prost::{Message, Oneof};

mod operator;
mod resource;
mod stream;

pub use operator::{Fetch, Fetched, Publish, Published, Refused, Rollback, Status, StatusRequest};
pub use resource::{Endpoint, Limit, Position, Quota, Resource, ResourceKind, ResourceName, Route, Value};
pub use stream::{
    Heartbeat, PositionCount, RegionStatus, Rejection, Report, RetryLater, Subscribe, Update, Watch,
};

/// The version of this set of messages; a subscriber that needs a newer version is refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message on a stream.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The message; `None` if a later version added it.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

/// The content of an [`Envelope`]. A receiver ignores content that it does not know.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// The first message of a subscriber.
    #[prost(message, tag = "1")]
    Subscribe(Subscribe),
    /// A subscriber changes the single names that it wants.
    #[prost(message, tag = "2")]
    Watch(Watch),
    /// A subscriber reports the outcome of an update.
    #[prost(message, tag = "3")]
    Report(Report),
    /// A server sends a part of an update.
    #[prost(message, tag = "4")]
    Update(Update),
    /// A server confirms that it is running.
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
    /// The publisher accepted changes.
    #[prost(message, tag = "9")]
    Published(Published),
    /// The receiver refused a request or a subscriber.
    #[prost(message, tag = "10")]
    Refused(Refused),
    /// An operator requests the status of the fleet.
    #[prost(message, tag = "11")]
    StatusRequest(StatusRequest),
    /// The status of the fleet.
    #[prost(message, tag = "12")]
    Status(Status),
    /// An operator requests that changes be undone.
    #[prost(message, tag = "13")]
    Rollback(Rollback),
    /// An operator requests resources.
    #[prost(message, tag = "14")]
    Fetch(Fetch),
    /// The requested resources.
    #[prost(message, tag = "15")]
    Fetched(Fetched),
}
