//! The supervisor: the process that the platform started and watches, where the operators' file allows upgrades. The
//! supervisor starts the child that serves, starts a second child on request, forwards signals, and decides which of the
//! two may act. To keep the risk of failures low, the supervisor itself serves nothing.
//!
//! A single thread owns the complete state and handles one event after another; all other threads only wait and report.

mod children;
mod control_socket;
mod error;
mod hand_over;
mod requester;
mod restart;
mod rollout;
mod signals;

pub use control_socket::request_upgrade;
pub use error::{NotReplaceable, SupervisorError, UpgradeError};

use super::process_guard::{ChildId, ProcessAction, ProcessGuard};
use super::rollout_agent::RolloutAgent;
use super::serving_child::ChildSpec;
use super::supervisor_protocol::{ChildLine, Question, SupervisorLine};
use crate::signals::{NodeSignal, SignalReceiver};
use children::Children;
use control_socket::ControlRequest;
use error::RequestError;
use hand_over::FailedAttempt;
use requester::Requester;
use restart::PendingRestart;
use signal_hook::consts::{SIGINT, SIGTERM};
use signals::ChildSignal;
use std::os::unix::net::UnixStream;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::ExitStatus;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

/// An event that the supervisor's threads report.
enum Event {
    /// A child has written a line.
    ChildLine { child: ChildId, line: String },
    /// A child has ended, and all of its lines have been reported.
    ChildEnded { child: ChildId, status: Option<ExitStatus> },
    /// A client has sent a request to the control socket, or none that is valid.
    Request { stream: UnixStream, request: Result<ControlRequest, RequestError> },
    /// The platform or an operator has sent a signal.
    Signal(NodeSignal),
    /// The time limit for a child to drain has passed.
    DrainOverdue(ChildId),
}

struct Supervisor {
    children: Children,
    process_guard: ProcessGuard,
    /// The requester of the attempt under way.
    requester: Option<Requester>,
    /// Failed attempts that are reported to their requesters once the successor has ended.
    failed_attempts: Vec<FailedAttempt>,
    rollout_agent: RolloutAgent,
    pending_restart: Option<PendingRestart>,
    /// Whether the node has been notified to drain. No child is started any more.
    is_draining: bool,
    /// The time limit for a child to drain.
    drain_timeout: Duration,
    /// The child whose counters are reported. A successor's counters are reported only from the end of the attempt on, so
    /// that no call is counted twice.
    reported_child: ChildId,
    last_status: Option<ExitStatus>,
    events: Sender<Event>,
}

/// Starts the program of this process as a child, and supervises children until none is left. Returns the exit status of
/// the child that acted last. A child may take up to `drain_timeout` to drain. No child is started where a notice to drain
/// came first.
///
/// # Errors
///
/// No child was started, or the exit status of the last one is unknown.
pub fn run(
    control: &Path,
    drain_timeout: Duration,
    mut signals: SignalReceiver,
) -> Result<ExitStatus, SupervisorError> {
    if signals.pending_notice().is_some() {
        return Ok(ExitStatus::default());
    }
    let (sender, events) = channel();
    signals::report_signals(signals, sender.clone());
    control_socket::report_requests(control, sender.clone())?;
    let program = std::env::current_exe().map_err(SupervisorError::OwnProgram)?;
    let spec = ChildSpec { program, operators: None };
    let mut children = Children::new(sender.clone());
    let first = children
        .start(&spec, None)
        .map_err(|error| SupervisorError::Start { program: spec.program.clone(), error })?;
    let mut process_guard = ProcessGuard::default();
    process_guard.started_alone(first);
    let mut supervisor = Supervisor {
        children,
        process_guard,
        requester: None,
        failed_attempts: Vec::new(),
        rollout_agent: RolloutAgent::default(),
        pending_restart: None,
        is_draining: false,
        drain_timeout,
        reported_child: first,
        last_status: None,
        events: sender,
    };
    supervisor.handle_events(&events);
    let _ = std::fs::remove_file(control);
    supervisor.last_status.ok_or(SupervisorError::UnknownStatus)
}

impl Supervisor {
    /// Handles events until no child is left.
    fn handle_events(&mut self, events: &Receiver<Event>) {
        while !self.children.is_empty() {
            let event = match self.rollout_agent.time_to_next_action() {
                Some(timeout) => events.recv_timeout(timeout),
                None => events.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match event {
                Ok(event) => self.handle_event(event),
                Err(RecvTimeoutError::Timeout) => self.revert_if_due(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ChildLine { child, line } => self.handle_line(child, &line),
            Event::ChildEnded { child, status } => self.child_ended(child, status),
            Event::Request { stream, request } => self.handle_request(stream, request),
            Event::Signal(signal) => self.handle_signal(signal),
            Event::DrainOverdue(child) => self.children.signal(child, ChildSignal::Kill),
        }
    }

    fn handle_signal(&mut self, signal: NodeSignal) {
        if signal.is_to_drain() {
            self.is_draining = true;
            self.cancel_restart();
        }
        self.children.signal_all(signal.into());
    }

    fn handle_line(&mut self, child: ChildId, line: &str) {
        match ChildLine::of_line(line) {
            Some(ChildLine::Question(question)) => self.answer(child, question),
            Some(ChildLine::KillPeer) => {
                if let Some(peer) = self.process_guard.allow_kill(child) {
                    self.children.signal(peer, ChildSignal::Kill);
                }
            }
            Some(ChildLine::AttemptEnded(outcome)) => self.attempt_ended(outcome),
            Some(ChildLine::Counters(report)) => {
                if let Some(child) = self.children.get_mut(child) {
                    child.serving.take(report);
                }
            }
            None => {}
        }
    }

    fn answer(&mut self, child: ChildId, question: Question) {
        let action = match question {
            Question::MayPause => ProcessAction::Pause,
            Question::MayResume | Question::MayBegin => ProcessAction::Act,
        };
        let is_allowed = self.process_guard.allow(child, action);
        let answer = if is_allowed { SupervisorLine::Allowed } else { SupervisorLine::Denied };
        if let Some(child) = self.children.get(child) {
            let _ = child.send(answer, None);
        }
    }

    fn child_ended(&mut self, child: ChildId, status: Option<ExitStatus>) {
        self.children.remove(child);
        self.report_failed_attempts_of(child);
        // The node's exit status is that of the child that acted: a child that has handed over ends successfully while its
        // successor serves.
        let acted = self.process_guard.child_ended(child);
        if acted || self.last_status.is_none() {
            self.last_status = status.map(|status| self.status_in_drain(status));
        }
        if acted {
            if let Some(restart) = self.pending_restart.take() {
                return self.finish_restart(restart);
            }
        }
        self.predecessor_may_have_ended(child);
    }

    /// Returns the status of a child that has ended. In a drain it is success where the notice ended the child before it
    /// registered for signals: such a child has accepted nothing.
    fn status_in_drain(&self, status: ExitStatus) -> ExitStatus {
        let is_ended_by_notice = matches!(status.signal(), Some(SIGTERM | SIGINT));
        if self.is_draining && is_ended_by_notice {
            return ExitStatus::default();
        }
        status
    }
}
