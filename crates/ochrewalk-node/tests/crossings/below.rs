//! Calls below whose replies break off.

use crate::helper::*;
use std::net::Shutdown;

/// A short reply breaks off after each of its bytes, with the end of its connection: it never goes to the run, and the RPC has
/// its one answer. Whole, it goes on as it came.
#[test]
fn a_reply_that_breaks_off_at_any_byte_is_none() {
    let (stand, mut executor) = Stand::up();
    let mut caller = stand.caller();
    let reply = |number| format!("{} OK 2\r\nhi\r\n", req(number));
    for cut in 0..=reply(1).len() {
        let number = 100 + cut as u64;
        // It may be made again where it is idempotent; this one is not.
        begin(number, "once", &mut caller, &mut executor);
        let mut below = Peer::accept(&stand.below);
        assert!(below.hear_of("CALL").starts_with(&format!("CALL {} ", req(number))));
        below.hear_bytes(5);
        let text = reply(number);
        below.put(&text.as_bytes()[..cut]);
        if cut == text.len() {
            let back = executor.hear_of("RETURN");
            assert!(back.contains("\"content\":\"aGk=\""), "{back}");
            executor.say(&exit(2 * number + 1, number, "complete"));
            assert_eq!(caller.hear(), served(number));
        } else {
            below.stream.shutdown(Shutdown::Both).unwrap();
            assert!(caller.hear().contains(&format!(r#""id":{number},"error":{{"code":-32000"#)), "{cut}");
            executor.say(&exit(2 * number + 1, number, "cancelled"));
        }
    }
}

/// Two calls that broke off are made again where that is harmless, on connections of their own, and only the whole reply
/// counts.
#[test]
fn an_idempotent_call_is_made_again_after_half_a_reply() {
    let (stand, mut executor) = Stand::up();
    let mut caller = stand.caller();
    begin(1, "look", &mut caller, &mut executor);
    for half in [format!("{} OK 2\r\nh", req(1)), format!("{} O", req(1))] {
        let mut below = Peer::accept(&stand.below);
        below.hear_of("CALL");
        below.put(half.as_bytes());
        below.stream.shutdown(Shutdown::Both).unwrap();
    }
    let mut below = Peer::accept(&stand.below);
    below.hear_of("CALL");
    below.put(format!("{} OK 2\r\nhi\r\n", req(1)).as_bytes());
    assert!(executor.hear_of("RETURN").contains("\"content\":\"aGk=\""));
    executor.say(&exit(3, 1, "complete"));
    assert_eq!(caller.hear(), served(1));
}

/// A connection below that we end is ended in order: what its peer still says does not reset it.
#[test]
fn a_connection_below_that_stands_idle_is_ended_in_order() {
    let (stand, mut executor) = Stand::up();
    let mut caller = stand.caller();
    begin(1, "look", &mut caller, &mut executor);
    let mut below = Peer::accept(&stand.below);
    below.hear_of("CALL");
    below.hear_bytes(5);
    below.put(format!("{} OK 0\r\n\r\n", req(1)).as_bytes());
    executor.hear_of("RETURN");
    below.hear_end();
    // It may still write, and closes when it likes.
    below.put(format!("{} LATE\r\n", req(7)).as_bytes());
    executor.say(&exit(3, 1, "complete"));
    assert_eq!(caller.hear(), served(1));
}
