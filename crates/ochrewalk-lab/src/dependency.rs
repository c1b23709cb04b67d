//! A stand-in for the ledger below: an AJP server that answers, slows, fails and closes as it is told, call by call.

use ochrewalk_ajp::packet::USUAL_PACKET;
use ochrewalk_ajp::reply::{self, Head, Message};
use ochrewalk_ajp::request::{self, BodyLength};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A call as it came.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// How many came before it, on any connection.
    pub number: u64,
    /// The connection, counted from 0, and how many calls came on it before.
    pub connection: u64,
    pub before: u64,
    /// A ping was answered just before it.
    pub was_pinged: bool,
    pub id: String,
    pub secret: Option<String>,
    pub body: Vec<u8>,
}

/// What is done with a call.
#[derive(Clone, Debug)]
pub enum CallAction {
    /// This status and body, after so long.
    Answer { status: u16, never_ran: bool, body: Vec<u8>, after: Duration },
    /// It runs, and then only so many bytes of its answer are written before the connection closes.
    Truncate(usize),
    /// It runs, and half of its answer is written; nothing more comes.
    HalfAnswer,
    /// It runs, and its answer comes twice.
    AnswerTwice,
    /// Its answer states a length that never comes.
    ShortBody,
    /// It never runs: the connection closes as soon as its first bytes are read.
    Drop,
    /// It runs, and nothing ever comes.
    NoAnswer,
    /// It runs and is answered; the connection takes no other.
    AnswerAndClose,
}

impl CallAction {
    pub fn ok(body: &[u8]) -> CallAction {
        CallAction::Answer { status: 200, never_ran: false, body: body.to_vec(), after: Duration::ZERO }
    }
}

type Script = dyn Fn(&ReceivedCall) -> CallAction + Send + Sync;

/// A ledger that listens until it is dropped.
pub struct Dependency {
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    script: Box<Script>,
    /// Calls that ran, by the order in which they came.
    ran: Mutex<Vec<ReceivedCall>>,
    next: AtomicU64,
    connections: AtomicU64,
    pings: AtomicU64,
    is_stopped: AtomicBool,
    /// Kept connections are closed once they carried nothing for so long.
    idle: Duration,
}

impl Dependency {
    /// Listens at the address; port 0 for any. Kept connections are closed after `idle`.
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

    /// The calls that ran, in order.
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
            match request::read(&input, USUAL_PACKET) {
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
                Ok(Some((request::Message::Request(request), taken))) => {
                    let text = |bytes: Option<&[u8]>| bytes.map(|b| String::from_utf8_lossy(b).into_owned());
                    let call = ReceivedCall {
                        number: self.next.fetch_add(1, Ordering::Relaxed),
                        connection,
                        before,
                        was_pinged,
                        id: text(request.header("x-request-id")).unwrap_or_default(),
                        secret: text(request.attribute(request::Which::Secret)),
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

    /// Carries one call out; says whether the connection goes on.
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
            if !std::mem::take(&mut first) && stream.write_all(&message(&Message::GetBody(8_000))).is_err() {
                return false;
            }
            let complete = loop {
                match request::read_piece(input, USUAL_PACKET) {
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
        // A stated refusal is no run.
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
                // All but its end.
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
    message.write(&mut out, USUAL_PACKET).expect("fits");
    out
}

fn encode_answer(status: u16, never_ran: bool, body: &[u8], stated: Option<usize>, reuse: bool) -> Vec<u8> {
    let length = stated.unwrap_or(body.len()).to_string();
    let mut headers: Vec<(&[u8], &[u8])> = vec![(b"content-length", length.as_bytes())];
    if never_ran {
        headers.push((b"x-ochrewalk-never-ran", b"1"));
    }
    let mut out = Vec::new();
    let head = Head { status, words: b"-", headers };
    reply::write_answer(&mut out, USUAL_PACKET, head, body, reuse).expect("fits");
    out
}
