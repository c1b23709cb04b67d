//! Callers that send what means nothing, too much, or too slowly: their own connection suffers, and what is owed is given.

use crate::helper::*;
use crate::{is_unseen, WARM};
use std::io::Write;

/// What is no JSON-RPC, and a line without an end, come while an RPC is under way: it is still answered, and the connection
/// ends in order after that. What follows on it is turned away unseen or thrown away, and never reaches the executor.
#[test]
fn noise_takes_no_answer_with_it() {
    let (stand, mut executor) = TestNode::start_healthy();
    let long = "x".repeat(100_000);
    for (number, noise) in [(1, "{}{}\n"), (11, "GET / HTTP/1.1\r\n"), (21, "[1,2]\n"), (31, long.as_str())] {
        let mut caller = stand.caller();
        caller.send_line(&rpc(number, "once"));
        executor.read_until(&exec(number, "once"));
        caller.write_bytes(noise.as_bytes());
        let is_line = noise.ends_with('\n');
        if is_line {
            caller.send_line(&rpc(number + 1, "once"));
            assert!(is_unseen(&caller.read_line(), number + 1), "{noise}");
        }
        executor.send_line(&exit(number, number, "complete"));
        assert_eq!(caller.read_line(), served(number));
        caller.expect_orderly_close();
    }
    // Nothing of it reached the executor: the next start is another's.
    let mut good = stand.caller();
    good.send_line(&rpc(50, "look"));
    assert_eq!(executor.read_until("EXEC"), exec(50, "look"));
}

/// Faults that were too many stay so: an RPC that runs well after them does not leave a connection behind that nobody reads.
#[test]
fn a_run_that_ends_well_does_not_keep_a_sender_of_faults() {
    let (stand, mut executor) = TestNode::start_healthy();
    let mut caller = stand.caller();
    caller.send_line(&rpc(1, "look"));
    executor.read_until(&exec(1, "look"));
    let wrong: String = (10..18).map(|n| rpc(n, "none") + "\n").collect();
    let after: String = (20..60).map(|n| rpc(n, "look") + "\n").collect();
    caller.write_bytes((wrong + &after).as_bytes());
    for _ in 0..8 {
        assert!(caller.read_line().contains("-32601"));
    }
    // What comes after them is pushed back; how much of it is read depends on how it came.
    for number in 20..52 {
        assert!(is_unseen(&caller.read_line(), number));
    }
    executor.send_line(&exit(1, 1, "complete"));
    let mut line = caller.read_line();
    while line.contains("-32011") {
        line = caller.read_line();
    }
    assert_eq!(line, served(1));
    caller.expect_orderly_close();
}

/// Each of these is answered where an id can be read, counts as a fault, and starts nothing.
#[test]
fn fields_that_are_missing_wrong_or_out_of_range_are_told_so() {
    let (stand, mut executor) = TestNode::start_healthy();
    let whole = rpc(1, "look");
    let body = |bytes: usize| "A".repeat(bytes.div_ceil(3) * 4);
    let faulty = [
        whole.replace("\"req\":\"0000000000000001\",", ""),
        whole.replace("0000000000000001", "000000000000000g"),
        whole.replace("0000000000000001", "1"),
        whole.replace("\"need\":20.5", "\"need\":0"),
        whole.replace("\"need\":20.5", "\"need\":-1"),
        whole.replace("\"need\":20.5", "\"need\":2000"),
        whole.replace("\"need\":20.5", "\"need\":\"20\""),
        whole.replace("\"body\":\"QUJD\"", "\"body\":7"),
        whole.replace("QUJD", "QUJ*"),
        whole.replace("QUJD", &body(2 * 1024 + 3)),
        whole.replace("\"ts\":", "\"ts\":-"),
        whole.replace("\"ts\":", "\"ts\":\"x\",\"was\":"),
        whole.replace("\"params\":{", "\"params\":[{").replace("}}", "}]}"),
        rpc(1, "LOOK"),
        rpc(1, ""),
        rpc(1, "sale"),
    ];
    for line in &faulty {
        let mut caller = stand.caller();
        let answer = caller.request(line);
        assert!(
            answer.contains(r#""id":1,"error":{"code":-32"#) && !answer.contains("-32011"),
            "{line}: {answer}"
        );
        // The connection goes on, as do the others.
        assert!(caller.request(HEARTBEAT).contains("pass"), "{line}");
    }
    let mut good = stand.caller();
    // The largest body that may be is none of these.
    good.send_line(&rpc(2, "look").replace("QUJD", &body(2 * 1024 - 2)));
    assert!(executor.read_until("EXEC").contains(&req(2)));
}

/// Bytes that are no UTF-8, in a string and in the line.
#[test]
fn bytes_that_are_no_text_start_nothing() {
    let (stand, mut executor) = TestNode::start_healthy();
    for (at, wrong) in [(1, b"\xff\xfe".as_slice()), (2, b"\xc3\x28"), (3, b"\x00")] {
        let mut caller = stand.caller();
        let line = rpc(at, "look").into_bytes();
        let (before, after) = line.split_at(line.windows(4).position(|w| w == b"QUJD").unwrap());
        caller.write_bytes(&[before, wrong, after, b"\n"].concat());
        caller.send_line(HEARTBEAT);
        // Told what is wrong, or ended in order.
        let heard = caller.read_line();
        assert!(heard.contains("-32") || heard.contains("pass") || heard.is_empty(), "{heard}");
    }
    let mut good = stand.caller();
    good.send_line(&rpc(9, "look"));
    assert_eq!(executor.read_until("EXEC"), exec(9, "look"));
}

/// A caller that writes one byte at a time is served as any other.
#[test]
fn a_caller_that_writes_byte_by_byte_is_served() {
    let (stand, mut executor) = TestNode::start_healthy();
    let (mut slow, mut quick) = (stand.caller(), stand.caller());
    for byte in (rpc(1, "look") + "\n").bytes() {
        slow.write_bytes(&[byte]);
    }
    quick.send_line(&rpc(2, "look"));
    executor.read_until(&exec(2, "look"));
    executor.send_line(&exit(1, 2, "complete"));
    executor.send_line(&exit(2, 1, "complete"));
    assert_eq!((quick.read_line(), slow.read_line()), (served(2), served(1)));
}

/// Floods on one connection and on a hundred: health, an RPC of somebody else's, and the program's memory stay as they
/// are, and of what the floods say nothing starts.
#[test]
fn floods_of_noise_hold_up_nobody_and_start_nothing() {
    let stand = TestNode::start_with(|config| config["limits"]["memory_mb"] = 64.into());
    let mut executor = stand.executor();
    executor.send_line(WARM);
    let mut good = stand.caller();
    good.wait_healthy();
    let noise = [
        "no json at all\n".repeat(200_000),
        "x".repeat(3_000_000),
        format!("{}\n", rpc(7, "dance")).repeat(9_000),
    ];
    let mut floods = vec![stand.caller()];
    floods.extend((0..100).map(|_| stand.caller()));
    for (at, flood) in floods.iter_mut().enumerate() {
        flood.stream.set_nonblocking(true).unwrap();
        // As much as the node takes without waiting; it may have ended the connection meanwhile.
        let _ = flood.stream.write_all(noise[at % noise.len()].as_bytes());
    }
    good.send_line(&rpc(1, "look"));
    assert_eq!(executor.read_until("EXEC"), exec(1, "look"));
    executor.send_line(&exit(1, 1, "complete"));
    assert_eq!(good.read_line(), served(1));
    assert!(stand.peak_kb() < 32 * 1024, "{} kB", stand.peak_kb());
}
