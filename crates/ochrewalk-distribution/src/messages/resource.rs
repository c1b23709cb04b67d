//! Resources: what is configured, under which name, and at which position in the order of changes.

use prost::{Enumeration, Message, Oneof};

/// What a resource configures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ResourceKind {
    /// A kind that this version does not know.
    Unknown = 0,
    /// An HTTP method and path of the AJP listener, and the RPC method that they map to.
    Route = 1,
    /// What a tenant may send over the whole fleet.
    Quota = 2,
    /// An address that calls to the upstream go to.
    Endpoint = 3,
    /// A limit that a running node takes over.
    Limit = 4,
}

/// The identity of a resource. Names are ordered by kind, scope and name.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct ResourceName {
    /// A [`ResourceKind`] as its number, so that a later version's kind survives this one.
    #[prost(enumeration = "ResourceKind", tag = "1")]
    pub kind: i32,
    /// Groups resources that the same nodes need, such as those of one service; may be empty.
    #[prost(string, tag = "2")]
    pub scope: String,
    /// The name within its kind and scope; never empty.
    #[prost(string, tag = "3")]
    pub name: String,
}

/// A route: requests of `http_method` to `path` are RPCs of `method`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Route {
    /// The HTTP method of the requests, such as `GET`.
    #[prost(string, tag = "1")]
    pub http_method: String,
    /// The path of the requests, or its pattern.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The RPC method that is called for them.
    #[prost(string, tag = "3")]
    pub method: String,
}

/// RPCs a second that a tenant may send over the whole fleet.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Quota {
    /// RPCs a second, finite and not negative.
    #[prost(double, tag = "1")]
    pub per_second: f64,
}

/// An endpoint of the upstream; its name is its address.
#[derive(Clone, PartialEq, Message)]
pub struct Endpoint {
    /// Its part of the calls, in proportion to the weights of the others; finite and not negative.
    #[prost(double, tag = "1")]
    pub weight: f64,
    /// The zone that it runs in; empty where zones do not matter.
    #[prost(string, tag = "2")]
    pub zone: String,
}

/// A limit's amount, in the unit that its name states.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Limit {
    /// Finite and not negative.
    #[prost(double, tag = "1")]
    pub amount: f64,
}

/// The content of a resource.
#[derive(Clone, PartialEq, Oneof)]
pub enum Value {
    /// The value of a [`ResourceKind::Route`].
    #[prost(message, tag = "3")]
    Route(Route),
    /// The value of a [`ResourceKind::Quota`].
    #[prost(message, tag = "4")]
    Quota(Quota),
    /// The value of a [`ResourceKind::Endpoint`].
    #[prost(message, tag = "5")]
    Endpoint(Endpoint),
    /// The value of a [`ResourceKind::Limit`].
    #[prost(message, tag = "6")]
    Limit(Limit),
}

/// A resource at the revision that last changed it. One without a value is deleted.
#[derive(Clone, PartialEq, Message)]
pub struct Resource {
    /// What it is the newest change of.
    #[prost(message, required, tag = "1")]
    pub name: ResourceName,
    /// The revision of the batch that changed it last; 0 in a change that is not accepted yet.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// None where it was deleted.
    #[prost(oneof = "Value", tags = "3, 4, 5, 6")]
    pub value: Option<Value>,
}

/// A position in the order of all changes. A later epoch is later whatever the revisions are.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct Position {
    /// Which publisher's order this is: raised whenever another publisher takes over.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The number of the batch in that order; the first is 1.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

impl Value {
    /// The kind of name that this value belongs to.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Value::Route(_) => ResourceKind::Route,
            Value::Quota(_) => ResourceKind::Quota,
            Value::Endpoint(_) => ResourceKind::Endpoint,
            Value::Limit(_) => ResourceKind::Limit,
        }
    }
}

impl ResourceName {
    /// The name of a resource of `kind` in `scope`.
    pub fn new(kind: ResourceKind, scope: impl Into<String>, name: impl Into<String>) -> Self {
        Self { kind: kind as i32, scope: scope.into(), name: name.into() }
    }
}

impl Resource {
    /// A change that sets `value`. The store gives it its revision.
    pub fn set(name: ResourceName, value: Value) -> Self {
        Self { name, revision: 0, value: Some(value) }
    }

    /// A change that deletes `name`. The store gives it its revision.
    pub fn delete(name: ResourceName) -> Self {
        Self { name, revision: 0, value: None }
    }
}
