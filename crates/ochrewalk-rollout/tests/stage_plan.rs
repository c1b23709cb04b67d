//! Which node is changed next: by table, and in any state of a fleet.

use ochrewalk_rollout::{NodeState, StagePlan, StagePlanError, Variant};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OLD: NodeState =
    NodeState { program: Some(Variant::Old), is_well: true, answers: true, is_ordered: false, changed: 0 };

fn new(changed: u32) -> NodeState {
    NodeState { program: Some(Variant::New), changed, ..OLD }
}

fn course(zones: &[u32], stages: &[usize], most_out: usize) -> StagePlan {
    StagePlan::new(zones.to_vec(), stages.to_vec(), most_out).unwrap()
}

#[test]
fn a_plan_that_cannot_be_gone_through_is_refused() {
    for (zones, stages, most_out, wrong) in [
        (vec![], vec![1], 1, StagePlanError::NoNodes),
        (vec![0; 4], vec![], 1, StagePlanError::Stages),
        (vec![0; 4], vec![0, 4], 1, StagePlanError::Stages),
        (vec![0; 4], vec![2, 2, 4], 1, StagePlanError::Stages),
        (vec![0; 4], vec![1, 3], 1, StagePlanError::Stages),
        (vec![0; 4], vec![1, 5], 1, StagePlanError::Stages),
        (vec![0; 4], vec![1, 4], 0, StagePlanError::MaxUnavailable),
        (vec![0; 4], vec![1, 4], 4, StagePlanError::MaxUnavailable),
        (vec![0; 2], vec![2], 2, StagePlanError::MaxUnavailable),
    ] {
        assert_eq!(StagePlan::new(zones, stages, most_out), Err(wrong));
    }
    assert!(StagePlan::new(vec![0], vec![1], 1).is_ok(), "a fleet of one");
    assert!(StagePlan::new(vec![0, 0], vec![1, 2], 1).is_ok(), "of two");
}

#[test]
fn nodes_are_spread_over_zones_and_go_back_newest_first() {
    let course = course(&[0, 0, 0, 1, 1, 2], &[1, 3, 6], 2);
    let mut seen = vec![OLD; 6];
    let mut order = Vec::new();
    for stage in 0..3 {
        while let Some(node) = course.next(&seen, stage) {
            order.push(node);
            seen[node] = new(order.len() as u32);
        }
        assert!(course.is_there(&seen, stage));
        assert_eq!(order.len(), course.target(stage));
    }
    assert_eq!(order[..3], [0, 3, 5], "one of each zone first, the largest zone before the others");
    let mut back = Vec::new();
    while let Some(node) = course.back(&seen) {
        back.push(node);
        seen[node] = OLD;
    }
    order.reverse();
    assert_eq!(back, order);
}

#[test]
fn whoever_is_out_for_reasons_of_its_own_counts() {
    let course = course(&[0; 4], &[2, 4], 2);
    let ill = NodeState { is_well: false, ..OLD };
    let ordered = NodeState { is_ordered: true, ..OLD };
    let unknown = NodeState { program: None, ..OLD };
    for (seen, next) in [
        ([OLD, OLD, OLD, OLD], Some(0)),
        ([ill, OLD, OLD, OLD], Some(1)),
        ([ill, ill, OLD, OLD], None),
        ([ordered, OLD, OLD, OLD], Some(1)),
        ([ordered, ordered, OLD, OLD], None),
        ([ordered, new(1), OLD, OLD], None),
        ([new(1), new(2), OLD, OLD], None),
        ([unknown, unknown, unknown, OLD], Some(3)),
        ([unknown; 4], None),
    ] {
        assert_eq!(course.next(&seen, 0), next, "{seen:?}");
    }
    // On the way back one that answers and is not well goes first, as it is out already; a silent one is waited for.
    let silent = |changed| NodeState { is_well: false, answers: false, ..new(changed) };
    let ailing = |changed| NodeState { is_well: false, ..new(changed) };
    for (seen, next) in [
        ([new(1), silent(2), ordered, OLD], None),
        ([new(1), silent(2), OLD, OLD], Some(0)),
        ([ailing(1), new(2), OLD, OLD], Some(0)),
        ([ailing(1), ailing(2), ailing(3), new(4)], Some(2)),
        ([ailing(1), ordered, ordered, OLD], None),
    ] {
        assert_eq!(course.back(&seen), next, "{seen:?}");
    }
}

fn seen() -> impl Strategy<Value = NodeState> {
    (0u8..3, 0u8..3, any::<bool>(), 0u32..9).prop_map(|(program, health, is_ordered, changed)| NodeState {
        program: [None, Some(Variant::Old), Some(Variant::New)][program as usize],
        is_well: health == 2,
        answers: health > 0,
        is_ordered,
        changed,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default()
    })]

    #[test]
    fn no_step_takes_more_out_than_the_plan_allows(
        seen in prop::collection::vec((seen(), 0u32..3), 2..12),
        most_out in 1usize..4,
        stage in 0usize..2,
    ) {
        let (seen, zones): (Vec<NodeState>, Vec<u32>) = seen.into_iter().unzip();
        let count = seen.len();
        let most_out = most_out.min(count - 1);
        let course = course(&zones, &[1, count], most_out);
        let out = seen.iter().filter(|s| !s.is_well || s.is_ordered).count();
        let new = seen.iter().filter(|s| s.program == Some(Variant::New) || s.is_ordered).count();
        for (next, from) in [(course.next(&seen, stage), Variant::Old), (course.back(&seen), Variant::New)] {
            if let Some(node) = next {
                // Who is out already is taken out by nobody.
                prop_assert!(out < most_out || from == Variant::New && !seen[node].is_well);
                prop_assert!(seen[node].answers && !seen[node].is_ordered);
                prop_assert!(seen.iter().filter(|s| s.is_ordered).count() < most_out);
                prop_assert_eq!(seen[node].program, Some(from));
            }
        }
        if course.next(&seen, stage).is_some() {
            prop_assert!(new < course.target(stage));
        }
    }
}
