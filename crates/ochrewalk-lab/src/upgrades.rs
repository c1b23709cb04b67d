//! The laboratory's `upgrade`: a program takes over from the running one again and again during steady load by both
//! protocols, beside the same load left alone and beside plain restarts.

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

/// What is asked for on the command line.
#[derive(Clone, Debug)]
pub struct Options {
    pub seconds: u64,
    pub seed: u64,
    pub every: Duration,
    pub load: f64,
    /// What the new program does wrong, as `crash:ready` or `hang:commit`.
    pub fail: Option<String>,
    pub log: &'static str,
}

/// How often the listeners are tried and the node is asked for its health.
const TRY: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_secs(20);

/// What was seen from outside while something went on.
#[derive(Clone, Copy, Debug, Default)]
struct Watched {
    connects: usize,
    refused: usize,
    longest_pause_us: u64,
}

/// Tries both listeners and asks for health on a connection that lasts, until told to stop.
fn watch(json_at: SocketAddr, ajp_at: SocketAddr, over: &AtomicBool) -> Watched {
    let mut seen = Watched::default();
    let (mut asks, mut number) = (None, 0);
    while !over.load(Ordering::Relaxed) {
        std::thread::sleep(TRY);
        for at in [json_at, ajp_at] {
            seen.connects += 1;
            let tried = TcpStream::connect_timeout(&at, Duration::from_secs(2));
            seen.refused += usize::from(tried.is_err_and(|err| err.kind() == ErrorKind::ConnectionRefused));
        }
        let Some(caller) = asks.take().or_else(|| Caller::connect(json_at).ok()) else { continue };
        number += 1;
        let from = Instant::now();
        if caller.call(number, "heartbeat", "").recv_timeout(Duration::from_secs(2)).is_ok() {
            seen.longest_pause_us = seen.longest_pause_us.max(from.elapsed().as_micros() as u64);
            asks = Some(caller);
        }
        // Answered, so nobody waits for a second one.
        asks.iter().for_each(|caller| caller.forget(number));
    }
    seen
}

/// One upgrade by the control socket, as `ochrewalk upgrade` asks for it.
fn upgrade(control: &Path, program: &Path) -> Result<String, String> {
    let fault = |err: std::io::Error| format!("{}: {err}", control.display());
    let mut stream = UnixStream::connect(control).map_err(fault)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(fault)?;
    writeln!(stream, "upgrade {}", program.display()).map_err(fault)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(fault)?;
    Ok(line.trim_end().to_string())
}

/// Memory in KB and descriptors of the program that serves.
fn size(beside: &RunningLoad) -> (u64, usize) {
    let children = beside.node.lock().map(|node| node.children()).unwrap_or_default();
    let Some(pid) = children.first() else { return (0, 0) };
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let of = |line: &str| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok();
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |all| all.count());
    (text.lines().find_map(of).unwrap_or(0), descriptors)
}

/// What came of the upgrades.
#[derive(Clone, Debug, Default)]
struct Upgrades {
    done: usize,
    /// Other outcomes, each once.
    other: Vec<String>,
    longest_us: u64,
    sizes: Vec<(u64, usize)>,
    watched: Watched,
}

impl Options {
    /// Whether no rule broke and no connection was refused. The last line is JSON.
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
        let control = control(self.seed);
        let more = format!("upgrade control {}\n", control.display());
        let environment = self.fail.as_ref().map(|fail| ("OCHREWALK_TAKE_FAILS", fail.clone()));
        let environment: Vec<_> = environment.into_iter().collect();
        let (with, upgrades) = play_alongside(program, &plan, &more, &environment, |beside| {
            self.go_on(beside, |seen| {
                let from = Instant::now();
                let how = upgrade(&control, program).unwrap_or_else(|why| why);
                let took_us = from.elapsed().as_micros() as u64;
                if how == "handed over" {
                    seen.done += 1;
                    seen.longest_us = seen.longest_us.max(took_us);
                } else if !seen.other.contains(&how) {
                    seen.other.push(how);
                }
            })
        })?;
        let _ = std::fs::remove_file(&control);
        // Connections break with a plain restart: only what each caller makes anew by itself is compared.
        let ajp = Plan { protocols: Protocols::AjpOnly, ..plan };
        let (restarted, restarts) = play_alongside(program, &ajp, "", &[], |beside| {
            self.go_on(beside, |seen| {
                if let Ok(mut node) = beside.node.lock() {
                    node.terminate();
                    seen.done += usize::from(node.restart().is_ok());
                }
            })
        })?;
        print!("{}", with.table());
        with.broken.iter().take(10).for_each(|broken| eprintln!("broken: {broken}"));
        upgrades.other.iter().for_each(|how| println!("not handed over: {how}"));
        let ends = |of: &dyn Fn(&(u64, usize)) -> u64| {
            [upgrades.sizes.first(), upgrades.sizes.last()].map(|size| size.map_or(0, of))
        };
        println!(
            "{}",
            json!({
                "broken": with.broken.len(), "calls": with.call_log.entries.len(), "upgrades": upgrades.done,
                "refused_connects": upgrades.watched.refused, "connects": upgrades.watched.connects,
                "longest_pause_ms": upgrades.watched.longest_pause_us as f64 / 1_000.0,
                "longest_upgrade_ms": upgrades.longest_us as f64 / 1_000.0,
                "served_share": share(&with), "served_share_without": share(&without),
                "memory_kb": ends(&|size| size.0), "descriptors": ends(&|size| size.1 as u64),
                "restarts": restarts.done, "restart_refused": restarts.watched.refused,
                "restart_broken": restarted.broken.len(), "restart_served_share": share(&restarted)
            })
        );
        Ok(with.broken.is_empty() && upgrades.watched.refused == 0)
    }

    /// Does that every so often until the load is over, and watches.
    fn go_on(&self, beside: &RunningLoad, mut what: impl FnMut(&mut Upgrades)) -> Upgrades {
        let over = Arc::new(AtomicBool::new(false));
        let (of, json_at, ajp_at) = (over.clone(), beside.json_at, beside.ajp_at);
        let watches = std::thread::spawn(move || watch(json_at, ajp_at, &of));
        let mut seen = Upgrades::default();
        while !beside.is_over() {
            let next = Instant::now() + self.every;
            while Instant::now() < next && !beside.is_over() {
                std::thread::sleep(TRY);
            }
            if !beside.is_over() {
                seen.sizes.push(size(beside));
                what(&mut seen);
            }
        }
        over.store(true, Ordering::Relaxed);
        seen.watched = watches.join().unwrap_or_default();
        seen
    }
}

/// Criticality served in time, by both protocols.
fn share(outcome: &Outcome) -> f64 {
    let shares = [true, false].map(|by_ajp| {
        let count = outcome.call_log.entries.iter().filter(|entry| entry.by_ajp == by_ajp).count();
        (outcome.served_share(by_ajp), count as f64)
    });
    let all: f64 = shares.iter().map(|(_, count)| count).sum();
    let share = shares.iter().map(|(share, count)| share * count).sum::<f64>() / all.max(1.0);
    (share * 10_000.0).round() / 10_000.0
}

fn control(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("ow-{}-{seed}.sock", std::process::id()))
}
