//! Calls below by AJP: connections made, written and read as `ochrewalk-connection-pool` decides, each with the life of an
//! asker's connection. One lock guards both; nothing is read or written while it is held.

use super::buffered_connection::{
    close_gracefully, connect, drive_connection, CloseRequest, MessageHandler, SendQueue,
};
use crate::clock::Clock;
use crate::close_reason::{CallResult, CloseReason};
use crate::coordinator::{EventSender, RequestEvent};
use crate::handover::records::UpstreamRecord;
use crate::interfaces::UpstreamClient;
use ochrewalk::host::RpcId;
use ochrewalk_ajp::asker::{Acts, Bounds, End, Life, Reply};
use ochrewalk_ajp::reply;
use ochrewalk_ajp::request::{self, Attribute, Message, Request, Which};
use ochrewalk_connection_pool::{
    CallId, CallResult as PoolCallResult, ConnectionId, ConnectionPool, Disconnect, ReplyOutcome, Transport,
};
use ochrewalk_ingress::judge::Headers;
use ochrewalk_load_balancer::{EjectionCause, Endpoint};
use ochrewalk_operator_config::{AjpUpstream, UpstreamEndpoint};
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::fmt::Write;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How often calls that wait, connections that stand idle and silent ones are looked at.
const SWEEP: Duration = Duration::from_millis(20);
/// The longest answer that is read, as by the other protocol below.
const MOST_REPLY: usize = 64 * 1024;

#[derive(Clone)]
pub struct AjpUpstreamClient(Arc<Inner>);

struct Inner {
    clock: Clock,
    settings: AjpUpstream,
    headers: Headers,
    state: Mutex<State>,
    /// Connections that have ended and whose peers have not seen that yet.
    ending: AtomicUsize,
}

struct State {
    places: ConnectionPool,
    hands: Hands,
    /// Calls that wait for the end of a hold; none where none is on.
    held: Option<Vec<HeldCall>>,
}

/// A call that came while none was to be placed.
struct HeldCall {
    id: RpcId,
    until_us: u64,
    body: Vec<u8>,
    again: bool,
    post: EventSender,
}

/// What the connections carry, and what is asked of them.
struct Hands {
    inner: std::sync::Weak<Inner>,
    /// Where each place is, by the number that `ConnectionPool` knows it by.
    places: Vec<SocketAddr>,
    links: HashMap<ConnectionId, Link>,
    calls: HashMap<CallId, Call>,
    ids: HashMap<RpcId, CallId>,
    next_call: CallId,
    /// What the module's present word is about: a whole answer, or a connection's end.
    reply: Option<Reply>,
    why: Option<CloseReason>,
    now_us: u64,
}

struct Link {
    send_queue: Arc<SendQueue>,
    life: Life,
    call: Option<CallId>,
    /// How much of the call's body went already.
    sent: usize,
}

struct Call {
    id: RpcId,
    body: Vec<u8>,
    until_us: u64,
    post: EventSender,
}

impl AjpUpstreamClient {
    pub fn new(settings: AjpUpstream, clock: Clock, seed: u64) -> AjpUpstreamClient {
        let bounds = ochrewalk_connection_pool::PoolConfig {
            max_connections: settings.max_connections,
            ping_after_idle_us: settings.ping_after_idle_us,
            max_idle_us: settings.max_idle_us,
        };
        let mut places = ConnectionPool::new(bounds, settings.balancing, settings.retry_budget, seed);
        AjpUpstreamClient(Arc::new_cyclic(|inner| {
            let mut hands = Hands {
                inner: inner.clone(),
                places: Vec::new(),
                links: HashMap::new(),
                calls: HashMap::new(),
                ids: HashMap::new(),
                next_call: 0,
                reply: None,
                why: None,
                now_us: clock.now_us(),
            };
            list(&mut places, &mut hands, &settings.endpoints);
            Inner {
                clock,
                settings,
                headers: Headers::default(),
                state: Mutex::new(State { places, hands, held: None }),
                ending: AtomicUsize::new(0),
            }
        }))
    }

    /// The operators' file names other places: calls to those that it names no more end where they are.
    pub fn set_endpoints(&self, endpoints: &[UpstreamEndpoint]) {
        self.0.with(|places, hands| list(places, hands, endpoints));
    }

