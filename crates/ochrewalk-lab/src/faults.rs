//! Named faults of processes and links: which action is taken at which time. The same seed gives the same steps.

use crate::executor::ExecutorBehavior;
use crate::faulty_links::{LinkFault, Rule};
use std::ops::Range;
use std::time::Duration;

/// The number of processes, and the time span of the fault.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub nodes: usize,
    /// The number of endpoints on the first list. The fault `replaced` needs half as many more as replacements.
    pub endpoints: usize,
    pub from: Duration,
    pub until: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    Nodes,
    Endpoints,
}

/// An action on processes or on the links between them.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    Kill(Tier, usize),
    /// Starts a killed process again, cold.
    Start(Tier, usize),
    Stop(Tier, usize),
    Continue(Tier, usize),
    SetBehavior(Range<usize>, ExecutorBehavior),
    SetLinkRules(Vec<Rule>),
    /// Makes a node read a list of these endpoints.
    UpdateList(usize, Range<usize>),
    /// Makes an endpoint shut down gracefully.
    Drain(usize),
}

pub type Steps = Vec<(Duration, FaultAction)>;

/// The names and descriptions of all faults.
pub const FAULTS: [(&str, &str); 14] = [
    ("none", "no fault"),
    ("dead", "one endpoint in ten is killed, and started cold when the fault ends"),
    ("stopped", "one endpoint in ten is stopped for 5 s, then continued"),
    ("slow", "one endpoint in ten takes ten times as long"),
    ("fails", "one endpoint in ten fails every call immediately"),
    (
        "silent",
        "bytes from a third of the nodes to three endpoints in ten are held back until the fault ends",
    ),
    ("mute", "bytes from three endpoints in ten to a third of the nodes are held back until the fault ends"),
    ("cut", "connections between a third of the nodes and three endpoints in ten are reset"),
    (
        "half-open",
        "connections between a third of the nodes and one endpoint in ten are accepted and forward nothing",
    ),
    ("trickle", "links to one endpoint in ten forward a hundred bytes per 10 ms"),
    ("zone", "three endpoints in ten are killed at once, and started cold in waves"),
    (
        "replaced",
        "half of the endpoints are replaced within 7 s, each node reading the list at a different time",
    ),
    ("restart", "seven in ten nodes are killed at once and restarted"),
    ("all-restart", "all nodes are killed at once and restarted"),
];

/// The time between the starts of two waves.
const WAVE: Duration = Duration::from_millis(700);
/// The longest time within which all nodes read a new list.
const LIST_UPDATE_PERIOD: Duration = Duration::from_secs(7);

