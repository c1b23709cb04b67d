//! Seeded events produce the recorded choices and states, for each policy, each subset and each outcome of a call. A change
//! that is to preserve all choices keeps the digest; the digest is never recorded again in order to make the test pass.

use ochrewalk_load_balancer::{
    BalancingConfig, BalancingPolicy, CallOutcome, EjectionCause, Endpoint, Idempotency, LoadBalancer,
    OutlierEjection, Subsetting,
};
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 144;
const STEPS: usize = 700;
const STATE_EVERY: usize = 10;
/// The digest of all choices of all seeds, and of the state of each endpoint every ten steps.
const DIGEST: u64 = 12_733_739_435_654_508_422;
const CHOICES: u64 = 48_651;
/// All names of states that operators see. Each must occur: otherwise the trace covers less than it claims to.
const STATES: [&str; 8] = ["back", "gone", "in", "joining", "leaving", "out", "suspect", "trying"];
const MS: u64 = 1_000;

/// A 64-bit FNV-1a hash, which is simple and the same on all platforms.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, line: &str) {
        for byte in line.bytes().chain([b'\n']) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// A load balancer and its random events, both determined by a seed.
struct Run {
    balancer: LoadBalancer,
    rng: fastrand::Rng,
    now_us: u64,
    calls: u64,
    in_flight: BTreeMap<u64, usize>,
    failing: BTreeSet<u64>,
    digest: Digest,
    choices: u64,
    states: BTreeSet<&'static str>,
}

