//! The course of a whole change, by table.

use ochrewalk_rollout::{
    ChangeMethod, Command, CommandReply, ControllerActions, FencingToken, NodeReport, Outcome, Phase,
    RolloutController, RolloutPolicy, RolloutRecord, StagePlan, Variant, Verdict, WaitReason,
};

#[derive(Default)]
struct Told {
    said: Vec<String>,
    orders: Vec<(usize, Command)>,
    kept: Option<RolloutRecord>,
}

impl ControllerActions for Told {
    fn keep(&mut self, kept: &RolloutRecord) {
        self.said.push("keep".into());
        self.kept = Some(kept.clone());
    }
    fn order(&mut self, node: usize, order: Command) {
        let how = match order.how {
            ChangeMethod::HandOver => "",
            ChangeMethod::CommitConfirmed => " on trial",
            ChangeMethod::Restart => " anew",
        };
        self.said.push(format!("{node} {:?}{how}", order.to));
        self.orders.push((node, order));
    }
    fn judge(&mut self, stage: usize) {
        self.said.push(format!("judge {stage}"));
    }
}

impl Told {
    fn take(&mut self) -> String {
        std::mem::take(&mut self.said).join(", ")
    }
}

fn course() -> StagePlan {
    StagePlan::new(vec![0, 0, 1, 1], vec![1, 4], 2).unwrap()
}

fn report(program: Variant, conductor: u64) -> NodeReport {
    NodeReport { program, is_well: true, highest: FencingToken { conductor, order: 0 } }
}

const PLAIN: RolloutPolicy = RolloutPolicy { on_trial: false, begins_anew: false };
const ON_TRIAL: RolloutPolicy = RolloutPolicy { on_trial: true, begins_anew: false };

/// All nodes answer that they run the old program.
fn begun(kept: Option<RolloutRecord>) -> (RolloutController, Told) {
    begun_with(PLAIN, kept)
}

fn begun_with(habits: RolloutPolicy, kept: Option<RolloutRecord>) -> (RolloutController, Told) {
    let (mut conductor, mut told) = (RolloutController::new(course(), habits, kept, 1), Told::default());
    for node in 0..4 {
        conductor.report(node, Some(&report(Variant::Old, 0)), &mut told);
    }
    (conductor, told)
}

/// The oldest order that was given is answered.
fn answer(conductor: &mut RolloutController, told: &mut Told, word: CommandReply) {
    let (node, order) = told.orders.remove(0);
    conductor.answered(node, order.mark, word, told);
}

fn done() -> CommandReply {
    CommandReply::Finished(Outcome::Done)
}

#[test]
fn a_change_goes_through_its_stages_and_keeps_first_what_it_does() {
    let (mut conductor, mut told) = begun(None);
    assert_eq!(told.take(), "keep, keep, 0 New");
    answer(&mut conductor, &mut told, done());
    assert_eq!(told.take(), "judge 0");
    conductor.verdict(Verdict::Pending, &mut told);
    conductor.verdict(Verdict::Pass, &mut told);
    assert_eq!(told.take(), "keep, keep, 2 New, keep, 1 New", "two at once, the other zone first");
    answer(&mut conductor, &mut told, done());
    answer(&mut conductor, &mut told, done());
    assert_eq!(told.take(), "keep, 3 New");
    answer(&mut conductor, &mut told, done());
    assert_eq!((told.take().as_str(), conductor.phase()), ("judge 1", &Phase::Analyzing { stage: 1 }));
    conductor.verdict(Verdict::Pass, &mut told);
    assert_eq!((told.take().as_str(), conductor.phase()), ("keep", &Phase::Done));
}

#[test]
fn harm_takes_all_back_newest_first_also_while_more_are_changed() {
    let (mut conductor, mut told) = begun(None);
    answer(&mut conductor, &mut told, done());
    conductor.verdict(Verdict::Pass, &mut told);
    answer(&mut conductor, &mut told, done());
    told.take();
    // Two are still being changed: one has to come to its end before any can go back.
    conductor.verdict(Verdict::Harm("slow".into()), &mut told);
    assert_eq!(told.take(), "keep");
    answer(&mut conductor, &mut told, done());
    assert_eq!(told.take(), "1 Old", "the newest of those that are changed");
    while !told.orders.is_empty() {
        answer(&mut conductor, &mut told, done());
    }
    assert_eq!(conductor.phase(), &Phase::RolledBack { why: "slow".into() });
    assert!(conductor.seen().iter().all(|seen| seen.program == Some(Variant::Old)));
    assert!(conductor.kept().is_over);
}

