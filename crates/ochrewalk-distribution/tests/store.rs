//! The changes that a store accepts, stores and drops.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::*;
use ochrewalk_distribution::messages::{Resource, ResourceKind, ResourceName, Route, Value};
use ochrewalk_distribution::{
    rollback_changes, ApplyError, Batch, ChangeProblem, CompleteUpdate, RefusalReason, RollbackError, Store,
    StoreLimits, UpdateKind, MAX_BATCH_CHANGES, MAX_NAME_BYTES, MAX_PATH_BYTES,
};
use proptest::prelude::*;

fn store() -> Store {
    Store::new(1, StoreLimits::default())
}

/// Publishes a batch that must be refused, checks that none of it was applied, and returns the reasons.
fn refused(store: &mut Store, changes: &[Resource]) -> Vec<RefusalReason> {
    let before = (store.position(), store.len(), store.iter().cloned().collect::<Vec<_>>());
    let error = store.publish(changes, None).expect_err("the batch is to be refused");
    let after = (store.position(), store.len(), store.iter().cloned().collect::<Vec<_>>());
    assert_eq!(after, before);
    error.reasons
}

fn only_problem(change: Resource) -> ChangeProblem {
    let reasons = refused(&mut store(), &[change]);
    match &reasons[..] {
        [RefusalReason::InvalidChange { index: 0, problem }] => problem.clone(),
        _ => panic!("{reasons:?}"),
    }
}

#[test]
fn a_batch_gets_one_new_revision_and_records_replaced_values() {
    let mut store = store();
    store.publish(&[quota("a", "one", 1.0)], None).unwrap();
    let batch = store.publish(&[quota("a", "one", 2.0), quota("a", "two", 3.0)], None).unwrap();
    assert_eq!(batch.position, position(1, 2));
    assert_eq!(batch.previous, [Some(quota_value(1.0)), None]);
    assert!(batch.resources.iter().all(|resource| resource.revision == 2));
    assert_eq!(store.get(&quota_name("a", "one")).unwrap().value, Some(quota_value(2.0)));
    assert_eq!(store.len(), 2);
}

#[test]
fn values_of_the_wrong_type_are_refused() {
    let values = [route_value(), quota_value(1.0), endpoint_value(1.0), limit_value(1.0)];
    let kinds = [ResourceKind::Route, ResourceKind::Quota, ResourceKind::Endpoint, ResourceKind::Limit];
    for kind in kinds {
        for value in &values {
            let change = Resource::set(ResourceName::new(kind, "a", "one"), value.clone());
            if value.kind() == kind {
                store().publish(&[change], None).unwrap();
                continue;
            }
            assert_eq!(
                only_problem(change),
                ChangeProblem::WrongKindOfValue { name: kind, value: value.kind() }
            );
        }
    }
}

#[test]
fn names_that_are_empty_over_long_unprintable_or_of_unknown_kind_are_refused() {
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let too_long = |field| ChangeProblem::TextTooLong { field, bytes: long.len(), limit: MAX_NAME_BYTES };
    let cases = [
        (quota("a", "", 1.0), ChangeProblem::EmptyText { field: "name" }),
        (quota("a", &long, 1.0), too_long("name")),
        (quota(&long, "one", 1.0), too_long("scope")),
        (quota("a", "one\n", 1.0), ChangeProblem::ControlCharacters { field: "name" }),
        (quota("a\0", "one", 1.0), ChangeProblem::ControlCharacters { field: "scope" }),
    ];
    for (change, problem) in cases {
        assert_eq!(only_problem(change), problem);
    }
    for kind in [0, 5, -1] {
        let name = ResourceName { kind, scope: "a".into(), name: "one".into() };
        assert_eq!(only_problem(Resource::set(name, quota_value(1.0))), ChangeProblem::UnknownKind { kind });
    }
    let longest = "x".repeat(MAX_NAME_BYTES);
    store().publish(&[quota(&longest, &longest, 1.0)], None).unwrap();
}

