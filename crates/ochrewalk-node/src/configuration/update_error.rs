//! The reasons why a node rejects an update.

use ochrewalk_distribution::messages::ResourceName;
use ochrewalk_distribution::ApplyError;
use ochrewalk_operator_config::resources::{describe, InvalidResource};

/// The reason why an update is rejected. The previous configuration stays in force, and the text is reported to the publisher.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// A resource is invalid for every node, or a route leads to a method that this node cannot serve there.
    #[error(transparent)]
    Resource(#[from] InvalidResource),
    /// The node's own file, or another distributed resource, has the same route.
    #[error("{}: {reason}", describe(.route))]
    RouteConflict {
        /// The distributed route.
        route: ResourceName,
        /// The reason that the routing table reports.
        reason: String,
    },
    /// The node has no listener whose requests are routed.
    #[error("{}: this node has no listener that is routed", describe(.route))]
    NoListener {
        /// The distributed route.
        route: ResourceName,
    },
    /// The node does not call its upstream by AJP, and uses no endpoints.
    #[error("{}: this node calls nothing by AJP", describe(.endpoint))]
    NoEndpoints {
        /// The distributed endpoint.
        endpoint: ResourceName,
    },
    /// The resource is of a kind that only newer versions support.
    #[error("{}: a kind that this version does not know", describe(.resource))]
    UnknownKind {
        /// The resource.
        resource: ResourceName,
    },
    /// The update does not follow the state in force.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}
