//! Tests a link to the executor that breaks or is not up yet.

use crate::helper::*;
use crate::{is_rejected, WARM_WELCOME};
use std::net::{Shutdown, SocketAddr, TcpListener};

/// A notice breaks off at any byte as its link breaks: the executor sends it again on the next link, and it is handled once.
#[test]
fn a_notice_that_breaks_off_is_handled_once() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    let length = exit(1, 1, "complete").len() + 1;
    for (index, cut) in [0, 1, 9, 18, length / 2, length - 2, length - 1, length].into_iter().enumerate() {
        let number = index as u64 + 1;
        caller.send_line(&rpc(number, "once"));
        executor.read_until(&exec(number, "once"));
        let notice = exit(number, number, "complete") + "\n";
        let cut = cut.min(notice.len());
        executor.write_bytes(&notice.as_bytes()[..cut]);
        let handled = if cut == notice.len() {
            assert_eq!(caller.read_line(), served(number));
            number
        } else {
            number - 1
        };
        executor.stream.shutdown(Shutdown::Both).unwrap();
        executor = node.link();
        assert_eq!(executor.read_line(), format!(r#"{{"action":"JOIN","pos":{handled}}}"#), "{cut}");
        executor.send_line(WARM_WELCOME);
        if handled < number {
            executor.write_bytes(notice.as_bytes());
            assert_eq!(caller.read_line(), served(number), "{cut}");
        }
        // A repeated notice is ignored.
        executor.write_bytes(notice.as_bytes());
        assert!(caller.request(HEARTBEAT).contains("pass"), "{cut}");
    }
}

/// A malformed notice closes the executor's link; a running RPC is answered by a notice on the next link.
#[test]
fn a_malformed_notice_closes_the_link_and_aborts_no_run() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    for (number, malformed) in
        [(1, "what?"), (2, "{}"), (3, r#"{"action":"EXIT"}"#), (4, r#"{"action":"EXIT","pos":"x","uid":1}"#)]
    {
        caller.send_line(&rpc(number, "once"));
        executor.read_until(&exec(number, "once"));
        executor.send_line(malformed);
        executor.read_to_end();
        executor = node.link();
        assert_eq!(executor.read_line(), format!(r#"{{"action":"JOIN","pos":{}}}"#, number - 1));
        executor.send_line(WARM_WELCOME);
        executor.send_line(&exit(number, number, "complete"));
        assert_eq!(caller.read_line(), served(number), "{malformed}");
    }
}

/// The executor's address changes while a start is on its way to the old address. The old link is closed in order, so that the
/// executor can read everything that was written there, and an unconfirmed run is not started twice.
#[test]
fn a_start_during_a_change_of_the_executors_address_arrives_once() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    caller.send_line(&rpc(1, "once"));
    executor.read_until(&exec(1, "once"));
    let new = listener();
    let mut config = node.config();
    config["executor"] = new.local_addr().unwrap().to_string().into();
    node.reload(&config.to_string());
    let mut next = Peer::accept(&new);
    assert_eq!(next.read_line(), r#"{"action":"JOIN","pos":0}"#);
    // A notice on the old link, once the new one is up, is not handled twice.
    executor.write_bytes((exit(1, 1, "complete") + "\n").as_bytes());
    executor.read_to_end();
    next.send_line(WARM_WELCOME);
    next.send_line(&exit(1, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
    assert!(caller.request(HEARTBEAT).contains("pass"));
}

/// A node whose peers are all down at its start listens at once and rejects RPCs. The node is ready as soon as the executor is,
/// whatever other peer is missing.
#[test]
fn a_node_is_ready_once_its_executor_is() {
    // Nothing listens at these addresses yet, and no other socket gets their ports meanwhile.
    let unused = |port: u16| own_address(port).parse::<SocketAddr>().unwrap();
    let (executor_address, directory_address, store_address) = (unused(7301), unused(7302), unused(7303));
    let node = TestNode::start_with(|config| {
        for (key, address) in
            [("executor", executor_address), ("lookup", directory_address), ("store", store_address)]
        {
            config[key] = address.to_string().into();
        }
    });
    let mut caller = node.caller();
    assert!(caller.request(HEARTBEAT).contains("\"pass\":false"));
    caller.send_line(&rpc(2, "look"));
    assert!(is_rejected(&caller.read_line(), 2));
    let listener = TcpListener::bind(executor_address).unwrap();
    let mut executor = Peer::accept(&listener);
    assert_eq!(executor.read_line(), r#"{"action":"JOIN","pos":0}"#);
    // The executor sends its welcome only once it is up.
    assert!(caller.request(HEARTBEAT).contains("\"pass\":false"));
    executor.send_line(r#"{"action":"WELCOME","code":"chilly","wall_ms":0}"#);
    caller.wait_healthy();
    caller.send_line(&rpc(3, "look"));
    executor.read_until(&exec(3, "look"));
    executor.send_line(&exit(1, 3, "complete"));
    assert!(caller.read_until(r#""id":3,"#).contains("UkVT"));
    let directory = TcpListener::bind(directory_address).unwrap();
    assert_eq!(Peer::accept(&directory).read_line(), "PUT /dir/nodes/n3 HTTP/1.1");
}

/// A call that a run requested before the link broke, and requests again after it, is made once.
#[test]
fn a_call_that_is_requested_twice_is_made_once() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    caller.send_line(&rpc(1, "once"));
    executor.read_until(&exec(1, "once"));
    executor.send_line(&callout(1, 1));
    let mut upstream = Peer::accept(&node.upstream);
    assert!(upstream.read_line().starts_with(&format!("CALL {} ", req(1))));
    upstream.read_bytes(5);
    executor.stream.shutdown(Shutdown::Both).unwrap();
    let mut executor = node.link();
    assert_eq!(executor.read_line(), r#"{"action":"JOIN","pos":1}"#);
    executor.send_line(WARM_WELCOME);
    executor.send_line(&callout(1, 1));
    executor.expect_gauge_request();
    // A second call would be read before the close.
    upstream.write_bytes(format!("{} OK 0\r\n\r\n", req(1)).as_bytes());
    upstream.expect_orderly_close();
    executor.read_until("RETURN");
    executor.send_line(&exit(2, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
}

/// Guards against a reply that is written again, after the link broke, and reaches a run that has meanwhile asked for its next
/// call: the run would take it for the reply to that call. The run here asks as soon as it is not paused, between the gauge
/// reply on the new link and the next command.
#[test]
fn a_reply_that_is_written_again_never_answers_the_next_call() {
    for mode in ["pause", "drop", "silent"] {
        let node = TestNode::start_with(|config| config["settings"]["extra"]["stop-mode"] = mode.into());
        let mut executor = node.executor();
        executor.send_line(WARM_WELCOME);
        let mut caller = node.caller();
        caller.wait_healthy();
        caller.send_line(&rpc(1, "look"));
        executor.read_until(&exec(1, "look"));
        executor.send_line(&callout(1, 1));
        let mut upstream = Peer::accept(&node.upstream);
        answer_call(&mut upstream, "A");
        executor.disconnect_after(&["\"RETURN\""]);
        let mut executor = node.link();
        executor.read_until("JOIN");
        executor.send_line(WARM_WELCOME);
        let mut is_paused = false;
        loop {
            let line = executor.next_line();
            is_paused |= line.contains("KILL");
            if executor.answer_if_gauge_request(&line) {
                break;
            }
        }
        if is_paused {
            executor.read_until("WAKE");
        }
        executor.send_line(&callout(2, 1));
        let mut upstream = Peer::accept(&node.upstream);
        answer_call(&mut upstream, "B");
        let given = executor.read_until("RETURN");
        assert!(given.contains("\"Qg==\""), "{mode}: the second call was given {given}");
        executor.send_line(&exit(3, 1, "complete"));
        assert_eq!(caller.read_line(), served(1));
    }
}

/// Reads the call of the first RPC and answers it. The connection is closed after the reply, so that the next call comes on a
/// new one.
fn answer_call(upstream: &mut Peer, body: &str) {
    assert!(upstream.read_line().starts_with(&format!("CALL {} ", req(1))));
    upstream.read_bytes(5);
    upstream.write_bytes(format!("{} OK 1\r\n{body}\r\n", req(1)).as_bytes());
    upstream.stream.shutdown(Shutdown::Write).unwrap();
}
