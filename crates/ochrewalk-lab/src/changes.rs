//! A rolling change of real processes: nodes under supervisors with callers of their own, the real conductor, and what goes wrong
//! meanwhile. Judged: every call has one answer, none runs twice that may not, and how the change ended.

use crate::call_log::{AnswerKind, CallLog, Entry};
use crate::control_proxy::{ControlProxy, ProxyMode};
use crate::dependency::{CallAction, Dependency};
use crate::executor::{Executor, Work};
use crate::json::Caller;
use crate::load::{json_answer, wait_healthy};
use crate::node::{self, Node};
use crate::unix_ms;
use base64::prelude::{Engine, BASE64_STANDARD};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const ON_TIME: Duration = ms(100);
const DEADLINE: Duration = ms(2_000);
const METHODS: [&str; 2] = ["look", "sale"];
const WORK_US: u64 = 2_000;

/// What goes wrong with the conductor, nodes or the links between them while it goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The conductor is killed again and again, and begun anew.
    ControllerKilled,
    /// It is killed once half of the nodes are changed, and nobody begins another.
    ControllerLost,
    /// Another one, with a record of its own, begins once some are changed.
    TwoControllers,
    /// Nodes are stopped for 2 s, one after the other.
    NodesStopped,
    /// All executors take five times as long for 5 s.
    AllSlow,
    /// A third of the nodes cannot be heard for some seconds once they are changed: longer than a trial lasts.
    LinksSilent,
    /// Links lose answers, or break before them, now and then.
    LinksBreak,
    /// The file of the old program is replaced once some are changed.
    OldReplaced,
}

/// What is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    Program,
    /// A figure of the operators' file that does no harm.
    Settings,
    /// One that makes calls below fail.
    HarmfulSettings,
    /// One that cannot be read.
    UnusableSettings,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    /// Calls a second of each node.
    pub rate: f64,
    pub seed: u64,
    pub subject: Subject,
    /// What the new program does wrong, by the name that it knows it by.
    pub flaw: String,
    pub fault: Fault,
    /// More lines of the plan, such as stages and times.
    pub plan_lines: String,
    /// How long the change may take.
    pub time_limit: Duration,
    /// Where the conductor's log is left.
    pub log: Option<PathBuf>,
    pub instance: u8,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub broken: Vec<String>,
    /// done, back or waiting, and what the conductor said.
    pub end: String,
    pub output: String,
    /// The most nodes that ran the new program at once, as a share.
    pub changed: f64,
    /// Nodes that run it at the end.
    pub left_changed: usize,
    /// The most orders under way at once.
    pub max_open_commands: usize,
    pub kills: usize,
    pub calls: usize,
    pub served_share: f64,
    pub seconds: f64,
}

struct NodeStand {
    node: Mutex<Node>,
    executor: Executor,
    json_at: SocketAddr,
    /// Where the conductor reaches its supervisor.
    control: PathBuf,
    proxy: ControlProxy,
    /// Its operators' file, and the one to change to.
    settings: [PathBuf; 2],
}

/// Plays a change from one program to another.
pub fn play(old: &Path, new: &Path, plan: &Plan) -> Result<Outcome, String> {
    let io = |err: std::io::Error| err.to_string();
    let folder =
        std::env::temp_dir().join(format!("ow-{}-{}-{}", std::process::id(), plan.instance, plan.seed));
    std::fs::create_dir_all(&folder).map_err(io)?;
    let outcome = in_folder(old, new, plan, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    outcome
}

fn settings(calls: bool) -> Value {
    let method = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "worth": 1.0, "on-time-ns": ON_TIME.as_nanos() as u64,
               "deadline-ns": DEADLINE.as_nanos() as u64, "window-ns": 20_000_000_000u64})
    };
    json!({
        "categories": [method(METHODS[0], "free"), method(METHODS[1], "guarded")],
        "extra": {"below": if calls { "tier" } else { "silent" }, "cores": 4, "memory-kb": 90_000.0, "run-mem-factor": 4.0, "key-kb": 0.1,
                  "signal": "weight", "stop-mode": "drop", "gauges": ["cpu_busy", "runnable"],
                  "calls-by-class": [false, calls], "callers": 8, "keepalive-max-ns": 30_000_000_000u64},
        "policy-limits": {"retry-after": true, "max-retry-after-ns": 1_000_000_000}, "servers": 1,
        "rules": {"cold-from": 0.3, "drain-grace-ns": 300_000_000, "fall-multiple": 8.0,
                  "warm-within-ns": 60_000_000_000u64}
    })
}

