//! The admission controller: every decision of ochrewalk about which requests are admitted, started, rejected or
//! aborted. A server creates one [`AdmissionController`] when it starts and reports each event through one method.
//! [`AdmissionController::decide`] is called once all events with the same timestamp have been reported. The controller
//! acts through the [`Host`] that it was created with. It reads no clock and does no I/O.
//!
//! Each module contains one part of the state and the constants that configure it:
//!
//! | module | contents |
//! | --- | --- |
//! | [`integral_controller`] | the count of upstream calls, its setpoint, and the admission limit derived from both |
//! | [`size_classes`] | small and large requests, and the release probability of large ones |
//! | [`concurrency_limit`] | the limit on requests that run at the same time |
//! | [`core_usage`] | the load of the cores, from the server's gauges |
//! | [`quota`] | token buckets of tenants |
//! | `service_time` | estimates of run times and call times |
//! | `request`, `request_table` | the requests at this server, and the state of each |
//! | `request_queue` | the start order of queued requests, and evictions from the queue |
//! | `upstream_calls` | the decision to place, delay or skip an upstream call |
//! | `memory_budget` | the limit on the memory of requests and keys |
//! | [`load_signal`] | the load signal and the advice that callers receive |
//! | `draining` | the period between the notice to drain and the end of the process |
//! | `idempotency` | idempotency keys that the server remembers |
//! | `steps` | the steps of [`AdmissionController::decide`], which combine the other modules |
//! | [`snapshot`] | the complete state as records, for a successor |
//!
//! The cost of a decision is bounded by the number of requests at this server. Comments that say "paper" or "ours"
//! refer to docs/design.md.

pub mod concurrency_limit;
pub mod core_usage;
mod draining;
mod idempotency;
pub mod integral_controller;
pub mod load_signal;
mod memory_budget;
pub mod quota;
mod request;
mod request_queue;
mod request_table;
mod service_time;
pub mod size_classes;
pub mod snapshot;
mod steps;
mod upstream_calls;

use crate::host::{
    Arrival, Callers, Effect, Gauges, Host, Machine, Method, Outcome, QuotaSettings, Readiness, Stopping,
    SurvivableLoad, Upstream,
};
use concurrency_limit::ConcurrencyLimit;
use core_usage::GaugeReader;
use draining::Draining;
use idempotency::IdempotencyKeys;
use integral_controller::IntegralController;
use load_signal::{IdleTimeout, LoadSignal};
use memory_budget::MemoryBudget;
use quota::QuotaBuckets;
use request::{RequestState, RunPhase};
use request_queue::RequestQueue;
use request_table::RequestTable;
use service_time::ServiceTimeEstimator;
use size_classes::{CallStatistics, SizeClasses};
use std::sync::Arc;
use upstream_calls::UpstreamCalls;

/// The interval between ticks, at which gauges are read and the load signal is updated.
pub(crate) const TICK_US: u64 = 50_000;
/// The time before its due time at which a request is given up at the latest, so that its answer is sent in time.
pub(crate) const ANSWER_MARGIN_US: u64 = 25_000;
/// The value of `timer_us` while no timer is set.
const NO_TIMER: u64 = u64::MAX;

/// The configuration of a controller: its deployment and its server.
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// The machine that the server runs on.
    pub machine: Machine,
    /// The load that the server survives, and its growth after a cold start.
    pub survivable_load: SurvivableLoad,
    /// The methods, indexed by position.
    pub methods: Arc<[Method]>,
    /// The kind of upstream that requests call.
    pub upstream: Upstream,
    /// The callers, and the advice that they understand.
    pub callers: Callers,
    /// The rules by which criticality and quotas are counted.
    pub quotas: QuotaSettings,
    /// The time after the notice to drain within which an arriving request may still be started, in microseconds.
    pub drain_grace_us: u64,
}

/// Makes the admission decisions of one server.
pub struct AdmissionController<H: Host> {
    host: H,
    rng: fastrand::Rng,
    methods: Arc<[Method]>,
    stopping: Stopping,
    /// Whether criticality is the value of a unit of work, and not that of a request.
    values_by_work: bool,
    /// The factor on the value of a request beyond its tenant's quota.
    over_quota_value: f64,
    /// The longest time that a caller of a first attempt waits for its answer, by method.
    longest_waits_us: Vec<u64>,
    /// Observed runs and upstream calls, by method.
    call_statistics: Vec<CallStatistics>,
    core_times: ServiceTimeEstimator,
    run_times: ServiceTimeEstimator,
    requests: RequestTable,
    keys: IdempotencyKeys,
    quota_buckets: QuotaBuckets,
    integral_controller: IntegralController,
    size_classes: SizeClasses,
    concurrency_limit: ConcurrencyLimit,
    gauges: GaugeReader,
    idle_timeout: IdleTimeout,
    upstream_calls: UpstreamCalls,
    memory: MemoryBudget,
    queue: RequestQueue,
    load_signal: LoadSignal,
    draining: Draining,
    next_tick_us: u64,
    /// The time of the earliest timer that is set, which is also its token.
    timer_us: u64,
}

