//! The connection and the endpoint that a call gets: by table, and in long sequences of random events under invariants.

use ochrewalk_connection_pool::{
    CallResult, ConnectionPool, Disconnect, PoolConfig, ReplyOutcome, Transport,
};
use ochrewalk_load_balancer::{BalancingConfig, BalancingPolicy, Endpoint, OutlierEjection, Subsetting};
use std::collections::{BTreeMap, BTreeSet};

const CONFIG: PoolConfig = PoolConfig { max_connections: 3, ping_after_idle_us: 50, max_idle_us: 1_000 };
const EJECTION: OutlierEjection = OutlierEjection {
    consecutive_failures: 2,
    base_ejection_us: 1_000,
    max_ejection_us: 4_000,
    slow_start_us: 0,
};

#[derive(Default)]
struct RecordingTransport(Vec<String>);

impl RecordingTransport {
    fn take(&mut self) -> String {
        std::mem::take(&mut self.0).join(", ")
    }
}

impl Transport for RecordingTransport {
    fn connect(&mut self, connection: u64, slot: usize) {
        self.0.push(format!("connect {connection} to {slot}"));
    }
    fn write(&mut self, connection: u64, call: u64, ping_first: bool) {
        self.0
            .push(format!("{} {call} on {connection}", if ping_first { "ping-then-write" } else { "write" }));
    }
    fn complete(&mut self, call: u64, result: CallResult) {
        self.0.push(format!("{call} {result:?}"));
    }
    fn close(&mut self, connection: u64) {
        self.0.push(format!("close {connection}"));
    }
}

/// Creates a pool with the least-latency policy, whose choices follow from the reported events and not from a seed.
fn pool_with(count: u64, retry_share: f64, seed: u64) -> ConnectionPool {
    let balancing = BalancingConfig {
        policy: BalancingPolicy::LeastLatency,
        subsetting: Subsetting::All,
        uses_learned_weights: false,
        ejection: EJECTION,
    };
    let mut pool = ConnectionPool::new(CONFIG, balancing, retry_share, seed);
    pool.set_endpoints(
        0,
        &(0..count).map(Endpoint::new).collect::<Vec<_>>(),
        &mut RecordingTransport::default(),
    );
    pool
}

fn pool(count: u64) -> (ConnectionPool, RecordingTransport) {
    (pool_with(count, 0.5, 7), RecordingTransport::default())
}

fn accepting(pool: &ConnectionPool) -> Vec<bool> {
    pool.load_balancer()
        .state()
        .endpoints
        .iter()
        .flatten()
        .map(|endpoint| endpoint.health.accepts_calls())
        .collect()
}

#[test]
fn a_reused_connection_is_pinged_first_for_a_call_that_is_not_idempotent_or_after_a_long_idle_time() {
    for (is_idempotent, idle_us, expected) in [
        (true, 10, "write 2 on 1"),
        (true, 50, "ping-then-write 2 on 1"),
        (false, 0, "ping-then-write 2 on 1"),
    ] {
        let (mut pool, mut transport) = pool(1);
        pool.start_call(0, 1, is_idempotent, 9_999, &mut transport);
        assert_eq!(transport.take(), "connect 1 to 0");
        pool.connected(5, 1, &mut transport);
        assert_eq!(transport.take(), "write 1 on 1", "a new connection needs no ping");
        pool.replied(10, 1, ReplyOutcome::Succeeded, true, &mut transport);
        assert_eq!(transport.take(), "1 Replied");
        pool.start_call(10 + idle_us, 2, is_idempotent, 9_999, &mut transport);
        assert_eq!(transport.take(), expected);
        // The peer dropped the idle connection: no byte of the call was written, so that it moves to a new connection.
        pool.disconnected(10 + idle_us, 1, Disconnect::BeforeWrite, &mut transport);
        assert_eq!(transport.take(), "connect 2 to 0");
        pool.connected(70, 2, &mut transport);
        pool.replied(80, 2, ReplyOutcome::Succeeded, false, &mut transport);
        assert_eq!(transport.take(), "write 2 on 2, close 2, 2 Replied");
        assert_eq!((pool.connection_count(), pool.open_calls()), (0, 0));
    }
}

