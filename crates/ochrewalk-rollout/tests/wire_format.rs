//! The bytes of what is stored and of what goes over a control socket: each file in `fixtures/` was written by the first
//! version of these formats. Every later version has to read it as the content named here, and to write the same bytes.

use ochrewalk_rollout::messages::{
    read, read_kept, write, write_kept, CommandMessage, CommandOutcome, FencingTokenMessage, MethodCounters,
    NodeStatus, Reply, Request, Response, ServingCounters, Target, PROTOCOL_VERSION,
};
use ochrewalk_rollout::{
    ChangeMethod, Command, CommandReply, ControllerActions, FencingToken, NodeReport, Outcome, Phase,
    RolloutController, RolloutPolicy, RolloutRecord, StagePlan, Variant, Verdict,
};
use std::path::{Path, PathBuf};

fn fixture_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(format!("{name}.bin"))
}

fn fixture(name: &str) -> Vec<u8> {
    let file = fixture_file(name);
    std::fs::read(&file).unwrap_or_else(|err| panic!("{}: {err}", file.display()))
}

/// Records, by the name of their fixture: one for each phase in which a record is written.
fn records() -> Vec<(&'static str, RolloutRecord)> {
    let kept = |stage, back: Option<&str>, changed: &[usize], is_over| RolloutRecord {
        conductor: 1_764_633_600_000_007,
        stage,
        back: back.map(String::from),
        changed: changed.to_vec(),
        is_over,
    };
    let harm = "0.120 more of sale miss the target";
    vec![
        ("record-asking", kept(0, None, &[], false)),
        ("record-forward-first-stage", kept(0, None, &[0], false)),
        ("record-first-stage-good", kept(1, None, &[0], false)),
        ("record-forward-second-stage-one-more", kept(1, None, &[0, 2], false)),
        ("record-forward-second-stage-two-more", kept(1, None, &[0, 2, 1], false)),
        ("record-forward-second-stage-all", kept(1, None, &[0, 2, 1, 3], false)),
        ("record-confirming", kept(2, None, &[0, 2, 1, 3], false)),
        ("record-done", kept(2, None, &[0, 2, 1, 3], true)),
        ("record-back-by-harm", kept(1, Some(harm), &[0, 2, 1], false)),
        ("record-back-by-node", kept(0, Some("node 0: the new program ended"), &[0], false)),
        ("record-back-by-operator", kept(1, Some("the operator said so"), &[0, 2, 1], false)),
        ("record-is-back", kept(1, Some(harm), &[0, 2, 1], true)),
    ]
}

#[test]
fn a_record_of_each_phase_is_read_and_written_back_with_the_same_bytes() {
    for (name, kept) in records() {
        let bytes = fixture(name);
        assert_eq!(read_kept(&bytes), Ok(kept.clone()), "{name}");
        assert_eq!(write_kept(&kept), bytes, "{name}");
    }
}

/// Writes down what is persisted, and the commands that are sent.
#[derive(Default)]
struct Persisted {
    records: Vec<Vec<u8>>,
    orders: Vec<(usize, Command)>,
}

impl ControllerActions for Persisted {
    fn keep(&mut self, kept: &RolloutRecord) {
        self.records.push(write_kept(kept));
    }
    fn order(&mut self, node: usize, order: Command) {
        self.orders.push((node, order));
    }
    fn judge(&mut self, _stage: usize) {}
}

impl Persisted {
    /// Answers all commands that were sent, also those sent meanwhile, until none is left.
    fn carry_out_all(&mut self, conductor: &mut RolloutController) {
        while !self.orders.is_empty() {
            let (node, order) = self.orders.remove(0);
            conductor.answered(node, order.mark, CommandReply::Finished(Outcome::Done), self);
        }
    }

    /// Whether the records persisted so far, each once, are these fixtures in this order.
    fn assert_are(&mut self, names: &[&str]) {
        self.records.dedup();
        let fixtures: Vec<Vec<u8>> = names.iter().map(|name| fixture(name)).collect();
        assert_eq!(self.records, fixtures, "{names:?}");
    }
}

