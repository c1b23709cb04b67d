//! Decides what comes next in the life of one RPC, from the moment it was told to the gate to its answer and the end of
//! its run: a value without I/O, fed with whatever happens and acting by a small trait. It can be written down between
//! any two events, and goes on from there in another process.

use crate::close_reason::CallResult;
use crate::coordinator::{ProgressReport, RequestEvent};
use crate::seam::Answer;
use crate::wire::notices::RunEnd;

/// How much longer than it was told a call may take before we give it up ourselves. Each moment of it is taken
/// from an RPC that could still go on without its call.
const CALL_GRACE_US: u64 = 10_000;

/// What a life asks for.
pub trait Acts {
    /// Starts its run.
    fn run(&mut self);
    /// Takes its paused run up again.
    fn wake(&mut self);
    /// Takes its run off the cores.
    fn stop(&mut self);
    /// Its run goes on without the call that the notice of that number asked for.
    fn bypass(&mut self, pos: u64);
    /// Places its call below; false where nothing lies there.
    fn call(&mut self, wait_ms: u64, body: &[u8]) -> bool;
    /// Gives its call below up; nothing more is heard of it.
    fn give_up_call(&mut self);
    /// The reply goes on to its run, as it came.
    fn give_back(&mut self, reply: &[u8]);
    /// Gives the final answer. Once in a life at most.
    fn answer(&mut self, answer: Answer);
    /// The executor knows of no such RPC: it counts against its sender.
    fn fault(&mut self);
    /// It has run: its sender is no stranger.
    fn proven(&mut self);
    /// Tells the gate what became of its run or call.
    fn report(&mut self, what: ProgressReport);
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Life {
    /// An answer is still owed.
    pub owed: bool,
    pub running: bool,
    pub call: Option<Call>,
}

/// A call that a run waits for, and when it was placed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The notice that asked for it.
    pub pos: u64,
    pub body: Vec<u8>,
    pub placed: Option<Placed>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placed {
    pub at_us: u64,
    pub until_us: u64,
}

impl Life {
    /// It was told to the gate, and its answer is owed.
    pub fn begin() -> Life {
        Life { owed: true, running: false, call: None }
    }

    /// Nothing can happen to it any more.
    pub fn is_over(&self) -> bool {
        !self.owed && !self.running
    }

    /// Until when its call may take, where one is placed; then [`RequestEvent::Timeout`] is due.
    pub fn late_us(&self) -> Option<u64> {
        Some(self.call.as_ref()?.placed?.until_us + CALL_GRACE_US)
    }

    /// One event, in the order in which they came.
    pub fn next(&mut self, now_us: u64, next: RequestEvent, acts: &mut impl Acts) {
        match next {
            RequestEvent::Run if self.running => acts.wake(),
            RequestEvent::Run => {
                self.running = true;
                acts.run();
            }
            RequestEvent::Stop => acts.stop(),
            RequestEvent::PlaceCall { until_us } => self.place_call(now_us, until_us, acts),
            RequestEvent::SkipCall => {
                self.give_up_call(acts);
                if let Some(call) = self.call.take() {
                    acts.bypass(call.pos);
                }
            }
            RequestEvent::Reject { do_not_retry, retry_after_us } => {
                self.answer(Answer::PushedBack { last: do_not_retry, come_back_us: retry_after_us }, acts)
            }
            RequestEvent::Abort => {
                self.answer(Answer::Aborted, acts);
                self.give_up_call(acts);
            }
            RequestEvent::ServeResult(body) => self.answer(Answer::Served(&body), acts),
            RequestEvent::CallerLeft => {
                self.owed = false;
                self.give_up_call(acts);
            }
            RequestEvent::CallNeeded { pos, body } => {
                self.give_up_call(acts);
                self.call = Some(Call { pos, body, placed: None });
                acts.report(ProgressReport::CallNeeded);
            }
            RequestEvent::CallEnded(end) => self.call_ended(now_us, end, acts),
            // Guards against a proxy that hangs: the call is given up, and whether it ran is not known.
            RequestEvent::Timeout => {
                if self.late_us().is_some_and(|late_us| now_us >= late_us) {
                    acts.give_up_call();
                    self.call_ended(now_us, CallResult::TimedOut, acts);
                }
            }
            RequestEvent::RunEnded(end, result) => {
                self.run_ended(end, result.as_deref(), acts);
                acts.report(ProgressReport::RunEnded(end, result));
            }
        }
    }

    fn answer(&mut self, answer: Answer, acts: &mut impl Acts) {
        if std::mem::take(&mut self.owed) {
            acts.answer(answer);
        }
    }

    fn place_call(&mut self, now_us: u64, until_us: u64, acts: &mut impl Acts) {
        let Some(call) = &mut self.call else { return };
        call.placed = Some(Placed { at_us: now_us, until_us });
        let wait_ms = until_us.saturating_sub(now_us).div_ceil(1_000).max(1);
        if !acts.call(wait_ms, &call.body) {
            self.call_ended(now_us, CallResult::Unsent, acts);
        }
    }

    /// The reply goes on to the run as it came. A call that ended in any other way still waits for a word.
    fn call_ended(&mut self, now_us: u64, end: CallResult, acts: &mut impl Acts) {
        let Some(placed) = self.call.as_mut().and_then(|call| call.placed.take()) else { return };
        let (outcome, took_us) = (end.outcome(), now_us.saturating_sub(placed.at_us));
        if let CallResult::Succeeded(body) = end {
            self.call = None;
            acts.give_back(&body);
        }
        acts.report(ProgressReport::CallEnded { outcome, took_us });
    }

    fn give_up_call(&mut self, acts: &mut impl Acts) {
        if self.call.as_mut().and_then(|call| call.placed.take()).is_some() {
            acts.give_up_call();
        }
    }

    /// A run whose end was not asked for owes its caller an answer.
    fn run_ended(&mut self, end: RunEnd, result: Option<&str>, acts: &mut impl Acts) {
        self.running = false;
        self.give_up_call(acts);
        match end {
            RunEnd::Unknown if self.owed => acts.fault(),
            RunEnd::Complete if self.owed => acts.proven(),
            _ => {}
        }
        let answer = match (end, result) {
            (RunEnd::Complete, Some(body)) => Answer::Served(body),
            // Nothing was started: another server may take it.
            (RunEnd::NeverRan | RunEnd::Unknown, _) => Answer::UNSEEN,
            _ => Answer::Aborted,
        };
        self.answer(answer, acts);
    }
}
