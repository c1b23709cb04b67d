//! What a conductor and a node say to one another, and what a conductor keeps, in protobuf. A node answers a version that
//! it does not know with its own, so that an older one says so rather than guess.

use crate::{CallCounts, ChangeMethod, Command, FencingToken, Outcome, RolloutRecord, Version};
use prost::{Message as _, Oneof};

/// The version spoken here. The first one knew neither trials nor settings.
pub const PROTOCOL_VERSION: u32 = 2;
/// The version of what a conductor keeps.
const RECORD_VERSION: u32 = 1;
/// The longest message.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// What is asked; none for how the node stands.
    #[prost(message, optional, tag = "2")]
    pub command: Option<CommandMessage>,
    /// The number of the conductor that asks, which keeps what is on trial there; 0 for one who only looks on.
    #[prost(uint64, tag = "3")]
    pub controller: u64,
}

impl Request {
    /// How does the node stand?
    pub fn status(controller: u64) -> Request {
        Request { protocol_version: PROTOCOL_VERSION, command: None, controller }
    }

    pub fn command(command: CommandMessage) -> Request {
        Request { protocol_version: PROTOCOL_VERSION, controller: command.controller, command: Some(command) }
    }
}

/// Run that.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandMessage {
    #[prost(uint64, tag = "1")]
    pub controller: u64,
    #[prost(uint64, tag = "2")]
    pub command: u64,
    #[prost(message, optional, tag = "3")]
    pub target: Option<Target>,
    /// How long it stays after each word of the conductor's, in milliseconds; 0 for good.
    #[prost(uint64, tag = "4")]
    pub lease_ms: u64,
    /// The one that runs leaves, or is ended, and this one is begun anew.
    #[prost(bool, tag = "5")]
    pub restart: bool,
}

/// A program to run with what else the node has, or an operators' file to go by with the program that runs.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Target {
    #[prost(bool, tag = "1")]
    pub is_settings: bool,
    #[prost(string, tag = "2")]
    pub path: String,
    /// A print of what the file has to hold.
    #[prost(uint64, tag = "3")]
    pub fingerprint: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Response {
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    #[prost(oneof = "Reply", tags = "2, 3, 4, 5, 6")]
    pub reply: Option<Reply>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Reply {
    #[prost(message, tag = "2")]
    Status(NodeStatus),
    #[prost(message, tag = "3")]
    Finished(CommandOutcome),
    #[prost(message, tag = "4")]
    Stale(FencingTokenMessage),
    /// Why nothing was done with it, in plain words.
    #[prost(string, tag = "5")]
    Rejected(String),
    /// Something else is under way, or the order itself still is: ask again.
    #[prost(string, tag = "6")]
    Busy(String),
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FencingTokenMessage {
    #[prost(uint64, tag = "1")]
    pub controller: u64,
    #[prost(uint64, tag = "2")]
    pub command: u64,
}

/// What came of an order; why not, where `failed` is not empty.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandOutcome {
    #[prost(string, tag = "1")]
    pub failure: String,
}

/// How a node stands.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeStatus {
    /// A print of the program that serves.
    #[prost(uint64, tag = "1")]
    pub fingerprint: u64,
    #[prost(string, tag = "2")]
    pub path: String,
    #[prost(message, optional, tag = "3")]
    pub highest: Option<FencingTokenMessage>,
    #[prost(bool, tag = "4")]
    pub is_healthy: bool,
    /// Another with each start of the node.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    #[prost(message, optional, tag = "6")]
    pub counters: Option<ServingCounters>,
    /// What it runs goes back by itself unless it hears of its conductor.
    #[prost(bool, tag = "7")]
    pub is_unconfirmed: bool,
}

impl NodeStatus {
    /// A print of the operators' file that the program goes by; 0 where it has none, or has not said so yet.
    pub fn settings_fingerprint(&self) -> u64 {
        self.counters.as_ref().map_or(0, |counters| counters.settings_fingerprint)
    }
}

/// What the program that serves has counted since the node's start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServingCounters {
    #[prost(bool, tag = "1")]
    pub is_healthy: bool,
    #[prost(uint64, tag = "2")]
    pub memory_kb: u64,
    #[prost(message, repeated, tag = "3")]
    pub methods: Vec<MethodCounters>,
    /// A print of the operators' file that it goes by; 0 where it has none.
    #[prost(uint64, tag = "4")]
    pub settings_fingerprint: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct MethodCounters {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub calls: u64,
    #[prost(uint64, tag = "3")]
    pub missed: u64,
    #[prost(uint64, tag = "4")]
    pub failed: u64,
}

impl MethodCounters {
    /// What has come since that one. Counts that went down began anew.
    pub fn since(&self, before: Option<&MethodCounters>) -> CallCounts {
        let less =
            |now: u64, before: u64| u32::try_from(now.checked_sub(before).unwrap_or(now)).unwrap_or(u32::MAX);
        let none = MethodCounters::default();
        let before = before.unwrap_or(&none);
        CallCounts {
            calls: less(self.calls, before.calls),
            missed: less(self.missed, before.missed),
            failed: less(self.failed, before.failed),
        }
    }
}

impl From<FencingToken> for FencingTokenMessage {
    fn from(token: FencingToken) -> FencingTokenMessage {
        FencingTokenMessage { controller: token.controller, command: token.command }
    }
}

impl From<FencingTokenMessage> for FencingToken {
    fn from(message: FencingTokenMessage) -> FencingToken {
        FencingToken { controller: message.controller, command: message.command }
    }
}

impl CommandMessage {
    /// `lease_ms` is how long a trial lasts after each word.
    pub fn new(command: &Command, target: Target, lease_ms: u64) -> CommandMessage {
        CommandMessage {
            controller: command.token.controller,
            command: command.token.command,
            target: Some(target),
            lease_ms: if command.method == ChangeMethod::CommitConfirmed { lease_ms } else { 0 },
            restart: command.method == ChangeMethod::Restart,
        }
    }

