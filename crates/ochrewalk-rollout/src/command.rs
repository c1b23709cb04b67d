//! Commands to nodes, and what comes back on them.

use crate::fence::{FencingToken, Outcome};
use crate::version::Version;

/// How a node comes to run what it is told to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeMethod {
    /// The running process hands over to one of the wanted version, which stays only for as long as the node hears of its
    /// controller, or until the change is confirmed.
    CommitConfirmed,
    /// The running process hands over for good; where it is of the wanted version already, that is confirmed.
    HandOver,
    /// The running process drains and ends, or is killed where it does not, and one of the wanted version is started.
    Restart,
}

/// Tells one node which version to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Command {
    /// Its place among all commands of all controllers.
    pub token: FencingToken,
    /// The version to run.
    pub version: Version,
    /// How the node comes to run it.
    pub method: ChangeMethod,
}

/// What came back on a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CommandReply {
    /// The node has carried it out, or could not.
    Finished(Outcome),
    /// The node knows this higher token, of another controller.
    Stale(FencingToken),
    /// No reply in time: the command may have been carried out, or may be later.
    NoReply,
}
