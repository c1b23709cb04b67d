//! What a rollout leaves on disk, and what operators tell a controller: the log's lines word for word, the record, its lock.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_node::rollout::log::{LogEntry, RolloutLog, VersionCounts};
use ochrewalk_node::rollout::operator_socket::{send_to_controller, ControllerCommand};
use ochrewalk_node::rollout::record_file::RecordFile;
use ochrewalk_node::rollout::{check, read_plan, status, RolloutEnd, RolloutError};
use ochrewalk_operator_config::RolloutPlan;
use ochrewalk_rollout::{
    CallCounts, ChangeMethod, CommandReply, ControllerNumber, FencingToken, NodeSample, Outcome, Phase,
    RecordError, RolloutRecord, Sample, Verdict, Version, WaitReason,
};
use std::path::{Path, PathBuf};

/// An empty folder of this test's own.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("rollout-files-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// A plan of two nodes that do not run, with files of these contents.
fn plan(name: &str, old: &str, new: &str) -> (PathBuf, Result<RolloutPlan, RolloutError>) {
    let folder = folder(name);
    std::fs::write(folder.join("old"), old).unwrap();
    std::fs::write(folder.join("new"), new).unwrap();
    let at = folder.display();
    let lines = format!(
        "old {at}/old\nnew {at}/new\nrecord {at}/record\nnode n0 {at}/n0 east\nnode n1 {at}/n1 west\n\
         stage 1\nstage 100%\nmost-out 1\n"
    );
    let file = folder.join("plan");
    std::fs::write(&file, lines).unwrap();
    (folder, read_plan(&file))
}

fn counts(calls: u32, missed: u32, failed: u32) -> CallCounts {
    CallCounts { calls, missed, failed }
}

fn sample() -> Sample {
    let unchanged =
        |node, memory_kb, methods| NodeSample { node, memory_kb, methods, ..NodeSample::default() };
    let nodes = vec![
        unchanged(0, 10, vec![counts(5, 1, 0), counts(2, 0, 0)]),
        unchanged(3, 30, vec![counts(6, 2, 1), counts(1, 1, 1)]),
        NodeSample { is_changed: true, ..unchanged(1, 20, vec![counts(9, 0, 0)]) },
    ];
    Sample { nodes, changed: 1, unchanged: 3 }
}

