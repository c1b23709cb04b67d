//! The state that is explored: nodes, controllers, the record, and what is on its way between them.

use ochrewalk_rollout::{
    Command, CommandReply, ControllerActions, ControllerNumber, Fence, FencingToken, NodeReport,
    RolloutController, RolloutPolicy, RolloutRecord, StagePlan, Verdict, Version,
};

pub const NODES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    pub version: Version,
    /// What it runs reverts by itself unless it is confirmed.
    pub is_unconfirmed: bool,
    pub fence: Fence,
    /// The command that is being carried out.
    pub executing: Option<Command>,
    pub is_healthy: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub nodes: Vec<Node>,
    /// By controller; none where it does not run.
    pub controllers: Vec<Option<RolloutController>>,
    /// The file that controllers persist.
    pub record: Option<RolloutRecord>,
    /// Commands on their way, with the controller that sent them and their node.
    pub commands: Vec<(usize, usize, Command)>,
    pub replies: Vec<(usize, usize, FencingToken, CommandReply)>,
    pub kills: u8,
    pub outages: u8,
    pub losses: u8,
    pub failures: u8,
    pub expirations: u8,
    pub harms: u8,
    pub stucks: u8,
    pub began: u8,
    /// Two tokens of different controllers were acted on out of their order.
    pub acted_late: bool,
    pub last_acted: Vec<FencingToken>,
    pub too_many_out: bool,
}

/// What a controller asks for while it handles one event.
pub struct Effects<'a> {
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

fn stage_plan() -> StagePlan {
    StagePlan::new(vec![0, 0, 1], vec![1, NODES], 1).unwrap()
}

impl World {
    pub fn with(&mut self, at: usize, what: impl FnOnce(&mut RolloutController, &mut Effects)) {
        let Some(mut controller) = self.controllers[at].take() else { return };
        let mut record = self.record.clone();
        let mut effects = Effects { record: &mut record, commands: Vec::new() };
        what(&mut controller, &mut effects);
        let commands = effects.commands;
        // One file: a controller that no longer has the highest number may not write it.
        if controller.record().controller
            >= self.record.as_ref().map_or(ControllerNumber::default(), |record| record.controller)
        {
            self.record = record;
        }
        for (node, command) in commands {
            self.commands.push((at, node, command));
        }
        self.commands.sort_by_key(|(at, node, command)| (*at, *node, command.token));
        let out = controller.pending_commands().count();
        self.too_many_out |= out > 1;
        self.controllers[at] = Some(controller);
    }

    pub fn controller_begins(&mut self, at: usize, policy: RolloutPolicy) {
        self.began += 1;
        // No number is ever taken twice: in the program it is the time, in microseconds.
        let persisted = self.record.as_ref().map_or(ControllerNumber::default(), |record| record.controller);
        let number = persisted.max(ControllerNumber(u64::from(self.began) - 1)).next();
        self.controllers[at] =
            Some(RolloutController::new(stage_plan(), policy, self.record.clone(), number));
    }

    pub fn conclude(&mut self, at: usize, verdict: Verdict) {
        self.with(at, |controller, effects| controller.analysis_concluded(verdict, effects));
    }

    /// A reply to a controller that does not run is heard by nobody.
    pub fn drop_replies_to_nobody(&mut self) {
        self.replies.sort_by_key(|reply| (reply.0, reply.1, reply.2));
        self.replies.dedup();
        let runs: Vec<bool> = self.controllers.iter().map(Option::is_some).collect();
        self.replies.retain(|(to, ..)| runs[*to]);
    }

    pub fn node_report(&self, node: usize) -> Option<NodeReport> {
        let of = &self.nodes[node];
        of.is_healthy.then(|| NodeReport {
            version: of.version,
            is_healthy: of.executing.is_none(),
            highest: of.fence.highest(),
        })
    }
}
