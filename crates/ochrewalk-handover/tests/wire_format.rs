//! Tests the format of each message against a committed file that an earlier version wrote: the file is
//! decoded, compared field by field, and encoded to the same bytes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_handover::framing::{self, Decoded};
use ochrewalk_handover::messages::{
    self, Chunk, ChunkCount, Empty, Hello, Message, Offer, Prepare, Refusal, Section,
};
use std::path::Path;

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read(&path).unwrap_or_else(|err| panic!("{}: {err}", path.display()))
}

/// Asserts that the file holds exactly this message, and that the message is encoded to the same bytes.
fn assert_wire_format(name: &str, expected: Message) {
    let bytes = fixture(name);
    let read = Decoded::Message { message: expected.clone(), length: bytes.len() };
    assert_eq!(framing::decode(&bytes).unwrap(), read, "{name}");
    assert_eq!(framing::encode(expected), bytes, "{name}");
}

#[test]
fn the_opening_messages_keep_their_wire_format() {
    let hello = Hello { oldest: 1, newest: 2, program: "0.1.0".into(), digest: 0x0123_4567_89ab_cdef };
    assert_wire_format("greet.bin", Message::Hello(hello));
    let section = |name: &str, version| Section { name: name.into(), version };
    let sections = vec![section("node", 1), section("rpcs", 3), section("tokens", 2)];
    let offer = Offer { version: 2, sections, bytes: 73_400_320, descriptors: 612 };
    assert_wire_format("offer.bin", Message::Offer(offer));
    assert_wire_format("prepare.bin", Message::Prepare(Prepare {}));
}

#[test]
fn the_messages_that_carry_state_keep_their_wire_format() {
    let chunk = Chunk { section: "json".into(), bytes: vec![0, 1, 2, 0xfe, 0xff], descriptors: 250 };
    assert_wire_format("part.bin", Message::Chunk(chunk));
    assert_wire_format("ahead.bin", Message::AheadComplete(ChunkCount { chunks: 1_000 }));
    assert_wire_format("last.bin", Message::TransferComplete(ChunkCount { chunks: 7 }));
}

#[test]
fn the_messages_that_transfer_the_right_to_act_keep_their_wire_format() {
    assert_wire_format("ready.bin", Message::Ready(Empty {}));
    assert_wire_format("commit.bin", Message::Loaded(Empty {}));
    assert_wire_format("go.bin", Message::Release(Empty {}));
    assert_wire_format("done.bin", Message::Started(Empty {}));
}

#[test]
fn the_messages_that_end_an_attempt_keep_their_wire_format() {
    let refusal = Refusal { reason: "its files set what only a start can change".into() };
    assert_wire_format("refuse.bin", Message::Refuse(refusal));
    let abort = Refusal { reason: "101 bytes of state, room for 100".into() };
    assert_wire_format("abort.bin", Message::Abort(abort));
}

/// Tests the limits that both programs have to agree on.
#[test]
fn the_limits_of_a_message_are_those_of_earlier_versions() {
    assert_eq!(
        (framing::LENGTH_PREFIX_BYTES, framing::MAX_MESSAGE_BYTES, messages::MAX_DESCRIPTORS),
        (4, 1_048_576, 250)
    );
    assert_eq!((ochrewalk_handover::OLDEST_VERSION, ochrewalk_handover::NEWEST_VERSION), (1, 2));
}
