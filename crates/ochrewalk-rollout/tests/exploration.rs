//! A conductor, a later one and three nodes, explored exhaustively: conductors killed and begun anew, orders and answers as
//! late as they like or lost, nodes that stop answering and come back.

use ochrewalk_rollout::{
    Admission, ChangeMethod, Command, CommandReply, ControllerActions, Fence, FencingToken, NodeReport,
    Outcome, Phase, RolloutController, RolloutPolicy, RolloutRecord, StagePlan, Verdict, Version,
};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    version: Version,
    /// What it runs is on trial.
    is_unconfirmed: bool,
    fence: Fence,
    /// What is being carried out.
    executing: Option<Command>,
    is_healthy: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    /// By conductor; none where it is not there.
    controllers: Vec<Option<RolloutController>>,
    /// The file that conductors keep.
    record: Option<RolloutRecord>,
    /// Orders on their way, with who sent them.
    commands: Vec<(usize, usize, Command)>,
    replies: Vec<(usize, usize, FencingToken, CommandReply)>,
    kills: u8,
    outages: u8,
    losses: u8,
    failures: u8,
    lapses: u8,
    harms: u8,
    stucks: u8,
    began: u8,
    /// Two marks of different conductors were acted on out of their order.
    acted_late: bool,
    last_acted: Vec<FencingToken>,
    too_many: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Begins(usize),
    Killed(usize),
    Polls(usize),
    CommandArrives(usize),
    CommandIsLost(usize),
    NodeDoes {
        node: usize,
        well: bool,
    },
    ReplyArrives(usize),
    ReplyIsLost(usize),
    NodeOut(usize),
    NodeBack(usize),
    /// A node on trial has heard nothing for too long, and goes back.
    Lapses(usize),
    Pass(usize),
    Harm(usize),
    NoProgress(usize),
}

struct Effects<'a> {
    record: &'a mut Option<RolloutRecord>,
    commands: Vec<(usize, Command)>,
}

impl ControllerActions for Effects<'_> {
    fn persist(&mut self, record: &RolloutRecord) {
        *self.record = Some(record.clone());
    }
    fn send_command(&mut self, node: usize, command: Command) {
        self.commands.push((node, command));
    }
    fn begin_analysis(&mut self, _stage: usize) {}
}

/// How much may go wrong, and which rule is broken on purpose.
#[derive(Clone, Copy)]
struct Explored {
    controllers: usize,
    kills: u8,
    outages: u8,
    losses: u8,
    failures: u8,
    lapses: u8,
    policy: RolloutPolicy,
    no_fence: bool,
}

fn stage_plan() -> StagePlan {
    StagePlan::new(vec![0, 0, 1], vec![1, NODES], 1).unwrap()
}

impl World {
    fn with(&mut self, at: usize, what: impl FnOnce(&mut RolloutController, &mut Effects)) {
        let Some(mut controller) = self.controllers[at].take() else { return };
        let mut record = self.record.clone();
        let mut effects = Effects { record: &mut record, commands: Vec::new() };
        what(&mut controller, &mut effects);
        let commands = effects.commands;
        // One file: who no longer has the highest number is not let write it.
        if controller.record().controller >= self.record.as_ref().map_or(0, |record| record.controller) {
            self.record = record;
        }
        for (node, command) in commands {
            self.commands.push((at, node, command));
        }
        self.commands.sort_by_key(|(at, node, command)| (*at, *node, command.token));
        let out = controller.pending_commands().count();
        self.too_many |= out > 1;
        self.controllers[at] = Some(controller);
    }

