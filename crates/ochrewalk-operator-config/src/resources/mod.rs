//! Names and validation of distributed resources, and files of changes to them. The publisher validates each resource,
//! and each node that receives it validates it again, with the checks of the operators' file.

mod change_file;
mod validation;

pub use change_file::read_changes;
pub use validation::{check, check_route_target, InvalidResource, RouteTarget, LIMIT_DEFAULT_MEMORY};

use ochrewalk_distribution::messages::{ResourceKind, ResourceName};
use std::net::SocketAddr;

/// The scope of all quotas, which nodes fetch one by one and not by scope.
pub const QUOTA_SCOPE: &str = "tenants";

/// Returns the name of a route.
pub fn route_name(scope: &str, http_method: &str, path: &str) -> ResourceName {
    name(ResourceKind::Route, scope, &format!("{http_method} {path}"))
}

/// Returns the name of a tenant's quota.
pub fn quota_name(tenant: &str) -> ResourceName {
    name(ResourceKind::Quota, QUOTA_SCOPE, tenant)
}

/// Returns the name of an endpoint.
pub fn endpoint_name(scope: &str, address: SocketAddr) -> ResourceName {
    name(ResourceKind::Endpoint, scope, &address.to_string())
}

/// Returns the name of a limit.
pub fn limit_name(scope: &str, limit: &str) -> ResourceName {
    name(ResourceKind::Limit, scope, limit)
}

fn name(kind: ResourceKind, scope: &str, name: &str) -> ResourceName {
    ResourceName { kind: kind as i32, scope: scope.into(), name: name.into() }
}

/// Returns the address of an endpoint, parsed from its name; `None` if the name is not an address.
pub fn endpoint_address(name: &ResourceName) -> Option<SocketAddr> {
    name.name.parse().ok()
}

/// Returns a resource's name in the form that operators read.
pub fn describe(name: &ResourceName) -> String {
    match name.kind() {
        ResourceKind::Route => format!("route {} {}", name.scope, name.name),
        ResourceKind::Quota => format!("quota {}", name.name),
        ResourceKind::Endpoint => format!("endpoint {} {}", name.scope, name.name),
        ResourceKind::Limit => format!("limit {} {}", name.scope, name.name),
        ResourceKind::Unknown => format!("unknown {} {}", name.scope, name.name),
    }
}
