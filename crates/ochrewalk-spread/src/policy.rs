//! Decides the place of each call, in one of several ways behind one interface: rounds, which are what is used, and those
//! that it was measured against.

use crate::state::BalancerState;

/// A way to choose among the places of the reach.
pub trait Policy {
    /// The place for a call, not `avoid` where there is another. None where no place takes it.
    fn choose(
        &mut self,
        state: &BalancerState,
        now_us: u64,
        avoid: Option<usize>,
        rng: &mut fastrand::Rng,
    ) -> Option<usize>;

    /// The reach has changed.
    fn subset_changed(&mut self) {}
}

/// Which way, by the name that operators and the laboratory know it by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// Each place once a round, in an order that puts wait_us off.
    LatencyAwareRoundRobin,
    /// The same in a drawn order, whatever the news.
    RoundRobin,
    Random,
    /// The better of two that are drawn, by what is in hand.
    PowerOfTwoChoices,
    LeastRequests,
    /// The least of (in hand + 1) x mean time over all places.
    LeastLatency,
}

pub const POLICIES: [(&str, BalancingPolicy); 6] = [
    ("rounds", BalancingPolicy::LatencyAwareRoundRobin),
    ("shuffled", BalancingPolicy::RoundRobin),
    ("random", BalancingPolicy::Random),
    ("two", BalancingPolicy::PowerOfTwoChoices),
    ("least", BalancingPolicy::LeastRequests),
    ("fastest", BalancingPolicy::LeastLatency),
];

impl BalancingPolicy {
    pub fn from_name(name: &str) -> Option<BalancingPolicy> {
        POLICIES.iter().find(|(known, _)| *known == name).map(|(_, policy)| *policy)
    }

    pub fn policy(self) -> Box<dyn Policy + Send> {
        match self {
            BalancingPolicy::LatencyAwareRoundRobin => Box::new(RoundRobin::new(LOOKAHEAD)),
            BalancingPolicy::RoundRobin => Box::new(RoundRobin::new(1)),
            BalancingPolicy::Random => Box::new(Random),
            BalancingPolicy::PowerOfTwoChoices => Box::new(PowerOfTwoChoices),
            BalancingPolicy::LeastRequests => Box::new(LeastRequests),
            BalancingPolicy::LeastLatency => Box::new(LeastLatency),
        }
    }
}

/// How many of the round are considered at for the one with the least wait_us.
const LOOKAHEAD: usize = 4;
/// Trouble of so many usual times is put off to the next round, once.
const POSTPONE_FACTOR: f64 = 6.0;

/// Each place once a round, as far as its share goes: what it is short of a whole call it saves for the next round.
#[derive(Debug, Default)]
pub struct RoundRobin {
    lookahead: usize,
    /// What is remaining of the round, drawn from the end, and whether it was put off already.
    remaining: Vec<(usize, bool)>,
    /// The reach in the order of rounds, drawn anew with each reach: the same from round to round, so that each place's
    /// calls come as far apart as they can.
    order: Vec<usize>,
    /// What each slot has credit.
    credit: Vec<f64>,
    /// How many more suspect places may lose their turn in this round: half of it. Where more seem suspect it is rather
    /// our own clock that woke late, or our own link; and the few remaining are not to be crushed.
    skippable: usize,
}

impl RoundRobin {
    pub fn new(lookahead: usize) -> RoundRobin {
        RoundRobin { lookahead, ..RoundRobin::default() }
    }

    /// Begins the next round. What was put off comes last in it.
    fn start_round(&mut self, state: &BalancerState, now_us: u64, rng: &mut fastrand::Rng) {
        while self.credit.len() < state.endpoints.len() {
            // By chance: else all nodes would begin with the same places.
            self.credit.push(rng.f64());
        }
        if self.order.is_empty() {
            self.order.clone_from(&state.subset);
            rng.shuffle(&mut self.order);
        }
        // The greatest counts as a whole, else rounds are empty where all shares are small.
        let largest =
            state.subset.iter().map(|slot| state.share(*slot, now_us)).fold(0.0, f64::max).max(1e-6);
        // From the last on, as they are drawn from the end.
        for slot in self.order.iter().rev() {
            let credit = &mut self.credit[*slot];
            *credit += state.share(*slot, now_us) / largest;
            if *credit >= 1.0 {
                *credit -= 1.0;
                self.remaining.push((*slot, false));
            }
        }
        self.skippable = self.remaining.len() / 2;
    }

    /// Whether the next round may begin before this one is over: near its end, so that none is put off for long.
    fn may_start_next_round(&self) -> bool {
        self.remaining.len() * 2 < self.order.len()
    }

