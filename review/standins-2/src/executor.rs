//! The executor: shares its cores evenly among runs, keeps its notices, and knows the requests that came to this
//! machine, as the protocol page says. A run is a list of pieces of work with a call between each two of them.

use crate::json::{base64, parse, unbase64, Value};
use crate::world::{Request, World};
use std::collections::{BTreeMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Halt {
    Pause,
    Drop,
}

pub type Pieces = Arc<dyn Fn(&str, &[u8]) -> Vec<u64> + Send + Sync>;

enum Message {
    Link(u64, TcpStream),
    Line(u64, Value),
    /// Anything on a link that is no command ends it.
    Noise(u64),
    Break,
    /// From now on nothing more is read, up to the break that follows.
    Deafen,
    Settle(Sender<Counts>),
}

#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub running: usize,
    pub links: u64,
    pub lost_commands: Vec<String>,
}

/// Whose requests an executor runs.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Knows {
    /// Only those that came to this machine by its dispatchers.
    Dispatchers,
    /// Whatever the node has it run, as with AJP in front.
    Everything,
}

pub struct Executor {
    pub at: SocketAddr,
    messages: Sender<Message>,
}

struct Run {
    pieces: Vec<u64>,
    piece: usize,
    left_us: f64,
    is_waiting: bool,
    is_paused: bool,
}

struct State {
    knows: Knows,
    world: Arc<World>,
    halt: Halt,
    cores: f64,
    pieces: Pieces,
    runs: BTreeMap<String, Run>,
    ended: HashSet<String>,
    notices: Vec<String>,
    link: Option<(u64, Writer)>,
    chunks: Duration,
    links: u64,
    is_deaf: bool,
    lost: Vec<String>,
    born: Instant,
    busy: f64,
}

/// The body of call number `call` of a run, and the reply that belongs to it.
pub fn call_body(uid: &str, call: usize) -> Vec<u8> {
    format!("call {call} of {uid}").into_bytes()
}
pub fn reply_to(body: &[u8]) -> Vec<u8> {
    [b"reply to ", body].concat()
}
pub fn result_of(body: &[u8]) -> Vec<u8> {
    [b"result of ", body].concat()
}

impl Executor {
    pub fn start(world: Arc<World>, cores: f64, halt: Halt, pieces: Pieces, chunks: Duration) -> Executor {
        Executor::start_for(Knows::Dispatchers, world, cores, halt, pieces, chunks)
    }
    pub fn start_for(
        knows: Knows,
        world: Arc<World>,
        cores: f64,
        halt: Halt,
        pieces: Pieces,
        chunks: Duration,
    ) -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("an address");
        let (messages, received) = channel();
        let to_state = messages.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let sender = to_state.clone();
                let _ = stream.set_nodelay(true);
                std::thread::spawn(move || read(number as u64, &stream, &sender));
            }
        });
        let state = State {
            knows,
            world,
            halt,
            cores,
            pieces,
            runs: BTreeMap::new(),
            ended: HashSet::new(),
            notices: Vec::new(),
            link: None,
            chunks,
            links: 0,
            is_deaf: false,
            lost: Vec::new(),
            born: Instant::now(),
            busy: 0.0,
        };
        std::thread::spawn(move || state.run(&received));
        Executor { at, messages }
    }
    /// Breaks the link. The commands of the last `lost` before the break are lost with it.
    pub fn break_link(&self, lost: Duration) {
        if !lost.is_zero() {
            let _ = self.messages.send(Message::Deafen);
            std::thread::sleep(lost);
        }
        let _ = self.messages.send(Message::Break);
    }
    pub fn counts(&self) -> Counts {
        let (sender, receiver) = channel();
        let _ = self.messages.send(Message::Settle(sender));
        receiver.recv_timeout(Duration::from_secs(2)).unwrap_or_default()
    }
}

fn read(number: u64, stream: &TcpStream, sender: &Sender<Message>) {
    let Ok(clone) = stream.try_clone() else { return };
    if sender.send(Message::Link(number, clone)).is_err() {
        return;
    }
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { return };
        let message = match parse(&line) {
            Some(value) if value.text("action").is_some() => Message::Line(number, value),
            _ => Message::Noise(number),
        };
        if sender.send(message).is_err() {
            return;
        }
    }
}

