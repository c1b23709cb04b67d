//! Tests exhausted descriptors, and memory over a long run. The tests check what the node holds, and no times.

use crate::helper::*;
use crate::WARM_WELCOME;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// With no file descriptor left, connected callers are served; a new caller waits, and is accepted once a descriptor is free.
#[test]
fn with_no_descriptor_left_the_node_serves_its_callers_and_accepts_others_later() {
    let node = TestNode::start_with_descriptors(40);
    let mut executor = node.executor();
    executor.send_line(WARM_WELCOME);
    let mut first = node.caller();
    first.wait_healthy();
    let mut callers: Vec<Peer> = (0..60).map(|_| node.caller()).collect();
    // All of them send a heartbeat, so that none is closed to free a descriptor.
    callers.iter_mut().for_each(|peer| peer.send_line(HEARTBEAT));
    for number in 2..12 {
        first.send_line(&rpc(number, "look"));
        executor.read_until(&exec(number, "look"));
        executor.send_line(&exit(number - 1, number, "complete"));
        assert_eq!(first.read_line(), served(number));
    }
    let mut last = node.caller();
    last.send_line(HEARTBEAT);
    drop(callers);
    assert!(last.read_line().contains("pass"));
}

/// However many RPCs with idempotency keys complete, their stored results stay within their share of a small memory limit, and
/// none of the RPCs runs again.
#[test]
fn stored_results_stay_within_the_memory_limit() {
    let node = TestNode::start_with(|config| {
        config["limits"]["memory_mb"] = 32.into();
        // This test is not about the memory that keys take at the executor.
        config["settings"]["extra"]["key-kb"] = 0.001.into();
    });
    let mut executor = node.executor();
    executor.send_line(WARM_WELCOME);
    let mut caller = node.caller();
    caller.wait_healthy();
    let sale =
        |number: u64| rpc_with(number, "sale", unix_ms(), &format!(r#","opkey":"k{}""#, number % 10_000));
    let result = "A".repeat(5_000);
    for number in 1..=6_000 {
        caller.send_line(&sale(number));
        assert_eq!(executor.read_until("EXEC"), exec(number, "sale"));
        let notice = exit(number, number, "complete").replace("UkVT", &result);
        executor.send_line(&notice);
        let answer = caller.read_line();
        assert!(answer.contains(&result), "{number}: {answer}");
    }
    // The results of the last RPCs are stored, those of the first are evicted: these RPCs have run, and never run again.
    for (number, expected) in [(16_000, result.as_str()), (10_001, "-32000")] {
        let answer = caller.request(&sale(number));
        assert!(answer.contains(expected), "{number}: {answer}");
    }
    assert!(node.peak_kb() < 32 * 1024 * 9 / 10, "{} kB", node.peak_kb());
}

/// While the directory is down, idle callers connect up to and beyond the descriptors of the node's configuration file, which is
/// also the system's limit. A caller with an RPC in flight is still served, and once the directory is up, the node reports its
/// health there and accepts new callers.
#[test]
fn idle_callers_do_not_cut_a_node_off_from_its_directory_or_active_callers() {
    const DESCRIPTORS: u32 = 64;
    const MAX_IDLE: usize = 2_000;
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
    const CALLER_INTERVAL: Duration = Duration::from_millis(5);
    let directory_address: SocketAddr = own_address(7303).parse().unwrap();
    let node = TestNode::start_with_descriptors_and_config(DESCRIPTORS, |config| {
        config["limits"]["sockets"] = DESCRIPTORS.into();
        config["lookup"] = directory_address.to_string().into();
    });
    let mut executor = node.executor();
    executor.send_line(WARM_WELCOME);
    let mut first = node.caller();
    first.wait_healthy();
    start_with_callout(1, "look", &mut first, &mut executor);
    let mut idle: Vec<Peer> = Vec::new();
    for number in 2..22 {
        // Idle callers connect after each answer: their number passes half of the descriptors, then all, and reaches about twice
        // as many.
        for _ in 0..DESCRIPTORS / 10 {
            let mut caller = node.caller();
            caller.send_line(HEARTBEAT);
            idle.push(caller);
        }
        first.send_line(&rpc(number, "look"));
        executor.read_until(&exec(number, "look"));
        executor.send_line(&exit(number + 1, number, "complete"));
        assert_eq!(first.read_line(), served(number));
    }
    assert!(idle.len() > DESCRIPTORS as usize);
    // New callers replace those that are closed, until the node has reported to the directory.
    let (has_reported, address) = (Arc::new(AtomicBool::new(false)), node.address.clone());
    let stop = has_reported.clone();
    let connector = std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) && idle.len() < MAX_IDLE {
            if let Ok(stream) = TcpStream::connect_timeout(&address.parse().unwrap(), CONNECT_TIMEOUT) {
                let mut caller = Peer::new(stream);
                let _ = caller.stream.write_all(HEARTBEAT.as_bytes());
                let _ = caller.stream.write_all(b"\n");
                idle.push(caller);
            }
            std::thread::sleep(CALLER_INTERVAL);
        }
        idle
    });
    let directory = TcpListener::bind(directory_address).unwrap();
    let mut report = Peer::accept(&directory);
    assert_eq!(report.read_line(), "PUT /dir/nodes/n3 HTTP/1.1");
    while !report.read_line().is_empty() {}
    assert_eq!(report.read_bytes(15), br#"{"mode":"open"}"#);
    report.write_bytes(b"HTTP/1.1 204 No Content\r\n\r\n");
    has_reported.store(true, Ordering::Relaxed);
    let _idle = connector.join().unwrap();
    let mut last = node.caller();
    assert!(last.request(HEARTBEAT).contains("\"pass\":true"));
    executor.send_line(&exit(23, 1, "complete"));
    assert_eq!(first.read_line(), served(1));
}
