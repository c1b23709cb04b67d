//! Parses the text of a plan: converts each line to values, then checks all values together.

use super::stages::{stage_sizes, StageLine, StageSize};
use super::{PlannedNode, RolloutPlan, Subject};
use crate::diagnostic::{line_error, Diagnostic, FileError, LineError};
use crate::lexer::split_words;
use crate::values::{absolute_path, socket_path, time_us, whole_number};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The directives, each with its syntax.
const DIRECTIVES: [(&str, &str); 17] = [
    ("old", "old PROGRAM"),
    ("new", "new PROGRAM"),
    ("old-settings", "old-settings FILE"),
    ("new-settings", "new-settings FILE"),
    ("trial", "trial TIME"),
    ("stuck", "stuck restart|wait"),
    ("node", "node NAME CONTROL ZONE"),
    ("stage", "stage NUMBER|SHARE%"),
    ("most-out", "most-out NUMBER"),
    ("record", "record PATH"),
    ("moment", "moment TIME"),
    ("harm", "harm SHARE"),
    ("least", "least TIME"),
    ("most", "most TIME"),
    ("silent", "silent TIME"),
    ("cold", "cold TIME"),
    ("patience", "patience TIME"),
];

/// The directives that may occur more than once.
const REPEATABLE: [&str; 2] = ["node", "stage"];

const SECOND_US: u64 = 1_000_000;
/// The minimum interval: nodes report their counters ten times per second, and the number of events in samples of fewer
/// than two reports is uneven.
const MIN_SAMPLE_INTERVAL_US: u64 = 200_000;
const MAX_SAMPLE_INTERVAL_US: u64 = 60 * SECOND_US;
const MIN_TIME_US: u64 = 50_000;
const MAX_TIME_US: u64 = 86_400 * SECOND_US;
/// The default confirmation timeout for settings, which always need a confirmation: a node that the new settings cut
/// off from the controller could not be commanded to revert.
const DEFAULT_SETTINGS_CONFIRM_US: u64 = 30 * SECOND_US;
/// The minimum confirmation timeout in samples: a shorter one would expire after a few lost polls.
const MIN_CONFIRM_SAMPLES: u64 = 4;
const DEFAULT_HARM: f64 = 0.05;
const DEFAULT_MAX_UNAVAILABLE: usize = 1;

pub(super) fn parse(text: &str, file: &str) -> Result<RolloutPlan, Vec<Diagnostic>> {
    let mut parser = Parser::default();
    let mut diagnostics = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        let parsed = split_words(line).and_then(|words| match words.as_slice() {
            [] => Ok(()),
            [name, arguments @ ..] => parser.line(number, name, arguments),
        });
        if let Err(error) = parsed {
            diagnostics.push(error.at(file, number));
        }
    }
    match parser.finish() {
        Ok(plan) if diagnostics.is_empty() => Ok(plan),
        // A directive may be missing only because its line is invalid, so errors between lines are not reported here.
        Err(error) if diagnostics.is_empty() => Err(vec![error.at(file)]),
        _ => Err(diagnostics),
    }
}

/// The two files of a rollout.
struct Files {
    subject: Subject,
    old: PathBuf,
    new: PathBuf,
}

#[derive(Default)]
struct Parser {
    /// The first line of each directive.
    first_lines: BTreeMap<String, usize>,
    paths: BTreeMap<String, PathBuf>,
    times_us: BTreeMap<String, u64>,
    nodes: Vec<PlannedNode>,
    stages: Vec<StageLine>,
    max_unavailable: Option<usize>,
    harm: Option<f64>,
    waits_where_stuck: bool,
}

impl Parser {
    fn line(&mut self, line: usize, name: &str, arguments: &[String]) -> Result<(), LineError> {
        let Some((_, usage)) = DIRECTIVES.iter().find(|(known, _)| *known == name) else {
            let known: Vec<&str> = DIRECTIVES.iter().map(|(known, _)| *known).collect();
            return line_error(
                format!("{name} is not a directive of a plan"),
                format!("write one of {}", known.join(", ")),
            );
        };
        if arguments.len() + 1 != usage.split(' ').count() {
            return line_error(format!("{name} with {} words", arguments.len()), format!("write {usage}"));
        }
        if let (Some(before), false) = (self.first_lines.get(name), REPEATABLE.contains(&name)) {
            return line_error(format!("{name} was set on line {before} already"), "keep one of the two");
        }
        self.first_lines.entry(name.into()).or_insert(line);
        self.directive(line, name, arguments)
    }

    /// Applies the arguments of a known directive, whose number is already checked.
    fn directive(&mut self, line: usize, name: &str, arguments: &[String]) -> Result<(), LineError> {
        let word = &arguments[0];
        match name {
            "old" | "new" | "old-settings" | "new-settings" | "record" => {
                self.paths.insert(name.into(), absolute_path(word)?);
            }
            "node" => self.add_node(word, &arguments[1], &arguments[2])?,
            "stage" => self.stages.push(StageLine { line, size: StageSize::parse(word)? }),
            "stuck" => self.waits_where_stuck = waits_where_stuck(word)?,
            "most-out" => self.max_unavailable = Some(whole_number(word, 1, 1_000_000)?),
            "harm" => self.harm = Some(harm(word)?),
            "moment" => {
                let interval_us = time_us(word, MIN_SAMPLE_INTERVAL_US, MAX_SAMPLE_INTERVAL_US)?;
                self.times_us.insert(name.into(), interval_us);
            }
            _ => {
                self.times_us.insert(name.into(), time_us(word, MIN_TIME_US, MAX_TIME_US)?);
            }
        }
        Ok(())
    }

