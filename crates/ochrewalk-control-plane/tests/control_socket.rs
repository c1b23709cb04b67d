//! The requests of operators on the control socket, and the publisher's replies, compared with recordings byte for byte.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{RunningPublisher, TEST_TIMEOUT};
use ochrewalk_control_plane::frame::{encode, FrameDecoder, MAX_OPERATOR_FRAME};
use ochrewalk_distribution::messages::{
    Body, Fetch, Fetched, Heartbeat, Position, PositionCount, Publish, Published, Refused, RegionStatus,
    Resource, Rollback, Status, StatusRequest,
};
use ochrewalk_operator_config::resources::read_changes;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/control").join(name)
}

fn decode(bytes: &[u8]) -> Body {
    let mut decoder = FrameDecoder::new(MAX_OPERATOR_FRAME);
    decoder.push(bytes);
    decoder.next_message().unwrap().expect("one complete message")
}

fn encoded(body: &Body) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(body.clone(), &mut bytes);
    bytes
}

/// Sends the bytes of a request to the publisher. Returns the bytes of the reply.
fn send_raw_request(socket: &Path, request: &[u8]) -> Vec<u8> {
    let mut stream = UnixStream::connect(socket).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(request).unwrap();
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).unwrap();
    reply
}

fn at(revision: u64) -> Position {
    Position { epoch: 1, revision }
}

fn changes(text: &str) -> Vec<Resource> {
    read_changes(text, "changes").unwrap()
}

fn publish(text: &str, expected: Option<Position>) -> Body {
    Body::Publish(Publish { changes: changes(text), expected })
}

fn published(revision: u64) -> Body {
    Body::Published(Published { position: at(revision) })
}

fn refused(reason: &str) -> Body {
    Body::Refused(Refused { reasons: vec![reason.into()] })
}

/// Returns the status of a publisher without subscribers.
fn status(revision: u64, resources: u64) -> Body {
    let position = at(revision);
    let in_force: Vec<PositionCount> = Vec::new();
    let region = RegionStatus { relay: "publisher".into(), in_force, position, ..RegionStatus::default() };
    Body::Status(Status { position, resources, regions: vec![region] })
}

/// Returns a conversation with a publisher whose log is empty: the name, the request and the reply of each exchange.
fn conversation() -> Vec<(&'static str, Body, Body)> {
    let status_request = Body::StatusRequest(StatusRequest {});
    let [acme, _, route] = &changes("quota acme 12.5\nquota gone 1\nroute shop GET /orders look")[..] else {
        panic!("three changes")
    };
    let fetch = Fetch { names: vec![acme.name.clone(), route.name.clone()] };
    let resources = vec![Resource { revision: 1, ..acme.clone() }, Resource { revision: 1, ..route.clone() }];
    vec![
        ("1-status-of-nothing", status_request.clone(), status(0, 0)),
        (
            "2-publish",
            publish("quota acme 12.5\nquota gone 1\nroute shop GET /orders look", None),
            published(1),
        ),
        ("3-fetch", Body::Fetch(fetch), Body::Fetched(Fetched { position: at(1), resources })),
        ("4-publish-expected", publish("quota acme 20\ndelete quota gone", Some(at(1))), published(2)),
        (
            "5-publish-unexpected",
            publish("quota acme 30", Some(at(1))),
            refused(
                "the state is at Position { epoch: 1, revision: 2 }, not at the expected \
                 Position { epoch: 1, revision: 1 }",
            ),
        ),
        (
            "6-delete-what-is-not-there",
            publish("delete quota nobody", None),
            refused("change 0: there is no such resource to delete"),
        ),
        ("7-rollback", Body::Rollback(Rollback { to: at(1) }), published(3)),
        (
            "8-rollback-of-nothing",
            Body::Rollback(Rollback { to: at(9) }),
            refused("no batch is later than Position { epoch: 1, revision: 9 }"),
        ),
        (
            "9-no-request-of-an-operator",
            Body::Heartbeat(Heartbeat { position: at(1), age_ms: 0 }),
            refused("not a request of an operator"),
        ),
        ("10-status", status_request, status(3, 3)),
    ]
}

#[test]
fn each_request_and_reply_is_as_recorded() {
    let folder = tempfile::tempdir().unwrap();
    let publisher = RunningPublisher::start(folder.path());
    for (name, request, reply) in conversation() {
        let recorded_request = std::fs::read(fixture(&format!("{name}.request"))).expect(name);
        let recorded_reply = std::fs::read(fixture(&format!("{name}.reply"))).expect(name);
        assert_eq!(decode(&recorded_request), request, "{name}");
        assert_eq!(encoded(&request), recorded_request, "{name}");
        assert_eq!(decode(&recorded_reply), reply, "{name}");
        assert_eq!(encoded(&reply), recorded_reply, "{name}");
        assert_eq!(send_raw_request(&publisher.control, &recorded_request), recorded_reply, "{name}");
    }
}
