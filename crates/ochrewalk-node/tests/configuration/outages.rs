//! Tests with publishers, relays and nodes that are killed, stopped or replaced.

use crate::control_plane::{wait_until, ControlPlane, Process};
use crate::helper::program;
use crate::node::{is_routed, start_node};

#[test]
fn a_restarted_publisher_has_all_acknowledged_changes() {
    let mut control_plane = ControlPlane::start();
    let (stand, _executor) = start_node(&control_plane.directives(""));
    control_plane.publish("route shop GET /a look\n");
    control_plane.publisher.kill();
    control_plane.publisher =
        ControlPlane::start_publisher(&control_plane.folder, &control_plane.publisher_address);
    wait_until("the publisher answers", || control_plane.status().starts_with("published: 1.1, 1 resources"));
    assert_eq!(control_plane.publish("route shop GET /b look\n"), "published 1 changes as 1.2\n");
    wait_until("both routes", || is_routed(&stand, "/a") && is_routed(&stand, "/b"));
}

#[test]
fn changes_arrive_while_one_relay_is_killed_or_stopped() {
    let mut control_plane = ControlPlane::start();
    let (stand, _executor) = start_node(&control_plane.directives(""));
    control_plane.publish("route shop GET /a look\n");
    wait_until("the first route", || is_routed(&stand, "/a"));
    // The first relay is killed; then it is restarted and the second is stopped. Thus the relay that the node follows fails
    // at least once.
    control_plane.relays[0].kill();
    control_plane.publish("route shop GET /b look\n");
    wait_until("the second route", || is_routed(&stand, "/b"));
    let relays = control_plane.relay_addresses.clone();
    control_plane.relays[0] = Process::start(&[
        "config",
        "relay",
        "--name",
        "east-1",
        "--region",
        "east",
        "--listen",
        &relays[0],
        "--publisher",
        &control_plane.publisher_address,
    ]);
    wait_until("the restarted relay catches up", || {
        control_plane.status().contains("relays: 2 nodes at 1.2\n")
    });
    let stopped = control_plane.relays[1].0.id().to_string();
    assert!(std::process::Command::new("kill").args(["-STOP", &stopped]).status().unwrap().success());
    control_plane.publish("route shop GET /c look\n");
    wait_until("the third route", || is_routed(&stand, "/c"));
}

#[test]
fn without_any_relay_a_node_continues_to_serve_also_after_a_restart_and_then_catches_up() {
    let mut control_plane = ControlPlane::start();
    let state = control_plane.folder.join("state");
    let (stand, _executor) =
        start_node(&control_plane.directives(&format!("config snapshot {}\n", state.display())));
    control_plane.publish("route shop GET /a look\n");
    wait_until("the first route", || is_routed(&stand, "/a"));
    control_plane.publish("delete route shop GET /a\nroute shop GET /b look\n");
    wait_until("the second route", || is_routed(&stand, "/b"));
    control_plane.relays.clear();
    let stand = stand.restart();
    stand.executor().send_line(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
    stand.caller().wait_healthy();
    assert!(is_routed(&stand, "/b") && !is_routed(&stand, "/a"));
    control_plane.publish("route shop GET /c look\n");
    control_plane.start_relays();
    wait_until("the third route", || is_routed(&stand, "/c"));
    assert!(is_routed(&stand, "/b"));
}

#[test]
fn a_successor_has_the_configuration_of_its_predecessor_in_force() {
    let control_plane = ControlPlane::start();
    let path = |name: &str| control_plane.folder.join(name).to_str().unwrap().to_string();
    let (state, control) = (path("state"), path("upgrade"));
    let (stand, mut executor) = start_node(
        &control_plane.directives(&format!("config snapshot {state}\nupgrade control {control}\n")),
    );
    std::thread::spawn(move || executor.read_to_end());
    control_plane.publish("route shop GET /a look\n");
    wait_until("the first route", || is_routed(&stand, "/a"));
    let arguments = ["upgrade", "--control", &control, "--program", env!("CARGO_BIN_EXE_ochrewalk")];
    let output = program(&arguments).output().unwrap();
    assert_eq!(String::from_utf8_lossy(&output.stdout), "handed over\n", "{output:?}");
    assert!(is_routed(&stand, "/a"));
    control_plane.publish("route shop GET /b look\n");
    wait_until("the second route", || is_routed(&stand, "/b"));
    assert!(is_routed(&stand, "/a"));
}
