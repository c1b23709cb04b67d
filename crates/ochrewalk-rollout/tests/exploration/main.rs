//! A controller, a later one and three nodes, explored exhaustively: controllers killed and restarted, commands and replies late
//! without bound or lost, nodes that stop answering and come back.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod world;

use ochrewalk_rollout::{
    Admission, ChangeMethod, CommandReply, ControllerNumber, Fence, FencingToken, Outcome, Phase,
    RolloutPolicy, Verdict, Version,
};
use stateright::{Checker, Model, Property};
use world::{Node, World, NODES};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Begins(usize),
    Killed(usize),
    Polls(usize),
    CommandArrives(usize),
    CommandIsLost(usize),
    CommandEnds {
        node: usize,
        succeeds: bool,
    },
    ReplyArrives(usize),
    ReplyIsLost(usize),
    NodeOut(usize),
    NodeBack(usize),
    /// A node with an unconfirmed change has not heard of its controller for too long, and reverts.
    LeaseExpires(usize),
    Pass(usize),
    Harm(usize),
    NoProgress(usize),
}

/// How much may go wrong, and whether the fence is left out on purpose.
#[derive(Clone, Copy)]
struct Explored {
    controllers: usize,
    kills: u8,
    outages: u8,
    losses: u8,
    failures: u8,
    expirations: u8,
    policy: RolloutPolicy,
    no_fence: bool,
}

impl Explored {
    fn poll(&self, world: &mut World, at: usize, node: usize) {
        let number = world.controllers[at]
            .as_ref()
            .map_or(ControllerNumber::OBSERVER, |controller| controller.record().controller);
        if world.nodes[node].is_healthy && !self.no_fence {
            world.nodes[node].fence.observe_controller(number);
        }
        let report = world.node_report(node);
        world.with(at, |controller, effects| controller.node_reported(node, report.as_ref(), effects));
    }

    fn command_arrives(&self, world: &mut World, at: usize) {
        let (from, node, command) = world.commands.remove(at);
        let token = command.token;
        let state = &mut world.nodes[node];
        if !state.is_healthy {
            return world.replies.push((from, node, token, CommandReply::NoReply));
        }
        let admission = if self.no_fence { Admission::Execute } else { state.fence.admit(token) };
        let reply = match admission {
            Admission::Execute if state.executing.is_none() => {
                world.acted_late |= token < world.last_acted[node];
                world.last_acted[node] = token;
                state.executing = Some(command);
                return;
            }
            Admission::Execute => {
                let busy = Outcome::Failed("another command is being carried out".into());
                state.fence.command_finished(token, busy.clone());
                CommandReply::Finished(busy)
            }
            Admission::InProgress => return,
            Admission::Repeated(outcome) => CommandReply::Finished(outcome),
            Admission::Stale(highest) => CommandReply::Stale(highest),
        };
        world.replies.push((from, node, token, reply));
    }

    fn command_ends(&self, world: &mut World, node: usize, succeeds: bool) {
        world.failures += u8::from(!succeeds);
        let state = &mut world.nodes[node];
        let command = state.executing.take().expect("only a command that is carried out ends");
        let outcome = if succeeds { Outcome::Done } else { Outcome::Failed("it ended".into()) };
        if succeeds {
            state.version = command.version;
            state.is_unconfirmed = command.method == ChangeMethod::CommitConfirmed;
        }
        state.fence.command_finished(command.token, outcome.clone());
        for from in 0..self.controllers {
            world.replies.push((from, node, command.token, CommandReply::Finished(outcome.clone())));
        }
    }
}