fn start(old: &Path, plan: &Plan, folder: &Path, dependency: SocketAddr) -> Result<Vec<NodeStand>, String> {
    let io = |err: std::io::Error| err.to_string();
    let directory = node::directory().map_err(io)?;
    let calls = plan.subject != Subject::Program;
    let work = |method: usize| Work {
        core_us: WORK_US,
        calls: calls && method == 1,
        is_exponential: false,
        max_wait: DEADLINE,
    };
    let works: HashMap<String, Work> =
        METHODS.iter().enumerate().map(|(at, name)| (name.to_string(), work(at))).collect();
    let mut stands = Vec::new();
    for at in 0..plan.nodes {
        let executor = Executor::start(4.0, works.clone()).map_err(io)?;
        // An address of its own, whose port no other socket is given by chance.
        let pid = std::process::id();
        let (run, more) = (64 + (pid % 11) as u8 * 16 + plan.instance % 16, (pid / 11 % 100) as u8 * 2);
        let json_at = SocketAddr::from(([127, run, more + (at / 200) as u8, (at % 200) as u8 + 1], 7_003));
        let (supervisor, control) = (folder.join(format!("k{at}")), folder.join(format!("n{at}")));
        let mut config = node::config(json_at, executor.at, directory, settings(calls));
        config["limits"]["memory_mb"] = 512.into();
        let mut operators = format!("upgrade control {}\n", supervisor.display());
        if calls {
            operators += &format!("below ajp {dependency}\nbelow secret good\n");
        }
        let environment = [("OCHREWALK_FLAW", plan.flaw.clone())];
        let node = Node::spawn_with(old, &config, &operators, "error", &environment)?;
        let settings = [format!("old-n{at}"), format!("new-n{at}")].map(|name| folder.join(name));
        let newer = match plan.subject {
            Subject::HarmfulSettings => operators.replace("secret good", "secret bad"),
            Subject::UnusableSettings => operators + "below pong 3\n",
            _ => operators + "below pong 300ms\n",
        };
        std::fs::copy(node.operators(), &settings[0]).map_err(io)?;
        std::fs::write(&settings[1], newer).map_err(io)?;
        let proxy = ControlProxy::start(&control, supervisor).map_err(io)?;
        stands.push(NodeStand { node: Mutex::new(node), executor, json_at, control, proxy, settings });
    }
    for stand in &stands {
        lock(&stand.node).wait()?;
        wait_healthy(stand.json_at)?;
    }
    Ok(stands)
}

