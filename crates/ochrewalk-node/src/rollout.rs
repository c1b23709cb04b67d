//! The conductor of a rolling change as a program: it asks nodes, sends orders, keeps a record and hears the operator, as
//! `ochrewalk-rollout` decides.

use crate::handover::rollout_agent::{fingerprint_of_file, send_request};
use ochrewalk_control_plane::control::is_owner;
use ochrewalk_operators::{changes, ChangeClass, RolloutPlan as Plan, Subject, Version as PlanVersion};
use ochrewalk_rollout::messages::{self, CommandMessage, NodeStatus, Reply, Request, Response, Target};
use ochrewalk_rollout::{
    AnalysisSettings, CanaryAnalysis, Command, CommandReply, ControllerActions, FencingToken, NodeReport,
    NodeSample, Outcome, Phase, RolloutController, RolloutPolicy, RolloutRecord, Sample, StagePlan, Verdict,
    Version, VersionFingerprints,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a node may take to say how it stands, and to carry out an order.
const ASKING: Duration = Duration::from_millis(800);
const ORDERED: Duration = Duration::from_secs(20);
/// How soon one that is busy, or said nothing, is asked again.
const AGAIN: Duration = Duration::from_millis(500);

/// Moments that are looked at before a change begins.
const BEFORE: u32 = 8;

/// How a run of the conductor ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Done,
    Back(String),
    Waiting(String),
    Replaced,
}

/// What the operator asked for with the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConductorCommand {
    Run,
    /// What was unclear is taken for good.
    GoOn,
    Back,
}

/// Reads a plan's file; a message has a line for each fault.
pub fn read(file: &Path) -> Result<Plan, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| format!("{name}: {err}"))?;
    Plan::parse(&text, &name)
        .map_err(|faults| faults.iter().map(|f| f.to_string()).collect::<Vec<_>>().join("\n"))
}

/// Prints of the plan's two files, by node.
#[derive(Clone, Debug)]
struct Prints {
    subject: Subject,
    of: Vec<[u64; 2]>,
}

impl Prints {
    fn of(plan: &Plan) -> Result<Prints, String> {
        // Most often all nodes have the same files.
        let mut known: BTreeMap<PathBuf, u64> = BTreeMap::new();
        let mut print = |path: PathBuf| -> Result<u64, String> {
            match known.get(&path) {
                Some(print) => Ok(*print),
                None => {
                    let print =
                        fingerprint_of_file(&path).map_err(|err| format!("{}: {err}", path.display()))?;
                    known.insert(path, print);
                    Ok(print)
                }
            }
        };
        let mut of = Vec::new();
        for node in &plan.nodes {
            let [old, new] =
                [print(plan.file(node, PlanVersion::Old))?, print(plan.file(node, PlanVersion::New))?];
            if old == new {
                return Err(format!("both files of the plan hold the same for {}", node.name));
            }
            of.push([old, new]);
        }
        Ok(Prints { subject: plan.subject, of })
    }

    /// Which of the two a node runs, if one of them.
    fn side(&self, node: usize, status: &NodeStatus) -> Option<Version> {
        let print =
            if self.subject == Subject::Program { status.fingerprint } else { status.settings_fingerprint() };
        let [old, new] = self.of[node];
        VersionFingerprints { old, new }.version_of(print)
    }
}

/// What changes with the settings of a plan, a line each; an error where no running node can take it over.
fn differences(plan: &Plan) -> Result<String, String> {
    if plan.subject == Subject::Program {
        return Ok(String::new());
    }
    let (mut may, mut never) = (BTreeSet::new(), BTreeSet::new());
    for node in &plan.nodes {
        let read = |version: PlanVersion| {
            let path = plan.file(node, version);
            std::fs::read_to_string(&path).map_err(|err| format!("{}: {err}", path.display()))
        };
        for change in changes(&read(PlanVersion::Old)?, &read(PlanVersion::New)?) {
            let of = if change.class == ChangeClass::Restart { &mut never } else { &mut may };
            of.insert(format!("{change}\n"));
        }
    }
    match (never.is_empty(), may.is_empty()) {
        (false, _) => Err(Vec::from_iter(never).concat().trim_end().into()),
        (true, true) => Err("both files of the plan mean the same".into()),
        (true, false) => Ok(Vec::from_iter(may).concat()),
    }
}

