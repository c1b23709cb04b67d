//! Tests the course of a whole rollout, event by event.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_rollout::{
    ChangeMethod, Command, CommandReply, ControllerActions, ControllerNumber, FencingToken, NodeReport,
    Outcome, Phase, RolloutController, RolloutPolicy, RolloutRecord, StagePlan, Verdict, Version, WaitReason,
};

#[derive(Default)]
struct RecordedActions {
    log: Vec<String>,
    commands: Vec<(usize, Command)>,
    record: Option<RolloutRecord>,
}

impl ControllerActions for RecordedActions {
    fn persist(&mut self, record: &RolloutRecord) {
        self.log.push("persist".into());
        self.record = Some(record.clone());
    }
    fn send_command(&mut self, node: usize, command: Command) {
        let method = match command.method {
            ChangeMethod::HandOver => "",
            ChangeMethod::CommitConfirmed => " unconfirmed",
            ChangeMethod::Restart => " restart",
        };
        self.log.push(format!("{node} {:?}{method}", command.version));
        self.commands.push((node, command));
    }
    fn begin_analysis(&mut self, stage: usize) {
        self.log.push(format!("analyze {stage}"));
    }
}

impl RecordedActions {
    fn take(&mut self) -> String {
        std::mem::take(&mut self.log).join(", ")
    }
}

fn stage_plan() -> StagePlan {
    StagePlan::new(vec![0, 0, 1, 1], vec![1, 4], 2).unwrap()
}

fn report(version: Version, controller: u64) -> NodeReport {
    NodeReport {
        version,
        is_healthy: true,
        highest: FencingToken { controller: ControllerNumber(controller), command: 0 },
    }
}

const HAND_OVER: RolloutPolicy = RolloutPolicy { commit_confirmed: false, restart_stuck_nodes: false };
const COMMIT_CONFIRMED: RolloutPolicy = RolloutPolicy { commit_confirmed: true, restart_stuck_nodes: false };

/// Creates a controller to which all nodes have reported that they run the old version.
fn polled(record: Option<RolloutRecord>) -> (RolloutController, RecordedActions) {
    polled_with(HAND_OVER, record)
}

fn polled_with(policy: RolloutPolicy, record: Option<RolloutRecord>) -> (RolloutController, RecordedActions) {
    let (mut controller, mut actions) = (
        RolloutController::new(stage_plan(), policy, record, ControllerNumber(1)),
        RecordedActions::default(),
    );
    for node in 0..4 {
        controller.node_reported(node, Some(&report(Version::Old, 0)), &mut actions);
    }
    (controller, actions)
}

/// Answers the oldest command without a reply.
fn answer(controller: &mut RolloutController, actions: &mut RecordedActions, reply: CommandReply) {
    let (node, command) = actions.commands.remove(0);
    controller.command_answered(node, command.token, reply, actions);
}

fn done() -> CommandReply {
    CommandReply::Finished(Outcome::Done)
}

#[test]
fn a_rollout_goes_through_its_stages_and_persists_each_step_first() {
    let (mut controller, mut actions) = polled(None);
    assert_eq!(actions.take(), "persist, persist, 0 New");
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "analyze 0");
    controller.analysis_concluded(Verdict::Pending, &mut actions);
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    assert_eq!(
        actions.take(),
        "persist, persist, 2 New, persist, 1 New",
        "two nodes at once, the other zone first"
    );
    answer(&mut controller, &mut actions, done());
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "persist, 3 New");
    answer(&mut controller, &mut actions, done());
    assert_eq!((actions.take().as_str(), controller.phase()), ("analyze 1", &Phase::Analyzing { stage: 1 }));
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    assert_eq!((actions.take().as_str(), controller.phase()), ("persist", &Phase::Done));
}

#[test]
fn harm_reverts_all_nodes_newest_first_even_while_more_are_being_changed() {
    let (mut controller, mut actions) = polled(None);
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    answer(&mut controller, &mut actions, done());
    actions.take();
    // Two nodes are still being changed: one command has to finish before any node can be reverted.
    controller.analysis_concluded(Verdict::Harm("slow".into()), &mut actions);
    assert_eq!(actions.take(), "persist");
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "1 Old", "the changed node that was changed last");
    while !actions.commands.is_empty() {
        answer(&mut controller, &mut actions, done());
    }
    assert_eq!(controller.phase(), &Phase::RolledBack { reason: "slow".into() });
    assert!(controller.node_states().iter().all(|state| state.version == Some(Version::Old)));
    assert!(controller.record().is_finished);
}

