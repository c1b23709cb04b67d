//! The decision to place, delay or skip upstream calls. This protects the upstream that all servers share: the upstream
//! slows down long before it fails, so few calls are in flight at the same time, and the others wait here without a
//! core.

use super::request::{Request, Run};
use super::request_table::RequestTable;
use super::service_time::LatencyHistogram;
use super::{ANSWER_MARGIN_US, TICK_US};
use crate::host::{Method, Outcome, Upstream};
use std::collections::VecDeque;

/// The used share of the number of calls in flight that the upstream survives from this server: on average, and at any
/// one time.
const MAX_MEAN_SHARE: f64 = 0.8;
const MAX_SHARE_AT_ONCE: f64 = 0.4;
/// The quantile of call times that counts as the usual call time.
const USUAL_QUANTILE: f64 = 0.9;
/// The shortest time before a call that may not be skipped is abandoned, as a multiple of the usual call time.
const TIMEOUT_FACTOR: u64 = 4;
/// The assumed usual call time before the first call has succeeded.
const UNKNOWN_CALL_TIME_US: u64 = 1_000_000;
/// The shortest time limit of a call.
const MIN_CALL_TIMEOUT_US: u64 = 1_000;
/// The delay before a failed call is retried.
const RETRY_DELAY_US: u64 = 2 * TICK_US;

/// The decision on a call that a run waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallDecision {
    Wait,
    /// Resumes the run without the call.
    Skip,
    /// Places the call, which is abandoned at the given time.
    Place {
        until_us: u64,
    },
}

/// The upstream calls of one server that are in flight.
pub(super) struct UpstreamCalls {
    upstream: Upstream,
    /// The times of successful calls.
    pub times: LatencyHistogram,
    /// The times at which abandoned calls end at the upstream.
    pub lingering: VecDeque<u64>,
    /// Moving means over half of the upstream's window: of the calls in flight, and of the calls in flight or waiting
    /// here.
    pub mean_in_flight: f64,
    pub mean_wanted: f64,
    pub counted_us: u64,
}

impl UpstreamCalls {
    pub fn new(upstream: Upstream, now_us: u64) -> UpstreamCalls {
        UpstreamCalls {
            upstream,
            times: LatencyHistogram::default(),
            lingering: VecDeque::new(),
            mean_in_flight: 0.0,
            mean_wanted: 0.0,
            counted_us: now_us,
        }
    }

    fn in_flight(&self, requests: &RequestTable) -> usize {
        requests.calling() + self.lingering.len()
    }

    /// Updates the means up to now, and is called before any event changes the number of calls. Returns whether more
    /// calls are in flight or waiting than the upstream survives, both on average and at present: short bursts are
    /// normal.
    pub fn count(&mut self, now_us: u64, requests: &RequestTable) -> bool {
        let Upstream::Shared { max_calls_in_flight: max, window_us, .. } = self.upstream else {
            return false;
        };
        let elapsed_part = (now_us - self.counted_us) as f64 / (window_us / 2).max(1) as f64;
        let weight = elapsed_part.min(1.0);
        let in_flight = self.in_flight(requests) as f64;
        let awaiting = requests.awaiting_call() as f64;
        self.mean_in_flight += (in_flight - self.mean_in_flight) * weight;
        self.mean_wanted += (in_flight + awaiting - self.mean_wanted) * weight;
        self.counted_us = now_us;
        while self.lingering.front().is_some_and(|ends_us| *ends_us <= now_us) {
            self.lingering.pop_front();
        }
        self.mean_wanted > max && in_flight + awaiting > max
    }

    /// Records an abandoned call, which remains in flight at the upstream for the configured linger time.
    pub fn abandoned(&mut self, now_us: u64) {
        if let Upstream::Shared { linger_us, .. } = self.upstream {
            self.lingering.push_back(now_us + linger_us);
        }
    }

    /// Whether the outcome of a call is a sign of upstream overload. A time-out counts only if the call had at least
    /// twice its usual time: a call that this server cut short says nothing about the upstream (ours).
    pub fn shows_overload(&self, outcome: Outcome, took_us: u64) -> bool {
        let min_timeout_us = self.times.quantile(USUAL_QUANTILE).map_or(0, |usual_us| 2 * usual_us);
        match outcome {
            Outcome::Rejected => true,
            Outcome::TimedOut => took_us >= min_timeout_us,
            _ => false,
        }
    }

    fn has_capacity(&self, requests: &RequestTable) -> bool {
        let Upstream::Shared { max_calls_in_flight: max, .. } = self.upstream else { return true };
        (self.in_flight(requests) as f64) < (MAX_SHARE_AT_ONCE * max).max(1.0)
            && self.mean_in_flight < MAX_MEAN_SHARE * max
    }

    /// Returns the expected call times.
    pub fn expected_times(&self) -> ExpectedTimes {
        let usual_us = self.times.quantile(USUAL_QUANTILE);
        ExpectedTimes {
            usual_us: usual_us.unwrap_or(0),
            timeout_us: usual_us.unwrap_or(UNKNOWN_CALL_TIME_US) * TIMEOUT_FACTOR,
        }
    }

    /// Decides on a call that a run waits for. A call that may be skipped is skipped if the run was started on that
    /// condition, or if the usual call time no longer fits.
    pub fn decide(
        &self,
        now_us: u64,
        call: &PendingCall,
        expected: ExpectedTimes,
        requests: &RequestTable,
    ) -> CallDecision {
        let until_us = expected.abandon_us(now_us, call);
        if call.can_skip() && (call.run.skips_calls || now_us + expected.usual_us >= until_us) {
            return CallDecision::Skip;
        }
        if now_us < call.not_before_us || !self.has_capacity(requests) {
            return CallDecision::Wait;
        }
        CallDecision::Place { until_us: until_us.max(now_us + MIN_CALL_TIMEOUT_US) }
    }
}

/// A call that a run waits for.
pub(super) struct PendingCall<'a> {
    pub request: &'a Request,
    pub run: &'a Run,
    pub method: &'a Method,
    pub not_before_us: u64,
}

impl PendingCall<'_> {
    fn can_skip(&self) -> bool {
        self.method.value_without_call > 0.0
    }
}

/// Returns the earliest time at which a failed call may be retried.
pub(super) fn retry_at_us(now_us: u64) -> u64 {
    now_us + RETRY_DELAY_US
}

/// Expected call times.
#[derive(Clone, Copy)]
pub(super) struct ExpectedTimes {
    /// The usual call time; 0 while unknown.
    usual_us: u64,
    /// The shortest time limit of a call that may not be skipped, even if the limit exceeds its request's latency
    /// target.
    timeout_us: u64,
}

impl ExpectedTimes {
    /// Returns the time at which a call is abandoned. The rest of the run after the call is assumed to take as long on
    /// the cores as the run did before. A call ends by its request's latency target, or after a few times the usual
    /// call time where that is later, because calls to an endpoint that does not answer would otherwise occupy the
    /// concurrency limit until their requests are due. The cost is the loss of a late answer that would still have had
    /// value.
    fn abandon_us(self, now_us: u64, call: &PendingCall) -> u64 {
        let due_us = call.request.due_us.saturating_sub(ANSWER_MARGIN_US);
        let min_until_us = if call.can_skip() { 0 } else { now_us + self.timeout_us };
        call.request.target_us.saturating_sub(call.run.core_time_us).max(min_until_us).min(due_us)
    }
}
