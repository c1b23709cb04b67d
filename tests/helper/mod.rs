//! Test support: a host that records the actions of a controller, and a small server with a controller and a clock.
#![allow(dead_code)]

use ochrewalk::admission::{AdmissionConfig, AdmissionController};
use ochrewalk::host::*;

/// A host that records actions as text, the number of timers set, and the time limit of the last call, in this order.
#[derive(Default)]
pub struct RecordingHost(pub Vec<String>, pub u64, pub u64);

impl Host for RecordingHost {
    fn start(&mut self, id: &str) {
        self.0.push(format!("run {id}"));
    }
    fn stop(&mut self, id: &str) {
        self.0.push(format!("stop {id}"));
    }
    fn reject(&mut self, id: &str, rejection: Rejection) {
        let advice = if rejection.retry == Retry::DoNotRetry { " last" } else { "" };
        self.0.push(format!("reject {id}{advice}"));
    }
    fn abort(&mut self, id: &str) {
        self.0.push(format!("abort {id}"));
    }
    fn place_call(&mut self, id: &str, until_us: u64) {
        self.2 = until_us;
        self.0.push(format!("call {id}"));
    }
    fn skip_call(&mut self, id: &str) {
        self.0.push(format!("skip {id}"));
    }
    fn remember_key(&mut self, id: &str, ttl_us: u64) {
        self.0.push(format!("remember {id} {ttl_us}"));
    }
    fn forget_key(&mut self, id: &str) {
        self.0.push(format!("forget {id}"));
    }
    fn share_outcome(&mut self, id: &str) {
        self.0.push(format!("share {id}"));
    }
    fn set_readiness(&mut self, readiness: Readiness) {
        self.0.push(format!("ready {}", readiness == Readiness::Ready));
    }
    fn send_load_signal(&mut self, value: f64) {
        self.0.push(format!("signal {value:.2}"));
    }
    fn close_idle_connections(&mut self, idle_us: u64) {
        self.0.push(format!("idle {idle_us}"));
    }
    fn set_timer(&mut self, _at_us: u64, _token: u64) {
        self.1 += 1;
    }
}

/// The methods of most tests, by position: idempotent, with an idempotency key, non-idempotent, and idempotent with
/// calls that may be skipped.
pub const IDEMPOTENT: usize = 0;
pub const WITH_KEY: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;
pub const SKIPPABLE: usize = 3;

pub fn method(effect: Effect, value_without_call: f64) -> Method {
    Method {
        criticality: 1.0,
        latency_target_us: 4_000_000,
        target_stretch: 0.0,
        deadline_us: 10_000_000,
        effect,
        key_window_us: 20_000_000,
        makes_calls: true,
        value_without_call,
    }
}

pub struct Server {
    pub controller: AdmissionController<RecordingHost>,
    pub now: u64,
}

/// The configuration of a test's server. The default has six cores, memory for 100 running requests that take 1 kB each
/// while queued, and a tier upstream.
pub struct TestConfig {
    pub machine: Machine,
    pub survivable_load: SurvivableLoad,
    pub methods: Vec<Method>,
    pub upstream: Upstream,
    pub signal: SignalKind,
    pub mark_retries: bool,
}

impl Default for TestConfig {
    fn default() -> TestConfig {
        TestConfig {
            machine: Machine {
                cores: 6,
                memory_kb: 1_000.0,
                run_memory_factor: 10.0,
                key_kb: 5.0,
                stopping: Stopping::Pause,
                max_connection_idle_us: 30_000_000,
            },
            survivable_load: SurvivableLoad {
                requests_per_core: 5.0,
                is_cold: false,
                min_cold_speed: 0.25,
                warm_within_us: 10_000_000,
            },
            methods: vec![
                method(Effect::Idempotent, 0.0),
                method(Effect::WithKey, 0.0),
                method(Effect::NonIdempotent, 0.0),
                method(Effect::Idempotent, 0.5),
            ],
            upstream: Upstream::Tier,
            signal: SignalKind::Weight,
            mark_retries: true,
        }
    }
}

impl TestConfig {
    pub fn start(self) -> Server {
        let callers = Callers {
            signal: self.signal,
            count: 4,
            mark_retries: self.mark_retries,
            max_retry_after_us: 1_000_000,
        };
        let quotas = QuotaSettings { counts_by_work: true, over_quota_value: 0.1, servers: 10 };
        let mut server = Server {
            controller: AdmissionController::start(
                RecordingHost::default(),
                0,
                7,
                AdmissionConfig {
                    machine: self.machine,
                    survivable_load: self.survivable_load,
                    methods: self.methods.into(),
                    upstream: self.upstream,
                    callers,
                    quotas,
                    drain_grace_us: 2_000_000,
                },
            ),
            now: 0,
        };
        server.take_actions();
        server
    }
}

pub fn rpc(id: &str, method: usize) -> Arrival {
    Arrival {
        id: id.into(),
        method,
        memory_kb: 1.0,
        queued_us: 0,
        time_left_us: None,
        work_hint_us: Some(100_000),
        repeats: None,
        is_retry: false,
        tenant: None,
    }
}

impl Server {
    pub fn arrive(&mut self, id: &str, method: usize) -> Vec<String> {
        self.arrive_with(rpc(id, method))
    }

    pub fn arrive_with(&mut self, arrival: Arrival) -> Vec<String> {
        self.controller.request_arrived(self.now, arrival);
        self.decide()
    }

    /// Advances the clock to `now`, then lets the controller decide.
    pub fn decide_at(&mut self, now: u64) -> Vec<String> {
        self.now = now;
        self.decide()
    }

    pub fn decide(&mut self) -> Vec<String> {
        self.controller.decide(self.now);
        self.take_actions()
    }

    pub fn end_run(&mut self, id: &str) -> Vec<String> {
        self.controller.run_ended(self.now, id, Outcome::Ok);
        self.decide()
    }

    pub fn need_call(&mut self, id: &str) -> Vec<String> {
        self.controller.call_needed(self.now, id);
        self.decide()
    }

    pub fn end_call(&mut self, id: &str, outcome: Outcome) -> Vec<String> {
        self.controller.call_ended(self.now, id, outcome, 1_000_000);
        self.decide()
    }

    pub fn fire_timer(&mut self, now: u64, busy: f64, runnable: f64) -> Vec<String> {
        self.now = now;
        self.controller.timer_fired(
            now,
            now,
            Gauges { busy: Some(busy), runnable: Some(runnable), connections: None },
        );
        self.decide()
    }

    pub fn take_actions(&mut self) -> Vec<String> {
        std::mem::take(&mut self.controller.host().0)
    }

    /// Occupies all six cores with requests named r0 to r5.
    pub fn fill_cores(&mut self) {
        for i in 0..6 {
            assert_eq!(self.arrive(&format!("r{i}"), IDEMPOTENT), [format!("run r{i}")]);
        }
    }
}
