//! Connects request tasks with the admission controller. A task submits its request by [`RequestCoordinator::submit`],
//! waits at its [`RequestHandle`] for the next event, reports what happened to the run and the calls, and waits again.
//! This is the only file that knows the controller's events and actions. One lock guards the controller, and no I/O is
//! done while it is held.

use crate::clock::{age_us, channel_timeout, Clock};
use crate::close_reason::CallResult;
use crate::handover::pause::is_paused;
use crate::handover::records::{IdempotencyKeyRecord, NodeRecord, RecentRunRecord};
use crate::idempotency_keys::{IdempotencyKeyStore, KeyExpiry, KeyLookup, KeyState, SharedResult};
use crate::recent_runs::RecentRuns;
use crate::wire::notices::RunEnd;
use may::sync::mpsc::{channel, Receiver, Sender};
use ochrewalk::admission::AdmissionController;
use ochrewalk::deployment::Deployment;
use ochrewalk::host::{
    Arrival, Effect, Gauges, Host, Method, Outcome, Readiness, Rejection, Retry, RpcId, Tenant,
};
use std::cell::Cell;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The size of the memory for results for which one id of a recent run is remembered as well, in bytes.
const RESULT_BYTES_PER_RECENT_RUN: usize = 1_024;

/// A request, as far as the coordinator needs to know it.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The id, as given by the client.
    pub id: RpcId,
    /// The position of the method in the deployment's list.
    pub method: usize,
    /// The memory that the request occupies while it is queued.
    pub memory_kb: f64,
    /// The time at which the request reached the machine, in Unix time.
    pub arrived_unix_ms: u64,
    /// The time for which the caller still waits, where the protocol conveys it.
    pub time_left_us: Option<u64>,
    /// The idempotency key, where the method takes one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The tenant whose quota the request counts against, where the protocol names one.
    pub tenant: Option<Tenant>,
}

/// The key by which repeats of a request are recognised, with the request's fingerprint.
#[derive(Clone, Debug)]
pub struct IdempotencyKey {
    /// The key, as given by the client.
    pub key: Arc<str>,
    /// A fingerprint of method and body, the same for all repeats of a request.
    pub fingerprint: u64,
}

/// The reason why a request was not submitted to the admission controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// A request with this id is already open.
    IdAlreadyOpen,
    /// A request with this id, which must not run twice, has run.
    IdHasRun,
    /// The idempotency key belongs to a request with another fingerprint.
    KeyOfOtherRequest {
        /// Whether that request may have run; otherwise it is still open.
        has_run: bool,
    },
}

/// The event or command that a request task handles next, from the admission controller or from the network.
#[derive(Debug)]
pub enum RequestEvent {
    /// Starts the run, or resumes it.
    Run,
    /// Takes the run off the cores.
    Stop,
    /// Places the upstream call.
    PlaceCall {
        /// The deadline of the call, on the monotonic clock.
        until_us: u64,
    },
    /// Continues the run without the call.
    SkipCall,
    /// Answers that the request was rejected and never ran.
    Reject {
        /// Whether the client is asked not to retry at another server.
        do_not_retry: bool,
        /// The time for which the client is asked to keep away from this server; 0 for no advice.
        retry_after_us: u64,
    },
    /// Answers that the request was aborted.
    Abort,
    /// Answers with the result of the request that this one repeats.
    ServeResult(SharedResult),
    /// The caller has left: no answer is sent.
    CallerLeft,
    /// The run waits for an upstream call.
    CallNeeded {
        /// The position of the executor notice that requested the call.
        pos: u64,
        /// The payload of the call.
        body: Vec<u8>,
    },
    /// The upstream call has ended.
    CallEnded(CallResult),
    /// The run has ended, with a result (a JSON string) where it is complete.
    RunEnded(RunEnd, Option<SharedResult>),
    /// No event has arrived within the given time.
    Timeout,
}

/// A report on a request's run or call, for [`RequestCoordinator::report`].
#[derive(Debug)]
pub enum ProgressReport {
    /// The run waits for an upstream call.
    CallNeeded,
    /// The call has ended.
    CallEnded {
        /// The outcome of the call.
        outcome: Outcome,
        /// The duration of the call.
        took_us: u64,
    },
    /// The run has ended, with a result (a JSON string) where it is complete.
    RunEnded(RunEnd, Option<SharedResult>),
}

