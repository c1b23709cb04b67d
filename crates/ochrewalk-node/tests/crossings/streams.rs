//! One stream at its end, with bytes that come exactly between the last look at the socket and the end.

use may::net::TcpStream;
use ochrewalk_node::close_reason::CloseReason;
use ochrewalk_node::net::buffered_connection::{
    close_gracefully, drive_connection, stream_from_descriptor, CloseRequest, MessageHandler, SendQueue,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::{Arc, Mutex};

/// Takes lines; its peer writes in the instant in which it is asked whether the stream may end.
struct Crossed {
    heard: Arc<Mutex<Vec<String>>>,
    peer: std::net::TcpStream,
    late: &'static [u8],
    /// An answer that it owes before it may end.
    owes: Mutex<Option<&'static [u8]>>,
    send_queue: Arc<SendQueue>,
    deaf: bool,
}

impl MessageHandler for Crossed {
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((line, taken)) = ochrewalk_node::wire::line(input) else { return Ok(0) };
        self.heard.lock().unwrap().push(String::from_utf8_lossy(line).into_owned());
        Ok(taken)
    }

    fn may_read(&self) -> bool {
        !self.deaf
    }

    fn may_close(&self, _request: CloseRequest) -> bool {
        // What is owed is given a moment after the end was asked for.
        if let Some(answer) = self.owes.lock().unwrap().take() {
            self.send_queue.push(answer.to_vec());
            return false;
        }
        (&self.peer).write_all(self.late).unwrap();
        true
    }

    fn on_oversized_message(&mut self) -> Result<(), CloseReason> {
        self.deaf = true;
        self.send_queue.request_close(CloseRequest::Faulty);
        Ok(())
    }
}

struct Crossing {
    heard: Vec<String>,
    ending: CloseReason,
    /// What the peer read up to the end, and whether the end was in order.
    read: Vec<u8>,
    in_order: bool,
}

/// A stream that has an answer to write, is asked to end so, and whose peer has sent `first` and sends `late` in the
/// last instant. The peer reads once all of that has happened.
fn crossing(
    how: Option<CloseRequest>,
    first: &'static [u8],
    late: &'static [u8],
    owes: Option<&'static [u8]>,
) -> Crossing {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let mut writer = peer.try_clone().unwrap();
    writer.write_all(first).unwrap();
    while !first.is_empty() && stream.peek(&mut [0]).is_err() {
        std::thread::yield_now();
    }
    let heard = Arc::new(Mutex::new(Vec::new()));
    let (send_queue, of) = (Arc::new(SendQueue::default()), heard.clone());
    let (carried, ended) = std::sync::mpsc::channel();
    let leaves = how == Some(CloseRequest::Draining);
    let handle = may::go!(move || {
        let stream: TcpStream = stream_from_descriptor(stream.into());
        let mut reader = Crossed {
            heard: of,
            peer: writer,
            late,
            owes: Mutex::new(owes),
            send_queue: send_queue.clone(),
            deaf: false,
        };
        send_queue.push(b"answer\n".to_vec());
        if let Some(how) = how {
            send_queue.request_close(how);
        }
        let ending = drive_connection(&stream, &send_queue, None, 64, &mut reader);
        carried.send(()).unwrap();
        close_gracefully(&stream, &ending, || false);
        ending
    });
    // One that leaves ends with its peer.
    if !leaves {
        ended.recv().unwrap();
    }
    let mut read = Vec::new();
    let in_order = peer.read_to_end(&mut read).is_ok();
    if leaves {
        peer.write_all(late).unwrap();
        peer.shutdown(Shutdown::Write).unwrap();
    }
    drop(peer);
    let ending = handle.join().unwrap();
    let heard = heard.lock().unwrap().clone();
    Crossing { heard, ending, read, in_order }
}

/// Half a line, or a whole RPC, comes when a stream is just about to be closed: the answers before it arrive nevertheless,
/// and the stream is not reset.
#[test]
fn bytes_that_cross_a_close_take_no_answer_with_them() {
    for late in [b"half a li".as_slice(), b"whole\n", b"one\ntwo\nthr", b""] {
        for (how, ending) in [
            (CloseRequest::Idle, CloseReason::Idle),
            (CloseRequest::TimedOut, CloseReason::TimedOut),
            (CloseRequest::Faulty, CloseReason::Malformed("too many faults".into())),
        ] {
            let crossed = crossing(Some(how), b"", late, None);
            assert!(crossed.in_order, "{how:?} was reset");
            assert_eq!((crossed.read, crossed.ending), (b"answer\n".to_vec(), ending), "{how:?}");
            assert_eq!(crossed.heard, Vec::<String>::new(), "{how:?}: taken, and never answered");
        }
    }
}

/// Once our side is shut nothing is taken: it could never be answered.
#[test]
fn nothing_is_taken_from_a_stream_whose_write_side_is_shut() {
    let crossed = crossing(Some(CloseRequest::Draining), b"", b"whole\nhalf", None);
    assert_eq!((crossed.ending, crossed.read), (CloseReason::Draining, b"answer\n".to_vec()));
    assert_eq!(crossed.heard, Vec::<String>::new());
}

/// What was read before the end was asked for is answered before our side is shut.
#[test]
fn an_answer_that_is_given_after_the_end_was_asked_for_is_written() {
    let crossed = crossing(Some(CloseRequest::Draining), b"one\n", b"", Some(b"owed\n"));
    assert_eq!(String::from_utf8(crossed.read).unwrap(), "answer\nowed\n");
    assert_eq!((crossed.ending, crossed.in_order), (CloseReason::Draining, true));
}

/// A message without an end: what is owed is given, and what else comes is thrown away without a reset.
#[test]
fn a_message_longer_than_any_may_be_resets_nothing() {
    let crossed = crossing(None, &[b'x'; 20_000], b"more", None);
    assert_eq!((crossed.read, crossed.in_order), (b"answer\n".to_vec(), true));
    assert_eq!(crossed.ending, CloseReason::Malformed("too many faults".into()));
}
