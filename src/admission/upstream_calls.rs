//! Which upstream call goes when, and which is skipped. Guards what all servers call: it slows down long before it falls
//! over, so few calls are placed at once and the others wait here without a core.

use super::request::{Request, Run};
use super::request_table::RequestTable;
use super::service_time::LatencyHistogram;
use super::{ANSWER_MARGIN_US, TICK_US};
use crate::host::{Method, Outcome, Upstream};
use std::collections::VecDeque;

/// Of the calls in flight that upstream survives from this server: used in the mean, and at once.
const MEAN_USED: f64 = 0.8;
const USED_AT_ONCE: f64 = 0.4;
/// The quantile of the calls' times that counts as usual.
const USUAL_QUANTILE: f64 = 0.9;
/// A call that may not be skipped gets at least this many times its usual time.
const PATIENCE: u64 = 4;
/// The usual time of calls before any was seen.
const UNKNOWN_TIME_US: u64 = 1_000_000;
/// A call gets at least this long.
const MIN_CALL_US: u64 = 1_000;
/// A call that failed is placed again after so long.
const RETRY_DELAY_US: u64 = 2 * TICK_US;

/// What becomes of a call that a run waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallDecision {
    Wait,
    /// The run goes on without it.
    Skip,
    /// It is placed, and abandoned at the given time.
    Place {
        until_us: u64,
    },
}

/// Upstream calls of one server, as upstream has them in flight.
pub(super) struct UpstreamCalls {
    upstream: Upstream,
    /// How long calls take that succeed.
    pub times: LatencyHistogram,
    /// When abandoned calls leave upstream.
    pub lingering: VecDeque<u64>,
    /// Means over half of the upstream's window: calls in flight, and those with the calls that wait here.
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

    /// Counts calls up to now, before anything changes their number. Says whether more are wanted than upstream survives,
    /// in the mean and now: bursts of a moment are normal.
    pub fn count(&mut self, now_us: u64, requests: &RequestTable) -> bool {
        let Upstream::Shared { max_calls_in_flight: max, window_us, .. } = self.upstream else {
            return false;
        };
        let passed = (now_us - self.counted_us) as f64 / (window_us / 2).max(1) as f64;
        let weight = passed.min(1.0);
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

    /// A call was abandoned: upstream has it in flight for a while yet.
    pub fn abandoned(&mut self, now_us: u64) {
        if let Upstream::Shared { linger_us, .. } = self.upstream {
            self.lingering.push_back(now_us + linger_us);
        }
    }

    /// Whether the end of a call shows overload upstream. A call that was cut short here says nothing of it (ours).
    pub fn shows_overload(&self, outcome: Outcome, took_us: u64) -> bool {
        let fair_us = self.times.quantile(USUAL_QUANTILE).map_or(0, |usual_us| 2 * usual_us);
        match outcome {
            Outcome::Rejected => true,
            Outcome::TimedOut => took_us >= fair_us,
            _ => false,
        }
    }

    fn has_capacity(&self, requests: &RequestTable) -> bool {
        let Upstream::Shared { max_calls_in_flight: max, .. } = self.upstream else { return true };
        (self.in_flight(requests) as f64) < (USED_AT_ONCE * max).max(1.0)
            && self.mean_in_flight < MEAN_USED * max
    }

    /// How long calls are expected to take.
    pub fn expected_times(&self) -> ExpectedTimes {
        let usual_us = self.times.quantile(USUAL_QUANTILE);
        ExpectedTimes {
            usual_us: usual_us.unwrap_or(0),
            patience_us: usual_us.unwrap_or(UNKNOWN_TIME_US) * PATIENCE,
        }
    }

    /// What becomes of a call that a run waits for. It is skipped where that earns a part and its usual time no longer
    /// fits.
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
        CallDecision::Place { until_us: until_us.max(now_us + MIN_CALL_US) }
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

/// When a call that failed may be placed again.
pub(super) fn retry_at_us(now_us: u64) -> u64 {
    now_us + RETRY_DELAY_US
}

/// How long calls take, as far as is known.
#[derive(Clone, Copy)]
pub(super) struct ExpectedTimes {
    /// 0 where nothing is known.
    usual_us: u64,
    /// What a call gets that may not be skipped, past its request's latency target.
    patience_us: u64,
}

impl ExpectedTimes {
    /// When a call is abandoned. What remains of the run after it is taken to be like what came before it. Guards against
    /// calls into a silent endpoint, which would fill the concurrency limit until their requests are due: past the latency
    /// target a call gets a few times its usual time. Harms a late answer that still earns a part.
    fn abandon_us(self, now_us: u64, call: &PendingCall) -> u64 {
        let due_us = call.request.due_us.saturating_sub(ANSWER_MARGIN_US);
        let patient_us = if call.can_skip() { 0 } else { now_us + self.patience_us };
        call.request.target_us.saturating_sub(call.run.core_time_us).max(patient_us).min(due_us)
    }
}
