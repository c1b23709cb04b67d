//! The steps of a decision: giving up overdue requests, starting queued ones, placing upstream calls, and setting the
//! timer for the next time-based event.

use super::request::{AnswerState, Request, RequestState, Run, RunPhase};
use super::request_queue::{self, Heads, QueuedRequest};
use super::size_classes::SizeClass;
use super::upstream_calls::{CallDecision, PendingCall};
use super::{memory_budget, AdmissionController, ANSWER_MARGIN_US};
use crate::host::{Arrival, Gauges, Host, Stopping};

/// The quantile of the estimated run time that must fit into a request's remaining time when it starts.
const START_QUANTILE: f64 = 0.75;
const MEDIAN: f64 = 0.5;
/// The divisor of a method's latency target that gives its assumed run time before its first run.
const UNKNOWN_RUN_TIME_DIVISOR: u64 = 4;
/// The shortest delay of a timer.
const MIN_TIMER_US: u64 = 1_000;

/// The decision on whether a queued request starts, and in which form.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Start {
    /// Starts the request: its expected calls fit the integral controller's capacity.
    WithCalls,
    /// Starts the request on the condition that it skips its calls.
    WithoutCalls,
    /// Leaves the request in the queue.
    StayQueued,
}

impl<H: Host> AdmissionController<H> {
    // ---- Arrivals.

    /// Creates the queued request of an arrival.
    pub(super) fn queued_arrival(&mut self, now_us: u64, arrival: Arrival) -> Request {
        let age_us = self.age_us(&arrival);
        let is_within_quota = self.quota_buckets.is_within(arrival.tenant, now_us);
        let method = &self.methods[arrival.method];
        let arrived_us = now_us.saturating_sub(arrival.queued_us);
        let left_us = arrival.time_left_us.unwrap_or(method.deadline_us.saturating_sub(arrival.queued_us));
        let stretch_us = method.target_stretch * arrival.work_hint_us.unwrap_or(0) as f64;
        let target_us = (method.latency_target_us + stretch_us as u64).min(method.deadline_us);
        let work_us = self.expected_core_time_us(arrival.method, arrival.work_hint_us).max(1);
        let mut value = method.criticality / if self.values_by_work { 1.0 } else { work_us as f64 / 1e6 };
        if !is_within_quota {
            value *= self.over_quota_value;
        }
        Request {
            id: arrival.id,
            method: arrival.method,
            arrived_us,
            is_retry: arrival.is_retry,
            due_us: now_us + left_us,
            target_us: (arrived_us + target_us.saturating_sub(age_us)).min(now_us + left_us),
            kb: arrival.memory_kb,
            hint_us: arrival.work_hint_us,
            tenant: arrival.tenant,
            value,
            state: RequestState::Queued,
        }
    }

    /// Returns the time that a caller has already spent on earlier attempts: the longest wait of a first attempt of the
    /// method, less the time that this caller still waits. First attempts have spent none.
    fn age_us(&mut self, arrival: &Arrival) -> u64 {
        let longest_us = &mut self.longest_waits_us[arrival.method];
        if !arrival.is_retry {
            let wait_us = arrival.time_left_us.map_or(0, |left_us| left_us + arrival.queued_us);
            *longest_us = (*longest_us).max(wait_us);
            return 0;
        }
        arrival.time_left_us.map_or(0, |left_us| longest_us.saturating_sub(left_us))
    }

    // ---- Giving up.

    /// Gives up requests that are due, requests that arrived too late in a drain, and queued requests that cannot start
    /// in time.
    pub(super) fn give_up_overdue(&mut self, now_us: u64) {
        let last_arrival_us = self.draining.last_arrival_us();
        let cannot_start = |request: &Request| {
            request.arrived_us > last_arrival_us || now_us > self.latest_start_us(request)
        };
        let is_overdue = |request: &Request| {
            now_us >= self.answer_by_us(request) || request.is_queued() && cannot_start(request)
        };
        let overdue: Vec<u64> = self
            .requests
            .unanswered()
            .filter(|(_, request)| is_overdue(request))
            .map(|(sequence, _)| sequence)
            .collect();
        overdue.into_iter().for_each(|sequence| self.give_up(sequence));
    }

