//! Fleets of real processes in two tiers: nodes receive calls from stand-in callers and call upstream endpoints,
//! which are nodes too. Named faults act on the processes and on the links between them, and the calls are checked by
//! the rules of both tiers.

use crate::call_log::{AnswerKind, CallLog, Entry};
use crate::emulated::Evenness;
use crate::executor::{Executor, Work};
use crate::faults::{self, FaultAction, Scene, Tier};
use crate::faulty_links::{FaultyLinks, ForwardedCall, REQUEST_ID_PREFIX};
use crate::load::{json_answer, wait_healthy, GRACE};
use crate::node::{self, Node};
use crate::unix_ms;
use base64::prelude::{Engine, BASE64_STANDARD};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The latency objective of a call.
const ON_TIME: Duration = ms(2_000);
/// The time after which a caller cancels its call.
const DEADLINE: Duration = ms(4_000);
/// The share of calls that are sales, which may not run twice.
const SALE_SHARE: f64 = 0.3;
/// The share of sales that are sent repeats.
const REPEAT_SHARE: f64 = 0.1;
/// The work of a node for a call, without its upstream call.
const NODE_WORK_US: u64 = 400;
const BURST: Duration = ms(100);
/// The time after a fault from which on the load has to be even repeats.
const EVEN_AFTER: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub endpoints: usize,
    /// Calls per second of each node.
    pub rate: f64,
    /// The mean work of a call at an endpoint with one core.
    pub work_us: u64,
    pub seconds: u64,
    pub seed: u64,
    /// The length of the windows in which calls are counted per endpoint.
    pub window: Duration,
    /// A number from 0 to 15 that differs between the fleets which run concurrently in one process.
    pub instance: u8,
    /// The lines of the operators' file that configure load balancing. N is replaced by the node's number, OF by the
    /// number of nodes.
    pub balancing: String,
    pub fault: String,
    pub log: &'static str,
    pub progress: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub broken: Vec<String>,
    pub processes: usize,
    pub calls: usize,
    /// The worst values of all windows, without those during a fault or less than 5 s after it.
    pub even: Evenness,
    pub windows: usize,
    pub burst: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// The share of all calls that were served within the latency objective.
    pub served_share: f64,
    /// The same share for the calls that started during the fault.
    pub served_during: f64,
    /// The memory of all processes at the end.
    pub memory_mb: u64,
    pub cpu_us: u64,
}

struct Records {
    call_log: CallLog,
    /// The start time of each entry's call.
    began: Vec<Instant>,
}

/// The callers' connection to a node, and the calls that wait for an answer.
struct NodeConnection {
    at: SocketAddr,
    stream: Option<TcpStream>,
    /// The log index of each call by its id. Answers on an earlier connection count too.
    open: Arc<Mutex<HashMap<u64, usize>>>,
}

struct Fleet<'a> {
    plan: &'a Plan,
    nodes: Vec<Node>,
    endpoints: Vec<Node>,
    connections: Vec<NodeConnection>,
    executors: Vec<Executor>,
    endpoint_executors: Vec<Executor>,
    links: FaultyLinks,
    records: Arc<Mutex<Records>>,
    is_down: Vec<bool>,
}

impl Plan {
    fn address(&self, of: u8, number: usize, port: u16) -> SocketAddr {
        // Test programs that run concurrently use different networks, by their process ids.
        let second = 210 + (std::process::id() % 40) as u8;
        let [high, low] = ((number + 1 + usize::from(of) * 1_024) as u16).to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(127, second, high | self.instance << 4, low), port))
    }

    fn link_address(&self, endpoint: usize) -> SocketAddr {
        self.address(2, endpoint, 8010)
    }
}

fn settings(calls: bool, cores: u64) -> Value {
    let method = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "worth": 1.0, "on-time-ns": ON_TIME.as_nanos() as u64,
               "deadline-ns": DEADLINE.as_nanos() as u64, "window-ns": 20_000_000_000u64})
    };
    let methods = if calls {
        vec![method("look", "free"), method("sale", "guarded")]
    } else {
        vec![method("keep", "single_shot")]
    };
    let below = if calls { "tier" } else { "silent" };
    let calls = vec![calls; methods.len()];
    json!({
        "categories": methods,
        "extra": {"below": below, "cores": cores, "memory-kb": 400_000.0, "run-mem-factor": 2.0, "key-kb": 0.1,
                  "signal": "weight", "stop-mode": "drop", "gauges": ["cpu_busy", "runnable"],
                  "calls-by-class": calls, "callers": 8, "keepalive-max-ns": 30_000_000_000u64},
        "policy-limits": {"retry-after": true, "max-retry-after-ns": 1_000_000_000}, "servers": 1,
        "rules": {"cold-from": 0.3, "drain-grace-ns": 300_000_000, "fall-multiple": 8.0,
                  "warm-within-ns": 60_000_000_000u64}
    })
}

