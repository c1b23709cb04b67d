//! A host that writes down what it is asked, counts timers and keeps the last call's end; a small server around
//! the module.
#![allow(dead_code)]

use ochrewalk::admission::{AdmissionConfig, AdmissionController};
use ochrewalk::host::*;

#[derive(Default)]
pub struct Tape(pub Vec<String>, pub u64, pub u64);

impl Host for Tape {
    fn run(&mut self, id: &str) {
        self.0.push(format!("run {id}"));
    }
    fn stop(&mut self, id: &str) {
        self.0.push(format!("stop {id}"));
    }
    fn push_back(&mut self, id: &str, last: bool, _come_back_us: u64) {
        self.0.push(format!("push {id}{}", if last { " last" } else { "" }));
    }
    fn abort(&mut self, id: &str) {
        self.0.push(format!("abort {id}"));
    }
    fn call(&mut self, id: &str, until_us: u64) {
        self.2 = until_us;
        self.0.push(format!("call {id}"));
    }
    fn skip_call(&mut self, id: &str) {
        self.0.push(format!("skip {id}"));
    }
    fn remember(&mut self, id: &str, ttl_us: u64) {
        self.0.push(format!("key {id} {ttl_us}"));
    }
    fn forget_key(&mut self, id: &str) {
        self.0.push(format!("drop {id}"));
    }
    fn share_outcome(&mut self, id: &str) {
        self.0.push(format!("share {id}"));
    }
    fn health(&mut self, on: bool, _cheap: bool) {
        self.0.push(format!("ready {on}"));
    }
    fn send_back(&mut self, value: f64) {
        self.0.push(format!("signal {value:.2}"));
    }
    fn close_idle(&mut self, idle_us: u64) {
        self.0.push(format!("idle {idle_us}"));
    }
    fn wake(&mut self, _at_us: u64, _token: u64) {
        self.1 += 1;
    }
}

/// The methods of most tests, by position: idempotent, tokened, non-idempotent, idempotent that may skip its
/// call.
pub const IDEM: usize = 0;
pub const TOKEN: usize = 1;
pub const ONCE: usize = 2;
pub const SKIP: usize = 3;

pub fn method(effect: Effect, skip_share: f64) -> Method {
    Method {
        criticality: 1.0,
        latency_target_us: 4_000_000,
        target_stretch: 0.0,
        deadline_us: 10_000_000,
        effect,
        window_us: 20_000_000,
        calls: true,
        skip_share,
    }
}

pub struct Server {
    pub it: AdmissionController<Tape>,
    pub now: u64,
}

/// What a test changes of the usual server: six cores, room for 100 running RPCs of 1 kB held, a tier below.
pub struct Given {
    pub machine: Machine,
    pub crowd: Crowd,
    pub methods: Vec<Method>,
    pub below: Below,
    pub sent_back: SentBack,
    pub marks_tries: bool,
}

impl Default for Given {
    fn default() -> Given {
        Given {
            machine: Machine {
                cores: 6,
                memory_kb: 1_000.0,
                run_factor: 10.0,
                key_kb: 5.0,
                stopping: Stopping::Pause,
                idle_most_us: 30_000_000,
            },
            crowd: Crowd { multiple: 5.0, cold: false, cold_from: 0.25, warm_within_us: 10_000_000 },
            methods: vec![
                method(Effect::Idempotent, 0.0),
                method(Effect::Tokened, 0.0),
                method(Effect::NonIdempotent, 0.0),
                method(Effect::Idempotent, 0.5),
            ],
            below: Below::Tier,
            sent_back: SentBack::Weight,
            marks_tries: true,
        }
    }
}

impl Given {
    pub fn start(self) -> Server {
        let advice = Advice {
            sent_back: self.sent_back,
            callers: 4,
            marks_tries: self.marks_tries,
            max_come_back_us: 1_000_000,
        };
        let quotas = Quotas { by_work: true, over_quota: 0.1, servers: 10 };
        let mut server = Server {
            it: AdmissionController::start(
                Tape::default(),
                0,
                7,
                AdmissionConfig {
                    machine: self.machine,
                    crowd: self.crowd,
                    methods: self.methods.into(),
                    below: self.below,
                    advice,
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
        kb: 1.0,
        queued_us: 0,
        left_us: None,
        effort_us: Some(100_000),
        repeats: None,
        further_try: false,
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
