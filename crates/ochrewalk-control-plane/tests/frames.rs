//! Envelopes on a stream, regardless of how their bytes are split.

use ochrewalk_control_plane::frame::{encode, FrameDecoder, FrameError};
use ochrewalk_distribution::messages::{Body, Heartbeat, Position, RetryLater};

fn heartbeat(revision: u64) -> Body {
    Body::Heartbeat(Heartbeat { position: Position { epoch: 1, revision }, age_ms: revision / 2 })
}

fn decode_all(decoder: &mut FrameDecoder) -> Result<Vec<Body>, FrameError> {
    let mut bodies = Vec::new();
    while let Some(body) = decoder.next_message()? {
        bodies.push(body);
    }
    Ok(bodies)
}

#[test]
fn messages_are_decoded_however_their_bytes_are_split() {
    let sent = vec![heartbeat(1), Body::RetryLater(RetryLater { after_ms: 300 }), heartbeat(u64::MAX)];
    let mut bytes = Vec::new();
    sent.iter().cloned().for_each(|body| encode(body, &mut bytes));
    for first in 0..=bytes.len() {
        for second in first..=bytes.len() {
            let mut decoder = FrameDecoder::new(64);
            let mut received = Vec::new();
            for part in [&bytes[..first], &bytes[first..second], &bytes[second..]] {
                decoder.push(part);
                received.extend(decode_all(&mut decoder).unwrap());
            }
            assert_eq!(received, sent, "split at {first} and {second}");
        }
    }
}

#[test]
fn malformed_or_too_long_messages_are_refused_before_they_are_buffered() {
    let cases: [(&[u8], FrameError); 3] = [
        (&[0x80, 0x80, 0x04], FrameError::TooLong { length: 65_536, limit: 64 }),
        (&[0xff; 10], FrameError::Malformed),
        // The length of the field exceeds that of the message.
        (&[0x02, 0x0a, 0x05], FrameError::Malformed),
    ];
    for (bytes, expected) in cases {
        let mut decoder = FrameDecoder::new(64);
        decoder.push(bytes);
        assert_eq!(decode_all(&mut decoder), Err(expected), "{bytes:x?}");
    }
}

#[test]
fn a_message_of_a_later_version_is_skipped() {
    let mut bytes = Vec::new();
    // Field 900 of an envelope, with two bytes.
    bytes.extend([0x05, 0xa2, 0x38, 0x02, 0x01, 0x02]);
    encode(heartbeat(7), &mut bytes);
    let mut decoder = FrameDecoder::new(64);
    decoder.push(&bytes);
    assert_eq!(decode_all(&mut decoder), Ok(vec![heartbeat(7)]));
}

/// The frames are those that the tests of the distribution record, one of each message.
#[test]
fn each_recorded_frame_is_decoded_and_encoded_again_byte_for_byte() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../ochrewalk-distribution/tests/fixtures/messages");
    let mut frames = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let recorded = std::fs::read(&path).unwrap();
        let mut decoder = FrameDecoder::new(1024);
        decoder.push(&recorded);
        let bodies = decode_all(&mut decoder).unwrap();
        let mut encoded = Vec::new();
        bodies.iter().cloned().for_each(|body| encode(body, &mut encoded));
        assert_eq!((bodies.len(), encoded), (1, recorded), "{}", path.display());
        frames += 1;
    }
    assert_eq!(frames, 15);
}