/// Returns the settings of a seed. Together the seeds cover every policy with every subset, with and without learned weights.
fn settings(seed: u64) -> BalancingConfig {
    let ejection = OutlierEjection {
        consecutive_failures: 2,
        base_ejection_us: 200 * MS,
        max_ejection_us: 1_500 * MS,
        slow_start_us: 800 * MS,
    };
    let subsetting = match seed / 6 % 3 {
        0 => Subsetting::All,
        1 => Subsetting::Random { size: 4 },
        _ => Subsetting::Deterministic { size: 3, node: seed as usize % 7, node_count: 9 },
    };
    BalancingConfig {
        policy: BalancingPolicy::ALL[seed as usize % 6],
        subsetting,
        uses_learned_weights: (seed / 18).is_multiple_of(2),
        ejection,
    }
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut run = Run {
            balancer: LoadBalancer::new(settings(seed), seed),
            rng: fastrand::Rng::with_seed(!seed),
            now_us: 0,
            calls: 0,
            in_flight: BTreeMap::new(),
            failing: BTreeSet::new(),
            digest: Digest::new(),
            choices: 0,
            states: BTreeSet::new(),
        };
        run.set_endpoints();
        run
    }

    fn set_endpoints(&mut self) {
        let (count, has_zones) = (self.rng.u64(4..16), self.rng.bool());
        let keys: BTreeSet<u64> = (0..count).map(|_| self.rng.u64(0..24)).collect();
        let listed: Vec<Endpoint> = keys
            .into_iter()
            .map(|key| Endpoint {
                key,
                weight: 1.0 + (key % 3) as f64,
                is_local_zone: !has_zones || !key.is_multiple_of(4),
            })
            .collect();
        let slots = self.balancer.set_endpoints(self.now_us, &listed);
        self.digest.add(&format!("list {slots:?}"));
    }

    fn pick(&mut self) {
        let is_idempotent = self.rng.u32(0..3) > 0;
        let idempotency = if is_idempotent { Idempotency::Idempotent } else { Idempotency::NotIdempotent };
        let avoid = (self.rng.u32(0..4) == 0).then(|| self.rng.usize(0..16));
        let choice = self.balancer.pick(self.now_us, idempotency, avoid);
        self.choices += 1;
        self.digest.add(&format!("pick {choice:?}"));
        if let Some(slot) = choice {
            self.calls += 1;
            self.balancer.call_started(self.now_us, slot, self.calls);
            self.in_flight.insert(self.calls, slot);
        }
    }

    fn end_call(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.usize(0..self.in_flight.len());
        let (call, slot) = self
            .in_flight
            .iter()
            .nth(index)
            .map(|(call, slot)| (*call, *slot))
            .expect("the index is below the number of calls in flight");
        self.in_flight.remove(&call);
        let is_failing = self.failing.contains(&self.balancer.state().endpoint(slot).key);
        let outcome = match (is_failing, self.rng.u32(0..24)) {
            (true, 0..=8) | (false, 0) => CallOutcome::ConnectFailed,
            (true, 9..=12) | (false, 1) => CallOutcome::Failed,
            (true, 13..=16) | (false, 2) => CallOutcome::ConnectionBroken,
            (true, 17..=19) | (false, 3) => CallOutcome::TimedOut,
            (_, 20) => CallOutcome::Rejected,
            (_, 21) => CallOutcome::Inconclusive,
            _ => CallOutcome::Succeeded,
        };
        self.balancer.call_ended(self.now_us, slot, call, outcome);
    }

    fn fail_outside_of_calls(&mut self) {
        let slot = self.rng.usize(0..self.balancer.state().endpoints.len());
        let cause = if self.rng.bool() { EjectionCause::ConnectFailed } else { EjectionCause::CallsFailed };
        self.balancer.record_failure(self.now_us, slot, cause);
    }

    fn step(&mut self, step: usize) {
        // Bursts of calls, then enough time for ejections and slow starts to end.
        self.now_us += self.rng.u64(0..if (step / 60).is_multiple_of(2) { 5 * MS } else { 150 * MS });
        if step.is_multiple_of(120) {
            self.failing = (0..self.rng.u64(0..12)).map(|_| self.rng.u64(0..24)).collect();
        }
        match self.rng.u32(0..200) {
            0 | 1 => self.set_endpoints(),
            2..=4 => self.fail_outside_of_calls(),
            5..=7 => {
                let (unavailable_for_us, next_us) =
                    (self.balancer.unavailable_for_us(self.now_us), self.balancer.next_probe_us());
                self.digest.add(&format!("closed {unavailable_for_us:?} {next_us:?}"));
            }
            8..=104 => self.pick(),
            _ => self.end_call(),
        }
        if step.is_multiple_of(STATE_EVERY) {
            self.record_state();
        }
    }

    fn record_state(&mut self) {
        let state = self.balancer.state();
        let mut lines =
            vec![format!("{:?} {} {:.9}", state.subset, state.is_in_panic_mode, state.overflow_share)];
        for (slot, endpoint) in state.endpoints.iter().enumerate() {
            let status = self.balancer.status(slot, self.now_us).name();
            self.states.insert(status);
            let Some(endpoint) = endpoint else { continue };
            let cause = endpoint.health.ejection_cause().map(EjectionCause::description);
            let (since_us, until_us) = (endpoint.health.since_us(), endpoint.health.ejected_until_us());
            let (share, slow_start_factor) =
                (state.share(slot, self.now_us), endpoint.health.slow_start_factor(self.now_us));
            lines.push(format!(
                "{slot} {} {status} {cause:?} {since_us} {until_us:?} {share:.9} {slow_start_factor:.9} {} {} {:.6}",
                endpoint.key,
                endpoint.in_flight(),
                endpoint.calls_started,
                state.expected_wait_us(slot, self.now_us),
            ));
        }
        lines.iter().for_each(|line| self.digest.add(line));
    }
}

#[test]
fn seeded_events_produce_the_recorded_choices_and_states() {
    let (mut digest, mut choices, mut states) = (Digest::new(), 0, BTreeSet::new());
    for seed in 0..SEEDS {
        let mut run = Run::new(seed);
        (1..=STEPS).for_each(|step| run.step(step));
        digest.add(&format!("{} {}", run.digest.0, run.choices));
        choices += run.choices;
        states.extend(run.states);
    }
    assert_eq!(states.into_iter().collect::<Vec<_>>(), STATES);
    assert_eq!((digest.0, choices), (DIGEST, CHOICES));
}
