//! The evenness of the load over endpoints, without faults and after each kind of fault: hundreds of nodes with the production
//! load balancer, in virtual time.

use ochrewalk_lab::emulated::{play, EndpointListUpdate, Fault, FaultKind, Fleet, RunResult, SECOND};
use ochrewalk_load_balancer::{BalancingConfig, BalancingPolicy, Subsetting};

fn config(policy: BalancingPolicy) -> BalancingConfig {
    BalancingConfig {
        policy,
        subsetting: Subsetting::Deterministic { size: 5, node: 0, node_count: 1 },
        ..BalancingConfig::default()
    }
}

/// Returns a fleet with the load that operators measured: 200 nodes with 3 calls per second each, 100 endpoints of one core,
/// and 100 ms of work per call, which is a load of 60 %.
fn measured_load(policy: BalancingPolicy, seed: u64) -> Fleet {
    Fleet::plain(200, 100, config(policy), seed)
}

#[test]
fn least_latency_over_all_endpoints_overloads_some_and_leaves_others_idle() {
    let mut fleet = measured_load(BalancingPolicy::LeastLatency, 1);
    fleet.config.subsetting = Subsetting::All;
    fleet.config.uses_learned_weights = false;
    let seen = play(&fleet);
    let evenness = seen.evenness(&fleet.listed, 1);
    assert!(evenness.idle > 0 && evenness.dispersion > 50.0 && evenness.max_over_mean > 3.0, "{evenness:?}");
    assert!(seen.quantile_ms(0.99) > 10_000.0, "{}", seen.quantile_ms(0.99));
}

#[test]
fn no_endpoint_is_idle_or_overloaded_and_long_waits_are_shorter_than_with_random_choice() {
    for seed in 1..=3 {
        let fleet = measured_load(BalancingPolicy::LatencyAwareRoundRobin, seed);
        let (latency_aware, random) = (play(&fleet), play(&measured_load(BalancingPolicy::Random, seed)));
        let evenness = latency_aware.evenness(&fleet.listed, 1);
        assert_eq!((evenness.idle, latency_aware.served), (0, latency_aware.calls));
        assert!(evenness.dispersion < 0.4, "seed {seed}: {evenness:?}");
        assert!(evenness.max_over_mean < 1.3, "seed {seed}: {evenness:?}");
        let (p99, random_p99) = (latency_aware.quantile_ms(0.99), random.quantile_ms(0.99));
        assert!(p99 < 0.85 * random_p99, "seed {seed}: {p99} ms against {random_p99} ms");
        assert!(random.evenness(&fleet.listed, 1).dispersion > 0.7, "the measure distinguishes the policies");
    }
}

#[test]
fn load_is_even_for_fleets_of_other_sizes() {
    for (nodes, endpoints, rate, work_us) in [
        (300, 300, 3.0, 200_000.0),
        (300, 30, 1.0, 60_000.0),
        (30, 300, 20.0, 300_000.0),
        (200, 100, 1.0, 20_000.0),
    ] {
        let mut fleet = Fleet::plain(nodes, endpoints, config(BalancingPolicy::LatencyAwareRoundRobin), 1);
        (fleet.rate, fleet.first_rate, fleet.work_us, fleet.seconds) = (rate, rate, work_us, 30);
        let seen = play(&fleet);
        let evenness = seen.evenness(&fleet.listed, 1);
        assert!(
            evenness.idle == 0 && evenness.dispersion < 0.7,
            "{nodes} nodes, {endpoints} endpoints: {evenness:?}"
        );
    }
}

const FROM: u64 = 20 * SECOND;
const UNTIL: u64 = 35 * SECOND;

fn play_with(policy: BalancingPolicy, change: impl Fn(&mut Fleet)) -> (Fleet, RunResult) {
    let mut fleet = measured_load(policy, 1);
    (fleet.rate, fleet.first_rate, fleet.work_us) = (6.0, 6.0, 50_000.0);
    (fleet.deadline_us, fleet.seconds) = (2 * SECOND, 60);
    change(&mut fleet);
    let seen = play(&fleet);
    (fleet, seen)
}

fn fault(count: usize, kind: FaultKind) -> Fault {
    Fault { endpoints: (0, count), from_us: FROM, until_us: UNTIL, kind }
}

