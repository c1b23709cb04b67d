//! Runs one node: assembles and starts its parts, acts on signals, and drains the node before the process exits.

mod assembly;
mod drain;
mod files;
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
use crate::signals::{ReceivedSignal, SignalReceiver};
use assembly::{assemble, start};
use drain::{drain, EXIT_MS};
use ochrewalk_rollout::messages::ServingCounters;
use reload::reload;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The size of a coroutine's stack in words: 128 KiB, of which only touched pages occupy memory.
const STACK_WORDS: usize = 0x4000;
/// The number of stacks retained for later coroutines. The runtime's default is a thousand stacks that are reused in
/// turn, so that within minutes each of them occupies as much memory as the deepest use.
const POOLED_STACKS: usize = 64;
/// The number of attempts to reload the files after a SIGHUP. A file that cannot be used may be only half written.
const RELOAD_ATTEMPTS: u32 = 20;
/// The interval between two attempts to reload.
const RELOAD_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between reports of counters to the supervisor. The interval is much shorter than the rollout
/// controller's sample interval, so that counts of nodes that report at different times can be compared.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The time after which a worker that has run no coroutine counts as blocked.
const BLOCKED_WORKER_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that the supervisor allows a draining child in addition to `stop_ms`.
const EXTRA_DRAIN_TIME: Duration = Duration::from_secs(1);

/// A running node, on which signals and hand-overs act.
pub struct Node {
    /// The state that all ingress protocols and request tasks use.
    pub shared: Arc<SharedState>,
    line_upstream: Option<LineUpstreamClient>,
    ajp_upstream: Option<AjpUpstreamClient>,
    /// The AJP ingress, where the operators' file has one.
    pub ajp_ingress: Option<Arc<AjpIngress>>,
    directory_address: Mutex<SocketAddr>,
    /// The JSON-RPC ingress.
    pub dispatchers: Arc<Dispatchers>,
    /// The memory limit in bytes, which this process and a successor share during a hand-over.
    pub memory_bytes: usize,
    /// The limit of open descriptors, which this process and a successor share during a hand-over.
    pub descriptors: usize,
    /// A digest of the settings in both files that cannot change while the node runs.
    pub digest: u64,
    /// The configuration from the control plane, where the operators' file names relays.
    pub configuration: Option<ConfigurationHandle>,
    /// The fingerprint of the operators' file in force; 0 where there is no file or parts of it are not in force yet.
    settings_fingerprint: AtomicU64,
    /// The longest time that a successful read of both files took, in microseconds.
    pub reading_us: AtomicU64,
}

/// Serves as the node that these files describe until SIGTERM or SIGINT, drains, and ends the process. SIGHUP reloads
/// the files. Where the operators' file allows upgrades and no supervisor started this process, this process becomes the
/// supervisor and a child process serves.
///
/// # Errors
///
/// The node cannot start. No RPC has been accepted in this case.
pub fn serve(files: &Files, logs: LogSettings) -> Result<(), String> {
    // Registered before anything else: guards against a SIGHUP that ends the process while it starts.
    let mut signals =
        SignalReceiver::register().map_err(|error| format!("cannot wait for signals: {error}"))?;
    let mut supervised = supervised();
    let mut files = files.clone();
    if let Some(file) = supervised.as_mut().and_then(|supervised| supervised.operators.take()) {
        files.operators = Some(file);
    }
    let predecessor =
        supervised.as_mut().and_then(|supervised| supervised.predecessor.take()).map(HandOverStream::new);
    let reading = Instant::now();
    let (mut placement, operators) = files.read().inspect_err(|reason| {
        if let Some(stream) = &predecessor {
            refuse(stream, reason);
        }
    })?;
    if let (None, Some(control)) = (&supervised, &operators.upgrade_control) {
        let drain_timeout = Duration::from_millis(placement.stop_ms) + EXTRA_DRAIN_TIME;
        let status = supervisor::run(control, drain_timeout, signals).map_err(|error| error.to_string())?;
        std::process::exit(status.code().unwrap_or(70));
    }
    crate::logger::start(logs);
    crate::panics::exit_on_uncontained_panics();
    // The node uses one core: a single worker runs all coroutines, so that none of them waits long for a lock.
    may::config()
        .set_workers(1)
        .set_stack_size(STACK_WORDS)
        .set_pool_capacity(POOLED_STACKS)
        .set_worker_pin(false);
    let digest = files.digest(&operators)?;
    let reading_us = reading.elapsed().as_micros() as u64;
    let (mut operators_text, settings_fingerprint) = files.operators_text();
    let assembled = match (predecessor, &supervised) {
        (Some(stream), Some(supervised)) => {
            let limits = TakeOverLimits {
                digest,
                bytes: placement.memory_mb * 1024 * 1024 / 2,
                descriptors: placement.descriptors as u32,
            };
            let mode = take_over(
                stream,
                &supervised.link,
                &limits,
                || signals.pending_notice().is_some(),
                |received| assemble(&placement, operators.clone(), digest, Some(received)),
            )
            .map_err(|error| error.to_string())?;
            match mode {
                StartMode::WithState(assembled) => Some(assembled),
                StartMode::Fresh => None,
            }
        }
        _ => None,
    };
    let assembled = match assembled {
        Some(assembled) => assembled,
        None => assemble(&placement, operators, digest, None)?,
    };
    let (node, report_now) = start(assembled, &placement);
    node.settings_fingerprint.store(settings_fingerprint, Ordering::Relaxed);
    node.reading_us.store(reading_us, Ordering::Relaxed);
    let control = Arc::new(HandOverControl::default());
    if let Some(Supervised { link, successors, reads_changes, .. }) = supervised {
        let link = Arc::new(link);
        let (reported, supervisor) = (node.clone(), link.clone());
        std::thread::spawn(move || report_counters(&reported, &supervisor, reads_changes));
        let (node, control) = (node.clone(), control.clone());
        std::thread::spawn(move || {
            for stream in successors {
                hand_over(&node, &control, &link, HandOverStream::new(stream.into()));
            }
        });
    }
    let notice = reload_until_notice(&mut signals, &control, |attempts_left| {
        reload(&node, &report_now, &files, &mut placement, &mut operators_text, attempts_left)
    });
    control.interrupt(Interruption::Drain);
    let stop_ms = placement.stop_ms;
    tracing::info!("signal {}: draining for at most {stop_ms} ms", notice.signal.number());
    let (done, drained) = channel();
    may::go!(move || {
        drain(&node, notice.at, stop_ms, &report_now);
        let _ = done.send(());
    });
    let drain_time = Duration::from_millis(stop_ms.saturating_sub(EXIT_MS / 2));
    let _ = drained.recv_timeout(drain_time.saturating_sub(notice.at.elapsed()));
    tracing::info!("drain is over, the process exits");
    crate::logger::flush();
    // Coroutines that are still waiting end with the process.
    std::process::exit(0)
}

