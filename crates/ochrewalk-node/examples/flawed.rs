//! The real node's library with a flaw, chosen by name in `OCHREWALK_FLAW`, as a new program that a rolling change has to
//! stop. For tests and the laboratory alone.

use ochrewalk_node::logger::{LogFormat, LogSettings};
use ochrewalk_node::node::{serve, Files};
use std::path::PathBuf;
use std::time::Duration;
use tracing::level_filters::LevelFilter;

/// Most of the time nothing else gets on.
const AWAY: Duration = Duration::from_millis(150);
const HERE: Duration = Duration::from_millis(20);

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let after = |name: &str| words.iter().position(|word| word == name).and_then(|at| words.get(at + 1));
    let file = |name: &str| after(name).map(PathBuf::from);
    let Some(node) = file("--config") else { std::process::exit(2) };
    let flaw = std::env::var("OCHREWALK_FLAW").unwrap_or_default();
    let later = |after: Duration, what: fn()| {
        std::thread::spawn(move || {
            std::thread::sleep(after);
            what();
        });
    };
    let seconds = Duration::from_secs;
    match flaw.as_str() {
        "crash-at-start" => std::process::abort(),
        "crash-later" => later(seconds(3), || std::process::abort()),
        "crash-on-hand-over" => std::env::set_var("OCHREWALK_TAKE_FAILS", "crash:ready"),
        "hang-on-hand-over" => std::env::set_var("OCHREWALK_TAKE_FAILS", "hang:ready"),
        // Not before the runtime has its one worker.
        "slow" => later(seconds(1), slow),
        "deaf" => later(seconds(1), || {
            drop(may::go!(|| loop {
                std::thread::sleep(AWAY);
            }))
        }),
        "slow-later" => later(seconds(8), slow),
        "leak" => later(Duration::ZERO, leak),
        _ => {}
    }
    let logs = LogSettings { level: LevelFilter::ERROR, format: LogFormat::Plain };
    if let Err(why) = serve(&Files { node, operators: file("--operators") }, logs) {
        eprintln!("{why}");
        std::process::exit(1);
    }
}

fn slow() {
    loop {
        // The runtime's one worker is held, and let go for a moment.
        may::go!(|| std::thread::sleep(AWAY));
        std::thread::sleep(AWAY + HERE);
    }
}

fn leak() {
    let mut kept: Vec<Vec<u8>> = Vec::new();
    while kept.len() < 60 {
        kept.push(vec![1; 2 << 20]);
        std::thread::sleep(Duration::from_millis(30));
    }
    std::thread::sleep(Duration::from_secs(3_600));
    drop(kept);
}
