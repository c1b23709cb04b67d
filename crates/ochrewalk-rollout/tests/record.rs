//! Tests that a persisted record is read back completely or rejected.

use ochrewalk_rollout::{ControllerNumber, RecordError, RolloutRecord};

/// The offset of the format version in an encoded record: after the tag of the first field.
const FORMAT_VERSION_OFFSET: usize = 1;

#[test]
fn a_record_is_read_back_and_a_truncated_or_newer_one_is_rejected() {
    let record = RolloutRecord {
        controller: ControllerNumber(7),
        stage: 2,
        rollback_reason: Some("slow".into()),
        changed_nodes: vec![3, 0, 2],
        is_finished: false,
    };
    let mut bytes = record.encode();
    assert_eq!(RolloutRecord::decode(&bytes), Ok(record));
    let truncated = RolloutRecord::decode(&bytes[..bytes.len() - 1]);
    assert!(matches!(truncated, Err(RecordError::Malformed(_))), "{truncated:?}");
    assert_eq!(bytes[..=FORMAT_VERSION_OFFSET], [0x08, 1], "tag of field 1, version 1");
    bytes[FORMAT_VERSION_OFFSET] = 2;
    let newer = RolloutRecord::decode(&bytes).unwrap_err();
    assert_eq!(newer, RecordError::UnknownVersion { found: 2 });
    assert!(newer.to_string().contains("version 2"), "{newer}");
}
