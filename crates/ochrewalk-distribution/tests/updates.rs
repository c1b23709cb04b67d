//! Updates from a server to a node, part by part: incomplete, corrupted, outdated, and no longer available ones.

mod common;

use common::*;
use ochrewalk_distribution::messages::{Resource, Update};
use ochrewalk_distribution::{
    Admission, Interest, Received, Server, Store, StoreLimits, SubscribeError, Subscription,
    SubscriptionLimits, UpdateError,
};
use prost::Message;

/// Returns all parts of the next update.
fn parts(node: &mut Node, server: &mut Server) -> Vec<Update> {
    let mut parts = Vec::new();
    loop {
        let part = node.next_part(server, &mut 0).expect("there is an update");
        let is_last = part.is_last;
        parts.push(part);
        if is_last {
            return parts;
        }
    }
}

#[test]
fn a_snapshot_is_sent_in_parts_within_the_bound_and_changes_as_differences() {
    let mut server = filled_publisher();
    let mut node = node("one");
    node.connect(&mut server);
    let parts = parts(&mut node, &mut server);
    assert!(parts.len() > 3);
    assert!(parts.iter().all(|part| part.encoded_len() <= 4_096));
    for part in parts {
        node.receive(&mut server, part).unwrap();
    }
    node.assert_equals(server.store());
    publish(&mut server, &[quota("a", "tenant-000", 2.0), quota("b", "tenant-000", 2.0)]);
    let updates = node.catch_up(&mut server);
    assert_eq!((updates.len(), updates[0].resources.len(), updates[0].is_snapshot), (1, 1, false));
    node.assert_equals(server.store());
}

#[test]
fn a_change_of_an_unwanted_resource_moves_the_position_only() {
    let mut server = filled_publisher();
    let mut node = caught_up_node(&mut server);
    publish(&mut server, &[quota("b", "other", 1.0)]);
    let updates = node.catch_up(&mut server);
    assert!(updates.len() == 1 && updates[0].resources.is_empty());
    node.assert_equals(server.store());
}

#[test]
fn a_snapshot_truncated_at_any_part_leaves_the_state_unchanged() {
    let mut server = filled_publisher();
    let mut probe = node("probe");
    probe.connect(&mut server);
    let count = parts(&mut probe, &mut server).len();
    for cut in 0..count {
        let mut node = node("one");
        node.connect(&mut server);
        let parts = parts(&mut node, &mut server);
        for part in parts.into_iter().take(cut) {
            assert_eq!(node.receive(&mut server, part), Ok(None));
        }
        assert!(node.store.is_empty() && node.subscription.position().is_none());
        node.reconnect(&mut server);
        node.assert_equals(server.store());
    }
}

#[test]
fn a_missing_or_repeated_part_is_an_error_and_leaves_the_state_unchanged() {
    let mut server = filled_publisher();
    for missing in [true, false] {
        let mut node = node("one");
        node.connect(&mut server);
        let parts = parts(&mut node, &mut server);
        node.receive(&mut server, parts[0].clone()).unwrap();
        node.receive(&mut server, parts[1].clone()).unwrap();
        let part = if missing { &parts[3] } else { &parts[1] };
        let error = UpdateError::WrongPart { expected: 2, part: part.part };
        assert_eq!(node.receive(&mut server, part.clone()), Err(error));
        assert!(node.store.is_empty());
        node.reconnect(&mut server);
        node.assert_equals(server.store());
    }
}

#[test]
fn a_wrong_checksum_or_a_changed_value_is_refused() {
    let mut server = filled_publisher();
    let corrupt: [fn(&mut Vec<Update>); 2] = [
        |parts| parts.last_mut().unwrap().checksum ^= 1,
        |parts| parts[1].resources[0].value = Some(quota_value(9.0)),
    ];
    for corrupt in corrupt {
        let mut node = node("one");
        node.connect(&mut server);
        let mut parts = parts(&mut node, &mut server);
        corrupt(&mut parts);
        let last = parts.pop().unwrap();
        for part in parts {
            node.receive(&mut server, part).unwrap();
        }
        let error = node.receive(&mut server, last).unwrap_err();
        assert!(matches!(error, UpdateError::WrongChecksum { .. }), "{error}");
        assert!(node.store.is_empty() && node.subscription.position().is_none());
    }
}

#[test]
fn an_update_larger_than_the_bound_is_refused() {
    let mut server = filled_publisher();
    let limits = SubscriptionLimits { max_update_bytes: 6_000, bytes_per_second: 0 };
    let mut node = Node::with_limits("one", Interest::scopes(["a"]), limits);
    node.connect(&mut server);
    let parts = parts(&mut node, &mut server);
    node.receive(&mut server, parts[0].clone()).unwrap();
    let error = node.receive(&mut server, parts[1].clone()).unwrap_err();
    assert_eq!(error, UpdateError::TooLarge { limit: 6_000 });
    assert!(node.store.is_empty());
}

