//! Tests the protocol between a supervisor and its children byte for byte, as supervisors and children of different versions
//! run together.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod helper;

use helper::*;
use ochrewalk_handover::framing;
use ochrewalk_handover::messages::{ChunkCount, Empty, Hello, Message, Prepare, Refusal};
use ochrewalk_node::handover::counter_report::CounterReport;
use ochrewalk_node::handover::descriptor_socket::{inherit, read_lines, send_line};
use ochrewalk_node::handover::hand_over_stream::{HandOverStream, Received};
use ochrewalk_node::handover::supervisor_link::SupervisorLink;
use ochrewalk_node::handover::supervisor_protocol::{AttemptOutcome, ChildLine, Question, SupervisorLine};
use ochrewalk_rollout::messages::{MethodCounters, ServingCounters};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::fd::{AsFd, AsRawFd};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

/// The time limit of every wait, far longer than any successful operation takes.
const TIMEOUT: Duration = Duration::from_secs(10);

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/handover").join(name)
}

fn fixture(name: &str) -> Vec<u8> {
    std::fs::read(fixture_path(name)).unwrap_or_else(|err| panic!("{name}: {err}"))
}

fn counters() -> ServingCounters {
    let method =
        |name: &str, calls, missed, failed| MethodCounters { name: name.into(), calls, missed, failed };
    let methods = vec![method("look", 1_000, 20, 3), method("sale", 7, 0, 1)];
    ServingCounters {
        is_healthy: true,
        memory_kb: 81_920,
        methods,
        settings_fingerprint: 0x1234_5678_9abc_def0,
    }
}

#[test]
fn a_program_writes_the_lines_that_earlier_supervisors_read() {
    let (ours, mut supervisors) = UnixStream::pair().unwrap();
    let (link, _) = SupervisorLink::new(ours, || ()).unwrap();
    for question in [Question::MayPause, Question::MayResume, Question::MayBegin] {
        assert_eq!(link.ask(question, Duration::ZERO), None);
    }
    link.report("end other");
    link.report("told its files set\nwhat only a start can change");
    link.report(&CounterReport::All(counters()).to_line());
    link.report(&CounterReport::Changed(counters()).to_line());
    let expected = fixture("program-lines.txt");
    let mut written = vec![0; expected.len()];
    supervisors.read_exact(&mut written).unwrap();
    assert_eq!(String::from_utf8_lossy(&written), String::from_utf8_lossy(&expected));
}

#[test]
fn counter_reports_of_earlier_programs_are_read() {
    let text = String::from_utf8(fixture("program-lines.txt")).unwrap();
    let reports: Vec<CounterReport> = text.lines().filter_map(CounterReport::of_line).collect();
    assert_eq!(reports, [CounterReport::All(counters()), CounterReport::Changed(counters())]);
}

#[test]
fn each_line_of_a_program_is_parsed_and_written_back_unchanged() {
    let text = String::from_utf8(fixture("program-lines.txt")).unwrap();
    let read: Vec<ChildLine> = text.lines().filter_map(ChildLine::of_line).collect();
    let reason = "its files set what only a start can change".to_string();
    let expected = [
        ChildLine::Question(Question::MayPause),
        ChildLine::Question(Question::MayResume),
        ChildLine::Question(Question::MayBegin),
        ChildLine::KillPeer,
        ChildLine::AttemptEnded(AttemptOutcome::Failed(reason)),
        ChildLine::Counters(CounterReport::All(counters())),
        ChildLine::Counters(CounterReport::Changed(counters())),
    ];
    assert_eq!(read, expected);
    let written: String = read.iter().map(|line| line.to_line() + "\n").collect();
    assert_eq!(written, text);
    let handed_over = ChildLine::AttemptEnded(AttemptOutcome::HandedOver);
    assert_eq!(ChildLine::of_line("told handed over"), Some(handed_over.clone()));
    assert_eq!(handed_over.to_line(), "told handed over");
    assert_eq!(ChildLine::of_line("something newer"), None);
}

#[test]
fn each_line_of_a_supervisor_is_parsed_and_written_back_unchanged() {
    let text = String::from_utf8(fixture("supervisor-lines.txt")).unwrap();
    let read: Vec<Option<SupervisorLine>> = text.lines().map(SupervisorLine::of_line).collect();
    let known = [SupervisorLine::Allowed, SupervisorLine::Denied, SupervisorLine::HandOver];
    assert_eq!(read, [Some(known[0]), Some(known[1]), Some(known[2]), None]);
    let written: Vec<&str> = known.iter().map(|line| line.as_line()).collect();
    assert_eq!(written, text.lines().take(known.len()).collect::<Vec<_>>());
}

