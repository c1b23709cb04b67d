//! One coroutine for each RPC: it waits for what happens next and feeds the RPC's life. Nobody else answers it.

use crate::clock::channel_timeout;
use crate::coordinator::{EventSender, IncomingRequest, ProgressReport, RequestHandle, SubmitError};
use crate::interfaces::{Answer, DownstreamClient};
use crate::request_state::{RequestActions, RequestState};
use crate::shared_state::SharedState;
use ochrewalk::host::Effect;
use std::sync::{Arc, Mutex, MutexGuard};

/// An RPC that is open, and all that its life needs.
pub struct OpenRequest {
    pub rpc: IncomingRequest,
    /// A JSON string, as it came.
    pub body: Box<str>,
    /// Its run, and its call, may happen twice.
    pub may_repeat: bool,
    pub client: Box<dyn DownstreamClient>,
    life: Mutex<RequestState>,
}

impl OpenRequest {
    pub fn new(
        core: &SharedState,
        rpc: IncomingRequest,
        body: &str,
        client: Box<dyn DownstreamClient>,
        life: RequestState,
    ) -> OpenRequest {
        let again = core.deployment.methods[rpc.method].effect == Effect::Idempotent;
        OpenRequest { rpc, body: body.into(), may_repeat: again, client, life: Mutex::new(life) }
    }

    /// Held for one event at most, and never over a wait.
    pub fn lock(&self) -> MutexGuard<'_, RequestState> {
        self.life.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}

/// Tells the gate of an RPC and lives it to its end.
pub fn submit_and_run(core: &SharedState, living: &Arc<OpenRequest>) {
    // Guards against a run for nobody: it may have been revoked before the gate heard of it.
    let told = living.client.awaits_answer().then(|| core.coordinator.submit(&living.rpc));
    core.coordinator.pending_work.decrement();
    match told {
        None => {}
        Some(Ok(ticket)) => {
            core.open_requests().insert(living.rpc.id.clone(), living.clone());
            run_to_completion(core, living, &ticket);
        }
        Some(Err(turned)) => {
            let answer = match turned {
                // Who holds it may be the stranger and this one be honest: it never ran, and may elsewhere.
                SubmitError::KeyOfOtherRequest { has_run: false } => Answer::REJECTED_WITHOUT_ADVICE,
                SubmitError::KeyOfOtherRequest { has_run: true } => {
                    Answer::InvalidRequest("a token that stands for other work")
                }
                SubmitError::IdAlreadyOpen => Answer::InvalidRequest("an id that is open already"),
            };
            living.client.answer(answer, None);
        }
    }
}

/// Lives one that the gate knows of to its end.
pub fn run_to_completion(core: &SharedState, living: &OpenRequest, ticket: &RequestHandle) {
    loop {
        let late_us = living.lock().call_timeout_us();
        let most =
            late_us.map(|late_us| channel_timeout(late_us.saturating_sub(core.clock.now_us()) + 1_000));
        let next = ticket.wait(most);
        let mut life = living.lock();
        life.handle(core.clock.now_us(), next, &mut Deeds { core, living, ticket });
        if life.is_finished() {
            break;
        }
    }
    core.open_requests().remove(&living.rpc.id);
    core.coordinator.remove(ticket);
}

struct Deeds<'a> {
    core: &'a SharedState,
    living: &'a OpenRequest,
    ticket: &'a RequestHandle,
}

impl Deeds<'_> {
    fn post(&self) -> EventSender {
        self.ticket.event_sender()
    }

    /// Who is pushed back, with an RPC that calls below, need not come back before anything there takes a call.
    fn told_when<'a>(&self, answer: Answer<'a>) -> Answer<'a> {
        let Answer::Rejected { do_not_retry, retry_after_us } = answer else { return answer };
        let SharedState { deployment, upstream: below, .. } = self.core;
        let calls = deployment.methods[self.living.rpc.method].makes_calls;
        let closed_us =
            below.as_ref().filter(|_| calls).and_then(|below| below.unavailable_for_us()).unwrap_or(0);
        let closed_us = closed_us.min(deployment.callers.max_retry_after_us);
        Answer::Rejected { do_not_retry, retry_after_us: retry_after_us.max(closed_us) }
    }
}

impl RequestActions for Deeds<'_> {
    fn start_run(&mut self) {
        let OpenRequest { rpc, body, may_repeat, .. } = self.living;
        self.core.executor.run(
            &rpc.id,
            &self.core.method_names_json[rpc.method],
            body,
            *may_repeat,
            self.post(),
        );
    }

    fn resume_run(&mut self) {
        self.core.executor.wake(&self.living.rpc.id);
    }

    fn stop_run(&mut self) {
        self.core.executor.stop(&self.living.rpc.id);
    }

    fn continue_without_call(&mut self, pos: u64) {
        self.core.executor.bypass(&self.living.rpc.id, pos);
    }

    fn place_call(&mut self, wait_ms: u64, body: &[u8]) -> bool {
        let Some(below) = &self.core.upstream else { return false };
        below.place_call(&self.living.rpc.id, wait_ms, body, self.living.may_repeat, self.post());
        true
    }

    fn cancel_call(&mut self) {
        if let Some(below) = &self.core.upstream {
            below.cancel_call(&self.living.rpc.id);
        }
    }

    fn return_reply(&mut self, reply: &[u8]) {
        self.core.executor.return_reply(&self.living.rpc.id, reply);
    }

    fn answer(&mut self, answer: Answer) {
        let SharedState { clock, deployment, .. } = self.core;
        let answer = self.told_when(answer);
        self.core.method_counters.record_answer(clock, deployment, &self.living.rpc, &answer);
        self.living.client.answer(answer, self.core.coordinator.health_state().load_signal);
    }

    fn record_fault(&mut self) {
        self.living.client.record_fault();
    }

    fn mark_trusted(&mut self) {
        self.living.client.mark_trusted();
    }

    fn report(&mut self, what: ProgressReport) {
        self.core.coordinator.report(self.ticket, what);
    }
}