fn operators(plan: &Plan, node: usize, endpoints: Range<usize>) -> String {
    let mut text = String::from("below uri /call\nbelow connections 200\n");
    endpoints.for_each(|endpoint| text += &format!("below ajp {}\n", plan.link_address(endpoint)));
    text + &plan.balancing.replace("OF", &plan.nodes.to_string()).replace('N', &node.to_string())
}

/// Runs a plan with new processes.
pub fn play(program: &Path, plan: &Plan) -> Result<Outcome, String> {
    let (all_endpoints, last_list) = faults::endpoint_counts(&plan.fault, plan.endpoints);
    let from = Duration::from_secs(plan.seconds / 3);
    let until = (from + Duration::from_secs(10)).min(Duration::from_secs(plan.seconds * 2 / 3));
    let scene = Scene { nodes: plan.nodes, endpoints: plan.endpoints, from, until };
    let steps = faults::steps(&plan.fault, &scene, plan.seed)
        .ok_or("unknown fault; `--faults list` shows all names")?;
    let mut fleet = Fleet::start(program, plan, all_endpoints)?;
    let began = Instant::now();
    fleet.run(began, steps)?;
    let over = began.elapsed();
    let fault_span = (plan.fault != "none").then_some(from..until);
    fleet.finish(began, over, fault_span, &last_list)
}

