//! The supervisor: the process that the platform started and watches, where the operators' file allows upgrades. It starts
//! the program that serves, starts another beside it when asked to, hands on signals, and says which of the two may
//! act. It serves nothing itself, so that little can go wrong with it.

use super::counter_report::CounterReport;
use super::descriptor_socket::{inherit, read_lines, send_line};
use super::process_guard::{ProcessAction, ProcessGuard};
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
const ASKING: Duration = Duration::from_secs(2);
/// How long the outcome of an upgrade is waited for by whoever asked.
const OUTCOME: Duration = Duration::from_secs(60);

enum Event {
    Said(u64, String),
    Ended(u64, Option<ExitStatus>),
    Asked(UnixStream),
    Signal(i32),
    /// One that was told to leave should have ended by now.
    Overdue(u64),
}

struct Worker {
    pid: u32,
    line: UnixStream,
    serving: ServingChild,
}

/// Who waits to hear of an attempt, and in which words.
enum Asker {
    Plain(UnixStream),
    Conductor(UnixStream, AcceptedCommand),
    /// A trial that is over.
    Trial,
}

/// What is begun once the program that serves has ended, as it cannot hand over.
struct Anew {
    image: ChildSpec,
    before: ChildIdentity,
    asker: Asker,
}

struct Supervisor {
    workers: BTreeMap<u64, Worker>,
    next: u64,
    process_guard: ProcessGuard,
    /// Who waits to hear of the attempt under way.
    asker: Option<Asker>,
    /// Who hears of one that failed once that program has ended.
    untold: Vec<(u64, Asker, String)>,
    rollout_agent: RolloutAgent,
    anew: Option<Anew>,
    /// How long a program that is told to leave may take.
    leaving: Duration,
    /// Whose counts are told: the next one's only from the end of an attempt on, so that none are told twice.
    told_of: u64,
    last_status: Option<ExitStatus>,
    to_self: Sender<Event>,
}

