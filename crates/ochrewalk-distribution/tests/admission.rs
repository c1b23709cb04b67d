//! The order and the rate in which subscribers are caught up, and the time after which others retry, in virtual time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;

use common::*;
use ochrewalk_distribution::messages::{Resource, Subscribe};
use ochrewalk_distribution::{
    Admission, CatchUpLimits, Interest, NextUpdate, Received, Server, ServerLimits, Store, StoreLimits,
    SubscriberId,
};
use prost::Message;

const CATCH_UP: CatchUpLimits = CatchUpLimits {
    bytes_per_second: 100_000,
    small_update_bytes: 2_000,
    max_concurrent: 8,
    max_backlog_ms: 2_000,
    max_waiting: 1_000,
};

fn limits() -> ServerLimits {
    ServerLimits { chunk_bytes: 4_096, catch_up: CATCH_UP, ..ServerLimits::default() }
}

/// A publisher with scopes `scope-0` to `scope-9` of 100 to 1,000 quotas.
fn publisher_of_ten_scopes() -> Server {
    let mut server = publisher();
    for scope in 0..10 {
        let count = 100 * (scope + 1);
        let name = format!("scope-{scope}");
        let changes: Vec<Resource> =
            (0..count).map(|n| quota(&name, &format!("tenant-{n:04}"), 1.0)).collect();
        publish(&mut server, &changes);
    }
    server
}

/// Returns a relay that has all resources of `server`.
fn relay_of(server: &mut Server) -> Server {
    let mut relay = Node::new("relay", Interest::everything());
    relay.connect(server);
    relay.catch_up(server);
    Server::new("relay", "north", relay.store, limits())
}

fn message(node: &str, scope: usize) -> Subscribe {
    Node::new(node, Interest::scopes([format!("scope-{scope}")])).subscription.subscribe_message()
}

fn retry_after_ms(admission: Admission) -> u64 {
    match admission {
        Admission::RetryLater { after_ms } => after_ms,
        other => panic!("{other:?}"),
    }
}

/// Admits subscribers of the largest scope until no more are admitted.
fn fill(relay: &mut Server) -> Vec<SubscriberId> {
    let mut admitted = Vec::new();
    loop {
        match relay.subscribe(0, message(&format!("large-{}", admitted.len()), 9)) {
            Admission::Accepted(id) => admitted.push(id),
            _ => return admitted,
        }
    }
}

#[test]
fn few_large_snapshots_are_admitted_and_smaller_ones_while_there_is_capacity() {
    let mut relay = relay_of(&mut publisher_of_ten_scopes());
    let admitted = fill(&mut relay);
    assert!((1..8).contains(&admitted.len()), "{}", admitted.len());
    assert!(matches!(relay.subscribe(0, message("smaller", 0)), Admission::Accepted(_)));
    retry_after_ms(relay.subscribe(0, message("larger", 9)));
}

#[test]
fn small_differences_are_always_admitted() {
    let mut server = publisher_of_ten_scopes();
    let mut node = Node::new("node", Interest::scopes(["scope-9"]));
    node.connect(&mut server);
    node.catch_up(&mut server);
    publish(&mut server, &[quota("scope-9", "tenant-0001", 2.0)]);
    let mut relay = relay_of(&mut server);
    fill(&mut relay);
    for n in 0..100 {
        let large = relay.subscribe(0, message(&format!("node-{n}"), 9));
        assert!(matches!(large, Admission::RetryLater { .. }));
        let message = Subscribe { node: format!("node-{n}"), ..node.subscription.subscribe_message() };
        assert!(matches!(relay.subscribe(0, message), Admission::Accepted(_)));
    }
}

#[test]
fn the_time_to_retry_grows_with_the_waiting_subscribers_and_differs_by_node() {
    let mut relay = relay_of(&mut publisher_of_ten_scopes());
    fill(&mut relay);
    let times: Vec<u64> =
        (0..50).map(|n| retry_after_ms(relay.subscribe(0, message(&format!("node-{n}"), 5)))).collect();
    assert!(times[49] > 4 * times[0], "{times:?}");
    let mut sorted = times.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert!(sorted.len() > 45, "{times:?}");
    // Subscribers with less to fetch do not wait for those with more.
    let smaller = retry_after_ms(relay.subscribe(0, message("smaller", 4)));
    let larger = retry_after_ms(relay.subscribe(0, message("larger", 9)));
    assert!(smaller * 4 < larger, "{smaller} {larger}");
}