/// How a node stands, asked by the conductor of that number; 0 for one who only looks on.
fn node_status(control: &Path, controller: u64) -> Result<NodeStatus, String> {
    match send_request(control, &Request::status(controller), ASKING) {
        Ok(Response { reply: Some(Reply::Status(status)), .. }) => Ok(status),
        Ok(Response { reply: Some(Reply::Rejected(why)), .. }) => Err(why),
        Ok(Response { protocol_version: version, .. }) => {
            Err(format!("an answer of version {version} that is not known here"))
        }
        Err(err) => Err(err.to_string()),
    }
}

/// All nodes at once, each asked on its own.
fn ask_all(plan: &Plan, controller: u64) -> Vec<Result<NodeStatus, String>> {
    std::thread::scope(|scope| {
        let asked: Vec<_> = plan
            .nodes
            .iter()
            .map(|node| scope.spawn(move || node_status(&node.control, controller)))
            .collect();
        let died = |_| Err("asking has panicked".to_string());
        asked.into_iter().map(|asked| asked.join().unwrap_or_else(died)).collect()
    })
}

/// How every node stands, a line each, and what stands in the way of a change.
pub fn check(plan: &Plan) -> Result<String, String> {
    let prints = Prints::of(plan)?;
    let mut text = differences(plan)?;
    let mut faults = Vec::new();
    for (at, (node, status)) in plan.nodes.iter().zip(ask_all(plan, 0)).enumerate() {
        let wrong = match status {
            Err(why) => Some(why),
            Ok(status) if prints.side(at, &status).is_none() => Some(match plan.subject {
                Subject::Program => format!("it runs {}, which is neither program of the plan", status.path),
                Subject::Settings => "it goes by neither file of the plan".into(),
            }),
            Ok(status) if !status.is_healthy => Some("it is not well".into()),
            Ok(_) => None,
        };
        faults.extend(wrong.map(|why| format!("{}: {why}", node.name)));
    }
    if faults.is_empty() {
        let (nodes, stages) = (plan.nodes.len(), plan.stages.len());
        text += &format!("{nodes} nodes, {stages} stages: all answer and are well");
        return Ok(text);
    }
    Err(faults.join("\n"))
}

/// How the change stands, by the conductor where one runs, and by the nodes.
pub fn status(plan: &Plan) -> Result<String, String> {
    let prints = Prints::of(plan).ok();
    let mut text = tell(plan, "status").unwrap_or_else(|_| "no conductor runs\n".into());
    for (at, (node, status)) in plan.nodes.iter().zip(ask_all(plan, 0)).enumerate() {
        let how = match &status {
            Err(why) => format!("says nothing: {why}"),
            Ok(status) => {
                let side = prints.as_ref().and_then(|prints| prints.side(at, status));
                let word = side.map_or("another", |p| if p == Version::Old { "old" } else { "new" });
                let trial = if status.is_unconfirmed { ", on trial" } else { "" };
                format!("{word:<8} {}{trial}", if status.is_healthy { "well" } else { "not well" })
            }
        };
        text += &format!("{:<16} {:<10} {how}\n", node.name, node.zone);
    }
    Ok(text)
}

/// Tells the conductor that runs.
pub fn tell(plan: &Plan, word: &str) -> Result<String, String> {
    let socket = socket(plan);
    let fault = |err: std::io::Error| format!("{}: {err}", socket.display());
    let mut stream = UnixStream::connect(&socket).map_err(fault)?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(fault)?;
    writeln!(stream, "{word}").map_err(fault)?;
    let mut said = String::new();
    std::io::Read::read_to_string(&mut stream, &mut said).map_err(fault)?;
    Ok(said)
}

fn beside(plan: &Plan, ending: &str) -> PathBuf {
    let mut name = plan.record.as_os_str().to_owned();
    name.push(ending);
    PathBuf::from(name)
}

