//! The process is told to end, and something comes in that instant.

use crate::helper::*;
use crate::{is_unseen, WARM};

/// Answers after which a node takes its executor for one that can be relied on.
const GAUGES: usize = 5;
const NO_MORE: &str = r#"{"jsonrpc":"2.0","method":"noMore"}"#;

/// The executor comes up only once the node was told to leave: nothing is begun any more.
#[test]
fn an_executor_that_comes_up_after_sigterm_starts_nothing() {
    let mut stand = TestNode::start_with(|config| config["settings"]["rules"]["drain-grace-ns"] = 0.into());
    let mut executor = stand.executor();
    let mut caller = stand.caller();
    assert!(caller.request(HEARTBEAT).contains("\"pass\":false"));
    stand.terminate();
    assert_eq!(caller.read_line(), NO_MORE);
    executor.send_line(WARM);
    // The gauges are asked for once it is up.
    executor.expect_gauge_request();
    caller.send_line(&rpc_with(2, "look", unix_ms() + 60_000, ""));
    assert!(is_unseen(&caller.read_line(), 2));
    assert!(caller.request(HEARTBEAT).contains("\"pass\":false"));
    assert_eq!(executor.read_line(), "", "something was begun");
    assert!(stand.wait().success());
}

/// Signals that come again while it leaves change nothing: what runs is answered, and the process ends in order.
#[test]
fn a_second_sigterm_and_a_sighup_while_it_leaves_lose_nothing() {
    let (mut stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    caller.send_line(&rpc(1, "look"));
    executor.read_until(&exec(1, "look"));
    stand.terminate();
    assert_eq!(caller.read_line(), NO_MORE);
    stand.signal("-HUP");
    stand.terminate();
    executor.send_line(&exit(1, 1, "complete"));
    assert!(caller.read_line().contains(r#""id":1,"result""#));
    // Its end is in order, though it had begun another line.
    caller.write_bytes(b"{\"jsonrpc\":\"2.0\",\"id\":2,");
    caller.expect_orderly_close();
    assert!(stand.wait().success());
}

/// Several RPCs, a revoke and half a line in one segment, just when the node is told to leave: one answer for each whole
/// RPC that was not taken back, none for the others.
#[test]
fn a_segment_that_crosses_sigterm_is_answered_line_by_line() {
    let (mut stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    assert!(caller.request(HEARTBEAT).contains("pass"));
    stand.signal("-STOP");
    stand.terminate();
    let revoke = r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":2}}"#;
    let text = format!("{}\n{}\n{revoke}\n{}\n{}", rpc(1, "look"), rpc(2, "look"), rpc(3, "once"), "{\"js");
    caller.write_bytes(text.as_bytes());
    stand.signal("-CONT");
    std::thread::spawn(move || {
        let mut pos = 0;
        loop {
            let line = executor.read_line();
            if line.is_empty() {
                return;
            }
            if let Some(at) = line.find("\"action\":\"EXEC\",\"uid\":\"") {
                pos += 1;
                let number = u64::from_str_radix(&line[at + 23..at + 39], 16).unwrap();
                executor.send_line(&exit(pos, number, "complete"));
            }
        }
    });
    let mut answers = [0; 4];
    loop {
        let line = caller.read_line();
        if line.is_empty() {
            break;
        }
        for (number, answers) in answers.iter_mut().enumerate() {
            *answers += usize::from(line.contains(&format!("\"id\":{number},")));
        }
    }
    assert_eq!(answers, [0, 1, 1, 1]);
    assert!(stand.wait().success());
}

/// One that takes nothing of what it is answered does not hold up the end.
#[test]
fn a_caller_that_reads_nothing_does_not_hold_the_exit() {
    let mut stand = TestNode::start_with(|config| config["stop_ms"] = 4_000.into());
    let mut executor = stand.executor();
    executor.send_line(WARM);
    let mut caller = stand.caller();
    caller.wait_healthy();
    let mut slow = stand.caller();
    slow.stream.set_nonblocking(true).unwrap();
    use std::io::Write;
    let line = format!("{HEARTBEAT}\n").repeat(100);
    while slow.stream.write(line.as_bytes()).is_ok() {}
    // A busy machine takes a while for what was written. The executor has not said how it is meanwhile, and the node turns
    // RPCs away until it has.
    for _ in 0..GAUGES {
        executor.expect_gauge_request();
    }
    caller.send_line(&rpc(1, "look"));
    executor.read_until(&exec(1, "look"));
    stand.terminate();
    assert_eq!(caller.read_line(), NO_MORE);
    executor.send_line(&exit(1, 1, "complete"));
    assert!(caller.read_line().contains(r#""id":1,"result""#));
    caller.expect_orderly_close();
    assert!(stand.wait().success());
}

/// Killed with RPCs in flight, and started again at once: the new one asks for notices from the beginning and serves.
#[test]
fn a_node_that_was_killed_with_rpcs_in_flight_serves_again() {
    let (stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    for number in 1..=3 {
        caller.send_line(&rpc(number, "look"));
    }
    executor.read_until(&exec(2, "look"));
    let stand = stand.restart();
    assert_eq!(caller.read_line(), "");
    let mut executor = stand.executor();
    let mut caller = stand.caller();
    // Until the executor is up it takes nothing.
    caller.send_line(&rpc(4, "look"));
    assert!(is_unseen(&caller.read_line(), 4));
    executor.send_line(WARM);
    caller.wait_healthy();
    caller.send_line(&rpc(5, "look"));
    executor.read_until(&exec(5, "look"));
    executor.send_line(&exit(1, 5, "complete"));
    assert_eq!(caller.read_line(), served(5));
}
