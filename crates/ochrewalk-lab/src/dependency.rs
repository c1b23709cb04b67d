//! Stand-in for the shared upstream dependency: an AJP server that answers, delays, fails or closes the connection as
//! a script decides for each call.

use ochrewalk_ajp::packet::DEFAULT_PACKET_BYTES;
use ochrewalk_ajp::reply::{self, Message, ResponseHead};
use ochrewalk_ajp::request::{self, BodyLength};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A call as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// The number of earlier calls on any connection.
    pub number: u64,
    /// The index of the connection, from 0.
    pub connection: u64,
    /// The number of earlier calls on the same connection.
    pub before: u64,
    /// Whether a ping was answered directly before the call.
    pub was_pinged: bool,
    pub id: String,
    pub secret: Option<String>,
    pub body: Vec<u8>,
}

/// The handling of a call.
#[derive(Clone, Debug)]
pub enum CallAction {
    /// Answers with this status and body after a delay.
    Answer { status: u16, never_ran: bool, body: Vec<u8>, after: Duration },
    /// Runs the call and closes the connection after this number of bytes of the answer.
    Truncate(usize),
    /// Runs the call and sends only the first half of the answer.
    HalfAnswer,
    /// Runs the call and sends the answer twice.
    AnswerTwice,
    /// Sends an answer whose body is shorter than its stated length.
    ShortBody,
    /// Closes the connection as soon as the first bytes of the call are read, without running it.
    Drop,
    /// Runs the call and never answers.
    NoAnswer,
    /// Runs and answers the call; the connection takes no further calls.
    AnswerAndClose,
}

impl CallAction {
    pub fn ok(body: &[u8]) -> CallAction {
        CallAction::Answer { status: 200, never_ran: false, body: body.to_vec(), after: Duration::ZERO }
    }
}

type Script = dyn Fn(&ReceivedCall) -> CallAction + Send + Sync;

/// A dependency that listens until it is dropped.
pub struct Dependency {
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    script: Box<Script>,
    /// The calls that ran, in the order in which they were received.
    ran: Mutex<Vec<ReceivedCall>>,
    next: AtomicU64,
    connections: AtomicU64,
    pings: AtomicU64,
    is_stopped: AtomicBool,
    /// The time after which an idle connection is closed.
    idle: Duration,
}

impl Dependency {
    /// Starts listening at the address, where port 0 selects any free port. Connections are closed after `idle`
    /// without traffic.
    pub fn start(
        at: SocketAddr,
        idle: Duration,
        script: impl Fn(&ReceivedCall) -> CallAction + Send + Sync + 'static,
    ) -> std::io::Result<Dependency> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        let shared = Arc::new(Shared {
            script: Box::new(script),
            ran: Mutex::default(),
            next: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            pings: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            idle,
        });
        let server = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if server.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (Ok(stream), server) = (stream, server.clone()) else { continue };
                let number = server.connections.fetch_add(1, Ordering::Relaxed);
                std::thread::spawn(move || server.serve(stream, number));
            }
        });
        Ok(Dependency { at, shared })
    }

    /// Returns the calls that ran, in order.
    pub fn ran(&self) -> Vec<ReceivedCall> {
        self.shared.ran.lock().expect("no panic under it").clone()
    }

    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    pub fn pings(&self) -> u64 {
        self.shared.pings.load(Ordering::Relaxed)
    }
}

impl Drop for Dependency {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect_timeout(&self.at, Duration::from_millis(100));
    }
}

