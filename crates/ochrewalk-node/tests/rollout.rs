//! Tests rollouts of node processes by a controller process, with injected faults: every call has one answer, no RPC runs
//! twice that must not, and the rollout has the expected end. The tests assert counts and rules, and no times.

use ochrewalk_lab::changes::{copy_with_other_contents, play, Fault, Outcome, Plan, Subject};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

const OLD: &str = env!("CARGO_BIN_EXE_ochrewalk");
const NODES: usize = 8;

/// Creates a copy of the program with another fingerprint, once for all tests.
fn new_program() -> &'static Path {
    static NEW: OnceLock<PathBuf> = OnceLock::new();
    NEW.get_or_init(|| {
        let to = Path::new(env!("CARGO_TARGET_TMPDIR")).join("another");
        copy_with_other_contents(Path::new(OLD), &to).unwrap();
        to
    })
}

/// Builds the example with injected faults, which `cargo test --test` alone does not build.
fn flawed_program() -> &'static Path {
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

/// Runs a rollout, and returns its outcome; the caller asserts its end.
fn run(change: impl FnOnce(&mut Plan)) -> Outcome {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let mut plan = Plan {
        nodes: NODES,
        rate: 30.0,
        seed: 7,
        subject: Subject::Program,
        flaw: String::new(),
        fault: Fault::None,
        plan_lines: "stage 1\nstage 50%\nmost-out 2\nmoment 250ms\nleast 1s\nmost 40s\nharm 0.5\nsilent 3s\ncold 500ms\n\
                patience 15s\n"
            .into(),
        time_limit: Duration::from_secs(60),
        log: None,
        instance: NEXT.fetch_add(1, Ordering::Relaxed),
    };
    change(&mut plan);
    let program = if plan.flaw.is_empty() { new_program() } else { flawed_program() };
    let outcome = play(Path::new(OLD), program, &plan).unwrap();
    println!("{} {:?} {:?}: {:.1} s", plan.flaw, plan.subject, plan.fault, outcome.seconds);
    assert_eq!(outcome.broken, Vec::<String>::new(), "{plan:?}");
    assert!(outcome.calls > 100 && outcome.max_open_commands <= 2, "{outcome:?}");
    outcome
}

fn settings(plan: &mut Plan, subject: Subject) {
    plan.subject = subject;
    plan.plan_lines += "trial 2s\n";
}

#[test]
fn a_rollout_without_harm_reaches_all_nodes_although_its_controller_is_killed_repeatedly() {
    let outcome = run(|plan| plan.fault = Fault::ControllerKilled);
    assert_eq!((outcome.end.as_str(), outcome.left_changed), ("done", NODES), "{outcome:?}");
    assert!(outcome.kills > 3, "{outcome:?}");
}

#[test]
fn the_later_of_two_controllers_completes_a_rollout_and_broken_links_lose_nothing() {
    for fault in [Fault::TwoControllers, Fault::LinksBreak] {
        let outcome = run(|plan| plan.fault = fault);
        assert_eq!((outcome.end.as_str(), outcome.left_changed), ("done", NODES), "{outcome:?}");
    }
}

#[test]
fn a_rollout_of_a_flawed_program_is_stopped_and_rolled_back() {
    for (flaw, max_changed, reason) in [
        ("crash-at-start", 0.0, "the new program ended"),
        ("crash-on-hand-over", 0.0, "the new program ended"),
        ("hang-on-hand-over", 0.0, "took too long"),
        ("crash-later", 0.25, "restarts of changed nodes without a command"),
        // The worker thread is blocked permanently: the node can neither hand over nor answer, and is restarted.
        ("deaf", 0.25, "hardly any calls"),
    ] {
        let outcome = run(|plan| plan.flaw = flaw.into());
        assert_eq!((outcome.end.as_str(), outcome.left_changed), ("back", 0), "{flaw}: {outcome:?}");
        assert!(outcome.output.contains(reason) && outcome.changed <= max_changed, "{flaw}: {outcome:?}");
    }
}

#[test]
fn a_change_of_settings_is_done_once_all_nodes_are_confirmed() {
    let outcome = run(|plan| settings(plan, Subject::Settings));
    assert_eq!((outcome.end.as_str(), outcome.left_changed), ("done", NODES), "{outcome:?}");
}

#[test]
fn unconfirmed_nodes_whose_controller_has_ended_or_is_unreachable_revert_by_themselves() {
    let outcome = run(|plan| {
        settings(plan, Subject::Settings);
        plan.fault = Fault::ControllerLost;
    });
    assert_eq!((outcome.end.as_str(), outcome.left_changed), ("gone", 0), "{outcome:?}");
    // Nodes that are unreachable for longer than the lease revert, and are changed again once they are reachable.
    let outcome = run(|plan| {
        settings(plan, Subject::Settings);
        plan.fault = Fault::LinksSilent;
        plan.plan_lines = plan.plan_lines.replace("silent 3s", "silent 20s");
    });
    assert_eq!((outcome.end.as_str(), outcome.left_changed), ("done", NODES), "{outcome:?}");
}

#[test]
fn harmful_or_unreadable_settings_are_rolled_back_and_a_replaced_file_is_left_to_the_operator() {
    for (subject, reason) in [(Subject::HarmfulSettings, "of sale"), (Subject::UnusableSettings, "no unit")] {
        let outcome = run(|plan| settings(plan, subject));
        assert_eq!((outcome.end.as_str(), outcome.left_changed), ("back", 0), "{outcome:?}");
        assert!(outcome.output.contains(reason), "{outcome:?}");
    }
    let outcome = run(|plan| {
        settings(plan, Subject::HarmfulSettings);
        plan.fault = Fault::OldReplaced;
    });
    assert!(outcome.end == "waiting" && outcome.output.contains("another file by now"), "{outcome:?}");
}