impl State {
    fn run(mut self, messages: &Receiver<Message>) {
        let mut before = Instant::now();
        loop {
            let active = self.runs.values().filter(|r| r.is_on_core()).count();
            let rate = (self.cores / active.max(1) as f64).min(1.0);
            let next =
                self.runs.values().filter(|r| r.is_on_core()).map(|r| r.left_us).fold(f64::MAX, f64::min);
            let wait = Duration::from_micros((next / rate).clamp(50.0, 20_000.0) as u64);
            let message = messages.recv_timeout(wait);
            let passed_us = before.elapsed().as_secs_f64() * 1e6;
            before = Instant::now();
            self.busy +=
                ((active as f64 / self.cores).min(1.0) - self.busy) * (passed_us / 500_000.0).min(1.0);
            for run in self.runs.values_mut().filter(|r| r.is_on_core()) {
                run.left_us -= passed_us * rate;
            }
            self.settle();
            match message {
                Ok(Message::Link(number, stream)) => {
                    // A new link takes the place of the one before, from its JOIN on.
                    self.links += 1;
                    let writer = Writer::new(&self.world, stream, self.chunks);
                    if let Some((_, old)) = self.link.replace((number, writer)) {
                        old.end();
                    }
                }
                Ok(Message::Line(number, line)) if self.is_current(number) && self.is_deaf => {
                    self.lost.push(format!(
                        "{} {}",
                        line.text("action").unwrap_or(""),
                        line.text("uid").unwrap_or("")
                    ));
                }
                Ok(Message::Line(number, line)) if self.is_current(number) => self.command(&line),
                Ok(Message::Noise(number)) if self.is_current(number) => self.end_link(),
                Ok(Message::Line(..) | Message::Noise(_)) => {}
                Ok(Message::Deafen) => self.is_deaf = true,
                Ok(Message::Break) => {
                    self.is_deaf = false;
                    self.end_link();
                }
                Ok(Message::Settle(reply)) => {
                    let _ = reply.send(Counts {
                        running: self.runs.len(),
                        links: self.links,
                        lost_commands: self.lost.clone(),
                    });
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn is_current(&self, number: u64) -> bool {
        self.link.as_ref().is_some_and(|(current, _)| *current == number)
    }

    fn end_link(&mut self) {
        if let Some((_, writer)) = self.link.take() {
            writer.end();
        }
    }

    fn settle(&mut self) {
        let due: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, run)| run.is_on_core() && run.left_us <= 0.0)
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in due {
            let run = self.runs.get_mut(&uid).expect("just seen");
            if run.piece + 1 == run.pieces.len() {
                let body = self.world.with(|requests| requests[&uid].body.clone());
                self.end(
                    &uid,
                    &format!(
                        "\"code\":\"complete\",\"wall_ms\":1,\"content\":\"{}\"",
                        base64(&result_of(&body))
                    ),
                );
                continue;
            }
            run.is_waiting = true;
            let call = run.piece;
            let content = base64(&call_body(&uid, call));
            self.world.note(&format!("executor: run {uid} needs call {call}"));
            self.notice(&format!("\"action\":\"CALLOUT\",\"uid\":\"{uid}\",\"content\":\"{content}\""));
        }
        // A run that is at a call, or stopped, ends once its request is over.
        let over: Vec<String> = self
            .runs
            .iter()
            .filter(|(uid, run)| (run.is_waiting || run.is_paused) && self.world.is_over(uid))
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in over {
            self.end(&uid, "\"code\":\"cancelled\",\"wall_ms\":1");
        }
    }

    fn end(&mut self, uid: &str, rest: &str) {
        self.runs.remove(uid);
        self.ended.insert(uid.into());
        self.world.note(&format!("executor: run {uid} ends, {}", &rest[..rest.len().min(20)]));
        self.notice(&format!("\"action\":\"EXIT\",\"uid\":\"{uid}\",{rest}"));
    }

    fn notice(&mut self, rest: &str) {
        let line = format!("{{\"pos\":{},{rest}}}\n", self.notices.len() + 1);
        self.send(&line);
        self.notices.push(line);
    }

    fn send(&mut self, line: &str) {
        if let Some((_, writer)) = &mut self.link {
            writer.write(line.as_bytes());
        }
    }

    /// Takes a request that came by AJP as one of this machine's.
    fn learn(&self, uid: &str, line: &Value) {
        let body = unbase64(line.text("content").unwrap_or_default()).unwrap_or_default();
        let method = line.text("lane").unwrap_or_default().to_string();
        let sent = Instant::now();
        self.world.with(|requests| {
            let new = || Request { method, body, sent, answer: None, answers: 0, runs: 0 };
            requests.entry(uid.to_string()).or_insert_with(new);
        });
    }

    fn command(&mut self, line: &Value) {
        let action = line.text("action").unwrap_or_default().to_string();
        let uid = line.text("uid").unwrap_or_default().to_string();
        match action.as_str() {
            "JOIN" => {
                let up_ms = self.born.elapsed().as_millis() + 100_000;
                self.send(&format!("{{\"action\":\"WELCOME\",\"code\":\"hot\",\"wall_ms\":{up_ms}}}\n"));
                let from = line.number("pos").unwrap_or(0.0) as usize;
                let missed = self.notices[from.min(self.notices.len())..].concat();
                self.send(&missed);
                return;
            }
            "METER" => {
                let active = self.runs.values().filter(|r| r.is_on_core()).count();
                let echo = line.text("echo").unwrap_or_default();
                let text = format!(
                    "{{\"action\":\"METERS\",\"echo\":\"{echo}\",\"meters\":[{:.4},{active}]}}\n",
                    self.busy
                );
                return self.send(&text);
            }
            _ => {}
        }
        if self.knows == Knows::Everything && action == "EXEC" {
            self.learn(&uid, line);
        }
        let known =
            self.world.with(|requests| requests.get(&uid).map(|r| (r.method.clone(), r.body.clone())));
        let Some((method, body)) = known else {
            return self.send(&format!("{{\"action\":\"BAD\",\"code\":\"{action}\",\"uid\":\"{uid}\"}}\n"));
        };
        match action.as_str() {
            "EXEC" => {
                let content = unbase64(line.text("content").unwrap_or_default()).unwrap_or_default();
                let is_over = self.ended.contains(&uid) || self.world.is_over(&uid);
                if !is_over && (content != body || line.text("lane") != Some(&method)) {
                    self.world.violation(format!("run {uid} got another body or class than was sent"));
                }
                if let Some(run) = self.runs.get_mut(&uid) {
                    run.is_paused = false;
                    return;
                }
                if is_over {
                    self.world.note(&format!("executor: EXEC for {uid}, which is over"));
                    return self.end(&uid, "\"code\":\"unknown\",\"wall_ms\":0");
                }
                let pieces = (self.pieces)(&method, &body);
                self.world.note(&format!("executor: run {uid} {method} starts"));
                self.world.with(|requests| requests.get_mut(&uid).expect("known").runs += 1);
                let left_us = pieces[0] as f64;
                self.runs.insert(uid, Run { pieces, piece: 0, left_us, is_waiting: false, is_paused: false });
            }
            "KILL" => {
                let is_over = self.world.is_over(&uid);
                let Some(run) = self.runs.get_mut(&uid) else { return };
                if is_over {
                    self.end(&uid, "\"code\":\"cancelled\",\"wall_ms\":1");
                } else if self.halt == Halt::Pause {
                    run.is_paused = !run.is_waiting;
                } else {
                    self.end(&uid, "\"code\":\"cancelled\",\"wall_ms\":1");
                }
            }
            "WAKE" => {
                if let Some(run) = self.runs.get_mut(&uid) {
                    run.is_paused = false;
                }
            }
            "RETURN" | "BYPASS" => {
                let Some(run) = self.runs.get_mut(&uid).filter(|run| run.is_waiting) else {
                    return self.world.note(&format!(
                        "executor: {action} for {uid}, which waits for no call: passed over"
                    ));
                };
                if action == "RETURN" {
                    let content = unbase64(line.text("content").unwrap_or_default()).unwrap_or_default();
                    let call = run.piece;
                    if content == reply_to(&call_body(&uid, call)) {
                        self.world.note(&format!("executor: run {uid} gets the reply to call {call}"));
                    } else {
                        let text = String::from_utf8_lossy(&content).into_owned();
                        self.world.violation(format!(
                            "run {uid} waits for call {call} and was given as its reply: '{text}'"
                        ));
                    }
                }
                run.is_waiting = false;
                run.piece += 1;
                run.left_us = run.pieces[run.piece] as f64;
            }
            _ => {}
        }
    }
}

impl Run {
    fn is_on_core(&self) -> bool {
        !self.is_waiting && !self.is_paused
    }
}

/// The writing side of one link. With `chunks`, all but the end of what there is to write is written, and the rest after
/// that time: notices come in pieces.
struct Writer {
    stream: TcpStream,
    buffer: Option<Arc<Mutex<Buffer>>>,
}

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    is_ended: bool,
}

impl Writer {
    fn new(world: &Arc<World>, stream: TcpStream, chunks: Duration) -> Writer {
        if chunks.is_zero() {
            return Writer { stream, buffer: None };
        }
        let buffer: Arc<Mutex<Buffer>> = Arc::default();
        let (of, mut to, world) = (buffer.clone(), stream.try_clone().expect("a descriptor"), world.clone());
        std::thread::spawn(move || loop {
            std::thread::sleep(chunks);
            let mut buffer = of.lock().expect("no panic under it");
            if buffer.is_ended {
                return;
            }
            let last_line = buffer
                .bytes
                .iter()
                .rev()
                .skip(1)
                .position(|b| *b == b'\n')
                .map_or(0, |n| buffer.bytes.len() - 1 - n);
            let length = buffer.bytes.len();
            // Cuts the last line at a random byte; a rest of an earlier line goes out as a whole.
            let cut = if length - last_line > 1 && world.between(0, 1) == 0 {
                last_line + world.between(1, (length - last_line - 1) as u64) as usize
            } else {
                length
            };
            let piece: Vec<u8> = buffer.bytes.drain(..cut).collect();
            drop(buffer);
            if to.write_all(&piece).is_err() {
                return;
            }
        });
        Writer { stream, buffer: Some(buffer) }
    }
    fn write(&mut self, bytes: &[u8]) {
        match &self.buffer {
            Some(buffer) => buffer.lock().expect("no panic under it").bytes.extend_from_slice(bytes),
            None => drop(self.stream.write_all(bytes)),
        }
    }
    fn end(&self) {
        if let Some(buffer) = &self.buffer {
            buffer.lock().expect("no panic under it").is_ended = true;
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
