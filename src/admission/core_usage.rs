//! The server's gauges, read at an interval, as statements about its cores.

use crate::host::Gauges;

/// Gauges cover half a second; reading them more often tells nothing new.
const READ_INTERVAL_US: u64 = 250_000;
/// Cores are in good use from this busy share on.
const GOOD_USE: f64 = 0.5;
/// Cores are busy from this busy share on.
const BUSY: f64 = 0.92;
/// Cores are swamped when more than this multiple of them is wanted at once.
const SWAMPED: f64 = 2.0;

/// Reads the gauges, where an interval has passed since it last did.
pub struct GaugeReader {
    cores: f64,
    pub(super) next_us: u64,
}

impl GaugeReader {
    /// For a server with so many cores.
    pub fn new(cores: u32) -> GaugeReader {
        GaugeReader { cores: f64::from(cores), next_us: 0 }
    }

    /// What the gauges say of the cores; none before the interval has passed. A missing gauge reads as busy cores without
    /// a queue, and as a full table of connections.
    pub fn read(&mut self, now_us: u64, gauges: Gauges) -> Option<CoreUsage> {
        if now_us < self.next_us {
            return None;
        }
        self.next_us = now_us + READ_INTERVAL_US;
        Some(CoreUsage {
            cores: self.cores,
            busy: gauges.busy.unwrap_or(1.0),
            runnable: gauges.runnable.unwrap_or(self.cores),
            connections: gauges.connections.unwrap_or(f64::MAX),
        })
    }
}

/// How the cores are used.
#[derive(Clone, Copy, Debug)]
pub struct CoreUsage {
    cores: f64,
    busy: f64,
    runnable: f64,
    connections: f64,
}

impl CoreUsage {
    /// Some core has nothing to do.
    pub(super) fn has_idle_core(&self) -> bool {
        self.busy < BUSY && self.runnable < self.cores
    }

    /// More is runnable than the cores get through.
    pub(super) fn is_swamped(&self) -> bool {
        self.runnable > SWAMPED * self.cores
    }

    /// The cores work, and can take more.
    pub(super) fn is_in_good_use(&self) -> bool {
        (GOOD_USE..BUSY).contains(&self.busy)
    }

    /// Under a quarter of the callers are connected.
    pub(super) fn has_few_connections(&self, callers: u32) -> bool {
        4.0 * self.connections < f64::from(callers)
    }
}
