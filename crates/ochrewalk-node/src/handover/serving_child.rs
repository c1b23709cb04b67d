//! The child that serves: what it runs, and what it has reported.

use super::counter_report::{CounterReport, CountersByMethod, ReportedCounters};
use super::fingerprint::fingerprint_of_file;
use ochrewalk_rollout::messages::{ServingCounters, Target};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A child that has not reported for so long counts as unhealthy.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// What a child is started with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildSpec {
    /// The program.
    pub program: PathBuf,
    /// The operators' file that it uses, where that is not the one that the node was started with.
    pub operators: Option<PathBuf>,
}

/// What a child runs, and the fingerprint of its program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildIdentity {
    /// What it was started with.
    pub spec: ChildSpec,
    /// The fingerprint of its program.
    pub fingerprint: u64,
}

/// The latest report, and when it came.
struct LatestReport {
    at: Instant,
    counters: ReportedCounters,
}

/// A child that serves, or is to.
pub struct ServingChild {
    /// What it was started with.
    pub spec: ChildSpec,
    /// The fingerprint of its program; 0 where that could not be read.
    pub fingerprint: u64,
    report: Option<LatestReport>,
}

impl ServingChild {
    /// The child with that process id. The fingerprint is of the running process itself, as its file may be another by now.
    pub fn of(spec: ChildSpec, pid: u32) -> ServingChild {
        let fingerprint = fingerprint_of_file(Path::new(&format!("/proc/{pid}/exe"))).unwrap_or(0);
        ServingChild { spec, fingerprint, report: None }
    }

    /// What it runs, and the fingerprint of its program.
    pub fn identity(&self) -> ChildIdentity {
        ChildIdentity { spec: self.spec.clone(), fingerprint: self.fingerprint }
    }

    /// Takes what the child reports.
    pub fn take(&mut self, report: CounterReport) {
        let latest = self.report.get_or_insert_with(|| LatestReport {
            at: Instant::now(),
            counters: ReportedCounters::default(),
        });
        latest.at = Instant::now();
        latest.counters.take(report);
    }

    /// Whether the child has reported lately, and that it is healthy.
    pub(super) fn is_healthy(&self) -> bool {
        let is_healthy =
            |report: &LatestReport| report.at.elapsed() < MAX_REPORT_AGE && report.counters.latest.is_healthy;
        self.report.as_ref().is_some_and(is_healthy)
    }

    /// Whether the child runs that program, or uses those settings, whatever else it does.
    pub(super) fn runs(&self, target: &Target) -> bool {
        let fingerprint = if target.is_settings { self.settings_fingerprint() } else { self.fingerprint };
        target.fingerprint == fingerprint
    }

    fn settings_fingerprint(&self) -> u64 {
        self.report.as_ref().map_or(0, |report| report.counters.latest.settings_fingerprint)
    }

    /// What the child has counted by method; none where it has not reported yet.
    pub(super) fn counters_by_method(&self) -> Option<&CountersByMethod> {
        self.report.as_ref().map(|report| &report.counters.methods)
    }

    /// The latest report, with its counters added to those of the children before; none where there is none yet.
    pub(super) fn counters_on_top_of(&self, previous: &CountersByMethod) -> Option<ServingCounters> {
        let reported = &self.report.as_ref()?.counters;
        let mut methods = previous.clone();
        methods.add(&reported.methods);
        Some(ServingCounters { methods: methods.into_methods(), ..reported.latest.clone() })
    }
}
