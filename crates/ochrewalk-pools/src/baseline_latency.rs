//! Decides what a pool's calls take where nothing waits below: the least of what was seen over some time. It forgets, so that
//! a lucky minute does not stand for ever; and it is looked for anew now and then with less in hand, so that a queue of our
//! own making is not taken for the usual.

/// Periods after which the older half of what was seen is forgotten.
const WINDOW_PERIODS: u32 = 20;
/// In the last periods of each half less is had in hand: this share of the limit, for so many periods.
const REMEASURE_FACTOR: f64 = 0.6;
const REMEASURE_PERIODS: u32 = 4;

/// The least time of calls, of two halves of a window.
#[derive(Clone, Debug)]
pub struct BaselineLatency {
    older_us: Option<f64>,
    newer_us: Option<f64>,
    periods: u32,
}

impl BaselineLatency {
    /// `turn` moves the dips of pools, and of nodes, apart: all at once they would leave what lies below idle.
    pub fn new(phase: u32) -> BaselineLatency {
        BaselineLatency { older_us: None, newer_us: None, periods: phase % WINDOW_PERIODS }
    }

    /// A period is over, after which calls are held to take so long, if any ended.
    pub fn period(&mut self, now_take_us: Option<f64>) {
        if let Some(us) = now_take_us {
            self.newer_us = Some(self.newer_us.map_or(us, |least| least.min(us)));
        }
        self.periods += 1;
        if self.periods >= WINDOW_PERIODS {
            self.periods = 0;
            // Without a call in all that time nothing new is known.
            if self.newer_us.is_some() {
                (self.older_us, self.newer_us) = (self.newer_us.take(), None);
            }
        }
    }

    /// What a call takes where nothing waits, in microseconds; none before any has ended.
    pub fn us(&self) -> Option<f64> {
        match (self.older_us, self.newer_us) {
            (Some(older), Some(newer)) => Some(older.min(newer)),
            (older, newer) => newer.or(older),
        }
    }

    /// The share of the limit that may be in hand in the next period.
    pub fn limit_factor(&self) -> f64 {
        if self.periods + REMEASURE_PERIODS >= WINDOW_PERIODS {
            REMEASURE_FACTOR
        } else {
            1.0
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lucky_minute_is_forgotten_and_a_quicker_time_counts_at_once() {
        let mut base = BaselineLatency::new(0);
        assert_eq!(base.us(), None);
        base.period(Some(10.0));
        (0..2 * WINDOW_PERIODS).for_each(|_| base.period(Some(100.0)));
        assert_eq!(base.us(), Some(100.0));
        base.period(Some(40.0));
        assert_eq!(base.us(), Some(40.0));
        // What is not called is not forgotten.
        (0..9 * WINDOW_PERIODS).for_each(|_| base.period(None));
        assert_eq!(base.us(), Some(40.0));
    }

    #[test]
    fn dips_are_short_come_again_and_fall_apart_by_turn() {
        let dips = |phase: u32| -> Vec<u32> {
            let mut base = BaselineLatency::new(phase);
            let mut at = Vec::new();
            for period in 0..2 * WINDOW_PERIODS {
                if base.limit_factor() < 1.0 {
                    at.push(period);
                }
                base.period(Some(1.0));
            }
            at
        };
        assert_eq!(dips(0), [16, 17, 18, 19, 36, 37, 38, 39]);
        assert_eq!(dips(5), [11, 12, 13, 14, 31, 32, 33, 34]);
    }
}