/// Returns the steps of a fault in the order of their times, or `None` if the name is unknown.
pub fn steps(name: &str, scene: &Scene, seed: u64) -> Option<Steps> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let Scene { nodes, endpoints, from, until } = *scene;
    let share = |of: usize, tenths: usize| 0..(of * tenths / 10).max(1);
    let third = 0..(nodes / 3).max(1);
    let links = |endpoints: Range<usize>, fault| vec![Rule { nodes: third.clone(), endpoints, fault }];
    let between = |rules| {
        vec![(from, FaultAction::SetLinkRules(rules)), (until, FaultAction::SetLinkRules(Vec::new()))]
    };
    let behavior = |behavior| {
        let healthy = ExecutorBehavior { slowdown: 1.0, fails_all: false };
        vec![
            (from, FaultAction::SetBehavior(share(endpoints, 1), behavior)),
            (until, FaultAction::SetBehavior(share(endpoints, 1), healthy)),
        ]
    };
    let kill = |tier, which: Range<usize>, back: Duration, waves: usize| {
        let mut steps = Vec::new();
        let wave = which.len().div_ceil(waves);
        for (at, which) in which.enumerate() {
            steps.push((from, FaultAction::Kill(tier, which)));
            steps.push((back + WAVE * (at / wave) as u32, FaultAction::Start(tier, which)));
        }
        steps
    };
    let restart_at = from + Duration::from_millis(200);
    let mut steps = match name {
        "none" => Vec::new(),
        "dead" => kill(Tier::Endpoints, share(endpoints, 1), until, 1),
        "zone" => kill(Tier::Endpoints, share(endpoints, 3), until, 3),
        "restart" => kill(Tier::Nodes, share(nodes, 7), restart_at, 1),
        "all-restart" => kill(Tier::Nodes, 0..nodes, restart_at, 1),
        "stopped" => {
            let continued_at = until.min(from + Duration::from_secs(5));
            let both = |at| {
                [
                    (from, FaultAction::Stop(Tier::Endpoints, at)),
                    (continued_at, FaultAction::Continue(Tier::Endpoints, at)),
                ]
            };
            share(endpoints, 1).flat_map(both).collect()
        }
        "slow" => behavior(ExecutorBehavior { slowdown: 10.0, fails_all: false }),
        "fails" => behavior(ExecutorBehavior { slowdown: 1.0, fails_all: true }),
        "silent" => between(links(share(endpoints, 3), LinkFault::Silence { to_endpoint: true })),
        "mute" => between(links(share(endpoints, 3), LinkFault::Silence { to_endpoint: false })),
        "cut" => between(links(share(endpoints, 3), LinkFault::Reset)),
        "half-open" => between(links(share(endpoints, 1), LinkFault::HalfOpen)),
        "trickle" => between(vec![Rule {
            nodes: 0..nodes,
            endpoints: share(endpoints, 1),
            fault: LinkFault::Trickle(100),
        }]),
        "replaced" => {
            let list_period = LIST_UPDATE_PERIOD.min(until - from);
            let newer = endpoints / 2..endpoints / 2 + endpoints;
            let mut steps: Steps = (0..nodes)
                .map(|node| {
                    (from + list_period.mul_f64(rng.f64()), FaultAction::UpdateList(node, newer.clone()))
                })
                .collect();
            steps.extend(
                (0..endpoints / 2).map(|endpoint| (from + list_period, FaultAction::Drain(endpoint))),
            );
            steps
        }
        _ => return None,
    };
    steps.sort_by_key(|(at, _)| *at);
    Some(steps)
}

/// Returns the number of endpoints that have to run, including replacements, and the endpoints on the last list.
pub fn endpoint_counts(name: &str, endpoints: usize) -> (usize, Range<usize>) {
    match name {
        "replaced" => (endpoints + endpoints / 2, endpoints / 2..endpoints / 2 + endpoints),
        _ => (endpoints, 0..endpoints),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_fault_ends_and_restarts_or_continues_every_process_that_it_affected() {
        let scene =
            Scene { nodes: 30, endpoints: 20, from: Duration::from_secs(10), until: Duration::from_secs(20) };
        for (name, _) in FAULTS {
            let all = steps(name, &scene, 1).unwrap();
            assert_eq!(all, steps(name, &scene, 1).unwrap(), "{name}");
            assert!(all.iter().all(|(at, _)| *at >= scene.from && *at < Duration::from_secs(25)), "{name}");
            let count = |is: fn(&FaultAction) -> bool| all.iter().filter(|(_, action)| is(action)).count();
            assert_eq!(
                count(|action| matches!(action, FaultAction::Kill(..) | FaultAction::Stop(..))),
                count(|action| matches!(action, FaultAction::Start(..) | FaultAction::Continue(..))),
                "{name}"
            );
            let last = |is: fn(&FaultAction) -> bool| {
                all.iter().map(|(_, action)| action).rfind(|action| is(action)).cloned()
            };
            let rules = last(|action| matches!(action, FaultAction::SetLinkRules(_)));
            assert!(rules.is_none_or(|action| action == FaultAction::SetLinkRules(Vec::new())), "{name}");
            assert_eq!(all.is_empty(), name == "none");
        }
        assert!(steps("nothing", &scene, 1).is_none());
        assert_eq!(endpoint_counts("replaced", 20), (30, 10..30));
    }
}
