//! A stand-in for the executor: cores that all runs share evenly, each run with its work, half of it before its call
//! and half after. It counts the runs of each body, so that a second run of one shows.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a method's runs take.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub core_us: u64,
    pub calls: bool,
    /// The time is drawn for each body by itself, exponentially, with `core_us` as its mean.
    pub is_exponential: bool,
    /// A run that still waits for its call so long after its start is ended, as nobody waits for it any more.
    pub max_wait: Duration,
}

/// How it fares, beside what its methods take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExecutorBehavior {
    /// Work takes so many times as long.
    pub slowdown: f64,
    /// Each run fails at once.
    pub fails_all: bool,
}

pub struct Executor {
    pub at: SocketAddr,
    counts: Arc<Mutex<BTreeMap<Vec<u8>, u32>>>,
    residence: Option<ResidenceTimes>,
    sender: Sender<Message>,
}

/// How long each run was here, from the read of its start to the write of its end, until it is asked for.
type ResidenceTimes = Arc<Mutex<HashMap<String, Duration>>>;

struct Run {
    lane: Work,
    body: Vec<u8>,
    left_us: f64,
    /// It was at its call, or needs none.
    has_called: bool,
    is_waiting: bool,
    started: Instant,
}

struct State {
    works: HashMap<String, Work>,
    cores: f64,
    runs: BTreeMap<String, Run>,
    ended: HashSet<String>,
    pos: u64,
    notices: Vec<String>,
    connection: Option<TcpStream>,
    busy: f64,
    counts: Arc<Mutex<BTreeMap<Vec<u8>, u32>>>,
    residence: Option<ResidenceTimes>,
    behavior: ExecutorBehavior,
    is_cold: bool,
}

enum Message {
    Connection(TcpStream),
    /// And when it was read.
    Line(Value, Instant),
    SetBehavior(ExecutorBehavior),
    /// It ended with its node, and begins anew.
    Restart,
}

impl Executor {
    pub fn start(cores: f64, works: HashMap<String, Work>) -> std::io::Result<Executor> {
        Executor::start_with(cores, works, None)
    }

    /// One that remembers how long each run was there, for [`Executor::take_residence`].
    pub fn start_timed(cores: f64, works: HashMap<String, Work>) -> std::io::Result<Executor> {
        Executor::start_with(cores, works, Some(ResidenceTimes::default()))
    }

    fn start_with(
        cores: f64,
        works: HashMap<String, Work>,
        residence: Option<ResidenceTimes>,
    ) -> std::io::Result<Executor> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let counts: Arc<Mutex<BTreeMap<Vec<u8>, u32>>> = Arc::default();
        let (sender, messages) = channel();
        let executor_sender = sender.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                let _ = stream.set_nodelay(true);
                std::thread::spawn(move || read_messages(&stream, &sender));
            }
        });
        let state = State {
            works,
            cores,
            runs: BTreeMap::new(),
            ended: HashSet::new(),
            pos: 0,
            notices: Vec::new(),
            connection: None,
            busy: 0.0,
            counts: counts.clone(),
            residence: residence.clone(),
            behavior: ExecutorBehavior { slowdown: 1.0, fails_all: false },
            is_cold: false,
        };
        std::thread::spawn(move || state.run(&messages));
        Ok(Executor { at, counts, residence, sender: executor_sender })
    }

    pub fn set(&self, behavior: ExecutorBehavior) {
        let _ = self.sender.send(Message::SetBehavior(behavior));
    }

    /// Its node was killed, and it with it.
    pub fn restart(&self) {
        let _ = self.sender.send(Message::Restart);
    }

    /// How long a run was here that has ended, once; none where that is not remembered.
    pub fn take_residence(&self, run: &str) -> Option<Duration> {
        self.residence.as_ref()?.lock().expect("no panic under it").remove(run)
    }

    /// How often each body was run.
    pub fn counts(&self) -> BTreeMap<Vec<u8>, u32> {
        self.counts.lock().expect("no panic under it").clone()
    }
}

fn read_messages(stream: &TcpStream, sender: &Sender<Message>) {
    let Ok(clone) = stream.try_clone() else { return };
    if sender.send(Message::Connection(clone)).is_err() {
        return;
    }
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let read_at = Instant::now();
        let Ok(value) = serde_json::from_str(&line) else { return };
        if sender.send(Message::Line(value, read_at)).is_err() {
            return;
        }
    }
}

/// A factor for that body, exponential with a mean of 1, the same each time.
fn exponential_factor(body: &[u8]) -> f64 {
    let seed =
        body.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    -(1.0 - fastrand::Rng::with_seed(seed).f64()).ln()
}

/// What a run of this body gives.
pub fn result_of(body: &[u8]) -> Vec<u8> {
    [b"done:", body].concat()
}

