//! The table of all requests that occupy memory at this server, oldest first.

use super::request::{Request, RunPhase};
use crate::host::RpcId;
use std::collections::{BTreeMap, HashMap};

/// Requests by sequence number, which increases with each arrival, and sequence numbers by id.
#[derive(Default)]
pub(super) struct RequestTable {
    pub requests: BTreeMap<u64, Request>,
    pub by_id: HashMap<RpcId, u64>,
    /// The sequence number of the next arrival.
    pub next_sequence: u64,
}

impl RequestTable {
    pub fn insert(&mut self, request: Request) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_id.insert(request.id.clone(), sequence);
        self.requests.insert(sequence, request);
        sequence
    }

    pub fn remove(&mut self, sequence: u64) {
        if let Some(request) = self.requests.remove(&sequence) {
            self.by_id.remove(&request.id);
        }
    }

    pub fn sequence_of(&self, id: &str) -> Option<u64> {
        self.by_id.get(id).copied()
    }

    pub fn get(&self, sequence: u64) -> &Request {
        &self.requests[&sequence]
    }

    pub fn get_mut(&mut self, sequence: u64) -> &mut Request {
        self.requests.get_mut(&sequence).expect("sequence numbers belong to requests in the table")
    }

    pub fn iter(&self) -> impl Iterator<Item = (u64, &Request)> {
        self.requests.iter().map(|(sequence, request)| (*sequence, request))
    }

    /// Returns the requests that wait to be started, oldest first.
    pub fn queued(&self) -> impl DoubleEndedIterator<Item = (u64, &Request)> {
        let all = self.requests.iter().map(|(sequence, request)| (*sequence, request));
        all.filter(|(_, request)| request.is_queued())
    }

    /// Returns the requests whose callers still wait for an answer, oldest first.
    pub fn unanswered(&self) -> impl Iterator<Item = (u64, &Request)> {
        self.iter().filter(|(_, request)| request.is_unanswered())
    }

    /// Returns the number of requests on the cores.
    pub fn on_core(&self) -> usize {
        self.in_phase(|phase| phase == RunPhase::OnCore)
    }

    /// Returns the number of requests that are on the cores or may return to them.
    pub fn active(&self) -> usize {
        self.requests.values().filter(|request| !request.is_queued()).count()
    }

    /// Returns the number of upstream calls that have not ended.
    pub fn calling(&self) -> usize {
        self.in_phase(|phase| phase == RunPhase::Calling)
    }

    /// Returns the number of requests that wait for their call to be placed.
    pub fn awaiting_call(&self) -> usize {
        self.in_phase(|phase| matches!(phase, RunPhase::AwaitingCall { .. }))
    }

    fn in_phase(&self, is_counted: impl Fn(RunPhase) -> bool) -> usize {
        self.requests.values().filter(|request| request.phase().is_some_and(&is_counted)).count()
    }
}
