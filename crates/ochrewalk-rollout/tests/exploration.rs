//! A conductor, a later one and three nodes, explored exhaustively: conductors killed and begun anew, orders and answers as
//! late as they like or lost, nodes that stop answering and come back.

use ochrewalk_rollout::{
    Admission, ChangeMethod, Command, CommandReply, ControllerActions, Fence, FencingToken, NodeReport,
    Outcome, Phase, RolloutController, RolloutPolicy, RolloutRecord, StagePlan, Variant, Verdict,
};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    program: Variant,
    /// What it runs is on trial.
    on_trial: bool,
    fence: Fence,
    /// What is being carried out.
    doing: Option<Command>,
    is_well: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    nodes: Vec<Node>,
    /// By conductor; none where it is not there.
    conductors: Vec<Option<RolloutController>>,
    /// The file that conductors keep.
    kept: Option<RolloutRecord>,
    /// Orders on their way, with who sent them.
    orders: Vec<(usize, usize, Command)>,
    words: Vec<(usize, usize, FencingToken, CommandReply)>,
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
    Asks(usize),
    OrderArrives(usize),
    OrderIsLost(usize),
    NodeDoes {
        node: usize,
        well: bool,
    },
    WordArrives(usize),
    WordIsLost(usize),
    NodeOut(usize),
    NodeBack(usize),
    /// A node on trial has heard nothing for too long, and goes back.
    Lapses(usize),
    Good(usize),
    Harm(usize),
    Stuck(usize),
}

struct Deeds<'a> {
    kept: &'a mut Option<RolloutRecord>,
    orders: Vec<(usize, Command)>,
}

impl ControllerActions for Deeds<'_> {
    fn keep(&mut self, kept: &RolloutRecord) {
        *self.kept = Some(kept.clone());
    }
    fn order(&mut self, node: usize, order: Command) {
        self.orders.push((node, order));
    }
    fn judge(&mut self, _stage: usize) {}
}

/// How much may go wrong, and which rule is broken on purpose.
#[derive(Clone, Copy)]
struct Explored {
    conductors: usize,
    kills: u8,
    outages: u8,
    losses: u8,
    failures: u8,
    lapses: u8,
    habits: RolloutPolicy,
    no_fence: bool,
}

fn course() -> StagePlan {
    StagePlan::new(vec![0, 0, 1], vec![1, NODES], 1).unwrap()
}

impl World {
    fn with(&mut self, at: usize, what: impl FnOnce(&mut RolloutController, &mut Deeds)) {
        let Some(mut conductor) = self.conductors[at].take() else { return };
        let mut kept = self.kept.clone();
        let mut deeds = Deeds { kept: &mut kept, orders: Vec::new() };
        what(&mut conductor, &mut deeds);
        let orders = deeds.orders;
        // One file: who no longer has the highest number is not let write it.
        if conductor.kept().conductor >= self.kept.as_ref().map_or(0, |kept| kept.conductor) {
            self.kept = kept;
        }
        for (node, order) in orders {
            self.orders.push((at, node, order));
        }
        self.orders.sort_by_key(|(at, node, order)| (*at, *node, order.mark));
        let out = conductor.orders().count();
        self.too_many |= out > 1;
        self.conductors[at] = Some(conductor);
    }

    fn report(&self, node: usize) -> Option<NodeReport> {
        let of = &self.nodes[node];
        of.is_well.then(|| NodeReport {
            program: of.program,
            is_well: of.doing.is_none(),
            highest: of.fence.highest(),
        })
    }
}

