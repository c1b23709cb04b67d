//! Snapshots: the complete state of an admission controller as records, from which a successor process continues. This
//! module makes no decision: each value is written and read back unchanged. The deployment's settings are not part of a
//! snapshot. The successor reads them again, and a snapshot that does not fit them is an error.

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
use conversions::check_one_per_method;
use records::{CoresRecord, KeyRecord, QuotaBucketRecord, RequestRecord};

impl AdmissionSnapshot {
    /// Adds the quotas of the deployment to a snapshot that an older program version wrote without them. `per_second`
    /// is in the order of the deployment's tenants. Snapshots of the present version are not changed.
    ///
    /// # Errors
    /// Returns an error if an older version wrote buckets for another number of tenants.
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
    /// Returns the complete state as records. After that, no event may be reported to this controller if a successor
    /// continues from the snapshot.
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
            wanted_share: self.load_signal.wanted_share,
            last_sent_share: self.load_signal.last_sent_share,
            queue_wait_us: self.queue.wait_us,
            pressure: self.queue.pressure,
            retries_rejected: self.load_signal.retries_rejected,
            next_tick_us: self.next_tick_us,
            timer_us: self.timer_us,
        }
    }

    /// Creates a controller that continues from the snapshot of a predecessor on the same clock, without any request to
    /// the host yet.
    ///
    /// # Errors
    /// Returns an error if the snapshot does not fit the deployment.
    pub fn resume(
        host: H,
        config: AdmissionConfig,
        snapshot: AdmissionSnapshot,
    ) -> Result<AdmissionController<H>, SnapshotError> {
        let methods = config.methods.len();
        let servers = config.quotas.servers;
        let mut controller = AdmissionController::new(host, snapshot.cores.started_us, snapshot.rng, config);
        let requests = RequestTable::restore(snapshot.requests, snapshot.next_sequence, methods)?;
        // Keys and the requests that are still here have the same ids, and share one allocation for each.
        let keys = snapshot.keys.into_iter();
        controller.keys.0 = keys.map(|key| (key.expires_us, requests.shared_id(key.id))).collect();
        controller.requests = requests;
        let runs = check_one_per_method("observed runs", snapshot.runs, methods)?;
        let calls = check_one_per_method("observed calls", snapshot.calls, methods)?;
        let statistics = runs.into_iter().zip(calls);
        controller.call_statistics = statistics.map(|(runs, calls)| CallStatistics { runs, calls }).collect();
        controller.longest_waits_us =
            check_one_per_method("longest waits", snapshot.longest_waits_us, methods)?;
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
        controller.load_signal.wanted_share = snapshot.wanted_share;
        controller.load_signal.last_sent_share = snapshot.last_sent_share;
        controller.load_signal.retries_rejected = snapshot.retries_rejected;
        controller.next_tick_us = snapshot.next_tick_us;
        controller.timer_us = snapshot.timer_us;
        Ok(controller)
    }
}
