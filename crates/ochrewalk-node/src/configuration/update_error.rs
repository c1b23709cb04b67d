//! Why a node rejects an update.

use ochrewalk_distribution::messages::ResourceName;
use ochrewalk_distribution::ApplyError;
use ochrewalk_operator_config::resources::{describe, InvalidResource};

/// Why an update is rejected: the last good state stays in force. Its text is reported to the publisher.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// A resource is invalid for every node, or a route leads to a method that this node cannot serve there.
    #[error(transparent)]
    Resource(#[from] InvalidResource),
    /// A route is that of the node's own file, or that of another distributed resource.
    #[error("{}: {reason}", describe(.route))]
    RouteConflict {
        /// The distributed route.
        route: ResourceName,
        /// What the routing table reports.
        reason: String,
    },
    /// A route for a node without a listener whose requests are routed.
    #[error("{}: this node has no listener that is routed", describe(.route))]
    NoListener {
        /// The distributed route.
        route: ResourceName,
    },
    /// An endpoint for a node whose upstream is not called by AJP.
    #[error("{}: this node calls nothing by AJP", describe(.endpoint))]
    NoEndpoints {
        /// The distributed endpoint.
        endpoint: ResourceName,
    },
    /// A resource of a kind that only newer versions know.
    #[error("{}: a kind that this version does not know", describe(.resource))]
    UnknownKind {
        /// The resource.
        resource: ResourceName,
    },
    /// The update does not follow the state in force.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}