/// Returns the time until which the id of a request that arrives now must not run again, in Unix milliseconds; none where the
/// method's requests may run twice, or where an idempotency key recognises repeats.
fn run_once_until_ms(method: &Method, unix_ms: u64) -> Option<u64> {
    let repeat_us = method.deadline_us.max(method.key_window_us);
    (method.effect == Effect::NonIdempotent).then(|| unix_ms + repeat_us.div_ceil(1_000))
}

fn run_outcome(end: RunEnd) -> Outcome {
    match end {
        RunEnd::Complete => Outcome::Ok,
        RunEnd::Failed => Outcome::Error,
        RunEnd::Stopped => Outcome::Stopped,
        RunEnd::NeverRan | RunEnd::Unknown => Outcome::NotStarted,
    }
}

/// Counts the events that were sent to requests and are not handled yet, and the requests that were started and are not
/// submitted yet. At zero nothing changes until new input arrives from the network.
#[derive(Clone, Default)]
pub struct PendingWork(Arc<AtomicUsize>);

impl PendingWork {
    /// Adds one piece of work.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a piece of work that is done.
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether no work is pending.
    pub fn is_none(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// Sends events to the mailbox of a request.
#[derive(Clone)]
pub struct EventSender {
    mailbox: Sender<RequestEvent>,
    pending_work: PendingWork,
}

impl EventSender {
    /// Sends an event, or drops it if the request is already finished.
    pub fn send(&self, event: RequestEvent) {
        self.pending_work.increment();
        if self.mailbox.send(event).is_err() {
            self.pending_work.decrement();
        }
    }
}

/// The handle of an open request at the coordinator, at which its task waits for events.
pub struct RequestHandle {
    id: RpcId,
    events: EventSender,
    mailbox: Receiver<RequestEvent>,
    /// Whether the last event that was received is being handled.
    is_handling: Cell<bool>,
}

impl RequestHandle {
    fn new(id: RpcId, pending_work: &PendingWork) -> RequestHandle {
        let (sender, mailbox) = channel();
        RequestHandle {
            id,
            events: EventSender { mailbox: sender, pending_work: pending_work.clone() },
            mailbox,
            is_handling: Cell::new(false),
        }
    }

    /// Returns a sender of events to this request.
    pub fn event_sender(&self) -> EventSender {
        self.events.clone()
    }

    /// Waits for the next event, for up to `max_wait` (see [`channel_timeout`]), and returns [`RequestEvent::Timeout`]
    /// if none arrives. Marks the previous event as handled.
    pub fn wait(&self, max_wait: Option<Duration>) -> RequestEvent {
        self.finish_handling();
        let received = match max_wait {
            Some(max_wait) => self.mailbox.recv_timeout(max_wait),
            None => self.mailbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        self.is_handling.set(received.is_ok());
        match received {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => RequestEvent::Timeout,
            Err(RecvTimeoutError::Disconnected) => RequestEvent::CallerLeft,
        }
    }

    fn finish_handling(&self) {
        if self.is_handling.take() {
            self.events.pending_work.decrement();
        }
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.finish_handling();
        while self.mailbox.try_recv().is_ok() {
            self.events.pending_work.decrement();
        }
    }
}

/// The health state, as reported to callers and to the directory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthState {
    /// Whether health checks pass. None before the executor is up: a report as unhealthy would keep callers away for
    /// seconds from a server that is about to start.
    pub is_healthy: Option<bool>,
    /// The value sent with every answer.
    pub load_signal: Option<f64>,
    /// The time after which idle connections are closed.
    pub max_idle_us: u64,
}

/// The admission controller behind a lock, and the mailboxes of all open requests.
pub struct RequestCoordinator {
    clock: Clock,
    deployment: Deployment,
    seed: u64,
    state: Mutex<CoordinatorState>,
    /// Wakes [`RequestCoordinator::decide_when_notified`] after the controller was notified of an event.
    state_changed: Sender<()>,
    /// Wakes [`RequestCoordinator::wait_for_timer`] after the timer has moved forward.
    timer_moved: Sender<()>,
    /// The work that is pending in request tasks.
    pub pending_work: PendingWork,
}

/// The receivers of the coordinator's notifications.
pub struct CoordinatorNotifications {
    /// Passed to [`RequestCoordinator::decide_when_notified`].
    pub state_changed: Receiver<()>,
    /// Passed to [`RequestCoordinator::wait_for_timer`].
    pub timer_moved: Receiver<()>,
}

/// The state of the coordinator. It has no controller before the executor is up, and rejects every request until then.
enum CoordinatorState {
    Inactive(Box<ControllerHost>),
    Active(Box<AdmissionController<ControllerHost>>),
}

/// The controller's host, which turns its actions into events for the requests concerned.
struct ControllerHost {
    clock: Clock,
    requests: HashMap<RpcId, RequestEntry>,
    keys: IdempotencyKeyStore,
    recent_runs: RecentRuns,
    health: HealthState,
    timer_due_us: u64,
    timer_token: u64,
    /// Whether the controller was notified of an event after its last round of decisions.
    has_changed: bool,
    /// Repeats that were finished by an outcome already known, to be reported to the controller next.
    finished_repeats: Vec<(RpcId, Outcome)>,
    /// The notice to drain, once there is one.
    drain_notice: Option<DrainNotice>,
}

/// A notice to drain. Its times do not depend on when the node acts on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainNotice {
    /// The time of the notice, from which the grace for requests that still arrive counts.
    pub at_us: u64,
    /// The time by which all requests must be answered.
    pub deadline_us: u64,
}

impl DrainNotice {
    fn notify(self, controller: &mut AdmissionController<ControllerHost>) {
        controller.drain(self.at_us, self.deadline_us.saturating_sub(self.at_us));
    }
}

/// An open request.
struct RequestEntry {
    events: EventSender,
    idempotency_key: Option<IdempotencyKey>,
    /// The time until which its id must not run again, in Unix milliseconds, where it must not run twice.
    run_once_until_ms: Option<u64>,
}

impl RequestCoordinator {
    /// Returns a coordinator without a controller, which retains up to `max_result_bytes` of results for repeats.
    pub fn new(
        clock: Clock,
        deployment: Deployment,
        seed: u64,
        max_result_bytes: usize,
    ) -> (RequestCoordinator, CoordinatorNotifications) {
        let idle_us = deployment.machine.max_connection_idle_us;
        let host = ControllerHost {
            clock,
            requests: HashMap::new(),
            keys: IdempotencyKeyStore::new(max_result_bytes),
            recent_runs: RecentRuns::new(max_result_bytes / RESULT_BYTES_PER_RECENT_RUN),
            health: HealthState { is_healthy: None, load_signal: None, max_idle_us: idle_us },
            timer_due_us: u64::MAX,
            timer_token: 0,
            has_changed: false,
            finished_repeats: Vec::new(),
            drain_notice: None,
        };
        let ((state_changed, on_state_changed), (timer_moved, on_timer_moved)) = (channel(), channel());
        let state = Mutex::new(CoordinatorState::Inactive(Box::new(host)));
        let pending_work = PendingWork::default();
        (
            RequestCoordinator { clock, deployment, seed, state, state_changed, timer_moved, pending_work },
            CoordinatorNotifications { state_changed: on_state_changed, timer_moved: on_timer_moved },
        )
    }

