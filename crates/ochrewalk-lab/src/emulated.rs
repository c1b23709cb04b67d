//! Simulates hundreds of processes in virtual time: nodes that each select endpoints with the real
//! `ochrewalk-load-balancer`, endpoints with cores, and faults of both and between them. The same seed gives the same
//! run, call by call.

use ochrewalk_load_balancer::{
    BalancingConfig, CallOutcome, Endpoint, Idempotency, LoadBalancer, Subsetting,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub const SECOND: u64 = 1_000_000;
/// The length of the windows in which calls are counted per endpoint.
pub const WINDOW_US: u64 = 10 * SECOND;
const BURST_US: u64 = 100_000;
/// The one-way latency between a node and an endpoint.
const ONE_WAY_US: u64 = 250;
/// The time until a refused connection is known.
const REFUSED_US: u64 = 200;

/// A fault of endpoints or of the network to them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Connections are refused, and calls in flight end with a broken connection.
    Dead,
    /// The endpoint makes no progress until the fault ends, then continues.
    Stopped,
    /// Work takes longer by this factor.
    Slower(f64),
    /// Each call fails within a millisecond.
    FailsAtOnce,
    /// Calls from this share of the nodes, from the first node on, are lost without an error.
    Silent(f64),
}

/// A fault of a range of endpoints during a time span.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub endpoints: (usize, usize),
    pub from_us: u64,
    pub until_us: u64,
    pub kind: FaultKind,
}

/// A new list of endpoints, which each node reads at a random time within `takes_us`.
#[derive(Clone, Debug)]
pub struct EndpointListUpdate {
    pub at_us: u64,
    pub takes_us: u64,
    pub endpoints: Vec<usize>,
}

#[derive(Clone, Debug)]
pub struct Fleet {
    pub nodes: usize,
    /// The number of all endpoints during the run.
    pub endpoints: usize,
    /// The endpoints on the first list.
    pub listed: Vec<usize>,
    /// Calls per second of each node except the first, which sends `first_rate`.
    pub rate: f64,
    pub first_rate: f64,
    pub work_us: f64,
    /// The factor by which one call in ten takes more work.
    pub long_factor: f64,
    /// The numbers of cores, assigned to the endpoints in turn.
    pub cores: Vec<usize>,
    /// Whether endpoints are weighted by their cores.
    pub weighted: bool,
    pub deadline_us: u64,
    pub seconds: u64,
    pub seed: u64,
    pub config: BalancingConfig,
    /// The interval at which all nodes learn the queue lengths of all endpoints at no cost, in microseconds; 0 for
    /// never. A node then selects the shorter queue of two endpoints of its subset, which is an upper bound of what
    /// communication among nodes could achieve.
    pub queue_broadcast_us: u64,
    pub faults: Vec<Fault>,
    pub list_updates: Vec<EndpointListUpdate>,
    /// Restarts that lose all state: the time and the range of nodes.
    pub restarts: Vec<(u64, usize, usize)>,
}

impl Fleet {
    /// Returns a fleet of equal nodes and equal endpoints, without faults.
    pub fn plain(nodes: usize, endpoints: usize, config: BalancingConfig, seed: u64) -> Fleet {
        Fleet {
            nodes,
            endpoints,
            listed: (0..endpoints).collect(),
            rate: 3.0,
            first_rate: 3.0,
            work_us: 100_000.0,
            long_factor: 1.0,
            cores: vec![1],
            weighted: false,
            deadline_us: 20 * SECOND,
            seconds: 60,
            seed,
            config,
            queue_broadcast_us: 0,
            faults: Vec::new(),
            list_updates: Vec::new(),
            restarts: Vec::new(),
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    pub calls: usize,
    pub served: usize,
    /// The number of calls that arrived at each endpoint, by window.
    pub windows: Vec<Vec<u32>>,
    /// The arrival times of the calls at each endpoint, in order.
    pub arrivals: Vec<Vec<u64>>,
    /// The largest number of calls to one endpoint within 100 ms.
    pub burst: u32,
    pub longest_queue: usize,
    /// The start time and the latency of each served call.
    pub latencies: Vec<(u64, u64)>,
    /// The start time of each call that was not served.
    pub failed: Vec<u64>,
    /// The numbers of cores, assigned to the endpoints in turn.
    pub cores: Vec<usize>,
}

impl RunResult {
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let mut took: Vec<u64> = self.latencies.iter().map(|(_, took_us)| *took_us).collect();
        took.sort_unstable();
        let at = ((took.len() as f64 * quantile) as usize).min(took.len().saturating_sub(1));
        took.get(at).map_or(0.0, |us| *us as f64 / 1_000.0)
    }

    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.calls.max(1) as f64
    }

