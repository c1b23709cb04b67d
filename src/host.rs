//! The interface between a server and its admission controller: the [`Host`] trait by which the controller acts, and the
//! small types that are handed to it. Nothing here decides; nothing here belongs to one protocol. Times are whole
//! microseconds on any clock that only advances.

use std::sync::Arc;

/// A request's id, as the protocol in front gives it.
pub type RpcId = Arc<str>;

/// What a controller can ask of its server. Every action takes effect at the time of the event that is reported.
pub trait Host {
    /// Starts a queued request, or resumes a paused one.
    fn start(&mut self, id: &str);
    /// Takes running work off the cores; a `run_ended` with [`Outcome::Stopped`] attests it. It answers nobody.
    fn stop(&mut self, id: &str);
    /// Final answer: rejected, and it never ran.
    fn reject(&mut self, id: &str, rejection: Rejection);
    /// Final answer: given up, with no word on whether it ran.
    fn abort(&mut self, id: &str);
    /// Places the upstream call that a running request waits for; it is abandoned at `until_us`.
    fn place_call(&mut self, id: &str, until_us: u64);
    /// Lets a running request go on without its call. Only where the method's `value_without_call` is above 0.
    fn skip_call(&mut self, id: &str);
    /// Remembers a request's idempotency key for `ttl_us`, so that its repeats are known.
    fn remember_key(&mut self, id: &str, ttl_us: u64);
    /// Forgets the key of a remembered request.
    fn forget_key(&mut self, id: &str);
    /// Answers a queued request from the outcome of the one that it repeats.
    fn share_outcome(&mut self, id: &str);
    /// Sets what health checks are answered, without real work.
    fn set_readiness(&mut self, readiness: Readiness);
    /// Sets the value sent back with every answer. Only where [`Callers::signal`] is not [`SignalKind::None`].
    fn send_load_signal(&mut self, value: f64);
    /// Closes connections that have been idle for `idle_us`.
    fn close_idle_connections(&mut self, idle_us: u64);
    /// Asks for a `timer_fired` with this token at `at_us` or soon after.
    fn set_timer(&mut self, at_us: u64, token: u64);
}

/// What a rejected caller is advised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Whether to retry at another server.
    pub retry: Retry,
    /// How long to keep away from this server, in microseconds; 0 for no advice.
    pub retry_after_us: u64,
}

/// Whether a rejected caller should retry elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Another server may have capacity.
    Elsewhere,
    /// Retries would only add load.
    DoNotRetry,
}

/// What health checks are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Callers may send requests.
    Ready,
    /// The server drains.
    NotReady,
}

/// Whether a request's effect may happen again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run again.
    Idempotent,
    /// Carries an idempotency key by which a repeat is known; runs once on a server within its window.
    WithKey,
    /// Must never run twice.
    NonIdempotent,
}

/// A method, as the deployment states it.
#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    /// Its priority weight.
    pub criticality: f64,
    /// The answer is wanted within this time.
    pub latency_target_us: u64,
    /// The latency target grows by this multiple of the request's own work.
    pub target_stretch: f64,
    /// The client gives up after this time.
    pub deadline_us: u64,
    /// Whether it may run again.
    pub effect: Effect,
    /// How long a request with a key may be repeated after its arrival.
    pub key_window_us: u64,
    /// Its requests may make upstream calls.
    pub makes_calls: bool,
    /// What an answer without the call still earns, as a share; 0 forbids skipping it.
    pub value_without_call: f64,
}

/// How running work can be taken off the cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopping {
    /// It cannot.
    Never,
    /// The work is lost.
    Drop,
    /// The work keeps its memory and can be resumed.
    Pause,
}

/// The machine under this server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// Processor cores.
    pub cores: u32,
    /// Memory for requests and keys.
    pub memory_kb: f64,
    /// Memory of a running request over that of a queued one.
    pub run_memory_factor: f64,
    /// Memory of one remembered key.
    pub key_kb: f64,
    /// How running work can be stopped.
    pub stopping: Stopping,
    /// Callers close a connection that has been idle for so long.
    pub max_connection_idle_us: u64,
}

/// How many running requests the server survives, and how that rises after a cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurvivableLoad {
    /// Running requests for each core that a warm server withstands.
    pub requests_per_core: f64,
    /// The server starts cold.
    pub is_cold: bool,
    /// A cold server has at least this share of its speed.
    pub min_cold_speed: f64,
    /// It is warm after this time at the latest.
    pub warm_within_us: u64,
}

/// What requests call while they run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Upstream {
    /// Nothing.
    None,
    /// One dependency for the whole fleet.
    Shared {
        /// This server's part of the calls in flight that it survives, as a mean over the window.
        max_calls_in_flight: f64,
        /// The window of that mean.
        window_us: u64,
        /// An abandoned call stays in flight for so long.
        linger_us: u64,
    },
    /// A tier of servers that decide as this one does.
    Tier,
}

/// What callers take the value sent back for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// They take no value.
    None,
    /// They send nothing whose standing is below the value.
    Level,
    /// Each keeps at most so many requests outstanding here.
    Credit,
    /// The probability that a caller does not pass this server over.
    Weight,
}

/// The callers of a server, and what they can be told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Callers {
    /// What they take the load signal for.
    pub signal: SignalKind,
    /// How many there are.
    pub count: u32,
    /// They mark retries as such.
    pub mark_retries: bool,
    /// The longest Retry-After that is heeded; 0 where none is.
    pub max_retry_after_us: u64,
}

/// A tenant, and its quota when the request arrived: requests a second over the whole fleet, beyond which its requests
/// count for little.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Stands for the same tenant as long as the server runs.
    pub id: u32,
    /// The quota.
    pub per_second: f64,
}

/// How criticality is counted, and what quotas are divided between.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Criticality counts for each unit of work, not for each request.
    pub counts_by_work: bool,
    /// What a request beyond its tenant's quota still counts for, as a share.
    pub over_quota_value: f64,
    /// Servers of this tier.
    pub servers: u32,
}

/// A request that has been read into this server's queue.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: RpcId,
    /// Position in the list of methods.
    pub method: usize,
    /// Memory while it is queued.
    pub memory_kb: f64,
    /// Time since it reached the machine.
    pub queued_us: u64,
    /// How long its caller still waits, where that is conveyed.
    pub time_left_us: Option<u64>,
    /// Likely work on a standard core.
    pub work_hint_us: Option<u64>,
    /// The remembered request that this one repeats.
    pub repeats: Option<RpcId>,
    /// Marked as a retry.
    pub is_retry: bool,
    /// Whose it is, where tenants are told apart.
    pub tenant: Option<Tenant>,
}

/// The server's own gauges, where it has them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Busy share of the cores over the last half second.
    pub busy: Option<f64>,
    /// All present demand for a core.
    pub runnable: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It ran and failed.
    Error,
    /// The call was rejected unseen.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// The upstream could not be reached.
    Unreachable,
    /// Its connection broke.
    Interrupted,
    /// It was stopped as asked.
    Stopped,
    /// Nothing was started.
    NotStarted,
}

impl Outcome {
    /// Whether this proves that the call never ran.
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
