//! One node: its parts put together, started, and brought to an end on a signal.

mod assembly;
mod files;
mod leaving;
mod reload;

pub use files::Files;

use crate::configuration::handle::ConfigurationHandle;
use crate::handover::counter_report::CounterReport;
use crate::handover::hand_over_control::{HandOverControl, Interruption};
use crate::handover::hand_over_stream::HandOverStream;
use crate::handover::predecessor::hand_over;
use crate::handover::successor::{refuse, take_over, StartMode, TakeOverLimits};
use crate::handover::supervisor;
use crate::handover::supervisor_link::{supervised, Supervised, SupervisorLink};
use crate::handover::supervisor_protocol::ChildLine;
use crate::logger::LogSettings;
use crate::method_counters::ReportedCalls;
use crate::net::ajp_ingress::AjpIngress;
use crate::net::ajp_upstream::AjpUpstreamClient;
use crate::net::dispatchers::Dispatchers;
use crate::net::line_upstream::LineUpstreamClient;
use crate::shared_state::SharedState;
use assembly::{begin, build};
use leaving::{leave, END_MS};
use may::sync::mpsc::channel;
use ochrewalk_rollout::messages::ServingCounters;
use reload::read_again;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Words of a coroutine's stack: 128 KiB, of which only what is used takes memory.
const STACK_WORDS: usize = 0x4000;
/// Stacks kept for later coroutines. may keeps a thousand of its own accord, and hands them round in turn, so
/// that all of them grow to the deepest use over the first minutes of a day.
const POOLED_STACKS: usize = 64;
/// A file that cannot be used on SIGHUP may be only half written: it is read so many times, so far apart.
const READINGS: u32 = 20;
const BETWEEN_READINGS: Duration = Duration::from_millis(100);
/// How often the supervisor is told what was counted: well within a conductor's moment, so that counts of nodes that tell
/// theirs at different times can be compared.
const BETWEEN_TALLIES: Duration = Duration::from_millis(100);
/// A worker that has run no coroutine for so long hears nobody.
const HELD: Duration = Duration::from_secs(2);
/// Beyond `stop_ms`, what the supervisor waits for a program that was told to leave.
const AFTER_STOP: Duration = Duration::from_secs(1);

/// What signals and hand-overs act on.
pub struct Node {
    pub core: Arc<SharedState>,
    store: Option<LineUpstreamClient>,
    by_ajp: Option<AjpUpstreamClient>,
    pub ajp: Option<Arc<AjpIngress>>,
    /// Where the directory is.
    directory: Mutex<SocketAddr>,
    pub dispatchers: Arc<Dispatchers>,
    /// The limits of its file, and a digest of what of both files cannot change while it runs.
    pub memory_bytes: usize,
    pub descriptors: usize,
    pub digest: u64,
    /// What comes from the control plane, where there is one.
    pub configuration: Option<ConfigurationHandle>,
    /// A print of the operators' file that it goes by, 0 where there is none or parts of it wait.
    settings: AtomicU64,
    /// How long it took to read its files at the start.
    pub reading_us: AtomicU64,
}