#[test]
fn a_version_that_does_not_start_is_rolled_back_and_a_node_that_cannot_revert_waits_for_the_operator() {
    let (mut controller, mut actions) = polled(None);
    answer(
        &mut controller,
        &mut actions,
        CommandReply::Finished(Outcome::Failed("the new program ended".into())),
    );
    assert_eq!(controller.phase(), &Phase::RolledBack { reason: "node 0: the new program ended".into() });
    // A node that cannot be reverted is left to the operator.
    let (mut controller, mut actions) = polled(None);
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Harm("slow".into()), &mut actions);
    answer(&mut controller, &mut actions, CommandReply::Finished(Outcome::Failed("no such file".into())));
    let stuck = WaitReason::NodeStuck { node: 0, reason: "no such file".into() };
    assert_eq!(controller.phase(), &Phase::Waiting(stuck));
    controller.resume(&mut actions);
    answer(&mut controller, &mut actions, done());
    assert_eq!(controller.phase(), &Phase::RolledBack { reason: "slow".into() });
}

#[test]
fn a_command_without_a_reply_is_sent_three_times_and_then_its_node_counts_as_out_of_service() {
    let (mut controller, mut actions) = polled(None);
    actions.take();
    let first = actions.commands[0];
    for retry in 0..2 {
        answer(&mut controller, &mut actions, CommandReply::NoReply);
        assert_eq!(actions.commands, [first], "retry {retry}: the same token, so that it is executed once");
    }
    answer(&mut controller, &mut actions, CommandReply::NoReply);
    assert_eq!(controller.phase(), &Phase::RollingBack { reason: "node 0 has not answered".into() });
    // A late reply is ignored; the node's report is used instead.
    controller.command_answered(0, first.1.token, done(), &mut actions);
    controller.node_reported(0, None, &mut actions);
    assert!(actions.commands.is_empty());
    controller.no_progress();
    assert!(matches!(controller.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    controller.resume(&mut actions);
    controller.node_reported(0, Some(&report(Version::New, 1)), &mut actions);
    assert_eq!(actions.commands[0].1.version, Version::Old);
    answer(&mut controller, &mut actions, done());
    assert!(matches!(controller.phase(), Phase::RolledBack { .. }));
}

#[test]
fn of_two_controllers_the_later_one_acts() {
    let (mut controller, mut actions) = polled(None);
    answer(
        &mut controller,
        &mut actions,
        CommandReply::Stale(FencingToken { controller: ControllerNumber(2), command: 1 }),
    );
    assert_eq!(controller.phase(), &Phase::Replaced);
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    controller.roll_back(&mut actions);
    assert_eq!(controller.phase(), &Phase::Replaced);
    // A controller that begins takes a number above all that nodes know.
    let (mut later, mut actions) = (
        RolloutController::new(stage_plan(), HAND_OVER, None, ControllerNumber(1)),
        RecordedActions::default(),
    );
    for (node, highest) in [3, 7, 2, 0].into_iter().enumerate() {
        later.node_reported(node, Some(&report(Version::Old, highest)), &mut actions);
    }
    assert_eq!(actions.commands[0].1.token, FencingToken { controller: ControllerNumber(8), command: 1 });
    // The controller is replaced when a node reports a higher number later.
    later.node_reported(3, Some(&report(Version::Old, 9)), &mut actions);
    assert_eq!(later.phase(), &Phase::Replaced);
}

#[test]
fn the_controller_after_one_that_was_killed_continues_from_the_record() {
    let (mut controller, mut actions) = polled(None);
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    let record = actions.record.clone().unwrap();
    assert_eq!((record.stage, &record.changed_nodes[..]), (1, &[0, 2, 1][..]));
    let (mut next, mut actions) = (
        RolloutController::new(stage_plan(), HAND_OVER, Some(record), ControllerNumber(2)),
        RecordedActions::default(),
    );
    // The command to node 2 was executed, the one to node 1 was not.
    for (node, version) in [Version::New, Version::Old, Version::New, Version::Old].into_iter().enumerate() {
        next.node_reported(node, Some(&report(version, 1)), &mut actions);
    }
    assert_eq!(actions.take(), "persist, 1 New, persist, 3 New");
    // The same holds during a rollback, and a finished rollout stays finished.
    next.analysis_concluded(Verdict::Harm("slow".into()), &mut actions);
    let record = actions.record.clone().unwrap();
    let (mut next, mut actions) = (
        RolloutController::new(stage_plan(), HAND_OVER, Some(record), ControllerNumber(3)),
        RecordedActions::default(),
    );
    for node in 0..4 {
        next.node_reported(node, Some(&report([Version::Old, Version::New][node % 2], 2)), &mut actions);
    }
    assert_eq!(actions.take(), "persist, 3 Old, 1 Old");
    let finished = RolloutRecord { is_finished: true, ..RolloutRecord::default() };
    assert_eq!(polled(Some(finished.clone())).0.phase(), &Phase::Done);
    let rolled_back = RolloutRecord { rollback_reason: Some("slow".into()), ..finished };
    assert_eq!(polled(Some(rolled_back)).0.phase(), &Phase::RolledBack { reason: "slow".into() });
}

#[test]
fn an_unhealthy_fleet_makes_the_rollout_wait_and_an_operator_pauses_resumes_and_rolls_back() {
    let (mut controller, mut actions) = (
        RolloutController::new(stage_plan(), HAND_OVER, None, ControllerNumber(1)),
        RecordedActions::default(),
    );
    for node in 0..4 {
        let status = NodeReport { is_healthy: node > 1, ..report(Version::Old, 0) };
        controller.node_reported(node, Some(&status), &mut actions);
    }
    assert_eq!(actions.take(), "persist", "two nodes are out of service for unrelated causes");
    controller.no_progress();
    assert_eq!(controller.phase(), &Phase::Waiting(WaitReason::FleetUnhealthy));
    controller.resume(&mut actions);
    controller.node_reported(0, Some(&report(Version::Old, 0)), &mut actions);
    assert_eq!(actions.take(), "persist, 0 New");
    controller.pause();
    answer(&mut controller, &mut actions, done());
    assert_eq!((actions.take().as_str(), controller.phase()), ("", &Phase::Waiting(WaitReason::Paused)));
    controller.resume(&mut actions);
    assert_eq!(actions.take(), "analyze 0");
    controller.analysis_concluded(Verdict::Inconclusive("few calls".into()), &mut actions);
    assert_eq!(controller.phase(), &Phase::Waiting(WaitReason::Inconclusive("few calls".into())));
    controller.resume(&mut actions);
    assert_eq!(controller.phase(), &Phase::Advancing { stage: 1 }, "the operator accepts the stage");
    controller.roll_back(&mut actions);
    assert!(matches!(controller.phase(), Phase::RollingBack { .. }));
}

/// Creates a commit-confirmed rollout that has passed all its stages.
fn passed_and_unconfirmed() -> (RolloutController, RecordedActions) {
    let (mut controller, mut actions) = polled_with(COMMIT_CONFIRMED, None);
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    while !actions.commands.is_empty() {
        answer(&mut controller, &mut actions, done());
    }
    actions.take();
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    (controller, actions)
}

#[test]
fn a_commit_confirmed_rollout_is_done_only_once_every_node_has_confirmed() {
    let (mut controller, mut actions) = polled_with(COMMIT_CONFIRMED, None);
    assert_eq!(actions.take(), "persist, persist, 0 New unconfirmed");
    // A node that reverts automatically while its stage is analysed is changed again.
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "analyze 0");
    controller.node_reported(0, Some(&report(Version::Old, 1)), &mut actions);
    assert_eq!(actions.take(), "0 New unconfirmed");
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "analyze 0");
    // After all stages have passed, two nodes at once are commanded to confirm, the maximum that may be out
    // of service.
    let (mut controller, mut actions) = passed_and_unconfirmed();
    assert_eq!((actions.take().as_str(), controller.phase()), ("persist, 0 New, 1 New", &Phase::Confirming));
    answer(&mut controller, &mut actions, done());
    // A node that has reverted automatically, or was restarted after it had confirmed, receives the command
    // again.
    controller.node_reported(0, Some(&report(Version::Old, 1)), &mut actions);
    assert_eq!(actions.take(), "2 New");
    while !actions.commands.is_empty() {
        answer(&mut controller, &mut actions, done());
    }
    assert_eq!((actions.take().as_str(), controller.phase()), ("0 New, 3 New, persist", &Phase::Done));
    assert!(controller.record().is_finished);
}

