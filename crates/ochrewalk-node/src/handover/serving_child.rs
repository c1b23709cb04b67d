//! The child that serves: the program and settings that it runs, and its latest report.

use super::counter_report::{CounterReport, CountersByMethod, ReportedCounters};
use super::fingerprint::fingerprint_of_file;
use ochrewalk_rollout::messages::{ServingCounters, Target};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The age of the latest report from which a child counts as unhealthy.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// The program and settings that a child is started with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildSpec {
    /// The program.
    pub program: PathBuf,
    /// The operators' file; none for the one that the node was started with.
    pub operators: Option<PathBuf>,
}

/// The program and settings that a child runs, and the fingerprint of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildIdentity {
    /// The program and settings that the child was started with.
    pub spec: ChildSpec,
    /// The fingerprint of the program.
    pub fingerprint: u64,
}

/// The counters of all reports, and the time of the latest one.
struct LatestReport {
    received_at: Instant,
    counters: ReportedCounters,
}

/// A child that serves, or is about to.
pub struct ServingChild {
    /// The program and settings that the child was started with.
    pub spec: ChildSpec,
    /// The fingerprint of the program; 0 where it could not be read.
    pub fingerprint: u64,
    report: Option<LatestReport>,
}

impl ServingChild {
    /// Returns the child with this process id. The fingerprint is that of the running process, as the program's file may have
    /// been replaced since.
    pub fn of(spec: ChildSpec, pid: u32) -> ServingChild {
        let fingerprint = fingerprint_of_file(Path::new(&format!("/proc/{pid}/exe"))).unwrap_or(0);
        ServingChild { spec, fingerprint, report: None }
    }

    /// Returns the program and settings, and the fingerprint of the program.
    pub fn identity(&self) -> ChildIdentity {
        ChildIdentity { spec: self.spec.clone(), fingerprint: self.fingerprint }
    }

    /// Applies a report of the child.
    pub fn take(&mut self, report: CounterReport) {
        let latest = self.report.get_or_insert_with(|| LatestReport {
            received_at: Instant::now(),
            counters: ReportedCounters::default(),
        });
        latest.received_at = Instant::now();
        latest.counters.take(report);
    }

    /// Whether the latest report is recent and states that the child is healthy.
    pub(super) fn is_healthy(&self) -> bool {
        let is_healthy = |report: &LatestReport| {
            report.received_at.elapsed() < MAX_REPORT_AGE && report.counters.latest.is_healthy
        };
        self.report.as_ref().is_some_and(is_healthy)
    }

    /// Whether the child runs the target program, or uses the target settings.
    pub(super) fn runs(&self, target: &Target) -> bool {
        let fingerprint = if target.is_settings { self.settings_fingerprint() } else { self.fingerprint };
        target.fingerprint == fingerprint
    }

    fn settings_fingerprint(&self) -> u64 {
        self.report.as_ref().map_or(0, |report| report.counters.latest.settings_fingerprint)
    }

    /// Returns the child's counters by method; none before the first report.
    pub(super) fn counters_by_method(&self) -> Option<&CountersByMethod> {
        self.report.as_ref().map(|report| &report.counters.methods)
    }

    /// Returns the latest report, with its counters added to those of the previous children; none before the first report.
    pub(super) fn counters_on_top_of(&self, previous: &CountersByMethod) -> Option<ServingCounters> {
        let reported = &self.report.as_ref()?.counters;
        let mut methods = previous.clone();
        methods.add(&reported.methods);
        Some(ServingCounters { methods: methods.into_methods(), ..reported.latest.clone() })
    }
}
