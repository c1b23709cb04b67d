//! Tests which node is changed next, in given states and in random states of a fleet.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_rollout::{NodeState, StagePlan, StagePlanError, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OLD: NodeState = NodeState {
    version: Some(Version::Old),
    is_healthy: true,
    responds: true,
    is_command_pending: false,
    change_number: 0,
};

fn new(change_number: u32) -> NodeState {
    NodeState { version: Some(Version::New), change_number, ..OLD }
}

fn stage_plan(zones: &[u32], stages: &[usize], max_unavailable: usize) -> StagePlan {
    StagePlan::new(zones.to_vec(), stages.to_vec(), max_unavailable).unwrap()
}

#[test]
fn an_invalid_plan_is_rejected() {
    for (zones, stages, max_unavailable, error) in [
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
        assert_eq!(StagePlan::new(zones, stages, max_unavailable), Err(error));
    }
    assert!(StagePlan::new(vec![0], vec![1], 1).is_ok(), "a fleet of one node");
    assert!(StagePlan::new(vec![0, 0], vec![1, 2], 1).is_ok(), "a fleet of two nodes");
}

#[test]
fn nodes_are_spread_over_zones_and_reverted_newest_first() {
    let stage_plan = stage_plan(&[0, 0, 0, 1, 1, 2], &[1, 3, 6], 2);
    let mut states = vec![OLD; 6];
    let mut order = Vec::new();
    for stage in 0..3 {
        while let Some(node) = stage_plan.next_to_change(&states, stage) {
            order.push(node);
            states[node] = new(order.len() as u32);
        }
        assert!(stage_plan.has_reached_target(&states, stage));
        assert_eq!(order.len(), stage_plan.target_count(stage));
    }
    assert_eq!(order[..3], [0, 3, 5], "one of each zone first, the largest zone before the others");
    let mut reverted = Vec::new();
    while let Some(node) = stage_plan.next_to_revert(&states) {
        reverted.push(node);
        states[node] = OLD;
    }
    order.reverse();
    assert_eq!(reverted, order);
}

#[test]
fn nodes_out_of_service_for_unrelated_causes_count_towards_the_limit() {
    let stage_plan = stage_plan(&[0; 4], &[2, 4], 2);
    let unhealthy_old = NodeState { is_healthy: false, ..OLD };
    let pending = NodeState { is_command_pending: true, ..OLD };
    let unknown = NodeState { version: None, ..OLD };
    for (states, next) in [
        ([OLD, OLD, OLD, OLD], Some(0)),
        ([unhealthy_old, OLD, OLD, OLD], Some(1)),
        ([unhealthy_old, unhealthy_old, OLD, OLD], None),
        ([pending, OLD, OLD, OLD], Some(1)),
        ([pending, pending, OLD, OLD], None),
        ([pending, new(1), OLD, OLD], None),
        ([new(1), new(2), OLD, OLD], None),
        ([unknown, unknown, unknown, OLD], Some(3)),
        ([unknown; 4], None),
    ] {
        assert_eq!(stage_plan.next_to_change(&states, 0), next, "{states:?}");
    }
    // Among nodes to revert, one that responds and is unhealthy is first, because it is out of service
    // already; a node that does not respond is not selected.
    let silent = |changed| NodeState { is_healthy: false, responds: false, ..new(changed) };
    let unhealthy = |changed| NodeState { is_healthy: false, ..new(changed) };
    for (states, next) in [
        ([new(1), silent(2), pending, OLD], None),
        ([new(1), silent(2), OLD, OLD], Some(0)),
        ([unhealthy(1), new(2), OLD, OLD], Some(0)),
        ([unhealthy(1), unhealthy(2), unhealthy(3), new(4)], Some(2)),
        ([unhealthy(1), pending, pending, OLD], None),
    ] {
        assert_eq!(stage_plan.next_to_revert(&states), next, "{states:?}");
    }
}

fn any_state() -> impl Strategy<Value = NodeState> {
    (0u8..3, 0u8..3, any::<bool>(), 0u32..9).prop_map(
        |(version, health, is_command_pending, change_number)| NodeState {
            version: [None, Some(Version::Old), Some(Version::New)][version as usize],
            is_healthy: health == 2,
            responds: health > 0,
            is_command_pending,
            change_number,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default()
    })]

    #[test]
    fn no_step_takes_more_nodes_out_of_service_than_the_plan_allows(
        states in prop::collection::vec((any_state(), 0u32..3), 2..12),
        max_unavailable in 1usize..4,
        stage in 0usize..2,
    ) {
        let (states, zones): (Vec<NodeState>, Vec<u32>) = states.into_iter().unzip();
        let count = states.len();
        let max_unavailable = max_unavailable.min(count - 1);
        let stage_plan = stage_plan(&zones, &[1, count], max_unavailable);
        let unavailable = states.iter().filter(|s| !s.is_healthy || s.is_command_pending).count();
        let new = states.iter().filter(|s| s.version == Some(Version::New) || s.is_command_pending).count();
        for (next, from) in [(stage_plan.next_to_change(&states, stage), Version::Old), (stage_plan.next_to_revert(&states), Version::New)] {
            if let Some(node) = next {
                // A node that is out of service already is not taken out by the step.
                prop_assert!(unavailable < max_unavailable || from == Version::New && !states[node].is_healthy);
                prop_assert!(states[node].responds && !states[node].is_command_pending);
                prop_assert!(states.iter().filter(|s| s.is_command_pending).count() < max_unavailable);
                prop_assert_eq!(states[node].version, Some(from));
            }
        }
        if stage_plan.next_to_change(&states, stage).is_some() {
            prop_assert!(new < stage_plan.target_count(stage));
        }
    }
}