impl Shared {
    fn serve(&self, mut stream: TcpStream, connection: u64) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(self.idle));
        let (mut input, mut before, mut was_pinged) = (Vec::new(), 0, false);
        loop {
            match request::read(&input, DEFAULT_PACKET_BYTES) {
                Err(_) => return,
                Ok(None) => {
                    if !read_more(&mut stream, &mut input) {
                        return;
                    }
                }
                Ok(Some((request::Message::CPing, taken))) => {
                    input.drain(..taken);
                    was_pinged = true;
                    self.pings.fetch_add(1, Ordering::Relaxed);
                    if stream.write_all(&message(&Message::CPong)).is_err() {
                        return;
                    }
                }
                Ok(Some((request::Message::ForwardRequest(request), taken))) => {
                    let text = |bytes: Option<&[u8]>| bytes.map(|b| String::from_utf8_lossy(b).into_owned());
                    let call = ReceivedCall {
                        number: self.next.fetch_add(1, Ordering::Relaxed),
                        connection,
                        before,
                        was_pinged,
                        id: text(request.header("x-request-id")).unwrap_or_default(),
                        secret: text(request.attribute(request::StringAttribute::Secret)),
                        body: Vec::new(),
                    };
                    let length = request.body_length();
                    input.drain(..taken);
                    (before, was_pinged) = (before + 1, false);
                    if !self.call(&mut stream, &mut input, call, length) {
                        return;
                    }
                }
                Ok(Some(_)) => return,
            }
        }
    }

    /// Reads the body of a call and runs it. Returns whether the connection stays open.
    fn call(
        &self,
        stream: &mut TcpStream,
        input: &mut Vec<u8>,
        mut call: ReceivedCall,
        length: Option<BodyLength>,
    ) -> bool {
        let action = (self.script)(&call);
        if let CallAction::Drop = action {
            return false;
        }
        let Some(BodyLength::Stated(length)) = length else { return self.run(stream, call, action) };
        let mut first = true;
        while (call.body.len() as u64) < length {
            if !std::mem::take(&mut first)
                && stream.write_all(&message(&Message::GetBodyChunk(8_000))).is_err()
            {
                return false;
            }
            let complete = loop {
                match request::read_body_chunk(input, DEFAULT_PACKET_BYTES) {
                    Ok(Some((piece, taken))) => {
                        call.body.extend_from_slice(piece);
                        break Some(taken);
                    }
                    Ok(None) => {}
                    Err(_) => break None,
                }
                if !read_more(stream, input) {
                    break None;
                }
            };
            let Some(taken) = complete else { return false };
            input.drain(..taken);
        }
        self.run(stream, call, action)
    }

    fn run(&self, stream: &mut TcpStream, call: ReceivedCall, action: CallAction) -> bool {
        // A rejection that states that the call never ran does not count as a run.
        let ran = !matches!(action, CallAction::Answer { never_ran: true, .. });
        let echo = call.body.clone();
        if ran {
            self.ran.lock().expect("no panic under it").push(call);
        }
        let ok_answer = |stated: Option<usize>, reuse| encode_answer(200, false, &echo, stated, reuse);
        match action {
            CallAction::Answer { status, never_ran, body, after } => {
                std::thread::sleep(after);
                stream.write_all(&encode_answer(status, never_ran, &body, None, true)).is_ok()
            }
            CallAction::Truncate(bytes) => {
                let answer = ok_answer(None, true);
                let _ = stream.write_all(&answer[..bytes.min(answer.len() - 1)]);
                false
            }
            CallAction::HalfAnswer => {
                let answer = ok_answer(None, true);
                let _ = stream.write_all(&answer[..answer.len() / 2]);
                read_more(stream, &mut Vec::new());
                false
            }
            CallAction::AnswerTwice => {
                stream.write_all(&[ok_answer(None, true), ok_answer(None, true)].concat()).is_ok()
            }
            CallAction::ShortBody => {
                let answer = ok_answer(Some(echo.len() + 1_000), true);
                // Omits the last 6 bytes, which end the answer.
                let _ = stream.write_all(&answer[..answer.len() - 6]);
                read_more(stream, &mut Vec::new());
                false
            }
            CallAction::Drop => false,
            CallAction::NoAnswer => read_more(stream, &mut Vec::new()),
            CallAction::AnswerAndClose => {
                let _ = stream.write_all(&ok_answer(None, false));
                false
            }
        }
    }
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 4096];
    match stream.read(&mut chunk) {
        Ok(got) if got > 0 => {
            input.extend_from_slice(&chunk[..got]);
            true
        }
        _ => false,
    }
}

fn message(message: &Message) -> Vec<u8> {
    let mut out = Vec::new();
    message.write(&mut out, DEFAULT_PACKET_BYTES).expect("fits");
    out
}

fn encode_answer(status: u16, never_ran: bool, body: &[u8], stated: Option<usize>, reuse: bool) -> Vec<u8> {
    let length = stated.unwrap_or(body.len()).to_string();
    let mut headers: Vec<(&[u8], &[u8])> = vec![(b"content-length", length.as_bytes())];
    if never_ran {
        headers.push((b"x-ochrewalk-never-ran", b"1"));
    }
    let mut out = Vec::new();
    let head = ResponseHead { status, reason: b"-", headers };
    reply::write_response(&mut out, DEFAULT_PACKET_BYTES, head, body, reuse).expect("fits");
    out
}
