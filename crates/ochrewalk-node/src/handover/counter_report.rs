//! Decides what a supervisor knows of a program's counters by method: from reports of all of them, or of those that
//! changed, and added up over the programs that served one after another. No I/O.

use base64::prelude::{Engine, BASE64_STANDARD};
use ochrewalk_rollout::messages::{MethodCounters, ServingCounters};
use prost::Message as _;
use std::collections::BTreeMap;

/// What begins a line of each kind. The first is all that supervisors before this program read.
const ALL: &str = "tally ";
const CHANGED: &str = "tally+ ";

/// A program's report to its supervisor.
#[derive(Clone, Debug, PartialEq)]
pub enum CounterReport {
    /// All counters.
    All(ServingCounters),
    /// Counters that changed since the report before. What is not of one method stands in each.
    Changed(ServingCounters),
}

impl CounterReport {
    /// The line, without its end.
    pub fn to_line(&self) -> String {
        let (word, tally) = match self {
            CounterReport::All(tally) => (ALL, tally),
            CounterReport::Changed(tally) => (CHANGED, tally),
        };
        format!("{word}{}", BASE64_STANDARD.encode(tally.encode_to_vec()))
    }

    /// The report of that line; none where it holds no report that can be read.
    pub fn of_line(line: &str) -> Option<CounterReport> {
        let decoded = |text: &str| ServingCounters::decode(&BASE64_STANDARD.decode(text).ok()?[..]).ok();
        if let Some(text) = line.strip_prefix(ALL) {
            return decoded(text).map(CounterReport::All);
        }
        line.strip_prefix(CHANGED).and_then(decoded).map(CounterReport::Changed)
    }
}

/// Counters by the name of their method.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountersByMethod(BTreeMap<String, MethodCounters>);

impl CountersByMethod {
    fn replace(&mut self, methods: Vec<MethodCounters>) {
        self.0.extend(methods.into_iter().map(|method| (method.name.clone(), method)));
    }

    /// Adds those of another program.
    pub fn add(&mut self, others: &CountersByMethod) {
        for (name, other) in &others.0 {
            let own = self
                .0
                .entry(name.clone())
                .or_insert_with(|| MethodCounters { name: name.clone(), ..MethodCounters::default() });
            own.calls += other.calls;
            own.missed += other.missed;
            own.failed += other.failed;
        }
    }

    /// One entry for each method, by name.
    pub fn into_methods(self) -> Vec<MethodCounters> {
        self.0.into_values().collect()
    }
}

/// What one program has reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportedCounters {
    /// The newest report, less its methods.
    pub latest: ServingCounters,
    pub methods: CountersByMethod,
}

impl ReportedCounters {
    /// Takes the next report.
    pub fn take(&mut self, report: CounterReport) {
        let mut tally = match report {
            CounterReport::All(tally) => {
                self.methods = CountersByMethod::default();
                tally
            }
            CounterReport::Changed(tally) => tally,
        };
        self.methods.replace(std::mem::take(&mut tally.methods));
        self.latest = tally;
    }
}