    /// Looks after time, for ever.
    pub fn maintain(&self) {
        let mut words: Vec<&str> = Vec::new();
        loop {
            may::coroutine::sleep(SWEEP);
            let now_us = self.0.clock.now_us();
            self.0.with(|places, hands| {
                places.tick(now_us, hands);
                for link in hands.links.values() {
                    if link.life.due_us().is_some_and(|due_us| now_us >= due_us) {
                        link.send_queue.wake();
                    }
                }
                let spread = places.load_balancer();
                words.resize(spread.state().endpoints.len(), "in");
                for (slot, before) in words.iter_mut().enumerate() {
                    let word = spread.status(slot, now_us).name();
                    if let (true, Some(held)) = (word != *before, spread.state().endpoints[slot].as_ref()) {
                        let (place, in_hand) = (hands.places[slot], held.in_flight());
                        let cause = held.health.ejection_cause().map_or("", EjectionCause::description);
                        match (word, *before) {
                            ("out", "trying") => {}
                            ("out", _) => {
                                tracing::warn!(part = "below", %place, in_hand, cause, "ejected")
                            }
                            ("back", _) => tracing::warn!(part = "below", %place, in_hand, "readmitted"),
                            _ => tracing::debug!(part = "below", %place, in_hand, "now {word}, was {before}"),
                        }
                    }
                    *before = word;
                }
            });
        }
    }

    /// How each place stands, one line each, for operators.
    pub fn endpoint_table(&self) -> String {
        let now_us = self.0.clock.now_us();
        self.0.with(|places, hands| {
            let view = places.load_balancer().state();
            let all: f64 = view.subset.iter().map(|slot| view.share(*slot, now_us)).sum();
            let mut text = format!(
                "{:<22} {:<8} {:>9} {:>7} {:>7} {:>9} {:>9}  {}\n",
                "place", "state", "for s", "share", "in hand", "last ms", "calls", "cause"
            );
            for (slot, held) in
                view.endpoints.iter().enumerate().filter_map(|(at, held)| Some((at, held.as_ref()?)))
            {
                let share =
                    if view.subset.contains(&slot) { view.share(slot, now_us) / all.max(1e-9) } else { 0.0 };
                let _ = writeln!(
                    text,
                    "{:<22} {:<8} {:>9.1} {:>7.3} {:>7} {:>9.1} {:>9}  {}",
                    hands.places[slot].to_string(),
                    places.load_balancer().status(slot, now_us).name(),
                    now_us.saturating_sub(held.health.since_us()) as f64 / 1e6,
                    share,
                    held.in_flight(),
                    held.last_latency_us as f64 / 1e3,
                    held.calls_started,
                    held.health.ejection_cause().map_or("", EjectionCause::description)
                );
            }
            text
        })
    }
}

/// A print of a place's name, the same in every process.
fn key(at: &SocketAddr) -> u64 {
    let mut print = SipHasher13::new();
    at.to_string().hash(&mut print);
    print.finish()
}

fn list(places: &mut ConnectionPool, hands: &mut Hands, endpoints: &[UpstreamEndpoint]) {
    let listed = |endpoint: &UpstreamEndpoint| Endpoint {
        key: key(&endpoint.address),
        weight: endpoint.weight,
        is_local_zone: endpoint.is_in_local_zone,
    };
    let listed: Vec<Endpoint> = endpoints.iter().map(listed).collect();
    let slots = places.set_endpoints(hands.now_us, &listed, hands);
    for (slot, endpoint) in slots.into_iter().zip(endpoints) {
        if hands.places.len() <= slot {
            hands.places.resize(slot + 1, endpoint.address);
        }
        hands.places[slot] = endpoint.address;
    }
}

impl UpstreamClient for AjpUpstreamClient {
    fn place_call(&self, id: &RpcId, wait_ms: u64, body: &[u8], again: bool, post: EventSender) {
        // A second call of an RPC stands in the place of the first.
        self.cancel_call(id);
        let until_us = self.0.clock.now_us() + wait_ms * 1_000;
        let call = HeldCall { id: id.clone(), until_us, body: body.to_vec(), again, post };
        if let Some(held) = &mut self.0.lock().held {
            return held.push(call);
        }
        self.0.place(call);
    }

    fn unavailable_for_us(&self) -> Option<u64> {
        self.0.with(|places, hands| places.unavailable_for_us(hands.now_us))
    }

