//! What goes wrong between processes, by name: which step is taken when. The same seed gives the same steps.

use crate::executor::ExecutorBehavior;
use crate::faulty_links::{LinkFault, Rule};
use std::ops::Range;
use std::time::Duration;

/// How many processes there are, and when the trouble is.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub nodes: usize,
    /// Places on the first list; half as many more stand by where they are replaced.
    pub endpoints: usize,
    pub from: Duration,
    pub until: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    Nodes,
    Endpoints,
}

/// What is done to processes, or to what lies between.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    Kill(Tier, usize),
    /// Starts one that was killed, cold.
    Start(Tier, usize),
    Stop(Tier, usize),
    Continue(Tier, usize),
    SetBehavior(Range<usize>, ExecutorBehavior),
    SetLinkRules(Vec<Rule>),
    /// That node reads a list of these places.
    UpdateList(usize, Range<usize>),
    /// That place is told to leave.
    Drain(usize),
}

pub type Steps = Vec<(Duration, FaultAction)>;

/// All faults, with what each is.
pub const FAULTS: [(&str, &str); 14] = [
    ("none", "nothing goes wrong"),
    ("dead", "one endpoint in ten is killed, and started cold when the trouble is over"),
    ("stopped", "one endpoint in ten is stopped for 5 s, and goes on"),
    ("slow", "one endpoint in ten takes ten times as long"),
    ("fails", "one endpoint in ten fails everything at once"),
    (
        "silent",
        "what a third of the nodes writes to three endpoints in ten does not arrive until the trouble is over",
    ),
    (
        "mute",
        "what three endpoints in ten write to a third of the nodes does not arrive until the trouble is over",
    ),
    ("cut", "connections between a third of the nodes and three endpoints in ten are reset"),
    ("half-open", "connections between a third of the nodes and one endpoint in ten are made and carry nothing"),
    ("trickle", "one endpoint in ten is reached by a hundred bytes in 10 ms"),
    ("zone", "three endpoints in ten are killed at once, and come back cold in waves"),
    ("replaced", "half of the endpoints are replaced within 7 s, each node reading the list at its own moment"),
    ("restart", "seven in ten nodes are killed at once and started anew"),
    ("all-restart", "all nodes are killed at once and started anew"),
];

/// A wave starts so long after the one before.
const WAVE: Duration = Duration::from_millis(700);
/// New lists are read within this time at most.
const LISTS: Duration = Duration::from_secs(7);

/// The steps of a fault; none where nothing is known by that name.
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
    let soon = from + Duration::from_millis(200);
    let mut steps = match name {
        "none" => Vec::new(),
        "dead" => kill(Tier::Endpoints, share(endpoints, 1), until, 1),
        "zone" => kill(Tier::Endpoints, share(endpoints, 3), until, 3),
        "restart" => kill(Tier::Nodes, share(nodes, 7), soon, 1),
        "all-restart" => kill(Tier::Nodes, 0..nodes, soon, 1),
        "stopped" => {
            let over = until.min(from + Duration::from_secs(5));
            let both = |at| {
                [
                    (from, FaultAction::Stop(Tier::Endpoints, at)),
                    (over, FaultAction::Continue(Tier::Endpoints, at)),
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
            let lists = LISTS.min(until - from);
            let newer = endpoints / 2..endpoints / 2 + endpoints;
            let mut steps: Steps = (0..nodes)
                .map(|node| (from + lists.mul_f64(rng.f64()), FaultAction::UpdateList(node, newer.clone())))
                .collect();
            steps.extend((0..endpoints / 2).map(|endpoint| (from + lists, FaultAction::Drain(endpoint))));
            steps
        }
        _ => return None,
    };
    steps.sort_by_key(|(at, _)| *at);
    Some(steps)
}

/// Places that have to be there, those that stand by included, and those that the last list names.
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
    fn each_fault_ends_and_brings_back_whoever_it_took() {
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
