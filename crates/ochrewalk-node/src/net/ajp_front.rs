//! Callers' connections by AJP: accepted, read, answered, ended. What may come when is the life's in `ochrewalk-ajp`,
//! what a request stands for the judge's in `ochrewalk-ingress`; from there on an RPC is as any other.

use super::front::{Front, ENDING};
use super::link::{adopt, carry, let_go, Finish, Outbox, Reader};
use crate::configuration::agent::ConfigurationHandle;
use crate::configuration::state::Quotas;
use crate::core::{Asked, Core};
use crate::ending::Ending;
use crate::moving::records::{KeptAjp, KeptAjps, KeptAsks, Whereabouts};
use crate::seam::{Answer, Asker};
use base64::prelude::{Engine, BASE64_STANDARD};
use may::net::TcpStream;
use ochrewalk::host::{RpcId, Tenant};
use ochrewalk_ajp::answerer::{Acts, Bounds, End, Life, Plain, Refusal, State};
use ochrewalk_ajp::reply::{self, Head};
use ochrewalk_ajp::request::{self, BodyLength, Message};
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::connection_budget::{self, Standing, Verdict, Worth};
use ochrewalk_ingress::judge::{Asks, Method, No, Rules};
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

/// The largest body that the protocols in front allow.
const MOST_BODY: u64 = 2 * 1024;
const FIRST_US: u64 = 5_000_000;
const PACKET_US: u64 = 2_000_000;
const BODY_US: u64 = 3_000_000;
const CLOSE_US: u64 = 1_000_000;
const MOST_FAULTS: u32 = 8;
const SWEEP: Duration = Duration::from_millis(100);

/// Says that an RPC never ran, so that it may go elsewhere whatever its kind.
pub const NEVER_RAN: &str = "x-ochrewalk-never-ran";
const COME_BACK: &str = "x-ochrewalk-come-back-ms";
const LAST: &str = "x-ochrewalk-last";
const SIGNAL: &str = "x-ochrewalk-signal";

/// What may change while the node serves.
pub struct Open {
    pub allowed_peers: AllowedPeers,
    pub rules: Rules,
    /// Tenants whose quotas came from the control plane.
    pub quotas: Arc<Quotas>,
}

