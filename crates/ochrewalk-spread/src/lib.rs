//! Decides which of many places a call goes to, in each of hundreds of processes that see little of the load and tell one
//! another nothing: no place gets a herd, none stands idle, and one that fails costs little and comes back gently.
//!
//! No sockets and no clock. Whoever carries the calls says what each came to; [`LoadBalancer`] says where the next one goes.
//!
//! ```
//! use ochrewalk_spread::{Endpoint, BalancingConfig, LoadBalancer};
//! let mut spread = LoadBalancer::new(BalancingConfig::default(), 7);
//! spread.set_endpoints(0, &[Endpoint::new(11), Endpoint::new(22), Endpoint::new(33)]);
//! let mut round: Vec<usize> = (0..3).map(|_| spread.pick(0, true, None).unwrap()).collect();
//! round.sort();
//! assert_eq!(round, [0, 1, 2], "each once, in an order drawn from the seed");
//! ```

mod health;
mod latency_histogram;
mod learned_weight;
mod policy;
mod probe;
mod state;
mod subset;
mod subset_multiplier;
mod zone_overflow;

pub use health::{EjectionCause, EndpointHealth, OutlierEjection};
pub use latency_histogram::LatencyHistogram;
pub use learned_weight::{EndpointAverages, LearnedWeight};
pub use policy::{BalancingPolicy, Policy, POLICIES};
pub use state::{BalancerState, EndpointState};
pub use subset::{assign_subset, Candidate, SubsetAssignment, Subsetting};
pub use subset_multiplier::SubsetMultiplier;
pub use zone_overflow::ZoneOverflow;

use probe::{AcceptingWeight, ProbeProgress};
use std::collections::BTreeSet;

/// One place of a list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// A print of its name, the same in every process.
    pub key: u64,
    /// What it can do, over the others; above 0.
    pub weight: f64,
    /// In the zone of this process, or zones are not told apart.
    pub is_local_zone: bool,
}

impl Endpoint {
    pub fn new(key: u64) -> Endpoint {
        Endpoint { key, weight: 1.0, is_local_zone: true }
    }
}

/// How calls are spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancingConfig {
    pub policy: BalancingPolicy,
    pub subsetting: Subsetting,
    /// Shares go by what was learned of places.
    pub uses_learned_weights: bool,
    pub ejection: OutlierEjection,
}

impl Default for BalancingConfig {
    fn default() -> BalancingConfig {
        let ejection = OutlierEjection {
            consecutive_failures: 3,
            base_ejection_us: 200_000,
            max_ejection_us: 3_000_000,
            slow_start_us: 3_000_000,
        };
        BalancingConfig {
            policy: BalancingPolicy::LatencyAwareRoundRobin,
            subsetting: Subsetting::All,
            uses_learned_weights: true,
            ejection,
        }
    }
}

/// What a call came to, as far as it tells of its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Succeeded,
    /// It was turned away there: the place does its work, and has no room.
    Rejected,
    /// It was answered, and did not do its work.
    Failed,
    /// It was not done in time.
    TimedOut,
    /// A connection broke under it.
    ConnectionBroken,
    /// No connection could be made.
    ConnectFailed,
    /// Nothing that tells of the place.
    Inconclusive,
}

/// A trial of a place that is out may be one in so many calls: guards against all of a quiet node's calls being trials
/// where many places are out.
const CALLS_PER_PROBE: f64 = 5.0;
/// While at least this share of all calls is served, one that fails tells of its place.
const HEALTHY_SUCCESS_RATE: f64 = 0.8;
/// How far one answer moves the mean time of its place.
const MEAN_LATENCY_STEP: f64 = 1.0 / 8.0;

pub struct LoadBalancer {
    config: BalancingConfig,
    state: BalancerState,
    policy: Box<dyn Policy + Send>,
    assignments: Vec<SubsetAssignment>,
    /// Places that are out, by when each may be tried.
    ejected: BTreeSet<(u64, usize)>,
    probe_allowance: f64,
    accepting_weight: AcceptingWeight,
    /// When the last call was placed.
    last_pick_us: u64,
    zone_overflow: ZoneOverflow,
    subset_multiplier: SubsetMultiplier,
    rng: fastrand::Rng,
    seed: u64,
}

impl LoadBalancer {
    pub fn new(config: BalancingConfig, seed: u64) -> LoadBalancer {
        LoadBalancer {
            config,
            state: BalancerState {
                uses_learned_weights: config.uses_learned_weights,
                ..BalancerState::default()
            },
            policy: config.policy.policy(),
            assignments: Vec::new(),
            ejected: BTreeSet::new(),
            probe_allowance: 1.0,
            accepting_weight: AcceptingWeight::default(),
            last_pick_us: 0,
            zone_overflow: ZoneOverflow::default(),
            subset_multiplier: SubsetMultiplier::default(),
            rng: fastrand::Rng::with_seed(seed),
            seed,
        }
    }

