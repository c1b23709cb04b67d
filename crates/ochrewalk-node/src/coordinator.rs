//! The facade round the module, in blocking style: an RPC's coroutine tells of it by [`RequestCoordinator::submit`], waits at its
//! ticket for the verdict, reports what became of its run and calls, and waits again. Only this file knows the
//! module's events and actions. One lock guards it, and nothing is read or written while it is held.

use crate::clock::{age_us, channel_timeout, Clock};
use crate::close_reason::CallResult;
use crate::handover::pause::is_paused;
use crate::handover::records::{IdempotencyKeyRecord, NodeRecord};
use crate::idempotency_keys::{IdempotencyKeyStore, KeyExpiry, KeyLookup, KeyState, SharedResult};
use crate::wire::notices::RunEnd;
use may::sync::mpsc::{channel, Receiver, Sender};
use ochrewalk::admission::AdmissionController;
use ochrewalk::deployment::Deployment;
use ochrewalk::host::{Arrival, Gauges, Host, Outcome, Readiness, Rejection, Retry, RpcId, Tenant};
use std::cell::Cell;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What the module needs to know of an RPC.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    pub id: RpcId,
    /// Position in the deployment's list.
    pub method: usize,
    pub memory_kb: f64,
    /// When it came to the machine, in Unix time.
    pub arrived_unix_ms: u64,
    /// How long its caller still waits, where that is conveyed.
    pub time_left_us: Option<u64>,
    pub idempotency_key: Option<IdempotencyKey>,
    /// The quota that it counts against, where its protocol names a tenant.
    pub tenant: Option<Tenant>,
}

/// The mark by which repeats are known, and a print of the work that all of them bring.
#[derive(Clone, Debug)]
pub struct IdempotencyKey {
    pub key: Arc<str>,
    pub fingerprint: u64,
}

/// Why an RPC was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// One of its id is open.
    IdAlreadyOpen,
    /// Its token stands for other work, which `ran`, or is still open.
    KeyOfOtherRequest { has_run: bool },
}

/// What an RPC's coroutine does next: a verdict of the module's, or news that came from the network.
#[derive(Debug)]
pub enum RequestEvent {
    /// Start its run, or take it up again.
    Run,
    /// Take its run off the cores.
    Stop,
    /// Place its call, which may take until then on the monotonic clock.
    PlaceCall {
        until_us: u64,
    },
    /// Go on without the call.
    SkipCall,
    /// Answer that it was turned away and never ran.
    Reject {
        do_not_retry: bool,
        retry_after_us: u64,
    },
    /// Answer that it was given up.
    Abort,
    /// Answer with the result of the RPC that it repeats.
    ServeResult(SharedResult),
    /// Its caller has gone: no answer is owed.
    CallerLeft,
    /// Its run waits for a call; a notice of that number said so.
    CallNeeded {
        pos: u64,
        body: Vec<u8>,
    },
    CallEnded(CallResult),
    /// Its run has ended, with a result (a JSON string) where it is complete.
    RunEnded(RunEnd, Option<SharedResult>),
    /// Nothing has come within the time given.
    Timeout,
}

/// What became of an RPC's run or call, for [`RequestCoordinator::report`].
#[derive(Debug)]
pub enum ProgressReport {
    CallNeeded,
    CallEnded { outcome: Outcome, took_us: u64 },
    RunEnded(RunEnd, Option<SharedResult>),
}

fn run_outcome(end: RunEnd) -> Outcome {
    match end {
        RunEnd::Complete => Outcome::Ok,
        RunEnd::Failed => Outcome::Error,
        RunEnd::Stopped => Outcome::Stopped,
        RunEnd::NeverRan | RunEnd::Unknown => Outcome::NotStarted,
    }
}

/// Mail that was sent to RPCs and is not dealt with yet, and RPCs that were begun and not yet told to the gate. None
/// means that all is at rest until something comes from outside.
#[derive(Clone, Default)]
pub struct PendingWork(Arc<AtomicUsize>);

