//! Tests a supervisor's side of a rollout: the commands that it accepts, the status of a node, and the revert of a change.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_node::handover::counter_report::CounterReport;
use ochrewalk_node::handover::fingerprint::fingerprint_of_file;
use ochrewalk_node::handover::rollout_agent::{AcceptedCommand, AgentAction, DueRevert, RolloutAgent};
use ochrewalk_node::handover::serving_child::{ChildSpec, ServingChild};
use ochrewalk_node::handover::supervisor::NotReplaceable;
use ochrewalk_rollout::messages::{
    CommandMessage, CommandOutcome, FencingTokenMessage, MethodCounters, NodeStatus, Reply, Request,
    ServingCounters, Target, PROTOCOL_VERSION,
};
use ochrewalk_rollout::{ControllerNumber, Outcome};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Writes a file with this content, separate for each test.
fn file(name: &str, content: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("rollout-agent-{name}"));
    std::fs::write(&file, content).unwrap();
    file
}

/// Returns this process as a child that serves.
fn child() -> ServingChild {
    let spec =
        ChildSpec { program: std::env::current_exe().unwrap(), operators: Some("/etc/old.conf".into()) };
    ServingChild::of(spec, std::process::id())
}

fn counters(calls: u64, settings_fingerprint: u64) -> ServingCounters {
    let methods = vec![MethodCounters { name: "look".into(), calls, missed: 2, failed: 1 }];
    ServingCounters { is_healthy: true, memory_kb: 9, methods, settings_fingerprint }
}

fn target(path: &Path) -> Target {
    let fingerprint = fingerprint_of_file(path).unwrap();
    Target { is_settings: false, path: path.display().to_string(), fingerprint }
}

fn command(controller: u64, command: u64, target: Option<Target>) -> CommandMessage {
    CommandMessage { controller, command, target, ..CommandMessage::default() }
}

fn reply(action: AgentAction) -> Reply {
    match action {
        AgentAction::Reply(reply) => reply,
        AgentAction::ReplaceChild(spec, _) => panic!("{spec:?} is to run"),
    }
}

fn replacement(action: AgentAction) -> (ChildSpec, AcceptedCommand) {
    match action {
        AgentAction::ReplaceChild(spec, accepted) => (spec, accepted),
        AgentAction::Reply(reply) => panic!("{reply:?}"),
    }
}

fn status(agent: &mut RolloutAgent, child: &ServingChild) -> NodeStatus {
    match reply(agent.handle_request(&Request::status(ControllerNumber::OBSERVER), Some(child), Ok(()))) {
        Reply::Status(status) => status,
        other => panic!("{other:?}"),
    }
}