    /// Exports the next batch of idempotency keys ahead of a hand-over; see [`IdempotencyKeyStore::export_batch`].
    pub fn export_keys(
        &self,
        after: Option<&KeyExpiry>,
        max_keys: usize,
    ) -> Option<(Vec<IdempotencyKeyRecord>, KeyExpiry)> {
        self.with_host(|host| host.keys.export_batch(after, max_keys))
    }

    /// Stops tracking changes of idempotency keys, after a hand-over that failed.
    pub fn stop_tracking_keys(&self) {
        self.with_host(|host| host.keys.stop_tracking_changes());
    }

    /// Writes the controller, the idempotency keys and the health state to `node` for a hand-over. Where
    /// `keys_sent_ahead` is set, only the keys that have changed since the export are written.
    pub fn snapshot(&self, node: &mut NodeRecord, keys_sent_ahead: bool) {
        let mut state = self.lock();
        let (host, snapshot) = match &mut *state {
            CoordinatorState::Inactive(host) => (&mut **host, None),
            CoordinatorState::Active(controller) => {
                let snapshot = controller.snapshot();
                (controller.host(), Some(snapshot))
            }
        };
        node.decisions = snapshot;
        let HealthState { is_healthy, load_signal, max_idle_us } = host.health;
        (node.is_healthy, node.load_signal, node.max_idle_us) = (is_healthy, load_signal, max_idle_us);
        (node.timer_us, node.timer_token) = (host.timer_due_us, host.timer_token);
        let recent_run =
            |(until_ms, id): &(u64, RpcId)| RecentRunRecord { id: id.to_string(), until_ms: *until_ms };
        node.recent_runs = host.recent_runs.iter().map(recent_run).collect();
        (node.keys, node.removed_keys) =
            if keys_sent_ahead { host.keys.export_changed() } else { (host.keys.export_all(), Vec::new()) };
    }

