//! Draining, the period before the process ends. The server admits requests for a grace period, and answers all
//! requests that it has read before the process ends.

/// The drain state of the server, and the resulting time limits of requests.
pub(super) struct Draining {
    /// The time after the notice to drain within which an arriving request may still be started.
    grace_us: u64,
    notice: Option<Notice>,
}

#[derive(Clone, Copy)]
struct Notice {
    at_us: u64,
    process_ends_us: u64,
}

impl Draining {
    pub fn new(grace_us: u64) -> Draining {
        Draining { grace_us, notice: None }
    }

    pub fn begin(&mut self, now_us: u64, process_ends_us: u64) {
        self.notice = Some(Notice { at_us: now_us, process_ends_us });
    }

    pub fn has_begun(&self) -> bool {
        self.notice.is_some()
    }

    /// Returns the time at which the process ends; `u64::MAX` before a notice.
    pub fn process_ends_us(&self) -> u64 {
        self.notice.map_or(u64::MAX, |notice| notice.process_ends_us)
    }

    /// Returns the latest arrival time of a request that may still be started; `u64::MAX` before a notice.
    pub fn last_arrival_us(&self) -> u64 {
        self.notice.map_or(u64::MAX, |notice| notice.at_us + self.grace_us)
    }
}