    /// Connections by AJP do not move: a call is under way on each that carries one.
    fn set_calls_paused(&self, hold: bool) {
        let held = {
            let mut state = self.0.lock();
            let held = state.held.take().unwrap_or_default();
            state.held = hold.then(Vec::new);
            held
        };
        held.into_iter().for_each(|call| self.0.place(call));
    }

    fn has_unmovable_calls(&self) -> bool {
        self.0.lock().places.open_calls() > 0
    }

    fn snapshot(&self) -> (UpstreamRecord, Vec<RawFd>) {
        let state = self.0.lock();
        // Those that only wait for a connection were not written, and are placed anew.
        let written = |link: &Link| link.call.filter(|_| link.life.wrote());
        let lost = state.hands.links.values().filter_map(written);
        let name = |call: CallId| state.hands.calls.get(&call).map(|call| call.id.to_string());
        (UpstreamRecord { links: Vec::new(), lost: lost.filter_map(name).collect() }, Vec::new())
    }

    fn recheck_connections(&self) {
        self.0.lock().hands.links.values().for_each(|link| link.send_queue.wake());
    }

    fn cancel_call(&self, id: &str) {
        if let Some(held) = &mut self.0.lock().held {
            held.retain(|call| *call.id != *id);
        }
        self.0.with(|places, hands| {
            let Some(call) = hands.ids.remove(id) else { return };
            hands.calls.remove(&call);
            places.cancel(self.0.clock.now_us(), call, hands);
        });
    }
}

impl Inner {
    fn place(&self, new: HeldCall) {
        let HeldCall { id, until_us, body, again, post } = new;
        self.with(|places, hands| {
            hands.next_call += 1;
            let call = hands.next_call;
            hands.ids.insert(id.clone(), call);
            hands.calls.insert(call, Call { id, body, until_us, post });
            places.start_call(hands.now_us, call, again, until_us, hands);
        });
    }

    fn with<T>(&self, what: impl FnOnce(&mut ConnectionPool, &mut Hands) -> T) -> T {
        let mut state = self.lock();
        let State { places, hands, .. } = &mut *state;
        hands.now_us = self.clock.now_us();
        what(places, hands)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Carries one connection from its making to its end.
    fn keep(&self, link: ConnectionId, at: SocketAddr, send_queue: &SendQueue) {
        let ending = match connect(&at, Duration::from_micros(self.settings.connect_timeout_us)) {
            Ok(stream) => {
                let now_us = self.clock.now_us();
                self.with(|places, hands| {
                    if let Some(of) = hands.links.get_mut(&link) {
                        // Its bounds count from here.
                        of.life = self.life(now_us);
                    }
                    places.connected(now_us, link, hands);
                });
                let ending = drive_connection(
                    &stream,
                    send_queue,
                    None,
                    self.settings.max_packet_bytes,
                    &mut Replies { inner: self, send_queue, link },
                );
                self.end(link, &ending);
                self.ending.fetch_add(1, Ordering::Relaxed);
                let crowded = || {
                    self.lock().hands.links.len() + self.ending.load(Ordering::Relaxed)
                        > self.settings.max_connections
                };
                close_gracefully(&stream, &ending, crowded);
                self.ending.fetch_sub(1, Ordering::Relaxed);
                ending
            }
            Err(ending) => {
                self.with(|places, hands| {
                    hands.links.remove(&link);
                    hands.why = Some(ending.clone());
                    places.disconnected(self.clock.now_us(), link, Disconnect::ConnectFailed, hands);
                });
                ending
            }
        };
        match ending {
            CloseReason::Idle => tracing::debug!(part = "below", place = %at, "{ending}"),
            _ => tracing::warn!(part = "below", place = %at, "{ending}"),
        }
    }

    /// A connection ended that was not let go by us.
    fn end(&self, link: ConnectionId, ending: &CloseReason) {
        self.with(|places, hands| {
            let Some(of) = hands.links.remove(&link) else { return };
            let how = match (of.life.wrote(), ending) {
                (true, _) => Disconnect::AfterWrite,
                (false, CloseReason::TimedOut) => Disconnect::PingTimedOut,
                (false, _) => Disconnect::BeforeWrite,
            };
            hands.why = Some(ending.clone());
            places.disconnected(self.clock.now_us(), link, how, hands);
        });
    }

    fn life(&self, now_us: u64) -> Life {
        let bounds = Bounds {
            pong_us: self.settings.ping_timeout_us,
            reply_us: self.settings.reply_timeout_us,
            most_reply: MOST_REPLY,
        };
        Life::new(now_us, bounds, super::ajp_ingress::NEVER_RAN)
    }

    /// The call's packets: its head and the first piece of its body, and how much of the body that is.
    fn packets(&self, call: &Call, now_us: u64) -> Option<(Vec<u8>, usize)> {
        let length = call.body.len().to_string();
        let left = call.until_us.saturating_sub(now_us).div_ceil(1_000).max(1).to_string();
        let mut headers: Vec<(&[u8], &[u8])> = vec![
            (b"content-type", b"application/octet-stream"),
            (b"content-length", length.as_bytes()),
            (b"host", self.settings.server_name.as_bytes()),
        ];
        headers.push((self.headers.id.as_bytes(), call.id.as_bytes()));
        headers.push((self.headers.left.as_bytes(), left.as_bytes()));
        let secret = self.settings.secret.as_ref().map(|secret| Attribute::Text(Which::Secret, secret));
        let request = Request {
            method: b"POST",
            protocol: b"HTTP/1.1",
            uri: self.settings.uri.as_bytes(),
            remote_addr: Some(b"127.0.0.1"),
            remote_host: None,
            server_name: Some(self.settings.server_name.as_bytes()),
            server_port: 80,
            ssl: false,
            headers,
            attributes: secret.into_iter().collect(),
        };
        let mut out = Vec::with_capacity(256 + call.body.len());
        request.write(&mut out, self.settings.max_packet_bytes).ok()?;
        let first = call.body.len().min(request::longest_piece(self.settings.max_packet_bytes));
        if first > 0 {
            request::write_piece(&mut out, self.settings.max_packet_bytes, &call.body[..first]).ok()?;
        }
        Some((out, first))
    }
}

impl Transport for Hands {
    fn connect(&mut self, link: ConnectionId, place: usize) {
        let Some(inner) = self.inner.upgrade() else { return };
        let send_queue = Arc::new(SendQueue::default());
        let life = inner.life(self.now_us);
        self.links.insert(link, Link { send_queue: send_queue.clone(), life, call: None, sent: 0 });
        let at = self.places[place];
        may::go!(move || inner.keep(link, at, &send_queue));
    }

