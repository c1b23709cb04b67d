//! The interface between a server and the decisions: the [`Host`] trait that the module acts by, and the
//! small types that are handed to it. Nothing here decides; nothing here belongs to one protocol. Times are
//! whole microseconds on any clock that only advances.

use std::sync::Arc;

/// An RPC's id, as the protocol in front gives it.
pub type RpcId = Arc<str>;

/// What the module can ask of its server. Every action takes effect at the time of the event being told.
pub trait Host {
    /// Starts a held RPC, or takes a paused one up again.
    fn run(&mut self, id: &str);
    /// Takes running work off the cores; a `run_ended` with `Stopped` attests it. It answers nobody.
    fn stop(&mut self, id: &str);
    /// Final answer: turned away, and it never ran. `last` asks the caller not to try elsewhere;
    /// `come_back_us` (0 for none) is how long to keep away from this server.
    fn push_back(&mut self, id: &str, last: bool, come_back_us: u64);
    /// Final answer: given up, with no word on whether it ran.
    fn abort(&mut self, id: &str);
    /// Places the call that a running RPC waits for; it is abandoned at `until_us`.
    fn call(&mut self, id: &str, until_us: u64);
    /// Lets a running RPC go on without its call. Only where the method's `skip_share` is above 0.
    fn skip_call(&mut self, id: &str);
    /// Remembers the RPC for `ttl_us`, so that its repeats are known.
    fn remember(&mut self, id: &str, ttl_us: u64);
    /// Forgets a remembered RPC.
    fn forget_key(&mut self, id: &str);
    /// Answers a held RPC from the outcome of the one it repeats.
    fn share_outcome(&mut self, id: &str);
    /// What health checks are told; `cheap` answers them without real work.
    fn health(&mut self, on: bool, cheap: bool);
    /// Sets the value sent back with every answer. Only where [`Advice::sent_back`] is not `Nothing`.
    fn send_back(&mut self, value: f64);
    /// Closes connections that have carried nothing for `idle_us`.
    fn close_idle(&mut self, idle_us: u64);
    /// Asks for a `timer` call at `at_us` or soon after.
    fn wake(&mut self, at_us: u64, token: u64);
}

/// Whether an RPC's effect may happen again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run again.
    Idempotent,
    /// Carries a mark by which a repeat is known; runs once on a server within its window.
    Tokened,
    /// Must never run twice.
    NonIdempotent,
}

/// A method, as the deployment states it.
#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    pub criticality: f64,
    /// The answer is wanted within this time.
    pub latency_target_us: u64,
    /// The latency target grows by this multiple of the RPC's own work.
    pub target_stretch: f64,
    /// The client gives up after this time.
    pub deadline_us: u64,
    pub effect: Effect,
    /// How long a tokened RPC may come again after its arrival.
    pub window_us: u64,
    /// Its RPCs may call below.
    pub calls: bool,
    /// What an answer without the call still earns, as a share; 0 forbids going on without it.
    pub skip_share: f64,
}

/// How running work can be taken off the cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopping {
    Never,
    /// The work is lost.
    Drop,
    /// The work keeps its memory and can be taken up again.
    Pause,
}

/// The machine under this server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    pub cores: u32,
    pub memory_kb: f64,
    /// Memory of a running RPC over that of a held one.
    pub run_factor: f64,
    /// Memory of one remembered key.
    pub key_kb: f64,
    pub stopping: Stopping,
    /// Callers close a connection that has carried nothing for so long.
    pub idle_most_us: u64,
}

/// How many RPCs on the cores the server survives, and how that rises after a cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crowd {
    /// RPCs on the cores for each core that a warm server withstands.
    pub multiple: f64,
    pub cold: bool,
    /// A cold server has at least this share of its speed.
    pub cold_from: f64,
    /// It is warm after this time at the latest.
    pub warm_within_us: u64,
}

/// What RPCs call while they run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Below {
    Nothing,
    /// One dependency for the whole fleet; `share` is this server's part of the calls that it survives in
    /// hand, as a mean over `window_us`, and an abandoned call stays in its hands for `linger_us`.
    Shared {
        share: f64,
        window_us: u64,
        linger_us: u64,
    },
    /// A tier of servers that decide as this one does.
    Tier,
}

/// What callers take the value sent back for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentBack {
    Nothing,
    /// They send nothing whose standing is below the value.
    Level,
    /// Each keeps at most so many RPCs outstanding here.
    Credit,
    /// The probability that a caller does not pass this server over.
    Weight,
}

/// What can be told to callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advice {
    pub sent_back: SentBack,
    pub callers: u32,
    /// Further tries are marked as such.
    pub marks_tries: bool,
    /// The longest time to keep away that is heeded; 0 where none is.
    pub max_come_back_us: u64,
}

/// A tenant, and its quota when the RPC arrived: RPCs a second over the whole fleet, beyond which its RPCs count for
/// little.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Stands for the same tenant as long as the server runs.
    pub id: u32,
    pub per_second: f64,
}

/// How criticality is counted, and what quotas are divided between.
#[derive(Clone, Debug, PartialEq)]
pub struct Quotas {
    /// Criticality counts for each unit of work, not for each RPC.
    pub by_work: bool,
    /// What an RPC beyond its tenant's quota still counts for.
    pub over_quota: f64,
    /// Servers of this tier.
    pub servers: u32,
}

/// An RPC that has been read into this server's hold.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: RpcId,
    /// Position in the list of methods.
    pub method: usize,
    pub kb: f64,
    /// Time since it reached the machine.
    pub queued_us: u64,
    /// How long its caller still waits, where that is conveyed.
    pub left_us: Option<u64>,
    /// Likely work on a standard core.
    pub effort_us: Option<u64>,
    /// The remembered RPC that this one repeats.
    pub repeats: Option<RpcId>,
    /// Marked as a further try.
    pub further_try: bool,
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
    Ok,
    Error,
    /// The call was pushed back unseen.
    PushedBack,
    TimedOut,
    /// What lies below could not be reached.
    Unreachable,
    Interrupted,
    Stopped,
    /// Nothing was started.
    Moot,
}

impl Outcome {
    /// Whether this proves that the call never ran.
    ///
    /// ```
    /// use ochrewalk::host::Outcome;
    /// assert!(Outcome::PushedBack.never_ran());
    /// assert!(!Outcome::TimedOut.never_ran());
    /// ```
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::PushedBack | Outcome::Unreachable | Outcome::Moot)
    }
}
