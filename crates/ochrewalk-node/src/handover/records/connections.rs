//! Streams, and what belongs to each: connections of clients, the link to the executor, connections upstream.

use prost::Message;

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
    /// Whether an RPC of its client has run.
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