fn socket(plan: &Plan) -> PathBuf {
    beside(plan, ".sock")
}

/// What outlives the conductor: one small file, replaced whole, and one beside it that is locked while a conductor runs.
struct RecordFile {
    file: PathBuf,
    _lock: std::fs::File,
}

impl RecordFile {
    fn open(plan: &Plan) -> Result<RecordFile, String> {
        let lock = beside(plan, ".lock");
        let fault = |err: std::io::Error| format!("{}: {err}", lock.display());
        let file = std::fs::File::create(&lock).map_err(fault)?;
        rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive)
            .map_err(|err| format!("{}: another conductor runs: {err}", lock.display()))?;
        Ok(RecordFile { file: plan.record.clone(), _lock: file })
    }

    fn load(&self) -> Result<Option<RolloutRecord>, String> {
        match std::fs::read(&self.file) {
            Ok(bytes) => RolloutRecord::decode(&bytes).map(Some).map_err(|err| err.to_string()),
            Err(err) if err.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(err) => Err(format!("{}: {err}", self.file.display())),
        }
    }

    /// On disk before it comes back; a crash leaves the one before or this one, whole.
    fn save(&self, record: &RolloutRecord) -> Result<(), String> {
        let save = || -> std::io::Result<()> {
            let fresh = self.file.with_extension("fresh");
            let mut file = std::fs::File::create(&fresh)?;
            file.write_all(&record.encode())?;
            file.sync_all()?;
            std::fs::rename(&fresh, &self.file)?;
            std::fs::File::open(self.file.parent().unwrap_or(Path::new("/")))?.sync_all()
        };
        save().map_err(|err| format!("{}: {err}", self.file.display()))
    }
}

enum Heard {
    Answered { node: usize, token: FencingToken, word: CommandReply },
    Operator { word: String, stream: UnixStream },
}

/// What the conductor's decisions act on.
struct Hands<'a> {
    plan: &'a Plan,
    prints: Prints,
    record_file: &'a RecordFile,
    tell: Sender<Heard>,
    log: std::fs::File,
    /// A stage that is to be judged from now on.
    judge: Option<usize>,
    /// The record cannot be written: nothing more may be done.
    failed: Option<String>,
}

impl Hands<'_> {
    /// A line for the report, and for whoever looks on.
    fn say(&mut self, what: serde_json::Value) {
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let _ = writeln!(self.log, "{}", json!({"ms": now_ms, "what": what}));
    }
}

impl ControllerActions for Hands<'_> {
    fn persist(&mut self, record: &RolloutRecord) {
        if let Err(why) = self.record_file.save(record) {
            self.failed = Some(why);
        }
    }

    fn send_command(&mut self, node: usize, command: Command) {
        // Nothing is done that could not be kept first.
        if self.failed.is_some() {
            return;
        }
        let is_new = command.version == Version::New;
        let to = if is_new { "new" } else { "old" };
        self.say(json!({"order": self.plan.nodes[node].name, "to": to, "how": command.method.to_string()}));
        let version = if is_new { PlanVersion::New } else { PlanVersion::Old };
        let path = self.plan.file(&self.plan.nodes[node], version).display().to_string();
        let print = self.prints.of[node][usize::from(is_new)];
        let target = Target { is_settings: self.plan.subject == Subject::Settings, path, fingerprint: print };
        let request =
            Request::command(CommandMessage::new(&command, target, self.plan.confirm_timeout_us / 1_000));
        let (control, tell) = (self.plan.nodes[node].control.clone(), self.tell.clone());
        std::thread::spawn(move || {
            let word = send_until_answered(&control, &request);
            let _ = tell.send(Heard::Answered { node, token: command.token, word });
        });
    }

    fn begin_analysis(&mut self, stage: usize) {
        self.judge = Some(stage);
    }
}

