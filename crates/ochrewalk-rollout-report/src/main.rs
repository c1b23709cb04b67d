//! Writes the page of a rollout, from the log that its controllers have written.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "ochrewalk-rollout-report",
    version,
    about = "Writes an HTML page that shows the course of a rollout to standard output"
)]
struct Options {
    /// The log of the rollout, RECORD.log
    record: PathBuf,
}

fn main() -> ExitCode {
    let Options { record } = Options::parse();
    match std::fs::read(&record) {
        Ok(bytes) => {
            let history = ochrewalk_rollout_report::RolloutHistory::read(&String::from_utf8_lossy(&bytes));
            let name = record.file_stem().map_or_else(Default::default, |name| name.to_string_lossy());
            println!("{}", ochrewalk_rollout_report::page(&history, &name));
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{}: {err}", record.display());
            ExitCode::FAILURE
        }
    }
}
