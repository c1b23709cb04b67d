//! The log of a rollout: a line of JSON for each event, for `ochrewalk-rollout-report` and for operators. Keys and texts must
//! not change, as logs of other versions are read, too.

use super::error::RolloutError;
use super::run::RolloutEnd;
use ochrewalk_rollout::{
    ChangeMethod, CommandReply, ControllerNumber, NodeSample, Phase, Sample, Verdict, Version,
};
use serde_json::{json, Value};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// The numbers of nodes by version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionCounts {
    /// The number of nodes that run the old version.
    pub old: usize,
    /// The number of nodes that run the new version.
    pub new: usize,
    /// The number of nodes whose version is not known.
    pub unknown: usize,
}

/// An event of a rollout.
#[derive(Clone, Copy, Debug)]
pub enum LogEntry<'a> {
    /// A controller has begun.
    Begun {
        /// The controller's number.
        controller: ControllerNumber,
    },
    /// A command is sent.
    CommandSent {
        /// The node's name.
        node: &'a str,
        /// The version that the node is to run.
        version: Version,
        /// The method of the change.
        method: ChangeMethod,
    },
    /// A command was answered, or was given up.
    CommandAnswered {
        /// The node's name.
        node: &'a str,
        /// The reply, or the reason why there is none.
        reply: &'a CommandReply,
    },
    /// The analysis of a stage begins.
    AnalysisBegun {
        /// The stage, counted from 0.
        stage: usize,
    },
    /// A sample was passed to the analysis.
    Sampled {
        /// The sample.
        sample: &'a Sample,
        /// The names of the sample's methods, in the same order.
        methods: &'a [String],
        /// The number of nodes of the plan.
        nodes: usize,
    },
    /// The analysis reached a verdict.
    Concluded(&'a Verdict),
    /// The phase, or the known state of a node, has changed.
    StateChanged {
        /// The present phase.
        phase: &'a Phase,
        /// The present numbers of nodes by version.
        versions: VersionCounts,
    },
    /// The controller's run has ended.
    Ended(&'a RolloutEnd),
}

impl LogEntry<'_> {
    /// Returns the value of the key `what` in the event's line.
    pub fn to_json(&self) -> Value {
        match *self {
            LogEntry::Begun { controller } => json!({"begun": controller.0}),
            LogEntry::CommandSent { node, version, method } => {
                json!({"order": node, "to": version_text(version), "how": method.to_string()})
            }
            LogEntry::CommandAnswered { node, reply } => json!({"answer": node, "word": reply.to_string()}),
            LogEntry::AnalysisBegun { stage } => json!({"judged": stage}),
            LogEntry::Sampled { sample, methods, nodes } => {
                json!({"moment": sample_json(sample, methods, nodes)})
            }
            LogEntry::Concluded(verdict) => json!({"verdict": verdict.to_string()}),
            LogEntry::StateChanged { phase, versions: VersionCounts { old, new, unknown } } => {
                json!({"phase": phase.to_string(), "nodes": [old, new, unknown]})
            }
            LogEntry::Ended(end) => json!({"end": end_text(end)}),
        }
    }
}

fn version_text(version: Version) -> &'static str {
    match version {
        Version::Old => "old",
        Version::New => "new",
    }
}

fn end_text(end: &RolloutEnd) -> String {
    match end {
        RolloutEnd::Done => "Done".into(),
        RolloutEnd::RolledBack(reason) => format!("Back({reason:?})"),
        RolloutEnd::Waiting(reason) => format!("Waiting({:?})", reason.to_string()),
        RolloutEnd::Replaced => "Replaced".into(),
    }
}

/// Returns the JSON of a sample: by version the counts of each method and the memory of the largest node, and the calls of
/// each node, null where the node has not reported.
fn sample_json(sample: &Sample, methods: &[String], nodes: usize) -> Value {
    let mut calls = vec![None; nodes];
    for node in &sample.nodes {
        calls[node.node] = Some(node.methods.iter().map(|counts| counts.calls).sum::<u32>());
    }
    let (changed, unchanged): (Vec<&NodeSample>, Vec<&NodeSample>) =
        sample.nodes.iter().partition(|node| node.is_changed);
    json!({
        "methods": methods,
        "old": version_json(&unchanged, methods.len()),
        "new": version_json(&changed, methods.len()),
        "calls": calls,
    })
}

/// Returns the JSON of the nodes that run one version.
fn version_json(nodes: &[&NodeSample], methods: usize) -> Value {
    let sums: Vec<[u32; 3]> = (0..methods).map(|method| sum(nodes, method)).collect();
    json!({"nodes": nodes.len(), "methods": sums, "memory_kb": nodes.iter().map(|node| node.memory_kb).max()})
}

/// Sums the calls, missed and failed requests of one method over nodes.
fn sum(nodes: &[&NodeSample], method: usize) -> [u32; 3] {
    let counts = nodes.iter().filter_map(|node| node.methods.get(method));
    counts.fold([0; 3], |[calls, missed, failed], counts| {
        [calls + counts.calls, missed + counts.missed, failed + counts.failed]
    })
}

/// The file of a log, which is only appended to.
#[derive(Debug)]
pub struct RolloutLog(File);

impl RolloutLog {
    /// Opens the log, or creates it.
    ///
    /// # Errors
    /// The file can neither be opened nor created.
    pub fn open(path: &Path) -> Result<RolloutLog, RolloutError> {
        let file = OpenOptions::new().create(true).append(true).open(path);
        file.map(RolloutLog).map_err(|source| RolloutError::File { path: path.into(), source })
    }

    /// Appends a line, with the Unix time in milliseconds. A log that cannot be written does not stop a rollout.
    pub fn append(&mut self, entry: LogEntry) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = since_epoch.map_or(0, |since| since.as_millis() as u64);
        let _ = writeln!(self.0, "{}", json!({"ms": now_ms, "what": entry.to_json()}));
    }
}
