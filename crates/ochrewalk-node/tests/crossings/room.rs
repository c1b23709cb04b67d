//! What runs out: descriptors, and memory over a long run. What is kept is counted, no time.

use crate::helper::*;
use crate::WARM;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The system gives no further descriptor: who is connected is served, who comes waits, and is taken once there is room.
#[test]
fn with_no_descriptor_left_the_node_serves_on_and_takes_callers_once_there_are() {
    let stand = TestNode::start_with_descriptors(40);
    let mut executor = stand.executor();
    executor.send_line(WARM);
    let mut first = stand.caller();
    first.wait_healthy();
    let mut crowd: Vec<Peer> = (0..60).map(|_| stand.caller()).collect();
    // All of them talk, so that none goes to make room.
    crowd.iter_mut().for_each(|peer| peer.send_line(HEARTBEAT));
    for number in 2..12 {
        first.send_line(&rpc(number, "look"));
        executor.read_until(&exec(number, "look"));
        executor.send_line(&exit(number - 1, number, "complete"));
        assert_eq!(first.read_line(), served(number));
    }
    let mut last = stand.caller();
    last.send_line(HEARTBEAT);
    drop(crowd);
    assert!(last.read_line().contains("pass"));
}

/// Results of keyed RPCs come for as long as one likes: what is kept of them stays inside its share of a small limit, and
/// none of them runs again.
#[test]
fn results_that_are_kept_stay_inside_the_limit_however_many_come() {
    let stand = TestNode::start_with(|config| {
        config["limits"]["memory_mb"] = 32.into();
        // What the executor's memory holds of keys is not what is asked here.
        config["settings"]["extra"]["key-kb"] = 0.001.into();
    });
    let mut executor = stand.executor();
    executor.send_line(WARM);
    let mut caller = stand.caller();
    caller.wait_healthy();
    let sale =
        |number: u64| rpc_with(number, "sale", unix_ms(), &format!(r#","opkey":"k{}""#, number % 10_000));
    let result = "A".repeat(5_000);
    for number in 1..=6_000 {
        caller.send_line(&sale(number));
        assert_eq!(executor.read_until("EXEC"), exec(number, "sale"));
        let whole = exit(number, number, "complete").replace("UkVT", &result);
        executor.send_line(&whole);
        let answer = caller.read_line();
        assert!(answer.contains(&result), "{number}: {answer}");
    }
    // The last ones have their results, the first ones' are gone: they ran, and never do again.
    for (number, wanted) in [(16_000, result.as_str()), (10_001, "-32000")] {
        let answer = caller.request(&sale(number));
        assert!(answer.contains(wanted), "{number}: {answer}");
    }
    assert!(stand.peak_kb() < 32 * 1024 * 9 / 10, "{} kB", stand.peak_kb());
}

/// The directory is down while idle callers come up to and beyond the descriptors of the node's file, which the system gives
/// and no more: who has an RPC under way is served on, and once the directory is up it hears of the node's health and new
/// callers get in.
#[test]
fn idle_callers_do_not_keep_a_node_from_its_directory_nor_from_those_it_serves() {
    const DESCRIPTORS: u32 = 64;
    const MOST_IDLE: usize = 2_000;
    const CONNECT: Duration = Duration::from_millis(100);
    const BETWEEN_CALLERS: Duration = Duration::from_millis(5);
    let directory_at: SocketAddr = own_address(7303).parse().unwrap();
    let stand = TestNode::start_with_descriptors_and_config(DESCRIPTORS, |config| {
        config["limits"]["sockets"] = DESCRIPTORS.into();
        config["lookup"] = directory_at.to_string().into();
    });
    let mut executor = stand.executor();
    executor.send_line(WARM);
    let mut first = stand.caller();
    first.wait_healthy();
    start_with_callout(1, "look", &mut first, &mut executor);
    let mut idle: Vec<Peer> = Vec::new();
    for number in 2..22 {
        // More of them after each answer: as many as half of the descriptors, all, and twice as many.
        for _ in 0..DESCRIPTORS / 10 {
            let mut caller = stand.caller();
            caller.send_line(HEARTBEAT);
            idle.push(caller);
        }
        first.send_line(&rpc(number, "look"));
        executor.read_until(&exec(number, "look"));
        executor.send_line(&exit(number + 1, number, "complete"));
        assert_eq!(first.read_line(), served(number));
    }
    assert!(idle.len() > DESCRIPTORS as usize);
    // Others take the place of each that goes, for as long as the directory has not heard of the node.
    let (has_reported, at) = (Arc::new(AtomicBool::new(false)), stand.address.clone());
    let told = has_reported.clone();
    let crowd = std::thread::spawn(move || {
        while !told.load(Ordering::Relaxed) && idle.len() < MOST_IDLE {
            if let Ok(stream) = TcpStream::connect_timeout(&at.parse().unwrap(), CONNECT) {
                let mut caller = Peer::new(stream);
                let _ = caller.stream.write_all(HEARTBEAT.as_bytes());
                let _ = caller.stream.write_all(b"\n");
                idle.push(caller);
            }
            std::thread::sleep(BETWEEN_CALLERS);
        }
        idle
    });
    let directory = TcpListener::bind(directory_at).unwrap();
    let mut report = Peer::accept(&directory);
    assert_eq!(report.read_line(), "PUT /dir/nodes/n3 HTTP/1.1");
    while !report.read_line().is_empty() {}
    assert_eq!(report.read_bytes(15), br#"{"mode":"open"}"#);
    report.write_bytes(b"HTTP/1.1 204 No Content\r\n\r\n");
    has_reported.store(true, Ordering::Relaxed);
    let _idle = crowd.join().unwrap();
    let mut last = stand.caller();
    assert!(last.request(HEARTBEAT).contains("\"pass\":true"));
    executor.send_line(&exit(23, 1, "complete"));
    assert_eq!(first.read_line(), served(1));
}