impl Model for Explored {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let node = Node {
            version: Version::Old,
            is_unconfirmed: false,
            fence: Fence::default(),
            executing: None,
            is_healthy: true,
        };
        vec![World {
            nodes: vec![node; NODES],
            controllers: vec![None; self.controllers],
            record: None,
            commands: Vec::new(),
            replies: Vec::new(),
            kills: 0,
            outages: 0,
            losses: 0,
            failures: 0,
            expirations: 0,
            harms: 0,
            stucks: 0,
            began: 0,
            acted_late: false,
            last_acted: vec![FencingToken::default(); NODES],
            too_many_out: false,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        for at in 0..self.controllers {
            match &world.controllers[at] {
                None if usize::from(world.began) < self.controllers + usize::from(self.kills) => {
                    actions.push(Action::Begins(at))
                }
                None => {}
                Some(controller) => {
                    if world.kills < self.kills {
                        actions.push(Action::Killed(at));
                    }
                    match controller.phase() {
                        Phase::Analyzing { .. } => actions.extend([Action::Pass(at), Action::Harm(at)]),
                        Phase::Advancing { .. } | Phase::RollingBack { .. }
                            if controller.pending_commands().next().is_none() =>
                        {
                            actions.push(Action::NoProgress(at))
                        }
                        _ => {}
                    }
                    actions.push(Action::Polls(at));
                }
            }
        }
        for at in 0..world.commands.len() {
            actions.push(Action::CommandArrives(at));
            if world.losses < self.losses {
                actions.push(Action::CommandIsLost(at));
            }
        }
        for at in 0..world.replies.len() {
            actions.push(Action::ReplyArrives(at));
            if world.losses < self.losses {
                actions.push(Action::ReplyIsLost(at));
            }
        }
        for (node, of) in world.nodes.iter().enumerate() {
            if of.executing.is_some() && of.is_healthy {
                actions.push(Action::CommandEnds { node, succeeds: true });
                if world.failures < self.failures {
                    actions.push(Action::CommandEnds { node, succeeds: false });
                }
            }
            if of.is_healthy && world.outages < self.outages {
                actions.push(Action::NodeOut(node));
            }
            if !of.is_healthy {
                actions.push(Action::NodeBack(node));
            }
            if of.is_unconfirmed && of.executing.is_none() && world.expirations < self.expirations {
                actions.push(Action::LeaseExpires(node));
            }
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::Begins(at) => world.controller_begins(at, self.policy),
            Action::Killed(at) => {
                world.kills += 1;
                world.controllers[at] = None;
            }
            Action::Polls(at) => (0..NODES).for_each(|node| self.poll(&mut world, at, node)),
            Action::CommandArrives(at) => self.command_arrives(&mut world, at),
            Action::CommandIsLost(at) => {
                world.losses += 1;
                let (from, node, command) = world.commands.remove(at);
                world.replies.push((from, node, command.token, CommandReply::NoReply));
            }
            Action::CommandEnds { node, succeeds } => self.command_ends(&mut world, node, succeeds),
            Action::ReplyArrives(at) => {
                let (to, node, token, reply) = world.replies.remove(at);
                world
                    .with(to, |controller, effects| controller.command_answered(node, token, reply, effects));
            }
            Action::ReplyIsLost(at) => {
                world.losses += 1;
                world.replies[at].3 = CommandReply::NoReply;
            }
            Action::NodeOut(node) => {
                world.outages += 1;
                world.nodes[node].is_healthy = false;
            }
            Action::NodeBack(node) => world.nodes[node].is_healthy = true,
            Action::LeaseExpires(node) => {
                world.expirations += 1;
                (world.nodes[node].version, world.nodes[node].is_unconfirmed) = (Version::Old, false);
            }
            Action::Pass(at) => world.conclude(at, Verdict::Pass),
            Action::Harm(at) => world.conclude(at, Verdict::Harm("worse".into())),
            Action::NoProgress(at) => world.with(at, |controller, _| controller.no_progress()),
        }
        world.drop_replies_to_nobody();
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(UNAVAILABLE, |_, w: &World| !w.too_many_out),
            Property::always(LATE, |_, w: &World| !w.acted_late),
            Property::always(KNOWN, |_, w: &World| {
                w.controllers.iter().flatten().all(|controller| {
                    let all =
                        |version| controller.node_states().iter().all(|state| state.version == Some(version));
                    match controller.phase() {
                        Phase::RolledBack { .. } => {
                            controller.node_states().iter().all(|s| s.version != Some(Version::New))
                        }
                        Phase::Done => controller.record().rollback_reason.is_none() || all(Version::Old),
                        _ => true,
                    }
                })
            }),
            Property::always(EVERYWHERE, |_, w: &World| {
                let is_all = |version| {
                    let runs = |node: &Node| {
                        node.executing.map_or(node.version, |command| command.version) == version
                    };
                    w.nodes.iter().all(|node| runs(node) && !node.is_unconfirmed)
                };
                w.controllers.len() > 1
                    || w.controllers.iter().flatten().all(|controller| match controller.phase() {
                        Phase::Done => is_all(Version::New),
                        Phase::RolledBack { .. } => is_all(Version::Old),
                        _ => true,
                    })
            }),
            Property::sometimes("a rollout is done", |_, w: &World| {
                w.nodes.iter().all(|n| n.version == Version::New)
                    && w.controllers.iter().flatten().any(|c| c.phase() == &Phase::Done)
            }),
            Property::sometimes("a rollout is rolled back", |_, w: &World| {
                w.controllers.iter().flatten().any(|c| matches!(c.phase(), Phase::RolledBack { .. }))
            }),
            Property::sometimes("a controller is replaced", |_, w: &World| {
                w.controllers.iter().flatten().any(|c| c.phase() == &Phase::Replaced)
            }),
        ]
    }
}

