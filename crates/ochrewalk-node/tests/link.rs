//! One stream, carried to its end: what lies unread in it is read before it ends as silent, idle or faulty.

use may::net::{TcpListener, TcpStream};
use ochrewalk_node::close_reason::CloseReason;
use ochrewalk_node::net::link::{carry, Finish, Outbox, Reader};
use std::io::{Read, Write};
use std::time::Duration;

/// Far longer than a stream takes to end that ends.
const PATIENCE: Duration = Duration::from_secs(20);

/// Takes lines and lets the stream end where no line came.
struct Lines {
    heard: Vec<String>,
    yields: bool,
}

impl Reader for Lines {
    fn take(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((line, taken)) = ochrewalk_node::wire::line(input) else { return Ok(0) };
        self.heard.push(String::from_utf8_lossy(line).into_owned());
        Ok(taken)
    }

    fn may_end(&self, _how: Finish) -> bool {
        self.yields || self.heard.is_empty()
    }
}

/// A node kept from reading: it is asked to end the stream before it looks at what lies there.
fn asked_while_unread(how: Finish, yields: bool, sent: &'static str) -> (Vec<String>, CloseReason) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.write_all(sent.as_bytes()).unwrap();
    let carried = may::go!(move || {
        let (stream, _): (TcpStream, _) = listener.accept().unwrap();
        while stream.inner().peek(&mut [0]).is_err() && !sent.is_empty() {
            may::coroutine::yield_now();
        }
        let (outbox, mut lines) = (Outbox::default(), Lines { heard: Vec::new(), yields });
        outbox.finish(how);
        let ending = carry(&stream, &outbox, None, 64, &mut lines);
        (lines.heard, ending)
    });
    // Where the stream goes on, its peer ends it.
    if !yields && !sent.is_empty() {
        peer.shutdown(std::net::Shutdown::Write).unwrap();
    }
    carried.join().unwrap()
}

#[test]
fn what_lies_unread_is_read_before_a_stream_ends() {
    let two = "one\ntwo\n";
    for (how, ending) in [
        (Finish::Idle, CloseReason::Idle),
        (Finish::Silent, CloseReason::TimedOut),
        (Finish::Faulty, CloseReason::Malformed("too many faults".into())),
        (Finish::Moved, CloseReason::Moved),
    ] {
        assert_eq!(asked_while_unread(how, true, ""), (vec![], ending.clone()), "{how:?}, nothing there");
        let heard = vec!["one".to_string(), "two".to_string()];
        assert_eq!(asked_while_unread(how, true, two), (heard.clone(), ending), "{how:?}");
        // The reader has come to know better: the stream ends only with its peer.
        if how != Finish::Moved {
            assert_eq!(
                asked_while_unread(how, false, two),
                (heard, CloseReason::ClosedByPeer),
                "{how:?}, kept"
            );
        }
    }
}

/// A line that is put into the outbox in the moment in which its peer moves is for the next stream. It once kept the stream
/// from ending: the executor's link stayed at the old address, and nothing was written there any more.
#[test]
fn a_line_that_waits_does_not_keep_a_stream_from_moving() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.set_read_timeout(Some(PATIENCE)).unwrap();
    let carried = may::go!(move || {
        let (stream, _): (TcpStream, _) = listener.accept().unwrap();
        let (outbox, mut lines) = (Outbox::default(), Lines { heard: Vec::new(), yields: true });
        outbox.finish(Finish::Moved);
        outbox.push(b"later\n".to_vec());
        let ending = carry(&stream, &outbox, None, 64, &mut lines);
        (ending, outbox.waiting())
    });
    assert_eq!(peer.read(&mut [0; 16]).unwrap(), 0, "nothing is written, and it ends");
    assert_eq!(carried.join().unwrap(), (CloseReason::Moved, vec![b"later\n".to_vec()]));
}
