//! Records of open RPCs, and of the clients that wait for their answers.

use prost::Message;

/// All open RPCs.
#[derive(Clone, PartialEq, Message)]
pub struct RpcRecords {
    /// The RPCs.
    #[prost(message, repeated, tag = "1")]
    pub rpcs: Vec<RpcRecord>,
}

/// The record of an open RPC.
#[derive(Clone, PartialEq, Message)]
pub struct RpcRecord {
    /// The RPC's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The position of the method in the deployment's list.
    #[prost(uint32, tag = "2")]
    pub method: u32,
    /// The memory that the RPC needs, in KB.
    #[prost(double, tag = "3")]
    pub memory_kb: f64,
    /// The time at which the RPC reached the machine.
    #[prost(uint64, tag = "4")]
    pub arrived_unix_ms: u64,
    /// The time for which the client still waits, in microseconds, where the request conveys it.
    #[prost(uint64, optional, tag = "5")]
    pub time_left_us: Option<u64>,
    /// The idempotency key.
    #[prost(string, optional, tag = "6")]
    pub idempotency_key: Option<String>,
    /// The fingerprint of the RPC's method and body; 0 without an idempotency key.
    #[prost(fixed64, tag = "7")]
    pub fingerprint: u64,
    /// The body, a JSON string as received.
    #[prost(string, tag = "8")]
    pub body: String,
    /// Whether the client still waits for an answer.
    #[prost(bool, tag = "9")]
    pub awaits_answer: bool,
    /// Whether the executor runs the RPC.
    #[prost(bool, tag = "10")]
    pub is_running: bool,
    /// The upstream call that the run waits for.
    #[prost(message, optional, tag = "11")]
    pub call: Option<CallRecord>,
    /// The client that waits for the answer; none where no client waits.
    #[prost(message, optional, tag = "12")]
    pub client: Option<ClientAddress>,
}

/// An upstream call.
#[derive(Clone, PartialEq, Message)]
pub struct CallRecord {
    /// The position of the executor's notice that requested the call.
    #[prost(uint64, tag = "1")]
    pub pos: u64,
    /// The payload of the call.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// Whether the call was sent; the following times are 0 otherwise.
    #[prost(bool, tag = "3")]
    pub is_placed: bool,
    /// The time at which the call was sent.
    #[prost(uint64, tag = "4")]
    pub placed_at_us: u64,
    /// The deadline of the call.
    #[prost(uint64, tag = "5")]
    pub until_us: u64,
}

/// The address by which a successor finds the client that waits for an answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClientAddress {
    /// Whether the connection is an AJP connection; otherwise it is a JSON-RPC connection.
    #[prost(bool, tag = "1")]
    pub is_ajp: bool,
    /// The connection's number.
    #[prost(uint64, tag = "2")]
    pub connection: u64,
    /// JSON-RPC: the message's id.
    #[prost(string, tag = "3")]
    pub message_id: String,
    /// AJP: the number of earlier requests on the connection.
    #[prost(uint64, tag = "4")]
    pub serial: u64,
}
