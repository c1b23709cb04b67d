//! Simulates concurrency limits in virtual time: nodes with the real pools share one upstream dependency, whose slots
//! may slow down, fail or crash, and callers retry. The same seed gives the same run, call by call.

use ochrewalk_concurrency_limits::{ConcurrencyLimits, LimitAlgorithm, LimitsConfig, PoolConfig};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const SECOND: u64 = 1_000_000;
/// The pools: cheap lookups, uploads and sales.
pub const POOLS: [&str; 3] = ["part-lookup", "batch-upload", "order-record"];
/// The share of each pool's calls.
const CALL_SHARES: [f64; 3] = [0.5, 0.3, 0.2];
/// The work of each pool's calls as a factor of the usual work.
const WORK_FACTORS: [f64; 3] = [0.5, 1.5, 1.5];
/// The longest time that a call may be queued in its node.
const MAX_QUEUE_TIME_US: u64 = 200_000;
/// The latency objective of a call, including its time in the queue.
const LATENCY_OBJECTIVE_US: u64 = 600_000;
/// The probability that a caller retries a rejected call.
const RETRY_PROBABILITY: f64 = 0.5;
/// The mean time before a retry.
const MEAN_RETRY_DELAY_US: u64 = 300_000;
/// The number of calls, as a multiple of its slots, at which the dependency crashes and all its calls fail.
const CRASH_FACTOR: usize = 12;
/// The time that the dependency is down after a crash.
const DOWNTIME_US: u64 = 5 * SECOND;
/// The queue length, as a multiple of its slots, at which the dependency rejects calls.
const MAX_QUEUE_FACTOR: usize = 8;

/// The condition of the dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    Steady,
    /// The dependency slows down to a sixth of its speed in the middle of the run, linearly, and recovers.
    Slows,
    /// The dependency rejects all calls for 10 s, then has a tenth of its slots for 20 s.
    Fails,
}

pub const CASES: [(&str, Case); 3] =
    [("steady", Case::Steady), ("six times slower", Case::Slows), ("fails, then a tenth", Case::Fails)];

#[derive(Clone, Debug)]
pub struct Fleet {
    pub nodes: usize,
    /// The slots of the dependency.
    pub slots: usize,
    /// The mean time of a call at the dependency.
    pub work_us: f64,
    /// The rate of calls divided by the capacity of the dependency.
    pub load: f64,
    pub seconds: u64,
    pub seed: u64,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The number of calls without retries, by pool.
    pub calls: [u64; 3],
    /// The number of calls served within their latency objective, by pool.
    pub served: [u64; 3],
    pub crashes: u32,
    pub longest_queue: usize,
    /// The mean number of reversals of a limit per minute, over the last third of the run.
    pub reversals: f64,
    /// The mean coefficient of variation of a limit, over the last third of the run.
    pub variation: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    CallArrives { pool: usize, node: usize, first: bool },
    Done { slot_run: u64 },
    Tick { node: usize },
    Recovers,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    node: usize,
    pool: usize,
    started_us: u64,
    sent_us: u64,
}

struct Simulation {
    fleet: Fleet,
    case: Case,
    rng: fastrand::Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    pools: Vec<ConcurrencyLimits>,
    queued: Vec<[VecDeque<u64>; 3]>,
    queue: VecDeque<Call>,
    /// The calls being processed, keyed by the number of their run.
    in_progress: BTreeMap<u64, Call>,
    is_down: bool,
    outcome: Outcome,
    /// The limits of the first nodes' pools in each second, from which their oscillation is computed.
    limits: Vec<Vec<f64>>,
}

