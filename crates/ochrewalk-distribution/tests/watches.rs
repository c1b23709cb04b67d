//! The requests and reports of a subscriber: single names, rejections, and requests that are refused.

mod common;

use common::*;
use ochrewalk_distribution::messages::{ResourceKind, ResourceName, Subscribe, Watch, PROTOCOL_VERSION};
use ochrewalk_distribution::{Admission, Interest, NextUpdate, SubscribeError};

#[test]
fn a_rejected_update_is_not_sent_again_before_a_later_position_exists() {
    let mut server = filled_publisher();
    let mut node = caught_up_node(&mut server);
    publish(&mut server, &[quota("a", "tenant-000", 2.0)]);
    let update = node.next_update(&mut server);
    let report = node.subscription.rejected(update.position, "it does not fit");
    let id = node.id.unwrap();
    server.report(id, report);
    assert_eq!(server.next(id, 0), NextUpdate::Idle);
    let status = server.status();
    assert_eq!((status.in_force[0].position, status.rejections.len()), (position(1, 1), 1));
    publish(&mut server, &[quota("a", "tenant-001", 2.0)]);
    // The differences start at the applied position, so that the rejected change is sent again together with the new one.
    let updates = node.catch_up(&mut server);
    assert!(updates.len() == 1 && updates[0].resources.len() == 2);
    node.assert_equals(server.store());
    assert!(server.status().rejections.is_empty());
}

#[test]
fn no_further_update_is_sent_before_the_report_on_the_last_one() {
    let mut server = filled_publisher();
    let mut node = node("one");
    node.connect(&mut server);
    let update = node.next_update(&mut server);
    publish(&mut server, &[quota("a", "tenant-000", 2.0)]);
    assert_eq!(server.next(node.id.unwrap(), 0), NextUpdate::Idle);
    node.apply(&mut server, &update);
    assert_eq!(node.catch_up(&mut server).len(), 1);
    node.assert_equals(server.store());
}

#[test]
fn a_watched_name_is_answered_by_its_value_or_as_absent() {
    let mut server = filled_publisher();
    publish(&mut server, &[quota("b", "present", 1.0), quota("b", "deleted", 1.0)]);
    publish(&mut server, &[deletion("b", "deleted")]);
    let mut node = caught_up_node(&mut server);
    let add = ["absent", "deleted", "present"].map(|tenant| quota_name("b", tenant));
    node.watch(&mut server, &Watch { add: add.to_vec(), remove: Vec::new() });
    let updates = node.catch_up(&mut server);
    assert_eq!(updates.len(), 1);
    assert_eq!(updates[0].absent, add[..2]);
    assert_eq!(updates[0].resources.len(), 1);
    node.assert_equals(server.store());
    publish(&mut server, &[quota("b", "absent", 2.0), quota("b", "unwatched", 2.0)]);
    assert_eq!(node.catch_up(&mut server)[0].resources.len(), 1);
    node.watch(&mut server, &Watch { add: Vec::new(), remove: add.to_vec() });
    publish(&mut server, &[quota("b", "present", 2.0)]);
    assert!(node.catch_up(&mut server)[0].resources.is_empty());
    node.assert_equals(server.store());
}

#[test]
fn a_watched_name_whose_answer_was_lost_is_requested_again() {
    let mut server = filled_publisher();
    publish(&mut server, &[quota("b", "tenant", 1.0)]);
    let mut node = caught_up_node(&mut server);
    node.watch(&mut server, &Watch { add: vec![quota_name("b", "tenant")], remove: Vec::new() });
    node.next_update(&mut server);
    assert_eq!(node.reconnect(&mut server).len(), 1);
    node.assert_equals(server.store());
    // A name whose answer was applied is not requested again.
    assert!(node.reconnect(&mut server).is_empty());
}

#[test]
fn an_answer_in_a_rejected_update_is_sent_again() {
    let mut server = filled_publisher();
    publish(&mut server, &[quota("b", "tenant", 1.0)]);
    let mut node = caught_up_node(&mut server);
    node.watch(&mut server, &Watch { add: vec![quota_name("b", "tenant")], remove: Vec::new() });
    let update = node.next_update(&mut server);
    let report = node.subscription.rejected(update.position, "it does not fit");
    server.report(node.id.unwrap(), report);
    publish(&mut server, &[quota("a", "tenant-000", 2.0)]);
    node.catch_up(&mut server);
    node.assert_equals(server.store());
    assert!(node.store.get(&quota_name("b", "tenant")).is_some());
}

