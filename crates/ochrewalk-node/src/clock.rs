//! The two clocks of a node: a monotonic clock for durations, and the system's Unix clock for times that other machines
//! state.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The reading of the node's clock at its start. Starting above 0 lets times before the start be expressed, too.
const START_US: u64 = 3_600_000_000;

/// A clock that counts from a base time of the system's monotonic clock, which other processes on the machine see as
/// well.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base_ns: i64,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock { base_ns: monotonic_ns() }
    }

    /// Continues the clock of a predecessor process with this base time.
    pub fn resume(base_ns: i64) -> Clock {
        Clock { base_ns }
    }

    /// Returns the base time, in nanoseconds of the system's monotonic clock.
    pub fn base_ns(&self) -> i64 {
        self.base_ns
    }

    /// Returns the monotonic time in microseconds.
    pub fn now_us(&self) -> u64 {
        START_US + ((monotonic_ns() - self.base_ns) / 1_000).max(0) as u64
    }

    /// Returns the Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }
}

fn monotonic_ns() -> i64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec * 1_000_000_000 + now.tv_nsec
}

/// The number of milliseconds up to which time-outs are exact. Longer ones are rounded down to steps, of which each
/// doubling has half this number.
const MAX_EXACT_MS: u64 = 64;

/// Returns the time-out to pass to a channel of `may` for a wait of `us` microseconds. The time-out may be up to 3 %
/// short, so the caller must check the clock again. Guards against two faults of `may`:
///
/// * Time-outs count in whole milliseconds: a fraction of a millisecond is waited for twice, and less than one
///   millisecond for ever.
/// * A list is kept for each length of time that was ever waited for, up to 1,024. Beyond that number a list that becomes
///   empty is freed although a waiter may still hold an entry, which ends the thread that serves all timers.
///
/// ```
/// use ochrewalk_node::clock::channel_timeout;
/// assert_eq!([0, 1, 1_000, 49_001].map(|us| channel_timeout(us).as_micros()), [1_000, 1_000, 1_000, 50_000]);
/// assert_eq!([64_000, 101_000, 1_000_000].map(|us| channel_timeout(us).as_millis()), [64, 100, 992]);
/// ```
pub fn channel_timeout(us: u64) -> Duration {
    let ms = us.div_ceil(1_000).max(1);
    let step = (ms / MAX_EXACT_MS).checked_ilog2().map_or(1, |doublings| 2 << doublings);
    Duration::from_millis(ms / step * step)
}

/// Returns the time since `stamp_ms` in microseconds, at most `max_us`; 0 for a time stamp ahead of this node's clock.
/// The maximum guards against a time stamp so old that it can only be wrong.
///
/// ```
/// use ochrewalk_node::clock::age_us;
/// assert_eq!([age_us(1_500, 1_000, 9_000_000), age_us(1_000, 1_500, 9_000_000)], [500_000, 0]);
/// ```
pub fn age_us(unix_ms: u64, stamp_ms: u64, max_us: u64) -> u64 {
    unix_ms.saturating_sub(stamp_ms).saturating_mul(1_000).min(max_us)
}