/// Sends an order until the node says what came of it, or for as long as one may take.
fn send_until_answered(control: &Path, request: &Request) -> CommandReply {
    let by = Instant::now() + ORDERED;
    loop {
        let word = match send_request(control, request, ORDERED) {
            Ok(Response { reply: Some(Reply::Finished(ended)), .. }) => CommandReply::Finished(ended.into()),
            Ok(Response { reply: Some(Reply::Stale(token)), .. }) => CommandReply::Stale(token.into()),
            Ok(Response { reply: Some(Reply::Rejected(why)), .. }) => {
                CommandReply::Finished(Outcome::Failed(why))
            }
            Ok(Response { reply: Some(Reply::Busy(_)), .. }) if Instant::now() < by => {
                std::thread::sleep(AGAIN);
                continue;
            }
            // It may be under way, or lost.
            _ => {
                std::thread::sleep(AGAIN);
                CommandReply::NoReply
            }
        };
        return word;
    }
}

/// A node as it was seen before.
#[derive(Default)]
struct Before {
    status: Option<NodeStatus>,
    restarts: u32,
    changed_at: Option<Instant>,
}

/// Conducts the change to its end, or until it waits for the operator.
pub fn run(plan: &Plan, command: ConductorCommand) -> Result<End, String> {
    let prints = Prints::of(plan)?;
    let record_file = RecordFile::open(plan)?;
    let record = record_file.load()?;
    if record.is_none() {
        check(plan)?;
    }
    let stage_plan = stage_plan(plan)?;
    let log = std::fs::OpenOptions::new().create(true).append(true).open(beside(plan, ".log"));
    let log = log.map_err(|err| format!("{}: {err}", beside(plan, ".log").display()))?;
    let (tell, heard) = channel();
    listen(&socket(plan), tell.clone())?;
    let mut hands = Hands { plan, prints, record_file: &record_file, tell, log, judge: None, failed: None };
    // Above any that an earlier one has had, whatever became of the clock; and no other's that begins now.
    let now_us = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    let number = now_us.max(record.as_ref().map_or(0, |record| record.controller) + 1);
    let policy = RolloutPolicy {
        commit_confirmed: plan.confirm_timeout_us > 0,
        restart_stuck_nodes: plan.restarts_stuck_nodes,
    };
    hands.say(json!({"begun": number}));
    let mut controller = RolloutController::new(stage_plan, policy, record, number);
    let end = conduct(&mut controller, &mut hands, &heard, command);
    let _ = std::fs::remove_file(socket(plan));
    let end = end?;
    hands.say(json!({"end": format!("{end:?}")}));
    Ok(end)
}

fn stage_plan(plan: &Plan) -> Result<StagePlan, String> {
    let mut names: Vec<&String> = plan.nodes.iter().map(|node| &node.zone).collect();
    names.sort();
    names.dedup();
    let zone = |name: &String| names.binary_search(&name).map_or(0, |at| at as u32);
    let zones = plan.nodes.iter().map(|node| zone(&node.zone)).collect();
    StagePlan::new(zones, plan.stages.clone(), plan.max_unavailable)
        .map_err(|wrong| format!("the plan's {wrong}"))
}