    /// Restores the state that a predecessor process wrote to `node`, on top of the keys that it sent ahead. Returns a
    /// handle for each of `open_requests`, in the same order.
    ///
    /// # Errors
    ///
    /// The controller cannot be restored from its snapshot.
    pub fn resume(
        clock: Clock,
        deployment: Deployment,
        seed: u64,
        max_result_bytes: usize,
        node: &mut NodeRecord,
        keys_sent_ahead: IdempotencyKeyStore,
        open_requests: &[IncomingRequest],
    ) -> Result<(RequestCoordinator, CoordinatorNotifications, Vec<RequestHandle>), String> {
        let (coordinator, notifications) =
            RequestCoordinator::new(clock, deployment.clone(), seed, max_result_bytes);
        let handle = |rpc: &IncomingRequest| RequestHandle::new(rpc.id.clone(), &coordinator.pending_work);
        let handles: Vec<RequestHandle> = open_requests.iter().map(handle).collect();
        {
            let mut state = coordinator.lock();
            let CoordinatorState::Inactive(host) = &mut *state else {
                unreachable!("a new coordinator is inactive")
            };
            let (is_healthy, load_signal, max_idle_us) =
                (node.is_healthy, node.load_signal, node.max_idle_us);
            host.health = HealthState { is_healthy, load_signal, max_idle_us };
            (host.timer_due_us, host.timer_token) = (node.timer_us, node.timer_token);
            host.keys = keys_sent_ahead;
            host.keys.import(std::mem::take(&mut node.keys), &node.removed_keys);
            host.keys.set_max_result_bytes(max_result_bytes);
            for RecentRunRecord { id, until_ms } in std::mem::take(&mut node.recent_runs) {
                host.recent_runs.insert(id.into(), until_ms);
            }
            for (rpc, handle) in open_requests.iter().zip(&handles) {
                let entry = RequestEntry {
                    events: handle.event_sender(),
                    idempotency_key: rpc.idempotency_key.clone(),
                    run_once_until_ms: run_once_until_ms(&deployment.methods[rpc.method], clock.unix_ms()),
                };
                host.requests.insert(rpc.id.clone(), entry);
            }
            if let Some(snapshot) = node.decisions.take() {
                let host = host.take();
                *state = CoordinatorState::Active(Box::new(
                    deployment.resume(host, snapshot).map_err(|error| error.to_string())?,
                ));
            }
        }
        Ok((coordinator, notifications, handles))
    }

    /// Whether the controller has acted on every event and no work is pending in request tasks.
    pub fn is_quiescent(&self) -> bool {
        let has_changed = self.with_host(|host| host.has_changed || !host.finished_repeats.is_empty());
        !has_changed && self.pending_work.is_none()
    }

    /// Starts the controller once the executor is up, so that requests are admitted from now on. The executor has been
    /// up for `up_us`, and `is_cold` says whether it started cold. Further calls have no effect.
    pub fn activate(&self, is_cold: bool, up_us: u64) {
        let mut state = self.lock();
        let CoordinatorState::Inactive(host) = &mut *state else { return };
        let host = host.take();
        let mut deployment = self.deployment.clone();
        deployment.survivable_load.is_cold = is_cold;
        let now_us = self.clock.now_us();
        let started_us = now_us.saturating_sub(up_us);
        let drain_notice = host.drain_notice;
        let mut controller = Box::new(deployment.start(host, started_us, self.seed));
        // Guards against an executor that comes up after this server has begun to drain: no request is started any
        // more.
        if let Some(notice) = drain_notice {
            notice.notify(&mut controller);
        }
        *state = CoordinatorState::Active(controller);
        drop(state);
        let _ = self.timer_moved.send(());
    }

