//! The publisher's log on a storage that fails: acknowledged batches are recovered, whenever the publisher was killed.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_control_plane::publisher_log::{LogError, PublisherLog, Recovered};
use ochrewalk_distribution::messages::{Quota, Resource, Value};
use ochrewalk_distribution::{rollback_changes, Store, StoreLimits};
use ochrewalk_operator_config::resources::quota_name;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

/// A disk: its durable content, and the content with the writes since the last sync.
#[derive(Debug, Default)]
struct Disk {
    synced: Vec<u8>,
    current: Vec<u8>,
    operations: u64,
    /// The number of operations after which the power fails.
    fails_after: u64,
    /// The longest file that the disk can store.
    capacity: u64,
    /// The number of the one sync that fails.
    failing_sync: Option<u64>,
    syncs: u64,
}

#[derive(Clone, Debug)]
struct FaultyStorage(Arc<Mutex<Disk>>);

impl FaultyStorage {
    fn new(content: Vec<u8>, fails_after: u64, capacity: u64) -> FaultyStorage {
        let disk =
            Disk { synced: content.clone(), current: content, fails_after, capacity, ..Disk::default() };
        FaultyStorage(Arc::new(Mutex::new(disk)))
    }

    /// Returns the content of the disk after a power loss: the synced content, with a random subset of the sectors
    /// written since.
    fn after_power_loss(&self, rng: &mut fastrand::Rng) -> Vec<u8> {
        const SECTOR: usize = 512;
        let disk = self.0.lock().unwrap();
        let mut content = disk.synced.clone();
        if rng.bool() {
            content.resize(disk.current.len(), 0);
        }
        for start in (0..content.len().min(disk.current.len())).step_by(SECTOR) {
            let end = (start + SECTOR).min(content.len()).min(disk.current.len());
            if rng.bool() {
                content[start..end].copy_from_slice(&disk.current[start..end]);
            }
        }
        content
    }

    fn operate<T>(&self, act: impl FnOnce(&mut Disk) -> io::Result<T>) -> io::Result<T> {
        let mut disk = self.0.lock().unwrap();
        disk.operations += 1;
        if disk.operations > disk.fails_after {
            return Err(io::Error::other("the power has failed"));
        }
        act(&mut disk)
    }
}

