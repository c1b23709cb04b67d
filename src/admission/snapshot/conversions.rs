//! Conversions between the parts of a controller's state and their records.

use super::error::SnapshotError;
use super::records::{
    stage, CoresRecord, HistogramRecord, IntegralControllerRecord, QuotaBucketRecord, RequestRecord,
    ServiceTimesRecord, SizeClassesRecord, UpstreamCallsRecord,
};
use crate::admission::concurrency_limit::ConcurrencyLimit;
use crate::admission::integral_controller::IntegralController;
use crate::admission::quota::{QuotaBucket, QuotaBuckets};
use crate::admission::request::{AnswerState, Request, RequestState, Run, RunPhase};
use crate::admission::request_table::RequestTable;
use crate::admission::service_time::{LatencyHistogram, ServiceTimeEstimator};
use crate::admission::size_classes::{ReleaseDraw, SizeClasses};
use crate::admission::upstream_calls::UpstreamCalls;
use crate::host::{RpcId, Tenant};

impl QuotaBuckets {
    pub(super) fn to_records(&self) -> Vec<QuotaBucketRecord> {
        let record = |tenant_id: u32| {
            let QuotaBucket { rate, level, refilled_us, .. } = self.cached[&tenant_id];
            QuotaBucketRecord { tenant_id, rate, level, refilled_us }
        };
        let not_full = self.by_full_time.range((self.now_us + 1, 0)..);
        not_full.map(|(_, tenant_id)| record(*tenant_id)).collect()
    }

    pub(super) fn from_records(servers: u32, now_us: u64, records: Vec<QuotaBucketRecord>) -> QuotaBuckets {
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
    pub(super) fn restore(self, methods: usize) -> Result<ServiceTimeEstimator, SnapshotError> {
        let means = check_one_per_method("run times", self.means, methods)?;
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
    pub(super) fn restore(self, methods: usize) -> Result<SizeClasses, SnapshotError> {
        let draw = ReleaseDraw {
            sequence: self.draw_sequence,
            drawn_us: self.drawn_us,
            may_start: self.draw_may_start,
        };
        Ok(SizeClasses {
            is_large: check_one_per_method("size classes", self.is_large, methods)?,
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
    pub(super) fn of(sequence: u64, request: &Request) -> RequestRecord {
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

    pub(super) fn restore(self, methods: usize) -> Result<Request, SnapshotError> {
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
            (false, false) => AnswerState::Pending,
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
    pub(super) fn restore(
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

    /// Returns the id in the same allocation as the request of that id, if the table contains one.
    pub(super) fn shared_id(&self, id: String) -> RpcId {
        match self.by_id.get_key_value(id.as_str()) {
            Some((shared, _)) => shared.clone(),
            None => id.into(),
        }
    }
}

pub(super) fn check_one_per_method<T>(
    what: &'static str,
    list: Vec<T>,
    methods: usize,
) -> Result<Vec<T>, SnapshotError> {
    if list.len() == methods {
        Ok(list)
    } else {
        Err(SnapshotError::Methods { what, found: list.len(), expected: methods })
    }
}

impl UpstreamCalls {
    pub(super) fn restore(
        &mut self,
        record: UpstreamCallsRecord,
        times: &HistogramRecord,
    ) -> Result<(), SnapshotError> {
        self.lingering = record.lingering.into();
        self.mean_in_flight = record.mean_in_flight;
        self.mean_wanted = record.mean_wanted;
        self.counted_us = record.counted_us;
        self.times = times.try_into()?;
        Ok(())
    }
}

impl ConcurrencyLimit {
    pub(super) fn restore(&mut self, record: &CoresRecord) {
        // Only the process that started the server knows whether it started cold; a successor takes this from the
        // snapshot.
        self.survivable.is_cold = record.is_cold;
        self.started_us = record.started_us;
        self.above_cores = record.above_cores;
    }
}
