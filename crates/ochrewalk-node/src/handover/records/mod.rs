//! The records that a predecessor writes for its successor, in protobuf. An older program skips a field that a newer one
//! has added; a change that an older program has to understand needs a new version of its section.
//!
//! Times in `_us` are microseconds of the node's clock, which the successor continues; times in `_ms` are Unix time.

mod connections;
mod rpcs;

pub use connections::{
    AjpConnectionRecord, AjpConnectionRecords, AjpRequestRecord, ExecutorRecord, JsonRpcConnectionRecord,
    JsonRpcConnectionRecords, OpenRpcRecord, StreamRecord, UpstreamConnectionRecord, UpstreamRecord,
};
pub use rpcs::{CallRecord, ClientAddress, RpcRecord, RpcRecords};

use ochrewalk_handover::messages::Section;
use prost::Message;

/// The sections that are sent during the pause, each with the version that this program writes, which is also the newest
/// version that it reads.
pub const SECTIONS: [(&str, u32); 7] =
    [("node", 1), ("listeners", 1), ("rpcs", 1), ("json", 1), ("ajp", 1), ("executor", 1), ("below", 1)];

/// The section that is sent ahead of the pause, to programs that support it, with its version.
pub const AHEAD: (&str, u32) = ("tokens", 1);

/// Returns the sections that are sent during the pause, and those that are sent ahead of it.
pub fn sections() -> (Vec<Section>, Vec<Section>) {
    let section = |(name, version): &(&str, u32)| Section { name: (*name).into(), version: *version };
    (SECTIONS.iter().map(section).collect(), vec![section(&AHEAD)])
}

/// The admission controller, the idempotency keys, and all state that belongs to no other section.
#[derive(Clone, PartialEq, Message)]
pub struct NodeRecord {
    /// The origin of the node's clock, in nanoseconds of the system's monotonic clock.
    #[prost(int64, tag = "1")]
    pub clock_base_ns: i64,
    /// The first half of the key of the fingerprints of RPCs' work.
    #[prost(fixed64, tag = "2")]
    pub fingerprint_key: u64,
    /// The second half of that key.
    #[prost(fixed64, tag = "3")]
    pub fingerprint_key_second_half: u64,
    /// The state of the admission controller; none where the executor has never been up.
    #[prost(message, optional, tag = "4")]
    pub decisions: Option<ochrewalk::admission::snapshot::AdmissionSnapshot>,
    /// Whether health checks pass; none before the admission controller has started.
    #[prost(bool, optional, tag = "5")]
    pub is_healthy: Option<bool>,
    /// The load signal that is sent with every answer.
    #[prost(double, optional, tag = "6")]
    pub load_signal: Option<f64>,
    /// The time after which idle connections are closed, in microseconds.
    #[prost(uint64, tag = "7")]
    pub max_idle_us: u64,
    /// The time of the admission controller's timer.
    #[prost(uint64, tag = "8")]
    pub timer_us: u64,
    /// The token by which the admission controller recognises that timer.
    #[prost(uint64, tag = "9")]
    pub timer_token: u64,
    /// All idempotency keys, or those that have changed since the keys were sent ahead.
    #[prost(message, repeated, tag = "10")]
    pub keys: Vec<IdempotencyKeyRecord>,
    /// Idempotency keys that were sent ahead and have been removed since.
    #[prost(string, repeated, tag = "11")]
    pub removed_keys: Vec<String>,
    /// The ids of recent runs that must not happen twice.
    #[prost(message, repeated, tag = "12")]
    pub recent_runs: Vec<RecentRunRecord>,
}

/// The id of a recent run that must not happen twice.
#[derive(Clone, PartialEq, Message)]
pub struct RecentRunRecord {
    /// The RPC's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The time until which the id must not run again.
    #[prost(uint64, tag = "2")]
    pub until_ms: u64,
}

/// A chunk of the idempotency keys that are sent ahead of the pause.
#[derive(Clone, PartialEq, Message)]
pub struct IdempotencyKeyRecords {
    /// The keys.
    #[prost(message, repeated, tag = "1")]
    pub keys: Vec<IdempotencyKeyRecord>,
}

/// An idempotency key, and the outcome of the RPC that holds it.
#[derive(Clone, PartialEq, Message)]
pub struct IdempotencyKeyRecord {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The RPC that runs, or ran, with this key.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// The fingerprint of the RPC's method and body, which all attempts of one RPC share.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
    /// The time at which the key expires.
    #[prost(uint64, tag = "4")]
    pub until_ms: u64,
    /// The state: 0 open, 1 served, 2 failed.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// The result of an RPC that was served.
    #[prost(string, tag = "6")]
    pub result: String,
    /// Other attempts that wait for the result.
    #[prost(string, repeated, tag = "7")]
    pub waiting: Vec<String>,
}
