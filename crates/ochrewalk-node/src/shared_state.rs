//! What the fronts share: the gate, the executor, what lies below, and the bound on open RPCs. A front reads an
//! RPC from its protocol and hands it over here; from then on it is the same for all of them.

use crate::clock::Clock;
use crate::coordinator::{IdempotencyKey, IncomingRequest, RequestCoordinator, RequestHandle};
use crate::interfaces::{Answer, DownstreamClient, UpstreamClient};
use crate::method_counters::PerMethodCounters;
use crate::net::executor::Executor;
use crate::request_state::RequestState;
use crate::request_task::{run_to_completion, submit_and_run, OpenRequest};
use ochrewalk::deployment::Deployment;
use ochrewalk::host::{Effect, RpcId, Tenant};
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Memory that one open RPC may take: its stack, its body and its answer.
const RPC_BYTES: usize = 32 * 1024;
/// The farthest that a stamp may be from our clock.
const STAMP_MS: u64 = 3_600_000;

pub struct SharedState {
    pub clock: Clock,
    pub coordinator: RequestCoordinator,
    pub deployment: Deployment,
    pub method_counters: PerMethodCounters,
    /// The methods' names as JSON strings.
    pub method_names_json: Vec<String>,
    pub executor: Executor,
    pub upstream: Option<Arc<dyn UpstreamClient>>,
    /// Prints of RPCs' work, by a key that no stranger knows.
    prints: SipHasher13,
    /// Those that the gate knows of.
    living: Mutex<HashMap<RpcId, Arc<OpenRequest>>>,
    /// RPCs whose coroutines live, and how many may.
    lives: AtomicUsize,
    most_lives: usize,
}

/// An RPC as a front has read it.
pub struct ParsedRequest<'a> {
    pub id: &'a str,
    /// Position in the deployment's list.
    pub method: usize,
    pub memory_kb: f64,
    pub arrived_unix_ms: u64,
    /// How long its caller still waits, where that is conveyed.
    pub time_left_us: Option<u64>,
    pub idempotency_key: Option<&'a str>,
    /// The quota that it counts against, where its protocol names a tenant.
    pub tenant: Option<Tenant>,
    /// A JSON string of base64.
    pub body: &'a str,
}

impl SharedState {
    /// `bytes` of memory are the program's own.
    pub fn new(
        clock: Clock,
        gate: RequestCoordinator,
        deployment: Deployment,
        executor: Executor,
        below: Option<Arc<dyn UpstreamClient>>,
        bytes: usize,
        print_key: (u64, u64),
    ) -> SharedState {
        let lanes = deployment.method_names.iter().map(|name| serde_json::Value::from(name).to_string());
        SharedState {
            clock,
            coordinator: gate,
            method_counters: PerMethodCounters::new(deployment.methods.len()),
            method_names_json: lanes.collect(),
            deployment,
            executor,
            upstream: below,
            prints: SipHasher13::new_with_keys(print_key.0, print_key.1),
            living: Mutex::default(),
            lives: AtomicUsize::new(0),
            most_lives: bytes / 4 / RPC_BYTES,
        }
    }

    /// Checks what no protocol can check alone. The error says in a few words what is wrong.
    pub fn validate(&self, asked: &ParsedRequest) -> Result<IncomingRequest, &'static str> {
        if self.clock.unix_ms().abs_diff(asked.arrived_unix_ms) > STAMP_MS {
            return Err("ts is out of range");
        }
        let tokened = self.deployment.methods[asked.method].effect == Effect::WithKey;
        let token = asked.idempotency_key.filter(|_| tokened).map(|key| IdempotencyKey {
            key: key.into(),
            // Some escape the solidus: the work is the same by any protocol.
            fingerprint: self.print(asked.method, &asked.body.replace('\\', "")),
        });
        if tokened && token.is_none() {
            return Err("no token");
        }
        let id: RpcId = asked.id.into();
        let ParsedRequest { method, memory_kb, arrived_unix_ms, time_left_us, tenant, .. } = *asked;
        Ok(IncomingRequest {
            id,
            method,
            memory_kb,
            arrived_unix_ms,
            time_left_us,
            idempotency_key: token,
            tenant,
        })
    }

    fn print(&self, method: usize, body: &str) -> u64 {
        let mut print = self.prints;
        (method, body).hash(&mut print);
        print.finish()
    }

    /// The key of the prints, for whoever goes on.
    pub fn fingerprint_key(&self) -> (u64, u64) {
        self.prints.keys()
    }

    /// The RPCs that the gate knows of.
    pub fn open_requests(&self) -> MutexGuard<'_, HashMap<RpcId, Arc<OpenRequest>>> {
        self.living.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Goes on with the life of an RPC that another process began.
    pub fn resume_request(self: &Arc<SharedState>, living: Arc<OpenRequest>, ticket: RequestHandle) {
        self.lives.fetch_add(1, Ordering::Relaxed);
        self.open_requests().insert(living.rpc.id.clone(), living.clone());
        let core = self.clone();
        may::go!(move || {
            run_to_completion(&core, &living, &ticket);
            core.lives.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Starts the life of an RPC that its front has entered as owed an answer.
    pub fn start_request(
        self: &Arc<SharedState>,
        rpc: IncomingRequest,
        body: &str,
        asker: impl DownstreamClient + 'static,
    ) {
        // Guards the program's own memory against a flood: long before this many RPCs are open, the module's
        // hold is full.
        if self.lives.fetch_add(1, Ordering::Relaxed) >= self.most_lives {
            self.lives.fetch_sub(1, Ordering::Relaxed);
            self.method_counters.record_answer(
                &self.clock,
                &self.deployment,
                &rpc,
                &Answer::REJECTED_WITHOUT_ADVICE,
            );
            return asker
                .answer(Answer::REJECTED_WITHOUT_ADVICE, self.coordinator.health_state().load_signal);
        }
        let living = Arc::new(OpenRequest::new(self, rpc, body, Box::new(asker), RequestState::submitted()));
        let core = self.clone();
        self.coordinator.pending_work.increment();
        may::go!(move || {
            submit_and_run(&core, &living);
            core.lives.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