    fn write(&mut self, link: ConnectionId, call: CallId, prove: bool) {
        let (Some(inner), Some(of)) = (self.inner.upgrade(), self.links.get_mut(&link)) else { return };
        (of.call, of.sent) = (Some(call), 0);
        let mut wanted = Wanted::default();
        of.life.call(self.now_us, prove, &mut wanted);
        self.put(&inner, link, &wanted);
    }

    fn complete(&mut self, call: CallId, end: PoolCallResult) {
        let Some(Call { id, post, .. }) = self.calls.remove(&call) else { return };
        self.ids.remove(&id);
        let end = match end {
            PoolCallResult::Unsent => CallResult::Unsent,
            PoolCallResult::Broken => {
                CallResult::ConnectionClosed(self.why.clone().unwrap_or(CloseReason::ClosedByPeer))
            }
            PoolCallResult::Replied => match self.reply.take() {
                Some(reply) => CallResult::from_status(reply.status, reply.never_ran, reply.body),
                None => CallResult::Failed,
            },
        };
        post.send(RequestEvent::CallEnded(end));
    }

    fn close(&mut self, link: ConnectionId) {
        if let Some(of) = self.links.remove(&link) {
            of.send_queue.request_close(CloseRequest::Faulty);
        }
    }
}

impl Hands {
    /// Writes what a life asked for.
    fn put(&mut self, inner: &Inner, link: ConnectionId, wanted: &Wanted) {
        let Some(of) = self.links.get_mut(&link) else { return };
        let call = of.call.and_then(|call| self.calls.get(&call));
        let mut out = Vec::new();
        if wanted.ping {
            request::write_plain(&mut out, &Message::CPing, inner.settings.max_packet_bytes).expect("fits");
        }
        if let (true, Some(call)) = (wanted.call, call) {
            match inner.packets(call, self.now_us) {
                Some((packets, sent)) => {
                    out.extend(packets);
                    of.sent = sent;
                }
                // Nothing of it is written: the other side ends what it waits for in vain.
                None => of.send_queue.request_close(CloseRequest::Faulty),
            }
        }
        if let (Some(most), Some(call)) = (wanted.piece, call) {
            let most = usize::from(most).min(request::longest_piece(inner.settings.max_packet_bytes));
            let piece = &call.body[of.sent..(of.sent + most).min(call.body.len())];
            of.sent += piece.len();
            request::write_piece(&mut out, inner.settings.max_packet_bytes, piece).expect("fits");
        }
        if !out.is_empty() {
            of.send_queue.push(out);
        }
    }
}

/// What a life asked for.
#[derive(Default)]
struct Wanted {
    ping: bool,
    call: bool,
    piece: Option<u16>,
    reply: Option<Reply>,
    end: Option<(End, bool)>,
}

impl Acts for Wanted {
    fn ping(&mut self) {
        self.ping = true;
    }
    fn write_call(&mut self) {
        self.call = true;
    }
    fn write_piece(&mut self, most: u16) {
        self.piece = Some(most);
    }
    fn ready(&mut self) {}
    fn replied(&mut self, reply: Reply) {
        self.reply = Some(reply);
    }
    fn end(&mut self, why: End, wrote: bool) {
        self.end = Some((why, wrote));
    }
}

fn ending(why: End) -> CloseReason {
    match why {
        End::Closed | End::Spent => CloseReason::ClosedByPeer,
        End::Failed => CloseReason::Broken(std::io::ErrorKind::Other),
        End::Broken(why) => CloseReason::Malformed(why.to_string()),
        End::TooLong => CloseReason::MessageTooLong,
        End::TooShort => CloseReason::Malformed("an answer shorter than it said".into()),
        End::Silent => CloseReason::TimedOut,
        End::Idle | End::GivenUp => CloseReason::Idle,
    }
}

struct Replies<'a> {
    inner: &'a Inner,
    send_queue: &'a SendQueue,
    link: ConnectionId,
}