fn conduct(
    controller: &mut RolloutController,
    hands: &mut Hands,
    heard: &Receiver<Heard>,
    command: ConductorCommand,
) -> Result<End, String> {
    let plan = hands.plan;
    let moment = Duration::from_micros(plan.sample_interval_us);
    let moments = |us: u64| (us / plan.sample_interval_us).max(1) as u32;
    let measures = AnalysisSettings {
        harm: plan.harm,
        min_samples: moments(plan.min_stage_us),
        max_samples: moments(plan.max_stage_us),
        max_silent_samples: moments(plan.max_silence_us),
        ..AnalysisSettings::default()
    };
    let mut nodes: Vec<Before> = plan.nodes.iter().map(|_| Before::default()).collect();
    let mut judge: Option<CanaryAnalysis> = None;
    let (mut command, mut last, mut moved_at) = (command, String::new(), Instant::now());
    // What each node usually answers, before the first of them is changed.
    for _ in 0..if controller.record().changed_nodes.is_empty() { BEFORE } else { 0 } {
        let all = ask_all(plan, controller.record().controller);
        let before = look(controller, plan, &all, &mut nodes);
        judge.get_or_insert_with(|| CanaryAnalysis::new(measures, methods(&all))).add_sample(&before);
        std::thread::sleep(moment);
    }
    loop {
        let next = Instant::now() + moment;
        let all = ask_all(plan, controller.record().controller);
        for (node, status) in all.iter().enumerate() {
            let report = status.as_ref().ok().and_then(|status| report(node, status, &hands.prints));
            controller.node_reported(node, report.as_ref(), hands);
        }
        if command == ConductorCommand::Back && controller.phase() != &Phase::Polling {
            (command, _) = (ConductorCommand::Run, controller.roll_back(hands));
        }
        if let Some(stage) = hands.judge.take() {
            hands.say(json!({"judged": stage}));
            judge.iter_mut().for_each(CanaryAnalysis::begin_stage);
        }
        if command == ConductorCommand::GoOn && matches!(controller.phase(), Phase::Analyzing { .. }) {
            (command, _) = (ConductorCommand::Run, controller.analysis_concluded(Verdict::Pass, hands));
        }
        let judge = judge.get_or_insert_with(|| CanaryAnalysis::new(measures, methods(&all)));
        let moment = look(controller, plan, &all, &mut nodes);
        let is_judged = matches!(
            controller.phase(),
            Phase::Advancing { .. } | Phase::Analyzing { .. } | Phase::Confirming
        );
        if is_judged && moment.changed > 0 {
            hands.say(seen(&moment, plan, &methods(&all)));
            let verdict = judge.add_sample(&moment);
            if !matches!(verdict, Verdict::Pending) {
                hands.say(json!({"verdict": verdict.to_string()}));
            }
            controller.analysis_concluded(verdict, hands);
        }
        // A stage that has just been begun is gone on with at once.
        let now = format!("{:?} {:?}", controller.phase(), controller.node_states());
        if now != last {
            hands.say(json!({"phase": controller.phase().to_string(), "nodes": sides(controller)}));
            (last, moved_at) = (now, Instant::now());
        }
        let stands_for = moved_at.elapsed().as_micros() as u64;
        if stands_for > plan.recovery_timeout_us && controller.pending_commands().next().is_none() {
            controller.no_progress();
        }
        while !controller.has_stopped() {
            match heard.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(Heard::Answered { node, token, word }) => {
                    hands.say(json!({"answer": plan.nodes[node].name, "word": word.to_string()}));
                    if word == CommandReply::Finished(Outcome::Done) {
                        nodes[node].changed_at = Some(Instant::now());
                    }
                    controller.command_answered(node, token, word, hands);
                }
                Ok(Heard::Operator { word, mut stream }) => {
                    match word.as_str() {
                        "pause" => controller.pause(),
                        "back" => controller.roll_back(hands),
                        _ => {}
                    }
                    let [old, new, other] = sides(controller);
                    let phase = controller.phase();
                    let _ = writeln!(stream, "{phase}, {old} old, {new} new, {other} unknown");
                }
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => return Err("nobody can be heard any more".into()),
            }
        }
        if let Some(why) = hands.failed.take() {
            return Err(format!("{why}; nothing more was ordered"));
        }
        match controller.phase() {
            Phase::Done => return Ok(End::Done),
            Phase::RolledBack { reason } => return Ok(End::Back(reason.clone())),
            Phase::Replaced => return Ok(End::Replaced),
            Phase::Waiting(reason) => return Ok(End::Waiting(reason.to_string())),
            _ => {}
        }
    }
}

/// What a node's word means to the conductor; nothing where it runs neither program of the plan.
fn report(node: usize, status: &NodeStatus, prints: &Prints) -> Option<NodeReport> {
    let highest = status.highest.map_or(FencingToken::default(), FencingToken::from);
    let version = prints.side(node, status)?;
    Some(NodeReport { version, is_healthy: status.is_healthy, highest })
}

fn methods(all: &[Result<NodeStatus, String>]) -> Vec<String> {
    let tallies = all.iter().flatten().filter_map(|status| status.counters.as_ref());
    let mut names: Vec<String> =
        tallies.flat_map(|tally| tally.methods.iter().map(|method| method.name.clone())).collect();
    names.sort();
    names.dedup();
    names
}