impl<H: Host> AdmissionController<H> {
    /// Creates the controller of a server that starts now, and requests its first actions from the host.
    pub fn start(host: H, now_us: u64, seed: u64, config: AdmissionConfig) -> AdmissionController<H> {
        let mut controller = AdmissionController::new(host, now_us, seed, config);
        // Health checks are answered from the stored readiness: a check that does real work would load the upstream.
        controller.host.set_readiness(Readiness::Ready);
        controller.decide(now_us);
        controller
    }

    fn new(host: H, now_us: u64, seed: u64, config: AdmissionConfig) -> AdmissionController<H> {
        let AdmissionConfig { machine, survivable_load, methods, upstream, callers, quotas, drain_grace_us } =
            config;
        let call_statistics: Vec<CallStatistics> =
            methods.iter().map(|method| CallStatistics::before_any_run(method.makes_calls)).collect();
        AdmissionController {
            host,
            rng: fastrand::Rng::with_seed(seed),
            stopping: machine.stopping,
            values_by_work: quotas.counts_by_work,
            over_quota_value: quotas.over_quota_value,
            longest_waits_us: vec![0; methods.len()],
            size_classes: SizeClasses::new(&call_statistics),
            call_statistics,
            core_times: ServiceTimeEstimator::new(methods.len()),
            run_times: ServiceTimeEstimator::new(methods.len()),
            requests: RequestTable::default(),
            keys: IdempotencyKeys::default(),
            quota_buckets: QuotaBuckets::new(quotas.servers),
            integral_controller: IntegralController::new(now_us),
            concurrency_limit: ConcurrencyLimit::new(machine.cores, survivable_load, now_us),
            gauges: GaugeReader::new(machine.cores),
            idle_timeout: IdleTimeout::new(machine.max_connection_idle_us),
            upstream_calls: UpstreamCalls::new(upstream, now_us),
            memory: MemoryBudget::new(&machine),
            queue: RequestQueue::default(),
            load_signal: LoadSignal::new(callers, machine.cores),
            draining: Draining::new(drain_grace_us),
            next_tick_us: now_us,
            timer_us: NO_TIMER,
            methods,
        }
    }

    /// Returns the host that the controller acts through.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// Returns the number of tenants whose quota buckets are cached, out of all tenants seen.
    pub fn cached_quota_buckets(&self) -> usize {
        self.quota_buckets.cached()
    }

    // ---- Events.

    /// Reports that a request has been read into the queue.
    pub fn request_arrived(&mut self, now_us: u64, arrival: Arrival) {
        let method = &self.methods[arrival.method];
        let (effect, window_us) = (method.effect, method.key_window_us);
        let is_repeat = arrival.repeats.is_some();
        let id = arrival.id.clone();
        let mut request = self.queued_arrival(now_us, arrival);
        let arrived_us = request.arrived_us;
        if effect == Effect::WithKey && is_repeat {
            request.state = RequestState::AwaitingOutcome;
        }
        self.requests.insert(request);
        if effect != Effect::WithKey {
            return;
        }
        if is_repeat {
            // A repeat shares the outcome of the first request and never runs: this prevents a second effect.
            self.host.share_outcome(&id);
        } else {
            let time_to_live_us = idempotency::time_to_live_us(arrived_us, window_us, now_us);
            self.host.remember_key(&id, time_to_live_us);
            self.keys.insert(now_us, time_to_live_us, id);
        }
    }

    /// Reports that the caller of a request has disconnected and expects no answer.
    pub fn caller_left(&mut self, id: &str) {
        let Some(sequence) = self.requests.sequence_of(id) else { return };
        let request = self.requests.get_mut(sequence);
        match &mut request.state {
            RequestState::Queued => self.forget_unstarted(sequence),
            RequestState::AwaitingOutcome => self.requests.remove(sequence),
            RequestState::Started(run) => {
                run.settle();
                // The run of a request with a remembered key continues, because a repeat can share its outcome. Any
                // other run has no caller left that can use its result.
                if self.methods[request.method].effect != Effect::WithKey {
                    self.stop_run(sequence);
                }
            }
        }
    }

