//! Resources: what is configured, under which name, and at which position in the order of changes.

use prost::{Enumeration, Message, Oneof};

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
