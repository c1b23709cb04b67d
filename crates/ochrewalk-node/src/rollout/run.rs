//! Runs a rollout to its end, or until it waits for an operator.

use super::actions::{Event, ProcessActions};
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

/// The number of samples taken before the first node is changed, as the analysis compares each node with its own baseline.
const BASELINE_SAMPLES: u32 = 8;

/// The outcome of a run of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEnd {
    /// All nodes are changed.
    Done,
    /// All nodes are reverted, for this reason.
    RolledBack(String),
    /// The rollout waits for a decision of an operator.
    Waiting(WaitReason),
    /// Another controller has taken over.
    Replaced,
}

/// The operator's command at the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// Begin the rollout, or continue it.
    Run,
    /// Continue, and let the stage under analysis pass.
    PassStage,
    /// Revert all changed nodes.
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
    let operator_events = sender.clone();
    listen(&operator_socket_path(plan), move |command, stream| {
        let _ = operator_events.send(Event::OperatorCommand { command, stream });
    })?;
    let mut actions = ProcessActions {
        plan,
        fingerprints,
        record_file: &record_file,
        events: sender,
        log,
        analysis_to_begin: None,
        persist_error: None,
    };
    let number = controller_number(record.as_ref());
    actions.log.append(LogEntry::Begun { controller: number });
    let controller = RolloutController::new(stage_plan, policy(plan), record, number);
    let mut run = Run::new(plan, controller, actions, mode);
    let end = run.drive(&events);
    // The socket is removed while the record is locked, as it may belong to another controller afterwards.
    let _ = std::fs::remove_file(operator_socket_path(plan));
    let end = end?;
    run.actions.log.append(LogEntry::Ended(&end));
    Ok(end)
}

/// Returns a number above that of every earlier controller, even if the clock was set back, and different from that of a
/// controller that begins at the same time.
fn controller_number(record: Option<&RolloutRecord>) -> ControllerNumber {
    let now_us = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64);
    let above_the_record = record.map_or(ControllerNumber::default(), |record| record.controller).next();
    above_the_record.max(ControllerNumber(now_us))
}

/// The time of the last change, with a text of the complete state for comparison.
struct Progress {
    last_state: String,
    since: Instant,
}

/// A run of the controller.
struct Run<'a> {
    plan: &'a RolloutPlan,
    controller: RolloutController,
    actions: ProcessActions<'a>,
    /// The operator's command, until it is carried out.
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
        actions: ProcessActions<'a>,
        mode: StartMode,
    ) -> Run<'a> {
        Run {
            plan,
            controller,
            actions,
            mode,
            sampler: Sampler::new(plan),
            analysis: None,
            progress: Progress { last_state: String::new(), since: Instant::now() },
        }
    }

    fn drive(&mut self, events: &Receiver<Event>) -> Result<RolloutEnd, RolloutError> {
        if self.controller.record().changed_nodes.is_empty() {
            self.collect_baseline();
        }
        loop {
            let next_poll = Instant::now() + self.sample_interval();
            self.poll_and_analyze();
            self.check_progress();
            self.handle_events(events, next_poll)?;
            if let Some(error) = self.actions.persist_error.take() {
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

    /// Takes samples of the unchanged nodes as the baseline of the analysis.
    fn collect_baseline(&mut self) {
        for _ in 0..BASELINE_SAMPLES {
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
                status.as_ref().ok().and_then(|status| report(node, status, &self.actions.fingerprints));
            self.controller.node_reported(node, report.as_ref(), &mut self.actions);
        }
        if self.mode == StartMode::RollBack && self.controller.phase() != &Phase::Polling {
            self.mode = StartMode::Run;
            self.controller.roll_back(&mut self.actions);
        }
        if let Some(stage) = self.actions.analysis_to_begin.take() {
            self.actions.log.append(LogEntry::AnalysisBegun { stage });
            self.analysis.iter_mut().for_each(CanaryAnalysis::begin_stage);
        }
        if self.mode == StartMode::PassStage && matches!(self.controller.phase(), Phase::Analyzing { .. }) {
            self.mode = StartMode::Run;
            self.controller.analysis_concluded(Verdict::Pass, &mut self.actions);
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
        self.actions.log.append(LogEntry::Sampled { sample: &sample, methods: &methods, nodes });
        let verdict = self.analysis_of(&methods).add_sample(&sample);
        if verdict != Verdict::Pending {
            self.actions.log.append(LogEntry::Concluded(&verdict));
        }
        self.controller.analysis_concluded(verdict, &mut self.actions);
    }

    /// Logs a change of the state. Where the state has not changed for too long, and no command is pending, the rollout waits
    /// for an operator.
    fn check_progress(&mut self) {
        let state = format!("{:?} {:?}", self.controller.phase(), self.controller.node_states());
        if state != self.progress.last_state {
            let phase = self.controller.phase();
            let versions = version_counts(&self.controller);
            self.actions.log.append(LogEntry::StateChanged { phase, versions });
            self.progress = Progress { last_state: state, since: Instant::now() };
        }
        let unchanged_us = self.progress.since.elapsed().as_micros() as u64;
        let is_waiting = self.controller.pending_commands().next().is_none();
        if unchanged_us > self.plan.recovery_timeout_us && is_waiting {
            self.controller.no_progress();
        }
    }

    /// Handles events until it is time for the next poll, or the rollout has stopped.
    fn handle_events(&mut self, events: &Receiver<Event>, until: Instant) -> Result<(), RolloutError> {
        while !self.controller.has_stopped() {
            match events.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(Event::CommandAnswered { node, token, reply }) => {
                    self.command_answered(node, token, reply);
                }
                Ok(Event::OperatorCommand { command, stream }) => {
                    self.handle_operator_command(command, stream)
                }
                Err(RecvTimeoutError::Timeout) => return Ok(()),
                Err(RecvTimeoutError::Disconnected) => return Err(RolloutError::ChannelClosed),
            }
        }
        Ok(())
    }

    fn command_answered(&mut self, node: usize, token: FencingToken, reply: CommandReply) {
        let name = &self.plan.nodes[node].name;
        self.actions.log.append(LogEntry::CommandAnswered { node: name, reply: &reply });
        if reply == CommandReply::Finished(Outcome::Done) {
            self.sampler.node_changed(node);
        }
        self.controller.command_answered(node, token, reply, &mut self.actions);
    }

    fn handle_operator_command(&mut self, command: ControllerCommand, mut stream: UnixStream) {
        match command {
            ControllerCommand::Status => {}
            ControllerCommand::Pause => self.controller.pause(),
            ControllerCommand::RollBack => self.controller.roll_back(&mut self.actions),
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
