//! Decides whether a distributed resource is valid.

use super::{describe, endpoint_address, QUOTA_SCOPE};
use crate::diagnostic::{line_error, LineError};
use crate::values::{check_http_method, check_route_repeatable, weight, PATTERN_SUGGESTION};
use ochrewalk_distribution::messages::{Endpoint, Limit, Quota, Resource, ResourceName, Route, Value};
use ochrewalk_ingress::request_evaluation::MAX_TENANT_LENGTH;
use ochrewalk_ingress::routes::Routes;

/// The name of the limit that sets the memory of requests that state none, in KB.
pub const LIMIT_DEFAULT_MEMORY: &str = "usual-memory-kb";
/// The limits that a running node applies, each with its exclusive upper bound.
const LIMITS: [(&str, f64); 1] = [(LIMIT_DEFAULT_MEMORY, 2_000.0)];

/// The reason for which a resource is rejected, displayed as `resource: problem; suggestion`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name}: {problem}; {suggestion}")]
pub struct InvalidResource {
    /// The resource's name, as [`describe`] returns it.
    pub name: String,
    /// The problem found.
    pub problem: String,
    /// The correction to make.
    pub suggestion: String,
}

/// The node's method to which a route maps requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The method's position in the node's list of methods.
    pub position: usize,
    /// Whether the method may run twice without harm.
    pub is_idempotent: bool,
}

/// Validates a resource without knowledge of a node, so that a resource that every node would reject is not published.
///
/// # Errors
/// Returns the first problem of the resource.
pub fn check(resource: &Resource) -> Result<(), InvalidResource> {
    let checked = match &resource.value {
        None => Ok(()),
        Some(Value::Route(route)) => check_route(&resource.name, route),
        Some(Value::Quota(quota)) => check_quota(&resource.name, quota),
        Some(Value::Endpoint(endpoint)) => check_endpoint(&resource.name, endpoint),
        Some(Value::Limit(limit)) => check_limit(&resource.name, limit),
    };
    checked.map_err(|error| invalid(&resource.name, error))
}

/// Checks a route against its method and returns the method's position. `target` is `None` if the node has no such
/// method.
///
/// # Errors
/// Returns an error if the node has no such method, or if the method must not run twice and intermediaries may retry the
/// HTTP method.
pub fn check_route_target(
    name: &ResourceName,
    route: &Route,
    target: Option<RouteTarget>,
) -> Result<usize, InvalidResource> {
    let checked = match target {
        None => line_error(
            format!("{} is no method here", route.method),
            "route it to a method of the node's file",
        ),
        Some(RouteTarget { position, is_idempotent }) => {
            check_route_repeatable(&route.http_method, &route.method, is_idempotent).map(|()| position)
        }
    };
    checked.map_err(|error| invalid(name, error))
}

fn invalid(name: &ResourceName, LineError { problem, suggestion }: LineError) -> InvalidResource {
    InvalidResource { name: describe(name), problem, suggestion }
}

fn check_route(name: &ResourceName, route: &Route) -> Result<(), LineError> {
    check_http_method(&route.http_method)?;
    Routes::check_pattern(&route.path)
        .map_err(|problem| LineError::new(problem.to_string(), PATTERN_SUGGESTION))?;
    if route.method.is_empty() {
        return line_error("the route has no method", "name a method of the node's file");
    }
    if name.name != format!("{} {}", route.http_method, route.path) {
        return line_error("the name is another than its HTTP method and path", "name it by both");
    }
    Ok(())
}

fn check_quota(name: &ResourceName, quota: &Quota) -> Result<(), LineError> {
    if name.scope != QUOTA_SCOPE {
        return line_error(format!("a quota in scope {}", name.scope), format!("write scope {QUOTA_SCOPE}"));
    }
    let is_printable = !name.name.is_empty() && name.name.bytes().all(|b| b.is_ascii_graphic());
    if !is_printable || name.name.len() > MAX_TENANT_LENGTH {
        return line_error(
            "the tenant is no word of printable letters",
            format!("write {MAX_TENANT_LENGTH} at most"),
        );
    }
    if !quota.per_second.is_finite() || quota.per_second < 0.0 {
        return line_error(
            format!("{} is no quota", quota.per_second),
            "write RPCs a second over the whole fleet, 0 or more",
        );
    }
    Ok(())
}

fn check_endpoint(name: &ResourceName, endpoint: &Endpoint) -> Result<(), LineError> {
    if endpoint_address(name).is_none_or(|address| address.port() == 0) {
        return line_error(format!("{} is no address", name.name), "write ADDRESS:PORT, with an IP address");
    }
    weight(&endpoint.weight.to_string()).map(|_| ())
}

fn check_limit(name: &ResourceName, limit: &Limit) -> Result<(), LineError> {
    let Some((_, bound)) = LIMITS.iter().find(|(known, _)| *known == name.name) else {
        let known: Vec<&str> = LIMITS.iter().map(|(known, _)| *known).collect();
        return line_error(
            format!("{} is no limit", name.name),
            format!("write one of {}", known.join(", ")),
        );
    };
    if !(limit.amount > 0.0 && limit.amount < *bound) {
        return line_error(
            format!("{} is out of range", limit.amount),
            format!("write a number above 0 and under {bound}"),
        );
    }
    Ok(())
}
