//! The course of a whole change, by table.

use ochrewalk_rollout::{
    ChangeMethod, Command, CommandReply, ControllerActions, FencingToken, NodeReport, Outcome, Phase,
    RolloutController, RolloutPolicy, RolloutRecord, StagePlan, Verdict, Version, WaitReason,
};

#[derive(Default)]
struct RecordedActions {
    log: Vec<String>,
    commands: Vec<(usize, Command)>,
    record: Option<RolloutRecord>,
}

impl ControllerActions for RecordedActions {
    fn persist(&mut self, record: &RolloutRecord) {
        self.log.push("keep".into());
        self.record = Some(record.clone());
    }
    fn send_command(&mut self, node: usize, command: Command) {
        let method = match command.method {
            ChangeMethod::HandOver => "",
            ChangeMethod::CommitConfirmed => " on trial",
            ChangeMethod::Restart => " anew",
        };
        self.log.push(format!("{node} {:?}{method}", command.version));
        self.commands.push((node, command));
    }
    fn begin_analysis(&mut self, stage: usize) {
        self.log.push(format!("judge {stage}"));
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
    NodeReport { version, is_healthy: true, highest: FencingToken { controller, command: 0 } }
}

const HAND_OVER: RolloutPolicy = RolloutPolicy { commit_confirmed: false, restart_stuck_nodes: false };
const ON_TRIAL: RolloutPolicy = RolloutPolicy { commit_confirmed: true, restart_stuck_nodes: false };

/// All nodes answer that they run the old program.
fn begun(record: Option<RolloutRecord>) -> (RolloutController, RecordedActions) {
    begun_with(HAND_OVER, record)
}

fn begun_with(policy: RolloutPolicy, record: Option<RolloutRecord>) -> (RolloutController, RecordedActions) {
    let (mut controller, mut actions) =
        (RolloutController::new(stage_plan(), policy, record, 1), RecordedActions::default());
    for node in 0..4 {
        controller.node_reported(node, Some(&report(Version::Old, 0)), &mut actions);
    }
    (controller, actions)
}

/// The oldest order that was given is answered.
fn answer(controller: &mut RolloutController, actions: &mut RecordedActions, reply: CommandReply) {
    let (node, command) = actions.commands.remove(0);
    controller.command_answered(node, command.token, reply, actions);
}

fn done() -> CommandReply {
    CommandReply::Finished(Outcome::Done)
}

#[test]
fn a_change_goes_through_its_stages_and_keeps_first_what_it_does() {
    let (mut controller, mut actions) = begun(None);
    assert_eq!(actions.take(), "keep, keep, 0 New");
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "judge 0");
    controller.analysis_concluded(Verdict::Pending, &mut actions);
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    assert_eq!(actions.take(), "keep, keep, 2 New, keep, 1 New", "two at once, the other zone first");
    answer(&mut controller, &mut actions, done());
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "keep, 3 New");
    answer(&mut controller, &mut actions, done());
    assert_eq!((actions.take().as_str(), controller.phase()), ("judge 1", &Phase::Analyzing { stage: 1 }));
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    assert_eq!((actions.take().as_str(), controller.phase()), ("keep", &Phase::Done));
}

#[test]
fn harm_takes_all_back_newest_first_also_while_more_are_changed() {
    let (mut controller, mut actions) = begun(None);
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    answer(&mut controller, &mut actions, done());
    actions.take();
    // Two are still being changed: one has to come to its end before any can go back.
    controller.analysis_concluded(Verdict::Harm("slow".into()), &mut actions);
    assert_eq!(actions.take(), "keep");
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "1 Old", "the newest of those that are changed");
    while !actions.commands.is_empty() {
        answer(&mut controller, &mut actions, done());
    }
    assert_eq!(controller.phase(), &Phase::RolledBack { reason: "slow".into() });
    assert!(controller.node_states().iter().all(|seen| seen.version == Some(Version::Old)));
    assert!(controller.record().is_finished);
}

#[test]
fn a_program_that_does_not_start_goes_no_further() {
    let (mut controller, mut actions) = begun(None);
    answer(
        &mut controller,
        &mut actions,
        CommandReply::Finished(Outcome::Failed("the new program ended".into())),
    );
    assert_eq!(controller.phase(), &Phase::RolledBack { reason: "node 0: the new program ended".into() });
    // One that cannot go back is the operator's.
    let (mut controller, mut actions) = begun(None);
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Harm("slow".into()), &mut actions);
    answer(&mut controller, &mut actions, CommandReply::Finished(Outcome::Failed("no such file".into())));
    let left = WaitReason::NodeStuck { node: 0, reason: "no such file".into() };
    assert_eq!(controller.phase(), &Phase::Waiting(left));
    controller.resume(&mut actions);
    answer(&mut controller, &mut actions, done());
    assert_eq!(controller.phase(), &Phase::RolledBack { reason: "slow".into() });
}

