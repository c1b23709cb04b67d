//! Runs each request in its own coroutine, which waits for events and feeds them to the request's state machine. Only
//! this coroutine answers a request that was submitted to the coordinator.

use crate::clock::channel_timeout;
use crate::coordinator::{EventSender, IncomingRequest, ProgressReport, RequestHandle, SubmitError};
use crate::interfaces::{Answer, DownstreamClient};
use crate::request_state::{RequestActions, RequestState};
use crate::shared_state::SharedState;
use ochrewalk::host::Effect;
use std::sync::{Arc, Mutex, MutexGuard};

/// An open request, with everything that its task needs.
pub struct OpenRequest {
    /// The request as it was submitted to the coordinator.
    pub rpc: IncomingRequest,
    /// The body, a JSON string as received.
    pub body: Box<str>,
    /// Whether the run and the upstream call may be repeated, as the method is idempotent.
    pub may_repeat: bool,
    /// The client that waits for the answer.
    pub client: Box<dyn DownstreamClient>,
    state: Mutex<RequestState>,
}

impl OpenRequest {
    /// Returns an open request with this state.
    pub fn new(
        shared: &SharedState,
        rpc: IncomingRequest,
        body: &str,
        client: Box<dyn DownstreamClient>,
        state: RequestState,
    ) -> OpenRequest {
        let may_repeat = shared.deployment.methods[rpc.method].effect == Effect::Idempotent;
        OpenRequest { rpc, body: body.into(), may_repeat, client, state: Mutex::new(state) }
    }

    /// Locks the state. The guard must be released after one event, and before the task waits.
    pub fn lock(&self) -> MutexGuard<'_, RequestState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Submits a request to the coordinator and runs its task to the end.
pub fn submit_and_run(shared: &SharedState, request: &Arc<OpenRequest>) {
    // Guards against a run without a client: the request may have been revoked before it is submitted.
    let submitted = request.client.awaits_answer().then(|| shared.coordinator.submit(&request.rpc));
    shared.coordinator.pending_work.decrement();
    match submitted {
        None => {}
        Some(Ok(handle)) => {
            shared.open_requests().insert(request.rpc.id.clone(), request.clone());
            run_to_completion(shared, request, &handle);
        }
        Some(Err(error)) => {
            let answer = match error {
                // The key's holder may be an untrusted client that has learnt the key of this one. This request never
                // ran, and may run on another server.
                SubmitError::KeyOfOtherRequest { has_run: false } => Answer::REJECTED_WITHOUT_ADVICE,
                SubmitError::KeyOfOtherRequest { has_run: true } => {
                    Answer::InvalidRequest("a token that stands for other work")
                }
                SubmitError::IdHasRun => Answer::InvalidRequest("an id that has run"),
                SubmitError::IdAlreadyOpen => Answer::InvalidRequest("an id that is open already"),
            };
            request.client.answer(answer, None);
        }
    }
}

/// Runs the task of a request that the coordinator has accepted until the request is finished.
pub fn run_to_completion(shared: &SharedState, request: &OpenRequest, handle: &RequestHandle) {
    loop {
        let timeout_us = request.lock().call_timeout_us();
        let max_wait = timeout_us
            .map(|timeout_us| channel_timeout(timeout_us.saturating_sub(shared.clock.now_us()) + 1_000));
        let event = handle.wait(max_wait);
        let mut state = request.lock();
        state.handle(shared.clock.now_us(), event, &mut TaskActions { shared, request, handle });
        if state.is_finished() {
            break;
        }
    }
    shared.open_requests().remove(&request.rpc.id);
    shared.coordinator.remove(handle);
}

/// The actions of one request on the executor, the upstream, the client and the coordinator.
struct TaskActions<'a> {
    shared: &'a SharedState,
    request: &'a OpenRequest,
    handle: &'a RequestHandle,
}

impl TaskActions<'_> {
    fn event_sender(&self) -> EventSender {
        self.handle.event_sender()
    }

    /// Raises the retry-after of a rejection to the time for which the upstream is unavailable, where the method makes
    /// upstream calls: a retry before that could not place its call.
    fn with_upstream_retry_after<'a>(&self, answer: Answer<'a>) -> Answer<'a> {
        let Answer::Rejected { do_not_retry, retry_after_us } = answer else { return answer };
        let SharedState { deployment, upstream, .. } = self.shared;
        let makes_calls = deployment.methods[self.request.rpc.method].makes_calls;
        let unavailable_us = upstream
            .as_ref()
            .filter(|_| makes_calls)
            .and_then(|upstream| upstream.unavailable_for_us())
            .unwrap_or(0);
        let unavailable_us = unavailable_us.min(deployment.callers.max_retry_after_us);
        Answer::Rejected { do_not_retry, retry_after_us: retry_after_us.max(unavailable_us) }
    }
}

impl RequestActions for TaskActions<'_> {
    fn start_run(&mut self) {
        let OpenRequest { rpc, body, may_repeat, .. } = self.request;
        self.shared.executor.run(
            &rpc.id,
            &self.shared.method_names_json[rpc.method],
            body,
            *may_repeat,
            self.event_sender(),
        );
    }

    fn resume_run(&mut self) {
        self.shared.executor.wake(&self.request.rpc.id);
    }

    fn stop_run(&mut self) {
        self.shared.executor.stop(&self.request.rpc.id);
    }

    fn continue_without_call(&mut self, pos: u64) {
        self.shared.executor.bypass(&self.request.rpc.id, pos);
    }

    fn place_call(&mut self, timeout_ms: u64, body: &[u8]) -> bool {
        let Some(upstream) = &self.shared.upstream else { return false };
        upstream.place_call(
            &self.request.rpc.id,
            timeout_ms,
            body,
            self.request.may_repeat,
            self.event_sender(),
        );
        true
    }

    fn cancel_call(&mut self) {
        if let Some(upstream) = &self.shared.upstream {
            upstream.cancel_call(&self.request.rpc.id);
        }
    }

    fn return_reply(&mut self, reply: &[u8]) {
        self.shared.executor.return_reply(&self.request.rpc.id, reply);
    }

    fn answer(&mut self, answer: Answer) {
        let SharedState { clock, deployment, .. } = self.shared;
        let answer = self.with_upstream_retry_after(answer);
        self.shared.method_counters.record_answer(clock, deployment, &self.request.rpc, &answer);
        self.request.client.answer(answer, self.shared.coordinator.health_state().load_signal);
    }

    fn record_fault(&mut self) {
        self.request.client.record_fault();
    }

    fn mark_trusted(&mut self) {
        self.request.client.mark_trusted();
    }

    fn report(&mut self, report: ProgressReport) {
        self.shared.coordinator.report(self.handle, report);
    }
}
