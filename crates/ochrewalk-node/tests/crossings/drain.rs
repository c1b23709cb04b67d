//! Tests a drain (SIGTERM) at whose start something else arrives.

use crate::helper::*;
use crate::{is_rejected, AJP_DIRECTIVES, WARM_WELCOME};
use ochrewalk_lab::ajp::{piece, Call, Peer as AjpPeer};
use std::io::ErrorKind;
use std::time::Duration;

/// The number of answers about gauges after which a node treats its executor as reliable.
const RELIABLE_AFTER: usize = 5;
/// The time by which the rules let a grace be longer.
const GRACE_SLACK: Duration = Duration::from_millis(50);
/// The time limit of every wait, far longer than any successful operation takes.
const TIMEOUT: Duration = Duration::from_secs(10);
const NO_MORE: &str = r#"{"jsonrpc":"2.0","method":"noMore"}"#;

/// An executor that starts only after the drain has begun gets no run.
#[test]
fn an_executor_that_starts_after_sigterm_gets_no_run() {
    let mut node = TestNode::start_with(|config| config["settings"]["rules"]["drain-grace-ns"] = 0.into());
    let mut executor = node.executor();
    let mut caller = node.caller();
    assert!(caller.request(HEARTBEAT).contains("\"pass\":false"));
    node.terminate();
    assert_eq!(caller.read_line(), NO_MORE);
    executor.send_line(WARM_WELCOME);
    // The node requests gauges once the executor is up.
    executor.expect_gauge_request();
    caller.send_line(&rpc_with(2, "look", unix_ms() + 60_000, ""));
    assert!(is_rejected(&caller.read_line(), 2));
    assert!(caller.request(HEARTBEAT).contains("\"pass\":false"));
    assert_eq!(executor.read_line(), "", "a run was started");
    assert!(node.wait().success());
}

/// Guards against a grace that begins once the executor is up: what came later than the grace after the notice was run.
#[test]
fn an_executor_that_starts_after_the_grace_gets_no_run() {
    let mut node = TestNode::start();
    let mut executor = node.executor();
    let mut caller = node.caller();
    assert!(caller.request(HEARTBEAT).contains("\"pass\":false"));
    node.terminate();
    assert_eq!(caller.read_line(), NO_MORE);
    let grace_ns = node.config()["settings"]["rules"]["drain-grace-ns"].as_u64().unwrap();
    std::thread::sleep(Duration::from_nanos(grace_ns) + GRACE_SLACK);
    executor.send_line(WARM_WELCOME);
    executor.expect_gauge_request();
    caller.send_line(&rpc(2, "look"));
    assert!(is_rejected(&caller.read_line(), 2));
    assert_eq!(executor.read_line(), "", "a run was started");
    assert!(node.wait().success());
}

/// Guards against an AJP request that is run although its last byte came later than the grace after the notice.
#[test]
fn an_ajp_request_whose_body_is_complete_after_the_grace_gets_no_run() {
    let change = |config: &mut serde_json::Value| config["stop_ms"] = 4_000.into();
    let (mut node, mut executor, mut caller) = TestNode::start_healthy_with(change, AJP_DIRECTIVES);
    let connect = || AjpPeer::connect(node.ajp.parse().unwrap(), TIMEOUT).unwrap();
    let request = |number| Call {
        method: "POST",
        uri: "/look",
        headers: vec![("x-request-id", req(number))],
        secret: None,
        body: b"ABC",
    };
    let (mut early, mut late) = (connect(), connect());
    early.send(&request(1).head()).unwrap();
    late.send(&request(2).head()).unwrap();
    assert!(connect().is_alive());
    node.terminate();
    assert_eq!(caller.read_line(), NO_MORE);
    early.send(&piece(b"ABC")).unwrap();
    executor.read_until(&exec(1, "look"));
    let grace_ns = node.config()["settings"]["rules"]["drain-grace-ns"].as_u64().unwrap();
    std::thread::sleep(Duration::from_nanos(grace_ns) + GRACE_SLACK);
    late.send(&piece(b"ABC")).unwrap();
    assert_eq!(late.answer().unwrap().status, 503);
    executor.send_line(&exit(1, 1, "complete"));
    assert_eq!(early.answer().unwrap().text(), "RES");
    assert_eq!(executor.read_line(), "", "a run was started");
    assert!(node.wait().success());
}

