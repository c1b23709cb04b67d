//! Why a node rejects an update.

use ochrewalk_distribution::ApplyError;
use ochrewalk_operators::resources::InvalidResource;

/// Why an update is rejected: the last good state stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    #[error(transparent)]
    Resource(#[from] InvalidResource),
    #[error("{route}: {reason}")]
    RouteConflict { route: String, reason: String },
    #[error("{0}: this node has no listener that is routed")]
    NoListener(String),
    #[error("{0}: this node calls nothing by AJP")]
    NoEndpoints(String),
    #[error("{0}: a kind that this version does not know")]
    UnknownKind(String),
    #[error(transparent)]
    Apply(#[from] ApplyError),
}
