//! Time-outs for channels of `may`: few distinct lengths, none above the requested time, and none far below it.

use ochrewalk_node::clock::channel_timeout;
use std::collections::BTreeSet;

/// The number of lengths of time for which `may` retains a list. The node's fixed sleeps and timeouts need some of
/// them.
const LISTS_RETAINED_BY_MAY: usize = 1_024;

#[test]
fn timeouts_have_few_distinct_lengths() {
    let hour_ms = 3_600_000;
    let timeouts: BTreeSet<_> = (1..=hour_ms).map(|ms| channel_timeout(ms * 1_000)).collect();
    assert!(timeouts.len() < LISTS_RETAINED_BY_MAY * 2 / 3, "{} lengths", timeouts.len());
    for ms in (1..=hour_ms).step_by(37) {
        let timeout_ms = channel_timeout(ms * 1_000).as_millis() as u64;
        assert!(timeout_ms <= ms && timeout_ms >= 1, "{timeout_ms} ms for {ms} ms: an answer would be late");
        assert!(
            ms - timeout_ms <= ms / 32 + 1,
            "{timeout_ms} ms for {ms} ms: the waiter would wake too often"
        );
    }
}