    /// The one with the least wait_us among the next few of the round; those that take nothing lose their turn.
    fn best(&mut self, state: &BalancerState, now_us: u64, avoid: Option<usize>) -> Option<(usize, f64)> {
        let mut best: Option<(usize, f64)> = None;
        let (mut at, mut considered) = (self.remaining.len(), 0);
        while at > 0 && considered < self.lookahead {
            at -= 1;
            let slot = self.remaining[at].0;
            let is_suspect = self.lookahead > 1 && self.skippable > 0 && state.is_suspect(slot, now_us);
            if is_suspect || !state.accepts_calls(slot) {
                self.skippable -= usize::from(is_suspect);
                self.remaining.remove(at);
                best = best.map(|(best, wait_us)| (best - 1, wait_us));
            } else if Some(slot) != avoid {
                considered += 1;
                let wait_us = if self.lookahead > 1 { state.expected_wait_us(slot, now_us) } else { 0.0 };
                if best.is_none_or(|(_, least)| wait_us < least) {
                    best = Some((at, wait_us));
                }
            }
        }
        best
    }
}

impl Policy for RoundRobin {
    fn choose(
        &mut self,
        state: &BalancerState,
        now_us: u64,
        avoid: Option<usize>,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let postpone_above_us = POSTPONE_FACTOR * state.latencies.median_us();
        for _ in 0..3 {
            match self.best(state, now_us, avoid) {
                // All that is remaining of the round is in wait_us: the next one begins, once.
                Some((at, expected_wait_us))
                    if expected_wait_us > postpone_above_us
                        && !self.remaining[at].1
                        && self.may_start_next_round() =>
                {
                    self.remaining.iter_mut().for_each(|(_, is_postponed)| *is_postponed = true);
                    self.start_round(state, now_us, rng);
                }
                Some((at, _)) => return Some(self.remaining.remove(at).0),
                None => self.start_round(state, now_us, rng),
            }
        }
        // There is only the one to avoid, or all shares are small.
        rng.choice(accepting(state, avoid))
    }

    fn subset_changed(&mut self) {
        self.remaining.clear();
        self.order.clear();
    }
}

/// Those that take calls, without the one to avoid where there are others.
fn accepting(state: &BalancerState, avoid: Option<usize>) -> Vec<usize> {
    let all: Vec<usize> = state.subset.iter().copied().filter(|slot| state.accepts_calls(*slot)).collect();
    let others: Vec<usize> = all.iter().copied().filter(|slot| Some(*slot) != avoid).collect();
    if others.is_empty() {
        all
    } else {
        others
    }
}

/// One of those, each as likely as its share.
fn weighted_random(
    state: &BalancerState,
    now_us: u64,
    among: &[usize],
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let all: f64 = among.iter().map(|slot| state.share(*slot, now_us)).sum();
    let mut at = rng.f64() * all;
    let found = among.iter().find(|slot| {
        at -= state.share(**slot, now_us);
        at < 0.0
    });
    found.or(among.last()).copied()
}

struct Random;

impl Policy for Random {
    fn choose(
        &mut self,
        state: &BalancerState,
        now_us: u64,
        avoid: Option<usize>,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        weighted_random(state, now_us, &accepting(state, avoid), rng)
    }
}

struct PowerOfTwoChoices;

impl Policy for PowerOfTwoChoices {
    fn choose(
        &mut self,
        state: &BalancerState,
        now_us: u64,
        avoid: Option<usize>,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let among = accepting(state, avoid);
        let (one, other) =
            (weighted_random(state, now_us, &among, rng)?, weighted_random(state, now_us, &among, rng)?);
        Some(if state.at(other).in_flight() < state.at(one).in_flight() { other } else { one })
    }
}

struct LeastRequests;

impl Policy for LeastRequests {
    fn choose(
        &mut self,
        state: &BalancerState,
        now_us: u64,
        avoid: Option<usize>,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let among = accepting(state, avoid);
        let least = among.iter().map(|slot| state.at(*slot).in_flight()).min()?;
        let tied: Vec<usize> =
            among.into_iter().filter(|slot| state.at(*slot).in_flight() == least).collect();
        weighted_random(state, now_us, &tied, rng)
    }
}

struct LeastLatency;

impl Policy for LeastLatency {
    fn choose(
        &mut self,
        state: &BalancerState,
        _now_us: u64,
        avoid: Option<usize>,
        _rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let cost = |slot: &usize| (state.at(*slot).in_flight() + 1) as f64 * state.at(*slot).mean_latency_us;
        accepting(state, avoid).into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }
}
