//! Tests the formats of stored data and of the control socket. The first version of these formats wrote the
//! files in `fixtures/`; every later version has to decode them to the contents listed here, and to encode
//! the same bytes.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_rollout::framing::{encode_message, read_message};
use ochrewalk_rollout::messages::{
    CommandMessage, CommandOutcome, FencingTokenMessage, MethodCounters, NodeStatus, Reply, Request,
    Response, ServingCounters, Target, PROTOCOL_VERSION,
};
use ochrewalk_rollout::{
    ChangeMethod, Command, CommandReply, ControllerActions, ControllerNumber, FencingToken, NodeReport,
    Outcome, Phase, RolloutController, RolloutPolicy, RolloutRecord, StagePlan, Verdict, Version,
};
use std::path::{Path, PathBuf};

/// The controller's number in all fixtures.
const CONTROLLER: u64 = 1_764_633_600_000_007;

fn fixture_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(format!("{name}.bin"))
}

fn fixture(name: &str) -> Vec<u8> {
    let file = fixture_file(name);
    std::fs::read(&file).unwrap_or_else(|err| panic!("{}: {err}", file.display()))
}

/// Returns records with the names of their fixtures: one for each phase in which a record is persisted.
fn records() -> Vec<(&'static str, RolloutRecord)> {
    let record = |stage, rollback_reason: Option<&str>, changed_nodes: &[usize], is_finished| RolloutRecord {
        controller: ControllerNumber(CONTROLLER),
        stage,
        rollback_reason: rollback_reason.map(String::from),
        changed_nodes: changed_nodes.to_vec(),
        is_finished,
    };
    let harm = "0.120 more of sale miss the target";
    vec![
        ("record-polling", record(0, None, &[], false)),
        ("record-advancing-first-stage", record(0, None, &[0], false)),
        ("record-first-stage-passed", record(1, None, &[0], false)),
        ("record-advancing-second-stage-one-more", record(1, None, &[0, 2], false)),
        ("record-advancing-second-stage-two-more", record(1, None, &[0, 2, 1], false)),
        ("record-advancing-second-stage-all", record(1, None, &[0, 2, 1, 3], false)),
        ("record-confirming", record(2, None, &[0, 2, 1, 3], false)),
        ("record-done", record(2, None, &[0, 2, 1, 3], true)),
        ("record-rolling-back-by-harm", record(1, Some(harm), &[0, 2, 1], false)),
        ("record-rolling-back-by-node", record(0, Some("node 0: the new program ended"), &[0], false)),
        ("record-rolling-back-by-operator", record(1, Some("the operator said so"), &[0, 2, 1], false)),
        ("record-rolled-back", record(1, Some(harm), &[0, 2, 1], true)),
    ]
}

#[test]
fn a_record_of_each_phase_is_read_and_written_back_with_the_same_bytes() {
    for (name, record) in records() {
        let bytes = fixture(name);
        assert_eq!(RolloutRecord::decode(&bytes), Ok(record.clone()), "{name}");
        assert_eq!(record.encode(), bytes, "{name}");
    }
}

/// Stores the persisted records and the commands that are sent.
#[derive(Default)]
struct Persisted {
    records: Vec<Vec<u8>>,
    commands: Vec<(usize, Command)>,
}

impl ControllerActions for Persisted {
    fn persist(&mut self, record: &RolloutRecord) {
        self.records.push(record.encode());
    }
    fn send_command(&mut self, node: usize, command: Command) {
        self.commands.push((node, command));
    }
    fn begin_analysis(&mut self, _stage: usize) {}
}

impl Persisted {
    /// Answers all commands, including those that are sent in the meantime, until none is left.
    fn execute_all(&mut self, controller: &mut RolloutController) {
        while !self.commands.is_empty() {
            let (node, command) = self.commands.remove(0);
            controller.command_answered(node, command.token, CommandReply::Finished(Outcome::Done), self);
        }
    }

    /// Asserts that the records persisted so far, without repetitions, are these fixtures in this order.
    fn assert_records(&mut self, names: &[&str]) {
        self.records.dedup();
        let fixtures: Vec<Vec<u8>> = names.iter().map(|name| fixture(name)).collect();
        assert_eq!(self.records, fixtures, "{names:?}");
    }
}

fn started_rollout(policy: RolloutPolicy) -> (RolloutController, Persisted) {
    let stage_plan = StagePlan::new(vec![0, 0, 1, 1], vec![1, 4], 2).unwrap();
    let mut controller = RolloutController::new(stage_plan, policy, None, ControllerNumber(CONTROLLER));
    let mut persisted = Persisted::default();
    let report = NodeReport { version: Version::Old, is_healthy: true, highest: FencingToken::default() };
    for node in 0..4 {
        controller.node_reported(node, Some(&report), &mut persisted);
    }
    (controller, persisted)
}