#[test]
fn a_written_call_is_retried_only_if_it_is_idempotent_and_within_the_retry_budget() {
    let (mut pool, mut transport) = pool(2);
    pool.start_call(0, 1, false, 9_999, &mut transport);
    pool.connected(0, 1, &mut transport);
    pool.disconnected(1, 1, Disconnect::AfterWrite, &mut transport);
    assert_eq!(transport.take(), "connect 1 to 0, write 1 on 1, 1 Broken");
    pool.start_call(2, 2, true, 9_999, &mut transport);
    transport.take();
    pool.connected(2, 2, &mut transport);
    pool.disconnected(3, 2, Disconnect::AfterWrite, &mut transport);
    assert_eq!(transport.take(), "write 2 on 2, connect 3 to 1", "at the other endpoint");
    // After its deadline the call is not retried.
    pool.connected(4, 3, &mut transport);
    pool.disconnected(10_000, 3, Disconnect::AfterWrite, &mut transport);
    assert_eq!(transport.take(), "write 2 on 3, 2 Broken");
    // Without a retry budget a written call is not retried.
    let mut no_retries = pool_with(2, 0.0, 7);
    no_retries.start_call(0, 1, true, 9_999, &mut transport);
    no_retries.connected(0, 1, &mut transport);
    no_retries.disconnected(1, 1, Disconnect::AfterWrite, &mut transport);
    assert_eq!(transport.take(), "connect 1 to 0, write 1 on 1, 1 Broken");
    // A call that was never written moves without a budget, until no endpoint accepts it.
    no_retries.start_call(2, 2, false, 9_999, &mut transport);
    assert_eq!(transport.take(), "connect 2 to 0");
    for (connection, next) in [(2, "connect 3 to 1"), (3, "connect 4 to 1"), (4, "2 Unsent")] {
        no_retries.disconnected(3, connection, Disconnect::ConnectFailed, &mut transport);
        assert_eq!(transport.take(), next);
    }
}

/// The number of idempotent calls until the probe, with the seed of the test below. Each earns a tenth of a probe, so that
/// the number is at most ten.
const CALLS_UNTIL_PROBE: u64 = 5;

#[test]
fn an_ejected_endpoint_gets_no_calls_but_one_earned_probe_at_a_time() {
    let (mut pool, mut transport) = pool(2);
    // Connections to the first endpoint fail twice in a row; the second endpoint replies.
    pool.start_call(0, 100, false, 500, &mut transport);
    pool.disconnected(0, 1, Disconnect::ConnectFailed, &mut transport);
    assert_eq!(transport.take(), "connect 1 to 0, connect 2 to 1");
    pool.connected(0, 2, &mut transport);
    pool.replied(1, 2, ReplyOutcome::Succeeded, true, &mut transport);
    transport.take();
    pool.start_call(2, 101, false, 500, &mut transport);
    assert_eq!(transport.take(), "ping-then-write 101 on 2", "the faster one");
    pool.start_call(2, 102, false, 500, &mut transport);
    assert_eq!(transport.take(), "connect 3 to 0", "the one with fewer calls in flight");
    pool.disconnected(2, 3, Disconnect::ConnectFailed, &mut transport);
    assert_eq!(transport.take(), "connect 4 to 1");
    assert_eq!(accepting(&pool), [false, true]);
    let until = pool.load_balancer().next_probe_us().unwrap();
    assert!((752..=1_252).contains(&until), "within 25 % of the base ejection time: {until}");
    // An ejected endpoint gets no calls, however busy the other is.
    pool.start_call(3, 103, true, 500, &mut transport);
    assert_eq!(transport.take(), "connect 5 to 1");
    pool.connected(3, 4, &mut transport);
    pool.connected(3, 5, &mut transport);
    [2, 4, 5]
        .iter()
        .for_each(|connection| pool.replied(4, *connection, ReplyOutcome::Succeeded, true, &mut transport));
    transport.take();
    // The ejection time is over: a tenth of the idempotent calls that the endpoint would get are probes. The only other
    // endpoint takes all calls, so that one call in ten is a probe, from a point on that the seed selects.
    pool.start_call(1_300, 104, false, 9_999, &mut transport);
    assert!(
        transport.take().starts_with("ping-then-write 104"),
        "a call that is not idempotent is no probe while others accept it"
    );
    let mut probe = 105;
    loop {
        pool.start_call(1_300, probe, true, 9_999, &mut transport);
        let actions = transport.take();
        if actions == "close 2, connect 6 to 0" {
            break;
        }
        let connection = actions.rsplit(' ').next().unwrap().parse().unwrap();
        assert!(actions.ends_with(&format!(" {probe} on {connection}")), "on an idle connection: {actions}");
        pool.replied(1_300, connection, ReplyOutcome::Succeeded, true, &mut transport);
        assert_eq!(transport.take(), format!("{probe} Replied"));
        probe += 1;
    }
    assert_eq!(probe - 104, CALLS_UNTIL_PROBE, "an idle connection is closed for the probe");
    // At most one probe is in flight, however many calls start.
    for call in 200..200 + 3 * 10 {
        pool.start_call(1_300, call, true, 9_999, &mut transport);
        let actions = transport.take();
        assert!(actions.contains(&format!(" {call} on ")), "one probe at a time: {actions}");
        pool.replied(
            1_300,
            actions.rsplit(' ').next().unwrap().parse().unwrap(),
            ReplyOutcome::Succeeded,
            true,
            &mut transport,
        );
        transport.take();
    }
    assert_eq!(accepting(&pool), [false, true]);
    pool.connected(1_301, 6, &mut transport);
    pool.replied(1_302, 6, ReplyOutcome::Succeeded, true, &mut transport);
    assert_eq!(accepting(&pool), [true, true]);
}