    /// Submits a request that was read to the controller. The decision arrives as an event at the handle.
    ///
    /// # Errors
    ///
    /// The id or the idempotency key is in use by another request.
    pub fn submit(&self, new: &IncomingRequest) -> Result<RequestHandle, SubmitError> {
        let handle = RequestHandle::new(new.id.clone(), &self.pending_work);
        let events = handle.event_sender();
        let method = &self.deployment.methods[new.method];
        let unix_ms = self.clock.unix_ms();
        let queued_us = age_us(unix_ms, new.arrived_unix_ms, method.deadline_us);
        let submitted = self.with_controller(|controller, now_us| {
            let host = controller.host();
            if host.requests.contains_key(&new.id) {
                return Err(SubmitError::IdAlreadyOpen);
            }
            let run_once_until_ms = run_once_until_ms(method, unix_ms);
            if run_once_until_ms.is_some() && host.recent_runs.contains(&new.id) {
                return Err(SubmitError::IdHasRun);
            }
            let idempotency_key = new.idempotency_key.clone();
            // Guards against a time stamp ahead of the clock, which would lie beyond the key's window.
            let arrived_unix_ms = new.arrived_unix_ms.min(unix_ms);
            let repeats = match idempotency_key
                .as_ref()
                .map(|key| host.keys.find(&key.key, key.fingerprint, arrived_unix_ms))
            {
                Some(KeyLookup::OtherRequest { has_run }) => {
                    return Err(SubmitError::KeyOfOtherRequest { has_run })
                }
                Some(KeyLookup::SameRequest(holder)) => Some(holder),
                Some(KeyLookup::Unknown) | None => None,
            };
            let entry = RequestEntry { events, idempotency_key, run_once_until_ms };
            host.requests.insert(new.id.clone(), entry);
            let arrival = Arrival {
                id: new.id.clone(),
                method: new.method,
                memory_kb: new.memory_kb,
                queued_us,
                // Limited by the method's deadline: guards against a caller that occupies the queue for ever.
                time_left_us: new.time_left_us.map(|time_left_us| time_left_us.min(method.deadline_us)),
                work_hint_us: None,
                repeats,
                is_retry: false,
                tenant: new.tenant,
            };
            controller.request_arrived(now_us, arrival);
            Ok(())
        });
        // Without a controller the request cannot run.
        let Some(submitted) = submitted else {
            handle.events.send(RequestEvent::Reject { do_not_retry: false, retry_after_us: 0 });
            return Ok(handle);
        };
        submitted?;
        Ok(handle)
    }

    /// Reports to the controller what happened to a run or a call. The next decision arrives as an event at the handle;
    /// none arrives after the end of a run.
    pub fn report(&self, handle: &RequestHandle, report: ProgressReport) {
        self.with_controller(|controller, now_us| match report {
            ProgressReport::CallNeeded => controller.call_needed(now_us, &handle.id),
            ProgressReport::CallEnded { outcome, took_us } => {
                controller.call_ended(now_us, &handle.id, outcome, took_us);
            }
            ProgressReport::RunEnded(end, result) => {
                if matches!(end, RunEnd::NeverRan | RunEnd::Unknown) {
                    controller.host().recent_runs.remove(&handle.id);
                }
                controller.host().record_key_outcome(&handle.id, end, result);
                controller.run_ended(now_us, &handle.id, run_outcome(end));
            }
        });
    }

    /// Reports to the controller and to the request's task that the caller of a request has left. The comparison by
    /// pointer guards against a request that was not submitted because another caller's request has the same id: only
    /// the request that was submitted is affected.
    pub fn caller_left(&self, id: &RpcId) {
        self.with_controller(|controller, _| {
            let is_submitted = controller
                .host()
                .requests
                .get_key_value(id)
                .is_some_and(|(open_id, _)| Arc::ptr_eq(open_id, id));
            if is_submitted {
                controller.caller_left(id);
                controller.host().send_event(id, RequestEvent::CallerLeft);
            }
        });
    }

    /// Removes a request whose task has finished.
    pub fn remove(&self, handle: &RequestHandle) {
        self.with_host(|host| host.requests.remove(&handle.id));
    }

    /// Removes expired idempotency keys and, if the controller's timer is due, fires it with these gauges. Has no
    /// effect while the process is paused.
    pub fn tick(&self, gauges: Gauges) {
        let unix_ms = self.clock.unix_ms();
        if is_paused() {
            return;
        }
        self.with_controller(|controller, now_us| {
            let host = controller.host();
            host.keys.remove_expired(unix_ms);
            host.recent_runs.remove_expired(unix_ms);
            // A timer that is not due yet stays set: the controller recognises it by its token.
            if now_us >= host.timer_due_us {
                host.timer_due_us = u64::MAX;
                let token = host.timer_token;
                controller.timer_fired(now_us, token, gauges);
            }
        });
    }

