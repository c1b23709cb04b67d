//! A publisher on real sockets, with subscribers that violate the protocol.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{RunningPublisher, TEST_TIMEOUT};
use ochrewalk_control_plane::control::send_request;
use ochrewalk_control_plane::frame::{encode, FrameDecoder};
use ochrewalk_distribution::messages::{
    Body, Position, Publish, Report, Resource, Subscribe, PROTOCOL_VERSION,
};
use ochrewalk_operator_config::resources::read_changes;
use std::io::{Read, Write};
use std::net::TcpStream;

struct Subscriber {
    stream: TcpStream,
    decoder: FrameDecoder,
}

impl Subscriber {
    fn subscribe(publisher: &RunningPublisher, highest_epoch: u64) -> Subscriber {
        let stream = TcpStream::connect(publisher.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut subscriber = Subscriber { stream, decoder: FrameDecoder::new(1 << 20) };
        subscriber.send(Body::Subscribe(Subscribe {
            version: PROTOCOL_VERSION,
            node: "east-1".into(),
            region: "east".into(),
            everything: true,
            highest_epoch,
            ..Subscribe::default()
        }));
        subscriber
    }
    fn send(&mut self, body: Body) {
        let mut bytes = Vec::new();
        encode(body, &mut bytes);
        self.stream.write_all(&bytes).unwrap();
    }

    /// Returns the next message, or `None` once the connection is closed.
    fn receive(&mut self) -> Option<Body> {
        let mut chunk = [0; 4096];
        loop {
            if let Some(body) = self.decoder.next_message().unwrap() {
                return Some(body);
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(count) => self.decoder.push(&chunk[..count]),
                Err(err) if err.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(err) => panic!("cannot receive: {err}"),
            }
        }
    }

    /// Receives and reports updates up to the one of this position. Returns their resources.
    fn follow_to(&mut self, position: Position) -> Vec<Resource> {
        let mut resources = Vec::new();
        loop {
            match self.receive().expect("the stream is open") {
                Body::Update(update) => {
                    resources.extend(update.resources);
                    if update.is_last {
                        self.send(Body::Report(Report { applied: update.position, rejected: None }));
                    }
                    if update.is_last && update.position == position {
                        return resources;
                    }
                }
                Body::Heartbeat(_) => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

fn is_fenced(answer: &Body) -> bool {
    matches!(answer, Body::Refused(refused) if refused.reasons.iter().any(|reason| reason.contains("epoch 2")))
}

#[test]
fn a_publisher_that_observes_a_later_epoch_accepts_no_changes_even_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let publisher = RunningPublisher::start(folder.path());
    assert!(matches!(publisher.publish("quota acme 1"), Body::Published(_)));
    let mut relay = Subscriber::subscribe(&publisher, 2);
    assert!(is_fenced(&relay.receive().unwrap()));
    assert_eq!(relay.receive(), None);
    assert!(is_fenced(&publisher.publish("quota acme 2")));
    drop(publisher);
    let restarted = RunningPublisher::start(folder.path());
    assert!(is_fenced(&restarted.publish("quota acme 2")));
    // The accepted changes are still served.
    assert_eq!(restarted.status().position, Position { epoch: 1, revision: 1 });
}

#[test]
fn peers_that_send_malformed_input_or_never_read_affect_only_their_own_connection() {
    let folder = tempfile::tempdir().unwrap();
    let publisher = RunningPublisher::start(folder.path());
    let mut malformed = TcpStream::connect(publisher.address).unwrap();
    malformed.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    malformed.write_all(&[0xff; 64]).unwrap();
    let mut rest = Vec::new();
    let _ = malformed.read_to_end(&mut rest);
    assert_eq!(rest, []);
    // Requests of operators are not accepted from the network.
    let mut unauthorized = Subscriber::subscribe(&publisher, 0);
    unauthorized.send(Body::Publish(Publish::default()));
    while unauthorized.receive().is_some() {}
    let never_reads = Subscriber::subscribe(&publisher, 0);
    let mut follower = Subscriber::subscribe(&publisher, 0);
    let mut revision = 0;
    for round in 0..60 {
        let quotas: String = (0..500).map(|tenant| format!("quota tenant-{tenant} {round}\n")).collect();
        let Body::Published(published) = publisher.publish(&quotas) else { panic!() };
        revision = published.position.revision;
    }
    let resources = follower.follow_to(Position { epoch: 1, revision });
    let newest = resources.iter().filter(|resource| resource.revision == revision);
    assert_eq!(newest.count(), 500);
    assert_eq!(publisher.status().resources, 500);
    drop(never_reads);
}

#[test]
fn a_batch_with_an_invalid_change_is_refused_with_each_reason() {
    let folder = tempfile::tempdir().unwrap();
    let publisher = RunningPublisher::start(folder.path());
    let mut changes = read_changes("quota good 1\nquota bad 1\nroute shop GET /a look", "changes").unwrap();
    changes[1].value = None;
    changes[2].name.name = "GET /b".into();
    let answer =
        send_request(&publisher.control, Body::Publish(Publish { changes, expected: None })).unwrap();
    let Body::Refused(refused) = answer else { panic!("{answer:?}") };
    assert_eq!(refused.reasons.len(), 1, "{refused:?}");
    assert!(refused.reasons[0].contains("route shop GET /b"), "{refused:?}");
    assert_eq!(publisher.status().resources, 0);
}
