//! The executor's link ends, or is not there yet.

use crate::helper::*;
use crate::{is_unseen, WARM};
use std::net::{Shutdown, SocketAddr, TcpListener};

/// A notice breaks off at any byte with its link: it comes again on the next one and is handled once.
#[test]
fn a_notice_that_breaks_off_is_handled_once() {
    let (stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    let whole = exit(1, 1, "complete").len() + 1;
    for (at, cut) in [0, 1, 9, 18, whole / 2, whole - 2, whole - 1, whole].into_iter().enumerate() {
        let number = at as u64 + 1;
        caller.send_line(&rpc(number, "once"));
        executor.read_until(&exec(number, "once"));
        let notice = exit(number, number, "complete") + "\n";
        let cut = cut.min(notice.len());
        executor.write_bytes(&notice.as_bytes()[..cut]);
        let read = if cut == notice.len() {
            assert_eq!(caller.read_line(), served(number));
            number
        } else {
            number - 1
        };
        executor.stream.shutdown(Shutdown::Both).unwrap();
        executor = stand.link();
        assert_eq!(executor.read_line(), format!(r#"{{"action":"JOIN","pos":{read}}}"#), "{cut}");
        executor.send_line(WARM);
        if read < number {
            executor.write_bytes(notice.as_bytes());
            assert_eq!(caller.read_line(), served(number), "{cut}");
        }
        // Twice is once, too.
        executor.write_bytes(notice.as_bytes());
        assert!(caller.request(HEARTBEAT).contains("pass"), "{cut}");
    }
}

/// An executor that talks nonsense loses its link; what runs is answered by what the next one says.
#[test]
fn nonsense_ends_the_link_and_not_what_runs() {
    let (stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    for (number, nonsense) in
        [(1, "what?"), (2, "{}"), (3, r#"{"action":"EXIT"}"#), (4, r#"{"action":"EXIT","pos":"x","uid":1}"#)]
    {
        caller.send_line(&rpc(number, "once"));
        executor.read_until(&exec(number, "once"));
        executor.send_line(nonsense);
        executor.read_to_end();
        executor = stand.link();
        assert_eq!(executor.read_line(), format!(r#"{{"action":"JOIN","pos":{}}}"#, number - 1));
        executor.send_line(WARM);
        executor.send_line(&exit(number, number, "complete"));
        assert_eq!(caller.read_line(), served(number), "{nonsense}");
    }
}

/// The executor moves while a start is on its way to the old address: its old link ends in order, so that all that was
/// written there can be read, and what is in doubt is not begun twice.
#[test]
fn a_start_that_crosses_the_executors_move_arrives_once() {
    let (stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    caller.send_line(&rpc(1, "once"));
    executor.read_until(&exec(1, "once"));
    let new = listener();
    let mut config = stand.config();
    config["executor"] = new.local_addr().unwrap().to_string().into();
    stand.reload(&config.to_string());
    let mut next = Peer::accept(&new);
    assert_eq!(next.read_line(), r#"{"action":"JOIN","pos":0}"#);
    // A notice on the old link, once the new one is there, is not taken twice.
    executor.write_bytes((exit(1, 1, "complete") + "\n").as_bytes());
    executor.read_to_end();
    next.send_line(WARM);
    next.send_line(&exit(1, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
    assert!(caller.request(HEARTBEAT).contains("pass"));
}

/// Nothing that it talks to is there when it starts: it listens at once, takes nothing, and is ready as soon as the executor
/// is, whatever else is missing.
#[test]
fn a_node_is_ready_once_its_executor_is() {
    // Addresses at which nobody listens yet, and whose ports no other socket is given meanwhile.
    let unused = |port: u16| own_address(port).parse::<SocketAddr>().unwrap();
    let (executor_at, directory_at, store_at) = (unused(7301), unused(7302), unused(7303));
    let stand = TestNode::start_with(|config| {
        for (key, at) in [("executor", executor_at), ("lookup", directory_at), ("store", store_at)] {
            config[key] = at.to_string().into();
        }
    });
    let mut caller = stand.caller();
    assert!(caller.request(HEARTBEAT).contains("\"pass\":false"));
    caller.send_line(&rpc(2, "look"));
    assert!(is_unseen(&caller.read_line(), 2));
    let listener = TcpListener::bind(executor_at).unwrap();
    let mut executor = Peer::accept(&listener);
    assert_eq!(executor.read_line(), r#"{"action":"JOIN","pos":0}"#);
    // Its welcome waits until it is up.
    assert!(caller.request(HEARTBEAT).contains("\"pass\":false"));
    executor.send_line(r#"{"action":"WELCOME","code":"chilly","wall_ms":0}"#);
    caller.wait_healthy();
    caller.send_line(&rpc(3, "look"));
    executor.read_until(&exec(3, "look"));
    executor.send_line(&exit(1, 3, "complete"));
    assert!(caller.read_until(r#""id":3,"#).contains("UkVT"));
    let directory = TcpListener::bind(directory_at).unwrap();
    assert_eq!(Peer::accept(&directory).read_line(), "PUT /dir/nodes/n3 HTTP/1.1");
}

/// A call that was asked for before the link broke is asked for once more after it: it is placed once.
#[test]
fn a_call_that_is_asked_for_twice_is_placed_once() {
    let (stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    caller.send_line(&rpc(1, "once"));
    executor.read_until(&exec(1, "once"));
    executor.send_line(&callout(1, 1));
    let mut below = Peer::accept(&stand.upstream);
    assert!(below.read_line().starts_with(&format!("CALL {} ", req(1))));
    below.read_bytes(5);
    executor.stream.shutdown(Shutdown::Both).unwrap();
    let mut executor = stand.link();
    assert_eq!(executor.read_line(), r#"{"action":"JOIN","pos":1}"#);
    executor.send_line(WARM);
    executor.send_line(&callout(1, 1));
    executor.expect_gauge_request();
    // What it has said by now would stand before its end.
    below.write_bytes(format!("{} OK 0\r\n\r\n", req(1)).as_bytes());
    below.expect_orderly_close();
    executor.read_until("RETURN");
    executor.send_line(&exit(2, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
}
