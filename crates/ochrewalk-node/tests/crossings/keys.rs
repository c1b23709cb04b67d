//! Tests repeats of an idempotency key at the bounds of a short window, after a reset and during a drain.

use crate::helper::*;
use crate::WARM_WELCOME;
use socket2::SockRef;

/// The length of the window, which begins at the time stamp of the attempt that ran.
const WINDOW_MS: u64 = 600;

fn start() -> (TestNode, Peer, Peer) {
    let node = TestNode::start_with(|config| {
        config["settings"]["categories"][2]["window-ns"] = (WINDOW_MS * 1_000_000).into();
    });
    let mut executor = node.executor();
    executor.send_line(WARM_WELCOME);
    let mut caller = node.caller();
    caller.wait_healthy();
    (node, executor, caller)
}

fn sale(number: u64, ts: u64) -> String {
    rpc_with(number, "sale", ts, r#","opkey":"aa""#)
}

/// Waits until this Unix time in milliseconds, as the window that is tested is a time.
fn wait_until(time_ms: u64) {
    while unix_ms() < time_ms {
        std::thread::yield_now();
    }
}

/// A repeat within the window gets the result and starts no run; a repeat after the window starts another run. The time that
/// counts is when an attempt arrived at the machine, not when it was read.
#[test]
fn a_repeat_at_the_end_of_a_short_window_starts_no_run_and_one_after_it_does() {
    let (_node, mut executor, mut caller) = start();
    let first_ms = unix_ms();
    caller.send_line(&sale(1, first_ms));
    assert_eq!(executor.read_until("EXEC"), exec(1, "sale"));
    executor.send_line(&exit(1, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
    wait_until(first_ms + 2 * WINDOW_MS);
    for (number, inside) in [(2, 0), (3, WINDOW_MS / 2), (4, WINDOW_MS - 1), (5, WINDOW_MS)] {
        assert_eq!(caller.request(&sale(number, first_ms + inside)), served(number), "after {inside} ms");
    }
    caller.send_line(&sale(6, first_ms + 2 * WINDOW_MS));
    assert_eq!(executor.read_until("EXEC"), exec(6, "sale"));
    executor.send_line(&exit(2, 6, "complete"));
    assert_eq!(caller.read_line(), served(6));
}

/// The connection of the first attempt is reset during its run: the repeat on another connection gets the result of that run.
#[test]
fn a_repeat_after_a_reset_gets_the_result_of_the_run_in_progress() {
    let (node, mut executor, mut caller) = start();
    let mut lost = node.caller();
    let first_ms = unix_ms();
    lost.send_line(&sale(1, first_ms));
    assert_eq!(executor.read_until("EXEC"), exec(1, "sale"));
    SockRef::from(&lost.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
    drop(lost);
    caller.send_line(&sale(2, first_ms + 1));
    assert!(caller.request(HEARTBEAT).contains("pass"));
    executor.send_line(&exit(1, 1, "complete"));
    assert_eq!(caller.read_line(), served(2));
}

/// A drain begins between an attempt and its repeat: the repeat gets the result and starts no run.
#[test]
fn a_repeat_during_a_drain_gets_the_result() {
    let (mut node, mut executor, mut caller) = start();
    let first_ms = unix_ms();
    caller.send_line(&sale(1, first_ms));
    assert_eq!(executor.read_until("EXEC"), exec(1, "sale"));
    node.terminate();
    assert!(caller.read_line().contains("noMore"));
    executor.send_line(&exit(1, 1, "complete"));
    assert!(caller.read_line().contains(r#""id":1,"result""#));
    caller.send_line(&sale(2, first_ms + 1));
    assert!(caller.read_line().contains(r#""id":2,"result":{"body":"UkVT""#));
    caller.expect_orderly_close();
    assert!(node.wait().success());
}
