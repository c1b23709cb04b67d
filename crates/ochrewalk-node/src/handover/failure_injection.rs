//! Lets tests have a successor crash or hang at a step of the hand-over.

use std::time::Duration;

/// Names the step, and whether to crash or to hang there, as in `crash:ready`.
const VARIABLE: &str = "OCHREWALK_TAKE_FAILS";

/// Steps at which a successor can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Before it has sent anything.
    BeforeHello,
    /// It has sent `Hello`.
    HelloSent,
    /// It has received what was transferred ahead.
    Ready,
    /// It has loaded all of the state.
    Loaded,
    /// It has sent `Started`, and done nothing yet.
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

/// Crashes or hangs where the environment asks for that at this step.
pub(super) fn fail_if_asked(step: Step) {
    let Ok(asked) = std::env::var(VARIABLE) else { return };
    match asked.split_once(':') {
        Some(("crash", name)) if name == step.name() => std::process::abort(),
        Some(("hang", name)) if name == step.name() => loop {
            std::thread::sleep(Duration::from_secs(1));
        },
        _ => {}
    }
}