#[test]
fn an_update_of_an_older_epoch_is_refused() {
    let mut server = filled_publisher();
    let mut node = caught_up_node(&mut server);
    node.subscription.observe_epoch(2);
    publish(&mut server, &[quota("a", "tenant-000", 2.0)]);
    let part = node.next_part(&mut server, &mut 0).unwrap();
    let error = node.receive(&mut server, part).unwrap_err();
    assert_eq!(error, UpdateError::OlderEpoch { highest: 2, update: 1 });
    assert_eq!(node.store.position(), position(1, 1));
    // The relay does not accept the node again, and observes the later epoch.
    node.disconnect(&mut server);
    let reason = SubscribeError::OlderEpoch { own: 1, observed: 2 };
    assert_eq!(node.try_connect(&mut server, 0), Admission::Refused { reason });
    assert!(server.store().is_fenced());
}

#[test]
fn differences_from_another_position_or_back_to_an_older_one_are_refused() {
    let mut server = filled_publisher();
    let mut node = node("one");
    node.connect(&mut server);
    let snapshot = parts(&mut node, &mut server);
    for part in snapshot.clone() {
        node.receive(&mut server, part).unwrap();
    }
    publish(&mut server, &[quota("a", "tenant-000", 2.0)]);
    let differences = parts(&mut node, &mut server).remove(0);
    node.receive(&mut server, differences.clone()).unwrap();
    // Both parts arrive a second time, late.
    let error = node.receive(&mut server, differences).unwrap_err();
    let (applied, base) = (Some(position(1, 2)), Some(position(1, 1)));
    assert_eq!(error, UpdateError::WrongBase { applied, base });
    let error = node.receive(&mut server, snapshot[0].clone()).unwrap_err();
    let older = UpdateError::OlderPosition { newer: position(1, 2), update: position(1, 1) };
    assert_eq!(error, older);
    node.assert_equals(server.store());
}

#[test]
fn a_resource_of_a_later_revision_than_its_update_is_refused() {
    let mut node = node("one");
    let resource = Resource { revision: 2, ..quota("a", "one", 1.0) };
    let checksum = crc32fast::hash(&resource.encode_to_vec());
    let part = Update {
        position: position(1, 1),
        is_snapshot: true,
        resources: vec![resource],
        is_last: true,
        checksum,
        ..Update::default()
    };
    let error = UpdateError::RevisionAfterPosition { position: position(1, 1), revision: 2 };
    assert_eq!(node.subscription.received(part), Err(error));
}

#[test]
fn a_name_deleted_and_created_again_while_a_node_is_disconnected_has_its_new_value() {
    for tombstones in [0, 10] {
        let store = Store::new(1, StoreLimits { tombstones });
        let mut server = Server::new("publisher", "north", store, unbounded_limits());
        publish(&mut server, &[quota("a", "one", 1.0), quota("a", "two", 1.0)]);
        let mut node = caught_up_node(&mut server);
        node.disconnect(&mut server);
        publish(&mut server, &[deletion("a", "one"), deletion("a", "two")]);
        publish(&mut server, &[quota("a", "one", 2.0)]);
        node.connect(&mut server);
        let updates = node.catch_up(&mut server);
        assert_eq!(updates[0].is_snapshot, tombstones == 0);
        node.assert_equals(server.store());
        assert_eq!(node.store.get(&quota_name("a", "one")).unwrap().value, Some(quota_value(2.0)));
    }
}

#[test]
fn a_node_at_a_position_before_the_horizon_or_outside_the_history_is_sent_a_snapshot() {
    let store = Store::new(1, StoreLimits { tombstones: 0 });
    let mut server = Server::new("publisher", "north", store, unbounded_limits());
    publish(&mut server, &[quota("a", "one", 1.0)]);
    publish(&mut server, &[quota("a", "two", 1.0)]);
    publish(&mut server, &[deletion("a", "one")]);
    server.store_mut().new_epoch();
    // The positions are before the horizon, never reached by this history, and of an epoch that never existed.
    for applied in [position(1, 1), position(1, 9), position(0, 7)] {
        let mut node = node("one");
        node.subscription =
            Subscription::new("one", "north", Interest::scopes(["a"]), Some(applied), unpaced());
        node.connect(&mut server);
        let updates = node.catch_up(&mut server);
        assert!(updates.len() == 1 && updates[0].is_snapshot, "{applied:?}");
        node.assert_equals(server.store());
    }
}

#[test]
fn a_node_ahead_of_its_relay_waits_until_the_relay_has_caught_up() {
    let mut server = filled_publisher();
    let mut relay = Node::new("relay", Interest::everything());
    relay.connect(&mut server);
    relay.catch_up(&mut server);
    let mut behind = Server::new("relay", "north", relay.store.clone(), unbounded_limits());
    publish(&mut server, &[quota("a", "tenant-000", 2.0)]);
    let mut node = caught_up_node(&mut server);
    node.disconnect(&mut server);
    node.connect(&mut behind);
    assert!(node.catch_up(&mut behind).is_empty());
    publish(&mut server, &[quota("a", "tenant-001", 2.0)]);
    for update in relay.catch_up(&mut server) {
        behind.store_mut().apply(&update).unwrap();
    }
    let updates = node.catch_up(&mut behind);
    assert!(updates.len() == 1 && !updates[0].is_snapshot);
    node.assert_equals(server.store());
}

