//! Generates load over both protocols: calls arrive at random at a fixed rate, independently of the outcome of
//! earlier calls, and each is recorded in the call log.

use crate::ajp::{Call, Peer};
use crate::call_log::{AnswerKind, CallLog, Entry};
use crate::dependency::{CallAction, Dependency};
use crate::executor::{Executor, Work};
use crate::json::Caller;
use crate::node::{self, Node};
use crate::unix_ms;
use base64::prelude::{Engine, BASE64_STANDARD};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A method of the lab.
pub struct Method {
    pub name: &'static str,
    /// The share of the calls.
    pub share: f64,
    /// The value of an answer within the latency objective.
    pub priority_weight: f64,
    /// The latency objective.
    pub on_time: Duration,
    pub deadline: Duration,
    pub has_token: bool,
    pub work: Work,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub const METHODS: [Method; 3] = [
    Method {
        name: "part-lookup",
        share: 0.55,
        priority_weight: 1.0,
        on_time: ms(150),
        deadline: ms(500),
        has_token: false,
        work: Work { core_us: 2_000, calls: false, is_exponential: false, max_wait: ms(1_000) },
    },
    Method {
        name: "batch-upload",
        share: 0.2,
        priority_weight: 1.0,
        on_time: ms(400),
        deadline: ms(1_000),
        has_token: false,
        work: Work { core_us: 8_000, calls: true, is_exponential: false, max_wait: ms(1_000) },
    },
    Method {
        name: "order-record",
        share: 0.25,
        priority_weight: 4.0,
        on_time: ms(300),
        deadline: ms(1_000),
        has_token: true,
        work: Work { core_us: 4_000, calls: true, is_exponential: false, max_wait: ms(1_000) },
    },
];

/// Cores of the stand-in executor.
const CORES: f64 = 2.0;
/// The share of the calls with a token that are sent a second time, over the other protocol.
const REPEAT_SHARE: f64 = 0.15;
/// Concurrent callers per protocol, each of which waits for one answer at a time.
const CALLERS: usize = 96;
/// Connections that the JSON-RPC callers share.
const JSON_CONNECTIONS: usize = 4;
/// The time after its deadline for which a caller still waits for an answer.
pub(crate) const GRACE: Duration = ms(400);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocols {
    Both,
    JsonOnly,
    AjpOnly,
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seconds: u64,
    pub seed: u64,
    /// The work of all calls divided by the capacity of the executor's cores.
    pub load: f64,
    pub protocols: Protocols,
    /// The share of upstream calls whose connection closes at a random byte of the answer.
    pub cut: f64,
    /// The lowest log level of the node that is shown.
    pub log: &'static str,
    /// Whether progress is printed every second.
    pub progress: bool,
}

pub struct Outcome {
    pub call_log: CallLog,
    pub broken: Vec<String>,
    pub cpu_us: u64,
    /// Upstream calls that ran and whose answer was truncated.
    pub cut: usize,
    /// All upstream calls that ran.
    pub upstream_runs: usize,
}

struct Job {
    at: Instant,
    method: usize,
    by_ajp: bool,
    body: Vec<u8>,
    number: u64,
}

/// Returns the settings of a node with the lab's methods.
pub fn settings() -> Value {
    let category = |m: &Method| {
        json!({"name": m.name, "idempotency": if m.has_token { "guarded" } else { "free" }, "worth": m.priority_weight,
               "on-time-ns": m.on_time.as_nanos() as u64, "deadline-ns": m.deadline.as_nanos() as u64,
               "window-ns": 20_000_000_000u64})
    };
    let calls: Vec<bool> = METHODS.iter().map(|m| m.work.calls).collect();
    json!({
        "categories": METHODS.iter().map(category).collect::<Vec<_>>(),
        "extra": {"below": "tier", "cores": CORES as u64, "memory-kb": 90_000.0, "run-mem-factor": 4.0,
                  "key-kb": 0.1, "signal": "weight", "stop-mode": "drop", "gauges": ["cpu_busy", "runnable"],
                  "calls-by-class": calls, "callers": 8, "keepalive-max-ns": 30_000_000_000u64},
        "policy-limits": {"retry-after": true, "max-retry-after-ns": 1_000_000_000}, "servers": 1,
        "rules": {"cold-from": 0.3, "drain-grace-ns": 300_000_000, "fall-multiple": 8.0,
                  "warm-within-ns": 60_000_000_000u64}
    })
}

/// Returns the operators' file of a node in the lab.
pub fn operators(listen: SocketAddr, dependency: SocketAddr) -> String {
    format!(
        "host ledger.example.org {}\n\
         ajp listen {listen}\najp allow 127.0.0.0/8\najp connections 200\najp memory 20.5\najp health /health\n\
         ajp route GET /items/{{}} part-lookup\najp route POST /stock batch-upload\n\
         ajp route POST /sales order-record\n\
         below ajp ledger.example.org:{}\nbelow uri /ledger\nbelow connections 100\n",
        dependency.ip(),
        dependency.port()
    )
}

/// A running load and its node, for actions that run concurrently with the load.
pub struct RunningLoad<'a> {
    pub node: &'a Mutex<Node>,
    pub json_at: SocketAddr,
    pub ajp_at: SocketAddr,
    is_over: &'a AtomicBool,
}

