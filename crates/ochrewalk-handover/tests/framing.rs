//! Tests that messages are decoded whatever the split of the stream, and that invalid input is rejected.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_handover::framing::{decode, encode, DecodeError, Decoded};
use ochrewalk_handover::messages::{Chunk, Empty, Hello, Message, Offer, Prepare, Section};

fn messages() -> Vec<Message> {
    let section = Section { name: "a".into(), version: 1 };
    vec![
        Message::Hello(Hello { oldest: 1, newest: 2, program: "1".into(), digest: 3 }),
        Message::Offer(Offer { version: 1, sections: vec![section], bytes: 1, descriptors: 2 }),
        Message::Chunk(Chunk { section: "x".into(), bytes: vec![1, 2], descriptors: 1 }),
        Message::Prepare(Prepare {}),
        Message::Release(Empty {}),
    ]
}

#[test]
fn messages_are_decoded_at_any_split_and_unknown_ones_can_be_skipped() {
    for message in messages() {
        let bytes = encode(message.clone());
        for cut in 0..bytes.len() {
            assert_eq!(decode(&bytes[..cut]), Ok(Decoded::Incomplete));
        }
        assert_eq!(decode(&bytes), Ok(Decoded::Message { message, length: bytes.len() }));
    }
    // Field 99 stands for a message of a newer program: it is decoded as unknown and can be skipped.
    let newer = [0, 0, 0, 4, 0x9a, 0x06, 0x01, 0x00];
    assert_eq!(decode(&newer), Ok(Decoded::Unknown { length: 8 }));
    assert_eq!(decode(&[0x7f, 0, 0, 0]), Err(DecodeError::TooLong { length: 0x7f00_0000 }));
    assert!(matches!(decode(&[0, 0, 0, 1, 0xff]), Err(DecodeError::Malformed(_))));
}
