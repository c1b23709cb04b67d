//! What is published is in force in the nodes that it fits, and in no other.

use crate::control_plane::{wait_until, ControlPlane};
use crate::helper::{exit, file};
use crate::node::{connect, is_routed, request, up, FRONT};

#[test]
fn published_routes_come_and_go_while_rpcs_run() {
    let plane = ControlPlane::start();
    let (stand, mut executor) = up(&plane.directives(""));
    assert!(!is_routed(&stand, "/look"));
    assert_eq!(plane.publish("route shop GET /look look\n"), "published 1 changes as 1.1\n");
    wait_until("the route", || is_routed(&stand, "/look"));
    // One of another scope is not this node's.
    plane.publish("route till GET /till look\nroute shop GET /last look\n");
    wait_until("the second batch", || is_routed(&stand, "/last"));
    assert!(!is_routed(&stand, "/till"));
    // Its route goes while an RPC runs: the RPC ends well.
    let mut peer = connect(&stand);
    peer.send(&request("GET", "/look", 7).whole()).unwrap();
    executor.hear_of(r#""uid":"0000000000000007""#);
    plane.publish("delete route shop GET /look\n");
    wait_until("the route is gone", || !is_routed(&stand, "/look"));
    executor.say(&exit(1, 7, "complete"));
    let answer = peer.answer().unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "RES"));
    assert_eq!(peer.call(&request("GET", "/look", 8)).unwrap().status, 404);
    wait_until("the region is told of", || plane.status().contains("east: 1 nodes at 1.3\n"));
}

#[test]
fn what_a_node_rejects_is_seen_and_what_is_unsound_is_refused_whole() {
    let plane = ControlPlane::start();
    let (stand, _executor) = up(&plane.directives(""));
    plane.publish("route shop GET /good look\n");
    wait_until("the route", || is_routed(&stand, "/good"));
    // Unsound anywhere: nothing of it is published.
    let (said, is_done) = plane.with_changes("publish", "route shop GET /a look\nroute shop get /b look\n");
    assert!(!is_done && said.contains(":2: get is no HTTP method"), "{said}");
    // Sound, but not for this node.
    plane.publish("route shop GET /more look\nroute shop GET /bad nothing\n");
    wait_until("the rejection", || {
        plane.status().contains("rejected: 1.2 by n3: route shop GET /bad: nothing is no method here")
    });
    assert!(plane.status().contains("east: 1 nodes, 1 behind, the farthest at 1.1\n"), "{}", plane.status());
    assert!(is_routed(&stand, "/good") && !is_routed(&stand, "/more") && !is_routed(&stand, "/bad"));
    // The next batch heals it.
    plane.publish("route shop GET /bad look\n");
    wait_until("both routes", || is_routed(&stand, "/bad") && is_routed(&stand, "/more"));
    wait_until("the rejection is over", || {
        let status = plane.status();
        status.contains("east: 1 nodes at 1.3\n") && !status.contains("rejected")
    });
}

#[test]
fn a_diff_says_what_would_change_and_a_rollback_undoes_it() {
    let plane = ControlPlane::start();
    let (stand, _executor) = up(&plane.directives(""));
    plane.publish("quota acme 5\nroute shop GET /a look\n");
    let (said, _) = plane.with_changes("diff", "quota acme 7\nroute shop GET /a look\ndelete quota other\n");
    assert_eq!(said, "against 1.1:\nquota acme: 5 a second becomes 7 a second\n");
    plane.publish("quota acme 7\ndelete route shop GET /a\n");
    let output = plane.ask(&["rollback", "--to", "1.1"]);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "published as 1.3\n");
    let (said, _) = plane.with_changes("diff", "quota acme 5\nroute shop GET /a look\n");
    assert_eq!(said, "against 1.3:\n");
    wait_until("the route is back", || is_routed(&stand, "/a"));
    // Whoever took the state to be another one is refused.
    let path = file("quota acme 9\n");
    let output = plane.ask(&["publish", "--expect", "1.2", path.to_str().unwrap()]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).starts_with("refused: "));
}

#[test]
fn a_file_that_changes_while_updates_come_leaves_both_in_force() {
    let plane = ControlPlane::start();
    let (stand, _executor) = up(&plane.directives(""));
    for round in 0..10 {
        let own = format!("{FRONT}ajp route GET /file{round} look\n{}", plane.directives(""));
        std::fs::write(&stand.operators, own.replace("AJP", &stand.ajp)).unwrap();
        stand.signal("-HUP");
        plane.publish(&format!("route shop GET /plane{round} look\n"));
        wait_until("both", || {
            is_routed(&stand, &format!("/file{round}")) && is_routed(&stand, &format!("/plane{round}"))
        });
    }
    assert!((0..10).all(|round| is_routed(&stand, &format!("/plane{round}"))));
    assert!(!is_routed(&stand, "/file8"));
}
