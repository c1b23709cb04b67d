//! The baseline latency of a pool: the latency of its calls without queueing upstream. The baseline is the minimum over a
//! sliding window, so that an exceptionally low latency does not count indefinitely. At the end of each half of the window
//! fewer calls are allowed in flight for some periods, so that a queue that this node causes does not become the baseline.

/// The minimum latency of a pool's calls over a sliding window of two halves.
#[derive(Clone, Debug)]
pub struct BaselineLatency {
    older_us: Option<f64>,
    newer_us: Option<f64>,
    /// The number of periods since the newer half began.
    periods: u32,
}

impl BaselineLatency {
    /// The number of periods of each half of the window.
    pub const HALF_WINDOW_PERIODS: u32 = 20;
    /// The number of periods at the end of each half in which fewer calls are allowed in flight.
    const REMEASURE_PERIODS: u32 = 4;
    /// The part of the limit that is allowed in those periods.
    const REMEASURE_FACTOR: f64 = 0.6;

    /// Creates a baseline without a latency. The phase is the number of periods by which the window is ahead. Pools and nodes
    /// use different phases, as otherwise all of them would reduce their load on the upstream at the same time.
    pub fn new(phase: u32) -> BaselineLatency {
        let periods = phase % BaselineLatency::HALF_WINDOW_PERIODS;
        BaselineLatency { older_us: None, newer_us: None, periods }
    }

    /// Records the end of a period, with the latency in microseconds if any call ended in the period.
    pub fn end_period(&mut self, latency_us: Option<f64>) {
        if let Some(us) = latency_us {
            self.newer_us = Some(self.newer_us.map_or(us, |minimum_us| minimum_us.min(us)));
        }
        self.periods += 1;
        if self.periods >= BaselineLatency::HALF_WINDOW_PERIODS {
            self.periods = 0;
            // Without any call in this half, the previous baseline stays.
            if self.newer_us.is_some() {
                (self.older_us, self.newer_us) = (self.newer_us.take(), None);
            }
        }
    }

    /// The baseline in microseconds; `None` before any call has ended.
    pub fn us(&self) -> Option<f64> {
        match (self.older_us, self.newer_us) {
            (Some(older_us), Some(newer_us)) => Some(older_us.min(newer_us)),
            (older_us, newer_us) => newer_us.or(older_us),
        }
    }

    /// The part of the limit that may be in flight in the next period.
    pub fn limit_factor(&self) -> f64 {
        if self.periods + BaselineLatency::REMEASURE_PERIODS >= BaselineLatency::HALF_WINDOW_PERIODS {
            BaselineLatency::REMEASURE_FACTOR
        } else {
            1.0
        }
    }
}
