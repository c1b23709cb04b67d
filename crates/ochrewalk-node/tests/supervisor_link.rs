//! Tests a program's stream to its supervisor: lines of several threads, questions and answers, and reports of counters.

use ochrewalk_node::handover::counter_report::{CounterReport, CountersByMethod, ReportedCounters};
use ochrewalk_node::handover::descriptor_socket::{read_lines, send_line};
use ochrewalk_node::handover::supervisor_link::SupervisorLink;
use ochrewalk_node::handover::supervisor_protocol::Question;
use ochrewalk_rollout::messages::{MethodCounters, ServingCounters};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

/// The time limit of every wait, far longer than any answer takes.
const TIMEOUT: Duration = Duration::from_secs(60);
/// The length of a line that is much longer than the system's buffer of a stream, so that the line is written in many pieces.
const LONG_LINE: usize = 3_000_000;

fn link() -> (Arc<SupervisorLink>, UnixStream) {
    let (ours, supervisors) = UnixStream::pair().unwrap();
    let (link, _) = SupervisorLink::new(ours, || ()).unwrap();
    (Arc::new(link), supervisors)
}

/// Answers each question with yes, and returns a receiver of all lines.
fn start_allowing_supervisor(stream: UnixStream) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        read_lines(&stream, |line, _| {
            if line.ends_with('?') {
                send_line(&stream, "yes", None).unwrap();
            }
            sender.send(line.to_string()).unwrap();
        });
    });
    lines
}

/// Guards against a question that is written into the middle of a long report of another thread: the supervisor does not
/// recognise it and sends no answer. Programs with many methods write reports of several megabytes.
#[test]
fn a_question_is_never_written_inside_a_long_report() {
    let (link, stream) = link();
    let reports = 20;
    let reporter = link.clone();
    let reporting = std::thread::spawn(move || {
        let report = format!("tally {}", "x".repeat(LONG_LINE));
        (0..reports).for_each(|_| reporter.report(&report));
    });
    let lines = start_allowing_supervisor(stream);
    while !reporting.is_finished() {
        assert_eq!(link.ask(Question::MayPause, TIMEOUT), Some(true));
    }
    reporting.join().unwrap();
    drop(link);
    for line in lines.iter().filter(|line| line != "still?").take(reports) {
        assert_eq!(line.len(), LONG_LINE + "tally ".len());
    }
}

/// Guards against a late answer that is taken for the answer to the next question: it belongs to the question whose time-out
/// has passed.
#[test]
fn a_late_answer_is_not_taken_for_that_to_the_next_question() {
    let (link, stream) = link();
    assert_eq!(link.ask(Question::MayPause, Duration::ZERO), None);
    assert_eq!(link.ask(Question::MayBegin, Duration::ZERO), None);
    ["yes", "yes", "no"].iter().for_each(|answer| send_line(&stream, answer, None).unwrap());
    assert_eq!(link.ask(Question::MayResume, TIMEOUT), Some(false));
    send_line(&stream, "yes", None).unwrap();
    assert_eq!(link.ask(Question::MayResume, TIMEOUT), Some(true));
}

/// Guards against a wait for a supervisor that has ended: the question returns at once without an answer.
#[test]
fn a_question_to_a_supervisor_that_has_ended_returns_at_once() {
    let (link, stream) = link();
    drop(stream);
    assert_eq!(link.ask(Question::MayPause, Duration::from_secs(3_600)), None);
}

fn method(name: &str, calls: u64, missed: u64, failed: u64) -> MethodCounters {
    MethodCounters { name: name.into(), calls, missed, failed }
}

fn counters(memory_kb: u64, methods: Vec<MethodCounters>) -> ServingCounters {
    ServingCounters { is_healthy: true, memory_kb, methods, settings_fingerprint: 7 }
}

/// Reports of changed counters lead to the same result as reports of all counters, and each line is parsed to its report.
#[test]
fn reports_of_changed_counters_lead_to_the_same_result_as_reports_of_all() {
    let mut known = ReportedCounters::default();
    let mut take = |report: CounterReport| {
        let line = report.to_line();
        known.take(CounterReport::of_line(&line).unwrap());
        known.clone()
    };
    take(CounterReport::Changed(counters(1, vec![])));
    take(CounterReport::Changed(counters(2, vec![method("a", 1, 0, 0), method("b", 2, 1, 1)])));
    let by_changes = take(CounterReport::Changed(counters(3, vec![method("a", 5, 1, 0)])));
    let all = vec![method("a", 5, 1, 0), method("b", 2, 1, 1)];
    let by_all = take(CounterReport::All(counters(3, all.clone())));
    assert_eq!(by_changes, by_all);
    assert_eq!(by_all.latest, counters(3, vec![]));
    assert_eq!(by_all.methods.into_methods(), all);
    let after_a_restart = take(CounterReport::All(counters(1, vec![method("c", 1, 0, 0)])));
    assert_eq!(after_a_restart.methods.into_methods(), vec![method("c", 1, 0, 0)]);
    for line in ["tally", "tally !", "tally+ !", "still?", ""] {
        assert_eq!(CounterReport::of_line(line), None, "{line}");
    }
}

/// After a hand-over a method without calls in the successor has the counters of its predecessors.
#[test]
fn counters_of_successive_programs_are_added_up() {
    let reported = |methods| {
        let mut known = ReportedCounters::default();
        known.take(CounterReport::Changed(counters(1, methods)));
        known.methods
    };
    let mut sum = CountersByMethod::default();
    sum.add(&reported(vec![method("a", 4, 2, 1), method("b", 1, 0, 0)]));
    sum.add(&reported(vec![method("b", 2, 1, 0), method("c", 1, 1, 1)]));
    let expected = vec![method("a", 4, 2, 1), method("b", 3, 1, 0), method("c", 1, 1, 1)];
    assert_eq!(sum.into_methods(), expected);
}