#[test]
fn an_order_without_an_answer_is_sent_again_and_then_its_node_counts_as_out() {
    let (mut controller, mut actions) = begun(None);
    actions.take();
    let first = actions.commands[0];
    for again in 0..2 {
        answer(&mut controller, &mut actions, CommandReply::NoReply);
        assert_eq!(actions.commands, [first], "{again}: the same, so that it acts once");
    }
    answer(&mut controller, &mut actions, CommandReply::NoReply);
    assert_eq!(controller.phase(), &Phase::RollingBack { reason: "node 0 has not answered".into() });
    // A late answer is nobody's; what the node says of itself counts.
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
fn of_two_conductors_the_later_one_acts() {
    let (mut controller, mut actions) = begun(None);
    answer(&mut controller, &mut actions, CommandReply::Stale(FencingToken { controller: 2, command: 1 }));
    assert_eq!(controller.phase(), &Phase::Replaced);
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    controller.roll_back(&mut actions);
    assert_eq!(controller.phase(), &Phase::Replaced);
    // One that begins takes a number above all that nodes know.
    let (mut later, mut actions) =
        (RolloutController::new(stage_plan(), HAND_OVER, None, 1), RecordedActions::default());
    for (node, highest) in [3, 7, 2, 0].into_iter().enumerate() {
        later.node_reported(node, Some(&report(Version::Old, highest)), &mut actions);
    }
    assert_eq!(actions.commands[0].1.token, FencingToken { controller: 8, command: 1 });
    // And hears of a higher one later.
    later.node_reported(3, Some(&report(Version::Old, 9)), &mut actions);
    assert_eq!(later.phase(), &Phase::Replaced);
}

#[test]
fn one_that_was_killed_goes_on_from_what_was_kept() {
    let (mut controller, mut actions) = begun(None);
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Pass, &mut actions);
    let record = actions.record.clone().unwrap();
    assert_eq!((record.stage, &record.changed_nodes[..]), (1, &[0, 2, 1][..]));
    let (mut next, mut actions) =
        (RolloutController::new(stage_plan(), HAND_OVER, Some(record), 2), RecordedActions::default());
    // One of the two orders was carried out.
    for (node, version) in [Version::New, Version::Old, Version::New, Version::Old].into_iter().enumerate() {
        next.node_reported(node, Some(&report(version, 1)), &mut actions);
    }
    assert_eq!(actions.take(), "keep, 1 New, keep, 3 New");
    // While it goes back, too; and when it is over it is over.
    next.analysis_concluded(Verdict::Harm("slow".into()), &mut actions);
    let record = actions.record.clone().unwrap();
    let (mut next, mut actions) =
        (RolloutController::new(stage_plan(), HAND_OVER, Some(record), 3), RecordedActions::default());
    for node in 0..4 {
        next.node_reported(node, Some(&report([Version::Old, Version::New][node % 2], 2)), &mut actions);
    }
    assert_eq!(actions.take(), "keep, 3 Old, 1 Old");
    let over = RolloutRecord { is_finished: true, ..RolloutRecord::default() };
    assert_eq!(begun(Some(over.clone())).0.phase(), &Phase::Done);
    let back = RolloutRecord { rollback_reason: Some("slow".into()), ..over };
    assert_eq!(begun(Some(back)).0.phase(), &Phase::RolledBack { reason: "slow".into() });
}

#[test]
fn a_fleet_that_is_ill_makes_it_wait_and_an_operator_pauses_goes_on_and_back() {
    let (mut controller, mut actions) =
        (RolloutController::new(stage_plan(), HAND_OVER, None, 1), RecordedActions::default());
    for node in 0..4 {
        let well = NodeReport { is_healthy: node > 1, ..report(Version::Old, 0) };
        controller.node_reported(node, Some(&well), &mut actions);
    }
    assert_eq!(actions.take(), "keep", "two are out for reasons of their own");
    controller.no_progress();
    assert_eq!(controller.phase(), &Phase::Waiting(WaitReason::FleetUnhealthy));
    controller.resume(&mut actions);
    controller.node_reported(0, Some(&report(Version::Old, 0)), &mut actions);
    assert_eq!(actions.take(), "keep, 0 New");
    controller.pause();
    answer(&mut controller, &mut actions, done());
    assert_eq!((actions.take().as_str(), controller.phase()), ("", &Phase::Waiting(WaitReason::Paused)));
    controller.resume(&mut actions);
    assert_eq!(actions.take(), "judge 0");
    controller.analysis_concluded(Verdict::Inconclusive("few calls".into()), &mut actions);
    assert_eq!(controller.phase(), &Phase::Waiting(WaitReason::Inconclusive("few calls".into())));
    controller.resume(&mut actions);
    assert_eq!(controller.phase(), &Phase::Advancing { stage: 1 }, "the operator takes it for good");
    controller.roll_back(&mut actions);
    assert!(matches!(controller.phase(), Phase::RollingBack { .. }));
}

