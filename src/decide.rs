//! Every decision of ochrewalk. A server builds one [`Decide`] at its start and calls one method for each
//! thing that happens: `arrived`, `gone`, `needs_call`, `call_ended`, `run_ended`, `leave`, `timer`, and
//! `turn` once all that happened at one moment has been told. The module acts by the `Host` it was handed;
//! that trait and the small types are in src/host.rs. "DESIGN" and "paper" in comments: see docs/design.md.

mod kept;

pub use kept::Kept;

use crate::host::{
    Advice, Arrival, Below, Crowd, Effect, Gauges, Host, Machine, Method, Outcome, Quotas, RpcId, SentBack,
    Stopping, Tenant,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// The controller's period (DESIGN: start with 1 s) and gain (paper, 2.1).
const PERIOD_US: u64 = 1_000_000;
const K_I: f64 = 1.0;
/// r climbs when calls came this near to it, and halves after so many periods in a row with signs in this
/// share of their calls (ours). The most carried in a period is forgotten at this pace.
const NEARED: f64 = 0.9;
const SIGNS_IN_A_ROW: u32 = 2;
const SIGNS_SHARE: f64 = 0.3;
const FADE: f64 = 0.9;
/// u stays below this multiple of r, so that quiet periods do not wind it up beyond any use.
const U_OVER_R: f64 = 4.0;
/// Prob_l: its floor, its fall and its rise per period, and how long a draw stands for the head of the lane.
const PROB_FLOOR: f64 = 0.05;
const PROB_FALL: f64 = 0.7;
const PROB_RISE: f64 = 0.15;
const DRAW_US: u64 = 100_000;
/// Lanes part only where the most mean calls are this multiple of the fewest: less is chance.
const LANES_APART: f64 = 1.4;
/// The value sent back: how much of its patience the hold may wait, the steps per pulse, and the floor.
const PRESSURE_MEANT: f64 = 0.4;
const WANTED_FALL: f64 = 0.04;
const WANTED_RISE: f64 = 0.01;
const WANTED_LEAST: f64 = 0.4;
/// How often gauges are read and advice is set, and answers' margin before they are due.
const PULSE_US: u64 = 50_000;
const MARGIN_US: u64 = 25_000;
/// Shares in use of the survivable crowd, the memory, and the told calls in hand (in the mean, and at once).
const CROWD_USED: f64 = 0.9;
const MEMORY_USED: f64 = 0.95;
const SHARE_USED: f64 = 0.8;
const AT_ONCE: f64 = 0.4;
/// Cores are in good use from the first on, and busy from the second.
const CORES_IDLE: f64 = 0.5;
const CORES_BUSY: f64 = 0.92;
/// A call that may not be left out gets at least this many times its usual time.
const PATIENT: u64 = 4;
/// The quantile of its run time for which an RPC must have time left when it starts.
const LATE_QUANTILE: f64 = 0.75;
/// The hold counts as full when its newest RPCs would wait past their latest start; newest first after this.
const FULL_US: u64 = 3_000_000;
/// Push-backs ask to be the last try while this share of further tries is pushed back here.
const ELSEWHERE_FULL: f64 = 0.65;
/// How far a run moves the slow mean of its method's run times.
const MEAN_PACE: f64 = 1.0 / 16.0;

/// A small histogram: bins grow by half, and all are halved when many samples are in.
#[derive(Default)]
struct Hist {
    bins: [u16; 28],
    total: u16,
}

impl Hist {
    const FIRST: f64 = 500.0;

    fn add(&mut self, value: u64) {
        let bin = (value as f64 / Self::FIRST).max(1.0).log(1.5) as usize;
        self.bins[bin.min(27)] += 1;
        self.total += 1;
        if self.total >= 32 {
            self.bins.iter_mut().for_each(|n| *n /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    /// The middle of the bin that holds the given quantile; nothing before the first few samples.
    fn at(&self, quantile: f64) -> Option<u64> {
        let mut left = (f64::from(self.total) * quantile) as u16;
        for (i, n) in self.bins.iter().enumerate() {
            if *n > left {
                return (self.total >= 4).then(|| (Self::FIRST * 1.5f64.powf(i as f64 + 0.5)) as u64);
            }
            left -= *n;
        }
        None
    }
}

/// How long runs take here: for each method a slow mean, over the hint where RPCs carry one, and for all
/// methods together the ratio of recent runs to these (1,000 = as the mean). Guards against a server that
/// gets slow: each method alone is seen too seldom to tell in time. Harms where one method alone gets slow.
struct Times {
    means: Vec<f64>,
    ratios: Hist,
}

impl Times {
    fn new(methods: usize) -> Times {
        Times { means: vec![0.0; methods], ratios: Hist::default() }
    }

    fn add(&mut self, method: usize, took_us: u64, effort_us: Option<u64>) {
        let took = took_us as f64 / effort_us.map_or(1.0, |hint| hint.max(1) as f64);
        let mean = &mut self.means[method];
        if *mean == 0.0 {
            *mean = took;
        } else {
            self.ratios.add((1_000.0 * took / *mean) as u64);
            *mean += (took - *mean) * MEAN_PACE;
        }
    }

    fn likely(&self, method: usize, quantile: f64, effort_us: Option<u64>, unknown_us: u64) -> u64 {
        let mean = self.means[method];
        if mean == 0.0 {
            return effort_us.map_or(unknown_us, |hint| hint * 3 / 2);
        }
        let usual_us = mean * effort_us.map_or(1.0, |hint| hint as f64);
        (usual_us * self.ratios.at(quantile).unwrap_or(1_500) as f64 / 1_000.0) as u64
    }
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Held,
    /// Waiting for the outcome of the RPC that it repeats.
    Sharing,
    Running,
    /// Waits for our word on its call, from the given time on.
    AtCall(u64),
    Calling,
}

#[derive(Default)]
struct Rpc {
    id: RpcId,
    method: usize,
    arrived_us: u64,
    /// Another server, or this one, has had it before.
    further: bool,
    /// An answer must be out by then.
    due_us: u64,
    /// An answer is wanted by then.
    target_us: u64,
    kb: f64,
    effort_us: Option<u64>,
    tenant: Option<Tenant>,
    /// Criticality as the deployment counts it, less beyond a tenant's quota.
    value: f64,
    stage: Stage,
    answered: bool,
    /// It was asked to leave the cores.
    stopping: bool,
    /// When it was started, when it last took a core, and its time on the cores before that.
    started_us: u64,
    on_core_us: u64,
    core_us: u64,
    calls: u32,
    /// It was started on the understanding that it leaves its calls out.
    callless: bool,
}

/// The integral loop (paper 2.1, DESIGN). Calls below are counted per period; u RPCs are admitted next
/// period. It limits nothing until a sign of overload below: a time-out, a push-back, or calls above the told
/// share.
#[derive(Default)]
pub struct Loop {
    pub bound: bool,
    pub r: f64,
    pub u: f64,
    /// Calls and admissions of this period, the most of late, and what the released mix will call.
    y: f64,
    most_y: f64,
    admitted: f64,
    most_admitted: f64,
    predicted: f64,
    /// The prediction reached r in this period: calls neared r, though fewer whole ones may have been placed.
    reached: bool,
    signs: f64,
    in_a_row: u32,
    ends_us: u64,
}

impl Loop {
    pub fn new(now_us: u64) -> Loop {
        Loop { ends_us: now_us + PERIOD_US, ..Loop::default() }
    }

    /// A call below was placed.
    pub fn called(&mut self) {
        self.y += 1.0;
    }

    /// An RPC whose lane calls `mean` times was started; lanes that never call are not admissions (ours).
    pub fn released(&mut self, mean: f64) {
        self.predicted += mean;
        self.admitted += f64::from(u8::from(mean > 0.0));
    }

    /// Below showed overload. The first sign binds r and u to the most that was carried of late: calls that
    /// hang show as signs only seconds later, when little is carried any more.
    pub fn overloaded(&mut self) {
        self.signs += 1.0;
        if !self.bound {
            self.bound = true;
            self.r = self.y.max(self.most_y).max(1.0);
            self.u = self.admitted.max(self.most_admitted).max(1.0);
        }
    }

    /// Whether one more RPC of a lane that calls `mean` times may start in this period.
    pub fn room(&mut self, mean: f64) -> bool {
        if !self.bound || mean <= 0.0 {
            return true;
        }
        let below_r = self.predicted + mean <= self.r.max(mean);
        self.reached |= !below_r;
        below_r && self.admitted < self.u
    }

    /// How long the loop takes to let one RPC of such a lane go.
    fn pace_us(&self, mean: f64) -> u64 {
        let periods = if self.bound && mean > 0.0 { (mean / self.r).max(1.0 / self.u) } else { 0.0 };
        (PERIOD_US as f64 * periods) as u64
    }

    /// Ends the period when its time has come, and says whether it did.
    pub fn period(&mut self, now_us: u64) -> bool {
        if now_us < self.ends_us {
            return false;
        }
        if self.bound {
            // A period counts as one of a run where signs are more than a stray few among its calls (ours).
            let overloaded = self.signs >= 1.0 && self.signs >= SIGNS_SHARE * self.y;
            self.in_a_row = if overloaded { self.in_a_row + 1 } else { 0 };
            if self.in_a_row >= SIGNS_IN_A_ROW {
                self.in_a_row = 0;
                self.r = (self.r / 2.0).max(1.0);
            } else if !overloaded && (self.reached || self.y >= NEARED * self.r) {
                self.r *= 1.5;
            }
            let e = self.r - self.y;
            self.u = (self.u + K_I * e).clamp(1.0, U_OVER_R * self.r);
        }
        self.most_y = self.y.max(FADE * self.most_y);
        self.most_admitted = self.admitted.max(FADE * self.most_admitted);
        (self.y, self.admitted, self.predicted, self.signs, self.reached) = (0.0, 0.0, 0.0, 0.0, false);
        self.ends_us = now_us + PERIOD_US;
        true
    }
}

/// Small and large RPCs (paper 2.2 and 2.3): methods are parted by the mean calls seen of them.
pub struct Lanes {
    large: Vec<bool>,
    /// Mean calls of the small and of the large lane.
    pub means: [f64; 2],
    pub prob_l: f64,
    /// The last draw: the head it was for, when, and whether that may start.
    draw: (u64, u64, bool),
    /// Small RPCs were held in this period because u bound.
    pub small_blocked: bool,
}

impl Lanes {
    pub fn new(seen: &[(f64, f64)]) -> Lanes {
        let (large, means, draw) = (vec![false; seen.len()], [0.0; 2], (u64::MAX, 0, true));
        let mut lanes = Lanes { large, means, prob_l: 1.0, draw, small_blocked: false };
        lanes.part(seen);
        lanes
    }

    pub fn is_large(&self, method: usize) -> bool {
        self.large[method]
    }

    /// Parts the methods at the middle between the fewest and the most mean calls, given (runs, calls) of
    /// each. In place of the paper's offline k-means; one lane where they hardly differ.
    pub fn part(&mut self, seen: &[(f64, f64)]) {
        let mean = |s: &(f64, f64)| s.1 / s.0.max(0.01);
        let most = seen.iter().map(mean).fold(0.0, f64::max);
        let least = seen.iter().map(mean).fold(f64::MAX, f64::min);
        let mut sums = [(0.0, 0.0); 2];
        for (i, s) in seen.iter().enumerate() {
            self.large[i] = most >= LANES_APART * least.max(0.1) && mean(s) > (most + least) / 2.0;
            let sum = &mut sums[usize::from(self.large[i])];
            *sum = (sum.0 + s.0, sum.1 + s.1);
        }
        self.means = sums.map(|s: (f64, f64)| if s.0 > 0.0 { s.1 / s.0 } else { 0.0 });
    }

    /// Whether the large lane's head may start: drawn when it comes to the head, and anew after a while.
    fn drawn(&mut self, head: u64, now_us: u64, rng: &mut fastrand::Rng) -> bool {
        if self.draw.0 != head || now_us >= self.draw.1 + DRAW_US {
            self.draw = (head, now_us, rng.f64() < self.prob_l);
        }
        self.draw.2
    }

    /// Adapts Prob_l at the end of a period from how long the head of each lane has waited. Large RPCs that
    /// wait longer than small ones raise it, so they cannot starve; so does a period that held no small one
    /// back.
    pub fn adapt(&mut self, small_wait: Option<u64>, large_wait: Option<u64>) {
        if self.small_blocked && small_wait >= large_wait {
            self.prob_l = (self.prob_l * PROB_FALL).max(PROB_FLOOR);
        } else {
            self.prob_l = (self.prob_l + PROB_RISE).min(1.0);
        }
        self.small_blocked = false;
    }
}

/// The running limit (DESIGN): it starts at the cores, grows while they idle with work held, and stays below
/// the crowd that the server survives, which is lower while it is cold.
pub struct Cores {
    cores: f64,
    crowd: Crowd,
    started_us: u64,
    extra: f64,
    next_us: u64,
    /// How long a connection may carry nothing before it is closed, and the longest time that makes sense.
    pub idle_us: f64,
    idle_most_us: f64,
}

impl Cores {
    pub fn new(cores: u32, crowd: Crowd, idle_most_us: u64, now_us: u64) -> Cores {
        let (cores, idle_us) = (f64::from(cores), idle_most_us as f64);
        Cores { cores, crowd, started_us: now_us, extra: 0.0, next_us: 0, idle_us, idle_most_us: idle_us }
    }

    /// The least share of its speed that the server can have by now.
    pub fn warmth(&self, now_us: u64) -> f64 {
        if !self.crowd.cold {
            return 1.0;
        }
        let part = (now_us - self.started_us) as f64 / self.crowd.warm_within_us.max(1) as f64;
        self.crowd.cold_from + (1.0 - self.crowd.cold_from) * part.min(1.0)
    }

    /// The most RPCs that may be on the cores or come back to them from calls.
    pub fn ceiling(&self, now_us: u64) -> usize {
        let survived = 1.0 + (self.crowd.multiple - 1.0) * self.warmth(now_us);
        ((survived * self.cores * CROWD_USED) as usize).max(1)
    }

    pub fn limit(&self, now_us: u64) -> usize {
        ((self.cores + self.extra) as usize).clamp(1, self.ceiling(now_us))
    }

    /// Reads the gauges. `waiting`: work is held only because the limit is reached. The idle time guards
    /// against a table full of callers that seldom come back, which takes capacity and keeps others out: it
    /// falls while cores are in good use and few callers are connected. It rises while cores are swamped: a
    /// full table turns away at no cost, where handshakes cost work. Harms then, as it keeps callers out.
    pub fn gauge(&mut self, now_us: u64, gauges: Gauges, callers: u32, waiting: bool) {
        if now_us < self.next_us {
            return;
        }
        self.next_us = now_us + 250_000;
        let (busy, runnable) = (gauges.busy.unwrap_or(1.0), gauges.runnable.unwrap_or(self.cores));
        if waiting && busy < CORES_BUSY && runnable < self.cores {
            self.extra = (self.extra + 1.0).min(self.ceiling(now_us) as f64 - self.cores).max(0.0);
        } else if runnable > 2.0 * self.cores {
            self.extra = (self.extra - 0.25).max(0.0);
            self.idle_us = (self.idle_us * 1.2).min(self.idle_most_us);
        }
        let few_connected = 4.0 * gauges.connections.unwrap_or(f64::MAX) < f64::from(callers);
        if few_connected && !waiting && (CORES_IDLE..CORES_BUSY).contains(&busy) {
            self.idle_us = (self.idle_us * 0.8).max(PERIOD_US as f64).min(self.idle_most_us);
        }
    }
}

/// The calls that what lies below has in its hands of ours.
#[derive(Default)]
struct Hands {
    /// When abandoned calls leave them.
    lingering: VecDeque<u64>,
    /// Means over the told window: calls in hand, and those with the calls that wait here.
    mean: f64,
    wanted: f64,
    at_us: u64,
}

/// What a tenant has left of its quota at this server: RPCs that may start, refilled when it is touched.
struct QuotaBucket {
    /// RPCs a second that it fills by, here.
    rate: f64,
    /// What was left at `refilled_us`; below 0 where more were started.
    level: f64,
    refilled_us: u64,
    /// When it is full, if nothing more is charged: its place in `QuotaBuckets::by_full_time`.
    full_at_us: u64,
}

impl QuotaBucket {
    /// Seconds of its rate that a tenant may save up, as traffic reaches servers unevenly.
    const SAVED_SECONDS: f64 = 8.0;

    fn new(rate: f64, level: f64, refilled_us: u64) -> QuotaBucket {
        let most = rate * Self::SAVED_SECONDS;
        let level = level.min(most);
        let missing_us = ((most - level) / rate * 1e6).ceil() as u64;
        QuotaBucket { rate, level, refilled_us, full_at_us: refilled_us.saturating_add(missing_us) }
    }

    fn full(rate: f64, now_us: u64) -> QuotaBucket {
        QuotaBucket::new(rate, f64::INFINITY, now_us)
    }

    fn level_at(&self, now_us: u64) -> f64 {
        let passed = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        (self.level + self.rate * passed).min(self.rate * Self::SAVED_SECONDS)
    }
}

/// The buckets of tenants that started RPCs of late. A tenant without one has a full bucket, so that one
/// that is full again need not be held. The quota comes with each RPC: a changed one holds from the tenant's
/// next RPC.
///
/// Each RPC touches a few buckets, however many tenants there are. At most [`Self::MOST_HELD`] are held;
/// beyond that, the one nearest to full (as a share of its most, so the one that is full soonest) is let go
/// first. Harms where more tenants than that are in debt for long: those whose buckets fill fast are not
/// limited then.
pub struct QuotaBuckets {
    /// Servers that a quota is divided between.
    servers: f64,
    held: HashMap<u32, QuotaBucket>,
    by_full_time: BTreeSet<(u64, u32)>,
    /// The time of the last arrival; charges count from it.
    now_us: u64,
    touched: u64,
}

impl QuotaBuckets {
    /// Takes 7 MB of memory.
    pub const MOST_HELD: usize = 65_536;
    /// Let go of at a charge, which adds one at most: more than one, so that full ones become fewer.
    const LET_GO_AT_ONCE: usize = 2;

    pub fn new(servers: u32) -> QuotaBuckets {
        QuotaBuckets {
            servers: f64::from(servers.max(1)),
            held: HashMap::new(),
            by_full_time: BTreeSet::new(),
            now_us: 0,
            touched: 0,
        }
    }

    /// Whether an RPC that arrives now is within its tenant's quota. One without a tenant always is.
    pub fn within(&mut self, tenant: Option<Tenant>, now_us: u64) -> bool {
        self.now_us = self.now_us.max(now_us);
        let Some(Tenant { id, per_second }) = tenant else { return true };
        let rate = per_second / self.servers;
        self.touched += 1;
        if let Some(bucket) = self.held.get(&id).filter(|bucket| bucket.rate == rate) {
            return bucket.level_at(self.now_us) > 0.0;
        }
        let changed = self.take(id).map(|bucket| bucket.level_at(self.now_us));
        // Without any quota it has nothing to save up, and needs no bucket.
        if rate <= 0.0 {
            return false;
        }
        let Some(level) = changed else { return true };
        self.hold(id, QuotaBucket::new(rate, level, self.now_us));
        level > 0.0
    }

    /// Only what is started counts: further tries of what was pushed back would use up a quota for nothing.
    pub fn charge(&mut self, tenant: Option<Tenant>) {
        let Some(Tenant { id, per_second }) = tenant else { return };
        let rate = per_second / self.servers;
        let bucket = self.take(id).or_else(|| (rate > 0.0).then(|| QuotaBucket::full(rate, self.now_us)));
        let Some(bucket) = bucket else { return };
        let level = bucket.level_at(self.now_us) - 1.0;
        self.hold(id, QuotaBucket::new(bucket.rate, level, self.now_us));
        self.let_go();
    }

    /// Buckets held now.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Buckets looked up, changed, held or let go of since the start.
    pub fn touched(&self) -> u64 {
        self.touched
    }

    fn take(&mut self, id: u32) -> Option<QuotaBucket> {
        self.touched += 1;
        let bucket = self.held.remove(&id)?;
        self.by_full_time.remove(&(bucket.full_at_us, id));
        Some(bucket)
    }

    fn hold(&mut self, id: u32, bucket: QuotaBucket) {
        self.touched += 1;
        self.by_full_time.insert((bucket.full_at_us, id));
        self.held.insert(id, bucket);
    }

    fn let_go(&mut self) {
        for _ in 0..Self::LET_GO_AT_ONCE {
            let Some(&(full_at_us, id)) = self.by_full_time.first() else { return };
            if full_at_us > self.now_us && self.held.len() <= Self::MOST_HELD {
                return;
            }
            self.take(id);
        }
    }
}

/// The decisions of one server.
pub struct Decide<H: Host> {
    host: H,
    rng: fastrand::Rng,
    machine: Machine,
    methods: Arc<[Method]>,
    below: Below,
    advice: Advice,
    by_work: bool,
    over_quota: f64,
    quota_buckets: QuotaBuckets,
    drain_grace_us: u64,
    /// All RPCs that hold memory here, oldest first, and where to find them.
    rpcs: BTreeMap<u64, Rpc>,
    by_id: HashMap<RpcId, u64>,
    next: u64,
    /// The longest that a first try's caller of each method waits.
    longest_us: Vec<u64>,
    /// Runs and calls seen of each method.
    seen: Vec<(f64, f64)>,
    on_core: Times,
    whole: Times,
    call_times: Hist,
    /// Remembered keys: when they lapse, and whose they are.
    keys: BTreeSet<(u64, RpcId)>,
    control: Loop,
    lanes: Lanes,
    cores: Cores,
    hands: Hands,
    /// When the hold became full.
    full_since_us: Option<u64>,
    /// Since when we leave, and when the process ends.
    leaving: Option<(u64, u64)>,
    /// How much of the usual traffic is wanted, and what the callers were last told.
    wanted: f64,
    told: f64,
    /// How long the hold would take to run, and that over the patience of what is in it.
    hold_us: u64,
    pressure: f64,
    /// Of further tries (of all RPCs, where those are not marked) decided on of late, the share pushed back.
    elsewhere_full: f64,
    pulse_us: u64,
    armed_us: u64,
}

impl<H: Host> Decide<H> {
    #[allow(clippy::too_many_arguments)] // each part takes its own few settings
    pub fn start(
        host: H,
        now_us: u64,
        seed: u64,
        machine: Machine,
        crowd: Crowd,
        methods: impl Into<Arc<[Method]>>,
        below: Below,
        advice: Advice,
        quotas: Quotas,
        drain_grace_us: u64,
    ) -> Decide<H> {
        let methods = methods.into();
        // Methods that call are taken to call once until they are seen.
        let seen: Vec<(f64, f64)> = methods.iter().map(|m| (1.0, f64::from(u8::from(m.calls)))).collect();
        let mut decide = Decide {
            host,
            rng: fastrand::Rng::with_seed(seed),
            on_core: Times::new(methods.len()),
            whole: Times::new(methods.len()),
            lanes: Lanes::new(&seen),
            seen,
            longest_us: vec![0; methods.len()],
            cores: Cores::new(machine.cores, crowd, machine.idle_most_us, now_us),
            control: Loop::new(now_us),
            quota_buckets: QuotaBuckets::new(quotas.servers),
            by_work: quotas.by_work,
            over_quota: quotas.over_quota,
            machine,
            methods,
            below,
            advice,
            drain_grace_us,
            rpcs: BTreeMap::new(),
            by_id: HashMap::new(),
            next: 0,
            call_times: Hist::default(),
            keys: BTreeSet::new(),
            hands: Hands { at_us: now_us, ..Hands::default() },
            full_since_us: None,
            leaving: None,
            wanted: 1.0,
            told: -1.0,
            hold_us: 0,
            pressure: 0.0,
            elsewhere_full: 0.0,
            pulse_us: now_us,
            armed_us: u64::MAX,
        };
        // Health checks from store: a check that does real work loads what lies below.
        decide.host.health(true, true);
        decide.turn(now_us);
        decide
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// How many tenants' quota buckets it holds, of all that it has met.
    pub fn held_quota_buckets(&self) -> usize {
        self.quota_buckets.held()
    }

    /// An RPC has been read into the hold.
    pub fn arrived(&mut self, now_us: u64, new: Arrival) {
        let method = &self.methods[new.method];
        let came_us = now_us.saturating_sub(new.queued_us);
        let left_us = new.left_us.unwrap_or(method.deadline_us.saturating_sub(new.queued_us));
        let stretch = method.target_stretch * new.effort_us.unwrap_or(0) as f64;
        let wanted_us = (method.latency_target_us + stretch as u64).min(method.deadline_us);
        // A further try is older than it looks: by what its caller waits less than a first try's.
        let longest_us = &mut self.longest_us[new.method];
        if !new.further_try {
            *longest_us = (*longest_us).max(new.left_us.map_or(0, |left| left + new.queued_us));
        }
        let age_us = new.left_us.filter(|_| new.further_try).map_or(0, |l| longest_us.saturating_sub(l));
        let work_us = self.core_time(new.method, new.effort_us).max(1);
        let mut value = method.criticality / if self.by_work { 1.0 } else { work_us as f64 / 1e6 };
        if !self.quota_buckets.within(new.tenant, now_us) {
            value *= self.over_quota;
        }
        let rpc = Rpc {
            id: new.id.clone(),
            method: new.method,
            arrived_us: came_us,
            further: new.further_try,
            due_us: now_us + left_us,
            target_us: (came_us + wanted_us.saturating_sub(age_us)).min(now_us + left_us),
            kb: new.kb,
            effort_us: new.effort_us,
            tenant: new.tenant,
            value,
            ..Rpc::default()
        };
        let effect = method.effect;
        let ttl_us = (came_us + method.window_us).saturating_sub(now_us) + 1_000;
        let seq = self.next;
        self.next += 1;
        self.by_id.insert(new.id.clone(), seq);
        self.rpcs.insert(seq, rpc);
        if effect == Effect::Tokened && new.repeats.is_some() {
            // Guards against a second effect: a repeat of a tokened RPC never runs, it shares the outcome.
            self.rpcs.get_mut(&seq).expect("just inserted").stage = Stage::Sharing;
            self.host.share_outcome(&new.id);
        } else if effect == Effect::Tokened {
            self.host.remember(&new.id, ttl_us);
            self.keys.insert((now_us + ttl_us + 1_000, new.id));
        }
    }

    /// The caller has gone; nothing is owed.
    pub fn gone(&mut self, id: &str) {
        let Some(&seq) = self.by_id.get(id) else { return };
        match self.rpcs[&seq].stage {
            Stage::Held => self.unrecord(seq),
            Stage::Sharing => self.forget(seq),
            _ => {
                let rpc = self.rpcs.get_mut(&seq).expect("indexed");
                rpc.answered = true;
                // A tokened run may go on: its repeat can share the outcome. Other work serves nobody now.
                if self.methods[rpc.method].effect != Effect::Tokened {
                    self.take_off(seq);
                }
            }
        }
    }

    /// A running RPC waits for its call below; `turn` says when it goes.
    pub fn needs_call(&mut self, now_us: u64, id: &str) {
        let Some(&seq) = self.by_id.get(id) else { return };
        let rpc = self.rpcs.get_mut(&seq).expect("indexed");
        if rpc.stage != Stage::Running {
            return;
        }
        rpc.core_us += now_us - rpc.on_core_us;
        rpc.calls += 1;
        rpc.stage = Stage::AtCall(now_us);
    }

    /// A call below has ended.
    pub fn call_ended(&mut self, now_us: u64, id: &str, outcome: Outcome, took_us: u64) {
        self.count_in_hand(now_us);
        if outcome == Outcome::TimedOut {
            self.linger(now_us);
        }
        // A call that we cut short ourselves says nothing of what lies below (ours).
        let fair_us = self.call_times.at(0.9).map_or(0, |typical| 2 * typical);
        if outcome == Outcome::PushedBack || outcome == Outcome::TimedOut && took_us >= fair_us {
            self.control.overloaded();
        }
        let Some(&seq) = self.by_id.get(id) else { return };
        let rpc = self.rpcs.get_mut(&seq).expect("indexed");
        if outcome == Outcome::Ok {
            self.call_times.add(took_us);
            (rpc.stage, rpc.on_core_us) = (Stage::Running, now_us);
            return;
        }
        // It waits again; where its effect may have happened, only if that is harmless. Then it does so even
        // if it may be left out, where its connection broke: that is no sign of load below.
        let harmless = self.methods[rpc.method].effect == Effect::Idempotent;
        let can_skip = self.methods[rpc.method].skip_share > 0.0;
        rpc.stage = Stage::AtCall(now_us + 2 * PULSE_US);
        if can_skip && !rpc.answered && !(harmless && outcome == Outcome::Interrupted) {
            self.skip(now_us, seq);
        } else if !rpc.answered && !outcome.never_ran() && !harmless {
            self.give_up(seq);
        }
    }

    /// A run has ended: it holds neither core nor memory any more.
    pub fn run_ended(&mut self, now_us: u64, id: &str, outcome: Outcome) {
        let Some(&seq) = self.by_id.get(id) else { return };
        let rpc = &self.rpcs[&seq];
        if rpc.stage == Stage::Running && outcome == Outcome::Ok && !rpc.answered {
            let core_us = rpc.core_us + now_us - rpc.on_core_us;
            self.on_core.add(rpc.method, core_us, rpc.effort_us);
            self.whole.add(rpc.method, now_us - rpc.started_us, rpc.effort_us);
            let seen = &mut self.seen[rpc.method];
            *seen = (seen.0 + 1.0, seen.1 + f64::from(rpc.calls));
            if seen.0 >= 64.0 {
                *seen = (seen.0 / 2.0, seen.1 / 2.0);
            }
        }
        if rpc.stage == Stage::Calling {
            self.linger(now_us);
        }
        self.forget(seq);
    }

    /// This server leaves: its process ends after `left_us`.
    pub fn leave(&mut self, now_us: u64, left_us: u64) {
        self.leaving = Some((now_us, now_us + left_us));
        self.host.health(false, true);
        self.tell(0.0);
    }

    /// The timer asked for has come, with the server's gauges.
    pub fn timer(&mut self, now_us: u64, token: u64, gauges: Gauges) {
        if token == self.armed_us {
            self.armed_us = u64::MAX;
        }
        if now_us < self.pulse_us {
            return;
        }
        self.pulse_us = now_us + PULSE_US;
        let waiting = self.on_cores() >= self.cores.limit(now_us) && self.held().next().is_some();
        let idle_us = self.cores.idle_us;
        self.cores.gauge(now_us, gauges, self.advice.callers, waiting);
        if idle_us != self.cores.idle_us {
            self.host.close_idle(self.cores.idle_us as u64);
        }
        // Guards against a standstill, in which stopping does nothing: ask again.
        for rpc in self.rpcs.values().filter(|r| r.stopping) {
            self.host.stop(&rpc.id);
        }
        self.advise(now_us);
    }

    /// All that happened at this moment has been told: the ordinary path of every RPC that is held.
    pub fn turn(&mut self, now_us: u64) {
        // The end of a period: the law for u, the lanes by mean calls, and Prob_l.
        if self.control.period(now_us) {
            self.lanes.part(&self.seen);
            let [small, large] = [false, true].map(|lane| self.head(lane, false));
            let wait = |seq: Option<u64>| seq.map(|n| now_us - self.rpcs[&n].arrived_us);
            self.lanes.adapt(wait(small), wait(large));
        }
        // What can no longer be answered, or started, in time goes at once.
        self.overdue(now_us);
        self.fit_memory(now_us);
        self.crowded_out(now_us);
        // The rest starts: small RPCs first, a large one that has waited longer with probability Prob_l;
        // newest first once the hold has stood full a while. Cores, memory, then the loop must have room.
        let newest = self.full_since_us.is_some_and(|since| now_us >= since + FULL_US);
        let mut memory_kb = self.memory_kb();
        loop {
            let (small, large) = (self.head(false, newest), self.head(true, newest));
            let waited_longer = large.filter(|l| small.is_none_or(|s| *l < s));
            let drawn = waited_longer.filter(|l| self.lanes.drawn(*l, now_us, &mut self.rng));
            let Some(seq) = drawn.or(small) else { break };
            let rpc = &self.rpcs[&seq];
            let more_kb = rpc.kb * (self.machine.run_factor - 1.0);
            if self.on_cores() >= self.cores.limit(now_us)
                || self.active() >= self.cores.ceiling(now_us)
                || memory_kb + more_kb > self.machine.memory_kb * MEMORY_USED
            {
                break;
            }
            let mean = self.mean_calls(rpc.method);
            // Guards against cores that idle while the loop binds: an RPC that would soon be pushed back for
            // the loop's sake starts without its call where that earns a part. It is no admission, as it will
            // not call.
            let room = self.control.room(mean);
            if !room {
                self.lanes.small_blocked |= !self.lanes.is_large(rpc.method);
                let waited_half = 2 * now_us >= rpc.arrived_us + self.latest_start(rpc);
                if self.methods[rpc.method].skip_share <= 0.0 || !waited_half {
                    break;
                }
            }
            self.control.released(if room { mean } else { 0.0 });
            memory_kb += more_kb;
            let rpc = self.rpcs.get_mut(&seq).expect("indexed");
            rpc.callless = !room;
            (rpc.stage, rpc.started_us, rpc.on_core_us) = (Stage::Running, now_us, now_us);
            self.host.run(&rpc.id);
            self.quota_buckets.charge(rpc.tenant);
            self.tried(seq, 0.0);
        }
        // Those already under way go on to their calls, oldest first.
        self.place_calls(now_us);
        self.arm(now_us);
    }

    /// Places the calls that RPCs wait for, within the told share, or leaves them out where that earns a
    /// part.
    fn place_calls(&mut self, now_us: u64) {
        self.count_in_hand(now_us);
        let usual_us = self.call_times.at(0.9);
        let (typical_us, patience_us) = (usual_us.unwrap_or(0), usual_us.unwrap_or(PERIOD_US) * PATIENT);
        let under_way: Vec<u64> = self.rpcs.iter().filter(|(_, r)| !r.answered).map(|(n, _)| *n).collect();
        for seq in under_way {
            let rpc = &self.rpcs[&seq];
            let Stage::AtCall(from_us) = rpc.stage else { continue };
            let method = &self.methods[rpc.method];
            let rest_us = rpc.core_us; // what remains after the call is taken to be like what came before it
            let due_us = rpc.due_us.saturating_sub(MARGIN_US);
            let can_skip = method.skip_share > 0.0;
            // Guards against calls into a silent place, which would fill the crowd until their RPCs are due:
            // past the latency target a call gets a few times its usual time. Harms a late answer that still
            // earns a part.
            let patient_us = if can_skip { 0 } else { now_us + patience_us };
            let until_us = rpc.target_us.saturating_sub(rest_us).max(patient_us).min(due_us);
            if can_skip && (rpc.callless || now_us + typical_us >= until_us) {
                self.skip(now_us, seq);
            } else if now_us >= from_us && self.below_has_room() {
                let rpc = self.rpcs.get_mut(&seq).expect("indexed");
                rpc.stage = Stage::Calling;
                self.host.call(&rpc.id, until_us.max(now_us + 1_000));
                self.control.called();
            }
        }
    }

    fn skip(&mut self, now_us: u64, seq: u64) {
        let rpc = self.rpcs.get_mut(&seq).expect("indexed");
        (rpc.stage, rpc.on_core_us) = (Stage::Running, now_us);
        self.host.skip_call(&rpc.id);
    }

    /// Guards what all servers call. It slows long before the told share of calls in hand, so fewer are
    /// placed at once and the rest wait here; more wanted in the mean than the share is a sign of overload.
    fn below_has_room(&self) -> bool {
        let Below::Shared { share, .. } = self.below else { return true };
        (self.calls_in_hand() as f64) < (AT_ONCE * share).max(1.0) && self.hands.mean < SHARE_USED * share
    }

    fn calls_in_hand(&self) -> usize {
        self.rpcs.values().filter(|r| r.stage == Stage::Calling).count() + self.hands.lingering.len()
    }

    fn count_in_hand(&mut self, now_us: u64) {
        let Below::Shared { share, window_us, .. } = self.below else { return };
        let part = ((now_us - self.hands.at_us) as f64 / (window_us / 2).max(1) as f64).min(1.0);
        let in_hand = self.calls_in_hand() as f64;
        let waiting = self.rpcs.values().filter(|r| matches!(r.stage, Stage::AtCall(_))).count() as f64;
        self.hands.mean += (in_hand - self.hands.mean) * part;
        self.hands.wanted += (in_hand + waiting - self.hands.wanted) * part;
        self.hands.at_us = now_us;
        if self.hands.wanted > share && in_hand + waiting > share {
            self.control.overloaded();
        }
        while self.hands.lingering.front().is_some_and(|ends| *ends <= now_us) {
            self.hands.lingering.pop_front();
        }
    }

    fn linger(&mut self, now_us: u64) {
        if let Below::Shared { linger_us, .. } = self.below {
            self.hands.lingering.push_back(now_us + linger_us);
        }
    }

    /// Gives up what is due, what came too late in a drain, and what is held but cannot start in time.
    fn overdue(&mut self, now_us: u64) {
        let late_us = self.leaving.map_or(u64::MAX, |(since, _)| since + self.drain_grace_us);
        let held_over = |r: &Rpc| r.arrived_us > late_us || now_us > self.latest_start(r);
        let is_over = |r: &Rpc| now_us >= self.answer_by(r) || r.stage == Stage::Held && held_over(r);
        let open = self.rpcs.iter().filter(|(_, r)| !r.answered);
        let over: Vec<u64> = open.filter(|(_, r)| is_over(r)).map(|(n, _)| *n).collect();
        over.into_iter().for_each(|seq| self.give_up(seq));
    }

    /// The last moment for an answer: its due time, or the end of the process, with a margin.
    fn answer_by(&self, rpc: &Rpc) -> u64 {
        rpc.due_us.min(self.leaving.map_or(u64::MAX, |(_, ends)| ends)).saturating_sub(MARGIN_US)
    }

    /// An RPC started after this would likely miss its latency target. One too long for its target in any
    /// case still has a short while: guards against idle cores turning long RPCs away on a pessimistic
    /// estimate.
    fn latest_start(&self, rpc: &Rpc) -> u64 {
        let ends_us = rpc.target_us.min(self.answer_by(rpc));
        let method = &self.methods[rpc.method];
        let target_us = method.latency_target_us;
        let run_us = self.whole.likely(rpc.method, LATE_QUANTILE, rpc.effort_us, target_us / 4);
        ends_us.saturating_sub(run_us).max((rpc.arrived_us + target_us / 8).min(ends_us))
    }

    /// Time on the cores that an RPC will likely take.
    fn core_time(&self, method: usize, effort_us: Option<u64>) -> u64 {
        self.on_core.likely(method, 0.5, effort_us, self.methods[method].latency_target_us / 4)
    }

    /// Guards against more memory than there is: the held RPCs of least value go until the rest fits.
    fn fit_memory(&mut self, now_us: u64) {
        while self.keys.first().is_some_and(|(lapses, _)| *lapses <= now_us) {
            self.keys.pop_first();
        }
        while self.memory_kb() > self.machine.memory_kb * MEMORY_USED {
            // Held ones first: those that wait for a shared outcome can only be aborted.
            let waiting = self.rpcs.iter().filter(|(_, r)| matches!(r.stage, Stage::Held | Stage::Sharing));
            let value = |r: &Rpc| if r.stage == Stage::Held { r.value } else { f64::MAX };
            let Some((&seq, _)) = waiting.min_by(|a, b| value(a.1).total_cmp(&value(b.1))) else { return };
            self.give_up(seq);
        }
    }

    /// Walks the hold in the order of starting. Where one would start too late, the least valuable before it
    /// has waited in vain: it goes, so that criticality decides who is turned away while age decides who
    /// starts.
    fn crowded_out(&mut self, now_us: u64) {
        let limit = self.cores.limit(now_us) as u64;
        let mut walked: Vec<(u64, u64)> = Vec::new();
        let (mut wait_us, mut patience_us) = (0, 1);
        let held: Vec<u64> = self.held().map(|(n, _)| *n).collect();
        let (mut full, count) = (false, held.len() as u64);
        for seq in held {
            let rpc = &self.rpcs[&seq];
            let core_us = self.core_time(rpc.method, rpc.effort_us) / limit;
            let core_us = core_us.max(self.control.pace_us(self.mean_calls(rpc.method)));
            let latest_us = self.latest_start(rpc);
            patience_us += latest_us.saturating_sub(rpc.arrived_us);
            walked.push((seq, core_us));
            let target_us = self.methods[rpc.method].latency_target_us;
            // Guards against many going for one that is too long to be helped.
            let helped = latest_us > rpc.arrived_us + target_us / 4;
            if helped && now_us + wait_us > latest_us {
                full = true;
                let value = |i: usize| self.rpcs[&walked[i].0].value;
                let least = (0..walked.len()).min_by(|a, b| value(*a).total_cmp(&value(*b))).unwrap_or(0);
                if value(least) < rpc.value {
                    let (out, saved_us) = walked.remove(least);
                    wait_us -= saved_us;
                    self.give_up(out);
                }
            }
            wait_us += core_us;
        }
        self.hold_us = wait_us;
        self.pressure = (wait_us * count) as f64 / patience_us as f64;
        self.full_since_us = full.then(|| self.full_since_us.unwrap_or(now_us));
    }

    /// The final answer to an RPC we gave up on, at once. One that never ran is pushed back with a time to
    /// come back, and a further try is asked to be the last: guards against repeats that feed themselves, as
    /// each costs its reading everywhere; harms where only the servers tried so far are busy. Any other is
    /// aborted, as it may have had its effect, and taken off the cores.
    fn give_up(&mut self, seq: u64) {
        let busy_us = if self.leaving.is_some() { u64::MAX } else { self.hold_us };
        let come_back_us = busy_us.min(self.advice.max_come_back_us);
        let rpc = self.rpcs.get_mut(&seq).expect("given up once");
        rpc.answered = true;
        match rpc.stage {
            Stage::Held => {
                let last = rpc.further || self.elsewhere_full > ELSEWHERE_FULL;
                self.host.push_back(&rpc.id, last, come_back_us);
                self.tried(seq, 1.0);
                self.unrecord(seq);
            }
            Stage::Sharing => {
                self.host.abort(&rpc.id);
                self.forget(seq);
            }
            _ => {
                self.host.abort(&rpc.id);
                self.take_off(seq);
            }
        }
    }

    /// A further try started here or was pushed back. Servers are met by chance, so that further tries from
    /// other servers tell here what ours will find there.
    fn tried(&mut self, seq: u64, pushed_back: f64) {
        if self.rpcs[&seq].further || !self.advice.marks_tries {
            self.elsewhere_full += (pushed_back - self.elsewhere_full) / 16.0;
        }
    }

    /// Asks for answered work to be taken off; it is counted until it settles.
    fn take_off(&mut self, seq: u64) {
        let rpc = self.rpcs.get_mut(&seq).expect("indexed");
        if rpc.stage == Stage::Running && self.machine.stopping != Stopping::Never {
            rpc.stopping = true;
            self.host.stop(&rpc.id);
        }
    }

    /// Forgets a held RPC and its key: it never ran, so that a repeat may.
    fn unrecord(&mut self, seq: u64) {
        let id = self.rpcs[&seq].id.clone();
        let keys = self.keys.len();
        self.keys.retain(|(_, key)| *key != id);
        if self.keys.len() < keys {
            self.host.forget_key(&id);
        }
        self.forget(seq);
    }

    fn forget(&mut self, seq: u64) {
        if let Some(rpc) = self.rpcs.remove(&seq) {
            self.by_id.remove(&rpc.id);
        }
    }

    fn held(&self) -> impl Iterator<Item = (&u64, &Rpc)> {
        self.rpcs.iter().filter(|(_, r)| r.stage == Stage::Held)
    }

    fn head(&self, large: bool, newest: bool) -> Option<u64> {
        let mut lane = self.held().filter(|(_, r)| self.lanes.is_large(r.method) == large).map(|(n, _)| *n);
        if newest {
            lane.last()
        } else {
            lane.next()
        }
    }

    /// What the lane of a method calls in the mean; nothing where the method never calls.
    fn mean_calls(&self, method: usize) -> f64 {
        let mean = self.lanes.means[usize::from(self.lanes.is_large(method))];
        mean * f64::from(u8::from(self.methods[method].calls))
    }

    fn on_cores(&self) -> usize {
        self.rpcs.values().filter(|r| r.stage == Stage::Running).count()
    }

    /// Those on the cores and those that calls may bring back to them.
    fn active(&self) -> usize {
        self.rpcs.values().filter(|r| r.stage != Stage::Held).count()
    }

    fn memory_kb(&self) -> f64 {
        let kb = |r: &Rpc| r.kb * if r.stage == Stage::Held { 1.0 } else { self.machine.run_factor };
        self.rpcs.values().map(kb).sum::<f64>() + self.keys.len() as f64 * self.machine.key_kb
    }

    /// How much of the usual traffic is wanted: an integral step on how far the hold outgrows what its RPCs
    /// can wait; a cold server wants no more than its share of speed.
    fn advise(&mut self, now_us: u64) {
        let e = PRESSURE_MEANT - self.pressure;
        let step = if e < 0.0 { WANTED_FALL * e.max(-1.0) } else { WANTED_RISE * e };
        self.wanted = (self.wanted + step).clamp(WANTED_LEAST, 1.0);
        if self.leaving.is_none() {
            let wanted = self.wanted.min(self.cores.warmth(now_us));
            self.tell((wanted * 100.0).round() / 100.0);
        }
    }

    fn tell(&mut self, wanted: f64) {
        if wanted == self.told {
            return;
        }
        self.told = wanted;
        let room = f64::from(self.machine.cores) * 4.0 / f64::from(self.advice.callers.max(1));
        match self.advice.sent_back {
            SentBack::Nothing => {}
            SentBack::Weight => self.host.send_back(wanted),
            SentBack::Level => self.host.send_back(0.9 * (1.0 - wanted)),
            SentBack::Credit => self.host.send_back(room * wanted),
        }
    }

    /// One timer, for the earliest thing that time alone brings.
    fn arm(&mut self, now_us: u64) {
        let first = self.rpcs.values().filter(|r| !r.answered).map(|r| self.answer_by(r)).min();
        let at_us = self.pulse_us.min(first.unwrap_or(u64::MAX)).max(now_us + 1_000);
        if at_us < self.armed_us {
            self.armed_us = at_us;
            self.host.wake(at_us, at_us);
        }
    }
}