/// Simulates a fleet with an algorithm in a case.
pub fn play(algorithm: LimitAlgorithm, case: Case, fleet: &Fleet) -> Outcome {
    let share = (fleet.slots / fleet.nodes).max(1) as u32;
    let pool = |share_of_calls: f64, uses_reserve| PoolConfig {
        initial: ((f64::from(share) * share_of_calls).ceil() as u32).max(1),
        min: 1,
        max: 16 * share,
        uses_reserve,
    };
    let plan = LimitsConfig {
        algorithm,
        pools: CALL_SHARES
            .iter()
            .enumerate()
            .map(|(at, share_of_calls)| pool(*share_of_calls, at == 0))
            .collect(),
        reserve: (share / 4).max(1),
    };
    let mut rng = fastrand::Rng::with_seed(fleet.seed);
    let pools = (0..fleet.nodes)
        .map(|_| ConcurrencyLimits::with_phase(rng.u64(0..SECOND), &plan, rng.u32(0..15)))
        .collect();
    let mut simulation = Simulation {
        fleet: fleet.clone(),
        case,
        rng,
        now_us: 0,
        events: BinaryHeap::new(),
        serial: 0,
        pools,
        queued: vec![Default::default(); fleet.nodes],
        queue: VecDeque::new(),
        in_progress: BTreeMap::new(),
        is_down: false,
        outcome: Outcome::default(),
        limits: vec![Vec::new(); fleet.nodes.min(20) * POOLS.len()],
    };
    for node in 0..fleet.nodes {
        for pool in 0..POOLS.len() {
            simulation.next_call(node, pool);
        }
        let first_us = simulation.rng.u64(0..SECOND);
        simulation.at(first_us, Event::Tick { node });
    }
    let until_us = fleet.seconds * SECOND;
    while let Some(Reverse((at_us, _, event))) = simulation.events.pop() {
        if at_us >= until_us {
            break;
        }
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    simulation.measure_oscillation();
    simulation.outcome
}

impl Simulation {
    fn at(&mut self, at_us: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at_us, self.serial, event)));
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean_us) as u64 + 1
    }

    fn next_call(&mut self, node: usize, pool: usize) {
        let work: f64 =
            CALL_SHARES.iter().zip(WORK_FACTORS).map(|(share_of_calls, work)| share_of_calls * work).sum();
        let capacity = self.fleet.slots as f64 * 1e6 / (self.fleet.work_us * work);
        let rate = self.fleet.load * capacity * CALL_SHARES[pool] / self.fleet.nodes as f64;
        let after_us = self.exponential(1e6 / rate);
        self.at(self.now_us + after_us, Event::CallArrives { pool, node, first: true });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrives { pool, node, first } => {
                if first {
                    self.next_call(node, pool);
                    self.outcome.calls[pool] += 1;
                }
                self.queued[node][pool].push_back(self.now_us);
                self.send_queued(node);
            }
            Event::Done { slot_run } => {
                // The call is missing if the dependency crashed during it.
                let Some(call) = self.in_progress.remove(&slot_run) else { return };
                self.pools[call.node].call_succeeded(call.pool, self.now_us - call.sent_us);
                if self.now_us - call.started_us <= LATENCY_OBJECTIVE_US {
                    self.outcome.served[call.pool] += 1;
                }
                self.start_work();
                self.send_queued(call.node);
            }
            Event::Tick { node } => {
                self.pools[node].tick(self.now_us);
                if let Some(limits) = self.limits.get_mut(node * POOLS.len()..(node + 1) * POOLS.len()) {
                    limits.iter_mut().enumerate().for_each(|(at, of)| of.push(self.pools[node].limit(at)));
                }
                self.send_queued(node);
                self.at(self.now_us + SECOND, Event::Tick { node });
            }
            Event::Recovers => self.is_down = false,
        }
    }

    /// Sends the queued calls of a node, the cheapest pool first, and rejects calls that were queued for too long.
    fn send_queued(&mut self, node: usize) {
        for pool in 0..POOLS.len() {
            while let Some(started_us) = self.queued[node][pool].front().copied() {
                if self.now_us > started_us + MAX_QUEUE_TIME_US {
                    self.queued[node][pool].pop_front();
                    self.rejected(node, pool);
                    continue;
                }
                if !self.pools[node].try_acquire(self.now_us, pool) {
                    break;
                }
                self.queued[node][pool].pop_front();
                self.arrives(Call { node, pool, started_us, sent_us: self.now_us });
            }
        }
    }

    fn rejected(&mut self, node: usize, pool: usize) {
        if self.rng.f64() < RETRY_PROBABILITY {
            let after_us = self.exponential(MEAN_RETRY_DELAY_US as f64);
            self.at(self.now_us + after_us, Event::CallArrives { pool, node, first: false });
        }
    }

    /// Handles the arrival of a call at the dependency.
    fn arrives(&mut self, call: Call) {
        let in_flight = self.queue.len() + self.in_progress.len();
        let second = self.now_us / SECOND;
        let third = self.fleet.seconds / 3;
        let rejects_all = self.case == Case::Fails && (third..third + 10).contains(&second);
        if self.is_down || rejects_all || self.queue.len() >= MAX_QUEUE_FACTOR * self.fleet.slots {
            self.pools[call.node].call_rejected(call.pool);
            // Rejections cost resources too, so a flood of calls also crashes the dependency.
            if !self.is_down && in_flight >= CRASH_FACTOR * self.fleet.slots {
                self.crash();
            }
            return self.rejected(call.node, call.pool);
        }
        self.queue.push_back(call);
        self.outcome.longest_queue = self.outcome.longest_queue.max(self.queue.len());
        self.start_work();
    }

    fn crash(&mut self) {
        self.outcome.crashes += 1;
        self.is_down = true;
        let queue = std::mem::take(&mut self.queue);
        for call in queue.into_iter().chain(std::mem::take(&mut self.in_progress).into_values()) {
            self.pools[call.node].call_rejected(call.pool);
            self.rejected(call.node, call.pool);
        }
        self.at(self.now_us + DOWNTIME_US, Event::Recovers);
    }

    fn start_work(&mut self) {
        let share = self.now_us as f64 / (self.fleet.seconds * SECOND) as f64;
        let third = self.fleet.seconds / 3;
        let has_few_slots =
            self.case == Case::Fails && (third + 10..third + 30).contains(&(self.now_us / SECOND));
        let slots = if has_few_slots { self.fleet.slots / 10 } else { self.fleet.slots };
        // The slowdown rises until the middle of the run, then falls.
        let slowdown = match self.case {
            Case::Slows => 1.0 + 5.0 * (1.0 - (share - 0.5).abs() * 4.0).max(0.0),
            _ => 1.0,
        };
        while self.in_progress.len() < slots {
            let Some(call) = self.queue.pop_front() else { return };
            // Half of the work is constant, half is drawn at random.
            let mean_us = self.fleet.work_us * WORK_FACTORS[call.pool] * slowdown;
            let took_us = (mean_us / 2.0) as u64 + self.exponential(mean_us / 2.0);
            self.serial += 1;
            let slot_run = self.serial;
            self.in_progress.insert(slot_run, call);
            self.at(self.now_us + took_us, Event::Done { slot_run });
        }
    }

    /// Computes the reversals and the variation of the limits over the last third of the run.
    fn measure_oscillation(&mut self) {
        let (mut reversals, mut variation, mut count) = (0.0, 0.0, 0.0);
        for limits in &self.limits {
            let last = &limits[limits.len() * 2 / 3..];
            if last.len() < 10 {
                continue;
            }
            let mean = last.iter().sum::<f64>() / last.len() as f64;
            let variance = last.iter().map(|at| (at - mean).powi(2)).sum::<f64>() / last.len() as f64;
            // A step of less than 5 % does not count as a reversal.
            let (mut direction, mut from) = (0.0, last[0]);
            for at in last {
                if (at / from).ln().abs() > 0.05 {
                    let now = (at - from).signum();
                    reversals +=
                        f64::from(u8::from(direction != 0.0 && now != direction)) * 60.0 / last.len() as f64;
                    (direction, from) = (now, *at);
                }
            }
            variation += variance.sqrt() / mean.max(1e-9);
            count += 1.0;
        }
        self.outcome.reversals = reversals / f64::max(count, 1.0);
        self.outcome.variation = variation / f64::max(count, 1.0);
    }
}

