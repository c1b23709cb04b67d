//! The state machine of a request: the actions that each event causes, and that no order of events causes two answers.

use ochrewalk_node::close_reason::{CallResult, CloseReason};
use ochrewalk_node::coordinator::{ProgressReport, RequestEvent};
use ochrewalk_node::interfaces::Answer;
use ochrewalk_node::request_state::{RequestActions, RequestState};
use ochrewalk_node::wire::notices::RunEnd;

/// Records the requested actions as text.
#[derive(Default)]
struct RecordedActions {
    actions: Vec<String>,
    has_no_upstream: bool,
}

impl RecordedActions {
    fn take(&mut self) -> String {
        std::mem::take(&mut self.actions).join(", ")
    }

    fn record(&mut self, action: impl Into<String>) {
        self.actions.push(action.into());
    }
}

impl RequestActions for RecordedActions {
    fn start_run(&mut self) {
        self.record("start");
    }
    fn resume_run(&mut self) {
        self.record("resume");
    }
    fn stop_run(&mut self) {
        self.record("stop");
    }
    fn continue_without_call(&mut self, pos: u64) {
        self.record(format!("continue {pos}"));
    }
    fn place_call(&mut self, timeout_ms: u64, body: &[u8]) -> bool {
        self.record(format!("call {timeout_ms} {}", body.len()));
        !self.has_no_upstream
    }
    fn cancel_call(&mut self) {
        self.record("cancel");
    }
    fn return_reply(&mut self, reply: &[u8]) {
        self.record(format!("return {}", reply.len()));
    }
    fn answer(&mut self, answer: Answer) {
        self.record(match answer {
            Answer::Served(_) => "served".into(),
            Answer::Rejected { do_not_retry, retry_after_us } => {
                format!("rejected {do_not_retry} {retry_after_us}")
            }
            Answer::Aborted => "aborted".into(),
            Answer::InvalidRequest(why) => format!("fault {why}"),
        });
    }
    fn record_fault(&mut self) {
        self.record("fault");
    }
    fn mark_trusted(&mut self) {
        self.record("trusted");
    }
    fn report(&mut self, report: ProgressReport) {
        self.record(match report {
            ProgressReport::CallNeeded => "needs call".into(),
            ProgressReport::CallEnded { outcome, took_us } => format!("{outcome:?} after {took_us}"),
            ProgressReport::RunEnded(end, _) => format!("{end:?}"),
        });
    }
}

fn needs_call() -> RequestEvent {
    RequestEvent::CallNeeded { pos: 4, body: vec![1, 2, 3] }
}

fn call() -> RequestEvent {
    RequestEvent::PlaceCall { until_us: 5_000 }
}

fn ended(end: RunEnd) -> RequestEvent {
    RequestEvent::RunEnded(end, (end == RunEnd::Complete).then(|| "\"QQ==\"".into()))
}

#[test]
fn each_event_causes_the_expected_actions() {
    let reject = || RequestEvent::Reject { do_not_retry: true, retry_after_us: 9 };
    let reply = || RequestEvent::CallEnded(CallResult::Succeeded(vec![7]));
    let connection_closed =
        || RequestEvent::CallEnded(CallResult::ConnectionClosed(CloseReason::ClosedByPeer));
    let table: Vec<(Vec<RequestEvent>, &str, bool)> = vec![
        (vec![reject()], "rejected true 9", true),
        (vec![RequestEvent::ServeResult("\"QQ==\"".into())], "served", true),
        (vec![RequestEvent::Abort], "aborted", true),
        (vec![RequestEvent::CallerLeft], "", true),
        (vec![RequestEvent::Timeout], "", false),
        (vec![RequestEvent::Run], "start", false),
        (vec![RequestEvent::Run, RequestEvent::Run], "start, resume", false),
        (vec![RequestEvent::Run, RequestEvent::Stop], "start, stop", false),
        (vec![RequestEvent::Run, ended(RunEnd::Complete)], "start, trusted, served, Complete", true),
        (vec![RequestEvent::Run, ended(RunEnd::Failed)], "start, aborted, Failed", true),
        (vec![RequestEvent::Run, ended(RunEnd::Stopped)], "start, aborted, Stopped", true),
        (vec![RequestEvent::Run, ended(RunEnd::NeverRan)], "start, rejected false 0, NeverRan", true),
        (vec![RequestEvent::Run, ended(RunEnd::Unknown)], "start, fault, rejected false 0, Unknown", true),
        // A request that was aborted, or whose caller left, stays open until its run has ended, and is not answered
        // again.
        (vec![RequestEvent::Run, RequestEvent::Abort], "start, aborted", false),
        (
            vec![RequestEvent::Run, RequestEvent::Abort, ended(RunEnd::Complete)],
            "start, aborted, Complete",
            true,
        ),
        (vec![RequestEvent::Run, RequestEvent::CallerLeft, ended(RunEnd::Unknown)], "start, Unknown", true),
        (
            vec![
                RequestEvent::Run,
                RequestEvent::CallerLeft,
                RequestEvent::Abort,
                RequestEvent::ServeResult("x".into()),
                ended(RunEnd::Failed),
            ],
            "start, Failed",
            true,
        ),
        // The upstream call.
        (vec![RequestEvent::Run, needs_call()], "start, needs call", false),
        (
            vec![RequestEvent::Run, needs_call(), RequestEvent::SkipCall],
            "start, needs call, continue 4",
            false,
        ),
        (vec![RequestEvent::Run, needs_call(), call()], "start, needs call, call 4 3", false),
        (
            vec![RequestEvent::Run, needs_call(), call(), reply()],
            "start, needs call, call 4 3, return 1, Ok after 0",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), connection_closed()],
            "start, needs call, call 4 3, Interrupted after 0",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), connection_closed(), call(), reply()],
            "start, needs call, call 4 3, Interrupted after 0, call 4 3, return 1, Ok after 0",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), RequestEvent::Abort],
            "start, needs call, call 4 3, aborted, cancel",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), RequestEvent::CallerLeft, reply()],
            "start, needs call, call 4 3, cancel",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), ended(RunEnd::Stopped)],
            "start, needs call, call 4 3, cancel, aborted, Stopped",
            true,
        ),
        // Events for a call that does not exist have no effect.
        (vec![reply(), call(), RequestEvent::SkipCall], "", false),
    ];
    for (events, expected, is_finished) in table {
        let (mut state, mut recorded) = (RequestState::submitted(), RecordedActions::default());
        let description = format!("{events:?}");
        events.into_iter().for_each(|event| state.handle(1_000, event, &mut recorded));
        assert_eq!((recorded.take().as_str(), state.is_finished()), (expected, is_finished), "{description}");
    }
}

