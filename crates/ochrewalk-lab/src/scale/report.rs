//! Decides what a run comes to: times until changes are in force, what was used, and whether any rule broke.

use super::load::CallCounts;
use super::options::FleetShape;
use super::probes::ProbeTimes;
use super::processes::NodeReport;
use hdrhistogram::Histogram;
use serde_json::{json, Value};

const MICROSECONDS_PER_MILLISECOND: f64 = 1_000.0;
const KB_PER_MB: u64 = 1_024;
const MAX_RECORDED_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// One change that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Right before the request that was acknowledged.
    pub sent_us: u64,
    pub revision: u64,
    /// The first region could not hear of it.
    pub spares_first_region: bool,
}

/// A region that was cut off.
#[derive(Clone, Copy, Debug)]
pub struct RegionCut {
    pub continued_us: u64,
    /// The last revision before it could hear again.
    pub revision: u64,
    /// Bytes that the region's hollow nodes took from then to the end.
    pub bytes: u64,
}

/// Subscribers that never read, at the end of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowNodes {
    pub connected: usize,
    /// Those that the relay had closed.
    pub closed: usize,
    /// Those open whose first update had not come whole when they read at last.
    pub unfinished: usize,
}

/// What a group of equal processes used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// The largest share of a core.
    pub cpu_share: f64,
    /// The largest resident memory.
    pub memory_kb: u64,
}

/// All that was measured in a run.
#[derive(Debug, Default)]
pub struct Measurements {
    pub seconds: f64,
    pub nodes: u64,
    pub real: u64,
    pub processes: usize,
    pub memory_kb: u64,
    pub changes: Vec<Change>,
    pub head_epoch: u64,
    pub head_revision: u64,
    pub reports: Vec<NodeReport>,
    /// Real nodes that the publisher's status does not count at the head.
    pub real_behind: u64,
    pub node: Usage,
    pub node_resting_share: f64,
    /// CPU of hollow nodes, for each of them.
    pub hollow_cpu_share: f64,
    pub relay: Usage,
    pub publisher: Usage,
    /// Times until changes were in force at real nodes, by requests.
    pub probes: ProbeTimes,
    /// Calls at real nodes.
    pub calls: CallCounts,
    pub region_cut: Option<RegionCut>,
    pub slow_nodes: Option<SlowNodes>,
    /// Nodes that the publisher's status named as rejecting, and those still named at the end.
    pub rejecting: Option<(usize, usize)>,
    /// Acknowledged changes that the publisher did not have after a restart.
    pub lost: u64,
    /// Seconds until everything was published and at all relays, and from then until all nodes were ready.
    pub fill_s: f64,
    pub start_s: f64,
}

impl Measurements {
    /// Rules that were broken: nodes that went backwards, states that differ, changes that were lost, calls without an answer,
    /// changes that never came into force at a real node.
    pub fn broken(&self) -> u64 {
        let went_back = self.reports.iter().filter(|report| report.went_back > 0).count() as u64;
        let missing = (self.nodes - self.real).saturating_sub(self.reports.len() as u64);
        went_back + self.diverged() + self.lost + missing + self.calls.unanswered + self.probes.never
    }

    /// Hollow nodes whose state is not the publisher's.
    pub fn diverged(&self) -> u64 {
        self.reports.iter().filter(|report| report.differs).count() as u64
    }

    /// Nodes that are not at the head.
    pub fn behind(&self) -> u64 {
        let head = (self.head_epoch, self.head_revision);
        let is_behind = |report: &&NodeReport| (report.epoch, report.revision) != head;
        self.reports.iter().filter(is_behind).count() as u64 + self.real_behind
    }

    /// Microseconds until each change was in force at each hollow node that could hear of it. Changes that a node never
    /// had in force are counted apart.
    fn in_force(&self, shape: &FleetShape) -> (Histogram<u64>, u64) {
        let mut histogram = new_histogram();
        let mut never = 0;
        let is_counted = |report: &&NodeReport| !report.is_cold && report.rejected == 0;
        for report in self.reports.iter().filter(is_counted) {
            let is_first_region = shape.region_of(report.node) == 0;
            for change in
                self.changes.iter().filter(|change| !(is_first_region && change.spares_first_region))
            {
                match in_force_us(report, change.revision) {
                    Some(us) => histogram.saturating_record(us.saturating_sub(change.sent_us).max(1)),
                    None => never += 1,
                }
            }
        }
        (histogram, never)
    }

    fn ready(&self) -> Histogram<u64> {
        let mut histogram = new_histogram();
        let has_cold = self.reports.iter().any(|report| report.is_cold);
        let counted = self.reports.iter().filter(|report| report.is_cold == has_cold);
        counted.filter_map(|report| report.ready_us).for_each(|us| histogram.saturating_record(us.max(1)));
        histogram
    }

