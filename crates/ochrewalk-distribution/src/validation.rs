//! Decides which changes a publisher accepts. The checks consider one change at a time; the store checks everything that
//! depends on its state.

use crate::messages::{Position, Resource, ResourceKind, ResourceName, Route, Value};

/// The most changes in one batch, so that no batch delays other updates for long.
pub const MAX_BATCH_CHANGES: usize = 5_000;
/// The longest scope, name or other short text, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The longest path of a route, in bytes.
pub const MAX_PATH_BYTES: usize = 1_024;
/// The most reasons that a refusal lists.
pub const MAX_REASONS: usize = 100;

/// A batch was refused, and none of its changes was applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("batch refused: {}", join_reasons(reasons))]
pub struct PublishError {
    /// The reasons for the refusal, at most [`MAX_REASONS`].
    pub reasons: Vec<RefusalReason>,
}

impl PublishError {
    /// Returns the reasons as the texts that the message `Refused` contains.
    pub fn texts(&self) -> Vec<String> {
        self.reasons.iter().map(ToString::to_string).collect()
    }
}

/// A reason for which a batch is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RefusalReason {
    /// The batch contains no changes.
    #[error("the batch is empty")]
    EmptyBatch,
    /// The batch has more changes than the bound allows.
    #[error("the batch has {changes} changes, more than {MAX_BATCH_CHANGES}")]
    TooManyChanges {
        /// The number of changes in the batch.
        changes: usize,
    },
    /// Another publisher has taken over.
    #[error("a publisher of epoch {observed} has taken over from this one of epoch {own}")]
    Fenced {
        /// The epoch of this publisher.
        own: u64,
        /// The highest epoch observed.
        observed: u64,
    },
    /// The state has changed since the operator read it.
    #[error("the state is at {actual:?}, not at the expected {expected:?}")]
    UnexpectedPosition {
        /// The position that the operator expects.
        expected: Position,
        /// The position of the state.
        actual: Position,
    },
    /// A change is invalid by itself, or does not match the state.
    #[error("change {index}: {problem}")]
    InvalidChange {
        /// The index of the change in the batch.
        index: usize,
        /// The problem of the change.
        problem: ChangeProblem,
    },
}

/// A problem of one change of a batch.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeProblem {
    /// The name is of a kind that this version does not know.
    #[error("the kind {kind} is unknown")]
    UnknownKind {
        /// The number of the kind.
        kind: i32,
    },
    /// A required text is missing.
    #[error("{field} is empty")]
    EmptyText {
        /// The field with the text.
        field: &'static str,
    },
    /// A text is longer than its bound.
    #[error("{field} has {bytes} bytes, more than {limit}")]
    TextTooLong {
        /// The field with the text.
        field: &'static str,
        /// The length of the text, in bytes.
        bytes: usize,
        /// The bound, in bytes.
        limit: usize,
    },
    /// A text has control characters.
    #[error("{field} has control characters")]
    ControlCharacters {
        /// The field with the text.
        field: &'static str,
    },
    /// The value is not of the kind of its name.
    #[error("the value is a {value:?}, but the name is of a {name:?}")]
    WrongKindOfValue {
        /// The kind of the name.
        name: ResourceKind,
        /// The kind of the value.
        value: ResourceKind,
    },
    /// A number is negative, infinite or not a number.
    #[error("{field} is not a finite number of zero or more")]
    InvalidNumber {
        /// The field with the number.
        field: &'static str,
    },
    /// Two changes of a batch have the same name.
    #[error("the same name is in the batch twice")]
    DuplicateName,
    /// The change deletes a resource that does not exist.
    #[error("there is no such resource to delete")]
    DeletesMissing,
}

fn join_reasons(reasons: &[RefusalReason]) -> String {
    reasons.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Returns all problems of `change` by itself.
pub(crate) fn change_problems(change: &Resource) -> Vec<ChangeProblem> {
    let mut problems = name_problems(&change.name);
    if let Some(value) = &change.value {
        check_value_kind(&change.name, value, &mut problems);
        check_value(value, &mut problems);
    }
    problems
}

/// Returns all problems of `name`.
pub(crate) fn name_problems(name: &ResourceName) -> Vec<ChangeProblem> {
    let mut problems = Vec::new();
    if name.kind() == ResourceKind::Unknown {
        problems.push(ChangeProblem::UnknownKind { kind: name.kind });
    }
    check_text("scope", &name.scope, MAX_NAME_BYTES, &mut problems);
    check_required_text("name", &name.name, MAX_NAME_BYTES, &mut problems);
    problems
}

fn check_value_kind(name: &ResourceName, value: &Value, problems: &mut Vec<ChangeProblem>) {
    let (name, value) = (name.kind(), value.kind());
    if name != ResourceKind::Unknown && name != value {
        problems.push(ChangeProblem::WrongKindOfValue { name, value });
    }
}

fn check_value(value: &Value, problems: &mut Vec<ChangeProblem>) {
    match value {
        Value::Route(route) => check_route(route, problems),
        Value::Quota(quota) => check_number("quota", quota.per_second, problems),
        Value::Endpoint(endpoint) => {
            check_number("weight", endpoint.weight, problems);
            check_text("zone", &endpoint.zone, MAX_NAME_BYTES, problems);
        }
        Value::Limit(limit) => check_number("limit", limit.amount, problems),
    }
}

fn check_route(route: &Route, problems: &mut Vec<ChangeProblem>) {
    check_required_text("HTTP method", &route.http_method, MAX_NAME_BYTES, problems);
    check_required_text("path", &route.path, MAX_PATH_BYTES, problems);
    check_required_text("method", &route.method, MAX_NAME_BYTES, problems);
}

fn check_required_text(field: &'static str, text: &str, limit: usize, problems: &mut Vec<ChangeProblem>) {
    if text.is_empty() {
        problems.push(ChangeProblem::EmptyText { field });
    }
    check_text(field, text, limit, problems);
}

fn check_text(field: &'static str, text: &str, limit: usize, problems: &mut Vec<ChangeProblem>) {
    if text.len() > limit {
        problems.push(ChangeProblem::TextTooLong { field, bytes: text.len(), limit });
    }
    if text.chars().any(char::is_control) {
        problems.push(ChangeProblem::ControlCharacters { field });
    }
}

fn check_number(field: &'static str, number: f64, problems: &mut Vec<ChangeProblem>) {
    if !number.is_finite() || number < 0.0 {
        problems.push(ChangeProblem::InvalidNumber { field });
    }
}
