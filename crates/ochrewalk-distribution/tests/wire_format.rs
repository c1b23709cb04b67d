//! The wire format of each message of the distribution: recorded frames are decoded and encoded again byte for byte.

mod common;

use std::path::Path;

use common::*;
use ochrewalk_distribution::messages::{
    Body, Envelope, Fetch, Fetched, Heartbeat, PositionCount, Publish, Published, Refused, RegionStatus,
    Rejection, Report, Resource, ResourceKind, ResourceName, RetryLater, Rollback, Status, StatusRequest,
    Subscribe, Update, Watch,
};
use prost::Message;

fn route_name() -> ResourceName {
    ResourceName::new(ResourceKind::Route, "shop", "GET /orders")
}

/// Returns a resource of each kind, and a deleted one.
fn resources() -> Vec<Resource> {
    let named = |kind, value| Resource {
        revision: 300,
        ..Resource::set(ResourceName::new(kind, "shop", "one"), value)
    };
    vec![
        Resource { revision: 1, ..Resource::set(route_name(), route_value()) },
        named(ResourceKind::Quota, quota_value(12.5)),
        named(ResourceKind::Endpoint, endpoint_value(0.25)),
        named(ResourceKind::Limit, limit_value(1e9)),
        Resource { revision: u64::MAX, ..deletion("shop", "gone") },
    ]
}

fn rejection() -> Rejection {
    Rejection { position: position(2, 301), node: "node-1".into(), reason: "route of no method".into() }
}

fn region_status() -> RegionStatus {
    RegionStatus {
        relay: "relay-1".into(),
        region: "north".into(),
        in_force: vec![
            PositionCount { position: position(1, 299), nodes: 3 },
            PositionCount { position: position(2, 300), nodes: 400 },
        ],
        rejections: vec![rejection()],
        position: position(2, 301),
    }
}

/// Returns the messages between a subscriber and its server.
fn stream_messages() -> Vec<(&'static str, Body)> {
    let subscribe = Subscribe {
        version: 1,
        node: "node-1".into(),
        region: "north".into(),
        applied: Some(position(1, 299)),
        scopes: vec!["shop".into(), "".into()],
        names: vec![route_name(), quota_name("", "tenant")],
        everything: true,
        bytes_per_second: 26_000,
        highest_epoch: 2,
    };
    let update = Update {
        position: position(2, 300),
        is_snapshot: true,
        resources: resources(),
        absent: vec![quota_name("", "nobody")],
        is_last: true,
        part: 7,
        checksum: 0xdead_beef,
        base: Some(position(1, 299)),
        horizon: 250,
        watches: 4,
    };
    let watch = Watch { add: vec![quota_name("", "new")], remove: vec![quota_name("", "old")] };
    vec![
        ("subscribe", Body::Subscribe(subscribe)),
        ("watch", Body::Watch(watch)),
        ("report", Body::Report(Report { applied: position(2, 300), rejected: Some(rejection()) })),
        ("update", Body::Update(update)),
        ("heartbeat", Body::Heartbeat(Heartbeat { position: position(2, 300), age_ms: 1_500 })),
        ("retry-later", Body::RetryLater(RetryLater { after_ms: 700 })),
        ("region-status", Body::RegionStatus(region_status())),
    ]
}

/// Returns the requests of operators and the replies to them.
fn operator_messages() -> Vec<(&'static str, Body)> {
    let changes = resources();
    let expected = Some(position(2, 300));
    let status = Status { position: position(2, 301), resources: 459_000, regions: vec![region_status()] };
    let reasons = vec!["the batch is empty".into(), "change 3: a name is not valid".into()];
    vec![
        ("publish", Body::Publish(Publish { changes, expected })),
        ("published", Body::Published(Published { position: position(2, 301) })),
        ("refused", Body::Refused(Refused { reasons })),
        ("status-request", Body::StatusRequest(StatusRequest {})),
        ("status", Body::Status(status)),
        ("rollback", Body::Rollback(Rollback { to: position(1, 299) })),
        ("fetch", Body::Fetch(Fetch { names: vec![route_name(), quota_name("", "tenant")] })),
        ("fetched", Body::Fetched(Fetched { position: position(2, 301), resources: resources() })),
    ]
}

fn assert_as_recorded((name, body): (&'static str, Body)) {
    let file = format!("tests/fixtures/messages/{name}.bin");
    let recorded = std::fs::read(Path::new(env!("CARGO_MANIFEST_DIR")).join(&file)).expect(&file);
    let read = Envelope::decode_length_delimited(recorded.as_slice()).expect(name);
    assert_eq!(read.body.as_ref(), Some(&body), "{name}");
    assert_eq!(read.encode_length_delimited_to_vec(), recorded, "{name}");
}

#[test]
fn messages_between_subscribers_and_servers_are_as_recorded() {
    stream_messages().into_iter().for_each(assert_as_recorded);
}

#[test]
fn messages_between_operators_and_the_publisher_are_as_recorded() {
    operator_messages().into_iter().for_each(assert_as_recorded);
}