    fn add_node(&mut self, name: &str, control: &str, zone: &str) -> Result<(), LineError> {
        let node = PlannedNode { name: name.into(), control: socket_path(control)?, zone: zone.into() };
        if self.nodes.iter().any(|known| known.name == node.name || known.control == node.control) {
            return line_error(format!("{name} or its socket is already named"), "name each node once");
        }
        self.nodes.push(node);
        Ok(())
    }

    /// Checks all directives together and returns the plan.
    fn finish(self) -> Result<RolloutPlan, FileError> {
        let Files { subject, old, new } = self.files()?;
        let Some(record) = self.paths.get("record").cloned() else {
            return Err(missing("record", "record PATH"));
        };
        if self.nodes.is_empty() {
            return Err(missing("node", "node NAME CONTROL ZONE"));
        }
        let stages = stage_sizes(&self.stages, self.nodes.len())?;
        let max_unavailable = self.max_unavailable()?;
        let (min_stage_us, max_stage_us) = self.stage_times()?;
        let sample_interval_us = self.time_us("moment", SECOND_US);
        let confirm_timeout_us = self.confirm_timeout_us(subject, sample_interval_us)?;
        Ok(RolloutPlan {
            subject,
            old,
            new,
            confirm_timeout_us,
            restarts_stuck_nodes: !self.waits_where_stuck,
            stages,
            max_unavailable,
            record,
            sample_interval_us,
            harm: self.harm.unwrap_or(DEFAULT_HARM),
            min_stage_us,
            max_stage_us,
            max_silence_us: self.time_us("silent", 10 * SECOND_US),
            warm_up_us: self.time_us("cold", 10 * SECOND_US),
            recovery_timeout_us: self.time_us("patience", 60 * SECOND_US),
            nodes: self.nodes,
        })
    }

    /// Returns the two files, either programs or settings; an error if the plan names both.
    fn files(&self) -> Result<Files, FileError> {
        let has_program = self.first_line(["old", "new"]).is_some();
        let settings_line = self.first_line(["old-settings", "new-settings"]);
        if let (true, Some(line)) = (has_program, settings_line) {
            return Err(FileError::new(
                line,
                "a change of the program and of settings at once",
                "make two plans, one after the other",
            ));
        }
        let pair = |old: &str, new: &str, subject: Subject| {
            let (old, new) = (self.paths.get(old)?.clone(), self.paths.get(new)?.clone());
            Some(Files { subject, old, new })
        };
        pair("old", "new", Subject::Program)
            .or_else(|| pair("old-settings", "new-settings", Subject::Settings))
            .ok_or_else(|| match settings_line {
                Some(_) => missing("second file of settings", "old-settings FILE, new-settings FILE"),
                None => missing("program", "old PROGRAM, new PROGRAM"),
            })
    }

    fn max_unavailable(&self) -> Result<usize, FileError> {
        let node_count = self.nodes.len();
        let max_unavailable = self.max_unavailable.unwrap_or(DEFAULT_MAX_UNAVAILABLE);
        if max_unavailable < node_count.max(2) {
            return Ok(max_unavailable);
        }
        let line = self.first_line(["most-out"]).unwrap_or(0);
        let problem = format!("{max_unavailable} of {node_count} nodes may be unavailable at once");
        Err(FileError::new(line, problem, format!("write one under {node_count}, so that some serve")))
    }

    /// Returns the minimum and the maximum duration of a stage.
    fn stage_times(&self) -> Result<(u64, u64), FileError> {
        let min_us = self.time_us("least", 30 * SECOND_US);
        let max_us = self.time_us("most", 900 * SECOND_US);
        if min_us <= max_us {
            return Ok((min_us, max_us));
        }
        let line = self.first_line(["most", "least"]).unwrap_or(0);
        let problem = "a stage's maximum time is shorter than its minimum";
        Err(FileError::new(line, problem, "write most over least"))
    }

    fn confirm_timeout_us(&self, subject: Subject, sample_interval_us: u64) -> Result<u64, FileError> {
        let default_us = match subject {
            Subject::Settings => DEFAULT_SETTINGS_CONFIRM_US,
            Subject::Program => 0,
        };
        let timeout_us = self.time_us("trial", default_us);
        if timeout_us == 0 || timeout_us >= MIN_CONFIRM_SAMPLES * sample_interval_us {
            return Ok(timeout_us);
        }
        let line = self.first_line(["trial", "moment"]).unwrap_or(0);
        let problem = "a trial time of less than four moment times expires after a few lost replies";
        Err(FileError::new(line, problem, "write a longer trial time, or a shorter moment time"))
    }

    fn time_us(&self, directive: &str, default_us: u64) -> u64 {
        self.times_us.get(directive).copied().unwrap_or(default_us)
    }

    /// Returns the line of the first of these directives that the plan contains.
    fn first_line<const N: usize>(&self, directives: [&str; N]) -> Option<usize> {
        directives.iter().find_map(|directive| self.first_lines.get(*directive).copied())
    }
}

fn missing(what: &str, usage: &str) -> FileError {
    FileError::new(0, format!("no {what} is named"), format!("add a line: {usage}"))
}

fn waits_where_stuck(word: &str) -> Result<bool, LineError> {
    match word {
        "restart" => Ok(false),
        "wait" => Ok(true),
        _ => line_error(
            format!("{word} is not an action for stuck nodes"),
            "write stuck restart or stuck wait",
        ),
    }
}

fn harm(word: &str) -> Result<f64, LineError> {
    let harm = word.parse::<f64>().ok().filter(|harm| (0.001..=0.5).contains(harm));
    harm.ok_or_else(|| {
        LineError::new(
            format!("{word} is not a harm threshold"),
            "write a share from 0.001 to 0.5, such as 0.05",
        )
    })
}
