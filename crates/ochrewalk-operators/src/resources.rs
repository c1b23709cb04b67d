//! Decides whether a distributed resource is a good one: the checks of the operators' file, applied to single resources by
//! whoever publishes them and again by each node that takes them. Files of changes are read here, too: one change a line,
//! by the lexical rules of the operators' file.

use crate::read::{http_method, route_may_repeat, weight, wrong, Fault, Wrong, RIGHT_PATTERN};
use crate::words;
use ochrewalk_distribution::messages::{
    Endpoint, Limit, Quota, Resource, ResourceKind, ResourceName, Route, Value,
};
use ochrewalk_ingress::judge::MOST_TENANT;
use ochrewalk_ingress::routes::Routes;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The scope of all quotas: nodes fetch them one by one, not by scope.
pub const QUOTA_SCOPE: &str = "tenants";
/// The limit that requests without a stated memory count for, in KB.
pub const LIMIT_USUAL_MEMORY: &str = "usual-memory-kb";
/// Limits that a running node takes over, and the most that each may be.
const LIMITS: [(&str, f64); 1] = [(LIMIT_USUAL_MEMORY, 2_000.0)];

/// A change of a file: what a line may say.
const USAGES: [&str; 8] = [
    "route SCOPE HTTP-METHOD PATH METHOD",
    "quota TENANT PER-SECOND",
    "endpoint SCOPE ADDRESS:PORT WEIGHT ZONE",
    "limit SCOPE NAME AMOUNT",
    "delete route SCOPE HTTP-METHOD PATH",
    "delete quota TENANT",
    "delete endpoint SCOPE ADDRESS:PORT",
    "delete limit SCOPE NAME",
];

/// Why a resource is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name}: {wrong}; {right}")]
pub struct ResourceFault {
    /// The resource, as [`describe`] writes it.
    pub name: String,
    pub wrong: String,
    /// What would be right.
    pub right: String,
}

/// The methods of a node, by name, with their position and whether each may happen twice.
pub type MethodTable<'a> = HashMap<&'a str, (usize, bool)>;

/// The name of a route.
pub fn route_name(scope: &str, http: &str, path: &str) -> ResourceName {
    name(ResourceKind::Route, scope, &format!("{http} {path}"))
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

/// Checks what can be checked without a node: what no node could take is refused before it is published.
pub fn check(resource: &Resource) -> Result<(), ResourceFault> {
    let checked = match &resource.value {
        None => Ok(()),
        Some(Value::Route(route)) => check_route(&resource.name, route),
        Some(Value::Quota(quota)) => check_quota(&resource.name, quota),
        Some(Value::Endpoint(endpoint)) => check_endpoint(&resource.name, endpoint),
        Some(Value::Limit(limit)) => check_limit(&resource.name, limit),
    };
    checked.map_err(|why| fault(&resource.name, why))
}

/// Checks a route against the methods of a node, and gives the position of its method.
pub fn check_route_at(
    name: &ResourceName,
    route: &Route,
    methods: &MethodTable,
) -> Result<usize, ResourceFault> {
    let found = methods.get(route.method.as_str()).copied();
    let checked = match found {
        None => wrong(
            format!("{} is no method here", route.method),
            "route it to a method of the node's file".to_string(),
        ),
        Some((at, is_idempotent)) => {
            route_may_repeat(&route.http_method, &route.method, is_idempotent).map(|()| at)
        }
    };
    checked.map_err(|why| fault(name, why))
}

/// The address of an endpoint, from its name.
pub fn endpoint_address(name: &ResourceName) -> Option<SocketAddr> {
    name.name.parse().ok()
}

fn fault(name: &ResourceName, (wrong, right): Wrong) -> ResourceFault {
    ResourceFault { name: describe(name), wrong, right }
}

fn check_route(name: &ResourceName, route: &Route) -> Result<(), Wrong> {
    http_method(&route.http_method)?;
    Routes::check_pattern(&route.path).map_err(|why| (why, RIGHT_PATTERN.to_string()))?;
    if route.method.is_empty() {
        return wrong("the route has no method", "name a method of the node's file");
    }
    if name.name != format!("{} {}", route.http_method, route.path) {
        return wrong("the name is another than its HTTP method and path", "name it by both");
    }
    Ok(())
}

fn check_quota(name: &ResourceName, quota: &Quota) -> Result<(), Wrong> {
    if name.scope != QUOTA_SCOPE {
        return wrong(format!("a quota in scope {}", name.scope), format!("write scope {QUOTA_SCOPE}"));
    }
    let is_word = !name.name.is_empty() && name.name.bytes().all(|b| b.is_ascii_graphic());
    if !is_word || name.name.len() > MOST_TENANT {
        return wrong("the tenant is no word of printable letters", format!("write {MOST_TENANT} at most"));
    }
    if !quota.per_second.is_finite() || quota.per_second < 0.0 {
        return wrong(
            format!("{} is no quota", quota.per_second),
            "write RPCs a second over the whole fleet, 0 or more",
        );
    }
    Ok(())
}

fn check_endpoint(name: &ResourceName, endpoint: &Endpoint) -> Result<(), Wrong> {
    if endpoint_address(name).is_none_or(|at| at.port() == 0) {
        return wrong(format!("{} is no address", name.name), "write ADDRESS:PORT, with an IP address");
    }
    weight(&endpoint.weight.to_string()).map(|_| ())
}

fn check_limit(name: &ResourceName, limit: &Limit) -> Result<(), Wrong> {
    let Some((_, most)) = LIMITS.iter().find(|(known, _)| *known == name.name) else {
        let known: Vec<&str> = LIMITS.iter().map(|(known, _)| *known).collect();
        return wrong(format!("{} is no limit", name.name), format!("write one of {}", known.join(", ")));
    };
    if !(limit.amount > 0.0 && limit.amount < *most) {
        return wrong(
            format!("{} is out of range", limit.amount),
            format!("write a number above 0 and under {most}"),
        );
    }
    Ok(())
}

/// Reads a file of changes. Every fault is named by its line, all of them at once.
///
/// ```
/// use ochrewalk_operators::resources::read_changes;
/// let changes = read_changes("quota acme 12.5\ndelete quota old # gone\n", "changes").unwrap();
/// assert_eq!(changes.len(), 2);
/// let faults = read_changes("route shop get /a look\n", "changes").unwrap_err();
/// assert_eq!(faults[0].to_string(), "changes:1: get is no HTTP method; write one in capitals, such as POST");
/// ```
pub fn read_changes(text: &str, file: &str) -> Result<Vec<Resource>, Vec<Fault>> {
    let mut changes = Vec::new();
    let mut faults = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let read = match words::split(line) {
            Ok(words) if words.is_empty() => continue,
            Ok(words) => read_change(&words),
            Err(why) => wrong(why, "write \"a b\" for a word with a blank"),
        };
        match read {
            Ok(change) => changes.push(change),
            Err((wrong, right)) => faults.push(Fault { file: file.into(), line: at + 1, wrong, right }),
        }
    }
    if faults.is_empty() {
        Ok(changes)
    } else {
        Err(faults)
    }
}

