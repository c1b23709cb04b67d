//! Decides the text of the capacity page: the same slopes and the same size always give the same text, byte for byte.

use super::catalog::{demands, node_contents, Mechanism, RELAYS_PER_REGION, RELAY_CONNECTIONS, ROLES};
use super::estimate::{by_what_fails_first, estimate, Demand, Estimate, Unit};
use super::size::FleetSize;
use crate::slopes::model::{Slope, SlopeSet};
use std::fmt::Write;

const NOT_MEASURED: &str = "not measured";
const HEAD: &str = "\
Made by `ochrewalk-lab capacity` from `docs/measurements/slopes.json` and a file of `deploy/sizes`; not written by hand.
A value is that of a line fitted to measured points, at the size asked for. \"Extrapolated\" is that size over the largest
measured. The residual is the largest deviation of a point from its line. Where nothing was measured it says so.
The budgets are those for control; callers' connections and idempotency keys are held against the same memory, as no other
budget for a node's memory is given.
";
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
const BYTES_PER_KB: f64 = 1_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const PERCENT: f64 = 100.0;
/// The value of R² below which a line describes its points poorly.
const WEAK_R_SQUARED: f64 = 0.9;
/// The number of publishers, which is one as the publisher is not replicated.
const PUBLISHERS: f64 = 1.0;

/// Renders the complete page.
pub fn render(slopes: &SlopeSet, size: &FleetSize) -> String {
    let parts = [
        format!("# Capacity for the size \"{}\"\n\n{HEAD}", size.name),
        machine(slopes),
        estimates(slopes, size),
        whole_node(slopes, size),
        latency(slopes, size),
        mechanisms(),
        messages(size),
        topology(slopes, size),
        failures(slopes, size),
        slope_table(slopes),
    ];
    parts.join("\n")
}

fn machine(slopes: &SlopeSet) -> String {
    let machine = &slopes.machine;
    let mut text = format!(
        "Measured on a machine of {} cores with load averages of {} before and {} after. {}\n",
        machine.cores, machine.load_before, machine.load_after, machine.note
    );
    for failed in &slopes.failed {
        let _ = writeln!(text, "\nFailed measurement: {failed}");
    }
    text
}

fn format_value(value: f64, unit: Unit) -> String {
    match unit {
        Unit::Bytes => format!("{:.1} MB", value / BYTES_PER_MB),
        Unit::BytesPerSecond => format!("{:.2} kB/s", value / BYTES_PER_KB),
        Unit::CoreShare => format!("{:.3}% of a core", value * PERCENT),
        Unit::Seconds => format!("{value:.3} s"),
        Unit::Descriptors => format!("{value:.0}"),
    }
}

fn estimates(slopes: &SlopeSet, size: &FleetSize) -> String {
    let mut measured = Vec::new();
    let mut missing = Vec::new();
    for demand in demands(size) {
        match estimate(&demand, slopes) {
            Some(estimate) => measured.push((demand, estimate)),
            None => missing.push(demand),
        }
    }
    by_what_fails_first(&mut measured);
    let mut text = "## What each role takes, what fails first ahead\n\n\
                    | role | what | size | value | residual | margin to the budget | extrapolated | slope |\n\
                    | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    measured.iter().for_each(|(demand, estimate)| text.push_str(&estimate_row(demand, estimate)));
    for demand in &missing {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {NOT_MEASURED} | - | {NOT_MEASURED} | - | {} |",
            demand.role, demand.what, demand.size, demand.slope
        );
    }
    text
}

fn estimate_row(demand: &Demand, estimate: &Estimate) -> String {
    format!(
        "| {} | {} | {} | {} | {} | {} | {} | {} |\n",
        demand.role,
        demand.what,
        format_size(demand.size),
        format_value(estimate.value, demand.unit),
        format_value(estimate.residual, demand.unit),
        margin(demand, estimate),
        extrapolation(estimate),
        demand.slope
    )
}

/// Formats a size without decimals, or with two decimals if it is below 10.
fn format_size(size: f64) -> String {
    if size >= 10.0 {
        format!("{size:.0}")
    } else {
        format!("{size:.2}")
    }
}

fn margin(demand: &Demand, estimate: &Estimate) -> String {
    let (Some(budget), Some(part)) = (demand.budget, estimate.of_budget) else {
        return "no budget given".into();
    };
    let budget = format_value(budget, demand.unit);
    if part > 1.0 {
        format!("**over budget**: {part:.2} times {budget}")
    } else {
        format!("{:.0}% of {budget} left", (1.0 - part) * PERCENT)
    }
}

fn extrapolation(estimate: &Estimate) -> String {
    if estimate.extrapolation > 1.0 {
        format!("by {:.2} times", estimate.extrapolation)
    } else {
        "no".into()
    }
}

