//! What became of RPCs, counted by method since the start, for whoever conducts a change.

use crate::clock::{since_us, Clock};
use crate::gate::Incoming;
use crate::seam::Answer;
use ochrewalk::deployment::Deployment;
use ochrewalk::names::Names;
use ochrewalk_rollout::messages::MethodTally;
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Default)]
struct Method {
    calls: AtomicU64,
    /// No served answer within the latency target.
    missed: AtomicU64,
    /// No served answer.
    failed: AtomicU64,
}

/// Counters that are only ever added to.
pub struct Tally {
    methods: Vec<Method>,
}

impl Tally {
    pub fn new(methods: usize) -> Tally {
        Tally { methods: (0..methods).map(|_| Method::default()).collect() }
    }

    /// An RPC is answered. Strangers' faults are nobody's.
    pub fn answered(&self, clock: &Clock, deployment: &Deployment, rpc: &Incoming, answer: &Answer) {
        if let Answer::Fault(_) = answer {
            return;
        }
        let (of, told) = (&self.methods[rpc.method], &deployment.methods[rpc.method]);
        let took_us = since_us(clock.unix_ms(), rpc.ts_ms, told.deadline_us);
        let is_served = matches!(answer, Answer::Served(_));
        let add = |to: &AtomicU64, is: bool| to.fetch_add(u64::from(is), Ordering::Relaxed);
        add(&of.calls, true);
        add(&of.missed, !is_served || took_us > told.latency_target_us);
        add(&of.failed, !is_served);
    }

    pub fn told(&self, names: &Names) -> Vec<MethodTally> {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let told = |(name, method): (&str, &Method)| MethodTally {
            name: name.to_string(),
            calls: of(&method.calls),
            missed: of(&method.missed),
            failed: of(&method.failed),
        };
        names.iter().zip(&self.methods).map(told).collect()
    }
}
