//! The load balancer of one node: receives the list of endpoints and the outcomes of calls, and chooses the endpoint of
//! each call.

use crate::call::{CallOutcome, Idempotency};
use crate::config::{BalancingConfig, Endpoint};
use crate::health::{EjectionCause, EndpointHealth};
use crate::learned_weight::LearnedWeight;
use crate::policy::{Pick, Policy};
use crate::probe::{AcceptingWeight, ProbeProgress};
use crate::probe_schedule::ProbeSchedule;
use crate::state::BalancerState;
use crate::status::EndpointStatus;
use crate::subset::{assign_subset, Candidate, SubsetAssignment};
use crate::subset_multiplier::SubsetMultiplier;
use crate::zone_overflow::ZoneOverflow;
use std::collections::BTreeSet;

/// The average success rate from which on a failed call counts against its endpoint.
const HEALTHY_SUCCESS_RATE: f64 = 0.8;

/// Chooses the endpoint of each call of one node.
///
/// Endpoints are identified by slot, and calls by numbers that the caller assigns. Times are in microseconds of any monotonic
/// clock.
pub struct LoadBalancer {
    config: BalancingConfig,
    state: BalancerState,
    policy: Box<dyn Policy + Send>,
    /// The subsets by zone: that of the local zone, and that of all others together.
    assignments: Vec<SubsetAssignment>,
    probes: ProbeSchedule,
    zone_overflow: ZoneOverflow,
    subset_multiplier: SubsetMultiplier,
    rng: fastrand::Rng,
    seed: u64,
}

impl LoadBalancer {
    /// Creates a load balancer without endpoints. Nodes need different seeds: otherwise all begin with the same endpoints.
    pub fn new(config: BalancingConfig, seed: u64) -> LoadBalancer {
        let uses_learned_weights = config.uses_learned_weights;
        LoadBalancer {
            config,
            state: BalancerState { uses_learned_weights, ..BalancerState::default() },
            policy: config.policy.start(),
            assignments: Vec::new(),
            probes: ProbeSchedule::default(),
            zone_overflow: ZoneOverflow::default(),
            subset_multiplier: SubsetMultiplier::default(),
            rng: fastrand::Rng::with_seed(seed),
            seed,
        }
    }

    /// Replaces the list of endpoints, which must not contain duplicates, and returns the slot of each. An endpoint keeps its
    /// slot until it is no longer listed and no call is in flight there.
    pub fn set_endpoints(&mut self, now_us: u64, endpoints: &[Endpoint]) -> Vec<usize> {
        self.remove_unlisted(now_us, endpoints);
        let slots = self.add_listed(now_us, endpoints);
        self.assign_subsets(endpoints, &slots);
        self.probes.remove_unlisted(&self.state);
        (0..self.state.endpoints.len()).for_each(|slot| self.state.free_if_done(slot));
        self.rebuild_subset();
        slots
    }

    fn remove_unlisted(&mut self, now_us: u64, endpoints: &[Endpoint]) {
        let listed: BTreeSet<u64> = endpoints.iter().map(|endpoint| endpoint.key).collect();
        let known = self.state.endpoints.iter_mut().flatten();
        for endpoint in known.filter(|endpoint| !listed.contains(&endpoint.key)) {
            endpoint.health.remove(now_us);
        }
    }

    fn add_listed(&mut self, now_us: u64, endpoints: &[Endpoint]) -> Vec<usize> {
        let new_health = if self.state.is_empty() {
            EndpointHealth::initial(self.config.ejection, now_us)
        } else {
            EndpointHealth::added(self.config.ejection, now_us)
        };
        let heaviest = endpoints.iter().map(|endpoint| endpoint.weight).fold(f64::MIN_POSITIVE, f64::max);
        let mut slots = Vec::with_capacity(endpoints.len());
        for listed in endpoints {
            let slot = self.state.slot_of(listed.key, new_health);
            let endpoint = self.state.endpoint_mut(slot);
            endpoint.health.added_again(now_us);
            endpoint.weight = listed.weight / heaviest;
            endpoint.is_local_zone = listed.is_local_zone;
            slots.push(slot);
        }
        slots
    }

    fn assign_subsets(&mut self, endpoints: &[Endpoint], slots: &[usize]) {
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for (endpoint, slot) in endpoints.iter().zip(slots) {
            let zone = if endpoint.is_local_zone { &mut local } else { &mut remote };
            zone.push(Candidate { key: endpoint.key, weight: endpoint.weight, slot: *slot });
        }
        let assign = |candidates: &[Candidate]| assign_subset(self.config.subsetting, candidates, self.seed);
        self.assignments = vec![assign(&local), assign(&remote)];
        self.state.endpoints.iter_mut().flatten().for_each(|endpoint| endpoint.subset_fraction = 0.0);
        for assigned in self.assignments.iter().flat_map(|assignment| &assignment.own) {
            self.state.endpoint_mut(assigned.slot).subset_fraction = assigned.fraction;
        }
    }