/// Returns the section on a node that stores all resources: the sum of the largest intercept and of the amounts that
/// the parts add.
fn whole_node(slopes: &SlopeSet, size: &FleetSize) -> String {
    let contents = node_contents(size);
    let found: Option<Vec<(&Slope, f64)>> =
        contents.iter().map(|(name, amount)| Some((slopes.get(name)?, *amount))).collect();
    let title = "## A node that holds all of it\n\n";
    let Some(found) = found else {
        return format!("{title}Memory: {NOT_MEASURED}.\n");
    };
    let base = found.iter().map(|(slope, _)| slope.fit.intercept).fold(0.0, f64::max);
    let parts: f64 = found.iter().map(|(slope, amount)| slope.fit.slope * amount).sum();
    let budget = size.node_control_budget.memory_bytes();
    let total = base + parts;
    let verdict = if total <= budget { "within" } else { "**over budget**," };
    format!(
        "{title}All routes in the operators' file, as many methods, all tenants, all nodes as endpoints, and its part of the \
         callers come to {} by adding up the lines, {verdict} the {} of a node. The table \
         above says what was measured of files held together, and at the peak when they are read.\n",
        format_value(total, Unit::Bytes),
        format_value(budget, Unit::Bytes)
    )
}

/// Returns the section on latency, with percentiles as measured. Values between them are not estimated by a line.
fn latency(slopes: &SlopeSet, size: &FleetSize) -> String {
    let mut text = format!(
        "## Latency that a node adds\n\nThe budget is {} ms for 99 of 100, at {:.0} RPCs a second and node.\n\n",
        size.added_latency_p99_ms,
        size.rpcs_per_node()
    );
    let through = slopes.get("transit-p99-by-rpc-rate");
    let alone = slopes.get("stand-in-transit-p99-by-rpc-rate");
    let (Some(through), Some(alone)) = (through, alone) else {
        return text + NOT_MEASURED + "\n";
    };
    text.push_str(
        "Transit is an RPC's latency less its time at the stand-in executor, RPC by RPC: what the node, the sockets and the \
         load tool take together. Without the node it is what sockets and load tool take. Each value is the median of the 99th \
         percentiles of several loads.\n\n\
         | RPCs a second | 99th percentile of transit through a node | without the node | verdict |\n\
         | --- | --- | --- | --- |\n",
    );
    for (through, alone) in through.points.iter().zip(&alone.points) {
        let _ = writeln!(
            text,
            "| {:.0} | {:.2} ms | {:.2} ms | {} |",
            through.size,
            through.value,
            alone.value,
            latency_verdict(through.value, alone.value, size.added_latency_p99_ms)
        );
    }
    text
}

/// Returns the verdict on a percentile of transit, which is an upper bound of the latency that the node adds. The
/// verdict is undecided if transit exceeds the budget both through the node and without it.
fn latency_verdict(through: f64, alone: f64, budget: f64) -> String {
    if through <= budget {
        return "within the budget".into();
    }
    if alone > budget {
        return "undecided: sockets and load tool alone take more than the budget".into();
    }
    "**over budget**".into()
}

fn mechanisms() -> String {
    let mut text = "## Mechanisms\n\n\
                    What is missing comes last. The callers' table leads, as a connection of every caller is the first to be \
                    over a node's budget; the order of the others is a judgement, as nothing of them was measured.\n\n\
                    | role | state held | carried by |\n| --- | --- | --- |\n".to_string();
    for role in &ROLES {
        let carried = match role.mechanism {
            Mechanism::Present { file, what } => format!("{what} (`{file}`)"),
            Mechanism::Missing { what } => format!("**missing**: {what}"),
        };
        let _ = writeln!(text, "| {} | {} | {carried} |", role.name, role.state);
    }
    let _ = writeln!(
        text,
        "\nWhat the rollout controller, the directory's reports, the callers' tables and quotas take at this size: \
         {NOT_MEASURED}."
    );
    text
}

/// Returns the section on message rates, computed from the size alone: each change is sent to all relays and all
/// nodes of a region, each of which answers with one report.
fn messages(size: &FleetSize) -> String {
    let rate = size.changes_per_second();
    let relays = size.regions * RELAYS_PER_REGION;
    let nodes = size.nodes_per_region();
    let row = |role: &str, taken: f64, sent: f64, connections: f64| {
        format!("| {role} | {taken:.2} | {sent:.2} | {connections:.0} |\n")
    };
    [
        "## Messages a second\n\nBy the mean rate of changes, each sent by itself to all nodes and reported back; counted, not measured. \
         With one relay of each region lost. Heartbeats, directory's reports and RPCs are not counted.\n\n\
         | role | taken | sent | connections |\n| --- | --- | --- | --- |\n"
            .to_string(),
        row("publisher", rate + rate * relays, rate * relays, relays),
        row("relay", rate + rate * nodes, rate + rate * nodes, nodes + 1.0),
        row("node", rate, rate, 1.0),
        "\nThe time until a change is in force stands in the first table, for one relay and one node on loopback; over links \
         between regions, and to all nodes at once, it was not measured.\n"
            .to_string(),
    ]
    .concat()
}

