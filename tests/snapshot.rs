//! The same events cause the same actions, whether one controller processes all of them or a successor continues from a
//! snapshot.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod helper;

use helper::*;
use ochrewalk::admission::snapshot::{AdmissionSnapshot, SnapshotError};
use ochrewalk::admission::{AdmissionConfig, AdmissionController};
use ochrewalk::host::*;
use prost::Message;
use std::collections::BTreeMap;

const TENANTS: [Tenant; 2] = [Tenant { id: 0, per_second: 5.0 }, Tenant { id: 1, per_second: 50.0 }];

fn config(seed: u64) -> AdmissionConfig {
    let stopping = [Stopping::Never, Stopping::Drop, Stopping::Pause][seed as usize % 3];
    let shared = Upstream::Shared { max_calls_in_flight: 3.0, window_us: 2_000_000, linger_us: 300_000 };
    AdmissionConfig {
        machine: Machine {
            cores: 2,
            memory_kb: 400.0,
            run_memory_factor: 4.0,
            key_kb: 0.5,
            stopping,
            max_connection_idle_us: 30_000_000,
        },
        survivable_load: SurvivableLoad {
            requests_per_core: 6.0,
            is_cold: seed.is_multiple_of(2),
            min_cold_speed: 0.4,
            warm_within_us: 20_000_000,
        },
        methods: vec![
            method(Effect::Idempotent, 0.0),
            method(Effect::WithKey, 0.0),
            method(Effect::NonIdempotent, 0.0),
            method(Effect::Idempotent, 0.5),
        ]
        .into(),
        upstream: if seed.is_multiple_of(2) { Upstream::Tier } else { shared },
        callers: Callers {
            signal: [SignalKind::Weight, SignalKind::Level, SignalKind::Credit][seed as usize / 3 % 3],
            count: 3,
            mark_retries: seed % 2 == 1,
            max_retry_after_us: 1_000_000,
        },
        quotas: QuotaSettings { counts_by_work: seed.is_multiple_of(4), over_quota_value: 0.25, servers: 2 },
        drain_grace_us: 300_000,
    }
}

/// The phase of a request, as far as its server knows.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Queued,
    Running,
    Waiting,
    Calling,
}

/// An event, which can be reported to several controllers.
type Event = Box<dyn Fn(&mut AdmissionController<RecordingHost>)>;

fn next_event(
    rng: &mut fastrand::Rng,
    now: u64,
    phases: &BTreeMap<String, Phase>,
    arrivals: &mut u64,
) -> Event {
    let any_in = |phase: Phase, rng: &mut fastrand::Rng| -> Option<String> {
        let all: Vec<&String> =
            phases.iter().filter(|(_, current)| **current == phase).map(|(id, _)| id).collect();
        (!all.is_empty()).then(|| all[rng.usize(0..all.len())].clone())
    };
    match rng.u32(0..12) {
        0..=3 => {
            *arrivals += 1;
            let arrival = Arrival {
                id: format!("r{arrivals}").as_str().into(),
                method: rng.usize(0..4),
                memory_kb: 1.0 + rng.f64() * 20.0,
                queued_us: rng.u64(0..50_000),
                time_left_us: rng.bool().then(|| rng.u64(100_000..9_000_000)),
                work_hint_us: rng.bool().then(|| rng.u64(500..40_000)),
                repeats: None,
                is_retry: rng.u32(0..4) == 0,
                tenant: rng.bool().then(|| TENANTS[rng.usize(0..2)]),
            };
            Box::new(move |controller| controller.request_arrived(now, arrival.clone()))
        }
        4 | 5 => match any_in(Phase::Running, rng) {
            Some(id) => Box::new(move |controller| controller.call_needed(now, &id)),
            None => Box::new(|_| ()),
        },
        6 | 7 => match any_in(Phase::Calling, rng) {
            Some(id) => {
                let outcome =
                    [Outcome::Ok, Outcome::Ok, Outcome::Rejected, Outcome::TimedOut, Outcome::Interrupted];
                let (outcome, took) = (outcome[rng.usize(0..5)], rng.u64(500..900_000));
                Box::new(move |controller| controller.call_ended(now, &id, outcome, took))
            }
            None => Box::new(|_| ()),
        },
        8 | 9 => match any_in(Phase::Running, rng) {
            Some(id) => {
                let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Stopped][rng.usize(0..4)];
                Box::new(move |controller| controller.run_ended(now, &id, outcome))
            }
            None => Box::new(|_| ()),
        },
        10 => match any_in([Phase::Queued, Phase::Running, Phase::Waiting][rng.usize(0..3)], rng) {
            Some(id) => Box::new(move |controller| controller.caller_left(&id)),
            None => Box::new(|_| ()),
        },
        _ => {
            let gauges =
                Gauges { busy: Some(rng.f64()), runnable: Some(rng.f64() * 6.0), connections: Some(9.0) };
            let token = rng.u64(0..3);
            Box::new(move |controller| controller.timer_fired(now, token, gauges))
        }
    }
}

