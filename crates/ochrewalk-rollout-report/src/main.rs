//! The page of a rolling change, from the record that its conductor left.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "ochrewalk-rollout-report",
    version,
    about = "A page of how a rolling change went, to standard output"
)]
struct Line {
    /// The conductor's record, RECORD.log
    record: PathBuf,
}

fn main() -> ExitCode {
    let Line { record } = Line::parse();
    match std::fs::read(&record) {
        Ok(bytes) => {
            let story = ochrewalk_rollout_report::Story::read(&String::from_utf8_lossy(&bytes));
            let name = record.file_stem().map_or_else(Default::default, |name| name.to_string_lossy());
            println!("{}", ochrewalk_rollout_report::page(&story, &name));
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{}: {err}", record.display());
            ExitCode::FAILURE
        }
    }
}