    /// The places there are now, each once. Gives the slot that each is known by from here on; a slot stays with its
    /// place until that has left and nothing is under way there.
    pub fn set_endpoints(&mut self, now_us: u64, endpoints: &[Endpoint]) -> Vec<usize> {
        let is_first = self.state.endpoints.iter().flatten().next().is_none();
        let heaviest = endpoints.iter().map(|listed| listed.weight).fold(f64::MIN_POSITIVE, f64::max);
        let keys: BTreeSet<u64> = endpoints.iter().map(|listed| listed.key).collect();
        for endpoint in
            self.state.endpoints.iter_mut().flatten().filter(|endpoint| !keys.contains(&endpoint.key))
        {
            endpoint.health.remove(now_us);
        }
        let mut slots = Vec::with_capacity(endpoints.len());
        for listed in endpoints {
            let known = |endpoint: &Option<EndpointState>| {
                endpoint.as_ref().is_some_and(|endpoint| endpoint.key == listed.key)
            };
            let slot = self.state.endpoints.iter().position(known).unwrap_or_else(|| {
                let (initial, added) = (EndpointHealth::initial, EndpointHealth::added);
                let health = if is_first { initial } else { added }(self.config.ejection, now_us);
                let new = Some(EndpointState::new(listed.key, health));
                match self.state.endpoints.iter().position(Option::is_none) {
                    Some(free) => {
                        self.state.endpoints[free] = new;
                        free
                    }
                    None => {
                        self.state.endpoints.push(new);
                        self.state.endpoints.len() - 1
                    }
                }
            });
            let endpoint = self.state.endpoints[slot].as_mut().expect("just seen");
            endpoint.health.added_again(now_us);
            (endpoint.weight, endpoint.is_local_zone) = (listed.weight / heaviest, listed.is_local_zone);
            slots.push(slot);
        }
        let zone = |is_local: bool| {
            let in_zone = endpoints.iter().zip(&slots).filter(|(listed, _)| listed.is_local_zone == is_local);
            let candidate = |(listed, slot): (&Endpoint, &usize)| Candidate {
                key: listed.key,
                weight: listed.weight,
                slot: *slot,
            };
            let candidates: Vec<Candidate> = in_zone.map(candidate).collect();
            assign_subset(self.config.subsetting, &candidates, self.seed)
        };
        self.assignments = vec![zone(true), zone(false)];
        self.state.endpoints.iter_mut().flatten().for_each(|endpoint| endpoint.subset_fraction = 0.0);
        for (slot, fraction) in self.assignments.iter().flat_map(|assignment| &assignment.own) {
            self.state.endpoints[*slot].as_mut().expect("assigned").subset_fraction = *fraction;
        }
        self.ejected
            .retain(|(_, slot)| self.state.endpoints[*slot].as_ref().is_some_and(|h| !h.health.is_removed()));
        self.drop_removed();
        self.rebuild_subset();
        slots
    }

    /// The endpoint for a call. `idempotent`: it may happen again, and so may be the probe of an endpoint that is out, once
    /// that is earned. None where all are out: [`LoadBalancer::next_probe_us`] says when one is probed.
    pub fn pick(&mut self, now_us: u64, idempotent: bool, avoid: Option<usize>) -> Option<usize> {
        self.probe_allowance = (self.probe_allowance + 1.0 / CALLS_PER_PROBE).min(1.0);
        self.earn_probes(now_us);
        if idempotent && self.probe_allowance >= 1.0 {
            if let Some(slot) = self.earned_probe(now_us, avoid) {
                self.probe_allowance = 0.0;
                self.state.endpoints[slot].as_mut().expect("out").probe.record_sent();
                return Some(slot);
            }
        }
        let due = self.probeable_slots(now_us).find(|slot| Some(*slot) != avoid);
        self.policy.choose(&self.state, now_us, avoid, &mut self.rng).or(due)
    }