    fn node_report(&self, node: usize) -> Option<NodeReport> {
        let of = &self.nodes[node];
        of.is_healthy.then(|| NodeReport {
            version: of.version,
            is_healthy: of.executing.is_none(),
            highest: of.fence.highest(),
        })
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
            lapses: 0,
            harms: 0,
            stucks: 0,
            began: 0,
            acted_late: false,
            last_acted: vec![FencingToken::default(); NODES],
            too_many: false,
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
                actions.push(Action::NodeDoes { node, well: true });
                if world.failures < self.failures {
                    actions.push(Action::NodeDoes { node, well: false });
                }
            }
            if of.is_healthy && world.outages < self.outages {
                actions.push(Action::NodeOut(node));
            }
            if !of.is_healthy {
                actions.push(Action::NodeBack(node));
            }
            if of.is_unconfirmed && of.executing.is_none() && world.lapses < self.lapses {
                actions.push(Action::Lapses(node));
            }
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::Begins(at) => {
                world.began += 1;
                // Another's is never taken: in the program it is the moment, in microseconds.
                let record = world.record.as_ref().map_or(0, |record| record.controller);
                let number = record.max(u64::from(world.began) - 1) + 1;
                world.controllers[at] =
                    Some(RolloutController::new(stage_plan(), self.policy, world.record.clone(), number));
            }
            Action::Killed(at) => {
                world.kills += 1;
                world.controllers[at] = None;
            }
            Action::Polls(at) => {
                for node in 0..NODES {
                    let number = world.controllers[at].as_ref().map_or(0, |c| c.record().controller);
                    if world.nodes[node].is_healthy && !self.no_fence {
                        world.nodes[node].fence.observe_controller(number);
                    }
                    let report = world.node_report(node);
                    world.with(at, |controller, effects| {
                        controller.node_reported(node, report.as_ref(), effects)
                    });
                }
            }
            Action::CommandArrives(at) => {
                let (from, node, command) = world.commands.remove(at);
                let of = &mut world.nodes[node];
                if !of.is_healthy {
                    world.replies.push((from, node, command.token, CommandReply::NoReply));
                } else {
                    let admitted =
                        if self.no_fence { Admission::Execute } else { of.fence.admit(command.token) };
                    match admitted {
                        Admission::Execute if of.executing.is_none() => {
                            world.acted_late |= command.token < world.last_acted[node];
                            world.last_acted[node] = command.token;
                            of.executing = Some(command);
                        }
                        Admission::Execute => {
                            let busy = Outcome::Failed("another order is being carried out".into());
                            of.fence.command_finished(command.token, busy.clone());
                            world.replies.push((from, node, command.token, CommandReply::Finished(busy)));
                        }
                        Admission::InProgress => {}
                        Admission::Repeated(outcome) => {
                            world.replies.push((from, node, command.token, CommandReply::Finished(outcome)))
                        }
                        Admission::Stale(token) => {
                            world.replies.push((from, node, command.token, CommandReply::Stale(token)))
                        }
                    }
                }
            }
            Action::CommandIsLost(at) => {
                world.losses += 1;
                let (from, node, command) = world.commands.remove(at);
                world.replies.push((from, node, command.token, CommandReply::NoReply));
            }
            Action::NodeDoes { node, well } => {
                world.failures += u8::from(!well);
                let command = world.nodes[node].executing.take().expect("it does something");
                let outcome = if well { Outcome::Done } else { Outcome::Failed("it ended".into()) };
                if well {
                    world.nodes[node].version = command.version;
                    world.nodes[node].is_unconfirmed = command.method == ChangeMethod::CommitConfirmed;
                }
                world.nodes[node].fence.command_finished(command.token, outcome.clone());
                for from in 0..self.controllers {
                    world.replies.push((from, node, command.token, CommandReply::Finished(outcome.clone())));
                }
            }
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
            Action::Lapses(node) => {
                world.lapses += 1;
                (world.nodes[node].version, world.nodes[node].is_unconfirmed) = (Version::Old, false);
            }
            Action::Pass(at) => {
                world.with(at, |controller, effects| controller.analysis_concluded(Verdict::Pass, effects))
            }
            Action::Harm(at) => world.with(at, |controller, effects| {
                controller.analysis_concluded(Verdict::Harm("worse".into()), effects)
            }),
            Action::NoProgress(at) => world.with(at, |controller, _| controller.no_progress()),
        }
        world.replies.sort_by_key(|reply| (reply.0, reply.1, reply.2));
        world.replies.dedup();
        // Words for one that is not there are heard by nobody.
        let there: Vec<bool> = world.controllers.iter().map(Option::is_some).collect();
        world.replies.retain(|(to, ..)| there[*to]);
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(OUT, |_, w: &World| !w.too_many),
            Property::always(LATE, |_, w: &World| !w.acted_late),
            Property::always(SEEN, |_, w: &World| {
                w.controllers.iter().flatten().all(|controller| {
                    let all =
                        |version| controller.node_states().iter().all(|seen| seen.version == Some(version));
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
            Property::sometimes("a change is done", |_, w: &World| {
                w.nodes.iter().all(|n| n.version == Version::New)
                    && w.controllers.iter().flatten().any(|c| c.phase() == &Phase::Done)
            }),
            Property::sometimes("a change goes back", |_, w: &World| {
                w.controllers.iter().flatten().any(|c| matches!(c.phase(), Phase::RolledBack { .. }))
            }),
            Property::sometimes("one is replaced", |_, w: &World| {
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
const OUT: &str = "no more out of service by one conductor than the plan allows";
const LATE: &str = "no order acts after a later one";
const SEEN: &str = "done is all changed, back is none changed";
const EVERYWHERE: &str = "what is done or back is so at every node, and on trial nowhere";

fn holds(checker: &impl Checker<Explored>, states: usize, names: &[&'static str]) {
    assert_eq!(checker.unique_state_count(), states, "distinct states");
    names.iter().for_each(|name| checker.assert_no_discovery(name));
}

const ONE: Explored = Explored {
    controllers: 1,
    kills: 1,
    outages: 1,
    losses: 1,
    failures: 1,
    lapses: 0,
    policy: RolloutPolicy { commit_confirmed: false, restart_stuck_nodes: true },
    no_fence: false,
};

#[test]
fn one_conductor_killed_at_any_step_with_a_word_lost_a_node_out_and_a_change_that_fails() {
    let checker = explore(ONE, 22);
    holds(&checker, 101_924, &[OUT, LATE, SEEN, EVERYWHERE]);
    checker.assert_any_discovery("a change is done");
    checker.assert_any_discovery("a change goes back");
}

#[test]
fn nodes_on_trial_that_go_back_by_themselves_at_any_step_with_a_conductor_killed_and_a_word_lost() {
    let policy = RolloutPolicy { commit_confirmed: true, restart_stuck_nodes: true };
    let model = Explored { outages: 0, failures: 0, lapses: 1, policy, ..ONE };
    let checker = explore(model, 26);
    holds(&checker, 48_736, &[OUT, LATE, EVERYWHERE]);
    checker.assert_any_discovery("a change is done");
    checker.assert_any_discovery("a change goes back");
}

#[test]
fn two_conductors_at_once_with_words_as_late_as_they_like() {
    let model = Explored { controllers: 2, kills: 0, outages: 0, losses: 0, failures: 0, ..ONE };
    let checker = explore(model, 20);
    holds(&checker, 82_545, &[OUT, LATE, SEEN]);
    checker.assert_any_discovery("one is replaced");
}

#[test]
fn without_the_fence_a_late_order_acts_and_the_trace_is_short() {
    let model =
        Explored { controllers: 2, kills: 0, outages: 0, losses: 0, failures: 0, no_fence: true, ..ONE };
    let checker = explore(model, 20);
    let trace = checker.discovery(LATE).expect("it has to be found");
    assert_eq!(trace.into_actions().len(), 18, "steps of the shortest trace");
    assert_eq!(checker.unique_state_count(), 337_615, "distinct states");
}
