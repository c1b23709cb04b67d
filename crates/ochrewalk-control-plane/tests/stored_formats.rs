//! The formats on disk: a recorded log of a publisher and a recorded state file of a node are read, and written again as
//! the same records.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_control_plane::publisher_log::PublisherLog;
use ochrewalk_control_plane::state_file::{PersistedStep, StateFile};
use ochrewalk_distribution::messages::{
    Endpoint, Limit, Position, Quota, Resource, ResourceKind, ResourceName, Route, Value,
};
use ochrewalk_distribution::{Batch, ChangeOrder, CompleteUpdate, EpochStart, Store, StoreLimits};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The limits of the store, which has at most one tombstone: the log contains one more deletion, whose tombstone the store has
/// dropped.
const LIMITS: StoreLimits = StoreLimits { tombstones: 1 };

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn quota(tenant: &str, per_second: f64) -> Resource {
    let name = ResourceName::new(ResourceKind::Quota, "", tenant);
    Resource::set(name, Value::Quota(Quota { per_second }))
}

fn deleted_quota(tenant: &str) -> Resource {
    Resource::delete(quota(tenant, 0.0).name)
}

fn route() -> Resource {
    let name = ResourceName::new(ResourceKind::Route, "shop", "GET /orders");
    let value = Route { http_method: "GET".into(), path: "/orders".into(), method: "look".into() };
    Resource::set(name, Value::Route(value))
}

fn endpoint() -> Resource {
    let name = ResourceName::new(ResourceKind::Endpoint, "shop", "10.0.0.1:8009");
    Resource::set(name, Value::Endpoint(Endpoint { weight: 0.5, zone: "north-1".into() }))
}

fn limit() -> Resource {
    let name = ResourceName::new(ResourceKind::Limit, "", "usual-memory");
    Resource::set(name, Value::Limit(Limit { amount: 4e9 }))
}

/// The batches appended to a publisher's log, each with the resulting order of changes.
struct History {
    store: Store,
    appended: Vec<(Batch, ChangeOrder, u64)>,
}

impl History {
    fn append(&mut self, batch: Batch) {
        let unix_ms = 1_700_000_000_000 + 1_000 * self.appended.len() as u64;
        self.appended.push((batch, self.store.order(), unix_ms));
    }

    fn begin_epoch(&mut self) {
        let batch = self.store.new_epoch();
        self.append(batch);
    }

    fn publish(&mut self, changes: &[Resource]) {
        let batch = self.store.publish(changes, None).unwrap();
        self.append(batch);
    }
}

/// Returns a history with two epochs, resources of all kinds, two deletions, and a later epoch that was observed.
fn history() -> History {
    let store = Store::restore(&ChangeOrder::default(), [], LIMITS);
    let mut history = History { store, appended: Vec::new() };
    history.begin_epoch();
    history.publish(&[quota("alpha", 1.0), quota("beta", 2.5), quota("gamma", 3.0), route()]);
    history.publish(&[deleted_quota("beta"), limit(), quota("gamma", 4.0)]);
    history.begin_epoch();
    history.publish(&[quota("alpha", 5.0), endpoint(), deleted_quota("gamma")]);
    history.store.observe_epoch(3);
    let position = history.store.position();
    history.append(Batch { position, resources: Vec::new(), previous: Vec::new() });
    history
}

fn write_log(path: &Path) {
    let (mut log, _) = PublisherLog::open(path).unwrap();
    for (batch, order, unix_ms) in &history().appended {
        log.append(batch, order, *unix_ms).unwrap();
    }
}

/// Returns all keys and values of all tables, as bytes.
fn records(path: &Path) -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let database = Database::open(path).unwrap();
    let transaction = database.begin_read().unwrap();
    let mut records = Vec::new();
    let resources: TableDefinition<&[u8], &[u8]> = TableDefinition::new("resources");
    for entry in transaction.open_table(resources).unwrap().iter().unwrap() {
        let (key, value) = entry.unwrap();
        records.push(("resources", key.value().to_vec(), value.value().to_vec()));
    }
    let order: TableDefinition<&str, &[u8]> = TableDefinition::new("order");
    for entry in transaction.open_table(order).unwrap().iter().unwrap() {
        let (key, value) = entry.unwrap();
        records.push(("order", key.value().as_bytes().to_vec(), value.value().to_vec()));
    }
    let batches: TableDefinition<u64, &[u8]> = TableDefinition::new("batches");
    for entry in transaction.open_table(batches).unwrap().iter().unwrap() {
        let (key, value) = entry.unwrap();
        records.push(("batches", key.value().to_be_bytes().to_vec(), value.value().to_vec()));
    }
    records
}

