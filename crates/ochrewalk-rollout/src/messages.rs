//! The messages between controllers and nodes, in protobuf. [`crate::framing`] writes them to a stream.
//!
//! A node rejects a request whose protocol version it does not know, and its response carries its own
//! version. Numbers and types of fields never change, because nodes and controllers of several versions
//! communicate during every rollout.

use crate::{CallCounts, ChangeMethod, Command, ControllerNumber, FencingToken, Outcome};
use prost::Oneof;

/// The protocol version of this program. Version 1 had neither commit-confirmed changes nor settings.
pub const PROTOCOL_VERSION: u32 = 2;

/// The reason that is sent for a failure without a reason.
const UNNAMED_FAILURE: &str = "for no reason that it names";

/// A request to a node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// The sender's protocol version.
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// The command to execute; `None` if only the status is requested.
    #[prost(message, optional, tag = "2")]
    pub command: Option<CommandMessage>,
    /// The number of the requesting controller. A request with it renews an unconfirmed change; 0 identifies
    /// an observer, whose requests do not.
    #[prost(uint64, tag = "3")]
    pub controller: u64,
}

impl Request {
    /// Creates a request for the node's status, sent by the controller with that number.
    pub fn status(controller: ControllerNumber) -> Request {
        Request { protocol_version: PROTOCOL_VERSION, command: None, controller: controller.0 }
    }

    /// Creates a request to execute a command.
    pub fn command(command: CommandMessage) -> Request {
        Request { protocol_version: PROTOCOL_VERSION, controller: command.controller, command: Some(command) }
    }
}

/// A [`Command`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandMessage {
    /// The controller's number: the first part of the fencing token.
    #[prost(uint64, tag = "1")]
    pub controller: u64,
    /// The command's number: the second part of the fencing token.
    #[prost(uint64, tag = "2")]
    pub command: u64,
    /// The version to run. A command without a target fails.
    #[prost(message, optional, tag = "3")]
    pub target: Option<Target>,
    /// The time in milliseconds for which the change stays after each request of the controller; 0 makes it
    /// permanent.
    #[prost(uint64, tag = "4")]
    pub lease_ms: u64,
    /// Whether the running process exits before the next one is started, instead of handing over to it.
    #[prost(bool, tag = "5")]
    pub restart: bool,
}

/// A program to run with the node's current settings, or a settings file for the program that is running.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Target {
    /// Whether the file holds settings; otherwise it is a program.
    #[prost(bool, tag = "1")]
    pub is_settings: bool,
    /// The path of the file on the node's machine.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The fingerprint that the file must have.
    #[prost(uint64, tag = "3")]
    pub fingerprint: u64,
}

/// A node's response to a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Response {
    /// The node's protocol version.
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// The reply; `None` if the node's protocol version has replies that this program does not know.
    #[prost(oneof = "Reply", tags = "2, 3, 4, 5, 6")]
    pub reply: Option<Reply>,
}

/// The body of a response.
#[derive(Clone, PartialEq, Oneof)]
pub enum Reply {
    /// The node's status.
    #[prost(message, tag = "2")]
    Status(NodeStatus),
    /// The command has been executed, or has failed.
    #[prost(message, tag = "3")]
    Finished(CommandOutcome),
    /// The node has seen this higher token.
    #[prost(message, tag = "4")]
    Stale(FencingTokenMessage),
    /// The request was not executed. Contains the reason, as text for operators.
    #[prost(string, tag = "5")]
    Rejected(String),
    /// Another change, or this command itself, is in progress, so the command has to be sent again later.
    /// Contains a description of the change, as text for operators.
    #[prost(string, tag = "6")]
    Busy(String),
}

/// A [`FencingToken`] on the wire.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FencingTokenMessage {
    /// The controller's number.
    #[prost(uint64, tag = "1")]
    pub controller: u64,
    /// The command's number.
    #[prost(uint64, tag = "2")]
    pub command: u64,
}

/// An [`Outcome`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandOutcome {
    /// The reason for which the command failed, as text for operators; empty if it succeeded.
    #[prost(string, tag = "1")]
    pub failure: String,
}

