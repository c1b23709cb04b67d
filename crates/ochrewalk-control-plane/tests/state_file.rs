//! What a node keeps for its next start, and what damage to it leads to.
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

fn written(path: &std::path::Path) -> Vec<PersistedStep> {
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
fn what_is_written_is_read_again_in_its_order() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    let (_, kept) = StateFile::open(&path, "node-1").unwrap();
    assert_eq!(kept.steps, []);
    let steps = written(&path);
    let (_, kept) = StateFile::open(&path, "node-1").unwrap();
    assert_eq!((kept.steps, kept.unix_ms, kept.damaged_bytes), (steps, 13, 0));
    assert!(matches!(StateFile::open(&path, "node-2"), Err(StateFileError::OtherNode { .. })));
}

/// A file cut off at any byte, and one with any bit turned over: what is read is always the first steps, whole, or nothing.
#[test]
fn damage_at_any_byte_leaves_an_older_state_or_none() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    let steps = written(&path);
    let whole = std::fs::read(&path).unwrap();
    for length in 0..whole.len() {
        std::fs::write(&path, &whole[..length]).unwrap();
        check_prefix(&path, &steps, &format!("cut off at {length}"));
    }
    for byte in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[byte] ^= 1 << (byte % 8);
        std::fs::write(&path, &damaged).unwrap();
        let kept = check_prefix(&path, &steps, &format!("bit turned over in byte {byte}"));
        assert!(kept < steps.len(), "byte {byte} is covered by no checksum");
    }
}

fn check_prefix(path: &std::path::Path, steps: &[PersistedStep], what: &str) -> usize {
    match StateFile::open(path, "node-1") {
        Ok((_, kept)) => {
            assert_eq!(kept.steps, steps[..kept.steps.len()], "{what}");
            kept.steps.len()
        }
        Err(StateFileError::UnknownFormat(_)) => 0,
        Err(other) => panic!("{what}: {other}"),
    }
}

#[test]
fn a_file_whose_updates_take_more_than_its_snapshot_is_rewritten() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    let mut file = StateFile::new(&path, "node-1");
    file.write_snapshot(at(0), [].iter(), Vec::new(), 0).unwrap();
    let mut appended = 0;
    while !file.needs_snapshot() {
        appended += 1;
        file.append(&update(appended), 0).unwrap();
        assert!(appended < 10_000, "it grows without a bound");
    }
    let before = std::fs::metadata(&path).unwrap().len();
    file.write_snapshot(at(appended), [quota("a", 1)].iter(), Vec::new(), 0).unwrap();
    assert!(!file.needs_snapshot());
    assert!(std::fs::metadata(&path).unwrap().len() < before / 100);
}
