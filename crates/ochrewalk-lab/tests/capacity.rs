//! Tests the capacity page: the committed page matches the committed slopes and size, and pages of small artificial
//! slopes mark values that exceed a budget, are extrapolated or were not measured.

use ochrewalk_lab::capacity::catalog::{Mechanism, ROLES};
use ochrewalk_lab::capacity::files::page_of;
use ochrewalk_lab::capacity::page::render;
use ochrewalk_lab::capacity::size::{FleetSize, NodeControlBudget};
use ochrewalk_lab::slopes::fit::fit;
use ochrewalk_lab::slopes::model::{Machine, Point, Slope, SlopeSet};
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn small_size() -> FleetSize {
    FleetSize {
        name: "small".into(),
        nodes: 10.0,
        callers: 100.0,
        services: 2.0,
        rpcs_per_second: 1_000.0,
        routes: 1_000.0,
        tenants: 500.0,
        added_latency_p99_ms: 1.0,
        regions: 2.0,
        zones: 5.0,
        changes_per_day: 86_400.0,
        change_in_force_within_s: 3.0,
        node_control_budget: NodeControlBudget {
            core_share: 0.02,
            memory_mb: 1.0,
            bytes_per_second: 1_000.0,
        },
        control_machines: 5.0,
        machine_failures_per_day: 3.0,
        restarts_per_day: 20.0,
    }
}

/// Returns a slope whose points are on a line, up to a largest size.
fn slope(name: &str, intercept: f64, slope: f64, largest: f64) -> Slope {
    let point = |part: f64| Point { size: part * largest, value: intercept + slope * part * largest };
    let points: Vec<Point> = [0.25, 0.5, 0.75, 1.0].into_iter().map(point).collect();
    Slope {
        name: name.into(),
        size_unit: "things".into(),
        value_unit: "units".into(),
        fit: fit(&points).unwrap(),
        points,
        largest_size: largest,
        command: "made up".into(),
        note: String::new(),
    }
}

fn page(slopes: Vec<Slope>, size: &FleetSize) -> String {
    let machine =
        Machine { cores: 1, load_before: "0".into(), load_after: "0".into(), note: "Made up.".into() };
    render(&SlopeSet { machine, slopes, failed: Vec::new() }, size)
}

fn row<'a>(page: &'a str, what: &str) -> &'a str {
    page.lines().find(|line| line.contains(what)).unwrap_or_else(|| panic!("no row with {what} in {page}"))
}

#[test]
fn the_committed_page_matches_the_committed_slopes_and_size() {
    let root = repository();
    let slopes = root.join("docs/measurements/slopes.json");
    let size = root.join("deploy/sizes/two-years.json");
    let made = page_of(&slopes, &size).unwrap();
    assert_eq!(made, std::fs::read_to_string(root.join("docs/CAPACITY.md")).unwrap());
}

#[test]
fn values_over_budget_are_marked_and_come_first() {
    // A thousand routes of 2 kB each are 1.9 times the budget of 1 MB. The endpoints are within the budget.
    let slopes = vec![
        slope("node-memory-by-endpoints", 0.0, 1_000.0, 10.0),
        slope("node-memory-by-routes", 0.0, 2_000.0, 1_000.0),
    ];
    let page = page(slopes, &small_size());
    let over = row(&page, "memory with all routes in the operators' file");
    assert!(over.contains("**over budget**: 1.91 times 1.0 MB"), "{over}");
    let within = row(&page, "memory with all nodes as endpoints upstream");
    assert!(within.contains("99% of 1.0 MB left"), "{within}");
    assert!(page.find(over).unwrap() < page.find(within).unwrap());
}

#[test]
fn extrapolated_values_state_their_factor() {
    let slopes = vec![
        slope("node-memory-by-routes", 0.0, 10.0, 250.0),
        slope("node-memory-by-endpoints", 0.0, 10.0, 10.0),
    ];
    let page = page(slopes, &small_size());
    let extrapolated = row(&page, "memory with all routes in the operators' file");
    assert!(extrapolated.contains("| by 4.00 times |"), "{extrapolated}");
    let measured = row(&page, "memory with all nodes as endpoints upstream");
    assert!(measured.contains("| no |"), "{measured}");
}

#[test]
fn without_slopes_all_values_are_reported_as_not_measured() {
    let page = page(Vec::new(), &small_size());
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| node | memory") || line.starts_with("| relay | memory"));
    let rows: Vec<&str> = rows.collect();
    assert!(rows.len() > 5);
    assert!(rows.iter().all(|row| row.contains("| not measured |")), "{rows:#?}");
    assert!(row(&page, "a zone, cold").contains("not measured"));
    assert!(page.contains("at the mean rate of changes: not measured."));
    let latency = page.split("## Latency that a node adds").nth(1).unwrap();
    assert!(latency.split("##").next().unwrap().contains("not measured"));
}

#[test]
fn too_few_machines_and_a_relay_with_too_many_nodes_are_marked() {
    let tight = FleetSize { control_machines: 4.0, nodes: 10_000.0, ..small_size() };
    let tight_page = page(Vec::new(), &tight);
    // The control plane needs two relays in each of two regions, and one publisher.
    assert!(tight_page.contains("5 machines, **over budget**"), "{tight_page}");
    assert!(tight_page.contains("5000 connections, **over** the 4000"), "{tight_page}");
    assert!(page(Vec::new(), &small_size()).contains("5 machines, they fit"));
}

#[test]
fn cold_nodes_and_a_region_cut_off_for_an_hour_are_estimated_in_bytes_and_time() {
    let slopes = vec![
        slope("snapshot-bytes-by-routes", 1_000.0, 99.0, 1_000.0),
        slope("node-bytes-by-change-rate", 20.0, 100.0, 10.0),
    ];
    let page = page(slopes, &small_size());
    // A snapshot has 1,000 + 99 × 1,000 bytes, at 1,000 bytes per second. An hour has 3,600 changes of 100 bytes each.
    assert!(row(&page, "a zone, cold").ends_with("| 2 | 0.1 MB | 0.2 MB | 100 s |"));
    assert!(row(&page, "cut off for an hour").ends_with("| 5 | 0.3 MB | 1.7 MB | 360 s |"));
}

#[test]
fn the_latency_verdict_uses_all_transit_and_is_undecided_if_transit_without_a_node_exceeds_the_budget() {
    let through = |ms| slope("transit-p99-by-rpc-rate", ms, 0.0, 1_000.0);
    let alone = |ms| slope("stand-in-transit-p99-by-rpc-rate", ms, 0.0, 1_000.0);
    let with = |through_ms, alone_ms| page(vec![through(through_ms), alone(alone_ms)], &small_size());
    // The budget is 1 ms. Transit counts in full, without subtracting the transit without a node.
    let over = with(1.3, 0.4);
    assert!(over.contains("| 1000 | 1.30 ms | 0.40 ms | **over budget** |"), "{over}");
    let undecided = with(2.5, 9.0);
    assert!(undecided.contains("| 1000 | 2.50 ms | 9.00 ms | undecided: "), "{undecided}");
    let within = with(0.9, 0.4);
    assert!(within.contains("| 1000 | 0.90 ms | 0.40 ms | within the budget |"), "{within}");
    assert!(page(vec![through(0.9)], &small_size()).contains("not measured"), "both series are required");
}

#[test]
fn every_file_that_implements_a_role_exists() {
    for role in &ROLES {
        if let Mechanism::Present { file, .. } = role.mechanism {
            assert!(repository().join(file).exists(), "{file}");
        }
    }
}
