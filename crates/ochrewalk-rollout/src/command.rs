//! Commands to nodes, and the replies to them.

use crate::fence::{FencingToken, Outcome};
use crate::version::Version;

/// The method by which a node changes to the commanded version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeMethod {
    /// The running process hands over to one of the commanded version. The change is reverted unless the node
    /// keeps receiving requests from its controller, until it is confirmed.
    CommitConfirmed,
    /// The running process hands over permanently. If it has the commanded version already, the change is
    /// confirmed.
    HandOver,
    /// The running process drains and exits, or is killed if it does not, and one of the commanded version is
    /// started.
    Restart,
}

/// A command to one node to run a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Command {
    /// The fencing token, which gives the position of the command among those of all controllers.
    pub token: FencingToken,
    /// The version to run.
    pub version: Version,
    /// The method by which the node changes to the version.
    pub method: ChangeMethod,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommandReply {
    /// The node has executed the command, or has failed to.
    Finished(Outcome),
    /// The node has seen this higher token, which another controller issued.
    Stale(FencingToken),
    /// No reply arrived in time: the command may have been executed, or may still be.
    NoReply,
}
