//! Tests the counters of a node over time, and the framing of messages on a stream.

use ochrewalk_rollout::framing::{encode_message, read_message};
use ochrewalk_rollout::messages::{CommandMessage, MethodCounters, Request, Target};
use ochrewalk_rollout::CallCounts;

#[test]
fn counts_are_increases_and_a_counter_that_decreased_was_reset() {
    let message = |calls, missed, failed| MethodCounters { name: "a".into(), calls, missed, failed };
    let counts = |calls, missed, failed| CallCounts { calls, missed, failed };
    assert_eq!(message(9, 4, 2).since(Some(&message(5, 4, 1))), counts(4, 0, 1));
    assert_eq!(message(9, 4, 2).since(None), counts(9, 4, 2));
    assert_eq!(message(3, 1, 0).since(Some(&message(5, 4, 1))), counts(3, 1, 0));
}

#[test]
fn a_stream_yields_complete_messages_or_an_error() {
    let target = Target { is_settings: true, path: "/a".into(), fingerprint: 7 };
    let request = Request::command(CommandMessage { target: Some(target), ..CommandMessage::default() });
    let bytes = encode_message(&request);
    assert_eq!(read_message::<Request>(&mut &bytes[..]).unwrap(), request);
    assert!(read_message::<Request>(&mut &bytes[..bytes.len() - 1]).is_err());
    assert!(read_message::<Request>(&mut &[0xff; 8][..]).is_err(), "longer than the maximum");
    assert!(read_message::<Request>(&mut &[0, 0, 0, 2, 0xff, 0xff][..]).is_err());
}