/// A moment as it is logged: by side the methods' calls, missed and failed, and the memory of the largest node; and
/// each node's calls, if it spoke.
fn seen(moment: &Sample, plan: &Plan, methods: &[String]) -> serde_json::Value {
    let side = |is_changed: bool| {
        let of = || moment.nodes.iter().filter(move |node| node.is_changed == is_changed);
        let sum = |method: usize| {
            of().filter_map(|node| node.methods.get(method)).fold(
                [0; 3],
                |[calls, missed, failed], counts| {
                    [calls + counts.calls, missed + counts.missed, failed + counts.failed]
                },
            )
        };
        let sums: Vec<[u32; 3]> = (0..methods.len()).map(sum).collect();
        json!({"nodes": of().count(), "methods": sums, "memory_kb": of().map(|n| n.memory_kb).max()})
    };
    let mut calls = vec![None; plan.nodes.len()];
    for node in &moment.nodes {
        calls[node.node] = Some(node.methods.iter().map(|counts| counts.calls).sum::<u32>());
    }
    json!({"moment": {"methods": methods, "old": side(false), "new": side(true), "calls": calls}})
}

/// Nodes that run the old, the new, and what is not known.
fn sides(controller: &RolloutController) -> [usize; 3] {
    let count = |version| controller.node_states().iter().filter(|seen| seen.version == version).count();
    [Some(Version::Old), Some(Version::New), None].map(count)
}

fn by_name(tally: &messages::ServingCounters) -> HashMap<&str, &messages::MethodCounters> {
    tally.methods.iter().map(|method| (method.name.as_str(), method)).collect()
}

/// What has come since the moment before.
fn look(
    controller: &RolloutController,
    plan: &Plan,
    all: &[Result<NodeStatus, String>],
    nodes: &mut [Before],
) -> Sample {
    let methods = methods(all);
    let seen = controller.node_states();
    let is_changed = |node: usize| seen[node].version == Some(Version::New);
    let mut moment = Sample {
        changed: (0..seen.len()).filter(|node| is_changed(*node)).count(),
        others: (0..seen.len()).filter(|node| seen[*node].version == Some(Version::Old)).count(),
        nodes: Vec::new(),
    };
    let zones: Vec<&String> = plan.nodes.iter().map(|node| &node.zone).collect();
    for (node, status) in all.iter().enumerate() {
        let Ok(status) = status else { continue };
        let of = &mut nodes[node];
        if let Some(before) = &of.status {
            of.restarts += u32::from(before.incarnation != status.incarnation);
            let tally = |status: &NodeStatus| status.counters.clone().unwrap_or_default();
            let (now, earlier) = (tally(status), tally(before));
            let (counted_now, counted_earlier) = (by_name(&now), by_name(&earlier));
            let counts = methods.iter().map(|name| {
                let earlier = counted_earlier.get(name.as_str()).copied();
                counted_now.get(name.as_str()).map(|method| method.since(earlier)).unwrap_or_default()
            });
            let cold = Duration::from_micros(plan.warm_up_us);
            moment.nodes.push(NodeSample {
                node,
                zone: zones.iter().position(|zone| *zone == zones[node]).unwrap_or(0) as u32,
                is_changed: is_changed(node),
                is_warming_up: of.changed_at.is_some_and(|at| at.elapsed() < cold),
                methods: counts.collect(),
                restarts: of.restarts,
                memory_kb: now.memory_kb,
            });
        }
        of.status = Some(status.clone());
    }
    moment
}

/// Hears the operator, by a thread of its own.
fn listen(socket: &Path, tell: Sender<Heard>) -> Result<(), String> {
    // The record is ours alone, so that nobody else's socket stands there.
    let _ = std::fs::remove_file(socket);
    let listener = UnixListener::bind(socket).map_err(|err| format!("{}: {err}", socket.display()))?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten().filter(is_owner) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let Ok(reads) = stream.try_clone() else { continue };
            let mut word = String::new();
            if BufReader::new(reads).read_line(&mut word).is_ok() {
                let _ = tell.send(Heard::Operator { word: word.trim_end().into(), stream });
            }
        }
    });
    Ok(())
}