/// The publisher was killed while it wrote a further batch that was not acknowledged: the log does not contain that
/// batch.
#[test]
fn a_recorded_log_with_a_torn_last_batch_is_read_and_written_again_as_the_same_records() {
    let folder = tempfile::tempdir().unwrap();
    let recorded = folder.path().join("recorded");
    std::fs::copy(fixture("publisher-log.redb"), &recorded).unwrap();
    let (log, recovered) = PublisherLog::open(&recorded).unwrap();
    let history = history();
    let epochs = [(0, 0), (1, 0), (2, 2)].map(|(epoch, after_revision)| EpochStart { epoch, after_revision });
    let order = ChangeOrder { revision: 3, epochs: epochs.into(), horizon: 2, highest_epoch: 3 };
    assert_eq!(recovered.order, order);
    assert_eq!(recovered.order, history.store.order());
    let at_revision = |revision, resource| Resource { revision, ..resource };
    let mut resources = vec![
        at_revision(3, quota("alpha", 5.0)),
        at_revision(2, deleted_quota("beta")),
        at_revision(3, deleted_quota("gamma")),
        at_revision(1, route()),
        at_revision(3, endpoint()),
        at_revision(2, limit()),
    ];
    resources.sort_by(|one, other| one.name.cmp(&other.name));
    let mut found = recovered.resources.clone();
    found.sort_by(|one, other| one.name.cmp(&other.name));
    assert_eq!(found, resources);
    let batches: Vec<Batch> = history.appended.iter().map(|(batch, _, _)| batch.clone()).collect();
    let with_changes = batches.into_iter().filter(|batch| !batch.resources.is_empty());
    assert_eq!(log.batches_after(0).unwrap(), with_changes.collect::<Vec<_>>());
    drop(log);
    let written = folder.path().join("written");
    write_log(&written);
    assert_eq!(records(&written), records(&recorded));
    assert_eq!(records(&written).len(), 6 + 3 + 1);
}

fn update(revision: u64, resources: Vec<Resource>, absent: Vec<ResourceName>) -> CompleteUpdate {
    CompleteUpdate {
        position: Position { epoch: 2, revision },
        is_snapshot: revision == 3,
        resources: resources.into_iter().map(Arc::new).collect(),
        absent,
        horizon: 0,
    }
}

fn at(revision: u64, resource: Resource) -> Resource {
    Resource { revision, ..resource }
}

/// Returns a snapshot, an update with a deletion, names that are no longer watched, and an update that is torn in the
/// file.
fn steps() -> [PersistedStep; 4] {
    let snapshot = vec![at(1, quota("alpha", 1.0)), at(2, route()), at(3, endpoint())];
    let changes = vec![at(4, deleted_quota("alpha")), at(5, limit())];
    [
        PersistedStep::Update(update(3, snapshot, vec![quota("nobody", 0.0).name])),
        PersistedStep::Update(update(5, changes, vec![quota("beta", 0.0).name])),
        PersistedStep::Forgotten(vec![quota("beta", 0.0).name, quota("nobody", 0.0).name]),
        PersistedStep::Update(update(6, vec![at(6, quota("gamma", 7.0))], Vec::new())),
    ]
}

fn write_state(path: &Path) {
    let mut file = StateFile::new(path, "node-1");
    for (step, unix_ms) in steps().into_iter().zip(1_700_000_000_000..) {
        match step {
            PersistedStep::Update(update) if update.is_snapshot => {
                let resources = update.resources.iter().map(Arc::as_ref);
                file.write_snapshot(update.position, resources, update.absent.clone(), unix_ms).unwrap();
            }
            PersistedStep::Update(update) => file.append(&update, unix_ms).unwrap(),
            PersistedStep::Forgotten(names) => {
                file.append_forgotten(Position { epoch: 2, revision: 5 }, names, unix_ms).unwrap();
            }
        }
    }
}

#[test]
fn a_recorded_state_file_with_a_torn_last_record_is_read_and_written_again_byte_for_byte() {
    /// The number of bytes that the last record lacks in the recorded file.
    const TORN_BYTES: usize = 5;
    let recorded = std::fs::read(fixture("node-state")).unwrap();
    let (_, state) = StateFile::open(&fixture("node-state"), "node-1").unwrap();
    assert_eq!(state.steps, steps()[..3]);
    assert_eq!(state.unix_ms, 1_700_000_000_002);
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("state");
    write_state(&path);
    let written = std::fs::read(&path).unwrap();
    assert_eq!(written[..written.len() - TORN_BYTES], recorded);
    // The complete file also contains the last step.
    let (_, complete) = StateFile::open(&path, "node-1").unwrap();
    assert_eq!((complete.steps, complete.damaged_bytes), (steps().to_vec(), 0));
    let last_record = state.damaged_bytes as usize + TORN_BYTES;
    assert_eq!(written.len() - last_record, recorded.len() - state.damaged_bytes as usize);
}
