//! The same events bring the same actions, whether one module sees them all or a successor goes on from what the first
//! one wrote down.

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

/// What the outside knows of each RPC.
#[derive(Clone, Copy, PartialEq)]
enum At {
    Queued,
    Running,
    Waiting,
    Calling,
}

/// One event, told to any module in the same way.
type Event = Box<dyn Fn(&mut AdmissionController<Tape>)>;

fn next_event(rng: &mut fastrand::Rng, now: u64, known: &BTreeMap<String, At>, count: &mut u64) -> Event {
    let of = |at: At, rng: &mut fastrand::Rng| -> Option<String> {
        let all: Vec<&String> = known.iter().filter(|(_, a)| **a == at).map(|(id, _)| id).collect();
        (!all.is_empty()).then(|| all[rng.usize(0..all.len())].clone())
    };
    match rng.u32(0..12) {
        0..=3 => {
            *count += 1;
            let arrival = Arrival {
                id: format!("r{count}").as_str().into(),
                method: rng.usize(0..4),
                memory_kb: 1.0 + rng.f64() * 20.0,
                queued_us: rng.u64(0..50_000),
                time_left_us: rng.bool().then(|| rng.u64(100_000..9_000_000)),
                work_hint_us: rng.bool().then(|| rng.u64(500..40_000)),
                repeats: None,
                is_retry: rng.u32(0..4) == 0,
                tenant: rng.bool().then(|| TENANTS[rng.usize(0..2)]),
            };
            Box::new(move |m| m.request_arrived(now, arrival.clone()))
        }
        4 | 5 => match of(At::Running, rng) {
            Some(id) => Box::new(move |m| m.call_needed(now, &id)),
            None => Box::new(|_| ()),
        },
        6 | 7 => match of(At::Calling, rng) {
            Some(id) => {
                let outcome =
                    [Outcome::Ok, Outcome::Ok, Outcome::Rejected, Outcome::TimedOut, Outcome::Interrupted];
                let (outcome, took) = (outcome[rng.usize(0..5)], rng.u64(500..900_000));
                Box::new(move |m| m.call_ended(now, &id, outcome, took))
            }
            None => Box::new(|_| ()),
        },
        8 | 9 => match of(At::Running, rng) {
            Some(id) => {
                let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Stopped][rng.usize(0..4)];
                Box::new(move |m| m.run_ended(now, &id, outcome))
            }
            None => Box::new(|_| ()),
        },
        10 => match of([At::Queued, At::Running, At::Waiting][rng.usize(0..3)], rng) {
            Some(id) => Box::new(move |m| m.caller_left(&id)),
            None => Box::new(|_| ()),
        },
        _ => {
            let gauges =
                Gauges { busy: Some(rng.f64()), runnable: Some(rng.f64() * 6.0), connections: Some(9.0) };
            let token = rng.u64(0..3);
            Box::new(move |m| m.timer_fired(now, token, gauges))
        }
    }
}

/// Follows what the module asked for, so that events make sense.
fn follow(asked: &[String], known: &mut BTreeMap<String, At>) {
    for line in asked {
        let (what, id) = line.split_once(' ').unwrap();
        let id = id.split(' ').next().unwrap().to_string();
        match what {
            "run" | "skip" => drop(known.insert(id, At::Running)),
            "call" => drop(known.insert(id, At::Calling)),
            "push" => drop(known.remove(&id)),
            _ => {}
        }
    }
}

#[test]
fn a_successor_decides_as_the_one_before_it_would_have() {
    let mut actions = 0;
    for seed in 0..60 {
        let config = config(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut now, mut count, mut known) = (1_000_000, 0, BTreeMap::new());
        let start = || AdmissionController::start(Tape::default(), 1_000_000, seed, config.clone());
        let mut one = start();
        let mut other = start();
        let hand_over = rng.usize(50..400);
        for step in 0..600 {
            now += rng.u64(0..30_000);
            let before = one.host().0.len();
            let event = next_event(&mut rng, now, &known, &mut count);
            event(&mut one);
            one.decide(now);
            event(&mut other);
            other.decide(now);
            let asked = one.host().0[before..].to_vec();
            assert_eq!(
                asked,
                other.host().0[before..],
                "seed {seed}, step {step}, handed over at {hand_over}"
            );
            assert_eq!(one.host().1, other.host().1, "as many wake-ups");
            actions += asked.len();
            for id in (count.saturating_sub(1)..=count).map(|n| format!("r{n}")) {
                if step > 0 && !known.contains_key(&id) && !asked.iter().any(|a| a.ends_with(&id)) {
                    known.entry(id).or_insert(At::Queued);
                }
            }
            follow(&asked, &mut known);
            if step == hand_over {
                let bytes = other.snapshot().encode_to_vec();
                let snapshot = AdmissionSnapshot::decode(&bytes[..]).unwrap();
                let tape = std::mem::take(other.host());
                let survivable_load = SurvivableLoad { is_cold: false, ..config.survivable_load };
                let config = AdmissionConfig { survivable_load, ..config.clone() };
                other = AdmissionController::resume(tape, config, snapshot).unwrap();
                // What was read is what is written again.
                assert_eq!(other.snapshot().encode_to_vec(), bytes, "seed {seed}");
            }
        }
    }
    assert!(actions > 5_000, "{actions}");
}

fn started(config: &AdmissionConfig) -> AdmissionController<Tape> {
    AdmissionController::start(Tape::default(), 0, 1, config.clone())
}

#[test]
fn what_does_not_fit_the_deployment_is_rejected() {
    let config = config(1);
    let mut fewer = config.methods.to_vec();
    fewer.pop();
    let snapshot = started(&config).snapshot();
    let config = AdmissionConfig { methods: fewer.into(), ..config };
    let rejected = AdmissionController::resume(Tape::default(), config, snapshot);
    assert_eq!(rejected.err().unwrap().to_string(), "runs seen of 4 methods, 3 here");
}

/// The fields of a snapshot that programs wrote before quotas came with each request.
#[derive(Clone, PartialEq, prost::Message)]
struct LevelsByPosition {
    #[prost(double, repeated, tag = "6")]
    levels: Vec<f64>,
    #[prost(uint64, tag = "7")]
    at_us: u64,
}

/// A snapshot with levels by position, read for a deployment with these quotas, and started again.
fn resumed_from_levels(
    levels: Vec<f64>,
    per_second: &[f64],
) -> Result<AdmissionController<Tape>, SnapshotError> {
    let config = config(1);
    // Protobuf messages that follow one another read as one.
    let mut bytes = started(&config).snapshot().encode_to_vec();
    bytes.extend(LevelsByPosition { levels, at_us: 5_000_000 }.encode_to_vec());
    let mut snapshot = AdmissionSnapshot::decode(&bytes[..]).unwrap();
    snapshot.complete_quotas(per_second, config.quotas.servers)?;
    AdmissionController::resume(Tape::default(), config, snapshot)
}

#[test]
fn levels_by_position_of_an_older_program_are_read() {
    // Two servers: the first tenant's bucket holds 20 at most, the second's is full, the third has no quota.
    let resumed = resumed_from_levels(vec![-3.0, 200.0, 0.0], &[5.0, 50.0, 0.0]).unwrap();
    assert_eq!(resumed.cached_quota_buckets(), 1);
    let rejected = resumed_from_levels(vec![1.0, 1.0], &[5.0, 50.0, 1.0]);
    assert_eq!(rejected.err().unwrap().to_string(), "buckets of 2 tenants, 3 here");
}