fn topology(slopes: &SlopeSet, size: &FleetSize) -> String {
    let relays = size.regions * RELAYS_PER_REGION;
    let used = relays + PUBLISHERS;
    let nodes = size.nodes_per_region();
    let fits = if used <= size.control_machines { "they fit" } else { "**over budget**" };
    let connections_verdict = if nodes <= RELAY_CONNECTIONS { "within" } else { "**over**" };
    let rate = size.changes_per_second();
    let processor = slopes.get("relay-cpu-per-change-by-subscribers").map_or_else(
        || NOT_MEASURED.to_string(),
        |slope| format_value((slope.fit.intercept + slope.fit.slope * nodes) * rate, Unit::CoreShare),
    );
    format!(
        "## The control plane within {machines:.0} machines\n\n\
         * {relays:.0} relays, {RELAYS_PER_REGION:.0} in each of {regions:.0} regions, and {PUBLISHERS:.0} publisher: \
         {used:.0} machines, {fits}.\n\
         * With one relay of each region lost the other has {nodes:.0} connections, {connections_verdict} the {RELAY_CONNECTIONS:.0} that it \
         takes unless told otherwise; its processor time at the mean rate of changes: {processor}.\n\
         * The publisher's replication is **missing**: with it lost nothing is published until another takes over, and \
         nodes serve on with what they have.\n",
        machines = size.control_machines,
        regions = size.regions,
    )
}

fn failures(slopes: &SlopeSet, size: &FleetSize) -> String {
    let budget = size.node_control_budget.bytes_per_second;
    let mut text = "## What failures cost\n\n\
                    \"Cold\" is a node without a snapshot of its own that takes all routes; times are bytes over the node's \
                    budget of bytes. Quotas that a node fetches on use are not counted.\n\n\
                    | failure | nodes | bytes, each | bytes, all | time of each |\n| --- | --- | --- | --- | --- |\n"
        .to_string();
    let cold = slopes
        .get("snapshot-bytes-by-routes")
        .map(|slope| slope.fit.intercept + slope.fit.slope * size.routes);
    let change = slopes.get("node-bytes-by-change-rate").map(|slope| slope.fit.slope);
    let hour = change.map(|bytes| bytes * size.changes_per_hour());
    let rows = [
        ("machine failures of a day, cold", Some(size.machine_failures_per_day), cold),
        ("restarts of a day, if all were cold", Some(size.restarts_per_day), cold),
        ("a rack, cold (its nodes are not given)", None, cold),
        ("a zone, cold", Some(size.nodes_per_zone()), cold),
        ("a region cut off for an hour, differences of all changes", Some(size.nodes_per_region()), hour),
    ];
    for (name, nodes, each) in rows {
        text.push_str(&failure_row(name, nodes, each, budget));
    }
    if let Some(bytes) = cold {
        let mean = size.restarts_per_day * bytes / SECONDS_PER_DAY;
        let _ = writeln!(
            text,
            "\nRestarts that were all cold come to {} over the fleet in the mean of a day.",
            format_value(mean, Unit::BytesPerSecond)
        );
    }
    text
}

fn failure_row(name: &str, nodes: Option<f64>, each: Option<f64>, budget: f64) -> String {
    let Some(each) = each else {
        return format!("| {name} | - | {NOT_MEASURED} | {NOT_MEASURED} | {NOT_MEASURED} |\n");
    };
    let count = nodes.map_or("not given".into(), |nodes| format!("{nodes:.0}"));
    let all = nodes.map_or("not given".into(), |nodes| format_value(each * nodes, Unit::Bytes));
    format!("| {name} | {count} | {} | {all} | {:.0} s |\n", format_value(each, Unit::Bytes), each / budget)
}

fn slope_table(slopes: &SlopeSet) -> String {
    let mut text = "## Slopes\n\n\
                    | slope | per | unit | slope | intercept | residual | R² | largest size |\n\
                    | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    slopes.slopes.iter().for_each(|slope| text.push_str(&slope_row(slope)));
    text
}

fn slope_row(slope: &Slope) -> String {
    let fit = &slope.fit;
    let weak = if fit.r_squared < WEAK_R_SQUARED { " (weak)" } else { "" };
    format!(
        "| {} | {} | {} | {:.4e} | {:.4e} | {:.4e} | {:.3}{weak} | {:.0} |\n",
        slope.name,
        slope.size_unit,
        slope.value_unit,
        fit.slope,
        fit.intercept,
        fit.largest_deviation,
        fit.r_squared,
        slope.largest_size
    )
}