fn in_folder(old: &Path, new: &Path, plan: &Plan, folder: &Path) -> Result<Outcome, String> {
    let any = "127.0.0.27:0".parse().map_err(|_| "an address")?;
    let dependency = Dependency::start(any, Duration::from_secs(5), |call| match call.secret.as_deref() {
        Some("good") => CallAction::ok(b"kept"),
        _ => CallAction::Answer { status: 403, never_ran: true, body: Vec::new(), after: Duration::ZERO },
    });
    let dependency = dependency.map_err(|err| err.to_string())?;
    let stands = start(old, plan, folder, dependency.at)?;
    let file = folder.join("plan");
    write_plan(&file, "record", old, new, plan, &stands)?;
    // Counts of some seconds are needed before a stage can be compared.
    let is_over = AtomicBool::new(false);
    let from = Instant::now();
    let (mut outcome, call_logs) = std::thread::scope(|scope| {
        let calls: Vec<_> = stands
            .iter()
            .enumerate()
            .map(|(at, stand)| {
                let is_over = &is_over;
                scope.spawn(move || call(stand, at, plan, is_over))
            })
            .collect();
        let platform = scope.spawn(|| run_platform(&stands, plan, &is_over));
        std::thread::sleep(ms(1_500));
        let outcome = run_controller(old, new, &file, plan, &stands);
        is_over.store(true, Ordering::Relaxed);
        let _ = platform.join();
        (outcome, calls.into_iter().map(|calls| calls.join().unwrap_or_default()).collect::<Vec<_>>())
    });
    outcome.seconds = from.elapsed().as_secs_f64();
    let mut served = 0;
    for (stand, call_log) in stands.iter().zip(&call_logs) {
        outcome.broken.extend(call_log.violations(&stand.executor.counts()));
        outcome.calls += call_log.entries.len();
        served += call_log.entries.iter().filter(|e| e.answers.first() == Some(&AnswerKind::Served)).count();
    }
    outcome.served_share = served as f64 / outcome.calls.max(1) as f64;
    read_log(&folder.join("record.log"), plan.nodes, &mut outcome);
    if let Some(to) = &plan.log {
        let _ = std::fs::copy(folder.join("record.log"), to);
    }
    outcome.left_changed = changed_nodes(old, &file);
    Ok(outcome)
}

/// A plan of this change, with a record of that name beside it.
fn write_plan(
    file: &Path,
    record: &str,
    old: &Path,
    new: &Path,
    plan: &Plan,
    stands: &[NodeStand],
) -> Result<(), String> {
    let folder = file.parent().unwrap_or(Path::new("/"));
    let ends = match plan.subject {
        Subject::Program => format!("old {}\nnew {}\n", old.display(), new.display()),
        _ => format!("old-settings {0}/old-{{node}}\nnew-settings {0}/new-{{node}}\n", folder.display()),
    };
    let mut text = format!("{ends}record {}\n{}", folder.join(record).display(), plan.plan_lines);
    for (at, stand) in stands.iter().enumerate() {
        text += &format!("node n{at} {} z{}\n", stand.control.display(), at % 2);
    }
    std::fs::write(file, text).map_err(|err| err.to_string())
}

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// Calls to one node by chance until it is over, then waits for what is owed.
fn call(stand: &NodeStand, at: usize, plan: &Plan, is_over: &AtomicBool) -> CallLog {
    let mut rng = fastrand::Rng::with_seed(plan.seed ^ (at as u64) << 20);
    let mut call_log = CallLog::default();
    let mut open: Vec<(usize, Receiver<Value>)> = Vec::new();
    let mut caller: Option<Caller> = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / plan.rate));
        let Some(to) = caller.take().or_else(|| Caller::connect(stand.json_at).ok()) else { continue };
        number += 1;
        let is_sale = rng.f64() < 0.3;
        let body = format!("{}{at:03}{number:08}", if is_sale { "t" } else { "c" }).into_bytes();
        let token = if is_sale { format!(",\"opkey\":\"{at:016x}{number:016x}\"") } else { String::new() };
        let params = format!(
            "\"req\":\"{at:04x}{number:012x}\",\"ts\":{},\"via\":1,\"need\":20.5,\"level\":0.5{token},\"body\":\"{}\"",
            unix_ms(),
            BASE64_STANDARD.encode(&body)
        );
        let answers = to.call(number, METHODS[usize::from(is_sale)], &params);
        open.push((call_log.entries.len(), answers));
        call_log.entries.push(Entry {
            method: usize::from(is_sale),
            by_ajp: false,
            body,
            has_token: is_sale,
            answers: Vec::new(),
            result: None,
            latency_us: 0,
            is_abandoned: false,
        });
        // A connection that ended leaves its answers' channels without a sender.
        if to.is_open() {
            caller = Some(to);
        }
    }
    let last = Instant::now() + DEADLINE + ms(500);
    let is_flawed = !plan.flaw.is_empty();
    for (index, answers) in open {
        let entry = &mut call_log.entries[index];
        let first = answers.recv_timeout(last.saturating_duration_since(Instant::now()));
        match first {
            Ok(first) => {
                let (end, result) = json_answer(&first);
                entry.result = result;
                entry.answers.push(end);
                entry.answers.extend(answers.try_iter().map(|answer| json_answer(&answer).0));
            }
            // A program that crashes, or hears nobody, owes its answers in vain; that is the flaw, not the change.
            Err(_) => entry.is_abandoned = is_flawed,
        }
    }
    call_log
}

