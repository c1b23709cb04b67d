//! The supervisor: the process that the platform started and watches, where the operators' file allows upgrades. It starts
//! the program that serves, starts another beside it when asked to, hands on signals, and says which of the two may
//! act. It serves nothing itself, so that little can go wrong with it.

use super::counter_report::CounterReport;
use super::descriptor_socket::{inherit, read_lines, send_line};
use super::process_guard::{ChildId, ProcessAction, ProcessGuard};
use super::rollout_agent::{
    self, AcceptedCommand, AgentAction, ChildIdentity, ChildSpec, DueRevert, RolloutAgent, ServingChild,
};
use super::supervisor_protocol::{LINK, OPERATORS, PREDECESSOR, READS_CHANGES};
use ochrewalk_control_plane::control::is_owner;
use ochrewalk_rollout::messages::{self, Request};
use ochrewalk_rollout::Outcome;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::os::fd::{AsFd, AsRawFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long whoever asks on the control socket may take to say what for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the outcome of an upgrade is waited for by whoever asked.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(60);

enum Event {
    Line(ChildId, String),
    ChildEnded(ChildId, Option<ExitStatus>),
    Request(UnixStream),
    Signal(i32),
    /// One that was told to leave should have ended by now.
    DrainOverdue(ChildId),
}

struct RunningChild {
    pid: u32,
    stream: UnixStream,
    serving: ServingChild,
}

/// Who waits to hear of an attempt, and in which words.
enum Requester {
    Operator(UnixStream),
    Rollout(UnixStream, AcceptedCommand),
    /// A trial that is over.
    Revert,
}

/// What is begun once the program that serves has ended, as it cannot hand over.
struct PendingRestart {
    spec: ChildSpec,
    before: ChildIdentity,
    requester: Requester,
}

struct Supervisor {
    children: BTreeMap<ChildId, RunningChild>,
    next_id: u64,
    process_guard: ProcessGuard,
    /// Who waits to hear of the attempt under way.
    requester: Option<Requester>,
    /// Who hears of one that failed once that program has ended.
    failed_attempts: Vec<(ChildId, Requester, String)>,
    rollout_agent: RolloutAgent,
    pending_restart: Option<PendingRestart>,
    /// How long a program that is told to leave may take.
    drain_timeout: Duration,
    /// Whose counts are told: the next one's only from the end of an attempt on, so that none are told twice.
    reported_child: ChildId,
    last_status: Option<ExitStatus>,
    events: Sender<Event>,
}

/// Keeps programs that serve until none is left; its status is that of the last one. One that is told to leave may take
/// so long. An error comes back before anything is started.
pub fn run(control: &Path, drain_timeout: Duration) -> Result<ExitStatus, String> {
    let (sender, events) = channel();
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|err| format!("cannot wait for signals: {err}"))?;
    let listener = listen(control)?;
    let on_signal = sender.clone();
    std::thread::spawn(move || {
        signals.forever().for_each(|signal| drop(on_signal.send(Event::Signal(signal))))
    });
    let on_asked = sender.clone();
    std::thread::spawn(move || {
        listener.incoming().flatten().for_each(|stream| drop(on_asked.send(Event::Request(stream))));
    });
    let (children, last_status) = (BTreeMap::new(), None);
    let mut supervisor = Supervisor {
        children,
        next_id: 0,
        process_guard: ProcessGuard::default(),
        requester: None,
        failed_attempts: Vec::new(),
        rollout_agent: RolloutAgent::default(),
        pending_restart: None,
        drain_timeout,
        reported_child: ChildId(0),
        last_status,
        events: sender,
    };
    let own = std::env::current_exe().map_err(|err| err.to_string())?;
    let spec = ChildSpec { program: own.clone(), operators: None };
    let first = supervisor.start_child(&spec, None).map_err(|err| format!("{}: {err}", own.display()))?;
    supervisor.process_guard.started_alone(first);
    supervisor.reported_child = first;
    while !supervisor.children.is_empty() {
        let event = match supervisor.rollout_agent.time_to_next_action() {
            Some(within) => events.recv_timeout(within),
            None => events.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match event {
            Ok(event) => supervisor.handle_event(event),
            Err(RecvTimeoutError::Timeout) => supervisor.revert_if_due(),
            Err(RecvTimeoutError::Disconnected) => break,
        }
    }
    let _ = std::fs::remove_file(control);
    supervisor.last_status.ok_or_else(|| "the program that served cannot be waited for".into())
}

/// A socket for its owner alone.
fn listen(control: &Path) -> Result<UnixListener, String> {
    let fault = |err: std::io::Error| format!("{}: {err}", control.display());
    // One that nobody listens at was left by a supervisor that was killed.
    if UnixStream::connect(control).is_ok() {
        return Err(format!("{}: another supervisor listens there", control.display()));
    }
    let _ = std::fs::remove_file(control);
    // Guards against a moment in which others could connect: made under another name, open to nobody else, first.
    let fresh = PathBuf::from(format!("{}.{}", control.display(), std::process::id()));
    let _ = std::fs::remove_file(&fresh);
    let before = rustix::process::umask(rustix::fs::Mode::from_raw_mode(0o177));
    let listener = UnixListener::bind(&fresh);
    rustix::process::umask(before);
    let listener = listener.map_err(fault)?;
    std::fs::set_permissions(&fresh, std::fs::Permissions::from_mode(0o600)).map_err(fault)?;
    std::fs::rename(&fresh, control).map_err(fault)?;
    Ok(listener)
}

impl Supervisor {
    fn start_child(&mut self, spec: &ChildSpec, takes: Option<&UnixStream>) -> std::io::Result<ChildId> {
        let (ours, theirs) = UnixStream::pair()?;
        let theirs = inherit(theirs.as_fd())?;
        let takes = takes.map(|stream| inherit(stream.as_fd())).transpose()?;
        let mut command = Command::new(&spec.program);
        command.args(std::env::args_os().skip(1)).env(LINK, theirs.as_raw_fd().to_string());
        command.env(READS_CHANGES, "1");
        match &spec.operators {
            Some(file) => command.env(OPERATORS, file),
            None => command.env_remove(OPERATORS),
        };
        match &takes {
            Some(takes) => command.env(PREDECESSOR, takes.as_raw_fd().to_string()),
            None => command.env_remove(PREDECESSOR),
        };
        let child = command.spawn()?;
        self.next_id += 1;
        let id = ChildId(self.next_id);
        let serving = ServingChild::of(spec.clone(), child.id());
        self.children.insert(id, RunningChild { pid: child.id(), stream: ours.try_clone()?, serving });
        let on_said = self.events.clone();
        let said = std::thread::spawn(move || {
            read_lines(&ours, |line, _| drop(on_said.send(Event::Line(id, line.into()))));
        });
        let on_end = self.events.clone();
        std::thread::spawn(move || wait_for_child(child, said, id, &on_end));
        Ok(id)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Signal(signal) => self.handle_signal(signal),
            Event::DrainOverdue(id) => {
                if let Some(child) = self.children.get(&id) {
                    send_signal(child.pid, signal_hook::consts::SIGKILL);
                }
            }
            Event::Request(stream) => self.handle_request(stream),
            Event::ChildEnded(id, status) => self.child_ended(id, status),
            Event::Line(id, line) => self.handle_line(id, &line),
        }
    }

    fn handle_signal(&mut self, signal: i32) {
        if signal != SIGHUP {
            // The node leaves: nothing is begun anew in the place of the one that ends.
            if let Some(restart) = self.pending_restart.take() {
                self.report_outcome(
                    restart.requester,
                    Some(restart.before),
                    Err("the node was told to leave".into()),
                );
            }
        }
        self.children.values().for_each(|child| send_signal(child.pid, signal));
    }

    fn handle_line(&mut self, id: ChildId, line: &str) {
        match line {
            "still?" | "on?" | "begin?" => {
                let action = if line == "still?" { ProcessAction::Pause } else { ProcessAction::Act };
                let may = self.process_guard.allow(id, action);
                if let Some(child) = self.children.get(&id) {
                    let _ = send_line(&child.stream, if may { "yes" } else { "no" }, None);
                }
            }
            "end other" => {
                if let Some(child) =
                    self.process_guard.allow_kill(id).and_then(|other| self.children.get(&other))
                {
                    send_signal(child.pid, signal_hook::consts::SIGKILL);
                }
            }
            _ => {
                if let Some(how) = line.strip_prefix("told ") {
                    self.attempt_ended(how);
                } else if let (Some(report), Some(child)) =
                    (CounterReport::of_line(line), self.children.get_mut(&id))
                {
                    child.serving.take(report);
                }
            }
        }
    }

    /// An attempt has come to its end. Nothing is left of one that failed: guards against a new program that hangs.
    /// Who asked by hand hears of it once that is so.
    fn attempt_ended(&mut self, how: &str) {
        let before = self.children.get(&self.reported_child).map(|child| child.identity());
        let is_done = how == "handed over";
        let failed_attempts = match self.requester.take() {
            Some(requester @ Requester::Operator(_)) if !is_done => Some((requester, how.to_string())),
            Some(requester) => {
                self.report_outcome(requester, before, if is_done { Ok(how) } else { Err(how.into()) });
                None
            }
            None => None,
        };
        self.report_counters_of_acting();
        let left =
            self.process_guard.end_attempt().and_then(|left| Some((left, self.children.get(&left)?.pid)));
        match (left, failed_attempts) {
            (Some((left, pid)), failed_attempts) => {
                send_signal(pid, signal_hook::consts::SIGKILL);
                self.failed_attempts.extend(failed_attempts.map(|(requester, how)| (left, requester, how)));
            }
            (None, Some((requester, how))) => self.report_outcome(requester, None, Err(how)),
            (None, None) => {}
        }
    }

    /// Tells whoever asked what came of it. `before` is what ran until then.
    fn report_outcome(
        &mut self,
        requester: Requester,
        before: Option<ChildIdentity>,
        how: Result<&str, String>,
    ) {
        match (requester, how) {
            (Requester::Operator(mut stream), Ok(how)) => {
                // Who asks for a program by hand wants it for good.
                self.rollout_agent.confirm();
                let _ = writeln!(stream, "{how}");
            }
            (Requester::Operator(mut stream), Err(why)) => drop(writeln!(stream, "{why}")),
            (Requester::Rollout(mut stream, accepted), how) => {
                let outcome = how.map_or_else(Outcome::Failed, |_| Outcome::Done);
                rollout_agent::send_reply(
                    &mut stream,
                    self.rollout_agent.command_finished(accepted, before, outcome),
                );
            }
            (Requester::Revert, Ok(_)) => self.rollout_agent.revert_succeeded(),
            (Requester::Revert, Err(_)) => self.rollout_agent.revert_failed(),
        }
    }

    /// A trial may be over.
    fn revert_if_due(&mut self) {
        let Some(revert) = self.rollout_agent.due_revert() else { return };
        let from = self.process_guard.available_predecessor().filter(|_| self.pending_restart.is_none());
        let begun = match (from, revert) {
            (Some(from), DueRevert::Restart(spec)) => self.begin_restart(from, spec, Requester::Revert),
            (Some(from), DueRevert::HandOver(spec)) => self.begin_hand_over(from, &spec, Requester::Revert),
            (None, _) => Err(std::io::ErrorKind::ResourceBusy.into()),
        };
        if begun.is_err() {
            self.rollout_agent.revert_failed();
        }
    }

    /// From here on the one that acts is told of, on top of what the one before has counted.
    fn report_counters_of_acting(&mut self) {
        let Some(acting) = self.process_guard.acting().filter(|acting| *acting != self.reported_child) else {
            return;
        };
        if let Some(before) = self.children.get(&self.reported_child) {
            self.rollout_agent.child_replaced(&before.serving);
        }
        self.reported_child = acting;
    }

    fn child_ended(&mut self, id: ChildId, status: Option<ExitStatus>) {
        self.children.remove(&id);
        while let Some(at) = self.failed_attempts.iter().position(|(left, ..)| *left == id) {
            let (_, requester, how) = self.failed_attempts.swap_remove(at);
            self.report_outcome(requester, None, Err(how));
        }
        // The node's end is that of the one that acted: one that has handed over ends well beside it.
        let acted = self.process_guard.child_ended(id);
        if acted || self.last_status.is_none() {
            self.last_status = status;
        }
        if acted {
            if let Some(restart) = self.pending_restart.take() {
                return self.finish_restart(restart);
            }
        }
        // That the new one has ended the one that serves hears by itself.
        if self.process_guard.is_predecessor(id) {
            self.attempt_ended("the running program ended in the middle; the new one takes over");
        }
    }

    /// Somebody is at the control socket.
    fn handle_request(&mut self, mut stream: UnixStream) {
        if !is_owner(&stream) {
            let _ = writeln!(stream, "refused: another user");
            return;
        }
        let _ = stream.set_read_timeout(Some(REQUEST_TIMEOUT));
        let mut line = String::new();
        let Ok(reads) = stream.try_clone() else { return };
        let mut reads = BufReader::new(std::io::Read::take(reads, 4096));
        if reads.read_line(&mut line).is_err() {
            let _ = writeln!(stream, "refused: nothing was asked for");
            return;
        }
        if line.trim_end() == rollout_agent::REQUEST_LINE {
            return self.handle_rollout_request(stream, &mut reads);
        }
        let Some(program) = line.strip_prefix("upgrade ").map(str::trim_end) else {
            let _ = writeln!(stream, "refused: write upgrade PROGRAM");
            return;
        };
        let Some(from) =
            self.process_guard.available_predecessor().filter(|_| self.pending_restart.is_none())
        else {
            let _ = writeln!(stream, "refused: another upgrade is under way");
            return;
        };
        let operators = self.children.get(&from).and_then(|child| child.serving.spec.operators.clone());
        let spec = ChildSpec { program: program.into(), operators };
        let requester = stream.try_clone().map(Requester::Operator);
        if let Err(why) = requester.and_then(|requester| self.begin_hand_over(from, &spec, requester)) {
            let _ = writeln!(stream, "refused: {program}: {why}");
        }
    }

    /// Somebody conducts a change.
    fn handle_rollout_request(&mut self, mut stream: UnixStream, reads: &mut impl std::io::Read) {
        let Ok(request) = messages::read_message::<Request>(reads) else { return };
        if !self.children.contains_key(&self.reported_child) {
            self.report_counters_of_acting();
        }
        let serving = self.children.get(&self.reported_child).map(|child| &child.serving);
        let from = self.process_guard.available_predecessor().filter(|_| self.pending_restart.is_none());
        match self.rollout_agent.handle_request(&request, serving, from.is_none()) {
            AgentAction::Reply(said) => rollout_agent::send_reply(&mut stream, said),
            AgentAction::ReplaceChild(spec, accepted) => {
                let begun = match (from, stream.try_clone()) {
                    (Some(from), Ok(requester)) if accepted.restart => {
                        self.begin_restart(from, spec.clone(), Requester::Rollout(requester, accepted))
                    }
                    (Some(from), Ok(requester)) => {
                        self.begin_hand_over(from, &spec, Requester::Rollout(requester, accepted))
                    }
                    _ => Err(std::io::ErrorKind::ResourceBusy.into()),
                };
                if let Err(why) = begun {
                    let why = format!("{}: {why}", spec.program.display());
                    rollout_agent::send_reply(
                        &mut stream,
                        self.rollout_agent.command_finished(accepted, None, Outcome::Failed(why)),
                    );
                }
            }
        }
    }

    fn begin_hand_over(
        &mut self,
        from: ChildId,
        spec: &ChildSpec,
        requester: Requester,
    ) -> std::io::Result<()> {
        let (gives, takes) = UnixStream::pair()?;
        let to = self.start_child(spec, Some(&takes))?;
        // Only the two of them hold an end from here on: so the end of either is heard by the other.
        drop(takes);
        self.process_guard.begin_attempt(from, to);
        self.requester = Some(requester);
        let running = self.children.get(&from).ok_or(std::io::ErrorKind::NotFound)?;
        send_line(&running.stream, "give", Some(gives.as_fd()))
    }

    /// The program that serves leaves, as after any notice to; the next one begins once it has ended.
    fn begin_restart(&mut self, from: ChildId, spec: ChildSpec, requester: Requester) -> std::io::Result<()> {
        let running = self.children.get(&from).ok_or(std::io::ErrorKind::NotFound)?;
        send_signal(running.pid, SIGTERM);
        self.pending_restart = Some(PendingRestart { spec, before: running.identity(), requester });
        // Guards against one that hears no signal either.
        let (overdue, drain_timeout) = (self.events.clone(), self.drain_timeout);
        std::thread::spawn(move || {
            std::thread::sleep(drain_timeout);
            let _ = overdue.send(Event::DrainOverdue(from));
        });
        Ok(())
    }

    /// What was served has ended.
    fn finish_restart(&mut self, PendingRestart { spec, before, requester }: PendingRestart) {
        let how = match self.start_child(&spec, None) {
            Ok(id) => {
                self.process_guard.started_alone(id);
                self.report_counters_of_acting();
                Ok("begun anew")
            }
            Err(why) => Err(format!("{}: {why}", spec.program.display())),
        };
        self.report_outcome(requester, Some(before), how);
    }
}