    /// Returns the served share of the calls that started within a time span.
    pub fn served_between(&self, from_us: u64, until_us: u64) -> f64 {
        let within = |at: u64| (from_us..until_us).contains(&at);
        let served = self.latencies.iter().filter(|(at, _)| within(*at)).count();
        let failed = self.failed.iter().filter(|at| within(**at)).count();
        served as f64 / (served + failed).max(1) as f64
    }

    /// Returns the number of calls that arrived at an endpoint within a time span.
    pub fn arrived_between(&self, endpoint: usize, from_us: u64, until_us: u64) -> usize {
        let arrivals = &self.arrivals[endpoint];
        let before = |time_us: u64| arrivals.partition_point(|at_us| *at_us < time_us);
        before(until_us) - before(from_us)
    }

    /// Returns the worst value of each measure over all windows from `from_window` on, for the calls per core of
    /// these endpoints.
    pub fn evenness(&self, endpoints: &[usize], from_window: usize) -> Evenness {
        let mut worst = Evenness::default();
        for window in self.windows.iter().skip(from_window) {
            let core = |at: usize| self.cores[at % self.cores.len()] as f64;
            let counts: Vec<f64> = endpoints.iter().map(|at| f64::from(window[*at]) / core(*at)).collect();
            worst.take_worst(&Evenness::of(&counts));
        }
        worst
    }
}

/// Measures of how evenly load is distributed over endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evenness {
    pub idle: usize,
    pub max_over_mean: f64,
    /// The variance divided by the mean, which is 1 for random selection.
    pub dispersion: f64,
}

impl Evenness {
    pub fn of(counts: &[f64]) -> Evenness {
        let mean = counts.iter().sum::<f64>() / counts.len().max(1) as f64;
        let variance = counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / counts.len().max(1) as f64;
        Evenness {
            idle: counts.iter().filter(|c| **c == 0.0).count(),
            max_over_mean: counts.iter().copied().fold(0.0, f64::max) / mean.max(1e-9),
            dispersion: variance / mean.max(1e-9),
        }
    }

    pub fn take_worst(&mut self, other: &Evenness) {
        self.idle = self.idle.max(other.idle);
        self.max_over_mean = self.max_over_mean.max(other.max_over_mean);
        self.dispersion = self.dispersion.max(other.dispersion);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call {
        node: usize,
    },
    Arrives {
        call: usize,
    },
    /// A core of an endpoint finishes its call, unless the endpoint's epoch has changed.
    Done {
        endpoint: usize,
        epoch: u32,
    },
    Answered {
        call: usize,
        outcome: u8,
    },
    DeadlineExpired {
        call: usize,
    },
    Fault {
        at: usize,
        is_start: bool,
    },
    UpdateList {
        node: usize,
        at: usize,
    },
    Restart {
        at: usize,
    },
}

const ANSWERS: [CallOutcome; 4] =
    [CallOutcome::Succeeded, CallOutcome::Failed, CallOutcome::ConnectionBroken, CallOutcome::ConnectFailed];

struct Call {
    node: usize,
    /// The number of the node's restarts when the call started.
    start: u32,
    slot: usize,
    endpoint: usize,
    started_us: u64,
    work_us: f64,
    is_over: bool,
    retries: u32,
}

#[derive(Default)]
struct EndpointState {
    cores: usize,
    queue: VecDeque<usize>,
    /// The calls being processed, and the time at which each is done.
    in_progress: Vec<(usize, u64)>,
    epoch: u32,
    fault: Option<FaultKind>,
    burst_from_us: u64,
    burst: u32,
}

struct Run<'a> {
    fleet: &'a Fleet,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    balancers: Vec<LoadBalancer>,
    starts: Vec<u32>,
    /// The endpoint of each slot of each node.
    slots: Vec<Vec<usize>>,
    endpoints: Vec<EndpointState>,
    calls: Vec<Call>,
    /// The queue lengths that the nodes learned last.
    known_queues: Vec<usize>,
    /// The time at which the nodes learned the queue lengths.
    queues_known_at_us: u64,
    rng: fastrand::Rng,
    result: RunResult,
}

