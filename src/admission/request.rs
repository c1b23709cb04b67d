//! A request at this server: the properties that are fixed at its arrival, and its state.
//!
//! | state | entered by | left by |
//! | --- | --- | --- |
//! | `Queued` | its arrival | a start, a rejection, or the caller's disconnection |
//! | `AwaitingOutcome` | the arrival of a repeat of a remembered request | the outcome of the request that it repeats |
//! | `Started`, `OnCore` | a start, or a call that succeeded or is skipped | the need for a call, or the end of the run |
//! | `Started`, `AwaitingCall` | the need for a call, or a failed call that may be retried | a call that is placed or skipped |
//! | `Started`, `Calling` | a call that is placed | the end of the call |
//!
//! A started request remains in the table until its run ends, even after its answer: until then the run occupies a core
//! or memory.

use crate::host::{RpcId, Tenant};

/// A request and its state.
pub(super) struct Request {
    pub id: RpcId,
    /// The position of the method in the deployment's list.
    pub method: usize,
    /// The time at which the request reached the machine.
    pub arrived_us: u64,
    /// Whether this or another server has received the request before.
    pub is_retry: bool,
    /// The deadline of the answer.
    pub due_us: u64,
    /// The time at which the latency target is reached.
    pub target_us: u64,
    /// The memory of the request while it is queued, in KB.
    pub kb: f64,
    /// The work that the request announced.
    pub hint_us: Option<u64>,
    pub tenant: Option<Tenant>,
    /// The criticality as the deployment counts it, reduced if the request is beyond its tenant's quota.
    pub value: f64,
    pub state: RequestState,
}

/// The state of a request.
pub(super) enum RequestState {
    Queued,
    /// Repeats a remembered request, whose outcome will answer this one.
    AwaitingOutcome,
    Started(Run),
}

/// A run of a request, from its start to the end that the server reports.
pub(super) struct Run {
    pub phase: RunPhase,
    pub answer: AnswerState,
    pub started_us: u64,
    /// The time at which the run last started or returned to a core.
    pub on_core_since_us: u64,
    /// The time on the cores before `on_core_since_us`.
    pub core_time_us: u64,
    /// The number of upstream calls that the run has needed.
    pub calls: u32,
    /// Whether the run was started on the condition that it skips its calls.
    pub skips_calls: bool,
}

/// The phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    OnCore,
    /// Waits for its call to be placed, not earlier than the given time.
    AwaitingCall {
        not_before_us: u64,
    },
    Calling,
}

/// The state of the answer to the caller of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerState {
    Pending,
    /// The run was answered, or its caller has disconnected.
    Settled,
    /// The run is settled, and the server has been requested to take it off the cores.
    Stopping,
}

impl Run {
    pub fn new(now_us: u64, skips_calls: bool) -> Run {
        Run {
            phase: RunPhase::OnCore,
            answer: AnswerState::Pending,
            started_us: now_us,
            on_core_since_us: now_us,
            core_time_us: 0,
            calls: 0,
            skips_calls,
        }
    }

    /// Takes the run off its core to wait for a call that may be placed immediately.
    pub fn await_call(&mut self, now_us: u64) {
        self.core_time_us += now_us - self.on_core_since_us;
        self.calls += 1;
        self.phase = RunPhase::AwaitingCall { not_before_us: now_us };
    }

    /// Returns the run to a core after its call has ended or is skipped.
    pub fn return_to_core(&mut self, now_us: u64) {
        self.phase = RunPhase::OnCore;
        self.on_core_since_us = now_us;
    }

    /// Returns the total time on the cores until now.
    pub fn core_time_until_us(&self, now_us: u64) -> u64 {
        self.core_time_us + now_us - self.on_core_since_us
    }

    pub fn is_settled(&self) -> bool {
        self.answer != AnswerState::Pending
    }

    /// Marks the answer as settled: the caller expects nothing any more.
    pub fn settle(&mut self) {
        if self.answer == AnswerState::Pending {
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

    /// Whether the caller still waits for an answer.
    pub fn is_unanswered(&self) -> bool {
        self.run().is_none_or(|run| !run.is_settled())
    }

    pub fn is_stopping(&self) -> bool {
        self.run().is_some_and(|run| run.answer == AnswerState::Stopping)
    }
}
