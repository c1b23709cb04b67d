//! Explores the states of controllers and three nodes exhaustively: controllers are killed and restarted,
//! commands and replies arrive late without bound or are lost, and nodes stop answering and recover.
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
    ControllerStarts(usize),
    ControllerKilled(usize),
    ControllerPolls(usize),
    CommandArrives(usize),
    CommandIsLost(usize),
    CommandFinishes {
        node: usize,
        succeeds: bool,
    },
    ReplyArrives(usize),
    ReplyIsLost(usize),
    NodeFails(usize),
    NodeRecovers(usize),
    /// A node with an unconfirmed change received no request of its controller during the lease, and reverts.
    LeaseExpires(usize),
    StagePasses(usize),
    HarmFound(usize),
    NoProgress(usize),
}

/// The maximum number of each kind of fault, and whether the fence is omitted on purpose.
#[derive(Clone, Copy)]
struct RolloutModel {
    controllers: usize,
    kills: u8,
    outages: u8,
    losses: u8,
    failures: u8,
    expirations: u8,
    policy: RolloutPolicy,
    without_fence: bool,
}

impl RolloutModel {
    fn poll(&self, world: &mut World, at: usize, node: usize) {
        let number = world.controllers[at]
            .as_ref()
            .map_or(ControllerNumber::OBSERVER, |controller| controller.record().controller);
        if world.nodes[node].is_healthy && !self.without_fence {
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
        let admission = if self.without_fence { Admission::Execute } else { state.fence.admit(token) };
        let reply = match admission {
            Admission::Execute if state.executing.is_none() => {
                world.executed_late_command |= token < world.last_executed[node];
                world.last_executed[node] = token;
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

    fn command_finishes(&self, world: &mut World, node: usize, succeeds: bool) {
        world.failures += u8::from(!succeeds);
        let state = &mut world.nodes[node];
        let command = state.executing.take().expect("only a command in progress finishes");
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

impl Model for RolloutModel {
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
            controllers_started: 0,
            executed_late_command: false,
            last_executed: vec![FencingToken::default(); NODES],
            too_many_unavailable: false,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        for at in 0..self.controllers {
            match &world.controllers[at] {
                None if usize::from(world.controllers_started)
                    < self.controllers + usize::from(self.kills) =>
                {
                    actions.push(Action::ControllerStarts(at))
                }
                None => {}
                Some(controller) => {
                    if world.kills < self.kills {
                        actions.push(Action::ControllerKilled(at));
                    }
                    match controller.phase() {
                        Phase::Analyzing { .. } => {
                            actions.extend([Action::StagePasses(at), Action::HarmFound(at)])
                        }
                        Phase::Advancing { .. } | Phase::RollingBack { .. }
                            if controller.pending_commands().next().is_none() =>
                        {
                            actions.push(Action::NoProgress(at))
                        }
                        _ => {}
                    }
                    actions.push(Action::ControllerPolls(at));
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
        for (node, state) in world.nodes.iter().enumerate() {
            if state.executing.is_some() && state.is_healthy {
                actions.push(Action::CommandFinishes { node, succeeds: true });
                if world.failures < self.failures {
                    actions.push(Action::CommandFinishes { node, succeeds: false });
                }
            }
            if state.is_healthy && world.outages < self.outages {
                actions.push(Action::NodeFails(node));
            }
            if !state.is_healthy {
                actions.push(Action::NodeRecovers(node));
            }
            if state.is_unconfirmed && state.executing.is_none() && world.expirations < self.expirations {
                actions.push(Action::LeaseExpires(node));
            }
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::ControllerStarts(at) => world.controller_begins(at, self.policy),
            Action::ControllerKilled(at) => {
                world.kills += 1;
                world.controllers[at] = None;
            }
            Action::ControllerPolls(at) => (0..NODES).for_each(|node| self.poll(&mut world, at, node)),
            Action::CommandArrives(at) => self.command_arrives(&mut world, at),
            Action::CommandIsLost(at) => {
                world.losses += 1;
                let (from, node, command) = world.commands.remove(at);
                world.replies.push((from, node, command.token, CommandReply::NoReply));
            }
            Action::CommandFinishes { node, succeeds } => self.command_finishes(&mut world, node, succeeds),
            Action::ReplyArrives(at) => {
                let (to, node, token, reply) = world.replies.remove(at);
                world
                    .with(to, |controller, effects| controller.command_answered(node, token, reply, effects));
            }
            Action::ReplyIsLost(at) => {
                world.losses += 1;
                world.replies[at].3 = CommandReply::NoReply;
            }
            Action::NodeFails(node) => {
                world.outages += 1;
                world.nodes[node].is_healthy = false;
            }
            Action::NodeRecovers(node) => world.nodes[node].is_healthy = true,
            Action::LeaseExpires(node) => {
                world.expirations += 1;
                (world.nodes[node].version, world.nodes[node].is_unconfirmed) = (Version::Old, false);
            }
            Action::StagePasses(at) => world.conclude(at, Verdict::Pass),
            Action::HarmFound(at) => world.conclude(at, Verdict::Harm("worse".into())),
            Action::NoProgress(at) => world.with(at, |controller, _| controller.no_progress()),
        }
        world.drop_undeliverable_replies();
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(MAX_UNAVAILABLE, |_, w: &World| !w.too_many_unavailable),
            Property::always(NO_LATE_COMMAND, |_, w: &World| !w.executed_late_command),
            Property::always(FINAL_PHASE_AS_OBSERVED, |_, w: &World| {
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
            Property::always(FINAL_PHASE_ON_EVERY_NODE, |_, w: &World| {
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

/// Explores with one thread. With several threads, a state that is first reached on a longer path may be
/// beyond the depth limit, so that the states after it are not explored.
fn explore(model: RolloutModel, depth: usize) -> impl Checker<RolloutModel> {
    model.checker().target_max_depth(depth).threads(1).spawn_bfs().join()
}

/// The names of the properties that hold in every state.
const MAX_UNAVAILABLE: &str = "one controller never takes more nodes out of service than the plan allows";
const NO_LATE_COMMAND: &str = "no command is executed after a later one";
const FINAL_PHASE_AS_OBSERVED: &str =
    "a final phase agrees with the versions that the controller has observed";
const FINAL_PHASE_ON_EVERY_NODE: &str = "in a final phase every node runs the final version, confirmed";

fn assert_always(checker: &impl Checker<RolloutModel>, states: usize, names: &[&'static str]) {
    assert_eq!(checker.unique_state_count(), states, "distinct states");
    names.iter().for_each(|name| checker.assert_no_discovery(name));
}

const ONE_CONTROLLER: RolloutModel = RolloutModel {
    controllers: 1,
    kills: 1,
    outages: 1,
    losses: 1,
    failures: 1,
    expirations: 0,
    policy: RolloutPolicy { commit_confirmed: false, restart_stuck_nodes: true },
    without_fence: false,
};

#[test]
fn one_controller_is_killed_at_any_step_with_a_lost_message_a_node_out_of_service_and_a_failed_change() {
    let checker = explore(ONE_CONTROLLER, 22);
    assert_always(
        &checker,
        101_924,
        &[MAX_UNAVAILABLE, NO_LATE_COMMAND, FINAL_PHASE_AS_OBSERVED, FINAL_PHASE_ON_EVERY_NODE],
    );
    checker.assert_any_discovery("a rollout is done");
    checker.assert_any_discovery("a rollout is rolled back");
}

#[test]
fn unconfirmed_nodes_revert_automatically_at_any_step_with_a_controller_killed_and_a_lost_message() {
    let policy = RolloutPolicy { commit_confirmed: true, restart_stuck_nodes: true };
    let model = RolloutModel { outages: 0, failures: 0, expirations: 1, policy, ..ONE_CONTROLLER };
    let checker = explore(model, 26);
    assert_always(&checker, 48_736, &[MAX_UNAVAILABLE, NO_LATE_COMMAND, FINAL_PHASE_ON_EVERY_NODE]);
    checker.assert_any_discovery("a rollout is done");
    checker.assert_any_discovery("a rollout is rolled back");
}

#[test]
fn two_controllers_run_at_once_with_replies_delayed_without_bound() {
    let model =
        RolloutModel { controllers: 2, kills: 0, outages: 0, losses: 0, failures: 0, ..ONE_CONTROLLER };
    let checker = explore(model, 20);
    assert_always(&checker, 82_545, &[MAX_UNAVAILABLE, NO_LATE_COMMAND, FINAL_PHASE_AS_OBSERVED]);
    checker.assert_any_discovery("a controller is replaced");
}

#[test]
fn without_the_fence_a_late_command_is_executed_and_the_trace_is_short() {
    let model = RolloutModel {
        controllers: 2,
        kills: 0,
        outages: 0,
        losses: 0,
        failures: 0,
        without_fence: true,
        ..ONE_CONTROLLER
    };
    let checker = explore(model, 20);
    let trace =
        checker.discovery(NO_LATE_COMMAND).expect("a late command is executed within the depth limit");
    assert_eq!(trace.into_actions().len(), 18, "steps of the shortest trace");
    assert_eq!(checker.unique_state_count(), 337_615, "distinct states");
}