#[test]
fn numbers_that_are_negative_or_not_finite_are_refused() {
    let values = [
        ("quota", ResourceKind::Quota, quota_value as fn(f64) -> Value),
        ("weight", ResourceKind::Endpoint, endpoint_value),
        ("limit", ResourceKind::Limit, limit_value),
    ];
    for (field, kind, value) in values {
        let change = |number| Resource::set(ResourceName::new(kind, "a", "one"), value(number));
        for number in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -0.001] {
            assert_eq!(only_problem(change(number)), ChangeProblem::InvalidNumber { field });
        }
        for number in [0.0, 0.5, f64::MAX] {
            store().publish(&[change(number)], None).unwrap();
        }
    }
}

#[test]
fn routes_with_an_empty_method_or_an_over_long_path_are_refused() {
    let route = |http_method: &str, path: &str| {
        let value =
            Route { http_method: http_method.into(), path: path.into(), method: "Orders.List".into() };
        Resource::set(ResourceName::new(ResourceKind::Route, "a", "one"), Value::Route(value))
    };
    assert_eq!(only_problem(route("", "/")), ChangeProblem::EmptyText { field: "HTTP method" });
    let long = "/".repeat(MAX_PATH_BYTES + 1);
    let problem = ChangeProblem::TextTooLong { field: "path", bytes: long.len(), limit: MAX_PATH_BYTES };
    assert_eq!(only_problem(route("GET", &long)), problem);
}

#[test]
fn an_empty_batch_is_refused() {
    assert_eq!(refused(&mut store(), &[]), [RefusalReason::EmptyBatch]);
}

#[test]
fn ten_thousand_changes_in_one_batch_are_refused_and_nothing_is_applied() {
    let changes: Vec<Resource> = (0..10_000).map(|n| quota("a", &format!("tenant-{n}"), 1.0)).collect();
    let mut store = store();
    assert_eq!(refused(&mut store, &changes), [RefusalReason::TooManyChanges { changes: 10_000 }]);
    assert!(store.is_empty());
    store.publish(&changes[..MAX_BATCH_CHANGES], None).unwrap();
    assert_eq!(store.len(), MAX_BATCH_CHANGES);
}

#[test]
fn a_change_and_its_revert_in_one_batch_are_refused() {
    let mut store = store();
    store.publish(&[quota("a", "one", 1.0)], None).unwrap();
    let reasons = refused(&mut store, &[quota("a", "one", 2.0), quota("a", "one", 1.0)]);
    assert_eq!(reasons, [RefusalReason::InvalidChange { index: 1, problem: ChangeProblem::DuplicateName }]);
    let reasons = refused(&mut store, &[quota("a", "two", 2.0), deletion("a", "two")]);
    let problems = [ChangeProblem::DuplicateName, ChangeProblem::DeletesMissing];
    assert_eq!(reasons, problems.map(|problem| RefusalReason::InvalidChange { index: 1, problem }));
}

#[test]
fn every_reason_of_a_refusal_is_listed() {
    let mut store = store();
    store.observe_epoch(3);
    let changes = [quota("a", "", -1.0), deletion("a", "one")];
    let error = store.publish(&changes, Some(position(1, 7))).unwrap_err();
    let invalid = |index, problem| RefusalReason::InvalidChange { index, problem };
    let reasons = [
        RefusalReason::Fenced { own: 1, observed: 3 },
        RefusalReason::UnexpectedPosition { expected: position(1, 7), actual: position(1, 0) },
        invalid(0, ChangeProblem::EmptyText { field: "name" }),
        invalid(0, ChangeProblem::InvalidNumber { field: "quota" }),
        invalid(1, ChangeProblem::DeletesMissing),
    ];
    assert_eq!(error.reasons, reasons);
    assert_eq!(error.texts().len(), 5);
}

