//! Nodes with pools before one ledger that all of them share, in virtual time: the real pools in each node, a ledger with slots
//! that slows, fails and falls, and callers that ask again. The same seed gives the same run to the last call.

use ochrewalk_concurrency_limits::{ConcurrencyLimits, LimitAlgorithm, LimitsConfig, PoolConfig};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const SECOND: u64 = 1_000_000;
/// Pools: the cheapest, uploads, sales; their part of the calls, and the part of the usual work of each.
pub const POOLS: [&str; 3] = ["part-lookup", "batch-upload", "order-record"];
const PARTS: [f64; 3] = [0.5, 0.3, 0.2];
const WORK: [f64; 3] = [0.5, 1.5, 1.5];
/// How long a call may wait in its node, and be under way in all, to be of use.
const WAITS_US: u64 = 200_000;
const TARGET_US: u64 = 600_000;
/// A caller whose call was turned away asks again with this chance, after so long.
const AGAIN: f64 = 0.5;
const AGAIN_US: u64 = 300_000;
/// A ledger that holds so many times its slots falls, for so long, with all that it holds; past this it turns calls away.
const FALLS: usize = 12;
const FALLEN_US: u64 = 5 * SECOND;
const QUEUE: usize = 8;

/// What befalls the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    Steady,
    /// Six times as slow in the middle of the run, evenly there and back.
    Slows,
    /// It turns all away for 10 s, then has a tenth of its slots for 20 s.
    Fails,
}

pub const CASES: [(&str, Case); 3] =
    [("steady", Case::Steady), ("slows to six times", Case::Slows), ("fails, then a trickle", Case::Fails)];

#[derive(Clone, Debug)]
pub struct Fleet {
    pub nodes: usize,
    /// Slots of the ledger, and what a call takes there in the mean.
    pub slots: usize,
    pub work_us: f64,
    /// Calls over what the ledger can do.
    pub load: f64,
    pub seconds: u64,
    pub seed: u64,
}

/// What was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// First calls, and those that were served in their target, by pool.
    pub asked: [u64; 3],
    pub served: [u64; 3],
    pub falls: u32,
    pub longest_queue: usize,
    /// How often a limit turned round in a minute, in the mean, and how far it strayed from its mean, over the last third.
    pub reversals: f64,
    pub variation: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Asks { pool: usize, node: usize, first: bool },
    Done { slot_run: u64 },
    Tick { node: usize },
    Rises,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    node: usize,
    pool: usize,
    asked_us: u64,
    begun_us: u64,
}

struct World {
    fleet: Fleet,
    case: Case,
    rng: fastrand::Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    pools: Vec<ConcurrencyLimits>,
    waiting: Vec<[VecDeque<u64>; 3]>,
    queue: VecDeque<Call>,
    /// By the number of their run.
    at_work: BTreeMap<u64, Call>,
    fallen: bool,
    outcome: Outcome,
    /// Limits of the first nodes' pools by second, for how they swing.
    limits: Vec<Vec<f64>>,
}

/// Plays it.
pub fn play(algorithm: LimitAlgorithm, case: Case, fleet: &Fleet) -> Outcome {
    let share = (fleet.slots / fleet.nodes).max(1) as u32;
    let pool = |part: f64, uses_reserve| PoolConfig {
        initial: ((f64::from(share) * part).ceil() as u32).max(1),
        min: 1,
        max: 16 * share,
        uses_reserve,
    };
    let plan = LimitsConfig {
        algorithm,
        pools: PARTS.iter().enumerate().map(|(at, part)| pool(*part, at == 0)).collect(),
        reserve: (share / 4).max(1),
    };
    let mut rng = fastrand::Rng::with_seed(fleet.seed);
    let pools = (0..fleet.nodes)
        .map(|_| ConcurrencyLimits::with_phase(rng.u64(0..SECOND), &plan, rng.u32(0..15)))
        .collect();
    let mut world = World {
        fleet: fleet.clone(),
        case,
        rng,
        now_us: 0,
        events: BinaryHeap::new(),
        serial: 0,
        pools,
        waiting: vec![Default::default(); fleet.nodes],
        queue: VecDeque::new(),
        at_work: BTreeMap::new(),
        fallen: false,
        outcome: Outcome::default(),
        limits: vec![Vec::new(); fleet.nodes.min(20) * POOLS.len()],
    };
    for node in 0..fleet.nodes {
        for pool in 0..POOLS.len() {
            world.next_call(node, pool);
        }
        let first_us = world.rng.u64(0..SECOND);
        world.at(first_us, Event::Tick { node });
    }
    let until_us = fleet.seconds * SECOND;
    while let Some(Reverse((at_us, _, event))) = world.events.pop() {
        if at_us >= until_us {
            break;
        }
        world.now_us = at_us;
        world.happens(event);
    }
    world.swings();
    world.outcome
}

