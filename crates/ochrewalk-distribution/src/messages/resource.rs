//! Resources: their content, their names, and their positions in the order of changes.

use prost::{Enumeration, Message, Oneof};

/// The subject that a resource configures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ResourceKind {
    /// A kind that this version does not know.
    Unknown = 0,
    /// An HTTP method and path of the AJP listener, and the RPC method that they map to.
    Route = 1,
    /// The rate at which a tenant may send RPCs over the entire fleet.
    Quota = 2,
    /// An address of the upstream that receives calls.
    Endpoint = 3,
    /// A limit that a running node applies.
    Limit = 4,
}

/// The identity of a resource. Names are ordered by kind, scope and name.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct ResourceName {
    /// The number of a [`ResourceKind`], so that a kind of a later version passes through this one unchanged.
    #[prost(enumeration = "ResourceKind", tag = "1")]
    pub kind: i32,
    /// The group of resources that the same nodes need, such as those of one service; may be empty.
    #[prost(string, tag = "2")]
    pub scope: String,
    /// The name within its kind and scope; never empty.
    #[prost(string, tag = "3")]
    pub name: String,
}

/// A route, which maps requests of `http_method` to `path` to RPCs of `method`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Route {
    /// The HTTP method of the requests, such as `GET`.
    #[prost(string, tag = "1")]
    pub http_method: String,
    /// The path of the requests, or its pattern.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The RPC method that these requests call.
    #[prost(string, tag = "3")]
    pub method: String,
}

/// The quota of a tenant over the entire fleet.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Quota {
    /// RPCs per second, finite and not negative.
    #[prost(double, tag = "1")]
    pub per_second: f64,
}

/// An endpoint of the upstream; its resource name is its address.
#[derive(Clone, PartialEq, Message)]
pub struct Endpoint {
    /// The weight of the endpoint: its share of the calls in proportion to the other weights; finite and not negative.
    #[prost(double, tag = "1")]
    pub weight: f64,
    /// The zone of the endpoint; empty if zones are not used.
    #[prost(string, tag = "2")]
    pub zone: String,
}

/// The amount of a limit, in the unit that the limit's name states.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Limit {
    /// The amount, finite and not negative.
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

/// A resource at the revision that last changed it. A resource without a value is deleted.
#[derive(Clone, PartialEq, Message)]
pub struct Resource {
    /// The name of the resource.
    #[prost(message, required, tag = "1")]
    pub name: ResourceName,
    /// The revision of the batch that last changed the resource; 0 in a change that is not accepted yet.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The value; `None` if the resource is deleted.
    #[prost(oneof = "Value", tags = "3, 4, 5, 6")]
    pub value: Option<Value>,
}

/// A position in the order of all changes. A position of a later epoch is later, regardless of the revisions.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct Position {
    /// The epoch, which identifies the publisher of the order and increases whenever another publisher takes over.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The number of the batch in that order; the first is 1.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

impl Value {
    /// Returns the kind of the names that this value belongs to.
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
    /// Creates the name of a resource of `kind` in `scope`.
    pub fn new(kind: ResourceKind, scope: impl Into<String>, name: impl Into<String>) -> Self {
        Self { kind: kind as i32, scope: scope.into(), name: name.into() }
    }
}

impl Resource {
    /// Creates a change that sets `value`. The store assigns its revision.
    pub fn set(name: ResourceName, value: Value) -> Self {
        Self { name, revision: 0, value: Some(value) }
    }

    /// Creates a change that deletes `name`. The store assigns its revision.
    pub fn delete(name: ResourceName) -> Self {
        Self { name, revision: 0, value: None }
    }
}
