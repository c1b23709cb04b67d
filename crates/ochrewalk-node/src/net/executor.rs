//! The connection to the executor, which is kept open for the lifetime of the node and is replaced whenever it
//! closes. Runs continue while no connection is open.
//!
//! After a connection breaks, it is unknown whether the executor has read the commands that were written last. The
//! replies to gauge requests confirm them: gauges are requested continually, and a reply proves that the executor has
//! read all that was written before the request. [`UnconfirmedCommands`] decides which of the others are written again after
//! the new connection has delivered the notices that were missed.

use super::buffered_connection::{
    close_gracefully, connect, drive_connection, CloseRequest, MessageHandler, SendQueue,
};
use super::unconfirmed_commands::{RunProperties, UnconfirmedCommands};
use crate::close_reason::CloseReason;
use crate::coordinator::{EventSender, RequestCoordinator, RequestEvent};
use crate::handover::records::ExecutorRecord;
use crate::wire::notices::{self, Notice, RunEnd};
use base64::prelude::{Engine, BASE64_STANDARD};
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use ochrewalk::host::RpcId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before a new connection where the previous one lasted for a shorter time than this.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The time limit for a gauge reply.
const GAUGES_TIMEOUT: Duration = Duration::from_millis(15);

/// The client of the executor.
pub struct Executor {
    /// Whether `KILL` pauses a run, which `WAKE` then resumes.
    can_pause: bool,
    send_queue: SendQueue,
    state: Mutex<State>,
}

struct State {
    address: SocketAddr,
    /// The runs, each with the recipient of its notices.
    runs: HashMap<RpcId, Run>,
    /// The position of the last notice that was read.
    last_read: u64,
    /// Whether the executor has welcomed the node on the current connection.
    is_welcomed: bool,
    /// The tag of the latest gauge request.
    gauge_tag: u64,
    /// The recipient of its reply, while one waits.
    gauge_sender: Option<Sender<Vec<f64>>>,
    /// Commands whose connection broke before they were confirmed.
    unconfirmed: UnconfirmedCommands,
}

struct Run {
    events: EventSender,
    properties: RunProperties,
    /// Whether the start may have been written, on a connection that has closed since or by another process.
    may_have_started: bool,
}

impl Run {
    fn new(events: EventSender, is_repeatable: bool) -> Run {
        let properties = RunProperties { is_repeatable, is_stopping: false };
        Run { events, properties, may_have_started: false }
    }
}

/// Whether this command starts the run with this id.
fn is_start_of(id: &str, command: &[u8]) -> bool {
    notices::action_and_run(command) == Some(("EXEC", id))
}

/// Returns the id and the properties of a run that has not ended.
fn properties_of(runs: &HashMap<RpcId, Run>, id: &str) -> Option<(RpcId, RunProperties)> {
    runs.get_key_value(id).map(|(id, run)| (id.clone(), run.properties))
}

impl Executor {
    /// Returns the client of the executor at `address`. `can_pause` states whether the executor can pause runs.
    pub fn new(address: SocketAddr, can_pause: bool) -> Executor {
        let state = State {
            address,
            runs: HashMap::new(),
            last_read: 0,
            is_welcomed: false,
            gauge_tag: 0,
            gauge_sender: None,
            unconfirmed: UnconfirmedCommands::default(),
        };
        Executor { can_pause, send_queue: SendQueue::retaining_unconfirmed(), state: Mutex::new(state) }
    }

    /// Restores the connection and the runs of another process. Each run comes with its id, whether its start may be
    /// repeated, and the recipient of its notices.
    pub fn resume(
        address: SocketAddr,
        can_pause: bool,
        record: ExecutorRecord,
        runs: Vec<(RpcId, bool, EventSender)>,
    ) -> Executor {
        let mut executor = Executor::new(address, can_pause);
        let run = |(id, is_repeatable, events)| {
            (id, Run { may_have_started: true, ..Run::new(events, is_repeatable) })
        };
        {
            let mut state = executor.lock();
            state.runs = runs.into_iter().map(run).collect();
            (state.last_read, state.gauge_tag) = (record.last_read, record.last_gauge_tag);
            state.is_welcomed = record.is_welcomed && record.stream.is_some();
            let paused = record.paused.into_iter().map(RpcId::from).collect();
            state.unconfirmed =
                UnconfirmedCommands::resume(record.unconfirmed, record.unconfirmed_until, paused);
        }
        match record.stream {
            Some(stream) => executor.send_queue = SendQueue::resume(stream, true),
            None => record.queued.into_iter().for_each(|line| executor.send_queue.push(line)),
        }
        executor
    }