#[test]
fn during_each_fault_as_many_calls_are_served_as_with_random_choice_and_the_load_is_even_afterwards() {
    type Change = fn(&mut Fleet);
    // A served share of up to 0.001 below that of random choice is within random variation.
    let cases: [(&str, Change, f64); 8] = [
        ("ten endpoints are dead", |fleet| fleet.faults.push(fault(10, FaultKind::Dead)), 0.4),
        (
            "ten endpoints are stopped for 5 s",
            |fleet| fleet.faults.push(Fault { until_us: FROM + 5 * SECOND, ..fault(10, FaultKind::Stopped) }),
            0.4,
        ),
        ("ten endpoints 10 times slower", |fleet| fleet.faults.push(fault(10, FaultKind::Slower(10.0))), 0.9),
        ("five endpoints fail all calls", |fleet| fleet.faults.push(fault(5, FaultKind::FailsAtOnce)), 0.4),
        (
            "thirty endpoints do not answer a third of the nodes",
            |fleet| fleet.faults.push(fault(30, FaultKind::Silent(0.33))),
            0.9,
        ),
        (
            "half of the endpoints are replaced within 7 s",
            |fleet| {
                fleet.endpoints = 150;
                fleet.list_updates.push(EndpointListUpdate {
                    at_us: FROM,
                    takes_us: 7 * SECOND,
                    endpoints: (50..150).collect(),
                });
                let removed = Fault {
                    endpoints: (0, 50),
                    from_us: FROM + 7 * SECOND,
                    until_us: 999 * SECOND,
                    kind: FaultKind::Dead,
                };
                fleet.faults.push(removed);
            },
            0.4,
        ),
        ("seven in ten nodes restart", |fleet| fleet.restarts.push((FROM, 0, 140)), 0.4),
        (
            "thirty endpoints are dead and recover at half speed",
            |fleet| {
                fleet.faults.push(fault(30, FaultKind::Dead));
                let cold = Fault {
                    from_us: UNTIL + 1,
                    until_us: UNTIL + 3 * SECOND,
                    ..fault(30, FaultKind::Slower(2.0))
                };
                fleet.faults.push(cold);
            },
            0.5,
        ),
    ];
    for (name, change, dispersion) in cases {
        let (fleet, measured) = play_with(BalancingPolicy::LatencyAwareRoundRobin, change);
        let (_, random) = play_with(BalancingPolicy::Random, change);
        let listed = fleet.list_updates.last().map_or(&fleet.listed, |update| &update.endpoints);
        let after = measured.evenness(listed, 4);
        assert!(after.idle == 0 && after.dispersion < dispersion, "{name}: {after:?}");
        let (served, random_served) =
            (measured.served_between(FROM, UNTIL), random.served_between(FROM, UNTIL));
        assert!(served > random_served - 0.003, "{name}: {served} against {random_served}");
        assert_eq!(measured.served + measured.failed.len(), measured.calls, "{name}: each call ends once");
    }
}

#[test]
fn one_node_with_fifty_times_the_traffic_overloads_no_endpoint() {
    let (fleet, seen) = play_with(BalancingPolicy::LatencyAwareRoundRobin, |fleet| {
        (fleet.first_rate, fleet.rate) = (300.0, 4.5)
    });
    let evenness = seen.evenness(&fleet.listed, 2);
    assert!(evenness.max_over_mean < 1.35 && evenness.idle == 0, "{evenness:?}");
    assert!(seen.served_between(10 * SECOND, 60 * SECOND) > 0.999);
}

#[test]
fn load_is_even_with_different_cores_and_bimodal_latencies() {
    let (fleet, seen) = play_with(BalancingPolicy::LatencyAwareRoundRobin, |fleet| {
        (fleet.cores, fleet.weighted) = (vec![1, 2, 3, 4], true);
        (fleet.rate, fleet.first_rate) = (15.0, 15.0);
    });
    let evenness = seen.evenness(&fleet.listed, 1);
    assert!(evenness.dispersion < 0.3 && evenness.max_over_mean < 1.2, "{evenness:?}");
    let bimodal = |fleet: &mut Fleet| (fleet.long_factor, fleet.work_us) = (20.0, 17_000.0);
    let ((_, latency_aware), (_, random)) = (
        play_with(BalancingPolicy::LatencyAwareRoundRobin, bimodal),
        play_with(BalancingPolicy::Random, bimodal),
    );
    assert!(
        latency_aware.served_share() > random.served_share(),
        "{} {}",
        latency_aware.served_share(),
        random.served_share()
    );
}

#[test]
fn the_same_seed_produces_the_same_run() {
    let fleet = Fleet { seconds: 20, ..measured_load(BalancingPolicy::LatencyAwareRoundRobin, 5) };
    let (first, second) = (play(&fleet), play(&fleet));
    assert_eq!((first.latencies, first.windows), (second.latencies, second.windows));
}