impl PendingWork {
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    pub fn is_none(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// A way to send news to an RPC.
#[derive(Clone)]
pub struct EventSender {
    to: Sender<RequestEvent>,
    pending_work: PendingWork,
}

impl EventSender {
    pub fn send(&self, next: RequestEvent) {
        self.pending_work.increment();
        if self.to.send(next).is_err() {
            self.pending_work.decrement();
        }
    }
}

/// An open RPC's place in the gate: where its coroutine waits.
pub struct RequestHandle {
    id: RpcId,
    post: EventSender,
    mail: Receiver<RequestEvent>,
    /// The last mail taken is being dealt with.
    busy: Cell<bool>,
}

impl RequestHandle {
    fn new(id: RpcId, pending_work: &PendingWork) -> RequestHandle {
        let (to, mail) = channel();
        RequestHandle {
            id,
            post: EventSender { to, pending_work: pending_work.clone() },
            mail,
            busy: Cell::new(false),
        }
    }

    /// A way for the network to send news.
    pub fn event_sender(&self) -> EventSender {
        self.post.clone()
    }

    /// Waits for whatever comes next, for so long at most (see [`channel_timeout`]). What came before is dealt with.
    pub fn wait(&self, most: Option<Duration>) -> RequestEvent {
        self.dealt_with();
        let came = match most {
            Some(most) => self.mail.recv_timeout(most),
            None => self.mail.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        self.busy.set(came.is_ok());
        match came {
            Ok(next) => next,
            Err(RecvTimeoutError::Timeout) => RequestEvent::Timeout,
            Err(RecvTimeoutError::Disconnected) => RequestEvent::CallerLeft,
        }
    }

    fn dealt_with(&self) {
        if self.busy.take() {
            self.post.pending_work.decrement();
        }
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.dealt_with();
        while self.mail.try_recv().is_ok() {
            self.post.pending_work.decrement();
        }
    }
}

/// What callers and the directory are told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthState {
    /// Health checks pass. None before there is a module: a report of bad health would keep callers away for
    /// seconds from a server that is only about to start.
    pub is_healthy: Option<bool>,
    /// The value sent back with every answer.
    pub load_signal: Option<f64>,
    /// Connections that have carried nothing for so long are to be closed.
    pub max_idle_us: u64,
}

pub struct RequestCoordinator {
    clock: Clock,
    deployment: Deployment,
    seed: u64,
    state: Mutex<Inside>,
    /// Tells who waits in [`RequestCoordinator::decide_when_notified`] that the module was told something.
    stir: Sender<()>,
    /// Tells who waits in [`RequestCoordinator::wait_for_timer`] that a wake-up has moved forward.
    earlier: Sender<()>,
    pub pending_work: PendingWork,
}

/// The other ends of the gate's own channels.
pub struct CoordinatorNotifications {
    pub state_changed: Receiver<()>,
    pub timer_moved: Receiver<()>,
}

/// Before the executor is up there is no module, and nothing is taken.
enum Inside {
    Closed(Box<Desk>),
    Open(Box<AdmissionController<Desk>>),
}

/// The module's host: its actions become mail for the coroutines concerned.
struct Desk {
    clock: Clock,
    open: HashMap<RpcId, Open>,
    keys: IdempotencyKeyStore,
    posture: HealthState,
    wake_us: u64,
    wake_token: u64,
    /// It was told something since its last turn.
    stirred: bool,
    /// Repeats that an outcome already known has ended; the module hears of them next.
    shared: Vec<(RpcId, Outcome)>,
    /// This server leaves, and all must be answered by then.
    leaves_by_us: Option<u64>,
}

struct Open {
    post: EventSender,
    token: Option<IdempotencyKey>,
}

impl RequestCoordinator {
    /// Results of `most_bytes` at most are kept for repeats. The receivers are for [`RequestCoordinator::decide_when_notified`] and
    /// [`RequestCoordinator::wait_for_timer`].
    pub fn new(
        clock: Clock,
        deployment: Deployment,
        seed: u64,
        most_bytes: usize,
    ) -> (RequestCoordinator, CoordinatorNotifications) {
        let idle_us = deployment.machine.max_connection_idle_us;
        let desk = Desk {
            clock,
            open: HashMap::new(),
            keys: IdempotencyKeyStore::new(most_bytes),
            posture: HealthState { is_healthy: None, load_signal: None, max_idle_us: idle_us },
            wake_us: u64::MAX,
            wake_token: 0,
            stirred: false,
            shared: Vec::new(),
            leaves_by_us: None,
        };
        let ((stir, told), (earlier, moved)) = (channel(), channel());
        let state = Mutex::new(Inside::Closed(Box::new(desk)));
        let pending_work = PendingWork::default();
        (
            RequestCoordinator { clock, deployment, seed, state, stir, earlier, pending_work },
            CoordinatorNotifications { state_changed: told, timer_moved: moved },
        )
    }

    /// The next tokens to go ahead of a hand-over, while all goes on; see [`IdempotencyKeyStore::export_batch`].
    pub fn export_keys(
        &self,
        after: Option<&KeyExpiry>,
        most: usize,
    ) -> Option<(Vec<IdempotencyKeyRecord>, KeyExpiry)> {
        self.desk(|desk| desk.keys.export_batch(after, most))
    }

    /// A hand-over has come to nothing.
    pub fn stop_tracking_keys(&self) {
        self.desk(|desk| desk.keys.stop_tracking_changes());
    }

    /// Writes down the module, the tokens (those that have changed where the others went `ahead`) and what callers are
    /// told, for `node`'s part in a hand-over.
    pub fn snapshot(&self, node: &mut NodeRecord, ahead: bool) {
        let mut state = self.lock();
        let (desk, module) = match &mut *state {
            Inside::Closed(desk) => (&mut **desk, None),
            Inside::Open(module) => {
                let kept = module.snapshot();
                (module.host(), Some(kept))
            }
        };
        node.decisions = module;
        let HealthState { is_healthy: healthy, load_signal: signal, max_idle_us: idle_us } = desk.posture;
        (node.healthy, node.signal, node.idle_us) = (healthy, signal, idle_us);
        (node.wake_us, node.wake_token) = (desk.wake_us, desk.wake_token);
        (node.keys, node.removed_keys) =
            if ahead { desk.keys.export_changed() } else { (desk.keys.export_all(), Vec::new()) };
    }

    /// Goes on with what another process wrote down, after the tokens that went ahead. The RPCs that are open get their
    /// tickets.
    pub fn resume(
        clock: Clock,
        deployment: Deployment,
        seed: u64,
        most_bytes: usize,
        node: &mut NodeRecord,
        ahead: IdempotencyKeyStore,
        open: &[IncomingRequest],
    ) -> Result<(RequestCoordinator, CoordinatorNotifications, Vec<RequestHandle>), String> {
        let (gate, stirred) = RequestCoordinator::new(clock, deployment.clone(), seed, most_bytes);
        let ticket = |rpc: &IncomingRequest| RequestHandle::new(rpc.id.clone(), &gate.pending_work);
        let tickets: Vec<RequestHandle> = open.iter().map(ticket).collect();
        {
            let mut state = gate.lock();
            let Inside::Closed(desk) = &mut *state else { unreachable!("just made") };
            let (healthy, signal, idle_us) = (node.healthy, node.signal, node.idle_us);
            desk.posture = HealthState { is_healthy: healthy, load_signal: signal, max_idle_us: idle_us };
            (desk.wake_us, desk.wake_token) = (node.wake_us, node.wake_token);
            desk.keys = ahead;
            desk.keys.import(std::mem::take(&mut node.keys), &node.removed_keys);
            desk.keys.set_max_result_bytes(most_bytes);
            for (rpc, ticket) in open.iter().zip(&tickets) {
                desk.open.insert(
                    rpc.id.clone(),
                    Open { post: ticket.event_sender(), token: rpc.idempotency_key.clone() },
                );
            }
            if let Some(kept) = node.decisions.take() {
                let placeholder = Desk {
                    keys: IdempotencyKeyStore::new(0),
                    open: HashMap::new(),
                    shared: Vec::new(),
                    ..**desk
                };
                let desk = std::mem::replace(&mut **desk, placeholder);
                *state =
                    Inside::Open(Box::new(deployment.resume(desk, kept).map_err(|error| error.to_string())?));
            }
        }
        Ok((gate, stirred, tickets))
    }

    /// Whether all that was told has been acted on, and all mail dealt with.
    pub fn is_quiescent(&self) -> bool {
        let stirred = self.desk(|desk| desk.stirred || !desk.shared.is_empty());
        !stirred && self.pending_work.is_none()
    }

    /// The executor is up, and has been for so long: from here on RPCs are taken. Once only.
    pub fn activate(&self, cold: bool, up_us: u64) {
        let mut state = self.lock();
        let Inside::Closed(desk) = &mut *state else { return };
        let placeholder =
            Desk { keys: IdempotencyKeyStore::new(0), open: HashMap::new(), shared: Vec::new(), ..**desk };
        let desk = std::mem::replace(&mut **desk, placeholder);
        let mut deployment = self.deployment.clone();
        deployment.survivable_load.is_cold = cold;
        let now_us = self.clock.now_us();
        let started_us = now_us.saturating_sub(up_us);
        let leaves_by_us = desk.leaves_by_us;
        let mut module = Box::new(deployment.start(desk, started_us, self.seed));
        // Guards against an executor that comes up once we were told to leave: nothing is begun any more.
        if let Some(by_us) = leaves_by_us {
            module.drain(now_us, by_us.saturating_sub(now_us));
        }
        *state = Inside::Open(module);
        drop(state);
        let _ = self.earlier.send(());
    }

    /// Tells the module of an RPC that was read. The verdict comes by the ticket.
    pub fn submit(&self, new: &IncomingRequest) -> Result<RequestHandle, SubmitError> {
        let ticket = RequestHandle::new(new.id.clone(), &self.pending_work);
        let post = ticket.event_sender();
        let method = &self.deployment.methods[new.method];
        let unix_ms = self.clock.unix_ms();
        let queued_us = age_us(unix_ms, new.arrived_unix_ms, method.deadline_us);
        let took = self.tell(|module, now_us| {
            let desk = module.host();
            if desk.open.contains_key(&new.id) {
                return Err(SubmitError::IdAlreadyOpen);
            }
            let token = new.idempotency_key.clone();
            // Guards against a stamp ahead of the clock, which would step over the window.
            let ts_ms = new.arrived_unix_ms.min(unix_ms);
            let repeats = match token.as_ref().map(|t| desk.keys.find(&t.key, t.fingerprint, ts_ms)) {
                Some(KeyLookup::OtherRequest { has_run: ran }) => {
                    return Err(SubmitError::KeyOfOtherRequest { has_run: ran })
                }
                Some(KeyLookup::SameRequest(holder)) => Some(holder),
                Some(KeyLookup::Unknown) | None => None,
            };
            desk.open.insert(new.id.clone(), Open { post, token });
            let arrival = Arrival {
                id: new.id.clone(),
                method: new.method,
                memory_kb: new.memory_kb,
                queued_us,
                // No longer than the deployment says: guards against a caller that holds its place for ever.
                time_left_us: new.time_left_us.map(|left_us| left_us.min(method.deadline_us)),
                work_hint_us: None,
                repeats,
                is_retry: false,
                tenant: new.tenant,
            };
            module.request_arrived(now_us, arrival);
            Ok(())
        });
        // No module yet: it cannot run.
        let Some(took) = took else {
            ticket.post.send(RequestEvent::Reject { do_not_retry: false, retry_after_us: 0 });
            return Ok(ticket);
        };
        took?;
        Ok(ticket)
    }

    /// Tells the module what became of a run or a call. What comes next comes by the ticket; after a run's end
    /// nothing does.
    pub fn report(&self, ticket: &RequestHandle, what: ProgressReport) {
        self.tell(|module, now_us| match what {
            ProgressReport::CallNeeded => module.call_needed(now_us, &ticket.id),
            ProgressReport::CallEnded { outcome, took_us } => {
                module.call_ended(now_us, &ticket.id, outcome, took_us);
            }
            ProgressReport::RunEnded(end, result) => {
                module.host().settle_key(&ticket.id, end, result);
                module.run_ended(now_us, &ticket.id, run_outcome(end));
            }
        });
    }

    /// The caller of an RPC has gone. Its coroutine hears of it, too. Guards against one that was never taken
    /// here, as another caller's RPC has that id: only the very one that was picked goes.
    pub fn caller_left(&self, id: &RpcId) {
        self.tell(|module, _| {
            let picked = module.host().open.get_key_value(id).is_some_and(|(open, _)| Arc::ptr_eq(open, id));
            if picked {
                module.caller_left(id);
                module.host().mail(id, RequestEvent::CallerLeft);
            }
        });
    }

    /// An RPC's coroutine has nothing left to do.
    pub fn remove(&self, ticket: &RequestHandle) {
        self.desk(|desk| desk.open.remove(&ticket.id));
    }

    /// The wake-up that the module asked for, or any time at which its gauges are fresh.
    pub fn tick(&self, gauges: Gauges) {
        let unix_ms = self.clock.unix_ms();
        if is_paused() {
            return;
        }
        self.tell(|module, now_us| {
            let desk = module.host();
            desk.keys.remove_expired(unix_ms);
            // A wake-up that is not due yet stays as it is: the module goes by the token.
            if now_us >= desk.wake_us {
                desk.wake_us = u64::MAX;
                let token = desk.wake_token;
                module.timer_fired(now_us, token, gauges);
            }
        });
    }

    /// Waits until the next wake-up is due.
    pub fn wait_for_timer(&self, moved: &Receiver<()>) {
        loop {
            let due_us = self.desk(|desk| desk.wake_us);
            let now_us = self.clock.now_us();
            if due_us <= now_us && !is_paused() {
                return;
            }
            let due_us = due_us.max(now_us + 1_000);
            // Moved forward, or due: either way it is looked at again.
            let _ = moved.recv_timeout(channel_timeout(due_us.min(now_us + 1_000_000) - now_us));
        }
    }

    /// This server leaves; what is open must be answered within `left_us`.
    pub fn drain(&self, left_us: u64) {
        let by_us = self.clock.now_us() + left_us;
        self.desk(|desk| (desk.posture.is_healthy, desk.leaves_by_us) = (Some(false), Some(by_us)));
        self.tell(|module, now_us| module.drain(now_us, left_us));
    }

    pub fn health_state(&self) -> HealthState {
        self.desk(|desk| desk.posture)
    }

    /// RPCs that are not over.
    pub fn open_request_count(&self) -> usize {
        self.desk(|desk| desk.open.len())
    }

    /// Lets the module act on all that it was told since it last did. Who is ready to tell it more does so
    /// first. Guards against a flood: one turn for each RPC read would cost a look at all that are held.
    pub fn decide_when_notified(&self, told: &Receiver<()>) {
        let _ = told.recv();
        let earlier = {
            let mut state = self.lock();
            let Inside::Open(module) = &mut *state else { return };
            let was_us = module.host().wake_us;
            module.host().stirred = false;
            module.decide(self.clock.now_us());
            module.host().wake_us < was_us
        };
        if earlier {
            let _ = self.earlier.send(());
        }
    }

    /// Tells the module one thing; it acts in the next turn. None before it is there.
    fn tell<T>(&self, what: impl FnOnce(&mut AdmissionController<Desk>, u64) -> T) -> Option<T> {
        let mut state = self.lock();
        let Inside::Open(module) = &mut *state else { return None };
        let now_us = self.clock.now_us();
        let answer = what(module, now_us);
        while let Some((id, outcome)) = module.host().shared.pop() {
            module.run_ended(now_us, &id, outcome);
        }
        let first = !std::mem::replace(&mut module.host().stirred, true);
        drop(state);
        if first {
            let _ = self.stir.send(());
        }
        Some(answer)
    }

    fn desk<T>(&self, what: impl FnOnce(&mut Desk) -> T) -> T {
        match &mut *self.lock() {
            Inside::Closed(desk) => what(desk),
            Inside::Open(module) => what(module.host()),
        }
    }

    /// Guards against going on with a module that panicked half-way: nothing that it says could be relied
    /// on, so that the process ends and is started anew.
    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.state.lock().unwrap_or_else(|_| {
            tracing::error!("the decisions failed; this process ends, to be started anew");
            crate::logger::flush();
            std::process::exit(crate::panics::EXIT_STATUS)
        })
    }
}

impl Desk {
    fn mail(&self, id: &str, next: RequestEvent) {
        if let Some(open) = self.open.get(id) {
            open.post.send(next);
        }
    }

