//! Tests the receiver of signals to the node, with signals to this test process.

use ochrewalk_node::signals::{NodeSignal, SignalReceiver};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::raise;
use std::time::Duration;

/// The time limit for a signal to arrive, far longer than it takes.
const TIMEOUT: Option<Duration> = Some(Duration::from_secs(10));

/// Guards against a request to reload that is thrown away while a successor looks for a notice to drain.
#[test]
fn a_notice_comes_before_a_reload_and_neither_is_lost() {
    let mut signals = SignalReceiver::register().unwrap();
    assert!(signals.pending_notice().is_none());
    [SIGHUP, SIGTERM].into_iter().for_each(|number| raise(number).unwrap());
    while signals.pending_notice().is_none() {
        std::thread::yield_now();
    }
    assert!(signals.pending_notice().is_some(), "a notice stays pending");
    let mut next = || signals.next(TIMEOUT).map(|received| received.signal);
    assert_eq!(next(), Some(NodeSignal::Terminate));
    assert_eq!(next(), Some(NodeSignal::Reload));
    raise(SIGINT).unwrap();
    assert_eq!(next(), Some(NodeSignal::Interrupt));
    assert!(signals.next(Some(Duration::ZERO)).is_none());
}
