//! Publishing the changes of a file, and what they would change.

use crate::arguments::ChangeArguments;
use crate::error::ConfigCommandError;
use crate::publisher_request::{request, show};
use ochrewalk_distribution::messages::{Body, Fetch, Publish, Resource, Value};
use ochrewalk_operators::resources::{describe, read_changes};
use std::collections::HashMap;
use std::fmt::Write;
use std::path::Path;

pub(crate) fn publish(arguments: &ChangeArguments) -> Result<String, ConfigCommandError> {
    let changes = changes_of(&arguments.file)?;
    let count = changes.len();
    let publish = Publish { changes, expected: arguments.expect };
    match request(&arguments.control, Body::Publish(publish))? {
        Body::Published(published) => {
            Ok(format!("published {count} changes as {}\n", show(published.position)))
        }
        _ => Err(ConfigCommandError::OtherAnswer),
    }
}

pub(crate) fn diff(arguments: &ChangeArguments) -> Result<String, ConfigCommandError> {
    let changes = changes_of(&arguments.file)?;
    let names = changes.iter().map(|change| change.name.clone()).collect();
    let Body::Fetched(fetched) = request(&arguments.control, Body::Fetch(Fetch { names }))? else {
        return Err(ConfigCommandError::OtherAnswer);
    };
    let published: HashMap<_, _> =
        fetched.resources.iter().map(|resource| (&resource.name, resource.value.as_ref())).collect();
    let mut text = format!("against {}:\n", show(fetched.position));
    for change in &changes {
        let before = published.get(&change.name).copied().flatten();
        if before != change.value.as_ref() {
            let (before, after) = (show_value(before), show_value(change.value.as_ref()));
            let _ = writeln!(text, "{}: {before} becomes {after}", describe(&change.name));
        }
    }
    Ok(text)
}

fn changes_of(file: &Path) -> Result<Vec<Resource>, ConfigCommandError> {
    let fault = |source| ConfigCommandError::File { path: file.into(), source };
    let text = std::fs::read_to_string(file).map_err(fault)?;
    let faults = |faults: Vec<ochrewalk_operators::Diagnostic>| {
        ConfigCommandError::Faults(faults.iter().map(|fault| fault.to_string()).collect())
    };
    read_changes(&text, &file.display().to_string()).map_err(faults)
}

fn show_value(value: Option<&Value>) -> String {
    match value {
        None => "nothing".into(),
        Some(Value::Route(route)) => route.method.clone(),
        Some(Value::Quota(quota)) => format!("{} a second", quota.per_second),
        Some(Value::Endpoint(endpoint)) => format!("weight {} in {}", endpoint.weight, endpoint.zone),
        Some(Value::Limit(limit)) => limit.amount.to_string(),
    }
}
