//! Many real processes in two tiers: nodes in front take calls from stand-in callers, and call places behind, which are nodes
//! too. Links and faults between them go by a script; what happened is checked by the rules across both tiers.

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

/// An answer is wanted within the first, and the caller gives up at the second.
const ON_TIME: Duration = ms(2_000);
const DEADLINE: Duration = ms(4_000);
/// One call in so many is a sale, which may not happen twice; some of them are sent again.
const SALES: f64 = 0.3;
const SENT_AGAIN: f64 = 0.1;
/// What a node in front works on a call itself.
const FRONT_US: u64 = 400;
const BURST: Duration = ms(100);
/// How long after a trouble the load has to be even again.
const EVEN_AGAIN: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub endpoints: usize,
    /// Calls a second of each node.
    pub rate: f64,
    /// Mean work of a call at a place of one core.
    pub work_us: u64,
    pub seconds: u64,
    pub seed: u64,
    /// Calls are counted by place in windows of this length.
    pub window: Duration,
    /// Fleets of one process that run side by side need different ones, from 0 to 15.
    pub instance: u8,
    /// Lines of the operators' file that say how calls are spread; N stands for the node's number, OF for their count.
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
    /// Worst window without a trouble that is on, or that ended less than 5 s ago.
    pub even: Evenness,
    pub windows: usize,
    pub burst: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Answered as wanted, of all, and of those that began while the trouble was on.
    pub served_share: f64,
    pub served_during: f64,
    /// Memory of all processes at the end.
    pub memory_mb: u64,
    pub cpu_us: u64,
}

struct Sheet {
    call_log: CallLog,
    /// When each entry's call began.
    began: Vec<Instant>,
}

/// Where a node in front is called, and what waits for its answer there.
struct Front {
    at: SocketAddr,
    stream: Option<TcpStream>,
    /// Of which connection; answers of one before count too.
    open: Arc<Mutex<HashMap<u64, usize>>>,
}

struct Fleet<'a> {
    plan: &'a Plan,
    nodes: Vec<Node>,
    endpoints: Vec<Node>,
    fronts: Vec<Front>,
    executors: Vec<Executor>,
    endpoint_executors: Vec<Executor>,
    links: FaultyLinks,
    sheet: Arc<Mutex<Sheet>>,
    is_down: Vec<bool>,
}