/// A change on trial that was found good in all its stages.
fn good_on_trial() -> (RolloutController, RecordedActions) {
    let (mut controller, mut actions) = begun_with(ON_TRIAL, None);
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
fn what_is_on_trial_is_for_good_only_once_every_node_was_told() {
    let (mut controller, mut actions) = begun_with(ON_TRIAL, None);
    assert_eq!(actions.take(), "keep, keep, 0 New on trial");
    // One that goes back by itself while its stage is judged is changed again.
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "judge 0");
    controller.node_reported(0, Some(&report(Version::Old, 1)), &mut actions);
    assert_eq!(actions.take(), "0 New on trial");
    answer(&mut controller, &mut actions, done());
    assert_eq!(actions.take(), "judge 0");
    // All are good: two at once are told, no more than may be out.
    let (mut controller, mut actions) = good_on_trial();
    assert_eq!((actions.take().as_str(), controller.phase()), ("keep, 0 New, 1 New", &Phase::Confirming));
    answer(&mut controller, &mut actions, done());
    // One that has gone back by itself, or was started anew since it was told, is told again.
    controller.node_reported(0, Some(&report(Version::Old, 1)), &mut actions);
    assert_eq!(actions.take(), "2 New");
    while !actions.commands.is_empty() {
        answer(&mut controller, &mut actions, done());
    }
    assert_eq!((actions.take().as_str(), controller.phase()), ("0 New, 3 New, keep", &Phase::Done));
    assert!(controller.record().is_finished);
}

#[test]
fn a_node_that_is_not_told_is_left_to_the_operator_and_the_next_conductor_goes_on_telling() {
    let (mut controller, mut actions) = good_on_trial();
    answer(&mut controller, &mut actions, CommandReply::Finished(Outcome::Failed("busy".into())));
    assert_eq!(controller.phase(), &Phase::Waiting(WaitReason::NodeStuck { node: 0, reason: "busy".into() }));
    let (mut controller, mut actions) = good_on_trial();
    for _ in 0..3 {
        // The first of the two is asked again each time, the other one's turn comes between.
        let (node, command) = actions.commands.iter().copied().find(|(node, _)| *node == 0).unwrap();
        actions.commands.retain(|(node, _)| *node != 0);
        controller.command_answered(node, command.token, CommandReply::NoReply, &mut actions);
    }
    assert!(matches!(controller.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    let record = actions.record.clone().unwrap();
    assert_eq!((record.stage, record.is_finished, &record.rollback_reason), (2, false, &None));
    controller.resume(&mut actions);
    assert_eq!(controller.phase(), &Phase::Confirming);
    // Killed there, another one neither judges nor changes anew.
    let (mut next, mut actions) =
        (RolloutController::new(stage_plan(), ON_TRIAL, Some(record), 2), RecordedActions::default());
    for node in 0..4 {
        next.node_reported(node, Some(&report(Version::New, 1)), &mut actions);
    }
    assert_eq!((actions.take().as_str(), next.phase()), ("keep, 0 New, 1 New", &Phase::Confirming));
    // A node that does not come back is named.
    for node in 0..4 {
        next.node_reported(node, None, &mut actions);
    }
    answer(&mut next, &mut actions, done());
    answer(&mut next, &mut actions, done());
    next.no_progress();
    assert!(matches!(next.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    // Late harm takes all back, those that were told as well.
    let (mut controller, mut actions) = good_on_trial();
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Harm("late".into()), &mut actions);
    while !actions.commands.is_empty() {
        answer(&mut controller, &mut actions, done());
    }
    assert_eq!(controller.phase(), &Phase::RolledBack { reason: "late".into() });
}

#[test]
fn a_node_that_cannot_hand_back_is_begun_anew_where_the_plan_allows_it_and_once_only() {
    let (mut controller, mut actions) =
        begun_with(RolloutPolicy { restart_stuck_nodes: true, commit_confirmed: false }, None);
    answer(&mut controller, &mut actions, done());
    controller.analysis_concluded(Verdict::Harm("deaf".into()), &mut actions);
    actions.take();
    answer(
        &mut controller,
        &mut actions,
        CommandReply::Finished(Outcome::Failed("it does not come to rest".into())),
    );
    assert_eq!(actions.take(), "0 Old anew");
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
    // A new program that does not come up is no reason to end the old one.
    let (mut controller, mut actions) =
        begun_with(RolloutPolicy { restart_stuck_nodes: true, commit_confirmed: false }, None);
    actions.take();
    answer(&mut controller, &mut actions, CommandReply::Finished(Outcome::Failed("it ended".into())));
    assert_eq!(actions.take(), "keep, keep");
}
