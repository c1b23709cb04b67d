//! The plan of a rolling change: the same lines and units as the operators' file, each fault named by its line.

use crate::read::{absolute, socket, time, whole, wrong, Fault, Wrong};
use crate::words;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedNode {
    pub name: String,
    /// Where its supervisor listens.
    pub control: PathBuf,
    pub zone: String,
}

/// What a rolling change changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    Program,
    /// The operators' file that nodes go by.
    Settings,
}

/// A rolling change of the program or of settings, never of both.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub subject: Subject,
    pub old: PathBuf,
    pub new: PathBuf,
    /// How long a changed node stays so after each word of the conductor's, until the change is done; 0 for no trial.
    pub trial_us: u64,
    /// A node that cannot hand back what it runs is begun anew.
    pub begins_anew: bool,
    pub nodes: Vec<PlannedNode>,
    /// How many nodes are changed at the end of each stage; the last one has all.
    pub stages: Vec<usize>,
    pub most_out: usize,
    /// Where what was done is kept; a socket for the operator stands beside it.
    pub record: PathBuf,
    /// How often nodes are asked.
    pub moment_us: u64,
    /// Harm that has to be found, as a share of a method's calls.
    pub harm: f64,
    /// How long a stage lasts at least, and after which time the operator is asked.
    pub least_us: u64,
    pub most_us: u64,
    /// How long a changed node may say nothing, and how long it is cold.
    pub silent_us: u64,
    pub cold_us: u64,
    /// How long a fleet that is too ill for the next step is waited for.
    pub patience_us: u64,
}

/// Directives, and how many words follow each.
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

impl Plan {
    /// The file of a node on either side: `{node}` in its path stands for the node's name.
    pub fn file(&self, node: &PlannedNode, is_new: bool) -> PathBuf {
        let path = if is_new { &self.new } else { &self.old };
        PathBuf::from(path.to_string_lossy().replace("{node}", &node.name))
    }
}

enum Stage {
    Number(usize),
    Share(f64),
}

#[derive(Default)]
struct Reading {
    stood: BTreeMap<String, usize>,
    paths: BTreeMap<String, PathBuf>,
    times: BTreeMap<String, u64>,
    nodes: Vec<PlannedNode>,
    stages: Vec<(usize, Stage)>,
    most_out: Option<usize>,
    harm: Option<f64>,
    waits_where_stuck: bool,
}

impl Plan {
    /// Reads a plan's text. `file` names it in faults.
    pub fn read(text: &str, file: &str) -> Result<Plan, Vec<Fault>> {
        let mut reading = Reading::default();
        let mut faults = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let said = match words::split(line) {
                Ok(words) if words.is_empty() => Ok(()),
                Ok(words) => reading.line(at + 1, &words),
                Err(why) => wrong(why, "write \"a b\" for a word with a blank"),
            };
            if let Err((wrong, right)) = said {
                faults.push(Fault { file: file.into(), line: at + 1, wrong, right });
            }
        }
        match reading.whole() {
            Ok(plan) if faults.is_empty() => Ok(plan),
            // What is missing may only be missing because its line is faulty.
            Err((line, (wrong, right))) if faults.is_empty() => {
                Err(vec![Fault { file: file.into(), line, wrong, right }])
            }
            _ => Err(faults),
        }
    }
}

impl Reading {
    fn line(&mut self, line: usize, words: &[String]) -> Result<(), Wrong> {
        let (name, given) = (words[0].as_str(), &words[1..]);
        let Some((_, usage)) = DIRECTIVES.iter().find(|(known, _)| *known == name) else {
            let known: Vec<&str> = DIRECTIVES.iter().map(|(known, _)| *known).collect();
            return wrong(
                format!("{name} is no directive of a plan"),
                format!("write one of {}", known.join(", ")),
            );
        };
        if given.len() + 1 != usage.split(' ').count() {
            return wrong(format!("{name} with {} words", given.len()), format!("write {usage}"));
        }
        if let (Some(before), false) = (self.stood.get(name), matches!(name, "node" | "stage")) {
            return wrong(format!("{name} was set on line {before} already"), "keep one of the two");
        }
        self.stood.entry(name.into()).or_insert(line);
        let word = &given[0];
        match name {
            "old" | "new" | "old-settings" | "new-settings" | "record" => {
                drop(self.paths.insert(name.into(), absolute(word)?))
            }
            "node" => {
                let node =
                    PlannedNode { name: word.clone(), control: socket(&given[1])?, zone: given[2].clone() };
                if self.nodes.iter().any(|known| known.name == node.name || known.control == node.control) {
                    return wrong(format!("{word} or its socket stands here already"), "name each node once");
                }
                self.nodes.push(node);
            }
            "stage" => {
                let stage = match word.strip_suffix('%') {
                    Some(share) => share.parse().ok().filter(|s| *s > 0.0 && *s <= 100.0).map(Stage::Share),
                    None => word.parse().ok().filter(|n| *n > 0).map(Stage::Number),
                };
                let Some(stage) = stage else {
                    return wrong(
                        format!("{word} is no stage"),
                        "write a number of nodes, or a share such as 10%",
                    );
                };
                self.stages.push((line, stage));
            }
            "stuck" => {
                self.waits_where_stuck = match word.as_str() {
                    "restart" => false,
                    "wait" => true,
                    _ => return wrong(format!("stuck {word}"), "write stuck restart or stuck wait"),
                }
            }
            "most-out" => self.most_out = Some(whole(word, 1, 1_000_000)?),
            "harm" => {
                let harm = word.parse::<f64>().ok().filter(|harm| (0.001..=0.5).contains(harm));
                self.harm = Some(harm.ok_or_else(|| {
                    (
                        format!("{word} is no harm"),
                        "write a share from 0.001 to 0.5, such as 0.05".to_string(),
                    )
                })?);
            }
            // Nodes tell their counts ten times a second.
            "moment" => drop(self.times.insert(name.into(), time(word, 200_000, 60_000_000)?)),
            _ => drop(self.times.insert(name.into(), time(word, 50_000, 86_400_000_000)?)),
        }
        Ok(())
    }