#[test]
fn a_program_that_does_not_start_goes_no_further() {
    let (mut conductor, mut told) = begun(None);
    answer(
        &mut conductor,
        &mut told,
        CommandReply::Finished(Outcome::Failed("the new program ended".into())),
    );
    assert_eq!(conductor.phase(), &Phase::RolledBack { why: "node 0: the new program ended".into() });
    // One that cannot go back is the operator's.
    let (mut conductor, mut told) = begun(None);
    answer(&mut conductor, &mut told, done());
    conductor.verdict(Verdict::Harm("slow".into()), &mut told);
    answer(&mut conductor, &mut told, CommandReply::Finished(Outcome::Failed("no such file".into())));
    let left = WaitReason::NodeStuck { node: 0, why: "no such file".into() };
    assert_eq!(conductor.phase(), &Phase::Waiting(left));
    conductor.resume(&mut told);
    answer(&mut conductor, &mut told, done());
    assert_eq!(conductor.phase(), &Phase::RolledBack { why: "slow".into() });
}

#[test]
fn an_order_without_an_answer_is_sent_again_and_then_its_node_counts_as_out() {
    let (mut conductor, mut told) = begun(None);
    told.take();
    let first = told.orders[0];
    for again in 0..2 {
        answer(&mut conductor, &mut told, CommandReply::NoReply);
        assert_eq!(told.orders, [first], "{again}: the same, so that it acts once");
    }
    answer(&mut conductor, &mut told, CommandReply::NoReply);
    assert_eq!(conductor.phase(), &Phase::RollingBack { why: "node 0 has not answered".into() });
    // A late answer is nobody's; what the node says of itself counts.
    conductor.answered(0, first.1.mark, done(), &mut told);
    conductor.report(0, None, &mut told);
    assert!(told.orders.is_empty());
    conductor.stuck();
    assert!(matches!(conductor.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    conductor.resume(&mut told);
    conductor.report(0, Some(&report(Variant::New, 1)), &mut told);
    assert_eq!(told.orders[0].1.to, Variant::Old);
    answer(&mut conductor, &mut told, done());
    assert!(matches!(conductor.phase(), Phase::RolledBack { .. }));
}

#[test]
fn of_two_conductors_the_later_one_acts() {
    let (mut conductor, mut told) = begun(None);
    answer(&mut conductor, &mut told, CommandReply::Stale(FencingToken { conductor: 2, order: 1 }));
    assert_eq!(conductor.phase(), &Phase::Replaced);
    conductor.verdict(Verdict::Pass, &mut told);
    conductor.back(&mut told);
    assert_eq!(conductor.phase(), &Phase::Replaced);
    // One that begins takes a number above all that nodes know.
    let (mut later, mut told) = (RolloutController::new(course(), PLAIN, None, 1), Told::default());
    for (node, highest) in [3, 7, 2, 0].into_iter().enumerate() {
        later.report(node, Some(&report(Variant::Old, highest)), &mut told);
    }
    assert_eq!(told.orders[0].1.mark, FencingToken { conductor: 8, order: 1 });
    // And hears of a higher one later.
    later.report(3, Some(&report(Variant::Old, 9)), &mut told);
    assert_eq!(later.phase(), &Phase::Replaced);
}

#[test]
fn one_that_was_killed_goes_on_from_what_was_kept() {
    let (mut conductor, mut told) = begun(None);
    answer(&mut conductor, &mut told, done());
    conductor.verdict(Verdict::Pass, &mut told);
    let kept = told.kept.clone().unwrap();
    assert_eq!((kept.stage, &kept.changed[..]), (1, &[0, 2, 1][..]));
    let (mut next, mut told) = (RolloutController::new(course(), PLAIN, Some(kept), 2), Told::default());
    // One of the two orders was carried out.
    for (node, program) in [Variant::New, Variant::Old, Variant::New, Variant::Old].into_iter().enumerate() {
        next.report(node, Some(&report(program, 1)), &mut told);
    }
    assert_eq!(told.take(), "keep, 1 New, keep, 3 New");
    // While it goes back, too; and when it is over it is over.
    next.verdict(Verdict::Harm("slow".into()), &mut told);
    let kept = told.kept.clone().unwrap();
    let (mut next, mut told) = (RolloutController::new(course(), PLAIN, Some(kept), 3), Told::default());
    for node in 0..4 {
        next.report(node, Some(&report([Variant::Old, Variant::New][node % 2], 2)), &mut told);
    }
    assert_eq!(told.take(), "keep, 3 Old, 1 Old");
    let over = RolloutRecord { is_over: true, ..RolloutRecord::default() };
    assert_eq!(begun(Some(over.clone())).0.phase(), &Phase::Done);
    let back = RolloutRecord { back: Some("slow".into()), ..over };
    assert_eq!(begun(Some(back)).0.phase(), &Phase::RolledBack { why: "slow".into() });
}

#[test]
fn a_fleet_that_is_ill_makes_it_wait_and_an_operator_pauses_goes_on_and_back() {
    let (mut conductor, mut told) = (RolloutController::new(course(), PLAIN, None, 1), Told::default());
    for node in 0..4 {
        let well = NodeReport { is_well: node > 1, ..report(Variant::Old, 0) };
        conductor.report(node, Some(&well), &mut told);
    }
    assert_eq!(told.take(), "keep", "two are out for reasons of their own");
    conductor.stuck();
    assert_eq!(conductor.phase(), &Phase::Waiting(WaitReason::FleetUnhealthy));
    conductor.resume(&mut told);
    conductor.report(0, Some(&report(Variant::Old, 0)), &mut told);
    assert_eq!(told.take(), "keep, 0 New");
    conductor.pause();
    answer(&mut conductor, &mut told, done());
    assert_eq!((told.take().as_str(), conductor.phase()), ("", &Phase::Waiting(WaitReason::Paused)));
    conductor.resume(&mut told);
    assert_eq!(told.take(), "judge 0");
    conductor.verdict(Verdict::Inconclusive("few calls".into()), &mut told);
    assert_eq!(conductor.phase(), &Phase::Waiting(WaitReason::Inconclusive("few calls".into())));
    conductor.resume(&mut told);
    assert_eq!(conductor.phase(), &Phase::Advancing { stage: 1 }, "the operator takes it for good");
    conductor.back(&mut told);
    assert!(matches!(conductor.phase(), Phase::RollingBack { .. }));
}

/// A change on trial that was found good in all its stages.
fn good_on_trial() -> (RolloutController, Told) {
    let (mut conductor, mut told) = begun_with(ON_TRIAL, None);
    answer(&mut conductor, &mut told, done());
    conductor.verdict(Verdict::Pass, &mut told);
    while !told.orders.is_empty() {
        answer(&mut conductor, &mut told, done());
    }
    told.take();
    conductor.verdict(Verdict::Pass, &mut told);
    (conductor, told)
}

#[test]
fn what_is_on_trial_is_for_good_only_once_every_node_was_told() {
    let (mut conductor, mut told) = begun_with(ON_TRIAL, None);
    assert_eq!(told.take(), "keep, keep, 0 New on trial");
    // One that goes back by itself while its stage is judged is changed again.
    answer(&mut conductor, &mut told, done());
    assert_eq!(told.take(), "judge 0");
    conductor.report(0, Some(&report(Variant::Old, 1)), &mut told);
    assert_eq!(told.take(), "0 New on trial");
    answer(&mut conductor, &mut told, done());
    assert_eq!(told.take(), "judge 0");
    // All are good: two at once are told, no more than may be out.
    let (mut conductor, mut told) = good_on_trial();
    assert_eq!((told.take().as_str(), conductor.phase()), ("keep, 0 New, 1 New", &Phase::Confirming));
    answer(&mut conductor, &mut told, done());
    // One that has gone back by itself, or was started anew since it was told, is told again.
    conductor.report(0, Some(&report(Variant::Old, 1)), &mut told);
    assert_eq!(told.take(), "2 New");
    while !told.orders.is_empty() {
        answer(&mut conductor, &mut told, done());
    }
    assert_eq!((told.take().as_str(), conductor.phase()), ("0 New, 3 New, keep", &Phase::Done));
    assert!(conductor.kept().is_over);
}

#[test]
fn a_node_that_is_not_told_is_left_to_the_operator_and_the_next_conductor_goes_on_telling() {
    let (mut conductor, mut told) = good_on_trial();
    answer(&mut conductor, &mut told, CommandReply::Finished(Outcome::Failed("busy".into())));
    assert_eq!(conductor.phase(), &Phase::Waiting(WaitReason::NodeStuck { node: 0, why: "busy".into() }));
    let (mut conductor, mut told) = good_on_trial();
    for _ in 0..3 {
        // The first of the two is asked again each time, the other one's turn comes between.
        let (node, order) = told.orders.iter().copied().find(|(node, _)| *node == 0).unwrap();
        told.orders.retain(|(node, _)| *node != 0);
        conductor.answered(node, order.mark, CommandReply::NoReply, &mut told);
    }
    assert!(matches!(conductor.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    let kept = told.kept.clone().unwrap();
    assert_eq!((kept.stage, kept.is_over, &kept.back), (2, false, &None));
    conductor.resume(&mut told);
    assert_eq!(conductor.phase(), &Phase::Confirming);
    // Killed there, another one neither judges nor changes anew.
    let (mut next, mut told) = (RolloutController::new(course(), ON_TRIAL, Some(kept), 2), Told::default());
    for node in 0..4 {
        next.report(node, Some(&report(Variant::New, 1)), &mut told);
    }
    assert_eq!((told.take().as_str(), next.phase()), ("keep, 0 New, 1 New", &Phase::Confirming));
    // A node that does not come back is named.
    for node in 0..4 {
        next.report(node, None, &mut told);
    }
    answer(&mut next, &mut told, done());
    answer(&mut next, &mut told, done());
    next.stuck();
    assert!(matches!(next.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    // Late harm takes all back, those that were told as well.
    let (mut conductor, mut told) = good_on_trial();
    answer(&mut conductor, &mut told, done());
    conductor.verdict(Verdict::Harm("late".into()), &mut told);
    while !told.orders.is_empty() {
        answer(&mut conductor, &mut told, done());
    }
    assert_eq!(conductor.phase(), &Phase::RolledBack { why: "late".into() });
}

#[test]
fn a_node_that_cannot_hand_back_is_begun_anew_where_the_plan_allows_it_and_once_only() {
    let (mut conductor, mut told) = begun_with(RolloutPolicy { begins_anew: true, on_trial: false }, None);
    answer(&mut conductor, &mut told, done());
    conductor.verdict(Verdict::Harm("deaf".into()), &mut told);
    told.take();
    answer(
        &mut conductor,
        &mut told,
        CommandReply::Finished(Outcome::Failed("it does not come to rest".into())),
    );
    assert_eq!(told.take(), "0 Old anew");
    let mut other = conductor.clone();
    let marks: Vec<FencingToken> = told.orders.iter().map(|(_, order)| order.mark).collect();
    answer(&mut conductor, &mut told, done());
    assert_eq!(conductor.phase(), &Phase::RolledBack { why: "deaf".into() });
    other.answered(0, marks[0], CommandReply::Finished(Outcome::Failed("no such file".into())), &mut told);
    assert!(matches!(other.phase(), Phase::Waiting(WaitReason::NodeStuck { node: 0, .. })));
    // A new program that does not come up is no reason to end the old one.
    let (mut conductor, mut told) = begun_with(RolloutPolicy { begins_anew: true, on_trial: false }, None);
    told.take();
    answer(&mut conductor, &mut told, CommandReply::Finished(Outcome::Failed("it ended".into())));
    assert_eq!(told.take(), "keep, keep");
}
