//! The interface between a server and its admission controller: the [`Host`] trait through which the controller acts,
//! and the small types that pass through the interface. This module makes no decision and depends on no protocol. Times
//! are whole microseconds on any monotonic clock.

use std::sync::Arc;

/// The id of a request, as assigned by the ingress protocol.
pub type RpcId = Arc<str>;

/// The actions that a controller can request from its server. Each action takes effect at the time of the reported
/// event.
pub trait Host {
    /// Starts a queued request, or resumes a paused one.
    fn start(&mut self, id: &str);
    /// Takes running work off the cores, which a `run_ended` with [`Outcome::Stopped`] confirms. Sends no answer.
    fn stop(&mut self, id: &str);
    /// Sends the final answer that the request is rejected and never ran.
    fn reject(&mut self, id: &str, rejection: Rejection);
    /// Sends the final answer that the request is aborted, which leaves open whether it ran.
    fn abort(&mut self, id: &str);
    /// Places the upstream call that a running request waits for. The call is abandoned at `until_us`.
    fn place_call(&mut self, id: &str, until_us: u64);
    /// Resumes a running request without its call. Used only if the method's `value_without_call` is above 0.
    fn skip_call(&mut self, id: &str);
    /// Remembers a request's idempotency key for `ttl_us`, so that its repeats are recognised.
    fn remember_key(&mut self, id: &str, ttl_us: u64);
    /// Forgets the key of a remembered request.
    fn forget_key(&mut self, id: &str);
    /// Answers a queued request with the outcome of the request that it repeats.
    fn share_outcome(&mut self, id: &str);
    /// Sets the answer to health checks, which are answered without real work.
    fn set_readiness(&mut self, readiness: Readiness);
    /// Sets the load signal that is sent with every answer. Used only if [`Callers::signal`] is not
    /// [`SignalKind::None`].
    fn send_load_signal(&mut self, value: f64);
    /// Closes connections that have been idle for `idle_us`.
    fn close_idle_connections(&mut self, idle_us: u64);
    /// Requests a `timer_fired` with this token at `at_us` or soon after.
    fn set_timer(&mut self, at_us: u64, token: u64);
}

/// The advice to a rejected caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Whether to retry at another server.
    pub retry: Retry,
    /// The time before the caller should retry at this server, in microseconds; 0 for no advice.
    pub retry_after_us: u64,
}

/// Whether a rejected caller should retry elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Another server may have capacity.
    Elsewhere,
    /// Retries would only increase the load.
    DoNotRetry,
}

/// The answer to health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Callers may send requests.
    Ready,
    /// The server is draining.
    NotReady,
}

/// Whether a request's effect may happen again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request may run again.
    Idempotent,
    /// The request has an idempotency key by which repeats are recognised, and runs once on a server within the key's
    /// window.
    WithKey,
    /// The request must never run twice.
    NonIdempotent,
}

/// A method, as configured by the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    /// The priority weight of the method.
    pub criticality: f64,
    /// The latency objective: the time within which an answer is wanted.
    pub latency_target_us: u64,
    /// The multiple of a request's own work that is added to the latency target.
    pub target_stretch: f64,
    /// The time after which clients give up.
    pub deadline_us: u64,
    /// Whether requests may run again.
    pub effect: Effect,
    /// The time after its arrival in which a request with an idempotency key may be repeated.
    pub key_window_us: u64,
    /// Whether requests may make upstream calls.
    pub makes_calls: bool,
    /// The share of its value that an answer without the upstream call has; 0 forbids skipping the call.
    pub value_without_call: f64,
}

/// The way in which running work can be taken off the cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopping {
    /// The server cannot stop running work.
    Never,
    /// Stopped work is lost.
    Drop,
    /// Stopped work retains its memory and can be resumed.
    Pause,
}

/// The machine that a server runs on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// The number of processor cores.
    pub cores: u32,
    /// The memory for requests and idempotency keys, in KB.
    pub memory_kb: f64,
    /// The ratio of the memory of a running request to that of a queued one.
    pub run_memory_factor: f64,
    /// The memory of one remembered key, in KB.
    pub key_kb: f64,
    /// The way in which running work can be stopped.
    pub stopping: Stopping,
    /// The idle time after which callers close a connection, in microseconds.
    pub max_connection_idle_us: u64,
}

