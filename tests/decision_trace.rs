//! The same seeded events cause, byte for byte, the recorded actions and snapshots. A change that is not intended to
//! change a decision leaves both as they are; the digest is never recorded again only to make the test pass.

mod helper;

use helper::method;
use ochrewalk::admission::snapshot::AdmissionSnapshot;
use ochrewalk::admission::{AdmissionConfig, AdmissionController};
use ochrewalk::host::*;
use prost::Message;
use std::collections::BTreeMap;

const STEPS: usize = 1_200;
const SEEDS: u64 = 36;
/// The digest of all actions of all seeds, and of a snapshot every hundred steps.
const DIGEST: u64 = 14_539_994_788_114_879_433;
const ACTIONS: u64 = 28_429;
/// The seed and the step whose snapshot is the fixture.
const FIXTURE_SEED: u64 = 7;
const FIXTURE_STEP: usize = 900;
const FIXTURE: &[u8] = include_bytes!("fixtures/decision-snapshot.bin");
const SNAPSHOT_EVERY: usize = 100;
const START_US: u64 = 1_000_000;
const DRAIN_GRACE_US: u64 = 300_000;

/// A 64-bit FNV-1a hash, which is short and the same on every platform.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// The phase of a request, as far as its server knows.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Queued,
    Running,
    AwaitingCall,
    Calling,
}

/// A host that digests every action with all its arguments, and tracks the phase of each request.
struct Recorder {
    digest: Digest,
    actions: u64,
    rpcs: BTreeMap<String, Phase>,
    remembered: Vec<String>,
    timers: Vec<(u64, u64)>,
}

impl Recorder {
    fn new() -> Recorder {
        Recorder {
            digest: Digest::new(),
            actions: 0,
            rpcs: BTreeMap::new(),
            remembered: Vec::new(),
            timers: Vec::new(),
        }
    }

    fn record(&mut self, action: &str) {
        self.actions += 1;
        self.digest.add(action.as_bytes());
        self.digest.add(b"\n");
    }
}

impl Host for Recorder {
    fn start(&mut self, id: &str) {
        self.record(&format!("run {id}"));
        self.rpcs.insert(id.into(), Phase::Running);
    }
    fn stop(&mut self, id: &str) {
        self.record(&format!("stop {id}"));
    }
    fn reject(&mut self, id: &str, rejection: Rejection) {
        let is_last = rejection.retry == Retry::DoNotRetry;
        self.record(&format!("reject {id} {is_last} {}", rejection.retry_after_us));
        self.rpcs.remove(id);
    }
    fn abort(&mut self, id: &str) {
        self.record(&format!("abort {id}"));
    }
    fn place_call(&mut self, id: &str, until_us: u64) {
        self.record(&format!("call {id} {until_us}"));
        self.rpcs.insert(id.into(), Phase::Calling);
    }
    fn skip_call(&mut self, id: &str) {
        self.record(&format!("skip {id}"));
        self.rpcs.insert(id.into(), Phase::Running);
    }
    fn remember_key(&mut self, id: &str, ttl_us: u64) {
        self.record(&format!("remember {id} {ttl_us}"));
        self.remembered.push(id.into());
    }
    fn forget_key(&mut self, id: &str) {
        self.record(&format!("forget {id}"));
        self.remembered.retain(|remembered| remembered != id);
    }
    fn share_outcome(&mut self, id: &str) {
        self.record(&format!("share {id}"));
    }
    fn set_readiness(&mut self, readiness: Readiness) {
        // The recorded digest contains a flag for health checks without real work, which was always true.
        self.record(&format!("health {} true", readiness == Readiness::Ready));
    }
    fn send_load_signal(&mut self, value: f64) {
        self.record(&format!("send back {:016x}", value.to_bits()));
    }
    fn close_idle_connections(&mut self, idle_us: u64) {
        self.record(&format!("close idle {idle_us}"));
    }
    fn set_timer(&mut self, at_us: u64, token: u64) {
        self.record(&format!("wake {at_us} {token}"));
        self.timers.push((at_us, token));
    }
}

