//! Stand-in for the executor: all runs share its cores evenly, and each run does half of its work before its upstream
//! call and half after. The stand-in counts the runs of each body, so that a repeated run is detected.

use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The work of each run of a method.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub core_us: u64,
    /// Whether a run makes an upstream call.
    pub calls: bool,
    /// Whether the core time of each body is drawn from an exponential distribution with mean `core_us`.
    pub is_exponential: bool,
    /// The time after its start at which a run that still waits for its upstream call is cancelled, because
    /// its caller has stopped waiting.
    pub max_wait: Duration,
}

/// Faults of the executor, in addition to the work of its methods.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExecutorBehavior {
    /// The factor by which all work takes longer.
    pub slowdown: f64,
    /// Whether each run fails immediately.
    pub fails_all: bool,
}

pub struct Executor {
    pub at: SocketAddr,
    counts: Arc<Mutex<BTreeMap<Vec<u8>, u32>>>,
    residence: Option<ResidenceTimes>,
    sender: Sender<Message>,
}

/// The time from reading the start of each run to writing its end; an entry is removed when it is queried.
type ResidenceTimes = Arc<Mutex<HashMap<String, Duration>>>;

struct Run {
    lane: Work,
    body: Vec<u8>,
    left_us: f64,
    /// Whether the upstream call of the run has been made, or the run makes none.
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
    /// A line from the node, and the time at which it was read.
    Line(Value, Instant),
    SetBehavior(ExecutorBehavior),
    /// Clears all state, as after a restart of the executor together with its node.
    Restart,
}

impl Executor {
    pub fn start(cores: f64, works: HashMap<String, Work>) -> std::io::Result<Executor> {
        Executor::start_with(cores, works, None)
    }

    /// Starts an executor that records the residence time of each run for [`Executor::take_residence`].
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

    /// Restarts the executor cold, as after its node was killed.
    pub fn restart(&self) {
        let _ = self.sender.send(Message::Restart);
    }

    /// Removes and returns the residence time of a run that has ended, or `None` if residence times are not recorded.
    pub fn take_residence(&self, run: &str) -> Option<Duration> {
        self.residence.as_ref()?.lock().expect("no panic under it").remove(run)
    }

    /// Returns the number of runs of each body.
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

/// Returns a factor for this body from an exponential distribution with mean 1. The same body always has the same
/// factor.
fn exponential_factor(body: &[u8]) -> f64 {
    let seed =
        body.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    -(1.0 - fastrand::Rng::with_seed(seed).f64()).ln()
}

/// Returns the result of a run of this body.
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

    /// Handles runs that have reached their upstream call or their end, and cancels runs that have waited too long.
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
    /// Returns the core time until the upstream call of the run, or until its end if no call is left.
    fn until_us(&self) -> f64 {
        let half = if self.has_called { 0.0 } else { self.lane.core_us as f64 / 2.0 };
        self.left_us - half
    }
}
