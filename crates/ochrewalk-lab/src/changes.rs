//! Rollouts on real processes: nodes under supervisors with their own callers, the real rollout controller, and
//! faults during the rollout. The checks are that every call has one answer, that no call with a token runs twice,
//! and how the rollout ended.

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

/// A fault of the controller, of nodes or of the links between them during the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The controller is killed repeatedly, and started again each time.
    ControllerKilled,
    /// The controller is killed once half of the nodes are changed, and no other is started.
    ControllerLost,
    /// A second controller with a separate record starts once some nodes are changed.
    TwoControllers,
    /// Nodes are stopped for 2 s each, one after the other.
    NodesStopped,
    /// All executors are slowed down by a factor of 100 for 5 s.
    AllSlow,
    /// A third of the nodes cannot be reached for some seconds after they are changed, which is longer than the time
    /// to confirm a change.
    LinksSilent,
    /// Links occasionally drop replies, or close before them.
    LinksBreak,
    /// The file of the old version is replaced once some nodes are changed.
    OldReplaced,
}

/// The subject of the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    Program,
    /// A harmless setting of the operators' file.
    Settings,
    /// A setting that makes upstream calls fail.
    HarmfulSettings,
    /// A setting that cannot be parsed.
    UnusableSettings,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    /// Calls per second to each node.
    pub rate: f64,
    pub seed: u64,
    pub subject: Subject,
    /// The flaw of the new program, by the name that the program reads; empty for none.
    pub flaw: String,
    pub fault: Fault,
    /// Further lines of the rollout plan, such as stages and times.
    pub plan_lines: String,
    /// The longest time that the rollout may take.
    pub time_limit: Duration,
    /// The file to which the controller's log is copied.
    pub log: Option<PathBuf>,
    /// A number that differs between rollouts which run concurrently in one process.
    pub instance: u8,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub broken: Vec<String>,
    /// `done`, `back`, `waiting`, `gone` or `failed`.
    pub end: String,
    /// The output of the controller.
    pub output: String,
    /// The largest share of nodes that ran the new version at the same time.
    pub changed: f64,
    /// The number of nodes that run the new version at the end.
    pub left_changed: usize,
    /// The largest number of commands without a reply at the same time.
    pub max_open_commands: usize,
    pub kills: usize,
    pub calls: usize,
    pub served_share: f64,
    pub seconds: f64,
}

struct TestNode {
    node: Mutex<Node>,
    executor: Executor,
    json_at: SocketAddr,
    /// The socket by which the controller reaches the node's supervisor.
    control: PathBuf,
    proxy: ControlProxy,
    /// The old and the new operators' file.
    settings: [PathBuf; 2],
}

/// Runs a rollout from one program to another.
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

fn start(old: &Path, plan: &Plan, folder: &Path, dependency: SocketAddr) -> Result<Vec<TestNode>, String> {
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
    let mut test_nodes = Vec::new();
    for at in 0..plan.nodes {
        let executor = Executor::start(4.0, works.clone()).map_err(io)?;
        // The address is unique, and the system does not assign its port to another socket.
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
        test_nodes.push(TestNode { node: Mutex::new(node), executor, json_at, control, proxy, settings });
    }
    for test_node in &test_nodes {
        lock(&test_node.node).wait()?;
        wait_healthy(test_node.json_at)?;
    }
    Ok(test_nodes)
}