    /// Chooses the slot of the endpoint for a call, if possible another than `avoid`. An idempotent call may be used as the
    /// probe of an ejected endpoint. Returns `None` if no endpoint accepts calls; [`LoadBalancer::next_probe_us`] is the time
    /// from which the first may then be probed.
    pub fn pick(&mut self, now_us: u64, idempotency: Idempotency, avoid: Option<usize>) -> Option<usize> {
        self.probes.earn(&mut self.state, now_us);
        if idempotency == Idempotency::Idempotent {
            if let Some(slot) = self.probes.take_probe(&mut self.state, now_us, avoid) {
                return Some(slot);
            }
        }
        let pick = Pick { state: &self.state, now_us, avoid };
        let chosen = self.policy.choose(&pick, &mut self.rng);
        chosen.or_else(|| self.probes.probeable(now_us).find(|slot| Some(*slot) != avoid))
    }

    /// The time after which callers should retry, in microseconds; `None` if an endpoint accepts calls or none is ejected. The
    /// time lasts until the first endpoint may be probed, and up to 50 % longer at random, so that callers do not all retry at
    /// the same time.
    pub fn unavailable_for_us(&mut self, now_us: u64) -> Option<u64> {
        if self.state.subset.iter().any(|slot| self.state.accepts_calls(*slot)) {
            return None;
        }
        let until_probe_us = self.probes.next_probe_us()?.saturating_sub(now_us);
        let wait_us = until_probe_us.max(self.config.ejection.base_ejection_us);
        Some(wait_us + self.rng.u64(0..=wait_us / 2))
    }

    /// The time from which the first ejected endpoint may be probed, in microseconds; `None` if no endpoint is ejected.
    pub fn next_probe_us(&self) -> Option<u64> {
        self.probes.next_probe_us()
    }

    /// Records the start of a call at the endpoint in that slot.
    pub fn call_started(&mut self, now_us: u64, slot: usize, call: u64) {
        let Some(endpoint) = self.state.endpoints[slot].as_mut() else { return };
        endpoint.calls.insert(call, now_us);
        endpoint.calls_started += 1;
        self.subset_multiplier.call_started(now_us);
        let sizes = self.assignments.iter().map(|assignment| assignment.own.len());
        if self.subset_multiplier.update(now_us, sizes.max().unwrap_or(0)) {
            self.rebuild_subset();
        }
        self.update_health(slot, |health, _| health.call_started(call, now_us));
    }

    /// Records the end of a call at the endpoint in that slot.
    pub fn call_ended(&mut self, now_us: u64, slot: usize, call: u64, outcome: CallOutcome) {
        let Some(endpoint) = self.state.endpoints[slot].as_mut() else { return };
        let Some(started_us) = endpoint.calls.remove(&call) else { return };
        self.subset_multiplier.call_ended(now_us);
        // If calls fail at all endpoints, the fault is not that of a single one.
        let counts_failures = self.state.averages.success_rate >= HEALTHY_SUCCESS_RATE;
        self.record_outcome(now_us, slot, now_us.saturating_sub(started_us), outcome);
        self.record_zone(now_us, slot, outcome);
        self.update_health(slot, |health, rng| {
            health.probe_ended(call, now_us);
            match outcome {
                CallOutcome::Succeeded | CallOutcome::Rejected => health.succeeded(now_us),
                CallOutcome::Failed if !counts_failures => health.succeeded(now_us),
                CallOutcome::Failed | CallOutcome::TimedOut | CallOutcome::ConnectionBroken => {
                    health.failed(now_us, EjectionCause::CallsFailed, rng)
                }
                CallOutcome::ConnectFailed => health.failed(now_us, EjectionCause::ConnectFailed, rng),
                CallOutcome::Inconclusive => {}
            }
        });
        self.state.free_if_done(slot);
    }

    /// Updates latencies and success rates with the outcome of a call.
    fn record_outcome(&mut self, now_us: u64, slot: usize, took_us: u64, outcome: CallOutcome) {
        let Some(endpoint) = self.state.endpoints[slot].as_mut() else { return };
        match outcome {
            CallOutcome::Succeeded => {
                self.state.latencies.record(took_us);
                let median_us = self.state.latencies.median_us();
                self.state.averages.record_success(took_us, median_us);
                endpoint.learned_weight.succeeded(now_us, took_us, median_us);
                endpoint.record_answer(now_us, took_us);
            }
            // An endpoint without capacity gets fewer calls, unless no endpoint has capacity.
            CallOutcome::Rejected | CallOutcome::Failed | CallOutcome::ConnectionBroken => {
                self.state.averages.record_failure();
                endpoint.learned_weight.failed(now_us);
            }
            CallOutcome::TimedOut => {
                self.state.averages.record_failure();
                endpoint.learned_weight.timed_out(now_us);
                endpoint.record_last(now_us, took_us);
            }
            CallOutcome::ConnectFailed | CallOutcome::Inconclusive => {}
        }
    }