    fn token(&self, id: &str) -> Option<IdempotencyKey> {
        self.open.get(id)?.token.clone()
    }

    /// A tokened run has ended: those that wait for its outcome get it.
    fn settle_key(&mut self, id: &str, end: RunEnd, result: Option<SharedResult>) {
        let Some(token) = self.token(id) else { return };
        match (end, result) {
            // It never ran, so that another try may.
            (RunEnd::NeverRan | RunEnd::Unknown, _) => self.forget_token(&token.key, id),
            (RunEnd::Complete, Some(body)) => {
                for repeat in self.keys.record_outcome(&token.key, id, KeyState::Served(body.clone())) {
                    self.end_shared(repeat, RequestEvent::ServeResult(body.clone()), Outcome::Ok);
                }
            }
            _ => {
                for repeat in self.keys.record_outcome(&token.key, id, KeyState::Failed) {
                    self.end_shared(repeat, RequestEvent::Abort, Outcome::Error);
                }
            }
        }
    }

    /// What held the token never ran. Those that waited for it never will; their callers may go elsewhere.
    fn forget_token(&mut self, token: &str, id: &str) {
        for repeat in self.keys.forget(token, id) {
            self.end_shared(
                repeat,
                RequestEvent::Reject { do_not_retry: false, retry_after_us: 0 },
                Outcome::Error,
            );
        }
    }

