//! The two clocks of a node: durations come from one that only advances, moments that others name from the
//! system's Unix clock.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What the monotonic clock shows at the start, so that moments before the start can be named too.
const START_US: u64 = 3_600_000_000;

/// It counts from a moment of the system's monotonic clock, which another process on the machine sees as well.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base_ns: i64,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { base_ns: monotonic_ns() }
    }

    /// Goes on counting as the one before this process did.
    pub fn resume(base_ns: i64) -> Clock {
        Clock { base_ns }
    }

    pub fn base_ns(&self) -> i64 {
        self.base_ns
    }

    /// Microseconds that only advance.
    pub fn now_us(&self) -> u64 {
        START_US + ((monotonic_ns() - self.base_ns) / 1_000).max(0) as u64
    }

    /// Unix milliseconds.
    pub fn unix_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }
}

fn monotonic_ns() -> i64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000_000 + now.tv_nsec
}

/// Waits of up to so many milliseconds are exact; longer ones go by steps, half as many to each doubling.
const EXACT_MS: u64 = 64;

/// A time to wait for a channel of may's; who waits looks at the clock again, as it may be up to 3% short. Guards against
/// two ways of may's: it counts whole milliseconds, so that a part of one is waited for twice over, and less than one
/// for ever. And it keeps a list for each length of time ever waited for, up to 1,024; past that a list that empties
/// is freed although a waiter may still hold an entry, which then ends the thread that all timers need.
///
/// ```
/// use ochrewalk_node::clock::channel_timeout;
/// assert_eq!([0, 1, 1_000, 49_001].map(|us| channel_timeout(us).as_micros()), [1_000, 1_000, 1_000, 50_000]);
/// assert_eq!([64_000, 101_000, 1_000_000].map(|us| channel_timeout(us).as_millis()), [64, 100, 992]);
/// ```
pub fn channel_timeout(us: u64) -> Duration {
    let ms = us.div_ceil(1_000).max(1);
    let step = (ms / EXACT_MS).checked_ilog2().map_or(1, |doublings| 2 << doublings);
    Duration::from_millis(ms / step * step)
}

/// How long ago a moment in Unix milliseconds was. Guards against a stamp ahead of our clock, and against
/// one so old that it can only be wrong.
///
/// ```
/// use ochrewalk_node::clock::age_us;
/// assert_eq!([age_us(1_500, 1_000, 9_000_000), age_us(1_000, 1_500, 9_000_000)], [500_000, 0]);
/// ```
pub fn age_us(unix_ms: u64, ts_ms: u64, most_us: u64) -> u64 {
    unix_ms.saturating_sub(ts_ms).saturating_mul(1_000).min(most_us)
}
