//! One node: its parts put together, started, and brought to an end on a signal.

use crate::clock::Clock;
use crate::core::Core;
use crate::gate::Gate;
use crate::logger::Logs;
use crate::net::ajp_below::AjpBelow;
use crate::net::ajp_front::{AjpFront, Open};
use crate::net::below::Below;
use crate::net::directory;
use crate::net::dispatchers::Dispatchers;
use crate::net::executor::{rows, Executor};
use crate::seam::Beneath;
use may::net::TcpListener;
use may::sync::mpsc::{channel, Sender};
use ochrewalk::deployment::Placement;
use ochrewalk::host::{Below as Called, Effect, Stopping};
use ochrewalk_operators::Operators;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Words of a coroutine's stack: 128 KiB, of which only what is used takes memory.
const STACK_WORDS: usize = 0x4000;
/// Stacks kept for later coroutines. may keeps a thousand of its own accord, and hands them round in turn, so
/// that all of them grow to the deepest use over the first minutes of a day.
const POOLED_STACKS: usize = 64;
/// Descriptors that are not dispatchers' connections, nor below: the listener, two links and their successors,
/// the runtime's own, the standard streams.
const OWN_DESCRIPTORS: usize = 24;
/// Beside its connections: the AJP front's listener, twice, and those that are ending.
const AJP_DESCRIPTORS: usize = 10;
/// One in so many descriptors may be a connection below; dispatchers take half of them at most.
const OF_BELOW: usize = 8;
/// A file that cannot be used on SIGHUP may be only half written: it is read so many times, so far apart.
const READINGS: u32 = 20;
const BETWEEN_READINGS: Duration = Duration::from_millis(100);
/// Of `stop_ms`, what is kept for the last answers to be written, and for the process to end.
const FLUSH_MS: u64 = 300;
const LAST_MS: u64 = 200;
const END_MS: u64 = 120;

/// What signals act on.
struct Node {
    core: Arc<Core>,
    store: Option<Below>,
    ajp: Option<Arc<AjpFront>>,
    /// Where the directory is.
    directory: Mutex<SocketAddr>,
    dispatchers: Arc<Dispatchers>,
}

/// The files that a node goes by: the platform's, and the operators' own where there is one.
#[derive(Clone, Debug)]
pub struct Files {
    pub node: PathBuf,
    pub operators: Option<PathBuf>,
}

impl Files {
    /// Reads and checks both. A message has a line for each fault.
    pub fn read(&self) -> Result<(Placement, Operators), String> {
        let placement = Placement::read_file(&self.node)?;
        let operators = self.operators.as_deref().map(|file| read_operators(file, &placement)).transpose()?;
        Ok((placement, operators.unwrap_or_default()))
    }
}

fn read_operators(file: &Path, placement: &Placement) -> Result<Operators, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| format!("{name}: {err}"))?;
    let deployment = &placement.deployment;
    let effects = deployment.methods.iter().map(|m| m.effect == Effect::Idempotent);
    let methods: Vec<_> = deployment.method_names.iter().cloned().zip(effects).collect();
    let calls = deployment.below != Called::Nothing;
    let node = ochrewalk_operators::Node { methods: &methods, descriptors: placement.descriptors, calls };
    let mut operators = ochrewalk_operators::read(&text, &name, &node)
        .map_err(|faults| faults.iter().map(|f| f.to_string()).collect::<Vec<_>>().join("\n"))?;
    let secret = |at: &Path| {
        let text =
            std::fs::read_to_string(at).map_err(|err| format!("{name}: secret {}: {err}", at.display()))?;
        let secret = text.trim_end_matches(['\r', '\n']).to_string().into_bytes();
        if secret.is_empty() {
            return Err(format!("{name}: secret {} is empty; write the secret there", at.display()));
        }
        Ok(secret)
    };
    if let Some(front) = &mut operators.ajp {
        if let Some(at) = &front.secret_file {
            front.rules.secret = Some(secret(at)?);
        }
    }
    if let Some(below) = &mut operators.below {
        if let Some(at) = &below.secret_file {
            below.secret = Some(secret(at)?);
        }
    }
    Ok(operators)
}