#[test]
fn a_relay_started_from_a_snapshot_serves_differences_from_the_horizon_on() {
    let mut server = filled_publisher();
    let mut node = caught_up_node(&mut server);
    publish(&mut server, &[deletion("a", "tenant-000")]);
    let mut relay = Node::new("relay", Interest::everything());
    relay.connect(&mut server);
    relay.catch_up(&mut server);
    let mut relay = Server::new("relay", "north", relay.store, unbounded_limits());
    node.disconnect(&mut server);
    node.connect(&mut relay);
    let updates = node.catch_up(&mut relay);
    assert!(updates.len() == 1 && !updates[0].is_snapshot && updates[0].resources.len() == 1);
    node.assert_equals(server.store());
}

#[test]
fn after_a_partition_the_old_publisher_is_fenced_and_nodes_on_the_fork_converge() {
    let mut old = filled_publisher();
    let mut new = old.clone();
    let (mut forked, mut moved) = (node("forked"), node("moved"));
    for node in [&mut forked, &mut moved] {
        node.connect(&mut old);
        node.catch_up(&mut old);
    }
    // The network is partitioned: the second publisher takes over, and changes are published at both.
    new.store_mut().new_epoch();
    publish(&mut new, &[quota("a", "tenant-000", 2.0), deletion("a", "tenant-002")]);
    // The new history is longer than the fork, so that only the epochs distinguish them.
    for n in 3..10 {
        publish(&mut new, &[quota("a", &format!("tenant-{n:03}"), 2.0)]);
    }
    publish(&mut old, &[quota("a", "tenant-001", 3.0), quota("a", "fork", 3.0)]);
    publish(&mut old, &[quota("a", "tenant-001", 4.0)]);
    forked.catch_up(&mut old);
    assert_eq!(forked.store.position(), position(1, 3));
    for node in [&mut forked, &mut moved] {
        node.disconnect(&mut old);
        node.connect(&mut new);
    }
    assert!(forked.catch_up(&mut new)[0].is_snapshot);
    assert!(!moved.catch_up(&mut new)[0].is_snapshot);
    for node in [&forked, &moved] {
        node.assert_equals(new.store());
    }
    // A node that has observed the new epoch fences the old publisher.
    moved.disconnect(&mut new);
    let reason = SubscribeError::OlderEpoch { own: 1, observed: 2 };
    assert_eq!(moved.try_connect(&mut old, 0), Admission::Refused { reason });
    assert!(old.store_mut().publish(&[quota("a", "tenant-001", 5.0)], None).is_err());
    // The old publisher restarts as a subscriber of the new one.
    let mut follower = Node::new("old", Interest::everything());
    follower.store = old.store().clone();
    let saved = Some(old.store().position());
    let everything = Interest::everything();
    follower.subscription = Subscription::new("old", "north", everything, saved, unpaced());
    follower.connect(&mut new);
    assert!(follower.catch_up(&mut new)[0].is_snapshot);
    follower.assert_equals(new.store());
}

#[test]
fn the_age_is_the_time_since_the_last_message() {
    let mut node = node("one");
    assert_eq!(node.subscription.age_ms(5), None);
    node.subscription.message_received(2 * SECOND_US);
    assert_eq!(node.subscription.age_ms(5 * SECOND_US), Some(3_000));
    assert_eq!(node.subscription.age_ms(0), Some(0));
    assert_eq!(node.subscription.last_message_us(), Some(2 * SECOND_US));
}

#[test]
fn a_relay_started_from_a_snapshot_serves_snapshots_before_the_horizon() {
    let store = Store::new(1, StoreLimits { tombstones: 1 });
    let mut server = Server::new("publisher", "north", store, unbounded_limits());
    publish(&mut server, &[quota("a", "one", 1.0), quota("a", "two", 1.0)]);
    let mut node = caught_up_node(&mut server);
    for tenant in ["one", "two"] {
        publish(&mut server, &[deletion("a", tenant)]);
    }
    let mut relay = Node::new("relay", Interest::everything());
    relay.connect(&mut server);
    relay.catch_up(&mut server);
    let mut relay = Server::new("relay", "north", relay.store, unbounded_limits());
    node.disconnect(&mut server);
    node.connect(&mut relay);
    assert!(node.catch_up(&mut relay)[0].is_snapshot);
    node.assert_equals(server.store());
}

#[test]
fn a_first_part_other_than_number_zero_is_refused() {
    let mut server = filled_publisher();
    let mut node = node("one");
    node.connect(&mut server);
    let second = parts(&mut node, &mut server).remove(1);
    let received = node.subscription.received(second);
    assert_eq!(received, Err::<Received, _>(UpdateError::WrongPart { expected: 0, part: 1 }));
}
