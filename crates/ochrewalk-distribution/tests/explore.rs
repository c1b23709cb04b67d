//! Exhaustive exploration of a publisher, a second publisher that takes over, a relay and two nodes. Messages are lost,
//! repeated and delayed by any time, connections end, and the relay and the nodes restart. Stores, servers and
//! subscriptions are the production types.

mod common;

#[path = "explore/fleet.rs"]
mod fleet;

use fleet::{BrokenRule, Fleet, FOLLOWERS, NEW_PUBLISHER, OLD_PUBLISHER, RELAY, RELAY_SERVER};
use stateright::{Checker, Model, Property};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Publish { publisher: usize },
    TakeOver,
    Connect { follower: usize, server: usize },
    Break { follower: usize },
    Send { follower: usize },
    Deliver { message: usize },
    DeliverAndLoseReport { message: usize },
    Repeat { message: usize },
    Lose { message: usize },
    Restart { follower: usize },
}

/// The explored system: the bounds on faults, and the rule that is broken on purpose.
#[derive(Clone, Copy)]
struct ExplorationModel {
    publishes: u8,
    has_takeover: bool,
    losses: u8,
    repeats: u8,
    breaks: u8,
    restarts: u8,
    /// The number of followers that participate.
    followers: usize,
    /// Whether all followers have the state of the first publisher at the start.
    starts_caught_up: bool,
    broken: Option<BrokenRule>,
}

impl ExplorationModel {
    fn follower_actions(&self, fleet: &Fleet, index: usize, actions: &mut Vec<Action>) {
        if fleet.restarts < self.restarts && fleet.followers[index].subscription.position().is_some() {
            actions.push(Action::Restart { follower: index });
        }
        if fleet.followers[index].link.is_some() {
            actions.push(Action::Send { follower: index });
            if fleet.breaks < self.breaks {
                actions.push(Action::Break { follower: index });
            }
            return;
        }
        let publishers = [OLD_PUBLISHER, NEW_PUBLISHER];
        let servers = match index {
            RELAY => &publishers[..],
            1 => &[RELAY_SERVER],
            _ => &[RELAY_SERVER, OLD_PUBLISHER],
        };
        for server in servers.iter().copied().filter(|server| fleet.servers[*server].is_some()) {
            actions.push(Action::Connect { follower: index, server });
        }
    }
}

impl Model for ExplorationModel {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let mut fleet = Fleet::new();
        if self.starts_caught_up {
            fleet.follow(OLD_PUBLISHER);
        }
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        for publisher in [OLD_PUBLISHER, NEW_PUBLISHER] {
            if fleet.servers[publisher].is_some() && fleet.publishes < self.publishes {
                actions.push(Action::Publish { publisher });
            }
        }
        if self.has_takeover && fleet.servers[NEW_PUBLISHER].is_none() {
            actions.push(Action::TakeOver);
        }
        for index in 0..self.followers {
            self.follower_actions(fleet, index, actions);
        }
        for message in 0..fleet.in_flight.len() {
            actions.push(Action::Deliver { message });
            if fleet.losses < self.losses {
                actions.push(Action::Lose { message });
                actions.push(Action::DeliverAndLoseReport { message });
            }
            if fleet.repeats < self.repeats {
                actions.push(Action::Repeat { message });
            }
        }
    }

    fn next_state(&self, last: &Fleet, action: Action) -> Option<Fleet> {
        let mut fleet = last.clone();
        match action {
            Action::Publish { publisher } => fleet.publish(publisher),
            Action::TakeOver => fleet.take_over(),
            Action::Connect { follower, server } => fleet.connect(follower, server),
            Action::Break { follower } => {
                fleet.breaks += 1;
                fleet.disconnect(follower);
            }
            // More messages in flight at once would only add orders of the same deliveries.
            Action::Send { .. } if fleet.in_flight.len() >= 2 => return None,
            Action::Send { follower } => drop(fleet.send(follower)),
            Action::Deliver { message } => {
                let (to, part) = fleet.in_flight.remove(message);
                fleet.deliver(to, part, false, self.broken);
            }
            Action::DeliverAndLoseReport { message } => {
                fleet.losses += 1;
                let (to, part) = fleet.in_flight.remove(message);
                fleet.deliver(to, part, true, self.broken);
            }
            Action::Repeat { message } => {
                fleet.repeats += 1;
                let (to, part) = fleet.in_flight[message].clone();
                fleet.deliver(to, part, false, self.broken);
            }
            Action::Lose { message } => {
                fleet.losses += 1;
                fleet.in_flight.remove(message);
            }
            Action::Restart { follower } => {
                fleet.restarts += 1;
                fleet.restart(follower);
            }
        }
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_MOVES_BACK, |_, fleet: &Fleet| !fleet.moved_to_older_position),
            Property::always(COMPLETE_STATES_ONLY, |_, fleet: &Fleet| !fleet.has_partial_batch),
            Property::always(CONVERGES, |_, fleet: &Fleet| fleet.ends_equal()),
            Property::sometimes(NODE_HAS_LAST_CHANGE, |model: &ExplorationModel, fleet: &Fleet| {
                fleet.publishes == model.publishes
                    && fleet.followers[1].store.position().revision >= u64::from(model.publishes)
            }),
            Property::sometimes(NODE_FOLLOWS, |_, fleet: &Fleet| {
                fleet.followers[1].store.position().epoch == 2
            }),
        ]
    }
}

