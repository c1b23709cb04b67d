//! Guards against more memory than the node has: queued requests, running ones at a multiple of that, and keys.

use super::request::{Request, RequestState};
use super::request_table::RequestTable;
use crate::host::Machine;

/// The share of the memory that is used.
const MEMORY_USED: f64 = 0.95;

/// The memory of one server, in KB.
pub(super) struct MemoryBudget {
    limit_kb: f64,
    /// Memory of a running request over that of a queued one.
    run_memory_factor: f64,
    key_kb: f64,
}

impl MemoryBudget {
    pub fn new(machine: &Machine) -> MemoryBudget {
        let Machine { memory_kb, run_memory_factor, key_kb, .. } = *machine;
        MemoryBudget { limit_kb: memory_kb * MEMORY_USED, run_memory_factor, key_kb }
    }

    /// What all requests and keys take.
    pub fn used_kb(&self, requests: &RequestTable, keys: usize) -> f64 {
        let of_requests: f64 = requests.iter().map(|(_, request)| self.request_kb(request)).sum();
        of_requests + keys as f64 * self.key_kb
    }

    fn request_kb(&self, request: &Request) -> f64 {
        request.kb * if request.is_queued() { 1.0 } else { self.run_memory_factor }
    }

    /// What a queued request takes more once it is started.
    pub fn start_kb(&self, request: &Request) -> f64 {
        request.kb * (self.run_memory_factor - 1.0)
    }

    pub fn fits(&self, kb: f64) -> bool {
        kb <= self.limit_kb
    }
}

/// The request to give up first where memory is short: the queued one of least value, then one that waits for a shared
/// outcome, which can only be aborted.
pub(super) fn first_to_give_up(requests: &RequestTable) -> Option<u64> {
    let value = |request: &Request| match request.state {
        RequestState::Queued => Some(request.value),
        RequestState::AwaitingOutcome => Some(f64::MAX),
        RequestState::Started(_) => None,
    };
    let waiting = requests.iter().filter_map(|(sequence, request)| Some((sequence, value(request)?)));
    waiting.min_by(|(_, one), (_, other)| one.total_cmp(other)).map(|(sequence, _)| sequence)
}
