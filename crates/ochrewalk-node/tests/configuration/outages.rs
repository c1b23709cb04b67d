//! Publishers, relays and nodes that are killed, stopped or replaced.

use crate::control_plane::{wait_until, ControlPlane, Process};
use crate::helper::program;
use crate::node::{is_routed, start_node};

#[test]
fn a_restarted_publisher_has_all_that_it_acknowledged() {
    let mut plane = ControlPlane::start();
    let (stand, _executor) = start_node(&plane.directives(""));
    plane.publish("route shop GET /a look\n");
    plane.publisher.kill();
    plane.publisher = ControlPlane::start_publisher(&plane.folder, &plane.publisher_address);
    wait_until("the publisher answers", || plane.status().starts_with("published: 1.1, 1 resources"));
    assert_eq!(plane.publish("route shop GET /b look\n"), "published 1 changes as 1.2\n");
    wait_until("both routes", || is_routed(&stand, "/a") && is_routed(&stand, "/b"));
}

#[test]
fn changes_arrive_while_one_relay_is_killed_or_stopped() {
    let mut plane = ControlPlane::start();
    let (stand, _executor) = start_node(&plane.directives(""));
    plane.publish("route shop GET /a look\n");
    wait_until("the first route", || is_routed(&stand, "/a"));
    // Whichever relay serves: the first is killed, then comes back and the second is stopped.
    plane.relays[0].kill();
    plane.publish("route shop GET /b look\n");
    wait_until("the second route", || is_routed(&stand, "/b"));
    let relays = plane.relay_addresses.clone();
    plane.relays[0] = Process::start(&[
        "config",
        "relay",
        "--name",
        "east-1",
        "--region",
        "east",
        "--listen",
        &relays[0],
        "--publisher",
        &plane.publisher_address,
    ]);
    wait_until("the relay is back", || plane.status().contains("relays: 2 nodes at 1.2\n"));
    let stopped = plane.relays[1].0.id().to_string();
    assert!(std::process::Command::new("kill").args(["-STOP", &stopped]).status().unwrap().success());
    plane.publish("route shop GET /c look\n");
    wait_until("the third route", || is_routed(&stand, "/c"));
}

#[test]
fn without_any_relay_a_node_serves_on_also_after_a_restart_and_then_catches_up() {
    let mut plane = ControlPlane::start();
    let state = plane.folder.join("state");
    let (stand, _executor) = start_node(&plane.directives(&format!("config snapshot {}\n", state.display())));
    plane.publish("route shop GET /a look\n");
    wait_until("the first route", || is_routed(&stand, "/a"));
    plane.publish("delete route shop GET /a\nroute shop GET /b look\n");
    wait_until("the second route", || is_routed(&stand, "/b"));
    plane.relays.clear();
    let stand = stand.again();
    stand.executor().say(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
    stand.caller().wait_healthy();
    assert!(is_routed(&stand, "/b") && !is_routed(&stand, "/a"));
    plane.publish("route shop GET /c look\n");
    plane.start_relays();
    wait_until("the third route", || is_routed(&stand, "/c"));
    assert!(is_routed(&stand, "/b"));
}

#[test]
fn a_successor_has_in_force_what_its_predecessor_had() {
    let plane = ControlPlane::start();
    let path = |name: &str| plane.folder.join(name).to_str().unwrap().to_string();
    let (state, control) = (path("state"), path("upgrade"));
    let (stand, mut executor) =
        start_node(&plane.directives(&format!("config snapshot {state}\nupgrade control {control}\n")));
    std::thread::spawn(move || executor.hear_out());
    plane.publish("route shop GET /a look\n");
    wait_until("the first route", || is_routed(&stand, "/a"));
    let arguments = ["upgrade", "--control", &control, "--program", env!("CARGO_BIN_EXE_ochrewalk")];
    let output = program(&arguments).output().unwrap();
    assert_eq!(String::from_utf8_lossy(&output.stdout), "handed over\n", "{output:?}");
    assert!(is_routed(&stand, "/a"));
    plane.publish("route shop GET /b look\n");
    wait_until("the second route", || is_routed(&stand, "/b"));
    assert!(is_routed(&stand, "/a"));
}
