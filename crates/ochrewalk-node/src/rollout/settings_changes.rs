//! Determines the changes of a plan's settings, and whether running nodes can apply them.

use super::error::RolloutError;
use ochrewalk_operator_config::{
    changes, ChangeClass, PlannedNode, RolloutPlan, Subject, Version as PlanVersion,
};
use std::collections::BTreeSet;

/// Returns the changes of all nodes as distinct lines; an empty text where the plan changes the program.
///
/// # Errors
/// A file cannot be read, a change needs a restart, or nothing would change.
pub(super) fn settings_changes(plan: &RolloutPlan) -> Result<String, RolloutError> {
    if plan.subject == Subject::Program {
        return Ok(String::new());
    }
    let (mut possible, mut need_restart) = (BTreeSet::new(), BTreeSet::new());
    for node in &plan.nodes {
        let old = read_settings(plan, node, PlanVersion::Old)?;
        let new = read_settings(plan, node, PlanVersion::New)?;
        for change in changes(&old, &new) {
            let needs_restart = change.class == ChangeClass::Restart;
            let lines = if needs_restart { &mut need_restart } else { &mut possible };
            lines.insert(change.to_string());
        }
    }
    if !need_restart.is_empty() {
        return Err(RolloutError::NeedsRestart(need_restart.into_iter().collect()));
    }
    if possible.is_empty() {
        return Err(RolloutError::SameMeaning);
    }
    Ok(possible.into_iter().map(|line| line + "\n").collect())
}

fn read_settings(
    plan: &RolloutPlan,
    node: &PlannedNode,
    version: PlanVersion,
) -> Result<String, RolloutError> {
    let path = plan.file(node, version);
    std::fs::read_to_string(&path).map_err(|source| RolloutError::File { path, source })
}
