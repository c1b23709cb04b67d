//! The lab's command `upgrade`: repeated upgrades of the running program during steady load over both protocols,
//! compared with the same load without upgrades and with plain restarts.

use crate::json::Caller;
use crate::load::{play, play_alongside, Outcome, Plan, Protocols, RunningLoad};
use serde_json::json;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The options of the command line.
#[derive(Clone, Debug)]
pub struct Options {
    pub seconds: u64,
    pub seed: u64,
    pub every: Duration,
    pub load: f64,
    /// The failure of the new program, such as `crash:ready` or `hang:commit`.
    pub fail: Option<String>,
    pub log: &'static str,
}

/// The interval of connection attempts and health queries.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(20);

/// Observations of the node's listeners during upgrades or restarts.
#[derive(Clone, Copy, Debug, Default)]
struct ProbeResult {
    connects: usize,
    refused: usize,
    longest_pause_us: u64,
}

/// Connects to both listeners and queries the health on a persistent connection, until `is_over` is set.
fn probe_listeners(json_at: SocketAddr, ajp_at: SocketAddr, is_over: &AtomicBool) -> ProbeResult {
    let mut result = ProbeResult::default();
    let (mut persistent, mut number) = (None, 0);
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(PROBE_INTERVAL);
        for at in [json_at, ajp_at] {
            result.connects += 1;
            let tried = TcpStream::connect_timeout(&at, Duration::from_secs(2));
            result.refused += usize::from(tried.is_err_and(|err| err.kind() == ErrorKind::ConnectionRefused));
        }
        let Some(caller) = persistent.take().or_else(|| Caller::connect(json_at).ok()) else { continue };
        number += 1;
        let from = Instant::now();
        if caller.call(number, "heartbeat", "").recv_timeout(Duration::from_secs(2)).is_ok() {
            result.longest_pause_us = result.longest_pause_us.max(from.elapsed().as_micros() as u64);
            persistent = Some(caller);
        }
        // The query is answered, so a second answer is not awaited.
        persistent.iter().for_each(|caller| caller.forget(number));
    }
    result
}

/// Requests one upgrade over the control socket, as `ochrewalk upgrade` does.
fn upgrade(control: &Path, program: &Path) -> Result<String, String> {
    let context = |err: std::io::Error| format!("{}: {err}", control.display());
    let mut stream = UnixStream::connect(control).map_err(context)?;
    stream.set_read_timeout(Some(UPGRADE_TIMEOUT)).map_err(context)?;
    writeln!(stream, "upgrade {}", program.display()).map_err(context)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(context)?;
    Ok(line.trim_end().to_string())
}

/// Returns the memory in KB and the number of descriptors of the serving child process.
fn usage(load: &RunningLoad) -> (u64, usize) {
    let children = load.node.lock().map(|node| node.children()).unwrap_or_default();
    let Some(pid) = children.first() else { return (0, 0) };
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident_kb = |line: &str| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok();
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |all| all.count());
    (text.lines().find_map(resident_kb).unwrap_or(0), descriptors)
}

/// The results of the upgrades.
#[derive(Clone, Debug, Default)]
struct Upgrades {
    done: usize,
    /// The replies that report no hand-over, each once.
    other: Vec<String>,
    longest_us: u64,
    sizes: Vec<(u64, usize)>,
    probes: ProbeResult,
}