    fn whole(self) -> Result<Plan, (usize, Wrong)> {
        let missing = |what: &str, usage: &str| {
            Err((0, (format!("no {what} is named"), format!("add a line: {usage}"))))
        };
        let path = |name: &str| self.paths.get(name).cloned();
        let pair = |old: &str, new: &str| Some((path(old)?, path(new)?));
        let stood = |names: [&str; 2]| names.iter().find_map(|name| self.stood.get(*name).copied());
        let (programs, settings) = (["old", "new"], ["old-settings", "new-settings"]);
        if let (Some(_), Some(line)) = (stood(programs), stood(settings)) {
            let what = "a change of the program and of settings at once".to_string();
            return Err((line, (what, "make two plans, one after the other".into())));
        }
        let (subject, (old, new)) = match (pair("old", "new"), pair("old-settings", "new-settings")) {
            (Some(pair), _) => (Subject::Program, pair),
            (_, Some(pair)) => (Subject::Settings, pair),
            _ if stood(settings).is_some() => {
                return missing("second file of settings", "old-settings FILE, new-settings FILE")
            }
            _ => return missing("program", "old PROGRAM, new PROGRAM"),
        };
        let Some(record) = path("record") else { return missing("record", "record PATH") };
        if self.nodes.is_empty() {
            return missing("node", "node NAME CONTROL ZONE");
        }
        let all = self.nodes.len();
        let mut stages: Vec<usize> = Vec::new();
        for (line, stage) in &self.stages {
            let count = match stage {
                Stage::Number(count) => *count,
                Stage::Share(share) => ((share / 100.0 * all as f64).round() as usize).clamp(1, all),
            };
            let before = stages.last().copied().unwrap_or(0);
            if count > all {
                return Err((
                    *line,
                    (format!("{count} nodes in a stage, and {all} in all"), "write fewer".into()),
                ));
            }
            // Shares of a small fleet may come to the same number: one stage of it is enough.
            match stage {
                Stage::Share(_) if count <= before => {}
                Stage::Number(_) if count <= before => {
                    let what = (
                        format!("a stage of {count} after one of {before}"),
                        "write stages that grow".into(),
                    );
                    return Err((*line, what));
                }
                _ => stages.push(count),
            }
        }
        if stages.last() != Some(&all) {
            stages.push(all);
        }
        let most_out = self.most_out.unwrap_or(1);
        if most_out >= all.max(2) {
            let line = self.stood.get("most-out").copied().unwrap_or(0);
            let right = format!("write one under {all}, so that some serve");
            return Err((line, (format!("{most_out} of {all} nodes may be out at once"), right)));
        }
        let get = |name: &str, usual: u64| self.times.get(name).copied().unwrap_or(usual);
        let (least_us, most_us) = (get("least", 30_000_000), get("most", 900_000_000));
        if most_us < least_us {
            let line = self.stood.get("most").or(self.stood.get("least")).copied().unwrap_or(0);
            return Err((
                line,
                ("a stage's longest time is shorter than its least".into(), "write most over least".into()),
            ));
        }
        let moment_us = get("moment", 1_000_000);
        // Settings are always on trial: whoever is cut off by them could not be told to go back.
        let trial_us = get("trial", if subject == Subject::Settings { 30_000_000 } else { 0 });
        if trial_us > 0 && trial_us < 4 * moment_us {
            let line = self.stood.get("trial").or(self.stood.get("moment")).copied().unwrap_or(0);
            let what = "a trial of less than four moments ends with a few lost words".to_string();
            return Err((line, (what, "write a longer trial, or shorter moments".into())));
        }
        Ok(Plan {
            subject,
            old,
            new,
            trial_us,
            begins_anew: !self.waits_where_stuck,
            nodes: self.nodes,
            stages,
            most_out,
            record,
            moment_us,
            harm: self.harm.unwrap_or(0.05),
            least_us,
            most_us,
            silent_us: get("silent", 10_000_000),
            cold_us: get("cold", 10_000_000),
            patience_us: get("patience", 60_000_000),
        })
    }
}