#[test]
fn a_relay_without_state_admits_no_subscriber() {
    let store = Store::new(0, StoreLimits::default());
    let mut relay = Server::new("relay", "north", store, limits());
    for n in 0..10 {
        let after_ms = retry_after_ms(relay.subscribe(0, message(&format!("node-{n}"), 0)));
        assert!((500..2_000).contains(&after_ms));
    }
    let mut ahead = message("ahead", 0);
    (ahead.applied, ahead.highest_epoch) = (Some(position(3, 7)), 3);
    retry_after_ms(relay.subscribe(0, ahead));
    assert!(!relay.store().is_fenced());
}

#[test]
fn a_subscriber_with_a_large_snapshot_is_admitted_when_no_other_is() {
    let mut server = publisher_of_ten_scopes();
    let mut relay = relay_of(&mut server);
    let everything = Node::new("everything", Interest::everything()).subscription.subscribe_message();
    let Admission::Accepted(id) = relay.subscribe(0, everything.clone()) else { panic!() };
    retry_after_ms(relay.subscribe(0, Subscribe { node: "second".into(), ..everything.clone() }));
    relay.unsubscribe(id);
    assert!(matches!(relay.subscribe(0, everything), Admission::Accepted(_)));
}

/// A subscriber of a relay that was restarted.
struct WaitingSubscriber {
    node: Node,
    scope: usize,
    /// The time at which the subscriber connects, or requests the next part.
    at_us: u64,
    served_at_us: Option<u64>,
}

impl WaitingSubscriber {
    fn new(n: usize) -> Self {
        let scope = n % 10;
        let node = Node::new(&format!("node-{n}"), Interest::scopes([format!("scope-{scope}")]));
        Self { node, scope, at_us: 0, served_at_us: None }
    }

    /// Runs one step at its time. Returns how many bytes the relay sent in it.
    fn step(&mut self, relay: &mut Server, now_us: u64) -> usize {
        let Some(id) = self.node.id else {
            if let Admission::RetryLater { after_ms } = self.node.try_connect(relay, now_us) {
                self.at_us = now_us + after_ms * 1_000;
            }
            return 0;
        };
        match relay.next(id, now_us) {
            NextUpdate::Wait { until_us } => self.at_us = until_us,
            NextUpdate::Idle => self.served_at_us = Some(now_us),
            NextUpdate::Send(part) => {
                let bytes = part.encoded_len();
                if let Received::Complete(update) = self.node.subscription.received(part).unwrap() {
                    self.node.apply(relay, &update);
                }
                return bytes;
            }
        }
        0
    }
}

#[test]
fn an_empty_restarted_relay_serves_a_hundred_subscribers_in_order_at_a_bounded_rate() {
    let mut server = publisher_of_ten_scopes();
    let full = relay_of(&mut server);
    let mut relay = Server::new("relay", "north", Store::new(0, StoreLimits::default()), limits());
    let mut waiting: Vec<WaitingSubscriber> = (0..100).map(WaitingSubscriber::new).collect();
    let (mut sent, mut steps) = (0_u64, 0);
    while let Some(next) =
        waiting.iter_mut().filter(|one| one.served_at_us.is_none()).min_by_key(|one| one.at_us)
    {
        let now_us = next.at_us;
        // The relay has its own state after one second.
        if now_us >= SECOND_US && relay.store().position().epoch == 0 {
            *relay.store_mut() = full.store().clone();
        }
        sent += next.step(&mut relay, now_us) as u64;
        let allowed = CATCH_UP.bytes_per_second * now_us / SECOND_US + 4_096 + 1;
        assert!(sent <= allowed, "{sent} bytes after {now_us} us");
        steps += 1;
        assert!(steps < 1_000_000, "not all are served");
    }
    for one in &waiting {
        one.node.assert_equals(server.store());
    }
    let mut times: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for one in &waiting {
        times.entry(one.scope).or_default().push(one.served_at_us.unwrap() / 1_000);
    }
    let means: Vec<u64> =
        times.values().map(|times| times.iter().sum::<u64>() / times.len() as u64).collect();
    let last_ms = times.values().flatten().max().unwrap();
    println!("{sent} bytes, the last after {last_ms} ms, mean by size {means:?} ms, {steps} steps");
    // Subscribers with the least to fetch are served first.
    let small = means[..3].iter().sum::<u64>();
    let large = means[7..].iter().sum::<u64>();
    assert!(small * 2 < large, "{means:?}");
    // The catch-up rate is used most of the time.
    let shortest_ms = sent * 1_000 / CATCH_UP.bytes_per_second;
    assert!(*last_ms < 3 * shortest_ms, "{last_ms} {shortest_ms}");
}
