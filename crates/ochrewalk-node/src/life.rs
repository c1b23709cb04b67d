//! The life of one RPC, from the line that brought it to its answer and the end of its run. One coroutine
//! each: it does what the gate says and tells the gate what came of it. Nobody else answers it.

use crate::clock::whole_ms;
use crate::gate::{CallEnd, Incoming, Next, Report, Turned};
use crate::net::dispatchers::Connection;
use crate::node::Node;
use crate::wire::calls::Word;
use crate::wire::jsonrpc;
use crate::wire::notices::RunEnd;
use may::sync::mpsc::Sender;
use ochrewalk::host::Effect;
use std::sync::Arc;
use std::time::Duration;

/// How much longer than it was told a call may take before we give it up ourselves. Each moment of it is taken
/// from an RPC that could still go on without its call.
const CALL_GRACE_US: u64 = 10_000;

/// Whom the answer goes to.
pub struct Caller {
    pub connection: Arc<Connection>,
    /// The message's id.
    pub id: Box<str>,
}

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
    node: &'a Node,
    rpc: &'a Incoming,
    /// Its run, and its call, may happen twice.
    again: bool,
    /// None once the answer has been given or is not owed.
    caller: Option<Caller>,
    running: bool,
    call: Option<Call>,
}

/// `body` is a JSON string, as it came.
pub fn live(node: &Node, rpc: &Incoming, body: &str, caller: Caller) {
    // Guards against a run for nobody: it may have been revoked before the gate heard of it.
    if !caller.connection.owes(&caller.id) {
        return;
    }
    let (ticket, mut next) = match node.gate.pick(rpc) {
        Ok(taken) => taken,
        Err(turned) => {
            let line = match turned {
                // Who holds it may be the stranger and this one be honest: it never ran, and may elsewhere.
                Turned::TokenTaken { ran: false } => jsonrpc::refused(&caller.id, false, 0, None),
                Turned::TokenTaken { ran: true } => fault(&caller, "an opkey that stands for other work"),
                Turned::OpenAlready => fault(&caller, "a req that is open already"),
            };
            return caller.connection.answer(&caller.id, node.clock.now_us(), line);
        }
    };
    let again = node.deployment.methods[rpc.method].effect == Effect::Idempotent;
    let mut life = Life { node, rpc, again, caller: Some(caller), running: false, call: None };
    loop {
        let report = match next {
            Next::Run if life.running => {
                node.executor.wake(&rpc.id);
                None
            }
            Next::Run => {
                life.running = true;
                node.executor.run(&rpc.id, &node.lanes[rpc.method], body, life.again, ticket.post());
                None
            }
            Next::Stop => {
                node.executor.stop(&rpc.id);
                None
            }
            Next::Call { until_us } => life.place_call(until_us, ticket.post()),
            Next::Skip => {
                if let Some(call) = life.call.take() {
                    node.executor.bypass(&rpc.id, call.pos);
                }
                None
            }
            Next::PushBack { last, come_back_us } => {
                let holdoff_ms = come_back_us.div_ceil(1_000);
                life.answer(|id, signal| jsonrpc::refused(id, last, holdoff_ms, signal));
                None
            }
            Next::Abort => {
                life.answer(jsonrpc::failed);
                life.give_up_call();
                None
            }
            Next::Serve(body) => {
                life.answer(|id, signal| jsonrpc::served(id, &body, signal));
                None
            }
            Next::Gone => {
                life.caller = None;
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
                node.gate.report(&ticket, Report::RunEnded(end, result));
                break;
            }
        };
        if life.caller.is_none() && !life.running {
            break;
        }
        next = match report {
            Some(report) => node.gate.report(&ticket, report),
            None => ticket.wait(life.patience()),
        };
    }
    node.gate.close(&ticket);
}

/// Tells a sender what was wrong, and counts it against its connection.
fn fault(caller: &Caller, why: &str) -> Vec<u8> {
    log::warn!("dispatcher: {why}");
    caller.connection.fault();
    jsonrpc::error(&caller.id, jsonrpc::BAD_PARAMS, why, "")
}

impl Life<'_> {
    fn answer(&mut self, line: impl FnOnce(&str, Option<f64>) -> Vec<u8>) {
        if let Some(Caller { connection, id }) = self.caller.take() {
            let signal = self.node.gate.posture().signal;
            connection.answer(&id, self.node.clock.now_us(), line(&id, signal));
        }
    }

    fn place_call(&mut self, until_us: u64, post: Sender<Next>) -> Option<Report> {
        let call = self.call.as_mut()?;
        let at_us = self.node.clock.now_us();
        call.placed = Some(Placed { at_us, until_us });
        let Some(below) = &self.node.below else { return self.call_ended(CallEnd::Unsent) };
        let wait_ms = until_us.saturating_sub(at_us).div_ceil(1_000).max(1);
        below.call(&self.rpc.id, wait_ms, &call.body, self.again, post);
        None
    }

    /// The reply goes on to the run as it came. A call that ended in any other way still waits for a word.
    fn call_ended(&mut self, end: CallEnd) -> Option<Report> {
        let placed = self.call.as_mut()?.placed.take()?;
        let took_us = self.node.clock.now_us().saturating_sub(placed.at_us);
        let outcome = end.outcome();
        if let CallEnd::Reply(Word::Ok, body) = end {
            self.call = None;
            self.node.executor.give_back(&self.rpc.id, &body);
        }
        Some(Report::CallEnded { outcome, took_us })
    }

    /// Guards against a proxy that hangs: the call is given up, and whether it ran is not known.
    fn late(&mut self) -> Option<Report> {
        let until_us = self.call.as_ref()?.placed.as_ref()?.until_us;
        if self.node.clock.now_us() < until_us + CALL_GRACE_US {
            return None;
        }
        if let Some(below) = &self.node.below {
            below.give_up(&self.rpc.id);
        }
        self.call_ended(CallEnd::Late)
    }

    /// How long to wait for news: as long as a call may take, where one is placed.
    fn patience(&self) -> Option<Duration> {
        let until_us = self.call.as_ref()?.placed.as_ref()?.until_us;
        let most_us = (until_us + CALL_GRACE_US).saturating_sub(self.node.clock.now_us());
        Some(whole_ms(most_us + 1_000))
    }

    fn give_up_call(&mut self) {
        let placed = self.call.as_mut().and_then(|call| call.placed.take());
        if let (Some(_), Some(below)) = (placed, &self.node.below) {
            below.give_up(&self.rpc.id);
        }
    }

    /// A run whose end was not asked for owes its caller an answer.
    fn run_ended(&mut self, end: RunEnd, result: Option<&str>) {
        self.running = false;
        self.give_up_call();
        match (end, &self.caller) {
            (RunEnd::Unknown, Some(caller)) => caller.connection.fault(),
            (RunEnd::Complete, Some(caller)) => caller.connection.proven(),
            _ => {}
        }
        match (end, result) {
            (RunEnd::Complete, Some(body)) => self.answer(|id, signal| jsonrpc::served(id, body, signal)),
            // Nothing was started: another server may take it.
            (RunEnd::NeverRan | RunEnd::Unknown, _) => {
                self.answer(|id, signal| jsonrpc::refused(id, false, 0, signal))
            }
            _ => self.answer(jsonrpc::failed),
        }
    }
}
