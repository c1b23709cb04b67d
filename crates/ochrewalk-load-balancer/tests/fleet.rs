//! The real choice in hundreds of nodes in virtual time: how even the load is, without faults and after each.

use ochrewalk_lab::emulated::{play, Fault, Fleet, Relist, Seen, Trouble, SECOND};
use ochrewalk_load_balancer::{BalancingConfig, BalancingPolicy, Subsetting};

fn config(policy: BalancingPolicy) -> BalancingConfig {
    BalancingConfig {
        policy,
        subsetting: Subsetting::Deterministic { size: 5, node: 0, node_count: 1 },
        ..BalancingConfig::default()
    }
}

/// The load that operators measured: 3 calls a second of each of 200 nodes, 100 endpoints of one core, 100 ms of work: 60% load.
fn plain(policy: BalancingPolicy, seed: u64) -> Fleet {
    Fleet::plain(200, 100, config(policy), seed)
}

#[test]
fn least_latency_over_all_endpoints_overloads_some_and_leaves_others_idle() {
    let mut before = plain(BalancingPolicy::LeastLatency, 1);
    before.plan.subsetting = Subsetting::All;
    before.plan.uses_learned_weights = false;
    let seen = play(&before);
    let even = seen.evenness(&before.listed, 1);
    assert!(even.idle > 0 && even.dispersion > 50.0 && even.max_over_mean > 3.0, "{even:?}");
    assert!(seen.quantile_ms(0.99) > 10_000.0, "{}", seen.quantile_ms(0.99));
}

#[test]
fn no_endpoint_is_idle_or_overloaded_and_long_waits_are_shorter_than_with_random_choice() {
    for seed in 1..=3 {
        let fleet = plain(BalancingPolicy::LatencyAwareRoundRobin, seed);
        let (ours, chance) = (play(&fleet), play(&plain(BalancingPolicy::Random, seed)));
        let even = ours.evenness(&fleet.listed, 1);
        assert_eq!((even.idle, ours.served), (0, ours.calls));
        assert!(even.dispersion < 0.4, "seed {seed}: {even:?}");
        assert!(even.max_over_mean < 1.3, "seed {seed}: {even:?}");
        let (p99, by_chance) = (ours.quantile_ms(0.99), chance.quantile_ms(0.99));
        assert!(p99 < 0.85 * by_chance, "seed {seed}: {p99} against {by_chance}");
        assert!(chance.evenness(&fleet.listed, 1).dispersion > 0.7, "the measure tells them apart");
    }
}

#[test]
fn load_is_even_for_fleets_of_other_sizes() {
    for (nodes, places, rate, work_us) in [
        (300, 300, 3.0, 200_000.0),
        (300, 30, 1.0, 60_000.0),
        (30, 300, 20.0, 300_000.0),
        (200, 100, 1.0, 20_000.0),
    ] {
        let mut fleet = Fleet::plain(nodes, places, config(BalancingPolicy::LatencyAwareRoundRobin), 1);
        (fleet.rate, fleet.first_rate, fleet.work_us, fleet.seconds) = (rate, rate, work_us, 30);
        let seen = play(&fleet);
        let even = seen.evenness(&fleet.listed, 1);
        assert!(even.idle == 0 && even.dispersion < 0.7, "{nodes} over {places}: {even:?}");
    }
}

const FROM: u64 = 20 * SECOND;
const UNTIL: u64 = 35 * SECOND;

fn with(policy: BalancingPolicy, change: impl Fn(&mut Fleet)) -> (Fleet, Seen) {
    let mut fleet = plain(policy, 1);
    (fleet.rate, fleet.first_rate, fleet.work_us) = (6.0, 6.0, 50_000.0);
    (fleet.deadline_us, fleet.seconds) = (2 * SECOND, 60);
    change(&mut fleet);
    let seen = play(&fleet);
    (fleet, seen)
}

fn fault(count: usize, trouble: Trouble) -> Fault {
    Fault { places: (0, count), from_us: FROM, until_us: UNTIL, trouble }
}

