//! All state of an admission controller as records, so that a successor goes on where this process stopped. Nothing is
//! decided here: each value is written and read back as it stands. What the deployment states is not part of it: that is
//! read anew, and what does not fit it is an error.

mod conversions;
mod error;
mod records;

pub use error::SnapshotError;
pub use records::AdmissionSnapshot;

use super::quota::QuotaBuckets;
use super::request_table::RequestTable;
use super::size_classes::CallStatistics;
use super::{AdmissionConfig, AdmissionController};
use crate::host::Host;
use conversions::one_a_method;
use records::{CoresRecord, KeyRecord, QuotaBucketRecord, RequestRecord};

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
