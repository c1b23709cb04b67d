//! Decides the result of a run: the times until changes are in force, the resource usage, and whether any rule was
//! violated.

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

/// An acknowledged change.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// The time directly before the request that was acknowledged.
    pub sent_us: u64,
    pub revision: u64,
    /// Whether the first region was cut off when the change was published.
    pub spares_first_region: bool,
}

/// A region that was cut off.
#[derive(Clone, Copy, Debug)]
pub struct RegionCut {
    pub continued_us: u64,
    /// The last revision before the region was connected again.
    pub revision: u64,
    /// The bytes that the region's hollow nodes exchanged from then until the end.
    pub bytes: u64,
}

/// The numbers of subscribers that never read, at the end of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowNodes {
    pub connected: usize,
    /// Subscribers whose connection the relay had closed.
    pub closed: usize,
    /// Subscribers with an open connection whose first update had not arrived completely when they finally read.
    pub unfinished: usize,
}

/// The resource usage of a group of equal processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// The largest share of a core.
    pub cpu_share: f64,
    /// The largest resident memory.
    pub memory_kb: u64,
}

/// The measurements of a run.
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
    /// The mean CPU share per hollow node.
    pub hollow_cpu_share: f64,
    pub relay: Usage,
    pub publisher: Usage,
    /// The times until changes were in force at real nodes, measured by requests.
    pub probes: ProbeTimes,
    /// The outcomes of calls to real nodes.
    pub calls: CallCounts,
    pub region_cut: Option<RegionCut>,
    pub slow_nodes: Option<SlowNodes>,
    /// The number of nodes that the publisher's status listed with rejections, and the number still listed at the end.
    pub rejecting: Option<(usize, usize)>,
    /// The number of acknowledged changes that the publisher had lost after a restart.
    pub lost: u64,
    /// The seconds until all resources were published and at all relays.
    pub fill_s: f64,
    /// The seconds from then until all nodes were ready.
    pub start_s: f64,
}

impl Measurements {
    /// Returns the number of violations: nodes that went back to an earlier position, states that differ, lost
    /// changes, calls without an answer, missing reports, and changes that never came into force at a real node.
    pub fn broken(&self) -> u64 {
        let went_back = self.reports.iter().filter(|report| report.went_back > 0).count() as u64;
        let missing = (self.nodes - self.real).saturating_sub(self.reports.len() as u64);
        went_back + self.diverged() + self.lost + missing + self.calls.unanswered + self.probes.never
    }

    /// Returns the number of hollow nodes whose state differs from the publisher's.
    pub fn diverged(&self) -> u64 {
        self.reports.iter().filter(|report| report.differs).count() as u64
    }

    /// Returns the number of nodes that are not at the head.
    pub fn behind(&self) -> u64 {
        let head = (self.head_epoch, self.head_revision);
        let is_behind = |report: &&NodeReport| (report.epoch, report.revision) != head;
        self.reports.iter().filter(is_behind).count() as u64 + self.real_behind
    }

    /// Returns the microseconds until each change was in force at each hollow node that could receive it, and the
    /// number of changes that never came into force at such a node.
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

    /// Returns the last line of a run.
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

    /// Returns the results of requests at real nodes.
    fn real_line(&self) -> Value {
        let mut in_force = new_histogram();
        self.probes.in_force_us.iter().for_each(|us| in_force.saturating_record(*us));
        json!({
            "nodes": self.real, "in_force_p50_ms": milliseconds(in_force.value_at_quantile(0.5)),
            "in_force_p99_ms": milliseconds(in_force.value_at_quantile(0.99)),
            "in_force_max_ms": milliseconds(in_force.max()), "in_force_samples": in_force.len(),
            "in_force_never": self.probes.never, "calls": self.calls.sent, "served": self.calls.served,
            "turned_away": self.calls.rejected, "unanswered": self.calls.unanswered
        })
    }

    /// Returns the bytes per second that hollow nodes exchanged with each relay of the busiest region.
    fn relay_bytes_per_second(&self, shape: &FleetShape) -> f64 {
        let of_region = |region| {
            let reports = self.reports.iter().filter(move |report| shape.region_of(report.node) == region);
            reports.map(|report| report.bytes).sum::<u64>()
        };
        let most = (0..shape.regions).map(of_region).max().unwrap_or(0);
        most as f64 / f64::from(shape.relays) / self.seconds.max(1.0)
    }
}

/// Returns the time at which a revision, or a later one, came into force at a node.
fn in_force_us(report: &NodeReport, revision: u64) -> Option<u64> {
    let steps = report.steps.iter();
    steps.filter(|(reached, _)| *reached >= revision).map(|(_, us)| *us).min()
}

/// Creates a histogram of microseconds from 1 to `MAX_RECORDED_US`, to which longer times are clamped.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS).expect("valid bounds and precision")
}

fn milliseconds(us: u64) -> f64 {
    round(us as f64 / MICROSECONDS_PER_MILLISECOND)
}

fn round(number: f64) -> f64 {
    (number * 10_000.0).round() / 10_000.0
}