/// Keeps programs that serve until none is left; its status is that of the last one. One that is told to leave may take
/// so long. An error comes back before anything is started.
pub fn keep(control: &Path, leaving: Duration) -> Result<ExitStatus, String> {
    let (to_self, events) = channel();
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|err| format!("cannot wait for signals: {err}"))?;
    let listener = listen(control)?;
    let on_signal = to_self.clone();
    std::thread::spawn(move || {
        signals.forever().for_each(|signal| drop(on_signal.send(Event::Signal(signal))))
    });
    let on_asked = to_self.clone();
    std::thread::spawn(move || {
        listener.incoming().flatten().for_each(|stream| drop(on_asked.send(Event::Asked(stream))));
    });
    let (workers, last_status) = (BTreeMap::new(), None);
    let mut supervisor = Supervisor {
        workers,
        next: 0,
        process_guard: ProcessGuard::default(),
        asker: None,
        untold: Vec::new(),
        rollout_agent: RolloutAgent::default(),
        anew: None,
        leaving,
        told_of: 0,
        last_status,
        to_self,
    };
    let own = std::env::current_exe().map_err(|err| err.to_string())?;
    let image = ChildSpec { program: own.clone(), operators: None };
    let first = supervisor.start(&image, None).map_err(|err| format!("{}: {err}", own.display()))?;
    supervisor.process_guard.first(first);
    supervisor.told_of = first;
    while !supervisor.workers.is_empty() {
        let event = match supervisor.rollout_agent.time_to_next_action() {
            Some(within) => events.recv_timeout(within),
            None => events.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match event {
            Ok(event) => supervisor.handle(event),
            Err(RecvTimeoutError::Timeout) => supervisor.look_at_trial(),
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
    fn start(&mut self, image: &ChildSpec, takes: Option<&UnixStream>) -> std::io::Result<u64> {
        let (ours, theirs) = UnixStream::pair()?;
        let theirs = inherit(theirs.as_fd())?;
        let takes = takes.map(|stream| inherit(stream.as_fd())).transpose()?;
        let mut command = Command::new(&image.program);
        command.args(std::env::args_os().skip(1)).env(LINK, theirs.as_raw_fd().to_string());
        command.env(READS_CHANGES, "1");
        match &image.operators {
            Some(file) => command.env(OPERATORS, file),
            None => command.env_remove(OPERATORS),
        };
        match &takes {
            Some(takes) => command.env(PREDECESSOR, takes.as_raw_fd().to_string()),
            None => command.env_remove(PREDECESSOR),
        };
        let child = command.spawn()?;
        self.next += 1;
        let number = self.next;
        let serving = ServingChild::of(image.clone(), child.id());
        self.workers.insert(number, Worker { pid: child.id(), line: ours.try_clone()?, serving });
        let on_said = self.to_self.clone();
        let said = std::thread::spawn(move || {
            read_lines(&ours, |line, _| drop(on_said.send(Event::Said(number, line.into()))));
        });
        let on_end = self.to_self.clone();
        std::thread::spawn(move || wait(child, said, number, &on_end));
        Ok(number)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Signal(signal) => self.signal(signal),
            Event::Overdue(number) => {
                if let Some(worker) = self.workers.get(&number) {
                    send_signal(worker.pid, signal_hook::consts::SIGKILL);
                }
            }
            Event::Asked(stream) => self.asked(stream),
            Event::Ended(number, status) => self.ended(number, status),
            Event::Said(number, line) => self.said(number, &line),
        }
    }

    fn signal(&mut self, signal: i32) {
        if signal != SIGHUP {
            // The node leaves: nothing is begun anew in the place of the one that ends.
            if let Some(anew) = self.anew.take() {
                self.tell(anew.asker, Some(anew.before), Err("the node was told to leave".into()));
            }
        }
        self.workers.values().for_each(|worker| send_signal(worker.pid, signal));
    }

    fn said(&mut self, number: u64, line: &str) {
        match line {
            "still?" | "on?" | "begin?" => {
                let action = if line == "still?" { ProcessAction::Still } else { ProcessAction::Act };
                let may = self.process_guard.may(number, action);
                if let Some(worker) = self.workers.get(&number) {
                    let _ = send_line(&worker.line, if may { "yes" } else { "no" }, None);
                }
            }
            "end other" => {
                if let Some(worker) =
                    self.process_guard.end_other(number).and_then(|other| self.workers.get(&other))
                {
                    send_signal(worker.pid, signal_hook::consts::SIGKILL);
                }
            }
            _ => {
                if let Some(how) = line.strip_prefix("told ") {
                    self.over(how);
                } else if let (Some(report), Some(worker)) =
                    (CounterReport::of_line(line), self.workers.get_mut(&number))
                {
                    worker.serving.take(report);
                }
            }
        }
    }

    /// An attempt has come to its end. Nothing is left of one that failed: guards against a new program that hangs.
    /// Who asked by hand hears of it once that is so.
    fn over(&mut self, how: &str) {
        let before = self.workers.get(&self.told_of).map(|worker| worker.known());
        let is_done = how == "handed over";
        let untold = match self.asker.take() {
            Some(asker @ Asker::Plain(_)) if !is_done => Some((asker, how.to_string())),
            Some(asker) => {
                self.tell(asker, before, if is_done { Ok(how) } else { Err(how.into()) });
                None
            }
            None => None,
        };
        self.follow();
        let left = self.process_guard.over().and_then(|left| Some((left, self.workers.get(&left)?.pid)));
        match (left, untold) {
            (Some((left, pid)), untold) => {
                send_signal(pid, signal_hook::consts::SIGKILL);
                self.untold.extend(untold.map(|(asker, how)| (left, asker, how)));
            }
            (None, Some((asker, how))) => self.tell(asker, None, Err(how)),
            (None, None) => {}
        }
    }

    /// Tells whoever asked what came of it. `before` is what ran until then.
    fn tell(&mut self, asker: Asker, before: Option<ChildIdentity>, how: Result<&str, String>) {
        match (asker, how) {
            (Asker::Plain(mut stream), Ok(how)) => {
                // Who asks for a program by hand wants it for good.
                self.rollout_agent.confirm();
                let _ = writeln!(stream, "{how}");
            }
            (Asker::Plain(mut stream), Err(why)) => drop(writeln!(stream, "{why}")),
            (Asker::Conductor(mut stream, accepted), how) => {
                let outcome = how.map_or_else(Outcome::Failed, |_| Outcome::Done);
                rollout_agent::send_reply(
                    &mut stream,
                    self.rollout_agent.command_finished(accepted, before, outcome),
                );
            }
            (Asker::Trial, Ok(_)) => self.rollout_agent.revert_succeeded(),
            (Asker::Trial, Err(_)) => self.rollout_agent.revert_failed(),
        }
    }

    /// A trial may be over.
    fn look_at_trial(&mut self) {
        let Some(revert) = self.rollout_agent.due_revert() else { return };
        let from = self.process_guard.giver().filter(|_| self.anew.is_none());
        let begun = match (from, revert) {
            (Some(from), DueRevert::Restart(spec)) => self.begin_anew(from, spec, Asker::Trial),
            (Some(from), DueRevert::HandOver(spec)) => self.begin(from, &spec, Asker::Trial),
            (None, _) => Err(std::io::ErrorKind::ResourceBusy.into()),
        };
        if begun.is_err() {
            self.rollout_agent.revert_failed();
        }
    }

    /// From here on the one that acts is told of, on top of what the one before has counted.
    fn follow(&mut self) {
        let Some(acting) = self.process_guard.acting().filter(|acting| *acting != self.told_of) else {
            return;
        };
        if let Some(before) = self.workers.get(&self.told_of) {
            self.rollout_agent.child_replaced(&before.serving);
        }
        self.told_of = acting;
    }

    fn ended(&mut self, number: u64, status: Option<ExitStatus>) {
        self.workers.remove(&number);
        while let Some(at) = self.untold.iter().position(|(left, ..)| *left == number) {
            let (_, asker, how) = self.untold.swap_remove(at);
            self.tell(asker, None, Err(how));
        }
        // The node's end is that of the one that acted: one that has handed over ends well beside it.
        let acted = self.process_guard.ended(number);
        if acted || self.last_status.is_none() {
            self.last_status = status;
        }
        if acted {
            if let Some(anew) = self.anew.take() {
                return self.go_on_anew(anew);
            }
        }
        // That the new one has ended the one that serves hears by itself.
        if self.process_guard.is_giver(number) {
            self.over("the running program ended in the middle; the new one takes over");
        }
    }

    /// Somebody is at the control socket.
    fn asked(&mut self, mut stream: UnixStream) {
        if !is_owner(&stream) {
            let _ = writeln!(stream, "refused: another user");
            return;
        }
        let _ = stream.set_read_timeout(Some(ASKING));
        let mut line = String::new();
        let Ok(reads) = stream.try_clone() else { return };
        let mut reads = BufReader::new(std::io::Read::take(reads, 4096));
        if reads.read_line(&mut line).is_err() {
            let _ = writeln!(stream, "refused: nothing was asked for");
            return;
        }
        if line.trim_end() == rollout_agent::REQUEST_LINE {
            return self.conducted(stream, &mut reads);
        }
        let Some(program) = line.strip_prefix("upgrade ").map(str::trim_end) else {
            let _ = writeln!(stream, "refused: write upgrade PROGRAM");
            return;
        };
        let Some(from) = self.process_guard.giver().filter(|_| self.anew.is_none()) else {
            let _ = writeln!(stream, "refused: another upgrade is under way");
            return;
        };
        let operators = self.workers.get(&from).and_then(|worker| worker.serving.spec.operators.clone());
        let image = ChildSpec { program: program.into(), operators };
        let asker = stream.try_clone().map(Asker::Plain);
        if let Err(why) = asker.and_then(|asker| self.begin(from, &image, asker)) {
            let _ = writeln!(stream, "refused: {program}: {why}");
        }
    }

    /// Somebody conducts a change.
    fn conducted(&mut self, mut stream: UnixStream, reads: &mut impl std::io::Read) {
        let Ok(request) = messages::read_message::<Request>(reads) else { return };
        if !self.workers.contains_key(&self.told_of) {
            self.follow();
        }
        let serving = self.workers.get(&self.told_of).map(|worker| &worker.serving);
        let from = self.process_guard.giver().filter(|_| self.anew.is_none());
        match self.rollout_agent.handle_request(&request, serving, from.is_none()) {
            AgentAction::Reply(said) => rollout_agent::send_reply(&mut stream, said),
            AgentAction::ReplaceChild(image, accepted) => {
                let begun = match (from, stream.try_clone()) {
                    (Some(from), Ok(asker)) if accepted.restart => {
                        self.begin_anew(from, image.clone(), Asker::Conductor(asker, accepted))
                    }
                    (Some(from), Ok(asker)) => self.begin(from, &image, Asker::Conductor(asker, accepted)),
                    _ => Err(std::io::ErrorKind::ResourceBusy.into()),
                };
                if let Err(why) = begun {
                    let why = format!("{}: {why}", image.program.display());
                    rollout_agent::send_reply(
                        &mut stream,
                        self.rollout_agent.command_finished(accepted, None, Outcome::Failed(why)),
                    );
                }
            }
        }
    }

    fn begin(&mut self, from: u64, image: &ChildSpec, asker: Asker) -> std::io::Result<()> {
        let (gives, takes) = UnixStream::pair()?;
        let to = self.start(image, Some(&takes))?;
        // Only the two of them hold an end from here on: so the end of either is heard by the other.
        drop(takes);
        self.process_guard.begin(from, to);
        self.asker = Some(asker);
        let running = self.workers.get(&from).ok_or(std::io::ErrorKind::NotFound)?;
        send_line(&running.line, "give", Some(gives.as_fd()))
    }

    /// The program that serves leaves, as after any notice to; the next one begins once it has ended.
    fn begin_anew(&mut self, from: u64, image: ChildSpec, asker: Asker) -> std::io::Result<()> {
        let running = self.workers.get(&from).ok_or(std::io::ErrorKind::NotFound)?;
        send_signal(running.pid, SIGTERM);
        self.anew = Some(Anew { image, before: running.known(), asker });
        // Guards against one that hears no signal either.
        let (overdue, leaving) = (self.to_self.clone(), self.leaving);
        std::thread::spawn(move || {
            std::thread::sleep(leaving);
            let _ = overdue.send(Event::Overdue(from));
        });
        Ok(())
    }

    /// What was served has ended.
    fn go_on_anew(&mut self, Anew { image, before, asker }: Anew) {
        let how = match self.start(&image, None) {
            Ok(number) => {
                self.process_guard.first(number);
                self.follow();
                Ok("begun anew")
            }
            Err(why) => Err(format!("{}: {why}", image.program.display())),
        };
        self.tell(asker, Some(before), how);
    }
}

impl Worker {
    /// What it runs, and the print of its program.
    fn known(&self) -> ChildIdentity {
        self.serving.identity()
    }
}

fn wait(mut child: Child, said: JoinHandle<()>, number: u64, on_end: &Sender<Event>) {
    let status = child.wait().ok();
    // Guards against an end that is heard before the last words: a program that has handed over would seem to have ended
    // in the middle of it.
    let _ = said.join();
    let _ = on_end.send(Event::Ended(number, status));
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
pub fn ask(control: &Path, program: &Path) -> Result<String, String> {
    let fault = |err: std::io::Error| format!("{}: {err}", control.display());
    let program = std::fs::canonicalize(program).map_err(|err| format!("{}: {err}", program.display()))?;
    let mut stream = UnixStream::connect(control).map_err(fault)?;
    stream.set_read_timeout(Some(OUTCOME)).map_err(fault)?;
    writeln!(stream, "upgrade {}", program.display()).map_err(fault)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(fault)?;
    match line.trim_end() {
        "" => Err("the supervisor ended without a word".into()),
        "handed over" => Ok("handed over".into()),
        other => Err(other.into()),
    }
}