fn read_change(words: &[String]) -> Result<Resource, Wrong> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (name, value) = match words.as_slice() {
        ["route", scope, http, path, method] => {
            let route = Route { http_method: (*http).into(), path: (*path).into(), method: (*method).into() };
            (route_name(scope, http, path), Some(Value::Route(route)))
        }
        ["quota", tenant, rate] => {
            (quota_name(tenant), Some(Value::Quota(Quota { per_second: number(rate)? })))
        }
        ["endpoint", scope, at, its_weight, zone] => {
            let endpoint = Endpoint { weight: weight(its_weight)?, zone: (*zone).into() };
            (endpoint_name(scope, address(at)?), Some(Value::Endpoint(endpoint)))
        }
        ["limit", scope, limit, amount] => {
            (limit_name(scope, limit), Some(Value::Limit(Limit { amount: number(amount)? })))
        }
        ["delete", "route", scope, http, path] => (route_name(scope, http, path), None),
        ["delete", "quota", tenant] => (quota_name(tenant), None),
        ["delete", "endpoint", scope, at] => (endpoint_name(scope, address(at)?), None),
        ["delete", "limit", scope, limit] => (limit_name(scope, limit), None),
        _ => return Err(unknown(&words)),
    };
    let change = Resource { name, revision: 0, value };
    check(&change).map_err(|fault| (fault.wrong, fault.right))?;
    Ok(change)
}

fn number(word: &str) -> Result<f64, Wrong> {
    word.parse::<f64>().map_err(|_| (format!("{word} is no number"), "write one such as 12.5".to_string()))
}

fn address(word: &str) -> Result<SocketAddr, Wrong> {
    let right = "write ADDRESS:PORT, with an IP address";
    word.parse().map_err(|_| (format!("{word} is no address"), right.to_string()))
}

fn unknown(words: &[&str]) -> Wrong {
    let begins = if words[0] == "delete" { words.iter().take(2).copied().collect() } else { vec![words[0]] };
    let begins = begins.join(" ");
    let is_whole = begins != "delete";
    let usage = USAGES.iter().find(|usage| is_whole && usage.starts_with(&format!("{begins} ")));
    match usage {
        Some(usage) => (format!("{begins} with {} words", words.len()), format!("write {usage}")),
        None => (
            format!("{begins} is no change"),
            "a line begins with route, quota, endpoint, limit or delete".to_string(),
        ),
    }
}
