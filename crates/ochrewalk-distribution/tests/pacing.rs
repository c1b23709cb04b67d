//! Updates sent over time: within the rate of the subscriber, and while the state continues to change.

mod common;

use common::*;
use ochrewalk_distribution::messages::Resource;
use ochrewalk_distribution::{Interest, Server, Store, StoreLimits, SubscriptionLimits};
use prost::Message;

#[test]
fn changes_published_while_an_update_is_sent_are_part_of_it() {
    let mut server = filled_publisher();
    let mut node = node("one");
    node.connect(&mut server);
    let part = node.next_part(&mut server, &mut 0).unwrap();
    node.receive(&mut server, part).unwrap();
    // One resource was already sent, one was not sent yet, one is deleted, and one is created.
    publish(&mut server, &[quota("a", "tenant-000", 2.0), quota("a", "tenant-399", 2.0)]);
    publish(&mut server, &[deletion("a", "tenant-001"), quota("a", "tenant-new", 2.0)]);
    let updates = node.catch_up(&mut server);
    assert_eq!(updates.len(), 1);
    assert_eq!(updates[0].position, position(1, 3));
    node.assert_equals(server.store());
}

#[test]
fn an_update_ends_under_steady_change() {
    let mut server = filled_publisher();
    let mut node = node("one");
    node.connect(&mut server);
    let mut sent = 0;
    loop {
        let part = node.next_part(&mut server, &mut 0).unwrap();
        sent += 1;
        assert!(sent < 100, "the update does not end");
        let is_last = part.is_last;
        node.receive(&mut server, part).unwrap();
        if is_last {
            break;
        }
        // At each part, some of the changed resources were already sent and some were not.
        let changed = [0, sent, 200 + sent, 399];
        let changes = changed.map(|n| quota("a", &format!("tenant-{n:03}"), f64::from(sent)));
        publish(&mut server, &changes);
    }
    node.assert_equals(server.store());
}

#[test]
fn an_update_that_cannot_be_completed_is_replaced_by_a_snapshot() {
    let store = Store::new(1, StoreLimits { tombstones: 1 });
    let mut server = Server::new("publisher", "north", store, unbounded_limits());
    let changes: Vec<Resource> = (0..400).map(|n| quota("a", &format!("tenant-{n:03}"), 1.0)).collect();
    publish(&mut server, &changes);
    let mut node = caught_up_node(&mut server);
    publish(&mut server, &changes[..300]);
    publish(&mut server, &[deletion("a", "tenant-399")]);
    let part = node.next_part(&mut server, &mut 0).unwrap();
    assert!(!part.is_snapshot && !part.is_last);
    node.receive(&mut server, part).unwrap();
    // The tombstone of a deletion that was not sent yet is dropped.
    publish(&mut server, &[deletion("a", "tenant-398"), deletion("a", "tenant-397")]);
    let updates = node.catch_up(&mut server);
    assert!(updates.len() == 1 && updates[0].is_snapshot);
    node.assert_equals(server.store());
}

#[test]
fn parts_are_spread_over_time_by_the_rate_of_the_subscriber() {
    let mut server = filled_publisher();
    let limits = SubscriptionLimits { bytes_per_second: 2_000, ..SubscriptionLimits::default() };
    let mut node = Node::with_limits("one", Interest::scopes(["a"]), limits);
    node.connect(&mut server);
    let (mut now_us, mut bytes) = (0, 0);
    while let Some(part) = node.next_part(&mut server, &mut now_us) {
        bytes += part.encoded_len() as u64;
        assert!(bytes <= 2_000 * now_us / SECOND_US + 4_096 + 1, "{bytes} bytes after {now_us} us");
        node.receive(&mut server, part).unwrap();
    }
    assert!(now_us > 4 * SECOND_US);
    node.assert_equals(server.store());
}

#[test]
fn the_changes_of_an_hour_are_caught_up_by_differences_within_the_byte_budget() {
    const CHANGES: u64 = 2_900;
    const BYTES_PER_SECOND: u64 = 26_000;
    let mut server = publisher();
    let tenants: Vec<Resource> =
        (0..5_000).map(|n| quota("orders-service", &format!("tenant-{n:06}"), 50.0)).collect();
    publish(&mut server, &tenants);
    let limits = SubscriptionLimits { bytes_per_second: BYTES_PER_SECOND, ..SubscriptionLimits::default() };
    let mut node = Node::with_limits("one", Interest::scopes(["orders-service"]), limits);
    node.connect(&mut server);
    node.catch_up(&mut server);
    node.disconnect(&mut server);
    for n in 0..CHANGES {
        let name = format!("tenant-{:06}", n * 7 % 5_000);
        publish(&mut server, &[quota("orders-service", &name, n as f64)]);
    }
    node.connect(&mut server);
    let begin_us = 3_600 * SECOND_US;
    let (mut now_us, mut bytes) = (begin_us, 0);
    while let Some(part) = node.next_part(&mut server, &mut now_us) {
        assert!(!part.is_snapshot);
        bytes += part.encoded_len() as u64;
        assert!(bytes <= BYTES_PER_SECOND * (now_us - begin_us) / SECOND_US + 4_096 + 1);
        node.receive(&mut server, part).unwrap();
    }
    println!("{bytes} bytes in {} ms of virtual time", (now_us - begin_us) / 1_000);
    assert!(now_us - begin_us < 10 * SECOND_US);
    node.assert_equals(server.store());
}
