//! Tests the output of each command of `ochrewalk config`, its stream and its exit code.

use crate::control_plane::{wait_until, ControlPlane, Process};
use crate::helper::{file, own_address, program};
use crate::operator_socket::reply_once;
use ochrewalk_distribution::messages::{
    Body, Heartbeat, Position, PositionCount, Published, Refused, RegionStatus, Rejection, Status,
};
use std::path::{Path, PathBuf};
use std::process::Stdio;

/// The exit code of the clap library for an invalid command line.
const INVALID_COMMAND_LINE: i32 = 2;

/// The exit code and output of a command.
#[derive(Debug, PartialEq, Eq)]
struct Exited {
    code: i32,
    stdout: String,
    stderr: String,
}

impl Exited {
    fn with_output(stdout: &str) -> Exited {
        Exited { code: 0, stdout: stdout.into(), stderr: String::new() }
    }

    fn with_error(stderr: &str) -> Exited {
        Exited { code: 1, stdout: String::new(), stderr: stderr.into() }
    }
}

/// Runs `ochrewalk config` with these arguments until it ends.
fn config(arguments: &[&str]) -> Exited {
    let mut command = program(&[&["config"], arguments].concat());
    let output = command.env_remove("OCHREWALK_LOG").env_remove("OCHREWALK_LOG_FORMAT").output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    Exited { code: output.status.code().unwrap(), stdout: text(output.stdout), stderr: text(output.stderr) }
}

/// A file that a test or a program under test creates. Removed when this value is dropped.
struct TestFile(PathBuf);

impl TestFile {
    fn with(text: &str) -> TestFile {
        TestFile(file(text))
    }

