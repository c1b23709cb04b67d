//! Tests callers that send malformed input, too much, or too slowly: only their own connection is affected, and outstanding
//! answers are written.

use crate::helper::*;
use crate::{is_rejected, WARM_WELCOME};
use std::io::Write;

/// Bytes that are not JSON-RPC, and a line without an end, arrive while an RPC runs. The RPC is still answered, and then the
/// connection is closed in order. Later input on the connection is rejected unseen or discarded, and never reaches the executor.
#[test]
fn malformed_input_does_not_prevent_an_outstanding_answer() {
    let (node, mut executor) = TestNode::start_healthy();
    let long = "x".repeat(100_000);
    for (number, malformed) in
        [(1, "{}{}\n"), (11, "GET / HTTP/1.1\r\n"), (21, "[1,2]\n"), (31, long.as_str())]
    {
        let mut caller = node.caller();
        caller.send_line(&rpc(number, "once"));
        executor.read_until(&exec(number, "once"));
        caller.write_bytes(malformed.as_bytes());
        let is_line = malformed.ends_with('\n');
        if is_line {
            caller.send_line(&rpc(number + 1, "once"));
            assert!(is_rejected(&caller.read_line(), number + 1), "{malformed}");
        }
        executor.send_line(&exit(number, number, "complete"));
        assert_eq!(caller.read_line(), served(number));
        caller.expect_orderly_close();
    }
    // No malformed input reached the executor: the next start is that of another caller's RPC.
    let mut healthy = node.caller();
    healthy.send_line(&rpc(50, "look"));
    assert_eq!(executor.read_until("EXEC"), exec(50, "look"));
}

/// Too many faults close a connection even if an RPC succeeds after them: otherwise the connection would stay open, unread.
#[test]
fn a_successful_run_does_not_keep_a_connection_with_too_many_faults() {
    let (node, mut executor) = TestNode::start_healthy();
    let mut caller = node.caller();
    caller.send_line(&rpc(1, "look"));
    executor.read_until(&exec(1, "look"));
    let faulty: String = (10..18).map(|n| rpc(n, "none") + "\n").collect();
    let after: String = (20..60).map(|n| rpc(n, "look") + "\n").collect();
    caller.write_bytes((faulty + &after).as_bytes());
    for _ in 0..8 {
        assert!(caller.read_line().contains("-32601"));
    }
    // RPCs after the faults are rejected; how many of them are read depends on the segments in which they arrived.
    for number in 20..52 {
        assert!(is_rejected(&caller.read_line(), number));
    }
    executor.send_line(&exit(1, 1, "complete"));
    let mut line = caller.read_line();
    while line.contains("-32011") {
        line = caller.read_line();
    }
    assert_eq!(line, served(1));
    caller.expect_orderly_close();
}