#[test]
fn each_event_is_logged_under_the_keys_and_texts_that_reports_read() {
    let (sample, methods) = (sample(), ["look".to_string(), "sale".to_string()]);
    let stale = CommandReply::Stale(FencingToken { controller: ControllerNumber(9), command: 1 });
    let done = CommandReply::Finished(Outcome::Done);
    let command = |version, method| LogEntry::CommandSent { node: "n0", version, method };
    let versions = VersionCounts { old: 5, new: 2, unknown: 1 };
    let waiting = RolloutEnd::Waiting(WaitReason::Inconclusive("few".into()));
    for (entry, line) in [
        (LogEntry::Begun { controller: ControllerNumber(7) }, r#"{"begun":7}"#),
        (
            command(Version::New, ChangeMethod::CommitConfirmed),
            r#"{"how":"OnTrial","order":"n0","to":"new"}"#,
        ),
        (command(Version::Old, ChangeMethod::Restart), r#"{"how":"Anew","order":"n0","to":"old"}"#),
        (LogEntry::CommandAnswered { node: "n1", reply: &done }, r#"{"answer":"n1","word":"Ended(Done)"}"#),
        (
            LogEntry::CommandAnswered { node: "n1", reply: &stale },
            r#"{"answer":"n1","word":"Stale(Mark { conductor: 9, order: 1 })"}"#,
        ),
        (LogEntry::AnalysisBegun { stage: 1 }, r#"{"judged":1}"#),
        (
            LogEntry::Sampled { sample: &sample, methods: &methods, nodes: 4 },
            concat!(
                r#"{"moment":{"calls":[7,9,null,7],"methods":["look","sale"],"#,
                r#""new":{"memory_kb":20,"methods":[[9,0,0],[0,0,0]],"nodes":1},"#,
                r#""old":{"memory_kb":30,"methods":[[11,3,1],[3,1,1]],"nodes":2}}}"#
            ),
        ),
        (
            LogEntry::Sampled { sample: &Sample::default(), methods: &[], nodes: 1 },
            concat!(
                r#"{"moment":{"calls":[null],"methods":[],"new":{"memory_kb":null,"methods":[],"nodes":0},"#,
                r#""old":{"memory_kb":null,"methods":[],"nodes":0}}}"#
            ),
        ),
        (LogEntry::Concluded(&Verdict::FleetUnhealthy), r#"{"verdict":"Ill"}"#),
        (LogEntry::Concluded(&Verdict::Harm("slow".into())), r#"{"verdict":"Harm(\"slow\")"}"#),
        (
            LogEntry::Moved { phase: &Phase::Analyzing { stage: 0 }, versions },
            r#"{"nodes":[5,2,1],"phase":"Judged { stage: 0 }"}"#,
        ),
        (LogEntry::Ended(&RolloutEnd::Done), r#"{"end":"Done"}"#),
        (LogEntry::Ended(&RolloutEnd::RolledBack("slow".into())), r#"{"end":"Back(\"slow\")"}"#),
        (LogEntry::Ended(&waiting), r#"{"end":"Waiting(\"Unclear(\\\"few\\\")\")"}"#),
        (LogEntry::Ended(&RolloutEnd::Replaced), r#"{"end":"Replaced"}"#),
    ] {
        assert_eq!(entry.to_json().to_string(), line);
    }
}

#[test]
fn a_log_is_appended_to_by_one_controller_after_another() {
    let path = folder("log").join("record.log");
    for controller in [7, 8].map(ControllerNumber) {
        RolloutLog::open(&path).unwrap().append(LogEntry::Begun { controller });
    }
    let text = std::fs::read_to_string(&path).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    for (line, what) in lines.iter().zip([r#","what":{"begun":7}}"#, r#","what":{"begun":8}}"#]) {
        assert!(line.starts_with(r#"{"ms":"#) && line.ends_with(what), "{line}");
    }
}

#[test]
fn one_controller_at_a_time_has_the_record_and_finds_what_was_saved() {
    let (folder, plan) = plan("record", "a", "b");
    let plan = plan.unwrap();
    let file = RecordFile::lock(&plan).unwrap();
    assert_eq!(file.load().unwrap(), None);
    let record = RolloutRecord {
        controller: ControllerNumber(3),
        stage: 1,
        changed_nodes: vec![1],
        ..RolloutRecord::default()
    };
    file.save(&record).unwrap();
    let second = RecordFile::lock(&plan).unwrap_err();
    assert!(matches!(second, RolloutError::AnotherController { .. }), "{second}");
    assert!(second.to_string().contains("another controller runs"), "{second}");
    drop(file);
    let file = RecordFile::lock(&plan).unwrap();
    assert_eq!(file.load().unwrap(), Some(record));
    std::fs::write(folder.join("record"), [0x08, 9]).unwrap();
    let newer = file.load().unwrap_err();
    let RolloutError::Record { path, source } = &newer else { panic!("{newer}") };
    assert_eq!((path, source), (&folder.join("record"), &RecordError::UnknownVersion { found: 9 }));
}

#[test]
fn a_plan_that_cannot_be_used_is_named_with_all_that_is_wrong() {
    let missing = read_plan(Path::new("/nonexistent/plan")).unwrap_err();
    assert!(matches!(missing, RolloutError::File { .. }), "{missing}");
    assert!(missing.to_string().starts_with("/nonexistent/plan: "), "{missing}");
    let (_, same) = plan("same", "a", "a");
    let same = check(&same.unwrap()).unwrap_err();
    assert_eq!(same.to_string(), "both files of the plan hold the same for n0");
    let (folder, two) = plan("silent", "a", "b");
    let silent = check(&two.unwrap()).unwrap_err().to_string();
    let lines: Vec<&str> = silent.lines().collect();
    assert_eq!(lines.len(), 2, "{silent}");
    assert!(lines[0].starts_with("n0: ") && lines[1].starts_with("n1: "), "{silent}");
    std::fs::write(folder.join("plan"), "tea ready\n").unwrap();
    let faults = read_plan(&folder.join("plan")).unwrap_err();
    assert!(matches!(&faults, RolloutError::Plan(faults) if !faults.is_empty()), "{faults}");
}

#[test]
fn a_status_says_that_no_controller_runs_and_which_nodes_do_not_answer() {
    let (_, plan) = plan("status", "a", "b");
    let plan = plan.unwrap();
    let text = status(&plan);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!((lines.len(), lines[0]), (3, "no controller runs"), "{text}");
    assert!(lines[1].starts_with("n0               east       does not answer: "), "{text}");
    assert!(lines[2].starts_with("n1               west       does not answer: "), "{text}");
    let refused = send_to_controller(&plan, ControllerCommand::Pause).unwrap_err();
    assert!(refused.to_string().contains("record.sock: "), "{refused}");
}

#[test]
fn each_line_on_the_operators_socket_is_one_command_and_unknown_lines_change_nothing() {
    for command in [ControllerCommand::Status, ControllerCommand::Pause, ControllerCommand::RollBack] {
        assert_eq!(ControllerCommand::of_line(command.line()), command);
    }
    let lines = ["status", "pause", "back"];
    assert_eq!(lines.map(ControllerCommand::of_line).map(ControllerCommand::line), lines);
    assert_eq!(ControllerCommand::of_line("tea"), ControllerCommand::Status);
}
