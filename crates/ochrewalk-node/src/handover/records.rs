//! What one process writes down for the next, in protobuf. A field that a newer program adds is passed over by an older
//! one; what an older one has to understand gets a new version of its section.

use ochrewalk_handover::messages::Section;
use prost::Message;

/// The sections, and the version of each that this program writes and the newest that it reads.
pub const SECTIONS: [(&str, u32); 7] =
    [("node", 1), ("listeners", 1), ("rpcs", 1), ("json", 1), ("ajp", 1), ("executor", 1), ("below", 1)];

/// The section that goes ahead of the standstill, in programs that know how to.
pub const AHEAD: (&str, u32) = ("tokens", 1);

/// Those that any hand-over has, and the one that goes ahead.
pub fn sections() -> (Vec<Section>, Vec<Section>) {
    let section = |(name, version): &(&str, u32)| Section { name: (*name).into(), version: *version };
    (SECTIONS.iter().map(section).collect(), vec![section(&AHEAD)])
}

/// The gate, the module inside it, the tokens, and what belongs to no other section.
#[derive(Clone, PartialEq, Message)]
pub struct NodeRecord {
    /// Where the monotonic clock counts from, in nanoseconds of the system's.
    #[prost(int64, tag = "1")]
    pub clock_base_ns: i64,
    /// The key of the prints of RPCs' work.
    #[prost(fixed64, tag = "2")]
    pub fingerprint_key: u64,
    #[prost(fixed64, tag = "3")]
    pub fingerprint_key_more: u64,
    /// The module, where the executor has been up.
    #[prost(message, optional, tag = "4")]
    pub decisions: Option<ochrewalk::decide::Kept>,
    #[prost(bool, optional, tag = "5")]
    pub healthy: Option<bool>,
    #[prost(double, optional, tag = "6")]
    pub signal: Option<f64>,
    #[prost(uint64, tag = "7")]
    pub idle_us: u64,
    #[prost(uint64, tag = "8")]
    pub wake_us: u64,
    #[prost(uint64, tag = "9")]
    pub wake_token: u64,
    /// All tokens, or those that have changed since the others went ahead.
    #[prost(message, repeated, tag = "10")]
    pub keys: Vec<IdempotencyKeyRecord>,
    /// Tokens that went ahead and are gone.
    #[prost(string, repeated, tag = "11")]
    pub removed_keys: Vec<String>,
}

/// Tokens that go ahead of the standstill, each message a piece of them.
#[derive(Clone, PartialEq, Message)]
pub struct IdempotencyKeyRecords {
    #[prost(message, repeated, tag = "1")]
    pub keys: Vec<IdempotencyKeyRecord>,
}

#[derive(Clone, PartialEq, Message)]
pub struct IdempotencyKeyRecord {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(string, tag = "2")]
    pub holder: String,
    #[prost(fixed64, tag = "3")]
    pub work: u64,
    #[prost(uint64, tag = "4")]
    pub until_ms: u64,
    /// 0 open, 1 served, 2 failed.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    #[prost(string, tag = "6")]
    pub result: String,
    #[prost(string, repeated, tag = "7")]
    pub waiting: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct RpcRecords {
    #[prost(message, repeated, tag = "1")]
    pub rpcs: Vec<RpcRecord>,
}

#[derive(Clone, PartialEq, Message)]
pub struct RpcRecord {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(uint32, tag = "2")]
    pub method: u32,
    #[prost(double, tag = "3")]
    pub kb: f64,
    #[prost(uint64, tag = "4")]
    pub ts_ms: u64,
    #[prost(uint64, optional, tag = "5")]
    pub left_us: Option<u64>,
    #[prost(string, optional, tag = "6")]
    pub token: Option<String>,
    #[prost(fixed64, tag = "7")]
    pub work: u64,
    #[prost(string, tag = "8")]
    pub body: String,
    #[prost(bool, tag = "9")]
    pub owed: bool,
    #[prost(bool, tag = "10")]
    pub running: bool,
    #[prost(message, optional, tag = "11")]
    pub call: Option<CallRecord>,
    #[prost(message, optional, tag = "12")]
    pub client: Option<ClientAddress>,
}

#[derive(Clone, PartialEq, Message)]
pub struct CallRecord {
    #[prost(uint64, tag = "1")]
    pub pos: u64,
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    #[prost(bool, tag = "3")]
    pub placed: bool,
    #[prost(uint64, tag = "4")]
    pub at_us: u64,
    #[prost(uint64, tag = "5")]
    pub until_us: u64,
}

/// Where whoever asked is found again.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClientAddress {
    #[prost(bool, tag = "1")]
    pub by_ajp: bool,
    #[prost(uint64, tag = "2")]
    pub connection: u64,
    /// JSON-RPC: the message's id.
    #[prost(string, tag = "3")]
    pub message_id: String,
    /// AJP: how many came before it there.
    #[prost(uint64, tag = "4")]
    pub serial: u64,
}

