//! Time for the state machines: integer microseconds of a monotonic clock, and Unix time for logs and records.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock, which steps of Unix time do not affect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock at one second, so that times shortly before the start are not negative.
    pub fn start() -> Clock {
        let now = Instant::now();
        Clock { start: now.checked_sub(Duration::from_secs(1)).unwrap_or(now) }
    }

    /// Returns the microseconds since the clock began.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
