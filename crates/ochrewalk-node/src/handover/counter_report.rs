//! Reports of a child's counters by method to its supervisor, and their sum over the children that served one after
//! another. A report has all counters, or only those that have changed. Does no I/O.

use base64::prelude::{Engine, BASE64_STANDARD};
use ochrewalk_rollout::messages::{MethodCounters, ServingCounters};
use prost::Message as _;
use std::collections::BTreeMap;

/// The prefix of a line with all counters. Supervisors of earlier versions read no other reports.
const ALL: &str = "tally ";
/// The prefix of a line with changed counters.
const CHANGED: &str = "tally+ ";

/// A child's report to its supervisor.
#[derive(Clone, Debug, PartialEq)]
pub enum CounterReport {
    /// All counters.
    All(ServingCounters),
    /// The counters of methods that changed since the previous report. All other values are in every report.
    Changed(ServingCounters),
}

impl CounterReport {
    /// Formats the report as a line, without its line feed.
    pub fn to_line(&self) -> String {
        let (prefix, counters) = match self {
            CounterReport::All(counters) => (ALL, counters),
            CounterReport::Changed(counters) => (CHANGED, counters),
        };
        format!("{prefix}{}", BASE64_STANDARD.encode(counters.encode_to_vec()))
    }

    /// Parses the report of a line. Returns none where the line has no valid report.
    pub fn of_line(line: &str) -> Option<CounterReport> {
        if let Some(text) = line.strip_prefix(ALL) {
            return decode(text).map(CounterReport::All);
        }
        line.strip_prefix(CHANGED).and_then(decode).map(CounterReport::Changed)
    }
}

fn decode(text: &str) -> Option<ServingCounters> {
    ServingCounters::decode(&BASE64_STANDARD.decode(text).ok()?[..]).ok()
}

/// Counters by the name of their method.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountersByMethod(BTreeMap<String, MethodCounters>);

impl CountersByMethod {
    /// Adds the counters of another child.
    pub fn add(&mut self, others: &CountersByMethod) {
        for (name, other) in &others.0 {
            let zeroed = || MethodCounters { name: name.clone(), ..MethodCounters::default() };
            let own = self.0.entry(name.clone()).or_insert_with(zeroed);
            own.calls += other.calls;
            own.missed += other.missed;
            own.failed += other.failed;
        }
    }

    /// Returns one entry for each method, ordered by name.
    pub fn into_methods(self) -> Vec<MethodCounters> {
        self.0.into_values().collect()
    }

    fn replace(&mut self, methods: Vec<MethodCounters>) {
        self.0.extend(methods.into_iter().map(|method| (method.name.clone(), method)));
    }
}

/// The counters that one child has reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportedCounters {
    /// The newest report, without its methods.
    pub latest: ServingCounters,
    /// The newest counters of every method.
    pub methods: CountersByMethod,
}

impl ReportedCounters {
    /// Applies the next report.
    pub fn take(&mut self, report: CounterReport) {
        let mut counters = match report {
            CounterReport::All(counters) => {
                self.methods = CountersByMethod::default();
                counters
            }
            CounterReport::Changed(counters) => counters,
        };
        self.methods.replace(std::mem::take(&mut counters.methods));
        self.latest = counters;
    }
}