const NEVER_MOVES_BACK: &str = "no follower returns to an older position";
const COMPLETE_STATES_ONLY: &str = "each state in force is a complete state of a publisher";
const CONVERGES: &str = "all reachable followers converge";
const NODE_HAS_LAST_CHANGE: &str = "a node has the last change in force";
const NODE_FOLLOWS: &str = "a node follows the second publisher";

const NO_FAULTS: ExplorationModel = ExplorationModel {
    publishes: 2,
    has_takeover: false,
    losses: 0,
    repeats: 0,
    breaks: 0,
    restarts: 0,
    followers: FOLLOWERS,
    starts_caught_up: true,
    broken: None,
};

/// Explores on one thread: with several threads, the number of states within a depth differs from run to run. A change
/// that preserves the behaviour leaves the number of distinct `states` unchanged.
fn explore(model: ExplorationModel, depth: usize, states: usize) -> impl Checker<ExplorationModel> {
    let checker = model.checker().target_max_depth(depth).threads(1).spawn_bfs().join();
    assert_eq!(checker.unique_state_count(), states, "distinct states");
    checker
}

/// Explores, checks the properties that must hold in every state, and checks that `reached` holds in one.
fn assert_holds(model: ExplorationModel, depth: usize, states: usize, reached: &'static str) {
    let checker = explore(model, depth, states);
    for property in [NEVER_MOVES_BACK, COMPLETE_STATES_ONLY, CONVERGES] {
        checker.assert_no_discovery(property);
    }
    checker.assert_any_discovery(reached);
}

#[test]
fn a_snapshot_with_messages_lost_repeated_and_late_and_a_connection_that_ends() {
    let model = ExplorationModel {
        losses: 1,
        repeats: 1,
        breaks: 1,
        followers: 2,
        starts_caught_up: false,
        ..NO_FAULTS
    };
    assert_holds(model, 13, 10_848, NODE_HAS_LAST_CHANGE);
}

#[test]
fn differences_with_messages_lost_repeated_and_late_and_a_connection_that_ends() {
    let model = ExplorationModel { losses: 1, repeats: 1, breaks: 1, ..NO_FAULTS };
    assert_holds(model, 12, 9_162, NODE_HAS_LAST_CHANGE);
}

#[test]
fn a_second_publisher_takes_over_with_late_messages_and_connections_that_end() {
    let model = ExplorationModel { has_takeover: true, breaks: 2, followers: 2, ..NO_FAULTS };
    assert_holds(model, 14, 5_802, NODE_FOLLOWS);
}

#[test]
fn restarts_of_the_relay_and_of_nodes_that_may_follow_the_old_publisher() {
    let model = ExplorationModel { has_takeover: true, restarts: 1, breaks: 1, ..NO_FAULTS };
    assert_holds(model, 9, 9_712, NODE_FOLLOWS);
}

/// Returns the trace that leads a subscriber which breaks `rule` to the first state that no publisher had.
fn trace_to_violation(rule: BrokenRule, model: ExplorationModel, depth: usize, states: usize) -> Vec<Action> {
    let model = ExplorationModel { broken: Some(rule), ..model };
    // Exploration on one thread finds a shortest trace.
    let checker = explore(model, depth, states);
    let path = checker.discovery(COMPLETE_STATES_ONLY).expect("the broken rule is detected");
    let valid_steps = path.into_vec().into_iter().take_while(|(fleet, _)| !fleet.has_partial_batch);
    let trace: Vec<Action> = valid_steps.filter_map(|(_, action)| action).collect();
    println!("{rule:?}: {trace:?}");
    trace
}

#[test]
fn a_subscriber_that_applies_each_part_at_once_is_detected_by_a_short_trace() {
    let trace = trace_to_violation(BrokenRule::AppliesParts, NO_FAULTS, 5, 7);
    assert!(trace.len() <= 3, "{trace:?}");
}

#[test]
fn a_subscriber_that_ignores_the_base_of_differences_is_detected_by_a_short_trace() {
    let model = ExplorationModel { has_takeover: true, breaks: 2, followers: 1, ..NO_FAULTS };
    let trace = trace_to_violation(BrokenRule::IgnoresBase, model, 13, 1_652);
    assert!(trace.len() <= 11, "{trace:?}");
}
