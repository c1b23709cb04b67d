//! The state that a node persists for its next start, and the effect of damage to its file.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_control_plane::state_file::{PersistedStep, StateFile, StateFileError};
use ochrewalk_distribution::messages::{Position, Quota, Resource, Value};
use ochrewalk_distribution::CompleteUpdate;
use ochrewalk_operator_config::resources::quota_name;
use std::sync::Arc;

fn quota(tenant: &str, revision: u64) -> Resource {
    Resource { name: quota_name(tenant), revision, value: Some(Value::Quota(Quota { per_second: 1.0 })) }
}

fn at(revision: u64) -> Position {
    Position { epoch: 1, revision }
}

fn update(revision: u64) -> CompleteUpdate {
    CompleteUpdate {
        position: at(revision),
        is_snapshot: false,
        resources: vec![Arc::new(quota(&format!("tenant-{revision}"), revision))],
        absent: vec![quota_name("nobody")],
        horizon: 0,
    }
}

fn write_steps(path: &std::path::Path) -> Vec<PersistedStep> {
    let mut file = StateFile::new(path, "node-1");
    assert!(file.needs_snapshot());
    file.write_snapshot(at(3), [quota("a", 1), quota("b", 3)].iter(), vec![quota_name("c")], 10).unwrap();
    file.append(&update(4), 11).unwrap();
    file.append_forgotten(at(4), vec![quota_name("a")], 12).unwrap();
    file.append(&update(5), 13).unwrap();
    assert!(!file.needs_snapshot());
    let snapshot = CompleteUpdate {
        position: at(3),
        is_snapshot: true,
        resources: vec![Arc::new(quota("a", 1)), Arc::new(quota("b", 3))],
        absent: vec![quota_name("c")],
        horizon: 0,
    };
    vec![
        PersistedStep::Update(snapshot),
        PersistedStep::Update(update(4)),
        PersistedStep::Forgotten(vec![quota_name("a")]),
        PersistedStep::Update(update(5)),
    ]
}

#[test]
fn written_records_are_read_in_order() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    let (_, restored) = StateFile::open(&path, "node-1").unwrap();
    assert_eq!(restored.steps, []);
    let steps = write_steps(&path);
    let (_, restored) = StateFile::open(&path, "node-1").unwrap();
    assert_eq!((restored.steps, restored.unix_ms, restored.damaged_bytes), (steps, 13, 0));
    assert!(matches!(StateFile::open(&path, "node-2"), Err(StateFileError::OtherNode { .. })));
}

/// Truncates the file at each byte, and flips one bit in each byte: the steps that are read are always a prefix of those
/// that were written, or none.
#[test]
fn damage_at_any_byte_leaves_an_older_state_or_none() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    let steps = write_steps(&path);
    let complete = std::fs::read(&path).unwrap();
    for length in 0..complete.len() {
        std::fs::write(&path, &complete[..length]).unwrap();
        check_prefix(&path, &steps, &format!("truncated at {length}"));
    }
    for byte in 0..complete.len() {
        let mut damaged = complete.clone();
        damaged[byte] ^= 1 << (byte % 8);
        std::fs::write(&path, &damaged).unwrap();
        let restored = check_prefix(&path, &steps, &format!("bit flipped in byte {byte}"));
        assert!(restored < steps.len(), "no checksum covers byte {byte}");
    }
}

fn check_prefix(path: &std::path::Path, steps: &[PersistedStep], damage: &str) -> usize {
    match StateFile::open(path, "node-1") {
        Ok((_, restored)) => {
            assert_eq!(restored.steps, steps[..restored.steps.len()], "{damage}");
            restored.steps.len()
        }
        Err(StateFileError::UnknownFormat(_)) => 0,
        Err(other) => panic!("{damage}: {other}"),
    }
}

#[test]
fn a_file_whose_updates_are_larger_than_its_snapshot_is_rewritten() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    let mut file = StateFile::new(&path, "node-1");
    file.write_snapshot(at(0), [].iter(), Vec::new(), 0).unwrap();
    let mut appended = 0;
    while !file.needs_snapshot() {
        appended += 1;
        file.append(&update(appended), 0).unwrap();
        assert!(appended < 10_000, "the file grows without a bound");
    }
    let before = std::fs::metadata(&path).unwrap().len();
    file.write_snapshot(at(appended), [quota("a", 1)].iter(), Vec::new(), 0).unwrap();
    assert!(!file.needs_snapshot());
    assert!(std::fs::metadata(&path).unwrap().len() < before / 100);
}
