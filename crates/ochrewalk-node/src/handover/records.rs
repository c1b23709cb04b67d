//! What one process writes for the next, in protobuf. A field that a newer program adds is skipped by an older one; what
//! an older program has to understand gets a new version of its section.
//!
//! Times in `_us` are microseconds of the node's clock, which the successor goes on with; times in `_ms` are Unix time.

use ochrewalk_handover::messages::Section;
use prost::Message;

/// The sections that are sent in the pause, and the version of each that this program writes and the newest that it
/// reads.
pub const SECTIONS: [(&str, u32); 7] =
    [("node", 1), ("listeners", 1), ("rpcs", 1), ("json", 1), ("ajp", 1), ("executor", 1), ("below", 1)];

/// The section that is sent ahead of the pause, to programs that know how to receive it.
pub const AHEAD: (&str, u32) = ("tokens", 1);

/// The sections of any hand-over, and those that are sent ahead.
pub fn sections() -> (Vec<Section>, Vec<Section>) {
    let section = |(name, version): &(&str, u32)| Section { name: (*name).into(), version: *version };
    (SECTIONS.iter().map(section).collect(), vec![section(&AHEAD)])
}

/// The decisions, the idempotency keys, and what belongs to no other section.
#[derive(Clone, PartialEq, Message)]
pub struct NodeRecord {
    /// Where the node's clock counts from, in nanoseconds of the system's monotonic clock.
    #[prost(int64, tag = "1")]
    pub clock_base_ns: i64,
    /// The first half of the key of the fingerprints of RPCs' work.
    #[prost(fixed64, tag = "2")]
    pub fingerprint_key: u64,
    /// The second half of that key.
    #[prost(fixed64, tag = "3")]
    pub fingerprint_key_more: u64,
    /// The state of the decisions; none where the executor has never been up.
    #[prost(message, optional, tag = "4")]
    pub decisions: Option<ochrewalk::admission::snapshot::AdmissionSnapshot>,
    /// Whether health checks pass; none before there are decisions.
    #[prost(bool, optional, tag = "5")]
    pub healthy: Option<bool>,
    /// The value that goes back with every answer.
    #[prost(double, optional, tag = "6")]
    pub signal: Option<f64>,
    /// Connections that carry nothing for so long are closed, in microseconds.
    #[prost(uint64, tag = "7")]
    pub idle_us: u64,
    /// When the decisions want to be woken.
    #[prost(uint64, tag = "8")]
    pub wake_us: u64,
    /// What they know that wake-up by.
    #[prost(uint64, tag = "9")]
    pub wake_token: u64,
    /// All idempotency keys, or those that have changed since the others were sent ahead.
    #[prost(message, repeated, tag = "10")]
    pub keys: Vec<IdempotencyKeyRecord>,
    /// Idempotency keys that were sent ahead and have been dropped since.
    #[prost(string, repeated, tag = "11")]
    pub removed_keys: Vec<String>,
}

/// Idempotency keys that are sent ahead of the pause: one chunk of them.
#[derive(Clone, PartialEq, Message)]
pub struct IdempotencyKeyRecords {
    /// The keys.
    #[prost(message, repeated, tag = "1")]
    pub keys: Vec<IdempotencyKeyRecord>,
}

/// An idempotency key, and what became of the RPC that holds it.
#[derive(Clone, PartialEq, Message)]
pub struct IdempotencyKeyRecord {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The RPC that runs, or ran, under it.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// The fingerprint of the work: all attempts of one RPC have the same.
    #[prost(fixed64, tag = "3")]
    pub work: u64,
    /// When the key expires.
    #[prost(uint64, tag = "4")]
    pub until_ms: u64,
    /// 0 open, 1 served, 2 failed.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// The result of an RPC that was served.
    #[prost(string, tag = "6")]
    pub result: String,
    /// Other attempts that wait for the result.
    #[prost(string, repeated, tag = "7")]
    pub waiting: Vec<String>,
}

/// All RPCs that are open.
#[derive(Clone, PartialEq, Message)]
pub struct RpcRecords {
    /// The RPCs.
    #[prost(message, repeated, tag = "1")]
    pub rpcs: Vec<RpcRecord>,
}

/// One open RPC.
#[derive(Clone, PartialEq, Message)]
pub struct RpcRecord {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its method, by the position in the deployment's list.
    #[prost(uint32, tag = "2")]
    pub method: u32,
    /// The memory that it needs, in KB.
    #[prost(double, tag = "3")]
    pub kb: f64,
    /// When it came to the machine.
    #[prost(uint64, tag = "4")]
    pub ts_ms: u64,
    /// How long its client still waits, in microseconds, where that is conveyed.
    #[prost(uint64, optional, tag = "5")]
    pub left_us: Option<u64>,
    /// Its idempotency key.
    #[prost(string, optional, tag = "6")]
    pub token: Option<String>,
    /// The fingerprint of its work; 0 without an idempotency key.
    #[prost(fixed64, tag = "7")]
    pub work: u64,
    /// Its body, a JSON string as it came.
    #[prost(string, tag = "8")]
    pub body: String,
    /// Whether an answer is still owed.
    #[prost(bool, tag = "9")]
    pub owed: bool,
    /// Whether the executor runs it.
    #[prost(bool, tag = "10")]
    pub running: bool,
    /// The call upstream that its run waits for.
    #[prost(message, optional, tag = "11")]
    pub call: Option<CallRecord>,
    /// Who waits for the answer; none where none is owed.
    #[prost(message, optional, tag = "12")]
    pub client: Option<ClientAddress>,
}