impl<'a> Fleet<'a> {
    fn start(program: &Path, plan: &'a Plan, all_endpoints: usize) -> Result<Fleet<'a>, String> {
        let io = |err: std::io::Error| err.to_string();
        let directory = node::directory().map_err(io)?;
        let work = |core_us, calls, drawn| Work {
            core_us,
            calls,
            is_exponential: drawn,
            max_wait: DEADLINE + ms(1_000),
        };
        let node_works: HashMap<_, _> =
            ["look", "sale"].map(|name| (name.to_string(), work(NODE_WORK_US, true, false))).into();
        let endpoint_works: HashMap<_, _> = [("keep".to_string(), work(plan.work_us, false, true))].into();
        let many = |count, cores, works: &HashMap<_, _>| {
            (0..count).map(|_| Executor::start(cores, works.clone())).collect::<Result<Vec<_>, _>>()
        };
        let executors = many(plan.nodes, 4.0, &node_works).map_err(io)?;
        let endpoint_executors = many(all_endpoints, 1.0, &endpoint_works).map_err(io)?;
        let links: Vec<_> =
            (0..all_endpoints).map(|at| (plan.link_address(at), plan.address(3, at, 8009))).collect();
        let links = FaultyLinks::start(&links).map_err(io)?;
        let config = |name: String, listen, executor, settings, seed: u64| {
            let mut config = node::config(listen, executor, directory, settings);
            (config["name"], config["seed"]) = (name.into(), format!("{seed:x}").into());
            config["limits"]["memory_mb"] = 64.into();
            config
        };
        let seed = |of: u64, at: usize| plan.seed.wrapping_mul(0x9e37_79b9) ^ of << 32 ^ at as u64;
        let mut endpoints = Vec::new();
        for (at, executor) in endpoint_executors.iter().enumerate() {
            let config = config(
                format!("p{at}"),
                plan.address(1, at, 7001),
                executor.at,
                settings(false, 1),
                seed(1, at),
            );
            let operators = format!(
                "ajp listen {}\najp allow 127.0.0.0/8\najp memory 20.5\najp connections 250\n\
                 ajp route POST /call keep\n",
                plan.address(3, at, 8009)
            );
            endpoints.push(Node::spawn(program, &config, &operators, plan.log)?);
        }
        let mut nodes = Vec::new();
        for (at, executor) in executors.iter().enumerate() {
            let config = config(
                format!("n{at}"),
                plan.address(0, at, 7001),
                executor.at,
                settings(true, 4),
                seed(2, at),
            );
            let operators = operators(plan, at, 0..plan.endpoints);
            nodes.push(Node::spawn(program, &config, &operators, plan.log)?);
        }
        for (of, count) in [(1, all_endpoints), (0, plan.nodes)] {
            let tier = if of == 1 { &mut endpoints } else { &mut nodes };
            for (at, node) in tier.iter_mut().enumerate().take(count) {
                node.wait()?;
                wait_healthy(plan.address(of, at, 7001))?;
            }
        }
        let connection =
            |at| NodeConnection { at: plan.address(0, at, 7001), stream: None, open: Arc::default() };
        let records = Records { call_log: CallLog::default(), began: Vec::new() };
        Ok(Fleet {
            plan,
            connections: (0..plan.nodes).map(connection).collect(),
            is_down: vec![false; plan.nodes],
            nodes,
            endpoints,
            executors,
            endpoint_executors,
            links,
            records: Arc::new(Mutex::new(records)),
        })
    }

    /// Sends calls at random times to each node, and takes the steps of the fault at their times.
    fn run(&mut self, began: Instant, steps: faults::Steps) -> Result<(), String> {
        let mut rng = fastrand::Rng::with_seed(self.plan.seed);
        let rate = self.plan.rate;
        let mut gap = move || Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        let mut due: BinaryHeap<Reverse<(Duration, usize)>> =
            (0..self.plan.nodes).map(|node| Reverse((gap(), node))).collect();
        let mut rng = fastrand::Rng::with_seed(!self.plan.seed);
        let mut repeats: BinaryHeap<Reverse<(Duration, usize, u64)>> = BinaryHeap::new();
        let mut steps = steps.into_iter().peekable();
        let (over, mut number, mut reported) = (Duration::from_secs(self.plan.seconds), 0, 0);
        while let Some(Reverse((at, node))) = due.pop() {
            if at > over {
                break;
            }
            while let Some((_, action)) = steps.next_if(|(when, _)| *when <= at) {
                self.apply(action)?;
            }
            std::thread::sleep((began + at).saturating_duration_since(Instant::now()));
            number += 1;
            let is_sale = rng.f64() < SALE_SHARE;
            self.call(began + at, node, number, number, is_sale);
            if is_sale && rng.f64() < REPEAT_SHARE && !self.plan.fault.contains("restart") {
                repeats.push(Reverse((at + ms(rng.u64(0..400)), node, number)));
            }
            while repeats.peek().is_some_and(|Reverse((when, ..))| *when <= at) {
                let Reverse((when, node, first)) = repeats.pop().expect("just seen");
                number += 1;
                self.call(began + when, node, number, first, true);
            }
            due.push(Reverse((at + gap(), node)));
            if self.plan.progress && at.as_secs() > reported {
                reported = at.as_secs();
                eprint!("\r{reported} of {} s, {number} calls sent ", self.plan.seconds);
            }
        }
        if self.plan.progress {
            eprintln!();
        }
        steps.try_for_each(|(_, action)| self.apply(action))
    }

    /// Sends a call. `work` identifies its work, and is the same for repeated calls.
    fn call(&mut self, at: Instant, node: usize, number: u64, work: u64, is_sale: bool) {
        let body = format!("{}{node:04x}{work:08x}", if is_sale { "t" } else { "c" }).into_bytes();
        let entry = Entry {
            method: usize::from(is_sale),
            by_ajp: false,
            body: body.clone(),
            has_token: is_sale,
            answers: Vec::new(),
            result: None,
            latency_us: 0,
            is_abandoned: self.is_down[node],
        };
        let index = {
            let mut records = lock(&self.records);
            records.call_log.entries.push(entry);
            records.began.push(at);
            records.began.len() - 1
        };
        if self.is_down[node] || !self.connect(node) {
            return lock(&self.records).call_log.entries[index].is_abandoned = true;
        }
        let token = if is_sale { format!(",\"opkey\":\"{node:04x}{work:028x}\"") } else { String::new() };
        let came_ms = unix_ms().saturating_sub(at.elapsed().as_millis() as u64);
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{number},\"method\":\"{}\",\"params\":{{\"req\":\"{REQUEST_ID_PREFIX}{node:04x}{number:08x}\",\
             \"ts\":{came_ms},\"via\":1,\"need\":20.5,\"level\":0.5{token},\"body\":\"{}\"}}}}\n",
            if is_sale { "sale" } else { "look" },
            BASE64_STANDARD.encode(&body)
        );
        let connection = &mut self.connections[node];
        lock(&connection.open).insert(number, index);
        let written =
            connection.stream.as_mut().is_some_and(|stream| stream.write_all(line.as_bytes()).is_ok());
        if !written {
            // The call was not sent completely, so no answer is required.
            connection.stream = None;
            lock(&self.records).call_log.entries[index].is_abandoned = true;
        }
    }

