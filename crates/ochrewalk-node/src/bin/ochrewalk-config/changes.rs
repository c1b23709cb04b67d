//! Publishes the changes of a file, compares them with the published configuration, and rolls changes back.

use crate::arguments::ChangeArguments;
use crate::error::ConfigCommandError;
use crate::publisher_request::{format_position, request, request_change};
use ochrewalk_distribution::messages::{Body, Fetch, Fetched, Position, Publish, Resource, Rollback, Value};
use ochrewalk_operator_config::resources::{describe, read_changes};
use std::collections::HashMap;
use std::path::Path;

/// Publishes the changes of a file, all of them or none.
pub(crate) fn publish(arguments: &ChangeArguments) -> Result<String, ConfigCommandError> {
    let changes = read_change_file(&arguments.file)?;
    let count = changes.len();
    let publish = Publish { changes, expected: arguments.expect };
    let position = request_change(&arguments.control, Body::Publish(publish))?;
    Ok(format!("published {count} changes as {}\n", format_position(position)))
}

/// Undoes all changes after a position, by publishing a new revision.
pub(crate) fn rollback(control: &Path, to: Position) -> Result<String, ConfigCommandError> {
    let position = request_change(control, Body::Rollback(Rollback { to }))?;
    Ok(format!("published as {}\n", format_position(position)))
}

/// Compares the changes of a file with what is published.
pub(crate) fn diff(arguments: &ChangeArguments) -> Result<String, ConfigCommandError> {
    let changes = read_change_file(&arguments.file)?;
    let names = changes.iter().map(|change| change.name.clone()).collect();
    match request(&arguments.control, Body::Fetch(Fetch { names }))? {
        Body::Fetched(published) => Ok(format_diff(&changes, &published)),
        _ => Err(ConfigCommandError::UnexpectedReply),
    }
}

fn read_change_file(path: &Path) -> Result<Vec<Resource>, ConfigCommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigCommandError::File { path: path.into(), source })?;
    read_changes(&text, &path.display().to_string()).map_err(ConfigCommandError::InvalidChanges)
}

/// Formats a line for each resource that would change.
fn format_diff(changes: &[Resource], published: &Fetched) -> String {
    let resources = published.resources.iter();
    let values: HashMap<_, _> = resources.map(|resource| (&resource.name, resource.value.as_ref())).collect();
    let mut text = format!("against {}:\n", format_position(published.position));
    for change in changes {
        let before = values.get(&change.name).copied().flatten();
        let after = change.value.as_ref();
        if before != after {
            let (name, before, after) = (describe(&change.name), format_value(before), format_value(after));
            text.push_str(&format!("{name}: {before} becomes {after}\n"));
        }
    }
    text
}

fn format_value(value: Option<&Value>) -> String {
    match value {
        None => "nothing".into(),
        Some(Value::Route(route)) => route.method.clone(),
        Some(Value::Quota(quota)) => format!("{} a second", quota.per_second),
        Some(Value::Endpoint(endpoint)) => format!("weight {} in {}", endpoint.weight, endpoint.zone),
        Some(Value::Limit(limit)) => limit.amount.to_string(),
    }
}
