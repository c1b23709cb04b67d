//! The same seeded events bring the choices and the states that are written down here, for each policy, each subset and
//! each outcome of a call. A change that is meant to change no choice keeps the digest; it is never taken anew to get a pass.

use ochrewalk_spread::{Cause, Leaving, Listed, News, Plan, Reach, Spread, KINDS};
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 144;
const STEPS: usize = 700;
const STATE_EVERY: usize = 10;
/// Of all choices of all seeds, and of the state of each endpoint every ten steps.
const DIGEST: u64 = 12_733_739_435_654_508_422;
const CHOICES: u64 = 48_651;
/// All names of states that operators see: each comes up, or the trace says less than it seems to.
const STATES: [&str; 8] = ["back", "gone", "in", "joining", "leaving", "out", "suspect", "trying"];
const MS: u64 = 1_000;

/// FNV-1a, 64 bits: small, and the same everywhere.
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

/// One load balancer, and the events that a seed draws for it.
struct Run {
    balancer: Spread,
    rng: fastrand::Rng,
    now_us: u64,
    calls: u64,
    in_flight: BTreeMap<u64, usize>,
    failing: BTreeSet<u64>,
    digest: Digest,
    choices: u64,
    states: BTreeSet<&'static str>,
}

/// The settings of a seed: together the seeds cover every policy with every subset, with and without learned shares.
fn settings(seed: u64) -> Plan {
    let leaving = Leaving { after: 2, first_us: 200 * MS, most_us: 1_500 * MS, warm_us: 800 * MS };
    let reach = match seed / 6 % 3 {
        0 => Reach::All,
        1 => Reach::Drawn { places: 4 },
        _ => Reach::Arc { places: 3, number: seed as usize % 7, of: 9 },
    };
    Plan { kind: KINDS[seed as usize % 6].1, reach, by_worth: (seed / 18).is_multiple_of(2), leaving }
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut run = Run {
            balancer: Spread::new(settings(seed), seed),
            rng: fastrand::Rng::with_seed(!seed),
            now_us: 0,
            calls: 0,
            in_flight: BTreeMap::new(),
            failing: BTreeSet::new(),
            digest: Digest::new(),
            choices: 0,
            states: BTreeSet::new(),
        };
        run.relist();
        run
    }

    fn relist(&mut self) {
        let (count, zones) = (self.rng.u64(4..16), self.rng.bool());
        let keys: BTreeSet<u64> = (0..count).map(|_| self.rng.u64(0..24)).collect();
        let listed: Vec<Listed> = keys
            .into_iter()
            .map(|key| Listed {
                key,
                weight: 1.0 + (key % 3) as f64,
                is_near: !zones || !key.is_multiple_of(4),
            })
            .collect();
        let slots = self.balancer.list(self.now_us, &listed);
        self.digest.add(&format!("list {slots:?}"));
    }

    fn pick(&mut self) {
        let harmless = self.rng.u32(0..3) > 0;
        let avoid = (self.rng.u32(0..4) == 0).then(|| self.rng.usize(0..16));
        let choice = self.balancer.pick(self.now_us, harmless, avoid);
        self.choices += 1;
        self.digest.add(&format!("pick {choice:?}"));
        if let Some(slot) = choice {
            self.calls += 1;
            self.balancer.given(self.now_us, slot, self.calls);
            self.in_flight.insert(self.calls, slot);
        }
    }

    fn end_call(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = self.rng.usize(0..self.in_flight.len());
        let (call, slot) =
            self.in_flight.iter().nth(at).map(|(call, slot)| (*call, *slot)).expect("in flight");
        self.in_flight.remove(&call);
        let is_failing = self.failing.contains(&self.balancer.view().at(slot).key);
        let news = match (is_failing, self.rng.u32(0..24)) {
            (true, 0..=8) | (false, 0) => News::Unreached,
            (true, 9..=12) | (false, 1) => News::Failed,
            (true, 13..=16) | (false, 2) => News::Broken,
            (true, 17..=19) | (false, 3) => News::Late,
            (_, 20) => News::Refused,
            (_, 21) => News::Nothing,
            _ => News::Served,
        };
        self.balancer.ended(self.now_us, slot, call, news);
    }

    fn fail_outside_of_calls(&mut self) {
        let slot = self.rng.usize(0..self.balancer.view().of.len());
        let cause = if self.rng.bool() { Cause::Unreached } else { Cause::Failing };
        self.balancer.failed(self.now_us, slot, cause);
    }

    fn step(&mut self, step: usize) {
        // Bursts of calls, then time enough for pauses and slow starts to end.
        self.now_us += self.rng.u64(0..if (step / 60).is_multiple_of(2) { 5 * MS } else { 150 * MS });
        if step.is_multiple_of(120) {
            self.failing = (0..self.rng.u64(0..12)).map(|_| self.rng.u64(0..24)).collect();
        }
        match self.rng.u32(0..200) {
            0 | 1 => self.relist(),
            2..=4 => self.fail_outside_of_calls(),
            5..=7 => {
                let (closed_us, next_us) =
                    (self.balancer.closed_us(self.now_us), self.balancer.come_back_us());
                self.digest.add(&format!("closed {closed_us:?} {next_us:?}"));
            }
            8..=104 => self.pick(),
            _ => self.end_call(),
        }
        if step.is_multiple_of(STATE_EVERY) {
            self.record_state();
        }
    }

    fn record_state(&mut self) {
        let view = self.balancer.view();
        let mut lines = vec![format!("{:?} {} {:.9}", view.reach, view.is_doubted, view.spill)];
        for (slot, held) in view.of.iter().enumerate() {
            let state = self.balancer.word(slot, self.now_us);
            self.states.insert(state);
            let Some(held) = held else { continue };
            let cause = held.member.cause().map(Cause::word);
            let (since_us, until_us) = (held.member.since_us(), held.member.out_until_us());
            let (share, warmth) = (view.share(slot, self.now_us), held.member.warmth(self.now_us));
            lines.push(format!(
                "{slot} {} {state} {cause:?} {since_us} {until_us:?} {share:.9} {warmth:.9} {} {} {:.6}",
                held.key,
                held.in_hand(),
                held.given,
                view.trouble_us(slot, self.now_us),
            ));
        }
        lines.iter().for_each(|line| self.digest.add(line));
    }
}

#[test]
fn seeded_events_bring_the_choices_and_states_that_are_written_down() {
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