/// What the platform does with nodes that end, and the trouble.
fn run_platform(stands: &[NodeStand], plan: &Plan, is_over: &AtomicBool) {
    let from = Instant::now();
    let mut stopped: Option<(usize, Instant)> = None;
    let mut next = 0;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(ms(50));
        for stand in stands {
            let mut node = lock(&stand.node);
            if !node.is_running() {
                stand.executor.restart();
                let _ = node.restart();
            }
        }
        match plan.fault {
            Fault::NodesStopped if from.elapsed() > ms(2_500) => match stopped {
                None => {
                    signal_all(&stands[next % stands.len()], Signal::STOP);
                    stopped = Some((next % stands.len(), Instant::now()));
                    next += 1;
                }
                Some((at, since)) if since.elapsed() > ms(2_000) => {
                    signal_all(&stands[at], Signal::CONT);
                    stopped = None;
                }
                Some(_) => {}
            },
            Fault::LinksSilent => {
                let is_silent = (ms(5_000)..ms(11_000)).contains(&from.elapsed());
                let mode = if is_silent { ProxyMode::Silent } else { ProxyMode::Forward };
                stands.iter().step_by(3).for_each(|stand| stand.proxy.set(mode));
            }
            Fault::LinksBreak => {
                // One link at a time, another every half second.
                let turn = from.elapsed().as_millis() as usize / 500;
                for (at, stand) in stands.iter().enumerate() {
                    let is_now = turn % stands.len() == at && turn < 4 * stands.len();
                    let mode = if turn.is_multiple_of(2) {
                        ProxyMode::CloseBeforeReply
                    } else {
                        ProxyMode::DropReplies
                    };
                    stand.proxy.set(if is_now { mode } else { ProxyMode::Forward });
                }
            }
            Fault::AllSlow => {
                let is_slow = (ms(4_000)..ms(9_000)).contains(&from.elapsed());
                let slowdown = if is_slow { 100.0 } else { 1.0 };
                stands.iter().for_each(|s| {
                    s.executor.set(crate::executor::ExecutorBehavior { slowdown, fails_all: false })
                });
            }
            _ => {}
        }
    }
    if let Some((at, _)) = stopped {
        signal_all(&stands[at], Signal::CONT);
    }
}

