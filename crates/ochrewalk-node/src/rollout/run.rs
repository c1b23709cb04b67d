//! Runs a rollout to its end, or until it waits for an operator.

use super::actions::{Event, Surroundings};
use super::error::RolloutError;
use super::fingerprints::PlanFingerprints;
use super::log::{LogEntry, RolloutLog, VersionCounts};
use super::operator_socket::{listen, ControllerCommand};
use super::plan::{analysis_settings, log_path, operator_socket_path, policy, stage_plan};
use super::polling::{poll_all, report, Polled};
use super::readiness::check;
use super::record_file::RecordFile;
use super::sampling::{method_names, Sampler};
use ochrewalk_operator_config::RolloutPlan;
use ochrewalk_rollout::{
    CanaryAnalysis, CommandReply, ControllerNumber, FencingToken, Outcome, Phase, RolloutController,
    RolloutRecord, Verdict, Version, WaitReason,
};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Samples that are taken before the first node is changed, so that the analysis knows what each node usually does.
const SAMPLES_BEFORE: u32 = 8;

/// How a run of the controller ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEnd {
    /// All nodes are changed.
    Done,
    /// All nodes are reverted; why, in plain words.
    RolledBack(String),
    /// An operator has to decide.
    Waiting(WaitReason),
    /// Another controller has taken over.
    Replaced,
}

/// What the operator wants of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// To begin the rollout, or go on with it.
    Run,
    /// To go on, and to let the stage that is analysed pass.
    PassStage,
    /// To revert all changed nodes.
    RollBack,
}

/// Runs a rollout to its end, or until it waits for an operator.
///
/// # Errors
/// The plan's files cannot be used, nodes are not ready, another controller runs, or the record cannot be written.
pub fn run(plan: &RolloutPlan, mode: StartMode) -> Result<RolloutEnd, RolloutError> {
    let fingerprints = PlanFingerprints::of(plan)?;
    let record_file = RecordFile::lock(plan)?;
    let record = record_file.load()?;
    if record.is_none() {
        check(plan)?;
    }
    let stage_plan = stage_plan(plan)?;
    let log = RolloutLog::open(&log_path(plan))?;
    let (sender, events) = channel();
    let to_run = sender.clone();
    listen(&operator_socket_path(plan), move |command, stream| {
        let _ = to_run.send(Event::OperatorAsked { command, stream });
    })?;
    let mut surroundings = Surroundings {
        plan,
        fingerprints,
        record_file: &record_file,
        events: sender,
        log,
        analysis_to_begin: None,
        persist_error: None,
    };
    let number = controller_number(record.as_ref());
    surroundings.log.append(LogEntry::Begun { controller: number });
    let controller = RolloutController::new(stage_plan, policy(plan), record, number);
    let mut run = Run::new(plan, controller, surroundings, mode);
    let end = run.drive(&events);
    // While the record is locked: from then on the socket may be another controller's.
    let _ = std::fs::remove_file(operator_socket_path(plan));
    let end = end?;
    run.surroundings.log.append(LogEntry::Ended(&end));
    Ok(end)
}

/// A number above any that an earlier controller has had, whatever became of the clock, and that no other takes that begins at
/// the same time.
fn controller_number(record: Option<&RolloutRecord>) -> ControllerNumber {
    let now_us = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
    let above_the_record = record.map_or(ControllerNumber::default(), |record| record.controller).next();
    above_the_record.max(ControllerNumber(now_us))
}

/// When something last changed, by a text of all that counts.
struct Progress {
    last_state: String,
    since: Instant,
}

/// A run of the controller.
struct Run<'a> {
    plan: &'a RolloutPlan,
    controller: RolloutController,
    surroundings: Surroundings<'a>,
    /// What the operator wants, until it is done.
    mode: StartMode,
    sampler: Sampler,
    /// Created with the methods of the first sample.
    analysis: Option<CanaryAnalysis>,
    progress: Progress,
}

