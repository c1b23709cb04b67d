//! A host that writes down what it is asked, counts timers and keeps the last call's end; a small server around
//! the module.
#![allow(dead_code)]

use ochrewalk::admission::{AdmissionConfig, AdmissionController};
use ochrewalk::host::*;

#[derive(Default)]
pub struct Tape(pub Vec<String>, pub u64, pub u64);

impl Host for Tape {
    fn start(&mut self, id: &str) {
        self.0.push(format!("run {id}"));
    }
    fn stop(&mut self, id: &str) {
        self.0.push(format!("stop {id}"));
    }
    fn reject(&mut self, id: &str, rejection: Rejection) {
        let last = if rejection.retry == Retry::DoNotRetry { " last" } else { "" };
        self.0.push(format!("push {id}{last}"));
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
        self.0.push(format!("key {id} {ttl_us}"));
    }
    fn forget_key(&mut self, id: &str) {
        self.0.push(format!("drop {id}"));
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

/// The methods of most tests, by position: idempotent, tokened, non-idempotent, idempotent that may skip its
/// call.
pub const IDEM: usize = 0;
pub const TOKEN: usize = 1;
pub const ONCE: usize = 2;
pub const SKIP: usize = 3;

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
    pub it: AdmissionController<Tape>,
    pub now: u64,
}

/// What a test changes of the usual server: six cores, room for 100 running RPCs of 1 kB held, a tier below.
pub struct Given {
    pub machine: Machine,
    pub survivable_load: SurvivableLoad,
    pub methods: Vec<Method>,
    pub upstream: Upstream,
    pub signal: SignalKind,
    pub mark_retries: bool,
}

impl Default for Given {
    fn default() -> Given {
        Given {
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

impl Given {
    pub fn start(self) -> Server {
        let callers = Callers {
            signal: self.signal,
            count: 4,
            mark_retries: self.mark_retries,
            max_retry_after_us: 1_000_000,
        };
        let quotas = QuotaSettings { counts_by_work: true, over_quota_value: 0.1, servers: 10 };
        let mut server = Server {
            it: AdmissionController::start(
                Tape::default(),
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
        server.took();
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
        self.arrives(rpc(id, method))
    }

    pub fn arrives(&mut self, new: Arrival) -> Vec<String> {
        self.it.request_arrived(self.now, new);
        self.turn()
    }

    /// Lets time pass to `now`, then tells the module that all has been told.
    pub fn at(&mut self, now: u64) -> Vec<String> {
        self.now = now;
        self.turn()
    }

    pub fn turn(&mut self) -> Vec<String> {
        self.it.decide(self.now);
        self.took()
    }

    pub fn settle(&mut self, id: &str) -> Vec<String> {
        self.it.run_ended(self.now, id, Outcome::Ok);
        self.turn()
    }

    pub fn needs(&mut self, id: &str) -> Vec<String> {
        self.it.call_needed(self.now, id);
        self.turn()
    }

    pub fn called(&mut self, id: &str, outcome: Outcome) -> Vec<String> {
        self.it.call_ended(self.now, id, outcome, 1_000_000);
        self.turn()
    }

    pub fn pulse(&mut self, now: u64, busy: f64, runnable: f64) -> Vec<String> {
        self.now = now;
        self.it.timer_fired(
            now,
            now,
            Gauges { busy: Some(busy), runnable: Some(runnable), connections: None },
        );
        self.turn()
    }

    pub fn took(&mut self) -> Vec<String> {
        std::mem::take(&mut self.it.host().0)
    }

    /// Takes all six cores with RPCs named r0 to r5.
    pub fn fill(&mut self) {
        for i in 0..6 {
            assert_eq!(self.arrive(&format!("r{i}"), IDEM), [format!("run r{i}")]);
        }
    }
}
