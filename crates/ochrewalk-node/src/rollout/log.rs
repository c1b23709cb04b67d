//! The log of a rollout: a line of JSON for each event, for `ochrewalk-rollout-report` and whoever looks on. Logs of other versions are
//! read, too: keys and texts stay.

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

/// How many nodes run which version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionCounts {
    /// Nodes that run the old version.
    pub old: usize,
    /// Nodes that run the new version.
    pub new: usize,
    /// Nodes of which it is not known.
    pub unknown: usize,
}

/// An event of a rollout.
#[derive(Clone, Copy, Debug)]
pub enum LogEntry<'a> {
    /// A controller has begun.
    Begun {
        /// Its number.
        controller: ControllerNumber,
    },
    /// A command is sent.
    CommandSent {
        /// The node's name.
        node: &'a str,
        /// What it is to run.
        version: Version,
        /// How it comes to run it.
        method: ChangeMethod,
    },
    /// A command was answered, or given up.
    CommandAnswered {
        /// The node's name.
        node: &'a str,
        /// What came back.
        reply: &'a CommandReply,
    },
    /// The analysis of a stage begins.
    AnalysisBegun {
        /// The stage, counted from 0.
        stage: usize,
    },
    /// What the analysis was given.
    Sampled {
        /// The sample.
        sample: &'a Sample,
        /// The names of its methods, in its order.
        methods: &'a [String],
        /// How many nodes the plan has.
        nodes: usize,
    },
    /// What the analysis said.
    Concluded(&'a Verdict),
    /// The phase, or what is known of a node, has changed.
    Moved {
        /// The phase now.
        phase: &'a Phase,
        /// What nodes run now.
        versions: VersionCounts,
    },
    /// The controller's run has ended.
    Ended(&'a RolloutEnd),
}

impl LogEntry<'_> {
    /// The event as it stands under the line's `what`.
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
            LogEntry::Moved { phase, versions: VersionCounts { old, new, unknown } } => {
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

/// By version the counts of each method and the memory of the largest node; and the calls of each node, if it reported.
fn sample_json(sample: &Sample, methods: &[String], nodes: usize) -> Value {
    let mut calls = vec![None; nodes];
    for node in &sample.nodes {
        calls[node.node] = Some(node.methods.iter().map(|counts| counts.calls).sum::<u32>());
    }
    let (changed, unchanged): (Vec<&NodeSample>, Vec<&NodeSample>) =
        sample.nodes.iter().partition(|node| node.is_changed);
    json!({
        "methods": methods,
        "old": side_json(&unchanged, methods.len()),
        "new": side_json(&changed, methods.len()),
        "calls": calls,
    })
}

fn side_json(nodes: &[&NodeSample], methods: usize) -> Value {
    let sums: Vec<[u32; 3]> = (0..methods).map(|method| sum(nodes, method)).collect();
    json!({"nodes": nodes.len(), "methods": sums, "memory_kb": nodes.iter().map(|node| node.memory_kb).max()})
}

/// Calls, missed and failed of one method.
fn sum(nodes: &[&NodeSample], method: usize) -> [u32; 3] {
    let counts = nodes.iter().filter_map(|node| node.methods.get(method));
    counts.fold([0; 3], |[calls, missed, failed], counts| {
        [calls + counts.calls, missed + counts.missed, failed + counts.failed]
    })
}

/// The log's file, which is only ever appended to.
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

    /// Appends a line, with the time of the calendar in milliseconds. A log that cannot be written does not stop a rollout.
    pub fn append(&mut self, entry: LogEntry) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = since_epoch.map_or(0, |since| since.as_millis() as u64);
        let _ = writeln!(self.0, "{}", json!({"ms": now_ms, "what": entry.to_json()}));
    }
}