    /// Gives up waiting requests until the rest fits the memory limit, so that the server does not run out of memory.
    pub(super) fn fit_memory(&mut self, now_us: u64) {
        self.keys.expire(now_us);
        while !self.memory.fits(self.memory.used_kb(&self.requests, self.keys.len())) {
            let Some(sequence) = memory_budget::first_to_give_up(&self.requests) else { return };
            self.give_up(sequence);
        }
    }

    /// Evicts requests of low value from a full queue.
    pub(super) fn evict_for_others(&mut self, now_us: u64) {
        let limit = self.concurrency_limit.limit(now_us) as u64;
        let queued: Vec<QueuedRequest> = self
            .requests
            .queued()
            .map(|(sequence, request)| self.queued_request(sequence, request, limit))
            .collect();
        let walk = request_queue::walk(now_us, &queued);
        walk.evicted.iter().for_each(|sequence| self.give_up(*sequence));
        self.queue.update(now_us, &walk);
    }

    fn queued_request(&self, sequence: u64, request: &Request, limit: u64) -> QueuedRequest {
        let core_time_us = self.expected_core_time_us(request.method, request.hint_us) / limit;
        let interval_us = self.integral_controller.start_interval_us(self.mean_calls(request.method));
        QueuedRequest {
            sequence,
            arrived_us: request.arrived_us,
            latest_start_us: self.latest_start_us(request),
            start_interval_us: core_time_us.max(interval_us),
            latency_target_us: self.methods[request.method].latency_target_us,
            value: request.value,
        }
    }

    /// Gives up a request and sends its final answer immediately. A request that never ran is rejected with a
    /// retry-after time. Any other request is aborted, because it may have had its effect, and its run is stopped.
    pub(super) fn give_up(&mut self, sequence: u64) {
        let request = self.requests.get_mut(sequence);
        match &mut request.state {
            RequestState::Queued => self.reject(sequence),
            RequestState::AwaitingOutcome => {
                self.host.abort(&request.id);
                self.requests.remove(sequence);
            }
            RequestState::Started(run) => {
                run.settle();
                self.host.abort(&request.id);
                self.stop_run(sequence);
            }
        }
    }

    fn reject(&mut self, sequence: u64) {
        let request = self.requests.get(sequence);
        let is_retry = request.is_retry;
        let busy_us = if self.draining.has_begun() { u64::MAX } else { self.queue.wait_us };
        self.host.reject(&request.id, self.load_signal.rejection(is_retry, busy_us));
        self.load_signal.request_decided(is_retry, true);
        self.forget_unstarted(sequence);
    }

    /// Requests that the host take a settled run off the cores. The run is counted until the host reports its end.
    pub(super) fn stop_run(&mut self, sequence: u64) {
        let request = self.requests.get_mut(sequence);
        let RequestState::Started(run) = &mut request.state else { return };
        if run.phase == RunPhase::OnCore && self.stopping != Stopping::Never {
            run.answer = AnswerState::Stopping;
            self.host.stop(&request.id);
        }
    }

    /// Removes a queued request and its idempotency key. The request never ran, so a repeat of it may run.
    pub(super) fn forget_unstarted(&mut self, sequence: u64) {
        let id = &self.requests.get(sequence).id;
        if self.keys.remove(id) {
            self.host.forget_key(id);
        }
        self.requests.remove(sequence);
    }

    // ---- Starting.

    /// Divides the methods into size classes again at the end of a period, and adapts the release probability to the
    /// waiting times of both classes.
    pub(super) fn adapt_size_classes(&mut self, now_us: u64) {
        self.size_classes.divide(&self.call_statistics);
        let Heads { small, large } = request_queue::heads(&self.requests, &self.size_classes, false);
        let wait_us = |sequence: u64| now_us - self.requests.get(sequence).arrived_us;
        self.size_classes.adapt(small.map(wait_us), large.map(wait_us));
    }

