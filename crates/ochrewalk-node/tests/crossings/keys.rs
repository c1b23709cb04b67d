//! Repeats of an idempotency key at the edges of a short window, across a reset and while the node leaves.

use crate::helper::*;
use crate::WARM;
use socket2::SockRef;

/// A window of 600 ms from the stamp of the try that ran.
const WINDOW_MS: u64 = 600;

fn start() -> (TestNode, Peer, Peer) {
    let stand = TestNode::start_with(|config| {
        config["settings"]["categories"][2]["window-ns"] = (WINDOW_MS * 1_000_000).into();
    });
    let mut executor = stand.executor();
    executor.send_line(WARM);
    let mut caller = stand.caller();
    caller.wait_healthy();
    (stand, executor, caller)
}

fn sale(number: u64, ts: u64) -> String {
    rpc_with(number, "sale", ts, r#","opkey":"aa""#)
}

/// Passes once the clock says so: what is judged is the window, which is a time.
fn wait_for(unix: u64) {
    while unix_ms() < unix {
        std::thread::yield_now();
    }
}

/// A repeat inside the window has the result and starts nothing; one outside starts anew. What counts is when a try came
/// to the machine, not when it was read.
#[test]
fn a_repeat_just_inside_a_short_window_starts_nothing_and_one_outside_does() {
    let (_stand, mut executor, mut caller) = start();
    let first = unix_ms();
    caller.send_line(&sale(1, first));
    assert_eq!(executor.read_until("EXEC"), exec(1, "sale"));
    executor.send_line(&exit(1, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
    wait_for(first + 2 * WINDOW_MS);
    for (number, inside) in [(2, 0), (3, WINDOW_MS / 2), (4, WINDOW_MS - 1), (5, WINDOW_MS)] {
        assert_eq!(caller.request(&sale(number, first + inside)), served(number), "after {inside} ms");
    }
    caller.send_line(&sale(6, first + 2 * WINDOW_MS));
    assert_eq!(executor.read_until("EXEC"), exec(6, "sale"));
    executor.send_line(&exit(2, 6, "complete"));
    assert_eq!(caller.read_line(), served(6));
}

/// The connection of the first try is reset while it runs: its repeat on another one has the result of that run.
#[test]
fn a_repeat_after_a_reset_has_the_result_of_the_run_that_was_under_way() {
    let (stand, mut executor, mut caller) = start();
    let mut lost = stand.caller();
    let first = unix_ms();
    lost.send_line(&sale(1, first));
    assert_eq!(executor.read_until("EXEC"), exec(1, "sale"));
    SockRef::from(&lost.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
    drop(lost);
    caller.send_line(&sale(2, first + 1));
    assert!(caller.request(HEARTBEAT).contains("pass"));
    executor.send_line(&exit(1, 1, "complete"));
    assert_eq!(caller.read_line(), served(2));
}

/// The node leaves between a try and its repeat: the repeat has the result and starts nothing.
#[test]
fn a_repeat_while_the_node_leaves_has_the_result() {
    let (mut stand, mut executor, mut caller) = start();
    let first = unix_ms();
    caller.send_line(&sale(1, first));
    assert_eq!(executor.read_until("EXEC"), exec(1, "sale"));
    stand.terminate();
    assert!(caller.read_line().contains("noMore"));
    executor.send_line(&exit(1, 1, "complete"));
    assert!(caller.read_line().contains(r#""id":1,"result""#));
    caller.send_line(&sale(2, first + 1));
    assert!(caller.read_line().contains(r#""id":2,"result":{"body":"UkVT""#));
    caller.expect_orderly_close();
    assert!(stand.wait().success());
}
