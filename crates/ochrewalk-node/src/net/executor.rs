//! The link to the executor: one connection, kept open for as long as the node lives and made anew whenever
//! it ends. Runs go on while there is none.
//!
//! Commands that were written when a link broke may or may not have been read. Gauges tell: they are asked for
//! all the time, and who answers them has read all that was written before. What is not confirmed so is
//! written again once the new link has brought the notices that were missed.
//!
//! A start that may not happen twice needs proof first. Where runs can be paused, the run is: gauges that are
//! answered after that, with no notice of its end before them, prove that it stands still or never began. Then
//! the start is written again, which means nothing to a run that is there, and the run is woken.

use super::link::{carry, connect, let_go, Finish, Outbox, Reader};
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

const CONNECT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(100);
/// How long gauges are waited for.
const METERS: Duration = Duration::from_millis(15);

pub struct Executor {
    /// `KILL` pauses runs here, and `WAKE` takes them up again.
    pauses: bool,
    outbox: Outbox,
    state: Mutex<State>,
}

struct State {
    at: SocketAddr,
    /// Where news of each run goes.
    runs: HashMap<RpcId, Run>,
    /// The last notice that was read.
    read: u64,
    welcomed: bool,
    /// The tag of the gauges that are waited for, and who waits.
    asked: u64,
    meters: Option<Sender<Vec<f64>>>,
    /// Commands whose link broke before they were confirmed; they are settled by gauges asked for after this.
    doubtful: Vec<Vec<u8>>,
    doubt_until: u64,
    /// Runs that were paused for proof.
    paused: Vec<RpcId>,
}

struct Run {
    post: EventSender,
    again: bool,
}

impl Executor {
    pub fn new(at: SocketAddr, pauses: bool) -> Executor {
        let state = State {
            at,
            runs: HashMap::new(),
            read: 0,
            welcomed: false,
            asked: 0,
            meters: None,
            doubtful: Vec::new(),
            doubt_until: 0,
            paused: Vec::new(),
        };
        Executor { pauses, outbox: Outbox::keeping(), state: Mutex::new(state) }
    }

    /// Goes on with the link and the runs of another process.
    pub fn resume(
        at: SocketAddr,
        pauses: bool,
        kept: ExecutorRecord,
        runs: Vec<(RpcId, bool, EventSender)>,
    ) -> Executor {
        let mut executor = Executor::new(at, pauses);
        let run = |(id, again, post)| (id, Run { post, again });
        {
            let mut state = executor.lock();
            state.runs = runs.into_iter().map(run).collect();
            (state.read, state.asked, state.doubt_until) = (kept.read, kept.asked, kept.doubt_until);
            state.welcomed = kept.welcomed && kept.stream.is_some();
            state.doubtful = kept.doubtful;
            state.paused = kept.paused.into_iter().map(RpcId::from).collect();
        }
        match kept.stream {
            Some(stream) => executor.outbox = Outbox::resume(stream, true),
            None => kept.waiting.into_iter().for_each(|line| executor.outbox.push(line)),
        }
        executor
    }

    /// The link, where there is one with its descriptor, and what is known of the notices.
    pub fn keep(&self) -> (ExecutorRecord, Option<RawFd>) {
        let stream = self.outbox.keep();
        let state = self.lock();
        let kept = ExecutorRecord {
            waiting: if stream.is_none() { self.outbox.waiting() } else { Vec::new() },
            read: state.read,
            welcomed: state.welcomed,
            asked: state.asked,
            doubtful: state.doubtful.clone(),
            doubt_until: state.doubt_until,
            paused: state.paused.iter().map(|id| id.to_string()).collect(),
            stream: None,
        };
        match stream {
            Some((fd, stream)) => (ExecutorRecord { stream: Some(stream), ..kept }, Some(fd)),
            None => (kept, None),
        }
    }

    pub fn nudge(&self) {
        self.outbox.nudge();
    }

    /// It is found there from now on: the link is made anew, and goes on where it was left.
    pub fn move_to(&self, at: SocketAddr) {
        let from = std::mem::replace(&mut self.lock().at, at);
        if from != at {
            self.outbox.finish(Finish::Moved);
        }
    }