    /// Starts queued requests. Small requests start first; a large request that has waited longer starts before them
    /// with the release probability. The concurrency limit, the memory limit and the integral controller must all have
    /// capacity, and are checked in this order.
    pub(super) fn start_requests(&mut self, now_us: u64) {
        let newest_first = self.queue.is_newest_first(now_us);
        let mut memory_kb = self.memory.used_kb(&self.requests, self.keys.len());
        while let Some(sequence) = self.next_to_start(now_us, newest_first) {
            let additional_kb = self.memory.start_kb(self.requests.get(sequence));
            if self.is_at_concurrency_limit(now_us) || !self.memory.fits(memory_kb + additional_kb) {
                return;
            }
            match self.may_start(now_us, sequence) {
                Start::StayQueued => return,
                Start::WithCalls => self.start_request(now_us, sequence, false),
                Start::WithoutCalls => self.start_request(now_us, sequence, true),
            }
            memory_kb += additional_kb;
        }
    }

    fn next_to_start(&mut self, now_us: u64, newest_first: bool) -> Option<u64> {
        let Heads { small, large } = request_queue::heads(&self.requests, &self.size_classes, newest_first);
        let waited_longer = large.filter(|large| small.is_none_or(|small| *large < small));
        let released =
            waited_longer.filter(|large| self.size_classes.may_release(*large, now_us, &mut self.rng));
        released.or(small)
    }

    fn is_at_concurrency_limit(&self, now_us: u64) -> bool {
        self.requests.on_core() >= self.concurrency_limit.limit(now_us)
            || self.requests.active() >= self.concurrency_limit.ceiling(now_us)
    }

    /// Decides whether a request starts, by the integral controller's capacity. While the controller has no capacity,
    /// a request that has waited for half of its allowed time starts without its call if an answer without the call
    /// still has value: this prevents cores from idling while requests are about to be rejected. Such a start does not
    /// count against the admission limit, because the request makes no call.
    fn may_start(&mut self, now_us: u64, sequence: u64) -> Start {
        let method = self.requests.get(sequence).method;
        let mean_calls = self.mean_calls(method);
        if self.integral_controller.has_capacity(mean_calls) {
            return Start::WithCalls;
        }
        if self.size_classes.class_of(method) == SizeClass::Small {
            self.size_classes.has_held_back_small = true;
        }
        let request = self.requests.get(sequence);
        let has_waited_half = 2 * now_us >= request.arrived_us + self.latest_start_us(request);
        if self.methods[method].value_without_call > 0.0 && has_waited_half {
            Start::WithoutCalls
        } else {
            Start::StayQueued
        }
    }

    fn start_request(&mut self, now_us: u64, sequence: u64, skips_calls: bool) {
        let mean_calls = self.mean_calls(self.requests.get(sequence).method);
        self.integral_controller.request_started(if skips_calls { 0.0 } else { mean_calls });
        let request = self.requests.get_mut(sequence);
        request.state = RequestState::Started(Run::new(now_us, skips_calls));
        self.host.start(&request.id);
        self.quota_buckets.charge(request.tenant);
        self.load_signal.request_decided(request.is_retry, false);
    }

    // ---- Upstream calls.

    pub(super) fn count_upstream_calls(&mut self, now_us: u64) {
        if self.upstream_calls.count(now_us, &self.requests) {
            self.integral_controller.upstream_overloaded();
        }
    }

    /// Places or skips the calls that runs wait for, oldest request first.
    pub(super) fn place_calls(&mut self, now_us: u64) {
        self.count_upstream_calls(now_us);
        let expected = self.upstream_calls.expected_times();
        let unanswered: Vec<u64> = self.requests.unanswered().map(|(sequence, _)| sequence).collect();
        for sequence in unanswered {
            let request = self.requests.get(sequence);
            let Some(run) = request.run() else { continue };
            let RunPhase::AwaitingCall { not_before_us } = run.phase else { continue };
            let method = &self.methods[request.method];
            let call = PendingCall { request, run, method, not_before_us };
            match self.upstream_calls.decide(now_us, &call, expected, &self.requests) {
                CallDecision::Wait => {}
                CallDecision::Skip => self.skip_call(now_us, sequence),
                CallDecision::Place { until_us } => self.place_call(sequence, until_us),
            }
        }
    }

