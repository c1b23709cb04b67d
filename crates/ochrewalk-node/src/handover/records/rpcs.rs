//! RPCs that are open, and who waits for them.

use prost::Message;

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
