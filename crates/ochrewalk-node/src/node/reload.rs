//! What a node takes over from its files when it is told to read them again.

use super::{Files, Node, READINGS};
use crate::net::ajp_ingress::ReloadableConfig;
use may::sync::mpsc::Sender;
use ochrewalk::deployment::Placement;
use ochrewalk_operator_config::{changes, ChangeClass, OperatorConfig};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// Reads the file again and takes over what may change. False where it can't be used and is worth another try.
pub(super) fn read_again(
    node: &Node,
    report_now: &Sender<()>,
    files: &Files,
    placement: &mut Placement,
    operators_text: &mut String,
    readings: u32,
) -> bool {
    let (text, print) = files.operators_text();
    let reading = Instant::now();
    let (left_alone, operators) = match files.read() {
        Ok((newer, operators)) => (placement.apply_reload(&newer), operators),
        Err(why) => {
            if readings == READINGS || readings == 1 {
                let then = if readings == 1 { "the old figures stay" } else { "it is read again" };
                tracing::error!("SIGHUP: {why}; {then}");
            }
            return false;
        }
    };
    // A successor may have as much to read.
    node.reading_us.fetch_max(reading.elapsed().as_micros() as u64, Ordering::Relaxed);
    let Placement { executor, directory, upstream: below, .. } = *placement;
    let below_name = below.map_or("nothing".into(), |at| at.to_string());
    tracing::info!("SIGHUP: executor {executor}, directory {directory}, below {below_name}");
    for key in left_alone {
        tracing::warn!("SIGHUP: {key} has changed; it takes effect with the next start only");
    }
    // What is in force stays the measure until all of the newer file is.
    let waiting: Vec<_> = changes(operators_text, &text)
        .into_iter()
        .filter(|change| change.class != ChangeClass::Reload)
        .collect();
    for change in &waiting {
        tracing::warn!("SIGHUP: {change}: not in force yet");
    }
    node.settings.store(if waiting.is_empty() { print } else { 0 }, Ordering::Relaxed);
    if waiting.is_empty() {
        *operators_text = text;
    }
    // Who may connect, what requests stand for, and where calls go; the rest takes effect with the next start.
    match &node.configuration {
        Some(configuration) => {
            for fault in configuration.replace_file(operators.into()) {
                tracing::warn!("SIGHUP: distributed configuration left out: {fault}");
            }
        }
        None => take_over_file(node, operators),
    }
    node.core.executor.set_address(executor);
    if let (Some(links), Some(at)) = (&node.store, below) {
        links.set_address(at);
    }
    *node.directory.lock().expect("never held over a panic") = directory;
    let _ = report_now.send(());
    true
}

fn take_over_file(node: &Node, operators: OperatorConfig) {
    if let (Some(front), Some(newer)) = (&node.ajp, operators.ajp_listener) {
        front.replace_config(ReloadableConfig {
            allowed_peers: newer.allowed_peers,
            rules: newer.rules,
            quotas: Arc::default(),
        });
    }
    if let (Some(by_ajp), Some(newer)) = (&node.by_ajp, &operators.ajp_upstream) {
        by_ajp.set_endpoints(&newer.endpoints);
    }
}