fn begun(habits: RolloutPolicy) -> (RolloutController, Persisted) {
    let course = StagePlan::new(vec![0, 0, 1, 1], vec![1, 4], 2).unwrap();
    let mut conductor = RolloutController::new(course, habits, None, 1_764_633_600_000_007);
    let mut persisted = Persisted::default();
    let report = NodeReport { program: Variant::Old, is_well: true, highest: FencingToken::default() };
    for node in 0..4 {
        conductor.report(node, Some(&report), &mut persisted);
    }
    (conductor, persisted)
}

#[test]
fn a_rollout_to_its_end_persists_these_records_in_this_order() {
    let (mut conductor, mut persisted) = begun(RolloutPolicy { on_trial: true, begins_anew: false });
    persisted.carry_out_all(&mut conductor);
    conductor.verdict(Verdict::Pass, &mut persisted);
    persisted.carry_out_all(&mut conductor);
    conductor.verdict(Verdict::Pass, &mut persisted);
    assert_eq!(conductor.phase(), &Phase::Confirming);
    persisted.carry_out_all(&mut conductor);
    assert_eq!(conductor.phase(), &Phase::Done);
    persisted.assert_are(&[
        "record-asking",
        "record-forward-first-stage",
        "record-first-stage-good",
        "record-forward-second-stage-one-more",
        "record-forward-second-stage-two-more",
        "record-forward-second-stage-all",
        "record-confirming",
        "record-done",
    ]);
}

#[test]
fn a_rollout_that_goes_back_persists_these_records_in_this_order() {
    let to_second_stage = [
        "record-asking",
        "record-forward-first-stage",
        "record-first-stage-good",
        "record-forward-second-stage-one-more",
        "record-forward-second-stage-two-more",
    ];
    let (mut conductor, mut persisted) = begun(RolloutPolicy::default());
    persisted.carry_out_all(&mut conductor);
    conductor.verdict(Verdict::Pass, &mut persisted);
    let mut by_operator =
        (conductor.clone(), Persisted { records: persisted.records.clone(), orders: vec![] });
    conductor.verdict(Verdict::Harm("0.120 more of sale miss the target".into()), &mut persisted);
    persisted.carry_out_all(&mut conductor);
    assert!(matches!(conductor.phase(), Phase::RolledBack { .. }));
    persisted.assert_are(&[&to_second_stage[..], &["record-back-by-harm", "record-is-back"]].concat());

    by_operator.0.back(&mut by_operator.1);
    by_operator.1.assert_are(&[&to_second_stage[..], &["record-back-by-operator"]].concat());

    let (mut conductor, mut persisted) = begun(RolloutPolicy::default());
    let (node, order) = persisted.orders.remove(0);
    let failed = CommandReply::Finished(Outcome::Failed("the new program ended".into()));
    conductor.answered(node, order.mark, failed, &mut persisted);
    persisted.records.truncate(3);
    persisted.assert_are(&["record-asking", "record-forward-first-stage", "record-back-by-node"]);
}

fn program() -> Target {
    Target { is_settings: false, path: "/usr/local/bin/ochrewalk-2".into(), print: 0x0123_4567_89ab_cdef }
}

fn settings() -> Target {
    Target { is_settings: true, path: "/etc/ochrewalk/n0.conf.new".into(), print: 0x0000_0042_dead_beef }
}

/// Requests, by the name of their fixture.
fn requests() -> Vec<(&'static str, Request)> {
    let order = |to, how, wanted| {
        let order = Command { mark: FencingToken { conductor: 1_764_633_600_000_007, order: 300 }, to, how };
        Request::order(CommandMessage::new(&order, wanted, 30_000))
    };
    vec![
        ("request-status-of-an-onlooker", Request::stands(0)),
        ("request-status-of-a-conductor", Request::stands(1_764_633_600_000_007)),
        ("request-program-on-trial", order(Variant::New, ChangeMethod::CommitConfirmed, program())),
        ("request-program-for-good", order(Variant::New, ChangeMethod::HandOver, program())),
        ("request-program-anew", order(Variant::Old, ChangeMethod::Restart, program())),
        ("request-settings-on-trial", order(Variant::New, ChangeMethod::CommitConfirmed, settings())),
        ("request-settings-for-good", order(Variant::Old, ChangeMethod::HandOver, settings())),
        (
            "request-order-that-wants-nothing",
            Request::order(CommandMessage { order: 9, ..CommandMessage::default() }),
        ),
        ("request-of-version-1", Request { version: 1, order: None, conductor: 0 }),
    ]
}