#[test]
fn a_batch_on_another_position_than_expected_is_refused() {
    let mut store = store();
    store.publish(&[quota("a", "one", 1.0)], Some(position(1, 0))).unwrap();
    let error = store.publish(&[quota("a", "one", 2.0)], Some(position(1, 0))).unwrap_err();
    let reason = RefusalReason::UnexpectedPosition { expected: position(1, 0), actual: position(1, 1) };
    assert_eq!(error.reasons, [reason]);
    store.publish(&[quota("a", "one", 2.0)], Some(position(1, 1))).unwrap();
}

#[test]
fn a_deleted_resource_cannot_be_deleted_again_and_can_be_created_again() {
    let mut store = store();
    store.publish(&[quota("a", "one", 1.0)], None).unwrap();
    store.publish(&[deletion("a", "one")], None).unwrap();
    assert!(store.get(&quota_name("a", "one")).is_none() && store.is_empty());
    refused(&mut store, &[deletion("a", "one")]);
    let batch = store.publish(&[quota("a", "one", 2.0)], None).unwrap();
    assert_eq!(batch.previous, [None]);
    assert_eq!((store.len(), store.tombstone_count()), (1, 0));
}

#[test]
fn a_publisher_that_observed_a_higher_epoch_accepts_nothing_until_it_takes_over_again() {
    let mut store = store();
    store.observe_epoch(4);
    assert!(store.is_fenced());
    let reasons = refused(&mut store, &[quota("a", "one", 1.0)]);
    assert_eq!(reasons, [RefusalReason::Fenced { own: 1, observed: 4 }]);
    assert_eq!(store.new_epoch().position, position(5, 0));
    let batch = store.publish(&[quota("a", "one", 1.0)], None).unwrap();
    assert_eq!(batch.position, position(5, 1));
}

#[test]
fn the_oldest_tombstones_beyond_the_bound_are_dropped_and_the_horizon_rises() {
    let mut store = Store::new(1, StoreLimits { tombstones: 2 });
    let changes: Vec<Resource> = (0..4).map(|n| quota("a", &format!("tenant-{n}"), 1.0)).collect();
    store.publish(&changes, None).unwrap();
    for n in 0..4 {
        store.publish(&[deletion("a", &format!("tenant-{n}"))], None).unwrap();
    }
    assert_eq!((store.tombstone_count(), store.horizon()), (2, 3));
    assert_eq!(store.differences_from(Some(position(1, 2))), UpdateKind::Snapshot);
    assert_eq!(store.differences_from(Some(position(1, 3))), UpdateKind::Differences { after: 3 });
}

#[test]
fn differences_are_sent_only_from_positions_of_the_history_that_are_not_before_the_horizon() {
    let mut store = Store::new(1, StoreLimits { tombstones: 0 });
    for n in 0..5 {
        store.publish(&[quota("a", &format!("tenant-{n}"), 1.0)], None).unwrap();
    }
    store.publish(&[deletion("a", "tenant-0")], None).unwrap();
    store.new_epoch();
    store.publish(&[quota("a", "tenant-1", 2.0)], None).unwrap();
    store.new_epoch();
    let cases = [
        (None, UpdateKind::Snapshot),
        // Revision 5 is before the deletion whose tombstone was dropped.
        (Some(position(1, 5)), UpdateKind::Snapshot),
        (Some(position(1, 6)), UpdateKind::Differences { after: 6 }),
        // Epoch 2 began after revision 6, so that this position is on a fork.
        (Some(position(1, 7)), UpdateKind::Snapshot),
        (Some(position(2, 7)), UpdateKind::Differences { after: 7 }),
        (Some(position(2, 8)), UpdateKind::Snapshot),
        (Some(position(3, 7)), UpdateKind::Differences { after: 7 }),
        // These positions never existed.
        (Some(position(3, 8)), UpdateKind::Snapshot),
        (Some(position(4, 7)), UpdateKind::Snapshot),
        (Some(position(0, 0)), UpdateKind::Snapshot),
    ];
    for (applied, start) in cases {
        assert_eq!(store.differences_from(applied), start, "{applied:?}");
    }
}