fn failure(reply: Reply) -> String {
    match reply {
        Reply::Finished(CommandOutcome { failure }) => failure,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_status_has_the_child_and_its_counters_with_those_of_previous_children() {
    let (mut agent, mut child) = (RolloutAgent::default(), child());
    let silent = status(&mut agent, &child);
    assert_eq!((silent.is_healthy, silent.counters), (false, None), "nothing was reported yet");
    child.take(CounterReport::All(counters(5, 7)));
    let reported = status(&mut agent, &child);
    assert!(reported.is_healthy && !reported.is_unconfirmed);
    assert_eq!(reported.path, std::env::current_exe().unwrap().display().to_string());
    assert_eq!(reported.fingerprint, fingerprint_of_file(&std::env::current_exe().unwrap()).unwrap());
    assert_eq!((reported.counters, reported.incarnation), (Some(counters(5, 7)), silent.incarnation));
    let busy = reply(agent.handle_request(
        &Request::status(ControllerNumber::OBSERVER),
        Some(&child),
        Err(NotReplaceable::InProgress),
    ));
    assert!(matches!(busy, Reply::Status(status) if !status.is_healthy), "while the child is being replaced");
    agent.child_replaced(&child);
    let mut next = self::child();
    next.take(CounterReport::All(counters(3, 7)));
    let sums = status(&mut agent, &next).counters.unwrap();
    assert_eq!((sums.methods[0].calls, sums.methods[0].missed, sums.methods[0].failed), (8, 4, 2));
    let none = reply(agent.handle_request(&Request::status(ControllerNumber::OBSERVER), None, Ok(())));
    assert_eq!(none, Reply::Rejected("no program serves".into()));
}

#[test]
fn requests_of_another_protocol_version_are_rejected_with_the_supported_one() {
    let request =
        Request { protocol_version: PROTOCOL_VERSION + 1, ..Request::status(ControllerNumber::OBSERVER) };
    let reply = reply(RolloutAgent::default().handle_request(&request, Some(&child()), Ok(())));
    assert_eq!(reply, Reply::Rejected("messages of version 2 are known here".into()));
}

#[test]
fn a_command_is_executed_once_and_a_stale_or_a_busy_one_not_at_all() {
    let (mut agent, child, new) = (RolloutAgent::default(), child(), file("acts", "new"));
    let request = |number| Request::command(command(7, number, Some(target(&new))));
    let busy = reply(agent.handle_request(&request(1), Some(&child), Err(NotReplaceable::InProgress)));
    assert_eq!(busy, Reply::Busy("another upgrade is under way".into()));
    let draining = reply(agent.handle_request(&request(1), Some(&child), Err(NotReplaceable::Draining)));
    assert_eq!(draining, Reply::Busy("the node is draining".into()));
    let (spec, accepted) = replacement(agent.handle_request(&request(1), Some(&child), Ok(())));
    assert_eq!(spec, ChildSpec { program: new.clone(), operators: Some("/etc/old.conf".into()) });
    assert!(!accepted.restart);
    let again = reply(agent.handle_request(&request(1), Some(&child), Err(NotReplaceable::InProgress)));
    assert_eq!(again, Reply::Busy("it is being carried out".into()));
    let done = agent.command_finished(accepted, Some(child.identity()), Outcome::Done);
    assert_eq!(done, Reply::Finished(CommandOutcome::default()));
    assert_eq!(reply(agent.handle_request(&request(1), Some(&child), Ok(()))), done, "the same reply");
    let stale = reply(agent.handle_request(&request(0), Some(&child), Ok(())));
    assert_eq!(stale, Reply::Stale(FencingTokenMessage { controller: 7, command: 1 }));
    // A poll of a later controller makes the commands of earlier ones stale.
    reply(agent.handle_request(&Request::status(ControllerNumber(8)), Some(&child), Ok(())));
    let replaced = reply(agent.handle_request(&request(9), Some(&child), Ok(())));
    assert_eq!(replaced, Reply::Stale(FencingTokenMessage { controller: 8, command: 0 }));
    assert_eq!(agent.time_to_next_action(), None, "a confirmed change is never reverted");
}

#[test]
fn a_command_without_a_usable_target_fails_and_one_for_a_running_target_is_done() {
    let (mut agent, mut child, new) = (RolloutAgent::default(), child(), file("unusable", "new"));
    let mut finished = |number, target| {
        let request = Request::command(command(7, number, target));
        failure(reply(agent.handle_request(&request, Some(&child), Ok(()))))
    };
    assert_eq!(finished(1, None), "nothing is wanted, or no program serves");
    let other = Target { fingerprint: 1, ..target(&new) };
    assert_eq!(finished(2, Some(other)), format!("{} is another file by now", new.display()));
    let missing = Target { path: "/nonexistent/program".into(), ..target(&new) };
    assert!(finished(3, Some(missing)).starts_with("/nonexistent/program: "));
    assert_eq!(finished(4, Some(target(&std::env::current_exe().unwrap()))), "", "it runs already");
    child.take(CounterReport::All(counters(5, 7)));
    let settings = Target { is_settings: true, path: "/etc/old.conf".into(), fingerprint: 7 };
    let request = Request::command(command(7, 5, Some(settings)));
    assert_eq!(failure(reply(agent.handle_request(&request, Some(&child), Ok(())))), "");
}

#[test]
fn settings_are_changed_with_the_program_that_runs() {
    let (mut agent, child, new) = (RolloutAgent::default(), child(), file("settings", "new settings"));
    let settings = Target { is_settings: true, ..target(&new) };
    let message = CommandMessage { restart: true, ..command(7, 1, Some(settings)) };
    let (spec, accepted) =
        replacement(agent.handle_request(&Request::command(message), Some(&child), Ok(())));
    assert_eq!(spec, ChildSpec { program: std::env::current_exe().unwrap(), operators: Some(new) });
    assert!(accepted.restart);
}

/// Returns an agent whose child was replaced by an unconfirmed change, with a lease that has expired.
fn unconfirmed(child: &ServingChild, new: &Path) -> RolloutAgent {
    let mut agent = RolloutAgent::default();
    let message = CommandMessage { lease_ms: 1, ..command(7, 1, Some(target(new))) };
    let (_, accepted) = replacement(agent.handle_request(&Request::command(message), Some(child), Ok(())));
    agent.command_finished(accepted, Some(child.identity()), Outcome::Done);
    std::thread::sleep(Duration::from_millis(5));
    agent
}

#[test]
fn an_unconfirmed_change_is_reverted_to_the_previous_child() {
    let (child, new) = (child(), file("reverted", "new"));
    let mut agent = unconfirmed(&child, &new);
    assert!(status(&mut agent, &child).is_unconfirmed);
    assert_eq!(agent.time_to_next_action(), Some(Duration::ZERO));
    assert_eq!(agent.due_revert(), Some(DueRevert::HandOver(child.spec.clone())));
    assert_eq!((agent.due_revert(), agent.time_to_next_action()), (None, None), "it is under way");
    agent.revert_failed();
    let pause = agent.time_to_next_action().unwrap();
    assert!(pause <= Duration::from_secs(1), "{pause:?}");
    agent.revert_succeeded();
    assert!(!status(&mut agent, &child).is_unconfirmed);
    assert_eq!((agent.due_revert(), agent.time_to_next_action()), (None, None));
}

#[test]
fn a_confirmed_change_stays() {
    let (child, new) = (child(), file("confirmed", "new"));
    let mut agent = unconfirmed(&child, &new);
    let running = ServingChild::of(child.spec.clone(), std::process::id());
    let confirm = Request::command(command(7, 2, Some(target(&std::env::current_exe().unwrap()))));
    assert_eq!(failure(reply(agent.handle_request(&confirm, Some(&running), Ok(())))), "");
    assert!(!status(&mut agent, &child).is_unconfirmed);
    assert_eq!((agent.due_revert(), agent.time_to_next_action()), (None, None));
    // An upgrade by an operator confirms the change, too.
    let mut agent = unconfirmed(&child, &new);
    agent.confirm();
    assert_eq!((agent.due_revert(), agent.time_to_next_action()), (None, None));
}

#[test]
fn a_fingerprint_is_the_length_and_the_crc_of_a_files_content() {
    assert_eq!(fingerprint_of_file(&file("fingerprint", "123456789")).unwrap(), 9 << 32 | 0xcbf4_3926);
    assert!(fingerprint_of_file(Path::new("/nonexistent")).is_err());
}
