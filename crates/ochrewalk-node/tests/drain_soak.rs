//! A seeded soak: nodes under load get the notice to drain while upgrades, restarts and reloads are requested at drawn times.
//!
//! `SOAK_ROUNDS` and `SOAK_SEED` set another length and seed, for a long run by hand.

mod helper;

use helper::supervised_node::{ajp_look, SupervisedNode};
use helper::*;
use ochrewalk_lab::ajp::Peer as AjpPeer;
use ochrewalk_node::handover::fingerprint::fingerprint_of_file;
use ochrewalk_node::handover::rollout_socket::send_request;
use ochrewalk_rollout::messages::{CommandMessage, Request, Target};
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::thread::Scope;
use std::time::{Duration, Instant};

const DEFAULT_ROUNDS: u64 = 32;
const DEFAULT_SEED: u64 = 0x5eed_0055;
const PARALLEL_ROUNDS: u64 = 4;
/// The time limit of every wait, far longer than any successful operation takes.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The grace after a notice to drain, with the slack of the rules.
const GRACE: Duration = Duration::from_millis(300 + 50);
/// The time after the notice until which callers connect: well before the node closes its listeners.
const LAST_CONNECT: Duration = Duration::from_millis(700);
/// The time after the start of a round at which the notice has come for sure.
const LATEST_NOTICE: Duration = Duration::from_secs(10);
const CALL_INTERVAL: Duration = Duration::from_millis(6);
/// The time for which a node is under load before the notice.
const LEAD_MS: u64 = 150;
const FAILURES: [&str; 9] =
    ["", "", "", "crash:greet", "crash:ready", "crash:commit", "hang:greet", "hang:ready", "hang:commit"];

/// What callers and the executor have seen in a round.
struct Observations {
    started: Instant,
    next_number: AtomicU64,
    /// The time at which each RPC was sent, by its number.
    sent: Mutex<HashMap<u64, Instant>>,
    /// The numbers of the RPCs whose connection ended without an answer.
    unanswered: Mutex<Vec<u64>>,
    /// The numbers of the runs, in order.
    runs: Mutex<Vec<u64>>,
    /// The time at which the first caller learned of the notice.
    notified: OnceLock<Instant>,
}

impl Observations {
    fn new() -> Observations {
        Observations {
            started: Instant::now(),
            next_number: AtomicU64::new(0),
            sent: Mutex::default(),
            unanswered: Mutex::default(),
            runs: Mutex::default(),
            notified: OnceLock::new(),
        }
    }

    /// Returns the number of the next RPC, which is sent now.
    fn begin_request(&self) -> u64 {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed) + 1;
        self.sent.lock().unwrap().insert(number, Instant::now());
        number
    }

    /// Whether the notice is not older than this. A notice of which no caller learns counts as one at `LATEST_NOTICE`.
    fn is_within(&self, limit: Duration) -> bool {
        let notified = self.notified.get().copied().unwrap_or(self.started + LATEST_NOTICE);
        notified.elapsed() < limit
    }

    /// Returns the violations of the rules.
    fn violations(&self) -> Vec<String> {
        let unanswered = self.unanswered.lock().unwrap();
        let (sent, mut runs) = (self.sent.lock().unwrap(), self.runs.lock().unwrap().clone());
        let Some(notified) = self.notified.get() else {
            return vec!["no caller learned of the notice".into()];
        };
        let is_late = |number: &&u64| sent[number].saturating_duration_since(*notified) > GRACE;
        let late: Vec<_> = runs.iter().filter(is_late).copied().collect();
        let run_count = runs.len();
        runs.sort_unstable();
        runs.dedup();
        let mut violations = Vec::new();
        if !unanswered.is_empty() {
            violations.push(format!("without an answer: {unanswered:?} of {}", sent.len()));
        }
        if !late.is_empty() {
            violations.push(format!("run after the grace: {late:?}"));
        }
        if runs.len() < run_count {
            violations.push("an RPC was run twice".into());
        }
        violations
    }
}

/// Completes each run, until the node ends or should have ended long ago.
fn complete_runs(mut executor: Peer, observations: &Observations) {
    let mut pos = 0;
    while observations.is_within(TIMEOUT) {
        let line = executor.next_line_or_end();
        if line.is_empty() {
            return;
        }
        if executor.answer_if_gauge_request(&line) {
            continue;
        }
        let command: serde_json::Value = serde_json::from_str(&line).unwrap();
        if command["action"] == "EXEC" {
            pos += 1;
            let number = u64::from_str_radix(command["uid"].as_str().unwrap(), 16).unwrap();
            observations.runs.lock().unwrap().push(number);
            let notice = exit(pos, number, "complete") + "\n";
            // Fails once the node has ended.
            let _ = executor.stream.write_all(notice.as_bytes());
        }
    }
}