    /// Updates the overflow to other zones with the outcome of a call, if its endpoint is local.
    fn record_zone(&mut self, now_us: u64, slot: usize, outcome: CallOutcome) {
        if !self.state.endpoint(slot).is_local_zone {
            return;
        }
        match outcome {
            CallOutcome::Inconclusive => return,
            CallOutcome::Succeeded => self.zone_overflow.record_served(now_us),
            CallOutcome::Rejected
            | CallOutcome::Failed
            | CallOutcome::TimedOut
            | CallOutcome::ConnectionBroken
            | CallOutcome::ConnectFailed => self.zone_overflow.record_unserved(now_us),
        }
        self.state.overflow_share = self.zone_overflow.share();
    }

    /// Records a failure of an endpoint outside of a call, for example an unanswered ping.
    pub fn record_failure(&mut self, now_us: u64, slot: usize, cause: EjectionCause) {
        self.update_health(slot, |health, rng| health.failed(now_us, cause, rng));
    }

    /// Whether the endpoint in that slot is listed.
    pub fn is_listed(&self, slot: usize) -> bool {
        let endpoint = self.state.endpoints.get(slot).and_then(Option::as_ref);
        endpoint.is_some_and(|endpoint| !endpoint.health.is_removed())
    }

    /// The state that the node keeps for its endpoints.
    pub fn state(&self) -> &BalancerState {
        &self.state
    }

    /// Returns the endpoint's state as shown to operators.
    pub fn status(&self, slot: usize, now_us: u64) -> EndpointStatus {
        let Some(endpoint) = self.state.endpoints.get(slot).and_then(Option::as_ref) else {
            return EndpointStatus::SlotFree;
        };
        match endpoint.health.status(now_us) {
            EndpointStatus::Accepting if self.state.is_suspect(slot, now_us) => EndpointStatus::Suspect,
            status => status,
        }
    }

    /// Applies an event to an endpoint's state machine, and updates the probe schedule and the subset after a transition.
    fn update_health(&mut self, slot: usize, apply: impl FnOnce(&mut EndpointHealth, &mut fastrand::Rng)) {
        let Some(endpoint) = self.state.endpoints[slot].as_mut() else { return };
        let before = endpoint.health;
        apply(&mut endpoint.health, &mut self.rng);
        let after = endpoint.health;
        if before.ejected_until_us() != after.ejected_until_us() {
            if let Some(until_us) = before.ejected_until_us() {
                self.probes.remove(until_us, slot);
            }
            if let Some(until_us) = after.ejected_until_us() {
                self.probes.insert(until_us, slot);
                endpoint.probe.ejection_started();
            }
        }
        if before.accepts_calls() == after.accepts_calls() {
            return;
        }
        if after.accepts_calls() {
            endpoint.health.backdate_slow_start(endpoint.probe.recovered_before_us());
        } else {
            endpoint.probe = ProbeProgress::random(&mut self.rng);
        }
        // Samples from before an ejection are no evidence about the endpoint after it.
        endpoint.learned_weight = LearnedWeight::default();
        self.rebuild_subset();
    }

    /// Computes the subset: the assigned endpoints, a spare for each of them that accepts no calls, and additional spares if
    /// the node has many calls in flight.
    fn rebuild_subset(&mut self) {
        let mut subset = Vec::new();
        for assignment in &self.assignments {
            let own = || assignment.own.iter().map(|assigned| assigned.slot);
            let accepts = |slot: &usize| self.state.endpoint(*slot).health.accepts_calls();
            let missing = own().filter(|slot| !accepts(slot)).count();
            let extra = assignment.own.len() * (self.subset_multiplier.multiplier() - 1);
            subset.extend(own());
            subset.extend(assignment.spare.iter().copied().filter(accepts).take(missing + extra));
        }
        for slot in &subset {
            let endpoint = self.state.endpoint_mut(*slot);
            if endpoint.subset_fraction == 0.0 {
                endpoint.subset_fraction = 1.0;
            }
        }
        let accepting = subset.iter().filter(|slot| self.state.endpoint(**slot).health.accepts_calls());
        self.state.is_in_panic_mode = accepting.count() * 2 < subset.len();
        self.probes.set_accepting_weight(self.accepting_weight(&subset));
        if subset != self.state.subset {
            self.state.subset = subset;
            self.policy.subset_changed();
        }
    }

    fn accepting_weight(&self, subset: &[usize]) -> AcceptingWeight {
        let mut weight = AcceptingWeight::default();
        for slot in subset.iter().filter(|slot| self.state.accepts_calls(**slot)) {
            let endpoint = self.state.endpoint(*slot);
            let assigned = endpoint.weight * endpoint.subset_fraction;
            if endpoint.is_local_zone {
                weight.add_local(assigned);
            } else {
                weight.add_remote(assigned);
            }
        }
        weight
    }
}
