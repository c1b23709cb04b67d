//! Records of streams and their protocols' state: connections of clients, the link to the executor, and upstream
//! connections.

use prost::Message;

/// The state of one stream, which may be handed over between any two bytes.
#[derive(Clone, PartialEq, Message)]
pub struct StreamRecord {
    /// Bytes that were read and are not a complete message yet.
    #[prost(bytes = "vec", tag = "1")]
    pub input: Vec<u8>,
    /// Messages that wait to be written.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub unsent: Vec<Vec<u8>>,
    /// The number of bytes of the first unsent message that are written already.
    #[prost(uint64, tag = "3")]
    pub sent_bytes: u64,
    /// Whether this side has shut down its writes.
    #[prost(bool, tag = "4")]
    pub is_half_closed: bool,
    /// The close reason: 0 where no close is requested, then from 1 in the order of the type's variants.
    #[prost(uint32, tag = "5")]
    pub close_reason: u32,
    /// Messages that were written and are not confirmed yet.
    #[prost(bytes = "vec", repeated, tag = "6")]
    pub unconfirmed: Vec<Vec<u8>>,
}

/// All JSON-RPC connections.
#[derive(Clone, PartialEq, Message)]
pub struct JsonRpcConnectionRecords {
    /// The connections.
    #[prost(message, repeated, tag = "1")]
    pub connections: Vec<JsonRpcConnectionRecord>,
    /// The number that the next connection gets.
    #[prost(uint64, tag = "2")]
    pub next_number: u64,
}

/// The record of a JSON-RPC connection.
#[derive(Clone, PartialEq, Message)]
pub struct JsonRpcConnectionRecord {
    /// The connection's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The connection's stream.
    #[prost(message, required, tag = "2")]
    pub stream: StreamRecord,
    /// RPCs that are not answered yet on this connection.
    #[prost(message, repeated, tag = "3")]
    pub open_rpcs: Vec<OpenRpcRecord>,
    /// The time at which the connection last carried a message.
    #[prost(uint64, tag = "4")]
    pub used_us: u64,
    /// Whether a complete line was received.
    #[prost(bool, tag = "5")]
    pub has_line: bool,
    /// Whether a valid message was received.
    #[prost(bool, tag = "6")]
    pub has_valid_message: bool,
    /// The number of faults of the client.
    #[prost(uint32, tag = "7")]
    pub faults: u32,
    /// The number of messages read since the client exceeded the limit of faults.
    #[prost(uint32, tag = "8")]
    pub messages_after_faults: u32,
    /// The time at which the incomplete line began.
    #[prost(uint64, optional, tag = "9")]
    pub partial_since_us: Option<u64>,
    /// Whether the connection has carried an RPC, not only health checks.
    #[prost(bool, tag = "10")]
    pub has_carried_rpc: bool,
    /// The latest time at which the connection closes, where a close was requested.
    #[prost(uint64, optional, tag = "11")]
    pub close_deadline_us: Option<u64>,
}

/// An RPC that is not answered yet on a JSON-RPC connection.
#[derive(Clone, PartialEq, Message)]
pub struct OpenRpcRecord {
    /// The message's id.
    #[prost(string, tag = "1")]
    pub message_id: String,
    /// The RPC's id.
    #[prost(string, tag = "2")]
    pub rpc: String,
}

/// All AJP connections.
#[derive(Clone, PartialEq, Message)]
pub struct AjpConnectionRecords {
    /// The connections.
    #[prost(message, repeated, tag = "1")]
    pub connections: Vec<AjpConnectionRecord>,
    /// The number that the next connection gets.
    #[prost(uint64, tag = "2")]
    pub next_number: u64,
}