/// A call upstream.
#[derive(Clone, PartialEq, Message)]
pub struct CallRecord {
    /// The executor's notice that asked for it.
    #[prost(uint64, tag = "1")]
    pub pos: u64,
    /// What is sent.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// Whether it was sent; the times below are 0 otherwise.
    #[prost(bool, tag = "3")]
    pub placed: bool,
    /// When it was sent.
    #[prost(uint64, tag = "4")]
    pub at_us: u64,
    /// Its deadline.
    #[prost(uint64, tag = "5")]
    pub until_us: u64,
}

/// Where the client that waits for an answer is found again.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClientAddress {
    /// Whether the connection is one by AJP, else one by JSON-RPC.
    #[prost(bool, tag = "1")]
    pub by_ajp: bool,
    /// The connection's number.
    #[prost(uint64, tag = "2")]
    pub connection: u64,
    /// JSON-RPC: the message's id.
    #[prost(string, tag = "3")]
    pub message_id: String,
    /// AJP: how many requests came before it on the connection.
    #[prost(uint64, tag = "4")]
    pub serial: u64,
}

/// One stream between any two bytes.
#[derive(Clone, PartialEq, Message)]
pub struct StreamRecord {
    /// Bytes that were read and are no complete message yet.
    #[prost(bytes = "vec", tag = "1")]
    pub input: Vec<u8>,
    /// Messages that wait to be written.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub unsent: Vec<Vec<u8>>,
    /// How many bytes of the first of them are written already.
    #[prost(uint64, tag = "3")]
    pub sent: u64,
    /// Whether this side has been shut.
    #[prost(bool, tag = "4")]
    pub half_closed: bool,
    /// Why it is asked to close: 0 not at all, then 1 and up in the order of the type.
    #[prost(uint32, tag = "5")]
    pub close_reason: u32,
    /// Messages that were written and are not confirmed.
    #[prost(bytes = "vec", repeated, tag = "6")]
    pub unconfirmed: Vec<Vec<u8>>,
}

/// All connections by JSON-RPC.
#[derive(Clone, PartialEq, Message)]
pub struct JsonRpcConnectionRecords {
    /// The connections.
    #[prost(message, repeated, tag = "1")]
    pub connections: Vec<JsonRpcConnectionRecord>,
    /// The number that the next connection gets.
    #[prost(uint64, tag = "2")]
    pub next_number: u64,
}

/// One connection by JSON-RPC.
#[derive(Clone, PartialEq, Message)]
pub struct JsonRpcConnectionRecord {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Its stream.
    #[prost(message, required, tag = "2")]
    pub stream: StreamRecord,
    /// RPCs that are owed an answer there.
    #[prost(message, repeated, tag = "3")]
    pub open: Vec<OpenRpcRecord>,
    /// When it carried something last.
    #[prost(uint64, tag = "4")]
    pub used_us: u64,
    /// Whether a complete line has come.
    #[prost(bool, tag = "5")]
    pub spoke: bool,
    /// Whether a valid message has come.
    #[prost(bool, tag = "6")]
    pub good: bool,
    /// Faults of its client.
    #[prost(uint32, tag = "7")]
    pub faults: u32,
    /// Messages that were read since the faults were too many.
    #[prost(uint32, tag = "8")]
    pub after_faults: u32,
    /// Since when an incomplete line has been under way.
    #[prost(uint64, optional, tag = "9")]
    pub partial_us: Option<u64>,
    /// Whether it has carried an RPC, not health checks alone.
    #[prost(bool, tag = "10")]
    pub rpcs: bool,
    /// When it closes at the latest, where it was asked to.
    #[prost(uint64, optional, tag = "11")]
    pub end_by_us: Option<u64>,
}

/// An RPC that is owed an answer on a connection by JSON-RPC.
#[derive(Clone, PartialEq, Message)]
pub struct OpenRpcRecord {
    /// The message's id.
    #[prost(string, tag = "1")]
    pub message_id: String,
    /// The RPC's id.
    #[prost(string, tag = "2")]
    pub rpc: String,
}

/// All connections by AJP.
#[derive(Clone, PartialEq, Message)]
pub struct AjpConnectionRecords {
    /// The connections.
    #[prost(message, repeated, tag = "1")]
    pub connections: Vec<AjpConnectionRecord>,
    /// The number that the next connection gets.
    #[prost(uint64, tag = "2")]
    pub next_number: u64,
}