/// The number of running requests that the server survives, and its growth after a cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurvivableLoad {
    /// The number of running requests per core that a warm server survives.
    pub requests_per_core: f64,
    /// Whether the server starts cold.
    pub is_cold: bool,
    /// The minimum share of its full speed that a cold server has.
    pub min_cold_speed: f64,
    /// The time after which the server is warm at the latest.
    pub warm_within_us: u64,
}

/// The upstream that requests call while they run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Upstream {
    /// No upstream.
    None,
    /// A single dependency for the whole fleet.
    Shared {
        /// This server's share of the calls in flight that the dependency survives, as a mean over the window.
        max_calls_in_flight: f64,
        /// The length of that window, in microseconds.
        window_us: u64,
        /// The time for which an abandoned call stays in flight, in microseconds.
        linger_us: u64,
    },
    /// A tier of servers that make the same decisions as this one.
    Tier,
}

/// The interpretation of the load signal by callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// Callers accept no load signal.
    None,
    /// A threshold: callers send no requests whose rank is below the value.
    Level,
    /// The maximum number of requests that each caller has outstanding at this server.
    Credit,
    /// The probability that a caller that selects this server uses it.
    Weight,
}

/// The callers of a server, and the advice that they understand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Callers {
    /// The interpretation of the load signal.
    pub signal: SignalKind,
    /// The number of callers.
    pub count: u32,
    /// Whether callers mark retries as such.
    pub mark_retries: bool,
    /// The longest Retry-After that callers respect, in microseconds; 0 if they respect none.
    pub max_retry_after_us: u64,
}

/// A tenant, and its quota when the request arrived. Requests beyond the quota have a lower value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// The id, which identifies the same tenant as long as the server runs.
    pub id: u32,
    /// The quota, in requests per second over the whole fleet.
    pub per_second: f64,
}

/// The rules by which criticality and quotas are counted.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Whether criticality is the value of a unit of work, and not that of a request.
    pub counts_by_work: bool,
    /// The share of its value that a request beyond its tenant's quota has.
    pub over_quota_value: f64,
    /// The number of servers in this tier, between which quotas are divided.
    pub servers: u32,
}

/// A request that has been read into this server's queue.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The id of the request.
    pub id: RpcId,
    /// The position of the method in the list of methods.
    pub method: usize,
    /// The memory of the request while it is queued, in KB.
    pub memory_kb: f64,
    /// The time since the request reached the machine.
    pub queued_us: u64,
    /// The time that the caller still waits, if requests convey it.
    pub time_left_us: Option<u64>,
    /// The expected work on a standard core.
    pub work_hint_us: Option<u64>,
    /// The remembered request that this one repeats.
    pub repeats: Option<RpcId>,
    /// Whether the request is marked as a retry.
    pub is_retry: bool,
    /// The tenant of the request, if the deployment distinguishes tenants.
    pub tenant: Option<Tenant>,
}

/// The present values of the server's gauges, as far as available.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The busy share of the cores over the last half second.
    pub busy: Option<f64>,
    /// The total present demand for cores, by running and waiting work.
    pub runnable: Option<f64>,
    /// The number of open connections.
    pub connections: Option<f64>,
}

/// The outcome of a run or an upstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call succeeded.
    Ok,
    /// The run or call was executed and failed.
    Error,
    /// The call was rejected without being executed.
    Rejected,
    /// No answer arrived in time.
    TimedOut,
    /// The upstream could not be reached.
    Unreachable,
    /// The connection broke.
    Interrupted,
    /// The run was stopped at the controller's request.
    Stopped,
    /// The run or call was not started.
    NotStarted,
}

impl Outcome {
    /// Whether this outcome proves that the call never ran.
    ///
    /// ```
    /// use ochrewalk::host::Outcome;
    /// assert!(Outcome::Rejected.never_ran());
    /// assert!(!Outcome::TimedOut.never_ran());
    /// ```
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotStarted)
    }
}