fn update(at: (u64, u64), is_snapshot: bool, resources: Vec<Resource>) -> CompleteUpdate {
    let resources = resources.into_iter().map(Into::into).collect();
    CompleteUpdate { position: position(at.0, at.1), is_snapshot, resources, absent: Vec::new(), horizon: 0 }
}

#[test]
fn an_update_to_an_older_position_is_refused() {
    let mut store = Store::new(0, StoreLimits::default());
    store.apply(&update((2, 5), true, vec![Resource { revision: 3, ..quota("a", "one", 1.0) }])).unwrap();
    for (at, is_snapshot) in [((2, 4), false), ((2, 4), true), ((1, 9), true)] {
        let error = store.apply(&update(at, is_snapshot, Vec::new())).unwrap_err();
        let older = ApplyError::OlderPosition { applied: position(2, 5), update: position(at.0, at.1) };
        assert_eq!(error, older);
        assert_eq!(store.len(), 1);
    }
}

#[test]
fn a_snapshot_replaces_everything() {
    let mut store = Store::new(0, StoreLimits::default());
    store.apply(&update((1, 1), true, vec![Resource { revision: 1, ..quota("a", "one", 1.0) }])).unwrap();
    store.apply(&update((1, 5), true, vec![Resource { revision: 4, ..quota("a", "two", 1.0) }])).unwrap();
    assert!(store.get(&quota_name("a", "one")).is_none());
    assert_eq!((store.len(), store.position()), (1, position(1, 5)));
}

#[test]
fn absent_names_are_removed_before_resources_are_added() {
    let mut store = Store::new(0, StoreLimits::default());
    let resources = ["one", "two"].map(|tenant| Resource { revision: 1, ..quota("a", tenant, 1.0) });
    store.apply(&update((1, 1), true, resources.to_vec())).unwrap();
    let mut update = update((1, 2), false, vec![Resource { revision: 2, ..quota("a", "two", 2.0) }]);
    update.absent = ["one", "two"].map(|tenant| quota_name("a", tenant)).to_vec();
    store.apply(&update).unwrap();
    assert!(store.newest(&quota_name("a", "one")).is_none());
    assert_eq!(store.get(&quota_name("a", "two")).unwrap().value, Some(quota_value(2.0)));
}

#[test]
fn a_relay_that_followed_a_new_epoch_serves_differences_from_positions_in_its_history() {
    let mut store = Store::new(0, StoreLimits::default());
    store.apply(&update((1, 5), true, Vec::new())).unwrap();
    store.apply(&update((2, 9), false, Vec::new())).unwrap();
    assert_eq!(store.differences_from(Some(position(1, 5))), UpdateKind::Differences { after: 5 });
    // The epoch began after a revision between 5 and 9.
    assert_eq!(store.differences_from(Some(position(1, 6))), UpdateKind::Snapshot);
    assert_eq!(store.differences_from(Some(position(2, 8))), UpdateKind::Differences { after: 8 });
}

#[test]
fn batches_replayed_out_of_order_are_refused() {
    let mut original = store();
    let first = original.publish(&[quota("a", "one", 1.0)], None).unwrap();
    let second = original.publish(&[quota("a", "one", 2.0)], None).unwrap();
    let mut store = store();
    assert!(matches!(store.replay(&second), Err(ApplyError::OutOfOrder { .. })));
    store.replay(&first).unwrap();
    assert!(matches!(store.replay(&first), Err(ApplyError::OutOfOrder { .. })));
    let empty = Batch { position: position(1, 1), resources: Vec::new(), previous: Vec::new() };
    assert!(matches!(store.replay(&empty), Err(ApplyError::OutOfOrder { .. })));
}