impl RunningChild {
    /// What it runs, and the print of its program.
    fn identity(&self) -> ChildIdentity {
        self.serving.identity()
    }
}

fn wait_for_child(mut child: Child, said: JoinHandle<()>, id: ChildId, on_end: &Sender<Event>) {
    let status = child.wait().ok();
    // Guards against an end that is heard before the last words: a program that has handed over would seem to have ended
    // in the middle of it.
    let _ = said.join();
    let _ = on_end.send(Event::ChildEnded(id, status));
}

fn send_signal(pid: u32, signal: i32) {
    let pid = rustix::process::Pid::from_raw(pid as i32);
    let signal = match signal {
        SIGTERM => rustix::process::Signal::TERM,
        SIGINT => rustix::process::Signal::INT,
        SIGHUP => rustix::process::Signal::HUP,
        _ => rustix::process::Signal::KILL,
    };
    if let Some(pid) = pid {
        let _ = rustix::process::kill_process(pid, signal);
    }
}

/// Asks a supervisor for an upgrade and waits for its outcome; an error says why it did not come about.
pub fn request_upgrade(control: &Path, program: &Path) -> Result<String, String> {
    let fault = |err: std::io::Error| format!("{}: {err}", control.display());
    let program = std::fs::canonicalize(program).map_err(|err| format!("{}: {err}", program.display()))?;
    let mut stream = UnixStream::connect(control).map_err(fault)?;
    stream.set_read_timeout(Some(OUTCOME_TIMEOUT)).map_err(fault)?;
    writeln!(stream, "upgrade {}", program.display()).map_err(fault)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(fault)?;
    match line.trim_end() {
        "" => Err("the supervisor ended without a word".into()),
        "handed over" => Ok("handed over".into()),
        other => Err(other.into()),
    }
}