#[test]
fn a_completed_rollout_persists_these_records_in_this_order() {
    let (mut controller, mut persisted) =
        started_rollout(RolloutPolicy { commit_confirmed: true, restart_stuck_nodes: false });
    persisted.execute_all(&mut controller);
    controller.analysis_concluded(Verdict::Pass, &mut persisted);
    persisted.execute_all(&mut controller);
    controller.analysis_concluded(Verdict::Pass, &mut persisted);
    assert_eq!(controller.phase(), &Phase::Confirming);
    persisted.execute_all(&mut controller);
    assert_eq!(controller.phase(), &Phase::Done);
    persisted.assert_records(&[
        "record-polling",
        "record-advancing-first-stage",
        "record-first-stage-passed",
        "record-advancing-second-stage-one-more",
        "record-advancing-second-stage-two-more",
        "record-advancing-second-stage-all",
        "record-confirming",
        "record-done",
    ]);
}

#[test]
fn a_rollout_that_is_rolled_back_persists_these_records_in_this_order() {
    let to_second_stage = [
        "record-polling",
        "record-advancing-first-stage",
        "record-first-stage-passed",
        "record-advancing-second-stage-one-more",
        "record-advancing-second-stage-two-more",
    ];
    let (mut controller, mut persisted) = started_rollout(RolloutPolicy::default());
    persisted.execute_all(&mut controller);
    controller.analysis_concluded(Verdict::Pass, &mut persisted);
    let mut by_operator =
        (controller.clone(), Persisted { records: persisted.records.clone(), commands: vec![] });
    controller.analysis_concluded(Verdict::Harm("0.120 more of sale miss the target".into()), &mut persisted);
    persisted.execute_all(&mut controller);
    assert!(matches!(controller.phase(), Phase::RolledBack { .. }));
    persisted.assert_records(
        &[&to_second_stage[..], &["record-rolling-back-by-harm", "record-rolled-back"]].concat(),
    );

    by_operator.0.roll_back(&mut by_operator.1);
    by_operator.1.assert_records(&[&to_second_stage[..], &["record-rolling-back-by-operator"]].concat());

    let (mut controller, mut persisted) = started_rollout(RolloutPolicy::default());
    let (node, command) = persisted.commands.remove(0);
    let failed = CommandReply::Finished(Outcome::Failed("the new program ended".into()));
    controller.command_answered(node, command.token, failed, &mut persisted);
    persisted.records.truncate(3);
    persisted.assert_records(&[
        "record-polling",
        "record-advancing-first-stage",
        "record-rolling-back-by-node",
    ]);
}

fn program() -> Target {
    Target {
        is_settings: false,
        path: "/usr/local/bin/ochrewalk-2".into(),
        fingerprint: 0x0123_4567_89ab_cdef,
    }
}

fn settings() -> Target {
    Target {
        is_settings: true,
        path: "/etc/ochrewalk/n0.conf.new".into(),
        fingerprint: 0x0000_0042_dead_beef,
    }
}

/// Returns requests with the names of their fixtures.
fn requests() -> Vec<(&'static str, Request)> {
    let command = |version, method, target| {
        let command = Command {
            token: FencingToken { controller: ControllerNumber(CONTROLLER), command: 300 },
            version,
            method,
        };
        Request::command(CommandMessage::new(&command, target, 30_000))
    };
    vec![
        ("request-status-of-an-onlooker", Request::status(ControllerNumber::OBSERVER)),
        ("request-status-of-a-controller", Request::status(ControllerNumber(CONTROLLER))),
        ("request-program-commit-confirmed", command(Version::New, ChangeMethod::CommitConfirmed, program())),
        ("request-program-hand-over", command(Version::New, ChangeMethod::HandOver, program())),
        ("request-program-restart", command(Version::Old, ChangeMethod::Restart, program())),
        (
            "request-settings-commit-confirmed",
            command(Version::New, ChangeMethod::CommitConfirmed, settings()),
        ),
        ("request-settings-hand-over", command(Version::Old, ChangeMethod::HandOver, settings())),
        (
            "request-command-without-target",
            Request::command(CommandMessage { command: 9, ..CommandMessage::default() }),
        ),
        ("request-of-version-1", Request { protocol_version: 1, command: None, controller: 0 }),
    ]
}

fn counters() -> ServingCounters {
    let method =
        |name: &str, calls, missed, failed| MethodCounters { name: name.into(), calls, missed, failed };
    ServingCounters {
        is_healthy: true,
        memory_kb: 40_960,
        methods: vec![method("look", 10_000_000_000, 300, 2), method("sale", 5, 0, 0)],
        settings_fingerprint: 0x0000_0042_dead_beef,
    }
}