impl World {
    fn at(&mut self, at_us: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at_us, self.serial, event)));
    }

    fn drawn(&mut self, mean_us: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean_us) as u64 + 1
    }

    fn next_call(&mut self, node: usize, pool: usize) {
        let work: f64 = PARTS.iter().zip(WORK).map(|(part, work)| part * work).sum();
        let can = self.fleet.slots as f64 * 1e6 / (self.fleet.work_us * work);
        let rate = self.fleet.load * can * PARTS[pool] / self.fleet.nodes as f64;
        let after_us = self.drawn(1e6 / rate);
        self.at(self.now_us + after_us, Event::Asks { pool, node, first: true });
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Asks { pool, node, first } => {
                if first {
                    self.next_call(node, pool);
                    self.outcome.asked[pool] += 1;
                }
                self.waiting[node][pool].push_back(self.now_us);
                self.place(node);
            }
            Event::Done { slot_run } => {
                // None where the ledger fell under it.
                let Some(call) = self.at_work.remove(&slot_run) else { return };
                self.pools[call.node].call_succeeded(call.pool, self.now_us - call.begun_us);
                if self.now_us - call.asked_us <= TARGET_US {
                    self.outcome.served[call.pool] += 1;
                }
                self.work();
                self.place(call.node);
            }
            Event::Tick { node } => {
                self.pools[node].tick(self.now_us);
                if let Some(limits) = self.limits.get_mut(node * POOLS.len()..(node + 1) * POOLS.len()) {
                    limits.iter_mut().enumerate().for_each(|(at, of)| of.push(self.pools[node].limit(at)));
                }
                self.place(node);
                self.at(self.now_us + SECOND, Event::Tick { node });
            }
            Event::Rises => self.fallen = false,
        }
    }

    /// Places what waits in a node, the cheapest first, and turns away what has waited too long.
    fn place(&mut self, node: usize) {
        for pool in 0..POOLS.len() {
            while let Some(asked_us) = self.waiting[node][pool].front().copied() {
                if self.now_us > asked_us + WAITS_US {
                    self.waiting[node][pool].pop_front();
                    self.turned_away(node, pool);
                    continue;
                }
                if !self.pools[node].try_acquire(self.now_us, pool) {
                    break;
                }
                self.waiting[node][pool].pop_front();
                self.arrives(Call { node, pool, asked_us, begun_us: self.now_us });
            }
        }
    }

    fn turned_away(&mut self, node: usize, pool: usize) {
        if self.rng.f64() < AGAIN {
            let after_us = self.drawn(AGAIN_US as f64);
            self.at(self.now_us + after_us, Event::Asks { pool, node, first: false });
        }
    }

    /// At the ledger.
    fn arrives(&mut self, call: Call) {
        let held = self.queue.len() + self.at_work.len();
        let second = self.now_us / SECOND;
        let third = self.fleet.seconds / 3;
        let refuses = self.case == Case::Fails && (third..third + 10).contains(&second);
        if self.fallen || refuses || self.queue.len() >= QUEUE * self.fleet.slots {
            self.pools[call.node].call_rejected(call.pool);
            // What it takes to turn one away is not for nothing: a flood of calls makes it fall, too.
            if !self.fallen && held >= FALLS * self.fleet.slots {
                self.falls();
            }
            return self.turned_away(call.node, call.pool);
        }
        self.queue.push_back(call);
        self.outcome.longest_queue = self.outcome.longest_queue.max(self.queue.len());
        self.work();
    }

    fn falls(&mut self) {
        self.outcome.falls += 1;
        self.fallen = true;
        let held = std::mem::take(&mut self.queue);
        for call in held.into_iter().chain(std::mem::take(&mut self.at_work).into_values()) {
            self.pools[call.node].call_rejected(call.pool);
            self.turned_away(call.node, call.pool);
        }
        self.at(self.now_us + FALLEN_US, Event::Rises);
    }

    fn work(&mut self) {
        let share = self.now_us as f64 / (self.fleet.seconds * SECOND) as f64;
        let third = self.fleet.seconds / 3;
        let trickles = self.case == Case::Fails && (third + 10..third + 30).contains(&(self.now_us / SECOND));
        let slots = if trickles { self.fleet.slots / 10 } else { self.fleet.slots };
        // Up to the middle of the second third, then down again.
        let slower = match self.case {
            Case::Slows => 1.0 + 5.0 * (1.0 - (share - 0.5).abs() * 4.0).max(0.0),
            _ => 1.0,
        };
        while self.at_work.len() < slots {
            let Some(call) = self.queue.pop_front() else { return };
            // Half of the work is the same for all, half is drawn.
            let mean_us = self.fleet.work_us * WORK[call.pool] * slower;
            let took_us = (mean_us / 2.0) as u64 + self.drawn(mean_us / 2.0);
            self.serial += 1;
            let slot_run = self.serial;
            self.at_work.insert(slot_run, call);
            self.at(self.now_us + took_us, Event::Done { slot_run });
        }
    }

    /// How limits swing over the last third.
    fn swings(&mut self) {
        let (mut turns, mut strays, mut count) = (0.0, 0.0, 0.0);
        for limits in &self.limits {
            let last = &limits[limits.len() * 2 / 3..];
            if last.len() < 10 {
                continue;
            }
            let mean = last.iter().sum::<f64>() / last.len() as f64;
            let spread = last.iter().map(|at| (at - mean).powi(2)).sum::<f64>() / last.len() as f64;
            // A step of less than a twentieth is no turn.
            let (mut way, mut from) = (0.0, last[0]);
            for at in last {
                if (at / from).ln().abs() > 0.05 {
                    let now = (at - from).signum();
                    turns += f64::from(u8::from(way != 0.0 && now != way)) * 60.0 / last.len() as f64;
                    (way, from) = (now, *at);
                }
            }
            strays += spread.sqrt() / mean.max(1e-9);
            count += 1.0;
        }
        self.outcome.reversals = turns / f64::max(count, 1.0);
        self.outcome.variation = strays / f64::max(count, 1.0);
    }
}

impl Outcome {
    pub fn share(&self, pool: usize) -> f64 {
        self.served[pool] as f64 / self.asked[pool].max(1) as f64
    }
}

/// All ways in all cases as a table, with the spread over seeds.
pub fn table(fleet: &Fleet, seeds: u64) {
    println!(
        "{:<10}{:<24}{:>18}{:>18}{:>18}{:>8}{:>12}{:>12}",
        "way", "case", "part-lookup", "batch-upload", "order-record", "falls", "turns/min", "variation"
    );
    for (told, case) in CASES {
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
                "{name:<10}{told:<24}{:>18}{:>18}{:>18}{:>8}{:>12.1}{:>12.2}",
                range(&|run| run.share(0)),
                range(&|run| run.share(1)),
                range(&|run| run.share(2)),
                most(&|run| f64::from(run.falls)),
                most(&|run| run.reversals),
                most(&|run| run.variation)
            );
        }
    }
}
