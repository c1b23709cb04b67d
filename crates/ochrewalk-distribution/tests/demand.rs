//! The names that a node watches because it used them.

mod common;

use common::*;
use ochrewalk_distribution::messages::{ResourceName, Watch};
use ochrewalk_distribution::{CompleteUpdate, DemandSet, DemandState, Interest};
use proptest::prelude::*;

fn name(number: usize) -> ResourceName {
    quota_name("a", &format!("tenant-{number:03}"))
}

#[test]
fn a_name_is_requested_once_and_the_least_recently_used_is_evicted_first() {
    let mut demand = DemandSet::new(2);
    let added = |number| Some(Watch { add: vec![name(number)], remove: Vec::new() });
    assert_eq!(demand.request(&name(1), 1), added(1));
    assert_eq!(demand.request(&name(2), 2), added(2));
    assert_eq!(demand.request(&name(1), 3), None);
    let watch = Watch { add: vec![name(3)], remove: vec![name(2)] };
    assert_eq!(demand.request(&name(3), 4), Some(watch));
    assert_eq!(demand.names().collect::<Vec<_>>(), [&name(1), &name(3)]);
    assert_eq!(demand.state(&name(2)), None);
}

#[test]
fn a_name_is_absent_until_its_resource_is_created() {
    let mut demand = DemandSet::new(2);
    demand.request(&name(1), 1);
    assert_eq!(demand.state(&name(1)), Some(DemandState::Requested));
    let mut update = CompleteUpdate {
        position: position(1, 1),
        is_snapshot: false,
        resources: Vec::new(),
        absent: vec![name(1), name(2)],
        horizon: 0,
    };
    demand.applied(&update);
    assert_eq!(demand.state(&name(1)), Some(DemandState::Absent));
    assert_eq!((demand.state(&name(2)), demand.request(&name(1), 2)), (None, None));
    update.absent.clear();
    update.resources = vec![quota("a", "tenant-001", 1.0).into()];
    demand.applied(&update);
    assert_eq!(demand.state(&name(1)), Some(DemandState::Present));
    update.resources = vec![deletion("a", "tenant-001").into()];
    demand.applied(&update);
    assert_eq!(demand.state(&name(1)), Some(DemandState::Absent));
}

#[test]
fn restored_names_are_not_requested_again() {
    let mut demand = DemandSet::new(2);
    demand.restore_present(&name(1), 0);
    demand.restore_absent(&name(2), 0);
    demand.restore_present(&name(3), 0);
    assert_eq!(demand.len(), 2);
    assert_eq!(demand.state(&name(1)), Some(DemandState::Present));
    assert_eq!(demand.state(&name(2)), Some(DemandState::Absent));
    assert_eq!(demand.request(&name(1), 1), None);
}

#[test]
fn a_node_that_watches_on_demand_has_the_watched_resources_only() {
    let mut server = filled_publisher();
    let mut node = Node::new("one", Interest::default());
    node.connect(&mut server);
    let mut demand = DemandSet::new(20);
    for step in 0..200 {
        let wanted = name(step * step % 450);
        if let Some(watch) = demand.request(&wanted, step as u64) {
            node.watch(&mut server, &watch);
        }
        if step % 9 == 0 {
            publish(&mut server, &[quota("a", &name(step * 2).name, step as f64)]);
        }
        for update in node.catch_up(&mut server) {
            demand.applied(&update);
        }
        node.assert_equals(server.store());
        let exists = server.store().get(&wanted).is_some();
        let state = if exists { DemandState::Present } else { DemandState::Absent };
        assert_eq!(demand.state(&wanted), Some(state));
    }
    assert!(node.store.len() <= 20);
}

proptest! {
    #[test]
    fn the_most_recently_used_names_are_watched_up_to_the_bound(
        uses in proptest::collection::vec(0..12_usize, 1..60),
        limit in 1..6_usize,
    ) {
        let mut demand = DemandSet::new(limit);
        let mut watched: Vec<ResourceName> = Vec::new();
        let mut last_used: Vec<ResourceName> = Vec::new();
        for (step, number) in uses.into_iter().enumerate() {
            let name = name(number);
            if let Some(watch) = demand.request(&name, step as u64) {
                watched.retain(|name| !watch.remove.contains(name));
                watched.extend(watch.add);
            }
            last_used.retain(|used| *used != name);
            last_used.push(name);
            if last_used.len() > limit {
                last_used.remove(0);
            }
            let sorted = |names: &[ResourceName]| {
                let mut names = names.to_vec();
                names.sort();
                names
            };
            prop_assert_eq!(sorted(&watched), sorted(&last_used));
            prop_assert_eq!(demand.names().cloned().collect::<Vec<_>>(), sorted(&last_used));
        }
    }
}
