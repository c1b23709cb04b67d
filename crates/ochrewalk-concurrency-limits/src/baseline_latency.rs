//! The latency of a pool's calls where nothing queues upstream: the least over a sliding window, so that one lucky minute
//! does not count for ever. At the end of each half of the window fewer calls are allowed in flight for some periods, so
//! that a queue of this node's own making does not become the baseline.

/// The least latency of a pool's calls, over two halves of a window.
#[derive(Clone, Debug)]
pub struct BaselineLatency {
    older_us: Option<f64>,
    newer_us: Option<f64>,
    /// Periods since the newer half began.
    periods: u32,
}

impl BaselineLatency {
    /// Periods of each half of the window.
    pub const HALF_WINDOW_PERIODS: u32 = 20;
    /// Periods at the end of each half in which fewer calls are allowed in flight.
    const REMEASURE_PERIODS: u32 = 4;
    /// The part of the limit that is allowed then.
    const REMEASURE_FACTOR: f64 = 0.6;

    /// A baseline without a latency yet. The phase is the number of periods by which its window is ahead: different for
    /// pools and nodes, as otherwise all of them would use less of what is upstream at the same time.
    pub fn new(phase: u32) -> BaselineLatency {
        let periods = phase % BaselineLatency::HALF_WINDOW_PERIODS;
        BaselineLatency { older_us: None, newer_us: None, periods }
    }

    /// A period has ended, with this latency in microseconds if any call ended in it.
    pub fn end_period(&mut self, latency_us: Option<f64>) {
        if let Some(us) = latency_us {
            self.newer_us = Some(self.newer_us.map_or(us, |least_us| least_us.min(us)));
        }
        self.periods += 1;
        if self.periods >= BaselineLatency::HALF_WINDOW_PERIODS {
            self.periods = 0;
            // Without any call in all that time, what was known before stays.
            if self.newer_us.is_some() {
                (self.older_us, self.newer_us) = (self.newer_us.take(), None);
            }
        }
    }

    /// The baseline in microseconds; none before any call has ended.
    pub fn us(&self) -> Option<f64> {
        match (self.older_us, self.newer_us) {
            (Some(older_us), Some(newer_us)) => Some(older_us.min(newer_us)),
            (older_us, newer_us) => newer_us.or(older_us),
        }
    }

    /// Which part of the limit may be in flight in the next period.
    pub fn limit_factor(&self) -> f64 {
        if self.periods + BaselineLatency::REMEASURE_PERIODS >= BaselineLatency::HALF_WINDOW_PERIODS {
            BaselineLatency::REMEASURE_FACTOR
        } else {
            1.0
        }
    }
}