#[test]
fn calls_wait_for_a_free_connection_and_end_unsent_at_their_deadline() {
    let (mut pool, mut transport) = pool(1);
    for call in 1..=3 {
        pool.start_call(0, call, true, 100, &mut transport);
    }
    pool.start_call(0, 4, true, 100, &mut transport);
    pool.start_call(0, 5, true, 90, &mut transport);
    assert_eq!(transport.take(), "connect 1 to 0, connect 2 to 0, connect 3 to 0");
    (1..=3).for_each(|connection| pool.connected(1, connection, &mut transport));
    transport.take();
    pool.replied(2, 2, ReplyOutcome::Succeeded, true, &mut transport);
    assert_eq!(transport.take(), "2 Replied, write 4 on 2", "oldest first");
    pool.tick(90, &mut transport);
    assert_eq!(transport.take(), "5 Unsent");
    // A cancelled call frees a connection; its own is closed, as the reply may still arrive.
    pool.start_call(91, 6, true, 200, &mut transport);
    pool.cancel(92, 1, &mut transport);
    assert_eq!(transport.take(), "close 1, connect 4 to 0");
    // A connection that has been idle for too long is closed.
    pool.replied(95, 3, ReplyOutcome::Succeeded, true, &mut transport);
    transport.take();
    pool.tick(1_094, &mut transport);
    assert_eq!(transport.take(), "");
    pool.tick(1_095, &mut transport);
    assert_eq!(transport.take(), "close 3");
}

/// The expected state of the pool in a random run.
#[derive(Default)]
struct Model {
    /// Established connections without a call; `connecting` has those not yet established, `busy` those with a call.
    idle: BTreeSet<u64>,
    connecting: BTreeSet<u64>,
    busy: BTreeMap<u64, u64>,
    idempotent: BTreeMap<u64, bool>,
    written: BTreeMap<u64, u32>,
    completed: BTreeSet<u64>,
    cancelled: BTreeSet<u64>,
    violations: Vec<String>,
}

impl Transport for Model {
    fn connect(&mut self, connection: u64, _slot: usize) {
        self.connecting.insert(connection);
    }
    fn write(&mut self, connection: u64, call: u64, ping_first: bool) {
        if !self.idle.remove(&connection) || self.busy.insert(connection, call).is_some() {
            self.violations.push(format!("{call} written on {connection}, which is not idle"));
        }
        if !ping_first {
            self.record_written(call);
        }
    }
    fn complete(&mut self, call: u64, _result: CallResult) {
        if !self.completed.insert(call) || self.cancelled.contains(&call) {
            self.violations.push(format!("{call} completed again"));
        }
    }
    fn close(&mut self, connection: u64) {
        self.idle.remove(&connection);
        self.busy.remove(&connection);
    }
}

