//! A supervisor's side of a rolling change: how its node stands, and the orders that it takes.

use super::counter_report::{CounterReport, CountersByMethod, ReportedCounters};
use ochrewalk_rollout::framing::{read_message, write_message, FramingError};
use ochrewalk_rollout::messages::{
    CommandMessage, NodeStatus, Reply, Request, Response, ServingCounters, Target, PROTOCOL_VERSION,
};
use ochrewalk_rollout::{Admission, CommitConfirm, Fence, FencingToken, Outcome, RevertAction};
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// What begins a message of this kind on the control socket.
pub const REQUEST_LINE: &str = "rollout";
/// A program that has told nothing for so long is not well.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// A print of a file: its length, and a sum of what it holds.
pub fn fingerprint_of_file(file: &Path) -> std::io::Result<u64> {
    let mut file = std::fs::File::open(file)?;
    let (mut sum, mut length, mut chunk) = (crc32fast::Hasher::new(), 0u64, vec![0; 1 << 20]);
    loop {
        match file.read(&mut chunk)? {
            0 => return Ok(length << 32 | u64::from(sum.finalize())),
            got => {
                sum.update(&chunk[..got]);
                length += got as u64;
            }
        }
    }
}

/// What a node runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildSpec {
    pub program: PathBuf,
    /// The operators' file that it goes by, where that is not the one that the node was started with.
    pub operators: Option<PathBuf>,
}

/// What a program that serves is known by, and what it told last.
pub struct ServingChild {
    pub spec: ChildSpec,
    pub fingerprint: u64,
    reported: Option<(Instant, ReportedCounters)>,
}

impl ServingChild {
    /// Of the running process itself, as its file may be another by now.
    pub fn of(spec: ChildSpec, pid: u32) -> ServingChild {
        let fingerprint = fingerprint_of_file(Path::new(&format!("/proc/{pid}/exe"))).unwrap_or(0);
        ServingChild { spec, fingerprint, reported: None }
    }

    /// What it runs, and the fingerprint of its program.
    pub fn identity(&self) -> ChildIdentity {
        ChildIdentity { spec: self.spec.clone(), fingerprint: self.fingerprint }
    }

    /// Takes what the program reports.
    pub fn take(&mut self, report: CounterReport) {
        let (at, reported) =
            self.reported.get_or_insert_with(|| (Instant::now(), ReportedCounters::default()));
        *at = Instant::now();
        reported.take(report);
    }

    fn is_healthy(&self) -> bool {
        self.reported
            .as_ref()
            .is_some_and(|(at, reported)| at.elapsed() < MAX_REPORT_AGE && reported.latest.is_healthy)
    }

    /// Whether it runs that, whatever else it goes by.
    fn runs(&self, target: &Target) -> bool {
        let settings = self.reported.as_ref().map_or(0, |(_, reported)| reported.latest.settings_fingerprint);
        target.fingerprint == if target.is_settings { settings } else { self.fingerprint }
    }
}

/// What a child runs, and the fingerprint of its program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildIdentity {
    pub spec: ChildSpec,
    pub fingerprint: u64,
}

/// What has to run again, as a change was not confirmed in time, and how it comes to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DueRevert {
    HandOver(ChildSpec),
    Restart(ChildSpec),
}

/// What the supervisor remembers of changes.
pub struct RolloutAgent {
    fence: Fence,
    commit_confirm: CommitConfirm,
    /// What ran before the trial began, and its program's print.
    revert_to: Option<ChildIdentity>,
    started_at: Instant,
    incarnation: u64,
    /// Counts of programs that served before the one that does.
    previous_counters: CountersByMethod,
}

/// What is to be done with a request.
pub enum AgentAction {
    /// Nothing more: this is the answer.
    Reply(Reply),
    /// That takes over; the answer follows.
    ReplaceChild(ChildSpec, AcceptedCommand),
}

/// An order that is being carried out.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedCommand {
    token: FencingToken,
    lease_us: u64,
    pub restart: bool,
}

impl Default for RolloutAgent {
    fn default() -> RolloutAgent {
        RolloutAgent {
            fence: Fence::default(),
            commit_confirm: CommitConfirm::default(),
            revert_to: None,
            started_at: Instant::now(),
            incarnation: fastrand::u64(1..),
            previous_counters: CountersByMethod::default(),
        }
    }
}

impl RolloutAgent {
    fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// One message of an owner's: what to do. While something is changing no order is begun.
    pub fn handle_request(
        &mut self,
        request: &Request,
        serving: Option<&ServingChild>,
        is_busy: bool,
    ) -> AgentAction {
        if request.protocol_version != PROTOCOL_VERSION {
            return AgentAction::Reply(Reply::Rejected(format!(
                "messages of version {PROTOCOL_VERSION} are known here"
            )));
        }
        self.fence.observe_controller(request.controller);
        self.commit_confirm.renew(self.now_us(), request.controller, self.fence.highest().controller);
        match (&request.command, serving) {
            (None, Some(serving)) => AgentAction::Reply(Reply::Status(self.status(serving, is_busy))),
            (None, None) => AgentAction::Reply(Reply::Rejected("no program serves".into())),
            (Some(command), serving) => self.handle_command(command, serving, is_busy),
        }
    }