/// Simulates a fleet.
pub fn play(fleet: &Fleet) -> RunResult {
    let endpoints = (0..fleet.endpoints)
        .map(|at| EndpointState { cores: fleet.cores[at % fleet.cores.len()], ..EndpointState::default() });
    let windows = (fleet.seconds * SECOND / WINDOW_US).max(1) as usize;
    let mut run = Run {
        fleet,
        now_us: 0,
        events: BinaryHeap::new(),
        number: 0,
        balancers: Vec::new(),
        starts: vec![0; fleet.nodes],
        slots: vec![Vec::new(); fleet.nodes],
        endpoints: endpoints.collect(),
        calls: Vec::new(),
        known_queues: vec![0; fleet.endpoints],
        queues_known_at_us: 0,
        rng: fastrand::Rng::with_seed(fleet.seed),
        result: RunResult {
            cores: fleet.cores.clone(),
            windows: vec![vec![0; fleet.endpoints]; windows],
            arrivals: vec![Vec::new(); fleet.endpoints],
            ..RunResult::default()
        },
    };
    for node in 0..fleet.nodes {
        run.balancers.push(run.balancer(node));
        run.update_list(node, &fleet.listed);
        run.next_call(node);
    }
    for (at, fault) in fleet.faults.iter().enumerate() {
        run.at(fault.from_us, Event::Fault { at, is_start: true });
        run.at(fault.until_us, Event::Fault { at, is_start: false });
    }
    for (at, update) in fleet.list_updates.iter().enumerate() {
        for node in 0..fleet.nodes {
            let when_us = update.at_us + run.rng.u64(0..=update.takes_us);
            run.at(when_us, Event::UpdateList { node, at });
        }
    }
    for at in 0..fleet.restarts.len() {
        run.at(fleet.restarts[at].0, Event::Restart { at });
    }
    while let Some(Reverse((now_us, _, event))) = run.events.pop() {
        run.now_us = now_us;
        run.handle(event);
    }
    run.result
}

