//! Waits for may's channels: few lengths of time, none too long, and near enough.

use ochrewalk_node::clock::channel_timeout;
use std::collections::BTreeSet;

/// So many lengths of time may keeps a list for without ever freeing one; our fixed sleeps and patience are some more.
const KEPT_BY_MAY: usize = 1_024;

#[test]
fn waits_are_of_few_lengths_however_long_a_node_runs() {
    let hour_ms = 3_600_000;
    let waits: BTreeSet<_> = (1..=hour_ms).map(|ms| channel_timeout(ms * 1_000)).collect();
    assert!(waits.len() < KEPT_BY_MAY * 2 / 3, "{} lengths", waits.len());
    for ms in (1..=hour_ms).step_by(37) {
        let wait_ms = channel_timeout(ms * 1_000).as_millis() as u64;
        assert!(wait_ms <= ms && wait_ms >= 1, "{wait_ms} for {ms}: an answer would be late");
        assert!(ms - wait_ms <= ms / 32 + 1, "{wait_ms} for {ms}: it would wake too often");
    }
}