/// A node's reply to a status request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeStatus {
    /// The fingerprint of the program that is serving.
    #[prost(uint64, tag = "1")]
    pub fingerprint: u64,
    /// The path of the program that is serving.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The highest fencing token that the node has seen.
    #[prost(message, optional, tag = "3")]
    pub highest: Option<FencingTokenMessage>,
    /// Whether the node is serving and no hand-over is in progress.
    #[prost(bool, tag = "4")]
    pub is_healthy: bool,
    /// A number that changes with each start of the node's supervisor.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// The counters of the program that is serving; `None` if it has not reported yet.
    #[prost(message, optional, tag = "6")]
    pub counters: Option<ServingCounters>,
    /// Whether the node reverts its current version unless it keeps receiving requests from its controller.
    #[prost(bool, tag = "7")]
    pub is_unconfirmed: bool,
}

impl NodeStatus {
    /// Returns the fingerprint of the operators' file that the program uses; 0 if it has none or has not
    /// reported yet.
    pub fn settings_fingerprint(&self) -> u64 {
        self.counters.as_ref().map_or(0, |counters| counters.settings_fingerprint)
    }
}

/// The counters of the serving program since the node's start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServingCounters {
    /// Whether the program reports itself as healthy.
    #[prost(bool, tag = "1")]
    pub is_healthy: bool,
    /// The program's resident memory, in KB.
    #[prost(uint64, tag = "2")]
    pub memory_kb: u64,
    /// Counters by method.
    #[prost(message, repeated, tag = "3")]
    pub methods: Vec<MethodCounters>,
    /// The fingerprint of the operators' file that the program uses; 0 if it has none.
    #[prost(uint64, tag = "4")]
    pub settings_fingerprint: u64,
}

/// The counters of one method since the node's start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MethodCounters {
    /// The method's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Calls that were answered, whatever the answer.
    #[prost(uint64, tag = "2")]
    pub calls: u64,
    /// The number of those calls without a served answer within the latency target.
    #[prost(uint64, tag = "3")]
    pub missed: u64,
    /// The number of those calls without any served answer.
    #[prost(uint64, tag = "4")]
    pub failed: u64,
}

impl MethodCounters {
    /// Returns the counts since `earlier`, which is `None` if the method was not known then. A counter that
    /// has decreased was reset to 0 in between.
    pub fn since(&self, earlier: Option<&MethodCounters>) -> CallCounts {
        let none = MethodCounters::default();
        let earlier = earlier.unwrap_or(&none);
        CallCounts {
            calls: increase(self.calls, earlier.calls),
            missed: increase(self.missed, earlier.missed),
            failed: increase(self.failed, earlier.failed),
        }
    }
}

fn increase(now: u64, earlier: u64) -> u32 {
    let increase = now.checked_sub(earlier).unwrap_or(now);
    u32::try_from(increase).unwrap_or(u32::MAX)
}

impl From<FencingToken> for FencingTokenMessage {
    fn from(token: FencingToken) -> FencingTokenMessage {
        FencingTokenMessage { controller: token.controller.0, command: token.command }
    }
}

impl From<FencingTokenMessage> for FencingToken {
    fn from(message: FencingTokenMessage) -> FencingToken {
        FencingToken { controller: ControllerNumber(message.controller), command: message.command }
    }
}

impl CommandMessage {
    /// Creates the wire form of a command. `target` is the file of the command's version; `lease_ms` is the
    /// time in milliseconds for which a commit-confirmed change stays without a request of the controller.
    pub fn new(command: &Command, target: Target, lease_ms: u64) -> CommandMessage {
        CommandMessage {
            controller: command.token.controller.0,
            command: command.token.command,
            target: Some(target),
            lease_ms: if command.method == ChangeMethod::CommitConfirmed { lease_ms } else { 0 },
            restart: command.method == ChangeMethod::Restart,
        }
    }

    /// Returns the command's fencing token.
    pub fn token(&self) -> FencingToken {
        FencingToken { controller: ControllerNumber(self.controller), command: self.command }
    }
}

impl From<Outcome> for CommandOutcome {
    fn from(outcome: Outcome) -> CommandOutcome {
        let failure = match outcome {
            Outcome::Done => String::new(),
            // An empty reason means success on the wire.
            Outcome::Failed(reason) if reason.is_empty() => UNNAMED_FAILURE.into(),
            Outcome::Failed(reason) => reason,
        };
        CommandOutcome { failure }
    }
}

impl From<CommandOutcome> for Outcome {
    fn from(message: CommandOutcome) -> Outcome {
        if message.failure.is_empty() {
            Outcome::Done
        } else {
            Outcome::Failed(message.failure)
        }
    }
}
