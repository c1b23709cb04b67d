//! A program's stream to its supervisor: lines of several threads, questions and answers, and counters.

use ochrewalk_node::handover::counter_report::{CounterReport, CountersByMethod, ReportedCounters};
use ochrewalk_node::handover::descriptor_socket::{read_lines, send_line};
use ochrewalk_node::handover::supervisor_link::SupervisorLink;
use ochrewalk_node::handover::supervisor_protocol::Question;
use ochrewalk_rollout::messages::{MethodCounters, ServingCounters};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

/// Far longer than any answer takes that comes.
const PATIENCE: Duration = Duration::from_secs(60);
/// Far more than the system holds of one stream, so that such a line is written in many pieces.
const LONG_LINE: usize = 3_000_000;

fn link() -> (Arc<SupervisorLink>, UnixStream) {
    let (ours, supervisors) = UnixStream::pair().unwrap();
    let (link, _) = SupervisorLink::new(ours, || ()).unwrap();
    (Arc::new(link), supervisors)
}

/// Answers each question with yes, and passes on what else was said.
fn agreeing_supervisor(stream: UnixStream) -> Receiver<String> {
    let (say, said) = channel();
    std::thread::spawn(move || {
        read_lines(&stream, |line, _| {
            if line.ends_with('?') {
                send_line(&stream, "yes", None).unwrap();
            }
            say.send(line.to_string()).unwrap();
        });
    });
    said
}

/// A program with many methods reports lines of megabytes. A question that was asked meanwhile stood in the middle of
/// such a line, was never seen, and no answer came.
#[test]
fn a_question_never_stands_inside_a_long_report() {
    let (link, stream) = link();
    let reports = 20;
    let reporter = link.clone();
    let reporting = std::thread::spawn(move || {
        let report = format!("tally {}", "x".repeat(LONG_LINE));
        (0..reports).for_each(|_| reporter.report(&report));
    });
    let said = agreeing_supervisor(stream);
    while !reporting.is_finished() {
        assert_eq!(link.ask(Question::MayPause, PATIENCE), Some(true));
    }
    reporting.join().unwrap();
    drop(link);
    for line in said.iter().filter(|line| line != "still?").take(reports) {
        assert_eq!(line.len(), LONG_LINE + "tally ".len());
    }
}

/// An answer that comes too late belongs to the question that was given up, not to the next one.
#[test]
fn a_late_answer_is_not_taken_for_the_next_ones() {
    let (link, stream) = link();
    assert_eq!(link.ask(Question::MayPause, Duration::ZERO), None);
    assert_eq!(link.ask(Question::MayBegin, Duration::ZERO), None);
    ["yes", "yes", "no"].iter().for_each(|answer| send_line(&stream, answer, None).unwrap());
    assert_eq!(link.ask(Question::MayResume, PATIENCE), Some(false));
    send_line(&stream, "yes", None).unwrap();
    assert_eq!(link.ask(Question::MayResume, PATIENCE), Some(true));
}

/// A supervisor that has ended answers nobody, at once.
#[test]
fn nobody_waits_for_a_supervisor_that_has_ended() {
    let (link, stream) = link();
    drop(stream);
    assert_eq!(link.ask(Question::MayPause, Duration::from_secs(3_600)), None);
}

fn counted(name: &str, calls: u64, missed: u64, failed: u64) -> MethodCounters {
    MethodCounters { name: name.into(), calls, missed, failed }
}

fn tally(memory_kb: u64, methods: Vec<MethodCounters>) -> ServingCounters {
    ServingCounters { is_healthy: true, memory_kb, methods, settings_fingerprint: 7 }
}

/// Reports of changes lead to the same counters as reports of all of them do, and each line is read as it was written.
#[test]
fn changed_counters_add_up_to_all_of_them() {
    let mut known = ReportedCounters::default();
    let mut take = |report: CounterReport| {
        let line = report.to_line();
        known.take(CounterReport::of_line(&line).unwrap());
        known.clone()
    };
    take(CounterReport::Changed(tally(1, vec![])));
    take(CounterReport::Changed(tally(2, vec![counted("a", 1, 0, 0), counted("b", 2, 1, 1)])));
    let by_changes = take(CounterReport::Changed(tally(3, vec![counted("a", 5, 1, 0)])));
    let all = vec![counted("a", 5, 1, 0), counted("b", 2, 1, 1)];
    let by_all = take(CounterReport::All(tally(3, all.clone())));
    assert_eq!(by_changes, by_all);
    assert_eq!(by_all.latest, tally(3, vec![]));
    assert_eq!(by_all.methods.into_methods(), all);
    let after_a_restart = take(CounterReport::All(tally(1, vec![counted("c", 1, 0, 0)])));
    assert_eq!(after_a_restart.methods.into_methods(), vec![counted("c", 1, 0, 0)]);
    for line in ["tally", "tally !", "tally+ !", "still?", ""] {
        assert_eq!(CounterReport::of_line(line), None, "{line}");
    }
}

/// After a hand-over a method that the successor has not met keeps what its predecessors counted.
#[test]
fn counters_of_programs_that_follow_one_another_are_added_up() {
    let reported = |methods| {
        let mut known = ReportedCounters::default();
        known.take(CounterReport::Changed(tally(1, methods)));
        known.methods
    };
    let mut sum = CountersByMethod::default();
    sum.add(&reported(vec![counted("a", 4, 2, 1), counted("b", 1, 0, 0)]));
    sum.add(&reported(vec![counted("b", 2, 1, 0), counted("c", 1, 1, 1)]));
    let expected = vec![counted("a", 4, 2, 1), counted("b", 3, 1, 0), counted("c", 1, 1, 1)];
    assert_eq!(sum.into_methods(), expected);
}