fn in_folder(old: &Path, new: &Path, plan: &Plan, folder: &Path) -> Result<Outcome, String> {
    let any = "127.0.0.27:0".parse().map_err(|_| "an address")?;
    let dependency = Dependency::start(any, Duration::from_secs(5), |call| match call.secret.as_deref() {
        Some("good") => CallAction::ok(b"kept"),
        _ => CallAction::Answer { status: 403, never_ran: true, body: Vec::new(), after: Duration::ZERO },
    });
    let dependency = dependency.map_err(|err| err.to_string())?;
    let test_nodes = start(old, plan, folder, dependency.at)?;
    let file = folder.join("plan");
    write_plan(&file, "record", old, new, plan, &test_nodes)?;
    // Stages can only be compared with counts of some seconds before them.
    let is_over = AtomicBool::new(false);
    let from = Instant::now();
    let (mut outcome, call_logs) = std::thread::scope(|scope| {
        let calls: Vec<_> = test_nodes
            .iter()
            .enumerate()
            .map(|(at, test_node)| {
                let is_over = &is_over;
                scope.spawn(move || call(test_node, at, plan, is_over))
            })
            .collect();
        let platform = scope.spawn(|| run_platform(&test_nodes, plan, &is_over));
        std::thread::sleep(ms(1_500));
        let outcome = run_controller(old, new, &file, plan, &test_nodes);
        is_over.store(true, Ordering::Relaxed);
        let _ = platform.join();
        (outcome, calls.into_iter().map(|calls| calls.join().unwrap_or_default()).collect::<Vec<_>>())
    });
    outcome.seconds = from.elapsed().as_secs_f64();
    let mut served = 0;
    for (test_node, call_log) in test_nodes.iter().zip(&call_logs) {
        outcome.broken.extend(call_log.violations(&test_node.executor.counts()));
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

/// Writes the plan of this rollout, with a record of this name in the same folder.
fn write_plan(
    file: &Path,
    record: &str,
    old: &Path,
    new: &Path,
    plan: &Plan,
    test_nodes: &[TestNode],
) -> Result<(), String> {
    let folder = file.parent().unwrap_or(Path::new("/"));
    let versions = match plan.subject {
        Subject::Program => format!("old {}\nnew {}\n", old.display(), new.display()),
        _ => format!("old-settings {0}/old-{{node}}\nnew-settings {0}/new-{{node}}\n", folder.display()),
    };
    let mut text = format!("{versions}record {}\n{}", folder.join(record).display(), plan.plan_lines);
    for (at, test_node) in test_nodes.iter().enumerate() {
        text += &format!("node n{at} {} z{}\n", test_node.control.display(), at % 2);
    }
    std::fs::write(file, text).map_err(|err| err.to_string())
}

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// Sends calls to one node at random times until the rollout is over, then waits for outstanding answers.
fn call(test_node: &TestNode, at: usize, plan: &Plan, is_over: &AtomicBool) -> CallLog {
    let mut rng = fastrand::Rng::with_seed(plan.seed ^ (at as u64) << 20);
    let mut call_log = CallLog::default();
    let mut open: Vec<(usize, Receiver<Value>)> = Vec::new();
    let mut caller: Option<Caller> = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / plan.rate));
        let Some(to) = caller.take().or_else(|| Caller::connect(test_node.json_at).ok()) else { continue };
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
        // A closed connection drops the senders of its answers' channels.
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
                let (kind, result) = json_answer(&first);
                entry.result = result;
                entry.answers.push(kind);
                entry.answers.extend(answers.try_iter().map(|answer| json_answer(&answer).0));
            }
            // A flawed program that crashes or does not respond leaves calls without an answer. The flaw causes this,
            // not the rollout.
            Err(_) => entry.is_abandoned = is_flawed,
        }
    }
    call_log
}

/// Restarts nodes that have ended, as the platform does, and applies the fault.
fn run_platform(test_nodes: &[TestNode], plan: &Plan, is_over: &AtomicBool) {
    let from = Instant::now();
    let mut stopped: Option<(usize, Instant)> = None;
    let mut next = 0;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(ms(50));
        for test_node in test_nodes {
            let mut node = lock(&test_node.node);
            if !node.is_running() {
                test_node.executor.restart();
                let _ = node.restart();
            }
        }
        match plan.fault {
            Fault::NodesStopped if from.elapsed() > ms(2_500) => match stopped {
                None => {
                    signal_all(&test_nodes[next % test_nodes.len()], Signal::STOP);
                    stopped = Some((next % test_nodes.len(), Instant::now()));
                    next += 1;
                }
                Some((at, since)) if since.elapsed() > ms(2_000) => {
                    signal_all(&test_nodes[at], Signal::CONT);
                    stopped = None;
                }
                Some(_) => {}
            },
            Fault::LinksSilent => {
                let is_silent = (ms(5_000)..ms(11_000)).contains(&from.elapsed());
                let mode = if is_silent { ProxyMode::Silent } else { ProxyMode::Forward };
                test_nodes.iter().step_by(3).for_each(|test_node| test_node.proxy.set(mode));
            }
            Fault::LinksBreak => {
                // Faults affect one link at a time, and the next link every 500 ms.
                let turn = from.elapsed().as_millis() as usize / 500;
                for (at, test_node) in test_nodes.iter().enumerate() {
                    let is_now = turn % test_nodes.len() == at && turn < 4 * test_nodes.len();
                    let mode = if turn.is_multiple_of(2) {
                        ProxyMode::CloseBeforeReply
                    } else {
                        ProxyMode::DropReplies
                    };
                    test_node.proxy.set(if is_now { mode } else { ProxyMode::Forward });
                }
            }
            Fault::AllSlow => {
                let is_slow = (ms(4_000)..ms(9_000)).contains(&from.elapsed());
                let slowdown = if is_slow { 100.0 } else { 1.0 };
                test_nodes.iter().for_each(|s| {
                    s.executor.set(crate::executor::ExecutorBehavior { slowdown, fails_all: false })
                });
            }
            _ => {}
        }
    }
    if let Some((at, _)) = stopped {
        signal_all(&test_nodes[at], Signal::CONT);
    }
}

