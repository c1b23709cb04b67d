//! The stored form of a controller's state, in protobuf. Field numbers and types never change. An older program version
//! skips fields that a newer one has added.

/// The stage of a request as it is stored.
pub(super) mod stage {
    pub const QUEUED: u32 = 0;
    pub const AWAITING_OUTCOME: u32 = 1;
    pub const ON_CORE: u32 = 2;
    pub const AWAITING_CALL: u32 = 3;
    pub const CALLING: u32 = 4;
}

/// The complete state of one [`AdmissionController`](crate::admission::AdmissionController). An older program version
/// skips fields that a newer one has added; field numbers and types never change.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdmissionSnapshot {
    /// The state of the random number generator.
    #[prost(fixed64, tag = "1")]
    pub(super) rng: u64,
    #[prost(message, required, tag = "2")]
    pub(super) integral_controller: IntegralControllerRecord,
    #[prost(message, required, tag = "3")]
    pub(super) size_classes: SizeClassesRecord,
    #[prost(message, required, tag = "4")]
    pub(super) cores: CoresRecord,
    #[prost(message, required, tag = "5")]
    pub(super) upstream_calls: UpstreamCallsRecord,
    /// The levels of all tenants' buckets in the deployment's order, as versions before `quota_buckets` wrote them.
    /// Read but never written.
    #[prost(double, repeated, tag = "6")]
    pub(super) levels_by_position: Vec<f64>,
    /// The time of the last arrival, at which quota buckets are charged.
    #[prost(uint64, tag = "7")]
    pub(super) quota_buckets_at_us: u64,
    #[prost(message, repeated, tag = "8")]
    pub(super) requests: Vec<RequestRecord>,
    #[prost(uint64, tag = "9")]
    pub(super) next_sequence: u64,
    #[prost(uint64, repeated, tag = "10")]
    pub(super) longest_waits_us: Vec<u64>,
    #[prost(double, repeated, tag = "11")]
    pub(super) runs: Vec<f64>,
    #[prost(double, repeated, tag = "12")]
    pub(super) calls: Vec<f64>,
    #[prost(message, required, tag = "13")]
    pub(super) core_times: ServiceTimesRecord,
    #[prost(message, required, tag = "14")]
    pub(super) run_times: ServiceTimesRecord,
    #[prost(message, required, tag = "15")]
    pub(super) call_times: HistogramRecord,
    #[prost(message, repeated, tag = "16")]
    pub(super) keys: Vec<KeyRecord>,
    #[prost(uint64, optional, tag = "17")]
    pub(super) full_since_us: Option<u64>,
    #[prost(double, tag = "18")]
    pub(super) wanted_share: f64,
    #[prost(double, tag = "19")]
    pub(super) last_sent_share: f64,
    #[prost(uint64, tag = "20")]
    pub(super) queue_wait_us: u64,
    #[prost(double, tag = "21")]
    pub(super) pressure: f64,
    #[prost(double, tag = "22")]
    pub(super) retries_rejected: f64,
    #[prost(uint64, tag = "23")]
    pub(super) next_tick_us: u64,
    #[prost(uint64, tag = "24")]
    pub(super) timer_us: u64,
    /// The cached buckets that are not full. The buckets of all other tenants are full.
    #[prost(message, repeated, tag = "25")]
    pub(super) quota_buckets: Vec<QuotaBucketRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct QuotaBucketRecord {
    #[prost(uint32, tag = "1")]
    pub(super) tenant_id: u32,
    #[prost(double, tag = "2")]
    pub(super) rate: f64,
    #[prost(double, tag = "3")]
    pub(super) level: f64,
    #[prost(uint64, tag = "4")]
    pub(super) refilled_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct IntegralControllerRecord {
    #[prost(bool, tag = "1")]
    pub(super) is_limiting: bool,
    #[prost(double, tag = "2")]
    pub(super) call_setpoint: f64,
    #[prost(double, tag = "3")]
    pub(super) admission_limit: f64,
    #[prost(double, tag = "4")]
    pub(super) observed_calls: f64,
    #[prost(double, tag = "5")]
    pub(super) max_calls: f64,
    #[prost(double, tag = "6")]
    pub(super) started: f64,
    #[prost(double, tag = "7")]
    pub(super) max_started: f64,
    #[prost(double, tag = "8")]
    pub(super) predicted_calls: f64,
    #[prost(bool, tag = "9")]
    pub(super) has_reached_setpoint: bool,
    #[prost(double, tag = "10")]
    pub(super) overload_signs: f64,
    #[prost(uint32, tag = "11")]
    pub(super) overloaded_periods: u32,
    #[prost(uint64, tag = "12")]
    pub(super) period_ends_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SizeClassesRecord {
    #[prost(bool, repeated, tag = "1")]
    pub(super) is_large: Vec<bool>,
    #[prost(double, tag = "2")]
    pub(super) small_mean_calls: f64,
    #[prost(double, tag = "3")]
    pub(super) large_mean_calls: f64,
    #[prost(double, tag = "4")]
    pub(super) release_probability: f64,
    #[prost(uint64, tag = "5")]
    pub(super) draw_sequence: u64,
    #[prost(uint64, tag = "6")]
    pub(super) drawn_us: u64,
    #[prost(bool, tag = "7")]
    pub(super) draw_may_start: bool,
    #[prost(bool, tag = "8")]
    pub(super) has_held_back_small: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CoresRecord {
    #[prost(bool, tag = "1")]
    pub(super) is_cold: bool,
    #[prost(uint64, tag = "2")]
    pub(super) started_us: u64,
    #[prost(double, tag = "3")]
    pub(super) above_cores: f64,
    #[prost(uint64, tag = "4")]
    pub(super) next_gauges_us: u64,
    #[prost(double, tag = "5")]
    pub(super) idle_timeout_us: f64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct UpstreamCallsRecord {
    #[prost(uint64, repeated, tag = "1")]
    pub(super) lingering: Vec<u64>,
    #[prost(double, tag = "2")]
    pub(super) mean_in_flight: f64,
    #[prost(double, tag = "3")]
    pub(super) mean_wanted: f64,
    #[prost(uint64, tag = "4")]
    pub(super) counted_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HistogramRecord {
    #[prost(uint32, repeated, tag = "1")]
    pub(super) bins: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ServiceTimesRecord {
    #[prost(double, repeated, tag = "1")]
    pub(super) means: Vec<f64>,
    #[prost(message, required, tag = "2")]
    pub(super) ratios: HistogramRecord,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct KeyRecord {
    #[prost(uint64, tag = "1")]
    pub(super) expires_us: u64,
    #[prost(string, tag = "2")]
    pub(super) id: String,
}

#[allow(clippy::struct_excessive_bools, reason = "the stored form has one field per flag")]
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RequestRecord {
    #[prost(uint64, tag = "1")]
    pub(super) sequence: u64,
    #[prost(string, tag = "2")]
    pub(super) id: String,
    #[prost(uint32, tag = "3")]
    pub(super) method: u32,
    #[prost(uint64, tag = "4")]
    pub(super) arrived_us: u64,
    #[prost(bool, tag = "5")]
    pub(super) is_retry: bool,
    #[prost(uint64, tag = "6")]
    pub(super) due_us: u64,
    #[prost(uint64, tag = "7")]
    pub(super) target_us: u64,
    #[prost(double, tag = "8")]
    pub(super) kb: f64,
    #[prost(uint64, optional, tag = "9")]
    pub(super) hint_us: Option<u64>,
    #[prost(uint32, optional, tag = "10")]
    pub(super) tenant_id: Option<u32>,
    #[prost(double, tag = "11")]
    pub(super) value: f64,
    /// A constant of `stage`.
    #[prost(uint32, tag = "12")]
    pub(super) stage: u32,
    #[prost(uint64, tag = "13")]
    pub(super) call_not_before_us: u64,
    #[prost(bool, tag = "14")]
    pub(super) is_settled: bool,
    #[prost(bool, tag = "15")]
    pub(super) is_stopping: bool,
    #[prost(uint64, tag = "16")]
    pub(super) started_us: u64,
    #[prost(uint64, tag = "17")]
    pub(super) on_core_since_us: u64,
    #[prost(uint64, tag = "18")]
    pub(super) core_time_us: u64,
    #[prost(uint32, tag = "19")]
    pub(super) calls: u32,
    #[prost(bool, tag = "20")]
    pub(super) skips_calls: bool,
    /// The tenant's quota when the request arrived.
    #[prost(double, optional, tag = "21")]
    pub(super) tenant_per_second: Option<f64>,
}