/// Returns responses with the names of their fixtures.
fn responses() -> Vec<(&'static str, Response)> {
    let response = |reply| Response { protocol_version: PROTOCOL_VERSION, reply: Some(reply) };
    let highest = FencingTokenMessage { controller: CONTROLLER, command: 300 };
    let full = NodeStatus {
        fingerprint: 0x0123_4567_89ab_cdef,
        path: "/usr/local/bin/ochrewalk-2".into(),
        highest: Some(highest),
        is_healthy: true,
        incarnation: u64::MAX,
        counters: Some(counters()),
        is_unconfirmed: true,
    };
    let bare = NodeStatus { fingerprint: 1, path: "/a".into(), incarnation: 2, ..NodeStatus::default() };
    vec![
        ("reply-status-full", response(Reply::Status(full))),
        ("reply-status-bare", response(Reply::Status(bare))),
        ("reply-finished-done", response(Reply::Finished(Outcome::Done.into()))),
        (
            "reply-finished-failed",
            response(Reply::Finished(Outcome::Failed("the new program ended".into()).into())),
        ),
        ("reply-finished-failed-unnamed", response(Reply::Finished(Outcome::Failed(String::new()).into()))),
        ("reply-stale", response(Reply::Stale(highest))),
        ("reply-rejected", response(Reply::Rejected("no program serves".into()))),
        ("reply-busy", response(Reply::Busy("another upgrade is under way".into()))),
        ("reply-empty-of-version-3", Response { protocol_version: 3, reply: None }),
    ]
}

/// Asserts that the fixture holds exactly this message, and that the message is encoded to the same bytes.
fn assert_framed_as<M>(name: &str, message: &M)
where
    M: prost::Message + Default + PartialEq + std::fmt::Debug,
{
    let bytes = fixture(name);
    let mut stream = &bytes[..];
    assert_eq!(&read_message::<M>(&mut stream).unwrap(), message, "{name}");
    assert!(stream.is_empty(), "{name}: {} bytes are left", stream.len());
    assert_eq!(encode_message(message), bytes, "{name}");
}

#[test]
fn each_request_is_read_and_written_back_with_the_same_bytes() {
    requests().iter().for_each(|(name, request)| assert_framed_as(name, request));
}

#[test]
fn each_reply_is_read_and_written_back_with_the_same_bytes() {
    responses().iter().for_each(|(name, response)| assert_framed_as(name, response));
}

#[test]
fn counters_are_read_and_written_back_with_the_same_bytes() {
    assert_framed_as("counters", &counters());
    assert_framed_as("counters-none", &ServingCounters::default());
}

#[test]
fn the_fields_of_requests_and_replies_have_the_meaning_of_their_bytes() {
    let request: Request = read_message(&mut &fixture("request-settings-commit-confirmed")[..]).unwrap();
    let command = request.command.unwrap();
    assert_eq!((request.protocol_version, request.controller), (2, CONTROLLER));
    assert_eq!(command.token(), FencingToken { controller: ControllerNumber(CONTROLLER), command: 300 });
    assert_eq!((command.lease_ms, command.restart, command.target), (30_000, false, Some(settings())));
    let restart: Request = read_message(&mut &fixture("request-program-restart")[..]).unwrap();
    let command = restart.command.unwrap();
    assert_eq!((command.lease_ms, command.restart, command.target), (0, true, Some(program())));
    let outcome = |name: &str| match read_message::<Response>(&mut &fixture(name)[..]).unwrap().reply {
        Some(Reply::Finished(finished)) => Outcome::from(finished),
        other => panic!("{name}: {other:?}"),
    };
    assert_eq!(outcome("reply-finished-done"), Outcome::Done);
    assert_eq!(outcome("reply-finished-failed"), Outcome::Failed("the new program ended".into()));
    assert_eq!(
        CommandOutcome { failure: "for no reason that it names".into() },
        Outcome::Failed(String::new()).into()
    );
    assert_eq!(
        outcome("reply-finished-failed-unnamed"),
        Outcome::Failed("for no reason that it names".into())
    );
}

#[test]
fn every_fixture_is_read_by_a_test() {
    let mut names: Vec<&str> = vec!["counters", "counters-none"];
    names.extend(records().iter().map(|(name, _)| name));
    names.extend(requests().iter().map(|(name, _)| name));
    names.extend(responses().iter().map(|(name, _)| name));
    names.sort_unstable();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let mut found: Vec<String> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path().file_stem().unwrap().to_string_lossy().into_owned())
        .collect();
    found.sort_unstable();
    assert_eq!(found, names);
}