    /// Starts a run; what becomes of it goes to `post`. Where `again` is harmless the command is repeated
    /// after a link that broke under it.
    pub fn run(&self, id: &RpcId, lane: &str, content: &str, again: bool, post: EventSender) {
        self.lock().runs.insert(id.clone(), Run { post, again });
        self.outbox.push(notices::exec(id, lane, content));
    }

    pub fn wake(&self, id: &str) {
        self.outbox.push(notices::wake(id));
    }

    /// It is asked for again and again until the run has ended, so that it may get lost.
    pub fn stop(&self, id: &str) {
        if !self.lock().welcomed {
            return;
        }
        self.outbox.push(notices::kill(id));
    }

    pub fn give_back(&self, id: &str, reply: &[u8]) {
        self.outbox.push(notices::give_back(id, &BASE64_STANDARD.encode(reply)));
    }

    pub fn bypass(&self, id: &str, pos: u64) {
        self.outbox.push(notices::bypass(id, pos));
    }

    /// The gauges, if they come within a moment.
    pub fn gauges(&self, rows: &(Sender<Vec<f64>>, Receiver<Vec<f64>>)) -> Option<Vec<f64>> {
        let tag = {
            let mut state = self.lock();
            if !state.welcomed {
                return None;
            }
            state.asked += 1;
            state.meters = Some(rows.0.clone());
            state.asked
        };
        self.outbox.push(notices::meter(tag));
        let row = rows.1.recv_timeout(METERS).ok();
        self.lock().meters = None;
        // It may have come between the two lines above.
        row.or_else(|| rows.1.try_recv().ok())
    }

