//! Reads the operators' plan, and converts it to the settings of the controller and of the analysis.

use super::error::RolloutError;
use ochrewalk_operator_config::RolloutPlan;
use ochrewalk_rollout::{AnalysisSettings, RolloutPolicy, StagePlan};
use std::path::{Path, PathBuf};

/// Reads a plan's file.
///
/// # Errors
/// The file cannot be read, or has faults.
pub fn read_plan(file: &Path) -> Result<RolloutPlan, RolloutError> {
    let text =
        std::fs::read_to_string(file).map_err(|source| RolloutError::File { path: file.into(), source })?;
    RolloutPlan::parse(&text, &file.display().to_string()).map_err(RolloutError::Plan)
}

/// Returns the stages, with the plan's zones numbered in the order of their names.
pub(super) fn stage_plan(plan: &RolloutPlan) -> Result<StagePlan, RolloutError> {
    let mut names: Vec<&String> = plan.nodes.iter().map(|node| &node.zone).collect();
    names.sort();
    names.dedup();
    let zone = |name: &String| names.binary_search(&name).map_or(0, |index| index as u32);
    let zones = plan.nodes.iter().map(|node| zone(&node.zone)).collect();
    Ok(StagePlan::new(zones, plan.stages.clone(), plan.max_unavailable)?)
}

/// Returns the policy of the plan.
pub(super) fn policy(plan: &RolloutPlan) -> RolloutPolicy {
    RolloutPolicy {
        commit_confirmed: plan.confirm_timeout_us > 0,
        restart_stuck_nodes: plan.restarts_stuck_nodes,
    }
}

/// Returns the thresholds of the analysis, with times converted to numbers of samples.
pub(super) fn analysis_settings(plan: &RolloutPlan) -> AnalysisSettings {
    let samples = |time_us: u64| (time_us / plan.sample_interval_us).max(1) as u32;
    AnalysisSettings {
        harm: plan.harm,
        min_samples: samples(plan.min_stage_us),
        max_samples: samples(plan.max_stage_us),
        max_silent_samples: samples(plan.max_silence_us),
        ..AnalysisSettings::default()
    }
}

/// Returns the path of the socket for commands to a running controller.
pub(super) fn operator_socket_path(plan: &RolloutPlan) -> PathBuf {
    with_record_suffix(plan, ".sock")
}

/// Returns the path of the rollout's log.
pub(super) fn log_path(plan: &RolloutPlan) -> PathBuf {
    with_record_suffix(plan, ".log")
}

/// Returns the path of the file that is locked while a controller runs.
pub(super) fn lock_path(plan: &RolloutPlan) -> PathBuf {
    with_record_suffix(plan, ".lock")
}

/// Returns the record's path with a suffix.
fn with_record_suffix(plan: &RolloutPlan, suffix: &str) -> PathBuf {
    let mut name = plan.record.as_os_str().to_owned();
    name.push(suffix);
    PathBuf::from(name)
}