fn tally() -> ServingCounters {
    let method =
        |name: &str, calls, missed, failed| MethodCounters { name: name.into(), calls, missed, failed };
    ServingCounters {
        is_healthy: true,
        memory_kb: 40_960,
        methods: vec![method("look", 10_000_000_000, 300, 2), method("sale", 5, 0, 0)],
        settings: 0x0000_0042_dead_beef,
    }
}

/// Replies, by the name of their fixture.
fn responses() -> Vec<(&'static str, Response)> {
    let response = |said| Response { version: PROTOCOL_VERSION, said: Some(said) };
    let highest = FencingTokenMessage { conductor: 1_764_633_600_000_007, order: 300 };
    let full = NodeStatus {
        print: 0x0123_4567_89ab_cdef,
        path: "/usr/local/bin/ochrewalk-2".into(),
        highest: Some(highest),
        is_well: true,
        start: u64::MAX,
        tally: Some(tally()),
        on_trial: true,
    };
    let bare = NodeStatus { print: 1, path: "/a".into(), start: 2, ..NodeStatus::default() };
    vec![
        ("reply-status-full", response(Reply::Status(full))),
        ("reply-status-bare", response(Reply::Status(bare))),
        ("reply-ended-done", response(Reply::Finished(Outcome::Done.into()))),
        (
            "reply-ended-failed",
            response(Reply::Finished(Outcome::Failed("the new program ended".into()).into())),
        ),
        ("reply-ended-failed-unnamed", response(Reply::Finished(Outcome::Failed(String::new()).into()))),
        ("reply-stale", response(Reply::Stale(highest))),
        ("reply-refused", response(Reply::Rejected("no program serves".into()))),
        ("reply-busy", response(Reply::Busy("another upgrade is under way".into()))),
        ("reply-empty-of-version-3", Response { version: 3, said: None }),
    ]
}

/// One message from a stream that holds nothing else, and the same bytes when it is written again.
fn assert_framed_as<M>(name: &str, message: &M)
where
    M: prost::Message + Default + PartialEq + std::fmt::Debug,
{
    let bytes = fixture(name);
    let mut stream = &bytes[..];
    assert_eq!(&read::<M>(&mut stream).unwrap(), message, "{name}");
    assert!(stream.is_empty(), "{name}: {} bytes are left", stream.len());
    assert_eq!(write(message), bytes, "{name}");
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
    assert_framed_as("counters", &tally());
    assert_framed_as("counters-none", &ServingCounters::default());
}

#[test]
fn what_the_fields_of_a_request_and_a_reply_mean_is_what_the_bytes_said() {
    let request: Request = read(&mut &fixture("request-settings-on-trial")[..]).unwrap();
    let order = request.order.unwrap();
    assert_eq!((request.version, request.conductor), (2, 1_764_633_600_000_007));
    assert_eq!(order.mark(), FencingToken { conductor: 1_764_633_600_000_007, order: 300 });
    assert_eq!((order.lease_ms, order.anew, order.wanted), (30_000, false, Some(settings())));
    let anew: Request = read(&mut &fixture("request-program-anew")[..]).unwrap();
    let order = anew.order.unwrap();
    assert_eq!((order.lease_ms, order.anew, order.wanted), (0, true, Some(program())));
    let ended = |name: &str| match read::<Response>(&mut &fixture(name)[..]).unwrap().said {
        Some(Reply::Finished(ended)) => Outcome::from(ended),
        other => panic!("{name}: {other:?}"),
    };
    assert_eq!(ended("reply-ended-done"), Outcome::Done);
    assert_eq!(ended("reply-ended-failed"), Outcome::Failed("the new program ended".into()));
    assert_eq!(
        CommandOutcome { failed: "for no reason that it names".into() },
        Outcome::Failed(String::new()).into()
    );
    assert_eq!(ended("reply-ended-failed-unnamed"), Outcome::Failed("for no reason that it names".into()));
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
