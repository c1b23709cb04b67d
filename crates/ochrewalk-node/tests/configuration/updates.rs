//! Tests that published changes are in force in the nodes that they fit, and in no other node.

use crate::control_plane::{wait_until, ControlPlane};
use crate::helper::{exit, file};
use crate::node::{connect, is_routed, request, start_node, LISTENER_DIRECTIVES};

#[test]
fn published_routes_are_added_and_deleted_while_rpcs_run() {
    let control_plane = ControlPlane::start();
    let (stand, mut executor) = start_node(&control_plane.directives(""));
    assert!(!is_routed(&stand, "/look"));
    assert_eq!(control_plane.publish("route shop GET /look look\n"), "published 1 changes as 1.1\n");
    wait_until("the route", || is_routed(&stand, "/look"));
    // The node does not subscribe to this scope.
    control_plane.publish("route till GET /till look\nroute shop GET /last look\n");
    wait_until("the second batch", || is_routed(&stand, "/last"));
    assert!(!is_routed(&stand, "/till"));
    // The route is deleted while an RPC runs: the RPC completes.
    let mut peer = connect(&stand);
    peer.send(&request("GET", "/look", 7).whole()).unwrap();
    executor.read_until(r#""uid":"0000000000000007""#);
    control_plane.publish("delete route shop GET /look\n");
    wait_until("the route is deleted", || !is_routed(&stand, "/look"));
    executor.send_line(&exit(1, 7, "complete"));
    let answer = peer.answer().unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "RES"));
    assert_eq!(peer.call(&request("GET", "/look", 8)).unwrap().status, 404);
    wait_until("the region reports it", || control_plane.status().contains("east: 1 nodes at 1.3\n"));
}

#[test]
fn a_rejected_update_is_reported_and_an_invalid_batch_is_refused_as_a_whole() {
    let control_plane = ControlPlane::start();
    let (stand, _executor) = start_node(&control_plane.directives(""));
    control_plane.publish("route shop GET /good look\n");
    wait_until("the route", || is_routed(&stand, "/good"));
    // The batch has an invalid line, so that none of its changes is published.
    let (printed, succeeded) =
        control_plane.run_with_changes("publish", "route shop GET /a look\nroute shop get /b look\n");
    assert!(!succeeded && printed.contains(":2: get is no HTTP method"), "{printed}");
    // Valid, but one route does not fit this node.
    control_plane.publish("route shop GET /more look\nroute shop GET /bad nothing\n");
    wait_until("the rejection", || {
        control_plane.status().contains("rejected: 1.2 by n3: route shop GET /bad: nothing is no method here")
    });
    assert!(
        control_plane.status().contains("east: 1 nodes, 1 behind, the farthest at 1.1\n"),
        "{}",
        control_plane.status()
    );
    assert!(is_routed(&stand, "/good") && !is_routed(&stand, "/more") && !is_routed(&stand, "/bad"));
    // The next batch corrects the route.
    control_plane.publish("route shop GET /bad look\n");
    wait_until("both routes", || is_routed(&stand, "/bad") && is_routed(&stand, "/more"));
    wait_until("the rejection is over", || {
        let status = control_plane.status();
        status.contains("east: 1 nodes at 1.3\n") && !status.contains("rejected")
    });
}

#[test]
fn a_diff_shows_what_would_change_and_a_rollback_undoes_it() {
    let control_plane = ControlPlane::start();
    let (stand, _executor) = start_node(&control_plane.directives(""));
    control_plane.publish("quota acme 5\nroute shop GET /a look\n");
    let (printed, _) =
        control_plane.run_with_changes("diff", "quota acme 7\nroute shop GET /a look\ndelete quota other\n");
    assert_eq!(printed, "against 1.1:\nquota acme: 5 a second becomes 7 a second\n");
    control_plane.publish("quota acme 7\ndelete route shop GET /a\n");
    let output = control_plane.run(&["rollback", "--to", "1.1"]);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "published as 1.3\n");
    let (printed, _) = control_plane.run_with_changes("diff", "quota acme 5\nroute shop GET /a look\n");
    assert_eq!(printed, "against 1.3:\n");
    wait_until("the route is restored", || is_routed(&stand, "/a"));
    // An operator who expects another revision is refused.
    let path = file("quota acme 9\n");
    let output = control_plane.run(&["publish", "--expect", "1.2", path.to_str().unwrap()]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).starts_with("refused: "));
}

#[test]
fn a_file_that_is_reloaded_while_updates_arrive_leaves_both_in_force() {
    let control_plane = ControlPlane::start();
    let (stand, _executor) = start_node(&control_plane.directives(""));
    for round in 0..10 {
        let own =
            format!("{LISTENER_DIRECTIVES}ajp route GET /file{round} look\n{}", control_plane.directives(""));
        std::fs::write(&stand.operators, own.replace("AJP", &stand.ajp)).unwrap();
        stand.signal("-HUP");
        control_plane.publish(&format!("route shop GET /plane{round} look\n"));
        wait_until("both", || {
            is_routed(&stand, &format!("/file{round}")) && is_routed(&stand, &format!("/plane{round}"))
        });
    }
    assert!((0..10).all(|round| is_routed(&stand, &format!("/plane{round}"))));
    assert!(!is_routed(&stand, "/file8"));
}
