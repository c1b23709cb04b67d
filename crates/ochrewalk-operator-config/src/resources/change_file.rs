//! Parses files of changes to distributed resources: one change per line, with the lexical rules of the operators' file.

use super::{check, endpoint_name, limit_name, quota_name, route_name};
use crate::diagnostic::{line_error, Diagnostic, LineError};
use crate::lexer::split_words;
use crate::values::weight;
use ochrewalk_distribution::messages::{Endpoint, Limit, Quota, Resource, Route, Value};
use std::net::SocketAddr;

/// The syntax of each change.
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

const DELETE: &str = "delete";

/// Parses a file of changes. `file` is its name in diagnostics.
///
/// # Errors
/// Returns the errors of all invalid lines, in the order of the lines.
///
/// ```
/// use ochrewalk_operator_config::resources::read_changes;
/// let changes = read_changes("quota acme 12.5\ndelete quota old # gone\n", "changes").unwrap();
/// assert_eq!(changes.len(), 2);
/// let diagnostics = read_changes("route shop get /a look\n", "changes").unwrap_err();
/// assert_eq!(diagnostics[0].to_string(), "changes:1: get is no HTTP method; write one in capitals, such as POST");
/// ```
pub fn read_changes(text: &str, file: &str) -> Result<Vec<Resource>, Vec<Diagnostic>> {
    let mut changes = Vec::new();
    let mut diagnostics = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        let change = match split_words(line) {
            Ok(words) if words.is_empty() => continue,
            Ok(words) => read_change(&words),
            Err(error) => Err(error),
        };
        match change {
            Ok(change) => changes.push(change),
            Err(error) => diagnostics.push(error.at(file, number)),
        }
    }
    if diagnostics.is_empty() {
        Ok(changes)
    } else {
        Err(diagnostics)
    }
}

fn read_change(words: &[String]) -> Result<Resource, LineError> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (name, value) = match words.as_slice() {
        ["route", scope, http_method, path, method] => {
            let route =
                Route { http_method: (*http_method).into(), path: (*path).into(), method: (*method).into() };
            (route_name(scope, http_method, path), Some(Value::Route(route)))
        }
        ["quota", tenant, rate] => {
            (quota_name(tenant), Some(Value::Quota(Quota { per_second: number(rate)? })))
        }
        ["endpoint", scope, word, capacity, zone] => {
            let endpoint = Endpoint { weight: weight(capacity)?, zone: (*zone).into() };
            (endpoint_name(scope, address(word)?), Some(Value::Endpoint(endpoint)))
        }
        ["limit", scope, limit, amount] => {
            (limit_name(scope, limit), Some(Value::Limit(Limit { amount: number(amount)? })))
        }
        [DELETE, "route", scope, http_method, path] => (route_name(scope, http_method, path), None),
        [DELETE, "quota", tenant] => (quota_name(tenant), None),
        [DELETE, "endpoint", scope, word] => (endpoint_name(scope, address(word)?), None),
        [DELETE, "limit", scope, limit] => (limit_name(scope, limit), None),
        _ => return Err(unknown(&words)),
    };
    let change = Resource { name, revision: 0, value };
    check(&change).map_err(|invalid| LineError::new(invalid.problem, invalid.suggestion))?;
    Ok(change)
}

fn number(word: &str) -> Result<f64, LineError> {
    word.parse::<f64>().or_else(|_| line_error(format!("{word} is no number"), "write one such as 12.5"))
}

fn address(word: &str) -> Result<SocketAddr, LineError> {
    let address = word.parse();
    address.or_else(|_| line_error(format!("{word} is no address"), "write ADDRESS:PORT, with an IP address"))
}

/// Returns the error for a line that is not a change, with the syntax if its first words are known.
fn unknown(words: &[&str]) -> LineError {
    let name_words = if words[0] == DELETE { 2 } else { 1 };
    let name = words.iter().take(name_words).copied().collect::<Vec<_>>().join(" ");
    let prefix = format!("{name} ");
    let usage = USAGES.iter().find(|usage| name != DELETE && usage.starts_with(&prefix));
    match usage {
        Some(usage) => LineError::new(format!("{name} with {} words", words.len()), format!("write {usage}")),
        None => LineError::new(
            format!("{name} is no change"),
            "a line begins with route, quota, endpoint, limit or delete",
        ),
    }
}
