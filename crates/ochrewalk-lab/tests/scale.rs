//! The scale run at a small size, with a real publisher, real relays, real nodes under load and hollow nodes. The
//! tests check the results of each run, but no times.

use ochrewalk_lab::node::program;
use serde_json::Value;
use std::process::Command;

const NODES: u64 = 40;
const REAL: u64 = 2;

/// Runs a small fleet with this fault, checks that no rule is violated, and returns the last line.
fn checked_run(fault: &str, seconds: &str) -> Value {
    let (line, is_success) = run(fault, seconds);
    assert_no_violations(&line, is_success);
    line
}

/// Runs a small fleet with this fault, and returns the last line and whether the run succeeded.
fn run(fault: &str, seconds: &str) -> (Value, bool) {
    program().expect("the node's program is there, or can be built");
    let mut command = Command::new(env!("CARGO_BIN_EXE_ochrewalk-lab"));
    command.args(["scale", "--seed", "7", "--nodes", &NODES.to_string(), "--real", &REAL.to_string()]);
    command.args([
        "--tenants",
        "600",
        "--routes",
        "300",
        "--scopes",
        "20",
        "--wanted",
        "10",
        "--regions",
        "2",
    ]);
    command.args(["--hollow-processes", "2", "--rate", "4", "--seconds", seconds, "--faults", fault]);
    let output = command.output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    let last = text.lines().last().unwrap_or_else(|| panic!("no output; {errors}"));
    (serde_json::from_str(last).unwrap(), output.status.success())
}

fn assert_no_violations(line: &Value, is_success: bool) {
    assert!(is_success, "{line}");
    for zero in ["broken", "diverged", "lost"] {
        assert_eq!(line[zero], 0, "{zero}: {line}");
    }
    assert_eq!(line["nodes"], NODES);
    let real = &line["real"];
    assert_eq!(real["nodes"], REAL);
    assert_eq!(real["unanswered"], 0, "{line}");
    assert_eq!(real["in_force_never"], 0, "{line}");
    assert!(real["served"].as_u64().unwrap() > 0, "{line}");
    assert!(real["in_force_samples"].as_u64().unwrap() > 0, "{line}");
}

#[test]
fn changes_come_into_force_at_real_and_hollow_nodes() {
    let line = checked_run("none", "5");
    assert_eq!(line["changes"], 20);
}

#[test]
fn no_change_is_lost_when_a_relay_is_killed() {
    checked_run("relay-killed", "6");
}

#[test]
fn no_acknowledged_change_is_lost_when_the_publisher_is_killed() {
    checked_run("publisher-killed", "9");
}

#[test]
fn nodes_that_restart_without_state_receive_all_of_it() {
    checked_run("zone-cold", "6");
}

#[test]
fn a_bad_change_is_rejected_and_reported_until_a_valid_one_replaces_it() {
    let line = checked_run("bad-change", "9");
    assert!(line["bad_change"]["named"].as_u64().unwrap() > 0, "{line}");
    assert_eq!(line["bad_change"]["named_at_end"], 0, "{line}");
}

#[test]
fn subscribers_that_never_read_do_not_delay_others() {
    let line = checked_run("slow-nodes", "6");
    assert_eq!(line["slow_nodes"]["connected"], 50, "{line}");
}