    /// Returns the connection, with its descriptor where one is open, and the position in the notices.
    pub fn snapshot(&self) -> (ExecutorRecord, Option<RawFd>) {
        let stream = self.send_queue.snapshot();
        let state = self.lock();
        let record = ExecutorRecord {
            queued: if stream.is_none() { self.send_queue.queued_lines() } else { Vec::new() },
            last_read: state.last_read,
            is_welcomed: state.is_welcomed,
            last_gauge_tag: state.gauge_tag,
            unconfirmed: state.unconfirmed.lines().to_vec(),
            unconfirmed_until: state.unconfirmed.last_tag(),
            paused: state.unconfirmed.paused().iter().map(|id| id.to_string()).collect(),
            stream: None,
        };
        match stream {
            Some((fd, stream)) => (ExecutorRecord { stream: Some(stream), ..record }, Some(fd)),
            None => (record, None),
        }
    }

    /// Wakes the coroutine of the connection after a pause.
    pub fn recheck_connection(&self) {
        self.send_queue.wake();
    }

    /// Sets the executor's address. Where it has changed, a new connection continues where the current one is closed.
    pub fn set_address(&self, address: SocketAddr) {
        let previous = std::mem::replace(&mut self.lock().address, address);
        if previous != address {
            self.send_queue.request_close(CloseRequest::Moved);
        }
    }

    /// Starts a run, whose notices are sent to `events`. Where the run `is_repeatable`, the command is repeated without a
    /// proof after a connection broke.
    pub fn run(&self, id: &RpcId, lane: &str, content: &str, is_repeatable: bool, events: EventSender) {
        self.lock().runs.insert(id.clone(), Run::new(events, is_repeatable));
        self.send_queue.push(notices::exec(id, lane, content));
    }

    /// Resumes a paused run. A run that is paused for a proof is resumed at the end of the proof.
    pub fn wake(&self, id: &str) {
        if !self.lock().unconfirmed.is_paused(id) {
            self.send_queue.push(notices::wake(id));
        }
    }

    /// Stops a run for good, or pauses it where the executor can. A start that is still queued is withdrawn. The caller repeats the command until the run has ended, so a
    /// lost command does no harm.
    pub fn stop(&self, id: &str) {
        let (is_welcomed, may_have_started) = {
            let mut state = self.lock();
            let may_have_started = state.runs.get_mut(id).is_none_or(|run| {
                run.properties.is_stopping = true;
                run.may_have_started
            });
            (state.is_welcomed, may_have_started)
        };
        if !may_have_started && self.send_queue.withdraw(|line| is_start_of(id, line)) {
            return self.end_run(id, RunEnd::NeverRan, None);
        }
        if !is_welcomed {
            return;
        }
        self.send_queue.push(notices::kill(id));
    }

    /// Sends the reply to an upstream call to its run.
    pub fn return_reply(&self, id: &str, reply: &[u8]) {
        self.send_queue.push(notices::return_reply(id, &BASE64_STANDARD.encode(reply)));
    }

    /// Lets a run continue without its upstream call.
    pub fn bypass(&self, id: &str, pos: u64) {
        self.send_queue.push(notices::bypass(id, pos));
    }

