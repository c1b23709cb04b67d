//! The state that all ingress protocols share: the coordinator, the executor, the upstream, and the limit on open
//! requests. Each ingress parses a request from its protocol and passes it on here; from then on all requests are
//! handled alike.

use crate::clock::Clock;
use crate::coordinator::{IdempotencyKey, IncomingRequest, RequestCoordinator, RequestHandle};
use crate::interfaces::{Answer, DownstreamClient, UpstreamClient};
use crate::method_counters::PerMethodCounters;
use crate::net::executor::Executor;
use crate::net::input_budget::InputBudget;
use crate::request_state::RequestState;
use crate::request_task::{run_to_completion, submit_and_run, OpenRequest};
use ochrewalk::deployment::Deployment;
use ochrewalk::host::{Effect, RpcId, Tenant};
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The memory that one open request may take: its stack, its body and its answer.
const MAX_REQUEST_BYTES: usize = 32 * 1024;
/// The maximal difference between a request's time stamp and this node's clock.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 3_600_000;

/// The resources that the process may use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// The memory in bytes.
    pub memory_bytes: usize,
    /// The number of open descriptors, and thereby of connections.
    pub descriptors: usize,
}

/// The parts of a node that all ingress protocols and request tasks use.
pub struct SharedState {
    /// The node's clock.
    pub clock: Clock,
    /// The coordinator of all requests.
    pub coordinator: RequestCoordinator,
    /// The deployment, with its methods and tenants.
    pub deployment: Deployment,
    /// The counters of answers by method.
    pub method_counters: PerMethodCounters,
    /// The methods' names as JSON strings.
    pub method_names_json: Vec<String>,
    /// The link to the executor.
    pub executor: Executor,
    /// The upstream, where the deployment has one.
    pub upstream: Option<Arc<dyn UpstreamClient>>,
    /// Computes fingerprints of requests, with a key that no client knows.
    fingerprint_hasher: SipHasher13,
    /// The requests that the coordinator has accepted and whose tasks have not finished.
    open_requests: Mutex<HashMap<RpcId, Arc<OpenRequest>>>,
    /// The number of request tasks.
    task_count: AtomicUsize,
    max_tasks: usize,
    /// The memory for messages that clients have begun and not completed.
    pub input_budget: InputBudget,
}

/// A request as parsed by an ingress.
pub struct ParsedRequest<'a> {
    /// The id, as given by the client or by the ingress.
    pub id: &'a str,
    /// The position of the method in the deployment's list.
    pub method: usize,
    /// The memory that the request occupies while it is queued.
    pub memory_kb: f64,
    /// The time at which the request reached the machine, in Unix time.
    pub arrived_unix_ms: u64,
    /// The time for which the caller still waits, where the protocol conveys it.
    pub time_left_us: Option<u64>,
    /// The idempotency key, where the client gave one.
    pub idempotency_key: Option<&'a str>,
    /// The tenant whose quota the request counts against, where the protocol names one.
    pub tenant: Option<Tenant>,
    /// The body, a JSON string of base64.
    pub body: &'a str,
}

impl SharedState {
    /// Returns the shared state of a node whose process has these limits. A quarter of the memory is for request tasks, an
    /// eighth for incomplete messages.
    pub fn new(
        clock: Clock,
        coordinator: RequestCoordinator,
        deployment: Deployment,
        executor: Executor,
        upstream: Option<Arc<dyn UpstreamClient>>,
        limits: ProcessLimits,
        fingerprint_key: (u64, u64),
    ) -> SharedState {
        let method_names =
            deployment.method_names.iter().map(|name| serde_json::Value::from(name).to_string());
        SharedState {
            clock,
            coordinator,
            method_counters: PerMethodCounters::new(deployment.methods.len()),
            method_names_json: method_names.collect(),
            deployment,
            executor,
            upstream,
            fingerprint_hasher: SipHasher13::new_with_keys(fingerprint_key.0, fingerprint_key.1),
            open_requests: Mutex::default(),
            task_count: AtomicUsize::new(0),
            max_tasks: limits.memory_bytes / 4 / MAX_REQUEST_BYTES,
            input_budget: InputBudget::new(limits.memory_bytes / 8, limits.descriptors),
        }
    }

    /// Validates a request where the protocols cannot do so by themselves: its time stamp and its idempotency key.
    ///
    /// # Errors
    ///
    /// The request is invalid; the text for its client says why.
    pub fn validate(&self, parsed: &ParsedRequest) -> Result<IncomingRequest, &'static str> {
        if self.clock.unix_ms().abs_diff(parsed.arrived_unix_ms) > MAX_CLOCK_DIFFERENCE_MS {
            return Err("ts is out of range");
        }
        let takes_key = self.deployment.methods[parsed.method].effect == Effect::WithKey;
        let idempotency_key = parsed.idempotency_key.filter(|_| takes_key).map(|key| IdempotencyKey {
            key: key.into(),
            // Some clients escape the solidus; without the escapes a body has the same fingerprint by any protocol.
            fingerprint: self.fingerprint(parsed.method, &parsed.body.replace('\\', "")),
        });
        if takes_key && idempotency_key.is_none() {
            return Err("no token");
        }
        let id: RpcId = parsed.id.into();
        let ParsedRequest { method, memory_kb, arrived_unix_ms, time_left_us, tenant, .. } = *parsed;
        Ok(IncomingRequest { id, method, memory_kb, arrived_unix_ms, time_left_us, idempotency_key, tenant })
    }

    fn fingerprint(&self, method: usize, body: &str) -> u64 {
        let mut hasher = self.fingerprint_hasher;
        (method, body).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the key of the fingerprints, for a successor process.
    pub fn fingerprint_key(&self) -> (u64, u64) {
        self.fingerprint_hasher.keys()
    }

    /// Locks the requests that the coordinator has accepted and whose tasks have not finished.
    pub fn open_requests(&self) -> MutexGuard<'_, HashMap<RpcId, Arc<OpenRequest>>> {
        self.open_requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Starts a task for a request that a predecessor process has accepted.
    pub fn resume_request(self: &Arc<SharedState>, request: Arc<OpenRequest>, handle: RequestHandle) {
        self.task_count.fetch_add(1, Ordering::Relaxed);
        self.open_requests().insert(request.rpc.id.clone(), request.clone());
        let shared = self.clone();
        may::go!(move || {
            run_to_completion(&shared, &request, &handle);
            shared.task_count.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Starts the task of a new request. Its ingress must have registered the client as waiting for an answer.
    pub fn start_request(
        self: &Arc<SharedState>,
        rpc: IncomingRequest,
        body: &str,
        client: impl DownstreamClient + 'static,
    ) {
        // Guards the memory of this process against a flood of requests. The controller's queue is full long before the
        // limit is reached.
        if self.task_count.fetch_add(1, Ordering::Relaxed) >= self.max_tasks {
            self.task_count.fetch_sub(1, Ordering::Relaxed);
            self.method_counters.record_answer(
                &self.clock,
                &self.deployment,
                &rpc,
                &Answer::REJECTED_WITHOUT_ADVICE,
            );
            return client
                .answer(Answer::REJECTED_WITHOUT_ADVICE, self.coordinator.health_state().load_signal);
        }
        let request =
            Arc::new(OpenRequest::new(self, rpc, body, Box::new(client), RequestState::submitted()));
        let shared = self.clone();
        self.coordinator.pending_work.increment();
        may::go!(move || {
            submit_and_run(&shared, &request);
            shared.task_count.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