impl RunningLoad<'_> {
    /// Whether the load has ended.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }
}

/// Runs a plan against a new node.
pub fn play(program: &Path, plan: &Plan) -> Result<Outcome, String> {
    Ok(play_alongside(program, plan, "", &[], |_| ())?.0)
}

/// Runs a plan against a new node with additional lines in the operators' file and additional environment variables,
/// and runs an action concurrently with the load.
pub fn play_alongside<T: Send>(
    program: &Path,
    plan: &Plan,
    more_lines: &str,
    environment: &[(&str, String)],
    concurrent: impl FnOnce(&RunningLoad) -> T + Send,
) -> Result<(Outcome, T), String> {
    let io = |err: std::io::Error| err.to_string();
    let works = METHODS.iter().map(|m| (m.name.to_string(), m.work)).collect::<HashMap<_, _>>();
    let executor = Executor::start(CORES, works).map_err(io)?;
    let (cut, seed) = (plan.cut, plan.seed);
    let cuts = Arc::new(Mutex::new((0, fastrand::Rng::with_seed(seed ^ 5))));
    let cut_state = cuts.clone();
    let any = "127.0.0.21:0".parse().expect("an address");
    let dependency = Dependency::start(any, Duration::from_secs(5), move |call| {
        let mut cuts = cut_state.lock().expect("no panic under it");
        if cuts.1.f64() < cut {
            cuts.0 += 1;
            return CallAction::Truncate(cuts.1.usize(0..60));
        }
        let _ = call;
        CallAction::Answer { status: 200, never_ran: false, body: b"kept".to_vec(), after: ms(1) }
    })
    .map_err(io)?;
    let listen = node::unused_address().map_err(io)?;
    let ajp = node::unused_address().map_err(io)?;
    let config = node::config(listen, executor.at, node::directory().map_err(io)?, settings());
    let operators = operators(ajp, dependency.at) + more_lines;
    let mut node = Node::spawn_with(program, &config, &operators, plan.log, environment)?;
    node.wait()?;
    wait_healthy(listen)?;
    let (from, is_over) = (node.cpu_us(), AtomicBool::new(false));
    let node = Mutex::new(node);
    let (call_log, result) = std::thread::scope(|scope| {
        let action = RunningLoad { node: &node, json_at: listen, ajp_at: ajp, is_over: &is_over };
        let action = scope.spawn(move || concurrent(&action));
        let call_log = load(plan, listen, ajp);
        is_over.store(true, Ordering::Relaxed);
        (call_log, action.join())
    });
    let (call_log, result) = (call_log?, result.map_err(|_| "the action that ran with the load panicked")?);
    let mut node = node.into_inner().map_err(|_| "the action that ran with the load panicked")?;
    let cpu_us = node.cpu_us().saturating_sub(from);
    let mut broken = call_log.violations(&executor.counts());
    if !node.is_running() {
        broken.push("the node process has ended".into());
    }
    let cut = cuts.lock().expect("no panic under it").0;
    Ok((Outcome { call_log, broken, cpu_us, cut, upstream_runs: dependency.ran().len() }, result))
}