/// Guards against an AJP request whose deadline, in a drain, counts from its last byte and not from its head.
#[test]
fn the_deadline_of_an_ajp_request_counts_from_its_head_in_a_drain() {
    let change = |config: &mut serde_json::Value| {
        config["stop_ms"] = 6_000.into();
        config["settings"]["rules"]["drain-grace-ns"] = 4_000_000_000u64.into();
        config["settings"]["categories"][0]["on-time-ns"] = 1_900_000_000u64.into();
        config["settings"]["categories"][0]["deadline-ns"] = 2_000_000_000u64.into();
    };
    let (mut node, mut executor, mut caller) = TestNode::start_healthy_with(change, AJP_DIRECTIVES);
    let connect = || AjpPeer::connect(node.ajp.parse().unwrap(), TIMEOUT).unwrap();
    let headers = vec![("x-request-id", req(1))];
    let request = Call { method: "POST", uri: "/look", headers, secret: None, body: b"ABC" };
    let mut ajp = connect();
    ajp.send(&request.head()).unwrap();
    assert!(connect().is_alive());
    node.terminate();
    assert_eq!(caller.read_line(), NO_MORE);
    // The deadline of a second request is this much later than that of the first one, and earlier than that of the body.
    std::thread::sleep(Duration::from_millis(900));
    caller.send_line(&rpc(2, "look"));
    executor.read_until(&exec(2, "look"));
    std::thread::sleep(Duration::from_millis(50));
    ajp.send(&piece(b"ABC")).unwrap();
    executor.read_until(&exec(1, "look"));
    // Neither run ends, so that each request is answered at its deadline.
    let executor = std::thread::spawn(move || executor.read_to_end());
    assert_eq!(ajp.answer().unwrap().status, 500);
    caller.stream.set_nonblocking(true).unwrap();
    let later = caller.stream.peek(&mut [0]);
    assert_eq!(later.unwrap_err().kind(), ErrorKind::WouldBlock, "the later deadline came first");
    caller.stream.set_nonblocking(false).unwrap();
    assert!(caller.read_line().contains(r#""id":2,"error":{"code":-32000"#));
    assert!(node.wait().success());
    executor.join().unwrap();
}

/// Further signals during a drain change nothing: a running RPC is answered, and the process exits in order.
#[test]
fn a_second_sigterm_and_a_sighup_during_a_drain_lose_nothing() {
    let (mut node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    caller.send_line(&rpc(1, "look"));
    executor.read_until(&exec(1, "look"));
    node.terminate();
    assert_eq!(caller.read_line(), NO_MORE);
    node.signal("-HUP");
    node.terminate();
    executor.send_line(&exit(1, 1, "complete"));
    assert!(caller.read_line().contains(r#""id":1,"result""#));
    // The connection is closed in order, although the caller has begun another line.
    caller.write_bytes(b"{\"jsonrpc\":\"2.0\",\"id\":2,");
    caller.expect_orderly_close();
    assert!(node.wait().success());
}

/// One segment with several RPCs, a revoke and half a line arrives just as the drain begins. Each complete RPC gets one answer,
/// and half a line gets none.
#[test]
fn a_segment_that_arrives_with_sigterm_is_answered_line_by_line() {
    let (mut node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    assert!(caller.request(HEARTBEAT).contains("pass"));
    node.signal("-STOP");
    node.terminate();
    let revoke = r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":2}}"#;
    let text = format!("{}\n{}\n{revoke}\n{}\n{}", rpc(1, "look"), rpc(2, "look"), rpc(3, "once"), "{\"js");
    caller.write_bytes(text.as_bytes());
    node.signal("-CONT");
    std::thread::spawn(move || {
        let mut pos = 0;
        loop {
            let line = executor.read_line();
            if line.is_empty() {
                return;
            }
            if let Some(position) = line.find("\"action\":\"EXEC\",\"uid\":\"") {
                pos += 1;
                let number = u64::from_str_radix(&line[position + 23..position + 39], 16).unwrap();
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
    assert!(node.wait().success());
}

/// A caller that reads none of its answers does not delay the exit.
#[test]
fn a_caller_that_reads_nothing_does_not_delay_the_exit() {
    let mut node = TestNode::start_with(|config| config["stop_ms"] = 4_000.into());
    let mut executor = node.executor();
    executor.send_line(WARM_WELCOME);
    let mut caller = node.caller();
    caller.wait_healthy();
    let mut slow = node.caller();
    slow.stream.set_nonblocking(true).unwrap();
    use std::io::Write;
    let line = format!("{HEARTBEAT}\n").repeat(100);
    while slow.stream.write(line.as_bytes()).is_ok() {}
    // On a busy machine the node takes a while to process what was written. Meanwhile it gets no gauges from the executor, and
    // rejects RPCs until it does.
    for _ in 0..RELIABLE_AFTER {
        executor.expect_gauge_request();
    }
    caller.send_line(&rpc(1, "look"));
    executor.read_until(&exec(1, "look"));
    node.terminate();
    assert_eq!(caller.read_line(), NO_MORE);
    executor.send_line(&exit(1, 1, "complete"));
    assert!(caller.read_line().contains(r#""id":1,"result""#));
    caller.expect_orderly_close();
    assert!(node.wait().success());
}

/// A node that is killed with RPCs in flight and restarted at once requests notices from the beginning, and serves.
#[test]
fn a_node_that_was_killed_with_rpcs_in_flight_serves_after_its_restart() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    for number in 1..=3 {
        caller.send_line(&rpc(number, "look"));
    }
    executor.read_until(&exec(2, "look"));
    let node = node.restart();
    assert_eq!(caller.read_line(), "");
    let mut executor = node.executor();
    let mut caller = node.caller();
    // The node rejects RPCs until the executor is up.
    caller.send_line(&rpc(4, "look"));
    assert!(is_rejected(&caller.read_line(), 4));
    executor.send_line(WARM_WELCOME);
    caller.wait_healthy();
    caller.send_line(&rpc(5, "look"));
    executor.read_until(&exec(5, "look"));
    executor.send_line(&exit(1, 5, "complete"));
    assert_eq!(caller.read_line(), served(5));
}