    fn place_call(&mut self, sequence: u64, until_us: u64) {
        let request = self.requests.get_mut(sequence);
        if let RequestState::Started(run) = &mut request.state {
            run.phase = RunPhase::Calling;
        }
        self.host.place_call(&request.id, until_us);
        self.integral_controller.call_placed();
    }

    /// Resumes a run without its call.
    pub(super) fn skip_call(&mut self, now_us: u64, sequence: u64) {
        let request = self.requests.get_mut(sequence);
        if let RequestState::Started(run) = &mut request.state {
            run.return_to_core(now_us);
        }
        self.host.skip_call(&request.id);
    }

    // ---- Times.

    /// Returns the latest time for an answer: the due time or the end of the process, less a margin.
    fn answer_by_us(&self, request: &Request) -> u64 {
        request.due_us.min(self.draining.process_ends_us()).saturating_sub(ANSWER_MARGIN_US)
    }

    /// Returns the latest start time after which a request would likely miss its latency target.
    fn latest_start_us(&self, request: &Request) -> u64 {
        let ends_us = request.target_us.min(self.answer_by_us(request));
        let latency_target_us = self.methods[request.method].latency_target_us;
        let unknown_us = latency_target_us / UNKNOWN_RUN_TIME_DIVISOR;
        let run_us = self.run_times.estimate_us(request.method, START_QUANTILE, request.hint_us, unknown_us);
        request_queue::latest_start_us(request, ends_us, run_us, latency_target_us)
    }

    /// Returns the time on the cores that a request is expected to take.
    fn expected_core_time_us(&self, method: usize, hint_us: Option<u64>) -> u64 {
        let unknown_us = self.methods[method].latency_target_us / UNKNOWN_RUN_TIME_DIVISOR;
        self.core_times.estimate_us(method, MEDIAN, hint_us, unknown_us)
    }

    /// Returns the mean number of upstream calls per request of the method's size class; 0 if the method never calls.
    fn mean_calls(&self, method: usize) -> f64 {
        if self.methods[method].makes_calls {
            self.size_classes.class_mean_calls(method)
        } else {
            0.0
        }
    }

    // ---- Ticks and timers.

    pub(super) fn take_gauges(&mut self, now_us: u64, gauges: Gauges) {
        let Some(usage) = self.gauges.read(now_us, gauges) else { return };
        let is_queueing = self.requests.on_core() >= self.concurrency_limit.limit(now_us)
            && self.requests.queued().next().is_some();
        self.concurrency_limit.adjust(now_us, &usage, is_queueing);
        let callers = self.load_signal.caller_count();
        if let Some(timeout_us) = self.idle_timeout.adjust(&usage, callers, is_queueing) {
            self.host.close_idle_connections(timeout_us);
        }
    }

    pub(super) fn send_load_signal(&mut self, wanted_share: f64) {
        if let Some(value) = self.load_signal.value_to_send(wanted_share) {
            self.host.send_load_signal(value);
        }
    }

    /// Sets a timer for the next tick or the next due request, whichever is earlier, unless an earlier timer is set.
    pub(super) fn set_timer(&mut self, now_us: u64) {
        let first_due_us = self
            .requests
            .unanswered()
            .map(|(_, request)| self.answer_by_us(request))
            .min()
            .unwrap_or(u64::MAX);
        let at_us = self.next_tick_us.min(first_due_us).max(now_us + MIN_TIMER_US);
        if at_us < self.timer_us {
            self.timer_us = at_us;
            self.host.set_timer(at_us, at_us);
        }
    }
}
