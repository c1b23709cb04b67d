//! How a node leaves: no new work, all that was read answered, every answer written.

use super::Node;
use crate::net::listener::close_listener;
use crate::shared_state::SharedState;
use may::sync::mpsc::Sender;
use std::time::Duration;

/// Of `stop_ms`, what is kept for the last answers to be written, and for the process to end.
const FLUSH_MS: u64 = 300;
const LAST_MS: u64 = 200;
pub(super) const END_MS: u64 = 120;

/// Leaves: no new work is asked for, all that was read is answered, and every answer is written.
pub(super) fn leave(node: &Node, stop_ms: u64, report_now: &Sender<()>) {
    let SharedState { clock, coordinator, .. } = &*node.core;
    let from_us = clock.now_us();
    let at = |ms: u64| {
        let until_us = from_us + ms * 1_000;
        may::coroutine::sleep(Duration::from_micros(until_us.saturating_sub(clock.now_us())));
    };
    coordinator.drain(stop_ms.saturating_sub(FLUSH_MS) * 1_000);
    let _ = report_now.send(());
    node.dispatchers.drain();
    if let Some(front) = &node.ajp {
        front.drain();
    }
    at(stop_ms.saturating_sub(FLUSH_MS));
    close_listener(&node.dispatchers);
    if let Some(front) = &node.ajp {
        close_listener(front);
    }
    // Who connected just before still writes, and gets an answer.
    at(stop_ms.saturating_sub(LAST_MS));
    node.dispatchers.request_close();
    if let Some(front) = &node.ajp {
        front.request_close();
    }
    let connections = || node.dispatchers.count() + node.ajp.as_ref().map_or(0, |front| front.count());
    // What is still on its way to us is read, so that no answer is reset.
    while clock.now_us() < from_us + stop_ms.saturating_sub(END_MS) * 1_000 && connections() > 0 {
        may::coroutine::sleep(Duration::from_millis(5));
    }
    tracing::info!("{} RPCs and {} connections left", coordinator.open_request_count(), connections());
}