#[test]
fn a_rollback_beyond_the_history_or_to_another_history_is_refused() {
    let mut store = store();
    let mut history: Vec<Batch> =
        (1..=4).map(|n| store.publish(&[quota("a", "one", f64::from(n))], None).unwrap()).collect();
    let to = position(1, 4);
    assert_eq!(rollback_changes(&history, to), Err(RollbackError::NothingToUndo { to }));
    let to = position(1, 1);
    let error = RollbackError::HistoryTooShort { to, first: 3 };
    assert_eq!(rollback_changes(&history[2..], to), Err(error));
    let to = position(2, 2);
    assert_eq!(rollback_changes(&history, to), Err(RollbackError::UnknownPosition { to, epoch: 1 }));
    history.push(store.new_epoch());
    history.push(store.publish(&[quota("a", "one", 5.0)], None).unwrap());
    let to = position(1, 5);
    assert_eq!(rollback_changes(&history, to), Err(RollbackError::UnknownPosition { to, epoch: 2 }));
    for to in [position(1, 4), position(2, 4)] {
        assert_eq!(rollback_changes(&history, to), Ok(vec![quota("a", "one", 4.0)]));
    }
}

#[test]
fn a_rollback_restores_deleted_resources_and_deletes_created_ones() {
    let mut store = store();
    store.publish(&[quota("a", "deleted", 1.0), quota("a", "changed", 2.0)], None).unwrap();
    let to = store.position();
    let batches = [
        vec![deletion("a", "deleted"), quota("a", "made", 1.0), quota("a", "brief", 1.0)],
        vec![quota("a", "changed", 3.0), deletion("a", "brief")],
    ];
    let history: Vec<Batch> = batches.iter().map(|batch| store.publish(batch, None).unwrap()).collect();
    let changes = rollback_changes(&history, to).unwrap();
    assert_eq!(changes, [quota("a", "changed", 2.0), quota("a", "deleted", 1.0), deletion("a", "made")]);
}

/// Batches of changes to few names. `publish_all` replaces the deletion of a missing resource with a value.
fn batches() -> impl Strategy<Value = Vec<Vec<(u8, Option<u8>)>>> {
    let change = (0..6_u8, proptest::option::weighted(0.7, 0..3_u8));
    proptest::collection::vec(proptest::collection::vec(change, 1..4), 1..30)
}

fn publish_all(store: &mut Store, batches: &[Vec<(u8, Option<u8>)>]) -> Vec<Batch> {
    let mut published = Vec::new();
    for (number, batch) in batches.iter().enumerate() {
        if number % 11 == 10 {
            published.push(store.new_epoch());
        }
        let mut changes: Vec<Resource> = Vec::new();
        for (name, value) in batch {
            let name = quota_name("a", &format!("tenant-{name}"));
            if changes.iter().any(|change| change.name == name) {
                continue;
            }
            let exists = store.get(&name).is_some();
            let value = value.or((!exists).then_some(9));
            let value = value.map(|value| quota_value(f64::from(value)));
            changes.push(Resource { name, revision: 0, value });
        }
        published.push(store.publish(&changes, None).unwrap());
    }
    published
}

proptest! {
    #[test]
    fn a_replayed_log_gives_the_same_store(batches in batches(), tombstones in 0..4_usize) {
        let mut original = Store::new(1, StoreLimits { tombstones });
        let log = publish_all(&mut original, &batches);
        let mut replayed = Store::new(1, StoreLimits { tombstones });
        for batch in &log {
            replayed.replay(batch).unwrap();
        }
        prop_assert_eq!(format!("{replayed:?}"), format!("{original:?}"));
    }

    #[test]
    fn a_rollback_leads_to_the_state_of_its_position(batches in batches(), to in 0..30_usize) {
        let mut store = store();
        let to = to % batches.len();
        publish_all(&mut store, &batches[..to]);
        let (before, position) = (store.iter().cloned().collect::<Vec<_>>(), store.position());
        let history = publish_all(&mut store, &batches[to..]);
        let changes = rollback_changes(&history, position).unwrap();
        if !changes.is_empty() {
            store.publish(&changes, None).unwrap();
        }
        let value = |resource: &Resource| (resource.name.clone(), resource.value.clone());
        let after: Vec<_> = store.iter().map(value).collect();
        prop_assert_eq!(after, before.iter().map(value).collect::<Vec<_>>());
    }
}