/// A node's program, and its supervisor.
fn signal_all(stand: &NodeStand, signal: Signal) {
    let node = lock(&stand.node);
    node.signal(signal);
    for pid in node.children() {
        if let Some(pid) = rustix::process::Pid::from_raw(pid as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }
}

/// A conductor as a process.
fn start_controller(program: &Path, file: &Path) -> Option<Child> {
    let mut command = Command::new(program);
    command.arg("rollout").arg("run").arg(file);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().ok()
}

/// What it said at its end, and how that is called.
fn wait_for_controller(child: Child) -> Option<(String, &'static str)> {
    let exited = child.wait_with_output().ok()?;
    let output = String::from_utf8_lossy(&[exited.stdout, exited.stderr].concat()).trim_end().to_string();
    let end = match exited.status.code() {
        Some(0) => "done",
        Some(3) => "waiting",
        Some(4) => "back",
        _ => "failed",
    };
    Some((output, end))
}

/// The conductor, killed and begun anew, or joined by another, where that is the trouble.
fn run_controller(program: &Path, new: &Path, file: &Path, plan: &Plan, stands: &[NodeStand]) -> Outcome {
    let mut outcome = Outcome { end: "no end in time".into(), ..Outcome::default() };
    let mut rng = fastrand::Rng::with_seed(plan.seed ^ 77);
    let last = Instant::now() + plan.time_limit;
    let wait_until_changed = |least: usize| {
        while Instant::now() < last && changed_nodes(program, file) < least {
            std::thread::sleep(ms(200));
        }
    };
    while Instant::now() < last {
        let Some(mut child) = start_controller(program, file) else { break };
        let mut second = None;
        let until = match plan.fault {
            Fault::ControllerKilled if outcome.kills < 12 => {
                (Instant::now() + ms(rng.u64(100..2_500))).min(last)
            }
            Fault::ControllerLost => {
                wait_until_changed(plan.nodes / 2);
                Instant::now()
            }
            Fault::TwoControllers => {
                wait_until_changed(1);
                let other = file.with_extension("two");
                // Its plan goes by the same two programs.
                if write_plan(&other, "record2", program, new, plan, stands).is_ok() {
                    second = start_controller(program, &other);
                }
                last
            }
            Fault::OldReplaced => {
                // By the record, which forgets nothing: harmful settings are back before a slow look comes round.
                let has_changed = || {
                    let mut so_far = Outcome::default();
                    read_log(&file.with_file_name("record.log"), plan.nodes, &mut so_far);
                    so_far.changed > 0.0
                };
                while Instant::now() < last && !has_changed() {
                    std::thread::sleep(ms(10));
                }
                for stand in stands {
                    let _ = std::fs::write(&stand.settings[0], "upgrade control /elsewhere\n");
                }
                last
            }
            _ => last,
        };
        while Instant::now() < until && child.try_wait().is_ok_and(|ended| ended.is_none()) {
            std::thread::sleep(ms(10));
        }
        if child.try_wait().is_ok_and(|ended| ended.is_none()) {
            let _ = child.kill();
            let _ = child.wait();
            outcome.kills += 1;
            if plan.fault == Fault::ControllerLost {
                // What is on trial goes back by itself.
                while Instant::now() < last && changed_nodes(program, file) > 0 {
                    std::thread::sleep(ms(100));
                }
                outcome.end = "gone".into();
                break;
            }
            continue;
        }
        let Some((output, end)) = wait_for_controller(child) else { break };
        if end == "failed" && !file.with_file_name("record").exists() {
            // Nothing was begun, as not all nodes could be heard: an operator asks again.
            std::thread::sleep(ms(200));
            continue;
        }
        (outcome.output, outcome.end) = (output, end.into());
        if let Some((output, end)) = second.and_then(wait_for_controller) {
            // The first was replaced: how the change ended is the other one's to say.
            outcome.output += &format!("; the second: {output}");
            outcome.end = end.into();
        }
        break;
    }
    outcome
}

/// Nodes that run the new program, by the conductor's own look at them.
fn changed_nodes(program: &Path, file: &Path) -> usize {
    let output = Command::new(program).arg("rollout").arg("status").arg(file).output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    text.lines().filter(|line| line.split_whitespace().nth(2) == Some("new")).count()
}

/// The most that were changed, and ordered, at once.
fn read_log(file: &Path, nodes: usize, outcome: &mut Outcome) {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let mut open_commands: BTreeMap<String, ()> = BTreeMap::new();
    for line in text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
        let what = &line["what"];
        if let Some(node) = what["order"].as_str() {
            open_commands.insert(node.into(), ());
            outcome.max_open_commands = outcome.max_open_commands.max(open_commands.len());
        }
        if let Some(node) = what["answer"].as_str() {
            open_commands.remove(node);
        }
        // The orders of one that was killed are answered to nobody.
        if what["begun"].is_u64() {
            open_commands.clear();
        }
        outcome.changed = outcome.changed.max(what["nodes"][1].as_f64().unwrap_or(0.0) / nodes as f64);
    }
}

/// A copy of a program that holds something else, and does the same.
pub fn copy_with_other_contents(program: &Path, to: &Path) -> Result<(), String> {
    let context = |err: std::io::Error| format!("{}: {err}", to.display());
    // One made before may still run: it keeps its file, and this is another.
    let _ = std::fs::remove_file(to);
    std::fs::copy(program, to).map_err(context)?;
    let mut file = std::fs::OpenOptions::new().append(true).open(to).map_err(context)?;
    std::io::Write::write_all(&mut file, b"another").map_err(context)
}
