//! A stand-in for the ledger below: an AJP server that answers, slows, fails and closes as it is told, call by call.

use ochrewalk_ajp::packet::DEFAULT_PACKET_BYTES;
use ochrewalk_ajp::reply::{self, Message, ResponseHead};
use ochrewalk_ajp::request::{self, BodyLength};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A call as it came.
#[derive(Clone, Debug)]
pub struct Came {
    /// How many came before it, on any connection.
    pub number: u64,
    /// The connection, counted from 0, and how many calls came on it before.
    pub connection: u64,
    pub before: u64,
    /// A ping was answered just before it.
    pub proven: bool,
    pub id: String,
    pub secret: Option<String>,
    pub body: Vec<u8>,
}

/// What is done with a call.
#[derive(Clone, Debug)]
pub enum Act {
    /// This status and body, after so long.
    Answer { status: u16, never_ran: bool, body: Vec<u8>, after: Duration },
    /// It runs, and then only so many bytes of its answer are written before the connection closes.
    Cut(usize),
    /// It runs, and half of its answer is written; nothing more comes.
    Half,
    /// It runs, and its answer comes twice.
    Twice,
    /// Its answer states a length that never comes.
    Short,
    /// It never runs: the connection closes as soon as its first bytes are read.
    Drop,
    /// It runs, and nothing ever comes.
    Silence,
    /// It runs and is answered; the connection takes no other.
    Last,
}

impl Act {
    pub fn good(body: &[u8]) -> Act {
        Act::Answer { status: 200, never_ran: false, body: body.to_vec(), after: Duration::ZERO }
    }
}

type Script = dyn Fn(&Came) -> Act + Send + Sync;

/// A ledger that listens until it is dropped.
pub struct Ledger {
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    script: Box<Script>,
    /// Calls that ran, by the order in which they came.
    ran: Mutex<Vec<Came>>,
    next: AtomicU64,
    connections: AtomicU64,
    pings: AtomicU64,
    over: AtomicBool,
    /// Kept connections are closed once they carried nothing for so long.
    idle: Duration,
}

impl Ledger {
    /// Listens at the address; port 0 for any. Kept connections are closed after `idle`.
    pub fn start(
        at: SocketAddr,
        idle: Duration,
        script: impl Fn(&Came) -> Act + Send + Sync + 'static,
    ) -> std::io::Result<Ledger> {
        let listener = TcpListener::bind(at)?;
        let at = listener.local_addr()?;
        let shared = Arc::new(Shared {
            script: Box::new(script),
            ran: Mutex::default(),
            next: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            pings: AtomicU64::new(0),
            over: AtomicBool::new(false),
            idle,
        });
        let of = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if of.over.load(Ordering::Relaxed) {
                    return;
                }
                let (Ok(stream), of) = (stream, of.clone()) else { continue };
                let number = of.connections.fetch_add(1, Ordering::Relaxed);
                std::thread::spawn(move || of.serve(stream, number));
            }
        });
        Ok(Ledger { at, shared })
    }

    /// The calls that ran, in order.
    pub fn ran(&self) -> Vec<Came> {
        self.shared.ran.lock().expect("no panic under it").clone()
    }

    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    pub fn pings(&self) -> u64 {
        self.shared.pings.load(Ordering::Relaxed)
    }
}

impl Drop for Ledger {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect_timeout(&self.at, Duration::from_millis(100));
    }
}

impl Shared {
    fn serve(&self, mut stream: TcpStream, connection: u64) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(self.idle));
        let (mut input, mut before, mut proven) = (Vec::new(), 0, false);
        loop {
            match request::read(&input, DEFAULT_PACKET_BYTES) {
                Err(_) => return,
                Ok(None) => {
                    if !more(&mut stream, &mut input) {
                        return;
                    }
                }
                Ok(Some((request::Message::CPing, taken))) => {
                    input.drain(..taken);
                    proven = true;
                    self.pings.fetch_add(1, Ordering::Relaxed);
                    if stream.write_all(&message(&Message::CPong)).is_err() {
                        return;
                    }
                }
                Ok(Some((request::Message::ForwardRequest(request), taken))) => {
                    let text = |bytes: Option<&[u8]>| bytes.map(|b| String::from_utf8_lossy(b).into_owned());
                    let came = Came {
                        number: self.next.fetch_add(1, Ordering::Relaxed),
                        connection,
                        before,
                        proven,
                        id: text(request.header("x-request-id")).unwrap_or_default(),
                        secret: text(request.attribute(request::StringAttribute::Secret)),
                        body: Vec::new(),
                    };
                    let length = request.body_length();
                    input.drain(..taken);
                    (before, proven) = (before + 1, false);
                    if !self.call(&mut stream, &mut input, came, length) {
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
        mut came: Came,
        length: Option<BodyLength>,
    ) -> bool {
        let act = (self.script)(&came);
        if let Act::Drop = act {
            return false;
        }
        let Some(BodyLength::Stated(length)) = length else { return self.run(stream, came, act) };
        let mut first = true;
        while (came.body.len() as u64) < length {
            if !std::mem::take(&mut first)
                && stream.write_all(&message(&Message::GetBodyChunk(8_000))).is_err()
            {
                return false;
            }
            let whole = loop {
                match request::read_body_chunk(input, DEFAULT_PACKET_BYTES) {
                    Ok(Some((piece, taken))) => {
                        came.body.extend_from_slice(piece);
                        break Some(taken);
                    }
                    Ok(None) => {}
                    Err(_) => break None,
                }
                if !more(stream, input) {
                    break None;
                }
            };
            let Some(taken) = whole else { return false };
            input.drain(..taken);
        }
        self.run(stream, came, act)
    }

    fn run(&self, stream: &mut TcpStream, came: Came, act: Act) -> bool {
        // A stated refusal is no run.
        let ran = !matches!(act, Act::Answer { never_ran: true, .. });
        let echo = came.body.clone();
        if ran {
            self.ran.lock().expect("no panic under it").push(came);
        }
        let good = |stated: Option<usize>, reuse| answer(200, false, &echo, stated, reuse);
        match act {
            Act::Answer { status, never_ran, body, after } => {
                std::thread::sleep(after);
                stream.write_all(&answer(status, never_ran, &body, None, true)).is_ok()
            }
            Act::Cut(bytes) => {
                let whole = good(None, true);
                let _ = stream.write_all(&whole[..bytes.min(whole.len() - 1)]);
                false
            }
            Act::Half => {
                let whole = good(None, true);
                let _ = stream.write_all(&whole[..whole.len() / 2]);
                more(stream, &mut Vec::new());
                false
            }
            Act::Twice => stream.write_all(&[good(None, true), good(None, true)].concat()).is_ok(),
            Act::Short => {
                let whole = good(Some(echo.len() + 1_000), true);
                // All but its end.
                let _ = stream.write_all(&whole[..whole.len() - 6]);
                more(stream, &mut Vec::new());
                false
            }
            Act::Drop => false,
            Act::Silence => more(stream, &mut Vec::new()),
            Act::Last => {
                let _ = stream.write_all(&good(None, false));
                false
            }
        }
    }
}

fn more(stream: &mut TcpStream, input: &mut Vec<u8>) -> bool {
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

fn answer(status: u16, never_ran: bool, body: &[u8], stated: Option<usize>, reuse: bool) -> Vec<u8> {
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