impl StorageBackend for FaultyStorage {
    fn len(&self) -> io::Result<u64> {
        self.operate(|disk| Ok(disk.current.len() as u64))
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.operate(|disk| {
            let from = offset as usize;
            let bytes = disk.current.get(from..from + out.len());
            out.copy_from_slice(bytes.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
            Ok(())
        })
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.operate(|disk| {
            if len > disk.capacity {
                return Err(io::Error::from(io::ErrorKind::StorageFull));
            }
            disk.current.resize(len as usize, 0);
            Ok(())
        })
    }

    fn sync_data(&self) -> io::Result<()> {
        self.operate(|disk| {
            disk.syncs += 1;
            if disk.failing_sync == Some(disk.syncs) {
                return Err(io::Error::other("the sync failed"));
            }
            disk.synced = disk.current.clone();
            Ok(())
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.operate(|disk| {
            let from = offset as usize;
            let to = disk.current.get_mut(from..from + data.len());
            to.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?.copy_from_slice(data);
            Ok(())
        })
    }
}

/// Returns changes that set the quota of the tenant `ten` in each batch, and set and delete another quota alternately.
fn changes(store: &Store) -> Vec<Resource> {
    let next = store.position().revision + 1;
    let set = |tenant: String| Resource {
        name: quota_name(&tenant),
        revision: 0,
        value: Some(Value::Quota(Quota { per_second: next as f64 })),
    };
    let mut changes = vec![set("ten".into()), set(format!("tenant-{next}"))];
    if next.is_multiple_of(3) {
        changes.push(Resource {
            name: quota_name(&format!("tenant-{}", next - 1)),
            revision: 0,
            value: None,
        });
    }
    changes
}

/// Publishes until an error occurs or `batches` were acknowledged. Returns the number of acknowledged batches, and the
/// error.
fn publish(log: &mut PublisherLog, store: &mut Store, batches: u64) -> (u64, Option<LogError>) {
    for acknowledged in 0..batches {
        let batch = store.prepare(&changes(store), None).unwrap();
        let mut after = store.clone();
        after.replay(&batch).unwrap();
        if let Err(error) = log.append(&batch, &after.order(), 0) {
            return (acknowledged, Some(error));
        }
        *store = after;
    }
    (batches, None)
}

fn empty_store() -> Store {
    Store::new(1, StoreLimits::default())
}

fn restored_store(recovered: Recovered) -> Store {
    if recovered.order.epochs.is_empty() {
        return empty_store();
    }
    Store::restore(&recovered.order, recovered.resources, StoreLimits::default())
}

/// Returns the state after this number of batches.
fn state_after(batches: u64) -> Store {
    let mut store = empty_store();
    for _ in 0..batches {
        let changes = changes(&store);
        store.publish(&changes, None).unwrap();
    }
    store
}

fn contents(store: &Store) -> (Vec<Resource>, u64) {
    (store.iter().cloned().collect(), store.position().revision)
}

#[test]
fn a_log_killed_at_any_operation_contains_acknowledged_batches_and_no_partial_one() {
    let reliable = FaultyStorage::new(Vec::new(), u64::MAX, u64::MAX);
    let (mut log, recovered) = PublisherLog::open_with_backend(reliable.clone()).unwrap();
    publish(&mut log, &mut restored_store(recovered), 6);
    drop(log);
    let operations = reliable.0.lock().unwrap().operations;
    let mut rng = fastrand::Rng::with_seed(7);
    for fails_after in 1..operations {
        let storage = FaultyStorage::new(Vec::new(), fails_after, u64::MAX);
        let mut acknowledged = 0;
        if let Ok((mut log, recovered)) = PublisherLog::open_with_backend(storage.clone()) {
            acknowledged = publish(&mut log, &mut restored_store(recovered), 6).0;
        }
        let left = storage.after_power_loss(&mut rng);
        let after = FaultyStorage::new(left, u64::MAX, u64::MAX);
        let (_, recovered) = match PublisherLog::open_with_backend(after) {
            Ok(opened) => opened,
            // Before the file was complete for the first time, no data can be lost.
            Err(_) if acknowledged == 0 => continue,
            Err(error) => panic!("after operation {fails_after}, {acknowledged} acknowledged: {error}"),
        };
        let store = restored_store(recovered);
        let revision = store.position().revision;
        // The last batch may be durable although it was not acknowledged.
        assert!((acknowledged..=acknowledged + 1).contains(&revision), "after operation {fails_after}");
        assert_eq!(contents(&store), contents(&state_after(revision)), "after operation {fails_after}");
    }
}

#[test]
fn a_full_disk_refuses_a_batch_and_acknowledged_batches_are_preserved() {
    let storage = FaultyStorage::new(Vec::new(), u64::MAX, 1536 * 1024);
    let (mut log, recovered) = PublisherLog::open_with_backend(storage.clone()).unwrap();
    let mut store = restored_store(recovered);
    let (acknowledged, failed) = publish(&mut log, &mut store, 5_000);
    assert!(matches!(failed, Some(LogError::Storage(_))), "{acknowledged} fit: {failed:?}");
    assert!(acknowledged > 0);
    // The log does not retry, because the content of the disk is unknown.
    assert!(matches!(publish(&mut log, &mut store, 1), (0, Some(LogError::Failed))));
    drop(log);
    let left = storage.0.lock().unwrap().current.clone();
    let (_, recovered) =
        PublisherLog::open_with_backend(FaultyStorage::new(left, u64::MAX, u64::MAX)).unwrap();
    let store = restored_store(recovered);
    assert_eq!(contents(&store), contents(&state_after(acknowledged)));
}

#[test]
fn a_log_accepts_no_batch_after_a_sync_has_failed_once() {
    let storage = FaultyStorage::new(Vec::new(), u64::MAX, u64::MAX);
    let (mut log, recovered) = PublisherLog::open_with_backend(storage.clone()).unwrap();
    let mut store = restored_store(recovered);
    assert!(publish(&mut log, &mut store, 2).1.is_none());
    {
        let mut disk = storage.0.lock().unwrap();
        disk.failing_sync = Some(disk.syncs + 1);
    }
    assert!(matches!(publish(&mut log, &mut store, 1), (0, Some(LogError::Storage(_)))));
    assert!(matches!(publish(&mut log, &mut store, 1), (0, Some(LogError::Failed))));
}

#[test]
fn batches_are_recorded_for_rollbacks_and_a_second_process_cannot_open_the_log() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let (mut log, recovered) = PublisherLog::open(&path).unwrap();
    let mut store = restored_store(recovered);
    publish(&mut log, &mut store, 5);
    assert!(matches!(PublisherLog::open(&path), Err(LogError::Open(_))));
    drop(log);
    let (log, recovered) = PublisherLog::open(&path).unwrap();
    let mut store = restored_store(recovered);
    let to = state_after(2).position();
    let undo = rollback_changes(&log.batches_after(to.revision).unwrap(), to).unwrap();
    store.publish(&undo, None).unwrap();
    let values =
        |store: &Store| -> Vec<_> { store.iter().map(|r| (r.name.clone(), r.value.clone())).collect() };
    assert_eq!(values(&store), values(&state_after(2)));
}
