//! The queue of requests: the order in which they start, and the eviction of requests that make more valuable ones
//! start too late.

use super::request::Request;
use super::request_table::RequestTable;
use super::size_classes::{SizeClass, SizeClasses};

/// The time for which the queue must be full before the newest request starts first. The queue counts as full when its
/// newest requests would wait beyond their latest start.
const NEWEST_FIRST_AFTER_US: u64 = 3_000_000;
/// The divisor of the latency target that gives the shortest allowed wait for which other requests are evicted. A
/// request with a shorter allowed wait runs too long for evictions to help it.
const MIN_ALLOWED_WAIT_DIVISOR: u64 = 4;

/// The fill state of the queue.
#[derive(Default)]
pub(super) struct RequestQueue {
    /// The time since which the queue has been full.
    pub full_since_us: Option<u64>,
    /// The time that starting all queued requests would take.
    pub wait_us: u64,
    /// The ratio of `wait_us` to the mean time that the queued requests can wait.
    pub pressure: f64,
}

/// The properties of a queued request that evictions depend on.
pub(super) struct QueuedRequest {
    pub sequence: u64,
    pub arrived_us: u64,
    /// The latest start time after which the request would likely miss its latency target.
    pub latest_start_us: u64,
    /// The time by which this request delays those behind it.
    pub start_interval_us: u64,
    pub latency_target_us: u64,
    pub value: f64,
}

/// The result of a walk through the queue.
pub(super) struct Walk {
    /// The sequence numbers of requests to be rejected, in order of rejection.
    pub evicted: Vec<u64>,
    is_full: bool,
    wait_us: u64,
    pressure: f64,
}

/// The requests of both size classes that start next.
#[derive(Clone, Copy)]
pub(super) struct Heads {
    pub small: Option<u64>,
    pub large: Option<u64>,
}

impl RequestQueue {
    /// Whether the newest request of a class starts first, because the queue has been full for
    /// [`NEWEST_FIRST_AFTER_US`] and its oldest requests would be answered too late.
    pub fn is_newest_first(&self, now_us: u64) -> bool {
        self.full_since_us.is_some_and(|since_us| now_us >= since_us + NEWEST_FIRST_AFTER_US)
    }

    /// Updates the state of the queue from the result of a walk.
    pub fn update(&mut self, now_us: u64, walk: &Walk) {
        self.wait_us = walk.wait_us;
        self.pressure = walk.pressure;
        self.full_since_us = walk.is_full.then(|| self.full_since_us.unwrap_or(now_us));
    }
}

/// Returns the queued request of each class that starts next: the oldest, or the newest if `newest_first`.
pub(super) fn heads(requests: &RequestTable, classes: &SizeClasses, newest_first: bool) -> Heads {
    let head = |class: SizeClass| {
        let mut of_class = requests
            .queued()
            .filter(|(_, request)| classes.class_of(request.method) == class)
            .map(|(sequence, _)| sequence);
        if newest_first {
            of_class.next_back()
        } else {
            of_class.next()
        }
    };
    Heads { small: head(SizeClass::Small), large: head(SizeClass::Large) }
}

/// Walks the queue in the order of starting. If a request would start too late, the least valuable request up to it is
/// evicted, provided that its value is lower. Criticality thus determines which requests are rejected, and age which
/// ones start.
pub(super) fn walk(now_us: u64, queue: &[QueuedRequest]) -> Walk {
    let mut evicted = Vec::new();
    let mut remaining: Vec<&QueuedRequest> = Vec::new();
    let mut wait_us = 0;
    let mut total_allowed_wait_us = 1;
    let mut is_full = false;
    for request in queue {
        total_allowed_wait_us += request.latest_start_us.saturating_sub(request.arrived_us);
        remaining.push(request);
        if request.can_be_helped() && now_us + wait_us > request.latest_start_us {
            is_full = true;
            let least = least_valuable(&remaining);
            if remaining[least].value < request.value {
                let removed = remaining.remove(least);
                wait_us -= removed.start_interval_us;
                evicted.push(removed.sequence);
            }
        }
        wait_us += request.start_interval_us;
    }
    let pressure = (wait_us * queue.len() as u64) as f64 / total_allowed_wait_us as f64;
    Walk { evicted, is_full, wait_us, pressure }
}

impl QueuedRequest {
    /// Whether evictions can make this request meet its target. Without this check, a request that is too long for its
    /// target in any case would cause many evictions.
    fn can_be_helped(&self) -> bool {
        self.latest_start_us > self.arrived_us + self.latency_target_us / MIN_ALLOWED_WAIT_DIVISOR
    }
}

fn least_valuable(requests: &[&QueuedRequest]) -> usize {
    let by_value = |one: &usize, other: &usize| requests[*one].value.total_cmp(&requests[*other].value);
    (0..requests.len()).min_by(by_value).unwrap_or(0)
}

/// Returns the latest start time of a request that must end by `ends_us` and is expected to run for `run_us`.
pub(super) fn latest_start_us(request: &Request, ends_us: u64, run_us: u64, latency_target_us: u64) -> u64 {
    // A request that is too long for its target in any case still gets an eighth of the target to start in. Otherwise a
    // server with idle cores would reject long requests because of a pessimistic estimate.
    let min_latest_start_us = (request.arrived_us + latency_target_us / 8).min(ends_us);
    ends_us.saturating_sub(run_us).max(min_latest_start_us)
}