impl<'a> Run<'a> {
    fn new(
        plan: &'a RolloutPlan,
        controller: RolloutController,
        surroundings: Surroundings<'a>,
        mode: StartMode,
    ) -> Run<'a> {
        Run {
            plan,
            controller,
            surroundings,
            mode,
            sampler: Sampler::new(plan),
            analysis: None,
            progress: Progress { last_state: String::new(), since: Instant::now() },
        }
    }

    fn drive(&mut self, events: &Receiver<Event>) -> Result<RolloutEnd, RolloutError> {
        if self.controller.record().changed_nodes.is_empty() {
            self.observe_before_the_first_change();
        }
        loop {
            let next_poll = Instant::now() + self.sample_interval();
            self.poll_and_analyze();
            self.look_for_progress();
            self.take_events(events, next_poll)?;
            if let Some(error) = self.surroundings.persist_error.take() {
                return Err(RolloutError::NotPersisted(Box::new(error)));
            }
            if let Some(end) = self.end() {
                return Ok(end);
            }
        }
    }

    fn sample_interval(&self) -> Duration {
        Duration::from_micros(self.plan.sample_interval_us)
    }

    fn observe_before_the_first_change(&mut self) {
        for _ in 0..SAMPLES_BEFORE {
            let polled = poll_all(self.plan, self.controller.record().controller);
            let methods = method_names(&polled);
            let sample = self.sampler.sample(&self.controller.node_states(), &polled, &methods);
            self.analysis_of(&methods).add_sample(&sample);
            std::thread::sleep(self.sample_interval());
        }
    }

    fn analysis_of(&mut self, methods: &[String]) -> &mut CanaryAnalysis {
        let settings = analysis_settings(self.plan);
        self.analysis.get_or_insert_with(|| CanaryAnalysis::new(settings, methods.to_vec()))
    }

    fn poll_and_analyze(&mut self) {
        let polled = poll_all(self.plan, self.controller.record().controller);
        for (node, status) in polled.iter().enumerate() {
            let report =
                status.as_ref().ok().and_then(|status| report(node, status, &self.surroundings.fingerprints));
            self.controller.node_reported(node, report.as_ref(), &mut self.surroundings);
        }
        if self.mode == StartMode::RollBack && self.controller.phase() != &Phase::Polling {
            self.mode = StartMode::Run;
            self.controller.roll_back(&mut self.surroundings);
        }
        if let Some(stage) = self.surroundings.analysis_to_begin.take() {
            self.surroundings.log.append(LogEntry::AnalysisBegun { stage });
            self.analysis.iter_mut().for_each(CanaryAnalysis::begin_stage);
        }
        if self.mode == StartMode::PassStage && matches!(self.controller.phase(), Phase::Analyzing { .. }) {
            self.mode = StartMode::Run;
            self.controller.analysis_concluded(Verdict::Pass, &mut self.surroundings);
        }
        self.analyze(&polled);
    }

    fn analyze(&mut self, polled: &[Polled]) {
        let methods = method_names(polled);
        self.analysis_of(&methods);
        let sample = self.sampler.sample(&self.controller.node_states(), polled, &methods);
        let is_analyzed = matches!(
            self.controller.phase(),
            Phase::Advancing { .. } | Phase::Analyzing { .. } | Phase::Confirming
        );
        if !is_analyzed || sample.changed == 0 {
            return;
        }
        let nodes = self.plan.nodes.len();
        self.surroundings.log.append(LogEntry::Sampled { sample: &sample, methods: &methods, nodes });
        let verdict = self.analysis_of(&methods).add_sample(&sample);
        if verdict != Verdict::Pending {
            self.surroundings.log.append(LogEntry::Concluded(&verdict));
        }
        self.controller.analysis_concluded(verdict, &mut self.surroundings);
    }

    /// Logs what has changed. Where nothing has for too long, and no command is pending, the rollout waits for an operator.
    fn look_for_progress(&mut self) {
        let state = format!("{:?} {:?}", self.controller.phase(), self.controller.node_states());
        if state != self.progress.last_state {
            let phase = self.controller.phase();
            let versions = version_counts(&self.controller);
            self.surroundings.log.append(LogEntry::Moved { phase, versions });
            self.progress = Progress { last_state: state, since: Instant::now() };
        }
        let unchanged_us = self.progress.since.elapsed().as_micros() as u64;
        let is_waiting = self.controller.pending_commands().next().is_none();
        if unchanged_us > self.plan.recovery_timeout_us && is_waiting {
            self.controller.no_progress();
        }
    }

    /// Takes events until it is time for the next poll, or the rollout has stopped.
    fn take_events(&mut self, events: &Receiver<Event>, until: Instant) -> Result<(), RolloutError> {
        while !self.controller.has_stopped() {
            match events.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(Event::CommandAnswered { node, token, reply }) => {
                    self.command_answered(node, token, reply);
                }
                Ok(Event::OperatorAsked { command, stream }) => self.operator_asked(command, stream),
                Err(RecvTimeoutError::Timeout) => return Ok(()),
                Err(RecvTimeoutError::Disconnected) => return Err(RolloutError::ChannelClosed),
            }
        }
        Ok(())
    }

    fn command_answered(&mut self, node: usize, token: FencingToken, reply: CommandReply) {
        let name = &self.plan.nodes[node].name;
        self.surroundings.log.append(LogEntry::CommandAnswered { node: name, reply: &reply });
        if reply == CommandReply::Finished(Outcome::Done) {
            self.sampler.node_changed(node);
        }
        self.controller.command_answered(node, token, reply, &mut self.surroundings);
    }

    fn operator_asked(&mut self, command: ControllerCommand, mut stream: UnixStream) {
        match command {
            ControllerCommand::Status => {}
            ControllerCommand::Pause => self.controller.pause(),
            ControllerCommand::RollBack => self.controller.roll_back(&mut self.surroundings),
        }
        let VersionCounts { old, new, unknown } = version_counts(&self.controller);
        let phase = self.controller.phase();
        let _ = writeln!(stream, "{phase}, {old} old, {new} new, {unknown} unknown");
    }

    fn end(&self) -> Option<RolloutEnd> {
        match self.controller.phase() {
            Phase::Done => Some(RolloutEnd::Done),
            Phase::RolledBack { reason } => Some(RolloutEnd::RolledBack(reason.clone())),
            Phase::Replaced => Some(RolloutEnd::Replaced),
            Phase::Waiting(reason) => Some(RolloutEnd::Waiting(reason.clone())),
            _ => None,
        }
    }
}

fn version_counts(controller: &RolloutController) -> VersionCounts {
    let states = controller.node_states();
    let count = |version| states.iter().filter(|state| state.version == version).count();
    VersionCounts { old: count(Some(Version::Old)), new: count(Some(Version::New)), unknown: count(None) }
}
