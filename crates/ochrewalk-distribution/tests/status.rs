//! The aggregation of the states of many subscribers.

mod common;

use common::*;
use ochrewalk_distribution::messages::{PositionCount, RegionStatus, Rejection};
use ochrewalk_distribution::{merge_region_statuses, Interest, Server, ServerLimits, Store, StoreLimits};

fn rejection(node: &str, revision: u64) -> Rejection {
    Rejection { position: position(1, revision), node: node.into(), reason: "it does not fit".into() }
}

fn count(revision: u64, nodes: u64) -> PositionCount {
    PositionCount { position: position(1, revision), nodes }
}

fn status(relay: &str, region: &str, revision: u64) -> RegionStatus {
    RegionStatus {
        relay: relay.into(),
        region: region.into(),
        position: position(1, revision),
        ..RegionStatus::default()
    }
}

#[test]
fn subscribers_are_counted_by_the_position_in_force() {
    let mut server = filled_publisher();
    let mut nodes: Vec<Node> =
        (0..5).map(|n| Node::new(&format!("node-{n}"), Interest::scopes(["a"]))).collect();
    for node in &mut nodes {
        node.connect(&mut server);
        node.catch_up(&mut server);
    }
    publish(&mut server, &[quota("a", "one", 1.0)]);
    nodes[0].catch_up(&mut server);
    nodes[1].disconnect(&mut server);
    let status = server.status();
    assert_eq!(status.in_force, [count(1, 3), count(2, 1)]);
    assert_eq!((status.position, status.relay.as_str()), (position(1, 2), "publisher"));
}

#[test]
fn rejections_are_bounded_and_one_for_each_node() {
    let limits = ServerLimits { max_rejections: 3, ..unbounded_limits() };
    let mut server = Server::new("publisher", "north", Store::new(1, StoreLimits::default()), limits);
    let mut nodes: Vec<Node> =
        (0..5).map(|n| Node::new(&format!("node-{n}"), Interest::scopes(["a"]))).collect();
    for node in &mut nodes {
        node.connect(&mut server);
    }
    for _ in 0..2 {
        publish(&mut server, &[quota("a", "one", 1.0)]);
        for node in &mut nodes {
            let update = node.next_update(&mut server);
            let report = node.subscription.rejected(update.position, "x".repeat(10_000));
            server.report(node.id.unwrap(), report);
        }
    }
    let rejections = server.status().rejections;
    let names: Vec<&str> = rejections.iter().map(|rejection| rejection.node.as_str()).collect();
    assert_eq!(names, ["node-2", "node-3", "node-4"]);
    assert!(rejections.iter().all(|rejection| rejection.reason.len() <= 512));
}

#[test]
fn the_statuses_of_a_region_are_merged() {
    let mut first = status("relay-1", "north", 7);
    first.in_force = vec![count(6, 2), count(7, 10)];
    first.rejections = vec![rejection("one", 5), rejection("two", 4)];
    let mut second = status("relay-2", "north", 6);
    second.in_force = vec![count(5, 1), count(6, 3)];
    second.rejections = vec![rejection("one", 6), rejection("three", 3)];
    let south = status("relay-3", "south", 7);
    let merged = merge_region_statuses([south.clone(), second, first], 2);
    let mut north = status("relay-1, relay-2", "north", 6);
    north.in_force = vec![count(5, 1), count(6, 5), count(7, 10)];
    north.rejections = vec![rejection("one", 6), rejection("two", 4)];
    assert_eq!(merged, [north, south]);
}