impl Model {
    fn record_written(&mut self, call: u64) {
        let count = self.written.entry(call).or_default();
        *count += 1;
        if *count > 1 && !self.idempotent[&call] {
            self.violations.push(format!("{call} written twice"));
        }
    }
}

#[test]
fn in_any_sequence_of_events_each_call_completes_once_and_only_idempotent_ones_are_written_twice() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut model = Model::default();
        let mut pool = pool_with(1 + seed % 3, 0.2, seed);
        let (mut now, mut calls) = (0, 0);
        for _ in 0..300 {
            now += rng.u64(0..60);
            let draw = |rng: &mut fastrand::Rng, items: Vec<u64>| {
                items.get(rng.usize(0..items.len().max(1))).copied()
            };
            let busy: Vec<u64> = model.busy.keys().copied().collect();
            match rng.u32(0..10) {
                0..=3 => {
                    calls += 1;
                    let is_idempotent = rng.bool();
                    model.idempotent.insert(calls, is_idempotent);
                    pool.start_call(now, calls, is_idempotent, now + rng.u64(1..400), &mut model);
                }
                4 => {
                    if let Some(connection) = draw(&mut rng, model.connecting.iter().copied().collect()) {
                        model.connecting.remove(&connection);
                        if rng.bool() {
                            model.idle.insert(connection);
                            pool.connected(now, connection, &mut model);
                        } else {
                            pool.disconnected(now, connection, Disconnect::ConnectFailed, &mut model);
                        }
                    }
                }
                5 | 6 => {
                    if let Some(connection) = draw(&mut rng, busy) {
                        let is_reusable = rng.bool();
                        let call = model.busy.remove(&connection).unwrap();
                        // The call waited for a ping: the pong arrived, and the call was written.
                        if !model.written.contains_key(&call) {
                            model.record_written(call);
                        }
                        if is_reusable {
                            model.idle.insert(connection);
                        }
                        let outcome =
                            if rng.u32(0..5) == 0 { ReplyOutcome::TimedOut } else { ReplyOutcome::Succeeded };
                        pool.replied(now, connection, outcome, is_reusable, &mut model);
                    }
                }
                7 => {
                    if let Some(connection) = draw(&mut rng, busy) {
                        let call = model.busy.remove(&connection).unwrap();
                        // A call that still waits for a ping has not been written.
                        let disconnect = if model.written.contains_key(&call) {
                            Disconnect::AfterWrite
                        } else {
                            Disconnect::PingTimedOut
                        };
                        pool.disconnected(now, connection, disconnect, &mut model);
                    }
                }
                8 => {
                    let open: Vec<u64> = (1..=calls).filter(|call| !model.completed.contains(call)).collect();
                    if let Some(call) = draw(&mut rng, open) {
                        if model.cancelled.insert(call) {
                            pool.cancel(now, call, &mut model);
                        }
                    }
                }
                _ => pool.tick(now, &mut model),
            }
            if pool.connection_count() > CONFIG.max_connections {
                model.violations.push(format!("{} connections", pool.connection_count()));
            }
            assert!(model.violations.is_empty(), "seed {seed}: {:?}", model.violations);
        }
        // Once every connection has ended and the deadlines have passed, all calls are completed.
        for _ in 0..40 {
            now += 500;
            for connection in std::mem::take(&mut model.connecting) {
                pool.disconnected(now, connection, Disconnect::ConnectFailed, &mut model);
            }
            for connection in std::mem::take(&mut model.busy).into_keys() {
                pool.disconnected(now, connection, Disconnect::AfterWrite, &mut model);
            }
            pool.tick(now, &mut model);
        }
        assert_eq!(pool.open_calls(), 0, "seed {seed}");
        assert!(
            pool.load_balancer().state().endpoints.iter().flatten().all(|endpoint| endpoint.in_flight() == 0),
            "seed {seed}"
        );
        assert_eq!(
            model.completed.len() + model.cancelled.len(),
            calls as usize,
            "seed {seed}: {:?}",
            model.violations
        );
    }
}