pub struct AjpFront {
    core: Arc<Core>,
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
        core: Arc<Core>,
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
            configuration.used_quota(tenant.clone());
            return known.quota();
        }
        configuration.want_quota(tenant.into());
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

    /// Has every connection looked at again, as a standstill is over.
    pub fn nudge(&self) {
        self.all().iter().for_each(|connection| connection.outbox.nudge());
    }

    /// The listener's descriptor.
    pub fn listener(&self) -> Option<RawFd> {
        self.lock().listener.as_ref().map(|listener| listener.as_raw_fd())
    }

    /// Every connection with its descriptor, for another process to go on with. None where one is only just coming
    /// or going.
    pub fn keep(&self) -> Option<(KeptAjps, Vec<RawFd>)> {
        let table = self.lock();
        let (mut of, mut descriptors) = (Vec::new(), Vec::new());
        for (number, connection) in table.of.iter().filter(|(_, connection)| !connection.lock().over) {
            let (fd, stream) = connection.outbox.keep()?;
            let state = connection.lock();
            let (life, spoke, faults) = state.life.keep();
            let (kind, since_us, got, stated, flag) = match life {
                State::Idle { since_us } => (0, since_us, 0, None, false),
                State::Head { since_us } => (1, since_us, 0, None, false),
                State::Body { since_us, got, of } => {
                    let stated = if let BodyLength::Stated(length) = of { Some(length) } else { None };
                    (2, since_us, got, stated, false)
                }
                State::InHand { spoilt } => (3, 0, 0, None, spoilt),
                State::Answering { reuse } => (4, 0, 0, None, reuse),
                State::Closing { since_us } => (5, since_us, 0, None, false),
                State::Over => (6, 0, 0, None, false),
            };
            of.push(KeptAjp {
                number: *number,
                stream,
                state: kind,
                since_us,
                got,
                stated,
                flag,
                spoke,
                faults,
                asks: state.asks.as_ref().map(kept_asks),
                body: state.body.clone(),
                rpc: state.rpc.as_ref().map(|id| id.to_string()),
                serial: state.serial,
                used_us: state.used_us,
                good: state.good,
            });
            descriptors.push(fd);
        }
        Some((KeptAjps { of, next: table.next }, descriptors))
    }

    /// Goes on with connections of another process. `ids` are those of the RPCs that are open.
    pub fn resume(
        &self,
        kept: KeptAjps,
        descriptors: Vec<OwnedFd>,
        ids: &HashSet<RpcId>,
    ) -> Vec<(Arc<Connection>, OwnedFd)> {
        let mut table = self.lock();
        table.next = kept.next;
        let id = |rpc: String| ids.get(rpc.as_str()).cloned().unwrap_or_else(|| rpc.into());
        let mut resumed = Vec::new();
        for (kept, descriptor) in kept.of.into_iter().zip(descriptors) {
            let (since_us, flag) = (kept.since_us, kept.flag);
            let life = match kept.state {
                0 => State::Idle { since_us },
                1 => State::Head { since_us },
                2 => {
                    let of = kept.stated.map_or(BodyLength::Unstated, BodyLength::Stated);
                    State::Body { since_us, got: kept.got, of }
                }
                3 => State::InHand { spoilt: flag },
                4 => State::Answering { reuse: flag },
                5 => State::Closing { since_us },
                _ => State::Over,
            };
            let state = Carried {
                life: Life::resume(self.bounds(), life, kept.spoke, kept.faults),
                asks: kept.asks.map(asks_again),
                body: kept.body,
                rpc: kept.rpc.map(id),
                serial: kept.serial,
                used_us: kept.used_us,
                good: kept.good,
                going: false,
                over: false,
            };
            let outbox = Outbox::resume(kept.stream, false);
            let connection = Arc::new(Connection { number: kept.number, outbox, state: Mutex::new(state) });
            table.of.insert(kept.number, connection.clone());
            resumed.push((connection, descriptor));
        }
        resumed
    }

    /// Carries connections that [`AjpFront::resume`] gave.
    pub fn go_on(self: &Arc<Self>, resumed: Vec<(Arc<Connection>, OwnedFd)>) {
        for (connection, descriptor) in resumed {
            let front = self.clone();
            may::go!(move || front.serve(&adopt(descriptor), connection.number, &connection));
        }
    }

    /// Who waits for an answer on a connection, as [`Asker::whereabouts`] said.
    pub fn asker(self: &Arc<Self>, at: &Whereabouts) -> Option<Box<dyn Asker>> {
        let connection = self.lock().of.get(&at.connection)?.clone();
        Some(Box::new(Caller { front: self.clone(), connection, serial: at.serial }))
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
            Err(err) => Ending::of_use(&err),
        };
        let mut wanted = Wanted::default();
        {
            let mut state = connection.lock();
            state.over = true;
            state.life.closed(&mut wanted);
        }
        match &ending {
            Ending::Malformed(_) | Ending::TooLong => tracing::warn!(part = "ajp", "{ending}"),
            _ => tracing::debug!(part = "ajp", "{ending}; {} RPCs open", u8::from(wanted.gone)),
        }
        let rpc = connection.lock().rpc.take();
        if let Some(id) = rpc.filter(|_| wanted.gone) {
            self.core.gate.gone(&id);
        }
        let_go(stream, &ending, || self.count() >= self.most);
        self.lock().of.remove(&number);
    }

    /// The answer as packets.
    fn packets(&self, answer: Answer, signal: Option<f64>, reuse: bool) -> Vec<u8> {
        let mut headers: Vec<(&[u8], String)> = Vec::new();
        let (status, words, body): (u16, &str, Vec<u8>) = match answer {
            Answer::Served(result) => match decoded(result) {
                Some(body) => (200, "OK", body),
                None => {
                    tracing::error!(part = "ajp", "a result that is no base64 cannot be given");
                    (500, "Aborted", b"aborted: its result cannot be given\n".to_vec())
                }
            },
            Answer::PushedBack { last, come_back_us } => {
                headers.push((NEVER_RAN.as_bytes(), "1".into()));
                if come_back_us > 0 {
                    headers.push((b"retry-after", come_back_us.div_ceil(1_000_000).to_string()));
                    headers.push((COME_BACK.as_bytes(), come_back_us.div_ceil(1_000).to_string()));
                }
                if last {
                    headers.push((LAST.as_bytes(), "1".into()));
                }
                (503, "Pushed Back", b"pushed back: it never ran\n".to_vec())
            }
            Answer::Aborted => (500, "Aborted", b"aborted\n".to_vec()),
            Answer::Fault(why) => (409, "Conflict", format!("{why}\n").into_bytes()),
        };
        if let Some(signal) = signal {
            headers.push((SIGNAL.as_bytes(), signal.to_string()));
        }
        let kind = if status == 200 { "application/octet-stream" } else { "text/plain" };
        self.write(status, words, kind, &headers, &body, reuse)
    }

    fn refusal(&self, refusal: Refusal, allow: &[String], reuse: bool) -> Vec<u8> {
        tracing::warn!(part = "ajp", "{} {}", refusal.status, refusal.why);
        let body = format!("{}\n", refusal.why);
        let allow = (b"allow".as_slice(), allow.join(", "));
        let headers = if allow.1.is_empty() { vec![] } else { vec![allow] };
        self.write(refusal.status, "Refused", "text/plain", &headers, body.as_bytes(), reuse)
    }

    fn health(&self, reuse: bool) -> Vec<u8> {
        let good = self.core.gate.posture().healthy.unwrap_or(false);
        let (status, words, body) =
            if good { (200, "OK", "takes work\n") } else { (503, "Not Now", "takes no work\n") };
        self.write(status, words, "text/plain", &[], body.as_bytes(), reuse)
    }

    fn write(
        &self,
        status: u16,
        words: &str,
        kind: &str,
        headers: &[(&[u8], String)],
        body: &[u8],
        reuse: bool,
    ) -> Vec<u8> {
        let length = body.len().to_string();
        let mut all: Vec<(&[u8], &[u8])> =
            vec![(b"content-type", kind.as_bytes()), (b"content-length", length.as_bytes())];
        all.extend(headers.iter().map(|(name, value)| (*name, value.as_bytes())));
        let head = Head { status, words: words.as_bytes(), headers: all };
        let mut out = Vec::with_capacity(body.len() + 256);
        reply::write_answer(&mut out, self.packet, head, body, reuse).expect("a head that fits any packet");
        out
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

fn kept_asks(pending: &PendingRequest) -> KeptAsks {
    let ts_ms = pending.read_ms;
    match &pending.asks {
        Asks::Health => KeptAsks { health: true, ts_ms, ..KeptAsks::default() },
        Asks::Method(Method { method, id, token, left_us, kb, tenant }) => KeptAsks {
            health: false,
            method: *method as u32,
            id: id.clone(),
            token: token.clone(),
            left_us: *left_us,
            kb: *kb,
            ts_ms,
            tenant: tenant.clone(),
        },
    }
}

/// Its quota is not passed on: a request whose body crosses a hand-over counts as within it.
fn asks_again(kept: KeptAsks) -> PendingRequest {
    let KeptAsks { health, method, id, token, left_us, kb, ts_ms, tenant } = kept;
    let asks = if health {
        Asks::Health
    } else {
        Asks::Method(Method { method: method as usize, id, token, left_us, kb, tenant })
    };
    PendingRequest { asks, read_ms: ts_ms, tenant: None }
}

/// The bytes of a JSON string of base64, in which the solidus may be escaped.
fn decoded(json: &str) -> Option<Vec<u8>> {
    let text = json.strip_prefix('"')?.strip_suffix('"')?;
    if text.contains('\\') {
        return BASE64_STANDARD.decode(text.replace("\\/", "/")).ok();
    }
    BASE64_STANDARD.decode(text).ok()
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, Carried> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

/// What a life asked for while its connection's lock was held; done once it is free.
#[derive(Default)]
struct Wanted {
    start: bool,
    ask: Option<u64>,
    pong: bool,
    refuse: Option<(Refusal, bool)>,
    gone: bool,
    end: Option<End>,
}

impl Acts for Wanted {
    fn start(&mut self) {
        self.start = true;
    }
    fn ask_body(&mut self, most: u64) {
        self.ask = Some(most);
    }
    fn pong(&mut self) {
        self.pong = true;
    }
    fn refuse(&mut self, refusal: Refusal, reuse: bool) {
        self.refuse = Some((refusal, reuse));
    }
    fn gone(&mut self) {
        self.gone = true;
    }
    fn end(&mut self, why: End) {
        self.end = Some(why);
    }
}

/// Who asked, by AJP.
struct Caller {
    front: Arc<AjpFront>,
    connection: Arc<Connection>,
    serial: u64,
}

impl Asker for Caller {
    fn is_owed(&self) -> bool {
        let state = self.connection.lock();
        state.serial == self.serial && state.life.owes()
    }

    fn answer(&self, answer: Answer, signal: Option<f64>) {
        let reuse = {
            let mut state = self.connection.lock();
            if state.serial != self.serial {
                return;
            }
            let Some(reuse) = state.life.answered(matches!(answer, Answer::Fault(_))) else { return };
            (state.rpc, state.used_us) = (None, self.front.core.clock.now_us());
            reuse
        };
        self.connection.outbox.push(self.front.packets(answer, signal, reuse));
    }

    fn whereabouts(&self) -> Whereabouts {
        Whereabouts {
            by_ajp: true,
            connection: self.connection.number,
            name: String::new(),
            serial: self.serial,
        }
    }

    /// It counts once its answer says so: one RPC is in hand at a time.
    fn fault(&self) {}

    fn proven(&self) {
        let mut state = self.connection.lock();
        state.life.proven();
        state.good = true;
    }
}

struct Inbound<'a> {
    front: &'a Arc<AjpFront>,
    connection: &'a Arc<Connection>,
}

impl Reader for Inbound<'_> {
    fn take(&mut self, input: &[u8]) -> Result<usize, Ending> {
        let (mut wanted, mut allow) = (Wanted::default(), Vec::new());
        let taken = {
            let mut state = self.connection.lock();
            if state.life.drops() || !state.life.reads() {
                return Ok(input.len());
            }
            let now_us = self.front.core.clock.now_us();
            let taken = if state.life.awaits_piece() {
                self.piece(&mut state, now_us, input, &mut wanted)
            } else {
                self.message(&mut state, now_us, input, &mut wanted, &mut allow)
            };
            match taken {
                Ok(0) => {
                    state.life.partial(now_us);
                    0
                }
                Ok(taken) => {
                    state.used_us = now_us;
                    taken
                }
                // Where the next packet begins is not known any more; what is owed is still given.
                Err(why) => {
                    state.life.broken(why, &mut wanted);
                    input.len()
                }
            }
        };
        self.act(wanted, &allow);
        Ok(taken)
    }

    fn ready(&self) -> bool {
        self.connection.lock().life.reads()
    }

    fn may_end(&self, how: Finish) -> bool {
        how != Finish::Leaving || !self.connection.lock().life.owes()
    }

    fn drained(&mut self, written: bool) {
        let mut wanted = Wanted::default();
        let closing = {
            let mut state = self.connection.lock();
            let now_us = self.front.core.clock.now_us();
            if written {
                state.life.written(now_us);
            }
            if std::mem::take(&mut state.going) {
                state.life.make_room(&mut wanted);
            }
            state.life.empty(now_us, &mut wanted);
            written && state.life.drops()
        };
        if closing && wanted.end.is_none() {
            // The last answer is out. Its end is told by closing our side: closing all of it on what still comes
            // would reset the answer.
            self.connection.outbox.finish_once(Finish::Leaving);
        }
        self.act(wanted, &[]);
    }
}