/// Calls by JSON-RPC, one call after the other. A connection is left once the node says that it takes no more.
fn call_by_json_rpc(address: &str, observations: &Observations) {
    while observations.is_within(LAST_CONNECT) {
        let Ok(stream) = TcpStream::connect(address) else { return };
        let mut caller = Peer::new(stream);
        let mut may_call = true;
        while may_call {
            let number = observations.begin_request();
            let line = rpc(number, "look") + "\n";
            let is_sent = caller.stream.write_all(line.as_bytes()).is_ok();
            let id = format!(r#""id":{number},"#);
            loop {
                let answer = if is_sent { caller.next_line_or_end() } else { String::new() };
                if answer.is_empty() {
                    observations.unanswered.lock().unwrap().push(number);
                    return;
                }
                if answer.contains("noMore") {
                    observations.notified.get_or_init(Instant::now);
                    may_call = false;
                } else if answer.contains(&id) {
                    break;
                }
            }
            std::thread::sleep(CALL_INTERVAL);
        }
    }
}

/// Calls by AJP, each call on a connection of its own.
fn call_by_ajp(address: &str, observations: &Observations) {
    while observations.is_within(LAST_CONNECT) {
        let Ok(mut peer) = AjpPeer::connect(address.parse().unwrap(), TIMEOUT) else { return };
        let number = observations.begin_request();
        if peer.call(&ajp_look(number)).is_err() {
            observations.unanswered.lock().unwrap().push(number);
        }
        std::thread::sleep(CALL_INTERVAL);
    }
}

/// Returns a request of a rollout to restart the node with these settings.
fn restart_with(operators: &str) -> Request {
    let path = file(operators);
    let target = Target {
        is_settings: true,
        path: path.display().to_string(),
        fingerprint: fingerprint_of_file(&path).unwrap(),
    };
    let message = CommandMessage {
        controller: 1,
        command: 1,
        target: Some(target),
        restart: true,
        ..CommandMessage::default()
    };
    Request::command(message)
}

/// Starts threads that request what this round draws, at drawn times around the notice, which comes `LEAD_MS` after `start`.
fn disturb<'scope>(
    scope: &'scope Scope<'scope, '_>,
    node: &'scope SupervisedNode,
    random: &mut fastrand::Rng,
    start: Instant,
) {
    let at = move |offset_ms: u64| {
        std::thread::sleep(
            (start + Duration::from_millis(offset_ms)).saturating_duration_since(Instant::now()),
        )
    };
    let near = |random: &mut fastrand::Rng| random.u64(LEAD_MS - 80..LEAD_MS + 30);
    let mut upgrades: Vec<u64> = (0..random.u32(..3)).map(|_| near(random)).collect();
    upgrades.extend((0..random.u32(..3)).map(|_| random.u64(LEAD_MS..LEAD_MS + 900)));
    for offset_ms in upgrades {
        scope.spawn(move || {
            at(offset_ms);
            node.upgrade()
        });
    }
    if random.u32(..3) == 0 {
        let offset_ms = near(random);
        scope.spawn(move || {
            at(offset_ms);
            node.stand.signal("-HUP");
        });
    }
    if random.u32(..4) == 0 {
        let (offset_ms, text) = (near(random), node.file_texts().1 + "# changed\n");
        scope.spawn(move || {
            at(offset_ms);
            let _ = send_request(&node.control, &restart_with(&text), TIMEOUT);
        });
    }
    let notices = 1 + u64::from(random.u32(..3) == 0);
    scope.spawn(move || {
        for number in 0..notices {
            at(LEAD_MS + 40 * number);
            node.stand.terminate();
        }
    });
}

/// Plays one round, and returns what is wrong.
fn play(seed: u64) -> Vec<String> {
    let mut random = fastrand::Rng::with_seed(seed);
    let failure = FAILURES[random.usize(..FAILURES.len())];
    let (mut node, executor) = SupervisedNode::up(failure);
    let observations = Observations::new();
    std::thread::scope(|scope| {
        let (observations, node) = (&observations, &node);
        scope.spawn(move || complete_runs(executor, observations));
        for _ in 0..2 {
            scope.spawn(move || call_by_json_rpc(&node.stand.address, observations));
        }
        scope.spawn(move || call_by_ajp(&node.stand.ajp, observations));
        disturb(scope, node, &mut random, Instant::now());
    });
    let mut violations = observations.violations();
    if node.stand.is_running() && !observations.is_within(TIMEOUT) {
        violations.push("the node did not end".into());
    } else if !node.stand.wait().success() {
        violations.push("the node ended with a failure".into());
    }
    violations.into_iter().map(|text| format!("seed {seed:#x}, successors {failure:?}: {text}")).collect()
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against a notice that is forgotten, a request that is lost or run too late, and a node that does not end, however the
/// notice meets the replacement of the program.
#[test]
fn the_notice_stays_in_force_whatever_is_requested_around_it() {
    let (rounds, first) = (setting("SOAK_ROUNDS", DEFAULT_ROUNDS), setting("SOAK_SEED", DEFAULT_SEED));
    let next = AtomicU64::new(0);
    let violations = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_ROUNDS {
            scope.spawn(|| loop {
                let round = next.fetch_add(1, Ordering::Relaxed);
                if round >= rounds {
                    return;
                }
                let found = play(first + round);
                violations.lock().unwrap().extend(found);
            });
        }
    });
    let violations = violations.into_inner().unwrap();
    assert!(violations.is_empty(), "{rounds} rounds:\n{}", violations.join("\n"));
}
