//! Interprets the server's gauges, which are read at an interval, as the load of its cores.

use crate::host::Gauges;

/// The interval between readings. Gauges cover half a second, so more frequent readings add no information.
const READ_INTERVAL_US: u64 = 250_000;
/// The busy share from which cores count as moderately busy.
const MODERATELY_BUSY: f64 = 0.5;
/// The busy share from which cores count as fully busy.
const BUSY: f64 = 0.92;
/// The ratio of runnable work to cores above which the cores count as oversubscribed.
const OVERSUBSCRIBED: f64 = 2.0;

/// Reads the gauges, at most once per interval.
pub struct GaugeReader {
    cores: f64,
    pub(super) next_us: u64,
}

impl GaugeReader {
    /// Creates the reader of a server with this number of cores.
    pub fn new(cores: u32) -> GaugeReader {
        GaugeReader { cores: f64::from(cores), next_us: 0 }
    }

    /// Returns the usage of the cores, or `None` before the interval has passed. Missing gauges read as fully busy
    /// cores without a run queue, and as a full connection table.
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

/// The usage of the cores in one reading.
#[derive(Clone, Copy, Debug)]
pub struct CoreUsage {
    cores: f64,
    busy: f64,
    runnable: f64,
    connections: f64,
}

impl CoreUsage {
    /// Whether at least one core is idle.
    pub(super) fn has_idle_core(&self) -> bool {
        self.busy < BUSY && self.runnable < self.cores
    }

    /// Whether more work is runnable than the cores can process.
    pub(super) fn is_oversubscribed(&self) -> bool {
        self.runnable > OVERSUBSCRIBED * self.cores
    }

    /// Whether the cores are busy and still have capacity.
    pub(super) fn is_moderately_busy(&self) -> bool {
        (MODERATELY_BUSY..BUSY).contains(&self.busy)
    }

    /// Whether fewer than a quarter of the callers are connected.
    pub(super) fn has_few_connections(&self, callers: u32) -> bool {
        4.0 * self.connections < f64::from(callers)
    }
}
