//! Decides what comes next in the life of one RPC, from the moment it was told to the gate to its answer and the end of
//! its run: a value without I/O, fed with whatever happens and acting by a small trait. It can be written down between
//! any two events, and goes on from there in another process.

use crate::close_reason::CallResult;
use crate::coordinator::{ProgressReport, RequestEvent};
use crate::interfaces::Answer;
use crate::wire::notices::RunEnd;

/// How much longer than it was told a call may take before we give it up ourselves. Each moment of it is taken
/// from an RPC that could still go on without its call.
const CALL_GRACE_US: u64 = 10_000;

/// What a life asks for.
pub trait RequestActions {
    /// Starts its run.
    fn start_run(&mut self);
    /// Takes its paused run up again.
    fn resume_run(&mut self);
    /// Takes its run off the cores.
    fn stop_run(&mut self);
    /// Its run goes on without the call that the notice of that number asked for.
    fn continue_without_call(&mut self, pos: u64);
    /// Places its call below; false where nothing lies there.
    fn place_call(&mut self, wait_ms: u64, body: &[u8]) -> bool;
    /// Gives its call below up; nothing more is heard of it.
    fn cancel_call(&mut self);
    /// The reply goes on to its run, as it came.
    fn return_reply(&mut self, reply: &[u8]);
    /// Gives the final answer. Once in a life at most.
    fn answer(&mut self, answer: Answer);
    /// The executor knows of no such RPC: it counts against its sender.
    fn record_fault(&mut self);
    /// It has run: its sender is no stranger.
    fn mark_trusted(&mut self);
    /// Tells the gate what became of its run or call.
    fn report(&mut self, what: ProgressReport);
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestState {
    /// An answer is still owed.
    pub awaits_answer: bool,
    pub is_running: bool,
    pub call: Option<UpstreamCall>,
}

/// A call that a run waits for, and when it was placed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamCall {
    /// The notice that asked for it.
    pub pos: u64,
    pub body: Vec<u8>,
    pub placed: Option<PlacedCall>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacedCall {
    pub placed_at_us: u64,
    pub until_us: u64,
}

impl RequestState {
    /// It was told to the gate, and its answer is owed.
    pub fn submitted() -> RequestState {
        RequestState { awaits_answer: true, is_running: false, call: None }
    }

    /// Nothing can happen to it any more.
    pub fn is_finished(&self) -> bool {
        !self.awaits_answer && !self.is_running
    }

    /// Until when its call may take, where one is placed; then [`RequestEvent::Timeout`] is due.
    pub fn call_timeout_us(&self) -> Option<u64> {
        Some(self.call.as_ref()?.placed?.until_us + CALL_GRACE_US)
    }

    /// One event, in the order in which they came.
    pub fn handle(&mut self, now_us: u64, next: RequestEvent, acts: &mut impl RequestActions) {
        match next {
            RequestEvent::Run if self.is_running => acts.resume_run(),
            RequestEvent::Run => {
                self.is_running = true;
                acts.start_run();
            }
            RequestEvent::Stop => acts.stop_run(),
            RequestEvent::PlaceCall { until_us } => self.place_call(now_us, until_us, acts),
            RequestEvent::SkipCall => {
                self.cancel_call(acts);
                if let Some(call) = self.call.take() {
                    acts.continue_without_call(call.pos);
                }
            }
            RequestEvent::Reject { do_not_retry, retry_after_us } => {
                self.answer(Answer::Rejected { do_not_retry, retry_after_us }, acts)
            }
            RequestEvent::Abort => {
                self.answer(Answer::Aborted, acts);
                self.cancel_call(acts);
            }
            RequestEvent::ServeResult(body) => self.answer(Answer::Served(&body), acts),
            RequestEvent::CallerLeft => {
                self.awaits_answer = false;
                self.cancel_call(acts);
            }
            RequestEvent::CallNeeded { pos, body } => {
                self.cancel_call(acts);
                self.call = Some(UpstreamCall { pos, body, placed: None });
                acts.report(ProgressReport::CallNeeded);
            }
            RequestEvent::CallEnded(end) => self.call_ended(now_us, end, acts),
            // Guards against a proxy that hangs: the call is given up, and whether it ran is not known.
            RequestEvent::Timeout => {
                if self.call_timeout_us().is_some_and(|late_us| now_us >= late_us) {
                    acts.cancel_call();
                    self.call_ended(now_us, CallResult::TimedOut, acts);
                }
            }
            RequestEvent::RunEnded(end, result) => {
                self.run_ended(end, result.as_deref(), acts);
                acts.report(ProgressReport::RunEnded(end, result));
            }
        }
    }

    fn answer(&mut self, answer: Answer, acts: &mut impl RequestActions) {
        if std::mem::take(&mut self.awaits_answer) {
            acts.answer(answer);
        }
    }

    fn place_call(&mut self, now_us: u64, until_us: u64, acts: &mut impl RequestActions) {
        let Some(call) = &mut self.call else { return };
        call.placed = Some(PlacedCall { placed_at_us: now_us, until_us });
        let wait_ms = until_us.saturating_sub(now_us).div_ceil(1_000).max(1);
        if !acts.place_call(wait_ms, &call.body) {
            self.call_ended(now_us, CallResult::Unsent, acts);
        }
    }

    /// The reply goes on to the run as it came. A call that ended in any other way still waits for a word.
    fn call_ended(&mut self, now_us: u64, end: CallResult, acts: &mut impl RequestActions) {
        let Some(placed) = self.call.as_mut().and_then(|call| call.placed.take()) else { return };
        let (outcome, took_us) = (end.outcome(), now_us.saturating_sub(placed.placed_at_us));
        if let CallResult::Succeeded(body) = end {
            self.call = None;
            acts.return_reply(&body);
        }
        acts.report(ProgressReport::CallEnded { outcome, took_us });
    }

    fn cancel_call(&mut self, acts: &mut impl RequestActions) {
        if self.call.as_mut().and_then(|call| call.placed.take()).is_some() {
            acts.cancel_call();
        }
    }

    /// A run whose end was not asked for owes its caller an answer.
    fn run_ended(&mut self, end: RunEnd, result: Option<&str>, acts: &mut impl RequestActions) {
        self.is_running = false;
        self.cancel_call(acts);
        match end {
            RunEnd::Unknown if self.awaits_answer => acts.record_fault(),
            RunEnd::Complete if self.awaits_answer => acts.mark_trusted(),
            _ => {}
        }
        let answer = match (end, result) {
            (RunEnd::Complete, Some(body)) => Answer::Served(body),
            // Nothing was started: another server may take it.
            (RunEnd::NeverRan | RunEnd::Unknown, _) => Answer::REJECTED_WITHOUT_ADVICE,
            _ => Answer::Aborted,
        };
        self.answer(answer, acts);
    }
}
