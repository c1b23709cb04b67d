//! Tests that a panic in the node closes one connection or ends the process, and leaves no half-working process behind.

use crate::helper::listener;
use may::net::TcpStream;
use ochrewalk_node::close_reason::CloseReason;
use ochrewalk_node::net::buffered_connection::{
    drive_connection, stream_from_descriptor, MessageHandler, SendQueue,
};
use ochrewalk_node::panics::{exit_on_uncontained_panics, EXIT_STATUS};
use std::io::{ErrorKind, Write};
use std::process::{Command, Stdio};

const CHILD_VARIABLE: &str = "OCHREWALK_TEST_PANICS";

/// A message handler that panics at its first message.
struct PanickingHandler;

impl MessageHandler for PanickingHandler {
    fn handle_message(&mut self, _input: &[u8]) -> Result<usize, CloseReason> {
        panic!("the handler panics at this message")
    }
}

/// Drives a stream whose handler panics, and returns the close reason.
fn drive_panicking_stream() -> CloseReason {
    let listener = listener();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    peer.write_all(b"bytes").unwrap();
    let driver = may::go!(move || {
        let stream: TcpStream = stream_from_descriptor(stream.into());
        drive_connection(&stream, &SendQueue::default(), None, 64, &mut PanickingHandler)
    });
    driver.join().unwrap()
}

/// Runs in a child process of the next test: a stream panics, then another part does.
#[test]
fn inner() {
    let Ok(which) = std::env::var(CHILD_VARIABLE) else { return };
    exit_on_uncontained_panics();
    assert_eq!(drive_panicking_stream(), CloseReason::Broken(ErrorKind::Other));
    if which == "part" {
        let _ = may::go!(|| panic!("a part of the node")).join();
        std::process::exit(1);
    }
    std::process::exit(0);
}

/// A panic at bytes of a connection closes that connection; a panic anywhere else ends the process, which is then restarted.
#[test]
fn a_panic_closes_its_connection_or_ends_the_process() {
    for (which, status) in [("stream", 0), ("part", EXIT_STATUS)] {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command
            .args(["--exact", "panics::inner"])
            .env(CHILD_VARIABLE, which)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        assert_eq!(command.status().unwrap().code(), Some(status), "{which}");
    }
}