#[test]
fn through_each_fault_as_much_is_served_as_with_random_choice_and_the_load_is_even_again_after() {
    type Change = fn(&mut Fleet);
    // Up to a thousandth less than random choice is noise.
    let cases: [(&str, Change, f64); 8] = [
        ("ten are dead", |f| f.faults.push(fault(10, Trouble::Dead)), 0.4),
        (
            "ten are stopped for 5 s",
            |f| f.faults.push(Fault { until_us: FROM + 5 * SECOND, ..fault(10, Trouble::Stopped) }),
            0.4,
        ),
        ("ten are ten times slower", |f| f.faults.push(fault(10, Trouble::Slower(10.0))), 0.9),
        ("five fail at once", |f| f.faults.push(fault(5, Trouble::FailsAtOnce)), 0.4),
        (
            "a third of the nodes are not heard by thirty",
            |f| f.faults.push(fault(30, Trouble::Silent(0.33))),
            0.9,
        ),
        (
            "half are replaced within 7 s",
            |f| {
                f.places = 150;
                f.relists.push(Relist { at_us: FROM, takes_us: 7 * SECOND, places: (50..150).collect() });
                let gone = Fault {
                    places: (0, 50),
                    from_us: FROM + 7 * SECOND,
                    until_us: 999 * SECOND,
                    trouble: Trouble::Dead,
                };
                f.faults.push(gone);
            },
            0.4,
        ),
        ("seven in ten nodes begin anew", |f| f.restarts.push((FROM, 0, 140)), 0.4),
        (
            "thirty are dead and come back at half speed",
            |f| {
                f.faults.push(fault(30, Trouble::Dead));
                let cold = Fault {
                    from_us: UNTIL + 1,
                    until_us: UNTIL + 3 * SECOND,
                    ..fault(30, Trouble::Slower(2.0))
                };
                f.faults.push(cold);
            },
            0.5,
        ),
    ];
    for (name, change, dispersion) in cases {
        let (fleet, ours) = with(BalancingPolicy::LatencyAwareRoundRobin, change);
        let (_, chance) = with(BalancingPolicy::Random, change);
        let listed = fleet.relists.last().map_or(&fleet.listed, |relist| &relist.places);
        let after = ours.evenness(listed, 4);
        assert!(after.idle == 0 && after.dispersion < dispersion, "{name}: {after:?}");
        let (served, by_chance) = (ours.served_between(FROM, UNTIL), chance.served_between(FROM, UNTIL));
        assert!(served > by_chance - 0.003, "{name}: {served} against {by_chance}");
        assert_eq!(ours.served + ours.lost.len(), ours.calls, "{name}: each call ends once");
    }
}

#[test]
fn one_node_with_fifty_times_the_traffic_overloads_no_endpoint() {
    let (fleet, seen) =
        with(BalancingPolicy::LatencyAwareRoundRobin, |fleet| (fleet.first_rate, fleet.rate) = (300.0, 4.5));
    let even = seen.evenness(&fleet.listed, 2);
    assert!(even.max_over_mean < 1.35 && even.idle == 0, "{even:?}");
    assert!(seen.served_between(10 * SECOND, 60 * SECOND) > 0.999);
}

#[test]
fn load_is_even_with_different_cores_and_bimodal_latencies() {
    let (fleet, seen) = with(BalancingPolicy::LatencyAwareRoundRobin, |fleet| {
        (fleet.cores, fleet.weighted) = (vec![1, 2, 3, 4], true);
        (fleet.rate, fleet.first_rate) = (15.0, 15.0);
    });
    let even = seen.evenness(&fleet.listed, 1);
    assert!(even.dispersion < 0.3 && even.max_over_mean < 1.2, "{even:?}");
    let bimodal = |fleet: &mut Fleet| (fleet.long, fleet.work_us) = (20.0, 17_000.0);
    let ((_, ours), (_, chance)) =
        (with(BalancingPolicy::LatencyAwareRoundRobin, bimodal), with(BalancingPolicy::Random, bimodal));
    assert!(ours.served_share() > chance.served_share(), "{} {}", ours.served_share(), chance.served_share());
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let fleet = Fleet { seconds: 20, ..plain(BalancingPolicy::LatencyAwareRoundRobin, 5) };
    let (one, other) = (play(&fleet), play(&fleet));
    assert_eq!((one.took, one.windows), (other.took, other.windows));
}