impl Outcome {
    pub fn share(&self, pool: usize) -> f64 {
        self.served[pool] as f64 / self.calls[pool].max(1) as f64
    }
}

/// Prints a table of all algorithms in all cases, with the range over the seeds.
pub fn table(fleet: &Fleet, seeds: u64) {
    println!(
        "{:<10}{:<24}{:>18}{:>18}{:>18}{:>8}{:>12}{:>12}",
        "algorithm",
        "case",
        "part-lookup",
        "batch-upload",
        "order-record",
        "crashes",
        "turns/min",
        "variation"
    );
    for (case_name, case) in CASES {
        for algorithm in LimitAlgorithm::ALL {
            let name = algorithm.name();
            let runs: Vec<Outcome> = std::thread::scope(|scope| {
                let one = |seed: u64| Fleet { seed: fleet.seed + seed, ..fleet.clone() };
                let runs: Vec<_> =
                    (0..seeds).map(|seed| scope.spawn(move || play(algorithm, case, &one(seed)))).collect();
                runs.into_iter().filter_map(|run| run.join().ok()).collect()
            });
            let range = |of: &dyn Fn(&Outcome) -> f64| {
                let least = runs.iter().map(of).fold(f64::MAX, f64::min);
                let most = runs.iter().map(of).fold(f64::MIN, f64::max);
                format!("{least:.3} to {most:.3}")
            };
            let most = |of: &dyn Fn(&Outcome) -> f64| runs.iter().map(of).fold(0.0, f64::max);
            println!(
                "{name:<10}{case_name:<24}{:>18}{:>18}{:>18}{:>8}{:>12.1}{:>12.2}",
                range(&|run| run.share(0)),
                range(&|run| run.share(1)),
                range(&|run| run.share(2)),
                most(&|run| f64::from(run.crashes)),
                most(&|run| run.reversals),
                most(&|run| run.variation)
            );
        }
    }
}
