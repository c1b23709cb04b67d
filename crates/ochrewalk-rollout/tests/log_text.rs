//! Tests the texts of a rollout's log and of the status line for operators. `ochrewalk-rollout-report` reads
//! logs that other versions have written, and `docs/operators/rollout.md` documents these texts, so they must
//! not change when types are renamed.

use ochrewalk_rollout::{
    ChangeMethod, CommandReply, ControllerNumber, FencingToken, Outcome, Phase, Verdict, WaitReason,
};

#[test]
fn phases_and_reasons_to_wait_have_these_texts() {
    let node_stuck = WaitReason::NodeStuck { node: 3, reason: "it \"ended\"".into() };
    for (phase, text) in [
        (Phase::Polling, "Asking"),
        (Phase::Advancing { stage: 0 }, "Forward { stage: 0 }"),
        (Phase::Analyzing { stage: 12 }, "Judged { stage: 12 }"),
        (Phase::Confirming, "Confirming"),
        (Phase::RollingBack { reason: "slow \"sale\"".into() }, r#"Back { why: "slow \"sale\"" }"#),
        (Phase::Waiting(WaitReason::Paused), "Waiting(Paused)"),
        (Phase::Waiting(WaitReason::Inconclusive("few calls".into())), r#"Waiting(Unclear("few calls"))"#),
        (Phase::Waiting(node_stuck), r#"Waiting(LeftBehind { node: 3, why: "it \"ended\"" })"#),
        (Phase::Waiting(WaitReason::FleetUnhealthy), "Waiting(Ill)"),
        (Phase::Done, "Done"),
        (Phase::RolledBack { reason: "slow".into() }, r#"IsBack { why: "slow" }"#),
        (Phase::Replaced, "Replaced"),
    ] {
        assert_eq!(phase.to_string(), text);
        if let (Phase::Waiting(reason), Some(inner)) = (&phase, text.strip_prefix("Waiting(")) {
            assert_eq!(Some(reason.to_string().as_str()), inner.strip_suffix(')'));
        }
    }
}

#[test]
fn change_methods_and_replies_have_these_texts() {
    for (method, text) in [
        (ChangeMethod::CommitConfirmed, "OnTrial"),
        (ChangeMethod::HandOver, "ForGood"),
        (ChangeMethod::Restart, "Anew"),
    ] {
        assert_eq!(method.to_string(), text);
    }
    for (reply, text) in [
        (CommandReply::Finished(Outcome::Done), "Ended(Done)"),
        (CommandReply::Finished(Outcome::Failed("no such file".into())), r#"Ended(Failed("no such file"))"#),
        (
            CommandReply::Stale(FencingToken { controller: ControllerNumber(7), command: 2 }),
            "Stale(Mark { conductor: 7, order: 2 })",
        ),
        (CommandReply::NoReply, "Nothing"),
    ] {
        assert_eq!(reply.to_string(), text);
    }
}

#[test]
fn verdicts_have_these_texts() {
    for (verdict, text) in [
        (Verdict::Pending, "Wait"),
        (Verdict::FleetUnhealthy, "Ill"),
        (Verdict::Pass, "Good"),
        (Verdict::Harm("0.1 more of \"sale\" fail".into()), r#"Harm("0.1 more of \"sale\" fail")"#),
        (Verdict::Inconclusive("too few calls".into()), r#"Ask("too few calls")"#),
    ] {
        assert_eq!(verdict.to_string(), text);
    }
}