    /// Waits until the controller's timer is due.
    pub fn wait_for_timer(&self, timer_moved: &Receiver<()>) {
        loop {
            let due_us = self.with_host(|host| host.timer_due_us);
            let now_us = self.clock.now_us();
            if due_us <= now_us && !is_paused() {
                return;
            }
            let due_us = due_us.max(now_us + 1_000);
            // The timer has moved or is due; either way it is checked again.
            let _ = timer_moved.recv_timeout(channel_timeout(due_us.min(now_us + 1_000_000) - now_us));
        }
    }

    /// Starts draining: the server reports itself as unhealthy, and all open requests must be answered by the notice's
    /// deadline.
    pub fn drain(&self, notice: DrainNotice) {
        self.with_host(|host| (host.health.is_healthy, host.drain_notice) = (Some(false), Some(notice)));
        self.with_controller(|controller, _| notice.notify(controller));
    }

    /// Whether this server drains, and its grace for requests that still arrive is over.
    pub fn is_past_drain_grace(&self) -> bool {
        let notice = self.with_host(|host| host.drain_notice);
        notice.is_some_and(|notice| self.clock.now_us() > notice.at_us + self.deployment.drain_grace_us)
    }

    /// Returns the health state.
    pub fn health_state(&self) -> HealthState {
        self.with_host(|host| host.health)
    }

    /// Returns the number of open requests.
    pub fn open_request_count(&self) -> usize {
        self.with_host(|host| host.requests.len())
    }

    /// Waits for a notification, then lets the controller act on all events since its last round of decisions. Tasks
    /// that are ready report their events first. Guards against a flood of requests: one round for each request that is
    /// read would examine all queued requests each time.
    pub fn decide_when_notified(&self, state_changed: &Receiver<()>) {
        let _ = state_changed.recv();
        let has_moved_forward = {
            let mut state = self.lock();
            let CoordinatorState::Active(controller) = &mut *state else { return };
            let previous_due_us = controller.host().timer_due_us;
            controller.host().has_changed = false;
            controller.decide(self.clock.now_us());
            controller.host().timer_due_us < previous_due_us
        };
        if has_moved_forward {
            let _ = self.timer_moved.send(());
        }
    }

    /// Notifies the controller of one event, on which it acts in the next round of decisions. Returns none while there
    /// is no controller.
    fn with_controller<T>(
        &self,
        notify: impl FnOnce(&mut AdmissionController<ControllerHost>, u64) -> T,
    ) -> Option<T> {
        let mut state = self.lock();
        let CoordinatorState::Active(controller) = &mut *state else { return None };
        let now_us = self.clock.now_us();
        let result = notify(controller, now_us);
        while let Some((id, outcome)) = controller.host().finished_repeats.pop() {
            controller.run_ended(now_us, &id, outcome);
        }
        let is_first = !std::mem::replace(&mut controller.host().has_changed, true);
        drop(state);
        if is_first {
            let _ = self.state_changed.send(());
        }
        Some(result)
    }

    fn with_host<T>(&self, access: impl FnOnce(&mut ControllerHost) -> T) -> T {
        match &mut *self.lock() {
            CoordinatorState::Inactive(host) => access(host),
            CoordinatorState::Active(controller) => access(controller.host()),
        }
    }

    /// Locks the state. Exits the process if the controller has panicked under the lock: its state may be inconsistent
    /// and no decision could be relied on, so the process must be restarted.
    fn lock(&self) -> MutexGuard<'_, CoordinatorState> {
        self.state.lock().unwrap_or_else(|_| {
            tracing::error!("the decisions failed; this process exits, to be restarted");
            crate::logger::flush();
            std::process::exit(crate::panics::EXIT_STATUS)
        })
    }
}

impl ControllerHost {
    /// Takes the host out of its place, and leaves an empty one.
    fn take(&mut self) -> ControllerHost {
        let empty = ControllerHost {
            keys: IdempotencyKeyStore::new(0),
            recent_runs: RecentRuns::new(0),
            requests: HashMap::new(),
            finished_repeats: Vec::new(),
            ..*self
        };
        std::mem::replace(self, empty)
    }

    fn send_event(&self, id: &str, event: RequestEvent) {
        if let Some(request) = self.requests.get(id) {
            request.events.send(event);
        }
    }

