//! Distributed resources: their names, the checks of the operators' file applied to single resources by whoever publishes
//! them and again by each node that takes them, and files of changes.

mod change_file;
mod validation;

pub use change_file::read_changes;
pub use validation::{check, check_route_target, InvalidResource, RouteTarget, LIMIT_USUAL_MEMORY};

use ochrewalk_distribution::messages::{ResourceKind, ResourceName};
use std::net::SocketAddr;

/// The scope of all quotas: nodes fetch them one by one, not by scope.
pub const QUOTA_SCOPE: &str = "tenants";

/// The name of a route.
pub fn route_name(scope: &str, http_method: &str, path: &str) -> ResourceName {
    name(ResourceKind::Route, scope, &format!("{http_method} {path}"))
}

/// The name of a tenant's quota.
pub fn quota_name(tenant: &str) -> ResourceName {
    name(ResourceKind::Quota, QUOTA_SCOPE, tenant)
}

/// The name of an endpoint.
pub fn endpoint_name(scope: &str, address: SocketAddr) -> ResourceName {
    name(ResourceKind::Endpoint, scope, &address.to_string())
}

/// The name of a limit.
pub fn limit_name(scope: &str, limit: &str) -> ResourceName {
    name(ResourceKind::Limit, scope, limit)
}

fn name(kind: ResourceKind, scope: &str, name: &str) -> ResourceName {
    ResourceName { kind: kind as i32, scope: scope.into(), name: name.into() }
}

/// The address of an endpoint, from its name; none where that is no address.
pub fn endpoint_address(name: &ResourceName) -> Option<SocketAddr> {
    name.name.parse().ok()
}

/// A resource's name as operators know it.
pub fn describe(name: &ResourceName) -> String {
    match name.kind() {
        ResourceKind::Route => format!("route {} {}", name.scope, name.name),
        ResourceKind::Quota => format!("quota {}", name.name),
        ResourceKind::Endpoint => format!("endpoint {} {}", name.scope, name.name),
        ResourceKind::Limit => format!("limit {} {}", name.scope, name.name),
        ResourceKind::Unknown => format!("unknown {} {}", name.scope, name.name),
    }
}