    fn cut_catch_up(&self, shape: &FleetShape) -> Option<Value> {
        let cut = self.region_cut?;
        let of_region = self.reports.iter().filter(|report| shape.region_of(report.node) == 0);
        let slowest = of_region.map(|report| in_force_us(report, cut.revision)).max()?;
        let missing = self.reports.iter().filter(|report| {
            shape.region_of(report.node) == 0 && in_force_us(report, cut.revision).is_none()
        });
        Some(json!({
            "catch_up_ms": slowest.map(|us| milliseconds(us.saturating_sub(cut.continued_us))),
            "catch_up_missing": missing.count(), "catch_up_bytes": cut.bytes
        }))
    }

    /// The last line of a run.
    pub fn line(&self, shape: &FleetShape) -> Value {
        let (in_force, never) = self.in_force(shape);
        let quantile = |histogram: &Histogram<u64>, part| milliseconds(histogram.value_at_quantile(part));
        let bytes = self.reports.iter().map(|report| report.bytes);
        let most_bytes = bytes.max().unwrap_or(0) as f64 / self.seconds.max(1.0);
        let mut line = json!({
            "broken": self.broken(), "nodes": self.nodes, "processes": self.processes,
            "memory_mb": self.memory_kb / KB_PER_MB, "changes": self.changes.len(),
            "in_force_p50_ms": quantile(&in_force, 0.5), "in_force_p99_ms": quantile(&in_force, 0.99),
            "in_force_max_ms": milliseconds(in_force.max()), "in_force_never": never,
            "in_force_samples": in_force.len(),
            "node_cpu_share": round(self.node.cpu_share), "node_resting_share": round(self.node_resting_share),
            "hollow_cpu_share": round(self.hollow_cpu_share),
            "node_memory_mb": self.node.memory_kb / KB_PER_MB,
            "node_bytes_per_second": most_bytes.round(),
            "relay_cpu_share": round(self.relay.cpu_share), "relay_memory_mb": self.relay.memory_kb / KB_PER_MB,
            "relay_bytes_per_second": self.relay_bytes_per_second(shape).round(),
            "publisher_cpu_share": round(self.publisher.cpu_share),
            "publisher_memory_mb": self.publisher.memory_kb / KB_PER_MB,
            "behind": self.behind(), "diverged": self.diverged(), "lost": self.lost,
            "hollow_connections": self.reports.iter().map(|report| report.connections).sum::<u64>(),
            "ready_p90_ms": quantile(&self.ready(), 0.9), "ready_max_ms": milliseconds(self.ready().max()),
            "fill_s": round(self.fill_s), "start_s": round(self.start_s)
        });
        line["real"] = self.real_line();
        if let Some(slow) = self.slow_nodes {
            line["slow_nodes"] =
                json!({"connected": slow.connected, "closed": slow.closed, "unfinished": slow.unfinished});
        }
        if let Some(cut) = self.cut_catch_up(shape) {
            line["region_cut"] = cut;
        }
        if let Some((named, remaining)) = self.rejecting {
            line["bad_change"] = json!({"named": named, "named_at_end": remaining});
        }
        line
    }

    /// What was seen by requests at real nodes.
    fn real_line(&self) -> Value {
        let mut in_force = new_histogram();
        self.probes.in_force_us.iter().for_each(|us| in_force.saturating_record(*us));
        json!({
            "nodes": self.real, "in_force_p50_ms": milliseconds(in_force.value_at_quantile(0.5)),
            "in_force_p99_ms": milliseconds(in_force.value_at_quantile(0.99)),
            "in_force_max_ms": milliseconds(in_force.max()), "in_force_samples": in_force.len(),
            "in_force_never": self.probes.never, "calls": self.calls.sent, "served": self.calls.served,
            "turned_away": self.calls.turned_away, "unanswered": self.calls.unanswered
        })
    }

    /// What hollow nodes exchanged with the relays of a region, for each relay, in the busiest region.
    fn relay_bytes_per_second(&self, shape: &FleetShape) -> f64 {
        let of_region = |region| {
            let reports = self.reports.iter().filter(move |report| shape.region_of(report.node) == region);
            reports.map(|report| report.bytes).sum::<u64>()
        };
        let most = (0..shape.regions).map(of_region).max().unwrap_or(0);
        most as f64 / f64::from(shape.relays) / self.seconds.max(1.0)
    }
}

/// When a revision, or one after it, came into force at a node.
fn in_force_us(report: &NodeReport, revision: u64) -> Option<u64> {
    let steps = report.steps.iter();
    steps.filter(|(reached, _)| *reached >= revision).map(|(_, us)| *us).min()
}

/// Counts microseconds from 1 to `MAX_RECORDED_US`; longer times count as that.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS).expect("valid bounds and precision")
}

fn milliseconds(us: u64) -> f64 {
    round(us as f64 / MICROSECONDS_PER_MILLISECOND)
}

fn round(number: f64) -> f64 {
    (number * 10_000.0).round() / 10_000.0
}