/// By one thread: with several, a state that is first reached by a longer way round may lie beyond the bound on depth, and
/// what follows it is not explored.
fn explore(model: Explored, depth: usize) -> impl Checker<Explored> {
    model.checker().target_max_depth(depth).threads(1).spawn_bfs().join()
}

/// What holds in every state, by the names of the properties.
const UNAVAILABLE: &str = "no more out of service by one controller than the plan allows";
const LATE: &str = "no command acts after a later one";
const KNOWN: &str = "done is all changed, rolled back is none changed";
const EVERYWHERE: &str = "done or rolled back is so at every node, and unconfirmed nowhere";

fn assert_always(checker: &impl Checker<Explored>, states: usize, names: &[&'static str]) {
    assert_eq!(checker.unique_state_count(), states, "distinct states");
    names.iter().for_each(|name| checker.assert_no_discovery(name));
}

const ONE: Explored = Explored {
    controllers: 1,
    kills: 1,
    outages: 1,
    losses: 1,
    failures: 1,
    expirations: 0,
    policy: RolloutPolicy { commit_confirmed: false, restart_stuck_nodes: true },
    no_fence: false,
};

#[test]
fn one_controller_killed_at_any_step_with_a_reply_lost_a_node_out_and_a_change_that_fails() {
    let checker = explore(ONE, 22);
    assert_always(&checker, 101_924, &[UNAVAILABLE, LATE, KNOWN, EVERYWHERE]);
    checker.assert_any_discovery("a rollout is done");
    checker.assert_any_discovery("a rollout is rolled back");
}

#[test]
fn unconfirmed_nodes_that_revert_by_themselves_at_any_step_with_a_controller_killed_and_a_reply_lost() {
    let policy = RolloutPolicy { commit_confirmed: true, restart_stuck_nodes: true };
    let model = Explored { outages: 0, failures: 0, expirations: 1, policy, ..ONE };
    let checker = explore(model, 26);
    assert_always(&checker, 48_736, &[UNAVAILABLE, LATE, EVERYWHERE]);
    checker.assert_any_discovery("a rollout is done");
    checker.assert_any_discovery("a rollout is rolled back");
}

#[test]
fn two_controllers_at_once_with_replies_late_without_bound() {
    let model = Explored { controllers: 2, kills: 0, outages: 0, losses: 0, failures: 0, ..ONE };
    let checker = explore(model, 20);
    assert_always(&checker, 82_545, &[UNAVAILABLE, LATE, KNOWN]);
    checker.assert_any_discovery("a controller is replaced");
}

#[test]
fn without_the_fence_a_late_command_acts_and_the_trace_is_short() {
    let model =
        Explored { controllers: 2, kills: 0, outages: 0, losses: 0, failures: 0, no_fence: true, ..ONE };
    let checker = explore(model, 20);
    let trace = checker.discovery(LATE).expect("a late command acts within the depth");
    assert_eq!(trace.into_actions().len(), 18, "steps of the shortest trace");
    assert_eq!(checker.unique_state_count(), 337_615, "distinct states");
}