impl Run<'_> {
    fn at(&mut self, when_us: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((when_us, self.number, event)));
    }

    fn balancer(&self, node: usize) -> LoadBalancer {
        let mut config = self.fleet.config;
        if let Subsetting::Deterministic { node: number, node_count: of, .. } = &mut config.subsetting {
            (*number, *of) = (node, self.fleet.nodes);
        }
        let seed = self.fleet.seed ^ (node as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        LoadBalancer::new(config, seed ^ u64::from(self.starts[node]) << 32)
    }

    fn update_list(&mut self, node: usize, endpoints: &[usize]) {
        let listed: Vec<Endpoint> = endpoints
            .iter()
            .map(|endpoint| {
                let weight = if self.fleet.weighted { self.endpoints[*endpoint].cores as f64 } else { 1.0 };
                Endpoint { key: *endpoint as u64, weight, is_local_zone: true }
            })
            .collect();
        let slots = self.balancers[node].set_endpoints(self.now_us, &listed);
        for (slot, endpoint) in slots.into_iter().zip(endpoints) {
            if self.slots[node].len() <= slot {
                self.slots[node].resize(slot + 1, 0);
            }
            self.slots[node][slot] = *endpoint;
        }
    }

    fn next_call(&mut self, node: usize) {
        let rate = if node == 0 { self.fleet.first_rate } else { self.fleet.rate };
        let gap_us = -(1.0 - self.rng.f64()).ln() / rate * SECOND as f64;
        let when_us = self.now_us + gap_us as u64;
        if when_us < self.fleet.seconds * SECOND {
            self.at(when_us, Event::Call { node });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { node } => {
                self.next_call(node);
                self.result.calls += 1;
                let work_us = -(1.0 - self.rng.f64()).ln() * self.fleet.work_us;
                let work_us =
                    if self.rng.u8(0..10) == 0 { work_us * self.fleet.long_factor } else { work_us };
                self.calls.push(Call {
                    node,
                    start: self.starts[node],
                    slot: 0,
                    endpoint: 0,
                    started_us: self.now_us,
                    work_us,
                    is_over: false,
                    retries: 0,
                });
                let call = self.calls.len() - 1;
                self.at(self.now_us + self.fleet.deadline_us, Event::DeadlineExpired { call });
                self.dispatch(call, None);
            }
            Event::Arrives { call } => self.arrives(call),
            Event::Done { endpoint, epoch } if epoch == self.endpoints[endpoint].epoch => self.done(endpoint),
            Event::Done { .. } => {}
            Event::Answered { call, outcome } => self.answered(call, ANSWERS[usize::from(outcome)]),
            Event::DeadlineExpired { call } => {
                if !self.calls[call].is_over {
                    self.record(call, CallOutcome::TimedOut);
                    self.fail(call);
                }
            }
            Event::Fault { at, is_start } => self.set_fault(at, is_start),
            Event::UpdateList { node, at } => {
                let fleet = self.fleet;
                self.update_list(node, &fleet.list_updates[at].endpoints);
            }
            Event::Restart { at } => {
                let (_, from, to) = self.fleet.restarts[at];
                for node in from..to {
                    self.starts[node] += 1;
                    self.balancers[node] = self.balancer(node);
                    let fleet = self.fleet;
                    let newest = fleet.list_updates.iter().rfind(|update| update.at_us <= self.now_us);
                    self.update_list(node, newest.map_or(&fleet.listed, |update| &update.endpoints));
                }
            }
        }
    }

    fn dispatch(&mut self, call: usize, avoid: Option<usize>) {
        let state = &self.calls[call];
        let (node, now_us) = (state.node, self.now_us);
        if state.start != self.starts[node] {
            return self.fail(call);
        }
        let Some(mut slot) = self.balancers[node].pick(now_us, Idempotency::Idempotent, avoid) else {
            return self.fail(call);
        };
        if self.fleet.queue_broadcast_us > 0 {
            slot = self.shorter_queue(node, slot);
        }
        self.balancers[node].call_started(now_us, slot, call as u64);
        let endpoint = self.slots[node][slot];
        (self.calls[call].slot, self.calls[call].endpoint) = (slot, endpoint);
        self.at(now_us + ONE_WAY_US, Event::Arrives { call });
    }

    fn shorter_queue(&mut self, node: usize, slot: usize) -> usize {
        if self.now_us >= self.queues_known_at_us + self.fleet.queue_broadcast_us {
            self.known_queues = self
                .endpoints
                .iter()
                .map(|endpoint| endpoint.queue.len() + endpoint.in_progress.len())
                .collect();
            self.queues_known_at_us = self.now_us;
        }
        let subset = &self.balancers[node].state().subset;
        let other = subset[self.rng.usize(0..subset.len())];
        let queue = |slot: usize| self.known_queues[self.slots[node][slot]];
        if queue(other) < queue(slot) {
            other
        } else {
            slot
        }
    }

    fn arrives(&mut self, call: usize) {
        let (endpoint, node) = (self.calls[call].endpoint, self.calls[call].node);
        match self.endpoints[endpoint].fault {
            Some(FaultKind::Dead) => return self.answer(call, REFUSED_US, CallOutcome::ConnectFailed),
            Some(FaultKind::FailsAtOnce) => return self.answer(call, 1_000, CallOutcome::Failed),
            Some(FaultKind::Silent(share)) if (node as f64) < share * self.fleet.nodes as f64 => return,
            _ => {}
        }
        let window = (self.now_us / WINDOW_US) as usize;
        if let Some(counts) = self.result.windows.get_mut(window) {
            counts[endpoint] += 1;
        }
        self.result.arrivals[endpoint].push(self.now_us);
        let at = &mut self.endpoints[endpoint];
        if self.now_us >= at.burst_from_us + BURST_US {
            (at.burst_from_us, at.burst) = (self.now_us, 0);
        }
        at.burst += 1;
        self.result.burst = self.result.burst.max(at.burst);
        at.queue.push_back(call);
        self.result.longest_queue = self.result.longest_queue.max(at.queue.len());
        self.start_work(endpoint);
    }

    /// Assigns queued calls to free cores.
    fn start_work(&mut self, endpoint: usize) {
        let factor = match self.endpoints[endpoint].fault {
            Some(FaultKind::Stopped | FaultKind::Dead) => return,
            Some(FaultKind::Slower(factor)) => factor,
            _ => 1.0,
        };
        while self.endpoints[endpoint].in_progress.len() < self.endpoints[endpoint].cores {
            let Some(call) = self.endpoints[endpoint].queue.pop_front() else { return };
            let until_us = self.now_us + (self.calls[call].work_us * factor) as u64;
            self.endpoints[endpoint].in_progress.push((call, until_us));
            let epoch = self.endpoints[endpoint].epoch;
            self.at(until_us, Event::Done { endpoint, epoch });
        }
    }

    fn done(&mut self, endpoint: usize) {
        let now_us = self.now_us;
        let in_progress = std::mem::take(&mut self.endpoints[endpoint].in_progress);
        let (over, left): (Vec<_>, Vec<_>) =
            in_progress.into_iter().partition(|(_, until_us)| *until_us <= now_us);
        self.endpoints[endpoint].in_progress = left;
        for (call, _) in over {
            self.answer(call, 0, CallOutcome::Succeeded);
        }
        self.start_work(endpoint);
    }

    fn answer(&mut self, call: usize, after_us: u64, outcome: CallOutcome) {
        let outcome = ANSWERS.iter().position(|known| *known == outcome).expect("an answer") as u8;
        self.at(self.now_us + ONE_WAY_US + after_us, Event::Answered { call, outcome });
    }

    fn record(&mut self, call: usize, outcome: CallOutcome) {
        let state = &self.calls[call];
        if state.start == self.starts[state.node] {
            self.balancers[state.node].call_ended(self.now_us, state.slot, call as u64, outcome);
        }
    }

    fn answered(&mut self, call: usize, outcome: CallOutcome) {
        if self.calls[call].is_over {
            return;
        }
        self.record(call, outcome);
        match outcome {
            CallOutcome::Succeeded => {
                self.calls[call].is_over = true;
                self.result.served += 1;
                let started_us = self.calls[call].started_us;
                self.result.latencies.push((started_us, self.now_us - started_us));
            }
            // The call never ran and is sent to another endpoint, as by `ochrewalk-connection-pool`.
            CallOutcome::ConnectFailed if self.calls[call].retries < 3 => {
                self.calls[call].retries += 1;
                let slot = self.calls[call].slot;
                self.dispatch(call, Some(slot));
            }
            _ => self.fail(call),
        }
    }

    fn fail(&mut self, call: usize) {
        self.calls[call].is_over = true;
        self.result.failed.push(self.calls[call].started_us);
    }

    fn set_fault(&mut self, at: usize, is_start: bool) {
        let fault = self.fleet.faults[at];
        for endpoint in fault.endpoints.0..fault.endpoints.1 {
            let now_us = self.now_us;
            self.endpoints[endpoint].fault = is_start.then_some(fault.kind);
            self.endpoints[endpoint].epoch += 1;
            match fault.kind {
                FaultKind::Dead if is_start => {
                    let state = &mut self.endpoints[endpoint];
                    let mut broken: Vec<usize> = state.queue.drain(..).collect();
                    broken.extend(state.in_progress.drain(..).map(|(call, _)| call));
                    broken.into_iter().for_each(|call| self.answer(call, 0, CallOutcome::ConnectionBroken));
                }
                // Calls being processed make no progress during the fault, and continue afterwards.
                FaultKind::Stopped => {
                    let epoch = self.endpoints[endpoint].epoch;
                    let paused_us = if is_start { 0 } else { now_us - fault.from_us };
                    let mut until = Vec::new();
                    for (_, until_us) in &mut self.endpoints[endpoint].in_progress {
                        *until_us += paused_us;
                        until.push(*until_us);
                    }
                    if !is_start {
                        until.into_iter().for_each(|us| self.at(us, Event::Done { endpoint, epoch }));
                    }
                }
                _ => {
                    let epoch = self.endpoints[endpoint].epoch;
                    let until: Vec<u64> =
                        self.endpoints[endpoint].in_progress.iter().map(|(_, us)| *us).collect();
                    until.into_iter().for_each(|us| self.at(us, Event::Done { endpoint, epoch }));
                }
            }
            self.start_work(endpoint);
        }
    }
}