/// Returns the deployment of a seed. Together the seeds cover every variant of every setting.
fn deployment(seed: u64) -> AdmissionConfig {
    let stopping = [Stopping::Never, Stopping::Drop, Stopping::Pause][seed as usize % 3];
    let shared = Upstream::Shared { max_calls_in_flight: 4.0, window_us: 2_000_000, linger_us: 300_000 };
    let upstream = [shared, Upstream::Tier, shared, Upstream::None][seed as usize % 4];
    let makes_calls = upstream != Upstream::None;
    let method_with = |effect, value_without_call, criticality| Method {
        makes_calls,
        criticality,
        target_stretch: 0.5,
        ..method(effect, value_without_call)
    };
    let signals = [SignalKind::Weight, SignalKind::Level, SignalKind::Credit, SignalKind::None];
    AdmissionConfig {
        machine: Machine {
            cores: 1 + (seed % 4) as u32,
            memory_kb: 300.0 + 100.0 * (seed % 5) as f64,
            run_memory_factor: 4.0,
            key_kb: 0.5,
            stopping,
            max_connection_idle_us: 30_000_000,
        },
        survivable_load: SurvivableLoad {
            requests_per_core: 5.0,
            is_cold: seed.is_multiple_of(2),
            min_cold_speed: 0.3,
            warm_within_us: 9_000_000,
        },
        methods: vec![
            method_with(Effect::Idempotent, 0.0, 1.0),
            method_with(Effect::WithKey, 0.0, 4.0),
            method_with(Effect::NonIdempotent, 0.0, 3.0),
            method_with(Effect::Idempotent, 0.5, 2.0),
            Method { makes_calls: false, ..method_with(Effect::Idempotent, 0.0, 1.0) },
        ]
        .into(),
        upstream,
        callers: Callers {
            signal: signals[(seed as usize / 3) % 4],
            count: 1 + (seed % 7) as u32,
            mark_retries: !seed.is_multiple_of(3),
            max_retry_after_us: 1_000_000 * (seed % 3),
        },
        quotas: QuotaSettings { counts_by_work: seed.is_multiple_of(5), over_quota_value: 0.2, servers: 2 },
        drain_grace_us: DRAIN_GRACE_US,
    }
}

/// One server with its controller, and the events that a seed draws for it.
struct Run {
    controller: AdmissionController<Recorder>,
    rng: fastrand::Rng,
    now_us: u64,
    arrivals: u64,
    methods: usize,
}

impl Run {
    fn new(seed: u64) -> Run {
        let config = deployment(seed);
        let methods = config.methods.len();
        let controller = AdmissionController::start(Recorder::new(), START_US, seed, config);
        let rng = fastrand::Rng::with_seed(seed);
        Run { controller, rng, now_us: START_US, arrivals: 0, methods }
    }

    fn any(&mut self, phase: Phase) -> Option<String> {
        let rpcs = &self.controller.host().rpcs;
        let all: Vec<String> =
            rpcs.iter().filter(|(_, current)| **current == phase).map(|(id, _)| id.clone()).collect();
        (!all.is_empty()).then(|| all[self.rng.usize(0..all.len())].clone())
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let id = format!("r{}", self.arrivals);
        let method = self.rng.usize(0..self.methods);
        let remembered = self.controller.host().remembered.clone();
        let may_repeat = method == 1 && !remembered.is_empty() && self.rng.u32(0..4) == 0;
        let repeats = may_repeat.then(|| remembered[self.rng.usize(0..remembered.len())].as_str().into());
        let tenant_id = self.rng.u32(0..6);
        let per_second = [0.0, 2.0, 5.0, 20.0, 50.0, 5.0][tenant_id as usize];
        let arrival = Arrival {
            id: id.as_str().into(),
            method,
            memory_kb: 1.0 + self.rng.f64() * 12.0,
            queued_us: self.rng.u64(0..60_000),
            time_left_us: self.rng.bool().then(|| self.rng.u64(50_000..6_000_000)),
            work_hint_us: self.rng.bool().then(|| self.rng.u64(500..60_000)),
            repeats,
            is_retry: self.rng.u32(0..4) == 0,
            tenant: self.rng.bool().then_some(Tenant { id: tenant_id, per_second }),
        };
        self.controller.host().rpcs.insert(id, Phase::Queued);
        self.controller.request_arrived(self.now_us, arrival);
    }