/// Calls `reload` for each request to reload, with the number of attempts that are left, until it returns true or none is
/// left. Returns the notice to drain once one has been received.
fn reload_until_notice(
    signals: &mut SignalReceiver,
    control: &HandOverControl,
    mut reload: impl FnMut(u32) -> bool,
) -> ReceivedSignal {
    let mut attempts_left = 0;
    loop {
        let timeout = (attempts_left > 0).then_some(RELOAD_INTERVAL);
        match signals.next(timeout) {
            Some(notice) if notice.signal.is_to_drain() => return notice,
            Some(_) => {
                control.interrupt(Interruption::Reload);
                attempts_left = RELOAD_ATTEMPTS;
            }
            None => {}
        }
        if attempts_left > 0 {
            attempts_left = if reload(attempts_left) { 0 } else { attempts_left - 1 };
        }
    }
}

/// Probes whether the runtime's worker still runs coroutines, by starting a coroutine again and again.
struct WorkerProbe {
    has_run: Arc<AtomicBool>,
    started: Instant,
}

impl Default for WorkerProbe {
    fn default() -> WorkerProbe {
        WorkerProbe { has_run: Arc::new(AtomicBool::new(true)), started: Instant::now() }
    }
}

impl WorkerProbe {
    /// Whether the worker is not blocked. Starts the next coroutine once the previous one has run.
    fn is_worker_responsive(&mut self) -> bool {
        if self.has_run.swap(false, Ordering::Relaxed) {
            self.started = Instant::now();
            let has_run = self.has_run.clone();
            may::go!(move || has_run.store(true, Ordering::Relaxed));
        }
        self.started.elapsed() < BLOCKED_WORKER_TIMEOUT
    }
}

/// Reports the counters and the health to the supervisor for ever, for rollout controllers. Where `reads_changes` is
/// set, reports after the first one have only the counters that have changed.
fn report_counters(node: &Node, link: &SupervisorLink, reads_changes: bool) {
    let (mut probe, mut reported) = (WorkerProbe::default(), ReportedCalls::default());
    let SharedState { method_counters, deployment, .. } = &*node.shared;
    let names = &deployment.method_names;
    loop {
        let methods = if reads_changes {
            method_counters.changed(names, &mut reported)
        } else {
            method_counters.all(names)
        };
        let counters = ServingCounters { methods, ..process_status(node, probe.is_worker_responsive()) };
        let report =
            if reads_changes { CounterReport::Changed(counters) } else { CounterReport::All(counters) };
        link.send(&ChildLine::Counters(report));
        std::thread::sleep(REPORT_INTERVAL);
    }
}

/// Returns the health, the memory and the settings of this process, without counters.
fn process_status(node: &Node, is_worker_responsive: bool) -> ServingCounters {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident_pages = pages.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    ServingCounters {
        is_healthy: is_worker_responsive && node.shared.coordinator.health_state().is_healthy == Some(true),
        memory_kb: resident_pages * 4,
        methods: Vec::new(),
        settings_fingerprint: node.settings_fingerprint.load(Ordering::Relaxed),
    }
}
