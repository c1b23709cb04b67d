//! Tests upstream calls whose replies break off.

use crate::helper::*;
use std::net::Shutdown;

/// A short reply breaks off after each of its bytes as its connection is closed. A partial reply is never given to the run, and
/// the RPC gets exactly one answer. The complete reply is forwarded unchanged.
#[test]
fn a_reply_that_breaks_off_at_any_byte_is_discarded() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    let reply = |number| format!("{} OK 2\r\nhi\r\n", req(number));
    for cut in 0..=reply(1).len() {
        let number = 100 + cut as u64;
        // A call is repeated only if its method is idempotent; this one is not.
        start_with_callout(number, "once", &mut caller, &mut executor);
        let mut upstream = Peer::accept(&node.upstream);
        assert!(upstream.read_until("CALL").starts_with(&format!("CALL {} ", req(number))));
        upstream.read_bytes(5);
        let text = reply(number);
        upstream.write_bytes(&text.as_bytes()[..cut]);
        if cut == text.len() {
            let returned = executor.read_until("RETURN");
            assert!(returned.contains("\"content\":\"aGk=\""), "{returned}");
            executor.send_line(&exit(2 * number + 1, number, "complete"));
            assert_eq!(caller.read_line(), served(number));
        } else {
            upstream.stream.shutdown(Shutdown::Both).unwrap();
            assert!(
                caller.read_line().contains(&format!(r#""id":{number},"error":{{"code":-32000"#)),
                "{cut}"
            );
            executor.send_line(&exit(2 * number + 1, number, "cancelled"));
        }
    }
}

/// An idempotent call whose reply breaks off twice is repeated on a new connection each time, and only the complete reply counts.
#[test]
fn an_idempotent_call_is_repeated_after_half_a_reply() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    start_with_callout(1, "look", &mut caller, &mut executor);
    for half in [format!("{} OK 2\r\nh", req(1)), format!("{} O", req(1))] {
        let mut upstream = Peer::accept(&node.upstream);
        upstream.read_until("CALL");
        upstream.write_bytes(half.as_bytes());
        upstream.stream.shutdown(Shutdown::Both).unwrap();
    }
    let mut upstream = Peer::accept(&node.upstream);
    upstream.read_until("CALL");
    upstream.write_bytes(format!("{} OK 2\r\nhi\r\n", req(1)).as_bytes());
    assert!(executor.read_until("RETURN").contains("\"content\":\"aGk=\""));
    executor.send_line(&exit(3, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
}

/// An upstream connection that the node closes is closed in order: bytes that the upstream still sends do not reset it.
#[test]
fn an_idle_upstream_connection_is_closed_in_order() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    start_with_callout(1, "look", &mut caller, &mut executor);
    let mut upstream = Peer::accept(&node.upstream);
    upstream.read_until("CALL");
    upstream.read_bytes(5);
    upstream.write_bytes(format!("{} OK 0\r\n\r\n", req(1)).as_bytes());
    executor.read_until("RETURN");
    upstream.expect_orderly_close();
    // The upstream may still write, and may close its side at any time.
    upstream.write_bytes(format!("{} LATE\r\n", req(7)).as_bytes());
    executor.send_line(&exit(3, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
}
