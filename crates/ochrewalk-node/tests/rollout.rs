//! Rollouts of real processes, with the controller as a process of its own and faults between them: every call has one answer,
//! nothing runs twice that may not, and the rollout ends as it should. Counts and rules are asserted, no times.

use ochrewalk_lab::changes::{another, play, Outcome, Plan, Subject, Trouble};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

const OLD: &str = env!("CARGO_BIN_EXE_ochrewalk");
const NODES: usize = 8;

/// The same program in another file, made once.
fn new() -> &'static Path {
    static NEW: OnceLock<PathBuf> = OnceLock::new();
    NEW.get_or_init(|| {
        let to = Path::new(env!("CARGO_TARGET_TMPDIR")).join("another");
        another(Path::new(OLD), &to).unwrap();
        to
    })
}

/// The real node's library with flaws: an example, which `cargo test --test` alone does not build.
fn flawed() -> &'static Path {
    static FLAWED: OnceLock<PathBuf> = OnceLock::new();
    FLAWED.get_or_init(|| {
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut build = std::process::Command::new(cargo);
        build.args(["build", "--quiet", "--locked", "-p", "ochrewalk-node", "--example", "flawed"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success());
        Path::new(OLD).with_file_name("examples").join("flawed")
    })
}

/// Plays a rollout; how it has to end is asserted by the caller.
fn run(change: impl FnOnce(&mut Plan)) -> Outcome {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let mut plan = Plan {
        nodes: NODES,
        rate: 30.0,
        seed: 7,
        subject: Subject::Program,
        flaw: String::new(),
        trouble: Trouble::None,
        lines: "stage 1\nstage 50%\nmost-out 2\nmoment 250ms\nleast 1s\nmost 40s\nharm 0.5\nsilent 3s\ncold 500ms\n\
                patience 15s\n"
            .into(),
        most: Duration::from_secs(60),
        log: None,
        apart: NEXT.fetch_add(1, Ordering::Relaxed),
    };
    change(&mut plan);
    let program = if plan.flaw.is_empty() { new() } else { flawed() };
    let outcome = play(Path::new(OLD), program, &plan).unwrap();
    println!("{} {:?} {:?}: {:.1} s", plan.flaw, plan.subject, plan.trouble, outcome.seconds);
    assert_eq!(outcome.broken, Vec::<String>::new(), "{plan:?}");
    assert!(outcome.calls > 100 && outcome.most_ordered <= 2, "{outcome:?}");
    outcome
}

fn settings(plan: &mut Plan, subject: Subject) {
    plan.subject = subject;
    plan.lines += "trial 2s\n";
}

#[test]
fn a_rollout_without_harm_reaches_all_nodes_also_with_its_controller_killed_again_and_again() {
    let outcome = run(|plan| plan.trouble = Trouble::ConductorKilled);
    assert_eq!((outcome.end.as_str(), outcome.left_changed), ("done", NODES), "{outcome:?}");
    assert!(outcome.kills > 3, "{outcome:?}");
}

#[test]
fn of_two_controllers_the_later_one_brings_it_to_its_end_and_links_that_break_lose_nothing() {
    for trouble in [Trouble::TwoConductors, Trouble::LinksBreak] {
        let outcome = run(|plan| plan.trouble = trouble);
        assert_eq!((outcome.end.as_str(), outcome.left_changed), ("done", NODES), "{outcome:?}");
    }
}

#[test]
fn a_flawed_program_is_stopped_and_rolled_back_whatever_its_flaw() {
    for (flaw, most, why) in [
        ("crash-at-start", 0.0, "the new program ended"),
        ("crash-on-hand-over", 0.0, "the new program ended"),
        ("hang-on-hand-over", 0.0, "took too long"),
        ("crash-later", 0.25, "restarts of changed nodes without a command"),
        // Its worker thread is blocked for good: it can neither hand over nor answer, and is restarted.
        ("deaf", 0.25, "hardly any calls"),
    ] {
        let outcome = run(|plan| plan.flaw = flaw.into());
        assert_eq!((outcome.end.as_str(), outcome.left_changed), ("back", 0), "{flaw}: {outcome:?}");
        assert!(outcome.said.contains(why) && outcome.changed <= most, "{flaw}: {outcome:?}");
    }
}

#[test]
fn settings_are_done_only_once_all_nodes_have_confirmed() {
    let outcome = run(|plan| settings(plan, Subject::Settings));
    assert_eq!((outcome.end.as_str(), outcome.left_changed), ("done", NODES), "{outcome:?}");
}

#[test]
fn unconfirmed_nodes_whose_controller_is_gone_or_not_heard_revert_by_themselves() {
    let outcome = run(|plan| {
        settings(plan, Subject::Settings);
        plan.trouble = Trouble::ConductorGone;
    });
    assert_eq!((outcome.end.as_str(), outcome.left_changed), ("gone", 0), "{outcome:?}");
    // Cut off for longer than the lease, and heard again: they are changed again.
    let outcome = run(|plan| {
        settings(plan, Subject::Settings);
        plan.trouble = Trouble::LinksSilent;
        plan.lines = plan.lines.replace("silent 3s", "silent 20s");
    });
    assert_eq!((outcome.end.as_str(), outcome.left_changed), ("done", NODES), "{outcome:?}");
}

#[test]
fn settings_that_do_harm_or_cannot_be_read_are_rolled_back_and_a_lost_file_is_left_to_the_operator() {
    for (subject, why) in [(Subject::HarmfulSettings, "of sale"), (Subject::UnusableSettings, "no unit")] {
        let outcome = run(|plan| settings(plan, subject));
        assert_eq!((outcome.end.as_str(), outcome.left_changed), ("back", 0), "{outcome:?}");
        assert!(outcome.said.contains(why), "{outcome:?}");
    }
    let outcome = run(|plan| {
        settings(plan, Subject::HarmfulSettings);
        plan.trouble = Trouble::OldReplaced;
    });
    assert!(outcome.end == "waiting" && outcome.said.contains("another file by now"), "{outcome:?}");
}
