//! Tests that a buffered connection reads the received input before it closes as idle, silent, faulty or moved.

use may::net::{TcpListener, TcpStream};
use ochrewalk_node::close_reason::CloseReason;
use ochrewalk_node::net::buffered_connection::{drive_connection, CloseRequest, MessageHandler, SendQueue};
use std::io::{Read, Write};
use std::time::Duration;

/// The time limit for a read, far longer than a close takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Records lines. Agrees to a close where no line was received, or always.
struct LineRecorder {
    received: Vec<String>,
    always_agrees: bool,
}

impl MessageHandler for LineRecorder {
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((line, taken)) = ochrewalk_node::wire::line(input) else { return Ok(0) };
        self.received.push(String::from_utf8_lossy(line).into_owned());
        Ok(taken)
    }

    fn may_close(&self, _request: CloseRequest) -> bool {
        self.always_agrees || self.received.is_empty()
    }
}

/// Requests a close before the connection has read the input, as on a node that is slow to read. Returns the lines that
/// were received and the reason of the close.
fn close_with_unread_input(
    request: CloseRequest,
    always_agrees: bool,
    sent: &'static str,
) -> (Vec<String>, CloseReason) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.write_all(sent.as_bytes()).unwrap();
    let handle = may::go!(move || {
        let (stream, _): (TcpStream, _) = listener.accept().unwrap();
        while stream.inner().peek(&mut [0]).is_err() && !sent.is_empty() {
            may::coroutine::yield_now();
        }
        let (send_queue, mut lines) =
            (SendQueue::default(), LineRecorder { received: Vec::new(), always_agrees });
        send_queue.request_close(request);
        let ending = drive_connection(&stream, &send_queue, None, 64, &mut lines);
        (lines.received, ending)
    });
    // The peer closes a stream that stays open.
    if !always_agrees && !sent.is_empty() {
        peer.shutdown(std::net::Shutdown::Write).unwrap();
    }
    handle.join().unwrap()
}

#[test]
fn unread_input_is_read_before_a_connection_closes() {
    let two = "one\ntwo\n";
    for (request, ending) in [
        (CloseRequest::Idle, CloseReason::Idle),
        (CloseRequest::TimedOut, CloseReason::TimedOut),
        (CloseRequest::Faulty, CloseReason::Malformed("too many faults".into())),
        (CloseRequest::Moved, CloseReason::Moved),
    ] {
        assert_eq!(
            close_with_unread_input(request, true, ""),
            (vec![], ending.clone()),
            "{request:?}, no input"
        );
        let received = vec!["one".to_string(), "two".to_string()];
        assert_eq!(close_with_unread_input(request, true, two), (received.clone(), ending), "{request:?}");
        // The handler no longer agrees to the close, so the stream stays open until the peer closes it.
        if request != CloseRequest::Moved {
            assert_eq!(
                close_with_unread_input(request, false, two),
                (received, CloseReason::ClosedByPeer),
                "{request:?}, not agreed"
            );
        }
    }
}

/// A line that is queued at the moment in which the peer's address changes belongs to the next stream. Guards against
/// such a line preventing the close, which left the executor's connection at the old address with nothing written to it.
#[test]
fn a_queued_line_does_not_delay_the_close_of_a_connection_whose_peer_moved() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.set_read_timeout(Some(TIMEOUT)).unwrap();
    let handle = may::go!(move || {
        let (stream, _): (TcpStream, _) = listener.accept().unwrap();
        let (send_queue, mut lines) =
            (SendQueue::default(), LineRecorder { received: Vec::new(), always_agrees: true });
        send_queue.request_close(CloseRequest::Moved);
        send_queue.push(b"later\n".to_vec());
        let ending = drive_connection(&stream, &send_queue, None, 64, &mut lines);
        (ending, send_queue.queued_lines())
    });
    assert_eq!(peer.read(&mut [0; 16]).unwrap(), 0, "nothing is written, and the connection closes");
    assert_eq!(handle.join().unwrap(), (CloseReason::Moved, vec![b"later\n".to_vec()]));
}