/// The time within which a node has to become healthy. The operators set this bound, which is many times the time on
/// an idle machine.
const HEALTHY_WITHIN: Duration = Duration::from_secs(30);

/// Queries the health of a node until it is healthy. The error includes the last answer, which distinguishes a slow
/// start from a connection that the node closed.
pub(crate) fn wait_healthy(listen: SocketAddr) -> Result<(), String> {
    let caller = Caller::connect(listen).map_err(|err| err.to_string())?;
    let until = Instant::now() + HEALTHY_WITHIN;
    let mut last = "no query was sent".to_string();
    for number in 1.. {
        let answer = caller.call(number, "heartbeat", "").recv_timeout(ms(500));
        match answer {
            Ok(answer) if answer["result"]["pass"] == true => return Ok(()),
            Ok(answer) => last = answer.to_string(),
            Err(err) => last = err.to_string(),
        }
        if !caller.is_open() || Instant::now() >= until {
            break;
        }
        std::thread::sleep(ms(10));
    }
    let connection = if caller.is_open() { "open" } else { "closed by the node" };
    Err(format!("the node did not become healthy; last answer: {last}; the connection is {connection}"))
}

/// An entry of the call log, and the receiver of late answers to its call.
type CompletedCall = (Entry, Option<Receiver<Value>>);

fn load(plan: &Plan, json_at: SocketAddr, ajp_at: SocketAddr) -> Result<CallLog, String> {
    let (done, entries) = channel::<CompletedCall>();
    let connections: Result<Vec<_>, _> = (0..JSON_CONNECTIONS).map(|_| Caller::connect(json_at)).collect();
    let connections = Arc::new(connections.map_err(|err| err.to_string())?);
    let start = |by_ajp: bool| -> Sender<Job> {
        let (to, jobs) = channel::<Job>();
        let jobs = Arc::new(Mutex::new(jobs));
        for worker in 0..CALLERS {
            let (jobs, done, connections) = (jobs.clone(), done.clone(), connections.clone());
            std::thread::spawn(move || {
                let mut cached = None;
                loop {
                    let job = jobs.lock().expect("no panic under it").recv();
                    let Ok(job) = job else { return };
                    let call = if by_ajp {
                        (by_ajp_call(&job, ajp_at, &mut cached), None)
                    } else {
                        json_call(&job, &connections[worker % JSON_CONNECTIONS])
                    };
                    let _ = done.send(call);
                }
            });
        }
        to
    };
    let (to_json, to_ajp) = (start(false), start(true));
    drop(done);
    send_calls(plan, &to_json, &to_ajp);
    drop((to_json, to_ajp));
    let mut call_log = CallLog::default();
    let mut late = Vec::new();
    for (entry, answers) in entries {
        late.extend(answers.map(|answers| (call_log.entries.len(), answers)));
        call_log.entries.push(entry);
    }
    for (at, answers) in late {
        let entry = &mut call_log.entries[at];
        entry.answers.extend(answers.try_iter().map(|answer| json_answer(&answer).0));
    }
    Ok(call_log)
}