impl Replies<'_> {
    /// Lets the life act, and tells the module what came of it. An ending is the stream's.
    fn life(&self, what: impl FnOnce(&mut Life, u64, &mut Wanted)) -> Result<(), CloseReason> {
        let (inner, link) = (self.inner, self.link);
        inner.with(|places, hands| {
            let now_us = hands.now_us;
            // It was let go: nothing that still comes is anybody's.
            let Some(of) = hands.links.get_mut(&link) else { return Err(CloseReason::Idle) };
            let mut wanted = Wanted::default();
            what(&mut of.life, now_us, &mut wanted);
            hands.put(inner, link, &wanted);
            let spent = matches!(wanted.end, Some((End::Spent, _)));
            if let Some(reply) = wanted.reply.take() {
                if let Some(of) = hands.links.get_mut(&link) {
                    of.call = None;
                }
                let said = match CallResult::from_status(reply.status, reply.never_ran, Vec::new()) {
                    CallResult::Succeeded(_) => ReplyOutcome::Succeeded,
                    CallResult::Rejected => ReplyOutcome::Rejected,
                    CallResult::DeadlineExceeded => ReplyOutcome::TimedOut,
                    _ => ReplyOutcome::Failed,
                };
                hands.reply = Some(reply);
                places.replied(now_us, link, said, !spent, hands);
                hands.reply = None;
            }
            let Some((why, wrote)) = wanted.end else { return Ok(()) };
            let why = ending(why);
            if hands.links.remove(&link).is_some() {
                let how = match (wrote, &why) {
                    (true, _) => Disconnect::AfterWrite,
                    (false, CloseReason::TimedOut) => Disconnect::PingTimedOut,
                    (false, _) => Disconnect::BeforeWrite,
                };
                hands.why = Some(why.clone());
                places.disconnected(now_us, link, how, hands);
            }
            Err(why)
        })
    }
}

impl MessageHandler for Replies<'_> {
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        match reply::read(input, self.inner.settings.max_packet_bytes) {
            Ok(Some((message, taken))) => {
                self.life(|life, now_us, wanted| life.message(now_us, &message, wanted))?;
                Ok(taken)
            }
            Ok(None) => {
                self.life(|life, now_us, _| life.partial(now_us))?;
                Ok(0)
            }
            Err(why) => {
                self.life(|life, _, wanted| life.broken(why, wanted))?;
                Err(CloseReason::Malformed(why.to_string()))
            }
        }
    }

    fn on_drained(&mut self, _written: bool) {
        if self.life(|life, now_us, wanted| life.empty(now_us, wanted)).is_err() {
            // It has ended for the module; the stream follows.
            self.send_queue.request_close_once(CloseRequest::Faulty);
        }
    }
}