/// One stream between any two bytes.
#[derive(Clone, PartialEq, Message)]
pub struct StreamRecord {
    /// Read, and no whole message yet.
    #[prost(bytes = "vec", tag = "1")]
    pub input: Vec<u8>,
    /// Waits to be written; so much of the first is written already.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub unsent: Vec<Vec<u8>>,
    #[prost(uint64, tag = "3")]
    pub sent: u64,
    #[prost(bool, tag = "4")]
    pub half_closed: bool,
    /// How it is asked to end: 0 not at all, then in the order of the type.
    #[prost(uint32, tag = "5")]
    pub close_reason: u32,
    /// Written and not confirmed.
    #[prost(bytes = "vec", repeated, tag = "6")]
    pub unconfirmed: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
pub struct JsonRpcConnectionRecords {
    #[prost(message, repeated, tag = "1")]
    pub connections: Vec<JsonRpcConnectionRecord>,
    #[prost(uint64, tag = "2")]
    pub next_number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct JsonRpcConnectionRecord {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, required, tag = "2")]
    pub stream: StreamRecord,
    #[prost(message, repeated, tag = "3")]
    pub open: Vec<OpenRpcRecord>,
    #[prost(uint64, tag = "4")]
    pub used_us: u64,
    #[prost(bool, tag = "5")]
    pub spoke: bool,
    #[prost(bool, tag = "6")]
    pub good: bool,
    #[prost(uint32, tag = "7")]
    pub faults: u32,
    #[prost(uint32, tag = "8")]
    pub after_faults: u32,
    #[prost(uint64, optional, tag = "9")]
    pub partial_us: Option<u64>,
    #[prost(bool, tag = "10")]
    pub rpcs: bool,
    #[prost(uint64, optional, tag = "11")]
    pub end_by_us: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub struct OpenRpcRecord {
    #[prost(string, tag = "1")]
    pub message_id: String,
    #[prost(string, tag = "2")]
    pub rpc: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct AjpConnectionRecords {
    #[prost(message, repeated, tag = "1")]
    pub connections: Vec<AjpConnectionRecord>,
    #[prost(uint64, tag = "2")]
    pub next_number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct AjpConnectionRecord {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, required, tag = "2")]
    pub stream: StreamRecord,
    /// The life's state, by its order in the type.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    #[prost(uint64, tag = "4")]
    pub since_us: u64,
    #[prost(uint64, tag = "5")]
    pub got: u64,
    /// The stated length of the body that is coming; none where it comes without.
    #[prost(uint64, optional, tag = "6")]
    pub stated: Option<u64>,
    /// Of a request in hand: it was spoilt; of an answer: the connection goes on after it.
    #[prost(bool, tag = "7")]
    pub flag: bool,
    #[prost(bool, tag = "8")]
    pub spoke: bool,
    #[prost(uint32, tag = "9")]
    pub faults: u32,
    #[prost(message, optional, tag = "10")]
    pub request: Option<AjpRequestRecord>,
    #[prost(bytes = "vec", tag = "11")]
    pub body: Vec<u8>,
    #[prost(string, optional, tag = "12")]
    pub rpc: Option<String>,
    #[prost(uint64, tag = "13")]
    pub serial: u64,
    #[prost(uint64, tag = "14")]
    pub used_us: u64,
    #[prost(bool, tag = "15")]
    pub good: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct AjpRequestRecord {
    #[prost(bool, tag = "1")]
    pub health: bool,
    #[prost(uint32, tag = "2")]
    pub method: u32,
    #[prost(string, optional, tag = "3")]
    pub id: Option<String>,
    #[prost(string, optional, tag = "4")]
    pub token: Option<String>,
    #[prost(uint64, optional, tag = "5")]
    pub left_us: Option<u64>,
    #[prost(double, tag = "6")]
    pub kb: f64,
    #[prost(uint64, tag = "7")]
    pub ts_ms: u64,
    #[prost(string, optional, tag = "8")]
    pub tenant: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ExecutorRecord {
    /// None while there is no link.
    #[prost(message, optional, tag = "1")]
    pub stream: Option<StreamRecord>,
    /// Commands that wait for a link.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub waiting: Vec<Vec<u8>>,
    #[prost(uint64, tag = "3")]
    pub read: u64,
    #[prost(bool, tag = "4")]
    pub welcomed: bool,
    #[prost(uint64, tag = "5")]
    pub asked: u64,
    #[prost(bytes = "vec", repeated, tag = "6")]
    pub doubtful: Vec<Vec<u8>>,
    #[prost(uint64, tag = "7")]
    pub doubt_until: u64,
    #[prost(string, repeated, tag = "8")]
    pub paused: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct UpstreamRecord {
    #[prost(message, repeated, tag = "1")]
    pub links: Vec<UpstreamConnectionRecord>,
    /// Calls on connections that cannot move: they were written, and what becomes of them is not heard any more.
    #[prost(string, repeated, tag = "2")]
    pub lost: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct UpstreamConnectionRecord {
    #[prost(string, tag = "1")]
    pub endpoint: String,
    #[prost(message, required, tag = "2")]
    pub stream: StreamRecord,
    #[prost(string, repeated, tag = "3")]
    pub calls: Vec<String>,
    #[prost(uint64, tag = "4")]
    pub used_us: u64,
    #[prost(uint64, optional, tag = "5")]
    pub partial_us: Option<u64>,
}
