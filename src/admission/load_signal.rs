//! What callers are told of this server's load: the value sent back with every answer, whether to retry elsewhere, when to
//! come back, and how long a connection may stay idle.

use super::core_usage::CoreUsage;
use super::integral_controller::PERIOD_US;
use crate::host::{Callers, Rejection, Retry, SignalKind};

/// The wait in the queue, over what its requests can wait, that is aimed at.
const TARGET_PRESSURE: f64 = 0.4;
/// How far the wanted share of traffic falls and rises a tick per unit of error, and its floor.
const WANTED_FALL: f64 = 0.04;
const WANTED_RISE: f64 = 0.01;
const MIN_WANTED: f64 = 0.4;
/// As a level, the value that keeps all callers away stays out of reach.
const MAX_LEVEL: f64 = 0.9;
/// As credit, each core is worth so many requests, divided between the callers.
const CREDIT_PER_CORE: f64 = 4.0;
/// Rejections ask not to retry while this share of retries is rejected here.
const MAX_RETRIES_REJECTED: f64 = 0.65;
/// How far one retry moves that share.
const RETRY_WEIGHT: f64 = 16.0;

/// The load signal of one server.
pub(super) struct LoadSignal {
    callers: Callers,
    cores: f64,
    /// The share of the usual traffic that is wanted.
    pub wanted: f64,
    /// What the callers were last told; below 0 before they were told anything.
    pub told: f64,
    /// Of retries (of all requests, where retries are not marked) decided on of late, the share rejected.
    pub retries_rejected: f64,
}

impl LoadSignal {
    pub fn new(callers: Callers, cores: u32) -> LoadSignal {
        LoadSignal { callers, cores: f64::from(cores), wanted: 1.0, told: -1.0, retries_rejected: 0.0 }
    }

    /// An integral step on how far the pressure of the queue lies from its target. It falls faster than it rises.
    pub fn adjust(&mut self, pressure: f64) {
        let error = TARGET_PRESSURE - pressure;
        let step = if error < 0.0 { WANTED_FALL * error.max(-1.0) } else { WANTED_RISE * error };
        self.wanted = (self.wanted + step).clamp(MIN_WANTED, 1.0);
    }

    /// The wanted share to announce: a cold server wants no more than its share of speed.
    pub fn announced(&self, warm_share: f64) -> f64 {
        (self.wanted.min(warm_share) * 100.0).round() / 100.0
    }

    /// The value to send back for a wanted share, in the deployment's terms; none where it was sent already or callers take
    /// no value.
    pub fn value_to_send(&mut self, wanted: f64) -> Option<f64> {
        if wanted == self.told {
            return None;
        }
        self.told = wanted;
        let credit = self.cores * CREDIT_PER_CORE / f64::from(self.callers.count.max(1));
        match self.callers.signal {
            SignalKind::None => None,
            SignalKind::Weight => Some(wanted),
            SignalKind::Level => Some(MAX_LEVEL * (1.0 - wanted)),
            SignalKind::Credit => Some(credit * wanted),
        }
    }

    /// A request was started or rejected. Servers are met by chance, so that retries from other servers show here what ours
    /// will find there.
    pub fn request_decided(&mut self, is_retry: bool, is_rejected: bool) {
        if is_retry || !self.callers.mark_retries {
            let rejected = f64::from(u8::from(is_rejected));
            self.retries_rejected += (rejected - self.retries_rejected) / RETRY_WEIGHT;
        }
    }

    /// What a rejected caller is advised, by a server that is busy for so long. Some are asked not to retry: guards against
    /// retries that feed themselves, as each costs its reading everywhere. Harms where only the servers tried so far are
    /// busy.
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

/// How far the idle time falls and rises with a reading of the cores.
const IDLE_FALL: f64 = 0.8;
const IDLE_RISE: f64 = 1.2;

/// How long a connection may stay idle before it is closed. It guards against a table full of callers that seldom return,
/// which takes capacity and keeps others out: it falls while cores are in good use and few callers are connected. It rises
/// while cores are swamped: a full table turns callers away at no cost, where handshakes cost work. Harms then, as it keeps
/// callers out.
pub struct IdleTimeout {
    /// In microseconds.
    pub(super) timeout_us: f64,
    /// Callers close a connection that has been idle for so long.
    max_us: f64,
}

impl IdleTimeout {
    /// Begins with what callers keep at most.
    pub fn new(max_us: u64) -> IdleTimeout {
        IdleTimeout { timeout_us: max_us as f64, max_us: max_us as f64 }
    }

    /// The timeout in whole microseconds.
    pub fn timeout_us(&self) -> u64 {
        self.timeout_us as u64
    }

    /// Takes a reading of the cores. `is_queueing`: requests are queued because the concurrency limit is reached. Gives
    /// the timeout where it has changed.
    pub fn adjust(&mut self, usage: &CoreUsage, callers: u32, is_queueing: bool) -> Option<u64> {
        let before = self.timeout_us;
        if usage.is_swamped() {
            self.timeout_us = (self.timeout_us * IDLE_RISE).min(self.max_us);
        }
        if usage.has_few_connections(callers) && !is_queueing && usage.is_in_good_use() {
            let fallen = self.timeout_us * IDLE_FALL;
            self.timeout_us = fallen.max(PERIOD_US as f64).min(self.max_us);
        }
        (self.timeout_us != before).then_some(self.timeout_us())
    }
}
