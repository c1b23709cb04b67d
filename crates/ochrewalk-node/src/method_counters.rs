//! Counters of answers by method since the start of the process, which a rollout controller compares between versions.

use crate::clock::{age_us, Clock};
use crate::coordinator::IncomingRequest;
use crate::interfaces::Answer;
use ochrewalk::deployment::Deployment;
use ochrewalk::names::Names;
use ochrewalk_rollout::messages::MethodCounters;
use std::sync::atomic::{AtomicU64, Ordering};

/// The counters of one method.
#[derive(Default)]
struct Counters {
    /// All answers. Incremented last, so that a change of it implies that the other counters are up to date.
    calls: AtomicU64,
    /// Requests that were not served within the latency target.
    missed: AtomicU64,
    /// Requests that were not served.
    failed: AtomicU64,
}

/// The counters of all methods, which only increase.
pub struct PerMethodCounters {
    methods: Vec<Counters>,
}

impl PerMethodCounters {
    /// Returns zeroed counters for this number of methods.
    pub fn new(methods: usize) -> PerMethodCounters {
        PerMethodCounters { methods: (0..methods).map(|_| Counters::default()).collect() }
    }

    /// Counts an answer. Invalid requests are faults of their clients and are not counted.
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
        let (counters, method) = (&self.methods[rpc.method], &deployment.methods[rpc.method]);
        let took_us = age_us(clock.unix_ms(), rpc.arrived_unix_ms, method.deadline_us);
        let is_served = matches!(answer, Answer::Served(_));
        let add =
            |counter: &AtomicU64, applies: bool| counter.fetch_add(u64::from(applies), Ordering::Relaxed);
        add(&counters.missed, !is_served || took_us > method.latency_target_us);
        add(&counters.failed, !is_served);
        // Incremented last: a reader that sees this call also sees its other counters.
        counters.calls.fetch_add(1, Ordering::Release);
    }

    /// Returns the counters of all methods.
    pub fn all(&self, names: &Names) -> Vec<MethodCounters> {
        names.iter().zip(&self.methods).map(|(name, method)| method.to_message(name)).collect()
    }

    /// Returns the counters of the methods that had calls since the last report, and records them in `reported`.
    pub fn changed(&self, names: &Names, reported: &mut ReportedCalls) -> Vec<MethodCounters> {
        reported.0.resize(self.methods.len(), 0);
        let mut changed = Vec::new();
        for ((name, method), reported) in names.iter().zip(&self.methods).zip(&mut reported.0) {
            let calls = method.calls.load(Ordering::Acquire);
            if calls != *reported {
                *reported = calls;
                changed.push(method.to_message(name));
            }
        }
        changed
    }
}

/// The number of calls of each method that were reported.
#[derive(Default)]
pub struct ReportedCalls(Vec<u64>);

impl Counters {
    fn to_message(&self, name: &str) -> MethodCounters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        MethodCounters {
            name: name.to_string(),
            calls: read(&self.calls),
            missed: read(&self.missed),
            failed: read(&self.failed),
        }
    }
}
