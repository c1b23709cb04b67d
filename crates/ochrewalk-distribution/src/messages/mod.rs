//! The messages between publisher, relays, nodes and operators, as Protocol Buffers. On a stream each stands behind its
//! length as a varint. Fields are only ever added: an older program passes over those that it does not know.

use prost::{Message, Oneof};

mod operator;
mod resource;
mod stream;

pub use operator::{Fetch, Fetched, Publish, Published, Refused, Rollback, Status, StatusRequest};
pub use resource::{Endpoint, Limit, Position, Quota, Resource, ResourceKind, ResourceName, Route, Value};
pub use stream::{
    Heartbeat, PositionCount, RegionStatus, Rejection, Report, RetryLater, Subscribe, Update, Watch,
};

/// The version of this set of messages; a peer that needs a newer one is refused.
pub const PROTOCOL_VERSION: u32 = 1;

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
