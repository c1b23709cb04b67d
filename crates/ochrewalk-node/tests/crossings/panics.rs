//! A fault of our own: what it costs, and that nothing half alive is left behind.

use crate::helper::listener;
use may::net::TcpStream;
use ochrewalk_node::close_reason::CloseReason;
use ochrewalk_node::net::buffered_connection::{
    drive_connection, stream_from_descriptor, MessageHandler, SendQueue,
};
use ochrewalk_node::panics::{exit_on_uncontained_panics, EXIT_STATUS};
use std::io::{ErrorKind, Write};
use std::process::{Command, Stdio};

const INNER: &str = "OCHREWALK_TEST_PANICS";

/// Panics at what it reads.
struct Flawed;

impl MessageHandler for Flawed {
    fn handle_message(&mut self, _input: &[u8]) -> Result<usize, CloseReason> {
        panic!("a flaw that these bytes meet")
    }
}

/// A stream whose reader panics, carried to its end.
fn flawed() -> CloseReason {
    let listener = listener();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    peer.write_all(b"bytes").unwrap();
    let carried = may::go!(move || {
        let stream: TcpStream = stream_from_descriptor(stream.into());
        drive_connection(&stream, &SendQueue::default(), None, 64, &mut Flawed)
    });
    carried.join().unwrap()
}

/// In a process of its own: a stream's panic, then that of another part.
#[test]
fn inner() {
    let Ok(which) = std::env::var(INNER) else { return };
    exit_on_uncontained_panics();
    assert_eq!(flawed(), CloseReason::Broken(ErrorKind::Other));
    if which == "part" {
        let _ = may::go!(|| panic!("a part of the node")).join();
        std::process::exit(1);
    }
    std::process::exit(0);
}

/// What was read on a connection costs that connection; a panic anywhere else ends the process, to be started anew.
#[test]
fn a_panic_costs_a_connection_or_the_process_and_nothing_between() {
    for (which, status) in [("stream", 0), ("part", EXIT_STATUS)] {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command
            .args(["--exact", "panics::inner"])
            .env(INNER, which)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        assert_eq!(command.status().unwrap().code(), Some(status), "{which}");
    }
}
