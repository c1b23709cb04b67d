//! Callers that send what means nothing, too much, or too slowly: their own connection suffers, and what is owed is given.

use crate::helper::*;
use crate::{is_unseen, WARM};
use std::io::Write;

/// What is no JSON-RPC, and a line without an end, come while an RPC is under way: it is still answered, and the connection
/// ends in order after that. What follows on it is turned away unseen or thrown away, and never reaches the executor.
#[test]
fn noise_takes_no_answer_with_it() {
    let (stand, mut executor) = Stand::up();
    let long = "x".repeat(100_000);
    for (number, noise) in [(1, "{}{}\n"), (11, "GET / HTTP/1.1\r\n"), (21, "[1,2]\n"), (31, long.as_str())] {
        let mut caller = stand.caller();
        caller.say(&rpc(number, "once"));
        executor.hear_of(&exec(number, "once"));
        caller.put(noise.as_bytes());
        let is_line = noise.ends_with('\n');
        if is_line {
            caller.say(&rpc(number + 1, "once"));
            assert!(is_unseen(&caller.hear(), number + 1), "{noise}");
        }
        executor.say(&exit(number, number, "complete"));
        assert_eq!(caller.hear(), served(number));
        caller.hear_end();
    }
    // Nothing of it reached the executor: the next start is another's.
    let mut good = stand.caller();
    good.say(&rpc(50, "look"));
    assert_eq!(executor.hear_of("EXEC"), exec(50, "look"));
}

/// Faults that were too many stay so: an RPC that runs well after them does not leave a connection behind that nobody reads.
#[test]
fn a_run_that_ends_well_does_not_keep_a_sender_of_faults() {
    let (stand, mut executor) = Stand::up();
    let mut caller = stand.caller();
    caller.say(&rpc(1, "look"));
    executor.hear_of(&exec(1, "look"));
    let wrong: String = (10..18).map(|n| rpc(n, "none") + "\n").collect();
    let after: String = (20..60).map(|n| rpc(n, "look") + "\n").collect();
    caller.put((wrong + &after).as_bytes());
    for _ in 0..8 {
        assert!(caller.hear().contains("-32601"));
    }
    // What comes after them is pushed back; how much of it is read depends on how it came.
    for number in 20..52 {
        assert!(is_unseen(&caller.hear(), number));
    }
    executor.say(&exit(1, 1, "complete"));
    let mut line = caller.hear();
    while line.contains("-32011") {
        line = caller.hear();
    }
    assert_eq!(line, served(1));
    caller.hear_end();
}

/// Each of these is answered where an id can be read, counts as a fault, and starts nothing.
#[test]
fn fields_that_are_missing_wrong_or_out_of_range_are_told_so() {
    let (stand, mut executor) = Stand::up();
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
        let answer = caller.ask(line);
        assert!(
            answer.contains(r#""id":1,"error":{"code":-32"#) && !answer.contains("-32011"),
            "{line}: {answer}"
        );
        // The connection goes on, as do the others.
        assert!(caller.ask(HEARTBEAT).contains("pass"), "{line}");
    }
    let mut good = stand.caller();
    // The largest body that may be is none of these.
    good.say(&rpc(2, "look").replace("QUJD", &body(2 * 1024 - 2)));
    assert!(executor.hear_of("EXEC").contains(&req(2)));
}

/// Bytes that are no UTF-8, in a string and in the line.
#[test]
fn bytes_that_are_no_text_start_nothing() {
    let (stand, mut executor) = Stand::up();
    for (at, wrong) in [(1, b"\xff\xfe".as_slice()), (2, b"\xc3\x28"), (3, b"\x00")] {
        let mut caller = stand.caller();
        let line = rpc(at, "look").into_bytes();
        let (before, after) = line.split_at(line.windows(4).position(|w| w == b"QUJD").unwrap());
        caller.put(&[before, wrong, after, b"\n"].concat());
        caller.say(HEARTBEAT);
        // Told what is wrong, or ended in order.
        let heard = caller.hear();
        assert!(heard.contains("-32") || heard.contains("pass") || heard.is_empty(), "{heard}");
    }
    let mut good = stand.caller();
    good.say(&rpc(9, "look"));
    assert_eq!(executor.hear_of("EXEC"), exec(9, "look"));
}

/// A caller that writes one byte at a time is served as any other.
#[test]
fn a_caller_that_writes_byte_by_byte_is_served() {
    let (stand, mut executor) = Stand::up();
    let (mut slow, mut quick) = (stand.caller(), stand.caller());
    for byte in (rpc(1, "look") + "\n").bytes() {
        slow.put(&[byte]);
    }
    quick.say(&rpc(2, "look"));
    executor.hear_of(&exec(2, "look"));
    executor.say(&exit(1, 2, "complete"));
    executor.say(&exit(2, 1, "complete"));
    assert_eq!((quick.hear(), slow.hear()), (served(2), served(1)));
}

/// Floods on one connection and on a hundred: health, an RPC of somebody else's, and the program's memory stay as they
/// are, and of what the floods say nothing starts.
#[test]
fn floods_of_noise_hold_up_nobody_and_start_nothing() {
    let stand = Stand::with(|config| config["limits"]["memory_mb"] = 64.into());
    let mut executor = stand.executor();
    executor.say(WARM);
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
    good.say(&rpc(1, "look"));
    assert_eq!(executor.hear_of("EXEC"), exec(1, "look"));
    executor.say(&exit(1, 1, "complete"));
    assert_eq!(good.hear(), served(1));
    assert!(stand.peak_kb() < 32 * 1024, "{} kB", stand.peak_kb());
}