/// Serves as the node of those files until SIGTERM or SIGINT, then ends the process. SIGHUP has them read again. Where
/// the operators' file allows upgrades, another process serves and this one keeps it. An error comes back before any
/// RPC is taken.
pub fn serve(files: &Files, logs: LogSettings) -> Result<(), String> {
    // Before anything else: guards against a SIGHUP that ends a process which has only begun.
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|err| format!("cannot wait for signals: {err}"))?;
    let mut supervised = supervised();
    let mut files = files.clone();
    if let Some(file) = supervised.as_mut().and_then(|by| by.operators.take()) {
        files.operators = Some(file);
    }
    let takes = supervised.as_mut().and_then(|by| by.predecessor.take()).map(HandOverStream::new);
    let reading = Instant::now();
    let (mut placement, operators) = files.read().inspect_err(|why| {
        if let Some(stream) = &takes {
            refuse(stream, why);
        }
    })?;
    if let (None, Some(control)) = (&supervised, &operators.upgrade_control) {
        let status = supervisor::run(control, Duration::from_millis(placement.stop_ms) + AFTER_STOP)
            .map_err(|error| error.to_string())?;
        std::process::exit(status.code().unwrap_or(70));
    }
    crate::logger::start(logs);
    crate::panics::exit_on_uncontained_panics();
    // One core is ours: one worker runs all coroutines, so that none of them ever waits for a lock for long.
    may::config()
        .set_workers(1)
        .set_stack_size(STACK_WORDS)
        .set_pool_capacity(POOLED_STACKS)
        .set_worker_pin(false);
    let digest = files.digest(&operators)?;
    let reading_us = reading.elapsed().as_micros() as u64;
    let (mut operators_text, settings) = files.operators_text();
    let mut told_to_end = None;
    let taken = match (takes, &supervised) {
        (Some(stream), Some(by)) => {
            let limits = TakeOverLimits {
                digest,
                bytes: placement.memory_mb * 1024 * 1024 / 2,
                descriptors: placement.descriptors as u32,
            };
            let end = |signals: &mut signal_hook::iterator::Signals| signals.pending().find(|s| *s != SIGHUP);
            let interrupted = std::cell::RefCell::new((&mut signals, &mut told_to_end));
            let begin = take_over(
                stream,
                &by.link,
                &limits,
                || {
                    let (signals, told) = &mut *interrupted.borrow_mut();
                    **told = told.or_else(|| end(signals));
                    told.is_some()
                },
                |taken| build(&placement, operators.clone(), digest, Some(taken)),
            )
            .map_err(|error| error.to_string())?;
            match begin {
                StartMode::WithState(built) => Some(built),
                StartMode::Fresh => None,
            }
        }
        _ => None,
    };
    let built = match taken {
        Some(built) => built,
        None => build(&placement, operators, digest, None)?,
    };
    let (node, report_now) = begin(built, &placement);
    node.settings.store(settings, Ordering::Relaxed);
    node.reading_us.store(reading_us, Ordering::Relaxed);
    let control = Arc::new(HandOverControl::default());
    if let Some(Supervised { link, successors, reads_changes, .. }) = supervised {
        let link = Arc::new(link);
        let (of, to) = (node.clone(), link.clone());
        std::thread::spawn(move || report_counters(&of, &to, reads_changes));
        let (node, control) = (node.clone(), control.clone());
        std::thread::spawn(move || {
            for stream in successors {
                hand_over(&node, &control, &link, HandOverStream::new(stream.into()));
            }
        });
    }
    let mut readings = 0;
    let signal = loop {
        if let Some(signal) = told_to_end {
            break signal;
        }
        let came: Vec<i32> = if readings == 0 {
            signals.wait().collect()
        } else {
            std::thread::sleep(BETWEEN_READINGS);
            signals.pending().collect()
        };
        if !came.is_empty() {
            control.interrupt(Interruption::Signal);
        }
        if let Some(end) = came.iter().find(|signal| **signal != SIGHUP) {
            break *end;
        }
        if came.contains(&SIGHUP) {
            readings = READINGS;
        }
        if readings > 0 {
            let done = read_again(&node, &report_now, &files, &mut placement, &mut operators_text, readings);
            readings = if done { 0 } else { readings - 1 };
        }
    };
    let stop_ms = placement.stop_ms;
    tracing::info!("signal {signal}: leaving within {stop_ms} ms");
    let (left, over) = channel();
    may::go!(move || {
        leave(&node, stop_ms, &report_now);
        let _ = left.send(());
    });
    let _ = over.recv_timeout(Duration::from_millis(stop_ms.saturating_sub(END_MS / 2)));
    tracing::info!("over");
    crate::logger::flush();
    // Coroutines that still wait for others end with the process.
    std::process::exit(0)
}

/// Whether the runtime's worker still runs coroutines: one is sent through it again and again.
struct Pulse {
    passed: Arc<AtomicBool>,
    sent: Instant,
}

impl Default for Pulse {
    fn default() -> Pulse {
        Pulse { passed: Arc::new(AtomicBool::new(true)), sent: Instant::now() }
    }
}

impl Pulse {
    fn is_felt(&mut self) -> bool {
        if self.passed.swap(false, Ordering::Relaxed) {
            self.sent = Instant::now();
            let passed = self.passed.clone();
            may::go!(move || passed.store(true, Ordering::Relaxed));
        }
        self.sent.elapsed() < HELD
    }
}

/// Reports to the supervisor for ever, for whoever conducts a change.
fn report_counters(node: &Node, link: &SupervisorLink, reads_changes: bool) {
    let (mut pulse, mut reported) = (Pulse::default(), ReportedCalls::default());
    let SharedState { method_counters, deployment, .. } = &*node.core;
    let names = &deployment.method_names;
    loop {
        let methods = if reads_changes {
            method_counters.changed(names, &mut reported)
        } else {
            method_counters.all(names)
        };
        let tally = ServingCounters { methods, ..condition(node, pulse.is_felt()) };
        let report = if reads_changes { CounterReport::Changed(tally) } else { CounterReport::All(tally) };
        link.send(&ChildLine::Counters(report));
        std::thread::sleep(BETWEEN_TALLIES);
    }
}

/// How this program is, without its counters.
fn condition(node: &Node, hears: bool) -> ServingCounters {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = pages.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    ServingCounters {
        is_healthy: hears && node.core.coordinator.health_state().is_healthy == Some(true),
        memory_kb: resident * 4,
        methods: Vec::new(),
        settings_fingerprint: node.settings.load(Ordering::Relaxed),
    }
}