impl Plan {
    fn address(&self, of: u8, number: usize, port: u16) -> SocketAddr {
        // Programs that run side by side stay apart by the process's number.
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

/// Plays a plan with processes of their own.
pub fn play(program: &Path, plan: &Plan) -> Result<Outcome, String> {
    let (all_endpoints, last_list) = faults::endpoint_counts(&plan.fault, plan.endpoints);
    let from = Duration::from_secs(plan.seconds / 3);
    let until = (from + Duration::from_secs(10)).min(Duration::from_secs(plan.seconds * 2 / 3));
    let scene = Scene { nodes: plan.nodes, endpoints: plan.endpoints, from, until };
    let steps = faults::steps(&plan.fault, &scene, plan.seed).ok_or("no fault is known by that name")?;
    let mut fleet = Fleet::start(program, plan, all_endpoints)?;
    let began = Instant::now();
    fleet.go(began, steps)?;
    let over = began.elapsed();
    let trouble = (plan.fault != "none").then_some(from..until);
    fleet.close(began, over, trouble, &last_list)
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
        let front_works: HashMap<_, _> =
            ["look", "sale"].map(|name| (name.to_string(), work(FRONT_US, true, false))).into();
        let endpoint_works: HashMap<_, _> = [("keep".to_string(), work(plan.work_us, false, true))].into();
        let many = |count, cores, works: &HashMap<_, _>| {
            (0..count).map(|_| Executor::start(cores, works.clone())).collect::<Result<Vec<_>, _>>()
        };
        let executors = many(plan.nodes, 4.0, &front_works).map_err(io)?;
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
        let front = |at| Front { at: plan.address(0, at, 7001), stream: None, open: Arc::default() };
        let sheet = Sheet { call_log: CallLog::default(), began: Vec::new() };
        Ok(Fleet {
            plan,
            fronts: (0..plan.nodes).map(front).collect(),
            is_down: vec![false; plan.nodes],
            nodes,
            endpoints,
            executors,
            endpoint_executors,
            links,
            sheet: Arc::new(Mutex::new(sheet)),
        })
    }

    /// Calls come by chance at each node, and steps are taken at their time.
    fn go(&mut self, began: Instant, steps: faults::Steps) -> Result<(), String> {
        let mut rng = fastrand::Rng::with_seed(self.plan.seed);
        let rate = self.plan.rate;
        let mut gap = move || Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        let mut due: BinaryHeap<Reverse<(Duration, usize)>> =
            (0..self.plan.nodes).map(|node| Reverse((gap(), node))).collect();
        let mut rng = fastrand::Rng::with_seed(!self.plan.seed);
        let mut again: BinaryHeap<Reverse<(Duration, usize, u64)>> = BinaryHeap::new();
        let mut steps = steps.into_iter().peekable();
        let (over, mut number, mut told) = (Duration::from_secs(self.plan.seconds), 0, 0);
        while let Some(Reverse((at, node))) = due.pop() {
            if at > over {
                break;
            }
            while let Some((_, action)) = steps.next_if(|(when, _)| *when <= at) {
                self.action(action)?;
            }
            std::thread::sleep((began + at).saturating_duration_since(Instant::now()));
            number += 1;
            let is_sale = rng.f64() < SALES;
            self.call(began + at, node, number, number, is_sale);
            if is_sale && rng.f64() < SENT_AGAIN && !self.plan.fault.contains("restart") {
                again.push(Reverse((at + ms(rng.u64(0..400)), node, number)));
            }
            while again.peek().is_some_and(|Reverse((when, ..))| *when <= at) {
                let Reverse((when, node, first)) = again.pop().expect("just seen");
                number += 1;
                self.call(began + when, node, number, first, true);
            }
            due.push(Reverse((at + gap(), node)));
            if self.plan.progress && at.as_secs() > told {
                told = at.as_secs();
                eprint!("\r{told} of {} s, {number} calls sent ", self.plan.seconds);
            }
        }
        if self.plan.progress {
            eprintln!();
        }
        steps.try_for_each(|(_, action)| self.action(action))
    }

    /// Sends a call; `work` names what it stands for, which its repeats share.
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
            let mut sheet = lock(&self.sheet);
            sheet.call_log.entries.push(entry);
            sheet.began.push(at);
            sheet.began.len() - 1
        };
        if self.is_down[node] || !self.connect(node) {
            return lock(&self.sheet).call_log.entries[index].is_abandoned = true;
        }
        let token = if is_sale { format!(",\"opkey\":\"{node:04x}{work:028x}\"") } else { String::new() };
        let came_ms = unix_ms().saturating_sub(at.elapsed().as_millis() as u64);
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{number},\"method\":\"{}\",\"params\":{{\"req\":\"{REQUEST_ID_PREFIX}{node:04x}{number:08x}\",\
             \"ts\":{came_ms},\"via\":1,\"need\":20.5,\"level\":0.5{token},\"body\":\"{}\"}}}}\n",
            if is_sale { "sale" } else { "look" },
            BASE64_STANDARD.encode(&body)
        );
        let front = &mut self.fronts[node];
        lock(&front.open).insert(number, index);
        let written = front.stream.as_mut().is_some_and(|stream| stream.write_all(line.as_bytes()).is_ok());
        if !written {
            // Not taken whole: nothing is owed.
            front.stream = None;
            lock(&self.sheet).call_log.entries[index].is_abandoned = true;
        }
    }

    /// A connection to that node, with somebody who enters its answers.
    fn connect(&mut self, node: usize) -> bool {
        let front = &mut self.fronts[node];
        if front.stream.is_some() {
            return true;
        }
        let Ok(stream) = TcpStream::connect_timeout(&front.at, ms(500)) else { return false };
        let (Ok(()), Ok(reads)) = (stream.set_nodelay(true), stream.try_clone()) else { return false };
        front.stream = Some(stream);
        let (sheet, open) = (self.sheet.clone(), front.open.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(reads).lines().map_while(Result::ok) {
                let Ok(value) = serde_json::from_str::<Value>(&line) else { continue };
                let Some(index) = value["id"].as_u64().and_then(|id| lock(&open).get(&id).copied()) else {
                    continue;
                };
                let mut sheet = lock(&sheet);
                let took_us = sheet.began[index].elapsed().as_micros() as u64;
                let entry = &mut sheet.call_log.entries[index];
                let (end, result) = json_answer(&value);
                if entry.answers.is_empty() {
                    (entry.latency_us, entry.result) = (took_us, result);
                }
                entry.answers.push(end);
            }
        });
        true
    }

    fn action(&mut self, action: FaultAction) -> Result<(), String> {
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
                self.fronts[at].stream = None;
                // Whatever it had not answered, nobody owes any more.
                let open = std::mem::take(&mut *lock(&self.fronts[at].open));
                let mut sheet = lock(&self.sheet);
                open.into_values().for_each(|index| sheet.call_log.entries[index].is_abandoned = true);
            }
            FaultAction::Start(Tier::Nodes, at) => {
                self.nodes[at].restart()?;
                self.is_down[at] = false;
            }
            FaultAction::Stop(tier, at) => self.of(tier)[at].signal(Signal::STOP),
            FaultAction::Continue(tier, at) => self.of(tier)[at].signal(Signal::CONT),
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

    fn of(&self, tier: Tier) -> &[Node] {
        match tier {
            Tier::Nodes => &self.nodes,
            Tier::Endpoints => &self.endpoints,
        }
    }

    /// Waits for what is still owed, then sums up.
    fn close(
        mut self,
        began: Instant,
        over: Duration,
        trouble: Option<Range<Duration>>,
        listed: &Range<usize>,
    ) -> Result<Outcome, String> {
        let last = Instant::now() + DEADLINE + GRACE;
        let is_owed = |entry: &Entry| entry.answers.is_empty() && !entry.is_abandoned;
        while Instant::now() < last && lock(&self.sheet).call_log.entries.iter().any(is_owed) {
            std::thread::sleep(ms(20));
        }
        // A second answer would come soon after the first.
        std::thread::sleep(ms(100));
        let sum = |executors: &[Executor]| {
            let mut runs: BTreeMap<Vec<u8>, u32> = BTreeMap::new();
            let counts = executors.iter().flat_map(Executor::counts);
            counts.for_each(|(body, times)| *runs.entry(body).or_default() += times);
            runs
        };
        let mut outcome =
            Outcome { processes: self.nodes.len() + self.endpoints.len(), ..Outcome::default() };
        let sheet = lock(&self.sheet);
        outcome.broken = sheet.call_log.violations(&sum(&self.executors));
        outcome.broken.extend(
            sheet
                .call_log
                .violations(&sum(&self.endpoint_executors))
                .into_iter()
                .filter(|b| b.contains("ran")),
        );
        let left: Vec<usize> =
            if self.plan.fault == "replaced" { (0..listed.start).collect() } else { Vec::new() };
        for (tier, nodes) in [("node", &mut self.nodes), ("endpoint", &mut self.endpoints)] {
            for (at, node) in nodes.iter_mut().enumerate() {
                let may_end = tier == "endpoint" && left.contains(&at);
                if !(may_end || node.is_running()) {
                    outcome.broken.push(format!("{tier} {at} has ended"));
                }
                outcome.cpu_us += node.cpu_us();
                outcome.memory_mb += node.memory_kb() / 1024;
            }
        }
        outcome.calls = sheet.call_log.entries.len();
        let in_time = |e: &Entry| {
            e.answers.first() == Some(&AnswerKind::Served) && e.latency_us <= ON_TIME.as_micros() as u64
        };
        let share = |within: &dyn Fn(Duration) -> bool| {
            let all = sheet.began.iter().zip(&sheet.call_log.entries);
            let all: Vec<_> =
                all.filter(|(at, e)| !e.is_abandoned && within(at.duration_since(began))).collect();
            all.iter().filter(|(_, e)| in_time(e)).count() as f64 / all.len().max(1) as f64
        };
        outcome.served_share = share(&|_| true);
        outcome.served_during = share(&|at| trouble.as_ref().is_none_or(|trouble| trouble.contains(&at)));
        let mut took: Vec<u64> =
            sheet.call_log.entries.iter().filter(|e| in_time(e)).map(|e| e.latency_us).collect();
        took.sort_unstable();
        let quantile = |share: f64| {
            let at = ((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1));
            took.get(at).map_or(0.0, |us| *us as f64 / 1_000.0)
        };
        (outcome.p50_ms, outcome.p99_ms) = (quantile(0.5), quantile(0.99));
        let passed = self.links.forwarded();
        let whole = trouble.map_or(Duration::ZERO, |trouble| trouble.end + EVEN_AGAIN);
        (outcome.even, outcome.windows) = evenness(&passed, began, whole..over, self.plan.window, listed);
        outcome.burst = burst(&passed);
        Ok(outcome)
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().expect("no panic under it")
}

/// The worst of the whole windows in that time, and how many there were.
fn evenness(
    passed: &[ForwardedCall],
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
        passed.iter().filter(within).for_each(|p| counts[p.endpoint - listed.start] += 1.0);
        worst.take_worst(&Evenness::of(&counts));
    }
    (worst, windows as usize)
}

/// The most calls to one place in a tenth of a second.
fn burst(passed: &[ForwardedCall]) -> usize {
    let mut by_endpoint: BTreeMap<usize, Vec<Instant>> = BTreeMap::new();
    passed.iter().for_each(|p| by_endpoint.entry(p.endpoint).or_default().push(p.at));
    let most = |times: &Vec<Instant>| {
        (0..times.len()).map(|at| times[at..].partition_point(|t| *t < times[at] + BURST)).max().unwrap_or(0)
    };
    by_endpoint.values().map(most).max().unwrap_or(0)
}