    /// Endpoints whose pause is over, the one whose pause ended first before the others.
    fn probeable_slots(&self, now_us: u64) -> impl Iterator<Item = usize> + '_ {
        self.ejected.iter().take_while(move |(until_us, _)| now_us >= *until_us).map(|(_, slot)| *slot)
    }

    /// One more call is placed: each endpoint that is out earns its part of a probe.
    fn earn_probes(&mut self, now_us: u64) {
        let last_call_us = std::mem::replace(&mut self.last_pick_us, now_us);
        let since_last_call_us = now_us.saturating_sub(last_call_us);
        for (until_us, slot) in &self.ejected {
            let endpoint = self.state.endpoints[*slot].as_mut().expect("out");
            let load_share = self
                .accepting_weight
                .load_share(endpoint.weight * endpoint.subset_fraction, self.state.overflow_share);
            if now_us < *until_us {
                endpoint.probe.earn_while_ejected(load_share, since_last_call_us);
            } else {
                endpoint.probe.wait(now_us.saturating_sub(last_call_us.max(*until_us)));
                endpoint.probe.earn(load_share, since_last_call_us);
            }
        }
    }

    fn earned_probe(&self, now_us: u64, avoid: Option<usize>) -> Option<usize> {
        let may_probe = |slot: &usize| Some(*slot) != avoid && self.state.at(*slot).probe.is_earned();
        self.probeable_slots(now_us).find(may_probe)
    }

    /// How long no place is expected to take a call, from the moment on at which none does: until the first of them is
    /// tried, and up to half as long again. Guards against all callers coming back at that very moment.
    pub fn unavailable_for_us(&mut self, now_us: u64) -> Option<u64> {
        if self.state.subset.iter().any(|slot| self.state.accepts_calls(*slot)) {
            return None;
        }
        let first_probe_us =
            self.ejected.first()?.0.saturating_sub(now_us).max(self.config.ejection.base_ejection_us);
        Some(first_probe_us + self.rng.u64(0..=first_probe_us / 2))
    }

    /// When a place that is out is next tried.
    pub fn next_probe_us(&self) -> Option<u64> {
        self.ejected.first().map(|(until_us, _)| *until_us)
    }

    /// A call goes to that place.
    pub fn call_started(&mut self, now_us: u64, slot: usize, call: u64) {
        let Some(endpoint) = self.state.endpoints[slot].as_mut() else { return };
        endpoint.calls.insert(call, now_us);
        endpoint.calls_started += 1;
        self.subset_multiplier.call_started(now_us);
        if self
            .subset_multiplier
            .update(now_us, self.assignments.iter().map(|assignment| assignment.own.len()).max().unwrap_or(0))
        {
            self.rebuild_subset();
        }
        self.update_health(slot, |health, _| health.call_started(call, now_us));
    }

    /// What became of it there.
    pub fn call_ended(&mut self, now_us: u64, slot: usize, call: u64, outcome: CallOutcome) {
        let Some(endpoint) = self.state.endpoints[slot].as_mut() else { return };
        let Some(started_us) = endpoint.calls.remove(&call) else { return };
        self.subset_multiplier.call_ended(now_us);
        let took_us = now_us.saturating_sub(started_us);
        let (is_healthy, is_local_zone) =
            (self.state.averages.success_rate >= HEALTHY_SUCCESS_RATE, endpoint.is_local_zone);
        match outcome {
            CallOutcome::Succeeded => {
                self.state.latencies.record(took_us);
                self.state.averages.record_outcome(true);
                self.state.averages.record_latency(took_us, self.state.latencies.median_us());
                endpoint.learned_weight.succeeded(now_us, took_us, self.state.latencies.median_us());
                endpoint.mean_latency_us += (took_us as f64 - endpoint.mean_latency_us) * MEAN_LATENCY_STEP;
                (endpoint.last_latency_us, endpoint.last_answered_us) = (took_us, now_us);
            }
            // Whoever has no room gets less, but where all have none.
            CallOutcome::Rejected | CallOutcome::Failed | CallOutcome::ConnectionBroken => {
                self.state.averages.record_outcome(false);
                endpoint.learned_weight.failed(now_us);
            }
            CallOutcome::TimedOut => {
                self.state.averages.record_outcome(false);
                endpoint.learned_weight.timed_out(now_us);
                (endpoint.last_latency_us, endpoint.last_answered_us) = (took_us, now_us);
            }
            CallOutcome::ConnectFailed | CallOutcome::Inconclusive => {}
        }
        if is_local_zone && outcome != CallOutcome::Inconclusive {
            self.zone_overflow.record_local(now_us, outcome == CallOutcome::Succeeded);
            self.state.overflow_share = self.zone_overflow.share();
        }
        self.update_health(slot, |health, rng| {
            health.probe_ended(call, now_us);
            match outcome {
                CallOutcome::Succeeded | CallOutcome::Rejected => health.succeeded(now_us),
                // Where many fail everywhere, no place is to blame.
                CallOutcome::Failed if !is_healthy => health.succeeded(now_us),
                CallOutcome::Failed | CallOutcome::TimedOut | CallOutcome::ConnectionBroken => {
                    health.failed(now_us, EjectionCause::CallsFailed, rng)
                }
                CallOutcome::ConnectFailed => health.failed(now_us, EjectionCause::ConnectFailed, rng),
                CallOutcome::Inconclusive => {}
            }
        });
        // Only this one can have become gone: all are looked at with a new list alone.
        drop_if_done(&mut self.state.endpoints[slot]);
    }

    /// A place failed outside of any call, such as on a ping.
    pub fn record_failure(&mut self, now_us: u64, slot: usize, cause: EjectionCause) {
        self.update_health(slot, |health, rng| health.failed(now_us, cause, rng));
    }

    /// Whether the place of that slot is on the list.
    pub fn is_listed(&self, slot: usize) -> bool {
        self.state
            .endpoints
            .get(slot)
            .and_then(Option::as_ref)
            .is_some_and(|endpoint| !endpoint.health.is_removed())
    }

    pub fn state(&self) -> &BalancerState {
        &self.state
    }

    /// A place's state in a word, for operators.
    pub fn status(&self, slot: usize, now_us: u64) -> &'static str {
        let Some(endpoint) = self.state.endpoints.get(slot).and_then(Option::as_ref) else { return "gone" };
        match endpoint.health.status(now_us) {
            "in" if self.state.is_suspect(slot, now_us) => "suspect",
            status => status,
        }
    }

    /// Lets what happened change a place's membership, and follows where it was left out or taken in.
    fn update_health(&mut self, slot: usize, what: impl FnOnce(&mut EndpointHealth, &mut fastrand::Rng)) {
        let Some(endpoint) = self.state.endpoints[slot].as_mut() else { return };
        let before = endpoint.health;
        what(&mut endpoint.health, &mut self.rng);
        let after = endpoint.health;
        if before.ejected_until_us() != after.ejected_until_us() {
            if let Some(until_us) = before.ejected_until_us() {
                self.ejected.remove(&(until_us, slot));
            }
            if let Some(until_us) = after.ejected_until_us() {
                self.ejected.insert((until_us, slot));
                endpoint.probe.ejection_started();
            }
        }
        if before.accepts_calls() && !after.accepts_calls() {
            endpoint.probe = ProbeProgress::random(&mut self.rng);
        }
        if !before.accepts_calls() && after.accepts_calls() {
            endpoint.health.backdate_slow_start(endpoint.probe.back_before_us());
        }
        if before.accepts_calls() != after.accepts_calls() {
            // What was learned before it was out is no news of it now; it is warmed all the same.
            endpoint.learned_weight = LearnedWeight::default();
            self.rebuild_subset();
        }
    }

    /// The reach: its own places, and for each that is out one that stands in.
    fn rebuild_subset(&mut self) {
        let mut subset = Vec::new();
        for assignment in &self.assignments {
            let own = || assignment.own.iter().map(|(slot, _)| *slot);
            let accepts = |slot: &usize| self.state.at(*slot).health.accepts_calls();
            let missing = own().filter(|slot| !accepts(slot)).count();
            let widening = assignment.own.len() * (self.subset_multiplier.multiplier() - 1);
            subset.extend(own());
            subset.extend(assignment.spare.iter().copied().filter(accepts).take(missing + widening));
        }
        for slot in &subset {
            let endpoint = self.state.endpoints[*slot].as_mut().expect("assigned");
            if endpoint.subset_fraction == 0.0 {
                endpoint.subset_fraction = 1.0;
            }
        }
        // Rather than that most places have failed at once, it is we who cannot see them. What could not be reached is
        // out by proof, and stays so.
        let accepting = subset.iter().filter(|slot| self.state.at(**slot).health.accepts_calls()).count();
        self.state.is_in_panic_mode = accepting * 2 < subset.len();
        self.accepting_weight = AcceptingWeight::default();
        for slot in subset.iter().filter(|slot| self.state.accepts_calls(**slot)) {
            let endpoint = self.state.at(*slot);
            self.accepting_weight.add(endpoint.weight * endpoint.subset_fraction, endpoint.is_local_zone);
        }
        if subset != self.state.subset {
            self.state.subset = subset;
            self.policy.subset_changed();
        }
    }

    /// Places that left and have nothing under way are gone.
    fn drop_removed(&mut self) {
        self.state.endpoints.iter_mut().for_each(drop_if_done);
    }
}

fn drop_if_done(endpoint: &mut Option<EndpointState>) {
    if endpoint.as_ref().is_some_and(|endpoint| endpoint.health.is_removed() && endpoint.calls.is_empty()) {
        *endpoint = None;
    }
}
