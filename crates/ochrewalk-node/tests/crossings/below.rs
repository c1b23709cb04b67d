//! Calls below whose replies break off.

use crate::helper::*;
use std::net::Shutdown;

/// A short reply breaks off after each of its bytes, with the end of its connection: it never goes to the run, and the RPC has
/// its one answer. Whole, it goes on as it came.
#[test]
fn a_reply_that_breaks_off_at_any_byte_is_none() {
    let (stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    let reply = |number| format!("{} OK 2\r\nhi\r\n", req(number));
    for cut in 0..=reply(1).len() {
        let number = 100 + cut as u64;
        // It may be made again where it is idempotent; this one is not.
        start_with_callout(number, "once", &mut caller, &mut executor);
        let mut below = Peer::accept(&stand.upstream);
        assert!(below.read_until("CALL").starts_with(&format!("CALL {} ", req(number))));
        below.read_bytes(5);
        let text = reply(number);
        below.write_bytes(&text.as_bytes()[..cut]);
        if cut == text.len() {
            let back = executor.read_until("RETURN");
            assert!(back.contains("\"content\":\"aGk=\""), "{back}");
            executor.send_line(&exit(2 * number + 1, number, "complete"));
            assert_eq!(caller.read_line(), served(number));
        } else {
            below.stream.shutdown(Shutdown::Both).unwrap();
            assert!(
                caller.read_line().contains(&format!(r#""id":{number},"error":{{"code":-32000"#)),
                "{cut}"
            );
            executor.send_line(&exit(2 * number + 1, number, "cancelled"));
        }
    }
}

/// Two calls that broke off are made again where that is harmless, on connections of their own, and only the whole reply
/// counts.
#[test]
fn an_idempotent_call_is_made_again_after_half_a_reply() {
    let (stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    start_with_callout(1, "look", &mut caller, &mut executor);
    for half in [format!("{} OK 2\r\nh", req(1)), format!("{} O", req(1))] {
        let mut below = Peer::accept(&stand.upstream);
        below.read_until("CALL");
        below.write_bytes(half.as_bytes());
        below.stream.shutdown(Shutdown::Both).unwrap();
    }
    let mut below = Peer::accept(&stand.upstream);
    below.read_until("CALL");
    below.write_bytes(format!("{} OK 2\r\nhi\r\n", req(1)).as_bytes());
    assert!(executor.read_until("RETURN").contains("\"content\":\"aGk=\""));
    executor.send_line(&exit(3, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
}

/// A connection below that we end is ended in order: what its peer still says does not reset it.
#[test]
fn a_connection_below_that_stands_idle_is_ended_in_order() {
    let (stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    start_with_callout(1, "look", &mut caller, &mut executor);
    let mut below = Peer::accept(&stand.upstream);
    below.read_until("CALL");
    below.read_bytes(5);
    below.write_bytes(format!("{} OK 0\r\n\r\n", req(1)).as_bytes());
    executor.read_until("RETURN");
    below.expect_orderly_close();
    // It may still write, and closes when it likes.
    below.write_bytes(format!("{} LATE\r\n", req(7)).as_bytes());
    executor.send_line(&exit(3, 1, "complete"));
    assert_eq!(caller.read_line(), served(1));
}