/// Sends a signal to a node's supervisor and to its child processes.
fn signal_all(test_node: &TestNode, signal: Signal) {
    let node = lock(&test_node.node);
    node.signal(signal);
    for pid in node.children() {
        if let Some(pid) = rustix::process::Pid::from_raw(pid as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }
}

/// Starts a controller process.
fn start_controller(program: &Path, file: &Path) -> Option<Child> {
    let mut command = Command::new(program);
    command.arg("rollout").arg("run").arg(file);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().ok()
}

/// Waits until a controller exits, and returns its output and the name of its exit status.
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

/// Runs the controller. Depending on the fault, kills and restarts it, or starts a second one.
fn run_controller(program: &Path, new: &Path, file: &Path, plan: &Plan, test_nodes: &[TestNode]) -> Outcome {
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
                // The second plan has the same two programs.
                if write_plan(&other, "record2", program, new, plan, test_nodes).is_ok() {
                    second = start_controller(program, &other);
                }
                last
            }
            Fault::OldReplaced => {
                // The record shows every change, while a slow status query can miss harmful settings that are already
                // reverted.
                let has_changed = || {
                    let mut current = Outcome::default();
                    read_log(&file.with_file_name("record.log"), plan.nodes, &mut current);
                    current.changed > 0.0
                };
                while Instant::now() < last && !has_changed() {
                    std::thread::sleep(ms(10));
                }
                for test_node in test_nodes {
                    let _ = std::fs::write(&test_node.settings[0], "upgrade control /elsewhere\n");
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
                // Unconfirmed nodes revert without the controller.
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
            // The rollout has not started, as not all nodes could be reached. An operator would start it again.
            std::thread::sleep(ms(200));
            continue;
        }
        (outcome.output, outcome.end) = (output, end.into());
        if let Some((output, end)) = second.and_then(wait_for_controller) {
            // The second controller replaced the first, so its result counts.
            outcome.output += &format!("; the second: {output}");
            outcome.end = end.into();
        }
        break;
    }
    outcome
}

/// Returns the number of nodes that run the new version, by the controller's status query.
fn changed_nodes(program: &Path, file: &Path) -> usize {
    let output = Command::new(program).arg("rollout").arg("status").arg(file).output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    text.lines().filter(|line| line.split_whitespace().nth(2) == Some("new")).count()
}

/// Reads the largest share of changed nodes and the largest number of open commands from the controller's log.
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
        // Commands of a killed controller never get a recorded reply.
        if what["begun"].is_u64() {
            open_commands.clear();
        }
        outcome.changed = outcome.changed.max(what["nodes"][1].as_f64().unwrap_or(0.0) / nodes as f64);
    }
}

/// Writes a copy of a program that has different contents and the same behavior.
pub fn copy_with_other_contents(program: &Path, to: &Path) -> Result<(), String> {
    let context = |err: std::io::Error| format!("{}: {err}", to.display());
    // An earlier copy may still run. It keeps its file, and the copy gets a new one.
    let _ = std::fs::remove_file(to);
    std::fs::copy(program, to).map_err(context)?;
    let mut file = std::fs::OpenOptions::new().append(true).open(to).map_err(context)?;
    std::io::Write::write_all(&mut file, b"another").map_err(context)
}