    /// Returns a path without a file.
    fn missing() -> TestFile {
        let path = file("");
        std::fs::remove_file(&path).unwrap();
        TestFile(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn control(control_plane: &ControlPlane) -> String {
    control_plane.folder.join("control").to_str().unwrap().into()
}

fn position(epoch: u64, revision: u64) -> Position {
    Position { epoch, revision }
}

/// Returns the commands that send a request to the publisher, without the option for its socket.
fn requests(changes: &TestFile) -> [Vec<&str>; 4] {
    let path = changes.path();
    [vec!["publish", path], vec!["diff", path], vec!["status"], vec!["rollback", "--to", "1.1"]]
}

#[test]
fn each_command_prints_its_result_and_exits_with_0() {
    let control_plane = ControlPlane::start();
    let control = control(&control_plane);
    let run = |command, path: &str| config(&[command, "--control", &control, path]);
    let first = TestFile::with(
        "route shop GET /a look\nquota acme 5\nendpoint shop 10.0.0.1:80 1.5 east\n\
         limit shop usual-memory-kb 20\n",
    );
    let diff =
        "against 1.0:\nroute shop GET /a: nothing becomes look\nquota acme: nothing becomes 5 a second\n\
                endpoint shop 10.0.0.1:80: nothing becomes weight 1.5 in east\n\
                limit shop usual-memory-kb: nothing becomes 20\n";
    assert_eq!(run("diff", first.path()), Exited::with_output(diff));
    assert_eq!(run("publish", first.path()), Exited::with_output("published 4 changes as 1.1\n"));
    assert_eq!(run("diff", first.path()), Exited::with_output("against 1.1:\n"));
    let second = TestFile::with(
        "route shop GET /a sale\nquota acme 7.25\ndelete endpoint shop 10.0.0.1:80\n\
         limit shop usual-memory-kb 30\n",
    );
    let diff = "against 1.1:\nroute shop GET /a: look becomes sale\n\
                quota acme: 5 a second becomes 7.25 a second\n\
                endpoint shop 10.0.0.1:80: weight 1.5 in east becomes nothing\n\
                limit shop usual-memory-kb: 20 becomes 30\n";
    assert_eq!(run("diff", second.path()), Exited::with_output(diff));
    let expecting = ["publish", "--control", &control, "--expect", "1.1", second.path()];
    assert_eq!(config(&expecting), Exited::with_output("published 4 changes as 1.2\n"));
    let rollback = ["rollback", "--control", &control, "--to", "1.1"];
    assert_eq!(config(&rollback), Exited::with_output("published as 1.3\n"));
    // The line of the region is printed from the first report of a relay on, up to a second after the relay connected.
    let caught_up = "published: 1.3, 4 resources\nrelays: 2 nodes at 1.3\neast: 0 nodes at 1.3\n";
    wait_until("both relays have 1.3", || {
        config(&["status", "--control", &control]) == Exited::with_output(caught_up)
    });
}

#[test]
fn a_file_with_faults_is_refused_with_all_of_them_before_a_request_is_sent() {
    let changes = TestFile::with("route shop get /b look\nquota acme 5\nquota\n");
    let no_publisher = TestFile::missing();
    let path = changes.path();
    let faults = format!(
        "{path}:1: get is no HTTP method; write one in capitals, such as POST\n\
         {path}:3: quota with 1 words; write quota TENANT PER-SECOND\n"
    );
    for command in ["publish", "diff"] {
        let exited = config(&[command, "--control", no_publisher.path(), path]);
        assert_eq!(exited, Exited::with_error(&faults), "{command}");
    }
}

#[test]
fn a_missing_file_or_socket_is_named() {
    let (changes, missing) = (TestFile::with("quota acme 5\n"), TestFile::missing());
    let error = Exited::with_error(&format!("{}: No such file or directory (os error 2)\n", missing.path()));
    for command in ["publish", "diff"] {
        assert_eq!(config(&[command, "--control", "/nowhere", missing.path()]), error, "{command}");
        assert_eq!(config(&[command, "--control", missing.path(), changes.path()]), error, "{command}");
    }
    assert_eq!(config(&["status", "--control", missing.path()]), error);
    assert_eq!(config(&["rollback", "--control", missing.path(), "--to", "1.1"]), error);
}

#[test]
fn a_refusal_is_printed_with_all_its_reasons() {
    let changes = TestFile::with("quota acme 5\n");
    for arguments in requests(&changes) {
        let reasons = vec!["the first reason".into(), "the second".into()];
        let socket = reply_once(Some(Body::Refused(Refused { reasons })));
        let (command, more) = arguments.split_first().unwrap();
        let exited = config(&[&[command, "--control", socket.path()], more].concat());
        assert_eq!(exited, Exited::with_error("refused: the first reason\nthe second\n"), "{command}");
    }
}

#[test]
fn a_reply_of_another_kind_or_none_is_an_error_of_each_command() {
    let changes = TestFile::with("quota acme 5\n");
    for arguments in requests(&changes) {
        let (command, more) = arguments.split_first().unwrap();
        let heartbeat = Body::Heartbeat(Heartbeat { position: position(1, 1), age_ms: 0 });
        let socket = reply_once(Some(heartbeat));
        let exited = config(&[&[command, "--control", socket.path()], more].concat());
        assert_eq!(
            exited,
            Exited::with_error("the publisher's reply does not match the request\n"),
            "{command}"
        );
        let socket = reply_once(None);
        let exited = config(&[&[command, "--control", socket.path()], more].concat());
        let error = format!("{}: no answer that can be read\n", socket.path());
        assert_eq!(exited, Exited::with_error(&error), "{command}");
    }
}

#[test]
fn a_request_has_the_values_of_the_command_line_and_the_file() {
    let changes = TestFile::with("quota acme 5\ndelete quota other\n");
    let published = || Body::Published(Published { position: position(3, 9) });
    let socket = reply_once(Some(published()));
    let exited = config(&["publish", "--control", socket.path(), "--expect", "3.8", changes.path()]);
    assert_eq!(exited, Exited::with_output("published 2 changes as 3.9\n"));
    let Body::Publish(publish) = socket.request() else { panic!("another request") };
    assert_eq!((publish.changes.len(), publish.expected), (2, Some(position(3, 8))));
    let socket = reply_once(Some(published()));
    let exited = config(&["rollback", "--control", socket.path(), "--to", "3.7"]);
    assert_eq!(exited, Exited::with_output("published as 3.9\n"));
    let Body::Rollback(rollback) = socket.request() else { panic!("another request") };
    assert_eq!(rollback.to, position(3, 7));
}

#[test]
fn the_status_has_a_line_for_each_region_then_one_for_each_rejection() {
    let count = |revision, nodes| PositionCount { position: position(2, revision), nodes };
    let rejection = |node: &str| Rejection {
        position: position(2, 7),
        node: node.into(),
        reason: "route shop GET /a: lok is no method here".into(),
    };
    let region = |name: &str, in_force, rejections| RegionStatus {
        region: name.into(),
        in_force,
        rejections,
        ..RegionStatus::default()
    };
    let regions = vec![
        region("", vec![count(7, 3)], Vec::new()),
        region("east", vec![count(4, 1), count(6, 2), count(7, 40)], vec![rejection("n3")]),
        region("north", Vec::new(), Vec::new()),
        region("west", vec![count(5, 2)], vec![rejection("n8"), rejection("n9")]),
    ];
    let status = Status { position: position(2, 7), resources: 12, regions };
    let socket = reply_once(Some(Body::Status(status)));
    let text = "published: 2.7, 12 resources\n\
                relays: 3 nodes at 2.7\n\
                east: 43 nodes, 3 behind, the farthest at 2.4\n\
                north: 0 nodes at 2.7\n\
                west: 2 nodes, 2 behind, the farthest at 2.5\n\
                rejected: 2.7 by n3: route shop GET /a: lok is no method here\n\
                rejected: 2.7 by n8: route shop GET /a: lok is no method here\n\
                rejected: 2.7 by n9: route shop GET /a: lok is no method here\n";
    assert_eq!(config(&["status", "--control", socket.path()]), Exited::with_output(text));
}

#[test]
fn an_invalid_command_line_is_explained_and_exits_with_2() {
    let invalid_position = |text: &str, option| {
        format!(
            "error: invalid value '{text}' for '{option} <EPOCH.REVISION>': {text} is no revision; \
             write one such as 1.42\n\nFor more information, try '--help'.\n"
        )
    };
    for text in ["1", "x.1", "1.x", "1.2.3", "-1.2"] {
        let to = format!("--to={text}");
        let exited = config(&["rollback", "--control", "/nowhere", &to]);
        assert_eq!((exited.code, exited.stdout.as_str()), (INVALID_COMMAND_LINE, ""), "{text}");
        assert_eq!(exited.stderr, invalid_position(text, "--to"));
        let expect = format!("--expect={text}");
        let exited = config(&["publish", "--control", "/nowhere", &expect, "/nowhere"]);
        assert_eq!(exited.code, INVALID_COMMAND_LINE, "{text}");
        assert_eq!(exited.stderr, invalid_position(text, "--expect"));
    }
    for arguments in [&[][..], &["bogus"], &["serve"], &["relay", "--name", "east-1"], &["status"]] {
        let exited = config(arguments);
        assert_eq!((exited.code, exited.stdout.as_str()), (INVALID_COMMAND_LINE, ""), "{arguments:?}");
    }
}

#[test]
fn the_help_names_each_command_and_option_as_before() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/config_help");
    let help = |name: &str| std::fs::read_to_string(folder.join(name).with_extension("txt")).unwrap();
    assert_eq!(config(&["--help"]), Exited::with_output(&help("all")));
    for command in ["serve", "relay", "publish", "diff", "status", "rollback"] {
        assert_eq!(config(&[command, "--help"]), Exited::with_output(&help(command)), "{command}");
    }
    let version = concat!("ochrewalk config ", env!("CARGO_PKG_VERSION"), "\n");
    assert_eq!(config(&["--version"]), Exited::with_output(version));
}

#[test]
fn a_publisher_or_relay_that_cannot_start_prints_the_reason_and_exits_with_1() {
    let control_plane = ControlPlane::start();
    let (taken, free) = (control_plane.publisher_address.as_str(), own_address(7103));
    let path = |name: &str| control_plane.folder.join(name).to_str().unwrap().to_string();
    let (control, log) = (path("other-control"), path("other-log"));
    let serve = |listen: &str, control: &str, log: &str| {
        config(&["--log", "error", "serve", "--listen", listen, "--control", control, "--log-file", log])
    };
    let address_in_use = format!("cannot listen on {taken}: Address already in use (os error 98)\n");
    assert_eq!(serve(taken, &control, &log), Exited::with_error(&address_in_use));
    let nowhere = path("no-folder/file");
    let no_control = format!("{nowhere}: No such file or directory (os error 2)\n");
    assert_eq!(serve(&free, &nowhere, &log), Exited::with_error(&no_control));
    let no_log =
        format!("{nowhere}: the log cannot be opened: I/O error: No such file or directory (os error 2)\n");
    assert_eq!(serve(&free, &control, &nowhere), Exited::with_error(&no_log));
    let log_in_use = path("log");
    let is_open =
        format!("{log_in_use}: the log cannot be opened: Database already open. Cannot acquire lock.\n");
    assert_eq!(serve(&free, &control, &log_in_use), Exited::with_error(&is_open));
    let relay = ["--log", "error", "relay", "--name", "east-3", "--region", "east"];
    let exited = config(&[&relay[..], &["--listen", taken, "--publisher", taken]].concat());
    assert_eq!(exited, Exited::with_error(&address_in_use));
}

/// Starts a process, waits until its standard error has `line`, sends the signal, and returns the exit code.
fn exit_code_after(signal: &str, arguments: &[&str], line: &str) -> Option<i32> {
    let log = TestFile::with("");
    let stderr = std::fs::File::create(&log.0).unwrap();
    let mut command = program(arguments);
    let mut process = Process(command.stdout(Stdio::null()).stderr(stderr).spawn().unwrap());
    wait_until(line, || std::fs::read_to_string(&log.0).unwrap().contains(line));
    let pid = process.0.id().to_string();
    assert!(std::process::Command::new("kill").args([signal, &pid]).status().unwrap().success());
    let mut code = None;
    wait_until("the process ends", || {
        code = process.0.try_wait().unwrap();
        code.is_some()
    });
    code.and_then(|status| status.code())
}

#[test]
fn publisher_and_relay_log_their_addresses_and_exit_with_0_on_a_signal() {
    let (control, log) = (TestFile::missing(), TestFile::missing());
    for signal in ["-TERM", "-INT"] {
        let listen = own_address(7104);
        let serve = ["config", "serve", "--listen", &listen, "--control", control.path(), "--log-file"];
        let line = format!("publisher listens part=\"config\" place={listen}");
        assert_eq!(
            exit_code_after(signal, &[&serve[..], &[log.path()]].concat(), &line),
            Some(0),
            "{signal}"
        );
        let relay = ["config", "--log-format", "json", "relay", "--name", "east-1", "--region", "east"];
        let more = ["--listen", &listen, "--publisher", "127.0.0.1:1"];
        let line = format!(r#""message":"relay east-1 listens","part":"config","place":"{listen}""#);
        assert_eq!(exit_code_after(signal, &[&relay[..], &more].concat(), &line), Some(0), "{signal}");
    }
}
