//! The queue of admitted requests: in which order they start, and which are evicted because others would start too late.

use super::request::Request;
use super::request_table::RequestTable;
use super::size_classes::{SizeClass, SizeClasses};

/// The queue counts as full when its newest requests would wait past their latest start; newest first after this.
const NEWEST_FIRST_AFTER_US: u64 = 3_000_000;
/// A request that could wait less than this part of its latency target is too long to be helped by evicting others.
const MIN_PATIENCE_PART: u64 = 4;

/// How full the queue is.
#[derive(Default)]
pub(super) struct RequestQueue {
    /// When it became full.
    pub full_since_us: Option<u64>,
    /// How long it would take to start all of it.
    pub wait_us: u64,
    /// That over the patience of what is in it.
    pub pressure: f64,
}

/// A queued request, as far as evictions need to know it.
pub(super) struct QueuedRequest {
    pub sequence: u64,
    pub arrived_us: u64,
    /// An RPC started after this would likely miss its latency target.
    pub latest_start_us: u64,
    /// How long those behind it wait for it.
    pub start_interval_us: u64,
    pub latency_target_us: u64,
    pub value: f64,
}

/// What a walk through the queue found.
pub(super) struct Walk {
    /// Requests to be rejected, in order.
    pub evicted: Vec<u64>,
    is_full: bool,
    wait_us: u64,
    pressure: f64,
}

/// The first requests of both classes.
#[derive(Clone, Copy)]
pub(super) struct Heads {
    pub small: Option<u64>,
    pub large: Option<u64>,
}

impl RequestQueue {
    /// Whether the newest request of a class starts first: the queue has been full for a while, and its oldest would come
    /// too late.
    pub fn is_newest_first(&self, now_us: u64) -> bool {
        self.full_since_us.is_some_and(|since_us| now_us >= since_us + NEWEST_FIRST_AFTER_US)
    }

    /// Takes over what a walk found.
    pub fn update(&mut self, now_us: u64, walk: &Walk) {
        self.wait_us = walk.wait_us;
        self.pressure = walk.pressure;
        self.full_since_us = walk.is_full.then(|| self.full_since_us.unwrap_or(now_us));
    }
}

/// The first queued request of each class, by age or newest first.
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

/// Walks the queue in the order of starting. Where a request would start too late, the least valuable one before it has
/// waited in vain: it is evicted, so that criticality decides who is rejected while age decides who starts.
pub(super) fn walk(now_us: u64, queue: &[QueuedRequest]) -> Walk {
    let mut evicted = Vec::new();
    let mut before: Vec<&QueuedRequest> = Vec::new();
    let mut wait_us = 0;
    let mut patience_us = 1;
    let mut is_full = false;
    for request in queue {
        patience_us += request.latest_start_us.saturating_sub(request.arrived_us);
        before.push(request);
        if request.can_be_helped() && now_us + wait_us > request.latest_start_us {
            is_full = true;
            let least = least_valuable(&before);
            if before[least].value < request.value {
                let out = before.remove(least);
                wait_us -= out.start_interval_us;
                evicted.push(out.sequence);
            }
        }
        wait_us += request.start_interval_us;
    }
    let pressure = (wait_us * queue.len() as u64) as f64 / patience_us as f64;
    Walk { evicted, is_full, wait_us, pressure }
}

impl QueuedRequest {
    /// Guards against many evictions for one request that is too long for its target in any case.
    fn can_be_helped(&self) -> bool {
        self.latest_start_us > self.arrived_us + self.latency_target_us / MIN_PATIENCE_PART
    }
}

fn least_valuable(requests: &[&QueuedRequest]) -> usize {
    let by_value = |one: &usize, other: &usize| requests[*one].value.total_cmp(&requests[*other].value);
    (0..requests.len()).min_by(by_value).unwrap_or(0)
}

/// A queued request and how it stands in time.
pub(super) fn latest_start_us(request: &Request, ends_us: u64, run_us: u64, latency_target_us: u64) -> u64 {
    // One too long for its target in any case still has a short while: guards against idle cores rejecting long requests
    // on a pessimistic estimate.
    let shortest_us = (request.arrived_us + latency_target_us / 8).min(ends_us);
    ends_us.saturating_sub(run_us).max(shortest_us)
}