impl Model for Explored {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let node = Node {
            program: Variant::Old,
            on_trial: false,
            fence: Fence::default(),
            doing: None,
            is_well: true,
        };
        vec![World {
            nodes: vec![node; NODES],
            conductors: vec![None; self.conductors],
            kept: None,
            orders: Vec::new(),
            words: Vec::new(),
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
        for at in 0..self.conductors {
            match &world.conductors[at] {
                None if usize::from(world.began) < self.conductors + usize::from(self.kills) => {
                    actions.push(Action::Begins(at))
                }
                None => {}
                Some(conductor) => {
                    if world.kills < self.kills {
                        actions.push(Action::Killed(at));
                    }
                    match conductor.phase() {
                        Phase::Analyzing { .. } => actions.extend([Action::Good(at), Action::Harm(at)]),
                        Phase::Advancing { .. } | Phase::RollingBack { .. }
                            if conductor.orders().next().is_none() =>
                        {
                            actions.push(Action::Stuck(at))
                        }
                        _ => {}
                    }
                    actions.push(Action::Asks(at));
                }
            }
        }
        for at in 0..world.orders.len() {
            actions.push(Action::OrderArrives(at));
            if world.losses < self.losses {
                actions.push(Action::OrderIsLost(at));
            }
        }
        for at in 0..world.words.len() {
            actions.push(Action::WordArrives(at));
            if world.losses < self.losses {
                actions.push(Action::WordIsLost(at));
            }
        }
        for (node, of) in world.nodes.iter().enumerate() {
            if of.doing.is_some() && of.is_well {
                actions.push(Action::NodeDoes { node, well: true });
                if world.failures < self.failures {
                    actions.push(Action::NodeDoes { node, well: false });
                }
            }
            if of.is_well && world.outages < self.outages {
                actions.push(Action::NodeOut(node));
            }
            if !of.is_well {
                actions.push(Action::NodeBack(node));
            }
            if of.on_trial && of.doing.is_none() && world.lapses < self.lapses {
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
                let kept = world.kept.as_ref().map_or(0, |kept| kept.conductor);
                let number = kept.max(u64::from(world.began) - 1) + 1;
                world.conductors[at] =
                    Some(RolloutController::new(course(), self.habits, world.kept.clone(), number));
            }
            Action::Killed(at) => {
                world.kills += 1;
                world.conductors[at] = None;
            }
            Action::Asks(at) => {
                for node in 0..NODES {
                    let number = world.conductors[at].as_ref().map_or(0, |c| c.kept().conductor);
                    if world.nodes[node].is_well && !self.no_fence {
                        world.nodes[node].fence.heard(number);
                    }
                    let report = world.report(node);
                    world.with(at, |conductor, deeds| conductor.report(node, report.as_ref(), deeds));
                }
            }
            Action::OrderArrives(at) => {
                let (from, node, order) = world.orders.remove(at);
                let of = &mut world.nodes[node];
                if !of.is_well {
                    world.words.push((from, node, order.mark, CommandReply::NoReply));
                } else {
                    let admitted =
                        if self.no_fence { Admission::Execute } else { of.fence.admit(order.mark) };
                    match admitted {
                        Admission::Execute if of.doing.is_none() => {
                            world.acted_late |= order.mark < world.last_acted[node];
                            world.last_acted[node] = order.mark;
                            of.doing = Some(order);
                        }
                        Admission::Execute => {
                            let busy = Outcome::Failed("another order is being carried out".into());
                            of.fence.ended(order.mark, busy.clone());
                            world.words.push((from, node, order.mark, CommandReply::Finished(busy)));
                        }
                        Admission::InProgress => {}
                        Admission::Repeated(outcome) => {
                            world.words.push((from, node, order.mark, CommandReply::Finished(outcome)))
                        }
                        Admission::Stale(mark) => {
                            world.words.push((from, node, order.mark, CommandReply::Stale(mark)))
                        }
                    }
                }
            }
            Action::OrderIsLost(at) => {
                world.losses += 1;
                let (from, node, order) = world.orders.remove(at);
                world.words.push((from, node, order.mark, CommandReply::NoReply));
            }
            Action::NodeDoes { node, well } => {
                world.failures += u8::from(!well);
                let order = world.nodes[node].doing.take().expect("it does something");
                let outcome = if well { Outcome::Done } else { Outcome::Failed("it ended".into()) };
                if well {
                    world.nodes[node].program = order.to;
                    world.nodes[node].on_trial = order.how == ChangeMethod::CommitConfirmed;
                }
                world.nodes[node].fence.ended(order.mark, outcome.clone());
                for from in 0..self.conductors {
                    world.words.push((from, node, order.mark, CommandReply::Finished(outcome.clone())));
                }
            }
            Action::WordArrives(at) => {
                let (to, node, mark, word) = world.words.remove(at);
                world.with(to, |conductor, deeds| conductor.answered(node, mark, word, deeds));
            }
            Action::WordIsLost(at) => {
                world.losses += 1;
                world.words[at].3 = CommandReply::NoReply;
            }
            Action::NodeOut(node) => {
                world.outages += 1;
                world.nodes[node].is_well = false;
            }
            Action::NodeBack(node) => world.nodes[node].is_well = true,
            Action::Lapses(node) => {
                world.lapses += 1;
                (world.nodes[node].program, world.nodes[node].on_trial) = (Variant::Old, false);
            }
            Action::Good(at) => world.with(at, |conductor, deeds| conductor.verdict(Verdict::Pass, deeds)),
            Action::Harm(at) => {
                world.with(at, |conductor, deeds| conductor.verdict(Verdict::Harm("worse".into()), deeds))
            }
            Action::Stuck(at) => world.with(at, |conductor, _| conductor.stuck()),
        }
        world.words.sort_by_key(|word| (word.0, word.1, word.2));
        world.words.dedup();
        // Words for one that is not there are heard by nobody.
        let there: Vec<bool> = world.conductors.iter().map(Option::is_some).collect();
        world.words.retain(|(to, ..)| there[*to]);
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(OUT, |_, w: &World| !w.too_many),
            Property::always(LATE, |_, w: &World| !w.acted_late),
            Property::always(SEEN, |_, w: &World| {
                w.conductors.iter().flatten().all(|conductor| {
                    let all = |program| conductor.seen().iter().all(|seen| seen.program == Some(program));
                    match conductor.phase() {
                        Phase::RolledBack { .. } => {
                            conductor.seen().iter().all(|s| s.program != Some(Variant::New))
                        }
                        Phase::Done => conductor.kept().back.is_none() || all(Variant::Old),
                        _ => true,
                    }
                })
            }),
            Property::always(EVERYWHERE, |_, w: &World| {
                let is_all = |program| {
                    let runs = |node: &Node| node.doing.map_or(node.program, |order| order.to) == program;
                    w.nodes.iter().all(|node| runs(node) && !node.on_trial)
                };
                w.conductors.len() > 1
                    || w.conductors.iter().flatten().all(|conductor| match conductor.phase() {
                        Phase::Done => is_all(Variant::New),
                        Phase::RolledBack { .. } => is_all(Variant::Old),
                        _ => true,
                    })
            }),
            Property::sometimes("a change is done", |_, w: &World| {
                w.nodes.iter().all(|n| n.program == Variant::New)
                    && w.conductors.iter().flatten().any(|c| c.phase() == &Phase::Done)
            }),
            Property::sometimes("a change goes back", |_, w: &World| {
                w.conductors.iter().flatten().any(|c| matches!(c.phase(), Phase::RolledBack { .. }))
            }),
            Property::sometimes("one is replaced", |_, w: &World| {
                w.conductors.iter().flatten().any(|c| c.phase() == &Phase::Replaced)
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
    conductors: 1,
    kills: 1,
    outages: 1,
    losses: 1,
    failures: 1,
    lapses: 0,
    habits: RolloutPolicy { on_trial: false, begins_anew: true },
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
    let habits = RolloutPolicy { on_trial: true, begins_anew: true };
    let model = Explored { outages: 0, failures: 0, lapses: 1, habits, ..ONE };
    let checker = explore(model, 26);
    holds(&checker, 48_736, &[OUT, LATE, EVERYWHERE]);
    checker.assert_any_discovery("a change is done");
    checker.assert_any_discovery("a change goes back");
}

#[test]
fn two_conductors_at_once_with_words_as_late_as_they_like() {
    let model = Explored { conductors: 2, kills: 0, outages: 0, losses: 0, failures: 0, ..ONE };
    let checker = explore(model, 20);
    holds(&checker, 82_545, &[OUT, LATE, SEEN]);
    checker.assert_any_discovery("one is replaced");
}

#[test]
fn without_the_fence_a_late_order_acts_and_the_trace_is_short() {
    let model =
        Explored { conductors: 2, kills: 0, outages: 0, losses: 0, failures: 0, no_fence: true, ..ONE };
    let checker = explore(model, 20);
    let trace = checker.discovery(LATE).expect("it has to be found");
    assert_eq!(trace.into_actions().len(), 18, "steps of the shortest trace");
    assert_eq!(checker.unique_state_count(), 337_615, "distinct states");
}
