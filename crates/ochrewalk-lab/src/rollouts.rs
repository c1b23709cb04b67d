//! The laboratory's `rollout`: a change of many real nodes to a program with a flaw, or without one, as JSON.

use crate::changes::{another, play, Outcome, Plan, Subject, Trouble};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What is asked for on the command line.
#[derive(Clone, Debug)]
pub struct Asked {
    pub nodes: usize,
    pub rate: f64,
    pub seed: u64,
    pub flaw: Option<String>,
    pub subject: Subject,
    pub trouble: Trouble,
    pub most: Duration,
    /// Where the conductor's log is left.
    pub log: Option<PathBuf>,
}

pub const TROUBLES: [(&str, Trouble); 9] = [
    ("none", Trouble::None),
    ("conductor-killed", Trouble::ConductorKilled),
    ("conductor-gone", Trouble::ConductorGone),
    ("two-conductors", Trouble::TwoConductors),
    ("links-silent", Trouble::LinksSilent),
    ("links-break", Trouble::LinksBreak),
    ("old-replaced", Trouble::OldReplaced),
    ("nodes-stopped", Trouble::NodesStopped),
    ("all-slow", Trouble::AllSlow),
];

pub const SUBJECTS: [(&str, Subject); 4] = [
    ("program", Subject::Program),
    ("settings", Subject::Settings),
    ("harmful-settings", Subject::HarmfulSettings),
    ("unusable-settings", Subject::UnusableSettings),
];

impl Asked {
    /// Whether no rule broke, and the change ended as it should. The last line is JSON.
    pub fn run(&self, program: &Path) -> Result<bool, String> {
        let tenth = (self.nodes / 10).max(1);
        let plan = Plan {
            nodes: self.nodes,
            rate: self.rate,
            seed: self.seed,
            subject: self.subject,
            flaw: self.flaw.clone().unwrap_or_default(),
            trouble: self.trouble,
            lines: format!(
                "stage {tenth}\nstage 50%\nmost-out {tenth}\nmoment 250ms\nleast 3s\nmost 60s\nharm 0.1\nsilent {}\n\
                 cold 500ms\npatience 20s\n{}",
                // Silence of links is not to be taken for a harm of what was changed.
                if self.trouble == Trouble::LinksSilent { "12s" } else { "2s" },
                if self.subject == Subject::Program { "" } else { "trial 3s\n" }
            ),
            most: self.most,
            log: self.log.clone(),
            apart: 0,
        };
        let new = match &self.flaw {
            Some(_) => flawed(program)?,
            None => {
                let new = std::env::temp_dir().join(format!("ow-new-{}-{}", std::process::id(), self.seed));
                another(program, &new)?;
                new
            }
        };
        let outcome = play(program, &new, &plan);
        if self.flaw.is_none() {
            let _ = std::fs::remove_file(&new);
        }
        let outcome = outcome?;
        outcome.broken.iter().take(10).for_each(|broken| eprintln!("broken: {broken}"));
        println!("{}", outcome.said);
        println!("{}", line(&outcome));
        let wanted = match (self.trouble, self.subject) {
            (Trouble::ConductorGone, _) => "gone",
            (Trouble::OldReplaced, _) => "waiting",
            (_, Subject::HarmfulSettings | Subject::UnusableSettings) => "back",
            _ if self.flaw.is_some() => "back",
            _ => "done",
        };
        let wants_none = matches!(wanted, "back" | "gone");
        let ended_well = outcome.end == wanted && (!wants_none || outcome.left_changed == 0);
        Ok(outcome.broken.is_empty() && ended_well)
    }
}

/// The node's library with flaws: `cargo build --release -p ochrewalk-node --examples` leaves it there.
fn flawed(program: &Path) -> Result<PathBuf, String> {
    let flawed = program.with_file_name("examples").join("flawed");
    match flawed.exists() {
        true => Ok(flawed),
        false => Err(format!("{} is not there: build the examples of ochrewalk-node", flawed.display())),
    }
}

fn line(outcome: &Outcome) -> serde_json::Value {
    let round = |x: f64| (x * 1_000.0).round() / 1_000.0;
    json!({
        "broken": outcome.broken.len(), "end": outcome.end, "changed_at_stop": round(outcome.changed),
        "left_changed": outcome.left_changed, "most_ordered": outcome.most_ordered, "kills": outcome.kills,
        "calls": outcome.calls, "served_share": round(outcome.served_share), "seconds": round(outcome.seconds)
    })
}