#[test]
fn a_node_that_does_not_confirm_is_left_to_the_operator_and_the_next_controller_continues_to_confirm() {
    let (mut controller, mut actions) = passed_and_unconfirmed();
    answer(&mut controller, &mut actions, CommandReply::Finished(Outcome::Failed("busy".into())));
    assert_eq!(controller.phase(), &Phase::Waiting(WaitReason::NodeStuck { node: 0, reason: "busy".into() }));
    let (mut controller, mut actions) = passed_and_unconfirmed();
    for _ in 0..3 {
        // Each time, the command to node 0 is sent again; the command to the other node is still pending.
        let (node, command) = actions.commands.iter().copied().find(|(node, _)| *node == 0).unwrap();
        actions.commands.retain(|(node, _)| *node != 0);
        controller.command_answered(node, command.token, CommandReply::NoReply, &mut actions);
    }
    assert!(matches!(controller.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    let record = actions.record.clone().unwrap();
    assert_eq!((record.stage, record.is_finished, &record.rollback_reason), (2, false, &None));
    controller.resume(&mut actions);
    assert_eq!(controller.phase(), &Phase::Confirming);
    // The successor of a controller that was killed in this phase neither analyses nor changes nodes again.
    let (mut next, mut actions) = (
        RolloutController::new(stage_plan(), COMMIT_CONFIRMED, Some(record), ControllerNumber(2)),
        RecordedActions::default(),
    );
    for node in 0..4 {
        next.node_reported(node, Some(&report(Version::New, 1)), &mut actions);
    }
    assert_eq!((actions.take().as_str(), next.phase()), ("persist, 0 New, 1 New", &Phase::Confirming));
    // A node that stopped answering is named in the reason.
    for node in 0..4 {
        next.node_reported(node, None, &mut actions);
    }
    answer(&mut next, &mut actions, done());
    answer(&mut next, &mut actions, done());
    next.no_progress();
    assert!(matches!(next.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    // Harm that is found late reverts all nodes, including those that have confirmed.
    let (mut controller, mut actions) = passed_and_unconfirmed();
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Harm("late".into()), &mut actions);
    while !actions.commands.is_empty() {
        answer(&mut controller, &mut actions, done());
    }
    assert_eq!(controller.phase(), &Phase::RolledBack { reason: "late".into() });
}

#[test]
fn a_node_that_cannot_hand_over_to_the_old_version_is_restarted_once_if_the_plan_allows_it() {
    let (mut controller, mut actions) =
        polled_with(RolloutPolicy { restart_stuck_nodes: true, commit_confirmed: false }, None);
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Harm("deaf".into()), &mut actions);
    actions.take();
    answer(
        &mut controller,
        &mut actions,
        CommandReply::Finished(Outcome::Failed("it does not come to rest".into())),
    );
    assert_eq!(actions.take(), "0 Old restart");
    let mut other = controller.clone();
    let tokens: Vec<FencingToken> = actions.commands.iter().map(|(_, command)| command.token).collect();
    answer(&mut controller, &mut actions, done());
    assert_eq!(controller.phase(), &Phase::RolledBack { reason: "deaf".into() });
    other.command_answered(
        0,
        tokens[0],
        CommandReply::Finished(Outcome::Failed("no such file".into())),
        &mut actions,
    );
    assert!(matches!(other.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    // A new version that does not start is no reason to restart the old one.
    let (mut controller, mut actions) =
        polled_with(RolloutPolicy { restart_stuck_nodes: true, commit_confirmed: false }, None);
    actions.take();
    answer(&mut controller, &mut actions, CommandReply::Finished(Outcome::Failed("it ended".into())));
    assert_eq!(actions.take(), "persist, persist");
}
