//! Tests a notice to drain together with replacements of the running program: whatever is requested, and in whichever order,
//! the notice stays in force and the node ends in time.

mod helper;

use helper::supervised_node::{ajp_look, SupervisedNode};
use helper::*;
use ochrewalk_node::handover::fingerprint::fingerprint_of_file;
use ochrewalk_node::handover::rollout_socket::send_request;
use ochrewalk_rollout::messages::{CommandMessage, CommandOutcome, Reply, Request, Target};
use ochrewalk_rollout::ControllerNumber;
use signal_hook::consts::SIGTERM;
use std::fs::OpenOptions;
use std::io::{ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

const NO_MORE: &str = r#"{"jsonrpc":"2.0","method":"noMore"}"#;
/// The time limit of a rollout's request and of a node's end, far longer than either takes.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The grace after a notice to drain, unless a test sets another.
const GRACE: Duration = Duration::from_millis(300);
/// The time that a notice may take to the program that serves.
const GRACE_SLACK: Duration = Duration::from_millis(50);
/// The time after which an unconfirmed change is reverted.
const LEASE: Duration = Duration::from_millis(1_000);
/// The number of attempts to have a notice meet a hand-over at a certain step.
const MAX_ATTEMPTS: u32 = 10;

/// Starts a node that runs nothing which arrives after the notice to drain.
fn start_without_grace(failure: &str) -> (SupervisedNode, Peer) {
    let without_grace =
        |config: &mut serde_json::Value| config["settings"]["rules"]["drain-grace-ns"] = 0.into();
    SupervisedNode::up_with(without_grace, failure)
}

/// Sends RPC 1 and waits until its run has started.
fn start_run(node: &SupervisedNode, executor: &mut Peer) -> Peer {
    let mut json = node.stand.caller();
    json.send_line(&rpc(1, "look"));
    executor.read_until(&exec(1, "look"));
    json
}

/// Completes the run of RPC 1, and expects its answer and the end of the node.
fn expect_orderly_end(mut node: SupervisedNode, mut executor: Peer, mut json: Peer) {
    executor.send_line(&exit(1, 1, "complete"));
    assert!(json.read_line().contains(r#""id":1,"result""#));
    assert!(node.stand.wait().success());
}

/// Returns an RPC that arrives after the notice to drain, however coarse the clock is.
fn late_rpc(number: u64) -> String {
    rpc_with(number, "look", unix_ms() + 60_000, "")
}

fn is_rejected(line: &str, number: u64) -> bool {
    line.contains(&format!(r#""id":{number},"error":{{"code":-32011"#))
}

fn signal(name: &str, pid: u32) {
    assert!(Command::new("kill").args([name, &pid.to_string()]).status().unwrap().success());
}

fn is_stopped(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    status.lines().any(|line| line.starts_with("State:\tT"))
}

/// Whether SIGTERM is pending for a stopped process.
fn has_pending_notice(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let pending = status.lines().find_map(|line| line.strip_prefix("ShdPnd:")).unwrap();
    u64::from_str_radix(pending.trim(), 16).unwrap() & 1 << (SIGTERM - 1) != 0
}

/// Waits for the end of a process, and kills it if it has not ended in time.
fn wait_or_kill(mut process: Child) -> ExitStatus {
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
        if let Some(status) = process.try_wait().unwrap() {
            return status;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    process.kill().unwrap();
    process.wait().unwrap()
}

/// Returns the command to use these settings, by a restart of the program or by a hand-over. With a lease the change is
/// reverted unless it is confirmed within that time.
fn change_to(operators: &Path, restart: bool, lease: Duration) -> Request {
    let target = Target {
        is_settings: true,
        path: operators.display().to_string(),
        fingerprint: fingerprint_of_file(operators).unwrap(),
    };
    let (controller, command) = (1, 1);
    let message = CommandMessage {
        controller,
        command,
        target: Some(target),
        lease_ms: lease.as_millis() as u64,
        restart,
    };
    Request::command(message)
}

/// Sends a request of a rollout, and returns the reply.
fn rollout_reply(control: &Path, request: &Request) -> Reply {
    send_request(control, request, TIMEOUT).unwrap().reply.unwrap()
}

/// Guards against an upgrade that is granted while the node drains: the new program knew nothing of the notice, ran what came
/// later, and was killed with requests unanswered.
#[test]
fn an_upgrade_requested_during_a_drain_is_refused_and_the_drain_goes_on() {
    let (mut node, mut executor) = start_without_grace("");
    let (mut json, mut ajp) = (node.stand.caller(), node.ajp());
    json.send_line(&rpc(1, "look"));
    executor.read_until(&exec(1, "look"));
    ajp.send(&ajp_look(2).whole()).unwrap();
    executor.read_until(&exec(2, "look"));
    let serving = node.children();
    node.stand.terminate();
    assert_eq!(json.read_line(), NO_MORE);
    for _ in 0..3 {
        assert_eq!(node.upgrade(), "refused: the node is draining");
    }
    assert_eq!(node.children(), serving, "no other program was started");
    assert!(is_rejected(&json.request(&late_rpc(3)), 3));
    executor.send_line(&exit(1, 1, "complete"));
    executor.send_line(&exit(2, 2, "complete"));
    assert!(json.read_line().contains(r#""id":1,"result""#));
    assert_eq!(ajp.answer().unwrap().text(), "RES");
    assert_eq!(executor.read_line(), "", "a run was started after the notice");
    assert!(node.stand.wait().success());
}

/// Guards against a restart that is cancelled by the notice to drain, after which the node grants replacements again.
#[test]
fn nothing_replaces_the_program_once_the_notice_has_cancelled_a_restart() {
    let (node, mut executor) = start_without_grace("");
    let mut json = start_run(&node, &mut executor);
    let serving = node.children();
    let settings = file(&(node.file_texts().1 + "# changed\n"));
    let restart = change_to(&settings, true, Duration::ZERO);
    let (control, request) = (node.control.clone(), restart.clone());
    let requested = std::thread::spawn(move || rollout_reply(&control, &request));
    // The restart has begun once the program drains; the notice to the node comes then.
    assert_eq!(json.read_line(), NO_MORE);
    node.stand.terminate();
    let cancelled = Reply::Finished(CommandOutcome { failure: "the node is draining".into() });
    assert_eq!(requested.join().unwrap(), cancelled);
    assert_eq!(node.upgrade(), "refused: the node is draining");
    let mut later = restart;
    later.command.as_mut().unwrap().command = 2;
    assert_eq!(rollout_reply(&node.control, &later), Reply::Busy("the node is draining".into()));
    assert_eq!(node.children(), serving, "no other program was started");
    assert!(is_rejected(&json.request(&late_rpc(2)), 2));
    expect_orderly_end(node, executor, json);
    std::fs::remove_file(settings).unwrap();
}

/// Guards against a hand-over by a program that drains, where its supervisor does not know of the notice: it is of a version
/// that keeps no record of it, or the signal reached the program alone.
#[test]
fn a_program_that_drains_hands_over_to_none() {
    let (node, mut executor) = start_without_grace("");
    let mut json = start_run(&node, &mut executor);
    let serving = node.children();
    signal("-TERM", serving[0]);
    assert_eq!(json.read_line(), NO_MORE);
    for _ in 0..2 {
        assert_eq!(node.upgrade(), "the running program is draining");
    }
    assert_eq!(node.children(), serving, "no other program is left");
    assert!(is_rejected(&json.request(&late_rpc(2)), 2));
    expect_orderly_end(node, executor, json);
}

/// Guards against a notice that is lost where it comes before the supervisor serves: the node served on.
#[test]
fn a_notice_that_comes_while_the_files_are_read_ends_the_node() {
    let (mut node, _executor) = SupervisedNode::up("");
    let (config_text, operators_text) = node.file_texts();
    // Its addresses are free once it has ended.
    node.stand.terminate();
    assert!(node.stand.wait().success());
    let (config, operators) = (file("").with_extension("fifo"), file(&operators_text));
    assert!(Command::new("mkfifo").arg(&config).status().unwrap().success());
    let arguments =
        ["serve", "--config", config.to_str().unwrap(), "--operators", operators.to_str().unwrap()];
    let started = program(&arguments).spawn().unwrap();
    // Opens only once the node has opened its file, which it reads after it has registered for signals.
    let mut writer = OpenOptions::new().write(true).open(&config).unwrap();
    std::fs::rename(file(&config_text), &config).unwrap();
    signal("-TERM", started.id());
    writer.write_all(config_text.as_bytes()).unwrap();
    drop(writer);
    let status = wait_or_kill(started);
    assert!(status.success(), "the node did not end by itself in order: {status}");
    std::fs::remove_file(config).unwrap();
    std::fs::remove_file(operators).unwrap();
}

/// Guards against a grace that begins once the program acts on the notice: what came later than the grace after the notice was
/// run, and the node ended too late. Here the program gets the notice while it waits for a successor that hangs.
#[test]
fn the_grace_counts_from_the_notice_and_not_from_the_end_of_a_hand_over() {
    for _ in 0..MAX_ATTEMPTS {
        let (mut node, mut executor) = SupervisedNode::up("hang:commit");
        let mut json = node.stand.caller();
        assert!(json.request(HEARTBEAT).contains("pass"));
        let upgrade = node.begin_upgrade();
        while node.children().len() < 2 {
            std::thread::sleep(Duration::from_millis(1));
        }
        // In most cases the successor hangs by then, with the complete state.
        std::thread::sleep(GRACE);
        let notified = Instant::now();
        node.stand.terminate();
        assert_eq!(json.read_line(), NO_MORE);
        let is_grace_over = notified.elapsed() > GRACE + GRACE_SLACK;
        json.send_line(&rpc(1, "look"));
        let answers = is_grace_over.then(|| json.read_line());
        std::thread::spawn(move || executor.read_to_end());
        assert_ne!(upgrade.join().unwrap(), "handed over");
        assert!(node.stand.wait().success());
        if let Some(answer) = answers {
            assert!(is_rejected(&answer, 1), "{answer}");
            return;
        }
    }
    panic!("the hand-over was over within the grace in all {MAX_ATTEMPTS} attempts");
}

/// A notice that the successor gets before its first act is in force from the start.
#[test]
fn a_successor_that_is_notified_before_its_first_act_drains() {
    let (mut node, mut executor) = start_without_grace("stop:done");
    let (mut json, mut ajp) = (node.stand.caller(), node.ajp());
    json.send_line(&rpc(1, "look"));
    executor.read_until(&exec(1, "look"));
    ajp.send(&ajp_look(2).whole()).unwrap();
    executor.read_until(&exec(2, "look"));
    let predecessor = node.children();
    assert_eq!(node.upgrade(), "handed over");
    let successor = loop {
        match node.children().as_slice() {
            [pid] if predecessor != [*pid] && is_stopped(*pid) => break *pid,
            _ => std::thread::sleep(Duration::from_millis(1)),
        }
    };
    node.stand.terminate();
    // The supervisor has forwarded the notice, so that it handles the request after it.
    while !has_pending_notice(successor) {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(node.upgrade(), "refused: the node is draining");
    signal("-CONT", successor);
    assert_eq!(json.read_line(), NO_MORE);
    assert_eq!(node.upgrade(), "refused: the node is draining");
    assert!(is_rejected(&json.request(&late_rpc(3)), 3));
    executor.send_line(&exit(1, 1, "complete"));
    executor.send_line(&exit(2, 2, "complete"));
    assert!(json.read_line().contains(r#""id":1,"result""#));
    assert_eq!(ajp.answer().unwrap().text(), "RES");
    assert!(node.stand.wait().success());
}

/// Guards against a client of the control socket that sends nothing, or half of a request: the notice waited until the node had
/// given that client up, 2 s for each.
#[test]
fn a_silent_client_of_the_control_socket_does_not_delay_the_notice() {
    let (node, mut executor) = start_without_grace("");
    let mut json = start_run(&node, &mut executor);
    let mut silent: Vec<UnixStream> = ["", "upgr", "rollout\n", "rollout\n\u{9}"]
        .into_iter()
        .map(|half_request| {
            let mut client = UnixStream::connect(&node.control).unwrap();
            client.write_all(half_request.as_bytes()).unwrap();
            client.set_nonblocking(true).unwrap();
            client
        })
        .collect();
    // Another client is served meanwhile, after all of those have been accepted.
    assert!(matches!(
        rollout_reply(&node.control, &Request::status(ControllerNumber::OBSERVER)),
        Reply::Status(_)
    ));
    node.stand.terminate();
    assert_eq!(json.read_line(), NO_MORE);
    let is_open = |client: &mut UnixStream| matches!(client.read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    assert!(silent.iter_mut().all(is_open), "the notice waited until a silent client was given up");
    expect_orderly_end(node, executor, json);
}

/// Guards against the revert of an unconfirmed change that takes the place of a program that drains.
#[test]
fn an_unconfirmed_change_is_not_reverted_once_the_node_drains() {
    let change = |config: &mut serde_json::Value| {
        config["stop_ms"] = 3_000.into();
        config["settings"]["rules"]["drain-grace-ns"] = 0.into();
    };
    let (node, mut executor) = SupervisedNode::up_with(change, "");
    let mut json = start_run(&node, &mut executor);
    let settings = file(&(node.file_texts().1 + "# changed\n"));
    let done = rollout_reply(&node.control, &change_to(&settings, false, LEASE));
    assert_eq!(done, Reply::Finished(CommandOutcome::default()));
    // The outcome is reported before the predecessor has ended.
    while node.children().len() > 1 {
        std::thread::sleep(Duration::from_millis(1));
    }
    node.stand.terminate();
    assert_eq!(json.read_line(), NO_MORE);
    let serving = node.children();
    // The revert is due now.
    std::thread::sleep(LEASE + GRACE_SLACK);
    assert_eq!(node.children(), serving, "no other program was started");
    assert!(is_rejected(&json.request(&late_rpc(2)), 2));
    expect_orderly_end(node, executor, json);
    std::fs::remove_file(settings).unwrap();
}