/// Each faulty RPC whose id can be read is answered with an error, counts as a fault, and starts no run.
#[test]
fn fields_that_are_missing_wrong_or_out_of_range_are_answered_with_an_error() {
    let (node, mut executor) = TestNode::start_healthy();
    let valid = rpc(1, "look");
    let body = |bytes: usize| "A".repeat(bytes.div_ceil(3) * 4);
    let faulty = [
        valid.replace("\"req\":\"0000000000000001\",", ""),
        valid.replace("0000000000000001", "000000000000000g"),
        valid.replace("0000000000000001", "1"),
        valid.replace("\"need\":20.5", "\"need\":0"),
        valid.replace("\"need\":20.5", "\"need\":-1"),
        valid.replace("\"need\":20.5", "\"need\":2000"),
        valid.replace("\"need\":20.5", "\"need\":\"20\""),
        valid.replace("\"body\":\"QUJD\"", "\"body\":7"),
        valid.replace("QUJD", "QUJ*"),
        valid.replace("QUJD", &body(2 * 1024 + 3)),
        valid.replace("\"ts\":", "\"ts\":-"),
        valid.replace("\"ts\":", "\"ts\":\"x\",\"was\":"),
        valid.replace("\"params\":{", "\"params\":[{").replace("}}", "}]}"),
        rpc(1, "LOOK"),
        rpc(1, ""),
        rpc(1, "sale"),
    ];
    for line in &faulty {
        let mut caller = node.caller();
        let answer = caller.request(line);
        assert!(
            answer.contains(r#""id":1,"error":{"code":-32"#) && !answer.contains("-32011"),
            "{line}: {answer}"
        );
        // The connection stays usable, as do the others.
        assert!(caller.request(HEARTBEAT).contains("pass"), "{line}");
    }
    let mut healthy = node.caller();
    // A body of the maximum size is accepted.
    healthy.send_line(&rpc(2, "look").replace("QUJD", &body(2 * 1024 - 2)));
    assert!(executor.read_until("EXEC").contains(&req(2)));
}

/// Bytes that are not UTF-8 in the body of an RPC start no run.
#[test]
fn bytes_that_are_not_utf_8_start_no_run() {
    let (node, mut executor) = TestNode::start_healthy();
    for (number, invalid) in [(1, b"\xff\xfe".as_slice()), (2, b"\xc3\x28"), (3, b"\x00")] {
        let mut caller = node.caller();
        let line = rpc(number, "look").into_bytes();
        let (before, after) = line.split_at(line.windows(4).position(|w| w == b"QUJD").unwrap());
        caller.write_bytes(&[before, invalid, after, b"\n"].concat());
        caller.send_line(HEARTBEAT);
        // The caller gets an error, or the connection is closed in order.
        let answer = caller.read_line();
        assert!(answer.contains("-32") || answer.contains("pass") || answer.is_empty(), "{answer}");
    }
    let mut healthy = node.caller();
    healthy.send_line(&rpc(9, "look"));
    assert_eq!(executor.read_until("EXEC"), exec(9, "look"));
}

/// A caller that writes one byte at a time is served like any other.
#[test]
fn a_caller_that_writes_byte_by_byte_is_served() {
    let (node, mut executor) = TestNode::start_healthy();
    let (mut slow, mut quick) = (node.caller(), node.caller());
    for byte in (rpc(1, "look") + "\n").bytes() {
        slow.write_bytes(&[byte]);
    }
    quick.send_line(&rpc(2, "look"));
    executor.read_until(&exec(2, "look"));
    executor.send_line(&exit(1, 2, "complete"));
    executor.send_line(&exit(2, 1, "complete"));
    assert_eq!((quick.read_line(), slow.read_line()), (served(2), served(1)));
}

/// Floods of malformed input on one connection and on a hundred affect neither the health, nor an RPC of another caller, nor the
/// memory of the node, and start no run.
#[test]
fn floods_of_malformed_input_delay_no_caller_and_start_no_run() {
    let node = TestNode::start_with(|config| config["limits"]["memory_mb"] = 64.into());
    let mut executor = node.executor();
    executor.send_line(WARM_WELCOME);
    let mut healthy = node.caller();
    healthy.wait_healthy();
    let inputs = [
        "no json at all\n".repeat(200_000),
        "x".repeat(3_000_000),
        format!("{}\n", rpc(7, "dance")).repeat(9_000),
    ];
    let mut floods = vec![node.caller()];
    floods.extend((0..100).map(|_| node.caller()));
    for (index, flood) in floods.iter_mut().enumerate() {
        flood.stream.set_nonblocking(true).unwrap();
        // The flood is as much as the node reads without blocking the writer; the node may have closed the connection meanwhile.
        let _ = flood.stream.write_all(inputs[index % inputs.len()].as_bytes());
    }
    healthy.send_line(&rpc(1, "look"));
    assert_eq!(executor.read_until("EXEC"), exec(1, "look"));
    executor.send_line(&exit(1, 1, "complete"));
    assert_eq!(healthy.read_line(), served(1));
    assert!(node.peak_kb() < 32 * 1024, "{} kB", node.peak_kb());
}
