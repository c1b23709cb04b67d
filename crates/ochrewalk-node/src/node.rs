//! One node: its parts put together, started, and brought to an end on a signal.

use crate::clock::Clock;
use crate::configuration::agent::{self, ConfigurationHandle, PreparedAgent};
use crate::configuration::state::{FileConfiguration, InForce, NodeConfiguration};
use crate::core::Core;
use crate::ending::{CallEnd, Ending};
use crate::gate::{Gate, Incoming, Next, Post, Stirred, Ticket, Token};
use crate::keys::Keys;
use crate::life::{Call, Life, Placed};
use crate::live::Living;
use crate::logger::Logs;
use crate::moving::give::{self, Handing};
use crate::moving::keeper::{self, Kept};
use crate::moving::orders::{print_of, tally_line};
use crate::moving::records::{KeptBelow, KeptCall, KeptRpc, Whereabouts};
use crate::moving::take::{self, Begin, Taken};
use crate::moving::wire::Wire;
use crate::net::ajp_below::AjpBelow;
use crate::net::ajp_front::{self, AjpFront, Open};
use crate::net::below::Below;
use crate::net::dispatchers::{self, Dispatchers};
use crate::net::executor::{rows, Executor};
use crate::net::front::{accept_all, shut};
use crate::net::{directory, link::adopt, status};
use crate::seam::{Answer, Asker, Beneath};
use may::net::TcpListener;
use may::sync::mpsc::{channel, Sender};
use ochrewalk::deployment::Placement;
use ochrewalk::host::{Below as Called, Effect, RpcId, Stopping};
use ochrewalk_operators::{changes, Needs, Operators};
use ochrewalk_rollout::messages::Tally;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use siphasher::sip::SipHasher13;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

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
/// How often the keeper is told what was counted: well within a conductor's moment, so that counts of nodes that tell
/// theirs at different times can be compared.
const BETWEEN_TALLIES: Duration = Duration::from_millis(100);
/// A worker that has run no coroutine for so long hears nobody.
const HELD: Duration = Duration::from_secs(2);
/// Beyond `stop_ms`, what the keeper waits for a program that was told to leave.
const AFTER_STOP: Duration = Duration::from_secs(1);
/// Fewer connections than this make no front.
const LEAST_DISPATCHERS: usize = 8;
/// Of `stop_ms`, what is kept for the last answers to be written, and for the process to end.
const FLUSH_MS: u64 = 300;
const LAST_MS: u64 = 200;
const END_MS: u64 = 120;

/// What signals and hand-overs act on.
pub struct Node {
    pub core: Arc<Core>,
    store: Option<Below>,
    by_ajp: Option<AjpBelow>,
    pub ajp: Option<Arc<AjpFront>>,
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

    /// A digest of what cannot change while a node runs: of two programs that have the same one may follow the other.
    fn digest(&self, operators: &Operators) -> Result<u64, String> {
        let mut print = SipHasher13::new();
        let text = std::fs::read(&self.node).map_err(|err| format!("{}: {err}", self.node.display()))?;
        Placement::write_lasting(&text, &mut HashWriter(&mut print))?;
        // Programs that hashed it as one string ended it so: they have the same digest.
        print.write_u8(0xff);
        operators.lasting().hash(&mut print);
        Ok(print.finish())
    }

    /// The operators' own as it stands there, and its print.
    fn operators_text(&self) -> (String, u64) {
        let text = self.operators.as_ref().and_then(|file| std::fs::read_to_string(file).ok());
        let print = self.operators.as_ref().and_then(|file| print_of(file).ok());
        (text.unwrap_or_default(), print.unwrap_or(0))
    }
}

/// Hashes what is written to it.
struct HashWriter<'a>(&'a mut SipHasher13);

impl Write for HashWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn read_operators(file: &Path, placement: &Placement) -> Result<Operators, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| format!("{name}: {err}"))?;
    let deployment = &placement.deployment;
    let effects = deployment.methods.iter().map(|m| m.effect == Effect::Idempotent);
    let methods: Vec<_> = deployment.method_names.iter().map(String::from).zip(effects).collect();
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