/// May lets processes share a port. Guards against two nodes on one address, each with half of the callers.
fn listen(at: SocketAddr) -> Result<TcpListener, String> {
    let alone = std::net::TcpListener::bind(at);
    alone
        .and_then(|alone| {
            drop(alone);
            TcpListener::bind(at)
        })
        .map_err(|err| format!("cannot listen on {at}: {err}"))
}

/// Serves as the node of those files until SIGTERM or SIGINT, then ends the process. SIGHUP has them read again. An
/// error comes back before any RPC is taken.
pub fn serve(files: &Files, logs: Logs) -> Result<(), String> {
    // Before anything else: guards against a SIGHUP that ends a process which has only begun.
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|err| format!("cannot wait for signals: {err}"))?;
    let (mut placement, operators) = files.read()?;
    crate::logger::start(logs);
    // One core is ours: one worker runs all coroutines, so that none of them ever waits for a lock for long.
    may::config()
        .set_workers(1)
        .set_stack_size(STACK_WORDS)
        .set_pool_capacity(POOLED_STACKS)
        .set_worker_pin(false);
    let listener = listen(placement.listen)?;
    let ajp_listener = operators.ajp.as_ref().map(|front| listen(front.listen)).transpose()?;
    tracing::info!(part = "json-rpc", place = %placement.listen, "node {} listens", placement.name);
    if let Some(front) = &operators.ajp {
        tracing::info!(part = "ajp", place = %front.listen, "node {} listens", placement.name);
    }
    let (node, report_now) = start(&placement, operators, listener, ajp_listener);
    let mut readings = 0;
    let signal = loop {
        let came: Vec<i32> = if readings == 0 {
            signals.wait().collect()
        } else {
            std::thread::sleep(BETWEEN_READINGS);
            signals.pending().collect()
        };
        if let Some(end) = came.iter().find(|signal| **signal != SIGHUP) {
            break *end;
        }
        if came.contains(&SIGHUP) {
            readings = READINGS;
        }
        if readings > 0 {
            readings =
                if reload(&node, &report_now, files, &mut placement, readings) { 0 } else { readings - 1 };
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

/// Reads the file again and takes over what may change. False where it can't be used and is worth another try.
fn reload(
    node: &Node,
    report_now: &Sender<()>,
    files: &Files,
    placement: &mut Placement,
    readings: u32,
) -> bool {
    let (left_alone, operators) = match files.read() {
        Ok((newer, operators)) => (placement.take_over(newer), operators),
        Err(why) => {
            if readings == READINGS || readings == 1 {
                let then = if readings == 1 { "the old figures stay" } else { "it is read again" };
                tracing::error!("SIGHUP: {why}; {then}");
            }
            return false;
        }
    };
    let Placement { executor, directory, below, .. } = *placement;
    let below_name = below.map_or("nothing".into(), |at| at.to_string());
    tracing::info!("SIGHUP: executor {executor}, directory {directory}, below {below_name}");
    for key in left_alone {
        tracing::warn!("SIGHUP: {key} has changed; it takes effect with the next start only");
    }
    if let (Some(front), Some(newer)) = (&node.ajp, operators.ajp) {
        // Who may connect and what requests stand for; the rest takes effect with the next start.
        front.change(Open { guests: newer.guests, rules: newer.rules });
    }
    node.core.executor.move_to(executor);
    if let (Some(links), Some(at)) = (&node.store, below) {
        links.move_to(at);
    }
    *node.directory.lock().expect("never held over a panic") = directory;
    let _ = report_now.send(());
    true
}

/// Starts every part. What is sent to the sender makes the directory hear of the present health at once.
fn start(
    placement: &Placement,
    operators: Operators,
    listener: TcpListener,
    ajp_listener: Option<TcpListener>,
) -> (Arc<Node>, Sender<()>) {
    let clock = Clock::start();
    let bytes = placement.memory_mb as usize * 1024 * 1024;
    let deployment = placement.deployment.clone();
    let (gate, stirred) = Gate::new(clock, deployment.clone(), placement.seed, bytes / 8);
    let most_links = operators.below.as_ref().map_or(placement.descriptors / OF_BELOW, |b| b.connections);
    let executor = Executor::new(placement.executor, deployment.machine.stopping == Stopping::Pause);
    let by_ajp = operators.below.map(|told| AjpBelow::new(told, clock, placement.seed));
    let store = placement.below.filter(|_| by_ajp.is_none()).map(|at| Below::new(at, clock, most_links));
    let below: Option<Arc<dyn Beneath>> = match (&by_ajp, &store) {
        (Some(by_ajp), _) => Some(Arc::new(by_ajp.clone())),
        (None, Some(store)) => Some(Arc::new(store.clone())),
        (None, None) => None,
    };
    let core = Arc::new(Core::new(clock, gate, deployment, executor, below, bytes));
    // Each front has descriptors of its own, so that neither can take the other's: its connections, a few that
    // are ending, its listener.
    let of_ajp = operators.ajp.as_ref().map_or(0, |front| front.connections + AJP_DESCRIPTORS);
    let most = placement.descriptors - OWN_DESCRIPTORS - most_links - of_ajp;
    let dispatchers = Arc::new(Dispatchers::new(core.clone(), most));
    let directory = Mutex::new(placement.directory);
    let ajp = operators.ajp.map(|front| {
        let open = Open { guests: front.guests, rules: front.rules };
        let most = front.connections;
        AjpFront::new(core.clone(), open, front.packet, most, front.idle_us, placement.seed)
    });
    let node = Arc::new(Node { core: core.clone(), store, ajp, directory, dispatchers });
    if let (Some(front), Some(listener)) = (node.ajp.clone(), ajp_listener) {
        let of = front.clone();
        may::go!(move || of.sweep());
        may::go!(move || front.accept(&listener));
    }
    if let Some(by_ajp) = by_ajp {
        may::go!(move || by_ajp.watch());
    }
    let (report_now, changed) = channel();
    let (of, report) = (core.clone(), report_now.clone());
    may::go!(move || of.executor.keep(&of.gate, &report));
    if let Some(store) = node.store.clone() {
        may::go!(move || store.watch());
    }
    let of = core.clone();
    may::go!(move || loop {
        of.gate.turn(&stirred.told);
    });
    let of = core;
    may::go!(move || {
        let rows = rows();
        loop {
            of.gate.wait_due(&stirred.earlier);
            let row = of.executor.gauges(&rows).unwrap_or_default();
            of.gate.tick(of.deployment.gauges(|at| row.get(at).copied()));
        }
    });
    let (of, name) = (node.clone(), placement.name.clone());
    may::go!(move || {
        let at = || *of.directory.lock().expect("never held over a panic");
        let healthy = || of.core.gate.posture().healthy;
        directory::keep(at, &name, healthy, &changed);
    });
    let of = node.dispatchers.clone();
    may::go!(move || of.sweep());
    let of = node.dispatchers.clone();
    may::go!(move || of.accept(&listener));
    (node, report_now)
}

/// Leaves: no new work is asked for, all that was read is answered, and every answer is written.
fn leave(node: &Node, stop_ms: u64, report_now: &Sender<()>) {
    let Core { clock, gate, .. } = &*node.core;
    let from_us = clock.now_us();
    let at = |ms: u64| {
        let until_us = from_us + ms * 1_000;
        may::coroutine::sleep(Duration::from_micros(until_us.saturating_sub(clock.now_us())));
    };
    gate.leave(stop_ms.saturating_sub(FLUSH_MS) * 1_000);
    let _ = report_now.send(());
    node.dispatchers.leave();
    if let Some(front) = &node.ajp {
        front.leave();
    }
    at(stop_ms.saturating_sub(FLUSH_MS));
    node.dispatchers.shut();
    if let Some(front) = &node.ajp {
        front.shut();
    }
    // Who connected just before still writes, and gets an answer.
    at(stop_ms.saturating_sub(LAST_MS));
    node.dispatchers.finish();
    if let Some(front) = &node.ajp {
        front.finish();
    }
    let connections = || node.dispatchers.count() + node.ajp.as_ref().map_or(0, |front| front.count());
    // What is still on its way to us is read, so that no answer is reset.
    while clock.now_us() < from_us + stop_ms.saturating_sub(END_MS) * 1_000 && connections() > 0 {
        may::coroutine::sleep(Duration::from_millis(5));
    }
    tracing::info!("{} RPCs and {} connections left", gate.open_rpcs(), connections());
}
