//! The load information that callers receive: the load signal sent with every answer, the advice to retry elsewhere,
//! the retry-after time, and the time for which a connection may stay idle.

use super::core_usage::CoreUsage;
use super::integral_controller::PERIOD_US;
use crate::host::{Callers, Rejection, Retry, SignalKind};

/// The target of the queue's pressure, which is the ratio of its waiting time to the time that its requests can wait.
const TARGET_PRESSURE: f64 = 0.4;
/// The decrease and the increase of the wanted share of traffic per tick and unit of error, and the minimum of the
/// share.
const WANTED_FALL: f64 = 0.04;
const WANTED_RISE: f64 = 0.01;
const MIN_WANTED: f64 = 0.4;
/// The maximum of the signal as a level. A level of 1 would keep all callers away, so the signal stays below it.
const MAX_LEVEL: f64 = 0.9;
/// The credit per core, in requests, which is divided between the callers.
const CREDIT_PER_CORE: f64 = 4.0;
/// The share of rejected retries above which rejections advise the caller not to retry.
const MAX_RETRIES_REJECTED: f64 = 0.65;
/// The divisor that gives the weight of one retry in that share.
const RETRY_WEIGHT_DIVISOR: f64 = 16.0;

/// The load signal of one server.
pub(super) struct LoadSignal {
    callers: Callers,
    cores: f64,
    /// The wanted share of the usual traffic.
    pub wanted_share: f64,
    /// The wanted share that was last sent to the callers; below 0 before the first one is sent.
    pub last_sent_share: f64,
    /// The moving share of rejections among decided retries, or among all decided requests if retries are not marked.
    pub retries_rejected: f64,
}

impl LoadSignal {
    pub fn new(callers: Callers, cores: u32) -> LoadSignal {
        LoadSignal {
            callers,
            cores: f64::from(cores),
            wanted_share: 1.0,
            last_sent_share: -1.0,
            retries_rejected: 0.0,
        }
    }

    /// Adjusts the wanted share by an integral step on the error of the queue's pressure. The share falls faster than
    /// it rises.
    pub fn adjust(&mut self, pressure: f64) {
        let error = TARGET_PRESSURE - pressure;
        let step = if error < 0.0 { WANTED_FALL * error.max(-1.0) } else { WANTED_RISE * error };
        self.wanted_share = (self.wanted_share + step).clamp(MIN_WANTED, 1.0);
    }

    /// Returns the wanted share to announce. A cold server wants no more than its present share of full speed.
    pub fn share_to_announce(&self, warm_share: f64) -> f64 {
        (self.wanted_share.min(warm_share) * 100.0).round() / 100.0
    }

    /// Returns the load signal for a wanted share, in the deployment's unit, or `None` if the share was sent already or
    /// the callers accept no signal.
    pub fn value_to_send(&mut self, wanted_share: f64) -> Option<f64> {
        if wanted_share == self.last_sent_share {
            return None;
        }
        self.last_sent_share = wanted_share;
        let credit = self.cores * CREDIT_PER_CORE / f64::from(self.callers.count.max(1));
        match self.callers.signal {
            SignalKind::None => None,
            SignalKind::Weight => Some(wanted_share),
            SignalKind::Level => Some(MAX_LEVEL * (1.0 - wanted_share)),
            SignalKind::Credit => Some(credit * wanted_share),
        }
    }

    /// Records that a request was started or rejected. Callers pick servers at random, so the outcome of retries from
    /// other servers here predicts the outcome of this server's retries there.
    pub fn request_decided(&mut self, is_retry: bool, is_rejected: bool) {
        if is_retry || !self.callers.mark_retries {
            let rejected = f64::from(u8::from(is_rejected));
            self.retries_rejected += (rejected - self.retries_rejected) / RETRY_WEIGHT_DIVISOR;
        }
    }

    /// Returns the advice to a rejected caller of a server that is busy for `busy_us`. Some callers are advised not to
    /// retry, because each attempt costs the work of reading it and retries would amplify an overload. The cost is the
    /// loss of requests when only the servers tried so far are busy.
    pub fn rejection(&self, is_retry: bool, busy_us: u64) -> Rejection {
        let is_last = is_retry || self.retries_rejected > MAX_RETRIES_REJECTED;
        Rejection {
            retry: if is_last { Retry::DoNotRetry } else { Retry::Elsewhere },
            retry_after_us: busy_us.min(self.callers.max_retry_after_us),
        }
    }

    pub fn caller_count(&self) -> u32 {
        self.callers.count
    }
}

/// The factors by which the idle timeout falls and rises per reading of the cores.
const IDLE_FALL: f64 = 0.8;
const IDLE_RISE: f64 = 1.2;

/// The timeout after which idle connections are closed. The timeout falls while cores are moderately busy and few
/// callers are connected: this prevents a connection table full of callers that rarely send requests, which would take
/// capacity and keep other callers out. The timeout rises while cores are oversubscribed: a full table rejects callers
/// at no cost, whereas handshakes cost work. The cost is that callers cannot connect then.
pub struct IdleTimeout {
    /// The timeout in microseconds.
    pub(super) timeout_us: f64,
    /// The idle time after which callers close a connection themselves.
    max_us: f64,
}

impl IdleTimeout {
    /// Creates the timeout, which starts at the callers' own idle limit.
    pub fn new(max_us: u64) -> IdleTimeout {
        IdleTimeout { timeout_us: max_us as f64, max_us: max_us as f64 }
    }

    /// Returns the timeout in whole microseconds.
    pub fn timeout_us(&self) -> u64 {
        self.timeout_us as u64
    }

    /// Adjusts the timeout to a reading of the cores, and returns the timeout if it has changed. `is_queueing` is
    /// whether requests are queued because the concurrency limit is reached.
    pub fn adjust(&mut self, usage: &CoreUsage, callers: u32, is_queueing: bool) -> Option<u64> {
        let previous_us = self.timeout_us;
        if usage.is_oversubscribed() {
            self.timeout_us = (self.timeout_us * IDLE_RISE).min(self.max_us);
        }
        if usage.has_few_connections(callers) && !is_queueing && usage.is_moderately_busy() {
            let decreased = self.timeout_us * IDLE_FALL;
            self.timeout_us = decreased.max(PERIOD_US as f64).min(self.max_us);
        }
        (self.timeout_us != previous_us).then_some(self.timeout_us())
    }
}