#[test]
fn an_unanswered_call_times_out_and_a_call_without_an_upstream_is_unsent() {
    let (mut state, mut recorded) = (RequestState::submitted(), RecordedActions::default());
    for event in [RequestEvent::Run, needs_call(), call()] {
        state.handle(1_000, event, &mut recorded);
    }
    recorded.take();
    assert_eq!(state.call_timeout_us(), Some(15_000));
    state.handle(14_999, RequestEvent::Timeout, &mut recorded);
    assert_eq!(recorded.take(), "");
    state.handle(15_000, RequestEvent::Timeout, &mut recorded);
    assert_eq!(recorded.take(), "cancel, TimedOut after 14000");
    assert_eq!(state.call_timeout_us(), None);
    recorded.has_no_upstream = true;
    state.handle(16_000, call(), &mut recorded);
    assert_eq!(recorded.take(), "call 1 3, Unreachable after 0");
}

/// Random events in random order, each handled by a copy that replaces the original: there is at most one answer,
/// exactly one where the caller stays, and each placed call ends once.
#[test]
fn no_order_of_events_causes_two_answers_or_leaves_a_call_open() {
    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut state, mut answers, mut caller_left) = (RequestState::submitted(), 0, false);
        let mut recorded = RecordedActions::default();
        for now in (0..40).map(|n| n * 1_000) {
            if state.is_finished() {
                break;
            }
            let event = match rng.u32(0..12) {
                0 => RequestEvent::Run,
                1 => RequestEvent::Stop,
                2 => needs_call(),
                3 | 4 => RequestEvent::PlaceCall { until_us: now + 3_000 },
                5 => RequestEvent::SkipCall,
                6 => RequestEvent::CallEnded(CallResult::Succeeded(vec![])),
                7 => RequestEvent::CallEnded(CallResult::ConnectionClosed(CloseReason::ClosedByPeer)),
                8 if rng.bool() => RequestEvent::Abort,
                9 if rng.bool() => RequestEvent::CallerLeft,
                10 if state.is_running => {
                    ended([RunEnd::Complete, RunEnd::Failed, RunEnd::Unknown][rng.usize(0..3)])
                }
                11 if !state.is_running => RequestEvent::Reject { do_not_retry: false, retry_after_us: 0 },
                _ => RequestEvent::Timeout,
            };
            caller_left |= matches!(event, RequestEvent::CallerLeft);
            // The state is a plain value: a copy continues in its place.
            state = state.clone();
            let placed = |state: &RequestState| state.call.as_ref().is_some_and(|call| call.placed.is_some());
            let was_placed = placed(&state);
            state.handle(now, event, &mut recorded);
            let actions = std::mem::take(&mut recorded.actions);
            let is_answer = |action: &&String| {
                ["served", "aborted"].contains(&&***action) || action.starts_with("rejected")
            };
            answers += actions.iter().filter(is_answer).count();
            assert!(answers <= 1, "seed {seed}: {actions:?}");
            // A placed call does not just disappear: either its end was reported or it was cancelled, once.
            let ends =
                actions.iter().filter(|action| *action == "cancel" || action.contains(" after ")).count();
            let timed_out = actions.iter().any(|action| action.starts_with("TimedOut"));
            assert_eq!(was_placed && !placed(&state), ends > 0, "seed {seed}: {actions:?}");
            assert!(ends <= 1 + usize::from(timed_out), "seed {seed}: {actions:?}");
        }
        assert!(!state.is_finished() || answers == 1 || caller_left, "seed {seed}");
    }
}
