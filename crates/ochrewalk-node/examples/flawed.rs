//! Runs a node with a fault that `OCHREWALK_FLAW` names, as a new program that a rollout has to stop and revert. Used only by
//! tests and by `ochrewalk-lab`.

use ochrewalk_node::logger::{Form, LogSettings};
use ochrewalk_node::node::{serve, Files};
use std::path::PathBuf;
use std::time::Duration;
use tracing::level_filters::LevelFilter;

/// The time for which the worker is blocked, most of each period.
const BLOCKED: Duration = Duration::from_millis(150);
/// The time in each period in which the worker is free.
const FREE: Duration = Duration::from_millis(20);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let value = |option: &str| {
        arguments.iter().position(|argument| argument == option).and_then(|index| arguments.get(index + 1))
    };
    let file = |option: &str| value(option).map(PathBuf::from);
    let Some(node) = file("--config") else { std::process::exit(2) };
    let flaw = std::env::var("OCHREWALK_FLAW").unwrap_or_default();
    let run_after = |delay: Duration, fault: fn()| {
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            fault();
        });
    };
    let seconds = Duration::from_secs;
    match flaw.as_str() {
        "crash-at-start" => std::process::abort(),
        "crash-later" => run_after(seconds(3), || std::process::abort()),
        "crash-on-hand-over" => std::env::set_var("OCHREWALK_TAKE_FAILS", "crash:ready"),
        "hang-on-hand-over" => std::env::set_var("OCHREWALK_TAKE_FAILS", "hang:ready"),
        // Delayed until the runtime has started its one worker.
        "slow" => run_after(seconds(1), slow),
        "deaf" => run_after(seconds(1), || {
            drop(may::go!(|| loop {
                std::thread::sleep(BLOCKED);
            }))
        }),
        "slow-later" => run_after(seconds(8), slow),
        "leak" => run_after(Duration::ZERO, leak),
        _ => {}
    }
    let logs = LogSettings { level: LevelFilter::ERROR, format: Form::Plain };
    if let Err(error) = serve(&Files { node, operators: file("--operators") }, logs) {
        eprintln!("{error}");
        std::process::exit(1);
    }
}

fn slow() {
    loop {
        // The coroutine blocks the runtime's one worker, which is free in between.
        may::go!(|| std::thread::sleep(BLOCKED));
        std::thread::sleep(BLOCKED + FREE);
    }
}

fn leak() {
    let mut leaked: Vec<Vec<u8>> = Vec::new();
    while leaked.len() < 60 {
        leaked.push(vec![1; 2 << 20]);
        std::thread::sleep(Duration::from_millis(30));
    }
    std::thread::sleep(Duration::from_secs(3_600));
    drop(leaked);
}
