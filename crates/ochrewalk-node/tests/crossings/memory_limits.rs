//! Tests clients by the hundred that begin messages and do not complete them: the node stays within its memory limit and serves
//! others.

use crate::helper::*;
use crate::{complete_runs_with, start_small_node, AJP_DIRECTIVES, SMALL_MEMORY_MB};
use ochrewalk_ajp::request::{Message, Request};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// More clients than the node accepts, for each protocol.
const CLIENTS: usize = 400;
/// The number of headers that a packet may have, without the one that states the body.
const SHORT_HEADERS: usize = 99;

/// Returns the head of an AJP request with as many short headers as are allowed, and with a body that does not follow.
fn head_of_many_short_fields() -> Vec<u8> {
    let names: Vec<String> = (0..SHORT_HEADERS).map(|index| index.to_string()).collect();
    let mut headers: Vec<(&[u8], &[u8])> = names.iter().map(|name| (name.as_bytes(), &b""[..])).collect();
    headers.push((b"content-length", b"2000"));
    let (method, protocol, uri) = (b"POST", b"HTTP/1.1", b"/look");
    let request = Request { method, protocol, uri, headers, ..Request::default() };
    let mut packet = Vec::new();
    ochrewalk_ajp::request::write_message(&mut packet, &Message::ForwardRequest(request), 8_192).unwrap();
    packet
}

/// Writes each client's bytes, in pieces as the node reads them, until the node has closed all connections.
fn write_until_closed(address: &str, bytes: impl Fn(usize) -> Vec<u8>) {
    let mut clients: Vec<(TcpStream, Vec<u8>)> = (0..CLIENTS)
        .map(|index| {
            let stream = TcpStream::connect(address).unwrap();
            stream.set_nonblocking(true).unwrap();
            (stream, bytes(index))
        })
        .collect();
    while !clients.is_empty() {
        clients.retain_mut(|(stream, bytes)| {
            if let Ok(written) = stream.write(bytes) {
                bytes.drain(..written);
            }
            match stream.read(&mut [0; 512]) {
                Ok(read) => read > 0,
                Err(err) => err.kind() == ErrorKind::WouldBlock,
            }
        });
        std::thread::yield_now();
    }
}

/// Guards against clients by the hundred, each with half of a message within its own limit, that take the node over the memory
/// limit of its process. Some have stopped in a large message, others in one of many short fields.
#[test]
fn hundreds_of_half_messages_stay_within_the_memory_limit() {
    let directives = format!("{AJP_DIRECTIVES}ajp packet 64k\najp connections 128\n");
    let (node, executor, _) = start_small_node(&directives);
    std::thread::spawn(move || complete_runs_with(executor, "UkVT"));
    let half_line = rpc(7, "look").replace("QUJD", &"A".repeat(16_000)).into_bytes()[..16_000].to_vec();
    let short_fields = format!("{{{}", "\"a\":1,".repeat(2_600)).into_bytes();
    // The start of a packet that states the largest length.
    let half_packet = [&[0x12, 0x34, 0xff, 0xf0][..], &[2; 65_000]].concat();
    let head = head_of_many_short_fields();
    let lines = |index: usize| if index.is_multiple_of(8) { short_fields.clone() } else { half_line.clone() };
    let packets = |index: usize| if index.is_multiple_of(8) { head.clone() } else { half_packet.clone() };
    std::thread::scope(|scope| {
        scope.spawn(|| write_until_closed(&node.address, lines));
        scope.spawn(|| write_until_closed(&node.ajp, packets));
    });
    let answer = node.caller().request(&rpc(1, "look"));
    assert!(answer.contains("result"), "{answer}");
    // An eighth of the limit is reserved for results of RPCs with idempotency keys, which these clients do not cause.
    assert!(node.peak_kb() < SMALL_MEMORY_MB * 1024 * 7 / 8, "the node has used {} kB", node.peak_kb());
}