    fn end_call(&mut self) {
        let Some(id) = self.any(Phase::Calling) else { return };
        let outcome = [
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::Unreachable,
            Outcome::Interrupted,
            Outcome::Stopped,
            Outcome::NotStarted,
        ][self.rng.usize(0..11)];
        let took_us = self.rng.u64(500..900_000);
        let phase = if outcome == Outcome::Ok { Phase::Running } else { Phase::AwaitingCall };
        self.controller.host().rpcs.insert(id.clone(), phase);
        self.controller.call_ended(self.now_us, &id, outcome, took_us);
    }

    fn end_run(&mut self) {
        let phase = [Phase::Running, Phase::Running, Phase::Running, Phase::Calling][self.rng.usize(0..4)];
        let Some(id) = self.any(phase) else { return };
        let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Stopped];
        let outcome = outcome[self.rng.usize(0..5)];
        self.controller.host().rpcs.remove(&id);
        self.controller.run_ended(self.now_us, &id, outcome);
    }

    fn disconnect_caller(&mut self) {
        let phases = [Phase::Queued, Phase::Running, Phase::AwaitingCall, Phase::Calling];
        let phase = phases[self.rng.usize(0..4)];
        if let Some(id) = self.any(phase) {
            if phase == Phase::Queued {
                self.controller.host().rpcs.remove(&id);
            }
            self.controller.caller_left(&id);
        }
    }

    fn timer(&mut self) {
        let gauges = Gauges {
            busy: self.rng.bool().then(|| self.rng.f64()),
            runnable: self.rng.bool().then(|| self.rng.f64() * 8.0),
            connections: self.rng.bool().then(|| self.rng.f64() * 9.0),
        };
        let timers = &mut self.controller.host().timers;
        let token = timers.pop().map_or(3, |(_, token)| token);
        self.controller.timer_fired(self.now_us, token, gauges);
    }

    fn step(&mut self, step: usize) {
        // Traffic arrives in bursts, so that queues fill and drain.
        let max_interval_us = if (step / 150).is_multiple_of(2) { 4_000 } else { 40_000 };
        self.now_us += self.rng.u64(0..max_interval_us);
        match self.rng.u32(0..15) {
            0..=4 => self.arrive(),
            5 | 6 => {
                if let Some(id) = self.any(Phase::Running) {
                    self.controller.host().rpcs.insert(id.clone(), Phase::AwaitingCall);
                    self.controller.call_needed(self.now_us, &id);
                }
            }
            7..=9 => self.end_call(),
            10 | 11 => self.end_run(),
            12 => self.disconnect_caller(),
            _ => self.timer(),
        }
        if step == STEPS - 200 {
            self.controller.drain(self.now_us, 3_000_000);
        }
        // Sometimes several events are reported before a decision.
        if self.rng.u32(0..5) > 0 {
            self.controller.decide(self.now_us);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.controller.snapshot().encode_to_vec()
    }
}

#[test]
fn seeded_events_cause_the_recorded_actions_and_snapshots() {
    let (mut digest, mut actions) = (Digest::new(), 0);
    for seed in 0..SEEDS {
        let mut run = Run::new(seed);
        for step in 0..STEPS {
            run.step(step);
            if step % SNAPSHOT_EVERY == 0 {
                digest.add(&run.snapshot());
            }
        }
        let recorder = run.controller.host();
        digest.add(&recorder.digest.0.to_be_bytes());
        actions += recorder.actions;
    }
    assert_eq!((digest.0, actions), (DIGEST, ACTIONS));
}

#[test]
fn the_stored_snapshot_is_read_and_written_back_with_the_same_bytes() {
    let mut run = Run::new(FIXTURE_SEED);
    for step in 0..FIXTURE_STEP {
        run.step(step);
    }
    assert!(run.snapshot() == FIXTURE, "the same events cause the stored snapshot");
    let snapshot = AdmissionSnapshot::decode(FIXTURE).unwrap();
    let resumed = AdmissionController::resume(Recorder::new(), deployment(FIXTURE_SEED), snapshot);
    assert!(resumed.unwrap().snapshot().encode_to_vec() == FIXTURE, "the snapshot is written back unchanged");
}
