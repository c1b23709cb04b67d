//! Callers' connections by AJP: accepted, read, answered, ended. What may come when is the life's in `ochrewalk-ajp`,
//! what a request stands for the judge's in `ochrewalk-ingress`; from there on an RPC is as any other.

mod answers;
mod handover;
mod inbound;

pub use answers::NEVER_RAN;

use super::front::{Front, ENDING};
use super::link::{carry, let_go, Finish, Outbox};
use crate::close_reason::CloseReason;
use crate::configuration::cached_quotas::CachedQuotas;
use crate::configuration::handle::ConfigurationHandle;
use crate::handover::records::ClientAddress;
use crate::interfaces::{Answer, DownstreamClient};
use crate::shared_state::SharedState;
use inbound::{Inbound, Wanted, MOST_BODY};
use may::net::TcpStream;
use ochrewalk::host::{RpcId, Tenant};
use ochrewalk_ajp::answerer::{Bounds, Life};
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::connection_budget::{self, Standing, Verdict, Worth};
use ochrewalk_ingress::judge::{Asks, Rules};
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

const FIRST_US: u64 = 5_000_000;
const PACKET_US: u64 = 2_000_000;
const BODY_US: u64 = 3_000_000;
const CLOSE_US: u64 = 1_000_000;
const MOST_FAULTS: u32 = 8;
const SWEEP: Duration = Duration::from_millis(100);

/// What may change while the node serves.
pub struct Open {
    pub allowed_peers: AllowedPeers,
    pub rules: Rules,
    /// Tenants whose quotas came from the control plane.
    pub quotas: Arc<CachedQuotas>,
}

pub struct AjpFront {
    core: Arc<SharedState>,
    packet: usize,
    most: usize,
    idle_us: u64,
    open: Mutex<Arc<Open>>,
    ids: Mutex<fastrand::Rng>,
    table: Mutex<Table>,
    /// Whom to ask for the quotas of tenants, where there is a control plane.
    configuration: OnceLock<ConfigurationHandle>,
}

#[derive(Default)]
struct Table {
    next: u64,
    of: HashMap<u64, Arc<Connection>>,
    leaving: bool,
    listener: Option<std::net::TcpListener>,
}

pub struct Connection {
    number: u64,
    outbox: Outbox,
    state: Mutex<Carried>,
}

struct Carried {
    life: Life,
    /// The request in hand, or the one whose body is coming.
    asks: Option<PendingRequest>,
    body: Vec<u8>,
    /// The RPC that is owed an answer, and how many came before it here.
    rpc: Option<RpcId>,
    serial: u64,
    used_us: u64,
    good: bool,
    going: bool,
    /// It has ended, and its peer has not seen that yet.
    over: bool,
}

/// A request whose head was read.
struct PendingRequest {
    asks: Asks,
    /// When its head was read, in Unix time.
    read_ms: u64,
    /// The quota that it counts against, as it was in force then.
    tenant: Option<Tenant>,
}

impl AjpFront {
    /// `most` connections at a time, with packets of `packet` bytes at most.
    pub fn new(
        core: Arc<SharedState>,
        open: Open,
        packet: usize,
        most: usize,
        idle_us: u64,
        seed: u64,
    ) -> Arc<AjpFront> {
        let ids = Mutex::new(fastrand::Rng::with_seed(seed ^ 0x616a_7031_332f_6964));
        let (open, table) = (Mutex::new(Arc::new(open)), Mutex::default());
        let configuration = OnceLock::new();
        Arc::new(AjpFront { core, packet, most, idle_us, open, ids, table, configuration })
    }

    /// Quotas of tenants are asked for here from now on.
    pub fn fetch_quotas_by(&self, configuration: ConfigurationHandle) {
        let _ = self.configuration.set(configuration);
    }

    /// The quota that an RPC of this tenant counts against: as distributed, else as the node's file says. A tenant whose
    /// quota is only being fetched counts as within it.
    fn quota(&self, open: &Open, tenant: &str) -> Option<Tenant> {
        let Some(configuration) = self.configuration.get() else {
            return self.core.deployment.tenant(tenant);
        };
        if let Some((tenant, known)) = open.quotas.get_key_value(tenant) {
            configuration.record_quota_use(tenant.clone());
            return known.quota();
        }
        configuration.request_quota(tenant.into());
        self.core.deployment.tenant(tenant)
    }

    /// Who may connect and what requests stand for, from now on. What held until now is given back: a request that
    /// still goes by it is not to be the one that frees it, as that takes a while where there are many routes.
    pub fn change(&self, open: Open) -> Arc<Open> {
        let open = Arc::new(open);
        std::mem::replace(&mut *self.open.lock().unwrap_or_else(|broken| broken.into_inner()), open)
    }

    /// Has those looked at whose silence may mean something by now.
    pub fn sweep(&self) {
        loop {
            may::coroutine::sleep(SWEEP);
            let now_us = self.core.clock.now_us();
            for connection in self.all() {
                if connection.lock().life.due_us().is_some_and(|due_us| now_us >= due_us) {
                    connection.outbox.nudge();
                }
            }
        }
    }

    /// This server leaves: what comes is answered, and each answer is its connection's last.
    pub fn leave(&self) {
        self.lock().leaving = true;
        self.all().iter().for_each(|connection| connection.lock().life.leave());
    }

    /// Nothing more is written once what waits is written.
    pub fn finish(&self) {
        self.all().iter().for_each(|connection| connection.outbox.finish(Finish::Leaving));
    }

