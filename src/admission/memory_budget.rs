//! The memory budget, which keeps the server within the node's memory: queued requests, running requests at a multiple
//! of their queued size, and idempotency keys.

use super::request::{Request, RequestState};
use super::request_table::RequestTable;
use crate::host::Machine;

/// The share of the memory limit that is used.
const USABLE_SHARE: f64 = 0.95;

/// The memory budget of one server, in KB.
pub(super) struct MemoryBudget {
    limit_kb: f64,
    /// The ratio of the memory of a running request to that of a queued one.
    run_memory_factor: f64,
    key_kb: f64,
}

impl MemoryBudget {
    pub fn new(machine: &Machine) -> MemoryBudget {
        let Machine { memory_kb, run_memory_factor, key_kb, .. } = *machine;
        MemoryBudget { limit_kb: memory_kb * USABLE_SHARE, run_memory_factor, key_kb }
    }

    /// Returns the memory of all requests and keys.
    pub fn used_kb(&self, requests: &RequestTable, keys: usize) -> f64 {
        let requests_kb: f64 = requests.iter().map(|(_, request)| self.request_kb(request)).sum();
        requests_kb + keys as f64 * self.key_kb
    }

    fn request_kb(&self, request: &Request) -> f64 {
        request.kb * if request.is_queued() { 1.0 } else { self.run_memory_factor }
    }

    /// Returns the additional memory that a queued request takes once it is started.
    pub fn start_kb(&self, request: &Request) -> f64 {
        request.kb * (self.run_memory_factor - 1.0)
    }

    pub fn fits(&self, kb: f64) -> bool {
        kb <= self.limit_kb
    }
}

/// Returns the request to give up first when memory is short: the queued request with the lowest value, or else one
/// that waits for a shared outcome. The latter comes last because it can only be aborted.
pub(super) fn first_to_give_up(requests: &RequestTable) -> Option<u64> {
    let value = |request: &Request| match request.state {
        RequestState::Queued => Some(request.value),
        RequestState::AwaitingOutcome => Some(f64::MAX),
        RequestState::Started(_) => None,
    };
    let waiting = requests.iter().filter_map(|(sequence, request)| Some((sequence, value(request)?)));
    waiting.min_by(|(_, one), (_, other)| one.total_cmp(other)).map(|(sequence, _)| sequence)
}