    fn idempotency_key(&self, id: &str) -> Option<IdempotencyKey> {
        self.requests.get(id)?.idempotency_key.clone()
    }

    /// Stores the outcome of a run under its idempotency key, if it has one, and answers the repeats that wait for it.
    fn record_key_outcome(&mut self, id: &str, end: RunEnd, result: Option<SharedResult>) {
        let Some(idempotency_key) = self.idempotency_key(id) else { return };
        match (end, result) {
            // The request never ran, so another attempt may run.
            (RunEnd::NeverRan | RunEnd::Unknown, _) => self.remove_key(&idempotency_key.key, id),
            (RunEnd::Complete, Some(body)) => {
                for repeat in
                    self.keys.record_outcome(&idempotency_key.key, id, KeyState::Served(body.clone()))
                {
                    self.finish_repeat(repeat, RequestEvent::ServeResult(body.clone()), Outcome::Ok);
                }
            }
            _ => {
                for repeat in self.keys.record_outcome(&idempotency_key.key, id, KeyState::Failed) {
                    self.finish_repeat(repeat, RequestEvent::Abort, Outcome::Error);
                }
            }
        }
    }

    /// Removes the key of a request that never ran, and rejects the repeats that waited for it, so that their callers
    /// may retry at another server.
    fn remove_key(&mut self, key: &str, id: &str) {
        for repeat in self.keys.forget(key, id) {
            self.finish_repeat(
                repeat,
                RequestEvent::Reject { do_not_retry: false, retry_after_us: 0 },
                Outcome::Error,
            );
        }
    }

    fn finish_repeat(&mut self, repeat: RpcId, event: RequestEvent, outcome: Outcome) {
        self.send_event(&repeat, event);
        self.finished_repeats.push((repeat, outcome));
    }
}

impl Host for ControllerHost {
    fn start(&mut self, id: &str) {
        if let Some((id, entry)) = self.requests.get_key_value(id) {
            if let Some(until_ms) = entry.run_once_until_ms {
                self.recent_runs.insert(id.clone(), until_ms);
            }
        }
        self.send_event(id, RequestEvent::Run);
    }

    fn stop(&mut self, id: &str) {
        self.send_event(id, RequestEvent::Stop);
    }

    fn reject(&mut self, id: &str, Rejection { retry, retry_after_us }: Rejection) {
        let do_not_retry = retry == Retry::DoNotRetry;
        self.send_event(id, RequestEvent::Reject { do_not_retry, retry_after_us });
    }

    fn abort(&mut self, id: &str) {
        self.send_event(id, RequestEvent::Abort);
    }

    fn issue_call(&mut self, id: &str, until_us: u64) {
        self.send_event(id, RequestEvent::PlaceCall { until_us });
    }

    fn skip_call(&mut self, id: &str) {
        self.send_event(id, RequestEvent::SkipCall);
    }

    fn remember_key(&mut self, id: &str, ttl_us: u64) {
        let Some(idempotency_key) = self.idempotency_key(id) else { return };
        let until_ms = self.clock.unix_ms() + ttl_us.div_ceil(1_000);
        self.keys.remember(idempotency_key.key, idempotency_key.fingerprint, id.into(), until_ms);
    }

    fn forget_key(&mut self, id: &str) {
        if let Some(idempotency_key) = self.idempotency_key(id) {
            self.remove_key(&idempotency_key.key, id);
        }
    }

    fn answer_repeat(&mut self, id: &str) {
        let Some(idempotency_key) = self.idempotency_key(id) else { return };
        let repeat: RpcId = id.into();
        match self.keys.share(&idempotency_key.key, &repeat) {
            KeyState::Open => {}
            KeyState::Served(body) => {
                self.finish_repeat(repeat, RequestEvent::ServeResult(body), Outcome::Ok)
            }
            KeyState::Failed => self.finish_repeat(repeat, RequestEvent::Abort, Outcome::Error),
        }
    }

    fn set_readiness(&mut self, readiness: Readiness) {
        self.health.is_healthy = Some(readiness == Readiness::Ready);
    }

    fn send_load_signal(&mut self, value: f64) {
        self.health.load_signal = Some(value);
    }

    fn close_idle_connections(&mut self, idle_us: u64) {
        self.health.max_idle_us = idle_us;
    }

    fn set_timer(&mut self, at_us: u64, token: u64) {
        (self.timer_due_us, self.timer_token) = (at_us, token);
    }
}