    /// Requests the gauges and returns them, or `None` where no connection is open or no reply arrives in time.
    pub fn gauges(&self, channel: &(Sender<Vec<f64>>, Receiver<Vec<f64>>)) -> Option<Vec<f64>> {
        let tag = {
            let mut state = self.lock();
            if !state.is_welcomed {
                return None;
            }
            state.gauge_tag += 1;
            state.gauge_sender = Some(channel.0.clone());
            state.gauge_tag
        };
        self.send_queue.push(notices::meter(tag));
        let gauges = channel.1.recv_timeout(GAUGES_TIMEOUT).ok();
        self.lock().gauge_sender = None;
        // The reply may have arrived between the two statements above.
        gauges.or_else(|| channel.1.try_recv().ok())
    }

    /// Maintains the connection forever, and starts with `adopted` where it is given. Sends a message on `up` whenever
    /// the executor has welcomed the node.
    pub fn maintain_connection(
        &self,
        coordinator: &RequestCoordinator,
        up: &Sender<()>,
        adopted: Option<TcpStream>,
    ) {
        let mut adopted = adopted;
        loop {
            let from = Instant::now();
            let resumed = adopted.take();
            // Clears the close request before the address is read, so that a change of the address during the connect
            // still closes the new connection.
            if resumed.is_none() {
                self.send_queue.clear_close_request();
            }
            let State { address, last_read, .. } = *self.lock();
            let first = resumed.is_none().then(|| notices::join(last_read));
            let reason = match resumed.map_or_else(|| connect(&address, CONNECT_TIMEOUT), Ok) {
                Ok(stream) => {
                    let mut handler = NoticeHandler { executor: self, coordinator, up };
                    let reason = drive_connection(
                        &stream,
                        &self.send_queue,
                        first,
                        notices::MAX_LINE_BYTES,
                        &mut handler,
                    );
                    // The next connection is not delayed by the close. Notices that are discarded on this connection
                    // are sent again on the next one.
                    let close_reason = reason.clone();
                    may::go!(move || close_gracefully(&stream, &close_reason, || false));
                    reason
                }
                Err(reason) => reason,
            };
            let was_up = std::mem::take(&mut self.lock().is_welcomed);
            self.lock().unconfirmed.extend(self.send_queue.take_unconfirmed());
            if was_up || reason != CloseReason::Refused {
                tracing::warn!(part = "executor", place = %address, "not connected: {reason}; reconnecting");
            }
            may::coroutine::sleep(reconnect_delay(from.elapsed()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn notify(&self, id: &str, next: RequestEvent) {
        if let Some(run) = self.lock().runs.get(id) {
            run.events.send(next);
        }
    }

    fn end_run(&self, id: &str, end: RunEnd, content: Option<Arc<str>>) {
        if let Some(run) = self.lock().runs.remove(id) {
            run.events.send(RequestEvent::RunEnded(end, content));
        }
    }

    /// Pauses, on a new connection, the runs whose unconfirmed commands are repeated only after a proof. The gauge requests
    /// that follow are written after these commands.
    fn begin_proof(&self) {
        let mut state = self.lock();
        let State { unconfirmed, runs, gauge_tag, .. } = &mut *state;
        for id in unconfirmed.begin_proof(*gauge_tag, self.can_pause, |id| properties_of(runs, id)) {
            self.send_queue.push(notices::kill(&id));
        }
    }

    /// Writes unconfirmed commands again, where the gauge reply with this tag completes the proof. All notices up to now are
    /// read.
    fn repeat_unconfirmed(&self, tag: u64) {
        let mut state = self.lock();
        let State { unconfirmed, runs, .. } = &mut *state;
        for command in unconfirmed.complete_proof(tag, |id| properties_of(runs, id)) {
            if let Some(run) = notices::action_and_run(&command).and_then(|(_, uid)| runs.get_mut(uid)) {
                run.may_have_started = true;
            }
            self.send_queue.push(command);
        }
    }

    /// Whether the notice at that position is new. Records the position, so that a notice that is sent again after a
    /// `JOIN` is not handled twice.
    fn is_new(&self, pos: u64) -> bool {
        let mut state = self.lock();
        let is_new = pos > state.last_read;
        state.last_read = state.last_read.max(pos);
        is_new
    }

    fn handle_notice(
        &self,
        coordinator: &RequestCoordinator,
        up: &Sender<()>,
        notice: Notice,
    ) -> Result<(), CloseReason> {
        match notice {
            Notice::Welcome { is_cold, uptime_us } => {
                tracing::info!(
                    part = "executor",
                    "up for {} ms, {}",
                    uptime_us / 1_000,
                    if is_cold { "cold" } else { "warm" }
                );
                self.lock().is_welcomed = true;
                self.begin_proof();
                coordinator.activate(is_cold, uptime_us);
                let _ = up.send(());
            }
            Notice::Exit { pos, uid, end, content } if self.is_new(pos) => {
                self.end_run(&uid, end, content.map(|c| c.get().into()));
            }
            Notice::Callout { pos, uid, content } if self.is_new(pos) => {
                let text: std::borrow::Cow<str> = serde_json::from_str(content.get())
                    .map_err(|err| CloseReason::Malformed(format!("CALLOUT: {err}")))?;
                let body = BASE64_STANDARD
                    .decode(text.as_bytes())
                    .map_err(|err| CloseReason::Malformed(format!("CALLOUT: {err}")))?;
                // The run has continued, so the executor has read its unconfirmed commands, and those on the current
                // connection that let it continue. They are not repeated, even if this connection breaks: a repeated
                // reply would reach a later call of the run.
                let is_read = |line: &[u8]| {
                    notices::action_and_run(line)
                        .is_some_and(|(action, run)| run == uid && !["KILL", "WAKE"].contains(&action))
                };
                self.send_queue.confirm_matching(is_read);
                self.lock().unconfirmed.run_continued(&uid);
                self.notify(&uid, RequestEvent::CallNeeded { pos, body });
            }
            Notice::Meters { echo, meters } => {
                let Ok(tag) = echo.parse() else { return Ok(()) };
                self.send_queue.confirm_through(&notices::meter(tag));
                self.repeat_unconfirmed(tag);
                let state = self.lock();
                if let Some(sender) = state.gauge_sender.as_ref().filter(|_| tag == state.gauge_tag) {
                    let _ = sender.send(meters);
                }
            }
            Notice::Bad { command, uid } => {
                tracing::warn!(part = "executor", "the executor rejected {command} for run {uid:?}");
                let Some(uid) = uid else { return Ok(()) };
                match &*command {
                    // A rejected start proves that the run never began; a rejection of any other command proves nothing.
                    "EXEC" => self.end_run(&uid, RunEnd::Unknown, None),
                    "RETURN" | "BYPASS" => self.end_run(&uid, RunEnd::Failed, None),
                    _ => {}
                }
            }
            Notice::Log { pos } => {
                pos.map(|pos| self.is_new(pos));
            }
            Notice::Exit { .. } | Notice::Callout { .. } => {}
        }
        Ok(())
    }
}

/// Returns the delay before the next connection attempt, from the time for which the previous connection lasted. The
/// delay is zero after a connection that lasted, because no run can start without a connection. A delay follows a short
/// one, to limit the attempts where no process listens or the peer closes each connection at once.
pub fn reconnect_delay(lasted: Duration) -> Duration {
    if lasted < RECONNECT_DELAY {
        RECONNECT_DELAY
    } else {
        Duration::ZERO
    }
}

/// The handler of the notices on one connection.
struct NoticeHandler<'a> {
    executor: &'a Executor,
    coordinator: &'a RequestCoordinator,
    up: &'a Sender<()>,
}

impl MessageHandler for NoticeHandler<'_> {
    fn handle_message(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((line, taken)) = crate::wire::line(input) else { return Ok(0) };
        if !line.is_empty() {
            let notice = notices::read(line).map_err(CloseReason::Malformed)?;
            self.executor.handle_notice(self.coordinator, self.up, notice)?;
        }
        Ok(taken)
    }
}

/// Returns a channel for [`Executor::gauges`].
pub fn gauge_channel() -> (Sender<Vec<f64>>, Receiver<Vec<f64>>) {
    channel()
}