    fn handle_command(
        &mut self,
        command: &CommandMessage,
        serving: Option<&ServingChild>,
        is_busy: bool,
    ) -> AgentAction {
        let token = command.token();
        if is_busy && token > self.fence.highest() {
            return AgentAction::Reply(Reply::Busy("another upgrade is under way".into()));
        }
        match self.fence.admit(token) {
            Admission::Stale(highest) => return AgentAction::Reply(Reply::Stale(highest.into())),
            Admission::Repeated(outcome) => return AgentAction::Reply(Reply::Finished(outcome.into())),
            Admission::InProgress => {
                return AgentAction::Reply(Reply::Busy("it is being carried out".into()))
            }
            Admission::Execute => {}
        }
        let accepted =
            AcceptedCommand { token, lease_us: command.lease_ms * 1_000, restart: command.restart };
        let (Some(target), Some(serving)) = (&command.target, serving) else {
            let why = "nothing is wanted, or no program serves";
            return AgentAction::Reply(self.command_finished(accepted, None, Outcome::Failed(why.into())));
        };
        // What runs already is there, for good or for the same trial.
        if serving.runs(target) {
            return AgentAction::Reply(self.command_finished(accepted, None, Outcome::Done));
        }
        let path = PathBuf::from(&target.path);
        let (spec, program) = if target.is_settings {
            let program = serving.spec.program.clone();
            (
                ChildSpec { program: program.clone(), operators: Some(path.clone()) },
                (program, serving.fingerprint),
            )
        } else {
            let operators = serving.spec.operators.clone();
            (ChildSpec { program: path.clone(), operators }, (path.clone(), target.fingerprint))
        };
        // Guards against files that were replaced since the plan was made, or since the program was started.
        let wrong = [(path, target.fingerprint), program]
            .into_iter()
            .find_map(|(path, fingerprint)| content_mismatch(&path, fingerprint));
        match wrong {
            Some(why) => AgentAction::Reply(self.command_finished(accepted, None, Outcome::Failed(why))),
            None => AgentAction::ReplaceChild(spec, accepted),
        }
    }

    /// An order has come to its end: the answer to it. `before` is what ran until then, where that has changed.
    pub fn command_finished(
        &mut self,
        accepted: AcceptedCommand,
        previous: Option<ChildIdentity>,
        outcome: Outcome,
    ) -> Reply {
        match (&outcome, accepted.lease_us) {
            (Outcome::Done, 0) => self.confirm(),
            // What has run before, for good, does not come on trial by being asked for again.
            (Outcome::Done, lease_us) if previous.is_some() || self.commit_confirm.is_pending() => {
                self.revert_to = self.revert_to.take().or(previous);
                self.commit_confirm.start(self.now_us(), lease_us);
            }
            _ => {}
        }
        self.fence.command_finished(accepted.token, outcome.clone());
        Reply::Finished(outcome.into())
    }

    /// What runs now stays.
    pub fn confirm(&mut self) {
        self.commit_confirm.confirm();
        self.revert_to = None;
    }

    /// What a trial that is over needs now, and what is to run again.
    pub fn due_revert(&mut self) -> Option<DueRevert> {
        let action = self.commit_confirm.next_action(self.now_us());
        let ChildIdentity { spec, fingerprint } = self.revert_to.as_ref()?;
        match action {
            RevertAction::None => None,
            RevertAction::HandOver => Some(DueRevert::HandOver(spec.clone())),
            // Guards the node: what is on trial still serves, and what ran before is not there any more.
            RevertAction::Restart if content_mismatch(&spec.program, *fingerprint).is_some() => {
                self.revert_failed();
                None
            }
            RevertAction::Restart => Some(DueRevert::Restart(spec.clone())),
        }
    }

    /// What was due is done: the node runs again what it ran before the change.
    pub fn revert_succeeded(&mut self) {
        self.commit_confirm.revert_succeeded();
        self.revert_to = None;
    }

    /// What was due failed, or could not be begun.
    pub fn revert_failed(&mut self) {
        self.commit_confirm.revert_failed(self.now_us());
    }

    /// For how long nothing is due.
    pub fn time_to_next_action(&self) -> Option<Duration> {
        self.commit_confirm.next_us().map(|us| Duration::from_micros(us.saturating_sub(self.now_us())))
    }

    /// A program that served is followed by another, whose counts begin at nothing.
    pub fn child_replaced(&mut self, serving: &ServingChild) {
        if let Some((_, reported)) = &serving.reported {
            self.previous_counters.add(&reported.methods);
        }
    }

    fn status(&self, serving: &ServingChild, is_busy: bool) -> NodeStatus {
        let tally = serving.reported.as_ref().map(|(_, reported)| {
            let mut methods = self.previous_counters.clone();
            methods.add(&reported.methods);
            ServingCounters { methods: methods.into_methods(), ..reported.latest.clone() }
        });
        NodeStatus {
            fingerprint: serving.fingerprint,
            path: serving.spec.program.display().to_string(),
            highest: Some(self.fence.highest().into()),
            is_healthy: serving.is_healthy() && !is_busy,
            incarnation: self.incarnation,
            counters: tally,
            is_unconfirmed: self.commit_confirm.is_pending(),
        }
    }
}

/// Why a file does not hold what it should, if so.
fn content_mismatch(path: &Path, fingerprint: u64) -> Option<String> {
    match fingerprint_of_file(path) {
        Err(err) => Some(format!("{}: {err}", path.display())),
        Ok(found) if found != fingerprint => Some(format!("{} is another file by now", path.display())),
        Ok(_) => None,
    }
}

pub fn send_reply(stream: &mut UnixStream, reply: Reply) {
    let _ = stream
        .write_all(&write_message(&Response { protocol_version: PROTOCOL_VERSION, reply: Some(reply) }));
}

/// Asks a node by its control socket, from the conductor's side.
pub fn send_request(control: &Path, request: &Request, timeout: Duration) -> Result<Response, FramingError> {
    let mut stream = UnixStream::connect(control)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(format!("{REQUEST_LINE}\n").as_bytes())?;
    stream.write_all(&write_message(request))?;
    read_message(&mut stream)
}
