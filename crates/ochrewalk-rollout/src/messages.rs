//! The messages between controllers and nodes, in protobuf. [`crate::framing`] puts them on a stream.
//!
//! A node rejects a request of a protocol version that it does not know, and its response carries its own version. Numbers and
//! types of fields stay for good: nodes and controllers of several versions meet during every rollout.

use crate::{CallCounts, ChangeMethod, Command, ControllerNumber, FencingToken, Outcome};
use prost::Oneof;

/// The protocol version spoken here. Version 1 knew neither commit-confirmed changes nor settings.
pub const PROTOCOL_VERSION: u32 = 2;

/// What stands for the reason of a failure that has none.
const UNNAMED_FAILURE: &str = "for no reason that it names";

/// A request to a node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// The sender's protocol version.
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// The command to carry out; none where only the status is asked for.
    #[prost(message, optional, tag = "2")]
    pub command: Option<CommandMessage>,
    /// The number of the controller that asks, which renews an unconfirmed change; 0 for an onlooker, who does not.
    #[prost(uint64, tag = "3")]
    pub controller: u64,
}

impl Request {
    /// A request for the node's status, by the controller of that number.
    pub fn status(controller: ControllerNumber) -> Request {
        Request { protocol_version: PROTOCOL_VERSION, command: None, controller: controller.0 }
    }

    /// A request to carry out a command.
    pub fn command(command: CommandMessage) -> Request {
        Request { protocol_version: PROTOCOL_VERSION, controller: command.controller, command: Some(command) }
    }
}

/// A [`Command`] on the wire.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandMessage {
    /// The first part of the fencing token: the controller's number.
    #[prost(uint64, tag = "1")]
    pub controller: u64,
    /// The second part of the fencing token: the command's number.
    #[prost(uint64, tag = "2")]
    pub command: u64,
    /// What to run; a command without it fails.
    #[prost(message, optional, tag = "3")]
    pub target: Option<Target>,
    /// How long the change stays after each time that the controller is heard, in milliseconds; 0 for good.
    #[prost(uint64, tag = "4")]
    pub lease_ms: u64,
    /// Whether the running process is to end before the next one is started, in place of a hand-over.
    #[prost(bool, tag = "5")]
    pub restart: bool,
}

/// A program to run with the settings that the node has, or a file of settings for the program that runs.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Target {
    /// Whether the file holds settings; else it is a program.
    #[prost(bool, tag = "1")]
    pub is_settings: bool,
    /// The file's path on the node's machine.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The fingerprint that the file has to have.
    #[prost(uint64, tag = "3")]
    pub fingerprint: u64,
}

/// A node's response to a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Response {
    /// The node's protocol version.
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// What it says; none where the node is of a version whose replies are not known here.
    #[prost(oneof = "Reply", tags = "2, 3, 4, 5, 6")]
    pub reply: Option<Reply>,
}

/// The body of a response.
#[derive(Clone, PartialEq, Oneof)]
pub enum Reply {
    /// The node's status.
    #[prost(message, tag = "2")]
    Status(NodeStatus),
    /// The command has been carried out, or could not be.
    #[prost(message, tag = "3")]
    Finished(CommandOutcome),
    /// The node knows this higher token.
    #[prost(message, tag = "4")]
    Stale(FencingTokenMessage),
    /// Why nothing was done, in plain words.
    #[prost(string, tag = "5")]
    Rejected(String),
    /// Another change, or this command itself, is being carried out: send the command again later. What is, in plain words.
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
    /// Why the command failed, in plain words; empty where it did not.
    #[prost(string, tag = "1")]
    pub failure: String,
}

/// A node's reply to a status request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeStatus {
    /// The fingerprint of the program that serves.
    #[prost(uint64, tag = "1")]
    pub fingerprint: u64,
    /// The path of the program that serves.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The highest fencing token that the node has seen.
    #[prost(message, optional, tag = "3")]
    pub highest: Option<FencingTokenMessage>,
    /// Whether the node serves, and no hand-over is under way.
    #[prost(bool, tag = "4")]
    pub is_healthy: bool,
    /// Another number after each start of the node's supervisor.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// What the program that serves has counted; none where it has not reported yet.
    #[prost(message, optional, tag = "6")]
    pub counters: Option<ServingCounters>,
    /// Whether the node reverts by itself what it runs unless it hears of its controller.
    #[prost(bool, tag = "7")]
    pub is_unconfirmed: bool,
}

impl NodeStatus {
    /// The fingerprint of the operators' file that the program uses; 0 where it has none, or has not reported yet.
    pub fn settings_fingerprint(&self) -> u64 {
        self.counters.as_ref().map_or(0, |counters| counters.settings_fingerprint)
    }
}

/// What the serving program has counted since the node's start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServingCounters {
    /// Whether the program finds itself healthy.
    #[prost(bool, tag = "1")]
    pub is_healthy: bool,
    /// Its resident memory, in KB.
    #[prost(uint64, tag = "2")]
    pub memory_kb: u64,
    /// Counters by method.
    #[prost(message, repeated, tag = "3")]
    pub methods: Vec<MethodCounters>,
    /// The fingerprint of the operators' file that the program uses; 0 where it has none.
    #[prost(uint64, tag = "4")]
    pub settings_fingerprint: u64,
}

/// The counters of one method since the node's start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MethodCounters {
    /// The method's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Calls that were answered, in whatever way.
    #[prost(uint64, tag = "2")]
    pub calls: u64,
    /// Of those, calls without a served answer within the latency target.
    #[prost(uint64, tag = "3")]
    pub missed: u64,
    /// Of those, calls without any served answer.
    #[prost(uint64, tag = "4")]
    pub failed: u64,
}

impl MethodCounters {
    /// What was counted since `earlier`, which is none where the method was not known. A counter that went down began again at
    /// nothing.
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
    /// The command on the wire. `target` is the file of the command's version; `lease_ms`, how long a commit-confirmed change stays
    /// without hearing of the controller, in milliseconds.
    pub fn new(command: &Command, target: Target, lease_ms: u64) -> CommandMessage {
        CommandMessage {
            controller: command.token.controller.0,
            command: command.token.command,
            target: Some(target),
            lease_ms: if command.method == ChangeMethod::CommitConfirmed { lease_ms } else { 0 },
            restart: command.method == ChangeMethod::Restart,
        }
    }

    /// The command's fencing token.
    pub fn token(&self) -> FencingToken {
        FencingToken { controller: ControllerNumber(self.controller), command: self.command }
    }
}

impl From<Outcome> for CommandOutcome {
    fn from(outcome: Outcome) -> CommandOutcome {
        let failure = match outcome {
            Outcome::Done => String::new(),
            // An empty reason would mean success.
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