/// Sends calls at random times at the plan's rate, half of them over each protocol if the plan has both.
fn send_calls(plan: &Plan, to_json: &Sender<Job>, to_ajp: &Sender<Job>) {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mean_us: f64 = METHODS.iter().map(|m| m.share * m.work.core_us as f64).sum();
    let per_us = plan.load * CORES / mean_us;
    let from = Instant::now();
    let (mut due_us, mut number, mut reported) = (0.0, 0, 0);
    // Calls that are sent repeats, with the time of each.
    let mut repeats: Vec<(f64, Job)> = Vec::new();
    let send = |job: Job| drop(if job.by_ajp { to_ajp.send(job) } else { to_json.send(job) });
    while due_us < plan.seconds as f64 * 1e6 {
        due_us += -(1.0 - rng.f64()).ln() / per_us;
        let due = from + Duration::from_micros(due_us as u64);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        let mut at = rng.f64();
        let method = METHODS.iter().position(|m| {
            at -= m.share;
            at < 0.0
        });
        let method = method.unwrap_or(0);
        let by_ajp = match plan.protocols {
            Protocols::Both => rng.bool(),
            Protocols::JsonOnly => false,
            Protocols::AjpOnly => true,
        };
        let body = format!("{}{number:08}", if METHODS[method].has_token { "t" } else { "c" }).into_bytes();
        if METHODS[method].has_token && plan.protocols == Protocols::Both && rng.f64() < REPEAT_SHARE {
            let job =
                Job { at: due, method, by_ajp: !by_ajp, body: body.clone(), number: number + (1 << 40) };
            repeats.push((due_us + rng.f64() * 300_000.0, job));
        }
        send(Job { at: due, method, by_ajp, body, number });
        let (now, later): (Vec<_>, Vec<_>) = repeats.drain(..).partition(|(at, _)| *at <= due_us);
        repeats = later;
        for (at, mut job) in now {
            job.at = from + Duration::from_micros(at as u64);
            send(job);
        }
        let second = (due_us / 1e6) as u64;
        if plan.progress && second > reported {
            reported = second;
            eprint!("\r{second} of {} s, {number} calls sent ", plan.seconds);
        }
    }
    if plan.progress {
        eprintln!();
    }
}

fn entry(job: &Job) -> Entry {
    Entry {
        method: job.method,
        by_ajp: job.by_ajp,
        body: job.body.clone(),
        has_token: METHODS[job.method].has_token,
        answers: Vec::new(),
        result: None,
        latency_us: 0,
        is_abandoned: false,
    }
}

fn json_call(job: &Job, connection: &Caller) -> CompletedCall {
    let method = &METHODS[job.method];
    let mut entry = entry(job);
    let came_ms = unix_ms().saturating_sub(job.at.elapsed().as_millis() as u64);
    let token = if method.has_token {
        format!(",\"opkey\":\"{}\"", String::from_utf8_lossy(&job.body))
    } else {
        String::new()
    };
    let params = format!(
        "\"req\":\"{:016x}\",\"ts\":{came_ms},\"via\":1,\"need\":20.5,\"level\":0.5{token},\"body\":\"{}\"",
        job.number,
        BASE64_STANDARD.encode(&job.body)
    );
    let answers = connection.call(job.number, method.name, &params);
    let left = (job.at + method.deadline + GRACE).saturating_duration_since(Instant::now());
    match answers.recv_timeout(left) {
        Ok(answer) => {
            let (kind, result) = json_answer(&answer);
            entry.answers.push(kind);
            entry.result = result;
        }
        Err(_) => entry.answers.push(AnswerKind::Missing),
    }
    entry.latency_us = job.at.elapsed().as_micros() as u64;
    (entry, Some(answers))
}

pub(crate) fn json_answer(answer: &Value) -> (AnswerKind, Option<Vec<u8>>) {
    if let Some(body) = answer["result"]["body"].as_str() {
        return (AnswerKind::Served, BASE64_STANDARD.decode(body).ok());
    }
    match answer["error"]["code"].as_i64() {
        Some(-32011) => (AnswerKind::Rejected, None),
        Some(-32000) => (AnswerKind::Aborted, None),
        _ => (AnswerKind::Invalid, None),
    }
}