/// One connection by AJP.
#[derive(Clone, PartialEq, Message)]
pub struct AjpConnectionRecord {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Its stream.
    #[prost(message, required, tag = "2")]
    pub stream: StreamRecord,
    /// The state of its protocol, by the order in the type.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// Since when it has been in that state.
    #[prost(uint64, tag = "4")]
    pub since_us: u64,
    /// How many bytes of the body have come.
    #[prost(uint64, tag = "5")]
    pub got: u64,
    /// The stated length of the body that is coming; none where it comes without.
    #[prost(uint64, optional, tag = "6")]
    pub stated: Option<u64>,
    /// While a request is in flight: whether it was malformed. While it is answered: whether the connection is reused.
    #[prost(bool, tag = "7")]
    pub flag: bool,
    /// Whether a complete packet has come.
    #[prost(bool, tag = "8")]
    pub spoke: bool,
    /// Faults of its client.
    #[prost(uint32, tag = "9")]
    pub faults: u32,
    /// The request in flight, or the one whose body is coming.
    #[prost(message, optional, tag = "10")]
    pub request: Option<AjpRequestRecord>,
    /// The body as far as it has come.
    #[prost(bytes = "vec", tag = "11")]
    pub body: Vec<u8>,
    /// The RPC that is owed an answer.
    #[prost(string, optional, tag = "12")]
    pub rpc: Option<String>,
    /// How many requests came before that one.
    #[prost(uint64, tag = "13")]
    pub serial: u64,
    /// When it carried something last.
    #[prost(uint64, tag = "14")]
    pub used_us: u64,
    /// Whether a valid request has come.
    #[prost(bool, tag = "15")]
    pub good: bool,
}

/// What a request by AJP asks for.
#[derive(Clone, PartialEq, Message)]
pub struct AjpRequestRecord {
    /// Whether it is a health check; only its time counts then.
    #[prost(bool, tag = "1")]
    pub health: bool,
    /// Its method, by the position in the deployment's list.
    #[prost(uint32, tag = "2")]
    pub method: u32,
    /// The RPC's id, where the client names one.
    #[prost(string, optional, tag = "3")]
    pub id: Option<String>,
    /// Its idempotency key.
    #[prost(string, optional, tag = "4")]
    pub token: Option<String>,
    /// How long its client still waits, in microseconds, where that is conveyed.
    #[prost(uint64, optional, tag = "5")]
    pub left_us: Option<u64>,
    /// The memory that it needs, in KB.
    #[prost(double, tag = "6")]
    pub kb: f64,
    /// When its head was read.
    #[prost(uint64, tag = "7")]
    pub ts_ms: u64,
    /// Its tenant.
    #[prost(string, optional, tag = "8")]
    pub tenant: Option<String>,
}

/// The link to the executor, and how far its notices and commands are.
#[derive(Clone, PartialEq, Message)]
pub struct ExecutorRecord {
    /// Its stream; none while there is no link.
    #[prost(message, optional, tag = "1")]
    pub stream: Option<StreamRecord>,
    /// Commands that wait for a link.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub waiting: Vec<Vec<u8>>,
    /// The last notice that was read.
    #[prost(uint64, tag = "3")]
    pub read: u64,
    /// Whether the executor has welcomed the link.
    #[prost(bool, tag = "4")]
    pub welcomed: bool,
    /// The tag of the last request for gauges.
    #[prost(uint64, tag = "5")]
    pub asked: u64,
    /// Commands whose link broke before they were confirmed.
    #[prost(bytes = "vec", repeated, tag = "6")]
    pub doubtful: Vec<Vec<u8>>,
    /// An answer to a request for gauges after this one settles them.
    #[prost(uint64, tag = "7")]
    pub doubt_until: u64,
    /// RPCs whose runs were paused to settle whether they had begun.
    #[prost(string, repeated, tag = "8")]
    pub paused: Vec<String>,
}

/// Calls upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamRecord {
    /// The connections that carry them.
    #[prost(message, repeated, tag = "1")]
    pub links: Vec<UpstreamConnectionRecord>,
    /// RPCs whose calls are on connections that cannot be handed over: they were sent, and nothing more is heard of
    /// them.
    #[prost(string, repeated, tag = "2")]
    pub lost: Vec<String>,
}

/// One connection upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamConnectionRecord {
    /// The endpoint's address.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// Its stream.
    #[prost(message, required, tag = "2")]
    pub stream: StreamRecord,
    /// RPCs whose calls it carries.
    #[prost(string, repeated, tag = "3")]
    pub calls: Vec<String>,
    /// When it carried something last.
    #[prost(uint64, tag = "4")]
    pub used_us: u64,
    /// Since when an incomplete reply has been under way.
    #[prost(uint64, optional, tag = "5")]
    pub partial_us: Option<u64>,
}