    /// Connects to a node if necessary, with a thread that records the answers. Returns whether a connection exists.
    fn connect(&mut self, node: usize) -> bool {
        let connection = &mut self.connections[node];
        if connection.stream.is_some() {
            return true;
        }
        let Ok(stream) = TcpStream::connect_timeout(&connection.at, ms(500)) else { return false };
        let (Ok(()), Ok(reads)) = (stream.set_nodelay(true), stream.try_clone()) else { return false };
        connection.stream = Some(stream);
        let (records, open) = (self.records.clone(), connection.open.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(reads).lines().map_while(Result::ok) {
                let Ok(value) = serde_json::from_str::<Value>(&line) else { continue };
                let Some(index) = value["id"].as_u64().and_then(|id| lock(&open).get(&id).copied()) else {
                    continue;
                };
                let mut records = lock(&records);
                let took_us = records.began[index].elapsed().as_micros() as u64;
                let entry = &mut records.call_log.entries[index];
                let (kind, result) = json_answer(&value);
                if entry.answers.is_empty() {
                    (entry.latency_us, entry.result) = (took_us, result);
                }
                entry.answers.push(kind);
            }
        });
        true
    }

    fn apply(&mut self, action: FaultAction) -> Result<(), String> {
        match action {
            FaultAction::Kill(Tier::Endpoints, at) => {
                self.links.listen(at, false);
                self.endpoints[at].kill();
                self.endpoint_executors[at].restart();
            }
            FaultAction::Start(Tier::Endpoints, at) => {
                self.endpoints[at].restart()?;
                self.links.listen(at, true);
            }
            FaultAction::Kill(Tier::Nodes, at) => {
                self.is_down[at] = true;
                self.nodes[at].kill();
                self.executors[at].restart();
                self.connections[at].stream = None;
                // Calls that the killed node has not answered are marked as abandoned.
                let open = std::mem::take(&mut *lock(&self.connections[at].open));
                let mut records = lock(&self.records);
                open.into_values().for_each(|index| records.call_log.entries[index].is_abandoned = true);
            }
            FaultAction::Start(Tier::Nodes, at) => {
                self.nodes[at].restart()?;
                self.is_down[at] = false;
            }
            FaultAction::Stop(tier, at) => self.tier(tier)[at].signal(Signal::STOP),
            FaultAction::Continue(tier, at) => self.tier(tier)[at].signal(Signal::CONT),
            FaultAction::SetBehavior(endpoints, behavior) => {
                self.endpoint_executors[endpoints].iter().for_each(|e| e.set(behavior))
            }
            FaultAction::SetLinkRules(rules) => self.links.set(rules),
            FaultAction::UpdateList(node, endpoints) => {
                self.nodes[node].reload(&operators(self.plan, node, endpoints))?
            }
            FaultAction::Drain(endpoint) => {
                self.links.listen(endpoint, false);
                self.endpoints[endpoint].signal(Signal::TERM);
            }
        }
        Ok(())
    }

    fn tier(&self, tier: Tier) -> &[Node] {
        match tier {
            Tier::Nodes => &self.nodes,
            Tier::Endpoints => &self.endpoints,
        }
    }

    /// Waits for outstanding answers, then evaluates the run.
    fn finish(
        mut self,
        began: Instant,
        over: Duration,
        fault_span: Option<Range<Duration>>,
        listed: &Range<usize>,
    ) -> Result<Outcome, String> {
        let last = Instant::now() + DEADLINE + GRACE;
        let is_outstanding = |entry: &Entry| entry.answers.is_empty() && !entry.is_abandoned;
        while Instant::now() < last && lock(&self.records).call_log.entries.iter().any(is_outstanding) {
            std::thread::sleep(ms(20));
        }
        // A duplicate answer would arrive soon after the first.
        std::thread::sleep(ms(100));
        let sum = |executors: &[Executor]| {
            let mut runs: BTreeMap<Vec<u8>, u32> = BTreeMap::new();
            let counts = executors.iter().flat_map(Executor::counts);
            counts.for_each(|(body, times)| *runs.entry(body).or_default() += times);
            runs
        };
        let mut outcome =
            Outcome { processes: self.nodes.len() + self.endpoints.len(), ..Outcome::default() };
        let records = lock(&self.records);
        outcome.broken = records.call_log.violations(&sum(&self.executors));
        outcome.broken.extend(
            records
                .call_log
                .violations(&sum(&self.endpoint_executors))
                .into_iter()
                .filter(|b| b.contains("ran")),
        );
        let drained: Vec<usize> =
            if self.plan.fault == "replaced" { (0..listed.start).collect() } else { Vec::new() };
        for (tier, nodes) in [("node", &mut self.nodes), ("endpoint", &mut self.endpoints)] {
            for (at, node) in nodes.iter_mut().enumerate() {
                let may_end = tier == "endpoint" && drained.contains(&at);
                if !(may_end || node.is_running()) {
                    outcome.broken.push(format!("{tier} {at} has ended"));
                }
                outcome.cpu_us += node.cpu_us();
                outcome.memory_mb += node.memory_kb() / 1024;
            }
        }
        outcome.calls = records.call_log.entries.len();
        let in_time = |e: &Entry| {
            e.answers.first() == Some(&AnswerKind::Served) && e.latency_us <= ON_TIME.as_micros() as u64
        };
        let share = |within: &dyn Fn(Duration) -> bool| {
            let all = records.began.iter().zip(&records.call_log.entries);
            let all: Vec<_> =
                all.filter(|(at, e)| !e.is_abandoned && within(at.duration_since(began))).collect();
            all.iter().filter(|(_, e)| in_time(e)).count() as f64 / all.len().max(1) as f64
        };
        outcome.served_share = share(&|_| true);
        outcome.served_during =
            share(&|at| fault_span.as_ref().is_none_or(|fault_span| fault_span.contains(&at)));
        let mut took: Vec<u64> =
            records.call_log.entries.iter().filter(|e| in_time(e)).map(|e| e.latency_us).collect();
        took.sort_unstable();
        let quantile = |share: f64| {
            let at = ((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1));
            took.get(at).map_or(0.0, |us| *us as f64 / 1_000.0)
        };
        (outcome.p50_ms, outcome.p99_ms) = (quantile(0.5), quantile(0.99));
        let forwarded = self.links.forwarded();
        let measured_from = fault_span.map_or(Duration::ZERO, |fault_span| fault_span.end + EVEN_AFTER);
        (outcome.even, outcome.windows) =
            evenness(&forwarded, began, measured_from..over, self.plan.window, listed);
        outcome.burst = burst(&forwarded);
        Ok(outcome)
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().expect("no panic under it")
}