    /// Keeps the link up for ever, `adopted` first. `up` gets a word whenever the executor is known to be up.
    pub fn keep_up(&self, gate: &RequestCoordinator, up: &Sender<()>, adopted: Option<TcpStream>) {
        let mut adopted = adopted;
        loop {
            let from = Instant::now();
            let goes_on = adopted.take();
            // Before the address is read: guards against a new one that comes while this one is connected to.
            if goes_on.is_none() {
                self.outbox.begin();
            }
            let State { at, read, .. } = *self.lock();
            let first = goes_on.is_none().then(|| notices::join(read));
            let ending = match goes_on.map_or_else(|| connect(&at, CONNECT), Ok) {
                Ok(stream) => {
                    let mut link = Link { executor: self, gate, up };
                    let ending = carry(&stream, &self.outbox, first, notices::LONGEST, &mut link);
                    // The next link does not wait for it. What still comes on this one comes again on that.
                    let how = ending.clone();
                    may::go!(move || let_go(&stream, &how, || false));
                    ending
                }
                Err(ending) => ending,
            };
            let was_up = std::mem::take(&mut self.lock().welcomed);
            self.lock().doubtful.extend(self.outbox.take_written());
            if was_up || ending != CloseReason::Refused {
                tracing::warn!(part = "executor", place = %at, "{ending}; joining again");
            }
            may::coroutine::sleep(pause_after(from.elapsed()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    fn news(&self, id: &str, next: RequestEvent) {
        if let Some(run) = self.lock().runs.get(id) {
            run.post.send(next);
        }
    }

    fn ended(&self, id: &str, end: RunEnd, content: Option<Arc<str>>) {
        if let Some(run) = self.lock().runs.remove(id) {
            run.post.send(RequestEvent::RunEnded(end, content));
        }
    }

    /// A new link is up. Pauses the runs whose start is in doubt and may not happen twice.
    fn ask_for_proof(&self) {
        let mut state = self.lock();
        state.doubt_until = state.asked;
        // Those are asked for again as long as they are wanted.
        state.doubtful.retain(|line| notices::named(line).is_some_and(|(action, _)| action != "KILL"));
        if !self.pauses {
            return;
        }
        let State { doubtful, runs, paused, .. } = &mut *state;
        let starts = doubtful.iter().filter_map(|line| notices::named(line).filter(|n| n.0 == "EXEC"));
        for (id, run) in starts.filter_map(|(_, uid)| runs.get_key_value(uid)) {
            if !run.again {
                self.outbox.push(notices::kill(id));
                paused.push(id.clone());
            }
        }
    }

    /// All notices up to now are read: what a broken link left in doubt goes out again, unless its run has
    /// ended. Guards against a second effect: a run that may not happen twice is begun again only after proof.
    fn repeat_doubtful(&self) {
        let mut state = self.lock();
        let State { doubtful, runs, paused, .. } = &mut *state;
        for line in doubtful.drain(..) {
            let again = notices::named(&line).is_some_and(|(action, uid)| {
                let proven = action != "EXEC" || paused.iter().any(|id| **id == *uid);
                runs.get(uid).is_some_and(|run| run.again || proven)
            });
            if again {
                self.outbox.push(line);
            }
        }
        for id in paused.drain(..).filter(|id| runs.contains_key(id)) {
            self.outbox.push(notices::wake(&id));
        }
    }

    /// Whether the notice of that number is new. Guards against handling one twice after a new JOIN.
    fn is_new(&self, pos: u64) -> bool {
        let mut state = self.lock();
        let new = pos > state.read;
        state.read = state.read.max(pos);
        new
    }

    fn notice(&self, gate: &RequestCoordinator, up: &Sender<()>, notice: Notice) -> Result<(), CloseReason> {
        match notice {
            Notice::Welcome { cold, up_us } => {
                tracing::info!(
                    part = "executor",
                    "up for {} ms, {}",
                    up_us / 1_000,
                    if cold { "cold" } else { "warm" }
                );
                self.lock().welcomed = true;
                self.ask_for_proof();
                gate.activate(cold, up_us);
                let _ = up.send(());
            }
            Notice::Exit { pos, uid, end, content } if self.is_new(pos) => {
                self.ended(&uid, end, content.map(|c| c.get().into()));
            }
            Notice::Callout { pos, uid, content } if self.is_new(pos) => {
                let text: std::borrow::Cow<str> = serde_json::from_str(content.get())
                    .map_err(|err| CloseReason::Malformed(format!("CALLOUT: {err}")))?;
                let body = BASE64_STANDARD
                    .decode(text.as_bytes())
                    .map_err(|err| CloseReason::Malformed(format!("CALLOUT: {err}")))?;
                // Guards against a reply that goes to a later call of its run: the run has gone on, so that what was in
                // doubt of it had been read, and so had what brought it here on the present link, should that break.
                let brought_here = |line: &[u8]| {
                    notices::named(line)
                        .is_some_and(|(action, of)| of == uid && !["KILL", "WAKE"].contains(&action))
                };
                self.outbox.settle(brought_here);
                self.lock().doubtful.retain(|line| notices::named(line).is_none_or(|(_, of)| of != uid));
                self.news(&uid, RequestEvent::CallNeeded { pos, body });
            }
            Notice::Meters { echo, meters } => {
                let Ok(tag) = echo.parse() else { return Ok(()) };
                self.outbox.confirm(&notices::meter(tag));
                if tag > self.lock().doubt_until {
                    self.repeat_doubtful();
                }
                let state = self.lock();
                if let Some(rows) = state.meters.as_ref().filter(|_| tag == state.asked) {
                    let _ = rows.send(meters);
                }
            }
            Notice::Bad { command, uid } => {
                tracing::warn!(part = "executor", "{command} not carried out for {uid:?}");
                let Some(uid) = uid else { return Ok(()) };
                match &*command {
                    // A run that was never begun is proof; for any other command it is none.
                    "EXEC" => self.ended(&uid, RunEnd::Unknown, None),
                    "RETURN" | "BYPASS" => self.ended(&uid, RunEnd::Failed, None),
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

/// How long after a link that lasted so long the next one is tried: at once, as each moment without a link is one
/// in which nothing starts. Guards against a peer that nobody listens at, or that ends each link at once.
pub fn pause_after(lasted: Duration) -> Duration {
    if lasted < PAUSE {
        PAUSE
    } else {
        Duration::ZERO
    }
}

struct Link<'a> {
    executor: &'a Executor,
    gate: &'a RequestCoordinator,
    up: &'a Sender<()>,
}

impl Reader for Link<'_> {
    fn take(&mut self, input: &[u8]) -> Result<usize, CloseReason> {
        let Some((line, taken)) = crate::wire::line(input) else { return Ok(0) };
        if !line.is_empty() {
            let notice = notices::read(line).map_err(CloseReason::Malformed)?;
            self.executor.notice(self.gate, self.up, notice)?;
        }
        Ok(taken)
    }
}

/// A pair for [`Executor::gauges`].
pub fn rows() -> (Sender<Vec<f64>>, Receiver<Vec<f64>>) {
    channel()
}