    fn end_shared(&mut self, repeat: RpcId, next: RequestEvent, outcome: Outcome) {
        self.mail(&repeat, next);
        self.shared.push((repeat, outcome));
    }
}

impl Host for Desk {
    fn start(&mut self, id: &str) {
        self.mail(id, RequestEvent::Run);
    }

    fn stop(&mut self, id: &str) {
        self.mail(id, RequestEvent::Stop);
    }

    fn reject(&mut self, id: &str, Rejection { retry, retry_after_us }: Rejection) {
        let last = retry == Retry::DoNotRetry;
        self.mail(id, RequestEvent::Reject { do_not_retry: last, retry_after_us });
    }

    fn abort(&mut self, id: &str) {
        self.mail(id, RequestEvent::Abort);
    }

    fn place_call(&mut self, id: &str, until_us: u64) {
        self.mail(id, RequestEvent::PlaceCall { until_us });
    }

    fn skip_call(&mut self, id: &str) {
        self.mail(id, RequestEvent::SkipCall);
    }

    fn remember_key(&mut self, id: &str, ttl_us: u64) {
        let Some(token) = self.token(id) else { return };
        let until_ms = self.clock.unix_ms() + ttl_us.div_ceil(1_000);
        self.keys.remember(token.key, token.fingerprint, id.into(), until_ms);
    }

    fn forget_key(&mut self, id: &str) {
        if let Some(token) = self.token(id) {
            self.forget_token(&token.key, id);
        }
    }

    fn share_outcome(&mut self, id: &str) {
        let Some(token) = self.token(id) else { return };
        let repeat: RpcId = id.into();
        match self.keys.share(&token.key, &repeat) {
            KeyState::Open => {}
            KeyState::Served(body) => self.end_shared(repeat, RequestEvent::ServeResult(body), Outcome::Ok),
            KeyState::Failed => self.end_shared(repeat, RequestEvent::Abort, Outcome::Error),
        }
    }

    fn set_readiness(&mut self, readiness: Readiness) {
        self.posture.is_healthy = Some(readiness == Readiness::Ready);
    }

    fn send_load_signal(&mut self, value: f64) {
        self.posture.load_signal = Some(value);
    }

    fn close_idle_connections(&mut self, idle_us: u64) {
        self.posture.max_idle_us = idle_us;
    }

    fn set_timer(&mut self, at_us: u64, token: u64) {
        (self.wake_us, self.wake_token) = (at_us, token);
    }
}
