//! The lab's command `rollout`: rolls out a program, with or without a flaw, or settings to many real nodes, and
//! prints the result as JSON.

use crate::changes::{copy_with_other_contents, play, Fault, Outcome, Plan, Subject};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The options of the command line.
#[derive(Clone, Debug)]
pub struct Options {
    pub nodes: usize,
    pub rate: f64,
    pub seed: u64,
    pub flaw: Option<String>,
    pub subject: Subject,
    pub fault: Fault,
    pub time_limit: Duration,
    /// The file to which the controller's log is copied.
    pub log: Option<PathBuf>,
}

pub const FAULTS: [(&str, Fault); 9] = [
    ("none", Fault::None),
    ("conductor-killed", Fault::ControllerKilled),
    ("conductor-gone", Fault::ControllerLost),
    ("two-conductors", Fault::TwoControllers),
    ("links-silent", Fault::LinksSilent),
    ("links-break", Fault::LinksBreak),
    ("old-replaced", Fault::OldReplaced),
    ("nodes-stopped", Fault::NodesStopped),
    ("all-slow", Fault::AllSlow),
];

pub const SUBJECTS: [(&str, Subject); 4] = [
    ("program", Subject::Program),
    ("settings", Subject::Settings),
    ("harmful-settings", Subject::HarmfulSettings),
    ("unusable-settings", Subject::UnusableSettings),
];

impl Options {
    /// Runs the rollout and prints the result, whose last line is JSON. Returns whether no rule was violated and the
    /// rollout ended as expected.
    pub fn run(&self, program: &Path) -> Result<bool, String> {
        let tenth = (self.nodes / 10).max(1);
        let plan = Plan {
            nodes: self.nodes,
            rate: self.rate,
            seed: self.seed,
            subject: self.subject,
            flaw: self.flaw.clone().unwrap_or_default(),
            fault: self.fault,
            plan_lines: format!(
                "stage {tenth}\nstage 50%\nmost-out {tenth}\nmoment 250ms\nleast 3s\nmost 60s\nharm 0.1\nsilent {}\n\
                 cold 500ms\npatience 20s\n{}",
                // A longer limit keeps the controller from attributing the silence of faulty links to the new version.
                if self.fault == Fault::LinksSilent { "12s" } else { "2s" },
                if self.subject == Subject::Program { "" } else { "trial 3s\n" }
            ),
            time_limit: self.time_limit,
            log: self.log.clone(),
            instance: 0,
        };
        let new = match &self.flaw {
            Some(_) => flawed(program)?,
            None => {
                let new = std::env::temp_dir().join(format!("ow-new-{}-{}", std::process::id(), self.seed));
                copy_with_other_contents(program, &new)?;
                new
            }
        };
        let outcome = play(program, &new, &plan);
        if self.flaw.is_none() {
            let _ = std::fs::remove_file(&new);
        }
        let outcome = outcome?;
        outcome.broken.iter().take(10).for_each(|broken| eprintln!("broken: {broken}"));
        println!("{}", outcome.output);
        println!("{}", line(&outcome));
        let expected = match (self.fault, self.subject) {
            (Fault::ControllerLost, _) => "gone",
            (Fault::OldReplaced, _) => "waiting",
            (_, Subject::HarmfulSettings | Subject::UnusableSettings) => "back",
            _ if self.flaw.is_some() => "back",
            _ => "done",
        };
        let must_change_none = matches!(expected, "back" | "gone");
        let has_expected_end = outcome.end == expected && (!must_change_none || outcome.left_changed == 0);
        Ok(outcome.broken.is_empty() && has_expected_end)
    }
}

/// Returns the path of the node's program with flaws, which `cargo build --release -p ochrewalk-node --examples`
/// builds.
fn flawed(program: &Path) -> Result<PathBuf, String> {
    let flawed = program.with_file_name("examples").join("flawed");
    match flawed.exists() {
        true => Ok(flawed),
        false => Err(format!("{} does not exist: build the examples of ochrewalk-node", flawed.display())),
    }
}

fn line(outcome: &Outcome) -> serde_json::Value {
    let round = |x: f64| (x * 1_000.0).round() / 1_000.0;
    json!({
        "broken": outcome.broken.len(), "end": outcome.end, "changed_at_stop": round(outcome.changed),
        "left_changed": outcome.left_changed, "most_ordered": outcome.max_open_commands, "kills": outcome.kills,
        "calls": outcome.calls, "served_share": round(outcome.served_share), "seconds": round(outcome.seconds)
    })
}