#[test]
fn a_snapshot_answers_each_single_name_and_contains_it_once() {
    let mut server = filled_publisher();
    publish(&mut server, &[quota("b", "present", 1.0)]);
    let mut interest = Interest::scopes(["a"]);
    interest.names = ["present", "absent"].map(|tenant| quota_name("b", tenant)).into();
    interest.names.insert(quota_name("a", "tenant-000"));
    let mut node = Node::new("one", interest);
    node.connect(&mut server);
    let updates = node.catch_up(&mut server);
    assert_eq!(updates[0].absent, [quota_name("b", "absent")]);
    assert_eq!(updates[0].resources.len(), 401);
    node.assert_equals(server.store());
}

#[test]
fn subscribers_of_a_later_version_with_wrong_names_or_too_many_are_refused() {
    let mut server = filled_publisher();
    let limit = unbounded_limits().max_interest;
    let message = node("one").subscription.subscribe_message();
    let version = PROTOCOL_VERSION + 1;
    let names = |count: usize| (0..count).map(|n| quota_name("a", &n.to_string())).collect::<Vec<_>>();
    let cases = [
        (Subscribe { version, ..message.clone() }, SubscribeError::UnknownVersion { version }),
        (
            Subscribe { names: names(limit), ..message.clone() },
            SubscribeError::TooManyNames { count: limit + 1, limit },
        ),
        (
            Subscribe { names: vec![ResourceName::new(ResourceKind::Quota, "a", "")], ..message },
            SubscribeError::InvalidName,
        ),
    ];
    for (message, reason) in cases {
        assert_eq!(server.subscribe(0, message), Admission::Refused { reason });
    }
    let mut node = node("one");
    node.connect(&mut server);
    let watch = Watch { add: names(limit), remove: Vec::new() };
    assert!(server.watch(node.id.unwrap(), &watch).is_err());
    node.catch_up(&mut server);
    node.assert_equals(server.store());
}

#[test]
fn an_answer_to_an_earlier_watch_is_ignored_after_its_name_was_removed_and_added_again() {
    let mut server = filled_publisher();
    publish(&mut server, &[quota("b", "tenant", 1.0)]);
    let mut node = caught_up_node(&mut server);
    let name = quota_name("b", "tenant");
    let add = Watch { add: vec![name.clone()], remove: Vec::new() };
    let remove = Watch { add: Vec::new(), remove: vec![name.clone()] };
    node.watch(&mut server, &add);
    let part = node.next_part(&mut server, &mut 0).unwrap();
    // Both watches are in flight at the same time as the answer to the first one.
    node.subscription.watch(&remove);
    node.subscription.watch(&add);
    node.receive(&mut server, part).unwrap();
    assert!(node.store.get(&name).is_none());
    // The server processes the removal only, and the connection ends.
    server.watch(node.id.unwrap(), &remove).unwrap();
    publish(&mut server, &[quota("b", "tenant", 2.0)]);
    node.catch_up(&mut server);
    node.reconnect(&mut server);
    node.assert_equals(server.store());
    assert!(node.store.get(&name).is_some());
}

#[test]
fn a_deletion_in_an_update_in_progress_is_applied_although_the_name_is_watched_again() {
    let mut server = filled_publisher();
    publish(&mut server, &[quota("b", "tenant", 1.0)]);
    let mut node = caught_up_node(&mut server);
    let name = quota_name("b", "tenant");
    let add = Watch { add: vec![name.clone()], remove: Vec::new() };
    node.watch(&mut server, &add);
    node.catch_up(&mut server);
    assert!(node.store.get(&name).is_some());
    publish(&mut server, &[deletion("b", "tenant")]);
    let part = node.next_part(&mut server, &mut 0).expect("there is an update");
    // The update began before the server received the second watch.
    node.watch(&mut server, &add);
    node.receive(&mut server, part).expect("the part is valid");
    node.assert_equals(server.store());
    assert!(node.store.get(&name).is_none());
    // The second watch is answered too.
    assert_eq!(node.catch_up(&mut server)[0].absent, [name]);
    node.assert_equals(server.store());
}
