//! Tests upstream calls whose replies break off.

use crate::helper::*;
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

/// The number of further copies of a reply, and the interval between two of them.
const COPIES: usize = 20;
const COPY_INTERVAL: Duration = Duration::from_millis(2);

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

/// Guards against a second copy of the reply to a run's call that answers the run's next call: replies name the run alone. The
/// next call comes while the first connection may still be used again.
#[test]
fn a_second_copy_of_a_reply_does_not_answer_the_next_call() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    start_with_callout(1, "look", &mut caller, &mut executor);
    let mut first = Peer::accept(&node.upstream);
    assert!(first.read_until("CALL").starts_with(&format!("CALL {} ", req(1))));
    first.read_bytes(5);
    let copy = format!("{} OK 1\r\nA\r\n", req(1));
    first.write_bytes(copy.as_bytes());
    assert!(executor.read_until("RETURN").contains("\"QQ==\""));
    executor.send_line(&callout(3, 1));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut second = Peer::accept(&node.upstream);
            second.read_until("CALL");
            second.read_bytes(5);
            second.write_bytes(format!("{} OK 1\r\nB\r\n", req(1)).as_bytes());
        });
        // Copies that come before the next call are discarded in any case.
        for _ in 0..COPIES {
            let _ = first.stream.write_all(copy.as_bytes());
            std::thread::sleep(COPY_INTERVAL);
        }
        let given = executor.read_until("RETURN");
        assert!(given.contains("\"Qg==\""), "the second call was given {given}");
    });
    executor.send_line(&exit(4, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
}
