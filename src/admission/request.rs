//! A request at this server: what is fixed at its arrival, and its state.
//!
//! | state | entered by | left by |
//! | --- | --- | --- |
//! | `Queued` | its arrival | a start, a rejection, or the caller's leaving |
//! | `AwaitingOutcome` | the arrival of a repeat of a remembered request | the outcome of the request that it repeats |
//! | `Started`, `OnCore` | a start, a call that succeeded or is skipped | the need of a call, or the run's end |
//! | `Started`, `AwaitingCall` | the need of a call, or a call that failed and may be repeated | a call that is placed or skipped |
//! | `Started`, `Calling` | a call that is placed | the call's end |
//!
//! A started request stays until its run ends, also when it has its answer: until then it holds a core or memory.

use crate::host::{RpcId, Tenant};

/// A request and its state.
pub(super) struct Request {
    pub id: RpcId,
    /// Position in the deployment's list of methods.
    pub method: usize,
    /// When it reached the machine.
    pub arrived_us: u64,
    /// Another server, or this one, has had it before.
    pub is_retry: bool,
    /// An answer must be out by then.
    pub due_us: u64,
    /// An answer is wanted by then.
    pub target_us: u64,
    /// Memory while it is queued, in KB.
    pub kb: f64,
    /// The work that it announced.
    pub hint_us: Option<u64>,
    pub tenant: Option<Tenant>,
    /// Criticality as the deployment counts it, less beyond a tenant's quota.
    pub value: f64,
    pub state: RequestState,
}

/// Where a request is.
pub(super) enum RequestState {
    Queued,
    /// It repeats a remembered request, whose outcome answers it.
    AwaitingOutcome,
    Started(Run),
}

/// A run of a request, from its start to the end that the server reports.
pub(super) struct Run {
    pub phase: RunPhase,
    pub answer: AnswerState,
    pub started_us: u64,
    /// When it last took a core.
    pub on_core_since_us: u64,
    /// Its time on the cores before that.
    pub core_time_us: u64,
    /// Upstream calls that it came to.
    pub calls: u32,
    /// It was started on the understanding that it skips its calls.
    pub skips_calls: bool,
}

/// What a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    OnCore,
    /// It waits for its call to be placed, which may not be before the given time.
    AwaitingCall {
        not_before_us: u64,
    },
    Calling,
}

/// What is owed to the caller of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerState {
    Owed,
    /// It was answered, or its caller has left.
    Settled,
    /// The same, and the server was asked to take it off the cores.
    Stopping,
}

impl Run {
    pub fn new(now_us: u64, skips_calls: bool) -> Run {
        Run {
            phase: RunPhase::OnCore,
            answer: AnswerState::Owed,
            started_us: now_us,
            on_core_since_us: now_us,
            core_time_us: 0,
            calls: 0,
            skips_calls,
        }
    }

    /// It leaves its core for a call that may be placed at once.
    pub fn await_call(&mut self, now_us: u64) {
        self.core_time_us += now_us - self.on_core_since_us;
        self.calls += 1;
        self.phase = RunPhase::AwaitingCall { not_before_us: now_us };
    }

    /// Its call has ended or is skipped.
    pub fn return_to_core(&mut self, now_us: u64) {
        self.phase = RunPhase::OnCore;
        self.on_core_since_us = now_us;
    }

    /// All its time on the cores until now.
    pub fn core_time_until_us(&self, now_us: u64) -> u64 {
        self.core_time_us + now_us - self.on_core_since_us
    }

    pub fn is_settled(&self) -> bool {
        self.answer != AnswerState::Owed
    }

    /// Nothing is owed to its caller any more.
    pub fn settle(&mut self) {
        if self.answer == AnswerState::Owed {
            self.answer = AnswerState::Settled;
        }
    }
}

impl Request {
    pub fn is_queued(&self) -> bool {
        matches!(self.state, RequestState::Queued)
    }

    pub fn run(&self) -> Option<&Run> {
        match &self.state {
            RequestState::Started(run) => Some(run),
            _ => None,
        }
    }

    pub fn run_mut(&mut self) -> Option<&mut Run> {
        match &mut self.state {
            RequestState::Started(run) => Some(run),
            _ => None,
        }
    }

    pub fn phase(&self) -> Option<RunPhase> {
        self.run().map(|run| run.phase)
    }

    /// Whether its caller still waits for an answer.
    pub fn is_owed(&self) -> bool {
        self.run().is_none_or(|run| !run.is_settled())
    }

    pub fn is_stopping(&self) -> bool {
        self.run().is_some_and(|run| run.answer == AnswerState::Stopping)
    }
}
