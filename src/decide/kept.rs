//! The state of the decisions as records, so that a successor goes on where this process stopped. Nothing is decided
//! here: each value is written down and read back as it stands. What the deployment states is not kept, but read anew.

use super::{Cores, Decide, Hands, Hist, Lanes, Loop, QuotaBucket, QuotaBuckets, Rpc, Stage, Times};
use crate::host::{Advice, Below, Crowd, Host, Machine, Method, Quotas, RpcId, Tenant};
use std::collections::BTreeMap;
use std::sync::Arc;

/// All that one [`Decide`] knows, in protobuf. What a newer program adds is passed over by an older one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Kept {
    /// The state of the random numbers.
    #[prost(fixed64, tag = "1")]
    rng: u64,
    #[prost(message, required, tag = "2")]
    control: KeptLoop,
    #[prost(message, required, tag = "3")]
    lanes: KeptLanes,
    #[prost(message, required, tag = "4")]
    cores: KeptCores,
    #[prost(message, required, tag = "5")]
    hands: KeptHands,
    /// Levels of all tenants' buckets in the deployment's order, as programs before `quota_buckets` wrote them. Read
    /// only.
    #[prost(double, repeated, tag = "6")]
    levels_by_position: Vec<f64>,
    /// The time that charges of quota buckets count from.
    #[prost(uint64, tag = "7")]
    quota_buckets_at_us: u64,
    #[prost(message, repeated, tag = "8")]
    rpcs: Vec<KeptRpc>,
    #[prost(uint64, tag = "9")]
    next: u64,
    #[prost(uint64, repeated, tag = "10")]
    longest_us: Vec<u64>,
    #[prost(double, repeated, tag = "11")]
    seen_runs: Vec<f64>,
    #[prost(double, repeated, tag = "12")]
    seen_calls: Vec<f64>,
    #[prost(message, required, tag = "13")]
    on_core: KeptTimes,
    #[prost(message, required, tag = "14")]
    whole: KeptTimes,
    #[prost(message, required, tag = "15")]
    call_times: KeptHist,
    #[prost(message, repeated, tag = "16")]
    keys: Vec<KeptKey>,
    #[prost(uint64, optional, tag = "17")]
    full_since_us: Option<u64>,
    #[prost(double, tag = "18")]
    wanted: f64,
    #[prost(double, tag = "19")]
    told: f64,
    #[prost(uint64, tag = "20")]
    hold_us: u64,
    #[prost(double, tag = "21")]
    pressure: f64,
    #[prost(double, tag = "22")]
    elsewhere_full: f64,
    #[prost(uint64, tag = "23")]
    pulse_us: u64,
    #[prost(uint64, tag = "24")]
    armed_us: u64,
    /// The buckets that are held; those of all other tenants are full.
    #[prost(message, repeated, tag = "25")]
    quota_buckets: Vec<KeptQuotaBucket>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptQuotaBucket {
    #[prost(uint32, tag = "1")]
    tenant_id: u32,
    #[prost(double, tag = "2")]
    rate: f64,
    #[prost(double, tag = "3")]
    level: f64,
    #[prost(uint64, tag = "4")]
    refilled_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptLoop {
    #[prost(bool, tag = "1")]
    bound: bool,
    #[prost(double, tag = "2")]
    r: f64,
    #[prost(double, tag = "3")]
    u: f64,
    #[prost(double, tag = "4")]
    y: f64,
    #[prost(double, tag = "5")]
    most_y: f64,
    #[prost(double, tag = "6")]
    admitted: f64,
    #[prost(double, tag = "7")]
    most_admitted: f64,
    #[prost(double, tag = "8")]
    predicted: f64,
    #[prost(bool, tag = "9")]
    reached: bool,
    #[prost(double, tag = "10")]
    signs: f64,
    #[prost(uint32, tag = "11")]
    in_a_row: u32,
    #[prost(uint64, tag = "12")]
    ends_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptLanes {
    #[prost(bool, repeated, tag = "1")]
    large: Vec<bool>,
    #[prost(double, tag = "2")]
    small_mean: f64,
    #[prost(double, tag = "3")]
    large_mean: f64,
    #[prost(double, tag = "4")]
    prob_l: f64,
    #[prost(uint64, tag = "5")]
    drawn_for: u64,
    #[prost(uint64, tag = "6")]
    drawn_us: u64,
    #[prost(bool, tag = "7")]
    drawn: bool,
    #[prost(bool, tag = "8")]
    small_blocked: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptCores {
    #[prost(bool, tag = "1")]
    cold: bool,
    #[prost(uint64, tag = "2")]
    started_us: u64,
    #[prost(double, tag = "3")]
    extra: f64,
    #[prost(uint64, tag = "4")]
    next_us: u64,
    #[prost(double, tag = "5")]
    idle_us: f64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptHands {
    #[prost(uint64, repeated, tag = "1")]
    lingering: Vec<u64>,
    #[prost(double, tag = "2")]
    mean: f64,
    #[prost(double, tag = "3")]
    wanted: f64,
    #[prost(uint64, tag = "4")]
    at_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptHist {
    #[prost(uint32, repeated, tag = "1")]
    bins: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptTimes {
    #[prost(double, repeated, tag = "1")]
    means: Vec<f64>,
    #[prost(message, required, tag = "2")]
    ratios: KeptHist,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptKey {
    #[prost(uint64, tag = "1")]
    lapses_us: u64,
    #[prost(string, tag = "2")]
    id: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptRpc {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(string, tag = "2")]
    id: String,
    #[prost(uint32, tag = "3")]
    method: u32,
    #[prost(uint64, tag = "4")]
    arrived_us: u64,
    #[prost(bool, tag = "5")]
    further: bool,
    #[prost(uint64, tag = "6")]
    due_us: u64,
    #[prost(uint64, tag = "7")]
    target_us: u64,
    #[prost(double, tag = "8")]
    kb: f64,
    #[prost(uint64, optional, tag = "9")]
    effort_us: Option<u64>,
    #[prost(uint32, optional, tag = "10")]
    tenant_id: Option<u32>,
    #[prost(double, tag = "11")]
    value: f64,
    /// 0 held, 1 sharing, 2 running, 3 at its call, 4 calling.
    #[prost(uint32, tag = "12")]
    stage: u32,
    #[prost(uint64, tag = "13")]
    at_call_us: u64,
    #[prost(bool, tag = "14")]
    answered: bool,
    #[prost(bool, tag = "15")]
    stopping: bool,
    #[prost(uint64, tag = "16")]
    started_us: u64,
    #[prost(uint64, tag = "17")]
    on_core_us: u64,
    #[prost(uint64, tag = "18")]
    core_us: u64,
    #[prost(uint32, tag = "19")]
    calls: u32,
    #[prost(bool, tag = "20")]
    callless: bool,
    /// The tenant's quota when it arrived.
    #[prost(double, optional, tag = "21")]
    tenant_per_second: Option<f64>,
}

impl Kept {
    /// Adds the quotas of the deployment that this is read for, in the order of its tenants, to what an older program
    /// wrote without them. What a program of today wrote stays as it is.
    pub fn complete_quotas(&mut self, per_second: &[f64], servers: u32) -> Result<(), String> {
        for rpc in self.rpcs.iter_mut().filter(|rpc| rpc.tenant_per_second.is_none()) {
            rpc.tenant_per_second = rpc.tenant_id.and_then(|id| per_second.get(id as usize)).copied();
        }
        let levels = std::mem::take(&mut self.levels_by_position);
        if levels.is_empty() {
            return Ok(());
        }
        if levels.len() != per_second.len() {
            return Err(format!("buckets of {} tenants, {} here", levels.len(), per_second.len()));
        }
        let servers = f64::from(servers.max(1));
        for (tenant_id, (level, per_second)) in (0..).zip(levels.into_iter().zip(per_second)) {
            let (rate, refilled_us) = (per_second / servers, self.quota_buckets_at_us);
            self.quota_buckets.push(KeptQuotaBucket { tenant_id, rate, level, refilled_us });
        }
        Ok(())
    }
}

impl QuotaBuckets {
    fn keep(&self) -> Vec<KeptQuotaBucket> {
        let keep = |tenant_id: u32| {
            let QuotaBucket { rate, level, refilled_us, .. } = self.held[&tenant_id];
            KeptQuotaBucket { tenant_id, rate, level, refilled_us }
        };
        let not_full = self.by_full_time.range((self.now_us + 1, 0)..);
        not_full.map(|(_, tenant_id)| keep(*tenant_id)).collect()
    }

    fn of(servers: u32, now_us: u64, kept: Vec<KeptQuotaBucket>) -> QuotaBuckets {
        let mut buckets = QuotaBuckets::new(servers);
        buckets.now_us = now_us;
        for kept in kept.into_iter().filter(|kept| kept.rate > 0.0) {
            buckets.hold(kept.tenant_id, QuotaBucket::new(kept.rate, kept.level, kept.refilled_us));
            buckets.let_go();
        }
        buckets
    }
}

impl Hist {
    fn keep(&self) -> KeptHist {
        KeptHist { bins: self.bins.iter().map(|n| u32::from(*n)).collect() }
    }

    fn of(kept: &KeptHist) -> Result<Hist, String> {
        let bins: Vec<u16> = kept.bins.iter().map(|n| *n as u16).collect();
        let bins: [u16; 28] = bins.try_into().map_err(|_| "a histogram of another size")?;
        Ok(Hist { bins, total: bins.iter().sum() })
    }
}

impl Times {
    fn keep(&self) -> KeptTimes {
        KeptTimes { means: self.means.clone(), ratios: self.ratios.keep() }
    }

    fn of(kept: KeptTimes, methods: usize) -> Result<Times, String> {
        Ok(Times { means: sized("run times", kept.means, methods)?, ratios: Hist::of(&kept.ratios)? })
    }
}

impl Rpc {
    fn keep(&self, seq: u64) -> KeptRpc {
        let (stage, at_call_us) = match self.stage {
            Stage::Held => (0, 0),
            Stage::Sharing => (1, 0),
            Stage::Running => (2, 0),
            Stage::AtCall(from_us) => (3, from_us),
            Stage::Calling => (4, 0),
        };
        KeptRpc {
            seq,
            id: self.id.to_string(),
            method: self.method as u32,
            arrived_us: self.arrived_us,
            further: self.further,
            due_us: self.due_us,
            target_us: self.target_us,
            kb: self.kb,
            effort_us: self.effort_us,
            tenant_id: self.tenant.map(|tenant| tenant.id),
            tenant_per_second: self.tenant.map(|tenant| tenant.per_second),
            value: self.value,
            stage,
            at_call_us,
            answered: self.answered,
            stopping: self.stopping,
            started_us: self.started_us,
            on_core_us: self.on_core_us,
            core_us: self.core_us,
            calls: self.calls,
            callless: self.callless,
        }
    }

    fn of(kept: KeptRpc, methods: usize) -> Result<Rpc, String> {
        let stage = match kept.stage {
            0 => Stage::Held,
            1 => Stage::Sharing,
            2 => Stage::Running,
            3 => Stage::AtCall(kept.at_call_us),
            4 => Stage::Calling,
            other => return Err(format!("an RPC in an unknown stage {other}")),
        };
        if kept.method as usize >= methods {
            return Err("an RPC of an unknown method".into());
        }
        Ok(Rpc {
            id: RpcId::from(kept.id),
            method: kept.method as usize,
            arrived_us: kept.arrived_us,
            further: kept.further,
            due_us: kept.due_us,
            target_us: kept.target_us,
            kb: kept.kb,
            effort_us: kept.effort_us,
            tenant: kept
                .tenant_id
                .zip(kept.tenant_per_second)
                .map(|(id, per_second)| Tenant { id, per_second }),
            value: kept.value,
            stage,
            answered: kept.answered,
            stopping: kept.stopping,
            started_us: kept.started_us,
            on_core_us: kept.on_core_us,
            core_us: kept.core_us,
            calls: kept.calls,
            callless: kept.callless,
        })
    }
}

fn sized<T>(what: &str, list: Vec<T>, size: usize) -> Result<Vec<T>, String> {
    if list.len() == size {
        Ok(list)
    } else {
        Err(format!("{what} of {} methods, {size} here", list.len()))
    }
}

impl<H: Host> Decide<H> {
    /// Writes down all that it knows. Nothing may be told to it after this, if another goes on from there.
    pub fn keep(&self) -> Kept {
        let Loop { bound, r, u, y, most_y, admitted, most_admitted, predicted, .. } = self.control;
        let Loop { reached, signs, in_a_row, ends_us, .. } = self.control;
        let (drawn_for, drawn_us, drawn) = self.lanes.draw;
        let [small_mean, large_mean] = self.lanes.means;
        Kept {
            rng: self.rng.get_seed(),
            control: KeptLoop {
                bound,
                r,
                u,
                y,
                most_y,
                admitted,
                most_admitted,
                predicted,
                reached,
                signs,
                in_a_row,
                ends_us,
            },
            lanes: KeptLanes {
                large: self.lanes.large.clone(),
                small_mean,
                large_mean,
                prob_l: self.lanes.prob_l,
                drawn_for,
                drawn_us,
                drawn,
                small_blocked: self.lanes.small_blocked,
            },
            cores: KeptCores {
                cold: self.cores.crowd.cold,
                started_us: self.cores.started_us,
                extra: self.cores.extra,
                next_us: self.cores.next_us,
                idle_us: self.cores.idle_us,
            },
            hands: KeptHands {
                lingering: self.hands.lingering.iter().copied().collect(),
                mean: self.hands.mean,
                wanted: self.hands.wanted,
                at_us: self.hands.at_us,
            },
            levels_by_position: Vec::new(),
            quota_buckets_at_us: self.quota_buckets.now_us,
            quota_buckets: self.quota_buckets.keep(),
            rpcs: self.rpcs.iter().map(|(seq, rpc)| rpc.keep(*seq)).collect(),
            next: self.next,
            longest_us: self.longest_us.clone(),
            seen_runs: self.seen.iter().map(|s| s.0).collect(),
            seen_calls: self.seen.iter().map(|s| s.1).collect(),
            on_core: self.on_core.keep(),
            whole: self.whole.keep(),
            call_times: self.call_times.keep(),
            keys: self.keys.iter().map(|(at, id)| KeptKey { lapses_us: *at, id: id.to_string() }).collect(),
            full_since_us: self.full_since_us,
            wanted: self.wanted,
            told: self.told,
            hold_us: self.hold_us,
            pressure: self.pressure,
            elsewhere_full: self.elsewhere_full,
            pulse_us: self.pulse_us,
            armed_us: self.armed_us,
        }
    }

    /// Goes on from what another wrote down on the same clock. Nothing is asked of the host yet. An error says what
    /// does not fit this deployment.
    #[allow(clippy::too_many_arguments)] // each part takes its own few settings, as in `start`
    pub fn resume(
        host: H,
        machine: Machine,
        crowd: Crowd,
        methods: impl Into<Arc<[Method]>>,
        below: Below,
        advice: Advice,
        quotas: Quotas,
        drain_grace_us: u64,
        kept: Kept,
    ) -> Result<Decide<H>, String> {
        let methods = methods.into();
        let count = methods.len();
        let mut rpcs = BTreeMap::new();
        for rpc in kept.rpcs {
            rpcs.insert(rpc.seq, Rpc::of(rpc, count)?);
        }
        // Keys name the same ids as the RPCs that are still here: one allocation serves both.
        let by_id: std::collections::HashMap<RpcId, u64> =
            rpcs.iter().map(|(seq, rpc)| (rpc.id.clone(), *seq)).collect();
        let key_id =
            |id: String| by_id.get_key_value(id.as_str()).map_or_else(|| id.into(), |(id, _)| id.clone());
        let keys = kept.keys.into_iter().map(|key| (key.lapses_us, key_id(key.id))).collect();
        let runs = sized("runs seen", kept.seen_runs, count)?;
        let calls = sized("calls seen", kept.seen_calls, count)?;
        let crowd = Crowd { cold: kept.cores.cold, ..crowd };
        let mut cores = Cores::new(machine.cores, crowd, machine.idle_most_us, kept.cores.started_us);
        (cores.extra, cores.next_us, cores.idle_us) =
            (kept.cores.extra, kept.cores.next_us, kept.cores.idle_us);
        let (c, l) = (kept.control, kept.lanes);
        Ok(Decide {
            host,
            rng: fastrand::Rng::with_seed(kept.rng),
            machine,
            methods,
            below,
            advice,
            by_work: quotas.by_work,
            over_quota: quotas.over_quota,
            quota_buckets: QuotaBuckets::of(quotas.servers, kept.quota_buckets_at_us, kept.quota_buckets),
            drain_grace_us,
            rpcs,
            by_id,
            next: kept.next,
            longest_us: sized("longest waits", kept.longest_us, count)?,
            seen: runs.into_iter().zip(calls).collect(),
            on_core: Times::of(kept.on_core, count)?,
            whole: Times::of(kept.whole, count)?,
            call_times: Hist::of(&kept.call_times)?,
            keys,
            control: Loop {
                bound: c.bound,
                r: c.r,
                u: c.u,
                y: c.y,
                most_y: c.most_y,
                admitted: c.admitted,
                most_admitted: c.most_admitted,
                predicted: c.predicted,
                reached: c.reached,
                signs: c.signs,
                in_a_row: c.in_a_row,
                ends_us: c.ends_us,
            },
            lanes: Lanes {
                large: sized("lanes", l.large, count)?,
                means: [l.small_mean, l.large_mean],
                prob_l: l.prob_l,
                draw: (l.drawn_for, l.drawn_us, l.drawn),
                small_blocked: l.small_blocked,
            },
            cores,
            hands: Hands {
                lingering: kept.hands.lingering.into(),
                mean: kept.hands.mean,
                wanted: kept.hands.wanted,
                at_us: kept.hands.at_us,
            },
            full_since_us: kept.full_since_us,
            leaving: None,
            wanted: kept.wanted,
            told: kept.told,
            hold_us: kept.hold_us,
            pressure: kept.pressure,
            elsewhere_full: kept.elsewhere_full,
            pulse_us: kept.pulse_us,
            armed_us: kept.armed_us,
        })
    }
}