fn by_ajp_call(job: &Job, at: SocketAddr, cached: &mut Option<Peer>) -> Entry {
    let method = &METHODS[job.method];
    let mut entry = entry(job);
    let uri = match job.method {
        0 => "/items/7",
        1 => "/stock",
        _ => "/sales",
    };
    let left = (job.at + method.deadline).saturating_duration_since(Instant::now());
    let mut headers = vec![
        ("x-request-id", format!("{:016x}", job.number)),
        ("x-time-left-ms", left.as_millis().to_string()),
    ];
    if method.has_token {
        headers.push(("x-token", String::from_utf8_lossy(&job.body).into_owned()));
    }
    let http = if job.method == 0 { "GET" } else { "POST" };
    let call = Call { method: http, uri, headers, secret: None, body: &job.body };
    let mut peer = match cached.take().map_or_else(|| Peer::connect(at, ms(500)), Ok) {
        Ok(peer) => peer,
        Err(_) => {
            // The call was never sent, so no answer is required.
            (entry.is_abandoned, entry.latency_us) = (true, job.at.elapsed().as_micros() as u64);
            return entry;
        }
    };
    let _ = peer.stream.set_read_timeout(Some((left + GRACE).max(ms(1))));
    match peer.call(&call) {
        Ok(answer) => {
            entry.answers.push(match answer.status {
                200 => AnswerKind::Served,
                503 if answer.header("x-ochrewalk-never-ran") == Some("1") => AnswerKind::Rejected,
                500 => AnswerKind::Aborted,
                _ => AnswerKind::Invalid,
            });
            if answer.status == 200 {
                entry.result = Some(answer.body.clone());
            }
            *cached = Some(peer).filter(|_| answer.reuse);
        }
        Err(_) => entry.answers.push(AnswerKind::Missing),
    }
    entry.latency_us = job.at.elapsed().as_micros() as u64;
    entry
}

impl Outcome {
    /// Returns the priority weight of the calls answered within their latency objective, divided by that of all calls.
    pub fn served_share(&self, by_ajp: bool) -> f64 {
        let of = |e: &&Entry| e.by_ajp == by_ajp;
        let all: f64 =
            self.call_log.entries.iter().filter(of).map(|e| METHODS[e.method].priority_weight).sum();
        let in_time = |e: &&Entry| {
            let on_time = METHODS[e.method].on_time.as_micros() as u64;
            e.answers.first() == Some(&AnswerKind::Served) && e.latency_us <= on_time
        };
        let served: f64 = self
            .call_log
            .entries
            .iter()
            .filter(of)
            .filter(in_time)
            .map(|e| METHODS[e.method].priority_weight)
            .sum();
        served / all.max(1.0)
    }

    /// Returns a table of the outcomes of each method's calls.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<14}{:>8}{:>9}{:>12}{:>9}{:>10}{:>10}\n",
            "method", "calls", "served", "rejected", "aborted", "median ms", "99% ms"
        );
        for (at, method) in METHODS.iter().enumerate() {
            let count = |kind| self.call_log.count(at, kind);
            let all = self.call_log.entries.iter().filter(|e| e.method == at);
            let mut times = Histogram::<u64>::new(3).expect("three digits");
            for entry in all.clone().filter(|e| e.answers.first() == Some(&AnswerKind::Served)) {
                let _ = times.record(entry.latency_us);
            }
            let at_ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
            text += &format!(
                "{:<14}{:>8}{:>9}{:>12}{:>9}{:>10.1}{:>10.1}\n",
                method.name,
                all.count(),
                count(AnswerKind::Served),
                count(AnswerKind::Rejected),
                count(AnswerKind::Aborted),
                at_ms(0.5),
                at_ms(0.99)
            );
        }
        text
    }
}
