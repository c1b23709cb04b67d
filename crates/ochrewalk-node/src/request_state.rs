//! Decides what a request does next, from its submission to the coordinator until its answer and the end of its run.
//! The state machine does no I/O: it is fed with events and acts through the [`RequestActions`] trait. Its state can be
//! persisted between any two events and restored in another process.

use crate::close_reason::CallResult;
use crate::coordinator::{ProgressReport, RequestEvent};
use crate::interfaces::Answer;
use crate::wire::notices::RunEnd;

/// The grace period after the deadline of a call, at whose end the node cancels the call itself. Every millisecond of
/// it is taken from a request that could still continue without its call.
const CALL_GRACE_US: u64 = 10_000;

/// The actions that the state machine of a request can take.
pub trait RequestActions {
    /// Starts the run.
    fn start_run(&mut self);
    /// Resumes the paused run.
    fn resume_run(&mut self);
    /// Takes the run off the cores.
    fn stop_run(&mut self);
    /// Lets the run continue without the call that the notice at position `pos` requested.
    fn continue_without_call(&mut self, pos: u64);
    /// Places the upstream call; false where the node has no upstream.
    fn place_call(&mut self, timeout_ms: u64, body: &[u8]) -> bool;
    /// Cancels the upstream call; no result is reported after that.
    fn cancel_call(&mut self);
    /// Returns the reply to the run, unchanged.
    fn return_reply(&mut self, reply: &[u8]);
    /// Gives the final answer, at most once per request.
    fn answer(&mut self, answer: Answer);
    /// Counts a fault against the client: the executor does not know this request.
    fn record_fault(&mut self);
    /// Marks the client as trusted: its request has run.
    fn mark_trusted(&mut self);
    /// Reports to the coordinator what happened to the run or the call.
    fn report(&mut self, report: ProgressReport);
}

/// The state of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestState {
    /// Whether the client still waits for an answer.
    pub awaits_answer: bool,
    /// Whether the executor has the run and has not reported its end.
    pub is_running: bool,
    /// The call that the run waits for.
    pub call: Option<UpstreamCall>,
}

/// An upstream call that a run waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamCall {
    /// The position of the executor notice that requested the call.
    pub pos: u64,
    /// The payload.
    pub body: Vec<u8>,
    /// The times of the call; none while it is not placed.
    pub placed: Option<PlacedCall>,
}

/// The times of a call that has been placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacedCall {
    /// The time at which the call was placed, on the node's monotonic clock.
    pub placed_at_us: u64,
    /// The deadline of the call, on the same clock.
    pub until_us: u64,
}

impl RequestState {
    /// Returns the state of a request that was submitted to the coordinator and has not been answered.
    pub fn submitted() -> RequestState {
        RequestState { awaits_answer: true, is_running: false, call: None }
    }

    /// Whether the request is answered and its run has ended: no further event matters.
    pub fn is_finished(&self) -> bool {
        !self.awaits_answer && !self.is_running
    }

    /// Returns the time at which [`RequestEvent::Timeout`] is due for the placed call; none where no call is placed.
    pub fn call_timeout_us(&self) -> Option<u64> {
        Some(self.call.as_ref()?.placed?.until_us + CALL_GRACE_US)
    }

    /// Handles one event. Events must be passed in the order in which they arrived.
    pub fn handle(&mut self, now_us: u64, event: RequestEvent, actions: &mut impl RequestActions) {
        match event {
            RequestEvent::Run if self.is_running => actions.resume_run(),
            RequestEvent::Run => {
                self.is_running = true;
                actions.start_run();
            }
            RequestEvent::Stop => actions.stop_run(),
            RequestEvent::PlaceCall { until_us } => self.place_call(now_us, until_us, actions),
            RequestEvent::SkipCall => {
                self.cancel_call(actions);
                if let Some(call) = self.call.take() {
                    actions.continue_without_call(call.pos);
                }
            }
            RequestEvent::Reject { do_not_retry, retry_after_us } => {
                self.answer(Answer::Rejected { do_not_retry, retry_after_us }, actions)
            }
            RequestEvent::Abort => {
                self.answer(Answer::Aborted, actions);
                self.cancel_call(actions);
            }
            RequestEvent::ServeResult(body) => self.answer(Answer::Served(&body), actions),
            RequestEvent::CallerLeft => {
                self.awaits_answer = false;
                self.cancel_call(actions);
            }
            RequestEvent::CallNeeded { pos, body } => {
                self.cancel_call(actions);
                self.call = Some(UpstreamCall { pos, body, placed: None });
                actions.report(ProgressReport::CallNeeded);
            }
            RequestEvent::CallEnded(result) => self.call_ended(now_us, result, actions),
            // Guards against a proxy that hangs: the call is cancelled, and whether it ran is unknown.
            RequestEvent::Timeout => {
                if self.call_timeout_us().is_some_and(|timeout_us| now_us >= timeout_us) {
                    actions.cancel_call();
                    self.call_ended(now_us, CallResult::TimedOut, actions);
                }
            }
            RequestEvent::RunEnded(end, result) => {
                self.run_ended(end, result.as_deref(), actions);
                actions.report(ProgressReport::RunEnded(end, result));
            }
        }
    }

    fn answer(&mut self, answer: Answer, actions: &mut impl RequestActions) {
        if std::mem::take(&mut self.awaits_answer) {
            actions.answer(answer);
        }
    }

    fn place_call(&mut self, now_us: u64, until_us: u64, actions: &mut impl RequestActions) {
        let Some(call) = &mut self.call else { return };
        call.placed = Some(PlacedCall { placed_at_us: now_us, until_us });
        let timeout_ms = until_us.saturating_sub(now_us).div_ceil(1_000).max(1);
        if !actions.place_call(timeout_ms, &call.body) {
            self.call_ended(now_us, CallResult::Unsent, actions);
        }
    }

    /// Passes a reply to the run unchanged. After any other result the call stays, until the coordinator decides
    /// whether to place it again or to skip it.
    fn call_ended(&mut self, now_us: u64, result: CallResult, actions: &mut impl RequestActions) {
        let Some(placed) = self.call.as_mut().and_then(|call| call.placed.take()) else { return };
        let (outcome, took_us) = (result.outcome(), now_us.saturating_sub(placed.placed_at_us));
        if let CallResult::Succeeded(body) = result {
            self.call = None;
            actions.return_reply(&body);
        }
        actions.report(ProgressReport::CallEnded { outcome, took_us });
    }

    fn cancel_call(&mut self, actions: &mut impl RequestActions) {
        if self.call.as_mut().and_then(|call| call.placed.take()).is_some() {
            actions.cancel_call();
        }
    }

    /// Handles the end of a run. A run may end unrequested, so its client is answered here if it still waits.
    fn run_ended(&mut self, end: RunEnd, result: Option<&str>, actions: &mut impl RequestActions) {
        self.is_running = false;
        self.cancel_call(actions);
        match end {
            RunEnd::Unknown if self.awaits_answer => actions.record_fault(),
            RunEnd::Complete if self.awaits_answer => actions.mark_trusted(),
            _ => {}
        }
        let answer = match (end, result) {
            (RunEnd::Complete, Some(body)) => Answer::Served(body),
            // The request never ran, so another server may take it.
            (RunEnd::NeverRan | RunEnd::Unknown, _) => Answer::REJECTED_WITHOUT_ADVICE,
            _ => Answer::Aborted,
        };
        self.answer(answer, actions);
    }
}