    pub fn count(&self) -> usize {
        self.lock().of.len()
    }

    fn all(&self) -> Vec<Arc<Connection>> {
        self.lock().of.values().cloned().collect()
    }

    fn rules(&self) -> Arc<Open> {
        self.open.lock().unwrap_or_else(|broken| broken.into_inner()).clone()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    fn bounds(&self) -> Bounds {
        Bounds {
            first_us: FIRST_US,
            packet_us: PACKET_US,
            body_us: BODY_US,
            idle_us: self.idle_us,
            close_us: CLOSE_US,
            most_body: MOST_BODY,
            most_faults: MOST_FAULTS,
        }
    }

    /// Has every connection looked at again, as a pause is over.
    pub fn nudge(&self) {
        self.all().iter().for_each(|connection| connection.outbox.nudge());
    }

    fn enter(&self) -> (u64, Arc<Connection>) {
        let now_us = self.core.clock.now_us();
        let mut table = self.lock();
        let mut life = Life::new(now_us, self.bounds());
        if table.leaving {
            life.leave();
        }
        let state = Carried {
            life,
            asks: None,
            body: Vec::new(),
            rpc: None,
            serial: 0,
            used_us: now_us,
            good: false,
            going: false,
            over: false,
        };
        table.next += 1;
        let number = table.next;
        let connection = Arc::new(Connection { number, outbox: Outbox::default(), state: Mutex::new(state) });
        table.of.insert(number, connection.clone());
        (number, connection)
    }

    fn serve(self: &Arc<Self>, stream: &TcpStream, number: u64, connection: &Arc<Connection>) {
        let mut reader = Inbound { front: self, connection };
        let ending = match stream.set_nodelay(true) {
            Ok(()) => carry(stream, &connection.outbox, None, self.packet, &mut reader),
            Err(err) => CloseReason::from_io_error(&err),
        };
        let mut wanted = Wanted::default();
        {
            let mut state = connection.lock();
            state.over = true;
            state.life.closed(&mut wanted);
        }
        match &ending {
            CloseReason::Malformed(_) | CloseReason::MessageTooLong => {
                tracing::warn!(part = "ajp", "{ending}")
            }
            _ => tracing::debug!(part = "ajp", "{ending}; {} RPCs open", u8::from(wanted.gone)),
        }
        let rpc = connection.lock().rpc.take();
        if let Some(id) = rpc.filter(|_| wanted.gone) {
            self.core.coordinator.caller_left(&id);
        }
        let_go(stream, &ending, || self.count() >= self.most);
        self.lock().of.remove(&number);
    }
}

impl Front for AjpFront {
    const PART: &'static str = "ajp";

    fn keep_listener(&self, listener: std::net::TcpListener) {
        self.lock().listener = Some(listener);
    }

    fn take_listener(&self) -> Option<std::net::TcpListener> {
        self.lock().listener.take()
    }

    fn is_shut(&self) -> bool {
        self.lock().listener.is_none()
    }

    fn most(&self) -> usize {
        self.most
    }

    fn may_connect(&self, from: IpAddr) -> bool {
        self.rules().allowed_peers.may_connect(from)
    }

    /// Guards against a table full of those that say nothing, or asked once and stay, which would keep callers out.
    fn make_room(&self) -> bool {
        let table = self.lock();
        if table.of.len() < self.most {
            return true;
        }
        let standing = |(number, connection): (&u64, &Arc<Connection>)| {
            let state = connection.lock();
            let worth = Worth { good: state.good, used_us: state.used_us };
            let worth = state.life.idle_since_us().map(|_| worth);
            Standing { number: *number, going: state.going || state.over, worth }
        };
        let all: Vec<Standing> = table.of.iter().map(standing).collect();
        let (number, room) = match connection_budget::look(self.most, ENDING, &all) {
            Verdict::Room => return true,
            Verdict::Full => return false,
            Verdict::RoomFor(number) => (number, true),
            Verdict::Ask(number) => (number, false),
        };
        let goes = table.of[&number].clone();
        drop(table);
        goes.lock().going = true;
        goes.outbox.nudge();
        room
    }

    fn welcome(self: &Arc<Self>, stream: TcpStream) {
        let (number, connection) = self.enter();
        let front = self.clone();
        may::go!(move || front.serve(&stream, number, &connection));
    }
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, Carried> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

/// Who asked, by AJP.
struct Caller {
    front: Arc<AjpFront>,
    connection: Arc<Connection>,
    serial: u64,
}

impl DownstreamClient for Caller {
    fn awaits_answer(&self) -> bool {
        let state = self.connection.lock();
        state.serial == self.serial && state.life.owes()
    }

    fn answer(&self, answer: Answer, signal: Option<f64>) {
        let reuse = {
            let mut state = self.connection.lock();
            if state.serial != self.serial {
                return;
            }
            let Some(reuse) = state.life.answered(matches!(answer, Answer::InvalidRequest(_))) else {
                return;
            };
            (state.rpc, state.used_us) = (None, self.front.core.clock.now_us());
            reuse
        };
        self.connection.outbox.push(self.front.packets(answer, signal, reuse));
    }

    fn address(&self) -> ClientAddress {
        ClientAddress {
            by_ajp: true,
            connection: self.connection.number,
            message_id: String::new(),
            serial: self.serial,
        }
    }

    /// It counts once its answer says so: one RPC is in hand at a time.
    fn record_fault(&self) {}

    fn mark_trusted(&self) {
        let mut state = self.connection.lock();
        state.life.proven();
        state.good = true;
    }
}