/// Updates the phases of requests after the controller's actions, so that later events are consistent.
fn apply_actions(actions: &[String], phases: &mut BTreeMap<String, Phase>) {
    for line in actions {
        let (action, id) = line.split_once(' ').unwrap();
        let id = id.split(' ').next().unwrap().to_string();
        match action {
            "run" | "skip" => drop(phases.insert(id, Phase::Running)),
            "call" => drop(phases.insert(id, Phase::Calling)),
            "reject" => drop(phases.remove(&id)),
            _ => {}
        }
    }
}

#[test]
fn a_successor_decides_as_its_predecessor_would_have() {
    let mut actions = 0;
    for seed in 0..60 {
        let config = config(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut now, mut arrivals, mut phases) = (1_000_000, 0, BTreeMap::new());
        let start = || AdmissionController::start(RecordingHost::default(), 1_000_000, seed, config.clone());
        let mut controller = start();
        let mut successor = start();
        let handover_step = rng.usize(50..400);
        for step in 0..600 {
            now += rng.u64(0..30_000);
            let previous_len = controller.host().0.len();
            let event = next_event(&mut rng, now, &phases, &mut arrivals);
            event(&mut controller);
            controller.decide(now);
            event(&mut successor);
            successor.decide(now);
            let new_actions = controller.host().0[previous_len..].to_vec();
            assert_eq!(
                new_actions,
                successor.host().0[previous_len..],
                "seed {seed}, step {step}, handed over at {handover_step}"
            );
            assert_eq!(controller.host().1, successor.host().1, "the same number of timers");
            actions += new_actions.len();
            for id in (arrivals.saturating_sub(1)..=arrivals).map(|n| format!("r{n}")) {
                if step > 0
                    && !phases.contains_key(&id)
                    && !new_actions.iter().any(|action| action.ends_with(&id))
                {
                    phases.entry(id).or_insert(Phase::Queued);
                }
            }
            apply_actions(&new_actions, &mut phases);
            if step == handover_step {
                let bytes = successor.snapshot().encode_to_vec();
                let snapshot = AdmissionSnapshot::decode(&bytes[..]).unwrap();
                let host = std::mem::take(successor.host());
                let survivable_load = SurvivableLoad { is_cold: false, ..config.survivable_load };
                let config = AdmissionConfig { survivable_load, ..config.clone() };
                successor = AdmissionController::resume(host, config, snapshot).unwrap();
                // The restored state is written again with the same bytes.
                assert_eq!(successor.snapshot().encode_to_vec(), bytes, "seed {seed}");
            }
        }
    }
    assert!(actions > 5_000, "{actions}");
}

fn started(config: &AdmissionConfig) -> AdmissionController<RecordingHost> {
    AdmissionController::start(RecordingHost::default(), 0, 1, config.clone())
}

#[test]
fn a_snapshot_that_does_not_fit_the_deployment_is_rejected() {
    let config = config(1);
    let mut fewer = config.methods.to_vec();
    fewer.pop();
    let snapshot = started(&config).snapshot();
    let config = AdmissionConfig { methods: fewer.into(), ..config };
    let rejected = AdmissionController::resume(RecordingHost::default(), config, snapshot);
    assert_eq!(
        rejected.err().unwrap().to_string(),
        "snapshot contains observed runs for 4 methods; the deployment has 3"
    );
}

/// The fields that older versions wrote into a snapshot, before each request had its tenant's quota.
#[derive(Clone, PartialEq, prost::Message)]
struct LevelsByPosition {
    #[prost(double, repeated, tag = "6")]
    levels: Vec<f64>,
    #[prost(uint64, tag = "7")]
    at_us: u64,
}

/// Resumes a controller from a snapshot with levels by position, for a deployment with these quotas.
fn resumed_from_levels(
    levels: Vec<f64>,
    per_second: &[f64],
) -> Result<AdmissionController<RecordingHost>, SnapshotError> {
    let config = config(1);
    // The concatenation of protobuf messages is read as one message.
    let mut bytes = started(&config).snapshot().encode_to_vec();
    bytes.extend(LevelsByPosition { levels, at_us: 5_000_000 }.encode_to_vec());
    let mut snapshot = AdmissionSnapshot::decode(&bytes[..]).unwrap();
    snapshot.complete_quotas(per_second, config.quotas.servers)?;
    AdmissionController::resume(RecordingHost::default(), config, snapshot)
}

#[test]
fn levels_by_position_of_an_older_version_are_read() {
    // With two servers, the capacity of the first tenant's bucket is 20, the second's is full, and the third has a
    // quota of 0.
    let resumed = resumed_from_levels(vec![-3.0, 200.0, 0.0], &[5.0, 50.0, 0.0]).unwrap();
    assert_eq!(resumed.cached_quota_buckets(), 1);
    let rejected = resumed_from_levels(vec![1.0, 1.0], &[5.0, 50.0, 1.0]);
    assert_eq!(
        rejected.err().unwrap().to_string(),
        "snapshot contains quota buckets for 2 tenants; the deployment has 3"
    );
}
