//! The state that the controller tracks for one node.

use super::NodeReport;
use crate::command::{ChangeMethod, Command};
use crate::stage_plan::NodeState;
use crate::version::Version;

/// A node, and the command that it has not answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) state: NodeState,
    pub(super) command: Option<Command>,
    /// The number of times that the command was sent again.
    pub(super) retries: u8,
    /// Whether the node has reported or failed to answer a poll since this controller began.
    pub(super) is_polled: bool,
    /// Whether the node has confirmed that it runs its version permanently.
    pub(super) is_confirmed: bool,
}

impl Node {
    pub(super) fn new(change_number: u32) -> Node {
        let state = NodeState {
            version: None,
            is_healthy: false,
            responds: false,
            is_command_pending: false,
            change_number,
        };
        Node { state, command: None, retries: 0, is_polled: false, is_confirmed: false }
    }

    /// Handles the result of polling the node; `report` is `None` if the node did not answer. While a command
    /// is pending the reported version is ignored, because the report may be older than the command's effect.
    pub(super) fn reported(&mut self, report: Option<&NodeReport>) {
        self.is_polled = true;
        self.state.responds = report.is_some();
        self.state.is_healthy = report.is_some_and(|report| report.is_healthy);
        if let (Some(report), None) = (report, self.command) {
            self.state.version = Some(report.version);
        }
    }

    pub(super) fn command_sent(&mut self, command: Command, change_number: u32) {
        self.command = Some(command);
        self.retries = 0;
        self.state.is_command_pending = true;
        self.state.change_number = change_number;
    }

    pub(super) fn command_done(&mut self, command: Command) {
        self.command_ended();
        self.state.version = Some(command.version);
        self.is_confirmed = command.method != ChangeMethod::CommitConfirmed;
    }

    /// Records that the command has failed, so that the node is unchanged. The caller knows the version that
    /// it runs.
    pub(super) fn command_failed(&mut self) {
        self.command_ended();
    }

    /// Records that the command was given up. The version that the node runs is unknown, and the node counts
    /// as out of service until it reports.
    pub(super) fn command_unanswered(&mut self) {
        self.command_ended();
        self.state.version = None;
        self.state.is_healthy = false;
        self.state.responds = false;
    }

    fn command_ended(&mut self) {
        self.command = None;
        self.state.is_command_pending = false;
    }

    /// Whether the node runs that version and no command is pending that could change it.
    pub(super) fn is_settled_on(&self, version: Version) -> bool {
        self.state.version == Some(version) && !self.state.is_command_pending
    }

    /// Whether no command of an earlier controller can still be in progress on the node, because the node
    /// reports itself healthy, has confirmed its version, or was never changed.
    pub(super) fn is_version_certain(&self) -> bool {
        self.state.is_healthy || self.is_confirmed || self.state.change_number == 0
    }

    /// Whether the node is out of service and may run the new version.
    pub(super) fn is_unavailable_and_may_be_changed(&self) -> bool {
        let is_old = self.state.version == Some(Version::Old);
        let may_be_changed = !is_old || self.state.change_number > 0 && !self.is_confirmed;
        !self.state.is_healthy && may_be_changed
    }
}
