//! The life of one RPC as a value: what each event brings, and that no order of them brings two answers.

use ochrewalk_node::close_reason::{CallResult, CloseReason};
use ochrewalk_node::coordinator::{ProgressReport, RequestEvent};
use ochrewalk_node::interfaces::Answer;
use ochrewalk_node::request_state::{RequestActions, RequestState};
use ochrewalk_node::wire::notices::RunEnd;

/// What was asked for, in words. Nothing lies below where told so.
#[derive(Default)]
struct Deeds {
    did: Vec<String>,
    nothing_below: bool,
}

impl Deeds {
    fn take(&mut self) -> String {
        std::mem::take(&mut self.did).join(", ")
    }

    fn note(&mut self, what: impl Into<String>) {
        self.did.push(what.into());
    }
}

impl RequestActions for Deeds {
    fn start_run(&mut self) {
        self.note("run");
    }
    fn resume_run(&mut self) {
        self.note("wake");
    }
    fn stop_run(&mut self) {
        self.note("stop");
    }
    fn continue_without_call(&mut self, pos: u64) {
        self.note(format!("bypass {pos}"));
    }
    fn place_call(&mut self, wait_ms: u64, body: &[u8]) -> bool {
        self.note(format!("call {wait_ms} {}", body.len()));
        !self.nothing_below
    }
    fn cancel_call(&mut self) {
        self.note("give up");
    }
    fn return_reply(&mut self, reply: &[u8]) {
        self.note(format!("back {}", reply.len()));
    }
    fn answer(&mut self, answer: Answer) {
        self.note(match answer {
            Answer::Served(_) => "served".into(),
            Answer::Rejected { do_not_retry, retry_after_us } => {
                format!("pushed back {do_not_retry} {retry_after_us}")
            }
            Answer::Aborted => "aborted".into(),
            Answer::InvalidRequest(why) => format!("fault {why}"),
        });
    }
    fn record_fault(&mut self) {
        self.note("fault");
    }
    fn mark_trusted(&mut self) {
        self.note("proven");
    }
    fn report(&mut self, what: ProgressReport) {
        self.note(match what {
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
fn each_event_brings_what_it_should() {
    let back = || RequestEvent::Reject { do_not_retry: true, retry_after_us: 9 };
    let good = || RequestEvent::CallEnded(CallResult::Succeeded(vec![7]));
    let broken = || RequestEvent::CallEnded(CallResult::ConnectionClosed(CloseReason::ClosedByPeer));
    let table: Vec<(Vec<RequestEvent>, &str, bool)> = vec![
        (vec![back()], "pushed back true 9", true),
        (vec![RequestEvent::ServeResult("\"QQ==\"".into())], "served", true),
        (vec![RequestEvent::Abort], "aborted", true),
        (vec![RequestEvent::CallerLeft], "", true),
        (vec![RequestEvent::Timeout], "", false),
        (vec![RequestEvent::Run], "run", false),
        (vec![RequestEvent::Run, RequestEvent::Run], "run, wake", false),
        (vec![RequestEvent::Run, RequestEvent::Stop], "run, stop", false),
        (vec![RequestEvent::Run, ended(RunEnd::Complete)], "run, proven, served, Complete", true),
        (vec![RequestEvent::Run, ended(RunEnd::Failed)], "run, aborted, Failed", true),
        (vec![RequestEvent::Run, ended(RunEnd::Stopped)], "run, aborted, Stopped", true),
        (vec![RequestEvent::Run, ended(RunEnd::NeverRan)], "run, pushed back false 0, NeverRan", true),
        (vec![RequestEvent::Run, ended(RunEnd::Unknown)], "run, fault, pushed back false 0, Unknown", true),
        // One that was given up, or whose caller has gone, lives on until its run has ended, and answers no more.
        (vec![RequestEvent::Run, RequestEvent::Abort], "run, aborted", false),
        (
            vec![RequestEvent::Run, RequestEvent::Abort, ended(RunEnd::Complete)],
            "run, aborted, Complete",
            true,
        ),
        (vec![RequestEvent::Run, RequestEvent::CallerLeft, ended(RunEnd::Unknown)], "run, Unknown", true),
        (
            vec![
                RequestEvent::Run,
                RequestEvent::CallerLeft,
                RequestEvent::Abort,
                RequestEvent::ServeResult("x".into()),
                ended(RunEnd::Failed),
            ],
            "run, Failed",
            true,
        ),
        // Its call.
        (vec![RequestEvent::Run, needs_call()], "run, needs call", false),
        (vec![RequestEvent::Run, needs_call(), RequestEvent::SkipCall], "run, needs call, bypass 4", false),
        (vec![RequestEvent::Run, needs_call(), call()], "run, needs call, call 4 3", false),
        (
            vec![RequestEvent::Run, needs_call(), call(), good()],
            "run, needs call, call 4 3, back 1, Ok after 0",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), broken()],
            "run, needs call, call 4 3, Interrupted after 0",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), broken(), call(), good()],
            "run, needs call, call 4 3, Interrupted after 0, call 4 3, back 1, Ok after 0",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), RequestEvent::Abort],
            "run, needs call, call 4 3, aborted, give up",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), RequestEvent::CallerLeft, good()],
            "run, needs call, call 4 3, give up",
            false,
        ),
        (
            vec![RequestEvent::Run, needs_call(), call(), ended(RunEnd::Stopped)],
            "run, needs call, call 4 3, give up, aborted, Stopped",
            true,
        ),
        // What ends unasked means nothing.
        (vec![good(), call(), RequestEvent::SkipCall], "", false),
    ];
    for (events, wanted, over) in table {
        let (mut life, mut deeds) = (RequestState::submitted(), Deeds::default());
        let what = format!("{events:?}");
        events.into_iter().for_each(|event| life.handle(1_000, event, &mut deeds));
        assert_eq!((deeds.take().as_str(), life.is_finished()), (wanted, over), "{what}");
    }
}

