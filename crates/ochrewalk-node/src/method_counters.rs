//! What became of RPCs, counted by method since the start, for whoever conducts a change.

use crate::clock::{age_us, Clock};
use crate::coordinator::IncomingRequest;
use crate::interfaces::Answer;
use ochrewalk::deployment::Deployment;
use ochrewalk::names::Names;
use ochrewalk_rollout::messages::MethodCounters;
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Default)]
struct Method {
    /// Counted last, so that a change of it covers the others'.
    calls: AtomicU64,
    /// No served answer within the latency target.
    missed: AtomicU64,
    /// No served answer.
    failed: AtomicU64,
}

/// Counters that are only ever added to.
pub struct PerMethodCounters {
    methods: Vec<Method>,
}

impl PerMethodCounters {
    pub fn new(methods: usize) -> PerMethodCounters {
        PerMethodCounters { methods: (0..methods).map(|_| Method::default()).collect() }
    }

    /// An RPC is answered. Strangers' faults are nobody's.
    pub fn record_answer(
        &self,
        clock: &Clock,
        deployment: &Deployment,
        rpc: &IncomingRequest,
        answer: &Answer,
    ) {
        if let Answer::InvalidRequest(_) = answer {
            return;
        }
        let (of, told) = (&self.methods[rpc.method], &deployment.methods[rpc.method]);
        let took_us = age_us(clock.unix_ms(), rpc.arrived_unix_ms, told.deadline_us);
        let is_served = matches!(answer, Answer::Served(_));
        let add = |to: &AtomicU64, is: bool| to.fetch_add(u64::from(is), Ordering::Relaxed);
        add(&of.missed, !is_served || took_us > told.latency_target_us);
        add(&of.failed, !is_served);
        // Last: whoever has seen this call has seen what became of it.
        of.calls.fetch_add(1, Ordering::Release);
    }

    /// Counters of all methods.
    pub fn all(&self, names: &Names) -> Vec<MethodCounters> {
        names.iter().zip(&self.methods).map(|(name, method)| method.counted(name)).collect()
    }

    /// Counters of methods that had calls since the last time that `reported` came here.
    pub fn changed(&self, names: &Names, reported: &mut ReportedCalls) -> Vec<MethodCounters> {
        reported.0.resize(self.methods.len(), 0);
        let mut changed = Vec::new();
        for ((name, method), reported) in names.iter().zip(&self.methods).zip(&mut reported.0) {
            let calls = method.calls.load(Ordering::Acquire);
            if calls != *reported {
                *reported = calls;
                changed.push(method.counted(name));
            }
        }
        changed
    }
}

/// How many calls of each method were reported.
#[derive(Default)]
pub struct ReportedCalls(Vec<u64>);

impl Method {
    fn counted(&self, name: &str) -> MethodCounters {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        MethodCounters {
            name: name.to_string(),
            calls: of(&self.calls),
            missed: of(&self.missed),
            failed: of(&self.failed),
        }
    }
}
