//! The life of one RPC, from the line that brought it to its answer and the end of its run. One coroutine
//! each: it does what the gate says and tells the gate what came of it. Nobody else answers it.

use crate::clock::whole_ms;
use crate::core::Core;
use crate::ending::CallEnd;
use crate::gate::{Incoming, Next, Report, Turned};
use crate::seam::{Answer, Asker};
use crate::wire::notices::RunEnd;
use may::sync::mpsc::Sender;
use ochrewalk::host::Effect;
use std::time::Duration;

/// How much longer than it was told a call may take before we give it up ourselves. Each moment of it is taken
/// from an RPC that could still go on without its call.
const CALL_GRACE_US: u64 = 10_000;

/// A call that a run waits for, and when it was placed.
struct Call {
    pos: u64,
    body: Vec<u8>,
    placed: Option<Placed>,
}

struct Placed {
    at_us: u64,
    until_us: u64,
}

struct Life<'a> {
    core: &'a Core,
    rpc: &'a Incoming,
    /// Its run, and its call, may happen twice.
    again: bool,
    /// None once the answer has been given or is not owed.
    asker: Option<&'a dyn Asker>,
    running: bool,
    call: Option<Call>,
}

/// `body` is a JSON string, as it came.
pub fn live(core: &Core, rpc: &Incoming, body: &str, asker: &dyn Asker) {
    // Guards against a run for nobody: it may have been revoked before the gate heard of it.
    if !asker.is_owed() {
        return;
    }
    let (ticket, mut next) = match core.gate.pick(rpc) {
        Ok(taken) => taken,
        Err(turned) => {
            let answer = match turned {
                // Who holds it may be the stranger and this one be honest: it never ran, and may elsewhere.
                Turned::TokenTaken { ran: false } => Answer::UNSEEN,
                Turned::TokenTaken { ran: true } => Answer::Fault("a token that stands for other work"),
                Turned::OpenAlready => Answer::Fault("an id that is open already"),
            };
            return asker.answer(answer, None);
        }
    };
    let again = core.deployment.methods[rpc.method].effect == Effect::Idempotent;
    let mut life = Life { core, rpc, again, asker: Some(asker), running: false, call: None };
    loop {
        let report = match next {
            Next::Run if life.running => {
                core.executor.wake(&rpc.id);
                None
            }
            Next::Run => {
                life.running = true;
                core.executor.run(&rpc.id, &core.lanes[rpc.method], body, life.again, ticket.post());
                None
            }
            Next::Stop => {
                core.executor.stop(&rpc.id);
                None
            }
            Next::Call { until_us } => life.place_call(until_us, ticket.post()),
            Next::Skip => {
                if let Some(call) = life.call.take() {
                    core.executor.bypass(&rpc.id, call.pos);
                }
                None
            }
            Next::PushBack { last, come_back_us } => {
                life.answer(Answer::PushedBack { last, come_back_us });
                None
            }
            Next::Abort => {
                life.answer(Answer::Aborted);
                life.give_up_call();
                None
            }
            Next::Serve(body) => {
                life.answer(Answer::Served(&body));
                None
            }
            Next::Gone => {
                life.asker = None;
                life.give_up_call();
                None
            }
            Next::NeedsCall { pos, body } => {
                life.call = Some(Call { pos, body, placed: None });
                Some(Report::NeedsCall)
            }
            Next::CallEnded(end) => life.call_ended(end),
            Next::Nothing => life.late(),
            Next::RunEnded(end, result) => {
                life.run_ended(end, result.as_deref());
                core.gate.report(&ticket, Report::RunEnded(end, result));
                break;
            }
        };
        if life.asker.is_none() && !life.running {
            break;
        }
        next = match report {
            Some(report) => core.gate.report(&ticket, report),
            None => ticket.wait(life.patience()),
        };
    }
    core.gate.close(&ticket);
}

impl Life<'_> {
    fn answer(&mut self, answer: Answer) {
        if let Some(asker) = self.asker.take() {
            asker.answer(answer, self.core.gate.posture().signal);
        }
    }

    fn place_call(&mut self, until_us: u64, post: Sender<Next>) -> Option<Report> {
        let call = self.call.as_mut()?;
        let at_us = self.core.clock.now_us();
        call.placed = Some(Placed { at_us, until_us });
        let Some(below) = &self.core.below else { return self.call_ended(CallEnd::Unsent) };
        let wait_ms = until_us.saturating_sub(at_us).div_ceil(1_000).max(1);
        below.call(&self.rpc.id, wait_ms, &call.body, self.again, post);
        None
    }

    /// The reply goes on to the run as it came. A call that ended in any other way still waits for a word.
    fn call_ended(&mut self, end: CallEnd) -> Option<Report> {
        let placed = self.call.as_mut()?.placed.take()?;
        let took_us = self.core.clock.now_us().saturating_sub(placed.at_us);
        let outcome = end.outcome();
        if let CallEnd::Good(body) = end {
            self.call = None;
            self.core.executor.give_back(&self.rpc.id, &body);
        }
        Some(Report::CallEnded { outcome, took_us })
    }

    /// Guards against a proxy that hangs: the call is given up, and whether it ran is not known.
    fn late(&mut self) -> Option<Report> {
        let until_us = self.call.as_ref()?.placed.as_ref()?.until_us;
        if self.core.clock.now_us() < until_us + CALL_GRACE_US {
            return None;
        }
        if let Some(below) = &self.core.below {
            below.give_up(&self.rpc.id);
        }
        self.call_ended(CallEnd::Late)
    }

    /// How long to wait for news: as long as a call may take, where one is placed.
    fn patience(&self) -> Option<Duration> {
        let until_us = self.call.as_ref()?.placed.as_ref()?.until_us;
        let most_us = (until_us + CALL_GRACE_US).saturating_sub(self.core.clock.now_us());
        Some(whole_ms(most_us + 1_000))
    }

    fn give_up_call(&mut self) {
        let placed = self.call.as_mut().and_then(|call| call.placed.take());
        if let (Some(_), Some(below)) = (placed, &self.core.below) {
            below.give_up(&self.rpc.id);
        }
    }

    /// A run whose end was not asked for owes its caller an answer.
    fn run_ended(&mut self, end: RunEnd, result: Option<&str>) {
        self.running = false;
        self.give_up_call();
        match (end, self.asker) {
            (RunEnd::Unknown, Some(asker)) => asker.fault(),
            (RunEnd::Complete, Some(asker)) => asker.proven(),
            _ => {}
        }
        self.answer(match (end, result) {
            (RunEnd::Complete, Some(body)) => Answer::Served(body),
            // Nothing was started: another server may take it.
            (RunEnd::NeverRan | RunEnd::Unknown, _) => Answer::UNSEEN,
            _ => Answer::Aborted,
        });
    }
}