#[test]
fn a_program_reads_the_lines_that_earlier_supervisors_write() {
    let (ours, mut supervisors) = UnixStream::pair().unwrap();
    let (link, successors) = SupervisorLink::new(ours, || ()).unwrap();
    supervisors.write_all(&fixture("supervisor-lines.txt")).unwrap();
    assert_eq!(link.ask(Question::MayPause, TIMEOUT), Some(true));
    assert_eq!(link.ask(Question::MayResume, TIMEOUT), Some(false));
    // A hand-over without a descriptor has no effect, and a line of a newer supervisor is skipped.
    assert!(successors.try_recv().is_err());
    let (predecessors_end, mut successors_end) = UnixStream::pair().unwrap();
    send_line(&supervisors, "give", Some(predecessors_end.as_fd())).unwrap();
    let mut passed = UnixStream::from(successors.recv_timeout(TIMEOUT).unwrap());
    passed.write_all(b"x").unwrap();
    successors_end.read_exact(&mut [0]).unwrap();
}

#[test]
fn a_line_is_written_with_its_descriptor_at_its_first_byte() {
    let (sender, receiver) = UnixStream::pair().unwrap();
    let (passed, mut other_end) = UnixStream::pair().unwrap();
    send_line(&sender, "give", Some(passed.as_fd())).unwrap();
    send_line(&sender, "yes", None).unwrap();
    drop(sender);
    let mut lines = Vec::new();
    read_lines(&receiver, |line, descriptor| lines.push((line.to_string(), descriptor)));
    let [(give, descriptor), (yes, none)] = &mut lines[..] else { panic!("{lines:?}") };
    assert_eq!((give.as_str(), yes.as_str(), none.is_none()), ("give", "yes", true));
    UnixStream::from(descriptor.take().unwrap()).write_all(b"x").unwrap();
    other_end.read_exact(&mut [0]).unwrap();
}