    pub fn token(&self) -> FencingToken {
        FencingToken { controller: self.controller, command: self.command }
    }
}

impl From<Outcome> for CommandOutcome {
    fn from(outcome: Outcome) -> CommandOutcome {
        match outcome {
            Outcome::Done => CommandOutcome { failure: String::new() },
            Outcome::Failed(why) if why.is_empty() => {
                CommandOutcome { failure: "for no reason that it names".into() }
            }
            Outcome::Failed(failure) => CommandOutcome { failure },
        }
    }
}

impl From<CommandOutcome> for Outcome {
    fn from(ended: CommandOutcome) -> Outcome {
        if ended.failure.is_empty() {
            Outcome::Done
        } else {
            Outcome::Failed(ended.failure)
        }
    }
}

/// What a conductor keeps, on disk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutRecordMessage {
    #[prost(uint32, tag = "1")]
    format_version: u32,
    #[prost(uint64, tag = "2")]
    controller: u64,
    #[prost(uint64, tag = "3")]
    stage: u64,
    #[prost(string, optional, tag = "4")]
    rollback_reason: Option<String>,
    #[prost(uint64, repeated, tag = "5")]
    changed_nodes: Vec<u64>,
    #[prost(bool, tag = "6")]
    is_finished: bool,
}

/// As it is kept.
pub fn encode_record(record: &RolloutRecord) -> Vec<u8> {
    let RolloutRecord { controller, stage, rollback_reason, changed_nodes, is_finished } = record.clone();
    let changed_nodes = changed_nodes.into_iter().map(|node| node as u64).collect();
    RolloutRecordMessage {
        format_version: RECORD_VERSION,
        controller,
        stage: stage as u64,
        rollback_reason,
        changed_nodes,
        is_finished,
    }
    .encode_to_vec()
}

/// An error says what is wrong with it.
pub fn decode_record(bytes: &[u8]) -> Result<RolloutRecord, String> {
    let message =
        RolloutRecordMessage::decode(bytes).map_err(|err| format!("no record of a change: {err}"))?;
    if message.format_version != RECORD_VERSION {
        return Err(format!(
            "a record of version {}, {RECORD_VERSION} is known here",
            message.format_version
        ));
    }
    let RolloutRecordMessage { controller, stage, rollback_reason, changed_nodes, is_finished, .. } = message;
    let changed_nodes = changed_nodes.into_iter().map(|node| node as usize).collect();
    Ok(RolloutRecord { controller, stage: stage as usize, rollback_reason, changed_nodes, is_finished })
}

/// Which of the two programs a print is of, if of one of them.
pub fn version_of(fingerprint: u64, old: u64, new: u64) -> Option<Version> {
    match fingerprint {
        _ if fingerprint == new => Some(Version::New),
        _ if fingerprint == old => Some(Version::Old),
        _ => None,
    }
}

/// A message as it goes over a stream: its length, then itself.
pub fn write_message(message: &impl prost::Message) -> Vec<u8> {
    let mut out = (message.encoded_len() as u32).to_be_bytes().to_vec();
    message.encode(&mut out).expect("a vector has room");
    out
}

/// A whole message from a stream.
pub fn read_message<M: prost::Message + Default>(from: &mut impl std::io::Read) -> std::io::Result<M> {
    let wrong = |what: &str| std::io::Error::new(std::io::ErrorKind::InvalidData, what.to_string());
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(wrong("a message longer than any"));
    }
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes)?;
    M::decode(&bytes[..]).map_err(|_| wrong("bytes that are no message"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_kept_comes_back_and_a_torn_or_newer_one_is_refused() {
        let record = RolloutRecord {
            controller: 7,
            stage: 2,
            rollback_reason: Some("slow".into()),
            changed_nodes: vec![3, 0, 2],
            is_finished: false,
        };
        let bytes = encode_record(&record);
        assert_eq!(decode_record(&bytes), Ok(record.clone()));
        assert!(decode_record(&bytes[..bytes.len() - 1]).is_err());
        let newer = RolloutRecordMessage {
            format_version: RECORD_VERSION + 1,
            ..RolloutRecordMessage::decode(&bytes[..]).unwrap()
        };
        assert!(decode_record(&newer.encode_to_vec()).unwrap_err().contains("version 2"));
    }

    #[test]
    fn counts_are_what_came_since_also_where_they_began_anew() {
        let message = |calls, missed, failed| MethodCounters { name: "a".into(), calls, missed, failed };
        let counts = |calls, missed, failed| CallCounts { calls, missed, failed };
        assert_eq!(message(9, 4, 2).since(Some(&message(5, 4, 1))), counts(4, 0, 1));
        assert_eq!(message(9, 4, 2).since(None), counts(9, 4, 2));
        assert_eq!(message(3, 1, 0).since(Some(&message(5, 4, 1))), counts(3, 1, 0));
    }

    #[test]
    fn a_stream_gives_whole_messages_or_an_error() {
        let target = Target { is_settings: true, path: "/a".into(), fingerprint: 7 };
        let request = Request::command(CommandMessage { target: Some(target), ..CommandMessage::default() });
        let bytes = write_message(&request);
        assert_eq!(read_message::<Request>(&mut &bytes[..]).unwrap(), request);
        assert!(read_message::<Request>(&mut &bytes[..bytes.len() - 1]).is_err());
        assert!(read_message::<Request>(&mut &[0xff; 8][..]).is_err(), "longer than any");
        assert!(read_message::<Request>(&mut &[0, 0, 0, 2, 0xff, 0xff][..]).is_err());
    }
}
