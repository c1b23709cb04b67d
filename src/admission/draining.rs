//! Draining: the process ends soon. It takes a little more for a grace time, and answers all that it has read before the end.

/// Whether the server drains, and what that means for requests.
pub(super) struct Draining {
    /// After the notice to leave, what arrived within this time may still be started.
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

    /// When the process ends; far away while there is no notice.
    pub fn process_ends_us(&self) -> u64 {
        self.notice.map_or(u64::MAX, |notice| notice.process_ends_us)
    }

    /// Requests that arrived after this are not started any more.
    pub fn last_arrival_us(&self) -> u64 {
        self.notice.map_or(u64::MAX, |notice| notice.at_us + self.grace_us)
    }
}