/// Serves as the node of those files until SIGTERM or SIGINT, then ends the process. SIGHUP has them read again. Where
/// the operators' file allows upgrades, another process serves and this one keeps it. An error comes back before any
/// RPC is taken.
pub fn serve(files: &Files, logs: Logs) -> Result<(), String> {
    // Before anything else: guards against a SIGHUP that ends a process which has only begun.
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|err| format!("cannot wait for signals: {err}"))?;
    let mut kept = keeper::kept();
    let mut files = files.clone();
    if let Some(file) = kept.as_mut().and_then(|kept| kept.operators.take()) {
        files.operators = Some(file);
    }
    let takes = kept.as_mut().and_then(|kept| kept.takes.take()).map(Wire::new);
    let (mut placement, operators) = files.read().inspect_err(|why| {
        if let Some(wire) = &takes {
            take::refuse(wire, why);
        }
    })?;
    if let (None, Some(control)) = (&kept, &operators.upgrade_control) {
        let status = keeper::keep(control, Duration::from_millis(placement.stop_ms) + AFTER_STOP)?;
        std::process::exit(status.code().unwrap_or(70));
    }
    crate::logger::start(logs);
    crate::panics::end_on_others();
    // One core is ours: one worker runs all coroutines, so that none of them ever waits for a lock for long.
    may::config()
        .set_workers(1)
        .set_stack_size(STACK_WORDS)
        .set_pool_capacity(POOLED_STACKS)
        .set_worker_pin(false);
    let digest = files.digest(&operators)?;
    let (mut operators_text, settings) = files.operators_text();
    let mut told_to_end = None;
    let taken = match (takes, &kept) {
        (Some(wire), Some(kept)) => {
            let room = (placement.memory_mb * 1024 * 1024 / 2, placement.descriptors as u32);
            let end = |signals: &mut signal_hook::iterator::Signals| signals.pending().find(|s| *s != SIGHUP);
            let interrupted = std::cell::RefCell::new((&mut signals, &mut told_to_end));
            let begin = take::take(
                wire,
                &kept.line,
                digest,
                room,
                || {
                    let (signals, told) = &mut *interrupted.borrow_mut();
                    **told = told.or_else(|| end(signals));
                    told.is_some()
                },
                |taken| build(&placement, operators.clone(), digest, Some(taken)),
            )?;
            match begin {
                Begin::With(built) => Some(built),
                Begin::Anew => None,
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
    let handing = Arc::new(Handing::default());
    if let Some(Kept { line, gives, .. }) = kept {
        let line = Arc::new(line);
        let (of, told) = (node.clone(), line.clone());
        std::thread::spawn(move || {
            let mut pulse = Pulse::default();
            loop {
                let hears = pulse.is_felt();
                told.say(&tally_line(&tally(&of, hears)));
                std::thread::sleep(BETWEEN_TALLIES);
            }
        });
        let (node, handing) = (node.clone(), handing.clone());
        std::thread::spawn(move || {
            for stream in gives {
                give::give(&node, &handing, &line, Wire::new(stream.into()));
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
            handing.interrupt("the running program got a signal");
        }
        if let Some(end) = came.iter().find(|signal| **signal != SIGHUP) {
            break *end;
        }
        if came.contains(&SIGHUP) {
            readings = READINGS;
        }
        if readings > 0 {
            let done = reload(&node, &report_now, &files, &mut placement, &mut operators_text, readings);
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

/// What the keeper is told of this program, for whoever conducts a change.
fn tally(node: &Node, hears: bool) -> Tally {
    let Core { gate, tally, deployment, .. } = &*node.core;
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = pages.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let is_healthy = hears && gate.posture().healthy == Some(true);
    let (methods, settings) = (tally.told(&deployment.method_names), node.settings.load(Ordering::Relaxed));
    Tally { is_healthy, memory_kb: resident * 4, methods, settings }
}

/// Reads the file again and takes over what may change. False where it can't be used and is worth another try.
fn reload(
    node: &Node,
    report_now: &Sender<()>,
    files: &Files,
    placement: &mut Placement,
    operators_text: &mut String,
    readings: u32,
) -> bool {
    let (text, print) = files.operators_text();
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
    // What is in force stays the measure until all of the newer file is.
    let waiting: Vec<_> =
        changes(operators_text, &text).into_iter().filter(|change| change.needs != Needs::Reload).collect();
    for change in &waiting {
        tracing::warn!("SIGHUP: {change}: not in force yet");
    }
    node.settings.store(if waiting.is_empty() { print } else { 0 }, Ordering::Relaxed);
    if waiting.is_empty() {
        *operators_text = text;
    }
    // Who may connect, what requests stand for, and where calls go; the rest takes effect with the next start.
    match &node.configuration {
        Some(configuration) => {
            for fault in configuration.replace_file(file_configuration(operators)) {
                tracing::warn!("SIGHUP: distributed configuration left out: {fault}");
            }
        }
        None => take_over_file(node, operators),
    }
    node.core.executor.move_to(executor);
    if let (Some(links), Some(at)) = (&node.store, below) {
        links.move_to(at);
    }
    *node.directory.lock().expect("never held over a panic") = directory;
    let _ = report_now.send(());
    true
}

fn take_over_file(node: &Node, operators: Operators) {
    if let (Some(front), Some(newer)) = (&node.ajp, operators.ajp) {
        front.change(Open { guests: newer.guests, rules: newer.rules, quotas: Arc::default() });
    }
    if let (Some(by_ajp), Some(newer)) = (&node.by_ajp, &operators.below) {
        by_ajp.relist(&newer.places);
    }
}

/// What of the operators' file distributed configuration comes on top of.
fn file_configuration(operators: Operators) -> FileConfiguration {
    let has_front = operators.ajp.is_some();
    let (guests, rules) = operators.ajp.map(|front| (front.guests, front.rules)).unwrap_or_default();
    let zone = operators.below.as_ref().and_then(|below| below.here.clone());
    let endpoints = operators.below.map(|below| below.places);
    FileConfiguration { guests, rules, endpoints, zone, has_front }
}

/// The agent of the control plane, where the operators' file names one.
fn prepare_configuration(
    placement: &Placement,
    operators: &Operators,
    ajp: Option<Arc<AjpFront>>,
    by_ajp: Option<AjpBelow>,
) -> Result<Option<PreparedAgent>, String> {
    let Some(config) = &operators.config else { return Ok(None) };
    let deployment = &placement.deployment;
    let effects = deployment.methods.iter().map(|method| method.effect == Effect::Idempotent);
    let names = deployment.method_names.iter().map(|name| name.to_string());
    let methods = names.zip(effects.enumerate()).collect();
    let state = NodeConfiguration::new(
        methods,
        file_configuration(operators.clone()),
        deployment.tenants.len() as u32,
    );
    let in_force_endpoints = Mutex::new(operators.below.as_ref().map(|below| below.places.clone()));
    let front = ajp.clone();
    let take_over = move |in_force: InForce| {
        if let Some(front) = &front {
            let InForce { guests, rules, quotas, .. } = in_force;
            front.change(Open { guests, rules, quotas });
        }
        let mut before = in_force_endpoints.lock().unwrap_or_else(|broken| broken.into_inner());
        if let (Some(by_ajp), Some(endpoints)) = (&by_ajp, &in_force.endpoints) {
            if before.as_ref() != Some(endpoints) {
                by_ajp.relist(endpoints);
            }
        }
        *before = in_force.endpoints;
    };
    let prepared = agent::prepare(&placement.name, config, state, placement.seed, Box::new(take_over))?;
    if let Some(front) = &ajp {
        front.fetch_quotas_by(prepared.handle.clone());
    }
    Ok(Some(prepared))
}

/// A node that is put together and does nothing yet.
struct Built {
    node: Arc<Node>,
    name: String,
    stirred: Stirred,
    listener: TcpListener,
    ajp_listener: Option<TcpListener>,
    status: Option<PathBuf>,
    resumed: Resumed,
    agent: Option<PreparedAgent>,
}

/// What goes on from the process before.
#[derive(Default)]
struct Resumed {
    json: Vec<(Arc<dispatchers::Connection>, OwnedFd)>,
    ajp: Vec<(Arc<ajp_front::Connection>, OwnedFd)>,
    lives: Vec<(Arc<Living>, Ticket)>,
    /// News for lives whose calls did not come along.
    ends: Vec<(Post, CallEnd)>,
    link: Option<OwnedFd>,
    below: Option<(KeptBelow, Vec<OwnedFd>, HashMap<RpcId, Post>)>,
}

/// Puts every part together, from what another process held where there is something.
fn build(
    placement: &Placement,
    operators: Operators,
    digest: u64,
    mut taken: Option<Taken>,
) -> Result<Built, String> {
    let mut listeners =
        taken.as_mut().map(|taken| std::mem::take(&mut taken.listeners)).unwrap_or_default().into_iter();
    let mut listener = |at: SocketAddr| match listeners.next() {
        // SAFETY: the descriptor came for this use alone.
        Some(passed) => Ok(unsafe { TcpListener::from_raw_fd(passed.into_raw_fd()) }),
        None => listen(at),
    };
    let json_listener = listener(placement.listen)?;
    let ajp_listener = operators.ajp.as_ref().map(|front| listener(front.listen)).transpose()?;
    let clock = taken.as_ref().map_or_else(Clock::start, |taken| Clock::resume(taken.node.clock_base_ns));
    let bytes = placement.memory_mb as usize * 1024 * 1024;
    let deployment = placement.deployment.clone();
    let pauses = deployment.machine.stopping == Stopping::Pause;
    let print_key = taken.as_ref().map_or_else(
        || (fastrand::u64(..), fastrand::u64(..)),
        |t| (t.node.print_key, t.node.print_key_more),
    );
    let rpcs = taken.as_mut().map(|taken| std::mem::take(&mut taken.rpcs.rpcs)).unwrap_or_default();
    let known = deployment.methods.len();
    if rpcs.iter().any(|rpc| rpc.method as usize >= known) {
        return Err("an RPC of an unknown method".into());
    }
    let incoming: Vec<Incoming> = rpcs.iter().map(incoming).collect();
    let ids: HashSet<RpcId> = incoming.iter().map(|rpc| rpc.id.clone()).collect();
    let (gate, stirred, tickets) = match &mut taken {
        Some(taken) => {
            let ahead = std::mem::replace(&mut taken.tokens, Keys::new(0));
            Gate::resume(
                clock,
                deployment.clone(),
                placement.seed,
                bytes / 8,
                &mut taken.node,
                ahead,
                &incoming,
            )?
        }
        None => {
            let (gate, stirred) = Gate::new(clock, deployment.clone(), placement.seed, bytes / 8);
            (gate, stirred, Vec::new())
        }
    };
    let most_links = operators.below.as_ref().map_or(placement.descriptors / OF_BELOW, |b| b.connections);
    let runs = incoming.iter().zip(&rpcs).zip(&tickets).filter(|((_, rpc), _)| rpc.running);
    let again = |rpc: &Incoming| deployment.methods[rpc.method].effect == Effect::Idempotent;
    let runs = runs.map(|((rpc, _), ticket)| (rpc.id.clone(), again(rpc), ticket.post())).collect();
    let (executor, link) = match &mut taken {
        Some(taken) => {
            let (kept, link) = std::mem::take(&mut taken.executor);
            (Executor::resume(placement.executor, pauses, kept, runs), link)
        }
        None => (Executor::new(placement.executor, pauses), None),
    };
    let status = operators.below.as_ref().and_then(|below| below.status.clone());
    let by_ajp = operators.below.clone().map(|told| AjpBelow::new(told, clock, placement.seed));
    let store = placement.below.filter(|_| by_ajp.is_none()).map(|at| Below::new(at, clock, most_links));
    let below: Option<Arc<dyn Beneath>> = match (&by_ajp, &store) {
        (Some(by_ajp), _) => Some(Arc::new(by_ajp.clone())),
        (None, Some(store)) => Some(Arc::new(store.clone())),
        (None, None) => None,
    };
    let core = Arc::new(Core::new(clock, gate, deployment, executor, below, bytes, print_key));
    // Each front has descriptors of its own, so that neither can take the other's: its connections, a few that
    // are ending, its listener.
    let of_ajp = operators.ajp.as_ref().map_or(0, |front| front.connections + AJP_DESCRIPTORS);
    let most = placement.descriptors.saturating_sub(OWN_DESCRIPTORS + most_links + of_ajp);
    if most < LEAST_DISPATCHERS {
        return Err(format!("{most} descriptors are left for dispatchers, {LEAST_DISPATCHERS} are needed"));
    }
    let dispatchers = Arc::new(Dispatchers::new(core.clone(), most));
    let directory = Mutex::new(placement.directory);
    let ajp = operators.ajp.clone().map(|front| {
        let open = Open { guests: front.guests, rules: front.rules, quotas: Arc::default() };
        let most = front.connections;
        AjpFront::new(core.clone(), open, front.packet, most, front.idle_us, placement.seed)
    });
    let agent = prepare_configuration(placement, &operators, ajp.clone(), by_ajp.clone())?;
    let configuration = agent.as_ref().map(|agent| agent.handle.clone());
    let mut resumed = Resumed { link, ..Resumed::default() };
    if let Some(taken) = taken {
        resumed.json = dispatchers.resume(taken.json.0, taken.json.1, &ids);
        if let Some(front) = &ajp {
            resumed.ajp = front.resume(taken.ajp.0, taken.ajp.1, &ids);
        }
        let moved: HashSet<&String> = taken.below.0.links.iter().flat_map(|link| &link.calls).collect();
        for ((rpc, kept), ticket) in incoming.into_iter().zip(rpcs).zip(tickets) {
            let placed = kept.call.as_ref().is_some_and(|call| call.placed);
            if placed && !moved.contains(&kept.id) {
                let lost = taken.below.0.lost.contains(&kept.id);
                let end = if lost { CallEnd::Link(Ending::Moved) } else { CallEnd::Unsent };
                resumed.ends.push((ticket.post(), end));
            }
            let asker = kept.asker.as_ref().and_then(|at| match (&ajp, at.by_ajp) {
                (Some(front), true) => front.asker(at),
                (None, true) => None,
                (_, false) => dispatchers.asker(at),
            });
            let life =
                Life { owed: kept.owed && asker.is_some(), running: kept.running, call: kept.call.map(call) };
            let living = Living::new(&core, rpc, &kept.body, asker.unwrap_or_else(|| Box::new(Nobody)), life);
            resumed.lives.push((Arc::new(living), ticket));
        }
        let posts =
            resumed.lives.iter().map(|(living, ticket)| (living.rpc.id.clone(), ticket.post())).collect();
        resumed.below = Some((taken.below.0, taken.below.1, posts));
    }
    let (memory_bytes, descriptors) = (bytes, placement.descriptors);
    let node = Arc::new(Node {
        core,
        store,
        by_ajp,
        ajp,
        directory,
        dispatchers,
        memory_bytes,
        descriptors,
        digest,
        settings: AtomicU64::new(0),
        configuration,
    });
    let name = placement.name.clone();
    Ok(Built { node, name, stirred, listener: json_listener, ajp_listener, status, resumed, agent })
}

fn incoming(kept: &KeptRpc) -> Incoming {
    let token = kept.token.as_ref().map(|key| Token { key: key.as_str().into(), work: kept.work });
    let (method, left_us) = (kept.method as usize, kept.left_us);
    // The module has counted it already.
    let (id, tenant) = (kept.id.as_str().into(), None);
    Incoming { id, method, kb: kept.kb, ts_ms: kept.ts_ms, left_us, token, tenant }
}

fn call(kept: KeptCall) -> Call {
    let placed = Placed { at_us: kept.at_us, until_us: kept.until_us };
    Call { pos: kept.pos, body: kept.body, placed: kept.placed.then_some(placed) }
}

/// Whoever asked is not there any more.
struct Nobody;

impl Asker for Nobody {
    fn is_owed(&self) -> bool {
        false
    }
    fn answer(&self, _answer: Answer, _signal: Option<f64>) {}
    fn whereabouts(&self) -> Whereabouts {
        Whereabouts::default()
    }
    fn fault(&self) {}
    fn proven(&self) {}
}

/// Starts every part. What is sent to the sender makes the directory hear of the present health at once.
fn begin(built: Built, placement: &Placement) -> (Arc<Node>, Sender<()>) {
    let Built { node, name, stirred, listener, ajp_listener, status, resumed, agent } = built;
    if let Some(Err(why)) = agent.map(PreparedAgent::start) {
        tracing::error!(part = "config", "no changes come: {why}");
    }
    tracing::info!(part = "json-rpc", place = %placement.listen, "node {name} listens");
    if let (Some(front), Some(listener)) = (node.ajp.clone(), ajp_listener) {
        tracing::info!(part = "ajp", "node {name} listens");
        let of = front.clone();
        may::go!(move || of.sweep());
        may::go!(move || accept_all(&front, &listener));
    }
    if let Some(by_ajp) = node.by_ajp.clone() {
        if let Some(status) = status {
            status::serve(&status, by_ajp.clone());
        }
        may::go!(move || by_ajp.watch());
    }
    let core = node.core.clone();
    let (report_now, changed) = channel();
    let (of, report) = (core.clone(), report_now.clone());
    let link = resumed.link.map(adopt);
    may::go!(move || of.executor.keep_up(&of.gate, &report, link));
    if let Some(store) = node.store.clone() {
        if let Some((kept, descriptors, posts)) = resumed.below {
            store.resume(kept, descriptors, &posts);
        }
        may::go!(move || store.watch());
    }
    for (living, ticket) in resumed.lives {
        core.go_on(living, ticket);
    }
    resumed.ends.into_iter().for_each(|(post, end)| post.send(Next::CallEnded(end)));
    node.dispatchers.go_on(resumed.json);
    if let Some(front) = &node.ajp {
        front.go_on(resumed.ajp);
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
    let of = node.clone();
    may::go!(move || {
        let at = || *of.directory.lock().expect("never held over a panic");
        let healthy = || of.core.gate.posture().healthy;
        directory::keep(at, &name, healthy, &changed);
    });
    let of = node.dispatchers.clone();
    may::go!(move || of.sweep());
    let of = node.dispatchers.clone();
    may::go!(move || accept_all(&of, &listener));
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
    shut(&node.dispatchers);
    if let Some(front) = &node.ajp {
        shut(front);
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
