//! Carries out the controller's actions: persists the record, sends commands, and records that an analysis has to begin.

use super::command_sender::send_until_answered;
use super::error::RolloutError;
use super::fingerprints::PlanFingerprints;
use super::log::{LogEntry, RolloutLog};
use super::operator_socket::ControllerCommand;
use super::record_file::RecordFile;
use ochrewalk_operator_config::{RolloutPlan, Subject, Version as PlanVersion};
use ochrewalk_rollout::messages::{CommandMessage, Request, Target};
use ochrewalk_rollout::{Command, CommandReply, ControllerActions, FencingToken, RolloutRecord, Version};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::Sender;

/// An event that another thread reports to the run.
pub(super) enum Event {
    CommandAnswered { node: usize, token: FencingToken, reply: CommandReply },
    OperatorCommand { command: ControllerCommand, stream: UnixStream },
}

/// The controller's actions on files and nodes.
pub(super) struct ProcessActions<'a> {
    pub(super) plan: &'a RolloutPlan,
    pub(super) fingerprints: PlanFingerprints,
    pub(super) record_file: &'a RecordFile,
    pub(super) events: Sender<Event>,
    pub(super) log: RolloutLog,
    /// The stage whose analysis has to begin, if any.
    pub(super) analysis_to_begin: Option<usize>,
    /// The error of a write of the record; no command is sent after it.
    pub(super) persist_error: Option<RolloutError>,
}

impl ControllerActions for ProcessActions<'_> {
    fn persist(&mut self, record: &RolloutRecord) {
        if let Err(error) = self.record_file.save(record) {
            self.persist_error = Some(error);
        }
    }

    fn send_command(&mut self, node: usize, command: Command) {
        if self.persist_error.is_some() {
            return;
        }
        let Command { token, version, method } = command;
        let name = &self.plan.nodes[node].name;
        self.log.append(LogEntry::CommandSent { node: name, version, method });
        let lease_ms = self.plan.confirm_timeout_us / 1_000;
        let request = Request::command(CommandMessage::new(&command, self.target(node, version), lease_ms));
        let (control, events) = (self.plan.nodes[node].control.clone(), self.events.clone());
        std::thread::spawn(move || {
            let reply = send_until_answered(&control, &request);
            let _ = events.send(Event::CommandAnswered { node, token, reply });
        });
    }

    fn begin_analysis(&mut self, stage: usize) {
        self.analysis_to_begin = Some(stage);
    }
}

impl ProcessActions<'_> {
    /// Returns the file of a version on a node, with its expected fingerprint.
    fn target(&self, node: usize, version: Version) -> Target {
        let plan_version = match version {
            Version::Old => PlanVersion::Old,
            Version::New => PlanVersion::New,
        };
        Target {
            is_settings: self.plan.subject == Subject::Settings,
            path: self.plan.file(&self.plan.nodes[node], plan_version).display().to_string(),
            fingerprint: self.fingerprints.expected(node, version),
        }
    }
}
