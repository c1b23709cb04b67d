//! Tests that quotas of tenants are requested by name at their first use.

use crate::helper::{exec, file, listener, req};
use crate::node::{connect, start_node};
use crate::relay_stand_in::accept_from_either;
use ochrewalk_distribution::messages::{Body, Heartbeat, Position, Update};
use ochrewalk_lab::ajp::Call;
use ochrewalk_operator_config::resources::quota_name;
use std::net::{SocketAddr, TcpListener};

#[test]
fn a_tenants_quota_is_requested_at_first_use_and_restored_after_a_restart() {
    let first = listener();
    let second = listener();
    let at = |listener: &TcpListener| listener.local_addr().unwrap();
    let relays: [SocketAddr; 2] = [at(&first), at(&second)];
    let state = file("").with_extension("state");
    let directives = format!(
        "config relay {}\nconfig relay {}\nconfig region east\nconfig snapshot {}\n",
        relays[0],
        relays[1],
        state.display()
    );
    let (stand, mut executor) = start_node(&directives);
    let mut relay = accept_from_either(&first, &second);
    assert_eq!(relay.receive_subscribe().applied, None);
    let position = Position { epoch: 1, revision: 4 };
    relay.send(Body::Update(Update { position, is_snapshot: true, is_last: true, ..Update::default() }));
    assert!(matches!(relay.receive(), Body::Report(report) if report.applied == position));
    // The RPC of an unknown tenant counts as within its quota, which is requested.
    let mut peer = connect(&stand);
    let headers = vec![("x-request-id", req(1)), ("x-tenant", "acme".to_string())];
    peer.send(&Call { method: "POST", uri: "/sync", headers, secret: None, body: b"ABC" }.whole()).unwrap();
    executor.read_until(&exec(1, "sync"));
    assert_eq!(relay.receive_watch().add, [quota_name("acme")]);
    let quota =
        ochrewalk_operator_config::resources::read_changes("quota acme 5\n", "changes").unwrap().remove(0);
    let resource = ochrewalk_distribution::messages::Resource { revision: 2, ..quota };
    let mut update = Update {
        position,
        base: Some(position),
        resources: vec![resource.clone()],
        // The update answers the one watch of this stream.
        watches: 1,
        is_last: true,
        ..Update::default()
    };
    update.checksum = crc32fast::hash(&prost::Message::encode_to_vec(&resource));
    relay.send(Body::Update(update));
    assert!(matches!(relay.receive(), Body::Report(report) if report.applied == position));
    relay.send(Body::Heartbeat(Heartbeat { position, age_ms: 0 }));
    drop(relay);
    let stand = stand.restart();
    let mut relay = accept_from_either(&first, &second);
    let mut subscribe = relay.receive_subscribe();
    // The process that was killed may have left an earlier connection to the other relay, whose subscription has no applied
    // position.
    if subscribe.applied.is_none() {
        relay = accept_from_either(&first, &second);
        subscribe = relay.receive_subscribe();
    }
    assert_eq!((subscribe.applied, subscribe.names), (Some(position), vec![quota_name("acme")]));
    drop(stand);
    let _ = std::fs::remove_file(state);
}