impl Inbound<'_> {
    fn piece(
        &self,
        state: &mut Carried,
        now_us: u64,
        input: &[u8],
        wanted: &mut Wanted,
    ) -> Result<usize, ochrewalk_ajp::Broken> {
        let Some((piece, taken)) = request::read_piece(input, self.front.packet)? else { return Ok(0) };
        if state.body.len() + piece.len() <= MOST_BODY as usize {
            state.body.extend_from_slice(piece);
        }
        state.life.piece(now_us, piece.len() as u64, wanted);
        Ok(taken)
    }

    fn message(
        &self,
        state: &mut Carried,
        now_us: u64,
        input: &[u8],
        wanted: &mut Wanted,
        allow: &mut Vec<String>,
    ) -> Result<usize, ochrewalk_ajp::Broken> {
        let Some((message, taken)) = request::read(input, self.front.packet)? else { return Ok(0) };
        let plain = match message {
            Message::Request(request) => {
                // What is in force now holds for all of this request.
                let open = self.front.rules();
                let judged = open.rules.judge(&request);
                if !state.life.owes() {
                    state.body.clear();
                    state.asks = None;
                }
                match judged {
                    Ok((asks, body)) if !state.life.owes() => {
                        let tenant = match &asks {
                            Asks::Method(Method { tenant: Some(tenant), .. }) => {
                                self.front.quota(&open, tenant)
                            }
                            _ => None,
                        };
                        let read_ms = self.front.core.clock.unix_ms();
                        state.asks = Some(PendingRequest { asks, read_ms, tenant });
                        state.life.request(now_us, Ok(body), wanted);
                    }
                    Ok((_, body)) => state.life.request(now_us, Ok(body), wanted),
                    Err(No { refusal, allow: of, last }) => {
                        *allow = of;
                        let follows = request.body_length() != Some(BodyLength::None);
                        if last || follows {
                            state.life.request_with_body(now_us, refusal, wanted);
                        } else {
                            state.life.request(now_us, Err(refusal), wanted);
                        }
                    }
                }
                return Ok(taken);
            }
            Message::CPing => Plain::CPing,
            Message::Login => Plain::Login,
            Message::Shutdown => Plain::Shutdown,
        };
        state.life.plain(now_us, plain, wanted);
        Ok(taken)
    }

    fn act(&self, wanted: Wanted, allow: &[String]) {
        let outbox = &self.connection.outbox;
        let mut out = Vec::new();
        if wanted.pong {
            reply::Message::CPong.write(&mut out, self.front.packet).expect("fits");
        }
        if let Some(most) = wanted.ask {
            let most = most.min(request::longest_piece(self.front.packet) as u64) as u16;
            reply::Message::GetBody(most).write(&mut out, self.front.packet).expect("fits");
        }
        if let Some((refusal, reuse)) = wanted.refuse {
            out.extend(self.front.refusal(refusal, allow, reuse));
        }
        if !out.is_empty() {
            outbox.push(out);
        }
        if wanted.start {
            self.start();
        }
        match wanted.end {
            None => {}
            Some(End::Idle | End::Leaving) => outbox.finish(Finish::Idle),
            Some(End::Silent | End::Unclosed) => outbox.finish(Finish::Silent),
            Some(End::Broken(why)) => {
                tracing::warn!(part = "ajp", "{why}");
                outbox.finish(Finish::Faulty);
            }
        }
    }

    /// The request and its body are whole.
    fn start(&self) {
        let front = self.front;
        let (pending, body, serial) = {
            let mut state = self.connection.lock();
            let Some(pending) = state.asks.take() else { return };
            state.serial += 1;
            (pending, std::mem::take(&mut state.body), state.serial)
        };
        let method = match pending.asks {
            Asks::Method(method) => method,
            Asks::Health => {
                if let Some(reuse) = self.answered(false) {
                    self.connection.outbox.push(front.health(reuse));
                }
                return;
            }
        };
        let id = method.id.unwrap_or_else(|| {
            let mut ids = front.ids.lock().unwrap_or_else(|broken| broken.into_inner());
            format!("{:016x}", ids.u64(..))
        });
        let body = format!("\"{}\"", BASE64_STANDARD.encode(&body));
        let asked = Asked {
            id: &id,
            method: method.method,
            kb: method.kb,
            ts_ms: pending.read_ms,
            left_us: method.left_us,
            token: method.token.as_deref(),
            tenant: pending.tenant,
            body: &body,
        };
        match front.core.check(&asked) {
            Ok(incoming) => {
                self.connection.lock().rpc = Some(incoming.id.clone());
                let caller = Caller { front: front.clone(), connection: self.connection.clone(), serial };
                front.core.begin(incoming, &body, caller);
            }
            Err(why) => {
                if let Some(reuse) = self.answered(true) {
                    self.connection.outbox.push(front.refusal(Refusal { status: 400, why }, &[], reuse));
                }
            }
        }
    }

    fn answered(&self, fault: bool) -> Option<bool> {
        self.connection.lock().life.answered(fault)
    }
}
