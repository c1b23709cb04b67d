//! What a choice costs, alone and with the connection's part, by the number of places and of connections kept.
//! `cargo bench -p ochrewalk-connection-pool`

use ochrewalk_connection_pool::{CallResult, ConnectionPool, PoolConfig, ReplyOutcome, Transport};
use ochrewalk_load_balancer::{
    BalancingConfig, BalancingPolicy, CallOutcome, EjectionCause, Endpoint, Idempotency, LoadBalancer,
};
use std::time::Instant;

#[derive(Default)]
struct Last {
    connects: Vec<u64>,
    writes: Vec<u64>,
}

impl Transport for Last {
    fn connect(&mut self, link: u64, _place: usize) {
        self.connects.push(link);
    }
    fn write(&mut self, link: u64, _call: u64, _prove: bool) {
        self.writes.push(link);
    }
    fn complete(&mut self, _call: u64, _end: CallResult) {}
    fn close(&mut self, _link: u64) {}
}

const ROUNDS: u64 = 200_000;

fn listed(places: u64) -> Vec<Endpoint> {
    (0..places).map(Endpoint::new).collect()
}

/// The mean cost of a choice while the first `out` endpoints are out; their probes fail.
fn choice(policy: BalancingPolicy, places: u64, out: usize) -> f64 {
    let mut spread = LoadBalancer::new(BalancingConfig { policy, ..BalancingConfig::default() }, 7);
    spread.set_endpoints(0, &listed(places));
    for slot in 0..out {
        (0..3).for_each(|_| spread.record_failure(0, slot, EjectionCause::ConnectFailed));
    }
    let (mut now_us, mut spent) = (0, 0.0);
    for call in 0..ROUNDS {
        now_us += 100;
        let from = Instant::now();
        let slot = spread.pick(now_us, Idempotency::Idempotent, None).expect("all take");
        spent += from.elapsed().as_nanos() as f64;
        spread.call_started(now_us, slot, call);
        spread.call_ended(
            now_us + 50,
            slot,
            call,
            if slot < out { CallOutcome::ConnectFailed } else { CallOutcome::Succeeded },
        );
    }
    spent / ROUNDS as f64
}

/// A call from its placing to its answer's end, with so many connections kept.
fn whole(places: u64, links: u64) -> f64 {
    let bounds =
        PoolConfig { max_connections: links as usize, ping_after_idle_us: 1 << 40, max_idle_us: 1 << 40 };
    let (mut all, mut wire) =
        (ConnectionPool::new(bounds, BalancingConfig::default(), 0.1, 7), Last::default());
    all.set_endpoints(0, &listed(places), &mut wire);
    (0..links).for_each(|call| all.start_call(0, call, true, 1 << 40, &mut wire));
    for link in std::mem::take(&mut wire.connects) {
        all.connected(1, link, &mut wire);
        all.replied(2, link, ReplyOutcome::Succeeded, true, &mut wire);
    }
    wire.writes.clear();
    let from = Instant::now();
    for call in links..links + ROUNDS {
        let now_us = 100 * call;
        all.start_call(now_us, call, true, 1 << 40, &mut wire);
        while let Some(link) = wire.connects.pop() {
            all.connected(now_us, link, &mut wire);
        }
        let link = wire.writes.pop().expect("written");
        all.replied(now_us + 50, link, ReplyOutcome::Succeeded, true, &mut wire);
    }
    from.elapsed().as_nanos() as f64 / ROUNDS as f64
}

fn main() {
    println!(
        "{:>8}{:>14}{:>14}{:>16}{:>16}{:>26}",
        "places", "rounds ns", "fastest ns", "one out ns", "tenth out ns", "whole call ns at links"
    );
    for (places, links) in [(10, 100), (100, 1_000), (1_000, 10_000)] {
        let (ours, before) = (
            choice(BalancingPolicy::LatencyAwareRoundRobin, places, 0),
            choice(BalancingPolicy::LeastLatency, places, 0),
        );
        let one_out = choice(BalancingPolicy::LatencyAwareRoundRobin, places, 1);
        let tenth_out = choice(BalancingPolicy::LatencyAwareRoundRobin, places, places as usize / 10);
        println!(
            "{places:>8}{ours:>14.0}{before:>14.0}{one_out:>16.0}{tenth_out:>16.0}{:>18.0} {links:>7}",
            whole(places, links)
        );
    }
}