#[test]
fn a_call_without_an_answer_is_late_and_one_that_nobody_takes_is_unsent() {
    let (mut life, mut deeds) = (RequestState::submitted(), Deeds::default());
    for event in [RequestEvent::Run, needs_call(), call()] {
        life.handle(1_000, event, &mut deeds);
    }
    deeds.take();
    assert_eq!(life.call_timeout_us(), Some(15_000));
    life.handle(14_999, RequestEvent::Timeout, &mut deeds);
    assert_eq!(deeds.take(), "");
    life.handle(15_000, RequestEvent::Timeout, &mut deeds);
    assert_eq!(deeds.take(), "give up, TimedOut after 14000");
    assert_eq!(life.call_timeout_us(), None);
    deeds.nothing_below = true;
    life.handle(16_000, call(), &mut deeds);
    assert_eq!(deeds.take(), "call 1 3, Unreachable after 0");
}

/// Whatever comes in whatever order, each event to a copy that goes on in its place: one answer at most, exactly one where
/// the caller stays, and calls that are placed end once.
#[test]
fn no_order_of_events_brings_two_answers_or_leaves_a_call() {
    for seed in 0..5_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut life, mut answers, mut gone) = (RequestState::submitted(), 0, false);
        let mut deeds = Deeds::default();
        for now in (0..40).map(|n| n * 1_000) {
            if life.is_finished() {
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
                10 if life.is_running => {
                    ended([RunEnd::Complete, RunEnd::Failed, RunEnd::Unknown][rng.usize(0..3)])
                }
                11 if !life.is_running => RequestEvent::Reject { do_not_retry: false, retry_after_us: 0 },
                _ => RequestEvent::Timeout,
            };
            gone |= matches!(event, RequestEvent::CallerLeft);
            // A value: it goes on from a copy.
            life = life.clone();
            let placed = |life: &RequestState| life.call.as_ref().is_some_and(|call| call.placed.is_some());
            let was_placed = placed(&life);
            life.handle(now, event, &mut deeds);
            let did = std::mem::take(&mut deeds.did);
            let is_answer = |d: &&String| ["served", "aborted"].contains(&&***d) || d.starts_with("pushed");
            answers += did.iter().filter(is_answer).count();
            assert!(answers <= 1, "seed {seed}: {did:?}");
            // A call that is out does not just go: it has ended, or is given up, once.
            let ends = did.iter().filter(|d| *d == "give up" || d.contains(" after ")).count();
            let late = did.iter().any(|d| d.starts_with("TimedOut"));
            assert_eq!(was_placed && !placed(&life), ends > 0, "seed {seed}: {did:?}");
            assert!(ends <= 1 + usize::from(late), "seed {seed}: {did:?}");
        }
        assert!(!life.is_finished() || answers == 1 || gone, "seed {seed}");
    }
}
