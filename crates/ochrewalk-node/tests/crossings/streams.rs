//! Tests the close of one stream, with bytes that arrive exactly between the last read of the socket and the close.

use may::net::TcpStream;
use ochrewalk_node::close_reason::CloseReason;
use ochrewalk_node::net::buffered_connection::{
    close_gracefully, drive_connection, stream_from_descriptor, CloseRequest, MessageHandler, SendQueue,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::{Arc, Mutex};

/// A handler of lines whose peer writes in the instant in which the handler is asked whether the stream may be closed.
struct RacingHandler {
    received: Arc<Mutex<Vec<String>>>,
    peer: std::net::TcpStream,
    late: &'static [u8],
    /// The answer that has to be written before the stream may be closed.
    outstanding: Mutex<Option<&'static [u8]>>,
    send_queue: Arc<SendQueue>,
    has_stopped_reading: bool,
}

impl MessageHandler for RacingHandler {
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((line, taken)) = ochrewalk_node::wire::line(input) else { return Ok(0) };
        self.received.lock().unwrap().push(String::from_utf8_lossy(line).into_owned());
        Ok(taken)
    }

    fn may_read(&self) -> bool {
        !self.has_stopped_reading
    }

    fn may_close(&self, _request: CloseRequest) -> bool {
        // The outstanding answer is written just after the close was requested.
        if let Some(answer) = self.outstanding.lock().unwrap().take() {
            self.send_queue.push(answer.to_vec());
            return false;
        }
        (&self.peer).write_all(self.late).unwrap();
        true
    }

    fn on_oversized_message(&mut self) -> Result<(), CloseReason> {
        self.has_stopped_reading = true;
        self.send_queue.request_close(CloseRequest::Faulty);
        Ok(())
    }
}

struct Outcome {
    received: Vec<String>,
    close_reason: CloseReason,
    /// The bytes that the peer read up to the close, and whether the close was in order.
    read: Vec<u8>,
    is_orderly: bool,
}

/// Drives a stream that has an answer to write and gets this request to close, and whose peer has sent `first` and sends `late`
/// in the last instant. The peer reads once all of that has happened.
fn race_with_close(
    request: Option<CloseRequest>,
    first: &'static [u8],
    late: &'static [u8],
    outstanding: Option<&'static [u8]>,
) -> Outcome {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let mut writer = peer.try_clone().unwrap();
    writer.write_all(first).unwrap();
    while !first.is_empty() && stream.peek(&mut [0]).is_err() {
        std::thread::yield_now();
    }
    let received = Arc::new(Mutex::new(Vec::new()));
    let (send_queue, handler_received) = (Arc::new(SendQueue::default()), received.clone());
    let (done_sender, done) = std::sync::mpsc::channel();
    let is_draining = request == Some(CloseRequest::Draining);
    let handle = may::go!(move || {
        let stream: TcpStream = stream_from_descriptor(stream.into());
        let mut handler = RacingHandler {
            received: handler_received,
            peer: writer,
            late,
            outstanding: Mutex::new(outstanding),
            send_queue: send_queue.clone(),
            has_stopped_reading: false,
        };
        send_queue.push(b"answer\n".to_vec());
        if let Some(request) = request {
            send_queue.request_close(request);
        }
        let close_reason = drive_connection(&stream, &send_queue, None, 64, &mut handler);
        done_sender.send(()).unwrap();
        close_gracefully(&stream, &close_reason, || false);
        close_reason
    });
    // A draining stream is closed only after its peer has closed its side.
    if !is_draining {
        done.recv().unwrap();
    }
    let mut read = Vec::new();
    let is_orderly = peer.read_to_end(&mut read).is_ok();
    if is_draining {
        peer.write_all(late).unwrap();
        peer.shutdown(Shutdown::Write).unwrap();
    }
    drop(peer);
    let close_reason = handle.join().unwrap();
    let received = received.lock().unwrap().clone();
    Outcome { received, close_reason, read, is_orderly }
}

/// Half a line, or a complete RPC, arrives just as a stream is about to be closed: the answers before it arrive nevertheless, and
/// the stream is not reset.
#[test]
fn bytes_that_arrive_during_a_close_prevent_no_answer() {
    for late in [b"half a li".as_slice(), b"whole\n", b"one\ntwo\nthr", b""] {
        for (request, close_reason) in [
            (CloseRequest::Idle, CloseReason::Idle),
            (CloseRequest::TimedOut, CloseReason::TimedOut),
            (CloseRequest::Faulty, CloseReason::Malformed("too many faults".into())),
        ] {
            let outcome = race_with_close(Some(request), b"", late, None);
            assert!(outcome.is_orderly, "{request:?} was reset");
            assert_eq!(
                (outcome.read, outcome.close_reason),
                (b"answer\n".to_vec(), close_reason),
                "{request:?}"
            );
            assert_eq!(outcome.received, Vec::<String>::new(), "{request:?}: received, and never answered");
        }
    }
}

/// After the stream's write side is shut, no line is handled, as no answer could be written.
#[test]
fn no_line_is_handled_on_a_stream_whose_write_side_is_shut() {
    let outcome = race_with_close(Some(CloseRequest::Draining), b"", b"whole\nhalf", None);
    assert_eq!((outcome.close_reason, outcome.read), (CloseReason::Draining, b"answer\n".to_vec()));
    assert_eq!(outcome.received, Vec::<String>::new());
}

/// A line that was read before the close was requested is answered before the write side is shut.
#[test]
fn an_answer_that_follows_the_request_to_close_is_written() {
    let outcome = race_with_close(Some(CloseRequest::Draining), b"one\n", b"", Some(b"owed\n"));
    assert_eq!(String::from_utf8(outcome.read).unwrap(), "answer\nowed\n");
    assert_eq!((outcome.close_reason, outcome.is_orderly), (CloseReason::Draining, true));
}

/// After a message without an end, outstanding answers are written, and further input is discarded without a reset.
#[test]
fn an_oversized_message_does_not_reset_the_stream() {
    let outcome = race_with_close(None, &[b'x'; 20_000], b"more", None);
    assert_eq!((outcome.read, outcome.is_orderly), (b"answer\n".to_vec(), true));
    assert_eq!(outcome.close_reason, CloseReason::Malformed("too many faults".into()));
}
