//! Injects failures for tests: a successor crashes, hangs or is stopped at a given step of the hand-over.

use signal_hook::consts::SIGSTOP;
use std::time::Duration;

/// The environment variable that names the failure and the step, as in `crash:ready`.
const VARIABLE: &str = "OCHREWALK_TAKE_FAILS";

/// The steps at which a successor can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The successor has sent nothing yet.
    BeforeHello,
    /// The successor has sent `Hello`.
    HelloSent,
    /// The successor has received the sections that are transferred ahead of the pause.
    Ready,
    /// The successor has loaded the complete state.
    Loaded,
    /// The successor has sent `Started`, and has not acted yet.
    Started,
}

impl Step {
    fn name(self) -> &'static str {
        match self {
            Step::BeforeHello => "start",
            Step::HelloSent => "greet",
            Step::Ready => "ready",
            Step::Loaded => "commit",
            Step::Started => "done",
        }
    }
}

/// Crashes, hangs or stops if the environment variable requests a failure at this step. A stopped process continues on SIGCONT.
pub(super) fn fail_if_requested(step: Step) {
    let Ok(requested) = std::env::var(VARIABLE) else { return };
    match requested.split_once(':') {
        Some(("crash", name)) if name == step.name() => std::process::abort(),
        Some(("hang", name)) if name == step.name() => loop {
            std::thread::sleep(Duration::from_secs(1));
        },
        Some(("stop", name)) if name == step.name() => drop(signal_hook::low_level::raise(SIGSTOP)),
        _ => {}
    }
}