/// Returns the worst values of the complete windows within a time span, and the number of these windows.
fn evenness(
    forwarded: &[ForwardedCall],
    began: Instant,
    within: Range<Duration>,
    window: Duration,
    listed: &Range<usize>,
) -> (Evenness, usize) {
    let mut worst = Evenness::default();
    let windows = within.end.saturating_sub(within.start).div_duration_f64(window) as u32;
    for number in 0..windows {
        let begins = began + within.start + window * number;
        let mut counts = vec![0.0; listed.len()];
        let within =
            |p: &&ForwardedCall| p.at >= begins && p.at < begins + window && listed.contains(&p.endpoint);
        forwarded.iter().filter(within).for_each(|p| counts[p.endpoint - listed.start] += 1.0);
        worst.take_worst(&Evenness::of(&counts));
    }
    (worst, windows as usize)
}

/// Returns the largest number of calls to one endpoint within 100 ms.
fn burst(forwarded: &[ForwardedCall]) -> usize {
    let mut by_endpoint: BTreeMap<usize, Vec<Instant>> = BTreeMap::new();
    forwarded.iter().for_each(|p| by_endpoint.entry(p.endpoint).or_default().push(p.at));
    let most = |times: &Vec<Instant>| {
        (0..times.len()).map(|at| times[at..].partition_point(|t| *t < times[at] + BURST)).max().unwrap_or(0)
    };
    by_endpoint.values().map(most).max().unwrap_or(0)
}
