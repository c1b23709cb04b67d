//! The two clocks of a node: durations come from one that only advances, moments that others name from the
//! system's Unix clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the monotonic clock shows at the start, so that moments before the start can be named too.
const START_US: u64 = 3_600_000_000;

#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Microseconds that only advance.
    pub fn now_us(&self) -> u64 {
        START_US + self.0.elapsed().as_micros() as u64
    }

    /// Unix milliseconds.
    pub fn unix_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }
}

/// A time to wait for a channel of may's. Guards against its waits, which count whole milliseconds, rounded
/// down: a part of one is waited for twice over, and less than one for ever.
///
/// ```
/// use ochrewalk_node::clock::whole_ms;
/// assert_eq!([0, 1, 1_000, 49_001].map(|us| whole_ms(us).as_micros()), [1_000, 1_000, 1_000, 50_000]);
/// ```
pub fn whole_ms(us: u64) -> Duration {
    Duration::from_millis(us.div_ceil(1_000).max(1))
}

/// How long ago a moment in Unix milliseconds was. Guards against a stamp ahead of our clock, and against
/// one so old that it can only be wrong.
///
/// ```
/// use ochrewalk_node::clock::since_us;
/// assert_eq!([since_us(1_500, 1_000, 9_000_000), since_us(1_000, 1_500, 9_000_000)], [500_000, 0]);
/// ```
pub fn since_us(unix_ms: u64, ts_ms: u64, most_us: u64) -> u64 {
    unix_ms.saturating_sub(ts_ms).saturating_mul(1_000).min(most_us)
}