    /// Reports that a running request waits to make an upstream call; [`AdmissionController::decide`] places or skips
    /// the call.
    pub fn call_needed(&mut self, now_us: u64, id: &str) {
        let Some(sequence) = self.requests.sequence_of(id) else { return };
        let run = self.requests.get_mut(sequence).run_mut();
        if let Some(run) = run.filter(|run| run.phase == RunPhase::OnCore) {
            run.await_call(now_us);
        }
    }

    /// Reports that an upstream call has ended, `took_us` after it was placed.
    pub fn call_ended(&mut self, now_us: u64, id: &str, outcome: Outcome, took_us: u64) {
        self.count_upstream_calls(now_us);
        if outcome == Outcome::TimedOut {
            self.upstream_calls.abandoned(now_us);
        }
        if self.upstream_calls.shows_overload(outcome, took_us) {
            self.integral_controller.upstream_overloaded();
        }
        let Some(sequence) = self.requests.sequence_of(id) else { return };
        let request = self.requests.get_mut(sequence);
        let method = request.method;
        let Some(run) = request.run_mut() else { return };
        if outcome == Outcome::Ok {
            run.return_to_core(now_us);
            self.upstream_calls.times.add(took_us);
            return;
        }
        run.phase = RunPhase::AwaitingCall { not_before_us: upstream_calls::retry_at_us(now_us) };
        if !run.is_settled() {
            self.call_failed(now_us, sequence, method, outcome);
        }
    }

    /// Skips or retries a failed call, or gives up its request. A call that may be skipped is skipped, unless the
    /// method is idempotent and the connection broke: a broken connection is not a sign of upstream load, so the call
    /// is retried. Any other call is retried if it never ran or the method is idempotent, because the retry is harmless
    /// then.
    fn call_failed(&mut self, now_us: u64, sequence: u64, method: usize, outcome: Outcome) {
        let method = &self.methods[method];
        let is_idempotent = method.effect == Effect::Idempotent;
        let can_skip = method.value_without_call > 0.0;
        if can_skip && !(is_idempotent && outcome == Outcome::Interrupted) {
            self.skip_call(now_us, sequence);
        } else if !outcome.never_ran() && !is_idempotent {
            self.give_up(sequence);
        }
    }

    /// Reports that a run has ended and occupies neither a core nor memory any longer.
    pub fn run_ended(&mut self, now_us: u64, id: &str, outcome: Outcome) {
        let Some(sequence) = self.requests.sequence_of(id) else { return };
        let request = self.requests.get(sequence);
        match request.run() {
            Some(run) if run.phase == RunPhase::Calling => self.upstream_calls.abandoned(now_us),
            Some(run) if run.phase == RunPhase::OnCore && outcome == Outcome::Ok && !run.is_settled() => {
                let method = request.method;
                self.core_times.add(method, run.core_time_until_us(now_us), request.hint_us);
                self.run_times.add(method, now_us - run.started_us, request.hint_us);
                self.call_statistics[method].add_run(run.calls);
            }
            _ => {}
        }
        self.requests.remove(sequence);
    }

    /// Starts to drain the server, whose process ends after `ends_in_us`.
    pub fn drain(&mut self, now_us: u64, ends_in_us: u64) {
        self.draining.begin(now_us, now_us + ends_in_us);
        self.host.set_readiness(Readiness::NotReady);
        self.send_load_signal(0.0);
    }

    /// Reports that a timer has fired, with the server's present gauges.
    pub fn timer_fired(&mut self, now_us: u64, token: u64, gauges: Gauges) {
        if token == self.timer_us {
            self.timer_us = NO_TIMER;
        }
        if now_us < self.next_tick_us {
            return;
        }
        self.next_tick_us = now_us + TICK_US;
        self.take_gauges(now_us, gauges);
        // A stop command has no effect while the machine is paused, so pending stops are sent again at each tick.
        for (_, request) in self.requests.iter().filter(|(_, request)| request.is_stopping()) {
            self.host.stop(&request.id);
        }
        self.load_signal.adjust(self.queue.pressure);
        if !self.draining.has_begun() {
            let warm_share = self.concurrency_limit.warm_share(now_us);
            self.send_load_signal(self.load_signal.share_to_announce(warm_share));
        }
    }

    /// Decides on all requests, after every event with this timestamp has been reported. All queued requests pass
    /// through here.
    pub fn decide(&mut self, now_us: u64) {
        if self.integral_controller.end_period(now_us) {
            self.adapt_size_classes(now_us);
        }
        // Requests that can no longer be answered or started in time are given up first.
        self.give_up_overdue(now_us);
        self.fit_memory(now_us);
        self.evict_for_others(now_us);
        self.start_requests(now_us);
        // Requests that have started get their upstream calls, oldest first.
        self.place_calls(now_us);
        self.set_timer(now_us);
    }
}
