//! Drains a node before its process exits: the node accepts no new work, answers every request that it has read, and
//! writes every answer.

use super::Node;
use crate::clock::channel_timeout;
use crate::coordinator::DrainNotice;
use crate::net::listener::close_listener;
use crate::shared_state::SharedState;
use may::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// The part of `stop_ms` after the coordinator's deadline. The listeners close at its start.
const FLUSH_MS: u64 = 300;
/// The part of `stop_ms` in which connections close once their last answers are written.
const CLOSE_MS: u64 = 200;
/// The part of `stop_ms` that is reserved for the exit of the process.
pub(super) const EXIT_MS: u64 = 120;

/// Drains the node within `stop_ms` of the notice, which came at `notified`: no new work is accepted, every request that was
/// read is answered, and every answer is written. A message on `report_now` reports the change of health to the directory.
pub(super) fn drain(node: &Node, notified: Instant, stop_ms: u64, report_now: &Sender<()>) {
    let SharedState { clock, coordinator, .. } = &*node.shared;
    let notified_us = clock.now_us().saturating_sub(notified.elapsed().as_micros() as u64);
    let sleep_until = |ms: u64| {
        let until_us = notified_us + ms * 1_000;
        while let Some(left_us) = until_us.checked_sub(clock.now_us()).filter(|left_us| *left_us > 0) {
            may::coroutine::sleep(channel_timeout(left_us));
        }
    };
    let deadline_us = notified_us + stop_ms.saturating_sub(FLUSH_MS) * 1_000;
    coordinator.drain(DrainNotice { at_us: notified_us, deadline_us });
    let _ = report_now.send(());
    node.dispatchers.drain();
    if let Some(ingress) = &node.ajp_ingress {
        ingress.drain();
    }
    sleep_until(stop_ms.saturating_sub(FLUSH_MS));
    close_listener(&node.dispatchers);
    if let Some(ingress) = &node.ajp_ingress {
        close_listener(ingress);
    }
    // A client that connected just before the listeners closed still sends its request, and gets an answer.
    sleep_until(stop_ms.saturating_sub(CLOSE_MS));
    node.dispatchers.request_close();
    if let Some(ingress) = &node.ajp_ingress {
        ingress.request_close();
    }
    let open_connections =
        || node.dispatchers.count() + node.ajp_ingress.as_ref().map_or(0, |ingress| ingress.count());
    // Bytes that still arrive are read: the close of a connection with unread bytes would reset it, and the client could
    // lose its answer.
    while clock.now_us() < notified_us + stop_ms.saturating_sub(EXIT_MS) * 1_000 && open_connections() > 0 {
        may::coroutine::sleep(Duration::from_millis(5));
    }
    tracing::info!(
        "drained: {} RPCs and {} connections are still open",
        coordinator.open_request_count(),
        open_connections()
    );
}