impl State {
    fn run(mut self, messages: &Receiver<Message>) {
        let mut before = Instant::now();
        loop {
            let active = self.runs.values().filter(|r| !r.is_waiting).count();
            let rate = if active == 0 { 1.0 } else { (self.cores / active as f64).min(1.0) }
                / self.behavior.slowdown;
            let next =
                self.runs.values().filter(|r| !r.is_waiting).map(Run::until_us).fold(f64::MAX, f64::min);
            let wait = Duration::from_micros((next / rate).clamp(50.0, 50_000.0) as u64);
            let message = messages.recv_timeout(wait);
            let passed_us = before.elapsed().as_micros() as f64;
            before = Instant::now();
            self.busy +=
                ((active as f64 / self.cores).min(1.0) - self.busy) * (passed_us / 500_000.0).min(1.0);
            for run in self.runs.values_mut().filter(|r| !r.is_waiting) {
                run.left_us -= passed_us * rate;
            }
            self.settle();
            match message {
                Ok(Message::Connection(connection)) => self.connection = Some(connection),
                Ok(Message::Line(line, read_at)) => self.command(&line, read_at),
                Ok(Message::SetBehavior(behavior)) => self.behavior = behavior,
                Ok(Message::Restart) => {
                    (self.connection, self.pos, self.is_cold) = (None, 0, true);
                    self.runs.clear();
                    self.ended.clear();
                    self.notices.clear();
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Runs that have come to their call or their end.
    fn settle(&mut self) {
        let due: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, r)| !r.is_waiting && r.until_us() <= 0.0)
            .map(|(id, _)| id.clone())
            .collect();
        let is_expired = |r: &Run| r.is_waiting && r.started.elapsed() >= r.lane.max_wait;
        let expired: Vec<String> =
            self.runs.iter().filter(|(_, r)| is_expired(r)).map(|(id, _)| id.clone()).collect();
        for uid in expired {
            self.ended(&uid, json!({"code": "cancelled", "wall_ms": 1}));
        }
        for uid in due {
            let run = self.runs.get_mut(&uid).expect("just seen");
            if run.has_called {
                let content = BASE64_STANDARD.encode(result_of(&run.body));
                self.ended(&uid, json!({"code": "complete", "wall_ms": 1, "content": content}));
            } else {
                (run.has_called, run.is_waiting) = (true, true);
                let content = BASE64_STANDARD.encode(&run.body);
                self.notice(json!({"action": "CALLOUT", "uid": uid, "content": content}));
            }
        }
    }

    fn ended(&mut self, uid: &str, mut what: Value) {
        if let (Some(run), Some(residence)) = (self.runs.remove(uid), &self.residence) {
            residence.lock().expect("no panic under it").insert(uid.to_string(), run.started.elapsed());
        }
        self.ended.insert(uid.to_string());
        what["action"] = "EXIT".into();
        what["uid"] = uid.into();
        self.notice(what);
    }

    fn notice(&mut self, mut what: Value) {
        self.pos += 1;
        what["pos"] = self.pos.into();
        let line = format!("{what}\n");
        self.send(&line);
        self.notices.push(line);
    }

    fn send(&mut self, line: &str) {
        if let Some(connection) = &mut self.connection {
            let _ = connection.write_all(line.as_bytes());
        }
    }

    fn command(&mut self, line: &Value, read_at: Instant) {
        let text = |field: &str| line[field].as_str().unwrap_or_default().to_string();
        let uid = text("uid");
        match line["action"].as_str().unwrap_or_default() {
            "JOIN" => {
                let code = if self.is_cold { "chilly" } else { "hot" };
                self.send(&format!("{{\"action\":\"WELCOME\",\"code\":\"{code}\",\"wall_ms\":5000}}\n"));
                let from = line["pos"].as_u64().unwrap_or(0) as usize;
                let missed = self.notices[from.min(self.notices.len())..].concat();
                self.send(&missed);
            }
            "EXEC" if !self.runs.contains_key(&uid) && !self.ended.contains(&uid) => {
                let body = BASE64_STANDARD.decode(text("content")).unwrap_or_default();
                *self.counts.lock().expect("no panic under it").entry(body.clone()).or_default() += 1;
                let lane = self.works[&text("lane")];
                let left_us =
                    lane.core_us as f64 * if lane.is_exponential { exponential_factor(&body) } else { 1.0 };
                if self.behavior.fails_all {
                    return self.ended(&uid, json!({"code": "error", "wall_ms": 1}));
                }
                self.runs.insert(
                    uid,
                    Run { lane, body, left_us, has_called: !lane.calls, is_waiting: false, started: read_at },
                );
            }
            "KILL" if self.runs.contains_key(&uid) => {
                self.ended(&uid, json!({"code": "cancelled", "wall_ms": 1}))
            }
            "RETURN" | "BYPASS" => {
                if let Some(run) = self.runs.get_mut(&uid) {
                    run.is_waiting = false;
                }
            }
            "METER" => {
                let runnable = self.runs.values().filter(|r| !r.is_waiting).count();
                let row = json!({"action": "METERS", "echo": line["echo"], "meters": [self.busy, runnable]});
                self.send(&format!("{row}\n"));
            }
            _ => {}
        }
    }
}

impl Run {
    /// Core time to its call, or to its end.
    fn until_us(&self) -> f64 {
        let half = if self.has_called { 0.0 } else { self.lane.core_us as f64 / 2.0 };
        self.left_us - half
    }
}
