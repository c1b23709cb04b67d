//! All state of an admission controller as records, so that a successor goes on where this process stopped. Nothing is
//! decided here: each value is written and read back as it stands. What the deployment states is not part of it: that is
//! read anew, and what does not fit it is an error.

use super::concurrency_limit::ConcurrencyLimit;
use super::integral_controller::IntegralController;
use super::quota::{QuotaBucket, QuotaBuckets};
use super::request::{AnswerState, Request, RequestState, Run, RunPhase};
use super::request_table::RequestTable;
use super::service_time::{LatencyHistogram, ServiceTimeEstimator};
use super::size_classes::{CallStatistics, ReleaseDraw, SizeClasses};
use super::upstream_calls::UpstreamCalls;
use super::{AdmissionConfig, AdmissionController};
use crate::host::{Host, RpcId, Tenant};

/// Why a snapshot does not fit this deployment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// A list has one entry a method, and the deployment has another number of methods.
    #[error("{what} of {found} methods, {expected} here")]
    Methods {
        /// What the list holds.
        what: &'static str,
        /// Its length.
        found: usize,
        /// The deployment's methods.
        expected: usize,
    },
    /// An older program wrote one bucket a tenant, and the deployment has another number of tenants.
    #[error("buckets of {found} tenants, {expected} here")]
    Tenants {
        /// Buckets in the snapshot.
        found: usize,
        /// The deployment's tenants.
        expected: usize,
    },
    /// A histogram has another number of bins.
    #[error("a histogram of another size")]
    HistogramSize,
    /// A request is in a stage that this program does not know.
    #[error("an RPC in an unknown stage {0}")]
    UnknownStage(u32),
    /// A request is of a method that the deployment does not have.
    #[error("an RPC of an unknown method")]
    UnknownMethod,
}

/// The stage of a request as it is stored.
mod stage {
    pub const QUEUED: u32 = 0;
    pub const AWAITING_OUTCOME: u32 = 1;
    pub const ON_CORE: u32 = 2;
    pub const AWAITING_CALL: u32 = 3;
    pub const CALLING: u32 = 4;
}