/// The record of an AJP connection.
#[derive(Clone, PartialEq, Message)]
pub struct AjpConnectionRecord {
    /// The connection's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The connection's stream.
    #[prost(message, required, tag = "2")]
    pub stream: StreamRecord,
    /// The state of the protocol, in the order of the type's variants.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    /// The time at which the connection entered that state.
    #[prost(uint64, tag = "4")]
    pub since_us: u64,
    /// The number of bytes of the body that were received.
    #[prost(uint64, tag = "5")]
    pub got: u64,
    /// The stated length of the body that is being received; none where no length is stated.
    #[prost(uint64, optional, tag = "6")]
    pub stated: Option<u64>,
    /// While a request is in flight: whether it was malformed. While a request is answered: whether the connection is
    /// reused.
    #[prost(bool, tag = "7")]
    pub flag: bool,
    /// Whether a complete packet was received.
    #[prost(bool, tag = "8")]
    pub spoke: bool,
    /// The number of faults of the client.
    #[prost(uint32, tag = "9")]
    pub faults: u32,
    /// The request in flight, or the one whose body is being received.
    #[prost(message, optional, tag = "10")]
    pub request: Option<AjpRequestRecord>,
    /// The part of the body that was received.
    #[prost(bytes = "vec", tag = "11")]
    pub body: Vec<u8>,
    /// The RPC that is not answered yet.
    #[prost(string, optional, tag = "12")]
    pub rpc: Option<String>,
    /// The number of earlier requests on the connection.
    #[prost(uint64, tag = "13")]
    pub serial: u64,
    /// The time at which the connection last carried a message.
    #[prost(uint64, tag = "14")]
    pub used_us: u64,
    /// Whether an RPC of this client has run.
    #[prost(bool, tag = "15")]
    pub is_proven: bool,
}

/// The record of an AJP request.
#[derive(Clone, PartialEq, Message)]
pub struct AjpRequestRecord {
    /// Whether the request is a health check, of which only the time is used.
    #[prost(bool, tag = "1")]
    pub health: bool,
    /// The position of the method in the deployment's list.
    #[prost(uint32, tag = "2")]
    pub method: u32,
    /// The RPC's id, where the client gave one.
    #[prost(string, optional, tag = "3")]
    pub id: Option<String>,
    /// The idempotency key.
    #[prost(string, optional, tag = "4")]
    pub token: Option<String>,
    /// The time for which the client still waits, in microseconds, where the request conveys it.
    #[prost(uint64, optional, tag = "5")]
    pub left_us: Option<u64>,
    /// The memory that the RPC needs, in KB.
    #[prost(double, tag = "6")]
    pub kb: f64,
    /// The time at which the head of the request was read.
    #[prost(uint64, tag = "7")]
    pub ts_ms: u64,
    /// The tenant.
    #[prost(string, optional, tag = "8")]
    pub tenant: Option<String>,
}

/// The link to the executor, and the progress of its notices and commands.
#[derive(Clone, PartialEq, Message)]
pub struct ExecutorRecord {
    /// The stream of the link; none while the executor is not connected.
    #[prost(message, optional, tag = "1")]
    pub stream: Option<StreamRecord>,
    /// Commands that are queued until the executor is connected.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub queued: Vec<Vec<u8>>,
    /// The position of the last notice that was read.
    #[prost(uint64, tag = "3")]
    pub last_read: u64,
    /// Whether the executor has welcomed the link.
    #[prost(bool, tag = "4")]
    pub is_welcomed: bool,
    /// The tag of the latest request for gauges.
    #[prost(uint64, tag = "5")]
    pub last_gauge_tag: u64,
    /// Commands whose link was closed before they were confirmed.
    #[prost(bytes = "vec", repeated, tag = "6")]
    pub unconfirmed: Vec<Vec<u8>>,
    /// The tag of a request for gauges. The answer to a later request settles whether the unconfirmed commands were
    /// received.
    #[prost(uint64, tag = "7")]
    pub unconfirmed_until: u64,
    /// RPCs whose runs were paused to find out whether they had begun.
    #[prost(string, repeated, tag = "8")]
    pub paused: Vec<String>,
}

/// The upstream calls.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamRecord {
    /// The connections that carry the calls.
    #[prost(message, repeated, tag = "1")]
    pub connections: Vec<UpstreamConnectionRecord>,
    /// RPCs whose calls were sent on connections that cannot be handed over. Their replies cannot be received any more.
    #[prost(string, repeated, tag = "2")]
    pub lost_calls: Vec<String>,
}

/// The record of an upstream connection.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamConnectionRecord {
    /// The endpoint's address.
    #[prost(string, tag = "1")]
    pub endpoint: String,
    /// The connection's stream.
    #[prost(message, required, tag = "2")]
    pub stream: StreamRecord,
    /// RPCs whose calls the connection carries.
    #[prost(string, repeated, tag = "3")]
    pub calls: Vec<String>,
    /// The time at which the connection last carried a message.
    #[prost(uint64, tag = "4")]
    pub used_us: u64,
    /// The time at which the incomplete reply began.
    #[prost(uint64, optional, tag = "5")]
    pub partial_since_us: Option<u64>,
    /// RPCs for which the connection has carried a call.
    #[prost(string, repeated, tag = "6")]
    pub carried_runs: Vec<String>,
}
