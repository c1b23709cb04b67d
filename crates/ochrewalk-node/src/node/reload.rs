//! Reloads a running node's files on SIGHUP, and puts the settings in force that can change without a restart.

use super::{Files, Node, RELOAD_ATTEMPTS};
use crate::net::ajp_ingress::ReloadableConfig;
use may::sync::mpsc::Sender;
use ochrewalk::deployment::Placement;
use ochrewalk_operator_config::{changes, ChangeClass, OperatorConfig};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// Reads the files again and puts the settings in force that can change. Returns false where the files cannot be used;
/// the caller then tries again. `attempts_left` counts this attempt, too.
pub(super) fn reload(
    node: &Node,
    report_now: &Sender<()>,
    files: &Files,
    placement: &mut Placement,
    operators_text: &mut String,
    attempts_left: u32,
) -> bool {
    let (text, fingerprint) = files.operators_text();
    let started = Instant::now();
    let (restart_only_changes, operators) = match files.read() {
        Ok((newer, operators)) => (placement.apply_reload(&newer), operators),
        Err(error) => {
            if attempts_left == RELOAD_ATTEMPTS || attempts_left == 1 {
                let consequence = if attempts_left == 1 {
                    "the previous configuration stays in force"
                } else {
                    "the files will be read again"
                };
                tracing::error!("SIGHUP: {error}; {consequence}");
            }
            return false;
        }
    };
    // A successor may need as long to read its files, and the time limits of a hand-over allow for that.
    node.reading_us.fetch_max(started.elapsed().as_micros() as u64, Ordering::Relaxed);
    let Placement { executor, directory, upstream, .. } = *placement;
    let upstream_name = upstream.map_or("none".into(), |address| address.to_string());
    tracing::info!("SIGHUP: executor {executor}, directory {directory}, upstream {upstream_name}");
    for key in restart_only_changes {
        tracing::warn!("SIGHUP: {key} has changed; the change takes effect at the next start");
    }
    // The next reload compares with this text only once all of it is in force.
    let not_in_force: Vec<_> = changes(operators_text, &text)
        .into_iter()
        .filter(|change| change.class != ChangeClass::Reload)
        .collect();
    for change in &not_in_force {
        tracing::warn!("SIGHUP: {change}: not in force yet");
    }
    node.settings_fingerprint.store(if not_in_force.is_empty() { fingerprint } else { 0 }, Ordering::Relaxed);
    if not_in_force.is_empty() {
        *operators_text = text;
    }
    // Of the operators' file, allowed peers, routes and rules, and upstream endpoints change now; all other settings
    // change at the next start.
    match &node.configuration {
        Some(configuration) => {
            for error in configuration.replace_file(operators.into()) {
                tracing::warn!("SIGHUP: distributed route is overridden by the file: {error}");
            }
        }
        None => apply_file(node, operators),
    }
    node.shared.executor.set_address(executor);
    if let (Some(line_upstream), Some(address)) = (&node.line_upstream, upstream) {
        line_upstream.set_address(address);
    }
    *node.directory_address.lock().expect("no panic occurs under this lock") = directory;
    let _ = report_now.send(());
    true
}

/// Puts the operators' file in force on a node without distributed configuration.
fn apply_file(node: &Node, operators: OperatorConfig) {
    if let (Some(ingress), Some(newer)) = (&node.ajp_ingress, operators.ajp_listener) {
        ingress.replace_config(ReloadableConfig {
            allowed_peers: newer.allowed_peers,
            rules: newer.rules,
            quotas: Arc::default(),
        });
    }
    if let (Some(upstream), Some(newer)) = (&node.ajp_upstream, &operators.ajp_upstream) {
        upstream.set_endpoints(&newer.endpoints);
    }
}