/// All state of one [`AdmissionController`], in protobuf. What a newer program adds is passed over by an older one; field
/// numbers and types never change.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdmissionSnapshot {
    /// The state of the random numbers.
    #[prost(fixed64, tag = "1")]
    rng: u64,
    #[prost(message, required, tag = "2")]
    integral_controller: IntegralControllerRecord,
    #[prost(message, required, tag = "3")]
    size_classes: SizeClassesRecord,
    #[prost(message, required, tag = "4")]
    cores: CoresRecord,
    #[prost(message, required, tag = "5")]
    upstream_calls: UpstreamCallsRecord,
    /// Levels of all tenants' buckets in the deployment's order, as programs before `quota_buckets` wrote them. Read
    /// only.
    #[prost(double, repeated, tag = "6")]
    levels_by_position: Vec<f64>,
    /// The time that charges of quota buckets count from.
    #[prost(uint64, tag = "7")]
    quota_buckets_at_us: u64,
    #[prost(message, repeated, tag = "8")]
    requests: Vec<RequestRecord>,
    #[prost(uint64, tag = "9")]
    next_sequence: u64,
    #[prost(uint64, repeated, tag = "10")]
    longest_waits_us: Vec<u64>,
    #[prost(double, repeated, tag = "11")]
    runs: Vec<f64>,
    #[prost(double, repeated, tag = "12")]
    calls: Vec<f64>,
    #[prost(message, required, tag = "13")]
    core_times: ServiceTimesRecord,
    #[prost(message, required, tag = "14")]
    run_times: ServiceTimesRecord,
    #[prost(message, required, tag = "15")]
    call_times: HistogramRecord,
    #[prost(message, repeated, tag = "16")]
    keys: Vec<KeyRecord>,
    #[prost(uint64, optional, tag = "17")]
    full_since_us: Option<u64>,
    #[prost(double, tag = "18")]
    wanted: f64,
    #[prost(double, tag = "19")]
    told: f64,
    #[prost(uint64, tag = "20")]
    queue_wait_us: u64,
    #[prost(double, tag = "21")]
    pressure: f64,
    #[prost(double, tag = "22")]
    retries_rejected: f64,
    #[prost(uint64, tag = "23")]
    next_tick_us: u64,
    #[prost(uint64, tag = "24")]
    timer_us: u64,
    /// The buckets that are cached; those of all other tenants are full.
    #[prost(message, repeated, tag = "25")]
    quota_buckets: Vec<QuotaBucketRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct QuotaBucketRecord {
    #[prost(uint32, tag = "1")]
    tenant_id: u32,
    #[prost(double, tag = "2")]
    rate: f64,
    #[prost(double, tag = "3")]
    level: f64,
    #[prost(uint64, tag = "4")]
    refilled_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct IntegralControllerRecord {
    #[prost(bool, tag = "1")]
    is_limiting: bool,
    #[prost(double, tag = "2")]
    call_setpoint: f64,
    #[prost(double, tag = "3")]
    admission_limit: f64,
    #[prost(double, tag = "4")]
    observed_calls: f64,
    #[prost(double, tag = "5")]
    max_calls: f64,
    #[prost(double, tag = "6")]
    started: f64,
    #[prost(double, tag = "7")]
    max_started: f64,
    #[prost(double, tag = "8")]
    predicted_calls: f64,
    #[prost(bool, tag = "9")]
    has_reached_setpoint: bool,
    #[prost(double, tag = "10")]
    overload_signs: f64,
    #[prost(uint32, tag = "11")]
    overloaded_periods: u32,
    #[prost(uint64, tag = "12")]
    period_ends_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SizeClassesRecord {
    #[prost(bool, repeated, tag = "1")]
    is_large: Vec<bool>,
    #[prost(double, tag = "2")]
    small_mean_calls: f64,
    #[prost(double, tag = "3")]
    large_mean_calls: f64,
    #[prost(double, tag = "4")]
    release_probability: f64,
    #[prost(uint64, tag = "5")]
    draw_sequence: u64,
    #[prost(uint64, tag = "6")]
    drawn_us: u64,
    #[prost(bool, tag = "7")]
    draw_may_start: bool,
    #[prost(bool, tag = "8")]
    has_held_back_small: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CoresRecord {
    #[prost(bool, tag = "1")]
    is_cold: bool,
    #[prost(uint64, tag = "2")]
    started_us: u64,
    #[prost(double, tag = "3")]
    above_cores: f64,
    #[prost(uint64, tag = "4")]
    next_gauges_us: u64,
    #[prost(double, tag = "5")]
    idle_timeout_us: f64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct UpstreamCallsRecord {
    #[prost(uint64, repeated, tag = "1")]
    lingering: Vec<u64>,
    #[prost(double, tag = "2")]
    mean_in_flight: f64,
    #[prost(double, tag = "3")]
    mean_wanted: f64,
    #[prost(uint64, tag = "4")]
    counted_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HistogramRecord {
    #[prost(uint32, repeated, tag = "1")]
    bins: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ServiceTimesRecord {
    #[prost(double, repeated, tag = "1")]
    means: Vec<f64>,
    #[prost(message, required, tag = "2")]
    ratios: HistogramRecord,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeyRecord {
    #[prost(uint64, tag = "1")]
    expires_us: u64,
    #[prost(string, tag = "2")]
    id: String,
}

#[allow(clippy::struct_excessive_bools, reason = "the stored form has a field for each")]
#[derive(Clone, PartialEq, prost::Message)]
struct RequestRecord {
    #[prost(uint64, tag = "1")]
    sequence: u64,
    #[prost(string, tag = "2")]
    id: String,
    #[prost(uint32, tag = "3")]
    method: u32,
    #[prost(uint64, tag = "4")]
    arrived_us: u64,
    #[prost(bool, tag = "5")]
    is_retry: bool,
    #[prost(uint64, tag = "6")]
    due_us: u64,
    #[prost(uint64, tag = "7")]
    target_us: u64,
    #[prost(double, tag = "8")]
    kb: f64,
    #[prost(uint64, optional, tag = "9")]
    hint_us: Option<u64>,
    #[prost(uint32, optional, tag = "10")]
    tenant_id: Option<u32>,
    #[prost(double, tag = "11")]
    value: f64,
    /// One of the constants in `stage`.
    #[prost(uint32, tag = "12")]
    stage: u32,
    #[prost(uint64, tag = "13")]
    call_not_before_us: u64,
    #[prost(bool, tag = "14")]
    is_settled: bool,
    #[prost(bool, tag = "15")]
    is_stopping: bool,
    #[prost(uint64, tag = "16")]
    started_us: u64,
    #[prost(uint64, tag = "17")]
    on_core_since_us: u64,
    #[prost(uint64, tag = "18")]
    core_time_us: u64,
    #[prost(uint32, tag = "19")]
    calls: u32,
    #[prost(bool, tag = "20")]
    skips_calls: bool,
    /// The tenant's quota when it arrived.
    #[prost(double, optional, tag = "21")]
    tenant_per_second: Option<f64>,
}

impl AdmissionSnapshot {
    /// Adds the quotas of the deployment that this is read for, in the order of its tenants, to what an older program
    /// wrote without them. What a program of today wrote stays as it is.
    ///
    /// # Errors
    /// An older program wrote buckets for another number of tenants.
    pub fn complete_quotas(&mut self, per_second: &[f64], servers: u32) -> Result<(), SnapshotError> {
        for request in self.requests.iter_mut().filter(|request| request.tenant_per_second.is_none()) {
            request.tenant_per_second = request.tenant_id.and_then(|id| per_second.get(id as usize)).copied();
        }
        let levels = std::mem::take(&mut self.levels_by_position);
        if levels.is_empty() {
            return Ok(());
        }
        if levels.len() != per_second.len() {
            return Err(SnapshotError::Tenants { found: levels.len(), expected: per_second.len() });
        }
        let servers = f64::from(servers.max(1));
        let refilled_us = self.quota_buckets_at_us;
        for (tenant_id, (level, per_second)) in (0..).zip(levels.into_iter().zip(per_second)) {
            let rate = per_second / servers;
            self.quota_buckets.push(QuotaBucketRecord { tenant_id, rate, level, refilled_us });
        }
        Ok(())
    }
}

impl QuotaBuckets {
    fn to_records(&self) -> Vec<QuotaBucketRecord> {
        let record = |tenant_id: u32| {
            let QuotaBucket { rate, level, refilled_us, .. } = self.cached[&tenant_id];
            QuotaBucketRecord { tenant_id, rate, level, refilled_us }
        };
        let not_full = self.by_full_time.range((self.now_us + 1, 0)..);
        not_full.map(|(_, tenant_id)| record(*tenant_id)).collect()
    }

    fn from_records(servers: u32, now_us: u64, records: Vec<QuotaBucketRecord>) -> QuotaBuckets {
        let mut buckets = QuotaBuckets::new(servers);
        buckets.now_us = now_us;
        for record in records.into_iter().filter(|record| record.rate > 0.0) {
            let bucket = QuotaBucket::new(record.rate, record.level, record.refilled_us);
            buckets.insert(record.tenant_id, bucket);
            buckets.evict();
        }
        buckets
    }
}

impl From<&LatencyHistogram> for HistogramRecord {
    fn from(histogram: &LatencyHistogram) -> HistogramRecord {
        HistogramRecord { bins: histogram.bins.iter().map(|samples| u32::from(*samples)).collect() }
    }
}

impl TryFrom<&HistogramRecord> for LatencyHistogram {
    type Error = SnapshotError;

    fn try_from(record: &HistogramRecord) -> Result<LatencyHistogram, SnapshotError> {
        let bins: Vec<u16> = record.bins.iter().map(|samples| *samples as u16).collect();
        let bins: [u16; LatencyHistogram::BINS] =
            bins.try_into().map_err(|_| SnapshotError::HistogramSize)?;
        Ok(LatencyHistogram { bins, total: bins.iter().sum() })
    }
}

impl From<&ServiceTimeEstimator> for ServiceTimesRecord {
    fn from(times: &ServiceTimeEstimator) -> ServiceTimesRecord {
        ServiceTimesRecord { means: times.means.clone(), ratios: (&times.ratios).into() }
    }
}

impl ServiceTimesRecord {
    fn restore(self, methods: usize) -> Result<ServiceTimeEstimator, SnapshotError> {
        let means = one_a_method("run times", self.means, methods)?;
        Ok(ServiceTimeEstimator { means, ratios: (&self.ratios).try_into()? })
    }
}

impl From<&IntegralController> for IntegralControllerRecord {
    fn from(controller: &IntegralController) -> IntegralControllerRecord {
        IntegralControllerRecord {
            is_limiting: controller.is_limiting,
            call_setpoint: controller.call_setpoint,
            admission_limit: controller.admission_limit,
            observed_calls: controller.observed_calls,
            max_calls: controller.max_calls,
            started: controller.started,
            max_started: controller.max_started,
            predicted_calls: controller.predicted_calls,
            has_reached_setpoint: controller.has_reached_setpoint,
            overload_signs: controller.overload_signs,
            overloaded_periods: controller.overloaded_periods,
            period_ends_us: controller.period_ends_us,
        }
    }
}

impl From<IntegralControllerRecord> for IntegralController {
    fn from(record: IntegralControllerRecord) -> IntegralController {
        IntegralController {
            is_limiting: record.is_limiting,
            call_setpoint: record.call_setpoint,
            admission_limit: record.admission_limit,
            observed_calls: record.observed_calls,
            max_calls: record.max_calls,
            started: record.started,
            max_started: record.max_started,
            predicted_calls: record.predicted_calls,
            has_reached_setpoint: record.has_reached_setpoint,
            overload_signs: record.overload_signs,
            overloaded_periods: record.overloaded_periods,
            period_ends_us: record.period_ends_us,
        }
    }
}

impl From<&SizeClasses> for SizeClassesRecord {
    fn from(classes: &SizeClasses) -> SizeClassesRecord {
        let [small_mean_calls, large_mean_calls] = classes.mean_calls;
        SizeClassesRecord {
            is_large: classes.is_large.clone(),
            small_mean_calls,
            large_mean_calls,
            release_probability: classes.release_probability,
            draw_sequence: classes.draw.sequence,
            drawn_us: classes.draw.drawn_us,
            draw_may_start: classes.draw.may_start,
            has_held_back_small: classes.has_held_back_small,
        }
    }
}

impl SizeClassesRecord {
    fn restore(self, methods: usize) -> Result<SizeClasses, SnapshotError> {
        let draw = ReleaseDraw {
            sequence: self.draw_sequence,
            drawn_us: self.drawn_us,
            may_start: self.draw_may_start,
        };
        Ok(SizeClasses {
            is_large: one_a_method("lanes", self.is_large, methods)?,
            mean_calls: [self.small_mean_calls, self.large_mean_calls],
            release_probability: self.release_probability,
            draw,
            has_held_back_small: self.has_held_back_small,
        })
    }
}

impl From<&UpstreamCalls> for UpstreamCallsRecord {
    fn from(calls: &UpstreamCalls) -> UpstreamCallsRecord {
        UpstreamCallsRecord {
            lingering: calls.lingering.iter().copied().collect(),
            mean_in_flight: calls.mean_in_flight,
            mean_wanted: calls.mean_wanted,
            counted_us: calls.counted_us,
        }
    }
}

impl RequestRecord {
    fn of(sequence: u64, request: &Request) -> RequestRecord {
        let record = RequestRecord {
            sequence,
            id: request.id.to_string(),
            method: request.method as u32,
            arrived_us: request.arrived_us,
            is_retry: request.is_retry,
            due_us: request.due_us,
            target_us: request.target_us,
            kb: request.kb,
            hint_us: request.hint_us,
            tenant_id: request.tenant.map(|tenant| tenant.id),
            tenant_per_second: request.tenant.map(|tenant| tenant.per_second),
            value: request.value,
            ..RequestRecord::default()
        };
        match &request.state {
            RequestState::Queued => RequestRecord { stage: stage::QUEUED, ..record },
            RequestState::AwaitingOutcome => RequestRecord { stage: stage::AWAITING_OUTCOME, ..record },
            RequestState::Started(run) => record.with_run(run),
        }
    }

    fn with_run(self, run: &Run) -> RequestRecord {
        let (stage, call_not_before_us) = match run.phase {
            RunPhase::OnCore => (stage::ON_CORE, 0),
            RunPhase::AwaitingCall { not_before_us } => (stage::AWAITING_CALL, not_before_us),
            RunPhase::Calling => (stage::CALLING, 0),
        };
        RequestRecord {
            stage,
            call_not_before_us,
            is_settled: run.is_settled(),
            is_stopping: run.answer == AnswerState::Stopping,
            started_us: run.started_us,
            on_core_since_us: run.on_core_since_us,
            core_time_us: run.core_time_us,
            calls: run.calls,
            skips_calls: run.skips_calls,
            ..self
        }
    }

    fn restore(self, methods: usize) -> Result<Request, SnapshotError> {
        let state = match self.stage {
            stage::QUEUED => RequestState::Queued,
            stage::AWAITING_OUTCOME => RequestState::AwaitingOutcome,
            stage::ON_CORE => RequestState::Started(self.run(RunPhase::OnCore)),
            stage::AWAITING_CALL => {
                let not_before_us = self.call_not_before_us;
                RequestState::Started(self.run(RunPhase::AwaitingCall { not_before_us }))
            }
            stage::CALLING => RequestState::Started(self.run(RunPhase::Calling)),
            other => return Err(SnapshotError::UnknownStage(other)),
        };
        if self.method as usize >= methods {
            return Err(SnapshotError::UnknownMethod);
        }
        let tenant = self.tenant_id.zip(self.tenant_per_second);
        Ok(Request {
            id: RpcId::from(self.id),
            method: self.method as usize,
            arrived_us: self.arrived_us,
            is_retry: self.is_retry,
            due_us: self.due_us,
            target_us: self.target_us,
            kb: self.kb,
            hint_us: self.hint_us,
            tenant: tenant.map(|(id, per_second)| Tenant { id, per_second }),
            value: self.value,
            state,
        })
    }

    fn run(&self, phase: RunPhase) -> Run {
        let answer = match (self.is_settled, self.is_stopping) {
            (_, true) => AnswerState::Stopping,
            (true, false) => AnswerState::Settled,
            (false, false) => AnswerState::Owed,
        };
        Run {
            phase,
            answer,
            started_us: self.started_us,
            on_core_since_us: self.on_core_since_us,
            core_time_us: self.core_time_us,
            calls: self.calls,
            skips_calls: self.skips_calls,
        }
    }
}

impl RequestTable {
    fn restore(
        records: Vec<RequestRecord>,
        next_sequence: u64,
        methods: usize,
    ) -> Result<RequestTable, SnapshotError> {
        let mut table = RequestTable { next_sequence, ..RequestTable::default() };
        for record in records {
            let sequence = record.sequence;
            let request = record.restore(methods)?;
            table.by_id.insert(request.id.clone(), sequence);
            table.requests.insert(sequence, request);
        }
        Ok(table)
    }

    /// The id in an allocation that it shares with the request of that id, if there is one.
    fn shared_id(&self, id: String) -> RpcId {
        match self.by_id.get_key_value(id.as_str()) {
            Some((shared, _)) => shared.clone(),
            None => id.into(),
        }
    }
}

fn one_a_method<T>(what: &'static str, list: Vec<T>, methods: usize) -> Result<Vec<T>, SnapshotError> {
    if list.len() == methods {
        Ok(list)
    } else {
        Err(SnapshotError::Methods { what, found: list.len(), expected: methods })
    }
}

impl<H: Host> AdmissionController<H> {
    /// All state as records. Nothing may be reported to this controller after it, if another goes on from there.
    pub fn snapshot(&self) -> AdmissionSnapshot {
        let keys = self.keys.0.iter();
        AdmissionSnapshot {
            rng: self.rng.get_seed(),
            integral_controller: (&self.integral_controller).into(),
            size_classes: (&self.size_classes).into(),
            cores: CoresRecord {
                is_cold: self.concurrency_limit.survivable.is_cold,
                started_us: self.concurrency_limit.started_us,
                above_cores: self.concurrency_limit.above_cores,
                next_gauges_us: self.gauges.next_us,
                idle_timeout_us: self.idle_timeout.timeout_us,
            },
            upstream_calls: (&self.upstream_calls).into(),
            levels_by_position: Vec::new(),
            quota_buckets_at_us: self.quota_buckets.now_us,
            quota_buckets: self.quota_buckets.to_records(),
            requests: self
                .requests
                .iter()
                .map(|(sequence, request)| RequestRecord::of(sequence, request))
                .collect(),
            next_sequence: self.requests.next_sequence,
            longest_waits_us: self.longest_waits_us.clone(),
            runs: self.call_statistics.iter().map(|statistics| statistics.runs).collect(),
            calls: self.call_statistics.iter().map(|statistics| statistics.calls).collect(),
            core_times: (&self.core_times).into(),
            run_times: (&self.run_times).into(),
            call_times: (&self.upstream_calls.times).into(),
            keys: keys
                .map(|(expires_us, id)| KeyRecord { expires_us: *expires_us, id: id.to_string() })
                .collect(),
            full_since_us: self.queue.full_since_us,
            wanted: self.load_signal.wanted,
            told: self.load_signal.told,
            queue_wait_us: self.queue.wait_us,
            pressure: self.queue.pressure,
            retries_rejected: self.load_signal.retries_rejected,
            next_tick_us: self.next_tick_us,
            timer_us: self.timer_us,
        }
    }

    /// Goes on from what another wrote down on the same clock. Nothing is asked of the host yet.
    ///
    /// # Errors
    /// The snapshot does not fit the deployment.
    pub fn resume(
        host: H,
        config: AdmissionConfig,
        snapshot: AdmissionSnapshot,
    ) -> Result<AdmissionController<H>, SnapshotError> {
        let methods = config.methods.len();
        let servers = config.quotas.servers;
        let mut controller = AdmissionController::new(host, snapshot.cores.started_us, snapshot.rng, config);
        let requests = RequestTable::restore(snapshot.requests, snapshot.next_sequence, methods)?;
        // Keys name the same ids as the requests that are still here: one allocation serves both.
        let keys = snapshot.keys.into_iter();
        controller.keys.0 = keys.map(|key| (key.expires_us, requests.shared_id(key.id))).collect();
        controller.requests = requests;
        let runs = one_a_method("runs seen", snapshot.runs, methods)?;
        let calls = one_a_method("calls seen", snapshot.calls, methods)?;
        let statistics = runs.into_iter().zip(calls);
        controller.call_statistics = statistics.map(|(runs, calls)| CallStatistics { runs, calls }).collect();
        controller.longest_waits_us = one_a_method("longest waits", snapshot.longest_waits_us, methods)?;
        controller.core_times = snapshot.core_times.restore(methods)?;
        controller.run_times = snapshot.run_times.restore(methods)?;
        controller.upstream_calls.restore(snapshot.upstream_calls, &snapshot.call_times)?;
        controller.integral_controller = snapshot.integral_controller.into();
        controller.size_classes = snapshot.size_classes.restore(methods)?;
        controller.concurrency_limit.restore(&snapshot.cores);
        controller.gauges.next_us = snapshot.cores.next_gauges_us;
        controller.idle_timeout.timeout_us = snapshot.cores.idle_timeout_us;
        controller.quota_buckets =
            QuotaBuckets::from_records(servers, snapshot.quota_buckets_at_us, snapshot.quota_buckets);
        controller.queue.full_since_us = snapshot.full_since_us;
        controller.queue.wait_us = snapshot.queue_wait_us;
        controller.queue.pressure = snapshot.pressure;
        controller.load_signal.wanted = snapshot.wanted;
        controller.load_signal.told = snapshot.told;
        controller.load_signal.retries_rejected = snapshot.retries_rejected;
        controller.next_tick_us = snapshot.next_tick_us;
        controller.timer_us = snapshot.timer_us;
        Ok(controller)
    }
}

impl UpstreamCalls {
    fn restore(&mut self, record: UpstreamCallsRecord, times: &HistogramRecord) -> Result<(), SnapshotError> {
        self.lingering = record.lingering.into();
        self.mean_in_flight = record.mean_in_flight;
        self.mean_wanted = record.mean_wanted;
        self.counted_us = record.counted_us;
        self.times = times.try_into()?;
        Ok(())
    }
}

impl ConcurrencyLimit {
    fn restore(&mut self, record: &CoresRecord) {
        // Whether the server started cold is known to the process that started it, not to its successor.
        self.survivable.is_cold = record.is_cold;
        self.started_us = record.started_us;
        self.above_cores = record.above_cores;
    }
}
