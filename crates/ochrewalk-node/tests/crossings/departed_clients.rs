//! Tests requests whose client has left: they are not started, whatever is still unread of them, and an id whose run may have had
//! its effect does not run again.

use crate::helper::*;
use crate::{is_rejected, AJP_DIRECTIVES, WARM_WELCOME};
use ochrewalk_lab::ajp::Call;
use socket2::SockRef;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// The number of requests that a client may have open.
const MAX_OPEN_RPCS: u64 = 32;
/// The number of messages after the requests, none of which is answered: more than the node handles in one turn.
const UNREAD_MESSAGES: u64 = 400;
/// The number of health checks that take longer than a decision on a request.
const HEARTBEATS: usize = 3_000;
/// The number of no RPC.
const UNKNOWN: u64 = 999_999;
/// The number of the first RPC by which a test sees that earlier input has been handled.
const NEXT: u64 = 1_000;

/// The way in which a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Reset,
}

/// Whether all threads of this process are stopped by a signal.
fn is_stopped(pid: u32) -> bool {
    let mut threads = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    threads.all(|thread| {
        let stat = std::fs::read_to_string(thread.unwrap().path().join("stat")).unwrap();
        // The state follows the name in parentheses.
        stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
    })
}

/// Has a client write these bytes and leave while the node is stopped, so that everything is unread when the client has left.
fn write_and_leave(node: &TestNode, address: &str, bytes: &[u8], departure: Departure) {
    node.signal("-STOP");
    while !is_stopped(node.pid()) {
        std::thread::yield_now();
    }
    let mut client = TcpStream::connect(address).unwrap();
    client.write_all(bytes).unwrap();
    if let Departure::Reset = departure {
        SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
    }
    drop(client);
    node.signal("-CONT");
}

/// Returns the runs that were started before those of another client that connects now, whose RPCs have
/// numbers from `first` on.
fn runs_before_next_client(node: &TestNode, executor: &mut Peer, first: u64) -> Vec<String> {
    let mut next = node.caller();
    let mut starts = Vec::new();
    for number in first..first + 3 {
        next.send_line(&rpc(number, "look"));
        loop {
            let line = executor.read_until("EXEC");
            if line == exec(number, "look") {
                break;
            }
            starts.push(line);
        }
    }
    starts
}

/// Guards against requests that are started after their client has closed its connection or reset it.
#[test]
fn requests_of_a_client_that_has_left_are_not_started() {
    for departure in [Departure::Close, Departure::Reset] {
        let (node, mut executor, caller) =
            TestNode::start_healthy_with(|_| (), &format!("{AJP_DIRECTIVES}ajp route GET /sync sync\n"));
        drop(caller);
        let revoke = format!(r#"{{"jsonrpc":"2.0","method":"revoke","params":{{"id":{UNKNOWN}}}}}"#);
        let requests = (1..=MAX_OPEN_RPCS).map(|number| rpc(number, "once") + "\n");
        let lines: String = requests.chain((0..UNREAD_MESSAGES).map(|_| format!("{revoke}\n"))).collect();
        write_and_leave(&node, &node.address, lines.as_bytes(), departure);
        assert_eq!(runs_before_next_client(&node, &mut executor, NEXT), [""; 0], "JSON-RPC, {departure:?}");
        let headers = vec![("x-request-id", req(1))];
        let call = Call { method: "GET", uri: "/sync", headers, secret: None, body: b"" };
        write_and_leave(&node, &node.ajp, &call.whole(), departure);
        let starts = runs_before_next_client(&node, &mut executor, NEXT + 10);
        assert_eq!(starts, [""; 0], "AJP, {departure:?}");
    }
}

/// Guards against a request that runs a second time when its id comes again after its client has left.
#[test]
fn an_id_that_has_run_does_not_run_again_once_its_client_has_left() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut first = node.caller();
    first.send_line(&rpc(1, "once"));
    executor.read_until(&exec(1, "once"));
    drop(first);
    executor.read_until("KILL");
    executor.send_line(&exit(1, 1, "cancelled"));
    let mut second = node.caller();
    // While the run ends, the id counts as open.
    let answer = second.request(&rpc(1, "once"));
    assert!(answer.contains("-32602"), "{answer}");
    assert_eq!(runs_before_next_client(&node, &mut executor, NEXT), [""; 0]);
    let answer = node.caller().request(&rpc(1, "once"));
    assert!(answer.contains("an id that has run"), "{answer}");
    // A run that never began does not count.
    let mut third = node.caller();
    third.send_line(&rpc(2, "once"));
    executor.read_until(&exec(2, "once"));
    executor.send_line(&exit(20, 2, "unknown"));
    assert!(is_rejected(&third.read_line(), 2));
    third.send_line(&rpc(2, "once"));
    executor.read_until(&exec(2, "once"));
}

/// Guards against a start that waits for the executor's link and is sent to it after its client has left.
#[test]
fn a_start_that_waits_for_the_executors_link_is_withdrawn_with_its_client() {
    let (node, mut executor) = TestNode::start_healthy();
    let original = node.config();
    let mut unreachable = original.clone();
    unreachable["executor"] = own_address(7301).into();
    node.reload(&unreachable.to_string());
    executor.read_to_end();
    let mut caller = node.caller();
    caller.send_line(&rpc(1, "once"));
    // The node decides on the start meanwhile.
    for _ in 0..HEARTBEATS {
        assert!(caller.request(HEARTBEAT).contains("pass"));
    }
    caller.revoke(1);
    node.reload(&original.to_string());
    let mut executor = node.link();
    executor.read_until("JOIN");
    executor.send_line(WARM_WELCOME);
    assert_eq!(runs_before_next_client(&node, &mut executor, NEXT), [""; 0]);
}