impl Options {
    /// Runs the measurement and prints the result, whose last line is JSON. Returns whether no rule was violated and
    /// no connection was refused.
    pub fn run(&self, program: &Path) -> Result<bool, String> {
        let plan = Plan {
            seconds: self.seconds,
            seed: self.seed,
            load: self.load,
            protocols: Protocols::Both,
            cut: 0.0,
            log: self.log,
            progress: true,
        };
        let without = play(program, &plan)?;
        let control = control_path(self.seed);
        let more_lines = format!("upgrade control {}\n", control.display());
        let environment = self.fail.as_ref().map(|fail| ("OCHREWALK_TAKE_FAILS", fail.clone()));
        let environment: Vec<_> = environment.into_iter().collect();
        let (with, upgrades) = play_alongside(program, &plan, &more_lines, &environment, |load| {
            self.repeat_during_load(load, |result| {
                let from = Instant::now();
                let reply = upgrade(&control, program).unwrap_or_else(|why| why);
                let took_us = from.elapsed().as_micros() as u64;
                if reply == "handed over" {
                    result.done += 1;
                    result.longest_us = result.longest_us.max(took_us);
                } else if !result.other.contains(&reply) {
                    result.other.push(reply);
                }
            })
        })?;
        let _ = std::fs::remove_file(&control);
        // A plain restart breaks connections, so the comparison uses AJP only, whose callers reconnect.
        let ajp = Plan { protocols: Protocols::AjpOnly, ..plan };
        let (restarted, restarts) = play_alongside(program, &ajp, "", &[], |load| {
            self.repeat_during_load(load, |result| {
                if let Ok(mut node) = load.node.lock() {
                    node.terminate();
                    result.done += usize::from(node.restart().is_ok());
                }
            })
        })?;
        print!("{}", with.table());
        with.broken.iter().take(10).for_each(|broken| eprintln!("broken: {broken}"));
        upgrades.other.iter().for_each(|reply| println!("not handed over: {reply}"));
        let first_and_last = |of: &dyn Fn(&(u64, usize)) -> u64| {
            [upgrades.sizes.first(), upgrades.sizes.last()].map(|size| size.map_or(0, of))
        };
        println!(
            "{}",
            json!({
                "broken": with.broken.len(), "calls": with.call_log.entries.len(), "upgrades": upgrades.done,
                "refused_connects": upgrades.probes.refused, "connects": upgrades.probes.connects,
                "longest_pause_ms": upgrades.probes.longest_pause_us as f64 / 1_000.0,
                "longest_upgrade_ms": upgrades.longest_us as f64 / 1_000.0,
                "served_share": share(&with), "served_share_without": share(&without),
                "memory_kb": first_and_last(&|size| size.0), "descriptors": first_and_last(&|size| size.1 as u64),
                "restarts": restarts.done, "restart_refused": restarts.probes.refused,
                "restart_broken": restarted.broken.len(), "restart_served_share": share(&restarted)
            })
        );
        Ok(with.broken.is_empty() && upgrades.probes.refused == 0)
    }

    /// Runs an action at a fixed interval until the load is over, and probes the listeners meanwhile.
    fn repeat_during_load(&self, load: &RunningLoad, mut what: impl FnMut(&mut Upgrades)) -> Upgrades {
        let is_over = Arc::new(AtomicBool::new(false));
        let (stop, json_at, ajp_at) = (is_over.clone(), load.json_at, load.ajp_at);
        let prober = std::thread::spawn(move || probe_listeners(json_at, ajp_at, &stop));
        let mut result = Upgrades::default();
        while !load.is_over() {
            let next = Instant::now() + self.every;
            while Instant::now() < next && !load.is_over() {
                std::thread::sleep(PROBE_INTERVAL);
            }
            if !load.is_over() {
                result.sizes.push(usage(load));
                what(&mut result);
            }
        }
        is_over.store(true, Ordering::Relaxed);
        result.probes = prober.join().unwrap_or_default();
        result
    }
}

/// Returns the priority-weighted share of calls served within their latency objective, over both protocols.
fn share(outcome: &Outcome) -> f64 {
    let shares = [true, false].map(|by_ajp| {
        let count = outcome.call_log.entries.iter().filter(|entry| entry.by_ajp == by_ajp).count();
        (outcome.served_share(by_ajp), count as f64)
    });
    let all: f64 = shares.iter().map(|(_, count)| count).sum();
    let share = shares.iter().map(|(share, count)| share * count).sum::<f64>() / all.max(1.0);
    (share * 10_000.0).round() / 10_000.0
}

fn control_path(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("ow-{}-{seed}.sock", std::process::id()))
}
