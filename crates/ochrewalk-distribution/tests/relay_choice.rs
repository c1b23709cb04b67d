//! The choice and the time of the relay that a node connects to.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use ochrewalk_distribution::{Choice, NoRelays, ProbeResult, RelayChoice, RelayChoiceLimits};
use proptest::prelude::*;

const LIMITS: RelayChoiceLimits = RelayChoiceLimits {
    min_backoff_us: 100,
    max_backoff_us: 10_000,
    min_healthy_us: 50_000,
    return_jitter_us: 20_000,
};

fn relays(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("relay-{n}")).collect()
}

fn choice(node: &str, count: usize) -> RelayChoice {
    RelayChoice::new(node, relays(count), LIMITS, 7).unwrap()
}

fn connect(choice: &mut RelayChoice, now_us: u64) -> String {
    match choice.next(now_us) {
        Choice::Connect { relay } => relay.to_string(),
        Choice::Wait { until_us } => panic!("the node waits until {until_us}"),
    }
}

#[test]
fn a_node_without_relays_is_refused() {
    assert_eq!(RelayChoice::new("node", Vec::new(), LIMITS, 7), Err(NoRelays));
}

#[test]
fn nodes_are_spread_evenly_over_first_and_second_relays() {
    let mut firsts: BTreeMap<String, usize> = BTreeMap::new();
    let mut seconds: BTreeMap<String, usize> = BTreeMap::new();
    for n in 0..2_500 {
        let choice = choice(&format!("node-{n}"), 5);
        let order: Vec<&str> = choice.order().collect();
        *firsts.entry(order[0].into()).or_default() += 1;
        *seconds.entry(order[1].into()).or_default() += 1;
    }
    for counts in [firsts, seconds] {
        assert!(counts.len() == 5 && counts.values().all(|count| (400..600).contains(count)), "{counts:?}");
    }
}

#[test]
fn the_nodes_of_a_relay_that_fails_are_spread_over_all_others() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for n in 0..2_500 {
        let mut choice = choice(&format!("node-{n}"), 5);
        if connect(&mut choice, 0) == "relay-0" {
            choice.failed(0);
            *counts.entry(connect(&mut choice, 0)).or_default() += 1;
        }
    }
    assert!(counts.len() == 4 && counts.values().all(|count| (80..180).contains(count)), "{counts:?}");
}

#[test]
fn the_order_does_not_depend_on_the_list_and_few_nodes_move_when_a_relay_is_added() {
    let mut moved = 0;
    for n in 0..1_000 {
        let node = format!("node-{n}");
        let mut reversed = relays(5);
        reversed.reverse();
        let other = RelayChoice::new(&node, reversed, LIMITS, 9).unwrap();
        let five = choice(&node, 5);
        assert!(five.order().eq(other.order()));
        let six = choice(&node, 6);
        assert!(six.order().filter(|relay| *relay != "relay-5").eq(five.order()));
        moved += usize::from(six.current() != five.current());
    }
    assert!((100..240).contains(&moved), "{moved}");
}

#[test]
fn the_next_relay_is_attempted_after_a_failure_and_all_back_off_exponentially() {
    let mut choice = choice("node", 2);
    let order: Vec<String> = choice.order().map(Into::into).collect();
    assert_eq!(connect(&mut choice, 0), order[0]);
    choice.failed(0);
    assert_eq!(connect(&mut choice, 0), order[1]);
    choice.failed(0);
    let mut now_us = 0;
    let mut waits = Vec::new();
    for _ in 0..24 {
        if let Choice::Wait { until_us } = choice.next(now_us) {
            waits.push(until_us - now_us);
            now_us = until_us;
        }
        connect(&mut choice, now_us);
        choice.failed(now_us);
    }
    let longest = *waits.iter().max().unwrap();
    assert!(waits[0] <= 100 && longest > 1_000 && longest <= 10_000, "{waits:?}");
}

#[test]
fn a_relay_that_asks_to_retry_later_is_not_attempted_before() {
    let mut choice = choice("node", 1);
    connect(&mut choice, 0);
    choice.retry_later(0, 3_000);
    assert_eq!(choice.next(1), Choice::Wait { until_us: 3_000 });
    connect(&mut choice, 3_000);
}

/// Returns a node that is connected to its second relay, because its first relay failed at time 0.
fn on_second_relay(node: &str, seed: u64) -> RelayChoice {
    let mut choice = RelayChoice::new(node, relays(3), LIMITS, seed).unwrap();
    connect(&mut choice, 0);
    choice.failed(0);
    connect(&mut choice, 0);
    choice.connected();
    choice
}

/// Probes the first relay whenever a probe is due. Returns the time at which the node returns to that relay.
fn return_time_us(choice: &mut RelayChoice, is_healthy: impl Fn(u64) -> bool) -> u64 {
    for now_us in (0..1_000_000).step_by(50) {
        if choice.probe_due(now_us).is_some() {
            let result = if is_healthy(now_us) { ProbeResult::Healthy } else { ProbeResult::Unhealthy };
            choice.probed(result, now_us);
        }
        if choice.should_return(now_us) {
            choice.returned();
            return now_us;
        }
    }
    panic!("the node does not return to its first relay");
}

#[test]
fn nodes_return_to_a_healthy_first_relay_after_a_jittered_delay() {
    let mut times = Vec::new();
    for seed in 0..200 {
        let mut choice = on_second_relay("node", seed);
        let time_us = return_time_us(&mut choice, |_| true);
        assert!((50_000..=70_200).contains(&time_us), "{time_us}");
        assert!(!choice.should_return(time_us) && choice.probe_due(time_us).is_none());
        assert_eq!(Some(choice.current()), choice.order().next());
        times.push(time_us);
    }
    let early = times.iter().filter(|time_us| **time_us < 60_000).count();
    assert!((60..140).contains(&early), "{early}");
}

#[test]
fn a_first_relay_that_fails_a_probe_has_to_be_healthy_for_the_full_time_again() {
    let mut choice = on_second_relay("node", 7);
    let time_us = return_time_us(&mut choice, |now_us| !(40_000..60_000).contains(&now_us));
    assert!(time_us >= 110_000, "{time_us}");
}

proptest! {
    #[test]
    fn a_node_always_connects_or_waits_a_bounded_time(
        events in proptest::collection::vec((any::<bool>(), 0..5_000_u64), 1..80),
        count in 1..5_usize,
        seed in any::<u64>(),
    ) {
        let mut choice = RelayChoice::new("node", relays(count), LIMITS, seed).unwrap();
        let mut now_us = 0;
        for (is_healthy, later_us) in events {
            now_us += later_us;
            if let Choice::Wait { until_us } = choice.next(now_us) {
                prop_assert!(until_us > now_us && until_us <= now_us + LIMITS.max_backoff_us);
                now_us = until_us;
            }
            let connects = matches!(choice.next(now_us), Choice::Connect { .. });
            prop_assert!(connects);
            if is_healthy {
                choice.connected();
            }
            choice.failed(now_us);
        }
    }
}
