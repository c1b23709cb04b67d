//! Measures the cost of choosing an endpoint, alone and as part of a complete call, by the number of endpoints and of
//! idle connections. Run with `cargo bench -p ochrewalk-connection-pool`.

use ochrewalk_connection_pool::{CallResult, ConnectionPool, PoolConfig, ReplyOutcome, Transport};
use ochrewalk_load_balancer::{
    BalancingConfig, BalancingPolicy, CallOutcome, EjectionCause, Endpoint, Idempotency, LoadBalancer,
};
use std::time::Instant;

#[derive(Default)]
struct RecordingTransport {
    connects: Vec<u64>,
    writes: Vec<u64>,
}

impl Transport for RecordingTransport {
    fn connect(&mut self, connection: u64, _slot: usize) {
        self.connects.push(connection);
    }
    fn write(&mut self, connection: u64, _call: u64, _ping_first: bool) {
        self.writes.push(connection);
    }
    fn complete(&mut self, _call: u64, _result: CallResult) {}
    fn close(&mut self, _connection: u64) {}
}

const CALLS: u64 = 200_000;

fn endpoints(count: u64) -> Vec<Endpoint> {
    (0..count).map(Endpoint::new).collect()
}

/// Returns the mean cost of a choice, in nanoseconds, while the first `ejected` endpoints are ejected; their probes fail.
fn choice(policy: BalancingPolicy, endpoint_count: u64, ejected: usize) -> f64 {
    let mut load_balancer = LoadBalancer::new(BalancingConfig { policy, ..BalancingConfig::default() }, 7);
    load_balancer.set_endpoints(0, &endpoints(endpoint_count));
    for slot in 0..ejected {
        (0..3).for_each(|_| load_balancer.record_failure(0, slot, EjectionCause::ConnectFailed));
    }
    let (mut now_us, mut spent_ns) = (0, 0.0);
    for call in 0..CALLS {
        now_us += 100;
        let started = Instant::now();
        let slot =
            load_balancer.pick(now_us, Idempotency::Idempotent, None).expect("some endpoint accepts calls");
        spent_ns += started.elapsed().as_nanos() as f64;
        load_balancer.call_started(now_us, slot, call);
        load_balancer.call_ended(
            now_us + 50,
            slot,
            call,
            if slot < ejected { CallOutcome::ConnectFailed } else { CallOutcome::Succeeded },
        );
    }
    spent_ns / CALLS as f64
}

/// Returns the mean cost of a call from its start to its reply, in nanoseconds, with that many idle connections.
fn complete_call(endpoint_count: u64, connection_count: u64) -> f64 {
    let config = PoolConfig {
        max_connections: connection_count as usize,
        ping_after_idle_us: 1 << 40,
        max_idle_us: 1 << 40,
    };
    let (mut pool, mut transport) =
        (ConnectionPool::new(config, BalancingConfig::default(), 0.1, 7), RecordingTransport::default());
    pool.set_endpoints(0, &endpoints(endpoint_count), &mut transport);
    (0..connection_count).for_each(|call| pool.start_call(0, call, true, 1 << 40, &mut transport));
    for connection in std::mem::take(&mut transport.connects) {
        pool.connected(1, connection, &mut transport);
        pool.replied(2, connection, ReplyOutcome::Succeeded, true, &mut transport);
    }
    transport.writes.clear();
    let started = Instant::now();
    for call in connection_count..connection_count + CALLS {
        let now_us = 100 * call;
        pool.start_call(now_us, call, true, 1 << 40, &mut transport);
        while let Some(connection) = transport.connects.pop() {
            pool.connected(now_us, connection, &mut transport);
        }
        let connection = transport.writes.pop().expect("the call was written");
        pool.replied(now_us + 50, connection, ReplyOutcome::Succeeded, true, &mut transport);
    }
    started.elapsed().as_nanos() as f64 / CALLS as f64
}

fn main() {
    println!(
        "{:>10}{:>14}{:>14}{:>16}{:>16}{:>30}",
        "endpoints", "rounds ns", "fastest ns", "1 ejected ns", "10 % ejected ns", "call ns at connections"
    );
    for (endpoints, connections) in [(10, 100), (100, 1_000), (1_000, 10_000)] {
        let (round_robin, least_latency) = (
            choice(BalancingPolicy::LatencyAwareRoundRobin, endpoints, 0),
            choice(BalancingPolicy::LeastLatency, endpoints, 0),
        );
        let one_ejected = choice(BalancingPolicy::LatencyAwareRoundRobin, endpoints, 1);
        let tenth_ejected =
            choice(BalancingPolicy::LatencyAwareRoundRobin, endpoints, endpoints as usize / 10);
        println!(
            "{endpoints:>10}{round_robin:>14.0}{least_latency:>14.0}{one_ejected:>16.0}{tenth_ejected:>16.0}{:>22.0} {connections:>7}",
            complete_call(endpoints, connections)
        );
    }
}