/// A new program finds its streams by the environment variables, and may not begin while the previous one serves.
#[test]
fn a_supervisor_passes_streams_in_the_variables_that_earlier_programs_read() {
    let (control, output) = (file("").with_extension("sock"), file(""));
    let operators = format!("upgrade control {}\n", control.display());
    let stand =
        TestNode::start_with_environment(|_| (), &operators, &[("PROBE_OUTPUT", output.to_str().unwrap())]);
    let mut executor = stand.executor();
    executor.send_line(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
    stand.caller().wait_healthy();
    let mut stream = UnixStream::connect(&control).unwrap();
    let probe = fixture_path("probe.sh");
    stream.write_all(format!("upgrade {}\n", probe.display()).as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    assert_eq!(line, "the new program ended\n");
    let seen = std::fs::read_to_string(&output).unwrap();
    assert_eq!(seen, "OCHREWALK_KEPT\nOCHREWALK_KEPT_READS_CHANGES\nOCHREWALK_TAKES\nanswer no\n");
    std::fs::remove_file(output).unwrap();
}

/// The supervisor's end of a program's stream.
struct SupervisorEnd {
    stream: UnixStream,
    input: BufReader<UnixStream>,
}

impl SupervisorEnd {
    /// Returns the supervisor's end, and the end that a program is started with.
    fn pair() -> (SupervisorEnd, std::os::fd::OwnedFd) {
        let (stream, theirs) = UnixStream::pair().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let input = BufReader::new(stream.try_clone().unwrap());
        (SupervisorEnd { stream, input }, inherit(theirs.as_fd()).unwrap())
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.input.read_line(&mut line).unwrap();
        line
    }

    /// Returns the next line that is not a report of counters.
    fn line_without_counters(&mut self) -> String {
        loop {
            let line = self.line();
            if !line.starts_with("tally") {
                return line;
            }
        }
    }
}

/// Receives the next message on the stream of a hand-over.
fn receive_message(stream: &mut HandOverStream) -> Message {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        match stream.receive(Duration::from_millis(100)).unwrap() {
            Received::Message(message) => return message,
            Received::TimedOut => {}
            other => panic!("{other:?}"),
        }
    }
    panic!("no message arrived in time");
}

/// Starts a program as a successor, and returns its `Hello` after ending the program.
fn hello_of_a_successor(stand: &TestNode) -> Hello {
    let (_supervisor, link) = SupervisorEnd::pair();
    let (ours, theirs) = UnixStream::pair().unwrap();
    let theirs = inherit(theirs.as_fd()).unwrap();
    let config = file(&stand.config().to_string());
    let arguments = ["serve", "--config", config.to_str().unwrap()];
    let mut child: Child = program(&arguments)
        .args(["--operators", stand.operators.to_str().unwrap()])
        .env("OCHREWALK_KEPT", link.as_raw_fd().to_string())
        .env("OCHREWALK_TAKES", theirs.as_raw_fd().to_string())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let Message::Hello(hello) = receive_message(&mut HandOverStream::new(ours)) else {
        panic!("another message")
    };
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(config).unwrap();
    hello
}

/// A program that serves hands over to a successor of any version with the messages and lines that both sides support. The
/// test acts as supervisor and successor, and aborts before it takes over.
#[test]
fn a_program_that_serves_follows_the_protocol_of_earlier_programs() {
    let (mut supervisor, link) = SupervisorEnd::pair();
    let stand =
        TestNode::start_with_environment(|_| (), "", &[("OCHREWALK_KEPT", &link.as_raw_fd().to_string())]);
    drop(link);
    let mut executor = stand.executor();
    executor.send_line(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
    stand.caller().wait_healthy();
    std::thread::spawn(move || executor.read_to_end());
    // A supervisor that does not set the variable for changed counters receives all counters.
    let report = supervisor.line();
    assert!(report.starts_with("tally ") && CounterReport::of_line(report.trim_end()).is_some(), "{report}");

    let begin = |supervisor: &SupervisorEnd, hello: Hello| {
        let (predecessors_end, successors_end) = UnixStream::pair().unwrap();
        send_line(&supervisor.stream, "give", Some(predecessors_end.as_fd())).unwrap();
        drop(predecessors_end);
        let mut stream = HandOverStream::new(successors_end);
        stream.send(Message::Hello(hello), &[]).unwrap();
        let answer = receive_message(&mut stream);
        (stream, answer)
    };
    let hello = hello_of_a_successor(&stand);
    assert_eq!((hello.oldest, hello.newest, hello.program.as_str()), (1, 2, "0.1.0"));
    let (_, answer) = begin(&supervisor, Hello { digest: !hello.digest, ..hello.clone() });
    assert_eq!(framing::encode(answer), fixture("refused-files.bin"));
    assert_eq!(supervisor.line_without_counters(), "told its files set what only a start can change\n");

    let (mut stream, answer) = begin(&supervisor, hello);
    let Message::Offer(offer) = answer else { panic!("{answer:?}") };
    let offered: Vec<&str> = offer.sections.iter().map(|section| section.name.as_str()).collect();
    let expected = ["node", "listeners", "rpcs", "json", "ajp", "executor", "below", "tokens"];
    assert_eq!((offer.version, offered.as_slice()), (2, expected.as_slice()));
    stream.send(Message::Prepare(Prepare {}), &[]).unwrap();
    assert_eq!(receive_message(&mut stream), Message::AheadComplete(ChunkCount { chunks: 0 }));
    stream.send(Message::Ready(Empty {}), &[]).unwrap();
    assert_eq!(supervisor.line_without_counters(), "still?\n");
    supervisor.stream.write_all(b"yes\n").unwrap();
    let sections = receive_sections(&mut stream);
    assert_eq!(sections, ["node", "listeners", "rpcs", "json", "executor", "below"]);
    stream.send(Message::Abort(Refusal { reason: "a corrupted section".into() }), &[]).unwrap();
    assert_eq!(supervisor.line_without_counters(), "on?\n");
    supervisor.stream.write_all(b"yes\n").unwrap();
    assert_eq!(supervisor.line_without_counters(), "told the new program refused: a corrupted section\n");
    stand.caller().wait_healthy();
}

/// Receives chunks until the transfer is complete, and returns their sections. Each chunk has its announced descriptors, and
/// the last message has the number of chunks.
fn receive_sections(stream: &mut HandOverStream) -> Vec<String> {
    let mut sections = Vec::new();
    loop {
        match receive_message(stream) {
            Message::Chunk(chunk) => {
                assert!(stream.take_descriptors(chunk.descriptors as usize).is_some(), "{}", chunk.section);
                sections.push(chunk.section);
            }
            Message::TransferComplete(count) => {
                assert_eq!(count.chunks, sections.len() as u64);
                return sections;
            }
            other => panic!("{other:?}"),
        }
    }
}
