//! Every decision of ochrewalk. A server builds one [`AdmissionController`] at its start and calls one method for each thing
//! that happens to it; [`AdmissionController::decide`] follows once all that happened at one moment was reported. The
//! controller acts by the [`Host`] that it was handed. It keeps no clock and does no I/O.
//!
//! Each module holds one part of the state with the constants that tune it:
//!
//! | module | holds |
//! | --- | --- |
//! | [`integral_controller`] | upstream calls against their setpoint, and the admission limit that follows from both |
//! | [`size_classes`] | small and large requests, and the release probability of large ones |
//! | [`concurrency_limit`] | how many requests may run at once |
//! | [`core_usage`] | the gauges of the cores |
//! | [`quota`] | token buckets of tenants |
//! | `service_time` | how long runs and calls take |
//! | `request`, `request_table` | the requests that are here, and the state of each |
//! | `request_queue` | the order of starting, and evictions |
//! | `upstream_calls` | which upstream call goes when, and which is skipped |
//! | `memory_budget` | what fits the node's memory |
//! | [`load_signal`] | what callers are told |
//! | `draining` | the time before the process ends |
//! | `idempotency` | remembered keys |
//! | `steps` | the steps of [`AdmissionController::decide`], which put all of these together |
//! | [`snapshot`] | all state as records, for a successor |
//!
//! What one decision takes is bounded by the number of requests here. "Paper" and "ours" in comments: see docs/design.md.

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

/// How often gauges are read and the load signal is set.
pub(crate) const TICK_US: u64 = 50_000;
/// Answers are out this long before they are due.
pub(crate) const ANSWER_MARGIN_US: u64 = 25_000;
/// The token of no timer.
const NO_TIMER: u64 = u64::MAX;

/// What a controller is told of its deployment and its server.
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// The machine under this server.
    pub machine: Machine,
    /// What the server survives, and how that rises after its start.
    pub survivable_load: SurvivableLoad,
    /// The methods, by position.
    pub methods: Arc<[Method]>,
    /// What requests call.
    pub upstream: Upstream,
    /// The callers, and what they can be told.
    pub callers: Callers,
    /// How criticality and quotas are counted.
    pub quotas: QuotaSettings,
    /// After the notice to leave, what arrives within this time may still be started, in microseconds.
    pub drain_grace_us: u64,
}

/// The decisions of one server.
pub struct AdmissionController<H: Host> {
    host: H,
    rng: fastrand::Rng,
    methods: Arc<[Method]>,
    stopping: Stopping,
    /// Criticality counts for each unit of work, not for each request.
    values_by_work: bool,
    /// What a request beyond its tenant's quota still counts for.
    over_quota_value: f64,
    /// The longest that the caller of a first attempt waits, by method.
    longest_waits_us: Vec<u64>,
    /// Runs and calls seen, by method.
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
    /// The earliest timer that is set; its token is its time.
    timer_us: u64,
}

impl<H: Host> AdmissionController<H> {
    /// The controller of a server that starts now. Its first actions are asked of the host at once.
    pub fn start(host: H, now_us: u64, seed: u64, config: AdmissionConfig) -> AdmissionController<H> {
        let mut controller = AdmissionController::new(host, now_us, seed, config);
        // Health checks from store: a check that does real work loads what lies upstream.
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

    /// The host that it was handed.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// How many tenants' quota buckets are cached, of all tenants that it has met.
    pub fn cached_quota_buckets(&self) -> usize {
        self.quota_buckets.cached()
    }

    // ---- Events.

    /// A request has been read into the queue.
    pub fn request_arrived(&mut self, now_us: u64, arrival: Arrival) {
        let method = &self.methods[arrival.method];
        let (effect, window_us) = (method.effect, method.key_window_us);
        let is_repeat = arrival.repeats.is_some();
        let id = arrival.id.clone();
        let mut request = self.admitted(now_us, arrival);
        let arrived_us = request.arrived_us;
        if effect == Effect::WithKey && is_repeat {
            request.state = RequestState::AwaitingOutcome;
        }
        self.requests.insert(request);
        if effect != Effect::WithKey {
            return;
        }
        if is_repeat {
            // Guards against a second effect: a repeat never runs, it shares the outcome of the first.
            self.host.share_outcome(&id);
        } else {
            let time_to_live_us = idempotency::time_to_live_us(arrived_us, window_us, now_us);
            self.host.remember_key(&id, time_to_live_us);
            self.keys.insert(now_us, time_to_live_us, id);
        }
    }

    /// The caller of a request has left; nothing is owed.
    pub fn caller_left(&mut self, id: &str) {
        let Some(sequence) = self.requests.sequence_of(id) else { return };
        let request = self.requests.get_mut(sequence);
        match &mut request.state {
            RequestState::Queued => self.forget_unstarted(sequence),
            RequestState::AwaitingOutcome => self.requests.remove(sequence),
            RequestState::Started(run) => {
                run.settle();
                // The run of a remembered request may go on: its repeat can share the outcome. Other work serves nobody now.
                if self.methods[request.method].effect != Effect::WithKey {
                    self.stop_run(sequence);
                }
            }
        }
    }

    /// A running request waits for its upstream call; [`AdmissionController::decide`] says when it goes.
    pub fn call_needed(&mut self, now_us: u64, id: &str) {
        let Some(sequence) = self.requests.sequence_of(id) else { return };
        let run = self.requests.get_mut(sequence).run_mut();
        if let Some(run) = run.filter(|run| run.phase == RunPhase::OnCore) {
            run.await_call(now_us);
        }
    }

    /// An upstream call has ended after `took_us`.
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

    /// A failed call is made again where that is harmless. Then it is also made again if it may be skipped, where its
    /// connection broke: that is no sign of load upstream.
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

    /// A run has ended: it takes neither core nor memory any more.
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

    /// This server drains: its process ends after `ends_in_us`.
    pub fn drain(&mut self, now_us: u64, ends_in_us: u64) {
        self.draining.begin(now_us, now_us + ends_in_us);
        self.host.set_readiness(Readiness::NotReady);
        self.send_load_signal(0.0);
    }

    /// A timer has come, with the server's gauges.
    pub fn timer_fired(&mut self, now_us: u64, token: u64, gauges: Gauges) {
        if token == self.timer_us {
            self.timer_us = NO_TIMER;
        }
        if now_us < self.next_tick_us {
            return;
        }
        self.next_tick_us = now_us + TICK_US;
        self.take_gauges(now_us, gauges);
        // Guards against a pause of the machine, in which stopping does nothing: ask again.
        for (_, request) in self.requests.iter().filter(|(_, request)| request.is_stopping()) {
            self.host.stop(&request.id);
        }
        self.load_signal.adjust(self.queue.pressure);
        if !self.draining.has_begun() {
            let warm_share = self.concurrency_limit.warm_share(now_us);
            self.send_load_signal(self.load_signal.announced(warm_share));
        }
    }

    /// All that happened at this moment was reported: the ordinary path of every request that is queued.
    pub fn decide(&mut self, now_us: u64) {
        if self.integral_controller.end_period(now_us) {
            self.adapt_size_classes(now_us);
        }
        // What can no longer be answered, or started, in time goes at once.
        self.give_up_overdue(now_us);
        self.fit_memory(now_us);
        self.evict_for_others(now_us);
        self.start_requests(now_us);
        // Those already started go on to their calls, oldest first.
        self.place_calls(now_us);
        self.set_timer(now_us);
    }
}
